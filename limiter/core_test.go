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

// stream is an open-loop workload: requests of one plan that arrive at random
// times with a fixed mean rate.
type stream struct {
	plan      identifier.PlanID
	class     Class
	perSecond float64
	runTime   time.Duration
	deadline  time.Duration
	expected  time.Duration
}

// tally counts the requests of one plan and their outcomes. responseTimes holds the
// time from arrival to response of each short request.
type tally struct {
	offered, answered, refused int
	responseTimes              []time.Duration
}

func (t *tally) p99() time.Duration {
	sort.Slice(t.responseTimes, func(i, j int) bool { return t.responseTimes[i] < t.responseTimes[j] })
	if len(t.responseTimes) == 0 {
		return 0
	}
	return t.responseTimes[len(t.responseTimes)*99/100]
}

// event is a function that a simulation runs at a time. Events at the same time
// run in the order of their sequence numbers.
type event struct {
	at       time.Time
	sequence int
	run      func(now time.Time)
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].sequence < e[j].sequence
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

// simulation runs streams against a core in virtual time.
type simulation struct {
	core         *Core
	random       *rand.Rand
	queue        events
	lastSequence int
	start        time.Time
	tallies      map[identifier.PlanID]*tally
	pending      []*pendingTicket
}

// pendingTicket is a ticket without an outcome.
type pendingTicket struct {
	ticket  *Ticket
	stream  stream
	offered time.Time
}

// newSimulation returns a simulation with upstreams of 8 slots each, of which 2
// are short-only.
func newSimulation(slots int, shares map[identifier.PlanID]float64, seed uint64) *simulation {
	sim := &simulation{
		core: NewCore(), random: rand.New(rand.NewPCG(seed, 3)),
		start: time.Unix(0, 0), tallies: map[identifier.PlanID]*tally{},
	}
	var generated []router.Slot
	for i := range slots {
		generated = append(generated, router.Slot{Upstream: identifier.UpstreamID(fmt.Sprint("u", i/8)), Number: i % 8, ShortOnly: i%8 < 2})
	}
	sim.core.SetSlots(generated, sim.start)
	sim.core.SetShares(shares)
	return sim
}

func (sim *simulation) schedule(when time.Time, run func(now time.Time)) {
	sim.lastSequence++
	heap.Push(&sim.queue, event{at: when, sequence: sim.lastSequence, run: run})
}

// run simulates the streams for a time and then until all events have run.
func (sim *simulation) run(streams []stream, length time.Duration) {
	end := sim.start.Add(length)
	for _, s := range streams {
		sim.scheduleArrival(s, sim.start, end)
	}
	for when := sim.start; when.Before(end); when = when.Add(50 * time.Millisecond) {
		sim.schedule(when, func(now time.Time) { sim.core.Tick(now) })
	}
	for sim.queue.Len() > 0 {
		next := heap.Pop(&sim.queue).(event)
		next.run(next.at)
		sim.collectOutcomes(next.at)
	}
}

// scheduleArrival schedules the next request of a stream, which schedules the
// one after it when it arrives. Arrivals are a Poisson process.
func (sim *simulation) scheduleArrival(s stream, now, end time.Time) {
	gap := time.Duration(sim.random.ExpFloat64() / s.perSecond * float64(time.Second))
	next := now.Add(gap)
	if next.After(end) {
		return
	}
	sim.schedule(next, func(now time.Time) {
		ticket := NewTicket()
		ticket.Plan, ticket.Kind, ticket.Class = s.plan, string(s.class), s.class
		ticket.Weight, ticket.ExpectedRunTime = 1, s.expected
		ticket.Deadline = now.Add(s.deadline)
		if sim.tallies[s.plan] == nil {
			sim.tallies[s.plan] = &tally{}
		}
		sim.tallies[s.plan].offered++
		sim.core.Offer(ticket, now)
		sim.pending = append(sim.pending, &pendingTicket{ticket: ticket, stream: s, offered: now})
		sim.scheduleArrival(s, now, end)
	})
}

// collectOutcomes handles the tickets that the core has granted or refused.
func (sim *simulation) collectOutcomes(now time.Time) {
	var waiting []*pendingTicket
	for _, p := range sim.pending {
		select {
		case outcome := <-p.ticket.Outcome:
			sim.handleOutcome(p, outcome, now)
		default:
			waiting = append(waiting, p)
		}
	}
	sim.pending = waiting
}

