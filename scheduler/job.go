package scheduler

import (
	"regexp"
	"unsafe"

	"github.com/rotisserie/eris"

	"cranberrystack.dev/cranberrystack/identifier"
)

const (
	// MaxSpecBytes bounds the text that tells workers what to run.
	MaxSpecBytes = 4000
	maxTasks     = 100000
	maxRepeat    = 100000
	// maxAmount bounds resources and durations in milliseconds, so that sums of them
	// do not overflow.
	maxAmount = 1_000_000_000_000
	// maxTime is the latest time of day that jobs and workers may name.
	maxTime = UnixMilli(100 * maxAmount)
)

// ErrInvalidJob reports an invalid job.
var ErrInvalidJob = eris.New("job is invalid")

var jobIDPattern = regexp.MustCompile(`^[0-9a-f]{16}$`)

// ValidJobID reports whether text is a valid job id: 16 lower-case hexadecimal
// digits.
func ValidJobID(text string) bool { return jobIDPattern.MatchString(text) }

// Step is a group of identical tasks.
type Step struct {
	// Width is the number of tasks.
	Width int `json:"width"`
	Resources
	// EstimateMillis is the expected run time of one task.
	EstimateMillis int64 `json:"estimate-ms,omitempty"`
	// DependsOn holds the indices of the earlier steps that must be done
	// first.
	DependsOn []int `json:"depends-on,omitempty"`
	// Gang says that the tasks must run together.
	Gang bool `json:"gang,omitempty"`
	// SameRack says that the tasks run slowly when they span several racks.
	SameRack bool `json:"same-rack,omitempty"`
	// NeedsLabel is a label that the workers must have; empty means any worker.
	NeedsLabel string `json:"needs-label,omitempty"`
	// DataRack is the rack closest to the step's data.
	DataRack string `json:"data-rack,omitempty"`
	// SpreadLimit bounds the tasks of one occurrence on one worker; 0 means no
	// limit.
	SpreadLimit int  `json:"spread-limit,omitempty"`
	Checkpoints bool `json:"checkpoints,omitempty"`
	// SpeculativeCopies allows several concurrent runs of a task.
	SpeculativeCopies bool `json:"copies,omitempty"`
	// LongRunning says that the tasks run until the job is cancelled.
	LongRunning bool `json:"long-running,omitempty"`
	// Image names the program that the tasks run. It tells which run times are learned
	// together and is not used otherwise.
	Image string `json:"image,omitempty"`
	// TargetMillis is the target for the tail response time of tasks that
	// serve requests; 0 for other tasks.
	TargetMillis int64 `json:"target-ms,omitempty"`
	// BestEffort says that the tasks use the CPU that others leave, so that
	// their CPU demand does not count against a worker's capacity.
	BestEffort bool `json:"fills,omitempty"`
	// MaxUnavailable is the number of tasks that the system may make
	// unavailable at a time.
	MaxUnavailable int `json:"may-miss,omitempty"`
}

// Demand returns what a task of the step takes from a worker's capacity.
func (s *Step) Demand() Resources {
	demand := s.Resources
	if s.BestEffort {
		demand.CPU = 0
	}
	return demand
}

// Serves reports whether the step's tasks serve requests.
func (s *Step) Serves() bool { return s.TargetMillis > 0 }

// Request is a job as submitted by its caller.
type Request struct {
	Spec  string `json:"spec"`
	Steps []Step `json:"steps"`
	// StartAt is when the first occurrence is due; 0 means at once.
	StartAt UnixMilli `json:"start-at-ms,omitempty"`
	// Repeat is the number of occurrences; 0 means one, which is due at
	// StartAt.
	Repeat int `json:"repeat,omitempty"`
	// IntervalMillis is the time between the due times of two occurrences.
	IntervalMillis int64 `json:"interval-ms,omitempty"`
}

// Check returns an error that wraps ErrInvalidJob if the request is invalid.
func (r *Request) Check() error {
	if len(r.Spec) > MaxSpecBytes {
		return eris.Wrapf(ErrInvalidJob, "spec is over %d bytes", MaxSpecBytes)
	}
	if len(r.Steps) == 0 {
		return eris.Wrap(ErrInvalidJob, "no steps")
	}
	if r.Repeat < 0 || r.Repeat > maxRepeat || r.IntervalMillis < 0 || r.IntervalMillis > maxAmount || r.StartAt < 0 || r.StartAt > maxTime {
		return eris.Wrap(ErrInvalidJob, "times are out of range")
	}
	tasks := 0
	for i := range r.Steps {
		step := &r.Steps[i]
		if step.Width <= 0 || step.Width > maxTasks || !step.Resources.valid() || step.EstimateMillis < 0 || step.EstimateMillis > maxAmount {
			return eris.Wrapf(ErrInvalidJob, "step %d has a size out of range", i)
		}
		for _, dependency := range step.DependsOn {
			if dependency < 0 || dependency >= i {
				return eris.Wrapf(ErrInvalidJob, "step %d depends on step %d", i, dependency)
			}
		}
		tasks += step.Width
	}
	if tasks*r.occurrences() > maxTasks {
		return eris.Wrapf(ErrInvalidJob, "more than %d tasks", maxTasks)
	}
	return nil
}

