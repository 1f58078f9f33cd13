package connector

import "time"

const (
	// DefaultDialTimeout limits the time to open a connection.
	DefaultDialTimeout = 500 * time.Millisecond
	// DefaultAcceptTimeout limits the time to write a request and to receive its
	// first response, interim or final.
	DefaultAcceptTimeout = 600 * time.Millisecond
	// DefaultProgressTimeout limits the time between two responses, interim or
	// final, and the time to read the body of the final one.
	DefaultProgressTimeout = 3 * time.Second
	// DefaultMaxIdle is the time after its last use from which an idle connection
	// is not reused.
	DefaultMaxIdle = time.Second
	// DefaultResolveInterval is the time between two queries of an attempt's
	// outcome.
	DefaultResolveInterval = 100 * time.Millisecond
	// DefaultMaxResponseBytes limits the size of a response body.
	DefaultMaxResponseBytes = 1 << 20
)

type options struct {
	dialTimeout      time.Duration
	acceptTimeout    time.Duration
	progressTimeout  time.Duration
	maxIdle          time.Duration
	resolveInterval  time.Duration
	maxResponseBytes int64
}

// Option configures a connector.
type Option func(*options)

func newOptions(opts ...Option) options {
	o := options{
		dialTimeout: DefaultDialTimeout, acceptTimeout: DefaultAcceptTimeout,
		progressTimeout: DefaultProgressTimeout, maxIdle: DefaultMaxIdle,
		resolveInterval: DefaultResolveInterval, maxResponseBytes: DefaultMaxResponseBytes,
	}
	for _, apply := range opts {
		apply(&o)
	}
	return o
}

// MaxResponseBytes sets the maximum size of a response body.
func MaxResponseBytes(limit int64) Option {
	return func(o *options) { o.maxResponseBytes = limit }
}
