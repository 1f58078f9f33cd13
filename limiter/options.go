package limiter

import "time"

const (
	// DefaultQueueLength bounds the waiting requests of one plan.
	DefaultQueueLength = 1024
	// DefaultTotalQueueLength bounds the waiting requests of all plans.
	DefaultTotalQueueLength = 4096
	// DefaultOverdueFactor is the multiple of its expected run time from
	// which short work counts as long.
	DefaultOverdueFactor = 8
	// DefaultMinOverdue is the least run time from which short work counts
	// as long.
	DefaultMinOverdue = 250 * time.Millisecond
	// DefaultMinRetryAfter is the least time after which a refused caller is
	// asked to come back.
	DefaultMinRetryAfter = 100 * time.Millisecond
	// DefaultNoUpstreamRetryAfter is when to come back if there is no upstream.
	DefaultNoUpstreamRetryAfter = time.Second
)

const (
	// marginDivisor gives the part of the expected run time that is kept back
	// before a deadline, marginFloor the least and maxMargin the most.
	marginDivisor = 8
	minMargin     = 4 * time.Millisecond
	maxMargin     = time.Second
	// shortSlotsSmoothing is the part that one tick takes in the mean use by short
	// work.
	shortSlotsSmoothing = 0.02
)

type options struct {
	queueLength          int
	totalQueueLength     int
	overdueFactor        time.Duration
	minOverdue           time.Duration
	minRetryAfter        time.Duration
	noUpstreamRetryAfter time.Duration
}

// Option changes how a core decides.
type Option func(*options)

func newOptions(opts ...Option) options {
	o := options{
		queueLength: DefaultQueueLength, totalQueueLength: DefaultTotalQueueLength,
		overdueFactor: DefaultOverdueFactor, minOverdue: DefaultMinOverdue,
		minRetryAfter: DefaultMinRetryAfter, noUpstreamRetryAfter: DefaultNoUpstreamRetryAfter,
	}
	for _, apply := range opts {
		apply(&o)
	}
	return o
}

// QueueLength bounds the waiting requests of one plan.
func QueueLength(length int) Option {
	return func(o *options) { o.queueLength = length }
}
