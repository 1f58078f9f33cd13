package coordinator

import (
	"context"
	"maps"
	"slices"
	"time"

	"cranberrystack.dev/cranberrystack/identifier"
	"cranberrystack.dev/cranberrystack/scheduler"
)

const (
	// adviceTimeout bounds how long a request for advice takes beyond what the catalog
	// says.
	adviceTimeout    = 4 * time.Second
	adviceRetryDelay = 300 * time.Millisecond
)

// requestAdvice replaces the steps for which advice is wanted. One goroutine sends the
// requests one by one. The caller holds mu.
func (c *Coordinator) requestAdvice(steps []scheduler.StepID) {
	lead := c.lead
	clear(lead.adviceWanted)
	if c.config.Advise == nil {
		return
	}
	for _, step := range steps {
		lead.adviceWanted[step] = true
	}
	if len(steps) > 0 && !lead.advising {
		lead.advising = true
		go c.runAdviceRequests(lead)
	}
}

func (c *Coordinator) runAdviceRequests(lead *leadership) {
	// A step whose requests are never enough must not keep others from theirs, so that
	// every second request goes to the step that has waited the longest.
	for inTurn := false; ; inTurn = !inTurn {
		request, more := c.nextAdviceRequest(lead, inTurn)
		if !more {
			return
		}
		ctx, cancel := context.WithTimeout(lead.ctx, request.Expected+adviceTimeout)
		sent := time.Now()
		answer, err := c.config.Advise(ctx, request.Step, request.Workers)
		cancel()
		c.recordAdvice(lead, request, sent, answer, err)
		if err != nil {
			sleepContext(lead.ctx, adviceRetryDelay)
		}
	}
}

// nextAdviceRequest returns the next request to send. The last result is false if the
// goroutine has to end, as none is needed or the leader lease is not valid.
func (c *Coordinator) nextAdviceRequest(lead *leadership, inTurn bool) (scheduler.AdviceRequest, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leads(lead) && len(lead.adviceWanted) > 0 {
		steps := slices.Collect(maps.Keys(lead.adviceWanted))
		now := time.Now()
		request, more := c.state.NextAdviceRequest(lead.observer, steps, inTurn, now, wallTime())
		if more {
			lead.observer.RecordAdviceRequest(request.Step, now)
			return request, true
		}
	}
	lead.advising = false
	clear(lead.adviceWanted)
	return scheduler.AdviceRequest{}, false
}

func (c *Coordinator) recordAdvice(lead *leadership, request scheduler.AdviceRequest, sent time.Time, answer AdviceAnswer, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(lead.adviceWanted, request.Step)
	if c.lead != lead {
		return
	}
	c.event("advice-response", "step", request.Step, "named", len(request.Workers), "allowed", len(answer.Allowed),
		"took-ms", millisSince(sent), "valid-ms", answer.ValidMillis, "error", err)
	if err != nil {
		return
	}
	response := scheduler.AdviceResponse{Tickets: map[identifier.WorkerID]string{}, ValidMillis: answer.ValidMillis}
	for _, allowed := range answer.Allowed {
		response.Tickets[allowed.Worker] = allowed.Ticket
	}
	lead.observer.RecordAdvice(request, response, sent, time.Now())
	c.wakeLoop()
}
