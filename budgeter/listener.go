package budgeter

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// patience is how long a request whose head has been read may wait for its client before
// its connection may be closed for another one.
const patience = time.Second

// Listener accepts connections within a share. Beyond it, the connection that has
// waited for its client for longest is closed for a new one; if none waits for its
// client, the new one is closed, before anything is read from it. ConnState and
// ConnContext must be set as the hooks of the server that uses the listener, and its
// handler must be wrapped by Bound.
type Listener struct {
	net.Listener
	budgeter *Budgeter
	state    *state
	// exempt reports connections that are never closed nor counted, such as those
	// of peers. It may be nil.
	exempt func(remote net.Addr) bool
}

// Listen bounds a listener by the purpose's share. Without a share only exempt
// connections differ from others, and none is closed.
func (b *Budgeter) Listen(purpose Purpose, listener net.Listener, exempt func(remote net.Addr) bool) *Listener {
	return &Listener{Listener: listener, budgeter: b, state: b.states[purpose], exempt: exempt}
}

// Accept waits for the next connection within the share.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.state == nil || l.isExempt(conn) {
			return conn, nil
		}
		if !l.take() {
			_ = conn.Close()
			continue
		}
		served := &servedConn{Conn: conn, listener: l}
		l.budgeter.enter(served, phaseIdle)
		return served, nil
	}
}

func (l *Listener) isExempt(conn net.Conn) bool {
	return l.exempt != nil && l.exempt(conn.RemoteAddr())
}

// take counts a connection, after it has closed another one if needed. It returns
// false if none may be closed.
func (l *Listener) take() bool {
	for !l.budgeter.tryTake(l.state) {
		if !l.closeLongestWaiting() {
			l.budgeter.countExhausted(l.state)
			return false
		}
	}
	return true
}

func (b *Budgeter) tryTake(s *state) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s.open >= s.share.Open {
		return false
	}
	s.opened()
	return true
}

func (b *Budgeter) countExhausted(s *state) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s.exhausted++
}

func (l *Listener) closeLongestWaiting() bool {
	b := l.budgeter
	b.mu.Lock()
	longest := l.state.longestWaiting(time.Since(b.start))
	if longest == nil {
		b.mu.Unlock()
		return false
	}
	b.drop(longest)
	l.state.evicted++
	b.mu.Unlock()
	_ = longest.Close()
	return true
}

// longestWaiting returns the connection that has waited for its client for longest,
// of those that may be closed for a new one.
func (s *state) longestWaiting(now time.Duration) *servedConn {
	for element := s.served.Front(); element != nil; element = element.Next() {
		c := element.Value.(*servedConn)
		if c.phase <= phaseHead || now-c.since >= patience {
			return c
		}
	}
	return nil
}

// ConnState tracks the phases of connections. A connection on which no request has
// arrived yet counts as idle.
func (l *Listener) ConnState(conn net.Conn, state http.ConnState) {
	c, served := conn.(*servedConn)
	if !served {
		return
	}
	switch state {
	case http.StateIdle:
		if !l.budgeter.ended(c) {
			_ = c.Close()
		}
	case http.StateActive:
		l.budgeter.enter(c, phaseHandling)
	}
}

type connKey struct{}

// ConnContext adds a connection to the context of its requests.
func (l *Listener) ConnContext(ctx context.Context, conn net.Conn) context.Context {
	if c, served := conn.(*servedConn); served {
		return context.WithValue(ctx, connKey{}, c)
	}
	return ctx
}

// phase is what happens on an accepted connection. In all phases but phaseHandling it
// waits for its client.
type phase int

const (
	// phaseIdle: no byte of a request has arrived.
	phaseIdle phase = iota
	// phaseHead: the head of a request arrives.
	phaseHead
	// phaseBody: the rest of a request arrives.
	phaseBody
	// phaseHandling: the request has been read completely, nothing of the response has
	// been sent.
	phaseHandling
	// phaseSending: the response is being sent.
	phaseSending
)

// servedConn is an accepted connection. Its fields are guarded by the budgeter's mu.
type servedConn struct {
	net.Conn
	listener *Listener
	once     sync.Once

	phase phase
	// since is when the phase began, after the budgeter's start.
	since time.Duration
	// dropped is set before the connection is closed; it then has no place in the
	// lists and no charge.
	dropped bool
	// waiting is its place in the list of its share, and charged that in the list of
	// the memory.
	waiting, charged *list.Element
	memoryUse
}

// Read reads from the connection. If the memory for the head of a request is missing,
// it closes the connection.
func (c *servedConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if n > 0 && !c.listener.budgeter.received(c, measure(data[:n]), len(data) == 1) {
		_ = c.Close()
		return c.Conn.Read(data)
	}
	return n, err
}

// Write writes to the connection.
func (c *servedConn) Write(data []byte) (int, error) {
	c.listener.budgeter.sending(c)
	return c.Conn.Write(data)
}

// Close closes the connection and returns it to its share.
func (c *servedConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(func() {
		b := c.listener.budgeter
		b.mu.Lock()
		b.drop(c)
		b.mu.Unlock()
		b.release(c.listener.state)
	})
	return err
}

// enter begins a phase of a connection.
func (b *Budgeter) enter(c *servedConn, next phase) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(c, next)
}

// advance begins a phase of a connection, from which on it counts as waiting for its
// client or not. The caller holds mu.
func (b *Budgeter) advance(c *servedConn, next phase) {
	if c.dropped || c.phase == next && c.waiting != nil {
		return
	}
	c.phase, c.since = next, time.Since(b.start)
	c.waiting = toBack(&c.listener.state.served, c.waiting, c, next != phaseHandling)
	c.charged = toBack(&b.memory.waiting, c.charged, c, next != phaseHandling && c.charge > 0)
}

// drop takes a connection that is being closed out of the lists. The caller holds mu.
func (b *Budgeter) drop(c *servedConn) {
	c.dropped = true
	b.memory.set(c, 0)
	c.waiting = toBack(&c.listener.state.served, c.waiting, c, false)
	c.charged = toBack(&b.memory.waiting, c.charged, c, false)
}

// toBack moves a connection to the back of a list, or removes it, and returns its place.
func toBack(l *list.List, place *list.Element, c *servedConn, listed bool) *list.Element {
	switch {
	case !listed && place != nil:
		l.Remove(place)
		return nil
	case listed && place != nil:
		l.MoveToBack(place)
	case listed:
		return l.PushBack(c)
	}
	return place
}
