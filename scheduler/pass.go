package scheduler

import (
	"slices"
	"sort"
	"time"

	"cranberrystack.dev/cranberrystack/identifier"
)

// candidate is a worker considered in a placement pass, with its free
// capacity.
type candidate struct {
	worker *Worker
	rack   string
	// pool holds the accelerators of the worker's pool.
	pool *poolAccelerators
	// position is its index among the candidates of the pass, and slots its places
	// in the indexes of the pass.
	position int
	slots    [capacityKinds]indexSlot
	// victims holds the runs that might be preempted, once victimsListed is set.
	victims       []victim
	victimsListed bool
	// rackPosition is the index of the worker's rack among all racks, scaled
	// to the range 0 to 1.
	rackPosition float64
	// free is the capacity that is free now. It is negative where a unit has
	// booked the capacity of runs that are being stopped.
	free Resources
	// afterStops is the capacity that is free once the runs being stopped have
	// ended.
	afterStops Resources
	// runsOfStep counts the runs of each step that has a SpreadLimit.
	runsOfStep    map[StepID]int
	hasServing    bool
	hasBestEffort bool
	// runs counts the runs placed on the worker, and hasSuspect says that one of them
	// has just started and may crash the worker.
	runs         int
	hasSuspect   bool
	likelyFaulty bool
	// recentFailures counts the jobs that have failed on the worker recently.
	recentFailures int
	// quiet says that the worker has not been in contact for a while.
	quiet bool
	// pace is the worker's relative speed, 1 if it is usual or unknown.
	pace float64
	// rampsUp says that the worker's data centre was returned to use a short time ago,
	// so that it gets only runs that a guarantee covers.
	rampsUp bool
}

// placementPass is one pass over the waiting work: the candidate workers and
// what has been booked on them so far.
type placementPass struct {
	state    *State
	observer *Observer
	now      time.Time
	// wall is the time of day.
	wall       UnixMilli
	candidates []*candidate
	byWorker   map[identifier.WorkerID]*candidate
	// racks holds the candidates of each rack, in the order of the rack names.
	racks [][]*candidate
	// indexes lists the candidates by capacity, one index for each kind.
	indexes [capacityKinds]*capacityIndex
	// pools holds the accelerators of each pool that has candidates.
	pools map[PoolName]*poolAccelerators
	// searches counts the units for which runs to preempt were searched, and
	// fruitless holds those among them for which none were found.
	searches  int
	fruitless []StepID
	// stopped holds the runs that this pass has ordered to stop.
	stopped map[*Run]bool
	// victimBuffer is reused by selectVictims.
	victimBuffer []*victim
	// usage is what the teams hold, next to their guarantees.
	usage *teamUsage
	// held holds the urgent units of each team, once they are listed, and coverages what
	// the guarantees of some teams cover of them.
	held      map[identifier.TeamID][]heldUnit
	coverages map[identifier.TeamID]*coverage
	// stopsTakeLong says that checkpointing work must leave the reserve free too.
	stopsTakeLong bool
	// fastestPace is the highest pace of a candidate, and unevenPaces says that the
	// pace of some candidate is not usual.
	fastestPace float64
	unevenPaces bool
}

func newPlacementPass(s *State, o *Observer, now time.Time, wall UnixMilli) *placementPass {
	p := &placementPass{
		state: s, observer: o, now: now, wall: wall,
		byWorker: map[identifier.WorkerID]*candidate{}, stopped: map[*Run]bool{}, usage: newTeamUsage(s, o),
		coverages: map[identifier.TeamID]*coverage{}, pools: map[PoolName]*poolAccelerators{},
	}
	for _, worker := range s.Workers() {
		if s.InEmptiedDataCenter(worker) || !o.Schedulable(worker, now) || !o.KnowsCapacity(s, worker, now) {
			continue
		}
		c := &candidate{
			worker: worker, rack: worker.Rack(), free: worker.Capacity, afterStops: worker.Capacity,
			likelyFaulty: o.LikelyFaulty(worker.ID, now), recentFailures: o.observations[worker.ID].recentFailures(now), position: len(p.candidates),
			quiet: o.observations[worker.ID].quiet(now), rampsUp: s.rampsUp(worker, wall), pace: o.runTimes.pace(worker),
		}
		p.fastestPace = max(p.fastestPace, c.pace)
		p.unevenPaces = p.unevenPaces || c.pace != 1
		for id, run := range s.placed[worker.ID] {
			c.addRun(s, o, id, run, wall)
		}
		p.candidates = append(p.candidates, c)
		p.byWorker[worker.ID] = c
		p.addToPool(c)
	}
	p.racks = candidatesByRack(p.candidates)
	p.setRackPositions()
	for kind := range p.indexes {
		p.indexes[kind] = newCapacityIndex(capacityKind(kind), p.candidates)
	}
	return p
}

