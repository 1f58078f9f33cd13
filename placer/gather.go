package placer

import (
	"sort"
	"time"
)

// gathering collects free accelerators for the gang that has waited longest,
// so that smaller jobs do not take each piece as it becomes free.
type gathering struct {
	gang *Job
	// free counts the accelerators that are free now.
	free int
	// until is when enough are expected to be free.
	until time.Time
}

// leaves reports whether a job that ends at a time may start without making
// the gang wait longer.
func (g *gathering) leaves(job *Job, end time.Time) bool {
	if g == nil || job == g.gang {
		return true
	}
	return g.free-job.Spec.Shape.Total() >= g.gang.Spec.Shape.Total() || !end.After(g.until)
}

func (g *gathering) take(job *Job) {
	if g != nil {
		g.free -= job.Spec.Shape.Total()
	}
}

// gatherForGangs begins with the gang that has waited longest for each kind of
// accelerator. If it can neither start nor have room made, the free
// accelerators are gathered for it, as long as there are too few.
func (e *Engine) gatherForGangs(jobs []*Job, now time.Time) map[string]*gathering {
	gatherings := map[string]*gathering{}
	gangs := e.longestWaiting(jobs, now)
	e.endIdleGatherings(gangs, now)
	for _, gang := range gangs {
		accelerator := gang.Spec.Accelerator
		rest := e.rests[accelerator]
		if e.startBorrower(gang, now) || e.compact(gang, now) {
			e.rests[accelerator] = rest.ended(now)
			continue
		}
		if now.Before(rest.until) {
			continue
		}
		e.rests[accelerator] = rest.began(now)
		free := freeTotal(e.freeSlots(accelerator, gang, now))
		if free >= gang.Spec.Shape.Total() {
			e.reserve(gang, now)
			continue
		}
		gatherings[accelerator] = &gathering{gang: gang, free: free, until: e.enoughAt(gang, free, now)}
	}
	return gatherings
}

// endIdleGatherings ends those for whose kind of accelerator no gang waits.
func (e *Engine) endIdleGatherings(gangs []*Job, now time.Time) {
	waiting := map[string]bool{}
	for _, gang := range gangs {
		waiting[gang.Spec.Accelerator] = true
	}
	for accelerator, r := range e.rests {
		if !waiting[accelerator] {
			e.rests[accelerator] = r.ended(now)
		}
	}
}

// longestWaiting returns for each kind of accelerator the gang that has waited
// longest, if that is long enough.
func (e *Engine) longestWaiting(jobs []*Job, now time.Time) []*Job {
	var gangs []*Job
	seen := map[string]bool{}
	for _, job := range e.queue {
		if now.Sub(job.Submitted) < e.options.reserveAfter {
			break
		}
		accelerator := job.Spec.Accelerator
		if job.Spec.Shape.Total() < 2 || seen[accelerator] || !e.withinLimits(job) || !among(jobs, job) {
			continue
		}
		seen[accelerator] = true
		gangs = append(gangs, job)
	}
	return gangs
}

func among(jobs []*Job, job *Job) bool {
	for _, other := range jobs {
		if other == job {
			return true
		}
	}
	return false
}

// enoughAt estimates when enough accelerators are free for a gang, by the
// learnt run times of what runs.
func (e *Engine) enoughAt(gang *Job, free int, now time.Time) time.Time {
	if e.enough.gang == gang && now.Before(e.enough.again) {
		return e.enough.at
	}
	type ending struct {
		at   time.Time
		free int
	}
	var endings []ending
	for _, job := range e.running.list {
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
	e.enough = estimate{gang: gang, at: at, again: now.Add(retryInterval)}
	return at
}

// estimate keeps an answer of enoughAt for a while.
type estimate struct {
	gang  *Job
	at    time.Time
	again time.Time
}

// gatherRest is the time that small jobs get after a gathering, as a multiple
// of what it took. It bounds what gathering costs them when there is more work
// than the pool can do.
const gatherRest = 3

// rest is the time between two gatherings.
type rest struct {
	// since is when the present gathering began, zero if there is none.
	since time.Time
	// until is when the next may begin.
	until time.Time
}

func (r rest) began(now time.Time) rest {
	if r.since.IsZero() {
		r.since = now
	}
	return r
}

func (r rest) ended(now time.Time) rest {
	if r.since.IsZero() {
		return r
	}
	return rest{until: now.Add(gatherRest * now.Sub(r.since))}
}
