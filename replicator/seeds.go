package replicator

import (
	"slices"
	"time"

	"cranberrystack.dev/cranberrystack/identifier"
)

// diskIDNonceChars is how much of a folder's nonce is part of an instance's id.
const diskIDNonceChars = 12

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
	return id + "." + identifier.InstanceID(nonce[:min(diskIDNonceChars, len(nonce))])
}

// formFromSeeds forms the group once all seeds say that they start with the
// whole system on empty disks. Every other instance waits to be added.
func (n *Node) formFromSeeds(retry <-chan time.Time) (PersistentState, bool) {
	seeds := n.options.seeds
	if !seeds.Bootstrap || !slices.Contains(seeds.Addresses, seeds.Address) {
		return n.initializeLog(Membership{}, nil)
	}
	for {
		initialVoters, join := n.querySeeds()
		if join {
			return n.initializeLog(Membership{}, nil)
		}
		if initialVoters != nil {
			n.setInitialVoters(initialVoters)
			return n.initializeLog(Membership{Voters: initialVoters}, nil)
		}
		if !n.waitUnformed(retry) {
			return PersistentState{}, false
		}
	}
}

// querySeeds returns the first voters once they are certain, or that the
// group formed without this disk.
func (n *Node) querySeeds() (initialVoters []Peer, join bool) {
	seeds := n.options.seeds
	complete := true
	for _, address := range seeds.Addresses {
		if address == seeds.Address {
			initialVoters = append(initialVoters, n.Self())
			continue
		}
		remote, err := n.queryFormation(Peer{Address: address})
		switch {
		case err != nil:
			complete = false
		case !remote.Fresh && findPeer(remote.InitialVoters, n.id).ID == n.id:
			return remote.InitialVoters, false
		case !remote.Fresh:
			return nil, true
		case !remote.Bootstrap || remote.Self.ID == "":
			complete = false
		default:
			initialVoters = append(initialVoters, remote.Self)
		}
	}
	if !complete {
		return nil, false
	}
	return initialVoters, false
}

func (n *Node) setInitialVoters(initialVoters []Peer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.store.formation.InitialVoters = initialVoters
}
