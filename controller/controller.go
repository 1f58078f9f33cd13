// Package controller gives the rest of the system access to the replicated lists.
// A Controller runs on each of the few instances that are members of the log; a
// Client reaches them from any instance.
package controller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/rotisserie/eris"

	"cranberrystack.dev/cranberrystack/configurer"
	"cranberrystack.dev/cranberrystack/identifier"
	"cranberrystack.dev/cranberrystack/messenger"
	"cranberrystack.dev/cranberrystack/replicator"
	"cranberrystack.dev/cranberrystack/responder"
	"cranberrystack.dev/cranberrystack/spreader"
)

const (
	messagePath   = "/peer/replicator/message"
	formationPath = "/peer/replicator/formation"
	proposePath   = "/peer/controller/propose"
	readPath      = "/peer/controller/read"
	changePath    = "/peer/controller/change"
	statusPath    = "/peer/controller/status"
	poolPath      = "/peer/controller/pool"

	maxMessageBytes = 64 << 20
	commitTimeout   = 5 * time.Second
	// poolExpiry is the age from which a reported pool is ignored.
	poolExpiry = 2 * time.Minute
)

// Config holds the settings of a controller.
type Config struct {
	ID identifier.InstanceID
	// Dir is the folder of the log.
	Dir string
	// InitialVoters are the voters that start a new log; empty for an instance
	// that joins later.
	InitialVoters []replicator.Peer
	DataCenters   []identifier.DataCenterID
}

type reportedPool struct {
	pool       configurer.Pool
	reportedAt time.Time
}

// Controller is a member of the log on one instance. It is safe for concurrent
// use.
type Controller struct {
	config    Config
	messenger *messenger.Messenger
	spreader  *spreader.Spreader
	replica   *configurer.ViewReplica
	node      *replicator.Node

	// mu guards state and pools. It is locked before the replica's own lock and
	// never held during I/O.
	mu    sync.Mutex
	state *configurer.State
	pools map[string]reportedPool
}

// Open restores a controller from its folder and starts its node of the log.
func Open(config Config, m *messenger.Messenger, s *spreader.Spreader, replica *configurer.ViewReplica, opts ...replicator.Option) (*Controller, error) {
	c := &Controller{
		config: config, messenger: m, spreader: s, replica: replica,
		state: configurer.NewState(), pools: map[string]reportedPool{},
	}
	stateMachine := replicator.StateMachine{Apply: c.apply, Snapshot: c.snapshot, Restore: c.restore}
	transport := replicator.Transport{Send: c.send, Formation: c.formation}
	node, err := replicator.Open(config.ID, config.Dir, config.InitialVoters, stateMachine, transport, opts...)
	if err != nil {
		return nil, fmt.Errorf("open controller in %q: %w", config.Dir, err)
	}
	c.node = node
	return c, nil
}

// Stop transfers leadership, if it is held here, and stops the controller.
func (c *Controller) Stop() {
	c.node.Stop()
}

// Done returns a channel that is closed when the controller has stopped.
func (c *Controller) Done() <-chan struct{} { return c.node.Done() }

// Failure waits until the controller has stopped and returns the error that stopped
// it, or nil.
func (c *Controller) Failure() error { return c.node.Wait() }

// Status returns the status of this member of the log.
func (c *Controller) Status() replicator.Status { return c.node.Status() }

func (c *Controller) apply(index uint64, data []byte) any {
	c.mu.Lock()
	result := c.state.Apply(index, data)
	delta := c.state.Delta(c.replica.Index())
	c.mu.Unlock()
	c.spreader.Publish(delta)
	return result
}

func (c *Controller) snapshot() ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.Snapshot()
}

func (c *Controller) restore(data []byte) error {
	c.mu.Lock()
	err := c.state.Restore(data)
	delta := c.state.Delta(c.replica.Index())
	c.mu.Unlock()
	if err != nil {
		return fmt.Errorf("restore lists: %w", err)
	}
	c.spreader.Publish(delta)
	return nil
}

func (c *Controller) send(ctx context.Context, peer replicator.Peer, message replicator.Message) ([]replicator.Message, error) {
	var responses []replicator.Message
	err := c.messenger.Post(ctx, peer.Address, messagePath, message, &responses)
	return responses, err
}

func (c *Controller) formation(ctx context.Context, peer replicator.Peer) (replicator.Formation, error) {
	var formation replicator.Formation
	err := c.messenger.Get(ctx, peer.Address, formationPath, &formation)
	return formation, err
}

// Routes adds the handlers that other instances call.
func (c *Controller) Routes(router gin.IRouter) {
	router.POST(messagePath, c.handleMessage)
	router.GET(formationPath, c.handleFormation)
	router.POST(proposePath, c.handlePropose)
	router.GET(readPath, c.handleRead)
	router.POST(changePath, c.handleChange)
	router.GET(statusPath, c.handleStatus)
	router.POST(poolPath, c.handlePool)
}

func (c *Controller) handleMessage(g *gin.Context) {
	var message replicator.Message
	if !responder.Decode(g, maxMessageBytes, &message) {
		return
	}
	responses, err := c.node.Handle(g.Request.Context(), message)
	if err != nil {
		failUnavailable(g, err)
		return
	}
	g.JSON(http.StatusOK, responses)
}

func (c *Controller) handleFormation(g *gin.Context) {
	g.JSON(http.StatusOK, c.node.Formation())
}

func failUnavailable(g *gin.Context, err error) {
	responder.Fail(g, responder.Problem{
		Status: http.StatusServiceUnavailable, Code: responder.CodeUnavailable, Reason: err.Error(),
	})
}

