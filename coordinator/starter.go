package coordinator

import (
	"context"
	"errors"
	"net"
	"time"

	"cranberrystack.dev/cranberrystack/scheduler"
)

const (
	maxStartCalls = 3
	// maxUnsentCalls is the number of failed attempts to reach a worker after which
	// its run is placed again elsewhere.
	maxUnsentCalls = 2
	// maxConnectionWait bounds how long a start waits for a connection of this
	// instance before its run is placed again.
	maxConnectionWait  = 3 * time.Second
	unsentRetryDelay   = 20 * time.Millisecond
	maxOrphanStopCalls = 4
	stopRetryDelay     = 250 * time.Millisecond
	// delayedStart is how long a start may wait for the leader lease before the wait is
	// logged.
	delayedStart = time.Second
	// stopResendDelay is the time after which an accepted stop is sent again if
	// its run is still alive.
	stopResendDelay = time.Second
)

// startRun orders a worker to start a run, and repeats the order if there is no
// response. A start that remains unanswered is stopped; poll results then show
// whether the run was started.
func (c *Coordinator) startRun(lead *leadership, run scheduler.Run, to Destination, spec string) {
	began := time.Now()
	unsent := 0
	for calls := 0; calls < maxStartCalls && unsent < maxUnsentCalls; {
		order, proceed := c.nextStartOrder(lead, run, spec)
		if !proceed {
			break
		}
		ctx, cancel := context.WithTimeout(lead.ctx, c.options.callTimeout)
		answer, err := c.config.Orders.Start(ctx, to, order)
		cancel()
		switch {
		case err == nil:
			c.handleStartAnswer(lead, run, answer)
			return
		case !errors.Is(err, ErrNotSent):
			calls++
			c.handleUnansweredStart(lead, run, err)
			continue
		case !errors.Is(err, ErrNoConnection):
			unsent++
		}
		c.handleUnsentStart(lead, run, err)
		if time.Since(began) >= maxConnectionWait {
			break
		}
		sleepContext(lead.ctx, unsentRetryDelay)
	}
	c.abandonStart(lead, run, unsent > 0)
}

// handleUnsentStart counts a start that was not sent, which therefore is not
// unanswered.
func (c *Coordinator) handleUnsentStart(lead *leadership, run scheduler.Run, err error) {
	c.config.Recorder.Add("starts.unsent", 1)
	if lead.ctx.Err() == nil {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.runEvent("start-unsent", run.ID, run.Worker, "", "error", unsentReason(err))
	}
}

// unsentReason describes why an order was not sent, in the same words for all workers.
func unsentReason(err error) string {
	var dial *net.OpError
	switch {
	case errors.Is(err, ErrNoConnection):
		return "this instance has no connection left"
	case errors.As(err, &dial):
		return "the worker can't be reached"
	case errors.Is(err, context.DeadlineExceeded):
		return "no connection to the worker was free in time"
	}
	return "the worker can't be reached"
}

// nextStartOrder prepares the next order to start a run. The last result is false if the
// run must not be started any more.
func (c *Coordinator) nextStartOrder(lead *leadership, run scheduler.Run, spec string) (StartOrder, bool) {
	asked := time.Now()
	if !c.lockLeased(lead) {
		return StartOrder{}, false
	}
	defer c.mu.Unlock()
	attempt := lead.attempts[run.ID]
	job := c.state.Job(run.ID.Task.Job)
	if attempt == nil || c.state.Run(run.ID) == nil || job == nil || !job.Active() || lead.givenUp[run.ID] || lead.observer.Stopping(&run) {
		return StartOrder{}, false
	}
	now := time.Now()
	observation := lead.observer.Track(run.Worker, run.Incarnation, now)
	if observation.Incarnation != run.Incarnation {
		return StartOrder{}, false
	}
	if reason := c.withholdReason(lead, c.state.Worker(run.Worker), now); reason != "" {
		c.runEvent("start-withheld", run.ID, run.Worker, "", "reason", reason)
		return StartOrder{}, false
	}
	if waited := now.Sub(asked); waited >= delayedStart {
		c.event("start-delayed", "run", run.ID, "worker", run.Worker, "waited-ms", waited.Milliseconds(), "term", uint64(lead.fencingToken))
	}
	deadline := observation.RenewLease(c.options.startLease, now)
	attempt.Deadline = max(attempt.Deadline, deadline)
	attempt.SentAt = now
	return StartOrder{
		Run: run.ID, Spec: spec, Deadline: deadline, FencingToken: lead.fencingToken,
		Checkpoint: run.Checkpoint, Ticket: run.Ticket, Urgency: job.Policy.Priority,
	}, true
}

// withholdReason returns why no start may be sent to a worker, or "" if it may. The
// worker may be nil. The caller holds mu.
func (c *Coordinator) withholdReason(lead *leadership, worker *scheduler.Worker, now time.Time) string {
	switch {
	case worker == nil || c.state.Overcommitted(worker) || !lead.observer.KnowsCapacity(c.state, worker, now):
		return "capacity has shrunk or is unknown"
	case worker.State != scheduler.WorkerReady:
		return "worker is leaving"
	case c.state.InEmptiedDataCenter(worker):
		return "data centre is emptied"
	}
	return ""
}

