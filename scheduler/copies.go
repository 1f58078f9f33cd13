package scheduler

import (
	"slices"
	"strings"
)

const (
	// copyShare is the part of a step's tasks that may have a second run.
	copyShare = 0.1
	// copyFactor is how many times its estimate a run has to need still before
	// a second one is started.
	copyFactor = 1.5
)

// copies places second runs of tasks that may have them and whose first run is
// late or out of reach. They take free room only, after all that waits.
func (b *board) copies() []Assign {
	var placed []Assign
	for _, u := range b.copyUnits() {
		if !b.leaves(u, 1) {
			continue
		}
		index := u.tasks[0]
		first := b.state.runs[RunID{Task: u.task(index), Number: u.state.Tasks[index].Run}]
		r := b.best(u, u.task(index), b.roomsBut(first), freeRoom)
		if r == nil {
			continue
		}
		b.take(r, u)
		placed = append(placed, Assign{Runs: []Run{b.run(u, index, r)}})
	}
	return placed
}

// copyUnits returns the tasks that need a second run, each as a unit, in the
// order of their ids.
func (b *board) copyUnits() []*unit {
	var units []*unit
	for _, job := range b.copyJobs() {
		for k := range job.Occurrences {
			for i := range job.Occurrences[k].Steps {
				units = append(units, b.copyUnitsOf(job, k, i)...)
			}
		}
	}
	return units
}

// copyJobs returns the jobs with steps that may have second runs, in the order
// of their ids.
func (b *board) copyJobs() []*Job {
	var jobs []*Job
	for _, job := range b.state.active {
		if slices.ContainsFunc(job.Request.Steps, func(step Step) bool { return step.SpeculativeCopies }) {
			jobs = append(jobs, job)
		}
	}
	slices.SortFunc(jobs, func(x, y *Job) int { return strings.Compare(string(x.ID), string(y.ID)) })
	return jobs
}

func (b *board) copyUnitsOf(job *Job, occurrence, number int) []*unit {
	step := &job.Request.Steps[number]
	state := &job.Occurrences[occurrence].Steps[number]
	if !step.SpeculativeCopies || step.Gang || step.LongRunning || state.RemainingTasks == 0 || state.LiveRuns == 0 {
		return nil
	}
	most := max(1, int(copyShare*float64(step.Width)))
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
		u := &unit{job: job, occurrence: occurrence, number: number, step: step, state: state, tasks: []int{i}}
		if b.isLate(u, i) {
			units = append(units, u)
		}
	}
	return units
}

// isLate reports whether a task's only run will take far longer than another
// would, or can't be asked.
func (b *board) isLate(u *unit, index int) bool {
	run := b.state.runs[RunID{Task: u.task(index), Number: u.state.Tasks[index].Run}]
	if run == nil || b.observer.Stopping(run) || b.stopped[run.ID] {
		return false
	}
	if watch := b.observer.Observation(run.Worker); watch != nil && watch.MissedPolls > 0 {
		return true
	}
	return float64(remaining(u.step, run, b.observer, b.wall)) > copyFactor*float64(u.step.EstimateMillis)
}

// roomsBut returns the rooms on other workers than a run's.
func (b *board) roomsBut(run *Run) []*room {
	rooms := make([]*room, 0, len(b.rooms))
	for _, r := range b.rooms {
		if r.worker.ID != run.Worker {
			rooms = append(rooms, r)
		}
	}
	return rooms
}
