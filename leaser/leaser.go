// Package leaser implements the worker's side of leases. It refuses commands of
// owners that have been replaced, and reports the tasks that have to stop because
// their lease has expired on the worker's own clock. Workers embed it or implement
// the same rules.
package leaser

import (
	"sort"
	"time"

	"github.com/rotisserie/eris"

	"cranberrystack.dev/cranberrystack/identifier"
)

// ErrStaleEpoch reports a command from an owner that has been replaced.
var ErrStaleEpoch = eris.New("command is from an earlier owner")

// ErrInsufficientCapacity reports a grant of more accelerators than are free.
var ErrInsufficientCapacity = eris.New("too few accelerators are free")

// ErrLeaseNotFound reports a start of a task without an active lease.
var ErrLeaseNotFound = eris.New("no such lease")

// State is the state of a lease.
type State string

// The states. A lease holds its accelerators in StateLeased and StateRunning.
const (
	StateLeased   State = "leased"
	StateRunning  State = "running"
	StateFinished State = "finished"
	StateFailed   State = "failed"
	StateStopped  State = "stopped"
)

// HoldsAccelerators reports whether a lease in the state holds accelerators.
func (s State) HoldsAccelerators() bool {
	return s == StateLeased || s == StateRunning
}

// ID identifies a lease on a worker. One attempt of a job has at most one lease on
// each worker.
type ID struct {
	Job     identifier.JobID `json:"job"`
	Attempt uint64           `json:"attempt"`
}

// Lease is the right to run some parts of a job on a worker's accelerators until
// it expires.
type Lease struct {
	ID           ID    `json:"id"`
	Accelerators int   `json:"accelerators"`
	State        State `json:"state"`
	// Progress is the run time that the latest checkpoint preserves.
	Progress time.Duration `json:"progress-ns"`
	// Reason says why the task failed or was stopped.
	Reason string `json:"reason,omitempty"`
	// expiresAt is when the task has to stop unless the lease is renewed.
	expiresAt time.Time
	// reportedState is the last state that the present owner has accepted in a report,
	// and reportedAt is when it did; empty and zero if it has accepted none.
	reportedState State
	reportedAt    time.Time
	// closedAt is when the lease ceased to hold accelerators.
	closedAt time.Time
}

// Table holds the leases of one worker. Before it applies a command of an owner, the
// caller passes the command's epoch to AcceptEpoch; the other methods do not check
// it. A Table is not safe for concurrent use.
type Table struct {
	capacity int
	epoch    identifier.Epoch
	leases   map[ID]*Lease
}

const (
	// closedRetention is how long a closed lease stays in the table and in reports after
	// the owner has accepted a report of it. The owner may be lost before it has persisted
	// that, and the next one takes a lease that is missing from a full report for lost.
	closedRetention = 2 * time.Minute
	// maxClosedRetention is how long a closed lease stays there at most.
	maxClosedRetention = 24 * time.Hour
)

// NewTable returns an empty table for a worker with the given number of
// accelerators.
func NewTable(accelerators int) *Table {
	return &Table{capacity: accelerators, leases: map[ID]*Lease{}}
}

// AcceptEpoch records the owner's epoch, or returns ErrStaleEpoch if a higher epoch
// has been accepted. A new owner has accepted no reports yet.
func (t *Table) AcceptEpoch(epoch identifier.Epoch) error {
	if epoch < t.epoch {
		return ErrStaleEpoch
	}
	if epoch > t.epoch {
		for _, lease := range t.leases {
			lease.reportedState, lease.reportedAt = "", time.Time{}
		}
	}
	t.epoch = epoch
	return nil
}

// Epoch returns the highest accepted epoch.
func (t *Table) Epoch() identifier.Epoch { return t.epoch }

// Free returns the number of accelerators that no lease holds.
func (t *Table) Free() int {
	free := t.capacity
	for _, lease := range t.leases {
		if lease.State.HoldsAccelerators() {
			free -= lease.Accelerators
		}
	}
	return free
}

