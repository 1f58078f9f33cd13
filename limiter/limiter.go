// Package limiter decides which request gets the next free slot of the
// upstreams. Each plan has a guaranteed share of the slots. Other plans may use
// the unused part of it; the plan gets those slots back one by one as they are
// released. Waiting requests are held in bounded queues, and a request that
// can't be answered before its deadline is refused at once.
//
// Core makes these decisions. It does no I/O and has no clock: the present time
// is an argument, and the results are grants and refusals.
package limiter

import (
	"math"
	"time"

	"github.com/rotisserie/eris"

	"cranberrystack.dev/cranberrystack/identifier"
	"cranberrystack.dev/cranberrystack/router"
)

// ErrExpired reports a request whose deadline is too near for its expected run
// time.
var ErrExpired = eris.New("deadline leaves no time to run")

// ErrOverloaded reports a request that can't be answered before its deadline
// because too many others are waiting, or whose queue is full.
var ErrOverloaded = eris.New("too much work is waiting")

// ErrNoUpstream reports that no upstream accepts work.
var ErrNoUpstream = eris.New("no upstream takes work")

// Class is the class of a request. Short work may use every slot, long work only
// the general ones.
type Class string

// The classes of requests.
const (
	ClassShort Class = "short"
	ClassLong  Class = "long"
)

// Ticket is a request for a slot.
type Ticket struct {
	Member   identifier.MemberID
	Plan     identifier.PlanID
	Team     identifier.TeamID
	Kind     string
	Class    Class
	Deadline time.Time
	// Weight is the value of a response, relative to other kinds of request.
	Weight float64
	// ExpectedRunTime is the estimated run time of the kind.
	ExpectedRunTime time.Duration
	// AvoidUpstream is the upstream on which an attempt of the request just
	// failed, or empty. Its slots are used only if there is no other.
	AvoidUpstream identifier.UpstreamID

	queued time.Time
	// started is when the slot was granted.
	started time.Time
	// state is changed by Core only.
	state ticketState
	slot  *slotState
	// overdue is set for short work that has run so long that it counts as long.
	overdue bool
	// Outcome receives exactly one value, unless the ticket is withdrawn.
	Outcome chan Outcome
}

type ticketState int

const (
	ticketWaiting ticketState = iota
	ticketRunning
	ticketDone
)

// Outcome is the grant or the refusal of a ticket.
type Outcome struct {
	Slot router.Slot
	// Err is nil for a grant.
	Err error
	// RetryAfter is how long a refused caller should wait before it retries.
	RetryAfter time.Duration
}

// NewTicket returns a ticket for Core.Offer.
func NewTicket() *Ticket {
	return &Ticket{Outcome: make(chan Outcome, 1)}
}

// valuePerSecond returns the value of a second of slot time that is spent on the
// ticket.
func (t *Ticket) valuePerSecond() float64 {
	return t.Weight / max(t.ExpectedRunTime, time.Millisecond).Seconds()
}

type slotState struct {
	slot router.Slot
	// holder is nil while the slot is free.
	holder *Ticket
	// removed is set for a slot that is deleted once its holder releases it.
	removed bool
}

type slotKey struct {
	upstream identifier.UpstreamID
	number   int
}

// planState holds the slot use and the queues of one plan.
type planState struct {
	id identifier.PlanID
	// share is the guaranteed share of all slots, from 0 to 1.
	share float64
	// running is the number of slots that the plan holds, long the number of
	// those held by long work, overdue short work included, and waiting the number
	// of queued tickets.
	running int
	long    int
	waiting int
	teams   map[identifier.TeamID]*teamState
	// order lists the teams in the order in which they were first seen, so that
	// the choice among equal teams is stable.
	order []identifier.TeamID
}

type teamState struct {
	running int
	queues  []*queue
}

// queue holds the waiting tickets of one kind and class, oldest first.
type queue struct {
	kind    string
	class   Class
	tickets []*Ticket
}

