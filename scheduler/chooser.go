package scheduler

import (
	"container/heap"
	"iter"
	"slices"
)

// capacityKind is a kind of capacity that is left on a candidate.
type capacityKind int

const (
	// capacityFree is free now.
	capacityFree capacityKind = iota
	// capacityAfterStops is free once the runs being stopped have ended.
	capacityAfterStops
	capacityKinds
)

// left returns what is left on the candidate.
func (c *candidate) left(kind capacityKind) Resources {
	if kind == capacityFree {
		return c.free
	}
	return c.afterStops
}

// capacityIndex lists the candidates by the number of accelerators left on them, so
// that a full pool costs nothing to search.
type capacityIndex struct {
	kind capacityKind
	// levels holds the candidates with as many accelerators left as the index says,
	// at least 0; the last one also holds those with more.
	levels [][]*candidate
}

// maxLevel bounds the levels of an index.
const maxLevel = 1024

// levelOf returns the level of a number of accelerators.
func levelOf(accelerators int64) int { return int(min(max(0, accelerators), maxLevel)) }

// indexSlot is a candidate's place in a capacityIndex.
type indexSlot struct {
	level, position int
}

func newCapacityIndex(kind capacityKind, candidates []*candidate) *capacityIndex {
	x := &capacityIndex{kind: kind}
	for _, c := range candidates {
		x.insert(c)
	}
	return x
}

func (x *capacityIndex) insert(c *candidate) {
	level := levelOf(c.left(x.kind).Accelerators)
	for len(x.levels) <= level {
		x.levels = append(x.levels, nil)
	}
	c.slots[x.kind] = indexSlot{level: level, position: len(x.levels[level])}
	x.levels[level] = append(x.levels[level], c)
}

// update moves a candidate whose capacity has changed.
func (x *capacityIndex) update(c *candidate) {
	slot := c.slots[x.kind]
	if levelOf(c.left(x.kind).Accelerators) == slot.level {
		return
	}
	of := x.levels[slot.level]
	last := of[len(of)-1]
	of[slot.position] = last
	last.slots[x.kind].position = slot.position
	x.levels[slot.level] = of[:len(of)-1]
	x.insert(c)
}

// withAccelerators yields the candidates with at least the given number of
// accelerators left, and others if that is over maxLevel.
func (x *capacityIndex) withAccelerators(needed int64) iter.Seq[*candidate] {
	return func(yield func(*candidate) bool) {
		for level := levelOf(needed); level < len(x.levels); level++ {
			for _, c := range x.levels[level] {
				if !yield(c) {
					return
				}
			}
		}
	}
}

// changeCapacity adds to what is left on a candidate; free and afterStops may be
// negative amounts.
func (p *placementPass) changeCapacity(c *candidate, free, afterStops Resources) {
	c.pool.free -= max(0, c.free.Accelerators)
	c.free = c.free.Plus(free)
	c.afterStops = c.afterStops.Plus(afterStops)
	c.pool.free += max(0, c.free.Accelerators)
	for _, index := range p.indexes {
		index.update(c)
	}
}

// choice is a candidate for a task of a unit, and its cost.
type choice struct {
	candidate *candidate
	cost      float64
}

// choices is a heap, the lowest cost first and then the first candidate.
type choices []choice

// Len returns the number of choices.
func (h choices) Len() int { return len(h) }

// Less reports whether choice i is better than choice j.
func (h choices) Less(i, j int) bool {
	if h[i].cost != h[j].cost {
		return h[i].cost < h[j].cost
	}
	return h[i].candidate.position < h[j].candidate.position
}

// Swap exchanges two choices.
func (h choices) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push appends a choice.
func (h *choices) Push(value any) { *h = append(*h, value.(choice)) }

// Pop removes the last choice.
func (h *choices) Pop() any {
	last := len(*h) - 1
	value := (*h)[last]
	*h = (*h)[:last]
	return value
}

// chooser yields the candidates with the lowest costs for the tasks of one unit, one
// after the other. All candidates are rated once, and then only those that change.
type chooser struct {
	pass *placementPass
	unit *unit
	kind capacityKind
	heap choices
	// picked is the last candidate that was yielded. It is rated anew, since the
	// caller may have booked a task there.
	picked *candidate
	// tentative holds what the unit's tasks take of the yielded candidates if the
	// caller books nothing; it is nil otherwise.
	tentative map[*candidate]Resources
}

// newChooser rates the candidates of the whole pass, or of a rack if candidates is
// not nil. A tentative chooser counts the tasks that it yields candidates for, and
// must be released.
func (p *placementPass) newChooser(u *unit, candidates []*candidate, kind capacityKind, tentative bool) *chooser {
	k := &chooser{pass: p, unit: u, kind: kind}
	if tentative {
		k.tentative = map[*candidate]Resources{}
	}
	source := slices.Values(candidates)
	if candidates == nil {
		source = p.indexes[kind].withAccelerators(u.step.Demand().Accelerators)
	}
	for c := range source {
		if cost, fits := k.rate(c, nil); fits {
			k.heap = append(k.heap, choice{candidate: c, cost: cost})
		}
	}
	heap.Init(&k.heap)
	return k
}

