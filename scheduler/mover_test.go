package scheduler

import (
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cranberrystack.dev/cranberrystack/identifier"
)

// Guards against stops that lose work or availability: of runs that have no room
// elsewhere, would end soon, lose their work, are needed by their step, or are whole
// only as a gang, and of those that would be stopped again for urgent work.
func TestRunsAreMovedOnlyWithRoom(t *testing.T) {
	gang := func(s *Step) { s.Gang = true }
	longRunning := func(limit int) func(*Step) {
		return func(s *Step) { s.LongRunning, s.MaxUnavailable = true, limit }
	}
	checkpoints := with(tasks(4, 1), checkpointing)
	tests := []struct {
		name string
		step Step
		// busy is what is in use in the other data centre of 8 accelerators, and peak the
		// recent maximum of urgent work.
		busy   int
		peak   float64
		want   int
		change func(o *Observer, now time.Time)
	}{
		{"checkpointing", checkpoints, 4, 0, 4, nil},
		{"room for a part", checkpoints, 6, 0, 2, nil},
		{"no room", checkpoints, 8, 0, 0, nil},
		{"reserve for urgent work", checkpoints, 4, 8, 2, nil},
		{"ends soon", with(checkpoints, func(s *Step) { s.EstimateMillis = 4000 }), 0, 0, 0, nil},
		{"would lose its work", with(checkpoints, func(s *Step) { s.Checkpoints = false }), 0, 0, 0, nil},
		{"gang", with(checkpoints, gang), 4, 0, 4, nil},
		{"gang, room for a part", with(checkpoints, gang), 5, 0, 0, nil},
		{"long-running", with(tasks(4, 1), longRunning(2)), 0, 0, 2, nil},
		{"long-running, no room", with(tasks(4, 1), longRunning(2)), 8, 0, 0, nil},
		{"long-running, all needed", with(checkpoints, longRunning(0)), 0, 0, 0, nil},
		{"long-running gang", with(with(tasks(4, 1), longRunning(4)), gang), 0, 0, 4, nil},
		{"long-running gang, needed", with(with(tasks(4, 1), longRunning(3)), gang), 0, 0, 0, nil},
		{"unresponsive worker", checkpoints, 0, 0, 0, func(o *Observer, _ time.Time) { o.Observation("w00").MissedPolls = 1 }},
		{"room on a faulty worker", checkpoints, 0, 0, 0, func(o *Observer, now time.Time) { o.Observation("w01").lastStall = now }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := newTwoCentrePool(t, 1, 1)
			job := p.fill(1, "long", "a", test.step)
			p.reportAllAvailable(4)
			if !test.step.LongRunning {
				p.observer.Observation("w00").Progress = map[RunID]Progress{}
			}
			p.fill(2, "long", "b", tasks(max(1, test.busy), int64(min(1, test.busy))))
			p.order("a", true)
			p.planner.peaks["p"], p.planner.peaksUpdated = test.peak, p.now
			if test.change != nil {
				test.change(p.observer, p.now)
			}
			plan, moved := p.planStopping()
			if moved != test.want {
				t.Fatalf("%d runs are moved, want %d", moved, test.want)
			}
			if _, again := p.planStopping(); again != 0 {
				t.Errorf("%d more runs are moved while the first are being stopped", again)
			}
			p.endStopped(plan)
			p.planner.peaks["p"] = 0
			p.plan()
			if got := p.runsIn(job, "b"); got != test.want {
				t.Errorf("%d runs have found room, want %d", got, test.want)
			}
			p.checkPlacements()
		})
	}
}

// Guards against room that is promised twice: to less urgent work, which would keep
// the stopped task waiting, or to several runs. More urgent work goes first.
func TestRoomOfMovedRunsIsBooked(t *testing.T) {
	tests := []struct {
		name        string
		queue       QueueName
		other       identifier.DataCenterID
		moved, here int
	}{
		{"less urgent work waits", "long", "", 8, 0},
		{"urgent work goes first", "urgent", "", 0, 8},
		{"a second job without room stays", "plan", "a", 8, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := newTwoCentrePool(t, 2, 1)
			job := p.fill(1, "plan", "a", with(tasks(8, 1), checkpointing))
			var other identifier.JobID
			if test.other != "" {
				other = p.fill(2, test.queue, test.other, with(tasks(8, 1), checkpointing))
			}
			p.order("a", true)
			if test.other == "" {
				other = p.submit(2, test.queue, tasks(8, 1))
			}
			plan, moved := p.planStopping()
			for range 2 {
				p.now = p.now.Add(100 * time.Millisecond)
				p.planStopping()
			}
			if got := p.runsIn(other, "b"); moved != test.moved || got != test.here {
				t.Fatalf("%d runs are moved and %d of the other job placed, want %d and %d", moved, got, test.moved, test.here)
			}
			p.endStopped(plan)
			p.plan()
			if got := p.runsIn(job, "b"); got != test.moved {
				t.Errorf("%d runs are placed after the move, want %d", got, test.moved)
			}
		})
	}
}

