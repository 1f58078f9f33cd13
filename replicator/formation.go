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

type verdict int

const (
	verdictWait verdict = iota
	verdictNew
	verdictJoin
	verdictLost
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
		verdict, counted := n.survey(initial)
		switch verdict {
		case verdictNew:
			return n.begin(Membership{Voters: initial}, counted)
		case verdictJoin:
			return n.begin(Membership{}, nil)
		case verdictLost:
			n.setLost()
		}
		if !n.waitForming(ticker.C) {
			return PersistentState{}, false
		}
	}
}

// survey asks all first voters and returns what to do and their nonces.
func (n *Node) survey(initial []Peer) (verdict, map[identifier.InstanceID]string) {
	if len(initial) == 0 {
		return verdictJoin, nil
	}
	own := n.Formation()
	counted := map[identifier.InstanceID]string{n.id: own.Nonce}
	result := verdictNew
	for _, peer := range initial {
		if peer.ID == n.id {
			continue
		}
		theirs, err := n.ask(peer)
		if err != nil {
			result = verdictWait
			continue
		}
		if !theirs.Fresh && theirs.VoterNonces[n.id] == own.Nonce {
			return verdictNew, theirs.VoterNonces
		}
		if !theirs.Fresh {
			return verdictLost, nil
		}
		counted[peer.ID] = theirs.Nonce
	}
	return result, counted
}

func (n *Node) ask(peer Peer) (Formation, error) {
	ctx, cancel := context.WithTimeout(context.Background(), formationInterval)
	defer cancel()
	return n.transport.Formation(ctx, peer)
}

// waitForming answers questions until the next survey. It returns false when
// the node is stopped.
func (n *Node) waitForming(next <-chan time.Time) bool {
	for {
		select {
		case <-n.stop:
			return false
		case <-next:
			return true
		case in := <-n.messages:
			in.reply(nil)
		case p := <-n.proposals:
			p.result <- outcome{err: &NotLeaderError{}}
		case reader := <-n.reads:
			reader <- outcome{err: &NotLeaderError{}}
		case ask := <-n.inspect:
			ask()
		}
	}
}

func (n *Node) begin(membership Membership, counted map[identifier.InstanceID]string) (PersistentState, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.store.formation.Fresh = false
	n.store.formation.VoterNonces = counted
	restored := PersistentState{Snapshot: Snapshot{Membership: membership}}
	if err := n.store.compact(restored); err != nil {
		n.failure = err
		return PersistentState{}, false
	}
	return restored, true
}

func (n *Node) setLost() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lost = true
}

// LostDisk reports whether the instance has found that it has lost its disk.
func (n *Node) LostDisk() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.lost
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
