package replicator

import (
	"time"

	"cranberrystack.dev/cranberrystack/journaler"
)

const (
	// DefaultHeartbeatInterval is the time between two heartbeats of the leader.
	DefaultHeartbeatInterval = 500 * time.Millisecond
	// DefaultElectionTimeout is the minimum time without contact to a leader
	// before an election.
	DefaultElectionTimeout = 2 * time.Second
	// defaultMaxBatchBytes limits the data of the entries in one message.
	defaultMaxBatchBytes = 256 << 10
	// DefaultCompactEntries is the number of applied entries after the snapshot at
	// which a new snapshot is made.
	DefaultCompactEntries = 500
)

const (
	ticksPerHeartbeat = 4
	// queueLength is the capacity in messages of the receive queue and of each
	// peer's send queue.
	queueLength = 64
	// formationInterval is the time between two queries of the initial voters, and
	// the timeout of each query.
	formationInterval = 500 * time.Millisecond
)

type options struct {
	heartbeatInterval time.Duration
	electionTimeout   time.Duration
	compactEntries    int
	journal           []journaler.Option
	seed              uint64
	seeds             *Seeds
	clock             func() time.Duration
	// onCompactionPutOff is called in the event loop and must not block.
	onCompactionPutOff func(error)
}

// Option configures a node.
type Option func(*options)

func newOptions(opts ...Option) options {
	o := options{
		heartbeatInterval: DefaultHeartbeatInterval,
		electionTimeout:   DefaultElectionTimeout,
		compactEntries:    DefaultCompactEntries,

		onCompactionPutOff: func(error) {},
	}
	for _, apply := range opts {
		apply(&o)
	}
	if o.clock == nil {
		start := time.Now()
		o.clock = func() time.Duration { return time.Since(start) }
	}
	return o
}

// HeartbeatInterval sets the time between two heartbeats of the leader.
func HeartbeatInterval(interval time.Duration) Option {
	return func(o *options) { o.heartbeatInterval = interval }
}

// ElectionTimeout sets the minimum time without contact to a leader before an
// election.
func ElectionTimeout(timeout time.Duration) Option {
	return func(o *options) { o.electionTimeout = timeout }
}

// CompactEntries sets the number of applied entries after the snapshot at which a
// new snapshot is made.
func CompactEntries(count int) Option {
	return func(o *options) { o.compactEntries = count }
}

// JournalOptions sets the options of the node's journal.
func JournalOptions(opts ...journaler.Option) Option {
	return func(o *options) { o.journal = opts }
}

// OnCompactionPutOff sets a function that is called when a compaction could not be
// written and is tried again later. It must not block.
func OnCompactionPutOff(report func(error)) Option {
	return func(o *options) { o.onCompactionPutOff = report }
}

// RandomSeed sets the seed of the random election timeouts. With 0 the seed is
// itself random.
func RandomSeed(seed uint64) Option {
	return func(o *options) { o.seed = seed }
}

// FromSeeds makes a node find its group through seed addresses instead of a list
// of initial voters.
func FromSeeds(seeds Seeds) Option {
	return func(o *options) { o.seeds = &seeds }
}

// Clock sets the monotonic clock that the leader lease is measured with. It must
// include the time in which the instance was suspended. The default is Go's
// monotonic clock, which on Linux stands still while the machine is suspended.
func Clock(clock func() time.Duration) Option {
	return func(o *options) { o.clock = clock }
}
