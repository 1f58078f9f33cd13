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
	interval time.Duration
	// search is the interval while no leader is known.
	search     time.Duration
	silence    time.Duration
	tryTimeout time.Duration
	patience   time.Duration
	// unknownPatience is at least patience.
	unknownPatience time.Duration
	pause           time.Duration
	retryAfter      time.Duration
}

// Option changes how a forwarder works.
type Option func(*options)

func newOptions(opts ...Option) options {
	o := options{
		interval: DefaultPollInterval, search: DefaultSearchInterval, silence: DefaultReadyTimeout, tryTimeout: DefaultTryTimeout,
		patience: DefaultLeaderTimeout, unknownPatience: DefaultUnknownOutcomeTimeout, pause: DefaultRetryDelay, retryAfter: DefaultRetryAfter,
	}
	for _, apply := range opts {
		apply(&o)
	}
	return o
}

// LeaderTimeout sets how long a call that has not left this instance waits for a
// leader.
func LeaderTimeout(patience time.Duration) Option {
	return func(o *options) { o.patience = patience }
}

// PollInterval sets the time between two questions who leads.
func PollInterval(interval time.Duration) Option {
	return func(o *options) { o.interval = interval }
}
