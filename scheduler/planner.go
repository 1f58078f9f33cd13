package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"sort"
	"time"

	"cranberrystack.dev/cranberrystack/identifier"
)

// Stop is a run that should be stopped, and the cause.
type Stop struct {
	Run   RunID
	Cause Cause
	// Reason describes the cause for operators.
	Reason string
}

// Cause is why a run should be stopped.
type Cause string

// The causes of stops.
const (
	// CauseJobPruned says that the job of the run is no longer known.
	CauseJobPruned Cause = "forgotten"
	CauseCancelled Cause = "cancelled"
	CauseJobFailed Cause = "failed"
	// CauseOtherRunDone says that another run of the task was done first.
	CauseOtherRunDone   Cause = "other-run"
	CauseGangIncomplete Cause = "gang"
	CauseDraining       Cause = "leaving"
	CauseStalled        Cause = "stands-still"
	CausePreempted      Cause = "preempted"
	CauseUpkeep         Cause = "upkeep"
	// CauseEmptied says that the data centre of the run is emptied, and another one
	// had room for it.
	CauseEmptied Cause = "emptied"
	// CauseUnanswered says that the start of the run was not answered and it must
	// not start later.
	CauseUnanswered Cause = "unanswered"
)

// Plan is what the leader should do now.
type Plan struct {
	// Assign holds the assignments, each for tasks of one step. A gang is
	// assigned as a whole.
	Assign []Assign
	Stop   []Stop
	// Advise holds the steps with waiting tasks for which advice should be requested.
	Advise []StepID
	// Waiting counts the steps with waiting tasks, before this plan.
	Waiting int
}

// Planner decides which tasks run on which workers. It tracks how long each
// step has waited. It is not safe for concurrent use.
type Planner struct {
	// FairShare says that the jobs of all queues take part in the sharing between
	// teams. Otherwise only those of queues that ask for it do.
	FairShare bool
	// LearnedRunTimes says that learned run times and paces of workers are used
	// instead of the declared estimates.
	LearnedRunTimes bool
	// StopTime is the longest time that a worker takes to stop a run; 0 if it is
	// unknown.
	StopTime time.Duration

	waitingSince map[StepID]time.Time
	// fruitless holds when runs to preempt for a step were last searched in vain, for
	// searchPause.
	fruitless map[StepID]time.Time
	// peaks holds, for each pool, the recent maximum of the accelerators that urgent work
	// held or waited for. It decays with peakHalfLife and was last updated at peaksUpdated.
	peaks        map[PoolName]float64
	peaksUpdated time.Time
	// urgentSlack is the moving average of how much time urgent steps may lose and
	// still meet their objectives; 0 before the first one.
	urgentSlack time.Duration
	// mover moves runs out of emptied data centres.
	mover mover
}

// NewPlanner returns a planner.
func NewPlanner() *Planner {
	return &Planner{waitingSince: map[StepID]time.Time{}, fruitless: map[StepID]time.Time{}, peaks: map[PoolName]float64{}, mover: newMover()}
}

// unit is what is placed together: a gang, or the waiting tasks of a step.
type unit struct {
	job        *Job
	occurrence int
	stepIndex  int
	step       *Step
	state      *StepState
	tasks      []int
	// mayPreempt says that the unit may preempt other runs.
	mayPreempt bool
	// guaranteed says that its team's guarantee covers the unit.
	guaranteed bool
	// rank orders units; lower ranks are placed first.
	rank int
	// latestStart is when the occurrence has to start to meet its objective,
	// by the estimates.
	latestStart UnixMilli
	waited      time.Duration
	// suspectedCrashes is the largest number of crashes that a task of the unit is
	// suspected of, and needsIsolation says that one should not share its worker.
	suspectedCrashes int
	needsIsolation   bool
	// rackWaitOver says that the unit no longer waits for its preferred rack. It is
	// set when the unit is placed.
	rackWaitOver bool
	// pace is how the pace of a worker counts. It is set when the unit is placed.
	pace paceRule
	// searchedInVain says that runs to preempt for the unit were searched a short
	// time ago, and none were found.
	searchedInVain bool
	// contender is the team in the sharing; it is nil if the unit takes no part.
	contender *contender
	// position is the unit's place in the order within its interval.
	position int
	// isPart says that other tasks of the unit are placed separately in the same plan,
	// and isTurn that more of them follow, so that the unit may not preempt yet.
	isPart, isTurn bool
	// placed counts the tasks that were placed into free capacity.
	placed int
	// moving holds the runs that are to leave an emptied data centre, in the order of
	// tasks; for a gang its live members. It is empty for waiting tasks. stopOrdered
	// says that an earlier pass ordered them to stop.
	moving      []*Run
	stopOrdered bool
}

