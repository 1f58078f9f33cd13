package scheduler

import (
	"cmp"
	"slices"
	"time"

	"cranberrystack.dev/cranberrystack/identifier"
)

const (
	// firstAdviceWorkers and maxAdviceWorkers bound the workers that the first and any
	// later request for a step names.
	firstAdviceWorkers = 30
	maxAdviceWorkers   = 100
	// maxAdviceMillis bounds the part of a request's duration that grows with the
	// workers that it names, unless the fixed part is longer.
	maxAdviceMillis = 1000
)

// AdviceRequest asks which workers may run a step.
type AdviceRequest struct {
	Step    StepID
	Workers []identifier.WorkerID
	// Expected is how long the response takes and Valid how long its tickets are valid,
	// according to the catalog; 0 if the catalog does not say.
	Expected, Valid time.Duration
	// incarnations holds those of the workers at the time of the request.
	incarnations []UnixMilli
}

// AdviceResponse is the response to an AdviceRequest.
type AdviceResponse struct {
	// Tickets holds the texts of the tickets for the workers that are allowed.
	Tickets map[identifier.WorkerID]string
	// ValidMillis is how long the tickets are valid; 0 for as long as the request says.
	ValidMillis int64
}

// maxWorkers returns how many workers a request names, at least 1. The response must
// leave a part of the tickets' validity for the starts.
func (a *Advice) maxWorkers(first bool) int {
	most := int64(maxAdviceWorkers)
	if first {
		most = firstAdviceWorkers
	}
	if a == nil || a.PeriodMillis <= 0 {
		return int(most)
	}
	decide := max(0, a.DecideMillis)
	spare := max(decide, maxAdviceMillis)
	if a.ValidMillis > decide {
		spare = min(spare, (a.ValidMillis-decide)/2)
	}
	return int(max(1, min(most, spare/a.PeriodMillis)))
}

// expected returns how long a request that names a number of workers takes.
func (a *Advice) expected(workers int) time.Duration {
	if a == nil {
		return 0
	}
	return adviceDuration(a.DecideMillis) + adviceDuration(a.PeriodMillis)*time.Duration(workers)
}

// valid returns how long tickets are valid.
func (a *Advice) valid() time.Duration {
	if a == nil {
		return 0
	}
	return adviceDuration(a.ValidMillis)
}

// adviceDuration converts a time that was not checked.
func adviceDuration(millis int64) time.Duration {
	return time.Duration(min(max(0, millis), time.Hour.Milliseconds())) * time.Millisecond
}

// advice returns the times of the advice for a job's queue, or nil if they are not
// known.
func (s *State) advice(job *Job) *Advice {
	if queue := s.catalog.Queue(job.Queue); queue != nil {
		return queue.Advice
	}
	return nil
}

// NextAdviceRequest returns the request to send next for one of the steps. It prefers
// the step whose last request is the oldest if inTurn is set, and otherwise the one
// with the lowest Priority value whose job was accepted first. It returns false if no
// worker needs to be named for any of them.
func (s *State) NextAdviceRequest(o *Observer, steps []StepID, inTurn bool, now time.Time, wall UnixMilli) (AdviceRequest, bool) {
	steps = slices.Clone(steps)
	slices.SortFunc(steps, func(a, b StepID) int {
		order := 0
		if inTurn {
			order = o.adviceRequested(a).Compare(o.adviceRequested(b))
		}
		return cmp.Or(order, s.compareSteps(a, b))
	})
	pass := newPlacementPass(s, o, now, wall)
	for _, step := range steps {
		if request := pass.adviceRequest(step); len(request.Workers) > 0 {
			return request, true
		}
	}
	return AdviceRequest{}, false
}

