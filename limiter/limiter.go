// Package limiter decides which request may use a slot next. Each plan has a
// guaranteed share of the slots; what it leaves unused is lent to others and
// taken back slot by slot. Waiting requests stand in bounded queues, and one
// that can't be answered in time is refused at once.
//
// Core is the deciding part: the present time is an argument, and decisions
// come out as grants and refusals. It is not safe for concurrent use.
package limiter

import (
	"math"
	"time"

	"github.com/rotisserie/eris"

	"cranberrystack.dev/cranberrystack/identifier"
	"cranberrystack.dev/cranberrystack/router"
)

// ErrExpired reports a request whose deadline leaves no time to run it.
var ErrExpired = eris.New("deadline leaves no time to run")

// ErrOverloaded reports a request that would wait too long.
var ErrOverloaded = eris.New("too much work is waiting")

// ErrNoUpstream reports that no upstream takes work.
var ErrNoUpstream = eris.New("no upstream takes work")

// Class says whether work is short, and may use every slot, or long.
type Class string

// The classes.
const (
	ClassShort Class = "short"
	ClassLong  Class = "long"
)

// Ticket is a request that wants a slot.
type Ticket struct {
	Member   identifier.MemberID
	Plan     identifier.PlanID
	Team     identifier.TeamID
	Kind     string
	Class    Class
	Deadline time.Time
	// Weight is what an answer is worth.
	Weight float64
	// ExpectedRunTime is the run time that was measured for the kind.
	ExpectedRunTime time.Duration
	// AvoidUpstream is an upstream that just refused the request.
	AvoidUpstream identifier.UpstreamID

	queued time.Time
	// started is when the slot was granted.
	started time.Time
	// state is changed by Core only.
	state ticketState
	slot  *slotState
	// overdue marks short work that has run so long that it counts as long.
	overdue bool
	// Outcome receives exactly one value.
	Outcome chan Outcome
}

type ticketState int

const (
	ticketWaiting ticketState = iota
	ticketRunning
	ticketDone
)

// Outcome is a grant or a refusal.
type Outcome struct {
	Slot router.Slot
	// Err is nil for a grant.
	Err error
	// RetryAfter tells a refused caller when to come back.
	RetryAfter time.Duration
}

// NewTicket returns a ticket ready to be offered.
func NewTicket() *Ticket {
	return &Ticket{Outcome: make(chan Outcome, 1)}
}

// valuePerSecond is what a second of a slot is worth when spent on the ticket.
func (t *Ticket) valuePerSecond() float64 {
	return t.Weight / max(t.ExpectedRunTime, time.Millisecond).Seconds()
}

type slotState struct {
	slot router.Slot
	// holder is nil while the slot is free.
	holder *Ticket
	// removed marks a slot that is gone once its holder is done.
	removed bool
}

type slotKey struct {
	upstream identifier.UpstreamID
	number   int
}

// planState is one plan's use of slots and its queues.
type planState struct {
	id identifier.PlanID
	// share is the guaranteed part of all slots, from 0 to 1.
	share float64
	// running counts the slots held. long counts those held by long work.
	running int
	long    int
	waiting int
	teams   map[identifier.TeamID]*teamState
	// order lists the teams as first seen, for a stable choice.
	order []identifier.TeamID
}

type teamState struct {
	running int
	queues  []*queue
}

// queue holds waiting tickets of one kind and class, oldest first.
type queue struct {
	kind    string
	class   Class
	tickets []*Ticket
}

// Core is the deciding part of one entry instance.
type Core struct {
	options options
	slots   map[slotKey]*slotState
	// free holds free slots for all work, freeShort those for short work only.
	free      []*slotState
	freeShort []*slotState
	plans     map[identifier.PlanID]*planState
	order     []identifier.PlanID
	// total counts the slots, general those that long work may use.
	total   int
	general int
	running int
	// long counts the slots held by long work, overdue short work included.
	long     int
	waiting  int
	nextPlan int
	// meanShortSlots follows the number of slots that short work holds.
	meanShortSlots float64
	// newlyOverdue collects tickets for TakeOverdue.
	newlyOverdue []*Ticket
}

// NewCore returns a core without slots.
func NewCore(opts ...Option) *Core {
	return &Core{
		options: newOptions(opts...),
		slots:   map[slotKey]*slotState{}, plans: map[identifier.PlanID]*planState{},
	}
}

