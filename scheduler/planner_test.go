package scheduler

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"cranberrystack.dev/cranberrystack/identifier"
)

// testPool is a state with workers that all have just been in contact.
type testPool struct {
	t        *testing.T
	state    *State
	observer *Observer
	planner  *Planner
	now      time.Time
}

const testCatalog = `{"version":1,"queues":[
{"name":"urgent","host":"h","path-prefix":"/u/","worker-pool":"p","priority":0,"max-attempts":2,"stretch":1.5,"objective-ms":300,"timeout-ms":1},
{"name":"plan","host":"h","path-prefix":"/p/","worker-pool":"p","priority":1,"max-attempts":2,"stretch":3,"objective-ms":1000,"timeout-ms":1},
{"name":"long","host":"h","path-prefix":"/l/","worker-pool":"p","priority":2,"max-attempts":2,"stretch":3,"objective-ms":1000,"timeout-ms":1}],
"pools":[{"name":"p","guards-capacity":true}],"teams":[{"name":"a","keys":["k"],"guarantee":{"accelerators":16}}]}`

func newPool(t *testing.T, workers int) *testPool {
	p := &testPool{t: t, state: NewState(), planner: NewPlanner(), now: time.Unix(1000, 0)}
	p.observer = NewObserver(p.now, 6*time.Second, 4*time.Second)
	var document bytes.Buffer
	if err := json.Compact(&document, []byte(testCatalog)); err != nil {
		t.Fatal(err)
	}
	p.apply(Command{Configure: &Configure{Document: document.Bytes()}})
	for i := range workers {
		worker := Worker{
			ID: identifier.WorkerID(fmt.Sprintf("w%02d", i)), Incarnation: 1, Pool: "p", Address: fmt.Sprint("a", i),
			Labels: []string{"a", fmt.Sprintf("r1-%d", i/4)}, State: WorkerReady,
			Capacity: Resources{CPU: 64000, Memory: 128000, Accelerators: 8},
		}
		if i%2 == 0 {
			worker.Labels = append(worker.Labels, "even")
		}
		p.apply(Command{Register: &worker})
	}
	p.contactAll()
	return p
}

func (p *testPool) wall() UnixMilli { return UnixMilli(p.now.UnixMilli()) }

func (p *testPool) apply(commands ...Command) []Result {
	return p.state.ApplyBatch(Batch{Now: p.wall(), FencingToken: 1, Commands: commands})
}

func (p *testPool) contactAll() {
	for _, worker := range p.state.Workers() {
		p.observer.Track(worker.ID, worker.Incarnation, p.now).RecordContact(WorkerMilli(p.now.UnixMilli()), p.now)
	}
}

func (p *testPool) submit(id int, queue QueueName, steps ...Step) identifier.JobID {
	job := identifier.JobID(fmt.Sprintf("%016x", id))
	result := p.apply(Command{Submit: &Submit{Job: job, Queue: queue, Team: "a", Request: Request{Steps: steps}}})
	if result[0].Outcome != OutcomeDone {
		p.t.Fatalf("submit: %+v", result[0])
	}
	return job
}

// plan runs one placement pass and applies its placements.
func (p *testPool) plan() Plan {
	p.contactAll()
	plan := p.planner.Plan(p.state, p.observer, p.now, p.wall())
	for i := range plan.Assign {
		if result := p.apply(Command{Assign: &plan.Assign[i]}); result[0].Outcome != OutcomeDone {
			p.t.Errorf("placement of %s: %+v", plan.Assign[i].Runs[0].ID, result[0])
		}
	}
	return plan
}

func (p *testPool) endStopped(plan Plan) {
	for _, stop := range plan.Stop {
		p.end(stop.Run, EndStopped)
	}
}

func (p *testPool) end(id RunID, kind EndKind) { p.endAtRate(id, kind, 0) }

// endAtRate ends a run whose progress told that its whole task takes fullMillis.
func (p *testPool) endAtRate(id RunID, kind EndKind, fullMillis int64) {
	run := p.state.Run(id)
	if run == nil {
		return
	}
	worker := p.state.Worker(run.Worker)
	number := worker.Acked + 1
	p.apply(Command{RecordEnds: &RecordEnds{Worker: run.Worker, Incarnation: run.Incarnation, Number: number, Ends: []End{{Number: number, Run: id, Kind: kind, FullMillis: fullMillis}}}})
}

