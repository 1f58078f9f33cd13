package scheduler

import (
	"slices"
	"strings"
)

const (
	// maxCopyShare is the part of a step's tasks that may have a second run.
	maxCopyShare = 0.1
	// stragglerFactor is how many times its estimate a run has to need still before
	// a second one is started.
	stragglerFactor = 1.5
)

// placeCopies places second runs of tasks that may have them and whose first run is
// late or out of reach. They take free room only, after all that waits.
func (b *placementPass) placeCopies() []Assign {
	var placed []Assign
	for _, u := range b.copyUnits() {
		if !b.keepsReserve(u, 1) {
			continue
		}
		index := u.tasks[0]
		first := b.state.runs[RunID{Task: u.task(index), Number: u.state.Tasks[index].Run}]
		r := b.bestCandidate(u, u.task(index), b.candidatesExcept(first), freeCapacity)
		if r == nil {
			continue
		}
		b.book(r, u)
		placed = append(placed, Assign{Runs: []Run{b.newRun(u, index, r)}})
	}
	return placed
}

// copyUnits returns the tasks that need a second run, each as a unit, in the
// order of their ids.
func (b *placementPass) copyUnits() []*unit {
	var units []*unit
	for _, job := range b.copyJobs() {
		for k := range job.Occurrences {
			for i := range job.Occurrences[k].Steps {
				units = append(units, b.copyUnitsOfStep(job, k, i)...)
			}
		}
	}
	return units
}

// copyJobs returns the jobs with steps that may have second runs, in the order
// of their ids.
func (b *placementPass) copyJobs() []*Job {
	var jobs []*Job
	for _, job := range b.state.active {
		if slices.ContainsFunc(job.Request.Steps, func(step Step) bool { return step.SpeculativeCopies }) {
			jobs = append(jobs, job)
		}
	}
	slices.SortFunc(jobs, func(x, y *Job) int { return strings.Compare(string(x.ID), string(y.ID)) })
	return jobs
}

func (b *placementPass) copyUnitsOfStep(job *Job, occurrence, number int) []*unit {
	step := &job.Request.Steps[number]
	state := &job.Occurrences[occurrence].Steps[number]
	if !step.SpeculativeCopies || step.Gang || step.LongRunning || state.RemainingTasks == 0 || state.LiveRuns == 0 {
		return nil
	}
	most := max(1, int(maxCopyShare*float64(step.Width)))
	for i := range state.Tasks {
		if state.Tasks[i].LiveRuns > 1 {
			most--
		}
	}
	var units []*unit
	for i := range state.Tasks {
		if len(units) >= most {
			break
		}
		if task := &state.Tasks[i]; task.Done || task.LiveRuns != 1 {
			continue
		}
		u := &unit{job: job, occurrence: occurrence, stepIndex: number, step: step, state: state, tasks: []int{i}}
		if b.needsCopy(u, i) {
			units = append(units, u)
		}
	}
	return units
}

// needsCopy reports whether a task's only run will take far longer than another
// would, or can't be asked.
func (b *placementPass) needsCopy(u *unit, index int) bool {
	run := b.state.runs[RunID{Task: u.task(index), Number: u.state.Tasks[index].Run}]
	if run == nil || b.observer.Stopping(run) || b.stopped[run.ID] {
		return false
	}
	if watch := b.observer.Observation(run.Worker); watch != nil && watch.MissedPolls > 0 {
		return true
	}
	return float64(remainingMillis(u.step, run, b.observer, b.wall)) > stragglerFactor*float64(u.step.EstimateMillis)
}

// candidatesExcept returns the rooms on other workers than a run's.
func (b *placementPass) candidatesExcept(run *Run) []*candidate {
	rooms := make([]*candidate, 0, len(b.candidates))
	for _, r := range b.candidates {
		if r.worker.ID != run.Worker {
			rooms = append(rooms, r)
		}
	}
	return rooms
}
