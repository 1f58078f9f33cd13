// Package replicator replicates one log across several instances with the
// Raft algorithm: leader election, log replication, snapshots and membership
// changes.
//
// Core is the Raft state machine. It does no I/O: it takes a message or a time
// and returns messages to send, state to persist and committed entries. Node
// runs a Core with a journal and a transport. The single event loop around a
// core without I/O, and the pre-vote before an election, follow the article
// "Inside RaftLock: the consensus engine"; docs/design/control.md has the
// measurements.
package replicator

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"cranberrystack.dev/cranberrystack/identifier"
)

// ErrNotLeader reports a call that only the leader can serve, on an instance
// that is not the leader.
var ErrNotLeader = eris.New("not the leader")

// ErrChangePending reports a membership change that was proposed while another
// is uncommitted.
var ErrChangePending = eris.New("another change of voters is under way")

// ErrLeaderNotReady reports a leader that has not committed an entry of its own
// term yet. Within a short time it commits one or loses leadership, so the
// caller may retry.
var ErrLeaderNotReady = eris.New("leader has just been elected")

// ErrNotCaughtUp reports the promotion of a learner that lacks committed
// entries.
var ErrNotCaughtUp = eris.New("learner has not caught up")

// ErrInvalidChange reports a change that can't be applied to the current
// membership.
var ErrInvalidChange = eris.New("change of voters refused")

// EntryKind says how an entry's data is interpreted.
type EntryKind string

// The kinds of entry. EntryNoop has no data; a new leader appends one so that
// it can commit in its own term.
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

// Peer is a member of the log, or an instance that may become one.
type Peer struct {
	ID      identifier.InstanceID `json:"id"`
	Address string                `json:"address"`
}

// Membership is the set of members of the log. No instance is in both lists.
type Membership struct {
	Voters   []Peer `json:"voters"`
	Learners []Peer `json:"learners,omitempty"`
}

// Members returns the voters followed by the learners.
func (m *Membership) Members() []Peer {
	return slices.Concat(m.Voters, m.Learners)
}

// HardState is the term and vote that an instance has to persist before it sends
// a message that depends on them.
type HardState struct {
	// Term never decreases.
	Term uint64 `json:"term"`
	// Vote is the candidate that this instance voted for in Term, or empty. It is
	// set at most once per term.
	Vote identifier.InstanceID `json:"vote,omitempty"`
}

// Snapshot replaces all log entries up to and including Index.
type Snapshot struct {
	Index      uint64     `json:"index"`
	Term       uint64     `json:"term"`
	Membership Membership `json:"membership"`
	Data       []byte     `json:"data"`
}

// MessageKind is the type of a request or response between cores.
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

// Message is a request or response from one core to another.
type Message struct {
	Kind MessageKind           `json:"kind"`
	From identifier.InstanceID `json:"from"`
	To   identifier.InstanceID `json:"to"`
	Term uint64                `json:"term"`
	// LogIndex and LogTerm identify the last log entry of the candidate in a vote
	// request, and the entry before Entries in an append.
	LogIndex uint64  `json:"log-index,omitempty"`
	LogTerm  uint64  `json:"log-term,omitempty"`
	Entries  []Entry `json:"entries,omitempty"`
	// Commit is the leader's commit index; set only in an append.
	Commit   uint64    `json:"commit,omitempty"`
	Snapshot *Snapshot `json:"snapshot,omitempty"`
	// Round numbers the leader's append rounds; the response repeats it.
	Round uint64 `json:"round,omitempty"`
	// Granted reports a granted vote or an accepted append.
	Granted bool `json:"granted,omitempty"`
	// Match is the last index that agrees with the leader's log. In a rejected
	// append it is a hint from where the leader should resend.
	Match uint64 `json:"match,omitempty"`
	// Forced marks a vote request of a leadership transfer. Voters consider it
	// even while they are in contact with the old leader.
	Forced bool `json:"forced,omitempty"`
}

// Output holds the actions that a step requires, in this order: persist
// HardState, Snapshot and Append; send Messages; apply Committed; complete Reads
// and FailedReads.
type Output struct {
	HardState *HardState
	// Snapshot replaces the state and the log up to its index. Later entries
	// stay if the log contained the snapshot's last entry, because they were
	// acknowledged and may be committed.
	Snapshot *Snapshot
	// Append replaces all entries from the index of its first entry on.
	Append    []Entry
	Messages  []Message
	Committed []Entry
	// Reads are the tokens of reads that may now be served.
	Reads []uint64
	// FailedReads are the tokens of reads that this instance can't serve.
	FailedReads []uint64
}

// Role is what an instance currently does. A learner, and a node that has stopped
// or has no group yet, is a follower.
type Role string

// The roles.
const (
	RoleFollower     Role = "follower"
	RolePreCandidate Role = "pre-candidate"
	RoleCandidate    Role = "candidate"
	RoleLeader       Role = "leader"
	// RoleLostDisk is reported by an initial voter that has lost its disk.
	RoleLostDisk Role = "lost-disk"
)

// Config configures a core.
type Config struct {
	ID                identifier.InstanceID
	HeartbeatInterval time.Duration
	// ElectionTimeout is the minimum time without contact to a leader before an
	// election. A random part of up to the same duration is added.
	ElectionTimeout time.Duration
	// MaxBatchBytes limits the data of the entries in one message. A single
	// larger entry is sent alone.
	MaxBatchBytes int
	// Random must not be nil.
	Random *rand.Rand
	// Clock returns a monotonic time that includes the time in which the instance
	// was suspended. Without it the core computes no leader lease.
	Clock func() time.Duration
}

type pendingRead struct {
	token uint64
	index uint64
	round uint64
}

