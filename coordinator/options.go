package coordinator

import (
	"time"

	"cranberrystack.dev/cranberrystack/replicator"
)

const (
	// DefaultMaxLease bounds a worker's lease.
	DefaultMaxLease = 6 * time.Second
	// DefaultStartLease is the time in which a start is accepted and for which
	// it holds the worker's lease.
	DefaultStartLease = 2500 * time.Millisecond
	// DefaultContactTimeout is the time without a sign of life from which a worker
	// gets no new runs.
	DefaultContactTimeout = 4 * time.Second
	// DefaultCallTimeout bounds an order to a worker.
	DefaultCallTimeout = 500 * time.Millisecond
	// DefaultDutyLease is how long a new leader leaves orders about machines to
	// the one before it.
	DefaultDutyLease = 3 * time.Second
	// DefaultTick is the time between two looks at what is due.
	DefaultTick = 100 * time.Millisecond
	// DefaultIdleTick is that time while there is no work.
	DefaultIdleTick = 250 * time.Millisecond
)

const (
	commitTimeout    = 5 * time.Second
	announceInterval = 500 * time.Millisecond
	maxBatch         = 256
)

type options struct {
	maxLease       time.Duration
	startLease     time.Duration
	contactTimeout time.Duration
	callTimeout    time.Duration
	dutyLease      time.Duration
	tick           time.Duration
	idleTick       time.Duration
	clock          func() time.Duration
	logOptions     []replicator.Option
}

// Option changes how a coordinator works.
type Option func(*options)

func newOptions(opts ...Option) options {
	start := time.Now()
	o := options{
		maxLease: DefaultMaxLease, startLease: DefaultStartLease,
		contactTimeout: DefaultContactTimeout, callTimeout: DefaultCallTimeout, dutyLease: DefaultDutyLease,
		tick: DefaultTick, idleTick: DefaultIdleTick,
		clock: func() time.Duration { return time.Since(start) },
	}
	for _, apply := range opts {
		apply(&o)
	}
	return o
}

// MaxLease sets the bound of a worker's lease.
func MaxLease(lease time.Duration) Option {
	return func(o *options) { o.maxLease = lease }
}

// DutyLease sets how long a new leader leaves orders about machines to the one
// before it.
func DutyLease(lease time.Duration) Option {
	return func(o *options) { o.dutyLease = lease }
}

// Clock sets the clock that also counts the time in which the instance was
// suspended.
func Clock(clock func() time.Duration) Option {
	return func(o *options) { o.clock = clock }
}

// LogOptions passes options on to the replicated log.
func LogOptions(opts ...replicator.Option) Option {
	return func(o *options) { o.logOptions = opts }
}