// rate returns the cost of a candidate, and whether a task fits there. task is nil
// if it makes no difference.
func (k *chooser) rate(c *candidate, task *TaskID) (float64, bool) {
	need := k.unit.step.Demand()
	left := c.left(k.kind)
	if k.tentative != nil {
		left = left.Minus(k.tentative[c])
	}
	if !need.Fits(left) || !k.pass.eligible(k.unit, c) {
		return 0, false
	}
	return k.pass.cost(k.unit, task, c, left.Minus(need)) + k.unit.pace.cost(c.pace), true
}

// next returns the candidate with the lowest cost for a task, or nil if none fits.
func (k *chooser) next(task TaskID) *candidate {
	if k.picked != nil {
		if cost, fits := k.rate(k.picked, nil); fits {
			heap.Push(&k.heap, choice{candidate: k.picked, cost: cost})
		}
		k.picked = nil
	}
	if k.pass.avoidsAny(k.unit, task) {
		return k.nextAvoiding(task)
	}
	for len(k.heap) > 0 {
		top := heap.Pop(&k.heap).(choice)
		cost, fits := k.rate(top.candidate, nil)
		switch {
		case !fits:
			continue
		case cost > top.cost:
			heap.Push(&k.heap, choice{candidate: top.candidate, cost: cost})
			continue
		}
		return k.pick(top.candidate)
	}
	return nil
}

// nextAvoiding is next for a task that avoids some workers.
func (k *chooser) nextAvoiding(task TaskID) *candidate {
	best, lowest := -1, 0.0
	for i := range k.heap {
		cost, fits := k.rate(k.heap[i].candidate, &task)
		if fits && (best < 0 || cost < lowest || cost == lowest && k.heap[i].candidate.position < k.heap[best].candidate.position) {
			best, lowest = i, cost
		}
	}
	if best < 0 {
		return nil
	}
	return k.pick(heap.Remove(&k.heap, best).(choice).candidate)
}

func (k *chooser) pick(c *candidate) *candidate {
	k.picked = c
	if k.tentative != nil {
		k.tentative[c] = k.tentative[c].Plus(k.unit.step.Demand())
		c.runs++
		c.countRuns(k.unit.step, k.unit.id(), 1)
	}
	return c
}

// release reverts what a tentative chooser has counted for the candidates that it
// yielded.
func (k *chooser) release(yielded []*candidate) {
	for _, c := range yielded {
		c.runs--
		c.countRuns(k.unit.step, k.unit.id(), -1)
	}
}

// preemptor yields the candidates on which the tasks of one unit fit after
// preempting other runs at the lowest cost.
type preemptor struct {
	pass   *placementPass
	unit   *unit
	heap   choices
	picked *candidate
}

func (p *placementPass) newPreemptor(u *unit, candidates []*candidate) *preemptor {
	e := &preemptor{pass: p, unit: u}
	if candidates == nil {
		candidates = p.candidates
	}
	for _, c := range candidates {
		if cost, fits := e.rate(c, nil); fits {
			e.heap = append(e.heap, choice{candidate: c, cost: cost})
		}
	}
	heap.Init(&e.heap)
	return e
}

func (e *preemptor) rate(c *candidate, task *TaskID) (float64, bool) {
	need := e.unit.step.Demand()
	if !need.Fits(c.worker.Capacity) || !e.pass.eligible(e.unit, c) {
		return 0, false
	}
	_, cost, fits := e.pass.selectVictims(e.unit, c, need)
	return cost + e.pass.cost(e.unit, task, c, Resources{}) + e.pass.slowdownCost(e.unit, c), fits
}

// next orders the runs on the best candidate to stop for a task and returns the
// candidate, the stops and the cost. The candidate is nil if preemption does not
// help.
func (e *preemptor) next(task TaskID) (*candidate, []Stop, float64) {
	if e.picked != nil {
		if cost, fits := e.rate(e.picked, nil); fits {
			heap.Push(&e.heap, choice{candidate: e.picked, cost: cost})
		}
		e.picked = nil
	}
	for len(e.heap) > 0 {
		top := heap.Pop(&e.heap).(choice)
		cost, fits := e.rate(top.candidate, &task)
		if !fits {
			continue
		}
		if len(e.heap) > 0 && cost > e.heap[0].cost && cost > top.cost {
			heap.Push(&e.heap, choice{candidate: top.candidate, cost: cost})
			continue
		}
		e.picked = top.candidate
		return top.candidate, e.preempt(top.candidate, task), cost
	}
	return nil, nil, 0
}

func (e *preemptor) preempt(c *candidate, task TaskID) []Stop {
	chosen, _, _ := e.pass.selectVictims(e.unit, c, e.unit.step.Demand())
	var stops []Stop
	for _, v := range chosen {
		stops = append(stops, e.pass.preemptRun(v.run, task)...)
	}
	return stops
}
