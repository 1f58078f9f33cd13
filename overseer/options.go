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
	// fullTimeout bounds the passing on of all jobs.
	fullTimeout = 10 * time.Second
	// skipTime is how long a standby is left out after a failure.
	skipTime = 3 * time.Second
)

type options struct {
	tick          time.Duration
	ownerInterval time.Duration
	claimTimeout  time.Duration
	poolInterval  time.Duration
	engine        []placer.Option
}

// Option changes how an overseer runs.
type Option func(*options)

func newOptions(opts ...Option) options {
	o := options{
		tick: DefaultTickInterval, ownerInterval: DefaultOwnershipCheckInterval,
		claimTimeout: DefaultCommitTimeout, poolInterval: DefaultPoolReportInterval,
	}
	for _, apply := range opts {
		apply(&o)
	}
	return o
}

// EngineOptions passes options on to the engine.
func EngineOptions(opts ...placer.Option) Option {
	return func(o *options) { o.engine = append(o.engine, opts...) }
}
