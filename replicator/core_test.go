package replicator

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"cranberrystack.dev/cranberrystack/identifier"
)

const (
	testHeartbeat = 100 * time.Millisecond
	testElection  = 400 * time.Millisecond
	testStep      = 20 * time.Millisecond
)

type delayedMessage struct {
	message Message
	arrives time.Time
}

type simNode struct {
	core *Core
	// disk is what survives a crash.
	disk          entryLog
	hardState     HardState
	up            bool
	applied       []Entry
	snapshotIndex uint64
}

// simulation drives cores through a seeded order of drops, delays, duplicates,
// cuts and crashes, and checks the invariants after every step.
type simulation struct {
	t           *testing.T
	random      *rand.Rand
	now         time.Time
	ids         []identifier.InstanceID
	nodes       map[identifier.InstanceID]*simNode
	inFlight    []delayedMessage
	partitioned map[identifier.InstanceID]bool
	leaders     map[uint64]identifier.InstanceID
	// committed is the first value seen for every committed index.
	committed map[uint64]string
	proposed  int
	changes   int
	faultFree bool
}

func newSimulation(t *testing.T, seed uint64, size int) *simulation {
	s := &simulation{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0),
		nodes: map[identifier.InstanceID]*simNode{}, partitioned: map[identifier.InstanceID]bool{},
		leaders: map[uint64]identifier.InstanceID{}, committed: map[uint64]string{},
	}
	var voters []Peer
	for i := range size {
		id := identifier.InstanceID(fmt.Sprintf("i%d", i))
		s.ids = append(s.ids, id)
		voters = append(voters, Peer{ID: id})
	}
	for _, id := range s.ids {
		h := &simNode{disk: entryLog{snapshot: Snapshot{Membership: Membership{Voters: voters}}}}
		s.nodes[id] = h
		s.restart(id)
	}
	return s
}

func (s *simulation) restart(id identifier.InstanceID) {
	h := s.nodes[id]
	h.up = true
	h.applied = nil
	h.snapshotIndex = h.disk.snapshot.Index
	state := PersistentState{HardState: h.hardState, Snapshot: h.disk.snapshot, Entries: append([]Entry(nil), h.disk.entries...)}
	h.core = NewCore(Config{
		ID: id, HeartbeatInterval: testHeartbeat, ElectionTimeout: testElection,
		MaxBatchBytes: 64, Random: rand.New(rand.NewPCG(s.random.Uint64(), 2)),
	}, state, s.now)
}

func (s *simulation) process(id identifier.InstanceID, out Output) {
	h := s.nodes[id]
	if out.HardState != nil {
		h.hardState = *out.HardState
	}
	if out.Snapshot != nil {
		h.disk.compact(*out.Snapshot)
		h.snapshotIndex, h.applied = out.Snapshot.Index, nil
	}
	replayEntries(&h.disk, out.Append)
	if !s.faultFree && len(out.Append) > 0 && s.random.IntN(40) == 0 {
		h.up = false // killed after the write, before anything was sent
		return
	}
	for _, message := range out.Messages {
		s.send(message)
	}
	for _, entry := range out.Committed {
		s.checkCommit(id, entry)
	}
	if h.core.role == RoleLeader {
		term := h.core.hardState.Term
		if other, seen := s.leaders[term]; seen && other != id {
			s.t.Fatalf("term %d has two leaders: %s and %s", term, other, id)
		}
		s.leaders[term] = id
	}
	if len(h.applied) > 12 && s.random.IntN(3) == 0 {
		last := h.applied[len(h.applied)-1].Index
		snapshot := h.core.Compact(last, []byte("state"))
		h.disk.compact(snapshot)
		h.snapshotIndex, h.applied = last, nil
	}
}

func (s *simulation) checkCommit(id identifier.InstanceID, entry Entry) {
	h := s.nodes[id]
	if want := h.snapshotIndex + uint64(len(h.applied)) + 1; entry.Index != want {
		s.t.Fatalf("%s applied entry %d, want %d", id, entry.Index, want)
	}
	h.applied = append(h.applied, entry)
	value := fmt.Sprintf("%d %s %s", entry.Term, entry.Kind, entry.Data)
	if known, seen := s.committed[entry.Index]; seen && known != value {
		s.t.Fatalf("entry %d committed as %q and as %q", entry.Index, known, value)
	}
	s.committed[entry.Index] = value
}

func (s *simulation) send(message Message) {
	copies := 1
	if !s.faultFree {
		if s.random.IntN(10) == 0 {
			return
		}
		if s.random.IntN(10) == 0 {
			copies = 2
		}
	}
	for range copies {
		delay := time.Duration(s.random.IntN(60)) * time.Millisecond
		data, err := json.Marshal(message)
		if err != nil {
			s.t.Fatalf("encode message: %v", err)
		}
		var sent Message
		if err := json.Unmarshal(data, &sent); err != nil {
			s.t.Fatalf("decode message: %v", err)
		}
		s.inFlight = append(s.inFlight, delayedMessage{message: sent, arrives: s.now.Add(delay)})
	}
}

