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
	wiped := peer("b.2", "b")
	heard := func(p Peer) PeerStatus { return PeerStatus{Peer: p, SinceContact: 100 * time.Millisecond, Match: 9} }
	lost := func(p Peer, span time.Duration) PeerStatus { return PeerStatus{Peer: p, SinceContact: span, Match: 5} }
	tests := []struct {
		name      string
		voters    []Peer
		learners  []Peer
		silent    []PeerStatus
		announced []Peer
		want      Change
	}{
		{"nothing to do", []Peer{a, b, c}, []Peer{d}, []PeerStatus{heard(b), heard(c), heard(d)}, nil, Change{}},
		{"a new instance is taken in", []Peer{a, b, c}, nil, []PeerStatus{heard(b), heard(c)}, []Peer{d}, Change{Kind: ChangeAddLearner, Peer: d}},
		{"a disk was lost, the new one learns first", []Peer{a, b, c}, []Peer{d}, []PeerStatus{lost(b, time.Second), heard(c), heard(d)}, []Peer{wiped}, Change{Kind: ChangeAddLearner, Peer: wiped}},
		{"then the spare takes its place", []Peer{a, b, c}, []Peer{d, wiped}, []PeerStatus{lost(b, time.Second), heard(c), heard(d), heard(wiped)}, []Peer{wiped}, Change{Kind: ChangePromote, Peer: d}},
		{"then the lost one goes", []Peer{a, b, c, d}, []Peer{wiped}, []PeerStatus{lost(b, time.Second), heard(c), heard(d), heard(wiped)}, nil, Change{Kind: ChangeRemove, Peer: b}},
		{"a voter silent for long is replaced", []Peer{a, b, c}, []Peer{d}, []PeerStatus{lost(b, 3*time.Second), heard(c), heard(d)}, nil, Change{Kind: ChangePromote, Peer: d}},
		{"a voter silent for a moment is kept", []Peer{a, b, c}, []Peer{d}, []PeerStatus{lost(b, time.Second), heard(c), heard(d)}, nil, Change{}},
		{"a learner behind is not promoted", []Peer{a, b, c}, []Peer{d}, []PeerStatus{lost(b, 3*time.Second), heard(c), lost(d, 100*time.Millisecond)}, nil, Change{}},
		{"without a spare the voter is kept", []Peer{a, b, c}, nil, []PeerStatus{lost(b, 9*time.Second), heard(c)}, nil, Change{}},
		{"a learner gone for good is forgotten", []Peer{a, b, c}, []Peer{d}, []PeerStatus{heard(b), heard(c), lost(d, 20*time.Second)}, nil, Change{Kind: ChangeRemove, Peer: d}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			view := Leadership{Membership: Membership{Voters: test.voters, Learners: test.learners}, Peers: test.silent, Commit: 9}
			var announced []Announcement
			for _, p := range test.announced {
				announced = append(announced, Announcement{Peer: p, At: now})
			}
			change, _ := NextChange(view, a.ID, announced, 3, now)
			if change != test.want {
				t.Errorf("%+v, want %+v", change, test.want)
			}
		})
	}
}

// TestNoTwoRule plays seeded schedules of three cores whose messages are
// delayed, lost and late and which stand still for a time. By the true time no
// two of them ever hold a lease at once.
func TestNoTwoRule(t *testing.T) {
	const seeds = 60
	for seed := range uint64(seeds) {
		play(t, seed)
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
}

type delivery struct {
	at      time.Time
	message Message
}

func play(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 7))
	start := time.Unix(1000, 0)
	now := start
	members := Membership{Voters: []Peer{peer("a", "a"), peer("b", "b"), peer("c", "c")}}
	cores := map[identifier.InstanceID]*Core{}
	frozen := map[identifier.InstanceID]time.Time{}
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
				frozen[p.ID] = now.Add(time.Duration(random.IntN(3000)) * time.Millisecond)
			}
			if now.After(frozen[p.ID]) {
				send(cores[p.ID].Tick(now))
			}
		}
		pending := queue
		queue = nil
		for _, d := range pending {
			if d.at.After(now) || !now.After(frozen[d.message.To]) {
				queue = append(queue, d)
				continue
			}
			send(cores[d.message.To].Step(d.message, now))
		}
		var ruling []identifier.InstanceID
		for id, core := range cores {
			if core.role == RoleLeader && core.committedOwnTerm() && now.Sub(start) < core.lease() {
				ruling = append(ruling, id)
			}
		}
		if len(ruling) > 1 {
			t.Errorf("%v rule at once after %v", ruling, now.Sub(start))
			return
		}
	}
}