// poolAccelerators counts the accelerators of the candidates of a pool.
type poolAccelerators struct {
	free, total int64
	// reserve is how many are kept free for urgent work.
	reserve int64
}

func (p *placementPass) addToPool(c *candidate) {
	name := c.worker.Pool
	if p.pools[name] == nil {
		p.pools[name] = &poolAccelerators{}
	}
	c.pool = p.pools[name]
	c.pool.free += max(0, c.free.Accelerators)
	c.pool.total += c.worker.Capacity.Accelerators
}

// poolOf returns the accelerators of a unit's pool.
func (p *placementPass) poolOf(u *unit) *poolAccelerators {
	if known := p.pools[u.job.Policy.Pool]; known != nil {
		return known
	}
	return &poolAccelerators{}
}

// setRackPositions sets the rack position of every candidate, in the order of
// the rack names.
func (p *placementPass) setRackPositions() {
	for i, rack := range p.racks {
		for _, c := range rack {
			c.rackPosition = float64(i) / float64(max(1, len(p.racks)-1))
		}
	}
}

func (c *candidate) addRun(s *State, o *Observer, id RunID, run *Run, wall UnixMilli) {
	job, known := s.jobs[id.Task.Job]
	if !known {
		return
	}
	step, _, task := job.step(id.Task)
	if step == nil {
		return
	}
	c.hasSuspect = c.hasSuspect || len(task.Crashes) > 0 && task.needsIsolation() && wall-run.Assigned < isolationTime
	c.free = c.free.Minus(step.Demand())
	if !o.Stopping(run) {
		c.afterStops = c.afterStops.Minus(step.Demand())
	}
	c.countRuns(step, id.Task.StepID(), 1)
	c.runs++
	c.hasServing = c.hasServing || step.Serves()
	c.hasBestEffort = c.hasBestEffort || step.BestEffort
}

// countRuns adds to the number of runs of a step that has a SpreadLimit.
func (c *candidate) countRuns(step *Step, id StepID, runs int) {
	if step.SpreadLimit == 0 {
		return
	}
	if c.runsOfStep == nil {
		c.runsOfStep = map[StepID]int{}
	}
	c.runsOfStep[id] += runs
}

// expectStop records that a run is being stopped, which adds its capacity to
// the worker's afterStops.
func (p *placementPass) expectStop(run *Run) {
	if run == nil || p.stopped[run] || p.observer.Stopping(run) {
		return
	}
	p.stopped[run] = true
	c, known := p.byWorker[run.Worker]
	step := p.state.StepOf(run.ID.Task)
	if known && step != nil {
		p.changeCapacity(c, Resources{}, step.Demand())
	}
}

// preemptRun orders a run to stop for a task. If the run belongs to a gang,
// its other members are stopped too, since they are useless without it.
func (p *placementPass) preemptRun(run *Run, by TaskID) []Stop {
	var stops []Stop
	for _, member := range p.state.gangMembers(run) {
		if p.stopped[member] || p.observer.Stopping(member) {
			continue
		}
		p.expectStop(member)
		p.chargeRun(member, -1)
		stops = append(stops, Stop{Run: member.ID, Cause: CausePreempted, Reason: "preempted for " + by.StepID().String()})
	}
	return stops
}

