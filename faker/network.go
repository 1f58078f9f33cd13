// Package faker provides fakes of the system's environment: upstreams, workers,
// and an in-memory network whose hosts can be partitioned, blackholed and killed.
// The development mode, the bench and the tests use them.
package faker

import (
	"context"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// connectTimeout is how long a dial to an unreachable host takes to fail.
const connectTimeout = 20 * time.Second

// Network connects hosts in memory. The host of an address is the part before the
// colon. It is safe for concurrent use.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	links     []*link
	partition func(from, to string) bool
}

// NewNetwork returns a network in which every host reaches every other.
func NewNetwork() *Network {
	return &Network{listeners: map[string]*listener{}, partition: func(string, string) bool { return false }}
}

// link is one connection between two hosts.
type link struct {
	client, server string
	// toServer and toClient carry the bytes of the two directions.
	toServer, toClient *stream
}

// Listen opens a listener on an address.
func (n *Network) Listen(address string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, taken := n.listeners[address]; taken {
		return nil, &net.OpError{Op: "listen", Net: "tcp", Addr: addr(address), Err: syscall.EADDRINUSE}
	}
	l := &listener{network: n, address: address, accepted: make(chan net.Conn, 64), closed: make(chan struct{})}
	n.listeners[address] = l
	return l, nil
}

// Dial returns a function that opens connections from a host. Dialing across a
// partition fails after connectTimeout or when the context ends.
func (n *Network) Dial(host string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		return n.dial(ctx, host, address)
	}
}

func (n *Network) dial(ctx context.Context, from, address string) (net.Conn, error) {
	to := hostOf(address)
	n.mu.Lock()
	l, listening := n.listeners[address]
	blocked := n.partition(from, to) || n.partition(to, from)
	n.mu.Unlock()
	if blocked {
		timer := time.NewTimer(connectTimeout)
		defer timer.Stop()
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		return nil, &net.OpError{Op: "dial", Net: "tcp", Addr: addr(address), Err: os.ErrDeadlineExceeded}
	}
	if !listening {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Addr: addr(address), Err: syscall.ECONNREFUSED}
	}
	k := &link{client: from, server: to, toServer: newStream(), toClient: newStream()}
	n.mu.Lock()
	n.links = append(n.openLinks(), k)
	n.mu.Unlock()
	client := &conn{read: k.toClient, write: k.toServer, local: addr(from), remote: addr(address)}
	server := &conn{read: k.toServer, write: k.toClient, local: addr(address), remote: addr(from)}
	select {
	case l.accepted <- server:
		return client, nil
	case <-l.closed:
		return nil, &net.OpError{Op: "dial", Net: "tcp", Addr: addr(address), Err: syscall.ECONNREFUSED}
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// openLinks returns the links that are not closed in both directions. The caller
// holds mu.
func (n *Network) openLinks() []*link {
	var open []*link
	for _, k := range n.links {
		if !k.toServer.isClosed() || !k.toClient.isClosed() {
			open = append(open, k)
		}
	}
	return open
}

// SetPartition sets which hosts can't reach which others. What is sent on open
// connections from one to the other is lost without an error, and new connections
// can't be opened. nil heals the network, but connections that were blackholed
// stay so.
func (n *Network) SetPartition(partition func(from, to string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if partition == nil {
		partition = func(string, string) bool { return false }
	}
	n.partition = partition
	for _, k := range n.links {
		if partition(k.client, k.server) {
			k.toServer.blackhole()
		}
		if partition(k.server, k.client) {
			k.toClient.blackhole()
		}
	}
}

// BlackholeConnections loses everything that is sent on the open connections to a
// host from now on, in both directions. New connections work.
func (n *Network) BlackholeConnections(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, k := range n.links {
		if k.server == host {
			k.toServer.blackhole()
			k.toClient.blackhole()
		}
	}
}

// Kill closes a host's listeners and resets its connections.
func (n *Network) Kill(host string) {
	n.mu.Lock()
	var closing []*listener
	for address, l := range n.listeners {
		if hostOf(address) == host {
			closing = append(closing, l)
		}
	}
	links := n.links
	n.mu.Unlock()
	for _, l := range closing {
		l.Close()
	}
	for _, k := range links {
		if k.server == host || k.client == host {
			k.toServer.close(syscall.ECONNRESET)
			k.toClient.close(syscall.ECONNRESET)
		}
	}
}

func hostOf(address string) string {
	host, _, _ := strings.Cut(address, ":")
	return host
}

type addr string

// Network returns the name of the network.
func (a addr) Network() string { return "memory" }

// String returns the address.
func (a addr) String() string { return string(a) }

type listener struct {
	network  *Network
	address  string
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

// Accept waits for a connection.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case accepted := <-l.accepted:
		return accepted, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close stops the listener.
func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		delete(l.network.listeners, l.address)
	})
	return nil
}

