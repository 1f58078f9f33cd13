// Package operator serves the HTTP interface of operators: the lists of plans and
// allowances, the voters of the control log and the state of the system. Every
// instance serves it.
package operator

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/gin-gonic/gin"
	"go.uber.org/fx"

	"cranberrystack.dev/cranberryd/loader"
	"cranberrystack.dev/cranberryd/server"
	"cranberrystack.dev/cranberrystack/announcer"
	"cranberrystack.dev/cranberrystack/authenticator"
	"cranberrystack.dev/cranberrystack/configurer"
	"cranberrystack.dev/cranberrystack/controller"
	"cranberrystack.dev/cranberrystack/identifier"
	"cranberrystack.dev/cranberrystack/replicator"
	"cranberrystack.dev/cranberrystack/responder"
)

const (
	maxListsBytes = 16 << 20
	// applyTimeout bounds a call to the control leader.
	applyTimeout = 15 * time.Second
)

// Option registers the routes of the interface.
var Option = fx.Invoke(serve)

// applyMessage is a request to replace the lists. The type's name must not change: it
// is part of the error text that a caller gets for a key of the wrong JSON type.
type applyMessage struct {
	// RequestID identifies the change: sent again, it returns the first result.
	RequestID string `json:"request-id"`
	// Expected is the version of the lists to replace; 0 if there are none yet.
	Expected   identifier.ListVersion `json:"expected-version"`
	Plans      []configurer.Plan      `json:"plans"`
	Allowances []configurer.Allowance `json:"allowances"`
}

type listsResponse struct {
	Index      uint64                 `json:"index"`
	Version    identifier.ListVersion `json:"version"`
	Age        int64                  `json:"age-ms"`
	Plans      []configurer.Plan      `json:"plans"`
	Allowances []configurer.Allowance `json:"allowances"`
}

type statusResponse struct {
	Instance identifier.InstanceID   `json:"instance"`
	Ready    bool                    `json:"ready"`
	Reason   string                  `json:"reason,omitempty"`
	Version  identifier.ListVersion  `json:"version"`
	Index    uint64                  `json:"index"`
	Members  []announcer.Member      `json:"members"`
	Control  []replicator.Status     `json:"control"`
	Owners   []configurer.Ownership  `json:"owners"`
	Groups   []configurer.ClaimGroup `json:"claim-groups"`
}

type handler struct {
	settings  *loader.Settings
	server    *server.Server
	replica   *configurer.ViewReplica
	client    *controller.Client
	announcer *announcer.Announcer
}

func serve(s *server.Server, settings *loader.Settings, replica *configurer.ViewReplica, client *controller.Client, a *announcer.Announcer) {
	h := &handler{settings: settings, server: s, replica: replica, client: client, announcer: a}
	operators := s.Group(authenticator.KindOperator)
	operators.GET("/v1/lists", h.lists)
	operators.PUT("/v1/lists", h.apply)
	operators.GET("/v1/status", h.status)
	operators.POST("/v1/voters", h.changeVoters)
}

func respondInvalid(c *gin.Context, reason string) {
	responder.Fail(c, responder.Problem{Status: http.StatusBadRequest, Code: responder.CodeInvalid, Reason: reason})
}

// lists returns the lists that this instance applies, or with ?fresh=true those of
// the leader, which are never stale.
func (h *handler) lists(c *gin.Context) {
	view := h.replica.View()
	age := h.replica.Age(time.Now())
	if c.Query("fresh") == "true" {
		ctx, cancel := context.WithTimeout(c.Request.Context(), applyTimeout)
		defer cancel()
		fresh, err := h.client.Read(ctx)
		if err != nil {
			respondControlError(c, err)
			return
		}
		view, age = fresh, 0
	}
	c.JSON(http.StatusOK, listsResponse{
		Index: view.Index, Version: view.Lists.Version, Age: age.Milliseconds(),
		Plans: view.Lists.Plans, Allowances: view.Lists.Allowances,
	})
}

// apply replaces the lists, or with ?dry-run=true only checks them. It responds with
// a conflict if another change was committed first.
func (h *handler) apply(c *gin.Context) {
	var request applyMessage
	if !responder.Decode(c, maxListsBytes, &request) {
		return
	}
	if request.RequestID == "" {
		respondInvalid(c, "request-id is missing")
		return
	}
	lists := configurer.Lists{Plans: request.Plans, Allowances: request.Allowances}
	if c.Query("dry-run") == "true" {
		h.dryRun(c, lists)
		return
	}
	ctx, cancel := context.WithTimeout(c.Request.Context(), applyTimeout)
	defer cancel()
	result, err := h.client.Propose(ctx, configurer.Command{
		Kind: configurer.CommandApply, RequestID: request.RequestID, Expected: request.Expected, Lists: &lists,
	})
	if err != nil {
		respondControlError(c, err)
		return
	}
	if !result.Accepted {
		c.Header(responder.HeaderCode, string(responder.CodeConflict))
		c.JSON(http.StatusConflict, result)
		return
	}
	c.JSON(http.StatusOK, result)
}

// dryRun checks lists and returns the effects that they would have, compared with
// the lists that this instance applies.
func (h *handler) dryRun(c *gin.Context, lists configurer.Lists) {
	if err := configurer.Check(lists); err != nil {
		respondControlError(c, err)
		return
	}
	view := h.replica.View()
	c.JSON(http.StatusOK, configurer.Result{
		Version: view.Lists.Version, Index: view.Index, Effects: configurer.DescribeEffects(view.Lists, lists),
	})
}

// respondControlError writes the error response of a call to the control leader.
func respondControlError(c *gin.Context, err error) {
	problem := responder.Problem{Status: http.StatusServiceUnavailable, Code: responder.CodeUnavailable, Reason: err.Error(), RetryAfter: time.Second}
	switch {
	case errors.Is(err, configurer.ErrInvalid):
		problem = responder.Problem{Status: http.StatusBadRequest, Code: responder.CodeInvalid, Reason: err.Error()}
	case errors.Is(err, configurer.ErrImpossible):
		problem = responder.Problem{Status: http.StatusUnprocessableEntity, Code: responder.CodeImpossible, Reason: err.Error()}
	case errors.Is(err, controller.ErrOutcomeUnknown):
		problem.Status, problem.Code = http.StatusGatewayTimeout, responder.CodeOutcomeUnknown
	case errors.Is(err, controller.ErrRefused):
		problem = responder.Problem{Status: http.StatusConflict, Code: responder.CodeConflict, Reason: err.Error()}
	}
	responder.Fail(c, problem)
}

// status returns the readiness of this instance, the system as it knows it, and the
// status that each control instance reports.
func (h *handler) status(c *gin.Context) {
	view := h.replica.View()
	response := statusResponse{
		Instance: h.settings.Instance, Ready: true,
		Version: view.Lists.Version, Index: view.Index,
		Members: append([]announcer.Member{h.announcer.Self()}, h.announcer.Members()...),
		Control: h.client.Statuses(c.Request.Context()),
		Owners:  view.Owners, Groups: view.Groups,
	}
	if err := h.server.Ready(); err != nil {
		response.Ready, response.Reason = false, err.Error()
	}
	c.JSON(http.StatusOK, response)
}

func (h *handler) changeVoters(c *gin.Context) {
	var change replicator.Change
	if !responder.Decode(c, maxListsBytes, &change) {
		return
	}
	ctx, cancel := context.WithTimeout(c.Request.Context(), applyTimeout)
	defer cancel()
	if err := h.client.ChangeVoters(ctx, change); err != nil {
		respondControlError(c, err)
		return
	}
	c.JSON(http.StatusOK, gin.H{})
}
