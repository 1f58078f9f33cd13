package node_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// headBytes is the size of a head that the system must accept.
	headBytes = 16_384
	// endlessBytes bounds what a client sends that never comes to an end.
	endlessBytes = 4 << 20
	blockBytes   = 64 << 10
	// stallTime is the time without progress after which a client counts as settled,
	// since the system doesn't read on. It goes on to try.
	stallTime    = time.Second
	dripInterval = 100 * time.Millisecond
	// arrivalPause separates the arrivals of clients that come one by one.
	arrivalPause = time.Millisecond
	// smallBuffer is the receive buffer of a client that reads nothing, and sendBuffer
	// the send buffer of all, in bytes.
	smallBuffer = 4 << 10
	sendBuffer  = 64 << 10
)

// shape is what each client of a crowd sends: start, then fill again and again, then drip
// again and again, a byte at a time. Each may be empty.
type shape struct {
	name  string
	start func(l *listener) string
	fill  string
	// size is the number of bytes to fill; nil means endlessBytes.
	size func(l *listener) int
	drip string
	// unread clients read nothing, and fill with requests for large answers.
	unread bool
}

func text(start string) func(*listener) string { return func(*listener) string { return start } }

// upload returns the start of a request with a body.
func upload(lines, body string) func(*listener) string {
	return func(l *listener) string { return head(l.upload) + lines + "\r\n" + body }
}

// tinyLines returns distinct header lines of at most size bytes in all.
func tinyLines(size int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789!#$%&'*+-.^_`|~"
	var lines strings.Builder
	for i := 0; ; i++ {
		name := ""
		for rest := i; rest > 0 || name == ""; rest /= len(letters) {
			name += string(letters[rest%len(letters)])
		}
		if lines.Len()+len(name)+3 > size {
			return lines.String()
		}
		lines.WriteString(name + ":\r\n")
	}
}

// block repeats a text to a block that is sent at once.
func block(text string) string { return strings.Repeat(text, blockBytes/len(text)) }

// crowd is a number of clients that hold their connections.
type crowd struct {
	ctx    context.Context
	cancel context.CancelFunc
	// settled waits until each client has sent what it will send at once, or has no
	// connection, or isn't read.
	settled, ended sync.WaitGroup
}

// start connects the clients of a crowd, with a pause between two of them.
func (c *crowd) start(l *listener, s *shape, pause time.Duration) {
	fill := []byte(s.fill)
	if s.unread {
		fill = []byte(block(l.large))
	}
	for range l.crowd {
		c.settled.Add(1)
		c.ended.Go(func() { c.hold(l, s, fill) })
		time.Sleep(pause)
	}
}

func (c *crowd) hold(l *listener, s *shape, fill []byte) {
	settle := sync.OnceFunc(c.settled.Done)
	defer settle()
	conn, err := clientDialer.DialContext(c.ctx, "tcp", l.address)
	if err != nil {
		return
	}
	defer conn.Close()
	defer context.AfterFunc(c.ctx, func() { _ = conn.Close() })()
	if tcp, isTCP := conn.(*net.TCPConn); isTCP {
		_, _ = tcp.SetLinger(0), tcp.SetWriteBuffer(sendBuffer)
		if s.unread {
			_ = tcp.SetReadBuffer(smallBuffer)
		}
	}
	if !s.unread {
		go func() { _, _ = io.Copy(io.Discard, conn) }()
	}
	send := func(data []byte) bool {
		for len(data) > 0 {
			_ = conn.SetWriteDeadline(time.Now().Add(stallTime))
			n, err := conn.Write(data)
			data = data[n:]
			if errors.Is(err, os.ErrDeadlineExceeded) {
				settle()
			} else if err != nil {
				return false
			}
		}
		return true
	}
	if s.start != nil && !send([]byte(s.start(l))) {
		return
	}
	left := endlessBytes
	if s.size != nil {
		left = s.size(l)
	}
	for ; left > 0 && len(fill) > 0; left -= len(fill) {
		if !send(fill[:min(left, len(fill))]) {
			return
		}
	}
	settle()
	for i := 0; s.drip != ""; i++ {
		select {
		case <-time.After(dripInterval):
		case <-c.ctx.Done():
			return
		}
		if at := i % len(s.drip); !send([]byte(s.drip[at : at+1])) {
			return
		}
	}
	<-c.ctx.Done()
}

