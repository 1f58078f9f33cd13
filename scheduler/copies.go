package scheduler

import (
	"slices"
	"strings"
)

const (
	// maxCopyShare bounds the share of a step's tasks that may have a
	// speculative copy at a time. One task always may.
	maxCopyShare = 0.1
	// stragglerFactor is the multiple of its step's declared estimate that a run must
	// still need before a copy is started, if no run times are learned.
	stragglerFactor = 1.5
)

// placeCopies places speculative copies of tasks that allow them and whose
// only run is a straggler or is on an unresponsive worker. Copies use free
// capacity only and are placed after all waiting tasks.
func (p *placementPass) placeCopies() []Assign {
	var placed []Assign
	for _, u := range p.copyUnits() {
		if !p.keepsReserve(u, 1) {
			continue
		}
		u.rackWaitOver = p.rackWaitOver(u)
		index := u.tasks[0]
		first := p.state.runs[RunID{Task: u.task(index), Number: u.state.Tasks[index].RunNumber}]
		u.pace = p.copyRule(first)
		c := p.newChooser(u, p.candidatesExcept(first), capacityFree, false).next(u.task(index))
		if c == nil {
			continue
		}
		p.book(c, u)
		placed = append(placed, Assign{Runs: []Run{p.newRun(u, index, c)}})
	}
	return placed
}

// copyUnits returns the tasks that need a copy, each as a unit of its own, in
// the order of their ids.
func (p *placementPass) copyUnits() []*unit {
	var units []*unit
	for _, job := range p.copyJobs() {
		for k := range job.Occurrences {
			for i := range job.Occurrences[k].Steps {
				units = append(units, p.copyUnitsOfStep(job, k, i)...)
			}
		}
	}
	return units
}

// copyJobs returns the jobs with steps that allow copies, in the order of
// their ids.
func (p *placementPass) copyJobs() []*Job {
	var jobs []*Job
	for _, job := range p.state.active {
		if slices.ContainsFunc(job.Request.Steps, func(step Step) bool { return step.SpeculativeCopies }) {
			jobs = append(jobs, job)
		}
	}
	slices.SortFunc(jobs, func(x, y *Job) int { return strings.Compare(string(x.ID), string(y.ID)) })
	return jobs
}

func (p *placementPass) copyUnitsOfStep(job *Job, occurrence, stepIndex int) []*unit {
	step := &job.Request.Steps[stepIndex]
	state := &job.Occurrences[occurrence].Steps[stepIndex]
	if !step.SpeculativeCopies || step.Gang || step.LongRunning || state.RemainingTasks == 0 || state.LiveRuns == 0 {
		return nil
	}
	limit := max(1, int(maxCopyShare*float64(step.Width)))
	for i := range state.Tasks {
		if state.Tasks[i].LiveRuns > 1 {
			limit--
		}
	}
	var units []*unit
	for i := range state.Tasks {
		if len(units) >= limit {
			break
		}
		if task := &state.Tasks[i]; task.Done || task.LiveRuns != 1 || len(task.Crashes) > 0 {
			continue
		}
		u := &unit{job: job, occurrence: occurrence, stepIndex: stepIndex, step: step, state: state, tasks: []int{i}}
		if p.needsCopy(u, i) {
			units = append(units, u)
		}
	}
	return units
}

// needsCopy reports whether a task's only run will take far longer than a copy
// would, or its worker does not respond to polls.
func (p *placementPass) needsCopy(u *unit, index int) bool {
	run := p.state.runs[RunID{Task: u.task(index), Number: u.state.Tasks[index].RunNumber}]
	if run == nil || p.observer.Stopping(run) || p.stopped[run] {
		return false
	}
	if observation := p.observer.Observation(run.Worker); observation != nil && observation.MissedPolls > 0 {
		return true
	}
	return float64(remainingMillis(u.step, run, p.observer, p.wall)) > p.observer.runTimes.stragglerMillis(u.job, u.stepIndex)
}

// candidatesExcept returns the candidates other than the worker of a run.
func (p *placementPass) candidatesExcept(run *Run) []*candidate {
	others := make([]*candidate, 0, len(p.candidates))
	for _, c := range p.candidates {
		if c.worker.ID != run.Worker {
			others = append(others, c)
		}
	}
	return others
}
