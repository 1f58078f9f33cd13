package overseer

import (
	"time"

	"cranberrystack.dev/cranberrystack/placer"
)

const (
	// DefaultTick is the time between two looks at timeouts.
	DefaultTick = 200 * time.Millisecond
	// DefaultOwnerInterval is the time between two looks at who owns.
	DefaultOwnerInterval = 300 * time.Millisecond
	// DefaultClaimTimeout bounds the wait for the log and for copies.
	DefaultClaimTimeout = 5 * time.Second
	// DefaultPoolInterval is the time between two reports of the pool.
	DefaultPoolInterval = 45 * time.Second
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
		tick: DefaultTick, ownerInterval: DefaultOwnerInterval,
		claimTimeout: DefaultClaimTimeout, poolInterval: DefaultPoolInterval,
	}
	for _, apply := range opts {
		apply(&o)
	}
	return o
}

// Engine passes options on to the engine.
func Engine(opts ...placer.Option) Option {
	return func(o *options) { o.engine = append(o.engine, opts...) }
}
