package command

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"cranberrystack.dev/cranberryctl/caller"
	"cranberrystack.dev/cranberrystack/forwarder"
	"cranberrystack.dev/cranberrystack/messenger"
)

// statePollInterval is the time between two queries of "watch --wait".
const statePollInterval = 500 * time.Millisecond

// newStepJobs returns the commands for jobs with steps.
func newStepJobs(s *session) []*cobra.Command {
	return []*cobra.Command{
		newStepJobSubmit(s), newStepJobWatch(s), newStepJobCancel(s), newExplain(s), newTop(s), newCatalog(s), newDataCenter(s), newEstimates(s),
	}
}

// callLeader sends a call to the leader and returns its response; a response
// with an error code becomes a *caller.Refusal.
func (s *session) callLeader(call forwarder.Call) (forwarder.Answer, error) {
	call.Key = s.token
	if call.Key == "" {
		call.Key = os.Getenv("CRANBERRY_TOKEN")
	}
	m := messenger.New("", (&net.Dialer{}).DialContext)
	defer m.Close()
	f := forwarder.New(forwarder.Config{Post: m.Post, Get: m.Get, NotSent: messenger.ErrNotSent},
		strings.Split(s.address, ","), forwarder.LeaderTimeout(s.timeout/2))
	ctx, cancel := context.WithTimeout(context.Background(), s.timeout)
	defer cancel()
	answer := f.Do(ctx, call)
	if !answer.OK() {
		return answer, &caller.Refusal{Code: string(answer.Code), Reason: answer.Reason}
	}
	return answer, nil
}

// splitAddress splits HOST/PREFIX/ID into the host and the path.
func splitAddress(address string) (host, path string, err error) {
	host, rest, found := strings.Cut(address, "/")
	if !found || host == "" {
		return "", "", fmt.Errorf("%q is not HOST/PREFIX/ID: %w", address, errUsage)
	}
	return host, "/" + rest, nil
}

func (s *session) callForJob(kind forwarder.Kind, address string, document json.RawMessage) (forwarder.Answer, error) {
	host, path, err := splitAddress(address)
	if err != nil {
		return forwarder.Answer{}, err
	}
	return s.callLeader(forwarder.Call{Kind: kind, Host: host, Path: path, Document: document})
}

func newStepJobSubmit(s *session) *cobra.Command {
	return &cobra.Command{
		Use: "submit HOST/PREFIX/ID FILE", Short: "Submit a job with steps; submitting the same id again is safe", Args: exactArgs(2),
		RunE: func(_ *cobra.Command, arguments []string) error {
			document, err := s.readFile(arguments[1])
			if err != nil {
				return err
			}
			if _, err := s.callForJob(forwarder.KindSubmit, arguments[0], document); err != nil {
				return err
			}
			fmt.Fprintln(s.out, arguments[0], "accepted")
			return nil
		},
	}
}

type stateResponse struct {
	State   string `json:"state"`
	Pending *int   `json:"pending"`
}

func newStepJobWatch(s *session) *cobra.Command {
	var wait bool
	command := &cobra.Command{
		Use: "watch HOST/PREFIX/ID", Short: "Print the state of a job, or the number of pending jobs of a queue", Args: exactArgs(1),
		RunE: func(_ *cobra.Command, arguments []string) error {
			for {
				answer, err := s.callForJob(forwarder.KindState, arguments[0], nil)
				if err != nil {
					return err
				}
				var state stateResponse
				if err := json.Unmarshal(answer.Document, &state); err != nil {
					return fmt.Errorf("decode response: %w", err)
				}
				if wait && (state.State == "queued" || state.State == "running") {
					time.Sleep(statePollInterval)
					continue
				}
				return s.printState(state, answer.Document)
			}
		},
	}
	command.Flags().BoolVar(&wait, "wait", false, "wait until the job ends")
	return command
}

func (s *session) printState(state stateResponse, document json.RawMessage) error {
	if s.output == "json" {
		return s.printJSON(document)
	}
	if state.Pending != nil {
		fmt.Fprintln(s.out, "pending", *state.Pending)
		return nil
	}
	fmt.Fprintln(s.out, state.State)
	if state.State == "failed" {
		return errJobFailed
	}
	return nil
}

func newStepJobCancel(s *session) *cobra.Command {
	return &cobra.Command{
		Use: "cancel HOST/PREFIX/ID", Short: "Cancel a job with steps", Args: exactArgs(1),
		RunE: func(_ *cobra.Command, arguments []string) error {
			if _, err := s.callForJob(forwarder.KindCancel, arguments[0], nil); err != nil {
				return err
			}
			fmt.Fprintln(s.out, arguments[0], "cancelled")
			return nil
		},
	}
}

type runView struct {
	ID struct {
		Task string `json:"task"`
		Run  int    `json:"run"`
	} `json:"id"`
	Worker   string `json:"worker"`
	Assigned int64  `json:"assigned"`
}

type explainResponse struct {
	Job      string        `json:"job"`
	State    string        `json:"state"`
	Queue    string        `json:"queue"`
	Team     string        `json:"team"`
	Accepted int64         `json:"accepted"`
	Ended    int64         `json:"ended"`
	Reason   string        `json:"reason"`
	Waiting  int           `json:"waiting-tasks"`
	Done     int           `json:"done-tasks"`
	Steps    []stepRunTime `json:"steps"`
	Runs     []runView     `json:"runs"`
	Events   []struct {
		At   int64  `json:"at"`
		Text string `json:"text"`
	} `json:"events"`
}

