package scheduler

import (
	"sort"
	"time"

	"cranberrystack.dev/cranberrystack/identifier"
)

// room is what a worker has left in one pass of the planner.
type room struct {
	worker *Worker
	rack   string
	// position is the rack's place among all racks, from 0 to 1.
	position float64
	// free may be negative where a unit waits for runs that are being stopped.
	free Resources
	// soon is free with the runs that are being stopped.
	soon Resources
	// steps counts the runs of each step that limits them.
	steps     map[StepID]int
	serves    bool
	fills     bool
	suspected bool
}

// board holds the rooms of all workers during one pass.
type board struct {
	state    *State
	observer *Observer
	now      time.Time
	// wall is the time of day.
	wall     UnixMilli
	rooms    []*room
	byWorker map[identifier.WorkerID]*room
	// stopped holds the runs that this pass has ordered to stop.
	stopped map[RunID]bool
	// ledger is what teams hold against their guarantees.
	ledger *ledger
	// reserve is the number of accelerators that are left to urgent work.
	reserve int64
}

// leaves reports whether some tasks of a unit leave the reserve free. Work
// that claims need not, nor work that loses little when it is preempted.
func (b *board) leaves(u *unit, tasks int) bool {
	if u.claims || u.step.Checkpoints || u.step.Accelerators == 0 || b.reserve == 0 {
		return true
	}
	free, _ := b.accelerators()
	return free-u.step.Accelerators*int64(tasks) >= b.reserve
}

// accelerators returns how many are free, and how many there are.
func (b *board) accelerators() (free, total int64) {
	for _, r := range b.rooms {
		free += max(0, r.free.Accelerators)
		total += r.worker.Capacity.Accelerators
	}
	return free, total
}

func newBoard(s *State, o *Observer, now time.Time, wall UnixMilli) *board {
	b := &board{
		state: s, observer: o, now: now, wall: wall,
		byWorker: map[identifier.WorkerID]*room{}, stopped: map[RunID]bool{}, ledger: newLedger(s, o),
	}
	for _, worker := range s.Workers() {
		if !o.Schedulable(worker, now) {
			continue
		}
		r := &room{
			worker: worker, rack: worker.Rack(), free: worker.Capacity, soon: worker.Capacity,
			suspected: o.Suspected(worker.ID, now),
		}
		for id, run := range s.placed[worker.ID] {
			r.hold(s, o, id, run)
		}
		b.rooms = append(b.rooms, r)
		b.byWorker[worker.ID] = r
	}
	b.setPositions()
	return b
}

// setPositions gives each rack its place in the order of their names.
func (b *board) setPositions() {
	racks := b.racks()
	for i, rack := range racks {
		for _, r := range rack {
			r.position = float64(i) / float64(max(1, len(racks)-1))
		}
	}
}

func (r *room) hold(s *State, o *Observer, id RunID, run *Run) {
	step := s.StepOf(id.Task)
	if step == nil {
		return
	}
	r.free = r.free.Minus(step.Demand())
	if !o.Stopping(run) {
		r.soon = r.soon.Minus(step.Demand())
	}
	r.count(step, id.Task.StepID(), 1)
	r.serves = r.serves || step.Serves()
	r.fills = r.fills || step.BestEffort
}

// count counts runs of a step that limits how many a worker may have.
func (r *room) count(step *Step, id StepID, runs int) {
	if step.SpreadLimit == 0 {
		return
	}
	if r.steps == nil {
		r.steps = map[StepID]int{}
	}
	r.steps[id] += runs
}

// stopping makes a run's room free soon.
func (b *board) stopping(run *Run) {
	if run == nil || b.stopped[run.ID] || b.observer.Stopping(run) {
		return
	}
	b.stopped[run.ID] = true
	r, known := b.byWorker[run.Worker]
	step := b.state.StepOf(run.ID.Task)
	if known && step != nil {
		r.soon = r.soon.Plus(step.Demand())
	}
}

// preempted orders a run to stop for a task, and with it the whole gang that it
// belongs to, whose other members are of no use without it.
func (b *board) preempted(run *Run, by TaskID) []Stop {
	var stops []Stop
	for _, member := range b.state.members(run) {
		if b.stopped[member.ID] || b.observer.Stopping(member) {
			continue
		}
		b.stopping(member)
		b.bookRun(member, -1)
		stops = append(stops, Stop{Run: member.ID, Cause: CausePreempted, Reason: "preempted for " + by.String()})
	}
	return stops
}

