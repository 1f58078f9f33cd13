package connector

import "time"

const (
	// DefaultDialTimeout bounds the opening of a connection.
	DefaultDialTimeout = 500 * time.Millisecond
	// DefaultAcceptTimeout bounds the wait for the first sign of life.
	DefaultAcceptTimeout = 600 * time.Millisecond
	// DefaultProgressTimeout bounds the wait between two signs of life.
	DefaultProgressTimeout = 3 * time.Second
	// DefaultMaxIdle is the age from which an idle connection is not reused.
	DefaultMaxIdle = time.Second
	// DefaultResolveInterval is the time between two questions about an attempt.
	DefaultResolveInterval = 100 * time.Millisecond
	// DefaultMaxResponseBytes bounds an answer's body.
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

// Option changes how a connector behaves.
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

// MaxResponseBytes bounds an answer's body.
func MaxResponseBytes(limit int64) Option {
	return func(o *options) { o.maxResponseBytes = limit }
}
