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

// Role is the role of instances that hold the log.
const Role = "control"

// ErrUnreachable reports that no leader could be reached. Nothing is known to
// have changed, but a command that was sent may still be accepted: asking
// again with the same request id tells.
var ErrUnreachable = eris.New("no control leader can be reached")

// ErrOutcomeUnknown reports a command whose outcome is unknown. Asking again with the
// same request id tells.
var ErrOutcomeUnknown = eris.New("outcome of the change is unknown")

// ErrRefused reports a change that was refused, with the reason around it.
var ErrRefused = eris.New("change refused")

const (
	callTimeout  = 6 * time.Second
	probeTimeout = time.Second
	retryWait    = 200 * time.Millisecond
)

// Client reaches the leader of the log. It is safe for concurrent use.
type Client struct {
	announcer *announcer.Announcer
	messenger *messenger.Messenger
}

// NewClient returns a client that finds control instances by membership.
func NewClient(a *announcer.Announcer, m *messenger.Messenger) *Client {
	return &Client{announcer: a, messenger: m}
}

// targets returns the control instances, this one first if it is one.
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

// Propose commits a command. Errors: ErrUnreachable, ErrOutcomeUnknown, and those of
// configurer.Check and configurer.DivideGuarantees.
func (c *Client) Propose(ctx context.Context, command configurer.Command) (configurer.Result, error) {
	return c.post(ctx, proposePath, command)
}

// ChangeVoters commits a change of the voters.
func (c *Client) ChangeVoters(ctx context.Context, change replicator.Change) error {
	_, err := c.post(ctx, changePath, change)
	return err
}

// post asks control instances in turn, following their word on who leads,
// until one decides or the context ends. A resend is safe: commands carry a
// request id, and changes of voters name their effect.
func (c *Client) post(ctx context.Context, path string, message any) (configurer.Result, error) {
	unknown := false
	for {
		for _, address := range c.targets() {
			answer, err := c.postOnce(ctx, address, path, message)
			if err == nil && answer.Leader != nil && answer.Leader.Address != "" {
				answer, err = c.postOnce(ctx, answer.Leader.Address, path, message)
			}
			if err != nil {
				unknown = true
				continue
			}
			if answer.Leader != nil {
				continue
			}
			if answer.Unknown {
				unknown = true
				continue
			}
			return decided(answer)
		}
		select {
		case <-ctx.Done():
			if unknown {
				return configurer.Result{}, ErrOutcomeUnknown
			}
			return configurer.Result{}, ErrUnreachable
		case <-time.After(retryWait):
		}
	}
}

func (c *Client) postOnce(ctx context.Context, address, path string, message any) (proposeAnswer, error) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var answer proposeAnswer
	err := c.messenger.Post(callCtx, address, path, message, &answer)
	return answer, err
}

func decided(answer proposeAnswer) (configurer.Result, error) {
	switch {
	case answer.Result != nil:
		return *answer.Result, nil
	case answer.Impossible != "":
		return configurer.Result{}, fmt.Errorf("%s: %w", answer.Impossible, configurer.ErrImpossible)
	case answer.Invalid != "":
		return configurer.Result{}, fmt.Errorf("%s: %w", answer.Invalid, configurer.ErrInvalid)
	}
	return configurer.Result{}, fmt.Errorf("%s: %w", answer.Refused, ErrRefused)
}

// Read returns the lists as the leader has them, with everything that was
// accepted before the call.
func (c *Client) Read(ctx context.Context) (configurer.View, error) {
	for {
		for _, address := range c.targets() {
			answer, err := c.readOnce(ctx, address)
			if err == nil && answer.Leader != nil && answer.Leader.Address != "" {
				answer, err = c.readOnce(ctx, answer.Leader.Address)
			}
			if err == nil && answer.View != nil {
				return *answer.View, nil
			}
		}
		select {
		case <-ctx.Done():
			return configurer.View{}, ErrUnreachable
		case <-time.After(retryWait):
		}
	}
}

func (c *Client) readOnce(ctx context.Context, address string) (readAnswer, error) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var answer readAnswer
	err := c.messenger.Get(callCtx, address, readPath, &answer)
	return answer, err
}

// Statuses returns the word of every control instance that answers.
func (c *Client) Statuses(ctx context.Context) []replicator.Status {
	var statuses []replicator.Status
	for _, address := range c.targets() {
		callCtx, cancel := context.WithTimeout(ctx, probeTimeout)
		var status replicator.Status
		err := c.messenger.Get(callCtx, address, statusPath, &status)
		cancel()
		if err == nil {
			statuses = append(statuses, status)
		}
	}
	return statuses
}

// ReportPool tells every control instance what a data centre has.
func (c *Client) ReportPool(ctx context.Context, pools []configurer.Pool) {
	for _, address := range c.targets() {
		callCtx, cancel := context.WithTimeout(ctx, probeTimeout)
		_ = c.messenger.Post(callCtx, address, poolPath, pools, nil)
		cancel()
	}
}
