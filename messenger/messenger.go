// Package messenger sends JSON messages between the system's own processes
// over HTTP and counts the bytes that this takes.
package messenger

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// MaxMessageBytes bounds one message in either direction.
const MaxMessageBytes = 64 << 20

const (
	idleTimeout = 90 * time.Second
	// dialTimeout bounds a dial even when nobody waits for it any more.
	dialTimeout = 2 * time.Second
)

// ErrUnreachable reports that no answer came back. The message may or may not
// have been handled.
var ErrUnreachable = eris.New("no answer from peer")

// ErrNotSent reports a message of which nothing left this instance. It was
// not handled and never will be. Errors that wrap it also wrap ErrUnreachable.
var ErrNotSent = eris.New("message was not sent")

// StatusError is an answer other than 2xx.
type StatusError struct {
	Status int
	Body   string
}

// Error returns the status and the answer's text.
func (e *StatusError) Error() string {
	return http.StatusText(e.Status) + ": " + e.Body
}

// Reason returns the reason that the answer gives, else its whole text.
func (e *StatusError) Reason() string {
	var body struct {
		Reason string `json:"reason"`
	}
	if err := json.Unmarshal([]byte(e.Body), &body); err != nil || body.Reason == "" {
		return e.Body
	}
	return body.Reason
}

// DialTimeout returns a dial that gives up after a time.
func DialTimeout(dial Dial, timeout time.Duration) Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		return dial(ctx, network, address)
	}
}

// Dial opens a connection; it is a seam for tests.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Messenger sends messages with one bearer token.
type Messenger struct {
	client   *http.Client
	token    string
	sent     atomic.Int64
	received atomic.Int64
}

// New returns a messenger that presents the token and opens its connections
// with dial.
func New(token string, dial Dial) *Messenger {
	m := &Messenger{token: token}
	transport := &http.Transport{
		MaxIdleConnsPerHost: 4,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		conn, err := dial(dialCtx, network, address)
		if err != nil {
			return nil, err
		}
		return &countingConn{Conn: conn, messenger: m}, nil
	}
	m.client = &http.Client{Transport: transport}
	return m
}

// Traffic returns the bytes sent and received so far.
func (m *Messenger) Traffic() (sent, received int64) {
	return m.sent.Load(), m.received.Load()
}

// Close closes idle connections.
func (m *Messenger) Close() {
	m.client.CloseIdleConnections()
}

// Post sends in as JSON and decodes the answer into out, which may be nil. It
// returns an error that wraps ErrUnreachable if no answer came, or a
// *StatusError if the peer refused.
func (m *Messenger) Post(ctx context.Context, address, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return fmt.Errorf("encode message: %w", err)
	}
	return m.do(ctx, http.MethodPost, "http://"+address+path, body, out)
}

// Get fetches a path and decodes the answer into out.
func (m *Messenger) Get(ctx context.Context, address, path string, out any) error {
	return m.do(ctx, http.MethodGet, "http://"+address+path, nil, out)
}

func (m *Messenger) do(ctx context.Context, method, url string, body []byte, out any) error {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("build message: %w", err)
	}
	request.Header.Set("Authorization", "Bearer "+m.token)
	request.Header.Set("User-Agent", "")
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := m.client.Do(request)
	if err != nil && !connected.Load() {
		return fmt.Errorf("%s: %w: %w: %w", url, err, ErrNotSent, ErrUnreachable)
	}
	if err != nil {
		return fmt.Errorf("%s: %w: %w", url, err, ErrUnreachable)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, MaxMessageBytes))
	if err != nil {
		return fmt.Errorf("%s: %w: %w", url, err, ErrUnreachable)
	}
	if response.StatusCode >= 300 {
		return &StatusError{Status: response.StatusCode, Body: string(data)}
	}
	if out == nil || len(data) == 0 {
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return fmt.Errorf("decode answer: %w", err)
	}
	return nil
}

type countingConn struct {
	net.Conn
	messenger *Messenger
}

// Read counts what arrives.
func (c *countingConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.messenger.received.Add(int64(n))
	return n, err
}

// Write counts what leaves.
func (c *countingConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.messenger.sent.Add(int64(n))
	return n, err
}
