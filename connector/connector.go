// Package connector runs attempts on one upstream over HTTP/1.1. It never repeats
// an attempt by itself, and it distinguishes an attempt that certainly did not run
// from one whose outcome is unknown.
//
// docs/API.md describes the protocol that an upstream has to implement.
package connector

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"cranberrystack.dev/cranberrystack/identifier"
)

// The headers that an upstream reads or writes.
const (
	HeaderAttempt       = "Cranberry-Attempt"
	HeaderMember        = "Cranberry-Member"
	HeaderTeam          = "Cranberry-Team"
	HeaderKind          = "Cranberry-Kind"
	HeaderDeadline      = "Cranberry-Deadline-Ms"
	HeaderNonIdempotent = "Cranberry-Non-Idempotent"
	HeaderNotRun        = "Cranberry-Not-Run"
	HeaderStatus        = "Cranberry-Status"
	HeaderIncarnation   = "Cranberry-Incarnation"
)

const (
	runPath      = "/run"
	attemptsPath = "/attempts/"
)

// maxRefusedConnections is the number of refused connections while resolving one
// attempt after which the upstream's process is considered lost.
const maxRefusedConnections = 3

// The reasons of an upstream for not running an attempt.
const (
	NotRunBusy     = "busy"
	NotRunDraining = "leaving"
	NotRunUnknown  = "unknown"
	// NotRunRestarted refuses an attempt that was sent to an earlier incarnation.
	NotRunRestarted = "restarted"
)

// ErrNotRun reports an attempt that did not run and never will.
var ErrNotRun = eris.New("attempt did not run")

// ErrOutcomeUnknown reports an attempt that may or may not have run.
var ErrOutcomeUnknown = eris.New("outcome of the attempt is unknown")

// ErrResponseTooLarge reports an attempt that ran and whose response body exceeds
// the limit.
var ErrResponseTooLarge = eris.New("answer is too large")

// errUpstreamRestarted reports an upstream that has restarted since the attempt was
// sent and therefore has no record of it.
var errUpstreamRestarted = eris.New("upstream has restarted since the attempt")

// NotRunError is ErrNotRun with the reason why the attempt did not run.
type NotRunError struct {
	// Reason is the reason that the upstream gave, or empty if it was not reached.
	Reason string
	// Cause is the error on the way to the upstream, or nil.
	Cause error
}

// Error returns a message with the cause or the reason.
func (e *NotRunError) Error() string {
	if e.Cause != nil {
		return "did not run: " + e.Cause.Error()
	}
	return "did not run: upstream says " + e.Reason
}

// Unwrap returns ErrNotRun.
func (e *NotRunError) Unwrap() error { return ErrNotRun }

// Attempt is one attempt to run a request.
type Attempt struct {
	ID            identifier.AttemptID
	Member        identifier.MemberID
	Team          identifier.TeamID
	Kind          string
	Deadline      time.Time
	ContentType   string
	Body          []byte
	NonIdempotent bool
}

// Response is a complete response of an upstream.
type Response struct {
	Status      int    `json:"status"`
	ContentType string `json:"content-type"`
	Body        []byte `json:"body"`
}

// Dial opens a connection. Tests pass their own.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Target is one incarnation of an upstream. Only the incarnation that an attempt
// was sent to knows its outcome.
type Target struct {
	Address     string                 `json:"address"`
	Incarnation identifier.Incarnation `json:"incarnation"`
}

// Connector manages the connections to one incarnation of an upstream. It is safe
// for concurrent use.
type Connector struct {
	target  Target
	dial    Dial
	options options
	pool    pool
	breaker breaker
}

// New returns a connector that has no open connections.
func New(target Target, dial Dial, opts ...Option) *Connector {
	return &Connector{target: target, dial: dial, options: newOptions(opts...)}
}

// Close closes idle connections.
func (c *Connector) Close() {
	c.pool.closeAll()
}

// Available reports whether the upstream may be dialed, that is, whether no backoff
// after failed dials is in effect.
func (c *Connector) Available(now time.Time) bool {
	return c.breaker.allows(now)
}

