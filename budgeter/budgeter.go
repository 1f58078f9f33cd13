// Package budgeter divides the connections that a process may hold open among
// their purposes, so that a storm for one purpose leaves those of the others alone.
// Connections beyond a purpose's share wait in the order of their urgency. What is
// not shared out is the reserve of files. It also bounds the memory that the requests on
// all accepted connections take.
package budgeter

import (
	"container/heap"
	"container/list"
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// ErrExhausted reports a connection that was not opened, since its purpose's share
// was used up until the context ended.
var ErrExhausted = eris.New("no connection left in the share")

// Purpose names what connections are used for.
type Purpose string

// Share is what a purpose may use. Both numbers are at least 1.
type Share struct {
	// Open bounds the open connections, with those being dialled.
	Open int
	// Dialling bounds the dials at one time.
	Dialling int
}

// Budgeter tracks the connections of each purpose. It is safe for concurrent use.
type Budgeter struct {
	// start is the origin of the times of use.
	start  time.Time
	mu     sync.Mutex
	states map[Purpose]*state
	memory memory
}

// state is the use of one share.
type state struct {
	share Share
	// open counts the connections that are open or being dialled, and dialling the
	// latter.
	open, dialling int
	peak           int
	waiting        waitQueue
	arrivals       uint64
	// dialled holds the open connections that were dialled.
	dialled map[*trackedConn]bool
	// served holds the accepted connections that wait for their clients, those that have
	// waited longest first.
	served    list.List
	exhausted int64
	evicted   int64
}

// New returns a budgeter with a share for each purpose.
func New(shares map[Purpose]Share) *Budgeter {
	b := &Budgeter{start: time.Now(), states: map[Purpose]*state{}}
	for purpose, share := range shares {
		b.states[purpose] = &state{share: Share{Open: max(1, share.Open), Dialling: max(1, share.Dialling)}, dialled: map[*trackedConn]bool{}}
	}
	return b
}

// Usage is the use of a share.
type Usage struct {
	Purpose Purpose `json:"purpose"`
	Limit   int     `json:"limit"`
	Open    int     `json:"open"`
	// Peak is the largest number of open connections so far.
	Peak    int `json:"peak"`
	Waiting int `json:"waiting"`
	// Exhausted counts the connections that were not opened or not accepted for
	// lack of a share, and Evicted those closed for a new one.
	Exhausted int64 `json:"exhausted"`
	Evicted   int64 `json:"evicted"`
}

// Usage returns the use of a share. A purpose without a share has none.
func (b *Budgeter) Usage(purpose Purpose) Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, known := b.states[purpose]
	if !known {
		return Usage{Purpose: purpose}
	}
	return Usage{
		Purpose: purpose, Limit: s.share.Open, Open: s.open, Peak: s.peak, Waiting: len(s.waiting),
		Exhausted: s.exhausted, Evicted: s.evicted,
	}
}

// Dial opens a connection.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

type urgencyKey struct{}

// WithUrgency returns a context whose dials wait with the given urgency; lower
// values go first. The default is 0.
func WithUrgency(ctx context.Context, urgency int) context.Context {
	return context.WithValue(ctx, urgencyKey{}, urgency)
}

// Dial returns a dial function that waits for the purpose's share. Its error wraps
// ErrExhausted if none was left until the context ended. A purpose without a share
// is not bounded.
func (b *Budgeter) Dial(purpose Purpose, dial Dial) Dial {
	s, known := b.states[purpose]
	if !known {
		return dial
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		if err := b.acquire(ctx, s); err != nil {
			return nil, fmt.Errorf("dial %s for %s: %w", address, purpose, err)
		}
		conn, err := dial(ctx, network, address)
		if err != nil {
			b.dialFailed(s)
			return nil, err
		}
		return b.track(s, conn), nil
	}
}

// IdleAge is the time since the last bytes on a connection after which it counts as
// idle and may be closed for another one. No call may wait longer for its response.
const IdleAge = 5 * time.Second

