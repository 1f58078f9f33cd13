package limiter

import (
	"container/heap"
	"errors"
	"fmt"
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"cranberrystack.dev/cranberrystack/identifier"
	"cranberrystack.dev/cranberrystack/router"
)

// stream is an open loop of requests of one plan.
type stream struct {
	plan      identifier.PlanID
	class     Class
	perSecond float64
	runTime   time.Duration
	deadline  time.Duration
	expected  time.Duration
}

type tally struct {
	offered, answered, refused int
	waits                      []time.Duration
}

func (t *tally) p99() time.Duration {
	sort.Slice(t.waits, func(i, j int) bool { return t.waits[i] < t.waits[j] })
	if len(t.waits) == 0 {
		return 0
	}
	return t.waits[len(t.waits)*99/100]
}

type event struct {
	at     time.Time
	number int
	run    func(now time.Time)
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].number < e[j].number
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push adds an event.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop removes the last event.
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// simulation plays streams against a core in virtual time.
type simulation struct {
	core    *Core
	random  *rand.Rand
	queue   events
	number  int
	start   time.Time
	tallies map[identifier.PlanID]*tally
	pending []*pendingTicket
}

type pendingTicket struct {
	ticket  *Ticket
	stream  stream
	offered time.Time
}

func newSimulation(slots int, shares map[identifier.PlanID]float64, seed uint64) *simulation {
	d := &simulation{
		core: NewCore(), random: rand.New(rand.NewPCG(seed, 3)),
		start: time.Unix(0, 0), tallies: map[identifier.PlanID]*tally{},
	}
	var own []router.Slot
	for i := range slots {
		own = append(own, router.Slot{Upstream: identifier.UpstreamID(fmt.Sprint("u", i/8)), Number: i % 8, ShortOnly: i%8 < 2})
	}
	d.core.SetSlots(own, d.start)
	d.core.SetShares(shares)
	return d
}

func (d *simulation) schedule(when time.Time, run func(now time.Time)) {
	d.number++
	heap.Push(&d.queue, event{at: when, number: d.number, run: run})
}

func (d *simulation) run(streams []stream, length time.Duration) {
	end := d.start.Add(length)
	for _, s := range streams {
		d.scheduleArrival(s, d.start, end)
	}
	for when := d.start; when.Before(end); when = when.Add(50 * time.Millisecond) {
		d.schedule(when, func(now time.Time) { d.core.Tick(now) })
	}
	for d.queue.Len() > 0 {
		next := heap.Pop(&d.queue).(event)
		next.run(next.at)
		d.collectOutcomes(next.at)
	}
}

func (d *simulation) scheduleArrival(s stream, now, end time.Time) {
	gap := time.Duration(d.random.ExpFloat64() / s.perSecond * float64(time.Second))
	next := now.Add(gap)
	if next.After(end) {
		return
	}
	d.schedule(next, func(now time.Time) {
		ticket := NewTicket()
		ticket.Plan, ticket.Kind, ticket.Class = s.plan, string(s.class), s.class
		ticket.Weight, ticket.ExpectedRunTime = 1, s.expected
		ticket.Deadline = now.Add(s.deadline)
		if d.tallies[s.plan] == nil {
			d.tallies[s.plan] = &tally{}
		}
		d.tallies[s.plan].offered++
		d.core.Offer(ticket, now)
		d.pending = append(d.pending, &pendingTicket{ticket: ticket, stream: s, offered: now})
		d.scheduleArrival(s, now, end)
	})
}

// collectOutcomes takes the outcomes that the core has given.
func (d *simulation) collectOutcomes(now time.Time) {
	var waiting []*pendingTicket
	for _, p := range d.pending {
		select {
		case outcome := <-p.ticket.Outcome:
			d.handleOutcome(p, outcome, now)
		default:
			waiting = append(waiting, p)
		}
	}
	d.pending = waiting
}

func (d *simulation) handleOutcome(p *pendingTicket, outcome Outcome, now time.Time) {
	own := d.tallies[p.stream.plan]
	if outcome.Err != nil {
		own.refused++
		return
	}
	d.schedule(now.Add(p.stream.runTime), func(now time.Time) {
		if !now.After(p.ticket.Deadline) {
			own.answered++
		}
		if p.stream.class == ClassShort {
			own.waits = append(own.waits, now.Sub(p.offered))
		}
		d.core.Release(p.ticket, now)
	})
}