// Run sends an attempt and returns its complete response. If the connection fails
// after the first byte was written, Run queries the outcome over a new connection:
// like Resolve for a non-idempotent attempt, and only once for any other unless it
// is still running. If the context has ended by then, the outcome is unknown without
// a query. Errors: ErrNotRun (as a *NotRunError), ErrOutcomeUnknown,
// ErrResponseTooLarge.
func (c *Connector) Run(ctx context.Context, attempt Attempt) (Response, error) {
	conn, err := c.connect(ctx, true)
	if err != nil {
		return Response{}, &NotRunError{Cause: err}
	}
	response, err := c.exchange(ctx, conn, attempt)
	if err == nil || errors.Is(err, ErrNotRun) || errors.Is(err, ErrResponseTooLarge) {
		return response, err
	}
	if conn.written() == 0 {
		return Response{}, &NotRunError{Cause: err}
	}
	if ctx.Err() != nil {
		return Response{}, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	if !attempt.NonIdempotent {
		return c.resolveOnce(ctx, attempt.ID)
	}
	return c.Resolve(ctx, attempt.ID)
}

// resolveOnce queries the outcome of an idempotent attempt. Such an attempt can run
// again, so a failed query is not repeated. If the attempt is still running,
// resolveOnce waits like Resolve.
func (c *Connector) resolveOnce(ctx context.Context, id identifier.AttemptID) (Response, error) {
	queryCtx, cancel := context.WithTimeout(ctx, c.options.acceptTimeout)
	defer cancel()
	response, running, err := c.queryOutcome(queryCtx, id)
	switch {
	case err == nil && running:
		return c.Resolve(ctx, id)
	case err == nil, errors.Is(err, ErrNotRun), errors.Is(err, ErrResponseTooLarge):
		return response, err
	}
	return Response{}, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
}

// Resolve queries the outcome of an attempt until the attempt has finished or is
// known not to run, or the context ends. It gives up with ErrOutcomeUnknown if the
// upstream has restarted or maxRefusedConnections connections were refused: the
// process with the outcome is lost then. The query also bars an attempt that the
// upstream has not received: it will never run. The errors are those of Run.
func (c *Connector) Resolve(ctx context.Context, id identifier.AttemptID) (Response, error) {
	refused := 0
	for {
		response, running, err := c.queryOutcome(ctx, id)
		if err == nil && !running {
			return response, nil
		}
		if errors.Is(err, ErrNotRun) || errors.Is(err, ErrResponseTooLarge) {
			return Response{}, err
		}
		if errors.Is(err, errUpstreamRestarted) {
			return Response{}, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
		}
		if errors.Is(err, syscall.ECONNREFUSED) {
			refused++
		}
		if refused >= maxRefusedConnections {
			return Response{}, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
		}
		select {
		case <-ctx.Done():
			return Response{}, fmt.Errorf("ask about attempt %s: %w", id, ErrOutcomeUnknown)
		case <-time.After(c.options.resolveInterval):
		}
	}
}

// queryOutcome requests the outcome of an attempt once. It returns true while the
// attempt is running. If the upstream does not know the attempt, the error is a
// *NotRunError from the incarnation that the attempt was sent to, and otherwise
// errUpstreamRestarted.
func (c *Connector) queryOutcome(ctx context.Context, id identifier.AttemptID) (Response, bool, error) {
	conn, err := c.connect(ctx, false)
	if err != nil {
		return Response{}, false, err
	}
	request, err := http.NewRequest(http.MethodGet, "http://"+c.target.Address+attemptsPath+string(id), nil)
	if err != nil {
		return Response{}, false, fmt.Errorf("build question: %w", err)
	}
	stop := conn.closeOnDone(ctx)
	httpResponse, response, err := c.roundTrip(conn, request, id)
	if err != nil {
		stop()
		conn.Close()
		return Response{}, false, err
	}
	c.returnToPool(conn, stop)
	switch httpResponse.StatusCode {
	case http.StatusOK:
		status, err := strconv.Atoi(httpResponse.Header.Get(HeaderStatus))
		if err != nil {
			return Response{}, false, fmt.Errorf("status of attempt: %w", err)
		}
		response.Status = status
		return response, false, nil
	case http.StatusAccepted:
		return Response{}, true, nil
	case http.StatusNotFound:
		reason := httpResponse.Header.Get(HeaderNotRun)
		sameIncarnation := httpResponse.Header.Get(HeaderIncarnation) == c.incarnation()
		if reason != "" && sameIncarnation {
			return Response{}, false, &NotRunError{Reason: reason}
		}
		return Response{}, false, errUpstreamRestarted
	}
	return Response{}, false, eris.Errorf("upstream answers %d about an attempt", httpResponse.StatusCode)
}

// connect returns a new connection or, with reuse, an idle one that was used within
// maxIdle.
func (c *Connector) connect(ctx context.Context, reuse bool) (*conn, error) {
	now := time.Now()
	if reuse {
		if idle := c.pool.get(now.Add(-c.options.maxIdle)); idle != nil {
			idle.resetWritten()
			return idle, nil
		}
	}
	dialCtx, cancel := context.WithTimeout(ctx, c.options.dialTimeout)
	defer cancel()
	raw, err := c.dial(dialCtx, "tcp", c.target.Address)
	if err != nil {
		if ctx.Err() == nil {
			c.breaker.recordFailure(time.Now())
		}
		return nil, fmt.Errorf("connect to upstream: %w", err)
	}
	c.breaker.recordSuccess()
	return newConn(raw), nil
}

func (c *Connector) exchange(ctx context.Context, conn *conn, attempt Attempt) (Response, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+c.target.Address+runPath, bytes.NewReader(attempt.Body))
	if err != nil {
		return Response{}, fmt.Errorf("build attempt: %w", err)
	}
	c.setHeaders(request, attempt)
	stop := conn.closeOnDone(ctx)
	httpResponse, response, err := c.roundTrip(conn, request, attempt.ID)
	if err != nil {
		stop()
		conn.Close()
		if !errors.Is(err, ErrResponseTooLarge) {
			c.pool.closeStale(time.Now())
		}
		return Response{}, err
	}
	c.returnToPool(conn, stop)
	reason := httpResponse.Header.Get(HeaderNotRun)
	if httpResponse.StatusCode == http.StatusServiceUnavailable && reason != "" {
		return Response{}, &NotRunError{Reason: reason}
	}
	return response, nil
}

