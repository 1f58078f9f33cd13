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

// Guards against urgent work that waits in one pool, or that no worker can hold, keeping
// ordinary work out of free capacity that it can't use.
func TestReserveIsKeptOnlyWhereItIsOfUse(t *testing.T) {
	const document = `{"version":2,"queues":[
{"name":"urgent","host":"h","path-prefix":"/u/","worker-pool":"p","priority":0,"max-attempts":2,"timeout-ms":1},
{"name":"long","host":"h","path-prefix":"/l/","worker-pool":"p","priority":2,"max-attempts":2,"timeout-ms":1},
{"name":"other","host":"h","path-prefix":"/o/","worker-pool":"q","priority":2,"max-attempts":2,"timeout-ms":1}],
"pools":[{"name":"p","guards-capacity":true},{"name":"q","guards-capacity":true}]}`
	nowhere := with(tasks(1, 8), func(s *Step) { s.NeedsLabel = "none" })
	tests := []struct {
		name   string
		urgent Step
		queue  QueueName
		fill   int
	}{
		{"other pool, hopeless", nowhere, "other", 24},
		{"other pool, waiting", tasks(4, 8), "other", 0},
		{"same pool, hopeless", nowhere, "long", 20},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := newPool(t, 4)
			p.apply(Command{Configure: &Configure{Document: []byte(document)}})
			moved := *p.state.Worker("w03")
			moved.Pool, moved.Sequence = "q", 9
			p.apply(Command{Register: &moved})
			if test.fill > 0 {
				p.submit(1, "urgent", tasks(test.fill, 1))
				p.plan()
			}
			p.submit(2, "urgent", test.urgent)
			p.plan()
			job := p.submit(3, test.queue, tasks(1, 2))
			p.plan()
			if len(p.state.RunsOfJob(job)) != 1 {
				t.Error("a task waits beside free capacity")
			}
		})
	}
}
