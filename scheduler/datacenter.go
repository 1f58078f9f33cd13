package scheduler

import (
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
