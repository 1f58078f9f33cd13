package scheduler

// placeGang books capacity for a whole gang or for none of it. It returns the
// assignment if the gang fits into the free capacity, and otherwise the stops
// that are needed for it. Both are empty if the gang has to wait.
func (p *placementPass) placeGang(u *unit) (Assign, []Stop) {
	if !p.keepsReserve(u, len(u.tasks)) {
		return Assign{}, nil
	}
	if candidates := p.fitGang(u, capacityFree); candidates != nil {
		var assign Assign
		for i, c := range candidates {
			p.book(c, u)
			assign.Runs = append(assign.Runs, p.newRun(u, u.tasks[i], c))
		}
		return assign, nil
	}
	if !u.mayPreempt {
		return Assign{}, nil
	}
	if candidates := p.fitGang(u, capacityAfterStops); candidates != nil {
		for _, c := range candidates {
			p.book(c, u)
		}
		return Assign{}, nil
	}
	if !p.maySearch(u) {
		return Assign{}, nil
	}
	stops := p.preemptGang(u)
	if len(stops) == 0 {
		p.fruitless = append(p.fruitless, u.id())
	}
	return Assign{}, stops
}

// maxSearches bounds the units for which one pass searches runs to preempt, so that
// a pass stays short. The others wait for the next pass.
const maxSearches = 8

// maySearch reports whether runs to preempt may be searched for a unit in this pass,
// and counts the search.
func (p *placementPass) maySearch(u *unit) bool {
	if p.searches >= maxSearches || u.searchedInVain {
		return false
	}
	p.searches++
	return true
}

// fitGang returns a candidate for each task, or nil if the gang does not fit.
// With SameRack, all of them are in one rack, unless the rack wait is over or no
// rack could ever hold the gang.
func (p *placementPass) fitGang(u *unit, kind capacityKind) []*candidate {
	if !u.step.SameRack {
		return p.fitLikePaces(u, nil, kind)
	}
	var best []*candidate
	lowest := 0.0
	for _, rack := range p.racks {
		candidates := p.fitLikePaces(u, rack, kind)
		if candidates == nil {
			continue
		}
		cost := p.gangCost(u, candidates, kind)
		if best == nil || cost < lowest {
			best, lowest = candidates, cost
		}
	}
	if best != nil {
		return best
	}
	if p.mayLeaveRack(u) {
		return p.fitLikePaces(u, nil, kind)
	}
	return nil
}

// mayLeaveRack reports whether a gang with SameRack may be placed in several racks.
func (p *placementPass) mayLeaveRack(u *unit) bool { return u.rackWaitOver || !p.anyRackCanHold(u) }

// gangCost returns the total cost of placing a gang on the chosen candidates.
func (p *placementPass) gangCost(u *unit, candidates []*candidate, kind capacityKind) float64 {
	cost := u.gangSlowCost(candidates)
	for i, c := range candidates {
		task := u.task(u.tasks[i])
		cost += p.cost(u, &task, c, c.left(kind).Minus(u.step.Demand()))
	}
	return cost
}

// anyRackCanHold reports whether any rack could hold the gang if it were
// empty.
func (p *placementPass) anyRackCanHold(u *unit) bool {
	for _, rack := range p.racks {
		room := 0
		for _, c := range rack {
			if p.suits(u, c) {
				room += tasksThatFit(u.step, c.worker.Capacity)
			}
		}
		if room >= len(u.tasks) {
			return true
		}
	}
	return false
}

// tasksThatFit returns how many tasks of a step fit into some resources, at most
// its SpreadLimit.
func tasksThatFit(step *Step, available Resources) int {
	fit := step.Width
	need := step.Demand()
	for _, amounts := range [][2]int64{{need.CPU, available.CPU}, {need.Memory, available.Memory}, {need.Accelerators, available.Accelerators}} {
		if amounts[0] > 0 {
			fit = min(fit, int(max(0, amounts[1]/amounts[0])))
		}
	}
	if step.SpreadLimit > 0 {
		fit = min(fit, step.SpreadLimit)
	}
	return fit
}

