package coordinator_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"cranberrystack.dev/cranberrystack/coordinator"
	"cranberrystack.dev/cranberrystack/faker"
	"cranberrystack.dev/cranberrystack/identifier"
	"cranberrystack.dev/cranberrystack/scheduler"
)

// load delays what an instance short of processor delays: its writes to the log, which
// hold up its event loop, the messages between instances, calls to workers and their
// responses, and reports. What is delayed is not lost, even if its sender has given up.
type load struct {
	// calls are those that are under way, also those that their senders have given up.
	calls  sync.WaitGroup
	mu     sync.Mutex
	random *rand.Rand
	limits loadLimits
}

// loadLimits holds the longest delays. noConnection is how often an instance has no
// connection for a start.
type loadLimits struct {
	write, link, order, poll, report time.Duration
	noConnection                     float64
}

func newLoad(seed uint64) *load { return &load{random: rand.New(rand.NewPCG(seed, 3))} }

func (l *load) set(limits loadLimits) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limits = limits
}

// delay returns a random delay below a limit, mostly a short one.
func (l *load) delay(limit func(*loadLimits) time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	longest := limit(&l.limits)
	if longest <= 0 {
		return 0
	}
	if l.random.IntN(3) > 0 {
		longest /= 8
	}
	return time.Duration(l.random.Int64N(int64(longest) + 1))
}

func (l *load) delayOfWrite() time.Duration {
	return l.delay(func(limits *loadLimits) time.Duration { return limits.write })
}

func (l *load) delayOfLink() time.Duration {
	return l.delay(func(limits *loadLimits) time.Duration { return limits.link })
}

func (l *load) delayOfOrder() time.Duration {
	return l.delay(func(limits *loadLimits) time.Duration { return limits.order })
}

func (l *load) delayOfPoll() time.Duration {
	return l.delay(func(limits *loadLimits) time.Duration { return limits.poll })
}

func (l *load) delayOfReport() time.Duration {
	return l.delay(func(limits *loadLimits) time.Duration { return limits.report })
}

func (l *load) lacksConnection() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.random.Float64() < l.limits.noConnection
}

// maxCallTime bounds a call that its sender has given up.
const maxCallTime = 4 * time.Second

// overSlowLink makes a call whose request arrives even if its sender has given up, and
// whose response is delayed.
func overSlowLink[T any](ctx context.Context, l *load, call func(context.Context) (T, error)) (T, error) {
	return slowCall(ctx, l, 0, l.delayOfLink(), call)
}

// slowCall makes a call after a delay and returns its result after another one, or
// faker.ErrNoAnswer once ctx has ended.
func slowCall[T any](ctx context.Context, l *load, request, response time.Duration, call func(context.Context) (T, error)) (T, error) {
	type result struct {
		value T
		err   error
	}
	results := make(chan result, 1)
	l.calls.Add(1)
	go func() {
		defer l.calls.Done()
		time.Sleep(request)
		own, cancel := context.WithTimeout(context.WithoutCancel(ctx), maxCallTime)
		defer cancel()
		value, err := call(own)
		time.Sleep(response)
		results <- result{value, err}
	}()
	select {
	case r := <-results:
		return r.value, r.err
	case <-ctx.Done():
		var none T
		return none, faker.ErrNoAnswer
	}
}

