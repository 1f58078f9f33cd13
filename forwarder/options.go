package forwarder

import "time"

const (
	// DefaultPollInterval is the time between two questions who leads.
	DefaultPollInterval = 500 * time.Millisecond
	// DefaultReadyTimeout is the time without an answer of the leader after which an
	// instance is not ready.
	DefaultReadyTimeout = 1500 * time.Millisecond
	// DefaultTryTimeout bounds the first try at reaching an instance.
	DefaultTryTimeout = 600 * time.Millisecond
	// DefaultLeaderTimeout is how long a call that has not left this instance waits
	// for a leader.
	DefaultLeaderTimeout = 50 * time.Millisecond
	// DefaultSearchInterval is the time between two searches while no leader is
	// known.
	DefaultSearchInterval = 100 * time.Millisecond
	// DefaultUnknownOutcomeTimeout is how long a call that may have been carried out
	// is asked again for.
	DefaultUnknownOutcomeTimeout = 900 * time.Millisecond
	// DefaultRetryDelay lies between two tries.
	DefaultRetryDelay = 20 * time.Millisecond
	// DefaultRetryAfter is when a refused caller is told to come back.
	DefaultRetryAfter = time.Second
)

type options struct {
	pollInterval time.Duration
	// searchInterval is the interval while no leader is known.
	searchInterval time.Duration
	readyTimeout   time.Duration
	tryTimeout     time.Duration
	leaderTimeout  time.Duration
	// unknownOutcomeTimeout is at least patience.
	unknownOutcomeTimeout time.Duration
	retryDelay            time.Duration
	retryAfter            time.Duration
}

// Option changes how a forwarder works.
type Option func(*options)

func newOptions(opts ...Option) options {
	o := options{
		pollInterval: DefaultPollInterval, searchInterval: DefaultSearchInterval, readyTimeout: DefaultReadyTimeout, tryTimeout: DefaultTryTimeout,
		leaderTimeout: DefaultLeaderTimeout, unknownOutcomeTimeout: DefaultUnknownOutcomeTimeout, retryDelay: DefaultRetryDelay, retryAfter: DefaultRetryAfter,
	}
	for _, apply := range opts {
		apply(&o)
	}
	return o
}

// LeaderTimeout sets how long a call that has not left this instance waits for a
// leader.
func LeaderTimeout(timeout time.Duration) Option {
	return func(o *options) { o.leaderTimeout = timeout }
}

// PollInterval sets the time between two questions who leads.
func PollInterval(interval time.Duration) Option {
	return func(o *options) { o.pollInterval = interval }
}
