package scheduler

import (
	"hash/fnv"
	"slices"
	"strings"

	"cranberrystack.dev/cranberrystack/identifier"
)

// DataCenterOrder empties a data centre or returns it to use.
type DataCenterOrder struct {
	Name    identifier.DataCenterID `json:"name"`
	Emptied bool                    `json:"emptied"`
	// IfVersion is the version that the data centre must have if the order would
	// change anything; nil means any.
	IfVersion *uint64 `json:"if-version,omitempty"`
}

// DataCenterState is the state of a data centre by the operators' orders. No task
// starts in a data centre that is emptied.
type DataCenterState struct {
	Name    identifier.DataCenterID `json:"name"`
	Emptied bool                    `json:"emptied"`
	// Version is 0 before the first order. Each change raises it by one.
	Version uint64 `json:"version"`
	// Since is the time of the last change.
	Since UnixMilli `json:"since,omitempty"`
}

// applyDataCenter applies an order about a data centre. An order that is already in
// effect changes nothing, whatever its IfVersion, so that it can be sent again.
func (s *State) applyDataCenter(order *DataCenterOrder, now UnixMilli) Result {
	state := s.DataCenter(order.Name)
	switch {
	case order.Name == "":
		return Result{Outcome: OutcomeInvalid, Reason: "no data centre is named"}
	case state.Emptied == order.Emptied:
		return Result{Outcome: OutcomeUnchanged}
	case order.IfVersion != nil && *order.IfVersion != state.Version:
		return Result{Outcome: OutcomeConflict, Reason: "the data centre has another version"}
	}
	state.Emptied, state.Version, state.Since = order.Emptied, state.Version+1, now
	s.dataCenters[order.Name] = state
	return Result{Outcome: OutcomeDone}
}

// DataCenter returns the state of a data centre, which is in use if there was no
// order about it.
func (s *State) DataCenter(name identifier.DataCenterID) DataCenterState {
	if state, known := s.dataCenters[name]; known {
		return state
	}
	return DataCenterState{Name: name}
}

// DataCenters returns the data centres for which there was an order, in the order of
// their names.
func (s *State) DataCenters() []DataCenterState {
	var all []DataCenterState
	for _, state := range s.dataCenters {
		all = append(all, state)
	}
	slices.SortFunc(all, func(a, b DataCenterState) int { return strings.Compare(string(a.Name), string(b.Name)) })
	return all
}

// InEmptiedDataCenter reports whether a worker is in a data centre that is emptied.
// Such a worker gets no starts.
func (s *State) InEmptiedDataCenter(worker *Worker) bool {
	return len(s.dataCenters) > 0 && s.dataCenters[worker.DataCenter].Emptied
}

// anyEmptied reports whether any data centre is emptied.
func (s *State) anyEmptied() bool {
	for _, state := range s.dataCenters {
		if state.Emptied {
			return true
		}
	}
	return false
}

// rampMillis is the time after the return of a data centre over which its workers
// ramp up.
const rampMillis = 2000

// rampsUp reports whether a worker's data centre was returned to use so short a time
// ago that the worker still gets only runs that a guarantee covers. The workers
// follow each other in the order of a hash of their ids. A time before the return
// is the sign of a changed clock: nothing ramps up then.
func (s *State) rampsUp(worker *Worker, wall UnixMilli) bool {
	state, known := s.dataCenters[worker.DataCenter]
	elapsed := wall - state.Since
	if !known || state.Emptied || elapsed < 0 || elapsed >= rampMillis {
		return false
	}
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(worker.ID))
	return UnixMilli(hash.Sum32()%rampMillis) >= elapsed
}

// DataCenterUse holds counts of what is in a data centre.
type DataCenterUse struct {
	// Workers counts the registered workers that have not left.
	Workers int `json:"workers"`
	// Runs counts the runs that may be alive, and LongRunning the long-running ones
	// among them.
	Runs        int `json:"runs"`
	LongRunning int `json:"long-running"`
	// WaitingForRoom counts the checkpointing or long-running runs of an emptied data
	// centre. It is 0 for one that is in use.
	WaitingForRoom int `json:"waiting-for-room"`
}

// DataCenterUse returns counts of what is in a data centre.
func (s *State) DataCenterUse(name identifier.DataCenterID) DataCenterUse {
	var use DataCenterUse
	emptied := s.DataCenter(name).Emptied
	for id, worker := range s.workers {
		if worker.DataCenter != name {
			continue
		}
		if worker.State != WorkerLeft {
			use.Workers++
		}
		for run := range s.placed[id] {
			use.Runs++
			step := s.StepOf(run.Task)
			if step == nil {
				continue
			}
			if step.LongRunning {
				use.LongRunning++
			}
			if emptied && (step.LongRunning || step.Checkpoints) {
				use.WaitingForRoom++
			}
		}
	}
	return use
}

// GuaranteesKept returns for each team whether its guarantee fits into the capacity
// of the ready workers outside emptied data centres, beside the guarantees of the
// teams before it in the catalog. A guarantee that does not fit takes none of it.
func (s *State) GuaranteesKept() map[identifier.TeamID]bool {
	var left Resources
	for _, worker := range s.workers {
		if worker.State == WorkerReady && !s.InEmptiedDataCenter(worker) {
			left = left.Plus(worker.Capacity)
		}
	}
	kept := make(map[identifier.TeamID]bool, len(s.catalog.Teams))
	for i := range s.catalog.Teams {
		team := &s.catalog.Teams[i]
		fits := team.Guarantee.Fits(left)
		if fits {
			left = left.Minus(team.Guarantee)
		}
		kept[team.Name] = fits
	}
	return kept
}