func (u *unit) id() StepID {
	return StepID{Job: u.job.ID, Occurrence: u.occurrence, Step: u.stepIndex}
}

func (u *unit) task(index int) TaskID {
	return TaskID{Job: u.job.ID, Occurrence: u.occurrence, Step: u.stepIndex, Index: index}
}

// Plan returns what to do now. wall is the time of day. Plan records in o the stalls
// that it finds; the caller records the stops that it orders.
func (p *Planner) Plan(s *State, o *Observer, now time.Time, wall UnixMilli) Plan {
	var plan Plan
	o.runTimes = p.runTimes(s, now)
	plan.Stop = requiredStops(s, o, wall)
	pass := newPlacementPass(s, o, now, wall)
	for _, stop := range plan.Stop {
		pass.expectStop(s.runs[stop.Run])
		if stop.Cause == CauseStalled {
			o.RecordStall(s.runs[stop.Run], now)
		}
	}
	units := p.waitingUnits(s, o.runTimes, now, wall)
	plan.Waiting = len(units)
	units = pass.usage.rankGuaranteed(units)
	pass.stopsTakeLong = p.stopsTakeLong(units)
	p.updateReserve(s, units, pass, now)
	units = p.mover.addUnits(units, pass)
	for u := range inTurns(units) {
		left := len(u.tasks)
		if !u.job.Policy.NeedsAdvice || o.HasValidTicket(u.id(), now) {
			left -= p.placeUnit(&plan, pass, u)
		}
		if u.job.Policy.NeedsAdvice && left > 0 && pass.wantsAdvice(u) {
			plan.Advise = append(plan.Advise, u.id())
		}
	}
	plan.Assign = append(plan.Assign, pass.placeCopies()...)
	for _, id := range pass.fruitless {
		p.fruitless[id] = now
	}
	return plan
}

// placeUnit adds the placement of a unit to the plan and returns the number of its tasks
// that start or are moved now.
func (p *Planner) placeUnit(plan *Plan, pass *placementPass, u *unit) int {
	if len(u.moving) > 0 {
		stops := p.mover.move(pass, u)
		plan.Stop = append(plan.Stop, stops...)
		return len(stops)
	}
	assign, stops := pass.place(u)
	if len(assign.Runs) > 0 {
		plan.addAssign(u, assign)
	}
	plan.Stop = append(plan.Stop, stops...)
	return len(assign.Runs)
}

// runTimes returns the run times that a pass uses, nil for the declared ones.
func (p *Planner) runTimes(s *State, now time.Time) *runTimes {
	if !p.LearnedRunTimes {
		return nil
	}
	return &runTimes{state: s, now: now}
}

// searchPause is how long no runs to preempt are searched for a step after a search
// in vain, so that steps behind it get their turn.
const searchPause = 300 * time.Millisecond

// waitingUnits returns the units that are ready to start, most urgent first.
func (p *Planner) waitingUnits(s *State, times *runTimes, now time.Time, wall UnixMilli) []*unit {
	var units []*unit
	maps.DeleteFunc(p.fruitless, func(_ StepID, at time.Time) bool { return now.Sub(at) >= searchPause })
	waitingSince := map[StepID]time.Time{}
	contest := contest{state: s, wall: wall, all: p.FairShare}
	for _, job := range s.active {
		for k := range job.Occurrences {
			occurrence := &job.Occurrences[k]
			if occurrence.RemainingSteps == 0 || occurrence.Due > wall {
				continue
			}
			for i := range occurrence.Steps {
				u := waitingUnit(job, k, i)
				if u == nil {
					continue
				}
				since, known := p.waitingSince[u.id()]
				if !known {
					since = now
				}
				waitingSince[u.id()] = since
				u.waited = now.Sub(since)
				_, u.searchedInVain = p.fruitless[u.id()]
				times.expectPath(job)
				u.setRank(wall)
				u.contender = contest.contenderOf(job)
				units = append(units, u)
			}
		}
	}
	p.waitingSince = waitingSince
	sort.Slice(units, func(i, j int) bool { return unitPrecedes(units[i], units[j]) })
	return units
}

