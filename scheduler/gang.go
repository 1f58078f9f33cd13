package scheduler

// placeGang books capacity for a whole gang or for none of it. It returns the
// assignment if the gang fits into the free capacity, and otherwise the stops
// that are needed for it. Both are empty if the gang has to wait.
func (p *placementPass) placeGang(u *unit) (Assign, []Stop) {
	if !p.keepsReserve(u, len(u.tasks)) {
		return Assign{}, nil
	}
	if candidates := p.fitGang(u, freeCapacity); candidates != nil {
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
	return Assign{}, p.preemptGang(u)
}

// fitGang returns a candidate for each task, or nil if the gang does not fit.
// With SameRack, all of them are in one rack, unless the rack wait is over or no
// rack could ever hold the gang.
func (p *placementPass) fitGang(u *unit, capacity func(*candidate) Resources) []*candidate {
	if !u.step.SameRack {
		return p.fitTasks(u, p.candidates, capacity)
	}
	var best []*candidate
	lowest := 0.0
	for _, rack := range p.candidatesByRack() {
		candidates := p.fitTasks(u, rack, capacity)
		if candidates == nil {
			continue
		}
		cost := p.gangCost(u, candidates, capacity)
		if best == nil || cost < lowest {
			best, lowest = candidates, cost
		}
	}
	if best != nil {
		return best
	}
	if p.rackWaitOver(u) || !p.anyRackCanHold(u) {
		return p.fitTasks(u, p.candidates, capacity)
	}
	return nil
}

// gangCost returns the total cost of placing a gang on the chosen candidates.
func (p *placementPass) gangCost(u *unit, candidates []*candidate, capacity func(*candidate) Resources) float64 {
	cost := 0.0
	for i, c := range candidates {
		cost += p.cost(u, u.task(u.tasks[i]), c, capacity(c).Minus(u.step.Demand()))
	}
	return cost
}

// anyRackCanHold reports whether any rack could hold the gang if it were
// empty.
func (p *placementPass) anyRackCanHold(u *unit) bool {
	for _, rack := range p.candidatesByRack() {
		if p.fitTasks(u, rack, totalCapacity) != nil {
			return true
		}
	}
	return false
}

func totalCapacity(c *candidate) Resources { return c.worker.Capacity }

// fitTasks returns a candidate for each task of a unit, or nil if some task
// does not fit. It books nothing.
func (p *placementPass) fitTasks(u *unit, candidates []*candidate, capacity func(*candidate) Resources) []*candidate {
	used := map[*candidate]Resources{}
	available := func(c *candidate) Resources { return capacity(c).Minus(used[c]) }
	var chosen []*candidate
	defer func() {
		for _, c := range chosen {
			c.countRuns(u.step, u.id(), -1)
		}
	}()
	for _, index := range u.tasks {
		c := p.bestCandidate(u, u.task(index), candidates, available)
		if c == nil {
			return nil
		}
		used[c] = used[c].Plus(u.step.Demand())
		c.countRuns(u.step, u.id(), 1)
		chosen = append(chosen, c)
	}
	return append([]*candidate(nil), chosen...)
}

// preemptGang books capacity for a gang by preempting other runs. With
// SameRack, it chooses the rack where that costs least, or any workers if no
// rack suffices. It stops nothing unless the whole gang then fits.
func (p *placementPass) preemptGang(u *unit) []Stop {
	if !u.step.SameRack {
		return p.preemptAmong(u, p.candidates).stops
	}
	var best []*candidate
	lowest := 0.0
	for _, rack := range p.candidatesByRack() {
		result := p.preemptAmong(u, rack)
		if !result.fits {
			continue
		}
		p.undoPreemption(u, result)
		if best == nil || result.cost < lowest {
			best, lowest = rack, result.cost
		}
	}
	if best == nil {
		best = p.candidates
	}
	return p.preemptAmong(u, best).stops
}

// gangPreemption is the result of preemptAmong: whether the gang fits, the runs to
// stop for it, the candidates booked and the cost.
type gangPreemption struct {
	fits   bool
	stops  []Stop
	booked []*candidate
	cost   float64
}

// preemptAmong books capacity for a gang on the candidates and chooses the runs to
// stop for it. If the gang does not fit, it changes nothing.
func (p *placementPass) preemptAmong(u *unit, candidates []*candidate) gangPreemption {
	var result gangPreemption
	for _, index := range u.tasks {
		task := u.task(index)
		c := p.bestCandidate(u, task, candidates, capacityAfterStops)
		if c == nil {
			var preempted []Stop
			var cost float64
			c, preempted, cost = p.preemptFor(u, task, candidates)
			result.stops = append(result.stops, preempted...)
			result.cost += cost
		}
		if c == nil {
			p.undoPreemption(u, result)
			return gangPreemption{}
		}
		p.book(c, u)
		result.booked = append(result.booked, c)
	}
	result.fits = true
	return result
}

// undoPreemption reverts the bookings and stops of preemptAmong.
func (p *placementPass) undoPreemption(u *unit, result gangPreemption) {
	for _, c := range result.booked {
		p.unbook(c, u)
	}
	for _, stop := range result.stops {
		run := p.state.runs[stop.Run]
		delete(p.stopped, stop.Run)
		if c, known := p.byWorker[run.Worker]; known {
			c.afterStops = c.afterStops.Minus(p.state.StepOf(run.ID.Task).Demand())
		}
		p.chargeRun(run, 1)
	}
}
