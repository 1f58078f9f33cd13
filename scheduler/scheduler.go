// Package scheduler decides which worker runs which task of which job.
//
// State is what must survive: the catalog of queues, pools and teams, the
// jobs, the workers and the runs that may be alive. It changes only by batches
// of commands from a replicated log, the same on every instance. Observer is
// what the leader has seen of the workers, and is lost with it. Planner turns
// both into assignments and stops. All three are pure: the present time is an
// argument, and nothing is sent or written here.
package scheduler

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"

	"cranberrystack.dev/cranberrystack/identifier"
)

// ErrBadTaskID reports a text that names no task.
var ErrBadTaskID = eris.New("not the id of a task")

// QueueName names a queue of jobs.
type QueueName string

// PoolName names a group of workers.
type PoolName string

// UnixMilli is a time of day, in milliseconds since 1970.
type UnixMilli int64

// WorkerMilli is a time on one worker's steady clock, in milliseconds.
type WorkerMilli int64

// FencingToken is the fencing token of a leader. A worker obeys the highest that it
// has seen.
type FencingToken uint64

// WaveID numbers a wave of upkeep.
type WaveID int64

// MachineID names a machine, of which a worker is one life.
type MachineID string

// TaskID names one task of one occurrence of a job.
type TaskID struct {
	Job        identifier.JobID
	Occurrence int
	Step       int
	Index      int
}

// String returns the id in its text form, JOB.OCCURRENCE.STEP.INDEX.
func (t TaskID) String() string {
	return string(t.Job) + "." + strconv.Itoa(t.Occurrence) + "." + strconv.Itoa(t.Step) + "." + strconv.Itoa(t.Index)
}

// ParseTaskID reads the text form. It fails with ErrBadTaskID.
func ParseTaskID(text string) (TaskID, error) {
	parts := strings.Split(text, ".")
	if len(parts) != 4 {
		return TaskID{}, fmt.Errorf("%q: %w", text, ErrBadTaskID)
	}
	var numbers [3]int
	for i := range numbers {
		number, err := strconv.Atoi(parts[i+1])
		if err != nil || number < 0 {
			return TaskID{}, fmt.Errorf("%q: %w", text, ErrBadTaskID)
		}
		numbers[i] = number
	}
	return TaskID{
		Job: identifier.JobID(parts[0]), Occurrence: numbers[0], Step: numbers[1], Index: numbers[2],
	}, nil
}

// MarshalText returns the text form.
func (t TaskID) MarshalText() ([]byte, error) { return []byte(t.String()), nil }

// UnmarshalText reads the text form.
func (t *TaskID) UnmarshalText(text []byte) error {
	parsed, err := ParseTaskID(string(text))
	*t = parsed
	return err
}

// StepID names one step of one occurrence of a job.
type StepID struct {
	Job        identifier.JobID
	Occurrence int
	Step       int
}

// String returns the id in its text form, JOB.OCCURRENCE.STEP.
func (s StepID) String() string {
	return string(s.Job) + "." + strconv.Itoa(s.Occurrence) + "." + strconv.Itoa(s.Step)
}

// StepID returns the step that the task belongs to.
func (t TaskID) StepID() StepID {
	return StepID{Job: t.Job, Occurrence: t.Occurrence, Step: t.Step}
}

// RunID names one try at running a task. Numbers start at 1 and rise; all
// members of a gang share one.
type RunID struct {
	Task   TaskID `json:"task"`
	Number int    `json:"run"`
}

// String returns the id as TASK#NUMBER.
func (r RunID) String() string { return r.Task.String() + "#" + strconv.Itoa(r.Number) }

// Resources are what a task needs and what a worker has.
type Resources struct {
	// CPU is in thousandths of a core.
	CPU int64 `json:"cpu-milli,omitempty"`
	// Memory is in MiB.
	Memory       int64 `json:"memory-mb,omitempty"`
	Accelerators int64 `json:"accelerators,omitempty"`
}

// Plus returns the sum.
func (r Resources) Plus(o Resources) Resources {
	return Resources{CPU: r.CPU + o.CPU, Memory: r.Memory + o.Memory, Accelerators: r.Accelerators + o.Accelerators}
}

// Minus returns the difference.
func (r Resources) Minus(o Resources) Resources {
	return Resources{CPU: r.CPU - o.CPU, Memory: r.Memory - o.Memory, Accelerators: r.Accelerators - o.Accelerators}
}

// Times returns a multiple.
func (r Resources) Times(factor int) Resources {
	n := int64(factor)
	return Resources{CPU: r.CPU * n, Memory: r.Memory * n, Accelerators: r.Accelerators * n}
}

// elementwiseMax returns the larger of each.
func (r Resources) elementwiseMax(o Resources) Resources {
	return Resources{CPU: max(r.CPU, o.CPU), Memory: max(r.Memory, o.Memory), Accelerators: max(r.Accelerators, o.Accelerators)}
}

// withDefaults returns the resources, with those that are 0 taken from others.
func (r Resources) withDefaults(o Resources) Resources {
	pick := func(own, other int64) int64 {
		if own == 0 {
			return other
		}
		return own
	}
	return Resources{CPU: pick(r.CPU, o.CPU), Memory: pick(r.Memory, o.Memory), Accelerators: pick(r.Accelerators, o.Accelerators)}
}

// Fits reports whether this much fits into that room.
func (r Resources) Fits(room Resources) bool {
	return r.CPU <= room.CPU && r.Memory <= room.Memory && r.Accelerators <= room.Accelerators
}

// acceleratorCores is how many cores an accelerator counts as.
const acceleratorCores = 8

// Cores returns the weight of the resources in cores.
func (r Resources) Cores() float64 {
	return float64(r.CPU)/1000 + float64(r.Accelerators)*acceleratorCores
}

// Document is JSON kept as it came.
type Document = json.RawMessage