// handleOutcome counts a refusal, or schedules the end of a granted request.
func (sim *simulation) handleOutcome(p *pendingTicket, outcome Outcome, now time.Time) {
	counts := sim.tallies[p.stream.plan]
	if outcome.Err != nil {
		counts.refused++
		return
	}
	sim.schedule(now.Add(p.stream.runTime), func(now time.Time) {
		if !now.After(p.ticket.Deadline) {
			counts.answered++
		}
		if p.stream.class == ClassShort {
			counts.responseTimes = append(counts.responseTimes, now.Sub(p.offered))
		}
		sim.core.Release(p.ticket, now)
	})
}

// TestOverloadByOneMemberKeepsSharesOfOthers guards against one plan that takes
// the guaranteed shares of others. At 5 times the capacity, nearly all of it from
// one member, the others must get 0.99 of their requests within their shares
// answered.
func TestOverloadByOneMemberKeepsSharesOfOthers(t *testing.T) {
	const (
		slots    = 40
		run      = 100 * time.Millisecond
		length   = 20 * time.Second
		capacity = slots / 0.1
	)
	shares := map[identifier.PlanID]float64{"noisy": 0.4, "calm": 0.3, "quiet": 0.3}
	tests := []struct {
		name    string
		streams []stream
	}{
		{"overload of short work", []stream{
			{"noisy", ClassShort, 4.6 * capacity, run, time.Second, run},
			{"calm", ClassShort, 0.2 * capacity, run, time.Second, run},
			{"quiet", ClassShort, 0.2 * capacity, run, time.Second, run},
		}},
		{"overload of work with a wrong expected run time", []stream{
			{"noisy", ClassShort, 4.6 * capacity, run, time.Second, 10 * time.Millisecond},
			{"calm", ClassShort, 0.2 * capacity, run, time.Second, run},
			{"quiet", ClassShort, 0.2 * capacity, run, time.Second, run},
		}},
		{"overload of long work", []stream{
			{"noisy", ClassLong, 40, 5 * time.Second, 20 * time.Second, 5 * time.Second},
			{"calm", ClassShort, 0.25 * capacity, run, time.Second, run},
			{"quiet", ClassShort, 0.25 * capacity, run, time.Second, run},
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			sim := newSimulation(slots, shares, 1)
			sim.run(test.streams, length)
			for _, plan := range []identifier.PlanID{"calm", "quiet"} {
				counts := sim.tallies[plan]
				if got := float64(counts.answered) / float64(counts.offered); got < 0.99 {
					t.Errorf("%s: %d of %d answered (%.3f), want 0.99", plan, counts.answered, counts.offered, got)
				}
			}
		})
	}
}

// TestOverloadUsesCapacity guards against capacity that is wasted under
// overload. At 5 times the capacity, the responses in time must be at least 0.95
// of what the slots can deliver.
func TestOverloadUsesCapacity(t *testing.T) {
	const (
		slots  = 40
		run    = 100 * time.Millisecond
		length = 20 * time.Second
	)
	possible := float64(slots) * length.Seconds() / run.Seconds()
	sim := newSimulation(slots, map[identifier.PlanID]float64{"one": 0.5, "two": 0.5}, 2)
	sim.run([]stream{
		{"one", ClassShort, 1000, run, 300 * time.Millisecond, run},
		{"two", ClassShort, 1000, run, 300 * time.Millisecond, run},
	}, length)
	answered := sim.tallies["one"].answered + sim.tallies["two"].answered
	if got := float64(answered) / possible; got < 0.95 {
		t.Errorf("answered %d of %.0f possible (%.3f), want 0.95", answered, possible, got)
	}
}

// TestStragglersDoNotBlockShortWork guards against long stragglers that hold the
// slots which short work needs. It compares the p99 of short work with and
// without them.
func TestStragglersDoNotBlockShortWork(t *testing.T) {
	short := stream{"crew", ClassShort, 200, 20 * time.Millisecond, 5 * time.Second, 20 * time.Millisecond}
	p99 := func(streams ...stream) time.Duration {
		sim := newSimulation(40, map[identifier.PlanID]float64{"crew": 0.5, "survey": 0.5}, 3)
		sim.run(streams, 30*time.Second)
		return sim.tallies["crew"].p99()
	}
	without := p99(short)
	with := p99(short, stream{"survey", ClassLong, 200, time.Second, time.Minute, time.Second})
	if with > without*3/2 {
		t.Errorf("short work's p99 is %s with stragglers, %s without; want at most 1.5 times", with, without)
	}
}

// TestOfferRefusalReasons guards against a ticket that is refused for the wrong
// reason, or queued although it can't be answered before its deadline.
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
			var generated []router.Slot
			for i := range test.slots {
				generated = append(generated, router.Slot{Upstream: "u", Number: i})
			}
			c.SetSlots(generated, now)
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
