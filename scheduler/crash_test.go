package scheduler

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"cranberrystack.dev/cranberrystack/identifier"
)

// crashed is how a worker's process ends in the tests of crashes.
type crashed struct {
	// age is the time from the start of the newest runs to the crash.
	age time.Duration
	// silent says that no poll failed before the worker's next report.
	silent bool
	// newLeader says that the leader has changed since, and knows no starts.
	newLeader bool
	// state is what the worker last reported; WorkerReady if empty.
	state WorkerState
	// renamed says that the next process has another id.
	renamed bool
	// restart is the time until the next process registers; 3 s if 0.
	restart time.Duration
}

// crash ends the process of a worker and registers the next one. All runs on it were
// ordered at p.now.
func (p *testPool) crash(id identifier.WorkerID, how crashed) []Result {
	old := p.state.Worker(id)
	if how.state != "" {
		old.State = how.state
	}
	attempts := map[RunID]*StartAttempt{}
	for run := range p.state.RunsOn(id) {
		attempts[run] = &StartAttempt{Ordered: p.now, Started: p.now}
	}
	observation := p.observer.Track(id, old.Incarnation, p.now)
	observation.RecordContact(0, p.now.Add(how.age))
	p.now = p.now.Add(how.age + time.Millisecond)
	if !how.silent {
		observation.MissedPolls, observation.MissedSince = 1, p.now
	}
	if how.newLeader {
		attempts, p.observer = nil, NewObserver(p.now, 6*time.Second, 4*time.Second)
	}
	p.now = p.now.Add(cmp.Or(how.restart, 3*time.Second))
	next := *old
	next.Incarnation, next.Sequence, next.State = old.Incarnation+1, 1, WorkerReady
	if how.renamed {
		next.ID = identifier.WorkerID(fmt.Sprintf("%s-%d", id, next.Incarnation))
	}
	results := p.apply(Command{Register: &next, Suspicion: p.observer.Suspicion(p.state, &next, attempts, p.now)})
	for run := range p.state.RunsOn(id) {
		p.apply(Command{Drop: &Drop{Runs: []RunID{run}}})
	}
	p.contactAll()
	return results
}

// crashUntilGivenUp crashes each worker on which a task runs until its job fails, and
// returns the number of crashes, at most limit.
func (p *testPool) crashUntilGivenUp(task TaskID, how crashed, limit int) int {
	p.t.Helper()
	for crashes := range limit {
		p.plan()
		worker := p.workerOf(task)
		if worker == "" {
			p.t.Fatalf("%s is not placed after %d crashes", task, crashes)
		}
		p.crash(worker, how)
		if p.state.Job(task.Job).Phase == PhaseFailed {
			return crashes + 1
		}
	}
	return limit
}

// workerOf returns the worker on which a task runs, or "".
func (p *testPool) workerOf(task TaskID) identifier.WorkerID {
	for id, run := range p.state.runs {
		if id.Task == task {
			return run.Worker
		}
	}
	return ""
}

// Guards against a task that crashes its workers and is started without end, and
// against giving it up for crashes that it can't have caused.
func TestTaskIsGivenUpAfterCrashesOfItsWorkers(t *testing.T) {
	const limit = 7
	tests := []struct {
		name    string
		workers int
		how     crashed
		want    int
	}{
		{"crash right after the start", 8, crashed{age: 10 * time.Millisecond}, 3},
		{"next process under another id", 8, crashed{age: 10 * time.Millisecond, renamed: true}, 3},
		{"one machine only", 1, crashed{age: 10 * time.Millisecond}, 5},
		{"time of the crash unknown", 8, crashed{age: 10 * time.Millisecond, silent: true}, 5},
		{"start of an earlier leader", 8, crashed{age: 10 * time.Millisecond, newLeader: true}, 5},
		{"crash some seconds after the start", 8, crashed{age: 4 * time.Second}, 5},
		{"worker was leaving", 8, crashed{age: 10 * time.Millisecond, state: WorkerDraining}, limit},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := newPool(t, test.workers)
			job := p.submit(1, "long", tasks(1, 2))
			if got := p.crashUntilGivenUp(TaskID{Job: job}, test.how, limit); got != test.want {
				t.Errorf("given up after %d crashes, want %d", got, test.want)
			}
		})
	}
}

// Guards against long-running tasks that are given up because the machines that they can
// run on crash, and against some that crash one machine after the other for ever.
func TestLongRunningTaskIsGivenUpOnlyForCrashesOfSeveralMachines(t *testing.T) {
	const limit = 40
	tests := []struct {
		name    string
		workers int
		how     crashed
		want    int
	}{
		{"one machine", 1, crashed{age: 10 * time.Millisecond}, limit},
		{"two machines", 2, crashed{age: 10 * time.Millisecond}, limit},
		{"crash some seconds after the start", 8, crashed{age: 4 * time.Second}, limit},
		{"many machines, right after the start", 8, crashed{age: 10 * time.Millisecond}, 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := newPool(t, test.workers)
			job := p.submit(1, "long", with(tasks(1, 2), func(s *Step) { s.LongRunning = true }))
			if got := p.crashUntilGivenUp(TaskID{Job: job}, test.how, limit); got != test.want {
				t.Errorf("given up after %d crashes, want %d", got, test.want)
			}
		})
	}
}

