package coordinator

import (
	"context"
	"errors"
	"fmt"
	"time"

	"cranberrystack.dev/cranberrystack/identifier"
	"cranberrystack.dev/cranberrystack/scheduler"
)

const (
	pollRetryDelay = 250 * time.Millisecond
	// pollTimeoutMargin is added to the time for which a worker may hold a poll
	// before it responds.
	pollTimeoutMargin = 600 * time.Millisecond
)

// pollWorker polls a worker until no run is placed there and every end that the
// worker listed is acknowledged, or until the leadership ends.
func (c *Coordinator) pollWorker(lead *leadership, id identifier.WorkerID) {
	for {
		to, incarnation, order, more := c.nextPoll(lead, id)
		if !more {
			return
		}
		sent := time.Now()
		ctx, cancel := context.WithTimeout(lead.ctx, time.Duration(order.WaitMillis)*time.Millisecond+pollTimeoutMargin)
		poll, err := c.config.Orders.Poll(ctx, to, order)
		cancel()
		if lead.ctx.Err() != nil {
			return
		}
		poll.Sent, poll.Acked = sent, order.Acked
		c.recordIncarnation(id, poll.Incarnation, err)
		if errors.Is(err, ErrOtherIncarnation) {
			continue
		}
		if errors.Is(err, ErrNoConnection) {
			sleepContext(lead.ctx, unsentRetryDelay)
			continue
		}
		if err != nil || poll.Incarnation != incarnation {
			c.recordMissedPoll(lead, id, incarnation, err)
			sleepContext(lead.ctx, pollRetryDelay)
			continue
		}
		c.handlePollResult(lead, id, &poll)
		sleepContext(lead.ctx, c.crowdedPause(lead, id, order))
	}
}

// crowdedPause returns how long to wait between two polls of a worker while there are
// more polled workers than polls that may be held: their connections serve the
// others meanwhile. After a poll whose ends are not acknowledged yet, the pause is
// short. It is 0 while polls are held.
func (c *Coordinator) crowdedPause(lead *leadership, id identifier.WorkerID, order PollOrder) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	worker := c.state.Worker(id)
	switch {
	case !c.crowded(lead):
		return 0
	case worker != nil && worker.Acked > order.Acked:
		return unsettledPollWait
	}
	return c.options.lease / crowdedPollsPerLease
}

// crowdedPollsPerLease is how often a lease is renewed while polls are not held.
const crowdedPollsPerLease = 4

func (c *Coordinator) crowded(lead *leadership) bool {
	return c.options.heldPolls > 0 && len(lead.polling) > c.options.heldPolls
}

// recordIncarnation stores the incarnation of a worker that the connection for
// polls leads to. After any error of a poll, the connection counts as lost.
func (c *Coordinator) recordIncarnation(id identifier.WorkerID, incarnation scheduler.UnixMilli, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		delete(c.verifiedIncarnations, id)
		return
	}
	c.verifiedIncarnations[id] = incarnation
}

