// Package placer decides where and when gang jobs run in one data centre. It
// places whole gangs in adjacent shapes, reclaims guarantees from borrowers,
// enforces team quotas and quarantines failing workers. A borrower is a job that
// runs outside its plan's guarantee.
//
// Engine does no I/O: reports, submissions and the time are passed in; commands
// to workers and changed jobs are returned. A worker obeys only the owner that
// holds the data centre's current epoch.
package placer

import (
	"time"

	"github.com/rotisserie/eris"

	"cranberrystack.dev/cranberrystack/identifier"
	"cranberrystack.dev/cranberrystack/leaser"
	"cranberrystack.dev/cranberrystack/packer"
)

// ErrImpossible reports a job that can never run. Errors that wrap it say why.
var ErrImpossible = eris.New("job can never run")

// ErrNoSuchPlan reports a plan or team that does not exist or that belongs to
// another member.
var ErrNoSuchPlan = eris.New("no such plan")

// ErrNoSuchJob reports a job id that is unknown or belongs to another member.
var ErrNoSuchJob = eris.New("no such job")

// ErrConflict reports an id that is already in use by another job, or by a worker
// with another address or holder.
var ErrConflict = eris.New("id was used for another job")

// ErrTooManyJobs reports that the number of jobs that have not ended, including
// running ones, is at its limit.
var ErrTooManyJobs = eris.New("too many jobs are waiting")

// State is the state of a job.
type State string

// The states of a job.
const (
	StateQueued   State = "queued"
	StateLeasing  State = "leasing"
	StateStarting State = "starting"
	StateRunning  State = "running"
	// StateStopping waits for the workers to confirm; the job then enters
	// NextState.
	StateStopping  State = "stopping"
	StateFinished  State = "finished"
	StateFailed    State = "failed"
	StateCancelled State = "cancelled"
)

// Ended reports whether the state is final.
func (s State) Ended() bool {
	return s == StateFinished || s == StateFailed || s == StateCancelled
}

// Spec is the caller's description of a job.
type Spec struct {
	ID          identifier.JobID    `json:"id"`
	Member      identifier.MemberID `json:"member"`
	Plan        identifier.PlanID   `json:"plan"`
	Team        identifier.TeamID   `json:"team,omitempty"`
	Accelerator string              `json:"accelerator"`
	Shape       packer.Shape        `json:"shape"`
	// Kind groups jobs with similar run times.
	Kind string `json:"kind,omitempty"`
	// Checkpointable jobs resume from their last checkpoint.
	Checkpointable bool `json:"checkpointable"`
	// Urgent jobs go before others, both among the jobs within a guarantee and
	// among the borrowers of one team. The borrowers preempted for them get a
	// shorter grace period.
	Urgent bool `json:"urgent,omitempty"`
	// DeclaredRunTime is the run time that the caller expects.
	DeclaredRunTime time.Duration `json:"declared-run-time-ns,omitempty"`
	// MemoryBytes is the memory that the job's task on one worker may use; 0
	// means no limit.
	MemoryBytes int64 `json:"memory-bytes,omitempty"`
	// Payload is passed to the workers unchanged.
	Payload []byte `json:"payload,omitempty"`
}

// PieceState is the state of a piece.
type PieceState string

// The states of a piece. A piece holds accelerators until it is finished or
// released.
const (
	PieceRequested PieceState = "asked"
	PieceLeased    PieceState = "leased"
	PieceRunning   PieceState = "running"
	PieceFinished  PieceState = "finished"
	PieceReleased  PieceState = "released"
)

// Piece holds the parts of a gang that are placed on one worker. A part is one of
// the equal units of the job's shape. A task is what the worker runs for a piece,
// under one lease.
type Piece struct {
	Worker identifier.WorkerID `json:"worker"`
	Parts  int                 `json:"parts"`
	State  PieceState          `json:"state"`
	// Progress is the work saved in the task's last checkpoint.
	Progress time.Duration `json:"progress-ns"`
	// leaseExpiry is when the worker has stopped the task at the latest, unless
	// the lease is renewed.
	leaseExpiry time.Time
	// requestedAt is when the lease was requested.
	requestedAt time.Time
	// reported is set once this owner has received a report that lists the
	// piece's lease.
	reported bool
}

// holdsAccelerators reports whether the piece still occupies its accelerators.
func (p *Piece) holdsAccelerators() bool {
	return p.State != PieceFinished && p.State != PieceReleased
}

// WorkerAllocation is a number of accelerators on one worker.
type WorkerAllocation struct {
	Worker       identifier.WorkerID `json:"worker"`
	Accelerators int                 `json:"accelerators"`
}

// GuaranteeKey identifies a guarantee by plan, accelerator type and shape.
type GuaranteeKey struct {
	Plan        identifier.PlanID `json:"plan"`
	Accelerator string            `json:"accelerator"`
	Shape       packer.Shape      `json:"shape"`
}

