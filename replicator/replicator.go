// Package replicator keeps one log on several instances by the Raft
// algorithm: leader election, replication, snapshots and changes of the set
// of voters.
//
// Core is the deciding part. It is pure: a message or a time goes in, and
// messages, writes and committed entries come out. Node runs a Core against a
// journal and a transport. The single event loop around a core that never
// does I/O, and the pre-vote before an election, are taken from the article
// "Inside RaftLock: the consensus engine"; docs/design/control.md says what
// was measured.
package replicator

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"cranberrystack.dev/cranberrystack/identifier"
)

// ErrNotLeader reports a call that only the leader can serve.
var ErrNotLeader = eris.New("not the leader")

// ErrChangePending reports a change of voters while another is under way.
var ErrChangePending = eris.New("another change of voters is under way")

// ErrLeaderNotReady reports a leader that has committed no entry of its own term
// yet. It soon will, or lose its office.
var ErrLeaderNotReady = eris.New("leader has just been elected")

// ErrNotCaughtUp reports a learner that lacks committed entries.
var ErrNotCaughtUp = eris.New("learner has not caught up")

// ErrInvalidChange reports a change of voters that makes no sense.
var ErrInvalidChange = eris.New("change of voters refused")

// EntryKind tells what an entry's data means.
type EntryKind string

// The kinds of entry.
const (
	EntryCommand    EntryKind = "command"
	EntryNoop       EntryKind = "nothing"
	EntryMembership EntryKind = "membership"
)

// Entry is one record of the log.
type Entry struct {
	Index uint64    `json:"index"`
	Term  uint64    `json:"term"`
	Kind  EntryKind `json:"kind"`
	Data  []byte    `json:"data,omitempty"`
}

// Peer is an instance that holds the log.
type Peer struct {
	ID      identifier.InstanceID `json:"id"`
	Address string                `json:"address"`
}

// Membership is the set of instances that hold the log. No instance is in
// both lists.
type Membership struct {
	Voters   []Peer `json:"voters"`
	Learners []Peer `json:"learners,omitempty"`
}

// Members returns voters and learners.
func (m *Membership) Members() []Peer {
	return slices.Concat(m.Voters, m.Learners)
}

// HardState is what a voter must not forget.
type HardState struct {
	// Term never decreases.
	Term uint64 `json:"term"`
	// Vote is the candidate voted for in Term, empty if none. It changes at
	// most once in a term.
	Vote identifier.InstanceID `json:"vote,omitempty"`
}

// Snapshot stands for all entries up to Index.
type Snapshot struct {
	Index      uint64     `json:"index"`
	Term       uint64     `json:"term"`
	Membership Membership `json:"membership"`
	Data       []byte     `json:"data"`
}

// MessageKind tells what a message asks or answers.
type MessageKind string

// The kinds of message.
const (
	MessagePreVote         MessageKind = "pre-vote"
	MessagePreVoteResponse MessageKind = "pre-vote-answer"
	MessageVote            MessageKind = "vote"
	MessageVoteResponse    MessageKind = "vote-answer"
	MessageAppend          MessageKind = "append"
	MessageAppendResponse  MessageKind = "append-answer"
	MessageSnapshot        MessageKind = "snapshot"
	MessageTimeoutNow      MessageKind = "elect-now"
)

// Message goes from one core to another.
type Message struct {
	Kind MessageKind           `json:"kind"`
	From identifier.InstanceID `json:"from"`
	To   identifier.InstanceID `json:"to"`
	Term uint64                `json:"term"`
	// LogIndex and LogTerm name the last entry of a candidate, or the entry
	// before Entries.
	LogIndex uint64    `json:"log-index,omitempty"`
	LogTerm  uint64    `json:"log-term,omitempty"`
	Entries  []Entry   `json:"entries,omitempty"`
	Commit   uint64    `json:"commit,omitempty"`
	Snapshot *Snapshot `json:"snapshot,omitempty"`
	// Round numbers the leader's appends; an answer repeats it.
	Round uint64 `json:"round,omitempty"`
	// Granted says yes to a vote or an append.
	Granted bool `json:"granted,omitempty"`
	// Match is the last entry known to agree, or a hint where to go on.
	Match uint64 `json:"match,omitempty"`
	// Forced marks an election that the leader itself asked for.
	Forced bool `json:"forced,omitempty"`
}

