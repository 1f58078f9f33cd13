package coordinator

import (
	"context"

	"github.com/rotisserie/eris"

	"cranberrystack.dev/cranberrystack/identifier"
	"cranberrystack.dev/cranberrystack/scheduler"
)

// Destination is the worker that an order is meant for.
type Destination struct {
	Worker  identifier.WorkerID
	Address string
}

// ErrOtherIncarnation reports an order that could not be sent to the life of the
// worker that answered last. Nothing was sent.
var ErrOtherIncarnation = eris.New("the worker's life can't be reached any more")

// Refusal says why a worker did not start a run.
type Refusal string

// The refusals.
const (
	NotRefused Refusal = ""
	// RefusedFence says that another leader has given orders since.
	RefusedFence Refusal = "fence"
	// RefusedStaleRun says that the run or a later one was ended or stopped there.
	RefusedStaleRun Refusal = "old"
	RefusedDeadline Refusal = "late"
	RefusedCapacity Refusal = "room"
	RefusedTicket   Refusal = "ticket"
	// RefusedUnhealthy says that the worker takes nothing now.
	RefusedUnhealthy Refusal = "unhealthy"
	RefusedInvalid   Refusal = "invalid"
	// RefusedOtherIncarnation says that another worker answered.
	RefusedOtherIncarnation Refusal = "other-life"
)

// StartOrder orders a worker to start a run.
type StartOrder struct {
	Run        scheduler.RunID
	Spec       string
	Deadline   scheduler.WorkerMilli
	Fence      scheduler.FencingToken
	Checkpoint string
	Ticket     string
}

// OrderAnswer is a worker's answer to an order.
type OrderAnswer struct {
	Clock   scheduler.WorkerMilli
	Refusal Refusal
}

// RunOrder orders a worker to stop or pace a run.
type RunOrder struct {
	Run   scheduler.RunID
	Fence scheduler.FencingToken
	// Percent is the share at which a paced run may work.
	Percent int
}

// PollOrder prolongs a worker's leases and asks what runs there.
type PollOrder struct {
	Fence    scheduler.FencingToken
	Acked    int64
	Deadline scheduler.WorkerMilli
	// WaitMillis is how long the answer may wait for an end.
	WaitMillis int64
	// SameIncarnation says that the order may reach no other life of the worker than
	// the one that answered this caller last. An order that acknowledges ends
	// needs it, since a new life numbers its ends anew.
	SameIncarnation bool
}

// Orders are the calls to workers. An error means that there was no answer;
// the order may have been carried out, or may be later.
type Orders struct {
	Start func(ctx context.Context, to Destination, order StartOrder) (OrderAnswer, error)
	Stop  func(ctx context.Context, to Destination, order RunOrder) (OrderAnswer, error)
	Pace  func(ctx context.Context, to Destination, order RunOrder) (OrderAnswer, error)
	Poll  func(ctx context.Context, to Destination, order PollOrder) (scheduler.PollResult, error)
}

// Advise asks which workers may run a step. It returns their tickets and for
// how long they are valid.
type Advise func(ctx context.Context, step scheduler.StepID, workers []identifier.WorkerID) (Advice, error)

// Advice is the answer to a request for advice.
type Advice struct {
	Allowed     []AllowedWorker
	ValidMillis int64
}

// AllowedWorker is a worker that may run a step, with its ticket.
type AllowedWorker struct {
	Worker identifier.WorkerID
	Ticket string
}

// MachineState is what the keeper of the machines says of one.
type MachineState string

// The states of a machine.
const (
	MachineUp     MachineState = "up"
	MachineMoving MachineState = "moving"
	MachineUpkeep MachineState = "upkeep"
	MachineDown   MachineState = "down"
)

// Machine is one machine of a pool.
type Machine struct {
	ID     scheduler.MachineID
	Pool   scheduler.PoolName
	State  MachineState
	Worker identifier.WorkerID
}

// UpkeepAnswer says what became of an order for upkeep.
type UpkeepAnswer string

// The answers to an order for upkeep.
const (
	UpkeepAccepted UpkeepAnswer = "accepted"
	UpkeepBusy     UpkeepAnswer = "busy"
	UpkeepRefused  UpkeepAnswer = "refused"
	UpkeepUnknown  UpkeepAnswer = "unknown"
)

// MachineManager are the calls to the keeper of the machines.
type MachineManager struct {
	List   func(ctx context.Context) ([]Machine, error)
	Upkeep func(ctx context.Context, machine scheduler.MachineID, wave scheduler.WaveID, fence scheduler.FencingToken) (UpkeepAnswer, error)
}