// Job is a job with all the state that has to survive the loss of its owner.
type Job struct {
	Spec  Spec  `json:"spec"`
	State State `json:"state"`
	// NextState is the state that follows StateStopping.
	NextState State `json:"next,omitempty"`
	// Attempt grows with every attempt and is never reused.
	Attempt uint64  `json:"attempt"`
	Pieces  []Piece `json:"pieces,omitempty"`
	// Guaranteed jobs run within their plan's guarantee and are never
	// preempted.
	Guaranteed bool `json:"guaranteed,omitempty"`
	// GuaranteeKey identifies the guarantee that a guaranteed job uses.
	GuaranteeKey GuaranteeKey `json:"unit,omitzero"`
	// GuaranteedPlacement is the placement of the whole guaranteed shape while
	// the guarantee is in use. It contains all pieces and overlaps no other
	// job's GuaranteedPlacement, so that the whole shape is available again
	// when the job ends.
	GuaranteedPlacement []WorkerAllocation `json:"place,omitempty"`
	// Progress is the work saved by the last checkpoint of the whole gang.
	Progress  time.Duration `json:"progress-ns"`
	Submitted time.Time     `json:"submitted"`
	Started   time.Time     `json:"started,omitzero"`
	Ended     time.Time     `json:"ended,omitzero"`
	// FailedOn lists the workers on which the job failed.
	FailedOn []identifier.WorkerID `json:"failed-on,omitempty"`
	// Failures counts the failures on workers that were not quarantined.
	Failures int `json:"failures,omitempty"`
	// Crashes counts the consecutive attempts in which a worker crashed right after
	// the start of the job.
	Crashes int `json:"crashes,omitempty"`
	// Reason says why the job ended or was last requeued.
	Reason string `json:"reason,omitempty"`
	// Reclaims counts how often the job was preempted for a guarantee.
	Reclaims int `json:"reclaims,omitempty"`
	// Moves counts how often the job was moved to free capacity for a gang.
	Moves     int  `json:"moves,omitempty"`
	Straggler bool `json:"straggler,omitempty"`
	// LostWork is the work lost by stops, in accelerator time.
	LostWork time.Duration `json:"lost-ns,omitempty"`

	// stateSince is when the job entered State. Retries of commands reset it.
	stateSince time.Time
	// searchKey is computed on first use after the job was queued.
	searchKey searchKey
	// lastSearch is when borrowers to preempt or move were last searched for.
	lastSearch time.Time
	// recovering is set on the job of an earlier owner until the new owner has
	// received a report of every piece that holds accelerators.
	recovering bool
	// startRepeated says that the start commands of the attempt were repeated.
	startRepeated bool
	dirty         bool
}

// Worker describes a worker, as it announces itself.
type Worker struct {
	ID      identifier.WorkerID `json:"id"`
	Address string              `json:"address"`
	// Subject is the holder of the token that the worker presented.
	Subject      string            `json:"subject"`
	Rack         identifier.RackID `json:"rack"`
	Position     int               `json:"position"`
	Accelerator  string            `json:"accelerator"`
	Accelerators int               `json:"accelerators"`
	// Draining is set while the worker must get no new work.
	Draining    bool                   `json:"leaving,omitempty"`
	Incarnation identifier.Incarnation `json:"incarnation"`
}

// Usage is the resource usage of one task. It may be reported late.
type Usage struct {
	ID          leaser.ID `json:"id"`
	MemoryBytes int64     `json:"memory-bytes"`
}

// Report is a worker's report of itself and its leases.
type Report struct {
	Worker Worker `json:"worker"`
	// Leases holds all leases of the worker, unless the report is partial.
	Leases []leaser.Lease `json:"leases"`
	// Partial reports hold only the leases whose state has changed since the
	// last report that the owner accepted. They renew all other leases as well.
	Partial bool    `json:"partial,omitempty"`
	Usage   []Usage `json:"usage,omitempty"`
	// Sequence grows with every report of one incarnation.
	Sequence uint64 `json:"sequence"`
}

// CommandKind is the kind of a command.
type CommandKind string

// The kinds of commands.
const (
	CommandLease CommandKind = "lease"
	CommandStart CommandKind = "start"
	CommandStop  CommandKind = "stop"
)

// Command is an order to one worker.
type Command struct {
	Worker       identifier.WorkerID `json:"worker"`
	Kind         CommandKind         `json:"kind"`
	ID           leaser.ID           `json:"id"`
	Epoch        identifier.Epoch    `json:"epoch"`
	Accelerators int                 `json:"accelerators,omitempty"`
	// TTL is the length of the lease, counted from when the worker receives the
	// command.
	TTL time.Duration `json:"ttl-ns,omitempty"`
	// Checkpoint requests a checkpoint before the stop; the task gets Grace to
	// write it.
	Checkpoint bool          `json:"checkpoint,omitempty"`
	Grace      time.Duration `json:"grace-ns,omitempty"`
	// ResumeFrom is the work that earlier attempts have completed.
	ResumeFrom time.Duration `json:"resume-ns,omitempty"`
	Payload    []byte        `json:"payload,omitempty"`
}

// Output is what the caller has to do: first persist ChangedJobs, then send
// Commands.
type Output struct {
	ChangedJobs []Job
	Commands    []Command
}
