package logger

import "time"

const (
	// DefaultRate is the limit of lines per second.
	DefaultRate = 400
	// DefaultQueue is the maximum number of lines queued for a slow writer.
	DefaultQueue = 1024
	// DefaultCloseTimeout bounds how long Close waits for queued lines.
	DefaultCloseTimeout = 500 * time.Millisecond
)

type options struct {
	rate         float64
	queue        int
	closeTimeout time.Duration
}

// Option configures a Logger.
type Option func(*options)

func newOptions(opts ...Option) options {
	o := options{rate: DefaultRate, queue: DefaultQueue, closeTimeout: DefaultCloseTimeout}
	for _, apply := range opts {
		apply(&o)
	}
	return o
}

// Rate sets the limit of lines per second.
func Rate(lines int) Option {
	return func(o *options) { o.rate = float64(lines) }
}

// Queue sets the maximum number of lines queued for a slow writer.
func Queue(lines int) Option {
	return func(o *options) { o.queue = lines }
}