// checkPlacements checks the capacities, labels and spread limits of all placed
// runs, and that the runs of a gang have one number.
func (p *testPool) checkPlacements() {
	p.t.Helper()
	gangRuns := map[StepID]map[int]int{}
	for _, worker := range p.state.Workers() {
		left := worker.Capacity
		spread := map[StepID]int{}
		for id := range p.state.RunsOn(worker.ID) {
			step := p.state.StepOf(id.Task)
			left = left.Minus(step.Demand())
			spread[id.Task.StepID()]++
			if step.SpreadLimit > 0 && spread[id.Task.StepID()] > step.SpreadLimit {
				p.t.Errorf("%d tasks of %s on %s, limit %d", spread[id.Task.StepID()], id.Task.StepID(), worker.ID, step.SpreadLimit)
			}
			if step.NeedsLabel != "" && !worker.HasLabel(step.NeedsLabel) {
				p.t.Errorf("%s is on %s, which lacks the label %s", id, worker.ID, step.NeedsLabel)
			}
			if step.Gang {
				if gangRuns[id.Task.StepID()] == nil {
					gangRuns[id.Task.StepID()] = map[int]int{}
				}
				gangRuns[id.Task.StepID()][id.Number]++
			}
		}
		if left.CPU < 0 || left.Memory < 0 || left.Accelerators < 0 {
			p.t.Errorf("%s exceeds its capacity: %+v left", worker.ID, left)
		}
	}
	for id, numbers := range gangRuns {
		if len(numbers) > 1 {
			p.t.Errorf("gang %s has runs with different numbers: %v", id, numbers)
		}
	}
}

func randomStep(random *rand.Rand) Step {
	step := Step{
		Width: 1 + random.IntN(12), EstimateMillis: int64(100 + random.IntN(5000)),
		Resources: Resources{
			CPU: int64(500 + random.IntN(30000)), Memory: int64(100 + random.IntN(60000)),
			Accelerators: int64([]int{0, 1, 1, 2, 4, 8}[random.IntN(6)]),
		},
		Gang: random.IntN(3) == 0, SameRack: random.IntN(3) == 0, Checkpoints: random.IntN(2) == 0,
	}
	if random.IntN(4) == 0 {
		step.NeedsLabel = "even"
	}
	if random.IntN(4) == 0 {
		step.SpreadLimit = 1 + random.IntN(2)
	}
	if random.IntN(4) == 0 {
		step.DataRack = fmt.Sprintf("r1-%d", random.IntN(3))
	}
	return step
}

