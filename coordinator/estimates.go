package coordinator

import (
	"time"

	"cranberrystack.dev/cranberrystack/estimator"
	"cranberrystack.dev/cranberrystack/forwarder"
	"cranberrystack.dev/cranberrystack/scheduler"
)

// estimatesBody is the response to a call of KindEstimates.
type estimatesBody struct {
	// InUse says that the leader plans with the learned run times and paces.
	InUse      bool                    `json:"in-use"`
	Statistics estimator.Statistics    `json:"statistics"`
	Groups     []estimator.GroupView   `json:"groups"`
	Machines   []estimator.MachineView `json:"machines"`
}

// estimates returns what was learned from the ends of runs.
func (c *Coordinator) estimates() forwarder.Answer {
	c.mu.Lock()
	learned := c.state.Estimates()
	body := estimatesBody{
		InUse: c.options.learnRunTimes, Statistics: learned.Statistics(), Groups: learned.Groups(), Machines: learned.Machines(),
	}
	c.mu.Unlock()
	return documentAnswer(body)
}

// stepRunTime compares the declared and the expected run time of a step's tasks.
type stepRunTime struct {
	Step           int   `json:"step"`
	DeclaredMillis int64 `json:"declared-ms"`
	ExpectedMillis int64 `json:"expected-ms"`
	// Learned says that the expected run time is learned and not the declared one.
	Learned bool `json:"learned"`
}

// maxExplainedSteps bounds the steps whose run times are in an explanation.
const maxExplainedSteps = 200

// stepRunTimes returns the run times of a job's steps in its earliest unfinished
// occurrence. The caller holds mu.
func (c *Coordinator) stepRunTimes(job *scheduler.Job) []stepRunTime {
	occurrence := 0
	for occurrence < len(job.Occurrences)-1 && job.Occurrences[occurrence].RemainingSteps == 0 {
		occurrence++
	}
	var steps []stepRunTime
	for i := range min(len(job.Request.Steps), maxExplainedSteps) {
		expected := c.state.ExpectedRunTime(job, scheduler.StepID{Job: job.ID, Occurrence: occurrence, Step: i})
		steps = append(steps, stepRunTime{
			Step: i, DeclaredMillis: job.Request.Steps[i].EstimateMillis,
			ExpectedMillis: int64(expected.Mean / time.Millisecond), Learned: expected.Learned,
		})
	}
	return steps
}

// knownPace returns the learned pace of a worker's machine, or 0 if it is unknown. The
// caller holds mu.
func (c *Coordinator) knownPace(worker *scheduler.Worker) float64 {
	pace, known := c.state.Pace(worker)
	if !known {
		return 0
	}
	return pace
}
