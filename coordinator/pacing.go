package coordinator

import (
	"context"

	"cranberrystack.dev/cranberrystack/scheduler"
)

// pace slows down or speeds up the best-effort runs of a worker by the latest
// measurements of its serving runs. The caller holds mu.
func (c *Coordinator) pace(lead *leadership, worker *scheduler.Worker) {
	for _, change := range c.state.Paces(lead.observer, worker.ID, lead.paces) {
		c.event("pace-ordered", "run", change.Run, "worker", worker.ID, "percent", change.Percent, "reason", change.Reason)
		lead.paces[change.Run] = change.Percent
		to := Destination{Worker: worker.ID, Address: worker.Address}
		go c.sendPace(lead, to, RunOrder{Run: change.Run, FencingToken: lead.fencingToken, Percent: change.Percent})
	}
}

// sendPace sends an order once. If it fails, the run counts as working at full
// speed until the next order.
func (c *Coordinator) sendPace(lead *leadership, to Destination, order RunOrder) {
	ctx, cancel := context.WithTimeout(lead.ctx, c.options.callTimeout)
	defer cancel()
	answer, err := c.config.Orders.Pace(ctx, to, order)
	if err == nil && answer.Refusal == NotRefused {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if lead.paces[order.Run] == order.Percent {
		delete(lead.paces, order.Run)
	}
}
