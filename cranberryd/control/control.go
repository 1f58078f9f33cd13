// Package control is the plug-in of the control role, whose instances replicate
// the lists in a log.
package control

import (
	"context"
	"fmt"
	"path/filepath"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"go.uber.org/fx"

	"cranberrystack.dev/cranberryd/loader"
	"cranberrystack.dev/cranberryd/server"
	"cranberrystack.dev/cranberrystack/authenticator"
	"cranberrystack.dev/cranberrystack/configurer"
	"cranberrystack.dev/cranberrystack/controller"
	"cranberrystack.dev/cranberrystack/kernel"
	"cranberrystack.dev/cranberrystack/messenger"
	"cranberrystack.dev/cranberrystack/recorder"
	"cranberrystack.dev/cranberrystack/replicator"
	"cranberrystack.dev/cranberrystack/spreader"
)

// logFolder is the folder of the log within the data folder.
const logFolder = "control"

func init() {
	kernel.Register(kernel.Plugin{
		Name: controller.Role, Summary: "replicates the lists",
		Option: fx.Invoke(run),
	})
}

// OnFailure is called with the error after which a component can't continue. It
// makes the process stop.
type OnFailure func(error)

// run assembles the role.
func run(lifecycle fx.Lifecycle, settings *loader.Settings, s *server.Server, m *messenger.Messenger, sp *spreader.Spreader, replica *configurer.ViewReplica, r *recorder.Recorder, logger log.Logger, onFailure OnFailure) error {
	var c *controller.Controller
	config := controller.Config{
		ID: settings.Instance, Dir: filepath.Join(settings.DataFolder, logFolder),
		InitialVoters: initialVoters(settings), DataCenters: settings.DataCenters,
	}
	c, err := controller.Open(config, m, sp, replica,
		replicator.HeartbeatInterval(settings.Control.HeartbeatInterval.Std()),
		replicator.ElectionTimeout(settings.Control.ElectionTimeout.Std()),
		replicator.CompactEntries(settings.Control.CompactEntries))
	if err != nil {
		return fmt.Errorf("open the control log: %w", err)
	}
	c.Routes(s.Group(authenticator.KindPeer))
	r.Publish("control", func() any { return c.Status() })
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go func() {
				<-c.Done()
				if err := c.Failure(); err != nil {
					_ = level.Error(logger).Log("event", "control-failed", "error", err)
					onFailure(err)
				}
			}()
			return nil
		},
		OnStop: func(context.Context) error {
			c.Stop()
			return nil
		},
	})
	return nil
}

// initialVoters returns the voters that form a new group, or none if this instance
// isn't one of them and joins an existing group.
func initialVoters(settings *loader.Settings) []replicator.Peer {
	addresses := map[string]string{string(settings.Instance): settings.Address}
	for _, peer := range settings.Peers {
		addresses[string(peer.Instance)] = peer.Address
	}
	var voters []replicator.Peer
	included := false
	for _, id := range settings.InitialVoters {
		included = included || id == settings.Instance
		voters = append(voters, replicator.Peer{ID: id, Address: addresses[string(id)]})
	}
	if !included {
		return nil
	}
	return voters
}
