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
	testTimeout = 20 * time.Second
	ordinary    = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	upload      = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n"
)

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
// release, and reads bodies completely.
func serveTest(t *testing.T, share int, exempt func(net.Addr) bool, test func(t *testing.T, s *testServer)) {
	synctest.Test(t, func(t *testing.T) {
		s := &testServer{
			Budgeter: New(map[Purpose]Share{testPurpose: {Open: share}}),
			listener: &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}, release: make(chan struct{}),
		}
		bounded := s.Listen(testPurpose, s.listener, exempt)
		handler := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			if r.URL.Path == "/held" {
				<-s.release
				s.handled.Add(1)
			}
		})
		server := &http.Server{
			Handler:           Bound(handler, testTimeout),
			ReadHeaderTimeout: testTimeout, ConnState: bounded.ConnState, ConnContext: bounded.ConnContext,
		}
		go func() { _ = server.Serve(bounded) }()
		test(t, s)
		_ = server.Close()
		time.Sleep(time.Second)
		if open := s.Usage(testPurpose).Open; open != 0 {
			t.Errorf("%d connections are open after the end", open)
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
