// Package scheduler decides which worker runs which task of which job.
//
// A job has one or more occurrences, each of which executes the job's steps. A
// step is a number of identical tasks. A run is one attempt to execute a task on
// one worker. The tasks of a gang run together or not at all.
//
// State is the replicated state: the catalog of queues, pools and teams, the
// jobs, the workers and the runs that may be alive. It changes only by batches
// of commands from a replicated log and is the same on every instance.
// Observer is what the leader has observed of the workers; it is lost with the
// leader. Planner derives assignments and stops from both. None of the three
// reads a clock, sends messages or writes files: the current time is an argument.
//
// Urgent work is that of jobs of priority 0. A team's guarantee in this package is
// an amount of resources for the team's urgent work, unlike the guarantees of
// packages configurer and placer, which are numbers of shapes for a plan.
package scheduler

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"

	"cranberrystack.dev/cranberrystack/identifier"
)

// ErrInvalidTaskID reports a text that is not a task id.
var ErrInvalidTaskID = eris.New("not the id of a task")

// QueueName names a queue of jobs.
type QueueName string

// PoolName names a group of workers.
type PoolName string

// UnixMilli is a time of day in milliseconds since 1970.
type UnixMilli int64

// WorkerMilli is a time on a worker's monotonic clock in milliseconds.
type WorkerMilli int64

// FencingToken is the fencing token of a leader. A worker obeys only the
// highest token that it has seen.
type FencingToken uint64

// WaveID identifies a wave of upkeep.
type WaveID int64

// MachineID names a machine. A machine runs at most one worker at a time.
type MachineID string

// TaskID identifies a task of one occurrence of a job.
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

// ParseTaskID parses the text form of a task id. Its error wraps
// ErrInvalidTaskID. It does not check the job id.
func ParseTaskID(text string) (TaskID, error) {
	parts := strings.Split(text, ".")
	if len(parts) != 4 {
		return TaskID{}, fmt.Errorf("%q: %w", text, ErrInvalidTaskID)
	}
	var numbers [3]int
	for i := range numbers {
		number, err := strconv.Atoi(parts[i+1])
		if err != nil || number < 0 {
			return TaskID{}, fmt.Errorf("%q: %w", text, ErrInvalidTaskID)
		}
		numbers[i] = number
	}
	return TaskID{
		Job: identifier.JobID(parts[0]), Occurrence: numbers[0], Step: numbers[1], Index: numbers[2],
	}, nil
}

// MarshalText returns the text form.
func (t TaskID) MarshalText() ([]byte, error) { return []byte(t.String()), nil }

// UnmarshalText parses the text form.
func (t *TaskID) UnmarshalText(text []byte) error {
	parsed, err := ParseTaskID(string(text))
	*t = parsed
	return err
}

// StepID identifies a step of one occurrence of a job.
type StepID struct {
	Job        identifier.JobID
	Occurrence int
	Step       int
}

// String returns the id in its text form, JOB.OCCURRENCE.STEP.
func (s StepID) String() string {
	return string(s.Job) + "." + strconv.Itoa(s.Occurrence) + "." + strconv.Itoa(s.Step)
}

// StepID returns the id of the task's step.
func (t TaskID) StepID() StepID {
	return StepID{Job: t.Job, Occurrence: t.Occurrence, Step: t.Step}
}

// RunID identifies one run of a task. Run numbers start at 1 and increase; all
// members of a gang share one.
type RunID struct {
	Task   TaskID `json:"task"`
	Number int    `json:"run"`
}

// String returns the id in its text form, TASK#NUMBER.
func (r RunID) String() string { return r.Task.String() + "#" + strconv.Itoa(r.Number) }

// Resources is what a task needs or a worker has.
type Resources struct {
	// CPU is in thousandths of a core.
	CPU int64 `json:"cpu-milli,omitempty"`
	// Memory is in MiB.
	Memory       int64 `json:"memory-mb,omitempty"`
	Accelerators int64 `json:"accelerators,omitempty"`
}

// valid reports whether no resource is negative or absurdly large.
func (r Resources) valid() bool {
	for _, amount := range []int64{r.CPU, r.Memory, r.Accelerators} {
		if amount < 0 || amount > maxAmount {
			return false
		}
	}
	return true
}

// Plus returns the sum of r and o.
func (r Resources) Plus(o Resources) Resources {
	return Resources{CPU: r.CPU + o.CPU, Memory: r.Memory + o.Memory, Accelerators: r.Accelerators + o.Accelerators}
}

// Minus returns the difference of r and o.
func (r Resources) Minus(o Resources) Resources {
	return Resources{CPU: r.CPU - o.CPU, Memory: r.Memory - o.Memory, Accelerators: r.Accelerators - o.Accelerators}
}

// Times returns r multiplied by factor.
func (r Resources) Times(factor int) Resources {
	n := int64(factor)
	return Resources{CPU: r.CPU * n, Memory: r.Memory * n, Accelerators: r.Accelerators * n}
}

// withDefaults returns r with each resource that is 0 replaced by that of o.
func (r Resources) withDefaults(o Resources) Resources {
	pick := func(own, other int64) int64 {
		if own == 0 {
			return other
		}
		return own
	}
	return Resources{CPU: pick(r.CPU, o.CPU), Memory: pick(r.Memory, o.Memory), Accelerators: pick(r.Accelerators, o.Accelerators)}
}

// Fits reports whether r fits into the available resources.
func (r Resources) Fits(available Resources) bool {
	return r.CPU <= available.CPU && r.Memory <= available.Memory && r.Accelerators <= available.Accelerators
}

// acceleratorCores is the number of cores that an accelerator counts as.
const acceleratorCores = 8

// Cores returns the weight of the resources in cores. An accelerator counts as 8
// cores; memory is ignored.
func (r Resources) Cores() float64 {
	return float64(r.CPU)/1000 + float64(r.Accelerators)*acceleratorCores
}

// Document is a JSON document, stored as received.
type Document = json.RawMessage
