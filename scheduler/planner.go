package scheduler

import (
	"math"
	"sort"
	"time"

	"cranberrystack.dev/cranberrystack/identifier"
)

// Stop is a run that should end, and why.
type Stop struct {
	Run   RunID
	Cause Cause
	// Reason says more, for people.
	Reason string
}

// Cause is why a run should end.
type Cause string

// The causes of stops.
const (
	CauseForgotten      Cause = "forgotten"
	CauseCancelled      Cause = "cancelled"
	CauseFailed         Cause = "failed"
	CauseOtherRunDone   Cause = "other-run"
	CauseGangIncomplete Cause = "gang"
	CauseDraining       Cause = "leaving"
	CauseStalled        Cause = "stands-still"
	CausePreempted      Cause = "preempted"
	CauseUpkeep         Cause = "upkeep"
	CauseUnanswered     Cause = "unanswered"
)

// Plan is what the leader should do now.
type Plan struct {
	// Assign holds placements; each is for one step, whole if it is a gang.
	Assign []Assign
	Stop   []Stop
	// Advise are the steps whose queues need advice before they can start.
	Advise []StepID
	// Waiting counts the steps with tasks that wait, before this plan.
	Waiting int
}

// Planner chooses what runs where. It keeps since when each step has waited.
// It is not safe for concurrent use.
type Planner struct {
	waitingSince map[StepID]time.Time
	// peak is the lately highest number of accelerators that urgent work held
	// or waited for, and peakAt when it was last brought up to date.
	peak        float64
	peakUpdated time.Time
}

// NewPlanner returns a planner.
func NewPlanner() *Planner {
	return &Planner{waitingSince: map[StepID]time.Time{}}
}

// unit is what is placed at once: a gang, or the waiting tasks of a step.
type unit struct {
	job        *Job
	occurrence int
	stepIndex  int
	step       *Step
	state      *StepState
	tasks      []int
	// mayPreempt says that the unit may preempt.
	mayPreempt bool
	// guaranteed says that the guarantee of the unit's team covers it.
	guaranteed bool
	// rank orders units; a lower one goes first.
	rank int
	// latestStart is by when the unit has to be done.
	latestStart UnixMilli
	waited      time.Duration
}

func (u *unit) id() StepID {
	return StepID{Job: u.job.ID, Occurrence: u.occurrence, Step: u.stepIndex}
}

func (u *unit) task(index int) TaskID {
	return TaskID{Job: u.job.ID, Occurrence: u.occurrence, Step: u.stepIndex, Index: index}
}

// Plan returns what to do. wall is the time of day.
func (p *Planner) Plan(s *State, o *Observer, now time.Time, wall UnixMilli) Plan {
	var plan Plan
	plan.Stop = requiredStops(s, o, wall)
	board := newPlacementPass(s, o, now, wall)
	for _, stop := range plan.Stop {
		board.expectStop(s.runs[stop.Run])
		if stop.Cause == CauseStalled {
			o.RecordStall(s.runs[stop.Run], now)
		}
	}
	units := p.waitingUnits(s, now, wall)
	plan.Waiting = len(units)
	units = board.usage.rankGuaranteed(units)
	board.acceleratorReserve = p.updateReserve(s, units, board, now)
	for _, u := range units {
		if u.job.Policy.Advised && !o.HasValidTicket(u.id(), now) {
			plan.Advise = append(plan.Advise, u.id())
			continue
		}
		assign, stops := board.place(u)
		if len(assign.Runs) > 0 {
			plan.Assign = append(plan.Assign, assign)
		}
		plan.Stop = append(plan.Stop, stops...)
	}
	plan.Assign = append(plan.Assign, board.placeCopies()...)
	return plan
}

const (
	// peakHalfLife is how fast a peak of urgent work is forgotten.
	peakHalfLife = 6 * time.Second
	// maxReserve is the part of a pool that is kept free at most.
	maxReserve = 0.25
)

