package scheduler

// placeGang books room for a whole gang or for nothing.
func (b *placementPass) placeGang(u *unit) (Assign, []Stop) {
	if !b.keepsReserve(u, len(u.tasks)) {
		return Assign{}, nil
	}
	if rooms := b.fitGang(u, freeCapacity); rooms != nil {
		var assign Assign
		for i, r := range rooms {
			b.book(r, u)
			assign.Runs = append(assign.Runs, b.newRun(u, u.tasks[i], r))
		}
		return assign, nil
	}
	if !u.mayPreempt {
		return Assign{}, nil
	}
	if rooms := b.fitGang(u, capacityAfterStops); rooms != nil {
		for _, r := range rooms {
			b.book(r, u)
		}
		return Assign{}, nil
	}
	return Assign{}, b.preemptGang(u)
}

// fitGang returns a room for each task, nil if the gang does not fit.
func (b *placementPass) fitGang(u *unit, left func(*candidate) Resources) []*candidate {
	if !u.step.SameRack {
		return b.fitTasks(u, b.candidates, left)
	}
	var best []*candidate
	lowest := 0.0
	for _, rack := range b.candidatesByRack() {
		rooms := b.fitTasks(u, rack, left)
		if rooms == nil {
			continue
		}
		cost := b.gangCost(u, rooms, left)
		if best == nil || cost < lowest {
			best, lowest = rooms, cost
		}
	}
	if best != nil {
		return best
	}
	if b.rackWaitOver(u) || !b.anyRackCanHold(u) {
		return b.fitTasks(u, b.candidates, left)
	}
	return nil
}

// gangCost rates the rooms chosen for a gang.
func (b *placementPass) gangCost(u *unit, rooms []*candidate, left func(*candidate) Resources) float64 {
	cost := 0.0
	for i, r := range rooms {
		cost += b.cost(u, u.task(u.tasks[i]), r, left(r).Minus(u.step.Demand()))
	}
	return cost
}

// anyRackCanHold reports whether any rack could hold the gang if it were empty.
func (b *placementPass) anyRackCanHold(u *unit) bool {
	for _, rack := range b.candidatesByRack() {
		if b.fitTasks(u, rack, totalCapacity) != nil {
			return true
		}
	}
	return false
}

func totalCapacity(r *candidate) Resources { return r.worker.Capacity }

// fitTasks places all tasks into some rooms, trying each in turn.
func (b *placementPass) fitTasks(u *unit, rooms []*candidate, left func(*candidate) Resources) []*candidate {
	used := map[*candidate]Resources{}
	remaining := func(r *candidate) Resources { return left(r).Minus(used[r]) }
	var chosen []*candidate
	defer func() {
		for _, r := range chosen {
			r.countRuns(u.step, u.id(), -1)
		}
	}()
	for _, index := range u.tasks {
		r := b.bestCandidate(u, u.task(index), rooms, remaining)
		if r == nil {
			return nil
		}
		used[r] = used[r].Plus(u.step.Demand())
		r.countRuns(u.step, u.id(), 1)
		chosen = append(chosen, r)
	}
	return append([]*candidate(nil), chosen...)
}

// preemptGang stops what is in the way of a gang, in the rack where that loses
// least if it is to be one. It stops nothing unless the whole gang then fits.
func (b *placementPass) preemptGang(u *unit) []Stop {
	if !u.step.SameRack {
		return b.preemptAmong(u, b.candidates).stops
	}
	var best []*candidate
	lowest := 0.0
	for _, rack := range b.candidatesByRack() {
		made := b.preemptAmong(u, rack)
		if !made.fits {
			continue
		}
		b.undoPreemption(u, made)
		if best == nil || made.cost < lowest {
			best, lowest = rack, made.cost
		}
	}
	if best == nil {
		best = b.candidates
	}
	return b.preemptAmong(u, best).stops
}

// gangPreemption is what it takes to make room for a gang.
type gangPreemption struct {
	fits   bool
	stops  []Stop
	booked []*candidate
	cost   float64
}

// preemptAmong books room for a gang and orders what is in the way to stop. If
// the gang does not fit, nothing is booked.
func (b *placementPass) preemptAmong(u *unit, rooms []*candidate) gangPreemption {
	var made gangPreemption
	for _, index := range u.tasks {
		task := u.task(index)
		r := b.bestCandidate(u, task, rooms, capacityAfterStops)
		if r == nil {
			var ended []Stop
			var loss float64
			r, ended, loss = b.preemptFor(u, task, rooms)
			made.stops = append(made.stops, ended...)
			made.cost += loss
		}
		if r == nil {
			b.undoPreemption(u, made)
			return gangPreemption{}
		}
		b.book(r, u)
		made.booked = append(made.booked, r)
	}
	made.fits = true
	return made
}

// undoPreemption takes back what preemptIn has booked and chosen to stop.
func (b *placementPass) undoPreemption(u *unit, made gangPreemption) {
	for _, r := range made.booked {
		b.unbook(r, u)
	}
	for _, stop := range made.stops {
		run := b.state.runs[stop.Run]
		delete(b.stopped, stop.Run)
		if r, known := b.byWorker[run.Worker]; known {
			r.afterStops = r.afterStops.Minus(b.state.StepOf(run.ID.Task).Demand())
		}
		b.chargeRun(run, 1)
	}
}
