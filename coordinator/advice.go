package coordinator

import (
	"context"
	"sort"
	"time"

	"cranberrystack.dev/cranberrystack/identifier"
	"cranberrystack.dev/cranberrystack/scheduler"
)

const (
	// adviceWorkers is how many workers are named in one question.
	adviceWorkers = 30
	adviceTimeout = 4 * time.Second
	advicePause   = 300 * time.Millisecond
)

// askAdvice asks which workers may run a step, one question at a time. The
// caller holds mu.
func (c *Coordinator) askAdvice(step scheduler.StepID) {
	lead := c.lead
	if lead.advising[step] || c.config.Advise == nil {
		return
	}
	first := len(lead.advising) == 0
	lead.advising[step] = true
	if first {
		go c.adviseAll(lead)
	}
}

func (c *Coordinator) adviseAll(lead *leadership) {
	for {
		step, workers, more := c.nextAdvice(lead)
		if !more {
			return
		}
		ctx, cancel := context.WithTimeout(lead.ctx, adviceTimeout)
		sent := time.Now()
		advised, err := c.config.Advise(ctx, step, workers)
		cancel()
		c.noteAdvice(lead, step, sent, advised, err)
		if err != nil {
			pause(lead.ctx, advicePause)
		}
	}
}

// nextAdvice chooses the step that is due first and the workers that are
// likely to have room for it.
func (c *Coordinator) nextAdvice(lead *leadership) (scheduler.StepID, []identifier.WorkerID, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.rules(lead) {
		return scheduler.StepID{}, nil, false
	}
	var steps []scheduler.StepID
	for step := range lead.advising {
		steps = append(steps, step)
	}
	sort.Slice(steps, func(i, j int) bool { return c.state.StepPrecedes(steps[i], steps[j]) })
	for _, step := range steps {
		workers := c.state.CandidateWorkers(lead.observer, step, adviceWorkers, time.Now())
		if len(workers) > 0 {
			return step, workers, true
		}
		delete(lead.advising, step)
	}
	return scheduler.StepID{}, nil, false
}

func (c *Coordinator) noteAdvice(lead *leadership, step scheduler.StepID, sent time.Time, advised Advice, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(lead.advising, step)
	if c.lead != lead {
		return
	}
	c.event("advice", "step", step, "allowed", len(advised.Allowed), "valid-ms", advised.ValidMillis, "error", err)
	if err != nil {
		return
	}
	tickets := map[identifier.WorkerID]scheduler.Ticket{}
	until := sent.Add(time.Duration(advised.ValidMillis) * time.Millisecond)
	for _, allowed := range advised.Allowed {
		if worker := c.state.Worker(allowed.Worker); worker != nil {
			tickets[allowed.Worker] = scheduler.Ticket{Text: allowed.Ticket, Incarnation: worker.Incarnation, Until: until}
		}
	}
	lead.observer.Tickets[step] = tickets
	c.poke()
}
