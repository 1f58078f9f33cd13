package budgeter

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

const (
	testMemory  = 4 << 20
	testTimeout = 20 * time.Second
	ordinary    = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	upload      = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n"
)

// tinyLines are as many lines of a head as the buffer of net/http holds.
var tinyLines = strings.Repeat("a:b\r\n", bufferBytes/5-20)

// pipeListener accepts the connections that a test opens.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

// Accept waits for the next connection.
func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close ends Accept.
func (l *pipeListener) Close() error {
	close(l.closed)
	return nil
}

// Addr returns no address.
func (l *pipeListener) Addr() net.Addr { return nil }

// testServer serves requests within a budgeter.
type testServer struct {
	*Budgeter
	listener *pipeListener
	// release ends the handling of requests to /held, of which handled have ended.
	release chan struct{}
	handled atomic.Int32
}

// serveTest runs a test in a bubble with a server of a share. It answers /held only after
// release, and /large with 512 KiB; it reads bodies completely.
func serveTest(t *testing.T, share int, exempt func(net.Addr) bool, test func(t *testing.T, s *testServer)) {
	synctest.Test(t, func(t *testing.T) {
		s := &testServer{
			Budgeter: New(map[Purpose]Share{testPurpose: {Open: share}}),
			listener: &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}, release: make(chan struct{}),
		}
		s.SetMemory(testMemory)
		bounded := s.Listen(testPurpose, s.listener, exempt)
		handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			switch r.URL.Path {
			case "/held":
				<-s.release
				s.handled.Add(1)
			case "/large":
				_, _ = w.Write(make([]byte, 1<<19))
			}
		})
		server := &http.Server{
			Handler:           Bound(handler, testTimeout, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTooManyRequests) }),
			ReadHeaderTimeout: testTimeout, ConnState: bounded.ConnState, ConnContext: bounded.ConnContext,
		}
		go func() { _ = server.Serve(bounded) }()
		test(t, s)
		_ = server.Close()
		time.Sleep(time.Second)
		if usage, open := s.Memory(), s.Usage(testPurpose).Open; usage.Used != 0 || open != 0 {
			t.Errorf("after the end %+v, %d open connections", usage, open)
		}
	})
}

// open connects a client that sends a text and reads nothing.
func (s *testServer) open(text string) net.Conn {
	near, far := net.Pipe()
	s.listener.conns <- &addressedConn{Conn: near, remote: &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)}}
	go func() { _, _ = io.WriteString(far, text) }()
	synctest.Wait()
	return far
}

