package scheduler

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cranberrystack.dev/cranberrystack/estimator"
	"cranberrystack.dev/cranberrystack/identifier"
)

// truePace is the pace of a worker in tests: a quarter of them, spread over all racks,
// is slow.
func truePace(worker identifier.WorkerID) float64 {
	if number, _ := strconv.Atoi(string(worker[1:])); number%4 == 1 {
		return 0.55
	}
	return 1.2
}

// learnPaces teaches the state the true paces, and that the tasks of each image take
// the given time at the usual pace, whatever is declared.
func (p *testPool) learnPaces(queue QueueName, images map[string]time.Duration) {
	for round := range 12 {
		for image, work := range images {
			for _, worker := range p.state.Workers() {
				p.state.estimates.Record(estimator.Sample{
					Group: estimator.Group{Queue: string(queue), Image: image}, Step: fmt.Sprint(image, round), Machine: string(worker.ID),
					Declared: 2 * time.Second, Tasks: len(p.state.workers), Ended: true, Elapsed: time.Duration(float64(work) / truePace(worker.ID)),
				}, int64(p.wall()))
			}
		}
	}
}

// slowRuns counts the runs of a job on slow workers, and all of them.
func (p *testPool) slowRuns(job identifier.JobID) (slow, all int) {
	for _, run := range p.state.RunsOfJob(job) {
		all++
		if truePace(run.Worker) < 1 {
			slow++
		}
	}
	return slow, all
}

func imageStep(width int, accelerators int64, image string) Step {
	step := tasks(width, accelerators)
	step.Image = image
	return step
}

// run simulates the pool until a time: runs take the work of their job, by the pace of
// their worker, or of the slowest worker of their gang.
func (p *testPool) run(until time.Time, work map[identifier.JobID]float64) {
	for ; p.now.Before(until); p.now = p.now.Add(50 * time.Millisecond) {
		var ended []RunID
		for id, run := range p.state.runs {
			pace := truePace(run.Worker)
			for _, member := range p.state.gangMembers(run) {
				pace = min(pace, truePace(member.Worker))
			}
			if float64(p.wall()-run.Assigned) >= work[id.Task.Job]/pace {
				ended = append(ended, id)
			}
		}
		SortRuns(ended)
		for _, id := range ended {
			p.end(id, EndDone)
		}
		p.endStopped(p.plan())
	}
}

// onTime simulates two minutes of wide jobs with slack and urgent gangs, all of which
// declare the same run time. It returns the number of gangs after the first minute that
// met 1.5 times their work plus 0.3 s, and of all of them.
func onTime(t *testing.T, learned bool) (met, all int) {
	p := newPool(t, 40)
	p.planner.LearnedRunTimes = learned
	random := rand.New(rand.NewPCG(7, 1))
	work, start := map[identifier.JobID]float64{}, p.now
	var gangs []identifier.JobID
	for id := 1; p.now.Before(start.Add(2 * time.Minute)); id++ {
		gang := id%3 == 0
		step, queue, millis := tasks(30, 2), QueueName("plan"), 1000+3000*random.Float64()
		if gang {
			step, queue, millis = tasks(6, 8), "urgent", 1000+2000*random.Float64()
			step.Gang = true
		}
		job := p.submit(id, queue, step)
		work[job] = millis
		if gang && p.now.After(start.Add(time.Minute)) {
			gangs = append(gangs, job)
		}
		p.run(p.now.Add(600*time.Millisecond), work)
	}
	p.run(p.now.Add(10*time.Second), work)
	for _, id := range gangs {
		if job := p.state.Job(id); job.Phase == PhaseCompleted && float64(job.Ended-job.Accepted) <= 1.5*work[id]+300 {
			met++
		}
	}
	return met, len(gangs)
}

// A gang with one slow member misses its objective, and neither the callers nor the
// workers tell which workers are slow.
func TestUrgentGangsMeetObjectivesOncePacesAreLearned(t *testing.T) {
	met, all := onTime(t, true)
	before, _ := onTime(t, false)
	t.Logf("%d of %d gangs on time, %d with declared estimates", met, all, before)
	if met < all*9/10 || met <= before {
		t.Errorf("%d of %d gangs on time, %d with declared estimates; want nine tenths, and more than with those", met, all, before)
	}
}

