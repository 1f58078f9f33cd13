package scheduler

import (
	"strings"
	"testing"
	"time"
)

// reportProgress notes how far a run is, after a while.
func (p *testPool) reportProgress(id RunID, percent int, after time.Duration) {
	p.now = p.now.Add(after)
	run := p.state.Run(id)
	p.observer.Track(run.Worker, run.Incarnation, p.now).RecordProgress(&RunningTask{Run: id, Percent: percent}, p.now)
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
		t.Fatalf("stopped after 2.5 s: %+v", plan.Stop)
	}
	p.reportProgress(run, 10, 600*time.Millisecond)
	plan := p.plan()
	if reason := stopReason(plan, run); !strings.HasPrefix(reason, "stands still at 10%") {
		t.Fatalf("reason %q after 3.1 s", reason)
	}
	p.endStopped(plan)
	p.plan()
	second := p.state.Run(RunID{Task: run.Task, Number: 2})
	if second == nil || second.Worker == from {
		t.Errorf("second run %+v, want one on another worker than %s", second, from)
	}
	if !p.observer.Suspected(from, p.now) {
		t.Errorf("%s is trusted", from)
	}
	p.now = p.now.Add(failureWindow)
	if p.observer.Suspected(from, p.now) {
		t.Errorf("%s is suspected for ever", from)
	}
}

func TestRunsWithoutExpectedProgressAreNotStalled(t *testing.T) {
	lasting := tasks(1, 1)
	lasting.LongRunning = true
	filling := tasks(1, 1)
	filling.BestEffort = true
	gang := tasks(2, 1)
	gang.Gang = true
	slow := tasks(1, 1)
	slow.EstimateMillis = 3600_000
	tests := []struct {
		name    string
		step    Step
		percent int
	}{
		{"lasting", lasting, 100},
		{"filling, which may be paced", filling, 5},
		{"gang that waits for its members", gang, 0},
		{"gang's member that has done its part", gang, 100},
		{"an hour's work, a percent of which takes 36 s", slow, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := newPool(t, 2)
			run := firstRun(p, "long", test.step)
			for range 20 {
				p.reportProgress(run, test.percent, time.Second)
			}
			if plan := p.plan(); len(plan.Stop) != 0 {
				t.Errorf("stopped: %+v", plan.Stop)
			}
		})
	}
}

// A task that shows no progress on any worker is let run for longer each time.
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
				t.Fatal("never stopped")
			}
		}
		spans = append(spans, p.now.Sub(began))
		run.Number++
	}
	if spans[1] < spans[0]*3/2 || spans[2] < spans[1]*3/2 {
		t.Errorf("let run for %v, want longer each time", spans)
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
		t.Errorf("stopped: %+v", plan.Stop)
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
		t.Fatalf("copied in time: %+v", plan.Assign)
	}
	p.reportProgress(run, 21, 2*time.Second)
	plan := p.plan()
	if len(plan.Assign) != 1 || plan.Assign[0].Runs[0].Worker == p.state.Run(run).Worker {
		t.Fatalf("placed %+v, want one copy elsewhere", plan.Assign)
	}
	if plan = p.plan(); len(plan.Assign) != 0 {
		t.Errorf("a third run: %+v", plan.Assign)
	}
	p.end(RunID{Task: run.Task, Number: 2}, EndDone)
	if reason := stopReason(p.plan(), run); reason != "another run was first" {
		t.Errorf("first run is stopped for %q", reason)
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
		t.Errorf("a copy takes room that is not free: %+v", plan)
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
