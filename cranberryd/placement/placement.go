// Package placement is the plug-in of the placement role, whose instances can own
// the placement of their data centre.
package placement

import (
	"context"
	"fmt"
	"path/filepath"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"go.uber.org/fx"

	"cranberrystack.dev/cranberryd/control"
	"cranberrystack.dev/cranberryd/loader"
	"cranberrystack.dev/cranberryd/server"
	"cranberrystack.dev/cranberrystack/announcer"
	"cranberrystack.dev/cranberrystack/authenticator"
	"cranberrystack.dev/cranberrystack/configurer"
	"cranberrystack.dev/cranberrystack/controller"
	"cranberrystack.dev/cranberrystack/kernel"
	"cranberrystack.dev/cranberrystack/messenger"
	"cranberrystack.dev/cranberrystack/overseer"
	"cranberrystack.dev/cranberrystack/placer"
	"cranberrystack.dev/cranberrystack/recorder"
)

// jobFolder is the folder of the jobs within the data folder.
const jobFolder = "placement"

func init() {
	kernel.Register(kernel.Plugin{
		Name: overseer.Role, Summary: "places the jobs of a data centre",
		Option: fx.Invoke(run),
	})
}

// run assembles the role. The jobs are persisted only if there is a data folder.
func run(lifecycle fx.Lifecycle, settings *loader.Settings, s *server.Server, a *announcer.Announcer, m *messenger.Messenger, client *controller.Client, replica *configurer.ViewReplica, r *recorder.Recorder, onFailure control.OnFailure, logger log.Logger) error {
	deps := overseer.Dependencies{
		Self: a.Self(), Announcer: a, Messenger: m, Control: client, ViewReplica: replica, Recorder: r,
		DataCenter: settings.DataCenter, DataCenterCount: len(settings.DataCenters), OnFailure: onFailure,
		LogEvent: eventLogger(logger),
	}
	if settings.DataFolder != "" {
		deps.Dir = filepath.Join(settings.DataFolder, jobFolder)
	}
	jobs := settings.Jobs
	o, err := overseer.New(deps, overseer.EngineOptions(
		placer.Lease(jobs.Lease.Std(), jobs.LeaseMargin.Std()),
		placer.Grace(jobs.Grace.Std()),
		placer.ReportTimeout(jobs.ReportTimeout.Std()),
		placer.ReserveAfter(jobs.ReserveAfter.Std())))
	if err != nil {
		return fmt.Errorf("open the jobs: %w", err)
	}
	o.Routes(s.Group(authenticator.KindPeer))
	r.Publish("placement", func() any { return o.Status() })
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			o.Start()
			return nil
		},
		OnStop: func(context.Context) error {
			o.Stop()
			return nil
		},
	})
	return nil
}

// eventLogger returns a function that logs one line for each event.
func eventLogger(logger log.Logger) func(event string, details ...any) {
	return func(event string, details ...any) {
		_ = level.Info(logger).Log(append([]any{"event", event}, details...)...)
	}
}
