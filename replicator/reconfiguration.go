package replicator

import (
	"time"

	"cranberrystack.dev/cranberrystack/identifier"
)

const (
	// voterReplaceTimeout is how long a voter has to be silent before another takes
	// its place.
	voterReplaceTimeout = 2 * time.Second
	// learnerRemoveTimeout is how long a learner has to be silent to be forgotten.
	learnerRemoveTimeout = 15 * time.Second
	// announcementMaxAge is how old an announcement may be.
	announcementMaxAge = 2 * time.Second
	maxMembers         = 7
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
func NextChange(view Leadership, self identifier.InstanceID, announced []Announcement, wantedVoters int, now time.Time) (Change, bool) {
	members := view.Membership.Members()
	announcedPeers := recentPeers(announced, now)
	for _, peer := range announcedPeers {
		if findPeer(members, peer.ID).ID == "" && len(members) < maxMembers {
			return Change{Kind: ChangeAddLearner, Peer: peer}, true
		}
	}
	outgoing := voterToReplace(view, self, announcedPeers)
	promotable := promotableLearner(view)
	switch {
	case promotable.ID != "" && len(view.Membership.Voters) < wantedVoters:
		return Change{Kind: ChangePromote, Peer: promotable}, true
	case outgoing.ID != "" && len(view.Membership.Voters) > wantedVoters:
		return Change{Kind: ChangeRemove, Peer: outgoing}, true
	case outgoing.ID != "" && promotable.ID != "":
		return Change{Kind: ChangePromote, Peer: promotable}, true
	}
	for _, peer := range view.Membership.Learners {
		sinceContact := timeSinceContact(view, peer.ID)
		if addressReannounced(peer, announcedPeers) || sinceContact > learnerRemoveTimeout {
			return Change{Kind: ChangeRemove, Peer: peer}, true
		}
	}
	return Change{}, false
}

func recentPeers(announced []Announcement, now time.Time) []Peer {
	var peers []Peer
	for _, a := range announced {
		if now.Sub(a.At) <= announcementMaxAge {
			peers = append(peers, a.Peer)
		}
	}
	return peers
}

// addressReannounced reports whether another disk has been announced at the address.
func addressReannounced(peer Peer, announcedPeers []Peer) bool {
	for _, other := range announcedPeers {
		if other.Address == peer.Address && other.ID != peer.ID {
			return true
		}
	}
	return false
}

func timeSinceContact(view Leadership, id identifier.InstanceID) time.Duration {
	for _, s := range view.Peers {
		if s.Peer.ID == id {
			return s.SinceContact
		}
	}
	return 0
}

func voterToReplace(view Leadership, self identifier.InstanceID, announcedPeers []Peer) Peer {
	for _, peer := range view.Membership.Voters {
		if peer.ID != self && (addressReannounced(peer, announcedPeers) || learnerAtAddress(peer, view.Membership)) {
			return peer
		}
	}
	for _, peer := range view.Membership.Voters {
		if peer.ID != self && timeSinceContact(view, peer.ID) > voterReplaceTimeout {
			return peer
		}
	}
	return Peer{}
}

// learnerAtAddress reports whether a learner has taken a voter's address.
func learnerAtAddress(voter Peer, membership Membership) bool {
	for _, learner := range membership.Learners {
		if learner.Address == voter.Address {
			return true
		}
	}
	return false
}

// promotableLearner returns a learner that answers and holds all that is committed.
func promotableLearner(view Leadership) Peer {
	for _, s := range view.Peers {
		isLearner := findPeer(view.Membership.Learners, s.Peer.ID).ID != ""
		if isLearner && s.SinceContact < voterReplaceTimeout/4 && s.Match >= view.Commit {
			return s.Peer
		}
	}
	return Peer{}
}
