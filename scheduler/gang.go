package scheduler

// placeGang books room for a whole gang or for nothing.
func (b *board) placeGang(u *unit) (Assign, []Stop) {
	if !b.leaves(u, len(u.tasks)) {
		return Assign{}, nil
	}
	if rooms := b.fitGang(u, freeRoom); rooms != nil {
		var assign Assign
		for i, r := range rooms {
			b.take(r, u)
			assign.Runs = append(assign.Runs, b.run(u, u.tasks[i], r))
		}
		return assign, nil
	}
	if !u.claims {
		return Assign{}, nil
	}
	if rooms := b.fitGang(u, soonRoom); rooms != nil {
		for _, r := range rooms {
			b.take(r, u)
		}
		return Assign{}, nil
	}
	return Assign{}, b.preemptGang(u)
}

// fitGang returns a room for each task, nil if the gang does not fit.
func (b *board) fitGang(u *unit, left func(*room) Resources) []*room {
	if !u.step.SameRack {
		return b.fitInto(u, b.rooms, left)
	}
	var best []*room
	lowest := 0.0
	for _, rack := range b.racks() {
		rooms := b.fitInto(u, rack, left)
		if rooms == nil {
			continue
		}
		cost := b.costOf(u, rooms, left)
		if best == nil || cost < lowest {
			best, lowest = rooms, cost
		}
	}
	if best != nil {
		return best
	}
	if b.patienceEnds(u) || !b.rackHolds(u) {
		return b.fitInto(u, b.rooms, left)
	}
	return nil
}

// costOf rates the rooms chosen for a gang.
func (b *board) costOf(u *unit, rooms []*room, left func(*room) Resources) float64 {
	cost := 0.0
	for i, r := range rooms {
		cost += b.cost(u, u.task(u.tasks[i]), r, left(r).Minus(u.step.Demand()))
	}
	return cost
}

// rackHolds reports whether any rack could hold the gang if it were empty.
func (b *board) rackHolds(u *unit) bool {
	for _, rack := range b.racks() {
		if b.fitInto(u, rack, capacity) != nil {
			return true
		}
	}
	return false
}

func capacity(r *room) Resources { return r.worker.Capacity }

// fitInto places all tasks into some rooms, trying each in turn.
func (b *board) fitInto(u *unit, rooms []*room, left func(*room) Resources) []*room {
	used := map[*room]Resources{}
	remaining := func(r *room) Resources { return left(r).Minus(used[r]) }
	var chosen []*room
	defer func() {
		for _, r := range chosen {
			r.count(u.step, u.id(), -1)
		}
	}()
	for _, index := range u.tasks {
		r := b.best(u, u.task(index), rooms, remaining)
		if r == nil {
			return nil
		}
		used[r] = used[r].Plus(u.step.Demand())
		r.count(u.step, u.id(), 1)
		chosen = append(chosen, r)
	}
	return append([]*room(nil), chosen...)
}

// preemptGang stops what is in the way of a gang, in the rack where that loses
// least if it is to be one. It stops nothing unless the whole gang then fits.
func (b *board) preemptGang(u *unit) []Stop {
	if !u.step.SameRack {
		return b.preemptIn(u, b.rooms).stops
	}
	var best []*room
	lowest := 0.0
	for _, rack := range b.racks() {
		made := b.preemptIn(u, rack)
		if !made.fits {
			continue
		}
		b.undo(u, made)
		if best == nil || made.loss < lowest {
			best, lowest = rack, made.loss
		}
	}
	if best == nil {
		best = b.rooms
	}
	return b.preemptIn(u, best).stops
}

// preemption is what it takes to make room for a gang.
type preemption struct {
	fits  bool
	stops []Stop
	taken []*room
	loss  float64
}

// preemptIn books room for a gang and orders what is in the way to stop. If
// the gang does not fit, nothing is booked.
func (b *board) preemptIn(u *unit, rooms []*room) preemption {
	var made preemption
	for _, index := range u.tasks {
		task := u.task(index)
		r := b.best(u, task, rooms, soonRoom)
		if r == nil {
			var ended []Stop
			var loss float64
			r, ended, loss = b.preempt(u, task, rooms)
			made.stops = append(made.stops, ended...)
			made.loss += loss
		}
		if r == nil {
			b.undo(u, made)
			return preemption{}
		}
		b.take(r, u)
		made.taken = append(made.taken, r)
	}
	made.fits = true
	return made
}

// undo takes back what preemptIn has booked and chosen to stop.
func (b *board) undo(u *unit, made preemption) {
	for _, r := range made.taken {
		b.untake(r, u)
	}
	for _, stop := range made.stops {
		run := b.state.runs[stop.Run]
		delete(b.stopped, stop.Run)
		if r, known := b.byWorker[run.Worker]; known {
			r.soon = r.soon.Minus(b.state.StepOf(run.ID.Task).Demand())
		}
		b.bookRun(run, 1)
	}
}
