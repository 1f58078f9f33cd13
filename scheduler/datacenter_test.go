package scheduler

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cranberrystack.dev/cranberrystack/identifier"
)

// newTwoCentrePool returns a pool whose first workers are in data centre a, and the
// others in b.
func newTwoCentrePool(t *testing.T, inA, inB int) *testPool {
	p := newPool(t, inA+inB)
	for i, worker := range p.state.Workers() {
		worker.DataCenter = "b"
		if i < inA {
			worker.DataCenter = "a"
		}
	}
	return p
}

func (p *testPool) order(name identifier.DataCenterID, emptied bool) {
	p.t.Helper()
	if got := p.apply(Command{DataCenter: &DataCenterOrder{Name: name, Emptied: emptied}})[0]; got.Outcome != OutcomeDone {
		p.t.Fatalf("order for %s: %+v", name, got)
	}
}

// fill submits a step and places it in one data centre only.
func (p *testPool) fill(id int, queue QueueName, name identifier.DataCenterID, step Step) identifier.JobID {
	for _, worker := range p.state.Workers() {
		p.observer.Cordoned[worker.ID] = worker.DataCenter != name
	}
	job := p.submit(id, queue, step)
	p.plan()
	clear(p.observer.Cordoned)
	return job
}

// runsIn counts the runs of a job in a data centre.
func (p *testPool) runsIn(job identifier.JobID, name identifier.DataCenterID) int {
	count := 0
	for _, run := range p.state.RunsOfJob(job) {
		if p.state.Worker(run.Worker).DataCenter == name {
			count++
		}
	}
	return count
}

// planStopping makes and applies a plan whose stops are ordered but not yet carried
// out. It returns the number of stops for an emptied data centre.
func (p *testPool) planStopping() (Plan, int) {
	plan := p.plan()
	moved := 0
	for _, stop := range plan.Stop {
		run := p.state.Run(stop.Run)
		p.observer.Observation(run.Worker).Stopping[stop.Run] = p.now
		if stop.Cause == CauseEmptied {
			moved++
		}
	}
	return plan, moved
}

func with(step Step, change func(*Step)) Step {
	change(&step)
	return step
}

func checkpointing(s *Step) { s.Checkpoints, s.EstimateMillis = true, 60_000 }

// Guards against runs of any kind that are placed in an emptied data centre, at once
// or after preempting the runs there.
func TestEmptiedDataCenterGetsNoRuns(t *testing.T) {
	tests := []struct {
		name  string
		queue QueueName
		step  Step
	}{
		{"tasks", "long", tasks(16, 1)},
		{"gang", "long", with(tasks(2, 8), func(s *Step) { s.Gang = true })},
		{"long-running", "long", with(tasks(16, 1), func(s *Step) { s.LongRunning = true })},
		{"preempting", "urgent", tasks(16, 1)},
		{"preempting gang", "urgent", with(tasks(2, 8), func(s *Step) { s.Gang = true })},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := newTwoCentrePool(t, 1, 1)
			if test.queue == "urgent" {
				p.submit(1, "long", tasks(16, 1))
				p.plan()
			}
			p.order("a", true)
			job := p.submit(2, test.queue, test.step)
			p.settle()
			if got := p.runsIn(job, "a"); got != 0 {
				t.Errorf("%d runs are placed in an emptied data centre", got)
			}
			if got := p.runsIn("0000000000000001", "a"); test.queue == "urgent" && got != 8 {
				t.Errorf("%d of 8 runs are left in the emptied data centre, which is useless to preempt", got)
			}
		})
	}
}

// Guards against copies, advice and a reserve for which workers of an emptied data
// centre count, also one that has restarted under another id.
func TestEmptiedDataCenterIsNoCandidate(t *testing.T) {
	p := newTwoCentrePool(t, 1, 1)
	p.order("a", true)
	restarted := *p.state.Worker("w00")
	restarted.ID, restarted.Incarnation = "w99", 2
	p.apply(Command{Register: &restarted})
	p.contactAll()
	job := p.submit(1, "long", with(tasks(1, 1), func(s *Step) { s.SpeculativeCopies = true }))
	p.plan()
	want := []identifier.WorkerID{"w01"}
	request, _ := p.state.NextAdviceRequest(p.observer, []StepID{{Job: job}}, false, p.now, p.wall())
	if diff := cmp.Diff(want, request.Workers); diff != "" {
		t.Errorf("workers for which advice is requested differ:\n%s", diff)
	}
	p.observer.Observation("w01").MissedPolls = 1
	p.plan()
	if got := p.state.RunsOfJob(job); len(got) != 1 || got[0].Worker != "w01" {
		t.Errorf("runs are %+v, want no copy", got)
	}
	p.observer.Observation("w01").MissedPolls = 0
	if got := newPlacementPass(p.state, p.observer, p.now, p.wall()).pools["p"].total; got != 8 {
		t.Errorf("the reserve is a share of %d accelerators, want 8", got)
	}
}