func (p *placementPass) chargeRun(run *Run, sign int) {
	job := p.state.jobs[run.ID.Task.Job]
	if job == nil {
		return
	}
	step, _, _ := job.step(run.ID.Task)
	if !p.state.hasCopy(run.ID.Task) {
		p.usage.charge(job, step, sign)
	}
	delete(p.coverages, job.Team)
}

// book reserves capacity on a candidate for one task of a unit.
func (p *placementPass) book(c *candidate, u *unit) {
	need := Resources{}.Minus(u.step.Demand())
	p.changeCapacity(c, need, need)
	p.usage.charge(u.job, u.step, 1)
	u.charge(1)
	c.countRuns(u.step, u.id(), 1)
	c.runs++
	c.hasSuspect = c.hasSuspect || u.needsIsolation
	c.hasServing = c.hasServing || u.step.Serves()
	c.hasBestEffort = c.hasBestEffort || u.step.BestEffort
}

func (p *placementPass) unbook(c *candidate, u *unit) {
	p.changeCapacity(c, u.step.Demand(), u.step.Demand())
	p.usage.charge(u.job, u.step, -1)
	u.charge(-1)
	c.runs--
	c.countRuns(u.step, u.id(), -1)
}

// place books capacity for a unit and returns the runs that can start now. If
// a unit that may preempt finds too little free capacity, place books the
// capacity of runs that are being stopped, or preempts other runs. Those tasks
// are assigned in a later pass, once the stopped runs have ended.
func (p *placementPass) place(u *unit) (Assign, []Stop) {
	u.rackWaitOver, u.pace = p.rackWaitOver(u), p.paceRule(u)
	if u.step.Gang {
		return p.placeGang(u)
	}
	var assign Assign
	free := p.newChooser(u, nil, capacityFree, false)
	for placed, index := range u.tasks {
		if !p.keepsReserve(u, 1) {
			return assign, nil
		}
		c := free.next(u.task(index))
		if c == nil && u.isTurn {
			return assign, nil
		}
		if c == nil {
			return assign, p.placeByPreemption(u, u.tasks[placed:])
		}
		p.book(c, u)
		u.placed++
		assign.Runs = append(assign.Runs, p.newRun(u, index, c))
	}
	return assign, nil
}

// placeByPreemption books capacity of runs that are being stopped for the given
// tasks of a unit, and preempts other runs for the rest. A unit that may not
// preempt gets nothing.
func (p *placementPass) placeByPreemption(u *unit, tasks []int) []Stop {
	if !u.mayPreempt {
		return nil
	}
	result := p.preemptAmong(u, nil, tasks, true)
	if result.searched && len(result.stops) == 0 {
		p.fruitless = append(p.fruitless, u.id())
	}
	return result.stops
}

func (p *placementPass) newRun(u *unit, index int, c *candidate) Run {
	task := &u.state.Tasks[index]
	run := Run{
		ID: RunID{Task: u.task(index), Number: task.RunNumber + 1}, Worker: c.worker.ID, Incarnation: c.worker.Incarnation,
		Checkpoint: task.Checkpoint,
	}
	if u.step.Gang {
		run.ID.Number = u.state.RunNumber + 1
		run.Checkpoint = u.state.Checkpoint
	}
	if u.job.Policy.NeedsAdvice {
		ticket, _ := p.observer.ticket(u.id(), c.worker, p.now)
		run.Ticket = ticket.Text
	}
	return run
}

// eligible reports whether a unit's tasks may be placed on a candidate now,
// regardless of its free capacity.
func (p *placementPass) eligible(u *unit, c *candidate) bool {
	return (!c.rampsUp || u.guaranteed) && p.suits(u, c)
}