// TestOverloadByOneMemberKeepsSharesOfOthers offers 5 times the capacity, nearly all of
// it from one member. The others get 0.99 of what they ask within their share,
// and nothing of the capacity is wasted.
func TestOverloadByOneMemberKeepsSharesOfOthers(t *testing.T) {
	const (
		slots    = 40
		run      = 100 * time.Millisecond
		length   = 20 * time.Second
		capacity = slots / 0.1
	)
	shares := map[identifier.PlanID]float64{"storm": 0.4, "calm": 0.3, "quiet": 0.3}
	tests := []struct {
		name    string
		streams []stream
	}{
		{"storm of short work", []stream{
			{"storm", ClassShort, 4.6 * capacity, run, time.Second, run},
			{"calm", ClassShort, 0.2 * capacity, run, time.Second, run},
			{"quiet", ClassShort, 0.2 * capacity, run, time.Second, run},
		}},
		{"storm of work with wrong expectations", []stream{
			{"storm", ClassShort, 4.6 * capacity, run, time.Second, 10 * time.Millisecond},
			{"calm", ClassShort, 0.2 * capacity, run, time.Second, run},
			{"quiet", ClassShort, 0.2 * capacity, run, time.Second, run},
		}},
		{"storm of long work", []stream{
			{"storm", ClassLong, 40, 5 * time.Second, 20 * time.Second, 5 * time.Second},
			{"calm", ClassShort, 0.25 * capacity, run, time.Second, run},
			{"quiet", ClassShort, 0.25 * capacity, run, time.Second, run},
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d := newSimulation(slots, shares, 1)
			d.run(test.streams, length)
			for _, plan := range []identifier.PlanID{"calm", "quiet"} {
				own := d.tallies[plan]
				if got := float64(own.answered) / float64(own.offered); got < 0.99 {
					t.Errorf("%s: %d of %d answered (%.3f), want 0.99", plan, own.answered, own.offered, got)
				}
			}
		})
	}
}

// TestOverloadUsesCapacity checks that at 5 times capacity the answers in time
// are at least 0.95 of what the slots could give.
func TestOverloadUsesCapacity(t *testing.T) {
	const (
		slots  = 40
		run    = 100 * time.Millisecond
		length = 20 * time.Second
	)
	possible := float64(slots) * length.Seconds() / run.Seconds()
	d := newSimulation(slots, map[identifier.PlanID]float64{"one": 0.5, "two": 0.5}, 2)
	d.run([]stream{
		{"one", ClassShort, 1000, run, 300 * time.Millisecond, run},
		{"two", ClassShort, 1000, run, 300 * time.Millisecond, run},
	}, length)
	answered := d.tallies["one"].answered + d.tallies["two"].answered
	if got := float64(answered) / possible; got < 0.95 {
		t.Errorf("answered %d of %.0f possible (%.3f), want 0.95", answered, possible, got)
	}
}

// TestStragglersDoNotBlockShortWork compares the short work's p99 with long
// stragglers to that without.
func TestStragglersDoNotBlockShortWork(t *testing.T) {
	short := stream{"crew", ClassShort, 200, 20 * time.Millisecond, 5 * time.Second, 20 * time.Millisecond}
	p99 := func(streams ...stream) time.Duration {
		d := newSimulation(40, map[identifier.PlanID]float64{"crew": 0.5, "survey": 0.5}, 3)
		d.run(streams, 30*time.Second)
		return d.tallies["crew"].p99()
	}
	without := p99(short)
	with := p99(short, stream{"survey", ClassLong, 200, time.Second, time.Minute, time.Second})
	if with > without*3/2 {
		t.Errorf("short work's p99 is %s with stragglers, %s without; want at most 1.5 times", with, without)
	}
}

func TestOfferRefusalReasons(t *testing.T) {
	now := time.Unix(0, 0)
	tests := []struct {
		name     string
		slots    int
		expected time.Duration
		deadline time.Duration
		ahead    int
		want     error
	}{
		{"no time left", 1, time.Second, 500 * time.Millisecond, 0, ErrExpired},
		{"no upstream", 0, time.Millisecond, time.Second, 0, ErrNoUpstream},
		{"queue too long for the deadline", 1, 100 * time.Millisecond, time.Second, 20, ErrOverloaded},
		{"queue short enough", 1, 100 * time.Millisecond, time.Second, 3, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := NewCore()
			var own []router.Slot
			for i := range test.slots {
				own = append(own, router.Slot{Upstream: "u", Number: i})
			}
			c.SetSlots(own, now)
			offer := func() *Ticket {
				ticket := NewTicket()
				ticket.Plan, ticket.Class, ticket.Weight = "plan", ClassShort, 1
				ticket.ExpectedRunTime, ticket.Deadline = test.expected, now.Add(test.deadline)
				c.Offer(ticket, now)
				return ticket
			}
			for range test.ahead {
				offer()
			}
			last := offer()
			var got error
			select {
			case outcome := <-last.Outcome:
				got = outcome.Err
			default:
			}
			if !errors.Is(got, test.want) {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}
