package coordinator

import (
	"context"
	"time"

	"cranberrystack.dev/cranberrystack/scheduler"
)

const (
	startTries = 3
	strayTries = 4
	stopPause  = 250 * time.Millisecond
	// restopAfter is when a stop that has been answered is sent again.
	restopAfter = time.Second
)

// start orders a worker to start a run, again if there is no answer. What
// remains open is stopped, and settled by what the worker lists.
func (c *Coordinator) start(lead *leadership, run scheduler.Run, to Destination, spec string) {
	for i := 0; i < startTries; i++ {
		order, proceed := c.startOrder(lead, run, spec)
		if !proceed {
			break
		}
		ctx, cancel := context.WithTimeout(lead.ctx, c.options.callTimeout)
		answer, err := c.config.Orders.Start(ctx, to, order)
		cancel()
		if err == nil {
			c.startAnswered(lead, run, answer)
			return
		}
		c.startUnanswered(lead, run, err)
	}
	c.giveUpStart(lead, run)
}

func (c *Coordinator) startOrder(lead *leadership, run scheduler.Run, spec string) (StartOrder, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	try := lead.tries[run.ID]
	job := c.state.Job(run.ID.Task.Job)
	if !c.rules(lead) || try == nil || c.state.Run(run.ID) == nil || job == nil || !job.Active() || !try.Stopped.IsZero() {
		return StartOrder{}, false
	}
	now := time.Now()
	watch := lead.observer.Track(run.Worker, run.Incarnation, now)
	if watch.Incarnation != run.Incarnation {
		return StartOrder{}, false
	}
	deadline := watch.RenewLease(c.options.startLease, now)
	try.Deadline = max(try.Deadline, deadline)
	return StartOrder{
		Run: run.ID, Spec: spec, Deadline: deadline, Fence: lead.fence,
		Checkpoint: run.Checkpoint, Ticket: run.Ticket,
	}, true
}

func (c *Coordinator) startUnanswered(lead *leadership, run scheduler.Run, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if try := lead.tries[run.ID]; try != nil && try.Started.IsZero() {
		try.Unanswered = true
	}
	lead.observer.RecordUnansweredStart(&run, time.Now())
	if lead.ctx.Err() == nil {
		c.event("start-unanswered", "run", run.ID, "worker", run.Worker, "error", err)
	}
}

func (c *Coordinator) startAnswered(lead *leadership, run scheduler.Run, answer OrderAnswer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	try := lead.tries[run.ID]
	if try == nil || c.lead != lead {
		return
	}
	try.CallsInFlight = 0
	now := time.Now()
	watch := lead.observer.Track(run.Worker, run.Incarnation, now)
	watch.RecordContact(answer.Clock, now)
	if answer.Refusal == NotRefused {
		try.Started = now
		try.Unanswered = false
		c.attend(run.Worker)
		return
	}
	c.event("start-refused", "run", run.ID, "worker", run.Worker, "reason", answer.Refusal, "term", uint64(lead.fence))
	switch answer.Refusal {
	case RefusedUnhealthy, RefusedCapacity:
		watch.BackOffUntil(now.Add(restAfterRefusal))
	case RefusedTicket:
		delete(lead.observer.Tickets, run.ID.Task.StepID())
	}
	if answer.Refusal == RefusedStaleRun {
		// The run may have been there and ended, which the worker lists.
		try.Refused = now
		c.attend(run.Worker)
		return
	}
	if try.Unanswered || !try.Started.IsZero() {
		c.orderStop(scheduler.Stop{Run: run.ID, Cause: scheduler.CauseUnanswered, Reason: "an earlier start has no answer"}, now)
		return
	}
	c.enqueue(lead.fence, scheduler.Command{Drop: &scheduler.Drop{Runs: []scheduler.RunID{run.ID}, Reason: string(answer.Refusal)}})
}

// restAfterRefusal is how long a worker that refused gets no new runs.
const restAfterRefusal = time.Second

func (c *Coordinator) giveUpStart(lead *leadership, run scheduler.Run) {
	c.mu.Lock()
	defer c.mu.Unlock()
	try := lead.tries[run.ID]
	if try == nil || c.lead != lead || c.state.Run(run.ID) == nil {
		return
	}
	try.CallsInFlight = 0
	now := time.Now()
	if !try.Unanswered && try.Started.IsZero() {
		c.dropRuns(lead, []scheduler.RunID{run.ID}, "never sent")
		return
	}
	if try.Started.IsZero() {
		lead.observer.Track(run.Worker, run.Incarnation, now).BackOffUntil(now.Add(restAfterRefusal))
		c.orderStop(scheduler.Stop{Run: run.ID, Cause: scheduler.CauseUnanswered, Reason: "start has no answer"}, now)
	}
	c.attend(run.Worker)
}

