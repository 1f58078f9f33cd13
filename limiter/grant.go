package limiter

import (
	"time"

	"cranberrystack.dev/cranberrystack/router"
)

// grant hands out free slots until no waiting ticket may take one.
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

// nextTicket returns the ticket to go next, or nil if none may. Plans below their
// guaranteed share come first, the emptiest of them foremost; then all others
// by what they use beyond it.
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

// shareUse orders plans: lower goes first. It is below 1 for a plan within its
// share.
func (c *Core) shareUse(plan *planState) float64 {
	guaranteed := plan.share * float64(c.total)
	if float64(plan.running) < guaranteed {
		return float64(plan.running) / guaranteed
	}
	return 1 + float64(plan.running) - guaranteed
}

// nextInPlan takes the team that holds the fewest slots, and of its queues
// the one whose first ticket is worth most for the time it takes.
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

// canStart reports whether a ticket may start now. Long work takes no short-only
// slot, and beyond its own plan's share it takes no slot that another plan's
// unused share may need, since it would not come back soon.
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

// unusedShares counts the slots that other plans could still claim.
func (c *Core) unusedShares(except *planState) int {
	unused := 0.0
	for _, plan := range c.plans {
		if plan != except {
			unused += max(plan.share*float64(c.total)-float64(plan.running), 0)
		}
	}
	return int(unused)
}

// findSlot returns the place of a free slot that the ticket may use, or -1. A
// slot of the upstream to avoid is taken only if it may not be spared.
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

// takeSlot removes a slot from the free ones. Short work leaves general slots
// to long work while it can.
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