// slowOrders delays the calls to workers and their responses independently of each
// other, so that they may overtake each other.
func (l *load) slowOrders(orders coordinator.Orders) coordinator.Orders {
	return coordinator.Orders{
		Start: func(ctx context.Context, to coordinator.Destination, order coordinator.StartOrder) (coordinator.OrderAnswer, error) {
			if l.lacksConnection() {
				return coordinator.OrderAnswer{}, fmt.Errorf("too many open files: %w", coordinator.ErrNoConnection)
			}
			return slowCall(ctx, l, l.delayOfOrder(), l.delayOfOrder(), func(ctx context.Context) (coordinator.OrderAnswer, error) { return orders.Start(ctx, to, order) })
		},
		Stop: func(ctx context.Context, to coordinator.Destination, order coordinator.RunOrder) (coordinator.OrderAnswer, error) {
			return slowCall(ctx, l, l.delayOfOrder(), l.delayOfOrder(), func(ctx context.Context) (coordinator.OrderAnswer, error) { return orders.Stop(ctx, to, order) })
		},
		Pace: orders.Pace,
		Poll: func(ctx context.Context, to coordinator.Destination, order coordinator.PollOrder) (scheduler.PollResult, error) {
			return slowCall(ctx, l, l.delayOfPoll(), l.delayOfPoll(), func(ctx context.Context) (scheduler.PollResult, error) { return orders.Poll(ctx, to, order) })
		},
	}
}

// overload is one seeded sequence of jobs and of spans of load.
type overload struct {
	c        *cluster
	random   *rand.Rand
	accepted map[identifier.JobID]string
}

// Under seeded spans in which the instances are short of processor, so that the leader
// lease lapses and the leader changes again and again, no task may run twice.
func TestOverloadedInstances(t *testing.T) {
	for i := range *seedCount {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			setup := func(c *cluster) {
				c.load = newLoad(seed)
				limitListedEnds(c, seed)
			}
			inClusterWith(t, seed, 4, 4, setup, func(c *cluster) {
				o := &overload{c: c, random: rand.New(rand.NewPCG(seed, 4)), accepted: map[identifier.JobID]string{}}
				o.run()
				o.check()
			})
		})
	}
}

func (o *overload) run() {
	const bursts = 8
	for burst := range bursts {
		for part := range 1 + o.random.IntN(4) {
			limits := o.limits()
			o.c.load.set(limits)
			o.c.logEvent("load", "write", limits.write, "link", limits.link, "order", limits.order, "poll", limits.poll, "report", limits.report, "no-connection", limits.noConnection)
			if part == 0 || o.random.IntN(3) > 0 {
				o.submit(10*burst + part)
			}
			time.Sleep(time.Duration(200+o.random.IntN(1800)) * time.Millisecond)
		}
		if o.random.IntN(2) == 0 {
			// All leases of the workers end meanwhile.
			o.c.load.set(loadLimits{})
			time.Sleep(time.Duration(6000+o.random.IntN(4000)) * time.Millisecond)
		}
	}
	o.c.load.set(loadLimits{})
}

// limits returns random limits; each is zero in a part of the cases.
func (o *overload) limits() loadLimits {
	pick := func(millis ...int) time.Duration {
		return time.Duration(millis[o.random.IntN(len(millis))]) * time.Millisecond
	}
	return loadLimits{
		write: pick(0, 0, 20, 100, 400, 1500), link: pick(0, 0, 50, 150, 400, 1000), order: pick(0, 0, 300, 1500, 3000),
		poll: pick(0, 800, 2500, 8000), report: pick(0, 500, 2000), noConnection: []float64{0, 0, 0.9, 0.98}[o.random.IntN(4)],
	}
}

func (o *overload) submit(round int) {
	for i := range 1 + o.random.IntN(2) {
		id := jobID(100*round + i + 1)
		request := scheduler.Request{Spec: "s", Steps: []scheduler.Step{step(1+o.random.IntN(16), int64(100+o.random.IntN(2000)), 1)}}
		queue := []string{"urgent", "long"}[o.random.IntN(2)]
		if answer := o.c.call(o.c.t.Context(), o.c.submitCall(queue, id, request)); answer.OK() {
			o.accepted[id] = queue
		}
	}
}

// check waits until all accepted jobs are completed.
func (o *overload) check() {
	o.c.waitForLeader(10 * time.Second)
	for id, queue := range o.accepted {
		o.c.waitForState(queue, id, "completed", 60*time.Second)
	}
	time.Sleep(12 * time.Second)
}