// Random jobs are submitted, end, fail and are cancelled. No worker may exceed
// its capacity, no gang may have runs with different numbers, and no urgent run may
// be stopped for other work.
func TestPlacementInvariantsUnderRandomJobs(t *testing.T) {
	const seeds = 1500
	for seed := range uint64(seeds) {
		random := rand.New(rand.NewPCG(seed, seed))
		p := newPool(t, 8)
		for round := range 12 {
			queue := []QueueName{"urgent", "plan", "long"}[random.IntN(3)]
			p.submit(round+1, queue, randomStep(random))
			plan := p.plan()
			for _, stop := range plan.Stop {
				job := p.state.Job(stop.Run.Task.Job)
				if job.Active() && job.Policy.Priority == 0 && stop.Cause != CauseGangIncomplete {
					t.Errorf("urgent run %s is stopped: %s", stop.Run, stop.Reason)
				}
			}
			p.checkPlacements()
			p.endStopped(plan)
			for id := range p.state.runs {
				switch random.IntN(6) {
				case 0:
					p.end(id, EndDone)
				case 1:
					p.end(id, EndFailed)
				}
			}
			if random.IntN(6) == 0 {
				p.apply(Command{Cancel: &Cancel{Job: identifier.JobID(fmt.Sprintf("%016x", 1+random.IntN(round+1)))}})
			}
			p.now = p.now.Add(time.Duration(random.IntN(2000)) * time.Millisecond)
		}
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
}

func tasks(width int, accelerators int64) Step {
	return Step{Width: width, EstimateMillis: 2000, Resources: Resources{CPU: 1000, Memory: 1000, Accelerators: accelerators}}
}

func TestUrgentGangPreemptsWithinOneRack(t *testing.T) {
	p := newPool(t, 8)
	p.submit(1, "long", tasks(64, 1))
	p.plan()
	gang := tasks(3, 8)
	gang.Gang, gang.SameRack = true, true
	urgent := p.submit(2, "urgent", gang)
	p.endStopped(p.plan())
	p.plan()
	racks := map[string]bool{}
	for id, run := range p.state.runs {
		if id.Task.Job == urgent {
			racks[p.state.Worker(run.Worker).Rack()] = true
		}
	}
	if len(racks) != 1 {
		t.Errorf("gang runs in racks %v, want one", racks)
	}
	p.checkPlacements()
}

func TestPreemptionStopsNoMoreThanNeeded(t *testing.T) {
	p := newPool(t, 1)
	p.submit(1, "long", tasks(8, 1))
	p.plan()
	p.submit(2, "urgent", tasks(1, 3))
	if plan := p.plan(); len(plan.Stop) != 3 {
		t.Errorf("%d stops, want 3", len(plan.Stop))
	}
}

// A gang of which one member is preempted is stopped as a whole. The capacity
// of its other members must be used before any other run is stopped.
func TestCapacityOfPreemptedGangIsUsedFirst(t *testing.T) {
	p := newPool(t, 4)
	gang := tasks(4, 4)
	gang.Gang, gang.SpreadLimit = true, 1
	preempted := p.submit(1, "long", gang)
	p.plan()
	p.submit(2, "long", tasks(4, 4))
	p.plan()
	wide := tasks(4, 4)
	wide.Gang, wide.SpreadLimit = true, 1
	p.now = p.now.Add(100 * time.Millisecond)
	p.submit(3, "urgent", wide)
	plan := p.plan()
	jobs := map[identifier.JobID]int{}
	for _, stop := range plan.Stop {
		jobs[stop.Run.Task.Job]++
	}
	if len(plan.Stop) != 4 || len(jobs) != 1 && jobs[preempted] > 0 {
		t.Errorf("stops %v, want the 4 members of one gang or 4 single tasks", jobs)
	}
}

func TestCheckpointingTasksArePreemptedFirst(t *testing.T) {
	p := newPool(t, 1)
	checkpointing := tasks(4, 1)
	checkpointing.Checkpoints = true
	preferred := p.submit(1, "long", checkpointing)
	p.submit(2, "long", tasks(4, 1))
	p.plan()
	p.now = p.now.Add(5 * time.Second)
	p.submit(3, "urgent", tasks(1, 4))
	for _, stop := range p.plan().Stop {
		if stop.Run.Task.Job != preferred {
			t.Errorf("%s is stopped, but its task has no checkpoints", stop.Run)
		}
	}
}

func TestDrainingWorkerGetsNoRunsAndIsDrained(t *testing.T) {
	p := newPool(t, 2)
	p.submit(1, "long", tasks(16, 1))
	p.plan()
	draining := *p.state.Worker("w00")
	draining.State, draining.DrainMillis = WorkerDraining, 1000
	draining.Sequence++
	p.apply(Command{Register: &draining})
	plan := p.plan()
	if len(plan.Stop) != 8 || len(plan.Assign) != 0 {
		t.Errorf("%d stops and %d placements, want 8 and 0", len(plan.Stop), len(plan.Assign))
	}
	p.endStopped(plan)
	p.submit(2, "urgent", tasks(1, 1))
	for _, assign := range p.plan().Assign {
		for _, run := range assign.Runs {
			if run.Worker == "w00" {
				t.Errorf("%s is assigned to a draining worker", run.ID)
			}
		}
	}
}

func TestUnresponsiveWorkerGetsNoRuns(t *testing.T) {
	p := newPool(t, 2)
	p.observer.Track("w00", 1, p.now).MissedPolls = 1
	p.submit(1, "long", tasks(16, 1))
	for _, assign := range p.planner.Plan(p.state, p.observer, p.now, p.wall()).Assign {
		for _, run := range assign.Runs {
			if run.Worker == "w00" {
				t.Errorf("%s is assigned to an unresponsive worker", run.ID)
			}
		}
	}
}

func TestPacesFollowTailLatency(t *testing.T) {
	p := newPool(t, 1)
	serving := tasks(1, 1)
	serving.LongRunning, serving.TargetMillis = true, 100
	bestEffort := tasks(1, 1)
	bestEffort.BestEffort = true
	first := p.submit(1, "urgent", serving)
	second := p.submit(2, "long", bestEffort)
	p.plan()
	observation := p.observer.Track("w00", 1, p.now)
	servingRun := RunID{Task: TaskID{Job: first}, Number: 1}
	bestEffortRun := RunID{Task: TaskID{Job: second}, Number: 1}
	tests := []struct {
		tail    int64
		current int
		want    int
	}{
		{tail: 90, current: 100, want: 100},
		{tail: 120, current: 100, want: 50},
		{tail: 250, current: 100, want: 0},
		{tail: 120, current: 25, want: 0},
		{tail: 40, current: 0, want: 25},
	}
	for _, test := range tests {
		observation.RecordProgress(&LiveRun{Run: servingRun, Percent: 100, Measurement: test.tail}, p.now)
		got := test.current
		for _, pace := range p.state.Paces(p.observer, "w00", map[RunID]int{bestEffortRun: test.current}) {
			got = pace.Percent
		}
		if got != test.want {
			t.Errorf("tail %d at %d%%: %d%%, want %d%%", test.tail, test.current, got, test.want)
		}
	}
}

// A job waits for the rack of its data about as long as it would lose
// elsewhere. It must wait at most 2 s while it has no runs and most of the
// pool is free.
func TestDataRackWaitIsBounded(t *testing.T) {
	tests := []struct {
		name string
		// busy is the number of accelerators in use in the other rack, after the
		// wait in milliseconds and runs the number of runs then.
		busy, after int
		runs        int
	}{
		{"job without runs, free pool, before the limit", 0, 1900, 0},
		{"job without runs, free pool, after the limit", 0, 2100, 4},
		{"job without runs, busy pool, before the estimate", 24, 2100, 0},
		{"job without runs, busy pool, after the estimate", 24, 9100, 4},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := newPool(t, 8)
			full := tasks(32, 1)
			full.DataRack = "r1-0"
			p.submit(1, "plan", full)
			p.plan()
			if test.busy > 0 {
				other := tasks(test.busy, 1)
				other.DataRack = "r1-1"
				p.submit(2, "plan", other)
				p.plan()
			}
			step := tasks(4, 1)
			step.DataRack, step.EstimateMillis = "r1-0", 9000
			job := p.submit(3, "long", step)
			p.plan()
			p.now = p.now.Add(time.Duration(test.after) * time.Millisecond)
			p.plan()
			if runs := len(p.state.RunsOfJob(job)); runs != test.runs {
				t.Errorf("%d runs after %d ms, want %d", runs, test.after, test.runs)
			}
		})
	}
}

