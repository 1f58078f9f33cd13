package entry

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/gin-gonic/gin"

	"cranberrystack.dev/cranberrystack/dispatcher"
	"cranberrystack.dev/cranberrystack/identifier"
	"cranberrystack.dev/cranberrystack/messenger"
	"cranberrystack.dev/cranberrystack/responder"
)

const (
	forwardPath = "/peer/entry/request"
	// forwardMargin is how long after the request's deadline the response of
	// the other data centre is waited for.
	forwardMargin = 200 * time.Millisecond
	// forwardDialTimeout bounds the dial, so that the next instance is tried
	// without delay.
	forwardDialTimeout = 300 * time.Millisecond
)

// forward sends a keyed request to its home data centre, which holds the claims
// of the key. It tries the alive entry instances there in random order. If none
// responds, the outcome is unknown rather than "not run": an earlier send of the
// same key may have run there.
func (h *requestHandler) forward(c *gin.Context, request dispatcher.Request, home identifier.DataCenterID) {
	members := aliveEntries(h.announcer, home)
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	var failure error
	for _, member := range members {
		response, err := h.sendTo(c.Request.Context(), member.Address, request)
		if err != nil {
			failure = err
			continue
		}
		h.relay(c, response)
		return
	}
	reason := fmt.Sprintf("the key belongs to data centre %s, which can't be reached", home)
	if failure != nil {
		reason += ": " + failure.Error()
	}
	responder.Fail(c, responder.Problem{
		Status: http.StatusGatewayTimeout, Code: responder.CodeOutcomeUnknown,
		Reason: reason, RetryAfter: time.Second,
	})
}

// forwardedResponse is a complete response from another data centre.
type forwardedResponse struct {
	status int
	header http.Header
	body   []byte
}

// sendTo forwards a request to one instance. It is safe to repeat at another
// one, because the claim on the key lets the request run at most once.
func (h *requestHandler) sendTo(ctx context.Context, address string, request dispatcher.Request) (forwardedResponse, error) {
	left := time.Until(request.Deadline)
	sendCtx, cancel := context.WithTimeout(ctx, left+forwardMargin)
	defer cancel()
	outbound, err := http.NewRequestWithContext(sendCtx, http.MethodPost, "http://"+address+forwardPath, bytes.NewReader(request.Body))
	if err != nil {
		return forwardedResponse{}, fmt.Errorf("build request: %w", err)
	}
	outbound.Header.Set("Authorization", "Bearer "+h.settings.PeerToken)
	outbound.Header.Set(headerMember, string(request.Member))
	outbound.Header.Set(headerPlan, string(request.Plan))
	outbound.Header.Set(headerTeam, string(request.Team))
	outbound.Header.Set(headerKind, request.Kind)
	outbound.Header.Set(headerClass, string(request.Class))
	outbound.Header.Set(headerKey, string(request.Key))
	outbound.Header.Set(headerNonIdempotent, strconv.FormatBool(request.NonIdempotent))
	outbound.Header.Set(headerDeadline, strconv.FormatInt(max(left.Milliseconds(), 0), 10))
	outbound.Header.Set("Content-Type", request.ContentType)
	response, err := h.client.Do(outbound)
	if err != nil {
		return forwardedResponse{}, fmt.Errorf("forward to %s: %w", address, err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return forwardedResponse{}, fmt.Errorf("answer from %s: %w", address, err)
	}
	return forwardedResponse{status: response.StatusCode, header: response.Header, body: body}, nil
}

// newForwardClient returns a client with a short dial timeout. It doesn't reuse
// connections, because an idle one may have broken unnoticed.
func newForwardClient(dial messenger.Dial) *http.Client {
	dialWithTimeout := func(ctx context.Context, network, address string) (net.Conn, error) {
		dialCtx, cancel := context.WithTimeout(ctx, forwardDialTimeout)
		defer cancel()
		return dial(dialCtx, network, address)
	}
	return &http.Client{Transport: &http.Transport{DialContext: dialWithTimeout, DisableKeepAlives: true}}
}

// relay writes a forwarded response to the caller with the headers that the
// callers' interface defines.
func (h *requestHandler) relay(c *gin.Context, response forwardedResponse) {
	for _, name := range []string{responder.HeaderCode, "Retry-After", headerDataCenter} {
		if value := response.header.Get(name); value != "" {
			c.Header(name, value)
		}
	}
	c.Header("Content-Length", strconv.Itoa(len(response.body)))
	c.Data(response.status, response.header.Get("Content-Type"), response.body)
}
