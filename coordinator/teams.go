package coordinator

import (
	"time"

	"cranberrystack.dev/cranberrystack/scheduler"
)

// FairShare sets whether the jobs of all queues take part in the sharing between teams.
// Otherwise only those of queues that ask for it do.
func FairShare(all bool) Option {
	return func(o *options) { o.fairShare = all }
}

// teamShares returns what the teams hold and, on the leader, what they wait for. The
// caller holds mu.
func (c *Coordinator) teamShares() []scheduler.TeamShare {
	var planner *scheduler.Planner
	if c.lead != nil {
		planner = c.lead.planner
	}
	return c.state.TeamShares(planner, time.Now(), wallTime())
}
