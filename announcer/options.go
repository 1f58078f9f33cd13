package announcer

import "time"

const (
	// DefaultInterval is the time between two probes from one instance.
	DefaultInterval = time.Second
	// DefaultTimeout is the time that a probe may take.
	DefaultTimeout = 500 * time.Millisecond
	// DefaultSuspectTimeout is the time from suspicion to death.
	DefaultSuspectTimeout = 3 * time.Second
	// DefaultUnheardTimeout is the time without answers after which an
	// instance that hears others holds itself for unheard.
	DefaultUnheardTimeout = 5 * time.Second
	// DefaultRepeats is how often an update is passed on.
	DefaultRepeats = 8
)

type options struct {
	interval       time.Duration
	timeout        time.Duration
	suspectTimeout time.Duration
	unheardTimeout time.Duration
	repeats        int
}

// Option changes how an announcer runs.
type Option func(*options)

func newOptions(opts ...Option) options {
	o := options{
		interval: DefaultInterval, timeout: DefaultTimeout,
		suspectTimeout: DefaultSuspectTimeout, unheardTimeout: DefaultUnheardTimeout,
		repeats: DefaultRepeats,
	}
	for _, apply := range opts {
		apply(&o)
	}
	return o
}

// Interval sets the time between two probes.
func Interval(interval time.Duration) Option {
	return func(o *options) { o.interval = interval }
}

// SuspectTimeout sets the time from suspicion to death.
func SuspectTimeout(timeout time.Duration) Option {
	return func(o *options) { o.suspectTimeout = timeout }
}
