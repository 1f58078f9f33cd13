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

// settingsPollInterval is how often the settings file is checked for changes.
const settingsPollInterval = time.Second

func newNodeCommand() *cobra.Command {
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

// runNode runs a node until a signal or a failure stops it. Events are written
// to out.
func runNode(path string, settings *loader.NodeSettings, out io.Writer) error {
	rateLimited := logger.New(out, logger.Rate(settings.Log.LinesPerSecond))
	defer rateLimited.Close()
	eventLog := log.With(rateLimited, "instance", settings.Instance)
	dialer := &net.Dialer{}
	deps := node.Dependencies{
		Listen: daemon.Listener, Dial: dialer.DialContext, Clock: node.BootClock, Logger: eventLog, DroppedLines: rateLimited.DroppedTotal,
		SetLogRate: rateLimited.SetRate,
	}
	n, err := node.New(settings, deps)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	defer signal.Stop(signals)
	if err := n.Start(context.Background()); err != nil {
		return err
	}
	_ = eventLog.Log("event", "started", "role", settings.Role, "address", settings.Address, "data-center", settings.DataCenter,
		"bootstrap", settings.Bootstrap, "seeds", fmt.Sprint(settings.Seeds))
	failure := reloadUntilStopped(n, path, eventLog, signals)
	_ = eventLog.Log("event", "stopping", "error", failure)
	if err := n.Stop(); err != nil && failure == nil {
		failure = err
	}
	_ = eventLog.Log("event", "stopped", "error", failure)
	return failure
}

// reloadUntilStopped reloads the settings on SIGHUP and when their file changes.
// It returns nil on SIGINT or SIGTERM, and the node's error if the node fails.
func reloadUntilStopped(n *node.Node, path string, eventLog log.Logger, signals <-chan os.Signal) error {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	lastModified := modificationTime(path)
	for {
		select {
		case received := <-signals:
			if received != syscall.SIGHUP {
				return nil
			}
			lastModified = modificationTime(path)
			reload(n, path, eventLog)
		case <-ticker.C:
			if current := modificationTime(path); !current.Equal(lastModified) {
				lastModified = current
				reload(n, path, eventLog)
			}
		case err := <-n.Failed():
			return err
		}
	}
}

// modificationTime returns the zero time if the file can't be read.
func modificationTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reload applies the settings file. An invalid file is logged and changes
// nothing.
func reload(n *node.Node, path string, eventLog log.Logger) {
	settings, err := loader.LoadNodeFile(path)
	if err != nil {
		_ = eventLog.Log("event", "reload-refused", "error", err)
		return
	}
	n.Reload(settings)
}
