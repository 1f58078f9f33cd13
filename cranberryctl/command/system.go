package command

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"cranberrystack.dev/cranberryctl/caller"
)

type peer struct {
	ID      string `json:"id"`
	Address string `json:"address"`
}

type statusResponse struct {
	Instance string `json:"instance"`
	Ready    bool   `json:"ready"`
	Reason   string `json:"reason"`
	Version  uint64 `json:"version"`
	Index    uint64 `json:"index"`
	Members  []struct {
		ID         string   `json:"id"`
		Address    string   `json:"address"`
		DataCenter string   `json:"data-center"`
		Roles      []string `json:"roles"`
		State      string   `json:"state"`
		Index      uint64   `json:"index"`
	} `json:"members"`
	Control []struct {
		ID         string `json:"id"`
		Role       string `json:"role"`
		Leader     string `json:"leader"`
		Term       uint64 `json:"term"`
		Commit     uint64 `json:"commit"`
		Membership struct {
			Voters   []peer `json:"voters"`
			Learners []peer `json:"learners"`
		} `json:"membership"`
		Match map[string]uint64 `json:"match"`
	} `json:"control"`
	Owners []struct {
		DataCenter string `json:"data-center"`
		Owner      string `json:"owner"`
		Epoch      uint64 `json:"epoch"`
	} `json:"owners"`
}

func (s *session) getStatus(cmd *cobra.Command) ([]byte, statusResponse, error) {
	var status statusResponse
	body, err := s.asOperator().Send(cmd.Context(), caller.Request{Method: http.MethodGet, Path: "/v1/status"})
	if err != nil {
		return nil, status, err
	}
	if err := json.Unmarshal(body, &status); err != nil {
		return nil, status, fmt.Errorf("decode status: %w", err)
	}
	return body, status, nil
}

func newStatus(s *session) *cobra.Command {
	return &cobra.Command{
		Use: "status", Short: "Show instances, voters and owners", Args: exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			body, status, err := s.getStatus(cmd)
			if err != nil {
				return err
			}
			if s.output == "json" {
				return s.printJSON(body)
			}
			return s.printStatus(status)
		},
	}
}

func (s *session) printStatus(status statusResponse) error {
	readiness := "ready"
	if !status.Ready {
		readiness = "not ready: " + status.Reason
	}
	fmt.Fprintf(s.out, "%s is %s; lists version %d, index %d\n\n", status.Instance, readiness, status.Version, status.Index)
	rows := [][]string{{"INSTANCE", "STATE", "DATA-CENTER", "ROLES", "ADDRESS", "INDEX"}}
	for _, member := range status.Members {
		rows = append(rows, []string{
			member.ID, member.State, member.DataCenter, strings.Join(member.Roles, ","),
			member.Address, strconv.FormatUint(member.Index, 10),
		})
	}
	rows = append(rows, []string{""}, []string{"CONTROL", "ROLE", "LEADER", "TERM", "COMMIT", "VOTERS"})
	for _, control := range status.Control {
		rows = append(rows, []string{
			control.ID, control.Role, control.Leader, strconv.FormatUint(control.Term, 10),
			strconv.FormatUint(control.Commit, 10), strconv.Itoa(len(control.Membership.Voters)),
		})
	}
	rows = append(rows, []string{""}, []string{"DATA-CENTER", "OWNER", "EPOCH"})
	for _, owner := range status.Owners {
		rows = append(rows, []string{owner.DataCenter, owner.Owner, strconv.FormatUint(owner.Epoch, 10)})
	}
	return s.printTable(rows)
}

type voterChange struct {
	Kind string `json:"kind"`
	Peer peer   `json:"peer"`
}

func newVoters(s *session) *cobra.Command {
	group := &cobra.Command{Use: "voters", Short: "Change which instances are voters"}
	group.AddCommand(newVotersReplace(s), newVotersRemove(s))
	return group
}

func (s *session) changeVoters(cmd *cobra.Command, change voterChange) error {
	body, err := json.Marshal(change)
	if err != nil {
		return fmt.Errorf("encode change: %w", err)
	}
	_, err = s.asOperator().Send(cmd.Context(), caller.Request{Method: http.MethodPost, Path: "/v1/voters", Body: body})
	return err
}

