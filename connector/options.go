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
	// DefaultAskInterval is the time between two questions about an attempt.
	DefaultAskInterval = 100 * time.Millisecond
	// DefaultMaxAnswerBytes bounds an answer's body.
	DefaultMaxAnswerBytes = 1 << 20
)

type options struct {
	dialTimeout     time.Duration
	acceptTimeout   time.Duration
	progressTimeout time.Duration
	maxIdle         time.Duration
	askInterval     time.Duration
	maxAnswerBytes  int64
}

// Option changes how a connector behaves.
type Option func(*options)

func newOptions(opts ...Option) options {
	o := options{
		dialTimeout: DefaultDialTimeout, acceptTimeout: DefaultAcceptTimeout,
		progressTimeout: DefaultProgressTimeout, maxIdle: DefaultMaxIdle,
		askInterval: DefaultAskInterval, maxAnswerBytes: DefaultMaxAnswerBytes,
	}
	for _, apply := range opts {
		apply(&o)
	}
	return o
}

// MaxAnswerBytes bounds an answer's body.
func MaxAnswerBytes(limit int64) Option {
	return func(o *options) { o.maxAnswerBytes = limit }
}
