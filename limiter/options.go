package limiter

import "time"

const (
	// DefaultQueueLength bounds the waiting requests of one plan.
	DefaultQueueLength = 1024
	// DefaultTotalQueueLength bounds the waiting requests of all plans.
	DefaultTotalQueueLength = 4096
	// DefaultOverdueFactor is the multiple of its expected run time after which
	// short work is overdue and counts as long.
	DefaultOverdueFactor = 8
	// DefaultMinOverdue is the shortest run time after which short work is
	// overdue.
	DefaultMinOverdue = 250 * time.Millisecond
	// DefaultMinRetryAfter is the shortest retry-after time of an overload
	// refusal.
	DefaultMinRetryAfter = 100 * time.Millisecond
	// DefaultNoUpstreamRetryAfter is the retry-after time of a refusal because
	// there is no upstream.
	DefaultNoUpstreamRetryAfter = time.Second
)

const (
	// The safety margin before a deadline is the expected run time divided by
	// marginDivisor, plus minMargin, and at most maxMargin.
	marginDivisor = 8
	minMargin     = 4 * time.Millisecond
	maxMargin     = time.Second
	// shortSlotsSmoothing is the weight of one tick in the moving average of the
	// slots that short work holds.
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

// Option configures a Core.
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
