// Package placer decides where and when gang jobs run in one data centre:
// whole gangs in adjacent shapes, guarantees reclaimed from borrowers, teams
// kept to their quotas, failing workers set aside.
//
// Engine is pure: reports, submissions and the time go in; commands to workers
// and changed jobs come out. Nothing runs unless the engine's owner holds the
// data centre's epoch, which workers check.
package placer

import (
	"time"

	"github.com/rotisserie/eris"

	"cranberrystack.dev/cranberrystack/identifier"
	"cranberrystack.dev/cranberrystack/leaser"
	"cranberrystack.dev/cranberrystack/packer"
)

// ErrImpossible reports a job that can never run, with the reason around it.
var ErrImpossible = eris.New("job can never run")

// ErrNoSuchPlan reports a plan or team that is not in force or not the
// caller's.
var ErrNoSuchPlan = eris.New("no such plan")

// ErrNoSuchJob reports an id that is unknown or another member's.
var ErrNoSuchJob = eris.New("no such job")

// ErrConflict reports an id that was used for another job.
var ErrConflict = eris.New("id was used for another job")

// ErrQueueFull reports a queue that takes no more jobs.
var ErrQueueFull = eris.New("too many jobs are waiting")

// State is how far a job has come.
type State string

// The states of a job.
const (
	StateQueued   State = "queued"
	StateLeasing  State = "leasing"
	StateStarting State = "starting"
	StateRunning  State = "running"
	// StateStopping waits for workers to confirm; NextState follows.
	StateStopping  State = "stopping"
	StateFinished  State = "finished"
	StateFailed    State = "failed"
	StateCancelled State = "cancelled"
)

// Ended reports whether a job is over.
func (s State) Ended() bool {
	return s == StateFinished || s == StateFailed || s == StateCancelled
}

// Spec is what a caller asks for.
type Spec struct {
	ID          identifier.JobID    `json:"id"`
	Member      identifier.MemberID `json:"member"`
	Plan        identifier.PlanID   `json:"plan"`
	Team        identifier.TeamID   `json:"team,omitempty"`
	Accelerator string              `json:"accelerator"`
	Shape       packer.Shape        `json:"shape"`
	// Kind groups jobs whose run times are alike.
	Kind string `json:"kind,omitempty"`
	// Checkpointable jobs go on from their last checkpoint.
	Checkpointable bool `json:"checkpointable"`
	// Urgent jobs go first within their plan's guarantee, and what is
	// reclaimed for them gets a shorter grace.
	Urgent bool `json:"urgent,omitempty"`
	// DeclaredRunTime is the run time that the caller expects.
	DeclaredRunTime time.Duration `json:"declared-run-time-ns,omitempty"`
	// MemoryBytes is what one part may use; 0 is no bound.
	MemoryBytes int64 `json:"memory-bytes,omitempty"`
	// Payload is handed to the workers as it is.
	Payload []byte `json:"payload,omitempty"`
}

// PieceState is how far one worker's part of a gang has come.
type PieceState string

// The states of a piece. A piece holds accelerators until it is released.
const (
	PieceRequested PieceState = "asked"
	PieceLeased    PieceState = "leased"
	PieceRunning   PieceState = "running"
	PieceFinished  PieceState = "finished"
	PieceReleased  PieceState = "released"
)

// Piece is the part of a gang that one worker holds.
type Piece struct {
	Worker identifier.WorkerID `json:"worker"`
	Parts  int                 `json:"parts"`
	State  PieceState          `json:"state"`
	// Progress is the work in the piece's last checkpoint.
	Progress time.Duration `json:"progress-ns"`
	// held is until when the worker may still run the piece.
	held time.Time
	// asked is when the lease was asked for.
	asked time.Time
	// heard is set once this owner has a report of the piece.
	heard bool
}

// holds reports whether the piece's accelerators are taken.
func (p *Piece) holds() bool {
	return p.State != PieceFinished && p.State != PieceReleased
}

// WorkerAllocation is a number of accelerators on one worker.
type WorkerAllocation struct {
	Worker       identifier.WorkerID `json:"worker"`
	Accelerators int                 `json:"accelerators"`
}

// GuaranteeKey names a guarantee by what it guarantees.
type GuaranteeKey struct {
	Plan        identifier.PlanID `json:"plan"`
	Accelerator string            `json:"accelerator"`
	Shape       packer.Shape      `json:"shape"`
}