func unitPrecedes(a, b *unit) bool {
	if a.rank != b.rank {
		return a.rank < b.rank
	}
	if order := compareShares(a, b); order != 0 {
		return order < 0
	}
	switch {
	case a.latestStart != b.latestStart:
		return a.latestStart < b.latestStart
	case a.job.ID != b.job.ID:
		return a.job.ID < b.job.ID
	case a.occurrence != b.occurrence:
		return a.occurrence < b.occurrence
	}
	return a.stepIndex < b.stepIndex
}

// waitingUnit returns the waiting tasks of a step, or nil if there are none.
func waitingUnit(job *Job, occurrence, stepIndex int) *unit {
	step := &job.Request.Steps[stepIndex]
	state := &job.Occurrences[occurrence].Steps[stepIndex]
	if state.RemainingTasks == 0 || !job.dependenciesDone(occurrence, stepIndex) || step.Gang && state.LiveRuns > 0 {
		return nil
	}
	if !step.SpeculativeCopies && state.LiveRuns >= state.RemainingTasks {
		return nil
	}
	u := &unit{job: job, occurrence: occurrence, stepIndex: stepIndex, step: step, state: state}
	for i := range state.Tasks {
		if !state.Tasks[i].Done && state.Tasks[i].LiveRuns == 0 {
			u.addTask(i)
		}
	}
	if len(u.tasks) == 0 {
		return nil
	}
	return u
}

func (u *unit) addTask(index int) {
	u.tasks = append(u.tasks, index)
	if task := &u.state.Tasks[index]; len(task.Crashes) > 0 {
		u.suspectedCrashes = max(u.suspectedCrashes, task.suspectedCrashes())
		u.needsIsolation = u.needsIsolation || task.needsIsolation()
	}
}

// overdueRankPenalty is added to the rank of units whose job is so late that
// completing it has no value any more.
const overdueRankPenalty = 1000

// setRank sets the rank and the latest start of a unit, and whether it may
// preempt.
func (u *unit) setRank(wall UnixMilli) {
	u.mayPreempt = u.job.Policy.Priority == 0 || u.step.LongRunning
	u.rank = u.job.Policy.Priority
	if u.step.LongRunning {
		u.rank = 0
	} else if u.suspectedCrashes > 1 {
		u.mayPreempt = false
	}
	objective := u.job.objectiveTime(u.occurrence)
	u.latestStart = objective - UnixMilli(u.job.pathMillis())
	span := objective - u.job.Occurrences[u.occurrence].Due
	const lateFactor = 3
	if !u.mayPreempt && wall > objective+(lateFactor-1)*span {
		u.rank += overdueRankPenalty
	}
}

// requiredStops returns the runs that should be stopped regardless of what is
// waiting.
func requiredStops(s *State, o *Observer, wall UnixMilli) []Stop {
	var stops []Stop
	for id, placed := range s.placed {
		worker, observation := s.workers[id], o.Observation(id)
		for _, run := range placed {
			if observation.isStopping(run) {
				continue
			}
			if cause, reason := stopCause(s, o, run, worker, observation, wall); cause != "" {
				stops = append(stops, Stop{Run: run.ID, Cause: cause, Reason: reason})
			}
		}
	}
	sort.Slice(stops, func(i, j int) bool { return runLess(stops[i].Run, stops[j].Run) })
	return stops
}

func runLess(a, b RunID) bool {
	switch {
	case a.Task.Job != b.Task.Job:
		return a.Task.Job < b.Task.Job
	case a.Task.Occurrence != b.Task.Occurrence:
		return a.Task.Occurrence < b.Task.Occurrence
	case a.Task.Step != b.Task.Step:
		return a.Task.Step < b.Task.Step
	case a.Task.Index != b.Task.Index:
		return a.Task.Index < b.Task.Index
	}
	return a.Number < b.Number
}

