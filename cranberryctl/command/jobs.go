package command

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/spf13/cobra"

	"cranberrystack.dev/cranberryctl/caller"
)

// watchCallTimeout is the least timeout of a call for a job's state, which
// the instance may hold open until the state changes.
const watchCallTimeout = time.Minute

type jobResponse struct {
	ID         string   `json:"id"`
	Plan       string   `json:"plan"`
	Team       string   `json:"team"`
	State      string   `json:"state"`
	Attempt    uint64   `json:"attempt"`
	Workers    []string `json:"workers"`
	Guaranteed bool     `json:"guaranteed"`
	Reclaims   int      `json:"reclaims"`
	Straggler  bool     `json:"straggler"`
	Reason     string   `json:"reason"`
}

func (j *jobResponse) ended() bool {
	return j.State == "finished" || j.State == "failed" || j.State == "cancelled"
}

type shapeMessage struct {
	Adjacent string `json:"adjacent"`
	Parts    int    `json:"parts"`
	PerPart  int    `json:"accelerators-per-part"`
}

type jobMessage struct {
	ID                string       `json:"id"`
	Plan              string       `json:"plan"`
	Team              string       `json:"team"`
	Accelerator       string       `json:"accelerator"`
	Shape             shapeMessage `json:"shape"`
	Kind              string       `json:"kind"`
	Checkpointable    bool         `json:"checkpointable"`
	Urgent            bool         `json:"urgent"`
	DeclaredRunTimeMs int64        `json:"declared-run-time-ms"`
	Payload           []byte       `json:"payload"`
}

func newJobs(s *session) *cobra.Command {
	group := &cobra.Command{Use: "jobs", Short: "Submit, watch and cancel jobs"}
	group.AddCommand(newJobsSubmit(s), newJobsList(s), newJobsGet(s), newJobsWatch(s), newJobsCancel(s))
	return group
}

func newJobsSubmit(s *session) *cobra.Command {
	var job jobMessage
	var declaredRunTime time.Duration
	var payload string
	command := &cobra.Command{
		Use: "submit", Short: "Submit a job", Args: exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if job.ID == "" {
				job.ID = uuid.NewString()
			}
			job.DeclaredRunTimeMs, job.Payload = declaredRunTime.Milliseconds(), []byte(payload)
			return s.submit(cmd, job)
		},
	}
	f := command.Flags()
	f.StringVar(&job.ID, "id", "", "the job's id; submitting it again with the same id is safe")
	f.StringVar(&job.Plan, "plan", "", "the plan that the job runs under")
	f.StringVar(&job.Team, "team", "", "the team within the plan")
	f.StringVar(&job.Accelerator, "accelerator", "gpu", "the kind of accelerator")
	f.StringVar(&job.Shape.Adjacent, "adjacent", "worker", "\"worker\", \"neighbours\", \"rack\" or \"data-center\"")
	f.IntVar(&job.Shape.Parts, "parts", 1, "the number of parts; either all of them run or none")
	f.IntVar(&job.Shape.PerPart, "per-part", 1, "the number of accelerators of one part")
	f.StringVar(&job.Kind, "kind", "", "the kind, which groups jobs with similar run times")
	f.BoolVar(&job.Checkpointable, "checkpointable", false, "the job can resume from a checkpoint")
	f.BoolVar(&job.Urgent, "urgent", false, "start before other jobs within the plan's guarantee")
	f.DurationVar(&declaredRunTime, "run-time", 0, "the expected run time")
	f.StringVar(&payload, "payload", "", "passed to the workers unchanged")
	return command
}

func (s *session) submit(cmd *cobra.Command, job jobMessage) error {
	body, err := json.Marshal(job)
	if err != nil {
		return fmt.Errorf("encode job: %w", err)
	}
	responseBody, err := s.asCaller().Send(cmd.Context(), caller.Request{Method: http.MethodPost, Path: "/v1/jobs", Body: body})
	if err != nil {
		return fmt.Errorf("submit job %s: %w", job.ID, err)
	}
	return s.printJob(responseBody)
}

func (s *session) printJob(body []byte) error {
	if s.output == "json" {
		return s.printJSON(body)
	}
	var job jobResponse
	if err := json.Unmarshal(body, &job); err != nil {
		return fmt.Errorf("decode job: %w", err)
	}
	return s.printTable(append([][]string{jobHeading}, jobRow(job)))
}

