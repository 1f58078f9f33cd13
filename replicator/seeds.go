package replicator

import (
	"slices"
	"time"

	"cranberrystack.dev/cranberrystack/identifier"
)

// diskIDNonceChars is the number of nonce characters in an instance's id.
const diskIDNonceChars = 12

// Seeds configures a node that finds its group through seed addresses. The
// node's id then includes the nonce of its disk, so that an instance that has
// lost its disk is a different instance at the same address.
type Seeds struct {
	// Address is this instance's own address.
	Address string
	// Addresses are the addresses of the initial voters, identical on all of
	// them.
	Addresses []string
	// Bootstrap allows forming a new group. It may be set only when the whole
	// system starts for the first time, with empty disks. A directory keeps the value
	// that it was created with until it has a log.
	Bootstrap bool
}

func diskID(id identifier.InstanceID, nonce string) identifier.InstanceID {
	return id + "." + identifier.InstanceID(nonce[:min(diskIDNonceChars, len(nonce))])
}

// formFromSeeds forms the group once no seed knows of one and most have empty disks
// and Bootstrap set, or once one of them reports that the group has formed with
// this disk. Any other instance waits to be added. formFromSeeds returns false if
// the node was stopped or failed.
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
		if !n.refuseCallsUntil(retry) {
			return PersistentState{}, false
		}
	}
}

// querySeeds returns the initial voters once all are known, and join if the group
// has formed without this disk. It returns neither while a seed is unreachable. A blank
// seed has lost its disk, or has never had Bootstrap set: it is no initial voter, and
// a group that the others don't know of can't have formed with it as long as such seeds
// are no majority.
func (n *Node) querySeeds() (initialVoters []Peer, join bool) {
	seeds := n.options.seeds
	complete := true
	blank := 0
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
		case remote.Blank:
			blank++
		case !remote.Fresh:
			return nil, true
		case !remote.Bootstrap || remote.Self.ID == "":
			complete = false
		default:
			initialVoters = append(initialVoters, remote.Self)
		}
	}
	if !complete || blank > len(seeds.Addresses)/2 {
		return nil, false
	}
	return initialVoters, false
}

func (n *Node) setInitialVoters(initialVoters []Peer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.store.formation.InitialVoters = initialVoters
}
