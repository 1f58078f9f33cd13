// Package leaser is the worker's side of leases: it says which owner's word
// counts, and which tasks have to stop because their lease has run out by the
// worker's own clock. Workers embed it or follow its rules.
package leaser

import (
	"sort"
	"time"

	"github.com/rotisserie/eris"

	"cranberrystack.dev/cranberrystack/identifier"
)

// ErrStaleEpoch reports a command from an owner that has been replaced.
var ErrStaleEpoch = eris.New("command is from an earlier owner")

// ErrInsufficientCapacity reports a lease for more accelerators than are free.
var ErrInsufficientCapacity = eris.New("too few accelerators are free")

// ErrLeaseNotFound reports a start without a lease.
var ErrLeaseNotFound = eris.New("no such lease")

// State is how far a lease has come.
type State string

// The states. A lease holds its accelerators up to and including StateRunning.
const (
	StateLeased   State = "leased"
	StateRunning  State = "running"
	StateFinished State = "finished"
	StateFailed   State = "failed"
	StateStopped  State = "stopped"
)

// HoldsAccelerators reports whether accelerators are held in a state.
func (s State) HoldsAccelerators() bool {
	return s == StateLeased || s == StateRunning
}

// ID names a lease. One attempt of a job has at most one lease on a worker.
type ID struct {
	Job     identifier.JobID `json:"job"`
	Attempt uint64           `json:"attempt"`
}

// Lease is the right to run some parts of one job.
type Lease struct {
	ID           ID    `json:"id"`
	Accelerators int   `json:"accelerators"`
	State        State `json:"state"`
	// Progress is the work that a checkpoint holds.
	Progress time.Duration `json:"progress-ns"`
	// Reason says why a task failed.
	Reason string `json:"reason,omitempty"`
	// expiresAt is when the task has to stop unless the lease is renewed.
	expiresAt time.Time
	// reportedState is the state that the owner has taken.
	reportedState State
	// closedAt is when the lease stopped holding accelerators.
	closedAt time.Time
}

// Table holds the leases of one worker. It is not safe for concurrent use.
type Table struct {
	capacity int
	epoch    identifier.Epoch
	leases   map[ID]*Lease
}

// closedRetention is how long an ended lease is reported.
const closedRetention = 2 * time.Minute

// NewTable returns the table of a worker with so many accelerators.
func NewTable(accelerators int) *Table {
	return &Table{capacity: accelerators, leases: map[ID]*Lease{}}
}

// AcceptEpoch accepts an owner's epoch, or returns ErrStaleEpoch.
func (t *Table) AcceptEpoch(epoch identifier.Epoch) error {
	if epoch < t.epoch {
		return ErrStaleEpoch
	}
	t.epoch = epoch
	return nil
}

// Epoch returns the highest epoch seen.
func (t *Table) Epoch() identifier.Epoch { return t.epoch }

// Free returns the accelerators that no lease holds.
func (t *Table) Free() int {
	free := t.capacity
	for _, lease := range t.leases {
		if lease.State.HoldsAccelerators() {
			free -= lease.Accelerators
		}
	}
	return free
}

// Grant adds a lease. A repeated grant changes nothing.
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

// Start marks a lease as running and reports whether it was not before.
func (t *Table) Start(id ID) (bool, error) {
	lease, known := t.leases[id]
	if !known || !lease.State.HoldsAccelerators() {
		return false, ErrLeaseNotFound
	}
	started := lease.State == StateLeased
	lease.State = StateRunning
	return started, nil
}

// RecordProgress notes what a checkpoint holds.
func (t *Table) RecordProgress(id ID, progress time.Duration) {
	if lease, known := t.leases[id]; known {
		lease.Progress = max(lease.Progress, progress)
	}
}

// Close ends a lease that still holds accelerators. An unknown lease is noted
// as ended, so that a grant that arrives late changes nothing.
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

// Renew extends every lease that holds accelerators.
func (t *Table) Renew(expiresAt time.Time) {
	for _, lease := range t.leases {
		if lease.State.HoldsAccelerators() && expiresAt.After(lease.expiresAt) {
			lease.expiresAt = expiresAt
		}
	}
}

// Expired returns the leases that have run out by the worker's clock. Their
// tasks have to be stopped and the leases closed.
func (t *Table) Expired(now time.Time) []ID {
	var expired []ID
	for id, lease := range t.leases {
		if lease.State.HoldsAccelerators() && !now.Before(lease.expiresAt) {
			expired = append(expired, id)
		}
	}
	return expired
}

// Unreported returns the leases whose state the owner has not taken yet.
func (t *Table) Unreported(now time.Time) []Lease {
	var unreported []Lease
	for _, lease := range t.All(now) {
		if lease.State != lease.reportedState {
			unreported = append(unreported, lease)
		}
	}
	return unreported
}

// MarkReported notes that the owner has taken a report with these leases.
func (t *Table) MarkReported(leases []Lease) {
	for i := range leases {
		if lease, known := t.leases[leases[i].ID]; known {
			lease.reportedState = leases[i].State
		}
	}
}

// All returns the leases in a stable order and forgets those that ended long
// ago.
func (t *Table) All(now time.Time) []Lease {
	all := make([]Lease, 0, len(t.leases))
	for id, lease := range t.leases {
		if !lease.State.HoldsAccelerators() && now.Sub(lease.closedAt) >= closedRetention {
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
