package limiter

import (
	"time"

	"cranberrystack.dev/cranberrystack/router"
)

// grant assigns free slots to waiting tickets until no ticket may take one.
func (c *Core) grant(now time.Time) {
	for c.waiting > 0 && len(c.free)+len(c.freeShort) > 0 {
		ticket := c.nextTicket()
		if ticket == nil {
			return
		}
		c.dequeue(ticket)
		if !ticket.meetsDeadline(0, now) {
			c.refuse(ticket, Outcome{Err: ErrOverloaded, RetryAfter: c.options.minRetryAfter})
			continue
		}
		c.start(ticket, c.takeSlot(ticket), now)
	}
}

// nextTicket returns the next ticket to start, or nil if none may start. Plans
// that use less than their guaranteed share come first, in the order of the part
// of it that they use. The others follow in the order of what they use beyond
// their share.
func (c *Core) nextTicket() *Ticket {
	var best *Ticket
	bestUse := 0.0
	for i := range c.order {
		plan := c.plans[c.order[(c.nextPlan+i)%len(c.order)]]
		if plan.waiting == 0 {
			continue
		}
		ticket := c.nextInPlan(plan)
		if ticket == nil {
			continue
		}
		use := c.shareUse(plan)
		if best == nil || use < bestUse {
			best, bestUse = ticket, use
		}
	}
	c.nextPlan++
	return best
}

// shareUse returns the value by which nextTicket orders plans, lowest first. It
// is below 1 for a plan that uses less than its guaranteed share.
func (c *Core) shareUse(plan *planState) float64 {
	guaranteed := plan.share * float64(c.total)
	if float64(plan.running) < guaranteed {
		return float64(plan.running) / guaranteed
	}
	return 1 + float64(plan.running) - guaranteed
}

// nextInPlan returns the next ticket of a plan, or nil. It is one of the team
// that holds the fewest slots, among those with a ticket that may start.
func (c *Core) nextInPlan(plan *planState) *Ticket {
	var best *Ticket
	bestRunning := 0
	for _, id := range plan.order {
		team := plan.teams[id]
		if best != nil && team.running >= bestRunning {
			continue
		}
		if ticket := c.nextInTeam(plan, team); ticket != nil {
			best, bestRunning = ticket, team.running
		}
	}
	return best
}

// nextInTeam returns the next ticket of a team, or nil. Of the first tickets of
// its queues that may start, it is the one with the highest value per second.
func (c *Core) nextInTeam(plan *planState, team *teamState) *Ticket {
	var best *Ticket
	for _, q := range team.queues {
		if len(q.tickets) == 0 || !c.canStart(plan, q.tickets[0]) {
			continue
		}
		if best == nil || q.tickets[0].valuePerSecond() > best.valuePerSecond() {
			best = q.tickets[0]
		}
	}
	return best
}

// canStart reports whether a ticket may start now. Long work never takes a
// short-only slot, and starts only while long and overdue short work hold fewer
// than longLimit slots. Beyond its own plan's share, it takes no slot that the
// unused share of another plan may need, because the slot would not be free again
// soon.
func (c *Core) canStart(plan *planState, ticket *Ticket) bool {
	if ticket.Class == ClassShort {
		return findSlot(c.freeShort, ticket, false) >= 0 || findSlot(c.free, ticket, false) >= 0
	}
	if findSlot(c.free, ticket, false) < 0 || c.long >= c.longLimit() {
		return false
	}
	if float64(plan.running) < plan.share*float64(c.total) {
		return true
	}
	return c.total-c.running-c.unusedShares(plan) >= 1
}

// unusedShares returns the number of slots to which the other plans are entitled
// and which they don't use.
func (c *Core) unusedShares(except *planState) int {
	unused := 0.0
	for _, plan := range c.plans {
		if plan != except {
			unused += max(plan.share*float64(c.total)-float64(plan.running), 0)
		}
	}
	return int(unused)
}

// findSlot returns the index of a free slot that the ticket may use, or -1. With
// skipAvoided, slots of the ticket's AvoidUpstream are not used.
func findSlot(free []*slotState, ticket *Ticket, skipAvoided bool) int {
	for i := len(free) - 1; i >= 0; i-- {
		slot := &free[i].slot
		if slot.Member != "" && slot.Member != ticket.Member {
			continue
		}
		if !skipAvoided || slot.Upstream != ticket.AvoidUpstream {
			return i
		}
	}
	return -1
}

// takeSlot removes a slot for the ticket from the free ones and returns it. Short
// work prefers short-only slots, to leave the general ones to long work. A slot
// of the upstream to avoid is taken only if there is no other.
func (c *Core) takeSlot(ticket *Ticket) *slotState {
	for _, skipAvoided := range []bool{true, false} {
		if ticket.Class == ClassShort {
			if i := findSlot(c.freeShort, ticket, skipAvoided); i >= 0 {
				return remove(&c.freeShort, i)
			}
		}
		if i := findSlot(c.free, ticket, skipAvoided); i >= 0 {
			return remove(&c.free, i)
		}
	}
	return nil
}

func remove(free *[]*slotState, i int) *slotState {
	state := (*free)[i]
	*free = append((*free)[:i], (*free)[i+1:]...)
	return state
}

// start grants a slot to a ticket that has left its queue.
func (c *Core) start(ticket *Ticket, state *slotState, now time.Time) {
	plan := c.plan(ticket.Plan)
	plan.running++
	plan.team(ticket.Team).running++
	c.running++
	if ticket.Class == ClassLong {
		plan.long++
		c.long++
	}
	state.holder = ticket
	ticket.slot = state
	ticket.state = ticketRunning
	ticket.started = now
	ticket.Outcome <- Outcome{Slot: state.slot}
}

// Slot returns the slot that a granted ticket holds.
func (t *Ticket) Slot() router.Slot {
	return t.slot.slot
}
