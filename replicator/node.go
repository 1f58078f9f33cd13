package replicator

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"cranberrystack.dev/cranberrystack/identifier"
)

// ErrOutcomeUnknown reports a command that may or may not be committed. It may be
// proposed again only if applying it twice does no harm, for example because it
// has an id.
var ErrOutcomeUnknown = eris.New("outcome of the command is unknown")

// MaxEntryBytes bounds a command. It leaves a record of the journal room for the
// encoding of several entries.
const MaxEntryBytes = 16 << 20

// ErrEntryTooLarge reports a command over MaxEntryBytes, which was not appended.
var ErrEntryTooLarge = eris.New("command is too large for the log")

// ErrStopped reports a call to a node that has stopped.
var ErrStopped = eris.New("node has stopped")

// NotLeaderError is ErrNotLeader with the leader that the node knows.
type NotLeaderError struct {
	// Leader is the zero Peer if no leader is known.
	Leader Peer
}

// Error returns a message with the leader's id.
func (e *NotLeaderError) Error() string {
	return fmt.Sprintf("not the leader; leader is %q", e.Leader.ID)
}

// Unwrap returns ErrNotLeader.
func (e *NotLeaderError) Unwrap() error { return ErrNotLeader }

// StateMachine is the application state that the log's commands change. The
// node calls its functions from one goroutine at a time.
type StateMachine struct {
	// Apply applies the committed command at index and returns its result.
	Apply func(index uint64, data []byte) any
	// Snapshot returns the encoded state.
	Snapshot func() ([]byte, error)
	// Restore replaces the state by an encoded one.
	Restore func(data []byte) error
}

// Transport sends requests to the other instances.
type Transport struct {
	// Send delivers a message and returns the peer's immediate responses.
	Send func(ctx context.Context, peer Peer, message Message) ([]Message, error)
	// Formation requests a peer's formation state.
	Formation func(ctx context.Context, peer Peer) (Formation, error)
}

type proposal struct {
	data   []byte
	change *Change
	result chan callResult
}

type callResult struct {
	value any
	err   error
}

type pendingProposal struct {
	term   uint64
	result chan callResult
}

// incoming is a message from a peer. Its responses channel is nil if the sender
// does not wait for immediate responses.
type incoming struct {
	message   Message
	responses chan []Message
}

func (in *incoming) reply(responses []Message) {
	if in != nil && in.responses != nil {
		in.responses <- responses
	}
}

// Node runs a core with a journal and a transport. One goroutine, the event
// loop, owns the core; one goroutine per peer sends messages.
type Node struct {
	id           identifier.InstanceID
	stateMachine StateMachine
	transport    Transport
	options      options
	store        *store
	core         *Core

	messages  chan incoming
	proposals chan proposal
	reads     chan chan callResult
	calls     chan func()
	stop      chan struct{}
	done      chan struct{}
	senders   sync.WaitGroup

	// The fields up to leadership are used only by the event loop. Wait reads
	// failure once done is closed.
	pendingProposals map[uint64]pendingProposal
	pendingReads     map[uint64]chan callResult
	lastReadToken    uint64
	sendQueues       map[identifier.InstanceID]chan Message
	lastApplied      uint64
	// compactAfter is the applied index from which a compaction that could not be
	// written is tried again.
	compactAfter uint64
	failure      error
	addresses    map[identifier.InstanceID]string

	// leadership is the view of the core that other goroutines read.
	leadership atomic.Pointer[Leadership]

	// blank says that there is a log, which is empty and names no members.
	blank atomic.Bool

	// mu guards lostDisk and the store's formation, which other goroutines read.
	mu       sync.Mutex
	lostDisk bool
}