// SetSlots replaces the slots. A slot that is gone stays with its holder until
// the holder is done.
func (c *Core) SetSlots(slots []router.Slot, now time.Time) {
	wanted := map[slotKey]router.Slot{}
	for _, slot := range slots {
		wanted[slotKey{slot.Upstream, slot.Number}] = slot
	}
	for key, state := range c.slots {
		slot, keep := wanted[key]
		state.removed = !keep
		if keep {
			state.slot = slot
		} else if state.holder == nil {
			delete(c.slots, key)
		}
	}
	for key, slot := range wanted {
		if _, known := c.slots[key]; !known {
			c.slots[key] = &slotState{slot: slot}
		}
	}
	c.recount()
	c.grant(now)
}

func (c *Core) recount() {
	c.free, c.freeShort = nil, nil
	c.total, c.general = 0, 0
	for _, state := range c.slots {
		if state.removed {
			continue
		}
		c.total++
		if !state.slot.ShortOnly {
			c.general++
		}
		if state.holder == nil {
			c.pushFree(state)
		}
	}
}

func (c *Core) pushFree(state *slotState) {
	if state.slot.ShortOnly {
		c.freeShort = append(c.freeShort, state)
		return
	}
	c.free = append(c.free, state)
}

// SetShares sets the guaranteed shares, each from 0 to 1. A plan that is
// missing has none.
func (c *Core) SetShares(shares map[identifier.PlanID]float64) {
	for _, plan := range c.plans {
		plan.share = shares[plan.id]
	}
	for id, share := range shares {
		c.plan(id).share = share
	}
}

func (c *Core) plan(id identifier.PlanID) *planState {
	state, known := c.plans[id]
	if !known {
		state = &planState{id: id, teams: map[identifier.TeamID]*teamState{}}
		c.plans[id] = state
		c.order = append(c.order, id)
	}
	return state
}

func (p *planState) team(id identifier.TeamID) *teamState {
	state, known := p.teams[id]
	if !known {
		state = &teamState{}
		p.teams[id] = state
		p.order = append(p.order, id)
	}
	return state
}

// Offer takes a ticket and grants, queues or refuses it.
func (c *Core) Offer(ticket *Ticket, now time.Time) {
	ticket.queued = now
	if !ticket.meetsDeadline(0, now) {
		c.refuse(ticket, Outcome{Err: ErrExpired})
		return
	}
	if c.total == 0 {
		c.refuse(ticket, Outcome{Err: ErrNoUpstream, RetryAfter: c.options.noUpstreamRetryAfter})
		return
	}
	plan := c.plan(ticket.Plan)
	wait := c.expectedWait(plan, ticket)
	full := plan.waiting >= c.options.queueLength || c.waiting >= c.options.totalQueueLength
	if full || !ticket.meetsDeadline(wait, now) {
		c.refuse(ticket, Outcome{Err: ErrOverloaded, RetryAfter: max(wait, c.options.minRetryAfter)})
		return
	}
	c.enqueue(plan, ticket)
	c.grant(now)
}

func (c *Core) refuse(ticket *Ticket, outcome Outcome) {
	ticket.state = ticketDone
	ticket.Outcome <- outcome
}

// expectedWait estimates how long a ticket would stand behind others of its
// plan that go first.
func (c *Core) expectedWait(plan *planState, ticket *Ticket) time.Duration {
	if c.canStart(plan, ticket) {
		return 0
	}
	value := ticket.valuePerSecond()
	var ahead time.Duration
	for _, team := range plan.teams {
		for _, q := range team.queues {
			if len(q.tickets) > 0 && q.tickets[0].valuePerSecond() >= value {
				ahead += time.Duration(len(q.tickets)) * q.tickets[0].ExpectedRunTime
			}
		}
	}
	slots := max(plan.share*float64(c.total), float64(plan.running), 1)
	return time.Duration(float64(ahead) / slots)
}

func (c *Core) enqueue(plan *planState, ticket *Ticket) {
	team := plan.team(ticket.Team)
	plan.waiting++
	c.waiting++
	for _, q := range team.queues {
		if q.kind == ticket.Kind && q.class == ticket.Class {
			q.tickets = append(q.tickets, ticket)
			return
		}
	}
	team.queues = append(team.queues, &queue{kind: ticket.Kind, class: ticket.Class, tickets: []*Ticket{ticket}})
}

