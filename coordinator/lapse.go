package coordinator

import "time"

// leaseLapse is what ended in a leadership while its leader lease was not valid.
type leaseLapse struct {
	// since is when the lapse was noticed; zero while the lease is valid.
	since time.Time
	// polls and stops count the pollers of workers and the senders of stops that ended.
	polls, stops int
}

// observeLease logs when the leader lease lapses and when it is valid again although
// the leadership has not ended. The caller holds mu.
func (c *Coordinator) observeLease(now time.Time) {
	lead := c.lead
	if lead == nil {
		return
	}
	valid := c.node.HoldsLeaderLease()
	switch lapse := &lead.lapse; {
	case !valid && lapse.since.IsZero():
		c.beginLapse(lead, now)
	case valid && !lapse.since.IsZero():
		c.event("leader-lease-regained", "term", uint64(lead.fencingToken), "lapsed-ms", now.Sub(lapse.since).Milliseconds(),
			"polls-ended", lapse.polls, "stops-ended", lapse.stops)
		*lapse = leaseLapse{}
	}
}

// beginLapse records that the leader lease is not valid. The caller holds mu.
func (c *Coordinator) beginLapse(lead *leadership, now time.Time) *leaseLapse {
	if lead.lapse.since.IsZero() {
		lead.lapse.since = now
		c.event("leader-lease-lapsed", "term", uint64(lead.fencingToken))
	}
	return &lead.lapse
}