// Output is what a step wants done, in this order: keep HardState, Snapshot
// and Append on disk; send Messages; apply Committed.
type Output struct {
	HardState *HardState
	// Snapshot replaces the state and the log up to its index. Entries behind
	// it stay if the log held the snapshot's last entry: they were
	// acknowledged and may be committed.
	Snapshot *Snapshot
	// Append replaces all entries from its first index on.
	Append    []Entry
	Messages  []Message
	Committed []Entry
	// Reads are the tokens of reads that may now be served.
	Reads []uint64
	// FailedReads are the tokens of reads that can't be served here.
	FailedReads []uint64
}

// Role is what a core currently does.
type Role string

// The roles.
const (
	RoleFollower     Role = "follower"
	RolePreCandidate Role = "pre-candidate"
	RoleCandidate    Role = "candidate"
	RoleLeader       Role = "leader"
	// RoleLostDisk is that of a first voter that has lost its disk.
	RoleLostDisk Role = "lost-disk"
)

// Config sets up a core.
type Config struct {
	ID                identifier.InstanceID
	HeartbeatInterval time.Duration
	// ElectionTimeout is the least time without a leader before an election.
	// Up to the same again is added at random.
	ElectionTimeout time.Duration
	// MaxBatchBytes bounds the entries of one message.
	MaxBatchBytes int
	Random        *rand.Rand
	// Clock counts also the time in which the instance was suspended. Without
	// it no lease of the leader is known.
	Clock func() time.Duration
}

type pendingRead struct {
	token uint64
	index uint64
	round uint64
}

// Core is the deciding part of one instance. It is not safe for concurrent
// use.
type Core struct {
	config    Config
	log       entryLog
	hardState HardState
	role      Role
	leader    identifier.InstanceID
	commit    uint64
	// membership is the latest in the log, committed or not.
	membership Membership
	// membershipIndex is the index of the entry that set membership.
	membershipIndex uint64

	// elapsed counts time passed, immune to jumps of the caller's time.
	elapsed          time.Duration
	lastNow          time.Time
	electionDeadline time.Duration
	// lastLeaderContact is the clock at the last message from a live leader.
	lastLeaderContact time.Duration

	votes         map[identifier.InstanceID]bool
	progress      map[identifier.InstanceID]*progress
	round         uint64
	nextHeartbeat time.Duration
	// roundSentAt are the times of Config.Clock at which the latest rounds went
	// out, by round modulo their number.
	roundSentAt  [maxTrackedRounds]time.Duration
	pendingReads []pendingRead
	// transferTarget names the voter asked to take over until transferEnd.
	transferTarget   identifier.InstanceID
	transferDeadline time.Duration

	out Output
}

// PersistentState is the state that an instance kept on disk.
type PersistentState struct {
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry
}

// NewCore returns a core that goes on from the restored state. A new group
// starts from a snapshot at index 0 that names its first voters.
func NewCore(config Config, restored PersistentState, now time.Time) *Core {
	c := &Core{config: config, hardState: restored.HardState, role: RoleFollower, lastNow: now}
	c.log = entryLog{snapshot: restored.Snapshot, entries: restored.Entries}
	c.commit = restored.Snapshot.Index
	c.updateMembership()
	if config.Clock == nil || len(restored.Entries) == 0 && restored.Snapshot.Index == 0 {
		// Nothing was promised to a leader yet.
		c.lastLeaderContact = -2 * config.ElectionTimeout
	}
	c.resetElectionDeadline()
	return c
}

// Tick lets time pass.
func (c *Core) Tick(now time.Time) Output {
	c.advanceElapsed(now)
	if c.role == RoleLeader {
		c.leaderTick()
		return c.takeOutput()
	}
	if c.elapsed >= c.electionDeadline && c.isVoter(c.config.ID) {
		c.startPreVote()
	}
	return c.takeOutput()
}

