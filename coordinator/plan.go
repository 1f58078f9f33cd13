package coordinator

import (
	"time"

	"cranberrystack.dev/cranberrystack/identifier"
	"cranberrystack.dev/cranberrystack/scheduler"
)

// plan lets the planner choose and carries out what it chose. The caller holds
// mu.
func (c *Coordinator) plan(now time.Time) {
	lead := c.lead
	if lead.assigning || !lead.planDue(c.applied, now) || !c.node.HoldsLeaderLease() {
		return
	}
	lead.planned, lead.plannedAt = c.applied, now
	lead.observer.Prune(c.state, now)
	c.dropUnsent(lead)
	plan := lead.planner.Plan(c.state, lead.observer, now, wall())
	lead.waiting = plan.Waiting
	for _, stop := range plan.Stop {
		c.orderStop(stop, now)
	}
	for _, step := range plan.Advise {
		c.askAdvice(step)
	}
	if len(plan.Assign) == 0 {
		return
	}
	commands := make([]scheduler.Command, len(plan.Assign))
	for i := range plan.Assign {
		commands[i].Assign = &plan.Assign[i]
		for j := range plan.Assign[i].Runs {
			lead.proposed[plan.Assign[i].Runs[j].ID] = true
		}
	}
	lead.assigning = true
	p := c.enqueue(lead.fence, commands...)
	go c.assigned(lead, plan.Assign, p)
}

// planInterval is the longest time between two plans.
const planInterval = 500 * time.Millisecond

// planDue reports whether a plan may come to anything new: entries of the log
// were applied since the last, or tasks wait, or it is long ago.
func (l *leadership) planDue(applied uint64, now time.Time) bool {
	return applied != l.planned || l.waiting > 0 || now.Sub(l.plannedAt) >= planInterval
}

// planNow makes the next plan due at once, as more is known of the workers. The
// caller holds mu.
func (l *leadership) planNow(c *Coordinator) {
	l.plannedAt = time.Time{}
	c.poke()
}

