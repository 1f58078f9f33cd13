package placer

import (
	"sort"
	"time"
)

// accumulation keeps free accelerators for the gang that has waited longest, so
// that smaller jobs do not take each one as it becomes free.
type accumulation struct {
	gang *Job
	// free is the number of accelerators that are free now.
	free int
	// expectedAt is when enough accelerators are expected to be free.
	expectedAt time.Time
}

// admits reports whether a job that ends at the given time may start without
// delaying the gang.
func (a *accumulation) admits(job *Job, end time.Time) bool {
	if a == nil || job == a.gang {
		return true
	}
	return a.free-job.Spec.Shape.Total() >= a.gang.Spec.Shape.Total() || !end.After(a.expectedAt)
}

func (a *accumulation) consume(job *Job) {
	if a != nil {
		a.free -= job.Spec.Shape.Total()
	}
}

// accumulateForGangs tries, for each accelerator type, to start the gang that
// has waited longest or to free capacity for it. If neither succeeds and too few
// accelerators are free, they accumulate for the gang; if enough are free, a
// placement is reserved.
func (e *Engine) accumulateForGangs(jobs []*Job, now time.Time) map[string]*accumulation {
	accumulations := map[string]*accumulation{}
	gangs := e.longestWaiting(jobs, now)
	e.endIdleAccumulations(gangs, now)
	for _, gang := range gangs {
		accelerator := gang.Spec.Accelerator
		current := e.cooldowns[accelerator]
		if e.startBorrower(gang, now) || e.compact(gang, now) {
			e.cooldowns[accelerator] = current.end(now)
			continue
		}
		if now.Before(current.until) {
			continue
		}
		e.cooldowns[accelerator] = current.begin(now)
		free := totalFree(e.freeSlots(accelerator, gang, now))
		if free >= gang.Spec.Shape.Total() {
			e.reserve(gang, now)
			continue
		}
		accumulations[accelerator] = &accumulation{gang: gang, free: free, expectedAt: e.estimateStart(gang, free, now)}
	}
	return accumulations
}

// endIdleAccumulations ends the accumulations of accelerator types for which no
// gang waits.
func (e *Engine) endIdleAccumulations(gangs []*Job, now time.Time) {
	waiting := map[string]bool{}
	for _, gang := range gangs {
		waiting[gang.Spec.Accelerator] = true
	}
	for accelerator, c := range e.cooldowns {
		if !waiting[accelerator] {
			e.cooldowns[accelerator] = c.end(now)
		}
	}
}

// longestWaiting returns, for each accelerator type, the gang that has waited
// longest, if it has waited for at least the time set by ReserveAfter.
func (e *Engine) longestWaiting(jobs []*Job, now time.Time) []*Job {
	var gangs []*Job
	seen := map[string]bool{}
	for _, job := range e.queue {
		if now.Sub(job.Submitted) < e.options.reserveAfter {
			break
		}
		accelerator := job.Spec.Accelerator
		if job.Spec.Shape.Total() < 2 || seen[accelerator] || !e.withinLimits(job) || !containsJob(jobs, job) {
			continue
		}
		seen[accelerator] = true
		gangs = append(gangs, job)
	}
	return gangs
}

func containsJob(jobs []*Job, job *Job) bool {
	for _, other := range jobs {
		if other == job {
			return true
		}
	}
	return false
}

// estimateStart estimates when enough accelerators will be free for a gang,
// from the expected ends of the running jobs.
func (e *Engine) estimateStart(gang *Job, free int, now time.Time) time.Time {
	if e.lastEstimate.gang == gang && now.Before(e.lastEstimate.validUntil) {
		return e.lastEstimate.startAt
	}
	type ending struct {
		at   time.Time
		free int
	}
	var endings []ending
	for _, job := range e.active.list {
		if job.Spec.Accelerator == gang.Spec.Accelerator {
			endings = append(endings, ending{e.expectedEnd(job, now), job.Spec.Shape.Total()})
		}
	}
	sort.Slice(endings, func(i, j int) bool { return endings[i].at.Before(endings[j].at) })
	at := now
	for _, next := range endings {
		if free >= gang.Spec.Shape.Total() {
			break
		}
		free += next.free
		at = next.at
	}
	e.lastEstimate = startEstimate{gang: gang, startAt: at, validUntil: now.Add(searchInterval)}
	return at
}

// startEstimate caches a result of estimateStart until validUntil.
type startEstimate struct {
	gang       *Job
	startAt    time.Time
	validUntil time.Time
}

// cooldownFactor is the length of a cooldown as a multiple of the accumulation
// before it. During a cooldown small jobs start freely, which bounds their loss
// when there is more work than the pool can run.
const cooldownFactor = 3

// cooldown limits how often capacity accumulates for gangs.
type cooldown struct {
	// since is when the current accumulation began, zero if there is none.
	since time.Time
	// until is when the next accumulation may begin.
	until time.Time
}

func (c cooldown) begin(now time.Time) cooldown {
	if c.since.IsZero() {
		c.since = now
	}
	return c
}

func (c cooldown) end(now time.Time) cooldown {
	if c.since.IsZero() {
		return c
	}
	return cooldown{until: now.Add(cooldownFactor * now.Sub(c.since))}
}
