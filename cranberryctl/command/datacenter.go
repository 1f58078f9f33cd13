package command

import (
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"cranberrystack.dev/cranberrystack/forwarder"
	"cranberrystack.dev/cranberrystack/identifier"
)

func newDataCenter(s *session) *cobra.Command {
	group := &cobra.Command{Use: "data-center", Short: "Empty data centres, return them to use and list them"}
	group.AddCommand(
		newDataCenterOrder(s, forwarder.KindEmptyDataCenter, "empty", "Start no more tasks in a data centre"),
		newDataCenterOrder(s, forwarder.KindReturnDataCenter, "return", "Start tasks in a data centre again"),
		newDataCenterList(s),
	)
	return group
}

// orderResponse is what an acknowledged order prints as JSON.
type orderResponse struct {
	Name    string `json:"name"`
	Emptied bool   `json:"emptied"`
}

func newDataCenterOrder(s *session, kind forwarder.Kind, verb, summary string) *cobra.Command {
	var version uint64
	command := &cobra.Command{
		Use: verb + " NAME", Short: summary + "; sending the order again is safe", Args: exactArgs(1),
		RunE: func(cmd *cobra.Command, arguments []string) error {
			call := forwarder.Call{Kind: kind, DataCenter: identifier.DataCenterID(arguments[0])}
			if cmd.Flags().Changed("if-version") {
				call.IfVersion = &version
			}
			if _, err := s.callLeader(call); err != nil {
				return err
			}
			response := orderResponse{Name: arguments[0], Emptied: kind == forwarder.KindEmptyDataCenter}
			if s.output == "json" {
				body, err := json.Marshal(response)
				if err != nil {
					return fmt.Errorf("encode result: %w", err)
				}
				return s.printJSON(body)
			}
			fmt.Fprintln(s.out, response.Name, dataCenterUse(response.Emptied))
			return nil
		},
	}
	command.Flags().Uint64Var(&version, "if-version", 0, "change nothing unless the data centre has this version")
	return command
}

func dataCenterUse(emptied bool) string {
	if emptied {
		return "emptied"
	}
	return "in use"
}

type dataCentersResponse struct {
	DataCenters []struct {
		Name           string `json:"name"`
		Emptied        bool   `json:"emptied"`
		Version        uint64 `json:"version"`
		Since          int64  `json:"since"`
		Workers        int    `json:"workers"`
		Runs           int    `json:"runs"`
		LongRunning    int    `json:"long-running"`
		WaitingForRoom int    `json:"waiting-for-room"`
	} `json:"data-centers"`
}

func newDataCenterList(s *session) *cobra.Command {
	return &cobra.Command{
		Use: "list", Short: "Show all data centres, the last order about each, and what runs there", Args: exactArgs(0),
		RunE: func(*cobra.Command, []string) error {
			answer, err := s.callLeader(forwarder.Call{Kind: forwarder.KindDataCenters})
			if err != nil {
				return err
			}
			if s.output == "json" {
				return s.printJSON(answer.Document)
			}
			var response dataCentersResponse
			if err := json.Unmarshal(answer.Document, &response); err != nil {
				return fmt.Errorf("decode response: %w", err)
			}
			rows := [][]string{{"DATA CENTRE", "STATE", "VERSION", "SINCE", "WORKERS", "RUNS", "LONG-RUNNING", "WAITING FOR ROOM"}}
			for _, dc := range response.DataCenters {
				rows = append(rows, []string{
					dc.Name, dataCenterUse(dc.Emptied), strconv.FormatUint(dc.Version, 10), orderTime(dc.Since), strconv.Itoa(dc.Workers),
					strconv.Itoa(dc.Runs), strconv.Itoa(dc.LongRunning), strconv.Itoa(dc.WaitingForRoom),
				})
			}
			return s.printTable(rows)
		},
	}
}

// orderTime formats a Unix time in milliseconds with its date in UTC, since an order
// may be in effect for days, and 0 as "-".
func orderTime(millis int64) string {
	if millis == 0 {
		return "-"
	}
	return time.UnixMilli(millis).UTC().Format(time.DateTime)
}
