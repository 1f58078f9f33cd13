package claimer

import (
	"context"
	"fmt"
	"sync"
	"time"

	"cranberrystack.dev/cranberrystack/configurer"
	"cranberrystack.dev/cranberrystack/identifier"
	"cranberrystack.dev/cranberrystack/messenger"
)

const (
	claimPath   = "/peer/claimer/claim"
	finishPath  = "/peer/claimer/finish"
	releasePath = "/peer/claimer/release"
	activePath  = "/peer/claimer/active"
	statePath   = "/peer/claimer/state"
	dumpPath    = "/peer/claimer/dump"
	fetchPath   = "/peer/claimer/fetch"

	maxMessageBytes = 128 << 20
	// recoverInterval is the time between two attempts to recover the claims.
	recoverInterval = 500 * time.Millisecond
	// proposeTimeout bounds a proposal to the replicated log.
	proposeTimeout = 5 * time.Second
)

// Peer is another instance of the claim group.
type Peer struct {
	ID      identifier.InstanceID
	Address string
}

// Dependencies holds the functions that a Claimer needs from the rest of the
// process.
type Dependencies struct {
	// Group returns the data centre's claim group according to the replicated
	// log.
	Group func() configurer.ClaimGroup
	// Propose proposes to the replicated log that the group starts with an empty
	// claim table.
	Propose func(ctx context.Context, group configurer.ClaimGroup) error
}

// Claimer is one instance of a claim group. It is safe for concurrent use.
type Claimer struct {
	self         identifier.InstanceID
	incarnation  identifier.Incarnation
	dataCenter   identifier.DataCenterID
	peers        []Peer
	messenger    *messenger.Messenger
	options      options
	dependencies Dependencies

	// mu guards the fields below. It is never held during I/O.
	mu    sync.Mutex
	table *Table
	// ready is false until the table holds every claim that a majority may
	// have granted.
	ready bool
	// active holds the attempts that run on this instance.
	active map[identifier.AttemptID]bool
	// writer persists granted, finished and released claims if the claimer has a
	// folder. Pruning and reductions to tombstones reach the disk only with the
	// next snapshot. Its lock is taken after mu.
	writer *claimWriter

	stop chan struct{}
	done sync.WaitGroup
}

// New returns a claimer. peers are the other instances of the group; every
// instance must be configured with the same group. The claimer is not ready
// until it has recovered the claims from its peers, unless its folder holds all
// claims that it ever granted.
func New(self identifier.InstanceID, incarnation identifier.Incarnation, dataCenter identifier.DataCenterID, peers []Peer, m *messenger.Messenger, dependencies Dependencies, opts ...Option) (*Claimer, error) {
	o := newOptions(opts...)
	c := &Claimer{
		self: self, incarnation: incarnation, dataCenter: dataCenter, peers: peers,
		messenger: m, options: o, dependencies: dependencies,
		table:  NewTable(o.retention, o.maxBytes),
		active: map[identifier.AttemptID]bool{},
		stop:   make(chan struct{}),
	}
	writer, claims, complete, err := openClaimWriter(o.dir, c.allClaims)
	if err != nil {
		return nil, err
	}
	c.writer = writer
	if complete {
		c.table.Load(claims, time.Now())
		c.ready = true
	}
	return c, nil
}

func (c *Claimer) allClaims() []Claim {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.All()
}

// Start starts the recovery of the claims from the group.
func (c *Claimer) Start() {
	c.done.Go(c.recoverLoop)
}

// Stop ends the recovery, writes the pending changes to disk and closes the
// journal.
func (c *Claimer) Stop() {
	close(c.stop)
	c.done.Wait()
	c.writer.close()
}

// Ready reports whether the instance has recovered its claims and can persist
// new ones.
func (c *Claimer) Ready() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ready
}

// Usage returns the size of the table.
func (c *Claimer) Usage() Usage {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Usage()
}

func (c *Claimer) majority() int {
	return (len(c.peers)+1)/2 + 1
}

// Lookup returns the claim with an id in the table of this instance.
func (c *Claimer) Lookup(id ID) (Claim, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Get(id)
}

// Acquire claims a key for an attempt on a majority of the group. If the key is
// already claimed, it returns the existing claim and false. replaces is the id
// of an earlier attempt that is known not to have run, or empty. Errors:
// ErrNoQuorum, ErrTableFull.
func (c *Claimer) Acquire(ctx context.Context, wanted Claim, replaces identifier.AttemptID) (Claim, bool, error) {
	wanted.Holder = c.self
	wanted.State = StateClaimed
	c.mu.Lock()
	if !c.ready {
		c.mu.Unlock()
		return Claim{}, false, ErrNoQuorum
	}
	local := c.table.Claim(wanted, replaces, time.Now())
	c.active[wanted.Attempt] = local.Granted
	persisted := c.persistGrant(local, wanted)
	c.mu.Unlock()
	if !local.Granted {
		c.MarkInactive(wanted.Attempt)
	}
	if local.TableFull {
		return Claim{}, false, ErrTableFull
	}
	if local.Existing != nil {
		return *local.Existing, false, nil
	}
	granted, existing := c.requestGrants(ctx, wanted, replaces)
	if err := <-persisted; err != nil {
		c.disable()
		c.Release(wanted.ID, wanted.Attempt)
		return Claim{}, false, fmt.Errorf("%w: %w", ErrNoQuorum, err)
	}
	if granted+1 >= c.majority() {
		return wanted, true, nil
	}
	c.Release(wanted.ID, wanted.Attempt)
	if existing != nil {
		return *existing, false, nil
	}
	return Claim{}, false, ErrNoQuorum
}

// disable makes the instance unready until it restarts, because it can't persist
// its grants any more.
func (c *Claimer) disable() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ready = false
}