// compareSteps orders the steps for which advice is wanted: those of unknown jobs come
// first, then those of lower Priority values, then those of jobs accepted earlier.
func (s *State) compareSteps(a, b StepID) int {
	first, second := s.jobs[a.Job], s.jobs[b.Job]
	switch {
	case first == nil && second == nil:
		return 0
	case first == nil:
		return -1
	case second == nil:
		return 1
	}
	return cmp.Or(cmp.Compare(first.Policy.Priority, second.Policy.Priority), cmp.Compare(first.Accepted, second.Accepted),
		cmp.Compare(a.Job, b.Job), cmp.Compare(a.Occurrence, b.Occurrence), cmp.Compare(a.Step, b.Step))
}

// adviceRequest returns the next request for a step, which names workers of the most
// useful class. It names none if the step's job is not active or if nothing can be learned
// that would let a task start.
func (p *placementPass) adviceRequest(id StepID) AdviceRequest {
	job := p.state.active[id.Job]
	if job == nil || id.Occurrence >= len(job.Occurrences) || id.Step >= len(job.Request.Steps) {
		return AdviceRequest{}
	}
	u := &unit{
		job: job, occurrence: id.Occurrence, stepIndex: id.Step, step: &job.Request.Steps[id.Step],
		state: &job.Occurrences[id.Occurrence].Steps[id.Step],
	}
	u.setRank(p.wall)
	var named []*candidate
	best := adviceUseless
	for _, c := range p.candidates {
		class := p.adviceClass(u, c)
		if class < best {
			best, named = class, named[:0]
		}
		if class == best && class != adviceUseless {
			named = append(named, c)
		}
	}
	slices.SortStableFunc(named, func(a, b *candidate) int { return cmp.Compare(a.rack, b.rack) })
	advice := p.state.advice(job)
	first := p.observer.adviceRequested(id).IsZero()
	named = named[:min(len(named), advice.maxWorkers(first))]
	request := AdviceRequest{Step: id, Expected: advice.expected(len(named)), Valid: advice.valid()}
	for _, c := range named {
		request.Workers = append(request.Workers, c.worker.ID)
		request.incarnations = append(request.incarnations, c.worker.Incarnation)
	}
	return request
}

// wantsAdvice reports whether a request for advice may help a unit of which tasks still
// wait.
func (p *placementPass) wantsAdvice(u *unit) bool {
	if len(u.moving) > 0 && !p.hasRoom(u) {
		return false
	}
	return slices.ContainsFunc(p.candidates, func(c *candidate) bool { return p.adviceClass(u, c) != adviceUseless })
}

// adviceClass says how useful it is to name a worker in a request; lower is better.
type adviceClass int

const (
	// adviceKnown is a worker that has room and is known to be allowed.
	adviceKnown adviceClass = iota
	// adviceNew is a worker with room that was not named yet, and adviceNewFull one
	// without room.
	adviceNew
	adviceNewFull
	// adviceKnownFull is a worker that is known to be allowed, where a run might be
	// preempted.
	adviceKnownFull
	// adviceRemote is a worker that was not named yet, in another rack than that of the
	// step's data.
	adviceRemote
	// adviceDenied is a worker that was not allowed denialLifetime ago.
	adviceDenied
	// adviceUseless is a worker of which enough is known, or that can't run the step now.
	adviceUseless
)

func (p *placementPass) adviceClass(u *unit, c *candidate) adviceClass {
	if !u.mayEverRun(c.worker) {
		return adviceUseless
	}
	known, named := p.observer.verdict(u.id(), c.worker)
	hasRoom := u.step.Demand().Fits(c.free) && (u.step.SpreadLimit == 0 || c.runsOfStep[u.id()] < u.step.SpreadLimit)
	remote := u.step.DataRack != "" && u.step.DataRack != c.rack
	switch {
	case named && p.now.Before(known.renewAt):
		return adviceUseless
	case named && !hasRoom && !u.mayPreempt:
		return adviceUseless
	case named && !known.allowed:
		return adviceDenied
	case remote && !named:
		return adviceRemote
	case named && hasRoom:
		return adviceKnown
	case named:
		return adviceKnownFull
	case hasRoom:
		return adviceNew
	}
	return adviceNewFull
}