// Core is the Raft state machine of one instance. It is not safe for
// concurrent use.
type Core struct {
	config    Config
	log       entryLog
	hardState HardState
	role      Role
	leader    identifier.InstanceID
	commit    uint64
	// membership is the latest in the log, committed or not.
	membership Membership
	// membershipIndex is the index of the entry that contains membership.
	membershipIndex uint64

	// elapsed is the time that has passed, with jumps of the caller's time
	// removed; see advanceElapsed. All deadlines are values of elapsed.
	elapsed          time.Duration
	lastNow          time.Time
	electionDeadline time.Duration
	// lastLeaderContact is the value of elapsed at the last message of a leader.
	lastLeaderContact time.Duration

	votes         map[identifier.InstanceID]bool
	progress      map[identifier.InstanceID]*progress
	round         uint64
	nextHeartbeat time.Duration
	// roundSentAt holds the Config.Clock times at which the latest rounds were
	// sent, indexed by the round modulo maxTrackedRounds.
	roundSentAt  [maxTrackedRounds]time.Duration
	pendingReads []pendingRead
	// forcedElection says that the candidate was told to start its election, and
	// nextVoteRequest is when it requests votes again.
	forcedElection  bool
	nextVoteRequest time.Duration
	// transferTarget is the voter that leadership is being transferred to, or
	// empty. The leader steps down at transferDeadline.
	transferTarget   identifier.InstanceID
	transferDeadline time.Duration

	out Output
}

// PersistentState is the state of a core that is stored on disk.
type PersistentState struct {
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry
}

// NewCore returns a core that continues from the restored state. A new group
// starts from a snapshot at index 0 that contains the initial voters.
func NewCore(config Config, restored PersistentState, now time.Time) *Core {
	c := &Core{config: config, hardState: restored.HardState, role: RoleFollower, lastNow: now}
	c.log = entryLog{snapshot: restored.Snapshot, entries: restored.Entries}
	c.commit = restored.Snapshot.Index
	c.updateMembership()
	if config.Clock == nil || len(restored.Entries) == 0 && restored.Snapshot.Index == 0 && restored.HardState == (HardState{}) {
		// No leader can rely on a lease confirmed by this instance: leases are off,
		// or it has had contact with no leader yet, whose term it would have
		// persisted. It may vote at once. Any other instance waits an election
		// timeout, since it may have confirmed a lease before the restart.
		c.lastLeaderContact = -2 * config.ElectionTimeout
	}
	c.resetElectionDeadline()
	return c
}

// Tick advances the core's time and runs the timeouts that are due.
func (c *Core) Tick(now time.Time) Output {
	c.advanceElapsed(now)
	if c.role == RoleLeader {
		c.leaderTick()
		return c.takeOutput()
	}
	switch {
	case c.elapsed >= c.electionDeadline && c.isVoter(c.config.ID):
		c.startPreVote()
	case c.role == RoleCandidate && c.elapsed >= c.nextVoteRequest:
		c.requestVotesAgain()
	}
	return c.takeOutput()
}

// Step handles one message; one that no instance can have sent is ignored. The caller must carry out the output before the next
// call of any method; this holds for all methods that return an Output.
func (c *Core) Step(message Message, now time.Time) Output {
	c.advanceElapsed(now)
	if !c.wellFormed(&message) {
		return c.takeOutput()
	}
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

// Propose appends a command and returns its entry with index and term. It
// returns ErrNotLeader if this instance is not the leader or is transferring
// leadership.
func (c *Core) Propose(data []byte, now time.Time) (Entry, Output, error) {
	c.advanceElapsed(now)
	if c.role != RoleLeader || c.transferTarget != "" {
		return Entry{}, c.takeOutput(), ErrNotLeader
	}
	entry := c.appendAsLeader(EntryCommand, data)
	return entry, c.takeOutput(), nil
}

// Read starts a linearizable read. The token is returned in Output.Reads once a
// majority has confirmed this instance as leader in a round that started after
// the call; every entry committed before the call is in a Committed of the same
// or an earlier output. If the instance can't serve the read, the token is
// returned in Output.FailedReads.
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

// Status describes the state of a core.
type Status struct {
	ID         identifier.InstanceID `json:"id"`
	Role       Role                  `json:"role"`
	Leader     identifier.InstanceID `json:"leader"`
	Term       uint64                `json:"term"`
	Commit     uint64                `json:"commit"`
	LastIndex  uint64                `json:"last-index"`
	FirstIndex uint64                `json:"first-index"`
	Membership Membership            `json:"membership"`
	// Match is the last index that each peer is known to have persisted; set
	// only on the leader.
	Match map[identifier.InstanceID]uint64 `json:"match,omitempty"`
}

// Status returns the status of the core.
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

// Compact replaces the entries up to index by a snapshot and returns it. data
// must be the state right after the entry at index was applied.
func (c *Core) Compact(index uint64, data []byte) Snapshot {
	snapshot := Snapshot{
		Index: index, Term: c.log.term(index),
		Membership: c.membershipAt(index), Data: data,
	}
	c.log.compact(snapshot)
	return snapshot
}

// PersistentState returns all state that has to be on disk, to be written
// together with a new snapshot.
func (c *Core) PersistentState() PersistentState {
	return PersistentState{HardState: c.hardState, Snapshot: c.log.snapshot, Entries: c.log.entries}
}

// advanceElapsed adds the time since the last call to elapsed. A step back of
// the caller's time counts as zero and a jump ahead as at most one election
// timeout.
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
	c.electionDeadline = c.elapsed + c.config.ElectionTimeout + c.jitter(c.config.ElectionTimeout)
}

// jitter returns a random time below limit.
func (c *Core) jitter(limit time.Duration) time.Duration {
	return time.Duration(c.config.Random.Int64N(max(1, int64(limit))))
}
