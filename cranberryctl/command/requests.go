package command

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"cranberrystack.dev/cranberryctl/caller"
)

type requestFlags struct {
	plan, team, kind, class, key, data string
	nonIdempotent                      bool
	deadline                           time.Duration
}

func newRequest(s *session) *cobra.Command {
	var flags requestFlags
	command := &cobra.Command{
		Use: "request", Short: "Send one request and print the response", Args: exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error { return s.request(cmd, flags) },
	}
	f := command.Flags()
	f.StringVar(&flags.plan, "plan", "", "the plan that the request is charged to")
	f.StringVar(&flags.team, "team", "", "the team within the plan")
	f.StringVar(&flags.kind, "kind", "", "the kind of request")
	f.StringVar(&flags.class, "class", "short", "\"short\" or \"long\"")
	f.StringVar(&flags.key, "key", "", "the idempotency key, which makes a retry safe")
	f.BoolVar(&flags.nonIdempotent, "non-idempotent", false, "run the request at most once")
	f.StringVar(&flags.data, "data", "", "the request's body")
	f.DurationVar(&flags.deadline, "deadline", 10*time.Second, "time after which the response is of no use")
	return command
}

func (s *session) request(cmd *cobra.Command, flags requestFlags) error {
	header := map[string]string{
		"Cranberry-Plan": flags.plan, "Cranberry-Team": flags.team, "Cranberry-Kind": flags.kind,
		"Cranberry-Class":       flags.class,
		"Cranberry-Deadline-Ms": strconv.FormatInt(flags.deadline.Milliseconds(), 10),
	}
	if flags.nonIdempotent {
		header["Cranberry-Non-Idempotent"] = "true"
	}
	if flags.key != "" {
		header["Idempotency-Key"] = flags.key
	}
	body, err := s.asCaller().Send(cmd.Context(), caller.Request{
		Method: http.MethodPost, Path: "/v1/requests", Header: header, Body: []byte(flags.data),
	})
	if err != nil {
		return err
	}
	fmt.Fprintln(s.out, string(body))
	return nil
}

func newKey(s *session) *cobra.Command {
	return &cobra.Command{
		Use: "key", Short: "Get a new key that belongs to the nearest data centre", Args: exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			body, err := s.asCaller().Send(cmd.Context(), caller.Request{Method: http.MethodPost, Path: "/v1/keys"})
			if err != nil {
				return err
			}
			return s.printJSON(body)
		},
	}
}
