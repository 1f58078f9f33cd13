package kernel

import (
	"time"

	"go.uber.org/fx"
)

// DefaultStartTimeout bounds the start of all plug-ins together.
const DefaultStartTimeout = 30 * time.Second

// DefaultStopTimeout bounds the stop of all plug-ins together. It is long enough
// for the longest request in progress to finish.
const DefaultStopTimeout = 10 * time.Minute

type options struct {
	startTimeout time.Duration
	stopTimeout  time.Duration
	extra        []fx.Option
}

// Option configures a Kernel.
type Option func(*options)

func newOptions(opts ...Option) options {
	o := options{startTimeout: DefaultStartTimeout, stopTimeout: DefaultStopTimeout}
	for _, apply := range opts {
		apply(&o)
	}
	return o
}

// With adds fx options besides those of the plug-ins, such as loaded settings.
func With(extra ...fx.Option) Option {
	return func(o *options) { o.extra = append(o.extra, extra...) }
}

// StopTimeout bounds the stop of all plug-ins together.
func StopTimeout(limit time.Duration) Option {
	return func(o *options) { o.stopTimeout = limit }
}
