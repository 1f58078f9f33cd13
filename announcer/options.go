package announcer

import "time"

const (
	// DefaultProbeInterval is the time between two probes from one instance.
	DefaultProbeInterval = time.Second
	// DefaultProbeTimeout is the timeout of a probe.
	DefaultProbeTimeout = 500 * time.Millisecond
	// DefaultSuspectTimeout is the time after which a suspect instance counts
	// as dead.
	DefaultSuspectTimeout = 3 * time.Second
	// DefaultIsolationTimeout is the time without responses after which an
	// instance that still receives probes counts itself as isolated.
	DefaultIsolationTimeout = 5 * time.Second
	// DefaultRetransmits is the number of messages in which an update is passed on.
	DefaultRetransmits = 8
)

type options struct {
	probeInterval    time.Duration
	probeTimeout     time.Duration
	suspectTimeout   time.Duration
	isolationTimeout time.Duration
	retransmits      int
}

// Option changes a setting of an announcer.
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

// ProbeInterval sets the time between two probes from this instance.
func ProbeInterval(interval time.Duration) Option {
	return func(o *options) { o.probeInterval = interval }
}

// SuspectTimeout sets the time after which a suspect instance counts as dead.
func SuspectTimeout(timeout time.Duration) Option {
	return func(o *options) { o.suspectTimeout = timeout }
}
