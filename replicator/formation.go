package replicator

import (
	"context"
	"time"

	"cranberrystack.dev/cranberrystack/identifier"
)

// Formation is what an instance reports to its peers while a group forms.
type Formation struct {
	// Fresh reports that the instance has no log yet.
	Fresh bool `json:"fresh"`
	// Nonce is generated once per data directory. It distinguishes an instance
	// that has lost its disk from the same instance before the loss.
	Nonce string `json:"nonce"`
	// VoterNonces holds the nonces that the initial voters had when the group
	// formed, by instance.
	VoterNonces map[identifier.InstanceID]string `json:"counted,omitempty"`
	// Self is the responding instance; set only if groups form from seeds.
	Self Peer `json:"self,omitempty"`
	// Bootstrap reports that the instance may form a new group; see
	// Seeds.Bootstrap.
	Bootstrap bool `json:"bootstrap,omitempty"`
	// InitialVoters are the initial voters of a group that formed from seeds.
	InitialVoters []Peer `json:"first,omitempty"`
	// Blank reports that the instance waits to be added to a group and has not heard of
	// one.
	Blank bool `json:"blank,omitempty"`
}

// formationStep is the next step of an instance without a log.
type formationStep int

const (
	stepWait formationStep = iota
	stepBootstrap
	stepJoin
	stepLostDisk
)

// form decides whether this instance forms a new group, belongs to one that has
// formed, or waits to be added. A new group is formed only when every initial
// voter reports that it has no log. An initial voter whose nonce is not among
// those of the formed group has lost its disk: it may have voted and
// acknowledged entries before, so it must not take part under its old id and has
// to be replaced by a new instance. form returns false if the node was stopped or
// failed.
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
		if !n.refuseCallsUntil(ticker.C) {
			return PersistentState{}, false
		}
	}
}

// queryInitialVoters requests the formation state of all initial voters. It
// returns the next step and, for stepBootstrap, the nonces of the initial voters.
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

// refuseCallsUntil refuses proposals and reads until next fires. It returns false
// if the node is stopped before.
func (n *Node) refuseCallsUntil(next <-chan time.Time) bool {
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

// initializeLog persists an empty log with the given membership. It returns false
// and sets n.failure if the write fails.
func (n *Node) initializeLog(membership Membership, nonces map[identifier.InstanceID]string) (PersistentState, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blank.Store(len(membership.Voters) == 0)
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

// LostDisk reports whether this instance is an initial voter that has lost its
// disk.
func (n *Node) LostDisk() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.lostDisk
}

// Formation returns the formation state that peers request.
func (n *Node) Formation() Formation {
	n.mu.Lock()
	defer n.mu.Unlock()
	formation := n.store.formation
	if seeds := n.options.seeds; seeds != nil {
		formation.Self = Peer{ID: n.id, Address: seeds.Address}
		formation.Bootstrap = seeds.Bootstrap
		formation.Blank = n.blank.Load()
	}
	return formation
}
