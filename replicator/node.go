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

// ErrOutcomeUnknown reports a command whose outcome is unknown: it may still be
// committed. Asking again with the same request id tells.
var ErrOutcomeUnknown = eris.New("outcome of the command is unknown")

// ErrStopped reports a node that runs no more.
var ErrStopped = eris.New("node has stopped")

// NotLeaderError says who leads, as far as the node knows.
type NotLeaderError struct {
	Leader Peer
}

// Error names the leader.
func (e *NotLeaderError) Error() string {
	return fmt.Sprintf("not the leader; leader is %q", e.Leader.ID)
}

// Unwrap makes the error match ErrNotLeader.
func (e *NotLeaderError) Unwrap() error { return ErrNotLeader }

// StateMachine is what the log's commands act on. The node calls its
// functions from one goroutine.
type StateMachine struct {
	// Apply handles one committed command and returns its result.
	Apply func(index uint64, data []byte) any
	// Snapshot returns the whole state.
	Snapshot func() ([]byte, error)
	// Restore replaces the whole state.
	Restore func(data []byte) error
}

// Transport reaches the other instances.
type Transport struct {
	// Send delivers a message and returns the peer's direct answers.
	Send func(ctx context.Context, peer Peer, message Message) ([]Message, error)
	// Formation asks a peer whether it holds a log yet.
	Formation func(ctx context.Context, peer Peer) (Formation, error)
}

type proposal struct {
	data   []byte
	change *Change
	result chan outcome
}

type outcome struct {
	value any
	err   error
}

type waiter struct {
	term   uint64
	result chan outcome
}

// incoming is a message from a peer. Its answers channel is nil if the sender
// does not wait for direct answers.
type incoming struct {
	message Message
	answers chan []Message
}

func (in *incoming) reply(answers []Message) {
	if in != nil && in.answers != nil {
		in.answers <- answers
	}
}

// Node runs a core: one goroutine owns all its state, one a peer sends.
type Node struct {
	id        identifier.InstanceID
	machine   StateMachine
	transport Transport
	options   options
	store     *store
	core      *Core

	messages  chan incoming
	proposals chan proposal
	reads     chan chan outcome
	inspect   chan func()
	stop      chan struct{}
	done      chan struct{}
	senders   sync.WaitGroup

	// The fields below belong to the event loop.
	waiters   map[uint64]waiter
	readers   map[uint64]chan outcome
	nextRead  uint64
	queues    map[identifier.InstanceID]chan Message
	applied   uint64
	failure   error
	addresses map[identifier.InstanceID]string

	// leadership is what other goroutines may know of the core.
	leadership atomic.Pointer[Leadership]

	// mu guards lost and the store's formation, which other goroutines read.
	mu   sync.Mutex
	lost bool
}

