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
	// forwardMargin is the time left to the other data centre's answer beyond
	// the deadline.
	forwardMargin = 200 * time.Millisecond
	forwardDial   = 300 * time.Millisecond
)

// forward hands a keyed request to the data centre that holds its claims. If
// that can't be reached the outcome is unknown, not "not run": an earlier send
// of the same key may have run there.
func (h *requestHandler) forward(c *gin.Context, request dispatcher.Request, home identifier.DataCenterID) {
	members := entries(h.announcer, home)
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	var failure error
	for _, member := range members {
		response, err := h.send(c.Request.Context(), member.Address, request)
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

// forwardedAnswer is a whole answer from another data centre.
type forwardedAnswer struct {
	status int
	header http.Header
	body   []byte
}

// send is safe to repeat at another instance: the claims of the key see to it
// that the request runs at most once.
func (h *requestHandler) send(ctx context.Context, address string, request dispatcher.Request) (forwardedAnswer, error) {
	left := time.Until(request.Deadline)
	sendCtx, cancel := context.WithTimeout(ctx, left+forwardMargin)
	defer cancel()
	message, err := http.NewRequestWithContext(sendCtx, http.MethodPost, "http://"+address+forwardPath, bytes.NewReader(request.Body))
	if err != nil {
		return forwardedAnswer{}, fmt.Errorf("build request: %w", err)
	}
	message.Header.Set("Authorization", "Bearer "+h.settings.PeerToken)
	message.Header.Set(headerMember, string(request.Member))
	message.Header.Set(headerPlan, string(request.Plan))
	message.Header.Set(headerTeam, string(request.Team))
	message.Header.Set(headerKind, request.Kind)
	message.Header.Set(headerClass, string(request.Class))
	message.Header.Set(headerKey, string(request.Key))
	message.Header.Set(headerNonIdempotent, strconv.FormatBool(request.NonIdempotent))
	message.Header.Set(headerDeadline, strconv.FormatInt(max(left.Milliseconds(), 0), 10))
	message.Header.Set("Content-Type", request.ContentType)
	response, err := h.client.Do(message)
	if err != nil {
		return forwardedAnswer{}, fmt.Errorf("forward to %s: %w", address, err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return forwardedAnswer{}, fmt.Errorf("answer from %s: %w", address, err)
	}
	return forwardedAnswer{status: response.StatusCode, header: response.Header, body: body}, nil
}

// newForwardClient returns a client that gives up soon on an instance that
// can't be reached, and never uses a connection that may have gone silent.
func newForwardClient(dial messenger.Dial) *http.Client {
	dialSoon := func(ctx context.Context, network, address string) (net.Conn, error) {
		dialCtx, cancel := context.WithTimeout(ctx, forwardDial)
		defer cancel()
		return dial(dialCtx, network, address)
	}
	return &http.Client{Transport: &http.Transport{DialContext: dialSoon, DisableKeepAlives: true}}
}

func (h *requestHandler) relay(c *gin.Context, answer forwardedAnswer) {
	for _, name := range []string{responder.HeaderCode, "Retry-After", headerDataCenter} {
		if value := answer.header.Get(name); value != "" {
			c.Header(name, value)
		}
	}
	c.Header("Content-Length", strconv.Itoa(len(answer.body)))
	c.Data(answer.status, answer.header.Get("Content-Type"), answer.body)
}
