package coordinator

import (
	"context"
	"slices"
	"time"

	"cranberrystack.dev/cranberrystack/forwarder"
	"cranberrystack.dev/cranberrystack/replicator"
)

const membershipChangeTimeout = 2 * time.Second

// HandleAnnouncement records that an instance requests to join the log, and returns
// this instance's status.
func (c *Coordinator) HandleAnnouncement(peer replicator.Peer) forwarder.Status {
	c.recordAnnouncement(peer, time.Now())
	return c.Status()
}

func (c *Coordinator) recordAnnouncement(peer replicator.Peer, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range c.announcements {
		if c.announcements[i].Peer.ID == peer.ID {
			c.announcements[i] = replicator.Announcement{Peer: peer, At: now}
			return
		}
	}
	c.announcements = append(c.announcements, replicator.Announcement{Peer: peer, At: now})
	const maxAnnouncements = 32
	if len(c.announcements) > maxAnnouncements {
		c.announcements = c.announcements[1:]
	}
}

// announce requests the known instances to add this one to the log while it knows no
// leader or is not a member. The caller holds mu.
func (c *Coordinator) announce(now time.Time) {
	if now.Sub(c.announcedAt) < announceInterval || c.config.Announce == nil {
		return
	}
	c.announcedAt = now
	view := c.node.Leadership()
	self := c.node.Self()
	if view.Leader.ID != "" && isMember(view.Membership, self) {
		return
	}
	for _, address := range c.knownAddresses(view) {
		c.done.Add(1)
		go func() {
			defer c.done.Done()
			c.announceTo(address, self)
		}()
	}
}

// announceTo announces this instance to another one, and then to the leader that
// the other one names, which this instance may not know.
func (c *Coordinator) announceTo(address string, self replicator.Peer) {
	ctx, cancel := context.WithTimeout(c.running, announceInterval)
	defer cancel()
	status, err := c.config.Announce(ctx, address, self)
	if err == nil && len(status.Members) > 0 {
		c.namedMembers.Store(&status.Members)
	}
	if err != nil || status.Leader == "" || status.Leader == address || status.Leader == self.Address {
		return
	}
	_, _ = c.config.Announce(ctx, status.Leader, self)
}

// Peers returns the addresses of the members of the log. An instance that does not know
// them yet takes those that another one has named, one of which sends it the log.
func (c *Coordinator) Peers() []string {
	peers := c.Status().Members
	if named := c.namedMembers.Load(); named != nil && len(peers) == 0 {
		return slices.Clone(*named)
	}
	return peers
}

func isMember(membership replicator.Membership, peer replicator.Peer) bool {
	return slices.Contains(membership.Members(), peer)
}

// knownAddresses returns the addresses of the seeds and members, without this
// instance's own.
func (c *Coordinator) knownAddresses(view replicator.Leadership) []string {
	addresses := append([]string(nil), c.config.Seeds...)
	for _, member := range view.Membership.Members() {
		addresses = append(addresses, member.Address)
	}
	var others []string
	seen := map[string]bool{c.config.Address: true}
	for _, address := range addresses {
		if !seen[address] {
			seen[address] = true
			others = append(others, address)
		}
	}
	return others
}

// SetSeeds replaces the addresses of the initial voters, to which this instance
// announces itself.
func (c *Coordinator) SetSeeds(seeds []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.config.Seeds = seeds
}

// reconcileMembership starts the next membership change that is due, one at a
// time. The caller holds mu.
func (c *Coordinator) reconcileMembership(now time.Time) {
	if c.changingMembership {
		return
	}
	view := c.node.Leadership()
	change, due := replicator.NextChange(view, c.node.Self().ID, c.announcements, c.config.Voters, now)
	if !due {
		return
	}
	c.changingMembership = true
	c.event("membership-change-started", "kind", change.Kind, "peer", change.Peer.ID, "address", change.Peer.Address,
		"voters", len(view.Membership.Voters), "learners", len(view.Membership.Learners), "term", view.Term)
	c.done.Add(1)
	go func() {
		defer c.done.Done()
		ctx, cancel := context.WithTimeout(c.running, membershipChangeTimeout)
		defer cancel()
		err := c.node.Change(ctx, change)
		c.event("membership-changed", "kind", change.Kind, "peer", change.Peer.ID, "error", err)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.changingMembership = false
	}()
}
