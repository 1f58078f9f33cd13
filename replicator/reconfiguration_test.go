package replicator

import (
	"math/rand/v2"
	"testing"
	"time"

	"cranberrystack.dev/cranberrystack/identifier"
)

func peer(id, address string) Peer { return Peer{ID: identifier.InstanceID(id), Address: address} }

func TestNextChange(t *testing.T) {
	now := time.Unix(1000, 0)
	a, b, c, d := peer("a.1", "a"), peer("b.1", "b"), peer("c.1", "c"), peer("d.1", "d")
	replacement := peer("b.2", "b")
	inContact := func(p Peer) PeerStatus { return PeerStatus{Peer: p, SinceContact: 100 * time.Millisecond, Match: 9} }
	lagging := func(p Peer, idle time.Duration) PeerStatus { return PeerStatus{Peer: p, SinceContact: idle, Match: 5} }
	tests := []struct {
		name      string
		voters    []Peer
		learners  []Peer
		peers     []PeerStatus
		announced []Peer
		want      Change
	}{
		{"no change needed", []Peer{a, b, c}, []Peer{d}, []PeerStatus{inContact(b), inContact(c), inContact(d)}, nil, Change{}},
		{"an announced instance becomes a learner", []Peer{a, b, c}, nil, []PeerStatus{inContact(b), inContact(c)}, []Peer{d}, Change{Kind: ChangeAddLearner, Peer: d}},
		{"after a disk loss the new instance first becomes a learner", []Peer{a, b, c}, []Peer{d}, []PeerStatus{lagging(b, time.Second), inContact(c), inContact(d)}, []Peer{replacement}, Change{Kind: ChangeAddLearner, Peer: replacement}},
		{"a caught-up learner is promoted before the lost voter is removed", []Peer{a, b, c}, []Peer{d, replacement}, []PeerStatus{lagging(b, time.Second), inContact(c), inContact(d), inContact(replacement)}, []Peer{replacement}, Change{Kind: ChangePromote, Peer: d}},
		{"the lost voter is removed after the promotion", []Peer{a, b, c, d}, []Peer{replacement}, []PeerStatus{lagging(b, time.Second), inContact(c), inContact(d), inContact(replacement)}, nil, Change{Kind: ChangeRemove, Peer: b}},
		{"a voter unresponsive beyond the timeout is replaced", []Peer{a, b, c}, []Peer{d}, []PeerStatus{lagging(b, 3*time.Second), inContact(c), inContact(d)}, nil, Change{Kind: ChangePromote, Peer: d}},
		{"a voter unresponsive below the timeout stays", []Peer{a, b, c}, []Peer{d}, []PeerStatus{lagging(b, time.Second), inContact(c), inContact(d)}, nil, Change{}},
		{"a learner that lags is not promoted", []Peer{a, b, c}, []Peer{d}, []PeerStatus{lagging(b, 3*time.Second), inContact(c), lagging(d, 100*time.Millisecond)}, nil, Change{}},
		{"an unresponsive voter stays while no learner can replace it", []Peer{a, b, c}, nil, []PeerStatus{lagging(b, 9*time.Second), inContact(c)}, nil, Change{}},
		{"a learner unresponsive beyond the timeout is removed", []Peer{a, b, c}, []Peer{d}, []PeerStatus{inContact(b), inContact(c), lagging(d, 20*time.Second)}, nil, Change{Kind: ChangeRemove, Peer: d}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			view := Leadership{Membership: Membership{Voters: test.voters, Learners: test.learners}, Peers: test.peers, Commit: 9}
			var announced []Announcement
			for _, p := range test.announced {
				announced = append(announced, Announcement{Peer: p, At: now})
			}
			change, _ := NextChange(view, a.ID, announced, 3, now)
			if change != test.want {
				t.Errorf("next change is %+v, want %+v", change, test.want)
			}
		})
	}
}

// TestAtMostOneLeaderLease guards against two instances that hold the leader lease
// at the same time, measured on one common clock. It runs three cores over 60 seeds
// with delayed and lost messages and with cores suspended for up to 3 s.
func TestAtMostOneLeaderLease(t *testing.T) {
	const seeds = 60
	for seed := range uint64(seeds) {
		runLeaseSimulation(t, seed)
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
}

type delivery struct {
	at      time.Time
	message Message
}

func runLeaseSimulation(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 7))
	start := time.Unix(1000, 0)
	now := start
	members := Membership{Voters: []Peer{peer("a", "a"), peer("b", "b"), peer("c", "c")}}
	cores := map[identifier.InstanceID]*Core{}
	suspendedUntil := map[identifier.InstanceID]time.Time{}
	for i, p := range members.Voters {
		cores[p.ID] = NewCore(Config{
			ID: p.ID, HeartbeatInterval: 120 * time.Millisecond, ElectionTimeout: 700 * time.Millisecond,
			MaxBatchBytes: 1 << 16, Random: rand.New(rand.NewPCG(seed, uint64(i))),
			Clock: func() time.Duration { return now.Sub(start) },
		}, PersistentState{Snapshot: Snapshot{Membership: members}}, now)
	}
	var queue []delivery
	send := func(out Output) {
		for _, message := range out.Messages {
			if random.IntN(20) == 0 {
				continue
			}
			queue = append(queue, delivery{at: now.Add(time.Duration(1+random.IntN(40)) * time.Millisecond), message: message})
		}
	}
	for range 2000 {
		now = now.Add(10 * time.Millisecond)
		for _, p := range members.Voters {
			if random.IntN(400) == 0 {
				suspendedUntil[p.ID] = now.Add(time.Duration(random.IntN(3000)) * time.Millisecond)
			}
			if now.After(suspendedUntil[p.ID]) {
				send(cores[p.ID].Tick(now))
			}
		}
		pending := queue
		queue = nil
		for _, d := range pending {
			if d.at.After(now) || !now.After(suspendedUntil[d.message.To]) {
				queue = append(queue, d)
				continue
			}
			send(cores[d.message.To].Step(d.message, now))
		}
		var leaseHolders []identifier.InstanceID
		for id, core := range cores {
			if core.role == RoleLeader && core.committedInTerm() && now.Sub(start) < core.lease() {
				leaseHolders = append(leaseHolders, id)
			}
		}
		if len(leaseHolders) > 1 {
			t.Errorf("%v hold the leader lease at the same time after %v", leaseHolders, now.Sub(start))
			return
		}
	}
}