func (b *board) bookRun(run *Run, sign int) {
	job := b.state.jobs[run.ID.Task.Job]
	if job == nil {
		return
	}
	step, _, _ := job.step(run.ID.Task)
	b.ledger.book(job, step, sign)
}

// take books a task of a unit.
func (b *board) take(r *room, u *unit) {
	need := u.step.Demand()
	r.free = r.free.Minus(need)
	r.soon = r.soon.Minus(need)
	b.ledger.book(u.job, u.step, 1)
	r.count(u.step, u.id(), 1)
	r.serves = r.serves || u.step.Serves()
	r.fills = r.fills || u.step.BestEffort
}

func (b *board) untake(r *room, u *unit) {
	need := u.step.Demand()
	r.free = r.free.Plus(need)
	r.soon = r.soon.Plus(need)
	b.ledger.book(u.job, u.step, -1)
	r.count(u.step, u.id(), -1)
}

// place books room for a unit. A unit that claims and finds no free room gets
// what is being stopped, or has others stopped; it is assigned once they have
// ended.
func (b *board) place(u *unit) (Assign, []Stop) {
	if u.step.Gang {
		return b.placeGang(u)
	}
	var assign Assign
	var stops []Stop
	for _, index := range u.tasks {
		if !b.leaves(u, 1) {
			break
		}
		r := b.best(u, u.task(index), b.rooms, freeRoom)
		if r != nil {
			b.take(r, u)
			assign.Runs = append(assign.Runs, b.run(u, index, r))
			continue
		}
		if !u.claims {
			break
		}
		if r = b.best(u, u.task(index), b.rooms, soonRoom); r != nil {
			b.take(r, u)
			continue
		}
		r, ended, _ := b.preempt(u, u.task(index), b.rooms)
		if r == nil {
			break
		}
		stops = append(stops, ended...)
		b.take(r, u)
	}
	return assign, stops
}

func (b *board) run(u *unit, index int, r *room) Run {
	task := &u.state.Tasks[index]
	run := Run{
		ID: RunID{Task: u.task(index), Number: task.Run + 1}, Worker: r.worker.ID, Incarnation: r.worker.Incarnation,
		Checkpoint: task.Checkpoint,
	}
	if u.step.Gang {
		run.ID.Number = u.state.Run + 1
		run.Checkpoint = u.state.Checkpoint
	}
	if u.job.Policy.Advised {
		run.Ticket = b.observer.Tickets[u.id()][r.worker.ID].Text
	}
	return run
}

func freeRoom(r *room) Resources { return r.free }

func soonRoom(r *room) Resources { return r.soon }

// best returns the room that suits a task best, nil if none fits.
func (b *board) best(u *unit, task TaskID, rooms []*room, left func(*room) Resources) *room {
	need := u.step.Demand()
	var best *room
	lowest := 0.0
	for _, r := range rooms {
		if !need.Fits(left(r)) || !b.allowed(u, r) {
			continue
		}
		cost := b.cost(u, task, r, left(r).Minus(need))
		if best == nil || cost < lowest {
			best, lowest = r, cost
		}
	}
	return best
}

// allowed reports whether a unit's tasks may run in a room at all.
func (b *board) allowed(u *unit, r *room) bool {
	step := u.step
	switch {
	case r.worker.Pool != u.job.Policy.Pool:
		return false
	case step.NeedsLabel != "" && !r.worker.HasLabel(step.NeedsLabel):
		return false
	case step.SpreadLimit > 0 && r.steps[u.id()] >= step.SpreadLimit:
		return false
	case step.DataRack != "" && step.DataRack != r.rack && !b.patienceEnds(u):
		return false
	}
	if u.job.Policy.Advised {
		ticket, known := b.observer.Tickets[u.id()][r.worker.ID]
		return known && ticket.Incarnation == r.worker.Incarnation && b.now.Before(ticket.Until)
	}
	return true
}

// patienceEnds reports whether a unit has waited for its rack for about as
// long as it would lose elsewhere.
func (b *board) patienceEnds(u *unit) bool {
	patience := time.Duration(u.step.EstimateMillis) * time.Millisecond
	if u.claims {
		patience /= 4
	}
	switch {
	case u.waited >= patience:
		return true
	case u.step.DataRack != "" && !b.hasRack(u.step.DataRack, u):
		return true
	}
	return u.waited >= idlePatience && u.job.idle() && b.mostlyFree()
}

