package dispatcher

import (
	"time"

	"cranberrystack.dev/cranberrystack/connector"
	"cranberrystack.dev/cranberrystack/identifier"
	"cranberrystack.dev/cranberrystack/limiter"
)

const (
	// DefaultRefreshInterval is the time between two looks at upstreams and lists.
	DefaultRefreshInterval = 100 * time.Millisecond
	// DefaultShutdownRetryAfter is when a caller refused by a stopping instance may
	// come back.
	DefaultShutdownRetryAfter = 200 * time.Millisecond
	// DefaultMaxOverrun is how long a non-idempotent request is followed beyond
	// its deadline, so that its answer can be kept.
	DefaultMaxOverrun = 30 * time.Second
)

const (
	claimRetries         = 4
	claimRetryBackoff    = 20 * time.Millisecond
	claimPollInterval    = 40 * time.Millisecond
	resolveTimeout       = 5 * time.Second
	inProgressRetryAfter = 200 * time.Millisecond
)

type options struct {
	refreshInterval    time.Duration
	shutdownRetryAfter time.Duration
	maxOverrun         time.Duration
	limiterOptions     []limiter.Option
	connectorOptions   []connector.Option
	liveEntries        func() []identifier.InstanceID
}

// Option changes how a dispatcher behaves.
type Option func(*options)

func newOptions(opts ...Option) options {
	o := options{refreshInterval: DefaultRefreshInterval, shutdownRetryAfter: DefaultShutdownRetryAfter, maxOverrun: DefaultMaxOverrun}
	for _, apply := range opts {
		apply(&o)
	}
	return o
}

// LimiterOptions passes options on to the limiter.
func LimiterOptions(opts ...limiter.Option) Option {
	return func(o *options) { o.limiterOptions = opts }
}

// ConnectorOptions passes options on to the connectors.
func ConnectorOptions(opts ...connector.Option) Option {
	return func(o *options) { o.connectorOptions = opts }
}
