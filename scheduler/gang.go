package scheduler

// placeGang books room for a whole gang or for nothing.
func (b *board) placeGang(u *unit) (Assign, []Stop) {
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
	for _, rack := range b.racks() {
		if rooms := b.fitInto(u, rack, left); rooms != nil {
			return rooms
		}
	}
	if b.patienceEnds(u) || !b.rackHolds(u) {
		return b.fitInto(u, b.rooms, left)
	}
	return nil
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
			r.steps[u.id()]--
		}
	}()
	for _, index := range u.tasks {
		r := b.best(u, u.task(index), rooms, remaining)
		if r == nil {
			return nil
		}
		used[r] = used[r].Plus(u.step.Counted())
		r.steps[u.id()]++
		chosen = append(chosen, r)
	}
	return append([]*room(nil), chosen...)
}

// preemptGang stops what is in the way of a gang, preferably in one rack. It
// stops nothing unless the whole gang then fits.
func (b *board) preemptGang(u *unit) []Stop {
	if u.step.SameRack {
		for _, rack := range b.racks() {
			if stops, fits := b.preemptIn(u, rack); fits {
				return stops
			}
		}
	}
	stops, _ := b.preemptIn(u, b.rooms)
	return stops
}

func (b *board) preemptIn(u *unit, rooms []*room) ([]Stop, bool) {
	var stops []Stop
	var taken []*room
	for _, index := range u.tasks {
		task := u.task(index)
		r := b.best(u, task, rooms, soonRoom)
		if r == nil {
			var ended []Stop
			r, ended = b.preempt(u, task, rooms)
			stops = append(stops, ended...)
		}
		if r == nil {
			b.undo(u, taken, stops)
			return nil, false
		}
		b.take(r, u)
		taken = append(taken, r)
	}
	return stops, true
}

// undo takes back what preemptIn has booked and chosen to stop.
func (b *board) undo(u *unit, taken []*room, stops []Stop) {
	for _, r := range taken {
		b.untake(r, u)
	}
	for _, stop := range stops {
		run := b.state.runs[stop.Run]
		delete(b.stopped, stop.Run)
		if r, known := b.byWorker[run.Worker]; known {
			r.soon = r.soon.Minus(b.state.StepOf(run.ID.Task).Counted())
		}
	}
}
