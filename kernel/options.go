package kernel

import (
	"time"

	"go.uber.org/fx"
)

// DefaultStartTimeout bounds Kernel.Start.
const DefaultStartTimeout = 30 * time.Second

// DefaultStopTimeout bounds Kernel.Stop. It is long enough for the longest request
// in progress to finish.
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

// StopTimeout replaces DefaultStopTimeout.
func StopTimeout(limit time.Duration) Option {
	return func(o *options) { o.stopTimeout = limit }
}
