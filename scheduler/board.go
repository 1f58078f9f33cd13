package scheduler

import (
	"sort"
	"time"

	"cranberrystack.dev/cranberrystack/identifier"
)

// candidate is what a worker has left in one pass of the planner.
type candidate struct {
	worker *Worker
	rack   string
	// rackPosition is the rack's place among all racks, from 0 to 1.
	rackPosition float64
	// free may be negative where a unit waits for runs that are being stopped.
	free Resources
	// afterStops is free with the runs that are being stopped.
	afterStops Resources
	// runsOfStep counts the runs of each step that limits them.
	runsOfStep    map[StepID]int
	hasServing    bool
	hasBestEffort bool
	suspected     bool
}

// placementPass holds the rooms of all workers during one pass.
type placementPass struct {
	state    *State
	observer *Observer
	now      time.Time
	// wall is the time of day.
	wall       UnixMilli
	candidates []*candidate
	byWorker   map[identifier.WorkerID]*candidate
	// stopped holds the runs that this pass has ordered to stop.
	stopped map[RunID]bool
	// usage is what teams hold against their guarantees.
	usage *teamUsage
	// acceleratorReserve is the number of accelerators that are left to urgent work.
	acceleratorReserve int64
}

// keepsReserve reports whether some tasks of a unit leave the reserve free. Work
// that claims need not, nor work that loses little when it is preempted.
func (b *placementPass) keepsReserve(u *unit, tasks int) bool {
	if u.mayPreempt || u.step.Checkpoints || u.step.Accelerators == 0 || b.acceleratorReserve == 0 {
		return true
	}
	free, _ := b.accelerators()
	return free-u.step.Accelerators*int64(tasks) >= b.acceleratorReserve
}

// accelerators returns how many are free, and how many there are.
func (b *placementPass) accelerators() (free, total int64) {
	for _, r := range b.candidates {
		free += max(0, r.free.Accelerators)
		total += r.worker.Capacity.Accelerators
	}
	return free, total
}

func newPlacementPass(s *State, o *Observer, now time.Time, wall UnixMilli) *placementPass {
	b := &placementPass{
		state: s, observer: o, now: now, wall: wall,
		byWorker: map[identifier.WorkerID]*candidate{}, stopped: map[RunID]bool{}, usage: newTeamUsage(s, o),
	}
	for _, worker := range s.Workers() {
		if !o.Schedulable(worker, now) {
			continue
		}
		r := &candidate{
			worker: worker, rack: worker.Rack(), free: worker.Capacity, afterStops: worker.Capacity,
			suspected: o.Suspected(worker.ID, now),
		}
		for id, run := range s.placed[worker.ID] {
			r.addRun(s, o, id, run)
		}
		b.candidates = append(b.candidates, r)
		b.byWorker[worker.ID] = r
	}
	b.setRackPositions()
	return b
}

// setRackPositions gives each rack its place in the order of their names.
func (b *placementPass) setRackPositions() {
	racks := b.candidatesByRack()
	for i, rack := range racks {
		for _, r := range rack {
			r.rackPosition = float64(i) / float64(max(1, len(racks)-1))
		}
	}
}

func (r *candidate) addRun(s *State, o *Observer, id RunID, run *Run) {
	step := s.StepOf(id.Task)
	if step == nil {
		return
	}
	r.free = r.free.Minus(step.Demand())
	if !o.Stopping(run) {
		r.afterStops = r.afterStops.Minus(step.Demand())
	}
	r.countRuns(step, id.Task.StepID(), 1)
	r.hasServing = r.hasServing || step.Serves()
	r.hasBestEffort = r.hasBestEffort || step.BestEffort
}

// countRuns counts runs of a step that limits how many a worker may have.
func (r *candidate) countRuns(step *Step, id StepID, runs int) {
	if step.SpreadLimit == 0 {
		return
	}
	if r.runsOfStep == nil {
		r.runsOfStep = map[StepID]int{}
	}
	r.runsOfStep[id] += runs
}

// expectStop makes a run's room free soon.
func (b *placementPass) expectStop(run *Run) {
	if run == nil || b.stopped[run.ID] || b.observer.Stopping(run) {
		return
	}
	b.stopped[run.ID] = true
	r, known := b.byWorker[run.Worker]
	step := b.state.StepOf(run.ID.Task)
	if known && step != nil {
		r.afterStops = r.afterStops.Plus(step.Demand())
	}
}