// Guards against moves to room that urgent work is going to take by preemption as soon
// as it is its turn, and against moves without a ticket, which would wait for advice.
func TestMovesWaitForUrgentWorkAndAdvice(t *testing.T) {
	p := newTwoCentrePool(t, 1, 1)
	job := p.fill(1, "long", "a", with(tasks(4, 1), checkpointing))
	p.order("a", true)
	for id := range maxSearches {
		p.submit(100+id, "urgent", with(tasks(1, 1), func(s *Step) { s.NeedsLabel = "none" }))
	}
	if _, moved := p.planStopping(); moved != 0 {
		t.Errorf("%d runs are moved while urgent work waits for its turn", moved)
	}
	p.state.Job(job).Policy.NeedsAdvice = true
	p.observer.Cordoned["w01"] = true
	if plan, _ := p.planStopping(); len(plan.Advise) != 0 {
		t.Errorf("advice is requested for %v without room", plan.Advise)
	}
	clear(p.observer.Cordoned)
	plan, moved := p.planStopping()
	if diff := cmp.Diff([]StepID{{Job: job}}, plan.Advise); diff != "" || moved != 0 {
		t.Errorf("%d runs are moved without a ticket, advice differs:\n%s", moved, diff)
	}
	p.advise(StepID{Job: job}, time.Second, "w01")
	if _, moved := p.planStopping(); moved != 4 {
		t.Errorf("%d runs are moved with a ticket, want 4", moved)
	}
}

// Guards against room that was promised to a stopped run and is taken by a more
// urgent one that can leave only later.
func TestStoppedRunsGetTheirRoomFirst(t *testing.T) {
	p := newTwoCentrePool(t, 2, 1)
	urgent := p.fill(1, "plan", "a", with(tasks(1, 8), checkpointing))
	job := p.fill(2, "long", "a", with(tasks(1, 8), checkpointing))
	p.order("a", true)
	late := p.observer.Observation(p.state.RunsOfJob(urgent)[0].Worker)
	late.MissedPolls = 1
	plan, moved := p.planStopping()
	late.MissedPolls = 0
	_, second := p.planStopping()
	p.endStopped(plan)
	_, third := p.planStopping()
	if moved != 1 || second != 0 || third != 0 || p.runsIn(job, "b") != 1 {
		t.Errorf("%d, %d and %d runs are moved, want only one", moved, second, third)
	}
}

// Guards against runs that are stopped twice in a pass, and against those that keep
// others of their step from being moved.
func TestRunsStoppedForOtherReasonsAreNotMoved(t *testing.T) {
	count := func(plan Plan) map[Cause]int {
		causes := map[Cause]int{}
		for _, stop := range plan.Stop {
			causes[stop.Cause]++
		}
		return causes
	}
	p := newTwoCentrePool(t, 2, 2)
	p.fill(1, "long", "a", with(tasks(16, 1), checkpointing))
	p.state.Worker("w00").State = WorkerDraining
	p.order("a", true)
	if diff := cmp.Diff(map[Cause]int{CauseDraining: 8, CauseEmptied: 8}, count(p.plan())); diff != "" {
		t.Errorf("causes of stops on a draining worker differ:\n%s", diff)
	}
	p = newTwoCentrePool(t, 1, 4)
	p.observer.Cordoned["w02"], p.observer.Cordoned["w03"], p.observer.Cordoned["w04"] = true, true, true
	p.submit(1, "long", with(tasks(2, 8), func(s *Step) { checkpointing(s); s.Gang = true }))
	p.plan()
	clear(p.observer.Cordoned)
	p.state.Worker("w01").Labels = append(p.state.Worker("w01").Labels, "only")
	p.submit(2, "urgent", with(tasks(1, 8), func(s *Step) { s.NeedsLabel = "only" }))
	p.order("a", true)
	if diff := cmp.Diff(map[Cause]int{CausePreempted: 2}, count(p.plan())); diff != "" {
		t.Errorf("causes of stops of a preempted gang differ:\n%s", diff)
	}
}

