package scheduler

import (
	"net"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"

	"cranberrystack.dev/cranberrystack/identifier"
)

// WorkerState is the state of a worker.
type WorkerState string

// The states of a worker.
const (
	WorkerReady    WorkerState = "ready"
	WorkerDraining WorkerState = "draining"
	// WorkerLeft is the state of a worker after a Leave. Workers can't report it.
	WorkerLeft WorkerState = "gone"
)

// Worker is a registered worker.
type Worker struct {
	ID identifier.WorkerID `json:"id"`
	// Incarnation is when the worker's process started, in its machine's time
	// of day. A worker that restarts under the same id has a higher one.
	Incarnation UnixMilli `json:"born"`
	// Sequence is the sequence number of the last report that changed
	// anything.
	Sequence   int64                   `json:"sequence,omitempty"`
	Pool       PoolName                `json:"pool"`
	Address    string                  `json:"address"`
	DataCenter identifier.DataCenterID `json:"data-center"`
	Machine    MachineID               `json:"machine,omitempty"`
	Labels     []string                `json:"labels,omitempty"`
	Capacity   Resources               `json:"capacity"`
	State      WorkerState             `json:"state"`
	// DrainMillis is the minimum time that a draining worker remains, from
	// DrainingSince.
	DrainMillis   int64     `json:"leaves-ms,omitempty"`
	DrainingSince UnixMilli `json:"drained,omitempty"`
	// Acked is the number of the last recorded end of this incarnation. It
	// never decreases within an incarnation.
	Acked int64 `json:"acked,omitempty"`
	// LostRuns holds the runs of this incarnation that were dropped since its leases
	// had ended, and that may have crashed it.
	LostRuns *Suspicion `json:"lost-runs,omitempty"`
}

// maxLabels bounds the labels of a worker.
const maxLabels = 256

// ErrInvalidWorker reports an invalid worker.
var ErrInvalidWorker = eris.New("worker is invalid")

// Check returns an error that wraps ErrInvalidWorker if a worker's report about itself
// is out of range.
func (w *Worker) Check() error {
	switch {
	case w.Incarnation <= 0 || w.Incarnation > maxTime:
		return eris.Wrap(ErrInvalidWorker, "start time is out of range")
	case w.Sequence < 0 || w.Sequence > maxAmount:
		return eris.Wrap(ErrInvalidWorker, "sequence number is out of range")
	case !validAddress(w.Address):
		return eris.Wrapf(ErrInvalidWorker, "address %q has no host or no valid port", w.Address)
	case !w.Capacity.valid():
		return eris.Wrap(ErrInvalidWorker, "capacity is out of range")
	case w.DrainMillis < 0 || w.DrainMillis > maxAmount:
		return eris.Wrap(ErrInvalidWorker, "remaining time is out of range")
	case len(w.Labels) > maxLabels:
		return eris.Wrapf(ErrInvalidWorker, "more than %d labels", maxLabels)
	}
	return nil
}

// validAddress reports whether an address has a host and a port that can be dialled.
func validAddress(address string) bool {
	host, port, err := net.SplitHostPort(address)
	if err != nil || host == "" {
		return false
	}
	number, err := strconv.ParseUint(port, 10, 16)
	return err == nil && number > 0
}

const rackPrefix = "r"

// Rack returns the label that names the worker's rack, or "" if it has none. It
// is the first label that begins with "r" and contains a hyphen.
func (w *Worker) Rack() string {
	for _, label := range w.Labels {
		if strings.HasPrefix(label, rackPrefix) && strings.Contains(label, "-") {
			return label
		}
	}
	return ""
}

// HasLabel reports whether the worker has the given label.
func (w *Worker) HasLabel(label string) bool {
	for _, own := range w.Labels {
		if own == label {
			return true
		}
	}
	return false
}

// SameRegistration reports whether the report o need not be stored because it
// differs from w at most in Sequence and DrainMillis.
func (w *Worker) SameRegistration(o *Worker) bool {
	if len(w.Labels) != len(o.Labels) {
		return false
	}
	for i := range w.Labels {
		if w.Labels[i] != o.Labels[i] {
			return false
		}
	}
	return w.Incarnation == o.Incarnation && w.Pool == o.Pool && w.Address == o.Address && w.DataCenter == o.DataCenter &&
		w.Machine == o.Machine && w.Capacity == o.Capacity && w.State == o.State
}

// returnedAfter reports whether a report shows that a worker of the same incarnation that
// counts as left is in use: its process does not report itself as ready any more once it
// has said that it leaves, so that the Leave was one of an earlier incarnation.
func (w *Worker) returnedAfter(left *Worker) bool {
	return w.Incarnation == left.Incarnation && w.State == WorkerReady && w.Sequence > left.Sequence
}

// Outdated reports whether a worker's report must be ignored because of what is known:
// it is of an earlier incarnation, or of one that has left.
func (w *Worker) Outdated(known *Worker) bool {
	if known == nil || w.Incarnation != known.Incarnation {
		return known != nil && w.Incarnation < known.Incarnation
	}
	return known.State == WorkerLeft && !w.returnedAfter(known)
}

// Run is a run that may be alive and takes capacity of its worker.
type Run struct {
	ID     RunID               `json:"id"`
	Worker identifier.WorkerID `json:"worker"`
	// Incarnation is the incarnation of the worker that the run was assigned
	// to.
	Incarnation UnixMilli `json:"born"`
	// FencingToken is the token of the leader that assigned the run.
	FencingToken FencingToken `json:"fence"`
	Checkpoint   string       `json:"checkpoint,omitempty"`
	Assigned     UnixMilli    `json:"assigned"`
	Ticket       string       `json:"ticket,omitempty"`
}

// EndKind says how a run ended.
type EndKind string

// The kinds of ends.
const (
	EndDone         EndKind = "done"
	EndFailed       EndKind = "failed"
	EndStopped      EndKind = "stopped"
	EndLeaseExpired EndKind = "lapsed"
	// EndGangBroken is the end of a gang member whose gang lost another
	// member.
	EndGangBroken EndKind = "broken"
	// EndGangTimeout is the end of a gang member that waited too long for the
	// others.
	EndGangTimeout EndKind = "alone"
)

// End is the end of a run, numbered within a worker's incarnation.
type End struct {
	Number     int64   `json:"number"`
	Run        RunID   `json:"run"`
	Kind       EndKind `json:"how"`
	Checkpoint string  `json:"checkpoint,omitempty"`
	// FullMillis is how long the whole task would have taken on this worker at the rate
	// of the progress that the leader observed, in milliseconds; 0 if it is unknown.
	FullMillis int64 `json:"full-ms,omitempty"`
}
