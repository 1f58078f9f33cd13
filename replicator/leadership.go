package replicator

import (
	"sort"
	"time"
)

const (
	// maxTrackedRounds is the number of append rounds whose send times are known.
	// Responses to older rounds extend no lease.
	maxTrackedRounds = 64
	// leaseNumerator and leaseDenominator give the part of the election timeout
	// for which the responses of a majority extend the leader's lease. The rest
	// allows for clocks that run at different speeds.
	leaseNumerator   = 3
	leaseDenominator = 4
)

// Leadership is a consistent view of the leader and the membership.
type Leadership struct {
	// Leader is the known leader; its id is empty if there is none.
	Leader Peer
	// IsLeader reports that this instance is the leader, has applied an entry of its
	// own term, and so all that earlier leaders committed, and is not transferring
	// leadership. It may be false while Status.Role is RoleLeader.
	IsLeader bool
	// Term is the highest term known.
	Term uint64
	// LeaseUntil is the time on the node's clock until which no other instance can
	// become leader. It is set only on the leader.
	LeaseUntil time.Duration
	Membership Membership
	// Commit is the highest index known to be committed.
	Commit uint64
	// Peers holds the status of each other member. It is set only on the leader.
	Peers []PeerStatus
}

// PeerStatus is the leader's view of a peer.
type PeerStatus struct {
	Peer Peer
	// SinceContact is the time since the peer's last response, or since the leader
	// began to track the peer.
	SinceContact time.Duration
	// Match is the last index that the peer is known to have persisted.
	Match uint64
}

// Leadership returns the latest published view. It never blocks.
func (n *Node) Leadership() Leadership { return *n.leadership.Load() }

// HoldsLeaderLease reports whether this instance is the leader and no other
// instance can have become leader yet.
func (n *Node) HoldsLeaderLease() bool {
	view := n.leadership.Load()
	return view.IsLeader && n.options.clock() < view.LeaseUntil
}

// Self returns the node's id and, if the group forms from seeds, its address. The
// id then includes the nonce of the disk.
func (n *Node) Self() Peer {
	address := ""
	if n.options.seeds != nil {
		address = n.options.seeds.Address
	}
	return Peer{ID: n.id, Address: address}
}

func (n *Node) publishLeadership() {
	c := n.core
	view := &Leadership{
		Leader:     findPeer(c.peers(), c.leader),
		Term:       c.hardState.Term,
		Commit:     c.commit,
		Membership: c.membership,
	}
	if c.role == RoleLeader {
		view.IsLeader = n.appliedInTerm() && c.transferTarget == ""
		view.LeaseUntil = c.lease()
		view.Peers = c.peerStatuses()
	}
	n.leadership.Store(view)
}

// appliedInTerm reports whether this leader has applied an entry of its own term.
// Committed entries of earlier terms are then in the state, too.
func (n *Node) appliedInTerm() bool {
	return n.core.committedInTerm() && n.core.log.term(n.lastApplied) == n.core.hardState.Term
}

func (c *Core) nextRound() {
	c.round++
	if c.config.Clock != nil {
		c.roundSentAt[c.round%maxTrackedRounds] = c.config.Clock()
	}
}

// lease returns the Config.Clock time until which a majority of the voters grants
// no vote to another candidate, or 0 if the lease is unknown. A leader that
// transfers leadership has no lease. A single voter confirms itself, so its lease
// always ends one election timeout from now.
func (c *Core) lease() time.Duration {
	if c.config.Clock == nil || c.transferTarget != "" {
		return 0
	}
	var rounds []uint64
	for _, peer := range c.membership.Voters {
		switch p, known := c.progress[peer.ID]; {
		case peer.ID == c.config.ID:
			rounds = append(rounds, c.round)
		case known:
			rounds = append(rounds, p.round)
		}
	}
	sort.Slice(rounds, func(i, j int) bool { return rounds[i] > rounds[j] })
	majority := len(c.membership.Voters) / 2
	if majority >= len(rounds) || rounds[majority] == 0 || rounds[majority]+maxTrackedRounds <= c.round {
		return 0
	}
	if majority == 0 {
		return c.config.Clock() + c.config.ElectionTimeout
	}
	sent := c.roundSentAt[rounds[majority]%maxTrackedRounds]
	return sent + c.config.ElectionTimeout*leaseNumerator/leaseDenominator
}

func (c *Core) peerStatuses() []PeerStatus {
	var statuses []PeerStatus
	for _, peer := range c.peers() {
		if p, known := c.progress[peer.ID]; known && peer.ID != c.config.ID {
			statuses = append(statuses, PeerStatus{Peer: peer, SinceContact: c.elapsed - p.lastContact, Match: p.match})
		}
	}
	return statuses
}