// proposeResponse has one field set: the result, the leader to send the request to
// instead, Unknown if the outcome is unknown, or the reason why the request failed.
type proposeResponse struct {
	Result     *configurer.Result `json:"result,omitempty"`
	Leader     *replicator.Peer   `json:"leader,omitempty"`
	Unknown    bool               `json:"unknown,omitempty"`
	Impossible string             `json:"impossible,omitempty"`
	Invalid    string             `json:"invalid,omitempty"`
	Refused    string             `json:"refused,omitempty"`
}

func (c *Controller) handlePropose(g *gin.Context) {
	var command configurer.Command
	if !responder.Decode(g, maxMessageBytes, &command) {
		return
	}
	ctx, cancel := context.WithTimeout(g.Request.Context(), commitTimeout)
	defer cancel()
	g.JSON(http.StatusOK, c.propose(ctx, command))
}

func (c *Controller) propose(ctx context.Context, command configurer.Command) proposeResponse {
	if command.RequestID == "" {
		return proposeResponse{Invalid: "request-id is missing"}
	}
	if command.Kind == configurer.CommandApply {
		prepared, refusal := c.prepareLists(command)
		if refusal != nil {
			return *refusal
		}
		command = prepared
	}
	data, err := json.Marshal(command)
	if err != nil {
		return proposeResponse{Invalid: err.Error()}
	}
	value, err := c.node.Propose(ctx, data)
	if err != nil {
		return errorResponse(err)
	}
	result, ok := value.(configurer.Result)
	if !ok {
		return proposeResponse{Unknown: true}
	}
	return proposeResponse{Result: &result}
}

// prepareLists validates the lists of a command and divides their guarantees among
// the pools. The resend of a request that already has a result is not validated,
// so that it gets that result whatever the pools are now.
func (c *Controller) prepareLists(command configurer.Command) (configurer.Command, *proposeResponse) {
	if command.Lists == nil {
		return command, &proposeResponse{Invalid: "lists are missing"}
	}
	c.mu.Lock()
	_, hasOutcome := c.state.Outcome(command.RequestID)
	pools := c.unexpiredPools(time.Now())
	c.mu.Unlock()
	if hasOutcome {
		return command, nil
	}
	if err := configurer.Check(*command.Lists); err != nil {
		return command, &proposeResponse{Invalid: err.Error()}
	}
	divided, err := configurer.DivideGuarantees(*command.Lists, pools, c.config.DataCenters)
	if err != nil {
		return command, &proposeResponse{Impossible: err.Error()}
	}
	command.Lists = &divided
	return command, nil
}

// unexpiredPools returns the pools that are younger than poolExpiry. The caller
// must hold mu.
func (c *Controller) unexpiredPools(now time.Time) []configurer.Pool {
	var pools []configurer.Pool
	for _, reported := range c.pools {
		if now.Sub(reported.reportedAt) < poolExpiry {
			pools = append(pools, reported.pool)
		}
	}
	sort.Slice(pools, func(i, j int) bool { return pools[i].DataCenter < pools[j].DataCenter })
	return pools
}

// errorResponse returns the response to a request that failed. If this leader is
// not ready yet, or its log did not take the request, the response has a leader
// without an address, so that the client retries.
func errorResponse(err error) proposeResponse {
	var notLeader *replicator.NotLeaderError
	if errors.As(err, &notLeader) {
		leader := notLeader.Leader
		return proposeResponse{Leader: &leader}
	}
	if eris.Is(err, replicator.ErrLeaderNotReady) || eris.Is(err, replicator.ErrStopped) || errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		return proposeResponse{Leader: &replicator.Peer{}}
	}
	if eris.Is(err, replicator.ErrOutcomeUnknown) {
		return proposeResponse{Unknown: true}
	}
	return proposeResponse{Refused: err.Error()}
}

type readResponse struct {
	View   *configurer.View `json:"view,omitempty"`
	Winner string           `json:"winner,omitempty"`
	Leader *replicator.Peer `json:"leader,omitempty"`
}

func (c *Controller) handleRead(g *gin.Context) {
	ctx, cancel := context.WithTimeout(g.Request.Context(), commitTimeout)
	defer cancel()
	err := c.node.Read(ctx)
	var notLeader *replicator.NotLeaderError
	if errors.As(err, &notLeader) {
		leader := notLeader.Leader
		g.JSON(http.StatusOK, readResponse{Leader: &leader})
		return
	}
	if err != nil {
		failUnavailable(g, err)
		return
	}
	c.mu.Lock()
	view, winner := c.state.View(), c.state.Winner()
	c.mu.Unlock()
	g.JSON(http.StatusOK, readResponse{View: &view, Winner: winner})
}

func (c *Controller) handleChange(g *gin.Context) {
	var change replicator.Change
	if !responder.Decode(g, maxMessageBytes, &change) {
		return
	}
	ctx, cancel := context.WithTimeout(g.Request.Context(), commitTimeout)
	defer cancel()
	if err := c.node.Change(ctx, change); err != nil {
		g.JSON(http.StatusOK, errorResponse(err))
		return
	}
	g.JSON(http.StatusOK, proposeResponse{Result: &configurer.Result{Accepted: true}})
}

func (c *Controller) handleStatus(g *gin.Context) {
	g.JSON(http.StatusOK, c.node.Status())
}

func (c *Controller) handlePool(g *gin.Context) {
	var pools []configurer.Pool
	if !responder.Decode(g, maxMessageBytes, &pools) {
		return
	}
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, pool := range pools {
		c.pools[string(pool.DataCenter)+"/"+pool.Accelerator] = reportedPool{pool: pool, reportedAt: now}
	}
	g.Status(http.StatusNoContent)
}
