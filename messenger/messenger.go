// Package messenger sends JSON messages between the system's own processes over
// HTTP and counts the bytes sent and received.
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

// MaxMessageBytes is the length at which a response body is cut off. Handlers also
// use it as the limit of request bodies; messengers send bodies of any size.
const MaxMessageBytes = 64 << 20

const (
	idleTimeout = 90 * time.Second
	// dialTimeout bounds every dial, since a dial continues after its request was
	// cancelled.
	dialTimeout = 2 * time.Second
)

// ErrUnreachable reports that no complete response came back. The peer may or may
// not have handled the message.
var ErrUnreachable = eris.New("no answer from peer")

// ErrNotSent reports a message of which nothing was sent: the peer has not handled
// it and never will. Errors that wrap it also wrap ErrUnreachable.
var ErrNotSent = eris.New("message was not sent")

// StatusError is a response with status 300 or higher.
type StatusError struct {
	Status int
	Body   string
}

// Error returns the text of the status and the response body.
func (e *StatusError) Error() string {
	return http.StatusText(e.Status) + ": " + e.Body
}

// Reason returns the field "reason" of a JSON body, or the whole body if it has
// none.
func (e *StatusError) Reason() string {
	var body struct {
		Reason string `json:"reason"`
	}
	if err := json.Unmarshal([]byte(e.Body), &body); err != nil || body.Reason == "" {
		return e.Body
	}
	return body.Reason
}

// DialTimeout returns a dial function that fails after the timeout.
func DialTimeout(dial Dial, timeout time.Duration) Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		return dial(ctx, network, address)
	}
}

// Dial opens a connection. Tests replace it.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Messenger sends messages with one bearer token. It is safe for concurrent use.
type Messenger struct {
	client   *http.Client
	token    string
	sent     atomic.Int64
	received atomic.Int64
}

// maxIdleConnsPerHost is how many idle connections to one address are retained.
const maxIdleConnsPerHost = 4

// New returns a messenger that sends the bearer token and opens its connections
// with dial.
func New(token string, dial Dial) *Messenger { return NewBounded(token, dial, 0) }

// NewBounded returns a messenger that opens at most connsPerHost connections to one
// address; further messages wait for one of these. 0 means no bound.
func NewBounded(token string, dial Dial, connsPerHost int) *Messenger {
	m := &Messenger{token: token}
	transport := &http.Transport{
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
		MaxConnsPerHost:     connsPerHost,
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

// Post sends in as JSON and decodes the response into out, which may be nil. It
// returns an error that wraps ErrUnreachable if no complete response came, or a
// *StatusError if the peer refused the message. The error for a message that can't be
// encoded or a response that can't be decoded wraps neither.
func (m *Messenger) Post(ctx context.Context, address, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return fmt.Errorf("encode message: %w", err)
	}
	return m.do(ctx, http.MethodPost, "http://"+address+path, body, out)
}

// Get fetches a path and decodes the response into out. Its errors are those of
// Post.
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

// countingConn adds the bytes of a connection to its messenger's traffic.
type countingConn struct {
	net.Conn
	messenger *Messenger
}

// Read reads from the connection and counts the bytes.
func (c *countingConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.messenger.received.Add(int64(n))
	return n, err
}

// Write writes to the connection and counts the bytes.
func (c *countingConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.messenger.sent.Add(int64(n))
	return n, err
}
