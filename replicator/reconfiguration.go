package replicator

import (
	"time"

	"cranberrystack.dev/cranberrystack/identifier"
)

const (
	// replaceAfter is how long a voter has to be silent before another takes
	// its place.
	replaceAfter = 2 * time.Second
	// removeAfter is how long a learner has to be silent to be forgotten.
	removeAfter = 15 * time.Second
	// announcedWithin is how old an announcement may be.
	announcedWithin = 2 * time.Second
	maxMembers      = 7
)

// Announcement is an instance that asks to hold the log.
type Announcement struct {
	Peer Peer
	At   time.Time
}

// NextChange returns the next change of the membership that a leader should
// make, if any. Changes are made one at a time: an instance on an empty disk
// begins as a learner; a learner that has caught up becomes a voter while
// there are fewer than wanted, or in place of a voter that is silent or whose
// disk is lost; and only then is that one removed.
func NextChange(view Leadership, own identifier.InstanceID, announced []Announcement, voters int, now time.Time) (Change, bool) {
	members := view.Membership.Members()
	fresh := recent(announced, now)
	for _, peer := range fresh {
		if find(members, peer.ID).ID == "" && len(members) < maxMembers {
			return Change{Kind: ChangeAddLearner, Peer: peer}, true
		}
	}
	lost := lostVoter(view, own, fresh)
	spare := caughtUp(view)
	switch {
	case spare.ID != "" && len(view.Membership.Voters) < voters:
		return Change{Kind: ChangePromote, Peer: spare}, true
	case lost.ID != "" && len(view.Membership.Voters) > voters:
		return Change{Kind: ChangeRemove, Peer: lost}, true
	case lost.ID != "" && spare.ID != "":
		return Change{Kind: ChangePromote, Peer: spare}, true
	}
	for _, peer := range view.Membership.Learners {
		silent := silence(view, peer.ID)
		if superseded(peer, fresh) || silent > removeAfter {
			return Change{Kind: ChangeRemove, Peer: peer}, true
		}
	}
	return Change{}, false
}

func recent(announced []Announcement, now time.Time) []Peer {
	var peers []Peer
	for _, a := range announced {
		if now.Sub(a.At) <= announcedWithin {
			peers = append(peers, a.Peer)
		}
	}
	return peers
}

// superseded reports whether another disk has been announced at the address.
func superseded(peer Peer, fresh []Peer) bool {
	for _, other := range fresh {
		if other.Address == peer.Address && other.ID != peer.ID {
			return true
		}
	}
	return false
}

func silence(view Leadership, id identifier.InstanceID) time.Duration {
	for _, s := range view.Peers {
		if s.Peer.ID == id {
			return s.SinceContact
		}
	}
	return 0
}

func lostVoter(view Leadership, own identifier.InstanceID, fresh []Peer) Peer {
	for _, peer := range view.Membership.Voters {
		if peer.ID != own && (superseded(peer, fresh) || atSameAddress(peer, view.Membership)) {
			return peer
		}
	}
	for _, peer := range view.Membership.Voters {
		if peer.ID != own && silence(view, peer.ID) > replaceAfter {
			return peer
		}
	}
	return Peer{}
}

// atSameAddress reports whether a learner has taken a voter's address.
func atSameAddress(voter Peer, membership Membership) bool {
	for _, learner := range membership.Learners {
		if learner.Address == voter.Address {
			return true
		}
	}
	return false
}

// caughtUp returns a learner that answers and holds all that is committed.
func caughtUp(view Leadership) Peer {
	for _, s := range view.Peers {
		isLearner := find(view.Membership.Learners, s.Peer.ID).ID != ""
		if isLearner && s.SinceContact < replaceAfter/4 && s.Match >= view.Commit {
			return s.Peer
		}
	}
	return Peer{}
}
