package replicator

import (
	"context"
	"time"

	"cranberrystack.dev/cranberrystack/identifier"
)

// Formation says whether an instance holds a log yet, and which instances it
// counted as fresh when it formed its group.
type Formation struct {
	Fresh bool `json:"fresh"`
	// Nonce is drawn once for a folder, so that an instance that has lost its
	// disk is told apart from the one that was counted.
	Nonce string `json:"nonce"`
	// VoterNonces holds the nonces of the group's first voters.
	VoterNonces map[identifier.InstanceID]string `json:"counted,omitempty"`
	// Self names the instance that answers; set where groups form from seeds.
	Self Peer `json:"self,omitempty"`
	// Bootstrap says that the instance starts with the whole system.
	Bootstrap bool `json:"bootstrap,omitempty"`
	// InitialVoters are the first voters of the group, if it has formed from seeds.
	InitialVoters []Peer `json:"first,omitempty"`
}

type formationStep int

const (
	stepWait formationStep = iota
	stepBootstrap
	stepJoin
	stepLostDisk
)

// form settles whether this instance starts a new group, returns to one, or
// waits to be added. A new group is formed only when every first voter says
// that it holds no log. A first voter that finds the group formed without it
// has lost its disk: it may have voted and acknowledged entries before, so it
// takes no part under its old name and has to be replaced by a new instance.
func (n *Node) form(initial []Peer) (PersistentState, bool) {
	ticker := time.NewTicker(formationInterval)
	defer ticker.Stop()
	if n.options.seeds != nil {
		return n.formFromSeeds(ticker.C)
	}
	for {
		step, nonces := n.queryInitialVoters(initial)
		switch step {
		case stepBootstrap:
			return n.initializeLog(Membership{Voters: initial}, nonces)
		case stepJoin:
			return n.initializeLog(Membership{}, nil)
		case stepLostDisk:
			n.setLostDisk()
		}
		if !n.waitUnformed(ticker.C) {
			return PersistentState{}, false
		}
	}
}

// queryInitialVoters asks all first voters and returns what to do and their nonces.
func (n *Node) queryInitialVoters(initial []Peer) (formationStep, map[identifier.InstanceID]string) {
	if len(initial) == 0 {
		return stepJoin, nil
	}
	local := n.Formation()
	nonces := map[identifier.InstanceID]string{n.id: local.Nonce}
	result := stepBootstrap
	for _, peer := range initial {
		if peer.ID == n.id {
			continue
		}
		remote, err := n.queryFormation(peer)
		if err != nil {
			result = stepWait
			continue
		}
		if !remote.Fresh && remote.VoterNonces[n.id] == local.Nonce {
			return stepBootstrap, remote.VoterNonces
		}
		if !remote.Fresh {
			return stepLostDisk, nil
		}
		nonces[peer.ID] = remote.Nonce
	}
	return result, nonces
}

func (n *Node) queryFormation(peer Peer) (Formation, error) {
	ctx, cancel := context.WithTimeout(context.Background(), formationInterval)
	defer cancel()
	return n.transport.Formation(ctx, peer)
}

// waitUnformed answers questions until the next survey. It returns false when
// the node is stopped.
func (n *Node) waitUnformed(next <-chan time.Time) bool {
	for {
		select {
		case <-n.stop:
			return false
		case <-next:
			return true
		case in := <-n.messages:
			in.reply(nil)
		case p := <-n.proposals:
			p.result <- callResult{err: &NotLeaderError{}}
		case read := <-n.reads:
			read <- callResult{err: &NotLeaderError{}}
		case call := <-n.calls:
			call()
		}
	}
}

func (n *Node) initializeLog(membership Membership, nonces map[identifier.InstanceID]string) (PersistentState, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.store.formation.Fresh = false
	n.store.formation.VoterNonces = nonces
	restored := PersistentState{Snapshot: Snapshot{Membership: membership}}
	if err := n.store.compact(restored); err != nil {
		n.failure = err
		return PersistentState{}, false
	}
	return restored, true
}

func (n *Node) setLostDisk() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lostDisk = true
}

// LostDisk reports whether the instance has found that it has lost its disk.
func (n *Node) LostDisk() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.lostDisk
}

// Formation returns what peers have to know to form a group.
func (n *Node) Formation() Formation {
	n.mu.Lock()
	defer n.mu.Unlock()
	formation := n.store.formation
	if seeds := n.options.seeds; seeds != nil {
		formation.Self = Peer{ID: n.id, Address: seeds.Address}
		formation.Bootstrap = seeds.Bootstrap
	}
	return formation
}