// assigned sends the starts of what has been committed.
func (c *Coordinator) assigned(lead *leadership, placed []scheduler.Assign, p *proposal) {
	results, err := p.wait(lead.ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	lead.assigning = false
	if err != nil || c.lead != lead {
		c.event("assign-lost", "term", uint64(lead.fence), "placements", len(placed), "error", err)
		return
	}
	for i := range placed {
		if results[i].Outcome != scheduler.OutcomeDone {
			c.event("assign-stale", "step", placed[i].Runs[0].ID.Task.StepID(), "reason", results[i].Reason)
			lead.notProposed(placed[i].Runs)
			continue
		}
		c.noteWait(placed[i].Runs[0].ID)
		for j := range placed[i].Runs {
			c.beginStart(lead, placed[i].Runs[j].ID)
		}
	}
	c.poke()
}

// beginStart starts the call that starts a run. The caller holds mu.
func (c *Coordinator) beginStart(lead *leadership, id scheduler.RunID) {
	run := c.state.Run(id)
	if run == nil {
		return
	}
	job := c.state.Job(id.Task.Job)
	worker := c.state.Worker(run.Worker)
	if job == nil || worker == nil || worker.Incarnation != run.Incarnation {
		return
	}
	c.event("start", "run", id, "worker", run.Worker, "term", uint64(lead.fence),
		"version", c.state.Catalog().Version, "resumes", run.Checkpoint != "")
	lead.tries[id] = &scheduler.StartAttempt{CallsInFlight: 1}
	delete(lead.proposed, id)
	c.attend(run.Worker)
	go c.start(lead, *run, Destination{Worker: worker.ID, Address: worker.Address}, job.Request.Spec)
}

// dropUnsent forgets runs that this leader has placed and has sent no start
// for, as their worker had started again or the answer of the log was lost. The
// caller holds mu.
func (c *Coordinator) dropUnsent(lead *leadership) {
	if lead.forgetting {
		return
	}
	var runs []scheduler.RunID
	for id := range lead.proposed {
		if c.state.Run(id) != nil {
			runs = append(runs, id)
		}
	}
	if len(runs) == 0 {
		return
	}
	scheduler.SortRuns(runs)
	lead.forgetting = true
	p := c.dropRuns(lead, runs, "never sent")
	go c.whenDone(lead, p, func() { lead.forgetting = false })
}

func (l *leadership) notProposed(runs []scheduler.Run) {
	for i := range runs {
		delete(l.proposed, runs[i].ID)
	}
}

// adopt takes over the runs of an earlier office of the same term, whose starts
// may still be carried out until their deadlines. The caller holds mu.
func (c *Coordinator) adopt(lead *leadership, worker *scheduler.Worker, watch *scheduler.WorkerObservation, now time.Time) {
	for id, run := range c.state.Placed(worker.ID) {
		if run.FencingToken != lead.fence || lead.tries[id] != nil || lead.proposed[id] {
			continue
		}
		lead.tries[id] = &scheduler.StartAttempt{Unanswered: true, Deadline: watch.RenewLease(c.options.startLease, now)}
		if run.Incarnation < worker.Incarnation {
			// The deadline is of another clock.
			c.orderStop(scheduler.Stop{Run: id, Cause: scheduler.CauseUnanswered, Reason: "start has no answer"}, now)
		}
	}
}

// dropRuns forgets runs that are certainly not alive. The caller holds mu.
func (c *Coordinator) dropRuns(lead *leadership, runs []scheduler.RunID, reason string) *proposal {
	for _, id := range runs {
		c.runsLost([]scheduler.RunID{id}, c.state.Run(id).Worker, reason, lead)
	}
	return c.enqueue(lead.fence, scheduler.Command{Drop: &scheduler.Drop{Runs: runs, Reason: reason}})
}

// dropLapsed forgets the runs of workers whose leases have certainly ended.
// The caller holds mu.
func (c *Coordinator) dropLapsed(now time.Time) {
	lead := c.lead
	for _, worker := range c.state.Workers() {
		placed := c.state.Placed(worker.ID)
		if len(placed) == 0 || lead.dropping[worker.ID] {
			continue
		}
		watch := lead.observer.Observation(worker.ID)
		if watch != nil && watch.MissedPolls == 0 && !watch.LastContact.IsZero() {
			continue
		}
		if !lead.observer.LeasesExpired(worker.ID, now) {
			continue
		}
		drop := &scheduler.Drop{Reason: "leases have ended"}
		for id, run := range placed {
			if !scheduler.MayStartLate(run, worker, lead.tries[id], wall()) {
				drop.Runs = append(drop.Runs, id)
				drop.Checkpoints = append(drop.Checkpoints, watch.LastCheckpoint(id))
			}
		}
		if len(drop.Runs) == 0 {
			continue
		}
		c.event("leases-lapsed", "worker", worker.ID, "born", int64(worker.Incarnation), "runs", len(drop.Runs), "term", uint64(lead.fence))
		c.runsLost(drop.Runs, worker.ID, drop.Reason, lead)
		lead.dropping[worker.ID] = true
		p := c.enqueue(lead.fence, scheduler.Command{Drop: drop})
		go c.whenDone(lead, p, func() { delete(lead.dropping, worker.ID) })
	}
	c.forgetTries()
}

// whenDone calls a function under mu once it is known what became of a
// proposal.
func (c *Coordinator) whenDone(lead *leadership, p *proposal, then func()) {
	_, _ = p.wait(lead.ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	then()
}

func (c *Coordinator) forgetTries() {
	for id := range c.lead.stops {
		if c.state.Job(id) == nil {
			delete(c.lead.stops, id)
		}
	}
	for id := range c.lead.tries {
		if c.state.Run(id) == nil {
			delete(c.lead.tries, id)
		}
	}
	for id := range c.lead.proposed {
		if c.state.Job(id.Task.Job) == nil {
			delete(c.lead.proposed, id)
		}
	}
}

// attend keeps an agent for a worker. The caller holds mu.
func (c *Coordinator) attend(id identifier.WorkerID) {
	lead := c.lead
	if lead.agents[id] {
		return
	}
	lead.agents[id] = true
	go c.agent(lead, id)
}