// Job is a job with all that has to survive the loss of its owner.
type Job struct {
	Spec  Spec  `json:"spec"`
	State State `json:"state"`
	// NextState is the state after StateStopping.
	NextState State `json:"next,omitempty"`
	// Attempt grows with every try and is never used twice.
	Attempt uint64  `json:"attempt"`
	Pieces  []Piece `json:"pieces,omitempty"`
	// Guaranteed jobs are within their plan's guarantee and are never
	// reclaimed.
	Guaranteed bool `json:"guaranteed,omitempty"`
	// GuaranteeKey is the guarantee that a guaranteed job uses.
	GuaranteeKey GuaranteeKey `json:"unit,omitzero"`
	// GuaranteedPlacement is where the whole guaranteed shape lies while the guarantee is in
	// use. It holds all pieces, and no other guaranteed job's place overlaps
	// it, so that the shape is whole again when the job ends.
	GuaranteedPlacement []WorkerAllocation `json:"place,omitempty"`
	// Progress is the work that the last whole checkpoint holds.
	Progress  time.Duration `json:"progress-ns"`
	Submitted time.Time     `json:"submitted"`
	Started   time.Time     `json:"started,omitzero"`
	Ended     time.Time     `json:"ended,omitzero"`
	// FailedOn lists the workers that were blamed for failures.
	FailedOn []identifier.WorkerID `json:"failed-on,omitempty"`
	// Failures counts the failures on workers that are not set aside.
	Failures int `json:"failures,omitempty"`
	// Reason says why the job ended or was last put back.
	Reason string `json:"reason,omitempty"`
	// Reclaims counts how often borrowed space was taken back from the job.
	Reclaims int `json:"reclaims,omitempty"`
	// Moves counts how often the job made room for a gang elsewhere.
	Moves     int  `json:"moves,omitempty"`
	Straggler bool `json:"straggler,omitempty"`
	// LostWork is the work that was done again, in accelerator time.
	LostWork time.Duration `json:"lost-ns,omitempty"`

	// changed is when State was entered.
	changed time.Time
	// key is worked out when first needed after the job was queued.
	key shapeKey
	// tried is when room was last looked for in vain.
	tried time.Time
	// adopting is set until a new owner has heard of every piece.
	adopting bool
	dirty    bool
}

// Worker is what a worker says of itself.
type Worker struct {
	ID      identifier.WorkerID `json:"id"`
	Address string              `json:"address"`
	// Subject is the holder of the token that announced.
	Subject      string                 `json:"subject"`
	Rack         identifier.RackID      `json:"rack"`
	Position     int                    `json:"position"`
	Accelerator  string                 `json:"accelerator"`
	Accelerators int                    `json:"accelerators"`
	Leaving      bool                   `json:"leaving,omitempty"`
	Incarnation  identifier.Incarnation `json:"incarnation"`
}

// Usage is what a task used, as reported late.
type Usage struct {
	ID          leaser.ID `json:"id"`
	MemoryBytes int64     `json:"memory-bytes"`
}

// Report is a worker's word about itself and its leases.
type Report struct {
	Worker Worker `json:"worker"`
	// Leases are all of them, unless the report is partial.
	Leases []leaser.Lease `json:"leases"`
	// Partial reports hold only the leases whose state has changed since the
	// last report that the owner took. They renew all others too.
	Partial bool    `json:"partial,omitempty"`
	Usage   []Usage `json:"usage,omitempty"`
	// Sequence grows with every report of one incarnation.
	Sequence uint64 `json:"sequence"`
}

// CommandKind tells what a worker shall do.
type CommandKind string

// The kinds of command.
const (
	CommandLease CommandKind = "lease"
	CommandStart CommandKind = "start"
	CommandStop  CommandKind = "stop"
)

// Command goes to one worker.
type Command struct {
	Worker       identifier.WorkerID `json:"worker"`
	Kind         CommandKind         `json:"kind"`
	ID           leaser.ID           `json:"id"`
	Epoch        identifier.Epoch    `json:"epoch"`
	Accelerators int                 `json:"accelerators,omitempty"`
	// TTL is the lease's length, counted from when the worker gets it.
	TTL time.Duration `json:"ttl-ns,omitempty"`
	// Checkpoint asks for one before the stop, for which the task gets Grace.
	Checkpoint bool          `json:"checkpoint,omitempty"`
	Grace      time.Duration `json:"grace-ns,omitempty"`
	// ResumeFrom is the work that is done already.
	ResumeFrom time.Duration `json:"resume-ns,omitempty"`
	Payload    []byte        `json:"payload,omitempty"`
}

// Output is what the engine wants done: keep ChangedJobs first, then send
// Commands.
type Output struct {
	ChangedJobs []Job
	Commands    []Command
}