func (c *Coordinator) handleUnansweredStart(lead *leadership, run scheduler.Run, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if attempt := lead.attempts[run.ID]; attempt != nil && attempt.Started.IsZero() {
		attempt.Unanswered = true
	}
	lead.observer.RecordUnansweredStart(&run, time.Now())
	if lead.ctx.Err() == nil {
		c.event("start-unanswered", "run", run.ID, "worker", run.Worker, "error", err)
	}
}

func (c *Coordinator) handleStartAnswer(lead *leadership, run scheduler.Run, answer OrderAnswer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if answer.Refusal == NotRefused && c.state.Run(run.ID) == nil {
		c.event("lost-run-alive", "run", run.ID, "worker", run.Worker, "incarnation", int64(run.Incarnation), "term", uint64(lead.fencingToken))
		// No run may be placed on the worker, so that no poll would find this one.
		if worker := c.state.Worker(run.Worker); worker != nil && c.lead == lead {
			c.stopOrphanedRun(lead, worker, run.ID)
		}
	}
	attempt := lead.attempts[run.ID]
	if attempt == nil || c.lead != lead {
		return
	}
	attempt.CallsInFlight = 0
	now := time.Now()
	observation := lead.observer.Track(run.Worker, run.Incarnation, now)
	recordAnswer(observation, &run, answer, now)
	if answer.Refusal == NotRefused {
		attempt.Started = now
		attempt.Unanswered = false
		c.ensurePolling(run.Worker)
		return
	}
	c.event("start-refused", "run", run.ID, "worker", run.Worker, "reason", answer.Refusal, "term", uint64(lead.fencingToken))
	switch answer.Refusal {
	case RefusedUnhealthy, RefusedCapacity:
		observation.BackOffUntil(now.Add(refusalBackoff))
	case RefusedTicket:
		lead.observer.RecordRefusedTicket(&run, now)
	}
	if answer.Refusal == RefusedStaleRun {
		// The run may have started and ended; the next poll result lists its end.
		attempt.Refused = now
		c.ensurePolling(run.Worker)
		return
	}
	if attempt.Unanswered || !attempt.Started.IsZero() {
		c.orderStop(scheduler.Stop{Run: run.ID, Cause: scheduler.CauseUnanswered, Reason: "an earlier start has no answer"}, now)
		return
	}
	drop := &scheduler.Drop{Runs: []scheduler.RunID{run.ID}, Reason: string(answer.Refusal), NotStarted: true}
	c.repeatDrop(lead, run.ID, c.proposeDrop(lead, drop))
}

// recordAnswer records the contact by the answer to an order about a run, unless it may be
// of another process than the observed one, whose clock is another one too.
func recordAnswer(observation *scheduler.WorkerObservation, run *scheduler.Run, answer OrderAnswer, now time.Time) {
	if observation.Incarnation == run.Incarnation && answer.Refusal != RefusedOtherIncarnation {
		observation.RecordContact(answer.Clock, now)
	}
}

// refusalBackoff is how long a worker gets no new runs after it refused a start
// as unhealthy or for lack of capacity, responded to none of a start's calls, or did not
// start a member of a gang in time.
const refusalBackoff = time.Second

// abandonStart gives up a start that was never answered. unreachable says that the
// worker could not be reached.
func (c *Coordinator) abandonStart(lead *leadership, run scheduler.Run, unreachable bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	attempt := lead.attempts[run.ID]
	if attempt == nil || c.lead != lead || c.state.Run(run.ID) == nil {
		return
	}
	attempt.CallsInFlight = 0
	now := time.Now()
	if unreachable {
		lead.observer.Track(run.Worker, run.Incarnation, now).RecordUnreachable(now)
	}
	if !attempt.Unanswered && attempt.Started.IsZero() {
		c.repeatDrop(lead, run.ID, c.dropUnstarted(lead, []scheduler.RunID{run.ID}))
		return
	}
	if attempt.Started.IsZero() {
		lead.observer.Track(run.Worker, run.Incarnation, now).BackOffUntil(now.Add(refusalBackoff))
		c.orderStop(scheduler.Stop{Run: run.ID, Cause: scheduler.CauseUnanswered, Reason: "start has no answer"}, now)
		c.wakeLoop()
	}
	c.ensurePolling(run.Worker)
}

// orderStop begins to send a stop of a run, unless it is being stopped already.
// The caller holds mu.
func (c *Coordinator) orderStop(stop scheduler.Stop, now time.Time) {
	lead := c.lead
	id := stop.Run
	run := c.state.Run(id)
	if run == nil || lead == nil {
		return
	}
	observation := lead.observer.Track(run.Worker, run.Incarnation, now)
	if _, stopping := observation.Stopping[id]; stopping {
		return
	}
	observation.Stopping[id] = now
	if lead.attempts[id] == nil {
		lead.attempts[id] = &scheduler.StartAttempt{}
	}
	lead.recordStop(id, stop.Reason)
	c.config.Recorder.Add("stops."+string(stop.Cause), 1)
	c.runEvent("stop-ordered", id, run.Worker, "", "cause", stop.Cause, "reason", stop.Reason, "term", uint64(lead.fencingToken))
	c.ensurePolling(run.Worker)
	go c.stopRun(lead, *run)
}

