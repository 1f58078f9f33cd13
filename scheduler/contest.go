package scheduler

import (
	"cmp"
	"container/heap"
	"iter"

	"cranberrystack.dev/cranberrystack/identifier"
	"cranberrystack.dev/cranberrystack/sharer"
)

const (
	// sharingInterval is the width of the fixed intervals of latest starts within
	// which units are ordered by the shares of their teams. It bounds how far a unit
	// is overtaken because of them.
	sharingInterval = UnixMilli(500)
	// turnsPerPool is the number of turns in which a team would be given a whole pool.
	// Each turn rates the workers anew, so that a pass has at most twice as many more
	// ratings per pool.
	turnsPerPool = 32
)

// contender is a team in one pool during a plan: its standing, with what the plan has
// given it so far.
type contender struct {
	sharer.Standing
	capacity Resources
	// units holds the contender's units in the interval being placed, in their order.
	units []*unit
}

// contest holds the contenders of a plan.
type contest struct {
	state *State
	wall  UnixMilli
	// all says that the jobs of all queues take part.
	all        bool
	contenders map[sharer.Account]*contender
	// capacities and weights are nil until the first job that takes part.
	capacities map[PoolName]Resources
	weights    map[identifier.TeamID]float64
}

// contenderOf returns the contender for whom a job's units are placed, or nil if the
// job does not take part.
func (c *contest) contenderOf(job *Job) *contender {
	if !c.all && !job.Policy.FairShare {
		return nil
	}
	account := job.account()
	if known := c.contenders[account]; known != nil {
		return known
	}
	if c.contenders == nil {
		c.contenders, c.capacities, c.weights = map[sharer.Account]*contender{}, c.state.poolCapacities(), c.state.catalog.weights()
	}
	capacity := c.capacities[job.Policy.Pool]
	fresh := &contender{
		Standing: c.state.shares.Standing(account, capacity.amounts(), c.weights[job.Team], int64(c.wall)),
		capacity: capacity,
	}
	c.contenders[account] = fresh
	return fresh
}

// charge adds tasks of a unit to what the plan gives its contender, if it has one.
func (u *unit) charge(tasks int) {
	if u.contender != nil {
		u.contender.Add(u.step.Demand().amounts(), tasks)
	}
}

// interval returns the number of the interval that holds the unit's latest start.
func (u *unit) interval() UnixMilli {
	number := u.latestStart / sharingInterval
	if u.latestStart%sharingInterval < 0 {
		number--
	}
	return number
}

// compareShares orders units of the same rank by the interval of their latest start.
// Within an interval, units that take part in the sharing come after the others, which
// are thus never overtaken because of it, and in the order of their contenders'
// shares. Units that both take no part are equal, so that their order does not change;
// since it is by latest start, it agrees with that of the intervals.
func compareShares(a, b *unit) int {
	if a.contender == nil && b.contender == nil {
		return 0
	}
	if order := cmp.Compare(a.interval(), b.interval()); order != 0 {
		return order
	}
	switch {
	case a.contender == nil:
		return -1
	case b.contender == nil:
		return 1
	}
	return a.contender.Compare(&b.contender.Standing)
}

// inTurns yields units in the order in which they are placed. What a contender is
// given counts at once: the contender with the smallest share is next, and large units
// are yielded in parts.
func inTurns(units []*unit) iter.Seq[*unit] {
	return func(yield func(*unit) bool) {
		for len(units) > 0 {
			count := contending(units)
			if !yieldTurns(units[:count], yield) {
				return
			}
			units = units[count:]
		}
	}
}

// contending returns how many of the first units take part in the sharing and are of
// the same rank and interval, or 1 if the first one takes no part.
func contending(units []*unit) int {
	first := units[0]
	count := 1
	for first.contender != nil && count < len(units) && units[count].contender != nil &&
		units[count].rank == first.rank && units[count].interval() == first.interval() {
		count++
	}
	return count
}

func yieldTurns(units []*unit, yield func(*unit) bool) bool {
	if len(units) == 1 {
		return yield(units[0])
	}
	var queue contenders
	for i, u := range units {
		u.position = i
		if len(u.contender.units) == 0 {
			queue = append(queue, u.contender)
		}
		u.contender.units = append(u.contender.units, u)
	}
	heap.Init(&queue)
	for len(queue) > 0 {
		next := queue[0]
		done, more := next.units[0].yieldTurn(len(queue) > 1, yield)
		if !more {
			return false
		}
		if done {
			next.units = next.units[1:]
		}
		if len(next.units) == 0 {
			heap.Pop(&queue)
			continue
		}
		heap.Fix(&queue, 0)
	}
	return true
}

// yieldTurn yields the unit, or the part of it that its contender is given at a time
// while there are others. It reports whether the unit is done with, and whether yield
// wants more. A unit of which a part was not placed completely into free capacity gets
// no further turn; if it may preempt, it does so for all that is left.
func (u *unit) yieldTurn(contended bool, yield func(*unit) bool) (done, more bool) {
	size := u.turnTasks()
	if !contended || u.step.Gang || u.job.Policy.NeedsAdvice || size >= len(u.tasks) {
		return true, yield(u)
	}
	turn := *u
	turn.tasks, turn.isTurn, turn.isPart, turn.placed = u.tasks[:size], true, true, 0
	if !yield(&turn) {
		return true, false
	}
	u.tasks, u.isPart = u.tasks[turn.placed:], true
	switch {
	case turn.placed == size:
		return false, true
	case u.mayPreempt:
		return true, yield(u)
	}
	return true, true
}

// turnTasks returns how many tasks of the unit take about a turn's part of the pool, at
// least 1.
func (u *unit) turnTasks() int {
	size, need, all := len(u.tasks), u.step.Demand(), u.contender.capacity
	for _, amounts := range [][2]int64{{need.CPU, all.CPU}, {need.Memory, all.Memory}, {need.Accelerators, all.Accelerators}} {
		if amounts[0] > 0 {
			size = min(size, int(min(int64(size), amounts[1]/turnsPerPool/amounts[0])))
		}
	}
	return max(1, size)
}

// contenders is a heap of the contenders that have units left, the next one first.
// Contenders with equal shares are in the order of their first units.
type contenders []*contender

func (c contenders) Len() int      { return len(c) }
func (c contenders) Swap(i, j int) { c[i], c[j] = c[j], c[i] }
func (c contenders) Less(i, j int) bool {
	return cmp.Or(c[i].Compare(&c[j].Standing), cmp.Compare(c[i].units[0].position, c[j].units[0].position)) < 0
}

// Push adds a contender.
func (c *contenders) Push(x any) { *c = append(*c, x.(*contender)) }

// Pop removes the last contender.
func (c *contenders) Pop() any {
	last := (*c)[len(*c)-1]
	*c = (*c)[:len(*c)-1]
	return last
}

// addAssign adds an assignment for a unit. The parts of a unit form one assignment.
func (p *Plan) addAssign(u *unit, assign Assign) {
	if u.isPart {
		for i := len(p.Assign) - 1; i >= 0; i-- {
			if p.Assign[i].Runs[0].ID.Task.StepID() == u.id() {
				p.Assign[i].Runs = append(p.Assign[i].Runs, assign.Runs...)
				return
			}
		}
	}
	p.Assign = append(p.Assign, assign)
}
