package forwarder

import "time"

const (
	// DefaultPollInterval is the time between two polls of the leader.
	DefaultPollInterval = 500 * time.Millisecond
	// DefaultReadyTimeout is the time since the leader's last response after which
	// an instance is not ready.
	DefaultReadyTimeout = 1500 * time.Millisecond
	// DefaultAttemptTimeout bounds each status poll and the first attempt of a call.
	// For a call it is doubled after each attempt that times out.
	DefaultAttemptTimeout = 600 * time.Millisecond
	// DefaultLeaderTimeout is how long a call that was not sent, or changes
	// nothing, waits for a leader.
	DefaultLeaderTimeout = 50 * time.Millisecond
	// DefaultSearchInterval is the time between two searches while no leader is
	// known.
	DefaultSearchInterval = 100 * time.Millisecond
	// DefaultUnknownOutcomeTimeout is how long a call that may have been carried
	// out is sent again.
	DefaultUnknownOutcomeTimeout = 900 * time.Millisecond
	// DefaultRetryDelay is the time between two attempts, except the first two.
	DefaultRetryDelay = 20 * time.Millisecond
	// DefaultRetryAfter is the time after which a refused caller should retry.
	DefaultRetryAfter = time.Second
)

type options struct {
	pollInterval time.Duration
	// searchInterval replaces pollInterval while no leader is known.
	searchInterval time.Duration
	readyTimeout   time.Duration
	attemptTimeout time.Duration
	leaderTimeout  time.Duration
	// unknownOutcomeTimeout has no option; a LeaderTimeout above it does not
	// extend it.
	unknownOutcomeTimeout time.Duration
	retryDelay            time.Duration
	retryAfter            time.Duration
}

// Option changes a setting of a forwarder.
type Option func(*options)

func newOptions(opts ...Option) options {
	o := options{
		pollInterval: DefaultPollInterval, searchInterval: DefaultSearchInterval, readyTimeout: DefaultReadyTimeout, attemptTimeout: DefaultAttemptTimeout,
		leaderTimeout: DefaultLeaderTimeout, unknownOutcomeTimeout: DefaultUnknownOutcomeTimeout, retryDelay: DefaultRetryDelay, retryAfter: DefaultRetryAfter,
	}
	for _, apply := range opts {
		apply(&o)
	}
	return o
}

// LeaderTimeout sets how long a call that was not sent, or changes nothing, waits
// for a leader.
func LeaderTimeout(timeout time.Duration) Option {
	return func(o *options) { o.leaderTimeout = timeout }
}

// PollInterval sets the time between two polls of the leader.
func PollInterval(interval time.Duration) Option {
	return func(o *options) { o.pollInterval = interval }
}
