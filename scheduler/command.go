package scheduler

import (
	"cranberrystack.dev/cranberrystack/identifier"
)

// Batch is one log entry.
type Batch struct {
	// Now is the leader's time of day.
	Now UnixMilli `json:"now"`
	// FencingToken is the leader's term.
	FencingToken FencingToken `json:"fence"`
	// LeaseMillis is the longest lease that the leader gives, in milliseconds; 0 if
	// it does not tell.
	LeaseMillis int64     `json:"lease-ms,omitempty"`
	Commands    []Command `json:"commands"`
}

// Command changes the state. Exactly one field is set, besides Suspicion.
type Command struct {
	Configure  *Configure  `json:"configure,omitempty"`
	Submit     *Submit     `json:"submit,omitempty"`
	Cancel     *Cancel     `json:"cancel,omitempty"`
	Assign     *Assign     `json:"assign,omitempty"`
	RecordEnds *RecordEnds `json:"note,omitempty"`
	Drop       *Drop       `json:"drop,omitempty"`
	Register   *Worker     `json:"enlist,omitempty"`
	// Suspicion goes with Register; it may be nil.
	Suspicion *Suspicion `json:"suspicion,omitempty"`
	Leave     *Leave     `json:"leave,omitempty"`
	Wave      *Wave      `json:"wave,omitempty"`
	Upkeep    *Upkeep    `json:"upkeep,omitempty"`
	// DataCenter empties or returns a data centre.
	DataCenter *DataCenterOrder `json:"data-center,omitempty"`
}

// Configure offers a catalog, which takes effect if its version is higher than
// that of the catalog in force.
type Configure struct {
	Document Document `json:"document"`
}

// Submit submits a job. Submitting an id again has no effect.
type Submit struct {
	Job     identifier.JobID  `json:"job"`
	Queue   QueueName         `json:"queue"`
	Team    identifier.TeamID `json:"team,omitempty"`
	Request Request           `json:"request"`
}

// Cancel cancels a job that has not ended.
type Cancel struct {
	Job identifier.JobID `json:"job"`
}

// Assign assigns runs to workers, all or none. Applying it sets FencingToken and
// Assigned of each run.
type Assign struct {
	Runs []Run `json:"runs"`
}

// RecordEnds records the ends that a worker has reported, up to Number.
type RecordEnds struct {
	Worker      identifier.WorkerID `json:"worker"`
	Incarnation UnixMilli           `json:"born"`
	Number      int64               `json:"number"`
	Ends        []End               `json:"ends,omitempty"`
}

// Drop removes runs that are certainly not alive and whose ends are not
// expected any more.
type Drop struct {
	Runs []RunID `json:"runs"`
	// Checkpoints holds the last known checkpoint of each run, in the order of
	// Runs. It may be empty.
	Checkpoints []string `json:"checkpoints,omitempty"`
	// Reason is the reason given in the job's events.
	Reason string `json:"reason,omitempty"`
	// NotStarted says that the runs have certainly never started.
	NotStarted bool `json:"not-started,omitempty"`
	// Suspicion names those of the runs that may have crashed their worker, in case
	// that it has crashed.
	Suspicion *Suspicion `json:"suspicion,omitempty"`
}

// Leave marks a worker as left. Incarnation 0 means any; a Leave of an earlier
// incarnation than the known one has no effect.
type Leave struct {
	Worker      identifier.WorkerID `json:"worker"`
	Incarnation UnixMilli           `json:"born,omitempty"`
}

// Outcome is the effect of a command.
type Outcome string

// The outcomes of commands.
const (
	OutcomeDone Outcome = "done"
	// OutcomeUnchanged says that the command had nothing to change, for example
	// because it was applied before.
	OutcomeUnchanged Outcome = "same"
	// OutcomeNotFound says that the job, queue or worker does not exist.
	OutcomeNotFound Outcome = "unknown"
	// OutcomeStale says that the command no longer fits the state.
	OutcomeStale Outcome = "stale"
	// OutcomeConflict says that the id belongs to a job of another team.
	OutcomeConflict Outcome = "conflict"
	// OutcomeInvalid says that the command is invalid.
	OutcomeInvalid Outcome = "invalid"
)

// Result is the result of applying a command.
type Result struct {
	Outcome Outcome
	Reason  string
	// Ended holds the jobs that the command ended.
	Ended []*Job
	// Lost holds the runs that ended with a worker's earlier incarnation.
	Lost []LostRun
	// Phase is the phase of the submitted or cancelled job.
	Phase Phase
}
