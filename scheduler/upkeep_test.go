package scheduler

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"cranberrystack.dev/cranberrystack/identifier"
)

// newAvailablePool returns two workers, each of which holds two available tasks of one
// long-running step of which one may be unavailable.
func newAvailablePool(t *testing.T) (*testPool, Step) {
	t.Helper()
	p := newPool(t, 2)
	step := tasks(4, 4)
	step.LongRunning, step.MaxUnavailable = true, 1
	p.submit(1, "long", step)
	p.plan()
	p.reportAllAvailable(step.Width)
	return p, step
}

// A wave of upkeep takes both workers of the pool.
func TestUpkeepStopsNoMoreThanMaxUnavailable(t *testing.T) {
	p, step := newAvailablePool(t)
	inventory := MachineInventory{
		Worker: map[MachineID]identifier.WorkerID{"m0": "w00", "m1": "w01"},
		Known:  map[MachineID]bool{"m0": true, "m1": true},
	}
	p.apply(Command{Wave: &Wave{ID: 1, Cap: 2, DurationSeconds: 60, Machines: []MachineUpkeep{{Machine: "m0"}, {Machine: "m1"}}}})
	actions := NextUpkeep(p.state, p.observer, p.state.Wave(1), inventory, p.now, p.wall())
	if stops := len(actions.Stop); stops == 0 || stops > step.MaxUnavailable {
		t.Errorf("one call of NextUpkeep stops %d of %d available tasks, want 1 to %d", stops, step.Width, step.MaxUnavailable)
	}
}

// Guards against an upkeep that stops an available task though another task of its step has
// ended: the end is not listed yet, and the run still counts as available.
func TestRunWithUnlistedEndIsNotAvailable(t *testing.T) {
	p, _ := newAvailablePool(t)
	for id := range p.state.RunsOn("w01") {
		p.observer.Observation("w01").RecordUnlistedEnds(true, []RunID{id})
		break
	}
	inventory := MachineInventory{Worker: map[MachineID]identifier.WorkerID{"m0": "w00"}, Known: map[MachineID]bool{"m0": true}}
	p.apply(Command{Wave: &Wave{ID: 1, Cap: 1, DurationSeconds: 60, Machines: []MachineUpkeep{{Machine: "m0"}}}})
	if stops := NextUpkeep(p.state, p.observer, p.state.Wave(1), inventory, p.now, p.wall()).Stop; len(stops) > 0 {
		t.Errorf("upkeep stops %v, though a task of its step has ended", stops)
	}
}

// Guards against runs that start on a machine while its upkeep has been ordered and the
// machine manager has not answered: the upkeep ends them.
func TestOrderedUpkeepKeepsNewRunsAway(t *testing.T) {
	p := newPool(t, 2)
	worker := *p.state.Worker("w00")
	worker.Machine, worker.Sequence = "m0", 2
	p.apply(Command{Register: &worker}, Command{Wave: &Wave{ID: 1, Cap: 1, DurationSeconds: 60, Machines: []MachineUpkeep{{Machine: "m0"}, {Machine: "m1"}}}},
		Command{Upkeep: &Upkeep{Wave: 1, Machine: "m0", State: UpkeepOrdered}})
	inventory := MachineInventory{
		Worker: map[MachineID]identifier.WorkerID{"m0": "w00", "m1": "w01"},
		Known:  map[MachineID]bool{"m0": true, "m1": true},
	}
	want := []identifier.WorkerID{"w00"}
	actions := NextUpkeep(p.state, p.observer, p.state.Wave(1), inventory, p.now, p.wall())
	if diff := cmp.Diff(want, actions.Cordon); diff != "" {
		t.Errorf("cordoned workers differ:\n%s", diff)
	}
	if diff := cmp.Diff(want, p.state.OrderedForUpkeep(p.state.Wave(1))); diff != "" {
		t.Errorf("workers whose upkeep is ordered differ:\n%s", diff)
	}
}

// reportAllAvailable reports 100 percent progress of all runs, of which there
// must be want.
func (p *testPool) reportAllAvailable(want int) {
	p.t.Helper()
	if placed := len(p.state.runs); placed != want {
		p.t.Fatalf("%d runs are placed, want %d", placed, want)
	}
	for id := range p.state.runs {
		p.reportProgress(id, 100, 0)
	}
}