// clockTime formats a Unix time in milliseconds as a time of day in UTC, and 0
// as "-".
func clockTime(millis int64) string {
	if millis == 0 {
		return "-"
	}
	return time.UnixMilli(millis).UTC().Format("15:04:05.000")
}

func newExplain(s *session) *cobra.Command {
	return &cobra.Command{
		Use: "explain JOB", Short: "Show the state and the events of a job with steps", Args: exactArgs(1),
		RunE: func(_ *cobra.Command, arguments []string) error {
			answer, err := s.callLeader(forwarder.Call{Kind: forwarder.KindExplain, Path: arguments[0]})
			if err != nil {
				return err
			}
			if s.output == "json" {
				return s.printJSON(answer.Document)
			}
			var e explainResponse
			if err := json.Unmarshal(answer.Document, &e); err != nil {
				return fmt.Errorf("decode response: %w", err)
			}
			rows := [][]string{
				{"job", e.Job}, {"state", e.State}, {"queue", e.Queue}, {"team", e.Team},
				{"accepted", clockTime(e.Accepted)}, {"ended", clockTime(e.Ended)}, {"reason", e.Reason},
				{"tasks waiting", strconv.Itoa(e.Waiting)}, {"tasks done", strconv.Itoa(e.Done)},
			}
			rows = append(rows, runTimeRows(e.Steps)...)
			for _, run := range e.Runs {
				rows = append(rows, []string{"runs", fmt.Sprintf("%s#%d on %s since %s", run.ID.Task, run.ID.Run, run.Worker, clockTime(run.Assigned))})
			}
			for _, event := range e.Events {
				rows = append(rows, []string{clockTime(event.At), event.Text})
			}
			return s.printTable(rows)
		},
	}
}

type topResponse struct {
	Queues []struct {
		Queue   string `json:"queue"`
		Pending int    `json:"pending"`
	} `json:"queues"`
	Teams []struct {
		Team       string `json:"team"`
		Guaranteed int64  `json:"guaranteed-accelerators"`
		Used       int64  `json:"used-accelerators"`
		Kept       bool   `json:"guarantee-kept"`
	} `json:"teams"`
	TeamShares teamShares `json:"team-shares"`
	Workers    []struct {
		Worker         string  `json:"worker"`
		State          string  `json:"state"`
		Pool           string  `json:"pool"`
		Runs           int     `json:"runs"`
		SinceContactMs int64   `json:"heard-ms-ago"`
		Misses         int     `json:"misses"`
		Pace           float64 `json:"pace"`
	} `json:"workers"`
}

func newTop(s *session) *cobra.Command {
	return &cobra.Command{
		Use: "top", Short: "Show queues, the guarantees and use of teams, and workers", Args: exactArgs(0),
		RunE: func(*cobra.Command, []string) error {
			answer, err := s.callLeader(forwarder.Call{Kind: forwarder.KindOverview})
			if err != nil {
				return err
			}
			if s.output == "json" {
				return s.printJSON(answer.Document)
			}
			var top topResponse
			if err := json.Unmarshal(answer.Document, &top); err != nil {
				return fmt.Errorf("decode response: %w", err)
			}
			return s.printTop(&top)
		},
	}
}

func (s *session) printTop(top *topResponse) error {
	rows := [][]string{{"QUEUE", "PENDING"}}
	for _, queue := range top.Queues {
		rows = append(rows, []string{queue.Queue, strconv.Itoa(queue.Pending)})
	}
	rows = append(rows, nil, []string{"TEAM", "GUARANTEED", "USED", "KEPT"})
	for _, team := range top.Teams {
		rows = append(rows, []string{team.Team, strconv.FormatInt(team.Guaranteed, 10), strconv.FormatInt(team.Used, 10), yesNo(team.Kept)})
	}
	rows = append(rows, top.TeamShares.rows()...)
	rows = append(rows, nil, []string{"WORKER", "STATE", "POOL", "RUNS", "HEARD MS AGO", "MISSES", "PACE"})
	for _, w := range top.Workers {
		rows = append(rows, []string{w.Worker, w.State, w.Pool, strconv.Itoa(w.Runs), strconv.FormatInt(w.SinceContactMs, 10), strconv.Itoa(w.Misses), paceText(w.Pace)})
	}
	return s.printTable(rows)
}

func yesNo(value bool) string {
	if value {
		return "yes"
	}
	return "no"
}

func newCatalog(s *session) *cobra.Command {
	group := &cobra.Command{Use: "catalog", Short: "Show and change the catalog of queues, pools and teams; the highest version takes effect"}
	group.AddCommand(&cobra.Command{
		Use: "put FILE", Short: "Submit a catalog", Args: exactArgs(1),
		RunE: func(_ *cobra.Command, arguments []string) error {
			document, err := s.readFile(arguments[0])
			if err != nil {
				return err
			}
			if _, err := s.callLeader(forwarder.Call{Kind: forwarder.KindConfigure, Document: document}); err != nil {
				return err
			}
			fmt.Fprintln(s.out, "acknowledged")
			return nil
		},
	}, &cobra.Command{
		Use: "get", Short: "Print the catalog in force", Args: exactArgs(0),
		RunE: func(*cobra.Command, []string) error {
			answer, err := s.callLeader(forwarder.Call{Kind: forwarder.KindReadCatalog})
			if err != nil {
				return err
			}
			return s.printJSON(answer.Document)
		},
	})
	return group
}
