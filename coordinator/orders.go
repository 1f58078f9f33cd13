package coordinator

import (
	"context"
	"fmt"

	"github.com/rotisserie/eris"

	"cranberrystack.dev/cranberrystack/identifier"
	"cranberrystack.dev/cranberrystack/scheduler"
)

// Destination is the worker that an order is sent to.
type Destination struct {
	Worker  identifier.WorkerID
	Address string
}

// ErrOtherIncarnation reports an order that could not be sent to the incarnation
// of the worker that responded last. Nothing was sent.
var ErrOtherIncarnation = eris.New("no connection to the incarnation of the worker that responded last")

// ErrNotSent reports an order of which nothing was sent: it was not carried out and
// never will be.
var ErrNotSent = eris.New("order was not sent")

// ErrNoConnection is an ErrNotSent for lack of a connection on this instance, which
// says nothing about the worker.
var ErrNoConnection = fmt.Errorf("no connection for the order: %w", ErrNotSent)

// Refusal is the reason for which a worker refused an order.
type Refusal string

// The refusals.
const (
	NotRefused Refusal = ""
	// RefusedStaleToken says that the worker has seen a higher fencing token.
	RefusedStaleToken Refusal = "fence"
	// RefusedStaleRun says that the run, or a later run of its task, has ended or
	// was stopped on the worker.
	RefusedStaleRun Refusal = "old"
	// RefusedDeadline says that the start arrived after its deadline.
	RefusedDeadline Refusal = "late"
	// RefusedCapacity says that the worker lacks free capacity.
	RefusedCapacity Refusal = "room"
	RefusedTicket   Refusal = "ticket"
	// RefusedUnhealthy says that the worker accepts no runs at present.
	RefusedUnhealthy Refusal = "unhealthy"
	RefusedInvalid   Refusal = "invalid"
	// RefusedOtherIncarnation says that the order reached a process other than the
	// addressed worker.
	RefusedOtherIncarnation Refusal = "other-life"
)

// StartOrder orders a worker to start a run. Deadline is on the worker's clock:
// no later start is accepted, and the run's first lease ends then.
type StartOrder struct {
	Run          scheduler.RunID
	Spec         string
	Deadline     scheduler.WorkerMilli
	FencingToken scheduler.FencingToken
	Checkpoint   string
	Ticket       string
	// Urgency orders starts that wait for a connection; lower values go first.
	Urgency int
}

// OrderAnswer is a worker's answer to an order.
type OrderAnswer struct {
	Clock   scheduler.WorkerMilli
	Refusal Refusal
}

// RunOrder orders a worker to stop or pace a run.
type RunOrder struct {
	Run          scheduler.RunID
	FencingToken scheduler.FencingToken
	// Percent is the share of its full speed at which a paced run may work.
	Percent int
}

// PollOrder renews a worker's leases and queries its runs.
type PollOrder struct {
	FencingToken scheduler.FencingToken
	// Acked is the number of the last end that the log holds.
	Acked int64
	// Deadline is the end of the renewed leases on the worker's clock; 0 renews
	// none.
	Deadline scheduler.WorkerMilli
	// WaitMillis is how long the worker may hold the poll until a run ends.
	WaitMillis int64
	// SameIncarnation says that the order may only reach the incarnation of the
	// worker that responded to this caller last. A poll that acknowledges ends
	// needs it, since each incarnation numbers its ends from the start.
	SameIncarnation bool
}

// Orders are the calls to workers. An error means that there was no response.
// After any error but ErrOtherIncarnation and those that wrap ErrNotSent, the order
// may have been carried out or may still be.
type Orders struct {
	Start func(ctx context.Context, to Destination, order StartOrder) (OrderAnswer, error)
	Stop  func(ctx context.Context, to Destination, order RunOrder) (OrderAnswer, error)
	Pace  func(ctx context.Context, to Destination, order RunOrder) (OrderAnswer, error)
	Poll  func(ctx context.Context, to Destination, order PollOrder) (scheduler.PollResult, error)
}

// Advise queries which workers may run a step. It returns their tickets and for
// how long these are valid.
type Advise func(ctx context.Context, step scheduler.StepID, workers []identifier.WorkerID) (AdviceAnswer, error)

// AdviceAnswer is the response to a request for advice.
type AdviceAnswer struct {
	Allowed []AllowedWorker
	// ValidMillis is how long the tickets are valid, counted from when the request
	// was sent.
	ValidMillis int64
}

// AllowedWorker is a worker that may run a step, with its ticket.
type AllowedWorker struct {
	Worker identifier.WorkerID
	Ticket string
}

// MachineState is the state of a machine at the machine manager.
type MachineState string

// The states of a machine.
const (
	MachineUp       MachineState = "up"
	MachineMoving   MachineState = "moving"
	MachineInUpkeep MachineState = "upkeep"
	MachineDown     MachineState = "down"
)

// Machine is one machine of a pool. Worker is empty while none runs on it.
type Machine struct {
	ID     scheduler.MachineID
	Pool   scheduler.PoolName
	State  MachineState
	Worker identifier.WorkerID
}

// UpkeepAnswer is the machine manager's response to an upkeep order.
type UpkeepAnswer string

// The responses to an upkeep order. UpkeepUnknown says that the machine manager
// does not know the machine.
const (
	UpkeepAccepted UpkeepAnswer = "accepted"
	UpkeepBusy     UpkeepAnswer = "busy"
	UpkeepRefused  UpkeepAnswer = "refused"
	UpkeepUnknown  UpkeepAnswer = "unknown"
)

// MachineManager holds the calls to the machine manager. List is nil if there is
// none. After an error of Upkeep, the order may have been carried out; the
// coordinator repeats it.
type MachineManager struct {
	List   func(ctx context.Context) ([]Machine, error)
	Upkeep func(ctx context.Context, machine scheduler.MachineID, wave scheduler.WaveID, token scheduler.FencingToken) (UpkeepAnswer, error)
}