// status reads the status of the next response; it is 0 if the connection was closed.
func status(conn net.Conn) int {
	_ = conn.SetReadDeadline(time.Now().Add(time.Minute))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

func (s *testServer) call(text string) int {
	conn := s.open(text)
	defer conn.Close()
	return status(conn)
}

// large returns a request with a body of which a number of bytes is missing.
func large(path string, size, missing int) string {
	return strings.Replace(fmt.Sprintf(upload, size), "/ ", path+" ", 1) + strings.Repeat("x", size-missing)
}

// Guards against clients that hold all connections of a listener with requests that they
// don't complete or responses that they don't read, and against cutting requests that
// have been read completely.
func TestConnectionsThatWaitForClientsMakeRoom(t *testing.T) {
	const share = 3
	for _, test := range []struct {
		name, text string
		makesRoom  bool
	}{
		{"nothing", "", true},
		{"part of a head", "GET / HTTP/1.1\r\nHost:", true},
		{"part of a body", large("/held", 100, 1), true},
		{"part of a chunk", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n10\r\nab", true},
		{"unread response", ordinary, true},
		{"request without a body in progress", "GET /held HTTP/1.1\r\nHost: h\r\n\r\n", false},
		{"pipelined request in progress", "HEAD /held HTTP/1.1\r\nHost: h\r\n\r\n" + ordinary, false},
		{"request with a body in progress", large("/held", 20_000, 0), false},
	} {
		t.Run(test.name, func(t *testing.T) {
			serveTest(t, share, nil, func(t *testing.T, s *testServer) {
				var held [share]net.Conn
				for i := range held {
					held[i] = s.open(test.text)
				}
				time.Sleep(2 * patience)
				for range share {
					if served := s.call(ordinary) == http.StatusOK; served != test.makesRoom {
						t.Errorf("another call served: %t, want %t", served, test.makesRoom)
					}
				}
				close(s.release)
				synctest.Wait()
				if handled := s.handled.Load(); !test.makesRoom && handled != share {
					t.Errorf("%d requests in progress were completed, want %d", handled, share)
				}
				for _, conn := range held {
					_ = conn.Close()
				}
			})
		})
	}
}

// Guards against clients that make a process take memory without a bound: the sum is
// bounded, small calls pass, and clients that wait make room for the large requests of
// others. Requests in progress don't.
func TestMemoryOfRequestsIsBounded(t *testing.T) {
	const clients = 400
	for _, test := range []struct {
		name, text string
		makesRoom  bool
	}{
		{"lines of a head", "GET / HTTP/1.1\r\nHost: h\r\n" + tinyLines, true},
		{"one line of a head", "GET /" + strings.Repeat("a", 64<<10), true},
		{"lines behind a request", ordinary + "GET / HTTP/1.1\r\n" + tinyLines, true},
		{"part of a body", large("/", 100_000, 1), true},
		{"part of a small body", large("/", 8_000, 1), true},
		{"part of chunks", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n10\r\nab", true},
		{"unread response", "GET /large HTTP/1.1\r\nHost: h\r\n\r\n", true},
		{"lines of heads in progress", "GET /held HTTP/1.1\r\nHost: h\r\n" + tinyLines + "\r\n", false},
		{"bodies in progress", large("/held", 100_000, 0), false},
	} {
		t.Run(test.name, func(t *testing.T) {
			serveTest(t, clients+10, nil, func(t *testing.T, s *testServer) {
				var conns []net.Conn
				for range clients {
					conn := s.open(test.text)
					if conns = append(conns, conn); strings.HasPrefix(test.text, ordinary) {
						_ = status(conn)
						synctest.Wait()
					}
					if usage := s.Memory(); usage.Used > usage.Limit {
						t.Fatalf("usage %+v", usage)
					}
				}
				if usage := s.Memory(); usage.Used < usage.Limit/2 || usage.Closed+usage.Refused == 0 {
					t.Errorf("usage %+v, want much used and many closed or refused", usage)
				}
				if got := s.call(fmt.Sprintf(upload, 1000) + strings.Repeat("x", 1000)); got != http.StatusOK {
					t.Errorf("a small call: %d", got)
				}
				time.Sleep(2 * patience)
				if served := s.call(large("/", 200_000, 0)) == http.StatusOK; served != test.makesRoom {
					t.Errorf("a large call served: %t, want %t", served, test.makesRoom)
				}
				close(s.release)
				for _, conn := range conns {
					_ = conn.Close()
				}
			})
		})
	}
}

// A request that is larger than others may be must be served if it is alone, and refused
// if it is too large for that; members may send bodies of any size.
func TestLargestRequests(t *testing.T) {
	const fitting, tooLarge = testMemory, 4 * testMemory
	member := func(net.Addr) bool { return true }
	for _, test := range []struct {
		size   int
		exempt func(net.Addr) bool
		want   int
	}{
		{fitting / bodyFactor, nil, http.StatusOK},
		{tooLarge / bodyFactor, nil, http.StatusTooManyRequests},
		{tooLarge / bodyFactor, member, http.StatusOK},
	} {
		serveTest(t, 10, test.exempt, func(t *testing.T, s *testServer) {
			if got := s.call(large("/", test.size, 0)); got != test.want {
				t.Errorf("%d bytes: status %d, want %d", test.size, got, test.want)
			}
		})
	}
}

// A refused body of which the rest doesn't arrive must not hold its connection.
func TestRefusedBodyReleasesConnection(t *testing.T) {
	const size = 200_000
	serveTest(t, 2, nil, func(t *testing.T, s *testServer) {
		s.SetMemory(bodyFactor * size)
		held := s.open(large("/held", size, 0))
		defer held.Close()
		refused := s.open(large("/", size, 1))
		defer refused.Close()
		if got := status(refused); got != http.StatusTooManyRequests {
			t.Errorf("status %d, want %d", got, http.StatusTooManyRequests)
		}
		time.Sleep(patience)
		if open := s.Usage(testPurpose).Open; open != 1 {
			t.Errorf("%d connections are open, want that of the request in progress", open)
		}
		close(s.release)
		if got := status(held); got != http.StatusOK {
			t.Errorf("the request in progress: status %d", got)
		}
	})
}
