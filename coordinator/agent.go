package coordinator

import (
	"context"
	"errors"
	"time"

	"cranberrystack.dev/cranberrystack/identifier"
	"cranberrystack.dev/cranberrystack/scheduler"
)

const (
	lookPause = 250 * time.Millisecond
	// lookSlack is how much later than it may wait a look has to be answered.
	lookSlack = 600 * time.Millisecond
)

// agent looks at a worker for as long as runs may be alive there or ends are
// to be acknowledged.
func (c *Coordinator) agent(lead *leadership, id identifier.WorkerID) {
	for {
		to, born, order, more := c.nextLook(lead, id)
		if !more {
			return
		}
		sent := time.Now()
		ctx, cancel := context.WithTimeout(lead.ctx, time.Duration(order.WaitMillis)*time.Millisecond+lookSlack)
		look, err := c.config.Orders.Poll(ctx, to, order)
		cancel()
		if lead.ctx.Err() != nil {
			return
		}
		look.Sent, look.Acked = sent, order.Acked
		c.verify(id, look.Incarnation, err)
		if errors.Is(err, ErrOtherIncarnation) {
			continue
		}
		if err != nil || look.Incarnation != born {
			c.missed(lead, id, born, err)
			pause(lead.ctx, lookPause)
			continue
		}
		c.noteLook(lead, id, &look)
	}
}

// verify notes which life of a worker the connection for looks leads to.
func (c *Coordinator) verify(id identifier.WorkerID, born scheduler.UnixMilli, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		delete(c.verified, id)
		return
	}
	c.verified[id] = born
}