func (r *Request) occurrences() int { return max(1, r.Repeat) }

// due returns when an occurrence may start.
func (r *Request) due(occurrence int, accepted UnixMilli) UnixMilli {
	if r.Repeat == 0 && r.StartAt == 0 {
		return accepted
	}
	return r.StartAt + UnixMilli(int64(occurrence)*r.IntervalMillis)
}

// criticalPathMillis returns the estimated length of the longest chain of
// dependent steps, in milliseconds.
func (r *Request) criticalPathMillis() int64 {
	ends := make([]int64, len(r.Steps))
	longest := int64(0)
	for i := range r.Steps {
		for _, dependency := range r.Steps[i].DependsOn {
			ends[i] = max(ends[i], ends[dependency])
		}
		ends[i] += r.Steps[i].EstimateMillis
		longest = max(longest, ends[i])
	}
	return longest
}

const (
	jobBytes       = 2048
	stepBytes      = int64(unsafe.Sizeof(Step{}))
	stepStateBytes = int64(unsafe.Sizeof(StepState{}))
	taskStateBytes = int64(unsafe.Sizeof(TaskState{}))
)

// DocumentBytes bounds the size of the request's encoding, in bytes.
func (r *Request) DocumentBytes() int64 {
	const perStep, perDependency = 512, 24
	size := int64(len(r.Spec)) * 6
	for i := range r.Steps {
		step := &r.Steps[i]
		size += perStep + int64(len(step.DependsOn))*perDependency + 6*int64(len(step.NeedsLabel)+len(step.DataRack)+len(step.Image))
	}
	return size
}

// Footprint estimates the memory that a job with this request takes on each instance
// until it has ended, in bytes.
func (r *Request) Footprint() int64 {
	tasks, dependencies := int64(0), int64(0)
	for i := range r.Steps {
		tasks += int64(r.Steps[i].Width)
		dependencies += int64(len(r.Steps[i].DependsOn))
	}
	steps := int64(len(r.Steps))
	perOccurrence := steps*stepStateBytes + tasks*taskStateBytes
	return jobBytes + int64(len(r.Spec)) + steps*stepBytes + dependencies*8 + int64(r.occurrences())*perOccurrence
}

// QueuePolicy holds the queue settings that apply to a job.
type QueuePolicy struct {
	Pool            PoolName `json:"pool"`
	Priority        int      `json:"priority"`
	MaxAttempts     int      `json:"max-attempts"`
	Stretch         float64  `json:"stretch"`
	ObjectiveMillis int64    `json:"objective-ms"`
	NeedsAdvice     bool     `json:"advised,omitempty"`
	FairShare       bool     `json:"fair-share,omitempty"`
}

func (q *Queue) policy() QueuePolicy {
	return QueuePolicy{
		Pool: q.Pool, Priority: q.Priority, MaxAttempts: max(1, q.MaxAttempts),
		Stretch: q.Stretch, ObjectiveMillis: q.ObjectiveMillis, NeedsAdvice: q.Advice != nil, FairShare: q.FairShare,
	}
}

// Phase is the phase of a job.
type Phase string

// The phases of a job.
const (
	PhaseActive    Phase = "active"
	PhaseCompleted Phase = "completed"
	PhaseFailed    Phase = "failed"
	PhaseCancelled Phase = "cancelled"
)

// Job is an accepted job.
type Job struct {
	ID       identifier.JobID  `json:"id"`
	Queue    QueueName         `json:"queue"`
	Team     identifier.TeamID `json:"team,omitempty"`
	Policy   QueuePolicy       `json:"terms"`
	Request  Request           `json:"request"`
	Accepted UnixMilli         `json:"accepted"`
	Phase    Phase             `json:"phase"`
	Ended    UnixMilli         `json:"ended,omitempty"`
	// Reason says why the job failed.
	Reason string `json:"reason,omitempty"`
	// Started says that a run has started or may have: one was assigned and is not among
	// those that were dropped without a start.
	Started bool `json:"started,omitempty"`
	// StartedRuns counts these runs.
	StartedRuns int `json:"started-runs,omitempty"`
	// Events holds what happened to the job, oldest first.
	Events      []JobEvent   `json:"life,omitempty"`
	Occurrences []Occurrence `json:"occurrences"`
	// DoneTasks counts the tasks that were done when the job was released.
	DoneTasks int `json:"done-tasks,omitempty"`

	criticalPathMillis int64
	// expected and expectedPathMillis are what the planner of this instance last
	// expected of the steps and of the critical path, if it uses learned run times. They
	// are nil and 0 otherwise.
	expected           *expectations
	expectedPathMillis int64
	// liveRuns counts the runs that may be alive.
	liveRuns int
}

// Occurrence is one execution of all steps of a job.
type Occurrence struct {
	Due   UnixMilli   `json:"due"`
	Steps []StepState `json:"steps"`
	// RemainingSteps counts the steps that are not done.
	RemainingSteps int `json:"left"`
}

