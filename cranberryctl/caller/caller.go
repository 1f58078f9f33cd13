// Package caller sends requests to the public HTTP interface of an instance.
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

// ErrUnreachable reports that no connection to any address could be opened.
// Nothing was sent.
var ErrUnreachable = eris.New("no instance can be reached")

// ErrOutcomeUnknown reports a request that may have been sent and got no
// complete response.
var ErrOutcomeUnknown = eris.New("no answer came back; the outcome is unknown")

// Refusal is an error response of an instance.
type Refusal struct {
	Status int
	Code   string
	Reason string
	// RetryAfter is the time to wait before a retry; 0 if the instance named
	// none.
	RetryAfter time.Duration
	Body       []byte
}

// Error returns the code and the reason, and the time to wait if there is one.
func (r *Refusal) Error() string {
	if r.RetryAfter > 0 {
		return fmt.Sprintf("%s: %s (retry after %s)", r.Code, r.Reason, r.RetryAfter)
	}
	return fmt.Sprintf("%s: %s", r.Code, r.Reason)
}

type refusalBody struct {
	Code       string `json:"code"`
	Reason     string `json:"reason"`
	RetryAfter int64  `json:"retry-after-ms"`
}

// Caller sends requests with a bearer token.
type Caller struct {
	// Addresses are tried in order until one accepts a connection.
	Addresses []string
	Token     string
	// Timeout bounds the call to one address.
	Timeout time.Duration
}

// Request is one HTTP request.
type Request struct {
	Method string
	Path   string
	Header map[string]string
	Body   []byte
}

// Send sends a request and returns the body of the response. It tries the next
// address only if no connection could be opened. Its errors are ErrUnreachable,
// ErrOutcomeUnknown, *Refusal, and one that wraps none of them for a request that
// can't be built; the body of a refusal is returned too.
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
		return nil, fmt.Errorf("build request: %w", err)
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

// classifySendError returns dial errors as they are, since nothing was sent,
// and marks all others with ErrOutcomeUnknown.
func classifySendError(err error) error {
	var dialErr *net.OpError
	if errors.As(err, &dialErr) && dialErr.Op == "dial" {
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