// preemptRun orders a run to stop for a task, and with it the whole gang that it
// belongs to, whose other members are of no use without it.
func (b *placementPass) preemptRun(run *Run, by TaskID) []Stop {
	var stops []Stop
	for _, member := range b.state.gangMembers(run) {
		if b.stopped[member.ID] || b.observer.Stopping(member) {
			continue
		}
		b.expectStop(member)
		b.chargeRun(member, -1)
		stops = append(stops, Stop{Run: member.ID, Cause: CausePreempted, Reason: "preempted for " + by.String()})
	}
	return stops
}

func (b *placementPass) chargeRun(run *Run, sign int) {
	job := b.state.jobs[run.ID.Task.Job]
	if job == nil {
		return
	}
	step, _, _ := job.step(run.ID.Task)
	b.usage.charge(job, step, sign)
}

// book books a task of a unit.
func (b *placementPass) book(r *candidate, u *unit) {
	need := u.step.Demand()
	r.free = r.free.Minus(need)
	r.afterStops = r.afterStops.Minus(need)
	b.usage.charge(u.job, u.step, 1)
	r.countRuns(u.step, u.id(), 1)
	r.hasServing = r.hasServing || u.step.Serves()
	r.hasBestEffort = r.hasBestEffort || u.step.BestEffort
}

func (b *placementPass) unbook(r *candidate, u *unit) {
	need := u.step.Demand()
	r.free = r.free.Plus(need)
	r.afterStops = r.afterStops.Plus(need)
	b.usage.charge(u.job, u.step, -1)
	r.countRuns(u.step, u.id(), -1)
}

// place books room for a unit. A unit that claims and finds no free room gets
// what is being stopped, or has others stopped; it is assigned once they have
// ended.
func (b *placementPass) place(u *unit) (Assign, []Stop) {
	if u.step.Gang {
		return b.placeGang(u)
	}
	var assign Assign
	var stops []Stop
	for _, index := range u.tasks {
		if !b.keepsReserve(u, 1) {
			break
		}
		r := b.bestCandidate(u, u.task(index), b.candidates, freeCapacity)
		if r != nil {
			b.book(r, u)
			assign.Runs = append(assign.Runs, b.newRun(u, index, r))
			continue
		}
		if !u.mayPreempt {
			break
		}
		if r = b.bestCandidate(u, u.task(index), b.candidates, capacityAfterStops); r != nil {
			b.book(r, u)
			continue
		}
		r, ended, _ := b.preemptFor(u, u.task(index), b.candidates)
		if r == nil {
			break
		}
		stops = append(stops, ended...)
		b.book(r, u)
	}
	return assign, stops
}