// Guards against blaming bystanders: a task that shares its worker with one that was
// suspected before is not suspected, and outlives it.
func TestBystanderOfSuspectedTaskIsNotSuspected(t *testing.T) {
	p := newPool(t, 1)
	crashing := TaskID{Job: p.submit(1, "long", tasks(1, 2))}
	p.plan()
	p.crash("w00", crashed{age: 10 * time.Millisecond})
	bystander := TaskID{Job: p.submit(2, "long", tasks(1, 2))}
	for range 4 {
		p.plan()
		p.crash("w00", crashed{age: 10 * time.Millisecond})
	}
	if count := p.state.taskOf(bystander).suspectedCrashes(); count != 0 {
		t.Errorf("the bystander is suspected of %d crashes", count)
	}
	if phase := p.state.Job(crashing.Job).Phase; phase != PhaseFailed {
		t.Errorf("the task that crashes its workers is %s after five crashes", phase)
	}
	p.plan()
	p.end(RunID{Task: bystander, Number: 5}, EndDone)
	if phase := p.state.Job(bystander.Job).Phase; phase != PhaseCompleted {
		t.Errorf("the bystander is %s", phase)
	}
}

// Guards against a count that misses crashes: whatever else may explain them, and
// however the leaders change, a task that has just been started on each worker that
// crashes is given up after five.
func TestCrashLoopingTaskIsGivenUpAmongOtherCrashes(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		p := newPool(t, 6)
		crashing := TaskID{Job: p.submit(1, "long", tasks(1, 1))}
		for crashes := 1; p.state.Job(crashing.Job).Active(); crashes++ {
			if crashes > maxCrashes {
				t.Fatalf("seed %d: not given up after %d crashes: %+v", seed, crashes-1, p.state.taskOf(crashing).Crashes)
			}
			beside := p.submit(1+crashes, "plan", tasks(1+random.IntN(12), 1))
			for range random.IntN(4) {
				p.crash(identifier.WorkerID(fmt.Sprintf("w%02d", random.IntN(6))), crashed{age: time.Duration(random.IntN(3000)) * time.Millisecond, restart: 100 * time.Millisecond})
				p.plan()
			}
			if p.workerOf(crashing) == "" {
				p.plan()
			}
			if p.state.Job(crashing.Job).Active() {
				p.crash(p.workerOf(crashing), crashed{age: 10 * time.Millisecond, silent: random.IntN(3) == 0, newLeader: random.IntN(3) == 0})
			}
			p.apply(Command{Cancel: &Cancel{Job: beside}})
			for run := range p.state.runs {
				p.end(run, EndStopped)
			}
		}
	}
}

// Guards against a count that misses the crashes which another suspected run on the
// worker explains as well: a task that starts beside such a run each time is given up
// after five.
func TestCrashBesideSuspectedRunCounts(t *testing.T) {
	p := newPool(t, 1)
	crashing := TaskID{Job: p.submit(1, "long", tasks(1, 2))}
	for round := range maxCrashes {
		beside := TaskID{Job: p.submit(2+round, "long", tasks(1, 2))}
		p.state.taskOf(beside).recordCrash(WorkerCrash{At: p.wall(), Machine: "other", Suspected: true})
		p.plan()
		p.crash("w00", crashed{age: 10 * time.Millisecond})
		p.apply(Command{Cancel: &Cancel{Job: beside.Job}})
	}
	if job := p.state.Job(crashing.Job); job.Phase != PhaseFailed {
		t.Errorf("the job is %s after %d crashes", job.Phase, maxCrashes)
	}
}

// Guards against tasks that crash one worker with the work of others after another: a
// suspected task gets a worker of its own, and not the machine that it crashed.
func TestSuspectedTaskIsIsolated(t *testing.T) {
	p := newPool(t, 5)
	spread := tasks(3, 2)
	spread.SpreadLimit = 1
	p.submit(1, "plan", spread)
	crashing := TaskID{Job: p.submit(2, "plan", tasks(1, 4))}
	p.plan()
	first := p.workerOf(crashing)
	if len(p.state.RunsOn(first)) != 2 {
		t.Fatal("the task shares no worker before the first crash")
	}
	p.crash(first, crashed{age: 10 * time.Millisecond})
	p.plan()
	second := p.workerOf(crashing)
	if second == first {
		t.Errorf("the task is placed again on %s, which it crashed", first)
	}
	checkpointing := tasks(2, 2)
	checkpointing.Checkpoints = true
	p.submit(3, "plan", checkpointing)
	p.plan()
	if runs := p.state.RunsOn(second); len(runs) != 1 {
		t.Errorf("%d runs on the worker of the suspected task, want it alone", len(runs))
	}
}