// Addr returns the address.
func (l *listener) Addr() net.Addr { return addr(l.address) }

// stream carries bytes in one direction.
type stream struct {
	mu    sync.Mutex
	ready *sync.Cond
	data  []byte
	// blackholed streams lose what is written to them.
	blackholed bool
	// err is what readers get once data has been read.
	err      error
	deadline time.Time
	timer    *time.Timer
}

func newStream() *stream {
	s := &stream{}
	s.ready = sync.NewCond(&s.mu)
	return s
}

func (s *stream) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.err != nil
}

func (s *stream) blackhole() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.blackholed = true
}

func (s *stream) close(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err == nil {
		s.err = err
	}
	if s.timer != nil {
		s.timer.Stop()
	}
	s.ready.Broadcast()
}

// closeByPeer ends the stream unless it is blackholed, in which case the end of the
// stream is lost too.
func (s *stream) closeByPeer() {
	s.mu.Lock()
	blackholed := s.blackholed
	s.mu.Unlock()
	if !blackholed {
		s.close(io.EOF)
	}
}

func (s *stream) write(data []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil {
		return 0, syscall.EPIPE
	}
	if !s.blackholed {
		s.data = append(s.data, data...)
		s.ready.Broadcast()
	}
	return len(data), nil
}

func (s *stream) read(data []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		if len(s.data) > 0 {
			n := copy(data, s.data)
			s.data = s.data[n:]
			return n, nil
		}
		if s.err != nil {
			return 0, s.err
		}
		if !s.deadline.IsZero() && !time.Now().Before(s.deadline) {
			return 0, os.ErrDeadlineExceeded
		}
		s.ready.Wait()
	}
}

func (s *stream) setDeadline(deadline time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deadline = deadline
	if s.timer != nil {
		s.timer.Stop()
		s.timer = nil
	}
	if deadline.IsZero() || s.err != nil {
		return
	}
	wait := time.Until(deadline)
	if wait <= 0 {
		s.ready.Broadcast()
		return
	}
	s.timer = time.AfterFunc(wait, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.ready.Broadcast()
	})
}

var errClosed = eris.New("connection is closed")

type conn struct {
	read, write   *stream
	local, remote addr
}

// Read waits for bytes from the peer.
func (c *conn) Read(data []byte) (int, error) { return c.read.read(data) }

// Write sends bytes to the peer.
func (c *conn) Write(data []byte) (int, error) { return c.write.write(data) }

// Close closes both directions.
func (c *conn) Close() error {
	c.write.closeByPeer()
	c.read.close(errClosed)
	return nil
}

// LocalAddr returns the local address.
func (c *conn) LocalAddr() net.Addr { return c.local }

// RemoteAddr returns the peer's address.
func (c *conn) RemoteAddr() net.Addr { return c.remote }

// SetDeadline sets the read deadline. Writes need none, since they never block.
func (c *conn) SetDeadline(deadline time.Time) error { return c.SetReadDeadline(deadline) }

// SetReadDeadline sets the read deadline.
func (c *conn) SetReadDeadline(deadline time.Time) error {
	c.read.setDeadline(deadline)
	return nil
}

// SetWriteDeadline does nothing: writes never block.
func (c *conn) SetWriteDeadline(time.Time) error { return nil }
