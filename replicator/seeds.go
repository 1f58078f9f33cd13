package replicator

import (
	"slices"
	"time"

	"cranberrystack.dev/cranberrystack/identifier"
)

// nonceChars is how much of a folder's nonce is part of an instance's id.
const nonceChars = 12

// Seeds tell a node how to find its group. The node's id then names its disk:
// an instance that has lost its disk is another instance, whatever its
// address.
type Seeds struct {
	// Address is where this instance's peers reach it.
	Address string
	// Addresses are those of the first voters, the same on all of them.
	Addresses []string
	// Bootstrap allows a new group. It is set only when the whole system
	// starts for the first time, with empty disks.
	Bootstrap bool
}

func diskID(id identifier.InstanceID, nonce string) identifier.InstanceID {
	return id + "." + identifier.InstanceID(nonce[:min(nonceChars, len(nonce))])
}

// formFromSeeds forms the group once all seeds say that they start with the
// whole system on empty disks. Every other instance waits to be added.
func (n *Node) formFromSeeds(next <-chan time.Time) (PersistentState, bool) {
	seeds := n.options.seeds
	if !seeds.Bootstrap || !slices.Contains(seeds.Addresses, seeds.Address) {
		return n.begin(Membership{}, nil)
	}
	for {
		first, joins := n.surveySeeds()
		if joins {
			return n.begin(Membership{}, nil)
		}
		if first != nil {
			n.setFirst(first)
			return n.begin(Membership{Voters: first}, nil)
		}
		if !n.waitForming(next) {
			return PersistentState{}, false
		}
	}
}

// surveySeeds returns the first voters once they are certain, or that the
// group formed without this disk.
func (n *Node) surveySeeds() (first []Peer, joins bool) {
	seeds := n.options.seeds
	complete := true
	for _, address := range seeds.Addresses {
		if address == seeds.Address {
			first = append(first, n.Self())
			continue
		}
		theirs, err := n.ask(Peer{Address: address})
		switch {
		case err != nil:
			complete = false
		case !theirs.Fresh && find(theirs.InitialVoters, n.id).ID == n.id:
			return theirs.InitialVoters, false
		case !theirs.Fresh:
			return nil, true
		case !theirs.Bootstrap || theirs.Self.ID == "":
			complete = false
		default:
			first = append(first, theirs.Self)
		}
	}
	if !complete {
		return nil, false
	}
	return first, false
}

func (n *Node) setFirst(first []Peer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.store.formation.InitialVoters = first
}
