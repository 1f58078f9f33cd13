package announcer

import "time"

const (
	// DefaultProbeInterval is the time between two probes from one instance.
	DefaultProbeInterval = time.Second
	// DefaultProbeTimeout is the time that a probe may take.
	DefaultProbeTimeout = 500 * time.Millisecond
	// DefaultSuspectTimeout is the time from suspicion to death.
	DefaultSuspectTimeout = 3 * time.Second
	// DefaultIsolationTimeout is the time without answers after which an
	// instance that hears others holds itself for unheard.
	DefaultIsolationTimeout = 5 * time.Second
	// DefaultRetransmits is how often an update is passed on.
	DefaultRetransmits = 8
)

type options struct {
	probeInterval    time.Duration
	probeTimeout     time.Duration
	suspectTimeout   time.Duration
	isolationTimeout time.Duration
	retransmits      int
}

// Option changes how an announcer runs.
type Option func(*options)

func newOptions(opts ...Option) options {
	o := options{
		probeInterval: DefaultProbeInterval, probeTimeout: DefaultProbeTimeout,
		suspectTimeout: DefaultSuspectTimeout, isolationTimeout: DefaultIsolationTimeout,
		retransmits: DefaultRetransmits,
	}
	for _, apply := range opts {
		apply(&o)
	}
	return o
}

// ProbeInterval sets the time between two probes.
func ProbeInterval(interval time.Duration) Option {
	return func(o *options) { o.probeInterval = interval }
}

// SuspectTimeout sets the time from suspicion to death.
func SuspectTimeout(timeout time.Duration) Option {
	return func(o *options) { o.suspectTimeout = timeout }
}