// Open restores a node from its folder. initial names the first voters of a
// new group and is used only if the folder holds no log; an instance that
// joins later passes none.
func Open(id identifier.InstanceID, dir string, initial []Peer, machine StateMachine, transport Transport, opts ...Option) (*Node, error) {
	options := newOptions(opts...)
	store, restored, err := openStore(dir, options.journal...)
	if err != nil {
		return nil, err
	}
	if err := machine.restoreFrom(restored.Snapshot); err != nil {
		return nil, err
	}
	if err := store.mark(uuid.NewString()); err != nil {
		return nil, err
	}
	if options.seeds != nil {
		id = diskID(id, store.formation.Nonce)
	}
	n := &Node{
		id: id, machine: machine, transport: transport, options: options, store: store,
		messages:  make(chan incoming, queueLength),
		proposals: make(chan proposal),
		reads:     make(chan chan outcome),
		inspect:   make(chan func()),
		stop:      make(chan struct{}),
		done:      make(chan struct{}),
		waiters:   map[uint64]waiter{},
		readers:   map[uint64]chan outcome{},
		queues:    map[identifier.InstanceID]chan Message{},
		addresses: map[identifier.InstanceID]string{},
	}
	n.leadership.Store(&Leadership{})
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

// Propose commits a command and returns what Apply returned for it. Errors:
// *NotLeaderError if nothing was done, ErrOutcomeUnknown if the outcome is unknown.
func (n *Node) Propose(ctx context.Context, data []byte) (any, error) {
	return n.propose(ctx, proposal{data: data, result: make(chan outcome, 1)})
}

// Change commits a change of the membership.
func (n *Node) Change(ctx context.Context, change Change) error {
	_, err := n.propose(ctx, proposal{change: &change, result: make(chan outcome, 1)})
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

// Read returns nil once the local state holds all that was committed
// anywhere before the call. It fails on any instance but the leader.
func (n *Node) Read(ctx context.Context) error {
	result := make(chan outcome, 1)
	select {
	case n.reads <- result:
	case <-n.done:
		return ErrStopped
	case <-ctx.Done():
		return fmt.Errorf("wait for the log: %w", ctx.Err())
	}
	select {
	case answer := <-result:
		return answer.err
	case <-n.done:
		return ErrStopped
	case <-ctx.Done():
		return fmt.Errorf("confirm the leader: %w", ctx.Err())
	}
}

// Handle takes a message from a peer and returns the answers to it.
func (n *Node) Handle(ctx context.Context, message Message) ([]Message, error) {
	in := incoming{message: message, answers: make(chan []Message, 1)}
	select {
	case n.messages <- in:
	case <-n.done:
		return nil, ErrStopped
	case <-ctx.Done():
		return nil, fmt.Errorf("queue message: %w", ctx.Err())
	}
	select {
	case answers := <-in.answers:
		return answers, nil
	case <-n.done:
		return nil, ErrStopped
	case <-ctx.Done():
		return nil, fmt.Errorf("handle message: %w", ctx.Err())
	}
}

// Status describes the node. A node that is not yet part of a group has the
// zero status but for its id.
func (n *Node) Status() Status {
	result := make(chan Status, 1)
	ask := func() {
		if n.core == nil {
			result <- n.unformedStatus()
			return
		}
		result <- n.core.Status()
	}
	select {
	case n.inspect <- ask:
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

// Failure returns the error that stopped the node, if one did.
func (n *Node) Failure() error {
	<-n.done
	return n.failure
}

// Done is closed when the node has stopped, by Stop or by a failed write.
func (n *Node) Done() <-chan struct{} { return n.done }

// Stop hands leadership over if the node leads, then stops it.
func (n *Node) Stop() {
	select {
	case n.inspect <- func() { n.handOver() }:
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
		var joined bool
		restored, joined = n.form(initial)
		if !joined {
			return
		}
	}
	seed := n.options.seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	n.core = NewCore(Config{
		ID: n.id, HeartbeatInterval: n.options.heartbeatInterval,
		ElectionTimeout: n.options.electionTimeout, MaxBatchBytes: DefaultMaxBatchBytes,
		Random: rand.New(rand.NewPCG(seed, seed)), Clock: n.options.clock,
	}, restored, time.Now())
	n.applied = restored.Snapshot.Index
	n.loop()
}

func (n *Node) loop() {
	ticker := time.NewTicker(n.options.heartbeatInterval / ticksPerHeartbeat)
	defer ticker.Stop()
	if len(n.core.membership.Voters) == 1 {
		n.core.deadline = n.core.clock
		n.handle(n.core.Tick(time.Now()), nil)
	}
	for n.failure == nil {
		select {
		case <-n.stop:
			return
		case now := <-ticker.C:
			n.handle(n.core.Tick(now), nil)
		case in := <-n.messages:
			n.handle(n.core.Step(in.message, time.Now()), &in)
		case p := <-n.proposals:
			n.takeProposal(p)
		case reader := <-n.reads:
			n.nextRead++
			n.readers[n.nextRead] = reader
			n.handle(n.core.Read(n.nextRead, time.Now()), nil)
		case ask := <-n.inspect:
			ask()
		}
	}
}

func (n *Node) takeProposal(p proposal) {
	var entry Entry
	var out Output
	var err error
	if p.change != nil {
		entry, out, err = n.core.ProposeChange(*p.change, time.Now())
	} else {
		entry, out, err = n.core.Propose(p.data, time.Now())
	}
	if err == nil {
		n.waiters[entry.Index] = waiter{term: entry.Term, result: p.result}
	} else {
		p.result <- outcome{err: n.explain(err)}
	}
	n.handle(out, nil)
}

func (n *Node) explain(err error) error {
	if !eris.Is(err, ErrNotLeader) {
		return err
	}
	status := n.core.Status()
	leader := find(append(status.Membership.Voters, status.Membership.Learners...), status.Leader)
	if leader.ID == n.id {
		leader = Peer{}
	}
	return &NotLeaderError{Leader: leader}
}

// handle does what an output orders, in the order that Output states.
func (n *Node) handle(out Output, in *incoming) {
	if err := n.store.write(out, n.core.PersistentState); err != nil {
		n.failure = err
		return
	}
	if out.Snapshot != nil {
		if err := n.machine.restoreFrom(*out.Snapshot); err != nil {
			n.failure = err
			return
		}
		n.applied = out.Snapshot.Index
	}
	n.publish()
	n.deliver(out.Messages, in)
	for _, entry := range out.Committed {
		n.apply(entry)
	}
	n.publish()
	n.answerReads(out)
	n.failOldWaiters()
	n.compactIfLong()
}

func (n *Node) deliver(messages []Message, in *incoming) {
	var answers []Message
	for _, message := range messages {
		if in != nil && in.answers != nil && message.To == in.message.From {
			answers = append(answers, message)
			continue
		}
		n.enqueue(message)
	}
	in.reply(answers)
}

func (n *Node) apply(entry Entry) {
	n.applied = entry.Index
	var value any
	if entry.Kind == EntryCommand {
		value = n.machine.Apply(entry.Index, entry.Data)
	}
	w, waited := n.waiters[entry.Index]
	if !waited {
		return
	}
	delete(n.waiters, entry.Index)
	if w.term != entry.Term {
		w.result <- outcome{err: ErrOutcomeUnknown}
		return
	}
	w.result <- outcome{value: value}
}

func (n *Node) answerReads(out Output) {
	for _, token := range out.Reads {
		n.readers[token] <- outcome{}
		delete(n.readers, token)
	}
	for _, token := range out.FailedReads {
		n.readers[token] <- outcome{err: n.explain(ErrNotLeader)}
		delete(n.readers, token)
	}
}

// failOldWaiters tells callers whose leader has lost its office that nothing
// more can be said here.
func (n *Node) failOldWaiters() {
	if n.core.role == RoleLeader {
		return
	}
	for index, w := range n.waiters {
		w.result <- outcome{err: ErrOutcomeUnknown}
		delete(n.waiters, index)
	}
}

func (n *Node) compactIfLong() {
	if n.applied-n.core.log.snapshot.Index < uint64(n.options.compactEntries) {
		return
	}
	data, err := n.machine.Snapshot()
	if err != nil {
		n.failure = fmt.Errorf("make snapshot: %w", err)
		return
	}
	n.core.Compact(n.applied, data)
	if err := n.store.compact(n.core.PersistentState()); err != nil {
		n.failure = err
	}
}

func (n *Node) handOver() {
	if n.core == nil {
		return
	}
	n.handle(n.core.TransferLeadership(), nil)
}