// promoteInterval is the time between two attempts to promote a learner.
const promoteInterval = 300 * time.Millisecond

// newVotersReplace returns the command that adds the new instance as a
// learner, waits until it has caught up, promotes it to a voter, and only then
// removes the lost voter.
func newVotersReplace(s *session) *cobra.Command {
	return &cobra.Command{
		Use: "replace LOST NEW NEW-ADDRESS", Short: "Replace a lost voter with a new instance", Args: exactArgs(3),
		RunE: func(cmd *cobra.Command, arguments []string) error {
			lost, replacement := arguments[0], peer{ID: arguments[1], Address: arguments[2]}
			if err := s.changeVoters(cmd, voterChange{Kind: "add-learner", Peer: replacement}); err != nil {
				return fmt.Errorf("add learner %s: %w", replacement.ID, err)
			}
			fmt.Fprintf(s.out, "%s added, catching up\n", replacement.ID)
			if err := s.promote(cmd, replacement); err != nil {
				return fmt.Errorf("promote learner %s: %w", replacement.ID, err)
			}
			fmt.Fprintf(s.out, "%s is a voter\n", replacement.ID)
			if err := s.changeVoters(cmd, voterChange{Kind: "remove", Peer: peer{ID: lost}}); err != nil {
				return fmt.Errorf("remove voter %s: %w", lost, err)
			}
			fmt.Fprintf(s.out, "%s removed\n", lost)
			return nil
		},
	}
}

// promote promotes a learner. While the learner hasn't caught up the response is
// a conflict, and promote retries until the timeout has passed.
func (s *session) promote(cmd *cobra.Command, learner peer) error {
	deadline := time.Now().Add(s.timeout)
	for {
		err := s.changeVoters(cmd, voterChange{Kind: "promote", Peer: learner})
		if err == nil || time.Now().After(deadline) || exitCode(err) != ExitConflict {
			return err
		}
		time.Sleep(promoteInterval)
	}
}

func newVotersRemove(s *session) *cobra.Command {
	return &cobra.Command{
		Use: "remove INSTANCE", Short: "Remove a voter", Args: exactArgs(1),
		RunE: func(cmd *cobra.Command, arguments []string) error {
			return s.changeVoters(cmd, voterChange{Kind: "remove", Peer: peer{ID: arguments[0]}})
		},
	}
}

type upstreamRecord struct {
	Upstream struct {
		ID      string `json:"id"`
		Address string `json:"address"`
		Slots   int    `json:"slots"`
		State   string `json:"state"`
	} `json:"upstream"`
	Age time.Duration `json:"age-ns"`
}

func newUpstreams(s *session) *cobra.Command {
	return &cobra.Command{
		Use: "upstreams", Short: "Show the upstreams that announce themselves to this instance", Args: exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			body, err := s.asOperator().Send(cmd.Context(), caller.Request{Method: http.MethodGet, Path: "/v1/upstreams"})
			if err != nil {
				return err
			}
			if s.output == "json" {
				return s.printJSON(body)
			}
			var records []upstreamRecord
			if err := json.Unmarshal(body, &records); err != nil {
				return fmt.Errorf("decode upstreams: %w", err)
			}
			rows := [][]string{{"UPSTREAM", "STATE", "SLOTS", "ADDRESS", "HEARD"}}
			for _, record := range records {
				rows = append(rows, []string{
					record.Upstream.ID, record.Upstream.State, strconv.Itoa(record.Upstream.Slots),
					record.Upstream.Address, record.Age.Round(time.Millisecond).String() + " ago",
				})
			}
			return s.printTable(rows)
		},
	}
}

func newClaims(s *session) *cobra.Command {
	group := &cobra.Command{Use: "claims", Short: "Maintain the claims of keyed requests"}
	group.AddCommand(&cobra.Command{
		Use: "reset", Short: "Reset a data centre's claims after all of its entry instances have lost them",
		Long: "Reset a data centre's claims. Requests that have run may run again under their\n" +
			"keys. The command is refused while any instance of the data centre has claims.",
		Args: exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			_, err := s.asOperator().Send(cmd.Context(), caller.Request{Method: http.MethodPost, Path: "/v1/claims/reset"})
			return err
		},
	})
	return group
}
