package claimer

import (
	"net/http"
	"time"

	"github.com/gin-gonic/gin"

	"cranberrystack.dev/cranberrystack/identifier"
	"cranberrystack.dev/cranberrystack/responder"
)

// claimMessage requests a claim; the response is a ClaimResult.
type claimMessage struct {
	Claim    Claim                `json:"claim"`
	Replaces identifier.AttemptID `json:"replaces,omitempty"`
}

type releaseMessage struct {
	ID      ID                   `json:"id"`
	Attempt identifier.AttemptID `json:"attempt"`
}

// activeMessage queries whether the holder of a claim runs the attempt.
type activeMessage struct {
	Attempt identifier.AttemptID `json:"attempt"`
}

type activeResponse struct {
	Active bool `json:"active"`
}

type stateResponse struct {
	Ready       bool                   `json:"ready"`
	Incarnation identifier.Incarnation `json:"incarnation"`
}

// dumpResponse holds all claims of an instance, or none if it is not ready.
type dumpResponse struct {
	Ready  bool    `json:"ready"`
	Claims []Claim `json:"claims"`
}

// Routes registers the handlers that the other instances of the group call.
func (c *Claimer) Routes(router gin.IRouter) {
	router.POST(claimPath, c.handleClaim)
	router.POST(finishPath, c.handleFinish)
	router.POST(releasePath, c.handleRelease)
	router.POST(activePath, c.handleActive)
	router.POST(fetchPath, c.handleFetch)
	router.GET(statePath, c.handleState)
	router.GET(dumpPath, c.handleDump)
}

type fetchMessage struct {
	ID ID `json:"id"`
}

type fetchResponse struct {
	// Ready is true if the instance has recovered, so that it has every claim
	// that it granted.
	Ready bool  `json:"ready"`
	Known bool  `json:"known"`
	Claim Claim `json:"claim"`
}

func (c *Claimer) handleClaim(g *gin.Context) {
	var message claimMessage
	if !responder.Decode(g, maxMessageBytes, &message) {
		return
	}
	c.mu.Lock()
	if !c.ready {
		c.mu.Unlock()
		g.Status(http.StatusServiceUnavailable)
		return
	}
	result := c.table.Claim(message.Claim, message.Replaces, time.Now())
	persisted := c.persistGrant(result, message.Claim)
	c.mu.Unlock()
	if err := <-persisted; err != nil {
		c.disable()
		g.Status(http.StatusServiceUnavailable)
		return
	}
	g.JSON(http.StatusOK, result)
}

// handleFinish responds before the outcome is on disk.
func (c *Claimer) handleFinish(g *gin.Context) {
	var claim Claim
	if !responder.Decode(g, maxMessageBytes, &claim) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.Finish(claim, time.Now())
	c.persistCurrent(claim.ID)
	g.Status(http.StatusNoContent)
}

func (c *Claimer) handleRelease(g *gin.Context) {
	var message releaseMessage
	if !responder.Decode(g, maxMessageBytes, &message) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.Release(message.ID, message.Attempt)
	c.persistCurrent(message.ID)
	g.Status(http.StatusNoContent)
}

func (c *Claimer) handleActive(g *gin.Context) {
	var message activeMessage
	if !responder.Decode(g, maxMessageBytes, &message) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	g.JSON(http.StatusOK, activeResponse{Active: c.active[message.Attempt]})
}

func (c *Claimer) handleFetch(g *gin.Context) {
	var message fetchMessage
	if !responder.Decode(g, maxMessageBytes, &message) {
		return
	}
	claim, known := c.Lookup(message.ID)
	g.JSON(http.StatusOK, fetchResponse{Ready: c.Ready(), Known: known, Claim: claim})
}

func (c *Claimer) handleState(g *gin.Context) {
	g.JSON(http.StatusOK, stateResponse{Ready: c.Ready(), Incarnation: c.incarnation})
}

func (c *Claimer) handleDump(g *gin.Context) {
	c.mu.Lock()
	defer c.mu.Unlock()
	response := dumpResponse{Ready: c.ready}
	if c.ready {
		response.Claims = c.table.All()
	}
	g.JSON(http.StatusOK, response)
}
