package dispatcher

import (
	"time"

	"cranberrystack.dev/cranberrystack/connector"
	"cranberrystack.dev/cranberrystack/identifier"
	"cranberrystack.dev/cranberrystack/limiter"
)

const (
	// DefaultTick is the time between two looks at upstreams and lists.
	DefaultTick = 100 * time.Millisecond
	// DefaultStoppingWait is when a caller refused by a stopping instance may
	// come back.
	DefaultStoppingWait = 200 * time.Millisecond
	// DefaultOverrun is how long a non-idempotent request is followed beyond
	// its deadline, so that its answer can be kept.
	DefaultOverrun = 30 * time.Second
)

const (
	claimRetries     = 4
	claimRetryWait   = 20 * time.Millisecond
	followInterval   = 40 * time.Millisecond
	maxResolveTime   = 5 * time.Second
	inProgressReturn = 200 * time.Millisecond
)

type options struct {
	tick         time.Duration
	stoppingWait time.Duration
	overrun      time.Duration
	limits       []limiter.Option
	connectors   []connector.Option
	entries      func() []identifier.InstanceID
}

// Option changes how a dispatcher behaves.
type Option func(*options)

func newOptions(opts ...Option) options {
	o := options{tick: DefaultTick, stoppingWait: DefaultStoppingWait, overrun: DefaultOverrun}
	for _, apply := range opts {
		apply(&o)
	}
	return o
}

// Limits passes options on to the limiter.
func Limits(opts ...limiter.Option) Option {
	return func(o *options) { o.limits = opts }
}

// Connectors passes options on to the connectors.
func Connectors(opts ...connector.Option) Option {
	return func(o *options) { o.connectors = opts }
}