// maxStopEvents bounds the stop events that are retained of a job; later ones are
// dropped.
const maxStopEvents = 40

// recordStop adds the reason for a stop to the events that explain shows.
func (l *leadership) recordStop(id scheduler.RunID, reason string) {
	events := l.stopEvents[id.Task.Job]
	if len(events) >= maxStopEvents {
		return
	}
	l.stopEvents[id.Task.Job] = append(events, scheduler.JobEvent{At: wallTime(), Text: id.String() + " is stopped: " + reason})
}

// stopRun repeats a stop until the worker accepts it, the run is no longer placed,
// or the leadership ends.
func (c *Coordinator) stopRun(lead *leadership, run scheduler.Run) {
	for {
		to, proceed := c.stopTarget(lead, run)
		if !proceed {
			return
		}
		ctx, cancel := context.WithTimeout(lead.ctx, c.options.callTimeout)
		answer, err := c.config.Orders.Stop(ctx, to, RunOrder{Run: run.ID, FencingToken: lead.fencingToken})
		cancel()
		if err == nil && answer.Refusal == NotRefused {
			c.handleStopAnswer(lead, run, answer)
			return
		}
		c.recordFailedStop(lead, run, answer, err)
		sleepContext(lead.ctx, stopRetryDelay)
	}
}

// recordFailedStop logs a stop that was not accepted and is going to be repeated.
func (c *Coordinator) recordFailedStop(lead *leadership, run scheduler.Run, answer OrderAnswer, err error) {
	if lead.ctx.Err() != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case err == nil:
		c.runEvent("stop-refused", run.ID, run.Worker, "", "reason", answer.Refusal)
	case errors.Is(err, ErrNotSent):
		c.runEvent("stop-unsent", run.ID, run.Worker, "", "error", unsentReason(err))
	default:
		c.runEvent("stop-unanswered", run.ID, run.Worker, "")
	}
}

func (c *Coordinator) stopTarget(lead *leadership, run scheduler.Run) (Destination, bool) {
	if !c.lockLeased(lead) {
		return Destination{}, false
	}
	defer c.mu.Unlock()
	worker := c.state.Worker(run.Worker)
	if worker == nil || c.state.Run(run.ID) == nil {
		return Destination{}, false
	}
	return Destination{Worker: worker.ID, Address: worker.Address}, true
}

func (c *Coordinator) handleStopAnswer(lead *leadership, run scheduler.Run, answer OrderAnswer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	recordAnswer(lead.observer.Track(run.Worker, run.Incarnation, now), &run, answer, now)
	if attempt := lead.attempts[run.ID]; attempt != nil {
		attempt.Stopped = now
	}
}

// resendStop sends a stop again if it was accepted stopResendDelay ago and the
// run is still alive. The caller holds mu.
func (c *Coordinator) resendStop(lead *leadership, observation *scheduler.WorkerObservation, run *scheduler.Run, attempt *scheduler.StartAttempt, now time.Time) {
	if attempt.Stopped.IsZero() || now.Sub(attempt.Stopped) < stopResendDelay {
		return
	}
	c.event("stop-resent", "run", run.ID, "worker", run.Worker)
	attempt.Stopped = time.Time{}
	observation.Stopping[run.ID] = now
	go c.stopRun(lead, *run)
}

// stopUnansweredStarts sends stops for the unanswered starts that may still reach
// a worker's new incarnation, so that it refuses the starts. The caller holds mu.
func (c *Coordinator) stopUnansweredStarts(worker *scheduler.Worker, now time.Time) {
	for _, id := range c.lead.observer.UnansweredStarts(worker.ID, now) {
		if run := c.state.Run(id); run != nil && run.Incarnation == worker.Incarnation {
			continue
		}
		c.stopOrphanedRun(c.lead, worker, id)
	}
}

// stopOrphanedRun stops a run that the state does not place on the worker, with
// at most maxOrphanStopCalls calls. The caller holds mu.
func (c *Coordinator) stopOrphanedRun(lead *leadership, worker *scheduler.Worker, id scheduler.RunID) {
	c.event("orphaned-run", "run", id, "worker", worker.ID, "term", uint64(lead.fencingToken))
	to := Destination{Worker: worker.ID, Address: worker.Address}
	go func() {
		for range maxOrphanStopCalls {
			ctx, cancel := context.WithTimeout(lead.ctx, c.options.callTimeout)
			answer, err := c.config.Orders.Stop(ctx, to, RunOrder{Run: id, FencingToken: lead.fencingToken})
			cancel()
			if err == nil && answer.Refusal == NotRefused || lead.ctx.Err() != nil {
				return
			}
		}
	}()
}