const (
	// idlePatience bounds how long a job of which nothing runs waits for its
	// rack while most of the pool is free.
	idlePatience = 2 * time.Second
	// mostlyFreeShare is the free part of a pool's accelerators that counts as
	// most of it.
	mostlyFreeShare = 0.4
)

// mostlyFree reports whether much of the pool's room is free.
func (b *board) mostlyFree() bool {
	free, total := b.accelerators()
	return float64(free) >= mostlyFreeShare*float64(total)
}

func (b *board) hasRack(rack string, u *unit) bool {
	for _, r := range b.rooms {
		if r.rack == rack && r.worker.Pool == u.job.Policy.Pool && u.step.Demand().Fits(r.worker.Capacity) {
			return true
		}
	}
	return false
}

// The costs of a room. What is left over after the task, weighted by how
// scarce it is, counts up to 3.
const (
	costSuspected      = 400
	costAvoided        = 200
	costDisturbs       = 100
	costRemote         = 50
	costApart          = 4
	weightAccelerators = 2
	weightOther        = 0.5
)

// cost rates a room for a task; lower is better. Work that may claim and work
// that may be preempted begin at opposite ends of the racks, so that they
// seldom meet; within a rack the fullest worker that fits is taken.
func (b *board) cost(u *unit, task TaskID, r *room, left Resources) float64 {
	cost := weightAccelerators*fraction(left.Accelerators, r.worker.Capacity.Accelerators) +
		weightOther*(fraction(left.CPU, r.worker.Capacity.CPU)+fraction(left.Memory, r.worker.Capacity.Memory))
	if u.claims {
		cost += costApart * (1 - r.position)
	} else {
		cost += costApart * r.position
	}
	if r.suspected {
		cost += costSuspected
	}
	if b.observer.Avoided(task, r.worker.ID) {
		cost += costAvoided
	}
	if u.step.Serves() && r.fills || u.step.BestEffort && r.serves {
		cost += costDisturbs
	}
	if u.step.DataRack != "" && u.step.DataRack != r.rack {
		cost += costRemote
	}
	return cost
}

func fraction(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// preempt finds the room that a task fits into once others are stopped, at the
// least loss, and returns that loss.
func (b *board) preempt(u *unit, task TaskID, rooms []*room) (*room, []Stop, float64) {
	need := u.step.Demand()
	var best *room
	var chosen []*Run
	lowest := 0.0
	for _, r := range rooms {
		if !b.allowed(u, r) {
			continue
		}
		runs, cost, fits := b.evict(u, r, need)
		cost += b.cost(u, task, r, Resources{})
		if fits && (best == nil || cost < lowest) {
			best, chosen, lowest = r, runs, cost
		}
	}
	if best == nil {
		return nil, nil, 0
	}
	var stops []Stop
	for _, run := range chosen {
		stops = append(stops, b.preempted(run, task)...)
	}
	return best, stops, lowest
}

// evict returns the cheapest runs found whose end makes enough room.
func (b *board) evict(u *unit, r *room, need Resources) ([]*Run, float64, bool) {
	left := r.soon
	c := newClaim()
	var chosen []*Run
	cost := 0.0
	for _, run := range victims(b.state, b.observer, r.worker.ID, b.wall) {
		if need.Fits(left) {
			break
		}
		if b.stopped[run.ID] || !b.yields(u, run, c) {
			continue
		}
		job := b.state.jobs[run.ID.Task.Job]
		step, _, _ := job.step(run.ID.Task)
		if !helps(step.Demand(), need, left) {
			continue
		}
		left = left.Plus(step.Demand())
		cost += stopCost(job, run, b.wall)
		c.give(job, step, run.ID.Task.StepID())
		chosen = append(chosen, run)
	}
	return chosen, cost, need.Fits(left)
}

// helps reports whether a run holds any of what is short.
func helps(held, need, left Resources) bool {
	return need.CPU > left.CPU && held.CPU > 0 ||
		need.Memory > left.Memory && held.Memory > 0 ||
		need.Accelerators > left.Accelerators && held.Accelerators > 0
}

// racks returns the rooms of each rack, in the order of their names.
func (b *board) racks() [][]*room {
	byName := map[string][]*room{}
	var names []string
	for _, r := range b.rooms {
		if _, known := byName[r.rack]; !known {
			names = append(names, r.rack)
		}
		byName[r.rack] = append(byName[r.rack], r)
	}
	sort.Strings(names)
	racks := make([][]*room, len(names))
	for i, name := range names {
		racks[i] = byName[name]
	}
	return racks
}
