package node

import (
	"context"
	"os"
	"path/filepath"
	"time"

	"go.uber.org/fx"

	"cranberrystack.dev/cranberryd/loader"
	"cranberrystack.dev/cranberrystack/coordinator"
	"cranberrystack.dev/cranberrystack/forwarder"
	"cranberrystack.dev/cranberrystack/journaler"
	"cranberrystack.dev/cranberrystack/kernel"
	"cranberrystack.dev/cranberrystack/messenger"
	"cranberrystack.dev/cranberrystack/platform"
	"cranberrystack.dev/cranberrystack/recorder"
	"cranberrystack.dev/cranberrystack/replicator"
	"cranberrystack.dev/cranberrystack/responder"
)

func init() {
	kernel.Register(kernel.Plugin{
		Name: loader.RoleCoordination, Summary: "replicates the log of jobs, and schedules them while it is the leader",
		Option: fx.Invoke(runCoordination),
	})
}

// logFolder is the folder of the log within the data folder.
const logFolder = "coordination"

// callSeries returns the series that measures calls of a kind with one outcome.
func callSeries(kind forwarder.Kind, code responder.Code) recorder.Series {
	return recorder.Series{Name: string(kind), Class: string(code)}
}

// instrumentedFiles returns file operations for the log that record the duration
// of each sync.
func (p *components) instrumentedFiles() journaler.FileOperations {
	files := journaler.DefaultFileOperations()
	sync := files.Sync
	files.Sync = func(file *os.File) error {
		start := time.Now()
		err := sync(file)
		_ = p.recorder.Observe(recorder.Series{Name: "sync"}, time.Since(start))
		return err
	}
	return files
}

// runCoordination assembles the coordination role. The process fails when the
// replicated log does.
func runCoordination(lifecycle fx.Lifecycle, p *components) error {
	settings := p.settings
	// The messages of the log never wait for a share or for forwarded calls.
	peers := messenger.New("", messenger.DialTimeout(p.deps.Dial, peerDialTimeout))
	client := platform.NewClient(p.workerConnections())
	c, err := coordinator.Open(coordinator.Config{
		ID: settings.Instance, Dir: filepath.Join(settings.DataFolder, logFolder),
		Address: settings.Address, ReportTo: settings.Listen.Control,
		Seeds: settings.SeedAddresses(), Bootstrap: settings.Bootstrap,
		Voters:    2*settings.Control.ToleratedLosses + 1,
		Transport: coordinator.Transport(peers), Announce: coordinator.AnnounceOver(peers), PassOn: coordinator.PassOnOver(peers),
		Orders: client.Orders(), Advise: client.Advise(settings.Advice),
		MachineManager: client.Machines(settings.MachineManager, settings.Instance),
		Recorder:       p.recorder, Logger: p.logger,
	},
		coordinator.MaxLease(settings.Bounds.MaxLease.Std()),
		coordinator.HeldPolls(p.idleConnections(purposePolls)),
		coordinator.JobMemory(jobMemory(settings)),
		coordinator.FairShare(settings.Sharing == loader.SharingFair),
		coordinator.DataCenters(settings.DataCenters...),
		coordinator.DutyLease(settings.Bounds.DutyLease.Std()),
		coordinator.GangWait(settings.Bounds.GangWait.Std()),
		coordinator.StopTime(settings.Bounds.StopTime.Std()),
		coordinator.LearnRunTimes(settings.RunTimes == loader.RunTimesLearned),
		coordinator.Clock(p.deps.Clock),
		coordinator.LogOptions(
			replicator.HeartbeatInterval(settings.Control.HeartbeatInterval.Std()),
			replicator.ElectionTimeout(settings.Control.ElectionTimeout.Std()),
			replicator.CompactEntries(settings.Control.CompactEntries),
			replicator.JournalOptions(journaler.WithFileOperations(p.instrumentedFiles()))))
	if err != nil {
		return err
	}
	p.peers = func() []string { return append(c.Peers(), settings.SeedAddresses()...) }
	c.Routes(p.engine)
	f := p.newForwarder(c.Handle)
	p.seedSetters = append(p.seedSetters, c.SetSeeds)
	p.recorder.Publish("coordination", func() any { return c.Metrics() })
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go func() {
				<-c.Node().Done()
				if err := c.Node().Wait(); err != nil {
					p.reportFailure(err)
				}
			}()
			return p.serve(settings.Listen.Control, purposeControl, platform.ControlHandler(p.instrument(platform.Gateway(c.Relay(f.Do)))))
		},
	})
	p.drain = func(context.Context) { c.Stop() }
	return nil
}

// jobMemoryPercent is the share of the memory in the settings that the jobs may take;
// a snapshot needs as much again for a short time.
const jobMemoryPercent = 15

// jobMemory returns the bound of the memory that jobs take, in bytes.
func jobMemory(settings *loader.NodeSettings) int64 {
	if settings.MemoryMiB == 0 {
		return coordinator.DefaultJobMemory
	}
	return settings.MemoryMiB << 20 * jobMemoryPercent / 100
}