func (b *placementPass) newRun(u *unit, index int, r *candidate) Run {
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

func freeCapacity(r *candidate) Resources { return r.free }

func capacityAfterStops(r *candidate) Resources { return r.afterStops }

// bestCandidate returns the room that suits a task bestCandidate, nil if none fits.
func (b *placementPass) bestCandidate(u *unit, task TaskID, rooms []*candidate, left func(*candidate) Resources) *candidate {
	need := u.step.Demand()
	var best *candidate
	lowest := 0.0
	for _, r := range rooms {
		if !need.Fits(left(r)) || !b.eligible(u, r) {
			continue
		}
		cost := b.cost(u, task, r, left(r).Minus(need))
		if best == nil || cost < lowest {
			best, lowest = r, cost
		}
	}
	return best
}

// eligible reports whether a unit's tasks may run in a room at all.
func (b *placementPass) eligible(u *unit, r *candidate) bool {
	step := u.step
	switch {
	case r.worker.Pool != u.job.Policy.Pool:
		return false
	case step.NeedsLabel != "" && !r.worker.HasLabel(step.NeedsLabel):
		return false
	case step.SpreadLimit > 0 && r.runsOfStep[u.id()] >= step.SpreadLimit:
		return false
	case step.DataRack != "" && step.DataRack != r.rack && !b.rackWaitOver(u):
		return false
	}
	if u.job.Policy.Advised {
		ticket, known := b.observer.Tickets[u.id()][r.worker.ID]
		return known && ticket.Incarnation == r.worker.Incarnation && b.now.Before(ticket.Until)
	}
	return true
}

// rackWaitOver reports whether a unit has waited for its rack for about as
// long as it would lose elsewhere.
func (b *placementPass) rackWaitOver(u *unit) bool {
	patience := time.Duration(u.step.EstimateMillis) * time.Millisecond
	if u.mayPreempt {
		patience /= 4
	}
	switch {
	case u.waited >= patience:
		return true
	case u.step.DataRack != "" && !b.rackCanHoldTask(u.step.DataRack, u):
		return true
	}
	return u.waited >= maxIdleRackWait && u.job.hasNoRuns() && b.mostlyFree()
}

const (
	// maxIdleRackWait bounds how long a job of which nothing runs waits for its
	// rack while most of the pool is free.
	maxIdleRackWait = 2 * time.Second
	// mostlyFreeShare is the free part of a pool's accelerators that counts as
	// most of it.
	mostlyFreeShare = 0.4
)

// mostlyFree reports whether much of the pool's room is free.
func (b *placementPass) mostlyFree() bool {
	free, total := b.accelerators()
	return float64(free) >= mostlyFreeShare*float64(total)
}

func (b *placementPass) rackCanHoldTask(rack string, u *unit) bool {
	for _, r := range b.candidates {
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
	costInterference   = 100
	costRemote         = 50
	costRackPosition   = 4
	weightAccelerators = 2
	weightOther        = 0.5
)

// cost rates a room for a task; lower is better. Work that may claim and work
// that may be preempted begin at opposite ends of the racks, so that they
// seldom meet; within a rack the fullest worker that fits is taken.
func (b *placementPass) cost(u *unit, task TaskID, r *candidate, left Resources) float64 {
	cost := weightAccelerators*fraction(left.Accelerators, r.worker.Capacity.Accelerators) +
		weightOther*(fraction(left.CPU, r.worker.Capacity.CPU)+fraction(left.Memory, r.worker.Capacity.Memory))
	if u.mayPreempt {
		cost += costRackPosition * (1 - r.rackPosition)
	} else {
		cost += costRackPosition * r.rackPosition
	}
	if r.suspected {
		cost += costSuspected
	}
	if b.observer.Avoided(task, r.worker.ID) {
		cost += costAvoided
	}
	if u.step.Serves() && r.hasBestEffort || u.step.BestEffort && r.hasServing {
		cost += costInterference
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

// preemptFor finds the room that a task fits into once others are stopped, at the
// least loss, and returns that loss.
func (b *placementPass) preemptFor(u *unit, task TaskID, rooms []*candidate) (*candidate, []Stop, float64) {
	need := u.step.Demand()
	var best *candidate
	var chosen []*Run
	lowest := 0.0
	for _, r := range rooms {
		if !b.eligible(u, r) {
			continue
		}
		runs, cost, fits := b.selectVictims(u, r, need)
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
		stops = append(stops, b.preemptRun(run, task)...)
	}
	return best, stops, lowest
}

// selectVictims returns the cheapest runs found whose end makes enough room.
func (b *placementPass) selectVictims(u *unit, r *candidate, need Resources) ([]*Run, float64, bool) {
	left := r.afterStops
	c := newVictimSet()
	var chosen []*Run
	cost := 0.0
	for _, run := range victims(b.state, b.observer, r.worker.ID, b.wall) {
		if need.Fits(left) {
			break
		}
		if b.stopped[run.ID] || !b.preemptible(u, run, c) {
			continue
		}
		job := b.state.jobs[run.ID.Task.Job]
		step, _, _ := job.step(run.ID.Task)
		if !relievesShortage(step.Demand(), need, left) {
			continue
		}
		left = left.Plus(step.Demand())
		cost += stopCost(job, run, b.wall)
		c.add(job, step, run.ID.Task.StepID())
		chosen = append(chosen, run)
	}
	return chosen, cost, need.Fits(left)
}

// relievesShortage reports whether a run holds any of what is short.
func relievesShortage(held, need, left Resources) bool {
	return need.CPU > left.CPU && held.CPU > 0 ||
		need.Memory > left.Memory && held.Memory > 0 ||
		need.Accelerators > left.Accelerators && held.Accelerators > 0
}

// candidatesByRack returns the rooms of each rack, in the order of their names.
func (b *placementPass) candidatesByRack() [][]*candidate {
	byName := map[string][]*candidate{}
	var names []string
	for _, r := range b.candidates {
		if _, known := byName[r.rack]; !known {
			names = append(names, r.rack)
		}
		byName[r.rack] = append(byName[r.rack], r)
	}
	sort.Strings(names)
	racks := make([][]*candidate, len(names))
	for i, name := range names {
		racks[i] = byName[name]
	}
	return racks
}
