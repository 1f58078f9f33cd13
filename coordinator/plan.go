package coordinator

import (
	"time"

	"cranberrystack.dev/cranberrystack/identifier"
	"cranberrystack.dev/cranberrystack/scheduler"
)

// plan makes a plan if one is due, and carries it out: it orders stops, requests
// advice and commits assignments. The caller holds mu.
func (c *Coordinator) plan(now time.Time) {
	lead := c.lead
	if lead.assigning || !lead.planDue(c.appliedEntries, now) || !c.node.HoldsLeaderLease() {
		return
	}
	lead.plannedEntries, lead.plannedAt = c.appliedEntries, now
	lead.observer.Prune(c.state, now)
	c.dropUnsent(lead)
	plan := lead.planner.Plan(c.state, lead.observer, now, wallTime())
	lead.planTook = time.Since(now)
	lead.waitingSteps = plan.Waiting
	for _, stop := range plan.Stop {
		c.orderStop(stop, now)
	}
	c.requestAdvice(plan.Advise)
	if len(plan.Assign) == 0 {
		return
	}
	commands := make([]scheduler.Command, len(plan.Assign))
	for i := range plan.Assign {
		commands[i].Assign = &plan.Assign[i]
		for j := range plan.Assign[i].Runs {
			lead.unsentRuns[plan.Assign[i].Runs[j].ID] = true
		}
	}
	lead.assigning = true
	p := c.enqueue(lead.fencingToken, commands...)
	go c.startAssigned(lead, plan.Assign, p)
}

// planInterval is the longest time between two plans of a leader.
const planInterval = 500 * time.Millisecond

// planPause is how many times as long as the last plan took the leader waits before
// the next one, so that planning leaves it time for everything else.
const planPause = 3

// planDue reports whether a new plan may differ from the last one: entries were
// applied since, steps wait, or planInterval has passed. It is not due while the last
// one was made so short a time ago that planning would take most of the time.
func (l *leadership) planDue(applied uint64, now time.Time) bool {
	if l.planPauseLeft(now) > 0 {
		return false
	}
	return applied != l.plannedEntries || l.waitingSteps > 0 || now.Sub(l.plannedAt) >= planInterval
}

// planPauseLeft returns how long no plan is due because of the last one.
func (l *leadership) planPauseLeft(now time.Time) time.Duration {
	return planPause*l.planTook - now.Sub(l.plannedAt)
}

// schedulePlan makes a plan due at once. It is called when a worker misses its
// first poll or responds again. The caller holds mu.
func (l *leadership) schedulePlan(c *Coordinator) {
	l.plannedAt = time.Time{}
	c.wakeLoop()
}