// attack holds a crowd of a shape on a listener.
type attack struct {
	listener string
	shape    shape
}

// withstand starts the system and crowds, and checks that each process stays within its
// limits and that each listener serves an ordinary caller, while the crowds hold their
// connections and after.
func withstand(t *testing.T, attacks ...attack) {
	t.Helper()
	processes, listeners := startProcesses(t)
	check := func(when string) {
		t.Helper()
		t.Log(when)
		for _, a := range attacks {
			if err := listeners[a.listener].call(t.Context(), ""); err != nil {
				t.Errorf("%s: %v", when, err)
			}
		}
		for _, p := range processes {
			p.check(t)
		}
	}
	c := &crowd{}
	c.ctx, c.cancel = context.WithCancel(t.Context())
	stop := func() {
		c.cancel()
		c.ended.Wait()
	}
	defer stop()
	// Those that come one by one get the connections that the others were refused while
	// they displaced each other.
	for _, pause := range []time.Duration{0, arrivalPause} {
		for i := range attacks {
			c.start(listeners[attacks[i].listener], &attacks[i].shape, pause)
		}
		c.settled.Wait()
	}
	check("while the crowd holds its connections")
	stop()
	check("after the crowd")
}

// withstandEach holds a crowd of a shape on one listener after the other.
func withstandEach(t *testing.T, s shape, listeners ...string) {
	for _, name := range listeners {
		t.Run(name+": "+s.name, func(t *testing.T) { withstand(t, attack{name, s}) })
	}
}

var (
	allListeners = []string{
		"gateway calls", "gateway ready", "gateway metrics", "gateway address",
		"coordination control", "coordination address", "coordination metrics",
	}
	// instanceListeners serve the messages of other instances, with the largest bodies.
	instanceListeners = []string{"gateway address", "coordination address"}
)

// The tests guard against clients that do not keep to the limits and ended a process by
// its memory (issue 41).

func TestMemoryEndlessHeaderValues(t *testing.T) {
	withstandEach(t, shape{name: "endless header value", start: text(head("GET /") + "A: "), fill: block("a")}, allListeners...)
}

func TestMemoryEndlessHeaderLines(t *testing.T) {
	withstandEach(t, shape{name: "endless header lines", start: text(head("GET /")), fill: tinyLines(blockBytes)}, allListeners...)
}

func TestMemoryEmptyLines(t *testing.T) {
	withstandEach(t, shape{name: "empty lines", fill: block("\r\n")}, allListeners...)
}

func TestMemoryEndlessFirstLines(t *testing.T) {
	withstandEach(t, shape{name: "endless first line", start: text("GET /"), fill: block("a")}, allListeners...)
}

// manyLines returns the start of a request whose head is of the largest size and has as
// many lines as fit, without its last line.
func manyLines(l *listener) string {
	start := head(l.upload) + "Content-Length: 10\r\n"
	return start + tinyLines(headBytes-len(start)-len("\r\n"))
}

var unfinishedHeads = shape{name: "head without its last line", start: manyLines}

func TestMemoryUnfinishedHeads(t *testing.T) {
	withstandEach(t, unfinishedHeads, "gateway ready", "gateway metrics", "coordination control", "coordination address", "coordination metrics")
}

func TestMemoryUnfinishedHeadsOfCalls(t *testing.T) {
	withstandEach(t, unfinishedHeads, "gateway calls", "gateway address")
}

var parsedHeads = shape{name: "parsed head", start: func(l *listener) string { return manyLines(l) + "\r\n" + `"aaaaaaaa` }}

func TestMemoryParsedHeads(t *testing.T) { withstandEach(t, parsedHeads, allListeners...) }

func TestMemorySlowHeads(t *testing.T) {
	withstandEach(t, shape{name: "slow head", start: upload("", ""), drip: "a: b\r\n"}, allListeners...)
}

