// Package caller sends messages to the public interfaces of an instance.
package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

const codeHeader = "Cranberry-Code"

// ErrUnreachable reports that no instance could be connected to. Nothing was
// sent.
var ErrUnreachable = eris.New("no instance can be reached")

// ErrOutcomeUnknown reports a message that was sent and got no whole answer.
var ErrOutcomeUnknown = eris.New("no answer came back; the outcome is unknown")

// Refusal is an answer that reports an error.
type Refusal struct {
	Status int
	Code   string
	Reason string
	// RetryAfter is when to come back; 0 leaves it open.
	RetryAfter time.Duration
	Body       []byte
}

// Error returns code and reason.
func (r *Refusal) Error() string {
	if r.RetryAfter > 0 {
		return fmt.Sprintf("%s: %s (come back in %s)", r.Code, r.Reason, r.RetryAfter)
	}
	return fmt.Sprintf("%s: %s", r.Code, r.Reason)
}

type refusalBody struct {
	Code       string `json:"code"`
	Reason     string `json:"reason"`
	RetryAfter int64  `json:"retry-after-ms"`
}

// Caller holds where to send and what to present.
type Caller struct {
	// Addresses are tried in order until one can be connected to.
	Addresses []string
	Token     string
	Timeout   time.Duration
}

// Message is one call.
type Message struct {
	Method string
	Path   string
	Header map[string]string
	Body   []byte
}

// Send sends a message and returns the answer's body. Errors: ErrUnreachable,
// ErrOutcomeUnknown, *Refusal.
func (c *Caller) Send(ctx context.Context, message Message) ([]byte, error) {
	failure := error(ErrUnreachable)
	for _, address := range c.Addresses {
		body, err := c.sendTo(ctx, strings.TrimSpace(address), message)
		var dial *net.OpError
		if errors.As(err, &dial) && dial.Op == "dial" {
			failure = fmt.Errorf("%w: %w", ErrUnreachable, err)
			continue
		}
		return body, err
	}
	return nil, failure
}

func (c *Caller) sendTo(ctx context.Context, address string, message Message) ([]byte, error) {
	callCtx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(callCtx, message.Method, "http://"+address+message.Path, bytes.NewReader(message.Body))
	if err != nil {
		return nil, fmt.Errorf("build message: %w", err)
	}
	request.GetBody = nil
	for name, value := range message.Header {
		request.Header.Set(name, value)
	}
	request.Header.Set("Authorization", "Bearer "+c.Token)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return nil, unsent(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	if response.StatusCode >= 300 || response.Header.Get(codeHeader) != "" {
		return body, refusalOf(response, body)
	}
	return body, nil
}

// unsent keeps an error that shows that nothing was sent.
func unsent(err error) error {
	var dial *net.OpError
	if errors.As(err, &dial) && dial.Op == "dial" {
		return err
	}
	return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
}

func refusalOf(response *http.Response, body []byte) error {
	var parsed refusalBody
	if err := json.Unmarshal(body, &parsed); err != nil || parsed.Reason == "" {
		parsed.Reason = strings.TrimSpace(string(body))
	}
	code := response.Header.Get(codeHeader)
	if code == "" {
		code = response.Status
	}
	return &Refusal{
		Status: response.StatusCode, Code: code, Reason: parsed.Reason,
		RetryAfter: time.Duration(parsed.RetryAfter) * time.Millisecond, Body: body,
	}
}
