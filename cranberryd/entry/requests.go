package entry

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gin-gonic/gin"
	"github.com/google/uuid"

	"cranberrystack.dev/cranberryd/loader"
	"cranberrystack.dev/cranberryd/server"
	"cranberrystack.dev/cranberrystack/announcer"
	"cranberrystack.dev/cranberrystack/claimer"
	"cranberrystack.dev/cranberrystack/connector"
	"cranberrystack.dev/cranberrystack/dispatcher"
	"cranberrystack.dev/cranberrystack/identifier"
	"cranberrystack.dev/cranberrystack/limiter"
	"cranberrystack.dev/cranberrystack/responder"
)

// Headers of the callers' interface.
const (
	headerPlan          = "Cranberry-Plan"
	headerTeam          = "Cranberry-Team"
	headerKind          = "Cranberry-Kind"
	headerClass         = "Cranberry-Class"
	headerDeadline      = "Cranberry-Deadline-Ms"
	headerNonIdempotent = "Cranberry-Non-Idempotent"
	headerKey           = "Idempotency-Key"
	headerDataCenter    = "Cranberry-Data-Center"
	// headerMember is the member of a request that another instance forwards.
	headerMember = "Cranberry-Forwarded-Member"
)

const (
	// defaultDeadline applies to requests without a deadline header.
	defaultDeadline = 30 * time.Second
	maxKeyBytes     = 200
	// maxLabelBytes bounds each of plan, team and kind.
	maxLabelBytes = 100
	// keySeparator separates the home data centre that a key names from the
	// rest of the key.
	keySeparator = ":"
)

type requestHandler struct {
	settings   *loader.Settings
	dispatcher *dispatcher.Dispatcher
	announcer  *announcer.Announcer
	// client forwards requests to other data centres.
	client *http.Client
}

type issuedKey struct {
	Key identifier.RequestKey `json:"key"`
}

// issueKey returns a new key whose home is this data centre.
func (h *requestHandler) issueKey(c *gin.Context) {
	key := string(h.settings.DataCenter) + keySeparator + uuid.NewString()
	c.JSON(http.StatusOK, issuedKey{Key: identifier.RequestKey(key)})
}

// submit runs a caller's request, or forwards it to its home data centre.
func (h *requestHandler) submit(c *gin.Context) {
	request, ok := h.parseRequest(c, server.Identity(c).Member)
	if !ok {
		return
	}
	if home := h.homeDataCenter(request); home != h.settings.DataCenter {
		h.forward(c, request, home)
		return
	}
	h.run(c, request)
}

// forwarded runs a keyed request that an instance of another data centre sent.
func (h *requestHandler) forwarded(c *gin.Context) {
	request, ok := h.parseRequest(c, identifier.MemberID(c.GetHeader(headerMember)))
	if ok {
		h.run(c, request)
	}
}

// run dispatches a request and writes the upstream's response or the error.
func (h *requestHandler) run(c *gin.Context, request dispatcher.Request) {
	response, err := h.dispatcher.Submit(c.Request.Context(), request)
	c.Header(headerDataCenter, string(h.settings.DataCenter))
	if err != nil {
		responder.Fail(c, problemForError(err))
		return
	}
	c.Header("Content-Length", strconv.Itoa(len(response.Body)))
	c.Data(response.Status, response.ContentType, response.Body)
}

// homeDataCenter returns the data centre whose claims decide whether a request
// runs. It is this one unless the request is non-idempotent and has a key. Such a
// key may name its data centre before the separator; the home of any other key is
// found by rendezvous hashing.
func (h *requestHandler) homeDataCenter(request dispatcher.Request) identifier.DataCenterID {
	if !request.NonIdempotent || request.Key == "" {
		return h.settings.DataCenter
	}
	if prefix, _, found := strings.Cut(string(request.Key), keySeparator); found {
		for _, dataCenter := range h.settings.DataCenters {
			if string(dataCenter) == prefix {
				return dataCenter
			}
		}
	}
	var best identifier.DataCenterID
	var bestHash uint64
	for _, dataCenter := range h.settings.DataCenters {
		hash := xxhash.Sum64String(string(dataCenter) + "\x00" + string(request.Member) + "\x00" + string(request.Key))
		if best == "" || hash > bestHash {
			best, bestHash = dataCenter, hash
		}
	}
	return best
}

func respondInvalid(c *gin.Context, reason string) {
	responder.Fail(c, responder.Problem{Status: http.StatusBadRequest, Code: responder.CodeInvalid, Reason: reason})
}