// Work that has time must not take the fast workers that urgent work needs, but no
// worker may stay idle while work waits.
func TestPlacementByPace(t *testing.T) {
	gang := imageStep(4, 8, "a")
	gang.Gang = true
	wide, rack := gang, gang
	wide.Width, rack.Width, rack.SameRack = 14, 3, true
	tests := []struct {
		name      string
		queue     QueueName
		step      Step
		slow, all int
	}{
		{"work with slack takes slow workers", "plan", imageStep(4, 8, "a"), 4, 4},
		{"work with slack takes all workers of a free pool", "plan", imageStep(16, 8, "a"), 4, 16},
		{"urgent work takes fast workers", "urgent", imageStep(12, 8, "a"), 0, 12},
		{"urgent work takes slow workers rather than none", "urgent", imageStep(16, 8, "a"), 4, 16},
		{"urgent gang takes fast workers", "urgent", gang, 0, 4},
		{"urgent gang in one rack takes the fast ones", "urgent", rack, 0, 3},
		{"gang that needs a slow worker leaves fast ones free", "urgent", wide, 4, 14},
		{"gang with slack takes slow workers alone", "plan", gang, 4, 4},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := newPool(t, 16)
			p.planner.LearnedRunTimes = true
			p.learnPaces(test.queue, map[string]time.Duration{"a": 2 * time.Second})
			job := p.submit(1, test.queue, test.step)
			p.plan()
			if slow, all := p.slowRuns(job); slow != test.slow || all != test.all {
				t.Errorf("%d of %d runs on slow workers, want %d of %d", slow, all, test.slow, test.all)
			}
			p.checkPlacements()
		})
	}
}

// Declared estimates that tell the opposite of the truth must not decide which of two
// jobs starts first.
func TestWaitingWorkIsOrderedByLearnedRunTime(t *testing.T) {
	for _, learned := range []bool{false, true} {
		p := newPool(t, 1)
		p.planner.LearnedRunTimes = learned
		p.learnPaces("plan", map[string]time.Duration{"short": time.Second, "long": 8 * time.Second})
		short, long := imageStep(1, 8, "short"), imageStep(1, 8, "long")
		short.EstimateMillis = 3000
		want := map[bool]identifier.JobID{false: p.submit(1, "plan", long), true: p.submit(2, "plan", short)}[learned]
		if plan := p.plan(); len(plan.Assign) != 1 || plan.Assign[0].Runs[0].ID.Task.Job != want {
			t.Errorf("learned %t: placed %+v, want job %s", learned, plan.Assign, want)
		}
	}
}

// A copy of a late task must not go to a worker as slow as the first, and a run within
// the learned spread needs none.
func TestCopiesUseLearnedRunTimes(t *testing.T) {
	tests := []struct {
		name    string
		percent int
		copies  int
	}{
		{"late by the declared estimate only", 20, 0},
		{"late by the learned run time", 6, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := newPool(t, 16)
			p.planner.LearnedRunTimes = true
			p.learnPaces("plan", map[string]time.Duration{"a": 6 * time.Second})
			step := imageStep(1, 8, "a")
			step.SpeculativeCopies = true
			run := firstRun(p, "plan", step)
			if first := p.state.Run(run); truePace(first.Worker) > 1 {
				t.Fatalf("first run is on the fast worker %s", first.Worker)
			}
			p.reportProgress(run, test.percent, time.Second)
			plan := p.plan()
			if len(plan.Assign) != test.copies || test.copies > 0 && truePace(plan.Assign[0].Runs[0].Worker) < 1 {
				t.Errorf("placed %+v, want %d copies on fast workers", plan.Assign, test.copies)
			}
		})
	}
}

// Of two runs that lose the same, the one that is about to end must not be stopped.
func TestRunNearItsEndIsNotPreempted(t *testing.T) {
	p := newPool(t, 2)
	p.planner.LearnedRunTimes = true
	p.learnPaces("long", map[string]time.Duration{"short": 2 * time.Second, "long": time.Minute})
	short := p.submit(1, "long", imageStep(1, 8, "short"))
	p.submit(2, "long", imageStep(1, 8, "long"))
	p.plan()
	p.now = p.now.Add(1500 * time.Millisecond)
	p.submit(3, "urgent", tasks(1, 8))
	if plan := p.plan(); len(plan.Stop) != 1 || plan.Stop[0].Run.Task.Job == short {
		t.Errorf("stopped %+v, want the run of the long job", plan.Stop)
	}
}

