// Package command implements the command line of the daemon.
package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/spf13/cobra"

	"cranberrystack.dev/cranberryd/daemon"
	"cranberrystack.dev/cranberryd/development"
	"cranberrystack.dev/cranberryd/loader"
)

// Exit codes of the daemon.
const (
	// ExitOK reports success.
	ExitOK = 0
	// ExitFailed reports every error that is not about settings.
	ExitFailed = 1
	// ExitSettings reports settings that are invalid (loader.ErrInvalid).
	ExitSettings = 2
)

// Execute runs the command that arguments name and returns its exit code. An
// error is written to errOut as one line.
func Execute(arguments []string, out, errOut io.Writer) int {
	root := &cobra.Command{
		Use: "cranberryd", Short: "Schedules accelerator jobs and requests for a consortium",
		SilenceUsage: true, SilenceErrors: true,
	}
	root.SetArgs(arguments)
	root.SetOut(out)
	root.SetErr(errOut)
	root.AddCommand(newRunCommand(), newNodeCommand(), newCheckSettingsCommand(), newDevelopCommand())
	err := root.Execute()
	if err == nil {
		return ExitOK
	}
	fmt.Fprintln(errOut, "cranberryd:", err)
	if errors.Is(err, loader.ErrInvalid) {
		return ExitSettings
	}
	return ExitFailed
}

func newRunCommand() *cobra.Command {
	var path string
	command := &cobra.Command{
		Use: "run", Short: "Run the process that a settings file describes", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			settings, err := loader.LoadFile(path)
			if err != nil {
				return err
			}
			if err := loader.CheckAddress(settings.Address); err != nil {
				return fmt.Errorf("%s: %w", path, err)
			}
			return run(settings, cmd.ErrOrStderr())
		},
	}
	command.Flags().StringVar(&path, "settings", "", "the settings file")
	_ = command.MarkFlagRequired("settings")
	return command
}

func newCheckSettingsCommand() *cobra.Command {
	return &cobra.Command{
		Use: "check-settings FILE", Short: "Check a settings file without running it", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, arguments []string) error {
			if _, err := loader.LoadFile(arguments[0]); err != nil {
				return err
			}
			fmt.Fprintln(cmd.OutOrStdout(), arguments[0]+": ok")
			return nil
		},
	}
}

func newDevelopCommand() *cobra.Command {
	var once bool
	command := &cobra.Command{
		Use: "develop", Short: "Run all roles with simulated upstreams and workers in one process",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
			defer cancel()
			return development.Run(ctx, cmd.OutOrStdout(), newLogger(cmd.ErrOrStderr()), once)
		},
	}
	command.Flags().BoolVar(&once, "once", false, "exit after the demonstration")
	return command
}

// newLogger returns a logger that writes each event as one line of key=value
// pairs with the time in UTC.
func newLogger(out io.Writer) log.Logger {
	logger := log.NewLogfmtLogger(log.NewSyncWriter(out))
	return log.With(logger, "time", log.DefaultTimestampUTC)
}

// run runs a process until SIGINT, SIGTERM or a failure of a component, and
// returns that failure or the error of the shutdown.
func run(settings *loader.Settings, errOut io.Writer) error {
	logger := log.With(newLogger(errOut), "instance", settings.Instance)
	d, err := daemon.New(settings, daemon.Logger(logger))
	if err != nil {
		return err
	}
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	if err := d.Start(ctx); err != nil {
		return err
	}
	_ = level.Info(logger).Log("event", "started", "address", settings.Address, "roles", fmt.Sprint(settings.Roles))
	var failure error
	select {
	case <-ctx.Done():
	case failure = <-d.Failed():
	}
	_ = level.Info(logger).Log("event", "stopping")
	if err := d.Stop(context.Background()); err != nil && failure == nil {
		failure = err
	}
	_ = level.Info(logger).Log("event", "stopped")
	return failure
}
