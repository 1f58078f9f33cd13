// Package daemon assembles a process with the roles entry, control and placement
// from its settings.
package daemon

import (
	"context"
	"fmt"
	"net"

	"github.com/go-kit/log"
	"go.uber.org/fx"

	"cranberrystack.dev/cranberryd/control"
	_ "cranberrystack.dev/cranberryd/entry" // registers the entry plug-in
	"cranberrystack.dev/cranberryd/loader"
	"cranberrystack.dev/cranberryd/membership"
	"cranberrystack.dev/cranberryd/operator"
	_ "cranberrystack.dev/cranberryd/placement" // registers the placement plug-in
	"cranberrystack.dev/cranberryd/server"
	"cranberrystack.dev/cranberrystack/configurer"
	"cranberrystack.dev/cranberrystack/kernel"
	"cranberrystack.dev/cranberrystack/messenger"
	"cranberrystack.dev/cranberrystack/recorder"
)

// Daemon is one process of the system.
type Daemon struct {
	kernel   *kernel.Kernel
	server   *server.Server
	recorder *recorder.Recorder
	replica  *configurer.ViewReplica
	failed   chan error
}

// New assembles a process, recovers its state from disk and, with the control role,
// starts the node of the log. Everything else begins with Start.
func New(settings *loader.Settings, opts ...Option) (*Daemon, error) {
	o := newOptions(opts...)
	d := &Daemon{failed: make(chan error, 1)}
	roles := append([]string(nil), settings.Roles...)
	k, err := kernel.New(roles,
		kernel.With(
			fx.Supply(settings),
			fx.Provide(
				func() log.Logger { return o.logger },
				func() messenger.Dial { return o.dial },
				func() server.Listen { return o.listen },
				func() control.OnFailure { return d.reportFailure },
			),
			membership.Option,
			operator.Option,
			fx.Populate(&d.server, &d.recorder, &d.replica),
		))
	if err != nil {
		return nil, fmt.Errorf("assemble instance %s: %w", settings.Instance, err)
	}
	d.kernel = k
	return d, nil
}

// reportFailure sends the first failure to the channel of Failed and drops later
// ones.
func (d *Daemon) reportFailure(err error) {
	select {
	case d.failed <- err:
	default:
	}
}

// Start starts the components and the server of the process.
func (d *Daemon) Start(ctx context.Context) error {
	return d.kernel.Start(ctx)
}

// Stop makes the process unready, lets requests in progress finish, refuses new
// ones as not run, and then stops all components.
func (d *Daemon) Stop(ctx context.Context) error {
	d.server.SetStopping()
	return d.kernel.Stop(ctx)
}

// Failed returns a channel that receives the first error after which the process
// can't continue.
func (d *Daemon) Failed() <-chan error { return d.failed }

// Ready returns the reason why the process is not ready, or nil if it is.
func (d *Daemon) Ready() error { return d.server.Ready() }

// Lists returns the view of the replicated lists that the process applies.
func (d *Daemon) Lists() configurer.View { return d.replica.View() }

// Recorder returns the histograms and counters of the process.
func (d *Daemon) Recorder() *recorder.Recorder { return d.recorder }

// Listener opens a TCP listener. It is the default of Network's listen.
func Listener(address string) (net.Listener, error) {
	return net.Listen("tcp", address)
}