// canHold reports whether the capacity that is left in a rack could hold the given
// number of tasks of a step. It may err on the side of true.
func canHold(step *Step, rack []*candidate, kind capacityKind, tasks int) bool {
	for _, c := range rack {
		tasks -= tasksThatFit(step, c.left(kind))
		if tasks <= 0 {
			return true
		}
	}
	return false
}

// fitTasks returns a candidate for each task of a unit, or nil if some task does
// not fit. It books nothing. candidates is nil for those of the whole pass.
func (p *placementPass) fitTasks(u *unit, candidates []*candidate, kind capacityKind) []*candidate {
	if candidates != nil && !canHold(u.step, candidates, kind, len(u.tasks)) {
		return nil
	}
	k := p.newChooser(u, candidates, kind, true)
	var chosen []*candidate
	defer func() { k.release(chosen) }()
	for _, index := range u.tasks {
		c := k.next(u.task(index))
		if c == nil {
			return nil
		}
		chosen = append(chosen, c)
	}
	return append([]*candidate(nil), chosen...)
}

// preemptGang books capacity for a gang by preempting other runs. With
// SameRack, it chooses the rack where that costs least, or any workers if no
// rack suffices and the gang need not be in one rack. It stops nothing unless the whole
// gang then fits.
func (p *placementPass) preemptGang(u *unit) []Stop {
	if !u.step.SameRack {
		return p.preemptAmong(u, nil, u.tasks, false).stops
	}
	var best []*candidate
	lowest := 0.0
	for _, rack := range p.racks {
		result := p.preemptAmong(u, rack, u.tasks, false)
		if !result.fits {
			continue
		}
		p.undoPreemption(u, result)
		if best == nil || result.cost < lowest {
			best, lowest = rack, result.cost
		}
	}
	if best == nil && !p.mayLeaveRack(u) {
		return nil
	}
	return p.preemptAmong(u, best, u.tasks, false).stops
}

// preemption is the result of preemptAmong: whether all tasks fit, the runs to stop
// for them, the candidates booked and the cost. searched says that runs to preempt
// were searched.
type preemption struct {
	fits     bool
	searched bool
	stops    []Stop
	booked   []*candidate
	cost     float64
}

// preemptAmong books capacity for tasks of a unit on the candidates and chooses the
// runs to stop for them. candidates is nil for those of the whole pass. If not all
// tasks fit, it keeps what it has booked if partly is set, and else changes nothing.
func (p *placementPass) preemptAmong(u *unit, candidates []*candidate, tasks []int, partly bool) preemption {
	var result preemption
	afterStops := p.newChooser(u, candidates, capacityAfterStops, false)
	var preempting *preemptor
	for _, index := range tasks {
		task := u.task(index)
		c := afterStops.next(task)
		if c == nil {
			if preempting == nil && partly && !p.maySearch(u) {
				return result
			}
			if preempting == nil {
				preempting = p.newPreemptor(u, candidates)
				result.searched = true
			}
			var stops []Stop
			var cost float64
			c, stops, cost = preempting.next(task)
			result.stops = append(result.stops, stops...)
			result.cost += cost
			if len(stops) > 0 {
				// The members of a stopped gang free capacity elsewhere.
				afterStops = p.newChooser(u, candidates, capacityAfterStops, false)
			}
		}
		if c == nil && partly {
			return result
		}
		if c == nil {
			p.undoPreemption(u, result)
			return preemption{}
		}
		p.book(c, u)
		result.booked = append(result.booked, c)
	}
	result.fits = true
	return result
}

// undoPreemption reverts the bookings and stops of preemptAmong.
func (p *placementPass) undoPreemption(u *unit, result preemption) {
	for _, c := range result.booked {
		p.unbook(c, u)
	}
	for _, stop := range result.stops {
		run := p.state.runs[stop.Run]
		delete(p.stopped, run)
		if c, known := p.byWorker[run.Worker]; known {
			p.changeCapacity(c, Resources{}, Resources{}.Minus(p.state.StepOf(run.ID.Task).Demand()))
		}
		p.chargeRun(run, 1)
	}
}
