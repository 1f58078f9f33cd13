package replicator

import (
	"time"

	"cranberrystack.dev/cranberrystack/journaler"
)

const (
	// DefaultHeartbeatInterval is the time between two heartbeats of a leader.
	DefaultHeartbeatInterval = 500 * time.Millisecond
	// DefaultElectionTimeout is the least time without a leader before an
	// election.
	DefaultElectionTimeout = 2 * time.Second
	// DefaultMaxBatchBytes bounds the entries of one message.
	DefaultMaxBatchBytes = 256 << 10
	// DefaultCompactEntries is the number of entries behind the snapshot from
	// which a new snapshot is made.
	DefaultCompactEntries = 500
)

const (
	ticksPerHeartbeat = 4
	queueLength       = 64
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
}

// Option changes how a node runs.
type Option func(*options)

func newOptions(opts ...Option) options {
	o := options{
		heartbeatInterval: DefaultHeartbeatInterval,
		electionTimeout:   DefaultElectionTimeout,
		compactEntries:    DefaultCompactEntries,
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

// HeartbeatInterval sets the time between two heartbeats of a leader.
func HeartbeatInterval(interval time.Duration) Option {
	return func(o *options) { o.heartbeatInterval = interval }
}

// ElectionTimeout sets the least time without a leader before an election.
func ElectionTimeout(timeout time.Duration) Option {
	return func(o *options) { o.electionTimeout = timeout }
}

// CompactEntries sets after how many entries a snapshot is made.
func CompactEntries(count int) Option {
	return func(o *options) { o.compactEntries = count }
}

// JournalOptions passes options on to the journal.
func JournalOptions(opts ...journaler.Option) Option {
	return func(o *options) { o.journal = opts }
}

// Seed sets the seed of the random election timeouts.
func Seed(seed uint64) Option {
	return func(o *options) { o.seed = seed }
}

// FromSeeds makes a node find its group from seeds instead of a list of named
// first voters.
func FromSeeds(seeds Seeds) Option {
	return func(o *options) { o.seeds = &seeds }
}

// Clock sets the clock by which a leader measures whether it still leads. It
// must count the time in which the instance was suspended.
func Clock(clock func() time.Duration) Option {
	return func(o *options) { o.clock = clock }
}