func (s *simulation) deliver() {
	pending := s.inFlight
	s.inFlight = nil
	for _, f := range pending {
		if f.arrives.After(s.now) {
			s.inFlight = append(s.inFlight, f)
			continue
		}
		to := s.nodes[f.message.To]
		if !to.up || s.partitioned[f.message.To] != s.partitioned[f.message.From] {
			continue
		}
		s.process(f.message.To, to.core.Step(f.message, s.now))
	}
}

func (s *simulation) step() {
	s.now = s.now.Add(testStep)
	s.deliver()
	for _, id := range s.ids {
		h := s.nodes[id]
		if !h.up {
			if s.faultFree || s.random.IntN(20) == 0 {
				s.restart(id)
			}
			continue
		}
		s.process(id, h.core.Tick(s.now))
	}
	if s.faultFree {
		return
	}
	id := s.ids[s.random.IntN(len(s.ids))]
	h := s.nodes[id]
	switch s.random.IntN(60) {
	case 0:
		h.up = false
	case 1:
		s.partitioned[id] = !s.partitioned[id]
	case 2:
		clear(s.partitioned)
	case 3:
		s.now = s.now.Add(time.Duration(s.random.IntN(2000)-1000) * time.Millisecond)
	case 4:
		if h.up {
			s.process(id, h.core.TransferLeadership())
		}
	case 5:
		s.changeMembership()
	}
	s.propose()
}

// changeMembership removes a voter, adds one back as a learner, or promotes a
// learner, as the leader allows. At least three voters stay.
func (s *simulation) changeMembership() {
	for _, id := range s.ids {
		h := s.nodes[id]
		if !h.up || h.core.role != RoleLeader {
			continue
		}
		kind, peer := ChangeAddLearner, Peer{ID: s.ids[s.random.IntN(len(s.ids))]}
		switch {
		case len(h.core.membership.Learners) > 0:
			kind, peer = ChangePromote, h.core.membership.Learners[0]
		case len(h.core.membership.Voters) > 3:
			kind = ChangeRemove
		}
		_, out, err := h.core.ProposeChange(Change{Kind: kind, Peer: peer}, s.now)
		s.process(id, out)
		if err == nil {
			s.changes++
		}
		return
	}
}

func (s *simulation) propose() {
	for _, id := range s.ids {
		h := s.nodes[id]
		if !h.up || h.core.role != RoleLeader || s.random.IntN(3) > 0 {
			continue
		}
		s.proposed++
		_, out, err := h.core.Propose(fmt.Appendf(nil, "c%d", s.proposed), s.now)
		if err == nil {
			s.process(id, out)
		}
	}
}

// TestRaftInvariantsUnderSeededFaults checks over many seeds that there is one leader a term,
// that no committed entry changes, that entries are applied in order, and
// that a group that is whole again elects a leader and commits.
func TestRaftInvariantsUnderSeededFaults(t *testing.T) {
	const seeds = 2000
	const shards = 8
	for shard := range uint64(shards) {
		t.Run(fmt.Sprint("shard ", shard), func(t *testing.T) {
			t.Parallel()
			for seed := shard; seed < seeds; seed += shards {
				s := newSimulation(t, seed, 3+2*int(seed%3))
				for range 400 {
					s.step()
				}
				s.checkRecovery(seed)
			}
		})
	}
}

func (s *simulation) checkRecovery(seed uint64) {
	s.faultFree = true
	clear(s.partitioned)
	for range 250 {
		s.step()
	}
	for _, id := range s.ids {
		h := s.nodes[id]
		if h.core.role != RoleLeader {
			continue
		}
		entry, out, err := h.core.Propose([]byte("last"), s.now)
		if err != nil {
			s.t.Fatalf("seed %d: propose to the leader: %v", seed, err)
		}
		s.process(id, out)
		for range 50 {
			s.step()
		}
		for _, peer := range h.core.membership.Voters {
			other := peer.ID
			if got := s.nodes[other].core.commit; got < entry.Index {
				s.t.Fatalf("seed %d: %s committed up to %d, want %d", seed, other, got, entry.Index)
			}
		}
		return
	}
	s.t.Fatalf("seed %d: no leader once the group is whole", seed)
}

// A leader that has just been elected may not know the newest membership. That
// is no other change, and the caller may ask again.
func TestNewLeaderRefusesChangeBeforeFirstCommit(t *testing.T) {
	s := newSimulation(t, 1, 3)
	core := s.nodes["i0"].core
	core.hardState.Term = 1
	core.role = RoleLeader
	if _, _, err := core.ProposeChange(Change{Kind: ChangeAddLearner, Peer: Peer{ID: "i9"}}, s.now); !errors.Is(err, ErrLeaderNotReady) {
		t.Errorf("got %v, want ErrNotSettled", err)
	}
}
