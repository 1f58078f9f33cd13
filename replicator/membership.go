package replicator

import (
	"encoding/json"
	"fmt"
	"time"

	"cranberrystack.dev/cranberrystack/identifier"
)

// ChangeKind is the kind of a membership change.
type ChangeKind string

// The kinds of change.
const (
	// ChangeAddLearner adds an instance that receives the log but does not vote.
	ChangeAddLearner ChangeKind = "add-learner"
	// ChangePromote makes a learner that has caught up a voter.
	ChangePromote ChangeKind = "promote"
	// ChangeRemove removes a voter or learner.
	ChangeRemove ChangeKind = "remove"
)

// Change is a membership change of one instance.
type Change struct {
	Kind ChangeKind `json:"kind"`
	Peer Peer       `json:"peer"`
}

// ProposeChange appends an entry with the changed membership. Only one change may
// be uncommitted at a time, and a learner is promoted only once it has every
// committed entry. Errors: ErrNotLeader, ErrChangePending, ErrLeaderNotReady,
// ErrNotCaughtUp, ErrInvalidChange.
func (c *Core) ProposeChange(change Change, now time.Time) (Entry, Output, error) {
	c.advanceElapsed(now)
	if c.role != RoleLeader {
		return Entry{}, c.takeOutput(), ErrNotLeader
	}
	if c.membershipIndex > c.commit {
		return Entry{}, c.takeOutput(), ErrChangePending
	}
	if !c.committedInTerm() {
		return Entry{}, c.takeOutput(), ErrLeaderNotReady
	}
	next, err := c.membershipAfter(change)
	if err != nil {
		return Entry{}, c.takeOutput(), err
	}
	data, err := json.Marshal(next)
	if err != nil {
		return Entry{}, c.takeOutput(), fmt.Errorf("encode membership: %w", err)
	}
	entry := c.appendAsLeader(EntryMembership, data)
	return entry, c.takeOutput(), nil
}

// membershipAfter returns the current membership with the change applied.
func (c *Core) membershipAfter(change Change) (Membership, error) {
	id := change.Peer.ID
	voters, wasVoter := removePeer(c.membership.Voters, id)
	learners, wasLearner := removePeer(c.membership.Learners, id)
	switch change.Kind {
	case ChangeAddLearner:
		if wasVoter || wasLearner {
			return Membership{}, fmt.Errorf("%s is a member already: %w", id, ErrInvalidChange)
		}
		learners = append(learners, change.Peer)
	case ChangePromote:
		if !wasLearner {
			return Membership{}, fmt.Errorf("%s is no learner: %w", id, ErrInvalidChange)
		}
		if c.progress[id].match < c.commit {
			return Membership{}, fmt.Errorf("%s holds %d of %d entries: %w", id, c.progress[id].match, c.commit, ErrNotCaughtUp)
		}
		voters = append(voters, findPeer(c.membership.Learners, id))
	case ChangeRemove:
		if !wasVoter && !wasLearner {
			return Membership{}, fmt.Errorf("%s is no member: %w", id, ErrInvalidChange)
		}
		if len(voters) == 0 {
			return Membership{}, fmt.Errorf("%s is the last voter: %w", id, ErrInvalidChange)
		}
	default:
		return Membership{}, fmt.Errorf("unknown kind %q: %w", change.Kind, ErrInvalidChange)
	}
	return Membership{Voters: voters, Learners: learners}, nil
}

func removePeer(peers []Peer, id identifier.InstanceID) ([]Peer, bool) {
	rest := make([]Peer, 0, len(peers)+1)
	for _, peer := range peers {
		if peer.ID != id {
			rest = append(rest, peer)
		}
	}
	return rest, len(rest) < len(peers)
}

func findPeer(peers []Peer, id identifier.InstanceID) Peer {
	for _, peer := range peers {
		if peer.ID == id {
			return peer
		}
	}
	return Peer{}
}

// updateMembership sets the membership from the last membership entry in the log.
// A membership takes effect when it is appended, not when it is committed.
func (c *Core) updateMembership() {
	c.membership, c.membershipIndex = c.latestMembership(c.log.lastIndex())
	if c.role == RoleLeader {
		c.refreshProgress()
	}
}

func (c *Core) membershipAt(index uint64) Membership {
	membership, _ := c.latestMembership(index)
	return membership
}

func (c *Core) latestMembership(limit uint64) (Membership, uint64) {
	for i := len(c.log.entries) - 1; i >= 0; i-- {
		entry := c.log.entries[i]
		if entry.Kind != EntryMembership || entry.Index > limit {
			continue
		}
		var membership Membership
		if err := json.Unmarshal(entry.Data, &membership); err != nil {
			continue
		}
		return membership, entry.Index
	}
	return c.log.snapshot.Membership, c.log.snapshot.Index
}

// stepDownIfRemoved makes a leader a follower once a membership in which it is no
// voter is committed.
func (c *Core) stepDownIfRemoved() {
	if c.commit < c.membershipIndex || c.isVoter(c.config.ID) {
		return
	}
	c.becomeFollower(c.hardState.Term, "")
}
