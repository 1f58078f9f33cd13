package configurer

import (
	"encoding/json"
	"fmt"
	"sort"

	"cranberrystack.dev/cranberrystack/identifier"
)

// maxOutcomes is the number of most recent results retained for resends.
const maxOutcomes = 8192

// maxTombstones is the number of removed plans retained for deltas.
const maxTombstones = 1024

// CommandKind says what a command does.
type CommandKind string

// The kinds of command.
const (
	// CommandApply replaces both lists if the expected version is in force.
	CommandApply CommandKind = "apply"
	// CommandOwn sets the owner of a data centre's placement.
	CommandOwn CommandKind = "own"
	// CommandGroup sets the instances that start a data centre's claim table
	// empty.
	CommandGroup CommandKind = "group"
)

// Command is the content of one log entry.
type Command struct {
	Kind CommandKind `json:"kind"`
	// RequestID identifies the request: a resend with the same id returns the
	// first result. It is required.
	RequestID string `json:"request-id"`
	// Expected is the version that CommandApply replaces.
	Expected identifier.ListVersion `json:"expected,omitempty"`
	Lists    *Lists                 `json:"lists,omitempty"`
	Owner    *Ownership             `json:"owner,omitempty"`
	Group    *ClaimGroup            `json:"group,omitempty"`
}

// Result is the outcome of a command.
type Result struct {
	// Accepted is false if another change came first or the command is
	// malformed.
	Accepted bool `json:"accepted"`
	// Version is the version of the lists in force after the command.
	Version identifier.ListVersion `json:"version"`
	// Winner is the id of the request that set that version.
	Winner string `json:"winner,omitempty"`
	// Reason says why a command was not accepted.
	Reason string `json:"reason,omitempty"`
	// Effects describes what an accepted change takes from plans.
	Effects []string `json:"effects,omitempty"`
	// Index is the log index of the command that gave the result.
	Index uint64 `json:"index"`
}

type storedOutcome struct {
	RequestID string `json:"request-id"`
	Result    Result `json:"result"`
}

// tombstone records the removal of a plan at an index.
type tombstone struct {
	Plan  identifier.PlanID `json:"plan"`
	Index uint64            `json:"index"`
}

// storedState is the content of a snapshot.
type storedState struct {
	View   View   `json:"view"`
	Winner string `json:"winner"`
	// Changed holds the index of the last change of every plan.
	Changed    map[identifier.PlanID]uint64 `json:"changed"`
	Tombstones []tombstone                  `json:"tombstones"`
	// PrunedIndex is the index up to which tombstones may be missing. A delta
	// from a lower index is full.
	PrunedIndex uint64          `json:"forgotten"`
	Outcomes    []storedOutcome `json:"outcomes"`
}

// State is the replicated state machine. It is not safe for concurrent use.
type State struct {
	stored   storedState
	outcomes map[string]Result
}

// NewState returns the empty state.
func NewState() *State {
	s := &State{outcomes: map[string]Result{}}
	s.stored.Changed = map[identifier.PlanID]uint64{}
	return s
}

// View returns the view in force. The caller must not modify it.
func (s *State) View() View {
	return s.stored.View
}

// Winner returns the id of the request that set the version in force.
func (s *State) Winner() string {
	return s.stored.Winner
}

// Apply executes one committed command and returns its Result. A command whose
// request id already has a Result gets that one.
func (s *State) Apply(index uint64, data []byte) Result {
	var command Command
	if err := json.Unmarshal(data, &command); err != nil {
		return Result{Index: index, Reason: "command is unreadable"}
	}
	if earlier, known := s.outcomes[command.RequestID]; known {
		return earlier
	}
	result := s.execute(index, command)
	result.Index = index
	result.Version = s.stored.View.Lists.Version
	result.Winner = s.stored.Winner
	s.recordOutcome(command.RequestID, result)
	return result
}

