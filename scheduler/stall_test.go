package scheduler

import (
	"strings"
	"testing"
	"time"
)

// reportProgress advances the clock and reports the progress of a run.
func (p *testPool) reportProgress(id RunID, percent int, after time.Duration) {
	p.now = p.now.Add(after)
	run := p.state.Run(id)
	p.observer.Track(run.Worker, run.Incarnation, p.now).RecordProgress(&LiveRun{Run: id, Percent: percent}, p.now)
}

func firstRun(p *testPool, queue QueueName, step Step) RunID {
	job := p.submit(len(p.state.jobs)+1, queue, step)
	p.plan()
	return RunID{Task: TaskID{Job: job}, Number: 1}
}

func stopReason(plan Plan, id RunID) string {
	for _, stop := range plan.Stop {
		if stop.Run == id {
			return stop.Reason
		}
	}
	return ""
}

func TestStalledRunMovesToAnotherWorker(t *testing.T) {
	p := newPool(t, 2)
	run := firstRun(p, "long", tasks(1, 1))
	from := p.state.Run(run).Worker
	p.reportProgress(run, 10, time.Second)
	for range 5 {
		p.reportProgress(run, 10, 500*time.Millisecond)
	}
	if plan := p.plan(); len(plan.Stop) != 0 {
		t.Fatalf("run is stopped after 2.5 s: %+v", plan.Stop)
	}
	p.reportProgress(run, 10, 600*time.Millisecond)
	plan := p.plan()
	if reason := stopReason(plan, run); !strings.HasPrefix(reason, "stands still at 10%") {
		t.Fatalf("stop reason is %q after 3.1 s, want a stall", reason)
	}
	p.endStopped(plan)
	p.plan()
	second := p.state.Run(RunID{Task: run.Task, Number: 2})
	if second == nil || second.Worker == from {
		t.Errorf("second run is %+v, want one on another worker than %s", second, from)
	}
	if !p.observer.LikelyFaulty(from, p.now) {
		t.Errorf("%s is not considered faulty after a stall", from)
	}
	p.now = p.now.Add(failureWindow)
	if p.observer.LikelyFaulty(from, p.now) {
		t.Errorf("%s is considered faulty after the failure window", from)
	}
}

func TestRunsWithoutExpectedProgressAreNotStalled(t *testing.T) {
	longRunning := tasks(1, 1)
	longRunning.LongRunning = true
	bestEffort := tasks(1, 1)
	bestEffort.BestEffort = true
	gang := tasks(2, 1)
	gang.Gang = true
	slow := tasks(1, 1)
	slow.EstimateMillis = 3600_000
	tests := []struct {
		name    string
		step    Step
		percent int
	}{
		{"long-running task", longRunning, 100},
		{"best-effort task, which may be paced", bestEffort, 5},
		{"gang member that waits for the others", gang, 0},
		{"gang member that has finished its part", gang, 100},
		{"task of an hour, of which a percent takes 36 s", slow, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := newPool(t, 2)
			run := firstRun(p, "long", test.step)
			for range 20 {
				p.reportProgress(run, test.percent, time.Second)
			}
			if plan := p.plan(); len(plan.Stop) != 0 {
				t.Errorf("runs are stopped: %+v", plan.Stop)
			}
		})
	}
}

// A task that makes no progress on any worker must get more time on each one,
// so that a task that is slow everywhere is not moved for ever.
func TestStallLimitGrowsWithEachWorker(t *testing.T) {
	p := newPool(t, 4)
	run := firstRun(p, "long", tasks(1, 1))
	var spans []time.Duration
	for range 3 {
		began := p.now
		for {
			p.reportProgress(run, 1, 250*time.Millisecond)
			plan := p.plan()
			if stopReason(plan, run) != "" {
				p.endStopped(plan)
				p.plan()
				break
			}
			if p.now.Sub(began) > time.Minute {
				t.Fatal("run is not stopped within a minute")
			}
		}
		spans = append(spans, p.now.Sub(began))
		run.Number++
	}
	if spans[1] < spans[0]*3/2 || spans[2] < spans[1]*3/2 {
		t.Errorf("stopped after %v, want longer each time", spans)
	}
}

func TestRunsOnUnresponsiveWorkerAreNotStalled(t *testing.T) {
	p := newPool(t, 2)
	run := firstRun(p, "long", tasks(1, 1))
	for range 10 {
		p.reportProgress(run, 10, time.Second)
	}
	p.observer.Track(p.state.Run(run).Worker, 1, p.now).MissedPolls = 1
	if plan := p.plan(); len(plan.Stop) != 0 {
		t.Errorf("runs are stopped: %+v", plan.Stop)
	}
}

func copyStep(width int) Step {
	step := tasks(width, 1)
	step.SpeculativeCopies = true
	return step
}

func TestStragglerGetsSpeculativeCopy(t *testing.T) {
	p := newPool(t, 2)
	run := firstRun(p, "long", copyStep(1))
	p.reportProgress(run, 20, 400*time.Millisecond)
	if plan := p.plan(); len(plan.Assign) != 0 {
		t.Fatalf("a run on time is copied: %+v", plan.Assign)
	}
	p.reportProgress(run, 21, 2*time.Second)
	plan := p.plan()
	if len(plan.Assign) != 1 || plan.Assign[0].Runs[0].Worker == p.state.Run(run).Worker {
		t.Fatalf("placed %+v, want one copy on another worker", plan.Assign)
	}
	if plan = p.plan(); len(plan.Assign) != 0 {
		t.Errorf("task gets a third run: %+v", plan.Assign)
	}
	p.end(RunID{Task: run.Task, Number: 2}, EndDone)
	if reason := stopReason(p.plan(), run); reason != "another run was first" {
		t.Errorf("first run is stopped with reason %q", reason)
	}
	if phase := p.state.Job(run.Task.Job).Phase; phase != PhaseCompleted {
		t.Errorf("job is %s", phase)
	}
}

func TestCopiesAreLimitedAndUseOnlyFreeCapacity(t *testing.T) {
	p := newPool(t, 4)
	first := firstRun(p, "long", copyStep(20))
	for index := range 20 {
		run := first
		run.Task.Index = index
		p.reportProgress(run, 20, 0)
	}
	p.now = p.now.Add(3 * time.Second)
	for index := range 20 {
		run := first
		run.Task.Index = index
		p.reportProgress(run, 21, 0)
	}
	if plan := p.plan(); len(plan.Assign) != 2 {
		t.Errorf("%d copies of 20 tasks, want 2", len(plan.Assign))
	}
	p.checkPlacements()

	full := newPool(t, 1)
	late := firstRun(full, "urgent", copyStep(8))
	full.reportProgress(late, 1, 3*time.Second)
	if plan := full.plan(); len(plan.Assign)+len(plan.Stop) != 0 {
		t.Errorf("copy is placed without free capacity: %+v", plan)
	}
}

func TestTaskOnUnresponsiveWorkerGetsSpeculativeCopy(t *testing.T) {
	p := newPool(t, 2)
	run := firstRun(p, "long", copyStep(1))
	p.observer.Track(p.state.Run(run).Worker, 1, p.now).MissedPolls = 1
	if plan := p.plan(); len(plan.Assign) != 1 {
		t.Errorf("placed %+v, want a copy", plan.Assign)
	}
}