// Guards against new runs on workers that start whatever they are told to, while
// nobody knows whether their capacity has shrunk.
func TestUnreportedCapacityGetsNoRuns(t *testing.T) {
	tests := []struct {
		name     string
		enforces bool
		age      time.Duration
		want     bool
	}{
		{"enforced", true, time.Minute, true},
		{"recent report", false, time.Second, true},
		{"old report", false, 3 * time.Second, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := newPool(t, 1)
			p.state.catalog.Pools[0].EnforcesCapacity = test.enforces
			p.observer.Observation("w00").ReportedAt = p.now.Add(-test.age)
			p.submit(1, "long", tasks(1, 1))
			if got := len(p.plan().Assign) > 0; got != test.want {
				t.Errorf("a run is placed: %t, want %t", got, test.want)
			}
		})
	}
}

// Guards against runs that are stopped for a gang in several racks while it still waits for
// one, so that others take the capacity.
func TestGangThatNeedsOneRackStopsNoRunsElsewhere(t *testing.T) {
	p := newPool(t, 8)
	for rack := range 2 {
		lasting, other := tasks(3, 8), tasks(1, 8)
		lasting.LongRunning = true
		lasting.DataRack, other.DataRack = fmt.Sprintf("r1-%d", rack), fmt.Sprintf("r1-%d", rack)
		p.submit(1+rack, "long", lasting, other)
	}
	p.plan()
	if placed := len(p.state.runs); placed != 8 {
		t.Fatalf("%d runs are placed, want 8", placed)
	}
	job := p.submit(3, "urgent", with(gangOf(2, 8), func(s *Step) { s.SameRack, s.EstimateMillis = true, 4000 }))
	p.state.Job(job).Team = "without a guarantee"
	for range 9 {
		if plan := p.plan(); len(plan.Stop) > 0 {
			t.Fatalf("%d runs are stopped while the gang waits for a rack", len(plan.Stop))
		}
		p.now = p.now.Add(100 * time.Millisecond)
	}
	for range 6 {
		p.now = p.now.Add(100 * time.Millisecond)
		p.endStopped(p.plan())
	}
	if placed := len(p.state.RunsOfJob(job)); placed != 2 {
		t.Errorf("%d members are placed after the wait, want 2", placed)
	}
}
