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

// Request is one call.
type Request struct {
	Method string
	Path   string
	Header map[string]string
	Body   []byte
}

// Send sends a message and returns the answer's body. Errors: ErrUnreachable,
// ErrOutcomeUnknown, *Refusal.
func (c *Caller) Send(ctx context.Context, request Request) ([]byte, error) {
	lastErr := error(ErrUnreachable)
	for _, address := range c.Addresses {
		body, err := c.sendTo(ctx, strings.TrimSpace(address), request)
		var dialErr *net.OpError
		if errors.As(err, &dialErr) && dialErr.Op == "dial" {
			lastErr = fmt.Errorf("%w: %w", ErrUnreachable, err)
			continue
		}
		return body, err
	}
	return nil, lastErr
}

func (c *Caller) sendTo(ctx context.Context, address string, request Request) ([]byte, error) {
	callCtx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	httpRequest, err := http.NewRequestWithContext(callCtx, request.Method, "http://"+address+request.Path, bytes.NewReader(request.Body))
	if err != nil {
		return nil, fmt.Errorf("build message: %w", err)
	}
	httpRequest.GetBody = nil
	for name, value := range request.Header {
		httpRequest.Header.Set(name, value)
	}
	httpRequest.Header.Set("Authorization", "Bearer "+c.Token)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(httpRequest)
	if err != nil {
		return nil, classifySendError(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	if response.StatusCode >= 300 || response.Header.Get(codeHeader) != "" {
		return body, newRefusal(response, body)
	}
	return body, nil
}

// classifySendError keeps an error that shows that nothing was sent.
func classifySendError(err error) error {
	var dial *net.OpError
	if errors.As(err, &dial) && dial.Op == "dial" {
		return err
	}
	return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
}

func newRefusal(response *http.Response, body []byte) error {
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