// Step handles one message.
func (c *Core) Step(message Message, now time.Time) Output {
	c.advanceElapsed(now)
	switch message.Kind {
	case MessagePreVote:
		c.handlePreVote(message)
	case MessagePreVoteResponse:
		c.handlePreVoteResponse(message)
	case MessageVote:
		c.handleVote(message)
	case MessageVoteResponse:
		c.handleVoteResponse(message)
	case MessageAppend:
		c.handleAppend(message)
	case MessageAppendResponse:
		c.handleAppendResponse(message)
	case MessageSnapshot:
		c.handleSnapshot(message)
	case MessageTimeoutNow:
		c.handleTimeoutNow(message)
	}
	return c.takeOutput()
}

// Propose appends a command and returns its index and term. It fails with
// ErrNotLeader on any other instance.
func (c *Core) Propose(data []byte, now time.Time) (Entry, Output, error) {
	c.advanceElapsed(now)
	if c.role != RoleLeader || c.transferTarget != "" {
		return Entry{}, c.takeOutput(), ErrNotLeader
	}
	entry := c.appendAsLeader(EntryCommand, data)
	return entry, c.takeOutput(), nil
}

// Read asks whether this instance still leads. The token comes back in an
// Output's Reads once every entry committed before the call is applied and a
// majority has confirmed the leader.
func (c *Core) Read(token uint64, now time.Time) Output {
	c.advanceElapsed(now)
	if c.role != RoleLeader || !c.committedInTerm() {
		c.out.FailedReads = append(c.out.FailedReads, token)
		return c.takeOutput()
	}
	c.nextRound()
	c.pendingReads = append(c.pendingReads, pendingRead{token: token, index: c.commit, round: c.round})
	c.broadcastAppend(true)
	c.confirmReads()
	return c.takeOutput()
}

// Status describes a core.
type Status struct {
	ID         identifier.InstanceID `json:"id"`
	Role       Role                  `json:"role"`
	Leader     identifier.InstanceID `json:"leader"`
	Term       uint64                `json:"term"`
	Commit     uint64                `json:"commit"`
	LastIndex  uint64                `json:"last-index"`
	FirstIndex uint64                `json:"first-index"`
	Membership Membership            `json:"membership"`
	// Match is the last entry that each peer is known to hold; leader only.
	Match map[identifier.InstanceID]uint64 `json:"match,omitempty"`
}

// Status returns a description of the core.
func (c *Core) Status() Status {
	status := Status{
		ID: c.config.ID, Role: c.role, Leader: c.leader, Term: c.hardState.Term,
		Commit: c.commit, LastIndex: c.log.lastIndex(), FirstIndex: c.log.snapshot.Index + 1,
		Membership: c.membership,
	}
	if c.role == RoleLeader {
		status.Match = map[identifier.InstanceID]uint64{}
		for id, p := range c.progress {
			status.Match[id] = p.match
		}
	}
	return status
}

// Compact replaces the entries up to the snapshot's index. The data must be
// the state right after that index.
func (c *Core) Compact(index uint64, data []byte) Snapshot {
	snapshot := Snapshot{
		Index: index, Term: c.log.term(index),
		Membership: c.membershipAt(index), Data: data,
	}
	c.log.compact(snapshot)
	return snapshot
}

// PersistentState returns what has to be on disk now, for use with a new snapshot.
func (c *Core) PersistentState() PersistentState {
	return PersistentState{HardState: c.hardState, Snapshot: c.log.snapshot, Entries: c.log.entries}
}

// advanceElapsed moves the clock on. Steps back count as nothing and jumps ahead as
// one election timeout at most.
func (c *Core) advanceElapsed(now time.Time) {
	delta := now.Sub(c.lastNow)
	c.lastNow = now
	c.elapsed += min(max(delta, 0), c.config.ElectionTimeout)
}

func (c *Core) takeOutput() Output {
	out := c.out
	c.out = Output{}
	return out
}

func (c *Core) send(message Message) {
	message.From = c.config.ID
	if message.Term == 0 {
		message.Term = c.hardState.Term
	}
	c.out.Messages = append(c.out.Messages, message)
}

func (c *Core) setHardState(next HardState) {
	if next == c.hardState {
		return
	}
	c.hardState = next
	c.out.HardState = &next
}

func (c *Core) resetElectionDeadline() {
	jitter := time.Duration(c.config.Random.Int64N(int64(c.config.ElectionTimeout)))
	c.electionDeadline = c.elapsed + c.config.ElectionTimeout + jitter
}