// Run times that were not caused by the work or the machine must not be learned, and a
// gang must not count once for each member.
func TestRunTimesThatAreLearned(t *testing.T) {
	gang := tasks(8, 8)
	gang.Gang = true
	rack, near, longRunning, bestEffort := gang, tasks(1, 8), tasks(1, 8), tasks(1, 8)
	rack.SameRack, near.DataRack, longRunning.LongRunning, bestEffort.BestEffort = true, "r9-9", true, true
	tests := []struct {
		name    string
		step    Step
		resumed bool
		kind    EndKind
		samples uint64
	}{
		{"done", tasks(1, 8), false, EndDone, 1},
		{"every task of a step", tasks(3, 8), false, EndDone, 3},
		{"stopped late", tasks(1, 8), false, EndStopped, 1},
		{"failed late", tasks(1, 8), false, EndFailed, 1},
		{"leases expired late", tasks(1, 8), false, EndLeaseExpired, 1},
		{"one sample of a gang", gang, false, EndDone, 1},
		{"one sample of a stopped gang", gang, false, EndStopped, 1},
		{"gang broken", gang, false, EndGangBroken, 0},
		{"gang timed out", gang, false, EndGangTimeout, 0},
		{"gang across racks", rack, false, EndDone, 0},
		{"resumed", tasks(1, 8), true, EndDone, 0},
		{"far from its data", near, false, EndDone, 0},
		{"long-running", longRunning, false, EndDone, 0},
		{"best-effort", bestEffort, false, EndDone, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := newPool(t, 8)
			// Only runs that are longer than expected count if they were cut short.
			p.learnPaces("plan", map[string]time.Duration{"": 100 * time.Millisecond})
			before := p.state.estimates.Statistics().Samples
			job := p.submit(1, "plan", test.step)
			p.plan()
			p.now = p.now.Add(3 * time.Second)
			p.plan()
			for _, run := range p.state.RunsOfJob(job) {
				if test.resumed {
					run.Checkpoint = "c"
				}
			}
			p.now = p.now.Add(3 * time.Second)
			for _, run := range p.state.RunsOfJob(job) {
				p.end(run.ID, test.kind)
			}
			if got := p.state.estimates.Statistics().Samples - before; got != test.samples {
				t.Errorf("%d samples, want %d", got, test.samples)
			}
		})
	}
}

// Guards against rates from too little progress, from progress that stands still, and
// against a run that resumed and counts what it did before.
func TestFullMillisFollowsTheRateOfProgress(t *testing.T) {
	type report struct {
		at      time.Duration
		percent int
	}
	tests := []struct {
		name    string
		reports []report
		want    int64
	}{
		{"no report", nil, 0},
		{"one report", []report{{0, 40}}, 0},
		{"steady", []report{{0, 10}, {time.Second, 30}, {2 * time.Second, 50}}, 5000},
		{"first reports without progress", []report{{0, 0}, {time.Second, 10}, {2 * time.Second, 30}}, 5000},
		{"resumed", []report{{0, 70}, {time.Second, 90}}, 5000},
		{"standing still at the end", []report{{0, 10}, {time.Second, 30}, {5 * time.Second, 30}}, 5000},
		{"too little progress", []report{{0, 10}, {2 * time.Second, 19}}, 0},
		{"too little time", []report{{0, 10}, {300 * time.Millisecond, 60}}, 0},
		{"done before the last report", []report{{0, 10}, {time.Second, 100}}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			observer := NewObserver(time.Unix(1000, 0), 6*time.Second, 4*time.Second)
			observation := observer.Track("w", 1, observer.Since)
			run := RunID{Task: TaskID{Job: "a"}, Number: 1}
			for _, r := range test.reports {
				observation.RecordProgress(&LiveRun{Run: run, Percent: r.percent}, observer.Since.Add(r.at))
			}
			if got := observation.FullMillis(run); got != test.want {
				t.Errorf("%d ms, want %d", got, test.want)
			}
		})
	}
}

// Guards against paces that stay unknown where all work is in gangs or is cut short:
// the members of a gang end together, but advance at their own rates.
func TestPacesFromProgress(t *testing.T) {
	gang := tasks(8, 8)
	gang.Gang = true
	tests := []struct {
		name    string
		step    Step
		kind    EndKind
		resumed bool
	}{
		{"gangs", gang, EndDone, false},
		{"gangs stopped", gang, EndStopped, false},
		{"gangs broken", gang, EndGangBroken, false},
		{"tasks stopped", tasks(8, 8), EndStopped, false},
		{"tasks resumed", tasks(8, 8), EndDone, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := newPool(t, 8)
			for id := 1; id <= 5; id++ {
				job := p.submit(id, "plan", test.step)
				p.plan()
				p.now = p.now.Add(time.Second)
				runs := p.state.RunsOfJob(job)
				for i := range runs {
					run := runs[(i+id)%len(runs)] // the first to end has no other to be compared with
					if test.resumed {
						run.Checkpoint = "c"
					}
					p.endAtRate(run.ID, test.kind, int64(2000/truePace(run.Worker)))
				}
				p.apply(Command{Cancel: &Cancel{Job: job}})
			}
			for _, worker := range p.state.Workers() {
				pace, known := p.state.Pace(worker)
				if slow := truePace(worker.ID) < 1; !known || (pace < slowBelow) != slow {
					t.Errorf("pace of %s is %.2f, known %v, true %.2f", worker.ID, pace, known, truePace(worker.ID))
				}
			}
		})
	}
}

