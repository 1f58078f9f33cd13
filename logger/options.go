package logger

import "time"

const (
	// DefaultRate is how many lines a second are written at most.
	DefaultRate = 400
	// DefaultQueue is how many lines wait for a slow reader at most.
	DefaultQueue = 1024
	// DefaultCloseTimeout bounds the writing of what is queued at the end.
	DefaultCloseTimeout = 500 * time.Millisecond
)

type options struct {
	rate         float64
	queue        int
	closeTimeout time.Duration
}

// Option changes how a logger works.
type Option func(*options)

func newOptions(opts ...Option) options {
	o := options{rate: DefaultRate, queue: DefaultQueue, closeTimeout: DefaultCloseTimeout}
	for _, apply := range opts {
		apply(&o)
	}
	return o
}

// Rate sets how many lines a second are written at most.
func Rate(lines int) Option {
	return func(o *options) { o.rate = float64(lines) }
}

// Queue sets how many lines wait for a slow reader at most.
func Queue(lines int) Option {
	return func(o *options) { o.queue = lines }
}