// updateReserve returns how many accelerators work that would be lost by preemption
// leaves free, so that urgent work that comes and goes finds room.
func (p *Planner) updateReserve(s *State, units []*unit, b *placementPass, now time.Time) int64 {
	urgent := s.urgentAccelerators()
	held := urgent
	for _, u := range units {
		if u.job.Policy.Priority == 0 && !u.step.LongRunning {
			urgent += u.step.Accelerators * int64(len(u.tasks))
		}
	}
	if !p.peakUpdated.IsZero() {
		p.peak *= math.Exp2(-float64(now.Sub(p.peakUpdated)) / float64(peakHalfLife))
	}
	p.peakUpdated = now
	p.peak = max(p.peak, float64(urgent))
	_, total := b.accelerators()
	return min(max(0, int64(p.peak)-held), int64(maxReserve*float64(total)))
}

// urgentAccelerators returns how many accelerators the runs of urgent jobs hold.
func (s *State) urgentAccelerators() int64 {
	held := int64(0)
	s.forEachUrgentStep(func(_ *Job, step *Step, live int) {
		if !step.LongRunning {
			held += step.Accelerators * int64(live)
		}
	})
	return held
}

// waitingUnits returns what is ready to start, the most urgent first.
func (p *Planner) waitingUnits(s *State, now time.Time, wall UnixMilli) []*unit {
	var units []*unit
	seen := map[StepID]time.Time{}
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
				seen[u.id()] = since
				u.waited = now.Sub(since)
				u.setRank(wall)
				units = append(units, u)
			}
		}
	}
	p.waitingSince = seen
	sort.Slice(units, func(i, j int) bool { return unitPrecedes(units[i], units[j]) })
	return units
}

func unitPrecedes(a, b *unit) bool {
	switch {
	case a.rank != b.rank:
		return a.rank < b.rank
	case a.latestStart != b.latestStart:
		return a.latestStart < b.latestStart
	case a.job.ID != b.job.ID:
		return a.job.ID < b.job.ID
	case a.occurrence != b.occurrence:
		return a.occurrence < b.occurrence
	}
	return a.stepIndex < b.stepIndex
}

// waitingUnit returns the tasks of a step that wait to be started, nil if
// there are none.
func waitingUnit(job *Job, occurrence, number int) *unit {
	step := &job.Request.Steps[number]
	state := &job.Occurrences[occurrence].Steps[number]
	if state.RemainingTasks == 0 || !job.dependenciesDone(occurrence, number) || step.Gang && state.LiveRuns > 0 {
		return nil
	}
	if !step.SpeculativeCopies && state.LiveRuns >= state.RemainingTasks {
		return nil
	}
	u := &unit{job: job, occurrence: occurrence, stepIndex: number, step: step, state: state}
	for i := range state.Tasks {
		if !state.Tasks[i].Done && state.Tasks[i].LiveRuns == 0 {
			u.tasks = append(u.tasks, i)
		}
	}
	if len(u.tasks) == 0 {
		return nil
	}
	return u
}

// overdueRankPenalty is that of work that can't earn anything any more.
const overdueRankPenalty = 1000

// setRank sets how urgent the unit is.
func (u *unit) setRank(wall UnixMilli) {
	u.mayPreempt = u.job.Policy.Priority == 0 || u.step.LongRunning
	u.rank = u.job.Policy.Priority
	if u.step.LongRunning {
		u.rank = 0
	}
	objective := u.job.objectiveTime(u.occurrence)
	u.latestStart = objective - UnixMilli(u.job.criticalPathMillis)
	span := objective - u.job.Occurrences[u.occurrence].Due
	const lateFactor = 3
	if !u.mayPreempt && wall > objective+(lateFactor-1)*span {
		u.rank += overdueRankPenalty
	}
}