// Withdraw takes back a ticket whose caller has gone. It reports false if the
// ticket was granted, in which case the caller has to release the slot.
func (c *Core) Withdraw(ticket *Ticket) bool {
	if ticket.state != ticketWaiting {
		return ticket.state == ticketDone
	}
	c.dequeue(ticket)
	ticket.state = ticketDone
	return true
}

func (c *Core) dequeue(ticket *Ticket) {
	plan := c.plan(ticket.Plan)
	for _, q := range plan.team(ticket.Team).queues {
		for i, waiting := range q.tickets {
			if waiting == ticket {
				q.tickets = append(q.tickets[:i:i], q.tickets[i+1:]...)
				plan.waiting--
				c.waiting--
				return
			}
		}
	}
}

// Release returns the slot of a granted ticket.
func (c *Core) Release(ticket *Ticket, now time.Time) {
	if ticket.state != ticketRunning {
		return
	}
	ticket.state = ticketDone
	plan := c.plan(ticket.Plan)
	plan.running--
	plan.team(ticket.Team).running--
	c.running--
	if ticket.Class == ClassLong || ticket.overdue {
		plan.long--
		c.long--
	}
	state := ticket.slot
	state.holder = nil
	if state.removed {
		delete(c.slots, slotKey{state.slot.Upstream, state.slot.Number})
	} else {
		c.pushFree(state)
	}
	c.grant(now)
}

// Tick refuses waiting tickets that can't be answered in time any more, and
// counts short work that has run too long as long.
func (c *Core) Tick(now time.Time) {
	for _, plan := range c.plans {
		for _, team := range plan.teams {
			for _, q := range team.queues {
				c.expire(plan, q, now)
			}
		}
	}
	for _, state := range c.slots {
		c.checkOverdue(state.holder, now)
	}
	c.meanShortSlots += shortSlotsSmoothing * (float64(c.running-c.long) - c.meanShortSlots)
	c.grant(now)
}

// longLimit is the number of slots that long work may hold: all but those for
// short work only, and but those that short work needs to find one free nearly
// always (its mean use and twice the square root of that).
func (c *Core) longLimit() int {
	needed := c.meanShortSlots + 2*math.Sqrt(c.meanShortSlots)
	return min(c.general, c.total-int(math.Ceil(needed)))
}

func (c *Core) expire(plan *planState, q *queue, now time.Time) {
	remaining := q.tickets[:0]
	for _, ticket := range q.tickets {
		if ticket.meetsDeadline(0, now) {
			remaining = append(remaining, ticket)
			continue
		}
		plan.waiting--
		c.waiting--
		c.refuse(ticket, Outcome{Err: ErrOverloaded, RetryAfter: c.options.minRetryAfter})
	}
	clear(q.tickets[len(remaining):])
	q.tickets = remaining
}

func (c *Core) checkOverdue(ticket *Ticket, now time.Time) {
	if ticket == nil || ticket.Class == ClassLong || ticket.overdue {
		return
	}
	limit := max(c.options.overdueFactor*ticket.ExpectedRunTime, c.options.minOverdue)
	if now.Sub(ticket.started) < limit {
		return
	}
	ticket.overdue = true
	c.plan(ticket.Plan).long++
	c.long++
	c.newlyOverdue = append(c.newlyOverdue, ticket)
}

// TakeOverdue returns the tickets that have become overdue since the last
// call.
func (c *Core) TakeOverdue() []*Ticket {
	overdue := c.newlyOverdue
	c.newlyOverdue = nil
	return overdue
}

// Elapsed returns how long a granted ticket has run.
func (t *Ticket) Elapsed(now time.Time) time.Duration {
	return now.Sub(t.started)
}

// meetsDeadline reports whether an answer can come back before the deadline if the
// ticket starts after a wait. Some of the time is kept back, since work that
// ends just late has used its slot for nothing.
func (t *Ticket) meetsDeadline(wait time.Duration, now time.Time) bool {
	margin := min(t.ExpectedRunTime/marginDivisor+minMargin, maxMargin)
	return now.Add(wait + t.ExpectedRunTime + margin).Before(t.Deadline)
}

// Load describes the present use.
type Load struct {
	Slots   int `json:"slots"`
	Running int `json:"running"`
	Long    int `json:"long"`
	Waiting int `json:"waiting"`
}

// Load returns the present use.
func (c *Core) Load() Load {
	return Load{Slots: c.total, Running: c.running, Long: c.long, Waiting: c.waiting}
}
