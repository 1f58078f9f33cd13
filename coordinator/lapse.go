package coordinator

import "time"

// leaseLapse is a time in which a leadership goes on although its leader lease is not
// valid. No order may be sent then.
type leaseLapse struct {
	// since is when the lapse was noticed; zero while the lease is valid.
	since time.Time
	// regained is closed when the lease is valid again; nil while it is.
	regained chan struct{}
	// waiting counts the senders of orders that wait for that.
	waiting int
}

// observeLease ends a lapse once the leader lease is valid again, so that the senders
// that wait for it go on. The caller holds mu.
func (c *Coordinator) observeLease(now time.Time) {
	lead := c.lead
	if lead == nil {
		return
	}
	if !c.node.HoldsLeaderLease() {
		c.beginLapse(lead, now)
		return
	}
	if lapse := &lead.lapse; !lapse.since.IsZero() {
		c.event("leader-lease-regained", "term", uint64(lead.fencingToken), "lapsed-ms", now.Sub(lapse.since).Milliseconds(), "waiting", lapse.waiting)
		close(lapse.regained)
		*lapse = leaseLapse{}
	}
}

// beginLapse records that the leader lease is not valid. The caller holds mu.
func (c *Coordinator) beginLapse(lead *leadership, now time.Time) {
	if lead.lapse.since.IsZero() {
		lead.lapse = leaseLapse{since: now, regained: make(chan struct{})}
		c.event("leader-lease-lapsed", "term", uint64(lead.fencingToken))
	}
}

// lockLeased locks mu while the leader lease is valid, for which it waits. It returns
// false, with mu unlocked, if the leadership has ended.
func (c *Coordinator) lockLeased(lead *leadership) bool {
	for {
		c.mu.Lock()
		if c.leads(lead) {
			return true
		}
		if c.lead != lead {
			c.mu.Unlock()
			return false
		}
		c.beginLapse(lead, time.Now())
		lead.lapse.waiting++
		regained := lead.lapse.regained
		c.mu.Unlock()
		select {
		case <-regained:
		case <-lead.ctx.Done():
		}
	}
}