var jobHeading = []string{"JOB", "STATE", "PLAN", "TEAM", "ATTEMPT", "GUARANTEED", "RECLAIMS", "WORKERS", "REASON"}

func jobRow(job jobResponse) []string {
	reason := job.Reason
	if job.Straggler {
		reason = strings.TrimSpace("straggler " + reason)
	}
	return []string{
		job.ID, job.State, job.Plan, job.Team, strconv.FormatUint(job.Attempt, 10),
		strconv.FormatBool(job.Guaranteed), strconv.Itoa(job.Reclaims), strings.Join(job.Workers, ","), reason,
	}
}

func newJobsList(s *session) *cobra.Command {
	return &cobra.Command{
		Use: "list", Short: "Show the member's jobs", Args: exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			body, err := s.asCaller().Send(cmd.Context(), caller.Request{Method: http.MethodGet, Path: "/v1/jobs"})
			if err != nil {
				return err
			}
			if s.output == "json" {
				return s.printJSON(body)
			}
			var response struct {
				Jobs []jobResponse `json:"jobs"`
			}
			if err := json.Unmarshal(body, &response); err != nil {
				return fmt.Errorf("decode jobs: %w", err)
			}
			rows := [][]string{jobHeading}
			for _, job := range response.Jobs {
				rows = append(rows, jobRow(job))
			}
			return s.printTable(rows)
		},
	}
}

// getJob requests a job. If after is set, the instance responds once the job's
// state differs from it, or when its own wait ends.
func (s *session) getJob(cmd *cobra.Command, id, after string) ([]byte, jobResponse, error) {
	path := "/v1/jobs/" + url.PathEscape(id)
	if after != "" {
		path += "?after=" + url.QueryEscape(after)
	}
	var job jobResponse
	client := s.asCaller()
	client.Timeout = max(client.Timeout, watchCallTimeout)
	body, err := client.Send(cmd.Context(), caller.Request{Method: http.MethodGet, Path: path})
	if err != nil {
		return nil, job, err
	}
	if err := json.Unmarshal(body, &job); err != nil {
		return nil, job, fmt.Errorf("decode job: %w", err)
	}
	return body, job, nil
}

func newJobsGet(s *session) *cobra.Command {
	return &cobra.Command{
		Use: "get ID", Short: "Show a job", Args: exactArgs(1),
		RunE: func(cmd *cobra.Command, arguments []string) error {
			body, _, err := s.getJob(cmd, arguments[0], "")
			if err != nil {
				return err
			}
			return s.printJob(body)
		},
	}
}

func newJobsWatch(s *session) *cobra.Command {
	var until string
	command := &cobra.Command{
		Use: "watch ID", Short: "Print the states of a job until it ends", Args: exactArgs(1),
		RunE: func(cmd *cobra.Command, arguments []string) error { return s.watch(cmd, arguments[0], until) },
	}
	command.Flags().StringVar(&until, "until", "", "stop when the job is in this state")
	return command
}

func (s *session) watch(cmd *cobra.Command, id, until string) error {
	last := ""
	for {
		_, job, err := s.getJob(cmd, id, last)
		if err != nil {
			return err
		}
		if job.State != last {
			fmt.Fprintln(s.out, strings.TrimSpace(job.State+" "+job.Reason))
		}
		last = job.State
		switch {
		case until != "" && last == until:
			return nil
		case last == "finished" && until == "":
			return nil
		case job.ended():
			return fmt.Errorf("job %s is %s: %w", id, last, errJobFailed)
		}
	}
}

func newJobsCancel(s *session) *cobra.Command {
	return &cobra.Command{
		Use: "cancel ID...", Short: "Cancel jobs", Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, arguments []string) error {
			for _, id := range arguments {
				body, err := s.asCaller().Send(cmd.Context(), caller.Request{Method: http.MethodDelete, Path: "/v1/jobs/" + url.PathEscape(id)})
				if err != nil {
					return fmt.Errorf("cancel job %s: %w", id, err)
				}
				if err := s.printJob(body); err != nil {
					return err
				}
			}
			return nil
		},
	}
}
