package overseer

import (
	"time"

	"cranberrystack.dev/cranberrystack/placer"
)

const (
	// DefaultTickInterval is the time between two looks at timeouts.
	DefaultTickInterval = 200 * time.Millisecond
	// DefaultOwnershipCheckInterval is the time between two looks at who owns.
	DefaultOwnershipCheckInterval = 300 * time.Millisecond
	// DefaultCommitTimeout bounds the wait for the log and for copies.
	DefaultCommitTimeout = 5 * time.Second
	// DefaultPoolReportInterval is the time between two reports of the pool.
	DefaultPoolReportInterval = 45 * time.Second
)

const (
	copyTimeout = 500 * time.Millisecond
	// fullStateTimeout bounds the passing on of all jobs.
	fullStateTimeout = 10 * time.Second
	// standbyBackoffTime is how long a standby is left out after a failure.
	standbyBackoffTime = 3 * time.Second
)

type options struct {
	tickInterval           time.Duration
	ownershipCheckInterval time.Duration
	commitTimeout          time.Duration
	poolReportInterval     time.Duration
	engineOptions          []placer.Option
}

// Option changes how an overseer runs.
type Option func(*options)

func newOptions(opts ...Option) options {
	o := options{
		tickInterval: DefaultTickInterval, ownershipCheckInterval: DefaultOwnershipCheckInterval,
		commitTimeout: DefaultCommitTimeout, poolReportInterval: DefaultPoolReportInterval,
	}
	for _, apply := range opts {
		apply(&o)
	}
	return o
}

// EngineOptions passes options on to the engine.
func EngineOptions(opts ...placer.Option) Option {
	return func(o *options) { o.engineOptions = append(o.engineOptions, opts...) }
}
