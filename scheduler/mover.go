package scheduler

import (
	"maps"
	"slices"
	"time"
)

const (
	// minMovedMillis is the expected remaining run time up to which a run in an emptied
	// data centre runs to its end instead of being moved.
	minMovedMillis = 5000
	// maxMovingRuns bounds the runs that are being moved, with those for which a pass
	// searches room, and maxMovingUnits their units, so that a pass stays short. A
	// wider gang is moved while nothing else is.
	maxMovingRuns  = 256
	maxMovingUnits = 64
)

// mover moves runs out of emptied data centres: it has them stopped once there is
// free room elsewhere, and keeps that room until they have ended.
type mover struct {
	// ordered holds the runs that were ordered to stop and may still be alive.
	ordered map[RunID]bool
	// freed holds the steps with such runs that have ended, while tasks of them wait.
	freed map[StepID]bool
	// tried holds when room was last searched for the runs of each step, so that
	// those of all steps take turns.
	tried map[StepID]time.Time
}

func newMover() mover {
	return mover{ordered: map[RunID]bool{}, freed: map[StepID]bool{}, tried: map[StepID]time.Time{}}
}

// addUnits adds to the waiting units those of the runs that are to be moved, each at
// its place in the order, so that more urgent work takes free room before them and
// less urgent work does not take the room that their tasks are going to need. Runs
// that are not yet stopped come after the tasks of those that are, since they would
// otherwise take the room for which these were stopped.
func (m *mover) addUnits(units []*unit, p *placementPass) []*unit {
	if len(m.ordered)+len(m.freed) == 0 && !p.state.anyEmptied() {
		clear(m.tried)
		return units
	}
	ordered := m.orderedUnits(p)
	m.retainFreed(units)
	for _, u := range units {
		if m.freed[u.id()] {
			u.contender = nil // a smaller share must not take the room that it was stopped for
		}
	}
	units = slices.Concat(units, ordered)
	slices.SortStableFunc(units, compareUnits)
	first := 0
	for i, u := range units {
		if u.stopOrdered || m.freed[u.id()] {
			first = i + 1
		}
	}
	after := slices.Concat(units[first:], m.nextUnits(p, ordered))
	slices.SortStableFunc(after, compareUnits)
	return append(units[:first:first], after...)
}

func compareUnits(a, b *unit) int {
	switch {
	case unitPrecedes(a, b):
		return -1
	case unitPrecedes(b, a):
		return 1
	}
	return 0
}

// retainFreed drops the freed steps of which no task waits any more.
func (m *mover) retainFreed(units []*unit) {
	waiting := map[StepID]bool{}
	for _, u := range units {
		waiting[u.id()] = true
	}
	maps.DeleteFunc(m.freed, func(id StepID, _ bool) bool { return !waiting[id] })
}

// nextUnits returns the units for which this pass searches room, beside those that
// were ordered to stop before.
func (m *mover) nextUnits(p *placementPass, ordered []*unit) []*unit {
	runs := 0
	for _, u := range ordered {
		runs += len(u.tasks)
	}
	var next []*unit
	for _, u := range m.movableUnits(p) {
		left := maxMovingRuns - runs
		if len(ordered)+len(next) >= maxMovingUnits || left <= 0 || u.step.Gang && len(u.tasks) > left && runs > 0 {
			break
		}
		if !u.step.Gang && len(u.tasks) > left {
			u.tasks, u.moving = u.tasks[:left], u.moving[:left]
		}
		m.tried[u.id()] = p.now
		runs += len(u.tasks)
		next = append(next, u)
	}
	return next
}

// orderedUnits returns the units whose runs were ordered to stop in an earlier pass
// and may still be alive, which need their room booked again.
func (m *mover) orderedUnits(p *placementPass) []*unit {
	maps.DeleteFunc(m.ordered, func(id RunID, _ bool) bool {
		run := p.state.runs[id]
		if run == nil {
			m.freed[id.Task.StepID()] = true
		}
		return run == nil || !p.observer.Stopping(run)
	})
	units := map[StepID]*unit{}
	for id := range m.ordered {
		u := p.movingUnit(units, p.state.runs[id])
		if u == nil || u.state.Tasks[id.Task.Index].Done {
			continue
		}
		u.stopOrdered = true
		if !u.step.Gang {
			u.moving = append(u.moving, p.state.runs[id])
		}
	}
	return p.sortedUnits(units)
}