// StepState is the state of a step in one occurrence.
type StepState struct {
	Tasks []TaskState `json:"tasks"`
	// RemainingTasks counts the tasks that are not done.
	RemainingTasks int `json:"left"`
	// LiveRuns counts the runs that may be alive.
	LiveRuns int `json:"live,omitempty"`
	// The fields below are used for gangs only and apply to the gang as a whole.
	// Checkpoint is also written for other steps.
	RunNumber       int    `json:"run,omitempty"`
	Failures        int    `json:"failures,omitempty"`
	FailedRunNumber int    `json:"failed-run,omitempty"`
	DoneRunNumber   int    `json:"done-run,omitempty"`
	Checkpoint      string `json:"checkpoint,omitempty"`
}

// TaskState is the state of a task.
type TaskState struct {
	Done bool `json:"done,omitempty"`
	// RunNumber is the highest run number assigned so far; it never decreases.
	RunNumber  int    `json:"run,omitempty"`
	Failures   int    `json:"failures,omitempty"`
	Checkpoint string `json:"checkpoint,omitempty"`
	// LiveRuns counts the runs that may be alive.
	LiveRuns int `json:"live,omitempty"`
	// Crashes holds the crashes of workers under runs of the task, until a run has
	// lived for survivalTime and ended otherwise.
	Crashes []WorkerCrash `json:"crashes,omitempty"`
}

func newJob(id identifier.JobID, queue *Queue, team identifier.TeamID, request Request, now UnixMilli) *Job {
	job := &Job{
		ID: id, Queue: queue.Name, Team: team, Policy: queue.policy(), Request: request,
		Accepted: now, Phase: PhaseActive, criticalPathMillis: request.criticalPathMillis(),
	}
	for k := 0; k < request.occurrences(); k++ {
		occurrence := Occurrence{Due: request.due(k, now), RemainingSteps: len(request.Steps)}
		for i := range request.Steps {
			width := request.Steps[i].Width
			occurrence.Steps = append(occurrence.Steps, StepState{Tasks: make([]TaskState, width), RemainingTasks: width})
		}
		job.Occurrences = append(job.Occurrences, occurrence)
	}
	return job
}

// Active reports whether the job has not ended.
func (j *Job) Active() bool { return j.Phase == PhaseActive }

func (j *Job) step(id TaskID) (*Step, *StepState, *TaskState) {
	if id.Occurrence >= len(j.Occurrences) || id.Step >= len(j.Request.Steps) {
		return nil, nil, nil
	}
	state := &j.Occurrences[id.Occurrence].Steps[id.Step]
	if id.Index >= len(state.Tasks) {
		return nil, nil, nil
	}
	return &j.Request.Steps[id.Step], state, &state.Tasks[id.Index]
}

// hasNoRuns reports whether no run of the job may be alive.
func (j *Job) hasNoRuns() bool { return j.liveRuns == 0 }

// CountDone returns the number of tasks that are done.
func (j *Job) CountDone() int {
	done := j.DoneTasks
	for k := range j.Occurrences {
		for i := range j.Occurrences[k].Steps {
			state := &j.Occurrences[k].Steps[i]
			done += len(state.Tasks) - state.RemainingTasks
		}
	}
	return done
}

// release drops what the job no longer needs once it has ended and has no runs.
func (j *Job) release() {
	j.DoneTasks = j.CountDone()
	j.Occurrences, j.Request, j.expected = nil, Request{}, nil
}

// dependenciesDone reports whether all steps that a step depends on are done.
func (j *Job) dependenciesDone(occurrence, step int) bool {
	for _, dependency := range j.Request.Steps[step].DependsOn {
		if j.Occurrences[occurrence].Steps[dependency].RemainingTasks > 0 {
			return false
		}
	}
	return true
}

// objectiveTime returns when an occurrence should be complete.
func (j *Job) objectiveTime(occurrence int) UnixMilli {
	return j.Occurrences[occurrence].Due + UnixMilli(j.ObjectiveMillis())
}

// ObjectiveMillis returns the time in which an occurrence should complete, counted
// from when it is due: Policy.Stretch times the critical path, plus
// Policy.ObjectiveMillis.
func (j *Job) ObjectiveMillis() int64 {
	return int64(j.Policy.Stretch*float64(j.pathMillis())) + j.Policy.ObjectiveMillis
}

// pathMillis returns the length of the critical path: the expected one if the planner
// uses learned run times, and otherwise that by the estimates of the steps.
func (j *Job) pathMillis() int64 {
	if j.expectedPathMillis > 0 {
		return j.expectedPathMillis
	}
	return j.criticalPathMillis
}

func (j *Job) end(phase Phase, reason string, now UnixMilli) {
	j.Phase = phase
	j.Reason = reason
	j.Ended = now
	if reason != "" {
		j.addEvent(now, "%s: %s", phase, reason)
		return
	}
	j.addEvent(now, "%s", phase)
}