func (s *State) execute(index uint64, command Command) Result {
	switch {
	case command.Kind == CommandApply && command.Lists != nil:
		return s.applyLists(index, command)
	case command.Kind == CommandOwn && command.Owner != nil:
		return s.applyOwner(index, *command.Owner)
	case command.Kind == CommandGroup && command.Group != nil:
		return s.applyGroup(index, *command.Group)
	}
	return Result{Reason: "command is incomplete"}
}

func (s *State) applyLists(index uint64, command Command) Result {
	current := s.stored.View.Lists.Version
	if command.Expected != current {
		return Result{Reason: fmt.Sprintf("expected version %d, in force is %d", command.Expected, current)}
	}
	next := *command.Lists
	next.Version = current + 1
	effects := DescribeEffects(s.stored.View.Lists, next)
	s.recordChanges(index, next)
	s.stored.View.Lists = next
	s.stored.View.Index = index
	s.stored.Winner = command.RequestID
	return Result{Accepted: true, Effects: effects}
}

func (s *State) applyOwner(index uint64, next Ownership) Result {
	current := s.stored.View.Owner(next.DataCenter)
	if next.Epoch != current.Epoch+1 {
		return Result{Reason: fmt.Sprintf("epoch %d is in force", current.Epoch)}
	}
	owners := replaceEntry(s.stored.View.Owners, next, Ownership.key)
	s.stored.View.Owners = owners
	s.stored.View.Index = index
	return Result{Accepted: true}
}

func (s *State) applyGroup(index uint64, next ClaimGroup) Result {
	current := s.stored.View.Group(next.DataCenter)
	if next.Generation != current.Generation+1 {
		return Result{Reason: fmt.Sprintf("generation %d is in force", current.Generation)}
	}
	groups := replaceEntry(s.stored.View.Groups, next, ClaimGroup.key)
	s.stored.View.Groups = groups
	s.stored.View.Index = index
	return Result{Accepted: true}
}

// replaceEntry returns the entries with next in place of the entry of its data
// centre, sorted by data centre.
func replaceEntry[T any](entries []T, next T, key func(T) identifier.DataCenterID) []T {
	updated := []T{next}
	for _, other := range entries {
		if key(other) != key(next) {
			updated = append(updated, other)
		}
	}
	sort.Slice(updated, func(i, j int) bool { return key(updated[i]) < key(updated[j]) })
	return updated
}

func (o Ownership) key() identifier.DataCenterID { return o.DataCenter }

func (g ClaimGroup) key() identifier.DataCenterID { return g.DataCenter }

func (s *State) recordOutcome(requestID string, result Result) {
	s.outcomes[requestID] = result
	s.stored.Outcomes = append(s.stored.Outcomes, storedOutcome{RequestID: requestID, Result: result})
	if len(s.stored.Outcomes) <= maxOutcomes {
		return
	}
	delete(s.outcomes, s.stored.Outcomes[0].RequestID)
	s.stored.Outcomes = append([]storedOutcome(nil), s.stored.Outcomes[1:]...)
}

// Snapshot encodes the whole state.
func (s *State) Snapshot() ([]byte, error) {
	data, err := json.Marshal(s.stored)
	if err != nil {
		return nil, fmt.Errorf("encode snapshot of the lists: %w", err)
	}
	return data, nil
}

// Restore replaces the whole state with that of a snapshot.
func (s *State) Restore(data []byte) error {
	restored := NewState()
	if err := json.Unmarshal(data, &restored.stored); err != nil {
		return fmt.Errorf("decode snapshot of the lists: %w", err)
	}
	for _, stored := range restored.stored.Outcomes {
		restored.outcomes[stored.RequestID] = stored.Result
	}
	*s = *restored
	return nil
}

// Outcome returns the result retained for a request id, if there is one.
func (s *State) Outcome(requestID string) (Result, bool) {
	result, known := s.outcomes[requestID]
	return result, known
}
