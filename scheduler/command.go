package scheduler

import (
	"cranberrystack.dev/cranberrystack/identifier"
)

// Batch is one entry of the log.
type Batch struct {
	// Now is the leader's time of day.
	Now UnixMilli `json:"now"`
	// FencingToken is the leader's term.
	FencingToken FencingToken `json:"fence"`
	Commands     []Command    `json:"commands"`
}

// Command changes the state. Exactly one field is set.
type Command struct {
	Configure  *Configure  `json:"configure,omitempty"`
	Submit     *Submit     `json:"submit,omitempty"`
	Cancel     *Cancel     `json:"cancel,omitempty"`
	Assign     *Assign     `json:"assign,omitempty"`
	RecordEnds *RecordEnds `json:"note,omitempty"`
	Drop       *Drop       `json:"drop,omitempty"`
	Register   *Worker     `json:"enlist,omitempty"`
	Leave      *Leave      `json:"leave,omitempty"`
	Wave       *Wave       `json:"wave,omitempty"`
	Upkeep     *Upkeep     `json:"upkeep,omitempty"`
}

// Configure offers a catalog.
type Configure struct {
	Document Document `json:"document"`
}

// Submit hands a job in. The same id again is the same job.
type Submit struct {
	Job     identifier.JobID  `json:"job"`
	Queue   QueueName         `json:"queue"`
	Team    identifier.TeamID `json:"team,omitempty"`
	Request Request           `json:"request"`
}

// Cancel ends a job that has not ended.
type Cancel struct {
	Job identifier.JobID `json:"job"`
}

// Assign gives runs to workers, all or none.
type Assign struct {
	Runs []Run `json:"runs"`
}

// RecordEnds takes note of a worker's ends up to a number.
type RecordEnds struct {
	Worker      identifier.WorkerID `json:"worker"`
	Incarnation UnixMilli           `json:"born"`
	Number      int64               `json:"number"`
	Ends        []End               `json:"ends,omitempty"`
}

// Drop forgets runs that are certain not to be alive and to have no end that
// will be noted.
type Drop struct {
	Runs []RunID `json:"runs"`
	// Checkpoints are the last that were seen of the runs, in the same order;
	// it may be empty.
	Checkpoints []string `json:"checkpoints,omitempty"`
	// Reason is for the log of events.
	Reason string `json:"reason,omitempty"`
}

// Leave ends a worker's life.
type Leave struct {
	Worker      identifier.WorkerID `json:"worker"`
	Incarnation UnixMilli           `json:"born,omitempty"`
}

// Outcome is what a command came to.
type Outcome string

// The outcomes of commands.
const (
	OutcomeDone Outcome = "done"
	// OutcomeUnchanged says that nothing changed since it had been done before.
	OutcomeUnchanged Outcome = "same"
	// OutcomeUnknown says that there is no such job, queue or worker.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeStale says that the command no longer fits the state.
	OutcomeStale Outcome = "stale"
	// OutcomeInvalid says that the command can't be taken.
	OutcomeInvalid Outcome = "invalid"
)

// Result is what applying a command came to.
type Result struct {
	Outcome Outcome
	Reason  string
	// Ended are the jobs that ended by the command.
	Ended []*Job
	// Phase is that of the job that was submitted or cancelled.
	Phase Phase
}