func pause(ctx context.Context, span time.Duration) {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// nextLook prepares the next question, unless there is no reason for one.
func (c *Coordinator) nextLook(lead *leadership, id identifier.WorkerID) (Destination, scheduler.UnixMilli, PollOrder, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	worker := c.state.Worker(id)
	if !c.rules(lead) || worker == nil {
		delete(lead.agents, id)
		return Destination{}, 0, PollOrder{}, false
	}
	now := time.Now()
	watch := lead.observer.Track(id, worker.Incarnation, now)
	idle := len(c.state.Placed(id)) == 0 && watch.HasClock() && watch.AckConfirmed >= worker.Acked
	// A worker that is back may list what it did while it was out of reach.
	back := watch.MissedPolls > 0 && now.Sub(watch.LastContact) < c.options.silence
	if idle && !back {
		delete(lead.agents, id)
		return Destination{}, 0, PollOrder{}, false
	}
	order := PollOrder{Fence: lead.fence}
	verified := c.verified[id] == worker.Incarnation
	if verified {
		order.Acked, order.SameIncarnation = worker.Acked, worker.Acked > 0
	}
	if watch.HasClock() && len(c.state.Placed(id)) > 0 {
		if watch.MissedPolls == 0 {
			// A worker that does not answer might take each question's lease and
			// so keep its runs for ever.
			order.Deadline = watch.RenewLease(c.options.maxLease-leaseReserve, now)
		}
		order.WaitMillis = c.lookWait(watch, id).Milliseconds()
	}
	if !verified {
		order.WaitMillis = 0
	}
	return Destination{Worker: id, Address: worker.Address}, worker.Incarnation, order, true
}

// leaseReserve keeps a lease below the bound that workers would shorten it to.
const leaseReserve = 200 * time.Millisecond

// lookWait is short while the answer may settle something.
func (c *Coordinator) lookWait(watch *scheduler.WorkerObservation, id identifier.WorkerID) time.Duration {
	if watch.MissedPolls > 0 {
		return 0
	}
	doubtful := false
	for id, run := range c.state.Placed(id) {
		try := c.lead.tries[id]
		if try == nil || try.Unanswered || !try.Stopped.IsZero() {
			return settleWait
		}
		doubtful = doubtful || c.lead.observer.MayBeStalled(c.state.StepOf(id.Task), run, wall())
	}
	if doubtful || c.state.HasInterference(id) {
		return disturbedWait
	}
	return c.options.maxLease / looksPerLease
}

// looksPerLease is how often a lease is prolonged while it runs.
const looksPerLease = 3

// disturbedWait is how long a look waits where tasks that fill may disturb
// tasks that serve, or where a run may stand still.
const disturbedWait = 500 * time.Millisecond

// settleWait is how long a look waits while a run's fate is open.
const settleWait = 200 * time.Millisecond

func (c *Coordinator) missed(lead *leadership, id identifier.WorkerID, born scheduler.UnixMilli, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	watch := lead.observer.Track(id, born, time.Now())
	watch.MissedPolls++
	if watch.MissedPolls == 1 {
		lead.planNow(c)
		c.event("worker-silent", "worker", id, "born", int64(born), "heard-ms-ago", sinceMillis(watch.LastContact), "error", err)
	}
}

// noteLook takes in a worker's answer and commits the ends that it lists.
func (c *Coordinator) noteLook(lead *leadership, id identifier.WorkerID, look *scheduler.PollResult) {
	c.mu.Lock()
	worker := c.state.Worker(id)
	if !c.rules(lead) || worker == nil || worker.Incarnation > look.Incarnation {
		c.mu.Unlock()
		return
	}
	now := time.Now()
	watch := lead.observer.Track(id, look.Incarnation, now)
	if watch.MissedPolls > 0 {
		lead.planNow(c)
		c.event("worker-back", "worker", id, "misses", watch.MissedPolls)
	}
	watch.MissedPolls = 0
	watch.RecordContact(look.Clock, now)
	watch.AckConfirmed = max(watch.AckConfirmed, look.Acked)
	c.adopt(lead, worker, watch, now)
	c.noteRunning(lead, worker, watch, look, now)
	c.pace(lead, worker)
	note := c.newEnds(lead, worker, look, now)
	gone := c.state.LostRuns(worker, lead.tries, look, lead.fence)
	var commands []scheduler.Command
	if note != nil {
		commands = append(commands, scheduler.Command{RecordEnds: note})
	}
	if len(gone) > 0 {
		c.runsLost(gone, id, "not on the worker", lead)
		commands = append(commands, scheduler.Command{Drop: &scheduler.Drop{Runs: gone, Reason: "not on the worker"}})
	}
	if len(commands) == 0 {
		c.mu.Unlock()
		return
	}
	p := c.enqueue(lead.fence, commands...)
	c.mu.Unlock()
	results, err := p.wait(lead.ctx)
	if err != nil {
		pause(lead.ctx, lookPause)
		return
	}
	c.logEnds(results)
}

func (c *Coordinator) noteRunning(lead *leadership, worker *scheduler.Worker, watch *scheduler.WorkerObservation, look *scheduler.PollResult, now time.Time) {
	for i := range look.Running {
		running := &look.Running[i]
		run := c.state.Run(running.Run)
		if run == nil || run.Worker != worker.ID {
			c.stopStray(lead, worker, running.Run)
			continue
		}
		try := lead.tries[running.Run]
		if try == nil {
			try = &scheduler.StartAttempt{}
			lead.tries[running.Run] = try
		}
		try.Unanswered = false
		if try.Started.IsZero() {
			try.Started = now
		}
		watch.RecordProgress(running, now)
		c.stopAgain(lead, watch, run, try, now)
	}
}

// newEnds returns the ends that are not noted yet, nil if there are none.
func (c *Coordinator) newEnds(lead *leadership, worker *scheduler.Worker, look *scheduler.PollResult, now time.Time) *scheduler.RecordEnds {
	var note *scheduler.RecordEnds
	for _, end := range look.Ended {
		if end.Number <= worker.Acked {
			continue
		}
		if note == nil {
			note = &scheduler.RecordEnds{Worker: worker.ID, Incarnation: look.Incarnation}
		}
		note.Number = max(note.Number, end.Number)
		note.Ends = append(note.Ends, end)
		run := c.state.Run(end.Run)
		c.event("end", "run", end.Run, "worker", worker.ID, "how", end.Kind, "number", end.Number, "known", run != nil)
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
	return note
}

// runsLost logs each run that ends without an end from its worker.
func (c *Coordinator) runsLost(runs []scheduler.RunID, worker identifier.WorkerID, reason string, lead *leadership) {
	for _, run := range runs {
		c.event("run-lost", "run", run, "worker", worker, "reason", reason, "term", uint64(lead.fence))
	}
}

func (c *Coordinator) logEnds(results []scheduler.Result) {
	for i := range results {
		for _, job := range results[i].Ended {
			c.noteEnded(job)
			c.event("job-ended", "job", job.ID, "queue", job.Queue, "phase", job.Phase, "reason", job.Reason,
				"took-ms", int64(job.Ended-job.Accepted), "objective-ms", job.ObjectiveMillis())
		}
	}
}
