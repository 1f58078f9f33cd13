package replicator

import (
	"sort"
	"time"
)

const (
	maxTrackedRounds = 64
	// leaseNumerator and leaseDenominator give the part of the election timeout
	// for which a majority's answers let a leader rule; the rest covers clocks
	// that run at unequal speed.
	leaseNumerator   = 3
	leaseDenominator = 4
)

// Leadership is a consistent view of who leads.
type Leadership struct {
	// Leader is the known leader; its id is empty if there is none.
	Leader Peer
	// IsLeader says that this instance is the leader, has committed an entry of
	// its own term and is not handing over.
	IsLeader bool
	// Term is the highest known.
	Term uint64
	// Lease is the time of the node's clock until which no other instance can
	// have become leader.
	Lease      time.Duration
	Membership Membership
	// Commit is the last entry known to be committed.
	Commit uint64
	// Peers holds, on the leader, how long each peer has not answered.
	Peers []PeerStatus
}

// PeerStatus is how long a peer has not answered, and how far it is.
type PeerStatus struct {
	Peer         Peer
	SinceContact time.Duration
	Match        uint64
}

// Leadership returns what the node last knew. It never waits.
func (n *Node) Leadership() Leadership { return *n.leadership.Load() }

// HoldsLeaderLease reports whether this instance leads and no other can have become
// leader yet.
func (n *Node) HoldsLeaderLease() bool {
	view := n.leadership.Load()
	return view.IsLeader && n.options.clock() < view.Lease
}

// Self returns the node's id; where groups form from seeds it names the disk.
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
		view.IsLeader = c.committedInTerm() && c.transferTarget == ""
		view.Lease = c.lease()
		view.Peers = c.peerStatuses()
	}
	n.leadership.Store(view)
}

func (c *Core) nextRound() {
	c.round++
	if c.config.Clock != nil {
		c.roundSentAt[c.round%maxTrackedRounds] = c.config.Clock()
	}
}

// lease returns the time of Config.Clock until which this leader's voters
// grant no vote to another.
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
