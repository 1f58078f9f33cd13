package claimer

import (
	"context"
	"fmt"
	"time"

	"cranberrystack.dev/cranberrystack/configurer"
	"cranberrystack.dev/cranberrystack/identifier"
)

// recoverLoop fills the table after a start. An instance that restarted without
// its claims grants nothing until it has copied the tables of enough peers to
// have every claim that a majority granted.
func (c *Claimer) recoverLoop() {
	for !c.tryRecover() {
		select {
		case <-c.stop:
			return
		case <-time.After(recoverInterval):
		}
	}
}

// tryRecover makes the instance ready if it can, and reports whether it is. An
// instance that the replicated log names, in this incarnation, as a starter of the
// group becomes ready with an empty table. Any other needs copies of its peers'
// tables.
// Every majority of the group includes at least one of requiredCopies
// instances, so that their tables together hold every granted claim. If the
// group never had claims, it proposes to start with an empty table.
func (c *Claimer) tryRecover() bool {
	if c.Ready() {
		return true
	}
	group := c.dependencies.Group()
	if group.Starters[c.self] == c.incarnation && group.Generation > 0 {
		c.becomeReady(nil)
		return true
	}
	requiredCopies := len(c.peers) + 1 - c.majority() + 1
	var claims []Claim
	copied := 0
	for _, peer := range c.peers {
		response, err := c.fetchClaims(peer)
		if err != nil || !response.Ready {
			continue
		}
		claims = append(claims, response.Claims...)
		copied++
	}
	if copied > 0 && copied >= min(requiredCopies, len(c.peers)) {
		c.becomeReady(claims)
		return true
	}
	if group.Generation == 0 {
		_ = c.proposeEmptyTable(group) // retried after recoverInterval
	}
	return false
}

// fetchClaims copies the claim table of a peer. It has four times the timeout of
// other calls.
func (c *Claimer) fetchClaims(peer Peer) (dumpResponse, error) {
	ctx, cancel := context.WithTimeout(context.Background(), c.options.callTimeout*4)
	defer cancel()
	var response dumpResponse
	if err := c.messenger.Get(ctx, peer.Address, dumpPath, &response); err != nil {
		return dumpResponse{}, fmt.Errorf("copy claims from %s: %w", peer.ID, err)
	}
	return response, nil
}

// becomeReady loads recovered claims, queues them for the journal and starts
// granting.
func (c *Claimer) becomeReady(claims []Claim) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.Load(claims, time.Now())
	for i := range claims {
		if claims[i].State == StateTombstone {
			c.writer.enqueue(change{Set: &claims[i]})
			continue
		}
		c.persistCurrent(claims[i].ID)
	}
	c.writer.enqueue(change{Complete: true})
	c.ready = true
}

// proposeEmptyTable proposes to start the group with an empty claim table. All
// instances of the group must be reachable and not ready, since an unreachable
// one may have claims. Errors wrap ErrHasClaims if a peer is ready.
func (c *Claimer) proposeEmptyTable(group configurer.ClaimGroup) error {
	starters := map[identifier.InstanceID]identifier.Incarnation{c.self: c.incarnation}
	for _, peer := range c.peers {
		state, err := c.fetchState(peer)
		if err != nil {
			return err
		}
		if state.Ready {
			return fmt.Errorf("%s: %w", peer.ID, ErrHasClaims)
		}
		starters[peer.ID] = state.Incarnation
	}
	ctx, cancel := context.WithTimeout(context.Background(), proposeTimeout)
	defer cancel()
	next := configurer.ClaimGroup{DataCenter: c.dataCenter, Generation: group.Generation + 1, Starters: starters}
	return c.dependencies.Propose(ctx, next)
}

// Reset starts the data centre's claim group with an empty table after all of
// its instances have lost their claims. Requests that ran before may run again
// under their keys. It fails with ErrHasClaims while any instance of the group
// has claims, and with another error while one can't be reached.
func (c *Claimer) Reset() error {
	if c.Ready() {
		return fmt.Errorf("%s: %w", c.self, ErrHasClaims)
	}
	return c.proposeEmptyTable(c.dependencies.Group())
}

func (c *Claimer) fetchState(peer Peer) (stateResponse, error) {
	ctx, cancel := context.WithTimeout(context.Background(), c.options.callTimeout)
	defer cancel()
	var response stateResponse
	if err := c.messenger.Get(ctx, peer.Address, statePath, &response); err != nil {
		return stateResponse{}, fmt.Errorf("ask %s for its claims: %w", peer.ID, err)
	}
	return response, nil
}