// persistGrant queues a claim for the journal if it was granted. The returned
// channel yields the result of the write, or nil at once if there is none. The
// caller holds mu.
func (c *Claimer) persistGrant(result ClaimResult, wanted Claim) <-chan error {
	if !result.Granted {
		nothing := make(chan error, 1)
		nothing <- nil
		return nothing
	}
	return c.writer.enqueue(change{Set: &wanted})
}

// persistCurrent queues the present state of the claim with an id for the journal.
// The returned channel yields the result of the write. The caller holds mu.
func (c *Claimer) persistCurrent(id ID) <-chan error {
	claim, known := c.table.Get(id)
	if !known {
		return c.writer.enqueue(change{Removed: &id})
	}
	return c.writer.enqueue(change{Set: &claim})
}

// requestGrants requests a claim from all peers. It returns the number of grants
// and a conflicting claim, if any, as soon as the grants make a majority or all
// calls have ended.
func (c *Claimer) requestGrants(ctx context.Context, wanted Claim, replaces identifier.AttemptID) (int, *Claim) {
	responses := make(chan ClaimResult, len(c.peers))
	message := claimMessage{Claim: wanted, Replaces: replaces}
	for _, peer := range c.peers {
		go func() {
			var result ClaimResult
			c.call(ctx, peer, claimPath, message, &result)
			responses <- result
		}()
	}
	granted := 0
	var existing *Claim
	for range c.peers {
		if granted+1 >= c.majority() {
			break
		}
		result := <-responses
		if result.Granted {
			granted++
		}
		if result.Existing != nil && (existing == nil || result.Existing.State != StateClaimed) {
			existing = result.Existing
		}
	}
	return granted, existing
}

// call sends a message to a peer and reports whether it succeeded.
func (c *Claimer) call(ctx context.Context, peer Peer, path string, in, out any) bool {
	callCtx, cancel := context.WithTimeout(ctx, c.options.callTimeout)
	defer cancel()
	return c.messenger.Post(callCtx, peer.Address, path, in, out) == nil
}

// Finish records the outcome of a claimed request on the group. It returns once
// a majority has recorded it in memory or all calls have ended; it waits for no
// write to disk.
func (c *Claimer) Finish(claim Claim) {
	c.mu.Lock()
	c.table.Finish(claim, time.Now())
	delete(c.active, claim.Attempt)
	c.persistCurrent(claim.ID)
	c.mu.Unlock()
	acknowledged := make(chan bool, len(c.peers))
	for _, peer := range c.peers {
		go func() {
			acknowledged <- c.call(context.Background(), peer, finishPath, claim, nil)
		}()
	}
	count := 1
	for range c.peers {
		if count >= c.majority() {
			return
		}
		if <-acknowledged {
			count++
		}
	}
}

// Release releases a key on the whole group. The attempt must not have run and
// must never run.
func (c *Claimer) Release(id ID, attempt identifier.AttemptID) {
	c.mu.Lock()
	c.table.Release(id, attempt)
	delete(c.active, attempt)
	c.persistCurrent(id)
	c.mu.Unlock()
	var calls sync.WaitGroup
	for _, peer := range c.peers {
		calls.Go(func() {
			c.call(context.Background(), peer, releasePath, releaseMessage{ID: id, Attempt: attempt}, nil)
		})
	}
	calls.Wait()
}

// MarkInactive records that an attempt no longer runs on this instance.
func (c *Claimer) MarkInactive(attempt identifier.AttemptID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.active, attempt)
}

// Running reports whether the holder of a claim is running its attempt. It
// returns false also if the holder can't be reached, so the caller must bar
// the attempt at its upstream before it replaces it.
func (c *Claimer) Running(ctx context.Context, claim Claim) bool {
	if claim.Holder == c.self {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.active[claim.Attempt]
	}
	for _, peer := range c.peers {
		if peer.ID != claim.Holder {
			continue
		}
		var response activeResponse
		c.call(ctx, peer, activePath, activeMessage{Attempt: claim.Attempt}, &response)
		return response.Active
	}
	return false
}

// Confirm finds out from the group whether a key is claimed, and returns as soon as
// that is certain: with a claim if any instance has one, without a claim if a
// majority of recovered instances has none. That suffices because every granted
// claim is known to a majority. certain is false if too few instances responded.
func (c *Claimer) Confirm(ctx context.Context, id ID) (claim Claim, known, certain bool) {
	if claim, known = c.Lookup(id); known {
		return claim, true, true
	}
	responses := make(chan fetchResponse, len(c.peers))
	for _, peer := range c.peers {
		go func() {
			var response fetchResponse
			if !c.call(ctx, peer, fetchPath, fetchMessage{ID: id}, &response) {
				response = fetchResponse{}
			}
			responses <- response
		}()
	}
	withoutClaim := 0
	if c.Ready() {
		withoutClaim++
	}
	for range c.peers {
		if withoutClaim >= c.majority() {
			break
		}
		response := <-responses
		if response.Known {
			return response.Claim, true, true
		}
		if response.Ready {
			withoutClaim++
		}
	}
	return Claim{}, false, withoutClaim >= c.majority()
}

// Fetch queries the whole group for a claim and returns the most advanced one: an
// answered claim if any instance has one, else an ended one, else a running one.
func (c *Claimer) Fetch(ctx context.Context, id ID) (Claim, bool) {
	best, known := c.Lookup(id)
	if known && best.State == StateAnswered {
		return best, true
	}
	for _, peer := range c.peers {
		var response fetchResponse
		if c.call(ctx, peer, fetchPath, fetchMessage{ID: id}, &response) && response.Known {
			if !known || response.Claim.State == StateAnswered || best.State == StateClaimed {
				best, known = response.Claim, true
			}
		}
	}
	return best, known
}