// startAssigned starts the runs of a plan's assignments once they are committed.
func (c *Coordinator) startAssigned(lead *leadership, assignments []scheduler.Assign, p *proposal) {
	results, err := p.wait(lead.ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	lead.assigning = false
	if err != nil || c.lead != lead {
		c.event("assign-unknown", "term", uint64(lead.fencingToken), "placements", len(assignments), "error", err)
		return
	}
	for i := range assignments {
		if results[i].Outcome != scheduler.OutcomeDone {
			c.event("assign-stale", "step", assignments[i].Runs[0].ID.Task.StepID(), "reason", results[i].Reason)
			lead.removeUnsent(assignments[i].Runs)
			continue
		}
		c.observeJobWait(assignments[i].Runs[0].ID)
		c.trackGang(lead, &assignments[i], time.Now())
		for j := range assignments[i].Runs {
			c.launchStart(lead, assignments[i].Runs[j].ID)
		}
	}
	c.wakeLoop()
}

// launchStart begins to send the start of a run, unless its worker has started
// again. The caller holds mu.
func (c *Coordinator) launchStart(lead *leadership, id scheduler.RunID) {
	run := c.state.Run(id)
	if run == nil {
		return
	}
	job := c.state.Job(id.Task.Job)
	worker := c.state.Worker(run.Worker)
	if job == nil || worker == nil || worker.Incarnation != run.Incarnation {
		return
	}
	c.runEvent("start-ordered", id, run.Worker, "", "term", uint64(lead.fencingToken),
		"catalog-version", c.state.Catalog().Version, "resumes", run.Checkpoint != "")
	lead.attempts[id] = &scheduler.StartAttempt{Ordered: time.Now(), CallsInFlight: 1}
	delete(lead.unsentRuns, id)
	c.ensurePolling(run.Worker)
	go c.startRun(lead, *run, Destination{Worker: worker.ID, Address: worker.Address}, job.Request.Spec)
}

// dropUnsent drops runs that this leader has placed without sending a start,
// because their worker had started again or the outcome of the commit was
// unknown. The caller holds mu, and no assignment is being committed.
func (c *Coordinator) dropUnsent(lead *leadership) {
	if lead.droppingUnsent {
		return
	}
	var runs []scheduler.RunID
	for id := range lead.unsentRuns {
		if c.state.Run(id) != nil {
			runs = append(runs, id)
		}
	}
	if len(runs) == 0 {
		return
	}
	scheduler.SortRuns(runs)
	lead.droppingUnsent = true
	p := c.dropUnstarted(lead, runs)
	go c.afterProposal(lead, p, func() { lead.droppingUnsent = false })
}

// giveUp records that the drop or the end of runs is being proposed.
func (l *leadership) giveUp(runs []scheduler.RunID) {
	for _, id := range runs {
		l.givenUp[id] = true
	}
}

func (l *leadership) removeUnsent(runs []scheduler.Run) {
	for i := range runs {
		delete(l.unsentRuns, runs[i].ID)
	}
}

// recoverRuns takes over the runs that an earlier leadership of the same term
// placed on a worker. Their starts may still be carried out until their
// deadlines. The caller holds mu.
func (c *Coordinator) recoverRuns(lead *leadership, worker *scheduler.Worker, observation *scheduler.WorkerObservation, now time.Time) {
	for id, run := range c.state.RunsOn(worker.ID) {
		if run.FencingToken != lead.fencingToken || lead.attempts[id] != nil || lead.unsentRuns[id] {
			continue
		}
		lead.attempts[id] = &scheduler.StartAttempt{Unanswered: true, Deadline: observation.RenewLease(c.options.startLease, now)}
		if run.Incarnation < worker.Incarnation {
			// The start's deadline is on the clock of an earlier incarnation.
			c.orderStop(scheduler.Stop{Run: id, Cause: scheduler.CauseUnanswered, Reason: "start has no answer"}, now)
		}
	}
}

// dropUnstarted queues the drop of runs whose starts were never sent. All of them must be
// in the state. The caller holds mu.
func (c *Coordinator) dropUnstarted(lead *leadership, runs []scheduler.RunID) *proposal {
	const reason = "never sent"
	for _, id := range runs {
		c.logLostRuns([]scheduler.RunID{id}, c.state.Run(id).Worker, reason, lead)
	}
	return c.proposeDrop(lead, &scheduler.Drop{Runs: runs, Reason: reason, NotStarted: true})
}

// proposeDrop queues a drop of runs, of which no start is sent from now on. The caller
// holds mu.
func (c *Coordinator) proposeDrop(lead *leadership, drop *scheduler.Drop) *proposal {
	lead.giveUp(drop.Runs)
	return c.enqueue(lead.fencingToken, scheduler.Command{Drop: drop})
}

// repeatDrop lets the drop of a run that was not started be repeated if it is not applied.
// The caller holds mu.
func (c *Coordinator) repeatDrop(lead *leadership, id scheduler.RunID, p *proposal) {
	go c.afterProposal(lead, p, func() {
		if c.state.Run(id) != nil {
			lead.unsentRuns[id] = true
		}
	})
}

// dropExpired drops the runs of unresponsive workers once their leases have
// certainly ended, except runs that may be alive on a new incarnation. It also
// prunes the leadership's state. The caller holds mu.
func (c *Coordinator) dropExpired(now time.Time) {
	lead := c.lead
	for _, worker := range c.state.Workers() {
		placed := c.state.RunsOn(worker.ID)
		if len(placed) == 0 || lead.droppingRuns[worker.ID] {
			continue
		}
		observation := lead.observer.Observation(worker.ID)
		if observation != nil && observation.MissedPolls == 0 && !observation.LastContact.IsZero() {
			continue
		}
		if !lead.observer.LeasesExpired(worker.ID, now) {
			continue
		}
		drop := &scheduler.Drop{
			Reason: "leases have ended", Suspicion: lead.observer.SuspicionOfLost(c.state, worker, lead.attempts, now),
		}
		for id, run := range placed {
			if !lead.observer.MayOutlastDeadline(lead.attempts[id], now) && !lead.observer.MayBeAliveLate(run, worker, lead.attempts[id], lead.fencingToken, wallTime()) {
				drop.Runs = append(drop.Runs, id)
				drop.Checkpoints = append(drop.Checkpoints, observation.LastCheckpoint(id))
			}
		}
		if len(drop.Runs) == 0 {
			continue
		}
		c.event("leases-expired", "worker", worker.ID, "incarnation", int64(worker.Incarnation), "runs", len(drop.Runs), "term", uint64(lead.fencingToken))
		c.logLostRuns(drop.Runs, worker.ID, drop.Reason, lead)
		lead.droppingRuns[worker.ID] = true
		p := c.proposeDrop(lead, drop)
		go c.afterProposal(lead, p, func() { delete(lead.droppingRuns, worker.ID) })
	}
	c.pruneEnded()
}

// afterProposal calls a function under mu once a proposal has a result or the
// leadership has ended.
func (c *Coordinator) afterProposal(lead *leadership, p *proposal, done func()) {
	_, _ = p.wait(lead.ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	done()
}

// pruneEnded drops the stop events, start attempts, unsent and given up runs of runs and
// jobs that are no longer in the state. The caller holds mu.
func (c *Coordinator) pruneEnded() {
	for id := range c.lead.stopEvents {
		if c.state.Job(id) == nil {
			delete(c.lead.stopEvents, id)
		}
	}
	for id := range c.lead.attempts {
		if c.state.Run(id) == nil {
			delete(c.lead.attempts, id)
		}
	}
	for id := range c.lead.givenUp {
		if c.state.Run(id) == nil {
			delete(c.lead.givenUp, id)
		}
	}
	for id := range c.lead.unsentRuns {
		if c.state.Job(id.Task.Job) == nil {
			delete(c.lead.unsentRuns, id)
		}
	}
}

// ensurePolling starts to poll a worker unless it is polled already. The caller
// holds mu.
func (c *Coordinator) ensurePolling(id identifier.WorkerID) {
	lead := c.lead
	if lead.polling[id] {
		return
	}
	lead.polling[id] = true
	go c.pollWorker(lead, id)
}