// Open restores a node from its directory and starts it. initial lists the
// initial voters of a new group and is used only if the directory contains no
// log; an instance that joins an existing group passes none. With FromSeeds,
// initial is ignored.
func Open(id identifier.InstanceID, dir string, initial []Peer, stateMachine StateMachine, transport Transport, opts ...Option) (*Node, error) {
	options := newOptions(opts...)
	store, restored, err := openStore(dir, options.journal...)
	if err != nil {
		return nil, err
	}
	if err := stateMachine.restoreFrom(restored.Snapshot); err != nil {
		return nil, err
	}
	if err := store.persistNonce(uuid.NewString(), options.seeds != nil && options.seeds.Bootstrap); err != nil {
		return nil, err
	}
	if options.seeds != nil {
		id = diskID(id, store.formation.Nonce)
		// An instance that was restarted before the group formed goes on with its first start.
		options.seeds.Bootstrap = options.seeds.Bootstrap || store.bootstrap
	}
	n := &Node{
		id: id, stateMachine: stateMachine, transport: transport, options: options, store: store,
		messages:         make(chan incoming, queueLength),
		proposals:        make(chan proposal),
		reads:            make(chan chan callResult),
		calls:            make(chan func()),
		stop:             make(chan struct{}),
		done:             make(chan struct{}),
		pendingProposals: map[uint64]pendingProposal{},
		pendingReads:     map[uint64]chan callResult{},
		sendQueues:       map[identifier.InstanceID]chan Message{},
		addresses:        map[identifier.InstanceID]string{},
	}
	n.leadership.Store(&Leadership{})
	n.blank.Store(!store.formation.Fresh && len(restored.Entries) == 0 && len(restored.Snapshot.Membership.Voters) == 0)
	go n.run(restored, initial)
	return n, nil
}

func (m StateMachine) restoreFrom(snapshot Snapshot) error {
	if len(snapshot.Data) == 0 {
		return nil
	}
	if err := m.Restore(snapshot.Data); err != nil {
		return fmt.Errorf("restore state: %w", err)
	}
	return nil
}

// Propose commits a command and returns the result of Apply. The command was not
// appended if the error is a *NotLeaderError, ErrStopped or one that wraps
// ctx.Err() or ErrEntryTooLarge. ErrOutcomeUnknown means that it may or may not be committed.
func (n *Node) Propose(ctx context.Context, data []byte) (any, error) {
	if len(data) > MaxEntryBytes {
		return nil, fmt.Errorf("%d bytes: %w", len(data), ErrEntryTooLarge)
	}
	return n.propose(ctx, proposal{data: data, result: make(chan callResult, 1)})
}

// Change commits a membership change. Its errors are those of Propose and of
// Core.ProposeChange.
func (n *Node) Change(ctx context.Context, change Change) error {
	_, err := n.propose(ctx, proposal{change: &change, result: make(chan callResult, 1)})
	return err
}

func (n *Node) propose(ctx context.Context, p proposal) (any, error) {
	select {
	case n.proposals <- p:
	case <-n.done:
		return nil, ErrStopped
	case <-ctx.Done():
		return nil, fmt.Errorf("wait for the log: %w", ctx.Err())
	}
	select {
	case result := <-p.result:
		return result.value, result.err
	case <-n.done:
		return nil, ErrOutcomeUnknown
	case <-ctx.Done():
		return nil, ErrOutcomeUnknown
	}
}

// Read waits until the local state includes every entry that was committed on
// any instance before the call. Errors: *NotLeaderError, also from a leader that
// has not yet committed an entry of its own term; ErrStopped; one that wraps
// ctx.Err().
func (n *Node) Read(ctx context.Context) error {
	result := make(chan callResult, 1)
	select {
	case n.reads <- result:
	case <-n.done:
		return ErrStopped
	case <-ctx.Done():
		return fmt.Errorf("wait for the log: %w", ctx.Err())
	}
	select {
	case r := <-result:
		return r.err
	case <-n.done:
		return ErrStopped
	case <-ctx.Done():
		return fmt.Errorf("confirm the leader: %w", ctx.Err())
	}
}