// parseRequest builds a request from headers and body. If it returns false, it
// has written the error response.
func (h *requestHandler) parseRequest(c *gin.Context, member identifier.MemberID) (dispatcher.Request, bool) {
	request := dispatcher.Request{
		Member: member, Plan: identifier.PlanID(c.GetHeader(headerPlan)),
		Team: identifier.TeamID(c.GetHeader(headerTeam)), Kind: c.GetHeader(headerKind),
		Key: identifier.RequestKey(c.GetHeader(headerKey)), ContentType: c.ContentType(),
	}
	for _, label := range []string{string(request.Plan), string(request.Team), request.Kind} {
		if len(label) > maxLabelBytes {
			respondInvalid(c, "plan, team and kind are at most "+strconv.Itoa(maxLabelBytes)+" bytes")
			return request, false
		}
	}
	switch {
	case request.Plan == "":
		respondInvalid(c, headerPlan+" is missing")
		return request, false
	case len(request.Key) > maxKeyBytes:
		respondInvalid(c, headerKey+" is over "+strconv.Itoa(maxKeyBytes)+" bytes")
		return request, false
	}
	return request, h.parseClass(c, &request) && h.parseDeadline(c, &request) && h.readBody(c, &request)
}

func (h *requestHandler) parseClass(c *gin.Context, request *dispatcher.Request) bool {
	switch class := c.GetHeader(headerClass); class {
	case "", string(limiter.ClassShort):
		request.Class = limiter.ClassShort
	case string(limiter.ClassLong):
		request.Class = limiter.ClassLong
	default:
		respondInvalid(c, headerClass+" is \"short\" or \"long\"")
		return false
	}
	switch flag := c.GetHeader(headerNonIdempotent); flag {
	case "", "false":
	case "true":
		request.NonIdempotent = true
	default:
		respondInvalid(c, headerNonIdempotent+" is \"true\" or \"false\"")
		return false
	}
	return true
}

func (h *requestHandler) parseDeadline(c *gin.Context, request *dispatcher.Request) bool {
	limit := h.settings.Requests.MaxDeadline.Std()
	timeout := min(defaultDeadline, limit)
	if text := c.GetHeader(headerDeadline); text != "" {
		millis, err := strconv.ParseInt(text, 10, 64)
		if err != nil || millis < 0 || millis > limit.Milliseconds() {
			respondInvalid(c, headerDeadline+" is a number from 0 to "+strconv.FormatInt(limit.Milliseconds(), 10))
			return false
		}
		timeout = time.Duration(millis) * time.Millisecond
	}
	request.Deadline = time.Now().Add(timeout)
	return true
}

func (h *requestHandler) readBody(c *gin.Context, request *dispatcher.Request) bool {
	limit := h.settings.Requests.MaxBodyBytes
	body, err := io.ReadAll(http.MaxBytesReader(c.Writer, c.Request.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		responder.Fail(c, responder.Problem{
			Status: http.StatusRequestEntityTooLarge, Code: responder.CodeTooLarge,
			Reason: "body is over " + strconv.FormatInt(limit, 10) + " bytes",
		})
		return false
	}
	if err != nil {
		respondInvalid(c, "body could not be read")
		return false
	}
	request.Body = body
	return true
}

// problemForError returns the error response for a request without a response of
// an upstream.
func problemForError(err error) responder.Problem {
	var refusal *dispatcher.Refusal
	if !errors.As(err, &refusal) {
		return responder.Problem{Status: http.StatusBadGateway, Code: responder.CodeOutcomeUnknown, Reason: err.Error()}
	}
	problem := responder.Problem{Reason: refusal.Cause.Error(), RetryAfter: refusal.RetryAfter}
	switch {
	case errors.Is(err, dispatcher.ErrNoSuchPlan):
		problem.Status, problem.Code = http.StatusForbidden, responder.CodeNoSuchPlan
	case errors.Is(err, claimer.ErrKeyReused):
		problem.Status, problem.Code = http.StatusConflict, responder.CodeConflict
	case errors.Is(err, limiter.ErrOverloaded):
		problem.Status, problem.Code = http.StatusTooManyRequests, responder.CodeOverloaded
	case refusal.NotRun:
		problem.Status, problem.Code = http.StatusServiceUnavailable, responder.CodeNotRun
	case errors.Is(err, connector.ErrResponseTooLarge):
		problem.Status, problem.Code = http.StatusBadGateway, responder.CodeTooLarge
	default:
		problem.Status, problem.Code = http.StatusGatewayTimeout, responder.CodeOutcomeUnknown
	}
	return problem
}
