package scheduler

import (
	"testing"
	"time"
)

// Guards against urgent work that misses its objective since it must preempt
// checkpointing work first and the stop takes most of its slack, and against a reserve
// that is kept from checkpointing work although stops are short.
func TestReserveFollowsTheTimeOfStops(t *testing.T) {
	checkpoints := tasks(64, 1)
	checkpoints.Checkpoints = true
	tests := []struct {
		name     string
		stopTime time.Duration
		step     Step
		// free is the number of accelerators that stay free beside the waiting work. The
		// peak of urgent work has decayed from 8 to 7.8.
		free int64
	}{
		{"stop time unknown", 0, checkpoints, 0},
		{"short stops", 400 * time.Millisecond, checkpoints, 0},
		{"stops that take over half of the slack of 1.3 s", 900 * time.Millisecond, checkpoints, 8},
		{"work that loses all when it is preempted", 0, tasks(64, 1), 7},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := newPool(t, 4)
			p.planner.StopTime = test.stopTime
			urgent := tasks(1, 8)
			urgent.EstimateMillis = 2000
			job := p.submit(1, "urgent", urgent)
			p.plan()
			p.now = p.now.Add(200 * time.Millisecond)
			for _, run := range p.state.RunsOfJob(job) {
				p.end(run.ID, EndDone)
			}
			p.submit(2, "long", test.step)
			plan := p.plan()
			free := int64(4 * 8)
			for i := range plan.Assign {
				free -= int64(len(plan.Assign[i].Runs))
			}
			if free != test.free {
				t.Errorf("%d accelerators stay free, want %d", free, test.free)
			}
			p.submit(3, "urgent", urgent)
			if got := len(p.plan().Stop) > 0; got != (test.free < 8) {
				t.Errorf("the next urgent task preempts: %v, want %v", got, test.free < 8)
			}
		})
	}
}