// What was learned must survive a snapshot, and a snapshot must be restored whatever
// has become of its estimates.
func TestEstimatesInSnapshots(t *testing.T) {
	p := newPool(t, 8)
	p.learnPaces("plan", map[string]time.Duration{"a": time.Second})
	p.submit(1, "plan", tasks(1, 8))
	data, err := p.state.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	learned, err := json.Marshal(p.state.estimates)
	if err != nil {
		t.Fatal(err)
	}
	fresh, err := json.Marshal(estimator.New())
	if err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		name, stored string
		want         []byte
	}{
		{"unchanged", `,"estimates":` + string(learned), learned},
		{"of the previous version", "", fresh},
		{"null", `,"estimates":null`, fresh},
		{"unreadable", `,"estimates":"x"`, fresh},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			stored := bytes.Replace(data, append([]byte(`,"estimates":`), learned...), []byte(test.stored), 1)
			restored := NewState()
			if err := restored.Restore(stored); err != nil {
				t.Fatal(err)
			}
			got, err := json.Marshal(restored.estimates)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(string(test.want), string(got)); diff != "" || len(restored.jobs) != 1 {
				t.Errorf("restored %d jobs and other estimates:\n%s", len(restored.jobs), diff)
			}
		})
	}
}

// With declared run times, no plan may depend on what was learned.
func TestDeclaredRunTimesIgnoreWhatWasLearned(t *testing.T) {
	for seed := range uint64(20) {
		var plans [2][]Plan
		for i := range plans {
			p := newPool(t, 16)
			if i == 1 {
				for _, queue := range []QueueName{"urgent", "plan", "long"} {
					p.learnPaces(queue, map[string]time.Duration{"": 7 * time.Second})
				}
			}
			random := rand.New(rand.NewPCG(seed, 1))
			for id := range 60 {
				p.submit(id, []QueueName{"urgent", "plan", "long"}[random.IntN(3)], randomStep(random))
				plan := p.plan()
				plans[i] = append(plans[i], plan)
				p.endStopped(plan)
				if runs := sortedRuns(p.state); len(runs) > 0 && id%2 == 0 {
					p.reportProgress(runs[random.IntN(len(runs))], random.IntN(100), 0)
					p.end(runs[random.IntN(len(runs))], EndDone)
				}
				p.now = p.now.Add(time.Duration(random.IntN(400)) * time.Millisecond)
			}
		}
		if diff := cmp.Diff(plans[0], plans[1]); diff != "" {
			t.Fatalf("seed %d: plans differ:\n%s", seed, diff)
		}
	}
}

func sortedRuns(s *State) []RunID {
	var runs []RunID
	for id := range s.runs {
		runs = append(runs, id)
	}
	SortRuns(runs)
	return runs
}

// A run on a slow worker must neither count as stalled nor be expected to end before
// its worker leaves as if the worker were fast and the declared estimate were right.
func TestRunsOnSlowWorkersAreGivenTime(t *testing.T) {
	tests := []struct {
		learned        bool
		remaining      int64
		mayStand       time.Duration
		stopsForLeaver bool
	}{
		{false, 1000, 3 * time.Second, false},
		// A minute at a pace of 0.75 or less; after twelve runs it is not exact.
		{true, 79_000, 6400 * time.Millisecond, true},
	}
	for _, test := range tests {
		p := newPool(t, 16)
		p.planner.LearnedRunTimes = test.learned
		p.learnPaces("plan", map[string]time.Duration{"a": time.Minute})
		job := p.submit(1, "plan", imageStep(16, 8, "a"))
		p.plan()
		p.now = p.now.Add(time.Second)
		for _, run := range p.state.RunsOfJob(job) {
			step := p.state.StepOf(run.ID.Task)
			if truePace(run.Worker) > 1 {
				continue
			}
			remaining := remainingMillis(step, run, p.observer, p.wall())
			if limit := p.observer.stallLimit(step, run, Progress{}, p.wall()); remaining < test.remaining || limit < test.mayStand {
				t.Errorf("learned %t: %d ms remain, may make no progress for %v, want at least %+v", test.learned, remaining, limit, test)
			}
			worker := &Worker{DrainMillis: 10_000, DrainingSince: p.wall()}
			if got := outlastsDrain(step, worker, run, p.observer, p.wall()); got != test.stopsForLeaver {
				t.Errorf("learned %t: outlasts its worker: %t, want %t", test.learned, got, test.stopsForLeaver)
			}
		}
	}
}