func TestMemorySlowSmallBodies(t *testing.T) {
	withstandEach(t, shape{name: "slow small body", start: upload("Content-Length: 8000\r\n", `"`), drip: "a"}, allListeners...)
}

func largeBody(l *listener) string {
	return head(l.upload) + fmt.Sprintf("Content-Length: %d\r\n\r\n", l.uploadBytes) + `"`
}

const (
	chunked  = "Transfer-Encoding: chunked\r\n"
	trailers = "1\r\n1\r\n0\r\n"
)

var slowBodies = []shape{
	{name: "slow large body", start: largeBody, drip: "a"},
	{name: "slow chunks", start: upload(chunked, "1\r\n\"\r\n"), drip: "1\r\na\r\n"},
	{name: "slow trailers", start: upload(chunked, trailers), drip: "a: b\r\n"},
}

func TestMemorySlowBodies(t *testing.T) {
	for _, s := range slowBodies {
		withstandEach(t, s, "gateway calls", "gateway address", "coordination control")
	}
}

func TestMemorySlowBodiesOfInstances(t *testing.T) {
	for _, s := range slowBodies {
		withstandEach(t, s, "coordination address")
	}
}

func TestMemoryManyTrailers(t *testing.T) {
	s := shape{name: "many trailers", start: upload(chunked, trailers), fill: tinyLines(blockBytes)}
	withstandEach(t, s, append(instanceListeners, "gateway calls", "coordination control")...)
}

// largeBodies are held without their last byte.
var largeBodies = shape{name: "large body", start: largeBody, fill: block("a"), size: func(l *listener) int { return l.uploadBytes - 2 }}

func TestMemoryLargeBodies(t *testing.T) {
	withstandEach(t, largeBodies, "gateway calls", "coordination control")
}

func TestMemoryLargeBodiesOfInstances(t *testing.T) {
	withstandEach(t, largeBodies, instanceListeners...)
	for _, line := range []string{"POST /log/announcements", "POST /contacts", "POST /calls"} {
		s := largeBodies
		s.name = line
		s.start = func(l *listener) string {
			other := *l
			other.upload = line
			return largeBody(&other)
		}
		withstandEach(t, s, "coordination address")
	}
}

var unreadAnswers = shape{name: "unread answers", unread: true}

func TestMemoryUnreadAnswers(t *testing.T) {
	withstandEach(t, unreadAnswers, "gateway ready", "gateway metrics", "coordination control", "coordination address", "coordination metrics")
}

func TestMemoryUnreadAnswersOfCalls(t *testing.T) {
	withstandEach(t, unreadAnswers, "gateway calls", "gateway address")
}

func TestMemoryAllListenersOfGateway(t *testing.T) {
	withstand(t, attack{"gateway calls", parsedHeads}, attack{"gateway ready", parsedHeads},
		attack{"gateway metrics", unreadAnswers}, attack{"gateway address", largeBodies})
}

func TestMemoryAllListenersOfCoordination(t *testing.T) {
	withstand(t, attack{"coordination control", largeBodies}, attack{"coordination address", unreadAnswers},
		attack{"coordination metrics", parsedHeads})
}

// Ordinary requests of the largest size must not be refused by a limit.
func TestMemoryCalmRequests(t *testing.T) {
	// margin is room for the id of a job and the length of a body.
	const margin = 64
	processes, listeners := startProcesses(t)
	for _, name := range allListeners {
		l := listeners[name]
		room := headBytes - len(head(l.ordinary)) - margin
		for _, lines := range []string{"A: " + strings.Repeat("a", 16_000-margin-len(head(l.ordinary))) + "\r\n", tinyLines(room)} {
			if err := l.call(t.Context(), lines); err != nil {
				t.Errorf("with a head of %d bytes: %v", len(head(l.ordinary)+lines), err)
			}
		}
	}
	large := *listeners["gateway calls"]
	large.body += strings.Repeat(" ", large.uploadBytes-len(large.body))
	if err := large.call(t.Context(), ""); err != nil {
		t.Errorf("with a body of %d bytes: %v", len(large.body), err)
	}
	for _, p := range processes {
		p.check(t)
	}
}
