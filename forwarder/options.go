package forwarder

import "time"

const (
	// DefaultInterval is the time between two questions who leads.
	DefaultInterval = 500 * time.Millisecond
	// DefaultSilence is the time without an answer of the leader after which an
	// instance is not ready.
	DefaultSilence = 1500 * time.Millisecond
	// DefaultTryTimeout bounds the first try at reaching an instance.
	DefaultTryTimeout = 600 * time.Millisecond
	// DefaultPatience is how long a call that has not left this instance waits
	// for a leader.
	DefaultPatience = 50 * time.Millisecond
	// DefaultSearchInterval is the time between two searches while no leader is
	// known.
	DefaultSearchInterval = 100 * time.Millisecond
	// DefaultUnknownPatience is how long a call that may have been carried out
	// is asked again for.
	DefaultUnknownPatience = 900 * time.Millisecond
	// DefaultPause lies between two tries.
	DefaultPause = 20 * time.Millisecond
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
		interval: DefaultInterval, search: DefaultSearchInterval, silence: DefaultSilence, tryTimeout: DefaultTryTimeout,
		patience: DefaultPatience, unknownPatience: DefaultUnknownPatience, pause: DefaultPause, retryAfter: DefaultRetryAfter,
	}
	for _, apply := range opts {
		apply(&o)
	}
	return o
}

// Patience sets how long a call that has not left this instance waits for a
// leader.
func Patience(patience time.Duration) Option {
	return func(o *options) { o.patience = patience }
}

// Interval sets the time between two questions who leads.
func Interval(interval time.Duration) Option {
	return func(o *options) { o.interval = interval }
}