func sleepContext(ctx context.Context, delay time.Duration) {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// nextPoll prepares the next poll of a worker and returns the incarnation that
// it is meant for. The last result is false if no further poll is needed or the
// leadership has ended.
func (c *Coordinator) nextPoll(lead *leadership, id identifier.WorkerID) (Destination, scheduler.UnixMilli, PollOrder, bool) {
	if !c.lockLeased(lead) {
		return Destination{}, 0, PollOrder{}, false
	}
	defer c.mu.Unlock()
	worker := c.state.Worker(id)
	if worker == nil {
		delete(lead.polling, id)
		return Destination{}, 0, PollOrder{}, false
	}
	now := time.Now()
	observation := lead.observer.Track(id, worker.Incarnation, now)
	idle := len(c.state.RunsOn(id)) == 0 && observation.HasClock() && observation.AckConfirmed >= worker.Acked
	// A worker that is reachable again may list runs that ended meanwhile.
	returned := observation.MissedPolls > 0 && now.Sub(observation.LastContact) < c.options.contactTimeout
	if idle && !returned {
		delete(lead.polling, id)
		return Destination{}, 0, PollOrder{}, false
	}
	order := PollOrder{FencingToken: lead.fencingToken}
	verified := c.verifiedIncarnations[id] == worker.Incarnation
	if verified {
		order.Acked, order.SameIncarnation = worker.Acked, worker.Acked > 0
	}
	if observation.HasClock() && len(c.state.RunsOn(id)) > 0 {
		if observation.MissedPolls == 0 {
			// No lease is renewed after a missed poll: a worker that receives
			// polls but cannot respond would otherwise keep its runs forever.
			order.Deadline = observation.RenewLease(c.options.lease-leaseMargin, now)
		}
		order.WaitMillis = c.pollWait(observation, id).Milliseconds()
	}
	if !verified || c.crowded(lead) {
		order.WaitMillis = 0
	}
	return Destination{Worker: id, Address: worker.Address}, worker.Incarnation, order, true
}

// leaseMargin is how much shorter than the maximum a renewed lease is; workers
// shorten leases that exceed the maximum.
const leaseMargin = 200 * time.Millisecond

// pollWait returns how long a worker may hold a poll until a run ends: not at all
// after a missed poll or while it may have more ends to list, and only briefly while a
// run may be starting, stopping or stalled, a long-running task starts up, or
// best-effort tasks share the worker with serving tasks. The caller holds mu.
func (c *Coordinator) pollWait(observation *scheduler.WorkerObservation, id identifier.WorkerID) time.Duration {
	if observation.MissedPolls > 0 || observation.EndsTruncated {
		return 0
	}
	mayBeStalled := false
	for id, run := range c.state.RunsOn(id) {
		attempt := c.lead.attempts[id]
		if attempt == nil || attempt.Unanswered || !attempt.Stopped.IsZero() {
			return unsettledPollWait
		}
		if c.state.StartingUp(observation, run, wallTime()) {
			return unsettledPollWait
		}
		mayBeStalled = mayBeStalled || c.lead.observer.MayBeStalled(c.state.StepOf(id.Task), run, wallTime())
	}
	if mayBeStalled || c.state.HasInterference(id) {
		return interferencePollWait
	}
	return c.options.lease / pollsPerLease
}

// pollsPerLease is how often a lease is renewed within its duration.
const pollsPerLease = 3

// interferencePollWait is how long a worker may hold a poll if best-effort tasks
// share it with serving tasks, or if a run may be stalled.
const interferencePollWait = 500 * time.Millisecond

// unsettledPollWait is how long a worker may hold a poll while it is unknown
// whether one of its runs has started, works fully or has stopped.
const unsettledPollWait = 200 * time.Millisecond

func (c *Coordinator) recordMissedPoll(lead *leadership, id identifier.WorkerID, incarnation scheduler.UnixMilli, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	observation := lead.observer.Track(id, incarnation, now)
	observation.MissedPolls++
	if observation.MissedPolls == 1 {
		observation.MissedSince = now
		lead.schedulePlan(c)
		c.event("worker-unresponsive", "worker", id, "incarnation", int64(incarnation), "since-contact-ms", millisSince(observation.LastContact), "error", err)
	}
}

// handlePollResult records a worker's poll result, and commits the ends that it
// lists and the runs that it shows to be lost.
func (c *Coordinator) handlePollResult(lead *leadership, id identifier.WorkerID, poll *scheduler.PollResult) {
	c.mu.Lock()
	worker := c.state.Worker(id)
	if !c.leads(lead) || worker == nil || worker.Incarnation > poll.Incarnation {
		c.mu.Unlock()
		return
	}
	now := time.Now()
	observation := lead.observer.Track(id, poll.Incarnation, now)
	if observation.MissedPolls > 0 {
		lead.schedulePlan(c)
		c.event("worker-responsive", "worker", id, "missed-polls", observation.MissedPolls)
	}
	observation.MissedPolls = 0
	observation.RecordContact(poll.Clock, now)
	observation.AckConfirmed = max(observation.AckConfirmed, poll.Acked)
	c.recoverRuns(lead, worker, observation, now)
	c.recordRunning(lead, worker, observation, poll, now)
	c.pace(lead, worker)
	ends := c.unrecordedEnds(lead, worker, poll, now)
	lost := c.recordMissing(lead, worker, observation, poll)
	var commands []scheduler.Command
	if ends != nil {
		for i := range ends.Ends {
			lead.givenUp[ends.Ends[i].Run] = true
		}
		commands = append(commands, scheduler.Command{RecordEnds: ends})
	}
	if len(lost) > 0 {
		c.logLostRuns(lost, id, "not on the worker", lead)
		lead.giveUp(lost)
		commands = append(commands, scheduler.Command{Drop: &scheduler.Drop{Runs: lost, Reason: "not on the worker"}})
	}
	if len(commands) == 0 {
		c.mu.Unlock()
		return
	}
	p := c.enqueue(lead.fencingToken, commands...)
	c.mu.Unlock()
	results, err := p.wait(lead.ctx)
	if err != nil {
		sleepContext(lead.ctx, pollRetryDelay)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range results {
		c.logEndedJobs(results[i].Ended)
	}
}

// recordRunning records the runs that a worker lists as alive, and stops those
// that the state does not place there. The caller holds mu.
func (c *Coordinator) recordRunning(lead *leadership, worker *scheduler.Worker, observation *scheduler.WorkerObservation, poll *scheduler.PollResult, now time.Time) {
	for i := range poll.Running {
		running := &poll.Running[i]
		run := c.state.Run(running.Run)
		if run == nil || run.Worker != worker.ID {
			c.stopOrphanedRun(lead, worker, running.Run)
			continue
		}
		attempt := lead.attempts[running.Run]
		if attempt == nil {
			attempt = &scheduler.StartAttempt{}
			lead.attempts[running.Run] = attempt
		}
		attempt.Unanswered = false
		if attempt.Started.IsZero() {
			attempt.Started = now
		}
		observation.RecordProgress(running, now)
		c.resendStop(lead, observation, run, attempt, now)
	}
}

// unrecordedEnds returns the ends in a poll result that are not committed yet, or
// nil if there are none. It also records the failures and successes among them
// with the observer. The caller holds mu.
func (c *Coordinator) unrecordedEnds(lead *leadership, worker *scheduler.Worker, poll *scheduler.PollResult, now time.Time) *scheduler.RecordEnds {
	var ends *scheduler.RecordEnds
	observation := lead.observer.Observation(worker.ID)
	for _, end := range poll.Ended {
		if end.Number <= worker.Acked {
			continue
		}
		if ends == nil {
			ends = &scheduler.RecordEnds{Worker: worker.ID, Incarnation: poll.Incarnation}
		}
		ends.Number = max(ends.Number, end.Number)
		end.FullMillis = observation.FullMillis(end.Run)
		ends.Ends = append(ends.Ends, end)
		run := c.state.Run(end.Run)
		c.runEvent("run-ended", end.Run, worker.ID, fmt.Sprintf("/%d", end.Number), "kind", end.Kind, "known", run != nil)
		if run == nil {
			continue
		}
		c.config.Recorder.Add("ends."+string(end.Kind), 1)
		switch end.Kind {
		case scheduler.EndFailed:
			lead.observer.RecordFailure(run, now)
		case scheduler.EndDone:
			lead.observer.RecordSuccess(run, now)
		}
	}
	return ends
}

// recordMissing returns the runs that a poll result shows to be lost, and records those
// whose ends the worker may still list. The caller holds mu.
func (c *Coordinator) recordMissing(lead *leadership, worker *scheduler.Worker, observation *scheduler.WorkerObservation, poll *scheduler.PollResult) []scheduler.RunID {
	lost, unlisted := c.state.MissingRuns(worker, lead.attempts, poll, lead.fencingToken)
	observation.RecordUnlistedEnds(poll.EndsTruncated, unlisted)
	if poll.EndsTruncated {
		c.event("ends-truncated", "worker", worker.ID, "listed", len(poll.Ended), "alive", len(poll.Running),
			"placed", len(c.state.RunsOn(worker.ID)), "unlisted", len(unlisted))
	}
	return lost
}

// logLostRuns logs the runs that are dropped without an end reported by their
// worker. The caller holds mu.
func (c *Coordinator) logLostRuns(runs []scheduler.RunID, worker identifier.WorkerID, reason string, lead *leadership) {
	for _, run := range runs {
		c.runEvent("run-lost", run, worker, "", "reason", reason, "term", uint64(lead.fencingToken))
	}
}

// logRestart logs the runs that ended with the process of their worker, and the jobs
// that are given up for it. The caller holds mu.
func (c *Coordinator) logRestart(result *scheduler.Result) {
	lost := result.Lost
	for i := range lost {
		run := &lost[i]
		if i == 0 || run.Worker != lost[i-1].Worker {
			sinceContact := int64(-1)
			if observation := c.lead.observer.Observation(run.Worker); observation != nil && observation.Incarnation == run.Incarnation {
				sinceContact = millisSince(observation.LastContact)
			}
			c.event("worker-restarted", "worker", run.Worker, "incarnation", int64(run.Incarnation), "since-contact-ms", sinceContact, "runs", len(lost))
		}
		c.runEvent("run-lost", run.Run, run.Worker, "", "reason", "worker has restarted", "suspected", run.Suspected, "term", uint64(c.lead.fencingToken))
	}
	if len(lost) > 0 {
		c.logEndedJobs(result.Ended)
	}
}

// logEndedJobs logs and counts jobs that have ended. The caller holds mu.
func (c *Coordinator) logEndedJobs(jobs []*scheduler.Job) {
	for _, job := range jobs {
		c.observeJobEnd(job)
		c.flushJobTallies(job.ID)
		c.event("job-ended", "job", job.ID, "queue", job.Queue, "phase", job.Phase, "reason", job.Reason,
			"took-ms", int64(job.Ended-job.Accepted), "objective-ms", job.ObjectiveMillis())
	}
}
