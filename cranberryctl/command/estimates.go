package command

import (
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"cranberrystack.dev/cranberrystack/estimator"
	"cranberrystack.dev/cranberrystack/forwarder"
)

type estimatesResponse struct {
	InUse      bool                    `json:"in-use"`
	Statistics estimator.Statistics    `json:"statistics"`
	Groups     []estimator.GroupView   `json:"groups"`
	Machines   []estimator.MachineView `json:"machines"`
}

func newEstimates(s *session) *cobra.Command {
	return &cobra.Command{
		Use: "estimates", Short: "Show the learned run times of queues and paces of machines", Args: exactArgs(0),
		RunE: func(*cobra.Command, []string) error {
			answer, err := s.callLeader(forwarder.Call{Kind: forwarder.KindEstimates})
			if err != nil {
				return err
			}
			if s.output == "json" {
				return s.printJSON(answer.Document)
			}
			var e estimatesResponse
			if err := json.Unmarshal(answer.Document, &e); err != nil {
				return fmt.Errorf("decode response: %w", err)
			}
			return s.printTable(estimateRows(&e))
		},
	}
}

func estimateRows(e *estimatesResponse) [][]string {
	use := "declared"
	if e.InUse {
		use = "learned"
	}
	rows := [][]string{
		{"run times in use", use}, {"runs learned from", strconv.FormatUint(e.Statistics.Samples, 10)},
		{"error of declared run times", decimal(e.Statistics.DeclaredError)}, {"error of learned run times", decimal(e.Statistics.LearnedError)},
		nil, {"QUEUE", "IMAGE", "STEPS", "DECLARED", "EXPECTED", "SLOPE", "SPREAD", "TAIL", "ERROR DECLARED", "ERROR LEARNED", "LEARNED"},
	}
	for _, g := range e.Groups {
		rows = append(rows, []string{
			g.Queue, g.Image, strconv.Itoa(int(g.Steps)), roundedMillis(g.TypicalDeclared), roundedMillis(g.TypicalElapsed), decimal(g.Slope),
			decimal(g.Spread), decimal(g.TailShare), decimal(g.DeclaredError), decimal(g.LearnedError), strconv.FormatBool(g.Learned),
		})
	}
	rows = append(rows, nil, []string{"MACHINE", "PACE", "RUNS", "KNOWN"})
	for _, m := range e.Machines {
		rows = append(rows, []string{m.Machine, decimal(m.Pace), strconv.Itoa(m.Runs), strconv.FormatBool(m.Known)})
	}
	return rows
}

// stepRunTime compares the declared and the expected run time of a step's tasks.
type stepRunTime struct {
	Step           int   `json:"step"`
	DeclaredMillis int64 `json:"declared-ms"`
	ExpectedMillis int64 `json:"expected-ms"`
	Learned        bool  `json:"learned"`
}

// runTimeRows returns a row for each step. A step whose run time is not learned shows
// the declared one alone.
func runTimeRows(steps []stepRunTime) [][]string {
	var rows [][]string
	for _, step := range steps {
		text := fmt.Sprintf("step %d: declared %d ms", step.Step, step.DeclaredMillis)
		if step.Learned {
			text += fmt.Sprintf(", expected %d ms", step.ExpectedMillis)
		}
		rows = append(rows, []string{"run time", text})
	}
	return rows
}

// paceText formats a pace, and 0 as "-" since it is unknown.
func paceText(pace float64) string {
	if pace == 0 {
		return "-"
	}
	return decimal(pace)
}

func decimal(value float64) string { return strconv.FormatFloat(value, 'f', 2, 64) }

func roundedMillis(duration time.Duration) string { return duration.Round(time.Millisecond).String() }