func (c *Connector) incarnation() string {
	return strconv.FormatUint(uint64(c.target.Incarnation), 10)
}

// returnToPool ends closeOnDone through stop and returns the connection to the pool,
// unless it has been closed.
func (c *Connector) returnToPool(conn *conn, stop func() bool) {
	if !stop() {
		conn.Close()
		return
	}
	c.pool.put(conn, time.Now())
}

func (c *Connector) setHeaders(request *http.Request, attempt Attempt) {
	header := request.Header
	header.Set(HeaderIncarnation, c.incarnation())
	header.Set("User-Agent", "cranberrystack")
	header.Set(HeaderAttempt, string(attempt.ID))
	header.Set(HeaderMember, string(attempt.Member))
	header.Set(HeaderTeam, string(attempt.Team))
	header.Set(HeaderKind, attempt.Kind)
	remaining := max(time.Until(attempt.Deadline).Milliseconds(), 0)
	header.Set(HeaderDeadline, strconv.FormatInt(remaining, 10))
	if attempt.ContentType != "" {
		header.Set("Content-Type", attempt.ContentType)
	}
	if attempt.NonIdempotent {
		header.Set(HeaderNonIdempotent, "true")
	}
}

// roundTrip writes a request and reads the final response. Each interim (1xx)
// response shows that the upstream is alive and extends the read timeout.
func (c *Connector) roundTrip(conn *conn, request *http.Request, id identifier.AttemptID) (*http.Response, Response, error) {
	conn.setIOTimeout(c.options.acceptTimeout)
	if err := request.Write(conn.writer); err != nil {
		return nil, Response{}, fmt.Errorf("write request: %w", err)
	}
	if err := conn.writer.Flush(); err != nil {
		return nil, Response{}, fmt.Errorf("write request: %w", err)
	}
	for {
		httpResponse, err := http.ReadResponse(conn.reader, request)
		if err != nil {
			return nil, Response{}, fmt.Errorf("read answer: %w", err)
		}
		conn.setIOTimeout(c.options.progressTimeout)
		if httpResponse.StatusCode >= 200 {
			response, err := c.readResponse(httpResponse, id)
			return httpResponse, response, err
		}
	}
}

func (c *Connector) readResponse(httpResponse *http.Response, id identifier.AttemptID) (Response, error) {
	if got := httpResponse.Header.Get(HeaderAttempt); got != string(id) {
		return Response{}, eris.Errorf("answer is for attempt %q, not %q", got, id)
	}
	chunked := len(httpResponse.TransferEncoding) > 0
	if httpResponse.ContentLength < 0 && !chunked {
		return Response{}, eris.New("answer does not say where it ends")
	}
	body, err := io.ReadAll(io.LimitReader(httpResponse.Body, c.options.maxResponseBytes+1))
	if err != nil {
		return Response{}, fmt.Errorf("read answer: %w", err)
	}
	if int64(len(body)) > c.options.maxResponseBytes {
		return Response{}, ErrResponseTooLarge
	}
	return Response{
		Status: httpResponse.StatusCode, Body: body,
		ContentType: httpResponse.Header.Get("Content-Type"),
	}, nil
}

// conn is a connection that counts the bytes written. An attempt of which no byte
// was written did not run.
type conn struct {
	net.Conn
	reader  *bufio.Reader
	writer  *bufio.Writer
	counter *countingWriter
	// lastUsed is when the last complete response was read.
	lastUsed time.Time
}

type countingWriter struct {
	conn  net.Conn
	bytes int64
}

// Write writes to the connection and counts the bytes that it accepted.
func (w *countingWriter) Write(data []byte) (int, error) {
	n, err := w.conn.Write(data)
	w.bytes += int64(n)
	return n, err
}

func newConn(raw net.Conn) *conn {
	counter := &countingWriter{conn: raw}
	return &conn{Conn: raw, counter: counter, reader: bufio.NewReader(raw), writer: bufio.NewWriter(counter)}
}

func (c *conn) resetWritten() { c.counter.bytes = 0 }

func (c *conn) written() int64 { return c.counter.bytes }

// setIOTimeout replaces the time limit of the following reads and writes.
func (c *conn) setIOTimeout(timeout time.Duration) {
	_ = c.SetDeadline(time.Now().Add(timeout))
}

// closeOnDone closes the connection when the context ends. The returned function
// cancels that; it returns false if the connection has been closed already.
func (c *conn) closeOnDone(ctx context.Context) func() bool {
	return context.AfterFunc(ctx, func() { c.Close() })
}