// Grant adds a lease. A repeated grant has no effect. It returns
// ErrInsufficientCapacity if too few accelerators are free.
func (t *Table) Grant(id ID, accelerators int, expiresAt time.Time) error {
	if _, known := t.leases[id]; known {
		return nil
	}
	if accelerators > t.Free() {
		return ErrInsufficientCapacity
	}
	t.leases[id] = &Lease{ID: id, Accelerators: accelerators, State: StateLeased, expiresAt: expiresAt}
	return nil
}

// Start marks a lease as running and reports whether this is its first start. It
// returns ErrLeaseNotFound if no active lease has the id.
func (t *Table) Start(id ID) (bool, error) {
	lease, known := t.leases[id]
	if !known || !lease.State.HoldsAccelerators() {
		return false, ErrLeaseNotFound
	}
	started := lease.State == StateLeased
	lease.State = StateRunning
	return started, nil
}

// RecordProgress sets the run time that a checkpoint preserves. Progress never
// decreases.
func (t *Table) RecordProgress(id ID, progress time.Duration) {
	if lease, known := t.leases[id]; known {
		lease.Progress = max(lease.Progress, progress)
	}
}

// Close ends a lease that holds accelerators. An unknown lease is recorded as
// closed, so that its grant has no effect if it arrives later.
func (t *Table) Close(id ID, state State, reason string, now time.Time) {
	lease, known := t.leases[id]
	if !known {
		t.leases[id] = &Lease{ID: id, State: state, Reason: reason, closedAt: now}
		return
	}
	if lease.State.HoldsAccelerators() {
		lease.State, lease.Reason, lease.closedAt = state, reason, now
	}
}

// Renew extends every lease that holds accelerators to expiresAt. It never shortens
// a lease.
func (t *Table) Renew(expiresAt time.Time) {
	for _, lease := range t.leases {
		if lease.State.HoldsAccelerators() && expiresAt.After(lease.expiresAt) {
			lease.expiresAt = expiresAt
		}
	}
}

// Expired returns the leases that have expired on the worker's clock. The caller
// has to stop their tasks and close the leases.
func (t *Table) Expired(now time.Time) []ID {
	var expired []ID
	for id, lease := range t.leases {
		if lease.State.HoldsAccelerators() && !now.Before(lease.expiresAt) {
			expired = append(expired, id)
		}
	}
	return expired
}

// Unreported returns the leases whose state the owner has not accepted yet.
func (t *Table) Unreported(now time.Time) []Lease {
	var unreported []Lease
	for _, lease := range t.All(now) {
		if lease.State != lease.reportedState {
			unreported = append(unreported, lease)
		}
	}
	return unreported
}

// MarkReported records that the owner has accepted a report of these leases. It removes
// closed leases that the same owner accepted at least closedRetention ago.
func (t *Table) MarkReported(leases []Lease, now time.Time) {
	for i := range leases {
		lease, known := t.leases[leases[i].ID]
		if known && lease.reportedState != leases[i].State {
			lease.reportedState, lease.reportedAt = leases[i].State, now
		}
	}
	for id, lease := range t.leases {
		accepted := !lease.State.HoldsAccelerators() && lease.reportedState == lease.State
		if accepted && now.Sub(lease.reportedAt) >= closedRetention {
			delete(t.leases, id)
		}
	}
}

// All returns the leases sorted by job and attempt. It removes those that were
// closed at least maxClosedRetention ago.
func (t *Table) All(now time.Time) []Lease {
	all := make([]Lease, 0, len(t.leases))
	for id, lease := range t.leases {
		if !lease.State.HoldsAccelerators() && now.Sub(lease.closedAt) >= maxClosedRetention {
			delete(t.leases, id)
			continue
		}
		all = append(all, *lease)
	}
	sort.Slice(all, func(i, j int) bool {
		if all[i].ID.Job != all[j].ID.Job {
			return all[i].ID.Job < all[j].ID.Job
		}
		return all[i].ID.Attempt < all[j].ID.Attempt
	})
	return all
}