// movableUnits returns the units of the runs in emptied data centres that should be
// moved, those for which no room was searched for the longest time first.
func (m *mover) movableUnits(p *placementPass) []*unit {
	units := map[StepID]*unit{}
	for id, placed := range p.state.placed {
		worker := p.state.workers[id]
		if worker == nil || !p.state.InEmptiedDataCenter(worker) {
			continue
		}
		for _, run := range placed {
			u := p.movingUnit(units, run)
			if u != nil && !u.step.Gang && u.state.Tasks[run.ID.Task.Index].LiveRuns == 1 && p.canLeave(u.step, run) {
				u.moving = append(u.moving, run)
			}
		}
	}
	for id, u := range units {
		if u != nil && u.step.Gang && !p.gangCanLeave(u) {
			units[id] = nil
		}
	}
	movable := p.sortedUnits(units)
	tried := map[StepID]time.Time{}
	for _, u := range movable {
		tried[u.id()] = m.tried[u.id()]
	}
	m.tried = tried
	slices.SortStableFunc(movable, func(a, b *unit) int { return tried[a.id()].Compare(tried[b.id()]) })
	return movable
}

// movingUnit returns the unit of a run's step, which it adds to units if it is not
// there. The unit of a gang has all its live members; any other one has no runs yet.
// It returns nil for a step whose tasks are not moved.
func (p *placementPass) movingUnit(units map[StepID]*unit, run *Run) *unit {
	id := run.ID.Task.StepID()
	if u, known := units[id]; known {
		return u
	}
	units[id] = nil
	job := p.state.active[id.Job]
	if job == nil {
		return nil
	}
	step, state, _ := job.step(run.ID.Task)
	if !step.Checkpoints && !step.LongRunning || step.LongRunning && step.MaxUnavailable == 0 || step.Gang && state.RemainingTasks == 0 {
		return nil
	}
	u := &unit{job: job, occurrence: id.Occurrence, stepIndex: id.Step, step: step, state: state}
	if step.Gang {
		u.moving = p.state.gangMembers(run)
	}
	units[id] = u
	return u
}

// sortedUnits returns the units that have runs to move, in the order of placement,
// with their tasks and ranks set.
func (p *placementPass) sortedUnits(units map[StepID]*unit) []*unit {
	var sorted []*unit
	for _, u := range units {
		if u == nil || len(u.moving) == 0 {
			continue
		}
		slices.SortFunc(u.moving, func(a, b *Run) int { return a.ID.Task.Index - b.ID.Task.Index })
		if u.step.Gang {
			for index := range u.step.Width {
				u.addTask(index)
			}
		} else {
			for _, run := range u.moving {
				u.addTask(run.ID.Task.Index)
			}
		}
		p.observer.runTimes.expectPath(u.job)
		u.setRank(p.wall)
		sorted = append(sorted, u)
	}
	slices.SortFunc(sorted, compareUnits)
	return sorted
}

// canStop reports whether a run is not being stopped and its worker responds.
func (p *placementPass) canStop(run *Run) bool {
	observation := p.observer.Observation(run.Worker)
	return observation != nil && observation.MissedPolls == 0 && !observation.isStopping(run) && !p.stopped[run]
}

// canLeave reports whether a run should be moved.
func (p *placementPass) canLeave(step *Step, run *Run) bool {
	return p.canStop(run) && (step.LongRunning || remainingMillis(step, run, p.observer, p.wall) > minMovedMillis)
}