// suits reports whether a unit's tasks may run on a candidate, regardless of its
// free capacity and of whether it ramps up.
func (p *placementPass) suits(u *unit, c *candidate) bool {
	step := u.step
	switch {
	case c.worker.Pool != u.job.Policy.Pool:
		return false
	case step.NeedsLabel != "" && !c.worker.HasLabel(step.NeedsLabel):
		return false
	case step.SpreadLimit > 0 && c.runsOfStep[u.id()] >= step.SpreadLimit:
		return false
	case step.DataRack != "" && step.DataRack != c.rack && !u.rackWaitOver:
		return false
	}
	if u.job.Policy.NeedsAdvice {
		_, valid := p.observer.ticket(u.id(), c.worker, p.now)
		return valid
	}
	return true
}

// rackWaitOver reports whether a unit should no longer wait for its preferred
// rack. It waits about as long as it would lose on another rack, for which its
// expected run time is taken, or a quarter of that if it may preempt, and at most
// maxGuaranteedRackWait if a guarantee covers it. It does not wait if no candidate of its
// data rack is large enough, and at most maxIdleRackWait while its job has no run and
// mostlyFree holds.
func (p *placementPass) rackWaitOver(u *unit) bool {
	limit := time.Duration(p.observer.runTimes.meanMillis(u.job, u.stepIndex)) * time.Millisecond
	if u.mayPreempt {
		limit /= 4
	}
	if u.guaranteed {
		limit = min(limit, maxGuaranteedRackWait)
	}
	switch {
	case u.waited >= limit:
		return true
	case u.step.DataRack != "" && !p.rackCanHoldTask(u.step.DataRack, u):
		return true
	}
	return u.waited >= maxIdleRackWait && u.job.hasNoRuns() && p.poolOf(u).mostlyFree()
}

const (
	// maxIdleRackWait bounds how long a job without any run waits for its rack
	// while many accelerators are free.
	maxIdleRackWait = 2 * time.Second
	// maxGuaranteedRackWait leaves time for stops before a guarantee has to be met.
	maxGuaranteedRackWait = time.Second
	// mostlyFreeShare is the share of a pool's accelerators that are free from which
	// mostlyFree holds.
	mostlyFreeShare = 0.4
)

// mostlyFree reports whether at least mostlyFreeShare of a pool's accelerators are free.
func (a *poolAccelerators) mostlyFree() bool {
	return float64(a.free) >= mostlyFreeShare*float64(a.total)
}

func (p *placementPass) rackCanHoldTask(rack string, u *unit) bool {
	for _, c := range p.candidates {
		if c.rack == rack && c.worker.Pool == u.job.Policy.Pool && u.step.Demand().Fits(c.worker.Capacity) {
			return true
		}
	}
	return false
}

// The terms of a candidate's cost. The capacity left over after the task,
// weighted by how scarce it is, adds up to 3.
const (
	costLikelyFaulty   = 400
	costRecentFailure  = 60
	costAvoided        = 200
	costSuspect        = 250
	costQuiet          = 150
	costInterference   = 100
	costRemote         = 50
	costRackPosition   = 4
	weightAccelerators = 2
	weightOther        = 0.5
)

// cost rates a candidate for a task; lower is better. task is nil for one that
// avoids no worker. Units that lose their work when they are preempted start at one
// end of the racks; units that may preempt, and those that checkpoint and so lose
// little, start at the other, so that a worker that has to be freed seldom holds work
// that would be lost. Within a rack, the fullest worker that fits is preferred.
func (p *placementPass) cost(u *unit, task *TaskID, c *candidate, left Resources) float64 {
	cost := weightAccelerators*fraction(left.Accelerators, c.worker.Capacity.Accelerators) +
		weightOther*(fraction(left.CPU, c.worker.Capacity.CPU)+fraction(left.Memory, c.worker.Capacity.Memory))
	if u.mayPreempt || u.step.Checkpoints {
		cost += costRackPosition * (1 - c.rackPosition)
	} else {
		cost += costRackPosition * c.rackPosition
	}
	if c.likelyFaulty {
		cost += costLikelyFaulty
	}
	cost += costRecentFailure * float64(c.recentFailures)
	if c.quiet {
		cost += costQuiet
	}
	if task != nil && p.observer.Avoided(*task, c.worker.ID) {
		cost += costAvoided
	}
	if c.hasSuspect {
		cost += costSuspect
	}
	if task != nil {
		cost += u.isolationCost(task.Index, c)
	}
	if u.step.Serves() && c.hasBestEffort || u.step.BestEffort && c.hasServing {
		cost += costInterference
	}
	if u.step.DataRack != "" && u.step.DataRack != c.rack {
		cost += costRemote
	}
	return cost
}

