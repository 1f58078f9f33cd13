package scheduler

import (
	"time"
)

// runTimes tells the planner how long tasks are expected to take and how fast workers
// are. A nil one knows the declared estimates only, and no paces.
type runTimes struct {
	state *State
	now   time.Time
}

// maxExpectationAge bounds the age of the expectations that a job holds, so that a pass
// does not ask the estimator for every step.
const maxExpectationAge = 500 * time.Millisecond

// stepExpectation is what is expected of a step, in milliseconds.
type stepExpectation struct {
	// mean is the expected run time of a task on a worker of usual pace.
	mean int64
	// late is the run time that only one run in ten exceeds; 0 if it is not learned.
	late int64
	// after is the length of the longest chain of steps that depend on this one.
	after int64
}

// expectations is what is expected of the steps of a job.
type expectations struct {
	at    time.Time
	steps []stepExpectation
}

// lateQuantile is the quantile of run times beyond which a run is a straggler.
const lateQuantile = 0.9

// of returns what is expected of a step.
func (t *runTimes) of(job *Job, stepIndex int) stepExpectation {
	if e := job.expected; e == nil || t.now.Before(e.at) || t.now.Sub(e.at) >= maxExpectationAge {
		t.refresh(job)
	}
	return job.expected.steps[stepIndex]
}

// refresh sets the expectations of a job's steps and the length of its critical path.
// What was learned about the steps of the earliest unfinished occurrence serves for all
// occurrences.
func (t *runTimes) refresh(job *Job) {
	occurrence := 0
	for occurrence < len(job.Occurrences)-1 && job.Occurrences[occurrence].RemainingSteps == 0 {
		occurrence++
	}
	e := &expectations{at: t.now, steps: make([]stepExpectation, len(job.Request.Steps))}
	path := int64(0)
	for i := len(e.steps) - 1; i >= 0; i-- {
		expected := &e.steps[i]
		expected.mean, expected.late = t.expect(job, StepID{Job: job.ID, Occurrence: occurrence, Step: i})
		length := expected.mean + expected.after
		for _, dependency := range job.Request.Steps[i].DependsOn {
			e.steps[dependency].after = max(e.steps[dependency].after, length)
		}
		path = max(path, length)
	}
	job.expected, job.expectedPathMillis = e, path
}

// expect returns the mean and the late run time of a step's tasks.
func (t *runTimes) expect(job *Job, id StepID) (mean, late int64) {
	step := &job.Request.Steps[id.Step]
	if !step.hasRunTime() {
		return step.EstimateMillis, 0
	}
	expected := t.state.ExpectedRunTime(job, id)
	if expected.Learned && step.SpeculativeCopies {
		late = t.state.estimates.Quantile(groupOf(job, step), id.String(), step.declared(), lateQuantile).Milliseconds()
	}
	return expected.Mean.Milliseconds(), late
}

// expectPath sets the expected length of the critical path of a job, by which its
// objective and its latest start are computed.
func (t *runTimes) expectPath(job *Job) {
	if t != nil {
		t.of(job, 0)
	}
}

// meanMillis returns the expected run time of a task of a step, in milliseconds.
func (t *runTimes) meanMillis(job *Job, stepIndex int) int64 {
	if t == nil {
		return job.Request.Steps[stepIndex].EstimateMillis
	}
	return t.of(job, stepIndex).mean
}

// stragglerMillis returns the time in milliseconds beyond which a run that still needs
// it is a straggler.
func (t *runTimes) stragglerMillis(job *Job, stepIndex int) float64 {
	if t != nil {
		if late := t.of(job, stepIndex).late; late > 0 {
			return float64(late)
		}
	}
	return stragglerFactor * float64(job.Request.Steps[stepIndex].EstimateMillis)
}

// runMillis returns the expected run time of a run on its worker, in milliseconds.
func (t *runTimes) runMillis(step *Step, run *Run) int64 {
	job := t.jobOf(run)
	if job == nil {
		return step.EstimateMillis
	}
	return int64(float64(t.of(job, run.ID.Task.Step).mean) / t.paceOfRun(run))
}

// patienceMillis returns the run time from which the limit for a run without progress
// follows: the larger of the declared and the expected one, on the run's worker.
func (t *runTimes) patienceMillis(step *Step, run *Run) int64 {
	job := t.jobOf(run)
	if job == nil {
		return step.EstimateMillis
	}
	return int64(float64(max(step.EstimateMillis, t.of(job, run.ID.Task.Step).mean)) / t.paceOfRun(run))
}

// jobOf returns the job of a run if its steps are known, and nil otherwise or if only
// the declared estimates are.
func (t *runTimes) jobOf(run *Run) *Job {
	if t == nil {
		return nil
	}
	job := t.state.jobs[run.ID.Task.Job]
	if job == nil || run.ID.Task.Step >= len(job.Request.Steps) {
		return nil
	}
	return job
}

// completionCost is what stopping a run costs in addition to the work that it loses. It
// grows up to as much again as the run approaches its expected end, since a run that
// would soon end by itself frees its capacity without any loss. pace is that of the
// run's worker.
func (t *runTimes) completionCost(job *Job, run *Run, pace float64, wall UnixMilli) float64 {
	if t == nil || !job.Request.Steps[run.ID.Task.Step].hasRunTime() {
		return 0
	}
	mean := t.of(job, run.ID.Task.Step).mean
	if mean <= 0 {
		return 0
	}
	elapsed := max(0, float64(wall-run.Assigned))
	return lostWork(job, run, wall) * min(1, elapsed*pace/float64(mean))
}

const (
	// Paces between slowBelow and fastAbove count as usual: a fifth slower or, by the
	// same ratio, faster. Learned paces vary by about a tenth from run to run.
	slowBelow, fastAbove = 0.8, 1.25
	// The paces that count are bounded, so that they add at most 50 to the cost of a
	// worker, no more than data on another rack does.
	minPace, maxPace = 0.25, 1.5
)

// pace returns the pace of a worker, or 1 if it is unknown or about usual.
func (t *runTimes) pace(worker *Worker) float64 {
	if t == nil || worker == nil {
		return 1
	}
	pace, known := t.state.Pace(worker)
	if !known || pace >= slowBelow && pace <= fastAbove {
		return 1
	}
	return min(max(pace, minPace), maxPace)
}

func (t *runTimes) paceOfRun(run *Run) float64 { return t.pace(t.state.workers[run.Worker]) }