// requiredStops returns the runs that should end whatever else waits.
func requiredStops(s *State, o *Observer, wall UnixMilli) []Stop {
	var stops []Stop
	for id, placed := range s.placed {
		worker, watch := s.workers[id], o.Observation(id)
		for _, run := range placed {
			if watch.isStopping(run) {
				continue
			}
			if cause, reason := stopCause(s, o, run, worker, watch, wall); cause != "" {
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

// stopCause returns why a run should end whatever else waits, nothing if it
// need not.
func stopCause(s *State, o *Observer, run *Run, worker *Worker, watch *WorkerObservation, wall UnixMilli) (Cause, string) {
	job := s.jobs[run.ID.Task.Job]
	if job == nil {
		return CauseForgotten, "job is forgotten"
	}
	step, state, task := job.step(run.ID.Task)
	switch {
	case job.Phase == PhaseCancelled:
		return CauseCancelled, "job was cancelled"
	case job.Phase == PhaseFailed:
		return CauseFailed, "job has failed"
	case task.Done && (!step.Gang || run.ID.Number != state.DoneRun):
		return CauseOtherRunDone, "another run was first"
	case step.Gang && state.RemainingTasks > 0 && state.LiveRuns < step.Width:
		return CauseGangIncomplete, "gang is not whole"
	}
	if worker != nil && worker.State == WorkerDraining && outlastsDrain(step, worker, run, o, wall) {
		return CauseDraining, "worker is leaving"
	}
	if watch.hasStallSuspects() {
		if reason := o.StallReason(step, run, wall); reason != "" {
			return CauseStalled, reason
		}
	}
	return "", ""
}

// outlastsDrain reports whether a draining worker is expected to be gone before
// a run ends.
func outlastsDrain(step *Step, worker *Worker, run *Run, o *Observer, wall UnixMilli) bool {
	if step.LongRunning {
		return true
	}
	const margin = 500
	left := worker.DrainMillis - int64(wall-worker.DrainingSince) - margin
	return remainingMillis(step, run, o, wall) > left
}

// remainingMillis estimates how long a run still takes, in milliseconds.
func remainingMillis(step *Step, run *Run, o *Observer, wall UnixMilli) int64 {
	elapsed := int64(wall - run.Assigned)
	if watch := o.Observation(run.Worker); watch != nil {
		if progress, seen := watch.Progress[run.ID]; seen && progress.Percent > 5 {
			return elapsed * int64(100-progress.Percent) / int64(progress.Percent)
		}
	}
	return max(step.EstimateMillis-elapsed, step.EstimateMillis/4)
}

// lostWork returns how much work a stop throws away, in core-milliseconds.
func lostWork(job *Job, run *Run, wall UnixMilli) float64 {
	step, _, _ := job.step(run.ID.Task)
	elapsed := float64(wall - run.Assigned)
	if step.Checkpoints {
		const resumeCost = 600
		elapsed = resumeCost
	}
	cost := elapsed * step.Demand().Cores()
	if step.Gang {
		cost *= float64(step.Width)
	}
	return cost
}

// victims returns the runs on a worker that might end for a claim: what
// neither claims nor lasts first, then those that lose least.
func victims(s *State, o *Observer, id identifier.WorkerID, wall UnixMilli) []*Run {
	type candidate struct {
		run  *Run
		cost float64
	}
	var all []candidate
	for _, run := range s.placed[id] {
		job := s.jobs[run.ID.Task.Job]
		if job == nil || o.Stopping(run) {
			continue
		}
		all = append(all, candidate{run: run, cost: stopCost(job, run, wall)})
	}
	sort.Slice(all, func(i, j int) bool {
		if all[i].cost != all[j].cost {
			return all[i].cost < all[j].cost
		}
		return runLess(all[i].run.ID, all[j].run.ID)
	})
	runs := make([]*Run, len(all))
	for i := range all {
		runs[i] = all[i].run
	}
	return runs
}

// protectedCost is added where work that claims or lasts would be stopped, more
// than any other work could lose.
const protectedCost = 1e12

// stopCost returns what it costs to stop a run.
func stopCost(job *Job, run *Run, wall UnixMilli) float64 {
	cost := lostWork(job, run, wall)
	if step, _, _ := job.step(run.ID.Task); step.LongRunning || job.Policy.Priority == 0 {
		cost += protectedCost
	}
	return cost
}
