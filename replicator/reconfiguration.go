package replicator

import (
	"time"

	"cranberrystack.dev/cranberrystack/identifier"
)

const (
	// voterReplaceTimeout is the time without contact after which a voter is
	// replaced.
	voterReplaceTimeout = 2 * time.Second
	// learnerRemoveTimeout is the time without contact after which a learner is
	// removed.
	learnerRemoveTimeout = 15 * time.Second
	// maxAnnouncementAge is the age up to which an announcement counts.
	maxAnnouncementAge = 2 * time.Second
	// maxMembers limits the number of voters and learners together.
	maxMembers = 7
)

// Announcement is a request of an instance to join the log.
type Announcement struct {
	Peer Peer
	// At is when the announcement was received.
	At time.Time
}

// NextChange returns the next membership change that the leader should propose,
// if any. Changes are made one at a time, and a replacement is promoted before the
// old voter is removed:
//
//   - An announced instance that is no member, such as one with an empty disk,
//     becomes a learner.
//   - A learner that has caught up becomes a voter while there are fewer than
//     wantedVoters, or to replace a voter that is unresponsive or has lost its disk.
//   - A replaced voter is removed once there are more than wantedVoters. Surplus
//     voters that are healthy stay.
//   - A learner that is unresponsive or has lost its disk is removed.
//
// Announcements older than 2 s are ignored, and there are at most 7 members. A
// voter counts as unresponsive 2 s after the last contact, a learner after 15 s.
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

// recentPeers returns the peers whose announcement is at most maxAnnouncementAge
// old.
func recentPeers(announced []Announcement, now time.Time) []Peer {
	var peers []Peer
	for _, a := range announced {
		if now.Sub(a.At) <= maxAnnouncementAge {
			peers = append(peers, a.Peer)
		}
	}
	return peers
}

// addressReannounced reports whether another instance has been announced at the
// peer's address, which means that the peer's disk is lost.
func addressReannounced(peer Peer, announcedPeers []Peer) bool {
	for _, other := range announcedPeers {
		if other.Address == peer.Address && other.ID != peer.ID {
			return true
		}
	}
	return false
}

// timeSinceContact returns 0 if the view has no status of the peer.
func timeSinceContact(view Leadership, id identifier.InstanceID) time.Duration {
	for _, s := range view.Peers {
		if s.Peer.ID == id {
			return s.SinceContact
		}
	}
	return 0
}

// voterToReplace returns a voter whose disk is lost, or else one that is
// unresponsive. It never returns the leader itself.
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

// learnerAtAddress reports whether a learner has the voter's address.
func learnerAtAddress(voter Peer, membership Membership) bool {
	for _, learner := range membership.Learners {
		if learner.Address == voter.Address {
			return true
		}
	}
	return false
}

// promotableLearner returns a learner that has every committed entry and whose
// last contact is less than a quarter of voterReplaceTimeout ago.
func promotableLearner(view Leadership) Peer {
	for _, s := range view.Peers {
		isLearner := findPeer(view.Membership.Learners, s.Peer.ID).ID != ""
		if isLearner && s.SinceContact < voterReplaceTimeout/4 && s.Match >= view.Commit {
			return s.Peer
		}
	}
	return Peer{}
}
