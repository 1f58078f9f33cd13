package scheduler

import (
	"strings"

	"cranberrystack.dev/cranberrystack/identifier"
)

// WorkerState is what a worker says of itself.
type WorkerState string

// The states of a worker.
const (
	WorkerReady    WorkerState = "ready"
	WorkerDraining WorkerState = "draining"
	// WorkerGone is that of a worker that has said that it ends.
	WorkerGone WorkerState = "gone"
)

// Worker is a registered worker.
type Worker struct {
	ID identifier.WorkerID `json:"id"`
	// Incarnation is the start of the worker's process, in its machine's time of day.
	// A worker that restarts under the same id has a higher one.
	Incarnation UnixMilli `json:"born"`
	// Sequence is that of the report that last changed something.
	Sequence   int64                   `json:"sequence,omitempty"`
	Pool       PoolName                `json:"pool"`
	Address    string                  `json:"address"`
	DataCenter identifier.DataCenterID `json:"data-center"`
	Machine    MachineID               `json:"machine,omitempty"`
	Labels     []string                `json:"labels,omitempty"`
	Capacity   Resources               `json:"capacity"`
	State      WorkerState             `json:"state"`
	// Leaves is the least time that a draining worker has left, from DrainingSince.
	DrainMillis   int64     `json:"leaves-ms,omitempty"`
	DrainingSince UnixMilli `json:"drained,omitempty"`
	// Acked is the last end of this life that has been noted. It never
	// decreases within a life.
	Acked int64 `json:"acked,omitempty"`
}

const rackPrefix = "r"

// Rack returns the label that names the worker's rack, empty if it has none.
func (w *Worker) Rack() string {
	for _, label := range w.Labels {
		if strings.HasPrefix(label, rackPrefix) && strings.Contains(label, "-") {
			return label
		}
	}
	return ""
}

// HasLabel reports whether the worker has a label.
func (w *Worker) HasLabel(label string) bool {
	for _, own := range w.Labels {
		if own == label {
			return true
		}
	}
	return false
}

// SameRegistration reports whether a report changes nothing that is kept.
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

// Run is a try that may be alive and holds its place.
type Run struct {
	ID     RunID               `json:"id"`
	Worker identifier.WorkerID `json:"worker"`
	// Incarnation is the worker's life that the run was given to.
	Incarnation UnixMilli `json:"born"`
	// FencingToken is that of the leader that assigned the run.
	FencingToken FencingToken `json:"fence"`
	Checkpoint   string       `json:"checkpoint,omitempty"`
	Assigned     UnixMilli    `json:"assigned"`
	Ticket       string       `json:"ticket,omitempty"`
}

// EndKind says how a run ended.
type EndKind string

// The ends of a run.
const (
	EndDone         EndKind = "done"
	EndFailed       EndKind = "failed"
	EndStopped      EndKind = "stopped"
	EndLeaseExpired EndKind = "lapsed"
	// EndGangBroken is that of a gang's member of which another ended.
	EndGangBroken EndKind = "broken"
	// EndGangTimeout is that of a gang's member that waited too long for the others.
	EndGangTimeout EndKind = "alone"
)

// End is the end of a run, numbered within a worker's life.
type End struct {
	Number     int64   `json:"number"`
	Run        RunID   `json:"run"`
	Kind       EndKind `json:"how"`
	Checkpoint string  `json:"checkpoint,omitempty"`
}
