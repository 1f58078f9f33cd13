package controller

import (
	"context"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"cranberrystack.dev/cranberrystack/announcer"
	"cranberrystack.dev/cranberrystack/configurer"
	"cranberrystack.dev/cranberrystack/messenger"
	"cranberrystack.dev/cranberrystack/replicator"
)

// Role is the role of the instances that are members of the log.
const Role = "control"

// ErrUnreachable reports that no leader could be reached: no control instance is
// known, or each one that was called responded that it is not the leader or not
// ready. A command was then not accepted. A call without a response gives
// ErrOutcomeUnknown instead, except in Read.
var ErrUnreachable = eris.New("no control leader can be reached")

// ErrOutcomeUnknown reports a command whose outcome is unknown, also if a call failed
// before anything was sent. A resend with the same request id returns the outcome.
var ErrOutcomeUnknown = eris.New("outcome of the change is unknown")

// ErrRefused reports a change that was refused. Errors that wrap it give the
// reason.
var ErrRefused = eris.New("change refused")

const (
	callTimeout      = 6 * time.Second // longer than commitTimeout
	shortCallTimeout = time.Second     // for status queries and pool reports
	retryInterval    = 200 * time.Millisecond
)

// Client sends requests to the leader of the log from any instance. It is safe
// for concurrent use.
type Client struct {
	announcer *announcer.Announcer
	messenger *messenger.Messenger
}

// NewClient returns a client that finds the control instances among the members
// that the announcer knows.
func NewClient(a *announcer.Announcer, m *messenger.Messenger) *Client {
	return &Client{announcer: a, messenger: m}
}

// targets returns the addresses of the control instances that have not left,
// first that of this instance if it is one.
func (c *Client) targets() []string {
	var addresses []string
	self := c.announcer.Self()
	if self.Has(Role) {
		addresses = append(addresses, self.Address)
	}
	for _, member := range c.announcer.Members() {
		if member.Has(Role) && member.State != announcer.StateLeft {
			addresses = append(addresses, member.Address)
		}
	}
	return addresses
}

// Propose commits a command and returns its result. Errors: ErrUnreachable,
// ErrOutcomeUnknown, ErrRefused, and those of configurer.Check and
// configurer.DivideGuarantees.
func (c *Client) Propose(ctx context.Context, command configurer.Command) (configurer.Result, error) {
	return c.postToLeader(ctx, proposePath, command)
}

// ChangeVoters commits a change of the voters. Errors: ErrUnreachable,
// ErrOutcomeUnknown and ErrRefused.
func (c *Client) ChangeVoters(ctx context.Context, change replicator.Change) error {
	_, err := c.postToLeader(ctx, changePath, change)
	return err
}

// postToLeader tries the control instances in turn and follows their redirects to
// the leader, until one decides or the context ends. A resend is safe: a command
// carries a request id, and a change of voters names its effect.
func (c *Client) postToLeader(ctx context.Context, path string, message any) (configurer.Result, error) {
	outcomeUnknown := false
	for {
		for _, address := range c.targets() {
			response, err := c.postOnce(ctx, address, path, message)
			if err == nil && response.Leader != nil && response.Leader.Address != "" {
				response, err = c.postOnce(ctx, response.Leader.Address, path, message)
			}
			if err != nil {
				outcomeUnknown = true
				continue
			}
			if response.Leader != nil {
				continue
			}
			if response.Unknown {
				outcomeUnknown = true
				continue
			}
			return resultFrom(response)
		}
		select {
		case <-ctx.Done():
			if outcomeUnknown {
				return configurer.Result{}, ErrOutcomeUnknown
			}
			return configurer.Result{}, ErrUnreachable
		case <-time.After(retryInterval):
		}
	}
}

func (c *Client) postOnce(ctx context.Context, address, path string, message any) (proposeResponse, error) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var response proposeResponse
	err := c.messenger.Post(callCtx, address, path, message, &response)
	return response, err
}

func resultFrom(response proposeResponse) (configurer.Result, error) {
	switch {
	case response.Result != nil:
		return *response.Result, nil
	case response.Impossible != "":
		return configurer.Result{}, fmt.Errorf("%s: %w", response.Impossible, configurer.ErrImpossible)
	case response.Invalid != "":
		return configurer.Result{}, fmt.Errorf("%s: %w", response.Invalid, configurer.ErrInvalid)
	}
	return configurer.Result{}, fmt.Errorf("%s: %w", response.Refused, ErrRefused)
}

// Read returns the view of the leader, with every change that was accepted
// before the call. It returns ErrUnreachable once the context has ended.
func (c *Client) Read(ctx context.Context) (configurer.View, error) {
	for {
		for _, address := range c.targets() {
			response, err := c.readOnce(ctx, address)
			if err == nil && response.Leader != nil && response.Leader.Address != "" {
				response, err = c.readOnce(ctx, response.Leader.Address)
			}
			if err == nil && response.View != nil {
				return *response.View, nil
			}
		}
		select {
		case <-ctx.Done():
			return configurer.View{}, ErrUnreachable
		case <-time.After(retryInterval):
		}
	}
}

func (c *Client) readOnce(ctx context.Context, address string) (readResponse, error) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var response readResponse
	err := c.messenger.Get(callCtx, address, readPath, &response)
	return response, err
}

// Statuses returns the status of every control instance that responds.
func (c *Client) Statuses(ctx context.Context) []replicator.Status {
	var statuses []replicator.Status
	for _, address := range c.targets() {
		callCtx, cancel := context.WithTimeout(ctx, shortCallTimeout)
		var status replicator.Status
		err := c.messenger.Get(callCtx, address, statusPath, &status)
		cancel()
		if err == nil {
			statuses = append(statuses, status)
		}
	}
	return statuses
}

// ReportPool sends pools to every control instance. Failed calls are ignored.
func (c *Client) ReportPool(ctx context.Context, pools []configurer.Pool) {
	for _, address := range c.targets() {
		callCtx, cancel := context.WithTimeout(ctx, shortCallTimeout)
		_ = c.messenger.Post(callCtx, address, poolPath, pools, nil)
		cancel()
	}
}