// Handle processes a message from a peer and returns the responses to it.
func (n *Node) Handle(ctx context.Context, message Message) ([]Message, error) {
	in := incoming{message: message, responses: make(chan []Message, 1)}
	select {
	case n.messages <- in:
	case <-n.done:
		return nil, ErrStopped
	case <-ctx.Done():
		return nil, fmt.Errorf("queue message: %w", ctx.Err())
	}
	select {
	case responses := <-in.responses:
		return responses, nil
	case <-n.done:
		return nil, ErrStopped
	case <-ctx.Done():
		return nil, fmt.Errorf("handle message: %w", ctx.Err())
	}
}

// Status returns the status of the node's core. Before the node belongs to a
// group and after it has stopped, only ID and Role are set.
func (n *Node) Status() Status {
	result := make(chan Status, 1)
	query := func() {
		if n.core == nil {
			result <- n.unformedStatus()
			return
		}
		result <- n.core.Status()
	}
	select {
	case n.calls <- query:
		return <-result
	case <-n.done:
		return Status{ID: n.id, Role: RoleFollower}
	}
}

func (n *Node) unformedStatus() Status {
	if n.LostDisk() {
		return Status{ID: n.id, Role: RoleLostDisk}
	}
	return Status{ID: n.id, Role: RoleFollower}
}

// Wait waits until the node has stopped and returns the error that stopped
// it, or nil.
func (n *Node) Wait() error {
	<-n.done
	return n.failure
}

// Done returns a channel that is closed when the node has stopped, because of
// Stop or of a failure such as a failed write.
func (n *Node) Done() <-chan struct{} { return n.done }

// Stop requests a transfer of leadership if the node is the leader, stops the node
// without waiting for the transfer, and waits for its goroutines. It returns at
// once if the node has stopped already.
func (n *Node) Stop() {
	select {
	case n.calls <- func() { n.transferLeadership() }:
	case <-n.done:
		return
	}
	close(n.stop)
	<-n.done
	n.senders.Wait()
}

func (n *Node) run(restored PersistentState, initial []Peer) {
	defer close(n.done)
	defer n.leadership.Store(&Leadership{})
	defer n.store.journal.Close()
	defer n.closeQueues()
	if n.Formation().Fresh {
		var formed bool
		restored, formed = n.form(initial)
		if !formed {
			return
		}
	}
	seed := n.options.seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	n.core = NewCore(Config{
		ID: n.id, HeartbeatInterval: n.options.heartbeatInterval,
		ElectionTimeout: n.options.electionTimeout, MaxBatchBytes: defaultMaxBatchBytes,
		Random: rand.New(rand.NewPCG(seed, seed)), Clock: n.options.clock,
	}, restored, time.Now())
	n.lastApplied = restored.Snapshot.Index
	n.loop()
}

func (n *Node) loop() {
	ticker := time.NewTicker(n.options.heartbeatInterval / ticksPerHeartbeat)
	defer ticker.Stop()
	if len(n.core.membership.Voters) == 1 {
		// The only voter needs no other vote, so it does not wait for the timeout.
		n.core.electionDeadline = n.core.elapsed
		n.processOutput(n.core.Tick(time.Now()), nil)
	}
	for n.failure == nil {
		select {
		case <-n.stop:
			return
		case <-ticker.C:
			// After a hold-up, the ticker's time is older than that of the last message.
			n.processOutput(n.core.Tick(time.Now()), nil)
		case in := <-n.messages:
			n.processOutput(n.core.Step(in.message, time.Now()), &in)
		case p := <-n.proposals:
			n.handleProposal(p)
		case read := <-n.reads:
			n.lastReadToken++
			n.pendingReads[n.lastReadToken] = read
			n.processOutput(n.core.Read(n.lastReadToken, time.Now()), nil)
		case call := <-n.calls:
			call()
		}
	}
}

