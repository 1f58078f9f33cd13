package daemon

import (
	"net"

	"github.com/go-kit/log"

	"cranberrystack.dev/cranberryd/server"
	"cranberrystack.dev/cranberrystack/messenger"
)

type options struct {
	logger log.Logger
	listen server.Listen
	dial   messenger.Dial
}

// Option configures New.
type Option func(*options)

func newOptions(opts ...Option) options {
	dialer := &net.Dialer{}
	o := options{logger: log.NewNopLogger(), listen: Listener, dial: dialer.DialContext}
	for _, apply := range opts {
		apply(&o)
	}
	return o
}

// Logger sets the logger of events. By default events are discarded.
func Logger(logger log.Logger) Option {
	return func(o *options) { o.logger = logger }
}

// Network sets how the process listens and dials. By default it uses the network of
// the operating system.
func Network(listen server.Listen, dial messenger.Dial) Option {
	return func(o *options) {
		o.listen = listen
		o.dial = dial
	}
}
