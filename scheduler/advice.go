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
	// denialLifetime is the time after which a worker that may not run a step is named
	// again, since the adviser may not have known it yet.
	denialLifetime = 30 * time.Second
	// ticketRetryDelay is the shortest time after which an allowed worker is named
	// again.
	ticketRetryDelay = 300 * time.Millisecond
	// maxVerdicts bounds the verdicts of all steps.
	maxVerdicts = 100_000
)

// Ticket allows a step's tasks to start on one incarnation of a worker.
type Ticket struct {
	Text        string
	Incarnation UnixMilli
	Until       time.Time
}

// verdict is what is known about a step on a worker. The ticket of a worker that is not
// allowed has only the incarnation.
type verdict struct {
	Ticket
	allowed bool
	// renewAt is when the worker may be named in a request again.
	renewAt time.Time
}

// stepAdvice is what advice has said about a step.
type stepAdvice struct {
	requested time.Time
	verdicts  map[identifier.WorkerID]verdict
}

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

// verdict returns what is known about a step on the current incarnation of a worker.
func (o *Observer) verdict(step StepID, worker *Worker) (verdict, bool) {
	advice := o.advice[step]
	if advice == nil {
		return verdict{}, false
	}
	known, named := advice.verdicts[worker.ID]
	return known, named && known.Incarnation == worker.Incarnation
}

// ticket returns the ticket for a step on a worker, and whether it is valid.
func (o *Observer) ticket(step StepID, worker *Worker, now time.Time) (Ticket, bool) {
	known, named := o.verdict(step, worker)
	return known.Ticket, named && known.allowed && now.Before(known.Until)
}

// HasValidTicket reports whether a step has a valid ticket for any worker.
func (o *Observer) HasValidTicket(step StepID, now time.Time) bool {
	advice := o.advice[step]
	if advice == nil {
		return false
	}
	for _, known := range advice.verdicts {
		if known.allowed && now.Before(known.Until) {
			return true
		}
	}
	return false
}

// adviceRequested returns when the last request for a step was sent; the zero time if
// there was none.
func (o *Observer) adviceRequested(step StepID) time.Time {
	if advice := o.advice[step]; advice != nil {
		return advice.requested
	}
	return time.Time{}
}

// RecordAdviceRequest records that a request for a step is sent.
func (o *Observer) RecordAdviceRequest(step StepID, now time.Time) {
	if o.advice[step] == nil {
		o.advice[step] = &stepAdvice{verdicts: map[identifier.WorkerID]verdict{}}
	}
	o.advice[step].requested = now
}

// RecordAdvice records the response to a request. Its tickets are valid from when the
// request was sent, or only from now if the validity would already be over.
func (o *Observer) RecordAdvice(request AdviceRequest, response AdviceResponse, sent, now time.Time) {
	o.RecordAdviceRequest(request.Step, sent)
	advice := o.advice[request.Step]
	valid := cmp.Or(adviceDuration(response.ValidMillis), request.Valid)
	until := sent.Add(valid)
	if !until.After(now) {
		until = now.Add(valid)
	}
	for i, worker := range request.Workers {
		known := verdict{Ticket: Ticket{Incarnation: request.incarnations[i]}, renewAt: now.Add(denialLifetime)}
		known.Text, known.allowed = response.Tickets[worker]
		if known.allowed {
			known.Until, known.renewAt = until, now.Add(max(until.Sub(now)/2, ticketRetryDelay))
		}
		advice.verdicts[worker] = known
	}
	o.boundVerdicts(request.Step)
}

// boundVerdicts forgets the advice that was requested the longest time ago, except that
// for one step, until at most maxVerdicts are left.
func (o *Observer) boundVerdicts(except StepID) {
	total := 0
	for _, advice := range o.advice {
		total += len(advice.verdicts)
	}
	for total > maxVerdicts && len(o.advice) > 1 {
		var oldest StepID
		found := false
		for step, advice := range o.advice {
			if step != except && (!found || advice.requested.Before(o.advice[oldest].requested)) {
				oldest, found = step, true
			}
		}
		total -= len(o.advice[oldest].verdicts)
		delete(o.advice, oldest)
	}
}

// RecordRefusedTicket records that a worker refused the ticket of a run.
func (o *Observer) RecordRefusedTicket(run *Run, now time.Time) {
	advice := o.advice[run.ID.Task.StepID()]
	if advice == nil {
		return
	}
	if known := advice.verdicts[run.Worker]; known.allowed && known.Text == run.Ticket && known.Incarnation == run.Incarnation {
		known.Until, known.renewAt = time.Time{}, now.Add(ticketRetryDelay)
		advice.verdicts[run.Worker] = known
	}
}