// gangCanLeave reports whether a gang should be moved. It ends with its slowest
// member.
func (p *placementPass) gangCanLeave(u *unit) bool {
	longest := int64(0)
	for _, run := range u.moving {
		if !p.canStop(run) {
			return false
		}
		longest = max(longest, remainingMillis(u.step, run, p.observer, p.wall))
	}
	return u.step.LongRunning || longest > minMovedMillis
}

// move books free room for the runs of a unit and returns the stops of those that
// have some. The runs of a gang get room for the whole gang or none.
func (m *mover) move(p *placementPass, u *unit) []Stop {
	u.rackWaitOver, u.pace = p.rackWaitOver(u), p.paceRule(u)
	stops := p.moveRuns(u)
	for _, stop := range stops {
		m.ordered[stop.Run] = true
	}
	return stops
}

func (p *placementPass) moveRuns(u *unit) []Stop {
	if u.step.Gang {
		return p.moveGang(u)
	}
	var stops []Stop
	free := p.newChooser(u, nil, capacityFree, false)
	for i, run := range u.moving {
		if !p.mayMove(u, run, 1) {
			break
		}
		c := free.next(u.task(u.tasks[i]))
		if c == nil || c.unreliable() {
			break
		}
		p.book(c, u)
		if !u.stopOrdered {
			stops = append(stops, p.stopMoved(run))
		}
	}
	return stops
}

// moveGang counts what the members hold outside emptied data centres as room, since
// the gang starts again only after all of them have ended.
func (p *placementPass) moveGang(u *unit) []Stop {
	var chosen []*candidate
	p.withoutRuns(u, func() {
		if p.mayMove(u, u.moving[0], len(u.tasks)) {
			chosen = p.fitGang(u, capacityFree)
		}
	})
	if chosen == nil || slices.ContainsFunc(chosen, (*candidate).unreliable) {
		return nil
	}
	var stops []Stop
	for _, run := range u.moving {
		if !u.stopOrdered {
			stops = append(stops, p.stopMoved(run))
		}
	}
	for _, c := range chosen {
		p.book(c, u)
	}
	return stops
}

// withoutRuns calls a function while the unit's runs take no capacity of the
// candidates.
func (p *placementPass) withoutRuns(u *unit, call func()) {
	change := func(sign int) {
		for _, run := range u.moving {
			if c, known := p.byWorker[run.Worker]; known {
				p.changeCapacity(c, u.step.Demand().Times(sign), Resources{})
				c.countRuns(u.step, u.id(), -sign)
				c.runs -= sign
			}
		}
	}
	change(1)
	defer change(-1)
	call()
}

// hasRoom reports whether a task of a unit fits on any candidate, whatever advice
// allows.
func (p *placementPass) hasRoom(u *unit) bool {
	need := u.step.Demand()
	for c := range p.indexes[capacityFree].withAccelerators(need.Accelerators) {
		if c.worker.Pool == u.job.Policy.Pool && need.Fits(c.free) {
			return true
		}
	}
	return false
}

// mayMove reports whether a run, or its gang of the given number of tasks, may be
// stopped if there is room for it. Work that other work may preempt must leave the
// accelerator reserve free, even if it checkpoints, and stays while urgent work
// waits for its turn to preempt: it would probably be stopped again at once.
func (p *placementPass) mayMove(u *unit, run *Run, tasks int) bool {
	switch {
	case p.stopped[run]:
		return false
	case u.stopOrdered:
		return true
	case u.step.LongRunning && !p.state.mayStop(p.observer, run.ID.Task, p.stopped):
		return false
	case u.mayPreempt:
		return true
	}
	taken := u.step.Accelerators * int64(tasks)
	pool := p.poolOf(u)
	return p.searches < maxSearches && (taken == 0 || pool.free-taken >= pool.reserve)
}

func (p *placementPass) stopMoved(run *Run) Stop {
	p.expectStop(run)
	p.chargeRun(run, -1)
	return Stop{Run: run.ID, Cause: CauseEmptied, Reason: "data centre is emptied, another one has room"}
}

// unreliable reports whether a candidate is good enough only for work that would
// wait otherwise.
func (c *candidate) unreliable() bool { return c.quiet || c.likelyFaulty }