// orderStop orders a worker to stop a run until it is known to have ended. The
// caller holds mu.
func (c *Coordinator) orderStop(stop scheduler.Stop, now time.Time) {
	lead := c.lead
	id := stop.Run
	run := c.state.Run(id)
	if run == nil || lead == nil {
		return
	}
	watch := lead.observer.Track(run.Worker, run.Incarnation, now)
	if _, under := watch.Stopping[id]; under {
		return
	}
	watch.Stopping[id] = now
	if lead.tries[id] == nil {
		lead.tries[id] = &scheduler.StartAttempt{}
	}
	lead.noteStop(id, stop.Reason)
	c.config.Recorder.Add("stops."+string(stop.Cause), 1)
	c.event("stop", "run", id, "worker", run.Worker, "cause", stop.Cause, "reason", stop.Reason, "term", uint64(lead.fence))
	c.attend(run.Worker)
	go c.stopRun(lead, *run)
}

// maxStops bounds the stops that are kept of a job.
const maxStops = 40

// noteStop keeps why a run was stopped, for those who ask about its job.
func (l *leadership) noteStop(id scheduler.RunID, reason string) {
	events := l.stops[id.Task.Job]
	if len(events) >= maxStops {
		return
	}
	l.stops[id.Task.Job] = append(events, scheduler.JobEvent{At: wall(), Text: id.String() + " is stopped: " + reason})
}

func (c *Coordinator) stopRun(lead *leadership, run scheduler.Run) {
	for {
		to, proceed := c.stopTarget(lead, run)
		if !proceed {
			return
		}
		ctx, cancel := context.WithTimeout(lead.ctx, c.options.callTimeout)
		answer, err := c.config.Orders.Stop(ctx, to, RunOrder{Run: run.ID, Fence: lead.fence})
		cancel()
		if err == nil && answer.Refusal == NotRefused {
			c.stopAnswered(lead, run, answer)
			return
		}
		pause(lead.ctx, stopPause)
	}
}

func (c *Coordinator) stopTarget(lead *leadership, run scheduler.Run) (Destination, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	worker := c.state.Worker(run.Worker)
	if lead.ctx.Err() != nil || !c.rules(lead) || worker == nil || c.state.Run(run.ID) == nil {
		return Destination{}, false
	}
	return Destination{Worker: worker.ID, Address: worker.Address}, true
}

func (c *Coordinator) stopAnswered(lead *leadership, run scheduler.Run, answer OrderAnswer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	lead.observer.Track(run.Worker, run.Incarnation, now).RecordContact(answer.Clock, now)
	if try := lead.tries[run.ID]; try != nil {
		try.Stopped = now
	}
}

// stopAgain repeats a stop whose run goes on. The caller holds mu.
func (c *Coordinator) stopAgain(lead *leadership, watch *scheduler.WorkerObservation, run *scheduler.Run, try *scheduler.StartAttempt, now time.Time) {
	if try.Stopped.IsZero() || now.Sub(try.Stopped) < restopAfter {
		return
	}
	c.event("stop-again", "run", run.ID, "worker", run.Worker)
	try.Stopped = time.Time{}
	watch.Stopping[run.ID] = now
	go c.stopRun(lead, *run)
}

// stopLoose blocks the starts that may still reach a worker's new life. The
// caller holds mu.
func (c *Coordinator) stopLoose(worker *scheduler.Worker, now time.Time) {
	for _, id := range c.lead.observer.UnansweredStarts(worker.ID, now) {
		if run := c.state.Run(id); run != nil && run.Incarnation == worker.Incarnation {
			continue
		}
		c.stopStray(c.lead, worker, id)
	}
}

// stopStray stops a run that this leader knows nothing of. The caller holds
// mu.
func (c *Coordinator) stopStray(lead *leadership, worker *scheduler.Worker, id scheduler.RunID) {
	c.event("stray-run", "run", id, "worker", worker.ID, "term", uint64(lead.fence))
	to := Destination{Worker: worker.ID, Address: worker.Address}
	go func() {
		for range strayTries {
			ctx, cancel := context.WithTimeout(lead.ctx, c.options.callTimeout)
			answer, err := c.config.Orders.Stop(ctx, to, RunOrder{Run: id, Fence: lead.fence})
			cancel()
			if err == nil && answer.Refusal == NotRefused || lead.ctx.Err() != nil {
				return
			}
		}
	}()
}