// Core assigns the slots of one entry instance to tickets. It is not safe for
// concurrent use.
type Core struct {
	options options
	slots   map[slotKey]*slotState
	// free holds the free general slots, freeShort the free short-only ones.
	free      []*slotState
	freeShort []*slotState
	plans     map[identifier.PlanID]*planState
	order     []identifier.PlanID
	// total is the number of slots that are not removed, and general the number of
	// those that long work may use. running is the number of held slots, removed
	// ones included, so it may exceed total.
	total   int
	general int
	running int
	// long is the number of slots held by long work, overdue short work included.
	long    int
	waiting int
	// nextPlan is the index in order at which the next choice of a plan begins,
	// so that equal plans take turns.
	nextPlan int
	// meanShortSlots is the moving average of the slots that short work holds.
	meanShortSlots float64
	// newlyOverdue holds the tickets for the next call of TakeOverdue.
	newlyOverdue []*Ticket
}

// NewCore returns a core without slots and shares.
func NewCore(opts ...Option) *Core {
	return &Core{
		options: newOptions(opts...),
		slots:   map[slotKey]*slotState{}, plans: map[identifier.PlanID]*planState{},
	}
}

// SetSlots replaces the slots. A removed slot that is held is deleted once its
// holder releases it.
func (c *Core) SetSlots(slots []router.Slot, now time.Time) {
	wanted := map[slotKey]router.Slot{}
	for _, slot := range slots {
		wanted[slotKey{slot.Upstream, slot.Number}] = slot
	}
	for key, state := range c.slots {
		slot, found := wanted[key]
		state.removed = !found
		if found {
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

// recount rebuilds the lists of free slots and the counts of slots.
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

// SetShares replaces the guaranteed shares of the plans, each from 0 to 1. A
// plan that is not in the map has no share.
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

// Offer grants, queues or refuses a new ticket. Refusals have the error
// ErrExpired, ErrNoUpstream or ErrOverloaded.
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

// expectedWait estimates how long a ticket would wait for other tickets of its
// plan that start before it.
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

// Withdraw removes a ticket whose caller no longer waits. It returns false if
// the ticket has been granted; the slot must then be released.
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

// Release frees the slot of a granted ticket. It must be called once the request
// has ended.
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

// Tick refuses waiting tickets that can't be answered before their deadlines any
// more, and counts overdue short work as long. It must be called at regular
// intervals.
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

// longLimit returns the number of slots that long work may hold: at most the
// general slots, and at most the total less the slots with which short work nearly
// always finds a free one. Those are its mean use plus twice the square root of
// that.
func (c *Core) longLimit() int {
	needed := c.meanShortSlots + 2*math.Sqrt(c.meanShortSlots)
	return min(c.general, c.total-int(math.Ceil(needed)))
}

// expire refuses the tickets of a queue that can't be answered before their
// deadlines any more.
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

// checkOverdue counts short work as long once it is overdue. ticket may be nil.
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

// TakeOverdue returns the tickets that became overdue since the last call.
func (c *Core) TakeOverdue() []*Ticket {
	overdue := c.newlyOverdue
	c.newlyOverdue = nil
	return overdue
}

// Elapsed returns how long a granted ticket has run.
func (t *Ticket) Elapsed(now time.Time) time.Duration {
	return now.Sub(t.started)
}

// meetsDeadline reports whether a response can be expected before the deadline
// if the ticket starts after a wait. It includes a safety margin, because work
// that ends just after its deadline has wasted a slot.
func (t *Ticket) meetsDeadline(wait time.Duration, now time.Time) bool {
	margin := min(t.ExpectedRunTime/marginDivisor+minMargin, maxMargin)
	return now.Add(wait + t.ExpectedRunTime + margin).Before(t.Deadline)
}

// Load counts the slots and the waiting tickets. Running counts the slots that are
// held, removed ones included, and Long those of them that long or overdue short
// work holds.
type Load struct {
	Slots   int `json:"slots"`
	Running int `json:"running"`
	Long    int `json:"long"`
	Waiting int `json:"waiting"`
}

// Load returns the present load.
func (c *Core) Load() Load {
	return Load{Slots: c.total, Running: c.running, Long: c.long, Waiting: c.waiting}
}
