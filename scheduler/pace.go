package scheduler

const (
	// costTooSlow is the least cost of a worker on which a unit would miss its
	// objective. It outweighs the terms for the position of the rack and for the
	// capacity left over, at most 7 together, and nothing else.
	costTooSlow = 20
	// maxGangSlowCost bounds the cost of a whole gang that is too slow. It stays below
	// costQuiet: a gang with a member that does not respond does not run at all.
	maxGangSlowCost = 140
	// weightPace is the cost of a difference in pace of 1. Between paces of 1 and 0.55
	// it makes 7.2, just more than the terms for racks and capacity left over.
	weightPace = 16
	// slackShare is the share of its slack that a unit may lose on a slow worker.
	slackShare = 0.5
	// likePaces is the ratio up to which the paces of a gang's members are alike.
	likePaces = 1.25
)

// paceRule says how the pace of a worker counts for a unit. The zero value disregards
// it.
type paceRule struct {
	active bool
	// needed is the pace that the unit needs; slower workers come after all others.
	needed float64
	// prefersSlow says that among workers of the needed pace the slower ones come
	// first, and not the faster ones.
	prefersSlow bool
}

// cost rates a worker by its pace; lower is better.
func (r paceRule) cost(pace float64) float64 {
	if !r.active {
		return 0
	}
	cost := r.slowCost(pace)
	if r.prefersSlow {
		return cost + weightPace*pace
	}
	return cost + weightPace*(maxPace-pace)
}

// slowCost is the part of the cost for a worker that is slower than needed.
func (r paceRule) slowCost(pace float64) float64 {
	if !r.active || pace >= r.needed {
		return 0
	}
	return costTooSlow * (1 + 0.5*(1-pace/r.needed))
}

// paceRule returns how pace counts for a unit. Urgent work and gangs prefer fast
// workers and avoid those on which they would miss their objective. Other work prefers
// the slowest workers on which it keeps half of its slack, so that fast ones stay free;
// without slack, it avoids slow workers as long as it can meet its objective at all.
func (p *placementPass) paceRule(u *unit) paceRule {
	if !p.unevenPaces || !u.step.hasRunTime() {
		return paceRule{}
	}
	expected := p.observer.runTimes.of(u.job, u.stepIndex)
	work := float64(expected.mean)
	available := float64(int64(u.job.objectiveTime(u.occurrence)-p.wall) - expected.after)
	if work <= 0 {
		return paceRule{}
	}
	slack := available - work
	if u.job.Policy.Priority > 0 && slack > 0 {
		return paceRule{active: true, needed: work / (work + slackShare*slack), prefersSlow: true}
	}
	reachable := available > 0 && work/available <= p.fastestPace
	switch {
	case reachable:
		return paceRule{active: true, needed: work / available}
	case u.job.Policy.Priority == 0 || u.step.Gang:
		return paceRule{active: true}
	}
	return paceRule{}
}

// slowdownCost returns the work in core-milliseconds that a unit loses by the pace of a
// candidate, the unit of what preemption costs. All members of a gang wait for the
// slowest.
func (p *placementPass) slowdownCost(u *unit, c *candidate) float64 {
	if !u.pace.active || c.pace >= 1 {
		return 0
	}
	lost := float64(p.observer.runTimes.meanMillis(u.job, u.stepIndex)) * (1/c.pace - 1) * u.step.Demand().Cores()
	if u.step.Gang {
		lost *= float64(u.step.Width)
	}
	return lost
}

// fitLikePaces returns candidates of like pace for the tasks of a gang, as far as there
// are any, or nil if some task does not fit. If the gang has to take a slow member, the
// others are chosen among the slow ones too, since they would wait for it.
func (p *placementPass) fitLikePaces(u *unit, candidates []*candidate, kind capacityKind) []*candidate {
	chosen := p.fitTasks(u, candidates, kind)
	if !u.pace.active || chosen == nil || alike(chosen) {
		return chosen
	}
	rule := u.pace
	defer func() { u.pace = rule }()
	if rule.prefersSlow {
		u.pace.prefersSlow = false
		if chosen = p.fitTasks(u, candidates, kind); chosen == nil || alike(chosen) {
			return chosen
		}
	}
	slowest, _ := paceRange(chosen)
	u.pace = paceRule{active: true, needed: slowest / likePaces, prefersSlow: true}
	return p.fitTasks(u, candidates, kind)
}

// paceRange returns the lowest and the highest pace of some candidates.
func paceRange(candidates []*candidate) (slowest, fastest float64) {
	slowest, fastest = candidates[0].pace, candidates[0].pace
	for _, c := range candidates[1:] {
		slowest, fastest = min(slowest, c.pace), max(fastest, c.pace)
	}
	return slowest, fastest
}

// alike reports whether the paces of some candidates hardly differ.
func alike(candidates []*candidate) bool {
	slowest, fastest := paceRange(candidates)
	return fastest <= likePaces*slowest
}

// gangSlowCost returns the cost of a gang whose slowest member is slower than needed.
// It counts once for the gang, weighted like the costs that each member adds.
func (u *unit) gangSlowCost(candidates []*candidate) float64 {
	if !u.pace.active {
		return 0
	}
	slowest, _ := paceRange(candidates)
	return min(maxGangSlowCost, u.pace.slowCost(slowest)*float64(len(candidates)))
}

// copyRule returns how pace counts for a copy: workers that are faster than that of the
// first run come first.
func (p *placementPass) copyRule(first *Run) paceRule {
	if !p.unevenPaces {
		return paceRule{}
	}
	const faster = 1.01
	return paceRule{active: true, needed: faster * p.observer.runTimes.paceOfRun(first)}
}
