package dispatcher

import (
	"time"

	"cranberrystack.dev/cranberrystack/connector"
	"cranberrystack.dev/cranberrystack/identifier"
	"cranberrystack.dev/cranberrystack/limiter"
)

const (
	// DefaultRefreshInterval is the time between two updates of the slots from
	// the upstreams and lists.
	DefaultRefreshInterval = 100 * time.Millisecond
	// DefaultShutdownRetryAfter is the retry-after time of a refusal by an
	// instance that is shutting down. It is also used when attempts at an
	// upstream failed or the upstream was removed.
	DefaultShutdownRetryAfter = 200 * time.Millisecond
	// DefaultMaxOverrun is how long a request with a key may run beyond its
	// deadline, so that its response can be stored.
	DefaultMaxOverrun = 30 * time.Second
)

const (
	// claimRetries bounds the retries of a contended claim.
	claimRetries = 4
	// claimRetryBackoff is the longest backoff before the first retry of a
	// contended claim; it doubles with every retry.
	claimRetryBackoff = 20 * time.Millisecond
	// claimPollInterval is the time between two polls of a claim that another
	// send holds.
	claimPollInterval = 40 * time.Millisecond
	// resolveTimeout bounds the query for an abandoned attempt's outcome.
	resolveTimeout = 5 * time.Second
	// inProgressRetryAfter is the retry-after time of refusals for a key whose
	// outcome is not known yet.
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

// Option configures a Dispatcher.
type Option func(*options)

func newOptions(opts ...Option) options {
	o := options{refreshInterval: DefaultRefreshInterval, shutdownRetryAfter: DefaultShutdownRetryAfter, maxOverrun: DefaultMaxOverrun}
	for _, apply := range opts {
		apply(&o)
	}
	return o
}

// LimiterOptions sets the options of the limiter.
func LimiterOptions(opts ...limiter.Option) Option {
	return func(o *options) { o.limiterOptions = opts }
}

// ConnectorOptions sets the options of the connectors to upstreams.
func ConnectorOptions(opts ...connector.Option) Option {
	return func(o *options) { o.connectorOptions = opts }
}
