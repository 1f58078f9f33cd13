// Package command implements the cranberryctl commands.
package command

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"cranberrystack.dev/cranberryctl/caller"
)

// Exit codes, as specified in docs/API.md.
const (
	ExitOK             = 0
	ExitFailed         = 1
	ExitUsage          = 2
	ExitNotRun         = 3
	ExitOutcomeUnknown = 4
	ExitConflict       = 5
	ExitRefused        = 6
)

const defaultTimeout = 30 * time.Second

// errUsage reports invalid arguments.
var errUsage = eris.New("wrong usage")

// errJobFailed reports a watched job that failed or was cancelled, or that
// ended before it reached the state waited for.
var errJobFailed = eris.New("job did not finish")

// session holds the standard streams and the global flags.
type session struct {
	in      io.Reader
	out     io.Writer
	address string
	token   string
	output  string
	timeout time.Duration
}

// Execute runs the command line and returns the exit code.
func Execute(arguments []string, in io.Reader, out, errOut io.Writer) int {
	s := &session{in: in, out: out}
	root := &cobra.Command{
		Use: "cranberryctl", Short: "Client of cranberrystack for operators and callers",
		SilenceUsage: true, SilenceErrors: true,
		PersistentPreRunE: func(*cobra.Command, []string) error { return s.validate() },
	}
	root.SetArgs(arguments)
	root.SetOut(out)
	root.SetErr(errOut)
	flags := root.PersistentFlags()
	flags.StringVar(&s.address, "address", os.Getenv("CRANBERRY_ADDRESS"), "addresses of entry instances, separated by commas (CRANBERRY_ADDRESS)")
	flags.StringVar(&s.token, "token", "", "bearer token (CRANBERRY_TOKEN, for operators CRANBERRY_OPERATOR_TOKEN)")
	flags.StringVar(&s.output, "output", "table", "\"table\" for people or \"json\" for programs")
	flags.DurationVar(&s.timeout, "timeout", defaultTimeout, "timeout of one call")
	root.AddCommand(newLists(s), newStatus(s), newVoters(s), newUpstreams(s), newClaims(s))
	root.AddCommand(newRequest(s), newKey(s), newJobs(s))
	root.AddCommand(newStepJobs(s)...)
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error {
		return fmt.Errorf("%w: %w", errUsage, err)
	})
	err := root.Execute()
	if err == nil {
		return ExitOK
	}
	fmt.Fprintln(errOut, "cranberryctl:", err)
	return exitCode(err)
}

func (s *session) validate() error {
	if s.output != "table" && s.output != "json" {
		return fmt.Errorf("--output is \"table\" or \"json\": %w", errUsage)
	}
	if s.address == "" {
		return fmt.Errorf("--address is missing: %w", errUsage)
	}
	return nil
}

func exitCode(err error) int {
	var refusal *caller.Refusal
	switch {
	case errors.Is(err, errUsage):
		return ExitUsage
	case errors.Is(err, caller.ErrUnreachable):
		return ExitNotRun
	case errors.Is(err, caller.ErrOutcomeUnknown):
		return ExitOutcomeUnknown
	case errors.As(err, &refusal):
		return refusalExitCode(refusal.Code)
	}
	return ExitFailed
}

func refusalExitCode(code string) int {
	switch code {
	case "not-run", "overloaded", "unavailable":
		return ExitNotRun
	case "outcome-unknown":
		return ExitOutcomeUnknown
	case "conflict":
		return ExitConflict
	case "no-such-plan", "impossible", "invalid", "unauthorized", "forbidden", "not-found", "no-such-job", "too-large":
		return ExitRefused
	}
	return ExitFailed
}

// caller returns a caller with the token of the flag, or else that of an environment
// variable.
func (s *session) caller(variable string) *caller.Caller {
	token := s.token
	if token == "" {
		token = os.Getenv(variable)
	}
	return &caller.Caller{Addresses: strings.Split(s.address, ","), Token: token, Timeout: s.timeout}
}

func (s *session) asOperator() *caller.Caller { return s.caller("CRANBERRY_OPERATOR_TOKEN") }

func (s *session) asCaller() *caller.Caller { return s.caller("CRANBERRY_TOKEN") }

// printJSON prints a response body as indented JSON.
func (s *session) printJSON(body []byte) error {
	var indented bytes.Buffer
	if err := json.Indent(&indented, body, "", "  "); err != nil {
		return fmt.Errorf("decode response: %w", err)
	}
	fmt.Fprintln(s.out, indented.String())
	return nil
}

// printTable prints rows in aligned columns; the first row is the heading.
func (s *session) printTable(rows [][]string) error {
	w := tabwriter.NewWriter(s.out, 0, 8, 2, ' ', 0)
	for _, row := range rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("print table: %w", err)
	}
	return nil
}

// readFile reads a file, or standard input if path is "-".
func (s *session) readFile(path string) ([]byte, error) {
	if path == "-" {
		data, err := io.ReadAll(s.in)
		if err != nil {
			return nil, fmt.Errorf("read standard input: %w", err)
		}
		return data, nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errUsage, err)
	}
	return data, nil
}

// exactArgs is cobra.ExactArgs with ExitUsage as the exit code.
func exactArgs(count int) cobra.PositionalArgs {
	return func(cmd *cobra.Command, arguments []string) error {
		if err := cobra.ExactArgs(count)(cmd, arguments); err != nil {
			return fmt.Errorf("%w: %w", errUsage, err)
		}
		return nil
	}
}