// closeLongestIdle closes the dialled connection that has been idle for longest. It
// returns false if there is none.
func (b *Budgeter) closeLongestIdle(s *state) bool {
	var longest *trackedConn
	b.mu.Lock()
	for conn := range s.dialled {
		if longest == nil || conn.usedAt.Load() < longest.usedAt.Load() {
			longest = conn
		}
	}
	if longest == nil || time.Since(b.start)-time.Duration(longest.usedAt.Load()) < IdleAge {
		b.mu.Unlock()
		return false
	}
	s.evicted++
	b.mu.Unlock()
	_ = longest.Close()
	return true
}

// acquire waits until a connection may be dialled.
func (b *Budgeter) acquire(ctx context.Context, s *state) error {
	urgency, _ := ctx.Value(urgencyKey{}).(int)
	b.mu.Lock()
	w := &waiter{urgency: urgency, arrival: s.arrivals, ready: make(chan struct{})}
	s.arrivals++
	heap.Push(&s.waiting, w)
	s.admit()
	full := !w.admitted() && s.open >= s.share.Open
	b.mu.Unlock()
	if full {
		b.closeLongestIdle(s)
	}
	select {
	case <-w.ready:
		return nil
	case <-ctx.Done():
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if w.admitted() {
		return nil
	}
	heap.Remove(&s.waiting, w.position)
	s.exhausted++
	return fmt.Errorf("%w: %w", ErrExhausted, ctx.Err())
}

// admit lets waiting dials begin while the share allows. The caller holds mu.
func (s *state) admit() {
	for len(s.waiting) > 0 && s.open < s.share.Open && s.dialling < s.share.Dialling {
		w := heap.Pop(&s.waiting).(*waiter)
		s.dialling++
		s.opened()
		close(w.ready)
	}
}

func (s *state) opened() {
	s.open++
	s.peak = max(s.peak, s.open)
}

func (b *Budgeter) dialFailed(s *state) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s.dialling--
	s.open--
	s.admit()
}

// track returns a dialled connection that returns to its share when it is closed.
func (b *Budgeter) track(s *state, conn net.Conn) net.Conn {
	tracked := &trackedConn{Conn: conn, start: b.start}
	tracked.use()
	tracked.release = func() {
		b.mu.Lock()
		delete(s.dialled, tracked)
		b.mu.Unlock()
		b.release(s)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	s.dialled[tracked] = true
	s.dialling--
	s.admit()
	return tracked
}

func (b *Budgeter) release(s *state) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s.open--
	s.admit()
}

// trackedConn calls release once when it is closed.
type trackedConn struct {
	net.Conn
	once    sync.Once
	release func()
	// usedAt is when bytes were last sent or received, in nanoseconds since start.
	usedAt atomic.Int64
	start  time.Time
}

func (c *trackedConn) use() { c.usedAt.Store(int64(time.Since(c.start))) }

// Read reads from the connection and notes its use.
func (c *trackedConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.use()
	return n, err
}

// Write writes to the connection and notes its use.
func (c *trackedConn) Write(data []byte) (int, error) {
	c.use()
	return c.Conn.Write(data)
}

// Close closes the connection and returns it to its share.
func (c *trackedConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(c.release)
	return err
}

// waiter is a dial that waits for a share.
type waiter struct {
	urgency int
	arrival uint64
	// position is its index in the queue, -1 once it has been admitted.
	position int
	ready    chan struct{}
}

func (w *waiter) admitted() bool { return w.position < 0 }

// waitQueue is a heap of the waiting dials, the most urgent first, then in the
// order of their arrival.
type waitQueue []*waiter

// Len returns the number of waiting dials.
func (q waitQueue) Len() int { return len(q) }

// Less reports whether dial i goes before dial j.
func (q waitQueue) Less(i, j int) bool {
	if q[i].urgency != q[j].urgency {
		return q[i].urgency < q[j].urgency
	}
	return q[i].arrival < q[j].arrival
}

// Swap exchanges two dials.
func (q waitQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].position, q[j].position = i, j
}

// Push appends a dial.
func (q *waitQueue) Push(value any) {
	w := value.(*waiter)
	w.position = len(*q)
	*q = append(*q, w)
}

// Pop removes the last dial.
func (q *waitQueue) Pop() any {
	last := len(*q) - 1
	w := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	w.position = -1
	return w
}