func (n *Node) handleProposal(p proposal) {
	var entry Entry
	var out Output
	var err error
	if p.change != nil {
		entry, out, err = n.core.ProposeChange(*p.change, time.Now())
	} else {
		entry, out, err = n.core.Propose(p.data, time.Now())
	}
	if err == nil {
		n.pendingProposals[entry.Index] = pendingProposal{term: entry.Term, result: p.result}
	} else {
		p.result <- callResult{err: n.withLeader(err)}
	}
	n.processOutput(out, nil)
}

func (n *Node) withLeader(err error) error {
	if !eris.Is(err, ErrNotLeader) {
		return err
	}
	status := n.core.Status()
	leader := findPeer(append(status.Membership.Voters, status.Membership.Learners...), status.Leader)
	if leader.ID == n.id {
		leader = Peer{}
	}
	return &NotLeaderError{Leader: leader}
}

// processOutput carries out an output in the order that Output prescribes. The
// first failure stops the node.
func (n *Node) processOutput(out Output, in *incoming) {
	if err := n.store.write(out, n.core.PersistentState); err != nil {
		n.failure = err
		return
	}
	if out.Snapshot != nil || len(out.Append) > 0 {
		n.blank.Store(false)
	}
	if out.Snapshot != nil {
		if err := n.stateMachine.restoreFrom(*out.Snapshot); err != nil {
			n.failure = err
			return
		}
		n.lastApplied = out.Snapshot.Index
	}
	n.publishLeadership()
	n.routeMessages(out.Messages, in)
	for _, entry := range out.Committed {
		n.apply(entry)
	}
	n.publishLeadership()
	n.completeReads(out)
	n.failPendingProposals()
	n.compactIfDue()
}

func (n *Node) routeMessages(messages []Message, in *incoming) {
	var responses []Message
	for _, message := range messages {
		if in != nil && in.responses != nil && message.To == in.message.From {
			responses = append(responses, message)
			continue
		}
		n.enqueue(message)
	}
	in.reply(responses)
}

func (n *Node) apply(entry Entry) {
	n.lastApplied = entry.Index
	var value any
	if entry.Kind == EntryCommand {
		value = n.stateMachine.Apply(entry.Index, entry.Data)
	}
	p, found := n.pendingProposals[entry.Index]
	if !found {
		return
	}
	delete(n.pendingProposals, entry.Index)
	if p.term != entry.Term {
		p.result <- callResult{err: ErrOutcomeUnknown}
		return
	}
	p.result <- callResult{value: value}
}

func (n *Node) completeReads(out Output) {
	for _, token := range out.Reads {
		n.pendingReads[token] <- callResult{}
		delete(n.pendingReads, token)
	}
	for _, token := range out.FailedReads {
		n.pendingReads[token] <- callResult{err: n.withLeader(ErrNotLeader)}
		delete(n.pendingReads, token)
	}
}

// failPendingProposals returns ErrOutcomeUnknown to all callers that wait for a
// commit, if this instance has lost leadership.
func (n *Node) failPendingProposals() {
	if n.core.role == RoleLeader {
		return
	}
	for index, p := range n.pendingProposals {
		p.result <- callResult{err: ErrOutcomeUnknown}
		delete(n.pendingProposals, index)
	}
}

func (n *Node) compactIfDue() {
	if n.lastApplied < n.compactAfter || n.lastApplied-n.core.log.snapshot.Index < uint64(n.options.compactEntries) {
		return
	}
	data, err := n.stateMachine.Snapshot()
	if err != nil {
		n.failure = fmt.Errorf("make snapshot: %w", err)
		return
	}
	n.core.Compact(n.lastApplied, data)
	err = n.store.compact(n.core.PersistentState())
	if err != nil && n.store.journal.Failed() {
		n.failure = err
		return
	}
	if err != nil {
		// The journal still holds what it held before, and accepts records.
		n.compactAfter = n.lastApplied + uint64(n.options.compactEntries)
		n.options.onCompactionPutOff(err)
	}
}

func (n *Node) transferLeadership() {
	if n.core == nil {
		return
	}
	n.processOutput(n.core.TransferLeadership(), nil)
}
