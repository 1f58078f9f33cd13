package scheduler

import (
	"cmp"
	"time"

	"cranberrystack.dev/cranberrystack/identifier"
)

const (
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