// Guards against a gang that is never moved, though it fits beside nothing but its
// own members in the other data centre, and against one of which a part is moved.
func TestGangAcrossDataCentersIsMovedWhole(t *testing.T) {
	p := newTwoCentrePool(t, 1, 2)
	p.observer.Cordoned["w02"] = true
	job := p.submit(1, "plan", with(tasks(2, 8), func(s *Step) { checkpointing(s); s.Gang = true }))
	p.plan()
	clear(p.observer.Cordoned)
	p.order("a", true)
	plan, moved := p.planStopping()
	if moved != 2 || p.runsIn(job, "a") != 1 {
		t.Fatalf("%d members of 2 are stopped", moved)
	}
	p.end(plan.Stop[0].Run, EndStopped)
	less := p.submit(2, "long", tasks(1, 8))
	p.plan()
	p.end(plan.Stop[1].Run, EndStopped)
	p.plan()
	if got := p.runsIn(job, "b"); got != 2 || len(p.state.RunsOfJob(less)) != 0 {
		t.Errorf("%d members of 2 are placed", got)
	}
}

// Guards against passes without a bound, and against runs without room that keep
// those behind them from their turn.
func TestMovesAreBounded(t *testing.T) {
	p := newTwoCentrePool(t, 60, 60)
	blocked := with(tasks(1, 1), func(s *Step) { checkpointing(s); s.NeedsLabel = "only-a" })
	for _, worker := range p.state.Workers()[:60] {
		worker.Labels = append(worker.Labels, "only-a")
	}
	for id := range 2 * maxMovingUnits {
		p.fill(100+id, "plan", "a", blocked)
	}
	job := p.fill(1, "long", "a", with(tasks(maxMovingRuns+50, 1), checkpointing))
	p.order("a", true)
	moved := 0
	for range 3 {
		_, count := p.planStopping()
		moved += count
		p.now = p.now.Add(50 * time.Millisecond)
	}
	if moved == 0 || moved > maxMovingRuns {
		t.Errorf("%d runs of %s are being moved, want 1 to %d", moved, job, maxMovingRuns)
	}
}

// Guards against interactions of moves with all other rules: random jobs run while
// random orders empty and return data centres.
func TestMovesKeepInvariantsUnderRandomOrders(t *testing.T) {
	for seed := range uint64(400) {
		random := rand.New(rand.NewPCG(seed, 7))
		p := newTwoCentrePool(t, 4, 4)
		for round := range 16 {
			queue := []QueueName{"urgent", "plan", "long"}[random.IntN(3)]
			step := randomStep(random)
			step.EstimateMillis *= 10
			step.LongRunning, step.MaxUnavailable = random.IntN(4) == 0, random.IntN(3)
			p.submit(round+1, queue, step)
			for _, id := range p.runIDs() {
				p.reportProgress(id, 100*random.IntN(2), 0)
			}
			p.apply(Command{DataCenter: &DataCenterOrder{Name: []identifier.DataCenterID{"a", "b"}[random.IntN(2)], Emptied: random.IntN(2) == 0}})
			p.checkMoves()
			p.checkPlacements()
			for _, id := range p.runIDs() {
				if p.observer.Stopping(p.state.Run(id)) && random.IntN(2) == 0 || random.IntN(8) == 0 {
					p.end(id, EndStopped)
				}
			}
			p.now = p.now.Add(time.Duration(random.IntN(1000)) * time.Millisecond)
		}
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
}

// runIDs returns the ids of all runs in order.
func (p *testPool) runIDs() []RunID {
	ids := slices.Collect(maps.Keys(p.state.runs))
	SortRuns(ids)
	return ids
}

// checkMoves makes a plan and checks that it places nothing in an emptied data
// centre, stops each run once, moved gangs as a whole and at most MaxUnavailable tasks of a
// long-running step.
func (p *testPool) checkMoves() {
	plan, _ := p.planStopping()
	moved := map[StepID]int{}
	stopped := map[RunID]bool{}
	for _, stop := range plan.Stop {
		if stopped[stop.Run] {
			p.t.Errorf("%s is stopped twice", stop.Run)
		}
		stopped[stop.Run] = true
		if step := p.state.StepOf(stop.Run.Task); stop.Cause == CauseEmptied && (step.Gang || step.LongRunning) {
			moved[stop.Run.Task.StepID()]++
		}
	}
	for id, count := range moved {
		step := p.state.StepOf(TaskID{Job: id.Job, Occurrence: id.Occurrence, Step: id.Step})
		if step.Gang && count != step.Width || step.LongRunning && count > step.MaxUnavailable {
			p.t.Errorf("%d runs of %+v are moved", count, step)
		}
	}
	for _, assign := range plan.Assign {
		for _, run := range assign.Runs {
			if p.state.InEmptiedDataCenter(p.state.Worker(run.Worker)) {
				p.t.Errorf("%s is placed on %s, which is in an emptied data centre", run.ID, run.Worker)
			}
		}
	}
}
