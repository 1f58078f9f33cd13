package scheduler

import (
	"cmp"
	"slices"

	"cranberrystack.dev/cranberrystack/identifier"
)

// heldUnit is urgent work that a guarantee covers as a whole or not at all: a gang, or the
// first live run of a task that belongs to none. key is the id of the run, or of the
// gang's first member.
type heldUnit struct {
	key    RunID
	run    *Run
	demand Resources
}

// unitKey returns the key of the unit that a run of a step belongs to.
func (s *Step) unitKey(id RunID) RunID {
	if s.Gang {
		id.Task.Index = 0
	}
	return id
}

// coverage is what a guarantee covers of a team's urgent work: the units that began first,
// as far as each fits beside the earlier ones.
type coverage struct {
	covered map[RunID]bool
	total   Resources
	// whole says that all of the team's urgent work is covered.
	whole bool
}

// heldUnits returns the urgent units of a team that were not being stopped when the pass
// began, those that began first in front.
func (p *placementPass) heldUnits(team identifier.TeamID) []heldUnit {
	if p.held == nil {
		p.held = p.listHeldUnits()
	}
	return p.held[team]
}

func (p *placementPass) listHeldUnits() map[identifier.TeamID][]heldUnit {
	held := map[identifier.TeamID][]heldUnit{}
	for id, run := range p.state.runs {
		job := p.state.jobs[id.Task.Job]
		if job == nil || job.Policy.Priority != 0 || p.observer.Stopping(run) {
			continue
		}
		step, _, _ := job.step(id.Task)
		if step == nil || step.Gang && p.state.gangMembers(run)[0] != run || p.isCopy(id) {
			continue
		}
		held[job.Team] = append(held[job.Team], heldUnit{key: step.unitKey(id), run: run, demand: step.stopDemand()})
	}
	for _, units := range held {
		slices.SortFunc(units, func(a, b heldUnit) int {
			if order := cmp.Compare(a.run.Assigned, b.run.Assigned); order != 0 {
				return order
			}
			return compareRuns(a.key, b.key)
		})
	}
	return held
}

// isCopy reports whether an earlier run of the same task may be alive and is not being
// stopped.
func (p *placementPass) isCopy(id RunID) bool {
	if !p.state.hasCopy(id.Task) {
		return false
	}
	for earlier := id; earlier.Number > 1; {
		earlier.Number--
		if run := p.state.runs[earlier]; run != nil && !p.observer.Stopping(run) {
			return true
		}
	}
	return false
}

func compareRuns(a, b RunID) int {
	switch {
	case runLess(a, b):
		return -1
	case runLess(b, a):
		return 1
	}
	return 0
}

// coverageOf returns what a team's guarantee covers of the runs that this pass does not
// stop.
func (p *placementPass) coverageOf(team identifier.TeamID) *coverage {
	known := p.coverages[team]
	if known == nil {
		fresh := p.cover(team, nil, RunID{})
		known = &fresh
		p.coverages[team] = known
	}
	return known
}

// cover returns what a team's guarantee covers without some units.
func (p *placementPass) cover(team identifier.TeamID, released map[RunID]bool, without RunID) coverage {
	c := coverage{covered: map[RunID]bool{}, whole: true}
	for _, unit := range p.heldUnits(team) {
		if p.stopped[unit.run] || released[unit.key] || unit.key == without {
			continue
		}
		total := c.total.Plus(unit.demand)
		if !p.usage.covers(team, total) {
			c.whole = false
			continue
		}
		c.covered[unit.key] = true
		c.total = total
	}
	return c
}

// preservesGuarantee reports whether a team's guarantee still covers as much of the
// team's urgent work if a run is stopped too, with its gang. That holds for a run that is
// not covered, and for one whose place other urgent work of the team takes.
func (p *placementPass) preservesGuarantee(v *victim, set *victimSet) bool {
	team, key := v.job.Team, v.step.unitKey(v.run.ID)
	if set.released[key] {
		return true
	}
	before := p.coverageOf(team)
	if set.replaced[team] {
		fresh := p.cover(team, set.released, RunID{})
		before = &fresh
	}
	if !before.covered[key] {
		return true
	}
	guarantee := p.usage.guarantees[team]
	if !set.mayReplace || before.whole || v.step.stopDemand().within(guarantee) == (Resources{}) {
		return false
	}
	after := p.cover(team, set.released, key)
	return before.total.within(guarantee).Fits(after.total)
}

// isCovered reports whether a run is urgent and its team's guarantee covers it.
func (p *placementPass) isCovered(v *victim) bool {
	return v.job.Policy.Priority == 0 && p.coverageOf(v.job.Team).covered[v.step.unitKey(v.run.ID)]
}

// replacedCost is the cost of stopping a covered run beside its stopCost. It exceeds the
// cost of the other runs on a worker.
const replacedCost = 1e15

func (p *placementPass) replacementCost(chosen []*victim) float64 {
	cost := 0.0
	for _, v := range chosen {
		if p.isCovered(v) {
			cost += replacedCost
		}
	}
	return cost
}

// within returns the resources that a guarantee limits, and 0 for the others.
func (r Resources) within(guarantee Resources) Resources {
	if guarantee.CPU == 0 {
		r.CPU = 0
	}
	if guarantee.Memory == 0 {
		r.Memory = 0
	}
	if guarantee.Accelerators == 0 {
		r.Accelerators = 0
	}
	return r
}