// isolationCost keeps a task that may crash its worker away from other runs, and away
// from machines that have crashed under it.
func (u *unit) isolationCost(index int, c *candidate) float64 {
	task := &u.state.Tasks[index]
	cost := costAvoided * float64(task.crashesOn(c.worker))
	if c.runs > 0 && task.needsIsolation() {
		cost += costSuspect
	}
	return cost
}

// avoidsAny reports whether the cost of a candidate depends on the task of the unit.
func (p *placementPass) avoidsAny(u *unit, task TaskID) bool {
	return len(u.state.Tasks[task.Index].Crashes) > 0 || p.observer.avoidsAny(task)
}

func fraction(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// selectVictims chooses runs on a candidate, cheapest first, until stopping them
// frees the needed capacity. It returns the runs, their total cost, and whether
// they free enough. The runs are valid until the next call.
func (p *placementPass) selectVictims(u *unit, c *candidate, need Resources) ([]*victim, float64, bool) {
	if !c.victimsListed {
		c.victims, c.victimsListed = victims(p.state, p.observer, c.worker.ID, p.wall), true
	}
	set := victimSet{chosen: p.victimBuffer[:0], left: c.afterStops}
	p.chooseVictims(u, c, need, &set)
	if u.guaranteed && !need.Fits(set.left) {
		set.mayReplace = true
		p.chooseVictims(u, c, need, &set)
	}
	p.victimBuffer = set.chosen
	if !need.Fits(set.left) {
		return set.chosen, set.cost, false
	}
	chosen, cost := withoutNeedless(set.chosen, set.cost, need, set.left)
	return chosen, cost + p.replacementCost(chosen), true
}

// chooseVictims adds runs on a candidate to a set, the cheapest first, until the needed
// capacity is left.
func (p *placementPass) chooseVictims(u *unit, c *candidate, need Resources, set *victimSet) {
	for i := 0; i < len(c.victims) && !need.Fits(set.left); i++ {
		v := &c.victims[i]
		if p.stopped[v.run] || set.mayReplace && slices.Contains(set.chosen, v) ||
			!p.preemptible(u, v, set) || !relievesShortage(v.demand, need, set.left) {
			continue
		}
		p.addVictim(set, v)
	}
}

// withoutNeedless leaves out the runs without which the needed capacity is free all
// the same, the most expensive first: cheap runs chosen early may be needless beside
// a larger one chosen later.
func withoutNeedless(chosen []*victim, cost float64, need, left Resources) ([]*victim, float64) {
	for i := len(chosen) - 1; i >= 0; i-- {
		without := left.Minus(chosen[i].demand)
		if !need.Fits(without) {
			continue
		}
		left = without
		cost -= chosen[i].cost
		chosen = slices.Delete(chosen, i, i+1)
	}
	return chosen, cost
}

// relievesShortage reports whether a run holds any resource of which there is
// too little left.
func relievesShortage(held, need, left Resources) bool {
	return need.CPU > left.CPU && held.CPU > 0 ||
		need.Memory > left.Memory && held.Memory > 0 ||
		need.Accelerators > left.Accelerators && held.Accelerators > 0
}

// candidatesByRack returns the candidates of each rack, in the order of the
// rack names.
func candidatesByRack(candidates []*candidate) [][]*candidate {
	byName := map[string][]*candidate{}
	var names []string
	for _, c := range candidates {
		if _, known := byName[c.rack]; !known {
			names = append(names, c.rack)
		}
		byName[c.rack] = append(byName[c.rack], c)
	}
	sort.Strings(names)
	racks := make([][]*candidate, len(names))
	for i, name := range names {
		racks[i] = byName[name]
	}
	return racks
}