// Guards against a returned data centre whose cold workers are filled at once, and
// against one that stays unused: for the guarantee, or after the clock was set back.
func TestReturnedDataCenterRampsUp(t *testing.T) {
	tests := []struct {
		name      string
		queue     QueueName
		elapsed   time.Duration
		low, high int
	}{
		{"at once", "long", 0, 0, 0},
		{"a quarter", "long", 500 * time.Millisecond, 5, 15},
		{"three quarters", "long", 1500 * time.Millisecond, 25, 35},
		{"after the ramp", "long", 2 * time.Second, 40, 40},
		{"clock set back", "long", -time.Hour, 40, 40},
		{"guarantee of two workers", "urgent", 0, 2, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := newTwoCentrePool(t, 40, 0)
			p.order("a", true)
			p.order("a", false)
			p.now = p.now.Add(test.elapsed)
			job := p.submit(1, test.queue, tasks(40, 8))
			p.plan()
			if got := p.runsIn(job, "a"); got < test.low || got > test.high {
				t.Errorf("%d workers of 40 get runs, want %d to %d", got, test.low, test.high)
			}
		})
	}
}

// Guards against orders that are applied twice, out of order or against the version
// that an operator expects, and against orders that a snapshot loses.
func TestDataCenterOrdersApplyInOrder(t *testing.T) {
	version := func(n uint64) *uint64 { return &n }
	tests := []struct {
		order DataCenterOrder
		want  Outcome
	}{
		{DataCenterOrder{Name: "a", Emptied: false}, OutcomeUnchanged},
		{DataCenterOrder{Name: "a", Emptied: true, IfVersion: version(1)}, OutcomeConflict},
		{DataCenterOrder{Name: "a", Emptied: true, IfVersion: version(0)}, OutcomeDone},
		{DataCenterOrder{Name: "a", Emptied: true, IfVersion: version(0)}, OutcomeUnchanged},
		{DataCenterOrder{Name: "b", Emptied: true}, OutcomeDone},
		{DataCenterOrder{Name: "a", Emptied: false, IfVersion: version(0)}, OutcomeConflict},
		{DataCenterOrder{Name: "a", Emptied: false}, OutcomeDone},
		{DataCenterOrder{Name: "a", Emptied: true}, OutcomeDone},
		{DataCenterOrder{Emptied: true}, OutcomeInvalid},
	}
	p := newTwoCentrePool(t, 1, 1)
	for i, test := range tests {
		p.now = p.now.Add(time.Second)
		if got := p.apply(Command{DataCenter: &test.order})[0].Outcome; got != test.want {
			t.Errorf("order %d: %s, want %s", i, got, test.want)
		}
	}
	want := []DataCenterState{
		{Name: "a", Emptied: true, Version: 3, Since: p.wall() - 1000}, {Name: "b", Emptied: true, Version: 1, Since: p.wall() - 4000},
	}
	data, err := p.state.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.state.Restore(data); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, p.state.DataCenters()); diff != "" {
		t.Errorf("data centres differ after a snapshot:\n%s", diff)
	}
	if err := p.state.Restore([]byte(strings.Replace(string(data), `"data-centers"`, `"unknown"`, 1))); err != nil {
		t.Fatal(err)
	}
	inUse := func(worker *Worker) bool { return !p.state.InEmptiedDataCenter(worker) }
	if workers := p.state.Workers(); len(workers) != 2 || !slices.ContainsFunc(workers, inUse) || p.state.anyEmptied() {
		t.Error("a data centre is emptied by a snapshot of a version without orders")
	}
}

// Guards against operators who are told that guarantees hold which no longer fit, or
// that nothing waits in an emptied data centre.
func TestUseAndGuaranteesOfEmptiedDataCenters(t *testing.T) {
	p := newTwoCentrePool(t, 2, 2)
	p.state.catalog.Teams = []Team{
		{Name: "first", Guarantee: Resources{Accelerators: 12}}, {Name: "large", Guarantee: Resources{Accelerators: 8}},
		{Name: "small", Guarantee: Resources{Accelerators: 4}}, {Name: "none"},
	}
	p.fill(1, "long", "a", with(tasks(2, 1), checkpointing))
	p.fill(2, "long", "a", with(tasks(3, 1), func(s *Step) { s.LongRunning = true }))
	p.fill(3, "long", "a", tasks(4, 1))
	for _, emptied := range []bool{false, true} {
		t.Run(fmt.Sprint("emptied ", emptied), func(t *testing.T) {
			waiting := 0
			if emptied {
				p.order("a", true)
				waiting = 5
			}
			want := DataCenterUse{Workers: 2, Runs: 9, LongRunning: 3, WaitingForRoom: waiting}
			if diff := cmp.Diff(want, p.state.DataCenterUse("a")); diff != "" {
				t.Errorf("use differs:\n%s", diff)
			}
			kept := map[identifier.TeamID]bool{"first": true, "large": !emptied, "small": true, "none": true}
			if diff := cmp.Diff(kept, p.state.GuaranteesKept()); diff != "" {
				t.Errorf("guarantees differ:\n%s", diff)
			}
		})
	}
}
