package command

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-kit/log"
	"github.com/spf13/cobra"

	"cranberrystack.dev/cranberryd/daemon"
	"cranberrystack.dev/cranberryd/loader"
	"cranberrystack.dev/cranberryd/node"
	"cranberrystack.dev/cranberrystack/logger"
)

// settingsInterval is the time between two looks at the settings file.
const settingsInterval = time.Second

func newNode() *cobra.Command {
	var path string
	command := &cobra.Command{
		Use: "node", Short: "Run a gateway or an instance that schedules jobs with steps", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			settings, err := loader.LoadNodeFile(path)
			if err != nil {
				return err
			}
			return runNode(path, settings, cmd.OutOrStdout())
		},
	}
	command.Flags().StringVar(&path, "settings", "", "the settings file")
	_ = command.MarkFlagRequired("settings")
	return command
}

func runNode(path string, settings *loader.NodeSettings, out io.Writer) error {
	lines := logger.New(out, logger.Rate(settings.Log.LinesPerSecond))
	defer lines.Close()
	events := log.With(lines, "instance", settings.Instance)
	dialer := &net.Dialer{}
	seams := node.Dependencies{
		Listen: daemon.Listener, Dial: dialer.DialContext, Clock: node.BootClock, Logger: events, DroppedLines: lines.DroppedTotal,
		SetLogRate: lines.SetRate,
	}
	n, err := node.New(settings, seams)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	defer signal.Stop(signals)
	if err := n.Start(context.Background()); err != nil {
		return err
	}
	_ = events.Log("event", "started", "role", settings.Role, "address", settings.Address, "data-center", settings.DataCenter,
		"bootstrap", settings.Bootstrap, "seeds", fmt.Sprint(settings.Seeds))
	failure := watch(n, path, events, signals)
	_ = events.Log("event", "stopping", "error", failure)
	if err := n.Stop(); err != nil && failure == nil {
		failure = err
	}
	_ = events.Log("event", "stopped", "error", failure)
	return failure
}

// watch reloads the settings when they change, until the process is to stop.
func watch(n *node.Node, path string, events log.Logger, signals <-chan os.Signal) error {
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	seen := modified(path)
	for {
		select {
		case received := <-signals:
			if received != syscall.SIGHUP {
				return nil
			}
			seen = modified(path)
			reload(n, path, events)
		case <-ticker.C:
			if at := modified(path); !at.Equal(seen) {
				seen = at
				reload(n, path, events)
			}
		case err := <-n.Failed():
			return err
		}
	}
}

func modified(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

func reload(n *node.Node, path string, events log.Logger) {
	settings, err := loader.LoadNodeFile(path)
	if err != nil {
		_ = events.Log("event", "reload-refused", "error", err)
		return
	}
	n.Reload(settings)
}