// stopCause returns why a run should be stopped regardless of what is waiting,
// or "" if it should not.
func stopCause(s *State, o *Observer, run *Run, worker *Worker, observation *WorkerObservation, wall UnixMilli) (Cause, string) {
	job := s.jobs[run.ID.Task.Job]
	if job == nil {
		return CauseJobPruned, "job is forgotten"
	}
	step, state, task := job.step(run.ID.Task)
	switch {
	case job.Phase == PhaseCancelled:
		return CauseCancelled, "job was cancelled"
	case job.Phase == PhaseFailed:
		return CauseJobFailed, "job has failed"
	case task.Done && (!step.Gang || run.ID.Number != state.DoneRunNumber):
		return CauseOtherRunDone, "another run was first"
	case step.Gang && state.RemainingTasks > 0 && state.LiveRuns < step.Width:
		return CauseGangIncomplete, "gang is not whole"
	}
	if worker != nil && worker.State == WorkerDraining && outlastsDrain(step, worker, run, o, wall) {
		return CauseDraining, "worker is leaving"
	}
	if observation.hasPossibleStalls() {
		if reason := o.StallReason(step, run, wall); reason != "" {
			return CauseStalled, reason
		}
	}
	return "", ""
}

// outlastsDrain reports whether a run is expected to end after its draining
// worker has left.
func outlastsDrain(step *Step, worker *Worker, run *Run, o *Observer, wall UnixMilli) bool {
	if step.LongRunning {
		return true
	}
	const marginMillis = 500
	left := worker.DrainMillis - int64(wall-worker.DrainingSince) - marginMillis
	return remainingMillis(step, run, o, wall) > left
}

// remainingMillis estimates how long a run still takes, in milliseconds. It
// extrapolates from a progress of more than 5 percent. Without one, it uses the
// expected run time, of which at least a quarter is assumed to remain.
func remainingMillis(step *Step, run *Run, o *Observer, wall UnixMilli) int64 {
	elapsed := int64(wall - run.Assigned)
	if observation := o.Observation(run.Worker); observation != nil {
		if progress, seen := observation.Progress[run.ID]; seen && progress.Percent > 5 {
			return elapsed * int64(100-progress.Percent) / int64(progress.Percent)
		}
	}
	expected := o.runTimes.runMillis(step, run)
	return max(expected-elapsed, expected/4)
}

// lostWork returns how much work is lost by stopping a run, in
// core-milliseconds.
func lostWork(job *Job, run *Run, wall UnixMilli) float64 {
	step, _, _ := job.step(run.ID.Task)
	elapsed := float64(wall - run.Assigned)
	if step.Checkpoints {
		const resumeMillis = 600
		elapsed = resumeMillis
	}
	cost := elapsed * step.Demand().Cores()
	if step.Gang {
		cost *= float64(step.Width)
	}
	return cost
}

// victim is a run that might be preempted. cost is what stopping it costs.
type victim struct {
	run    *Run
	job    *Job
	step   *Step
	demand Resources
	cost   float64
}

// victims returns the runs on a worker that might be preempted, cheapest
// first. Urgent and long-running tasks come last.
func victims(s *State, o *Observer, id identifier.WorkerID, wall UnixMilli) []victim {
	all := make([]victim, 0, len(s.placed[id]))
	pace := o.runTimes.pace(s.workers[id])
	for _, run := range s.placed[id] {
		job := s.jobs[run.ID.Task.Job]
		if job == nil || o.Stopping(run) {
			continue
		}
		step, _, _ := job.step(run.ID.Task)
		all = append(all, victim{run: run, job: job, step: step, demand: step.Demand(), cost: stopCost(job, run, wall) + o.runTimes.completionCost(job, run, pace, wall)})
	}
	slices.SortFunc(all, func(a, b victim) int {
		switch {
		case a.cost != b.cost:
			return cmp.Compare(a.cost, b.cost)
		case runLess(a.run.ID, b.run.ID):
			return -1
		}
		return 1
	})
	return all
}

// protectedCost is added to the cost of stopping urgent or long-running tasks, and once
// more for tasks whose step does not say that any may be unavailable. It exceeds what any
// other run can lose.
const protectedCost = 1e12

// stopCost returns the cost of stopping a run.
func stopCost(job *Job, run *Run, wall UnixMilli) float64 {
	cost := lostWork(job, run, wall)
	step, _, _ := job.step(run.ID.Task)
	if step.LongRunning || job.Policy.Priority == 0 {
		cost += protectedCost
	}
	if step.LongRunning && step.MaxUnavailable == 0 {
		cost += protectedCost
	}
	return cost
}