// Guards against urgent tasks that crash their workers and preempt the work of others
// each time that they are started again.
func TestSuspectedTaskDoesNotPreempt(t *testing.T) {
	p := newPool(t, 2)
	crashing := TaskID{Job: p.submit(1, "urgent", tasks(1, 8))}
	p.plan()
	for range 2 {
		p.crash(p.workerOf(crashing), crashed{age: 10 * time.Millisecond})
		if p.state.taskOf(crashing).suspectedCrashes() < 2 {
			p.plan()
		}
	}
	for i, worker := range p.state.Workers() {
		job := p.submit(2+i, "long", tasks(1, 8))
		p.apply(Command{Assign: &Assign{Runs: []Run{{
			ID: RunID{Task: TaskID{Job: job}, Number: 1}, Worker: worker.ID, Incarnation: worker.Incarnation,
		}}}})
	}
	if plan := p.plan(); len(plan.Stop) > 0 {
		t.Errorf("the task preempts %v after two crashes", plan.Stop)
	}
}

// Guards against giving up work that runs well: a run that has lived for some time and
// ended otherwise clears its task.
func TestSurvivedRunClearsItsTask(t *testing.T) {
	p := newPool(t, 8)
	task := TaskID{Job: p.submit(1, "long", tasks(1, 2))}
	for range 2 {
		p.plan()
		p.crash(p.workerOf(task), crashed{age: 10 * time.Millisecond})
	}
	p.plan()
	p.now = p.now.Add(12 * time.Second)
	p.end(RunID{Task: task, Number: 3}, EndStopped)
	if count := len(p.state.taskOf(task).Crashes); count != 0 {
		t.Errorf("%d crashes still count", count)
	}
}

// Guards against blaming a task for crashes that many workers have in common.
func TestCrashesWithCommonCauseDoNotCount(t *testing.T) {
	p := newPool(t, 8)
	p.now = p.now.Add(time.Minute)
	task := TaskID{Job: p.submit(1, "long", tasks(1, 2))}
	p.plan()
	worker := p.workerOf(task)
	for i := range 8 {
		if id := identifier.WorkerID(fmt.Sprintf("w%02d", i)); id != worker {
			p.crash(id, crashed{restart: 100 * time.Millisecond})
		}
	}
	p.crash(worker, crashed{age: 2 * time.Second, restart: 100 * time.Millisecond})
	if count := len(p.state.taskOf(task).Crashes); count != 0 {
		t.Errorf("%d crashes count, want none of a crash of all workers", count)
	}
}

// Guards against suspecting the newest run on a worker of a crash whose cause is common
// to several workers.
func TestRunIsNotSuspectedAmongUnexplainedCrashes(t *testing.T) {
	for _, idleCrashes := range []int{0, 1, 2, 5} {
		t.Run(fmt.Sprint(idleCrashes), func(t *testing.T) {
			p := newPool(t, 8)
			task := TaskID{Job: p.submit(1, "long", tasks(1, 2))}
			p.plan()
			worker, left := p.workerOf(task), idleCrashes
			for _, other := range p.state.Workers() {
				if other.ID == worker || left == 0 {
					continue
				}
				left--
				p.crash(other.ID, crashed{restart: 100 * time.Millisecond})
			}
			p.crash(worker, crashed{age: 10 * time.Millisecond})
			crashes := p.state.taskOf(task).Crashes
			if want := idleCrashes < commonCauseCrashes; len(crashes) != 1 || crashes[0].Suspected != want {
				t.Errorf("%+v, want one crash, suspected: %t", crashes, want)
			}
		})
	}
}

// Guards against counting one crash twice when a report shows that two processes have
// ended.
func TestCrashCountsOnceForEachProcess(t *testing.T) {
	p := newPool(t, 2)
	var crashing []TaskID
	for i := range 2 {
		crashing = append(crashing, TaskID{Job: p.submit(i+1, "long", tasks(1, 8))})
	}
	p.plan()
	attempts := map[RunID]*StartAttempt{}
	for id, run := range p.state.runs {
		attempts[id] = &StartAttempt{Ordered: p.now}
		observation := p.observer.Observation(run.Worker)
		observation.MissedPolls, observation.MissedSince = 1, p.now
	}
	next := *p.state.Worker("w00")
	next.Incarnation, next.Address = 2, p.state.Worker("w01").Address
	p.apply(Command{Register: &next, Suspicion: p.observer.Suspicion(p.state, &next, attempts, p.now)})
	for _, task := range crashing {
		if crashes := p.state.taskOf(task).Crashes; len(crashes) != 1 || !crashes[0].Suspected {
			t.Errorf("%s: %+v, want one suspected crash", task, crashes)
		}
	}
}
