package command

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"sort"
	"strconv"

	"github.com/google/uuid"
	"github.com/spf13/cobra"

	"cranberrystack.dev/cranberryctl/caller"
)

// listFile is a file with the two lists. Entries aren't decoded, so that the
// instance validates them, not a command line that may be older.
type listFile struct {
	// Version is the version of saved lists; files written by hand have none.
	Version    uint64            `json:"version,omitempty"`
	Plans      []json.RawMessage `json:"plans"`
	Allowances []json.RawMessage `json:"allowances"`
}

const snapshotMode = 0o600

type applyMessage struct {
	RequestID  string            `json:"request-id"`
	Expected   uint64            `json:"expected-version"`
	Plans      []json.RawMessage `json:"plans"`
	Allowances []json.RawMessage `json:"allowances"`
}

type listsResponse struct {
	Index      uint64            `json:"index"`
	Version    uint64            `json:"version"`
	Age        int64             `json:"age-ms"`
	Plans      []json.RawMessage `json:"plans"`
	Allowances []json.RawMessage `json:"allowances"`
}

type applyResponse struct {
	Accepted bool     `json:"accepted"`
	Version  uint64   `json:"version"`
	Winner   string   `json:"winner"`
	Reason   string   `json:"reason"`
	Effects  []string `json:"effects"`
}

func newLists(s *session) *cobra.Command {
	group := &cobra.Command{Use: "lists", Short: "Show and change the lists of plans and allowances"}
	group.AddCommand(newListsGet(s), newListsDiff(s), newListsApply(s), newListsSnapshot(s), newListsRestore(s))
	return group
}

func (s *session) getLists(cmd *cobra.Command, fresh bool) ([]byte, listsResponse, error) {
	path := "/v1/lists"
	if fresh {
		path += "?fresh=true"
	}
	var lists listsResponse
	body, err := s.asOperator().Send(cmd.Context(), caller.Request{Method: http.MethodGet, Path: path})
	if err != nil {
		return nil, lists, err
	}
	if err := json.Unmarshal(body, &lists); err != nil {
		return nil, lists, fmt.Errorf("decode lists: %w", err)
	}
	return body, lists, nil
}

func newListsGet(s *session) *cobra.Command {
	var fresh bool
	command := &cobra.Command{
		Use: "get", Short: "Show the lists in force", Args: exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			body, lists, err := s.getLists(cmd, fresh)
			if err != nil {
				return err
			}
			if s.output == "json" {
				return s.printJSON(body)
			}
			fmt.Fprintf(s.out, "version %d, index %d, in force here for %d ms\n", lists.Version, lists.Index, lists.Age)
			rows := [][]string{{"LIST", "ENTRY"}}
			for _, plan := range lists.Plans {
				rows = append(rows, []string{"plan", compact(plan)})
			}
			for _, allowance := range lists.Allowances {
				rows = append(rows, []string{"allowance", compact(allowance)})
			}
			return s.printTable(rows)
		},
	}
	command.Flags().BoolVar(&fresh, "fresh", false, "read from the leader, whose lists can't be stale")
	return command
}

func compact(entry json.RawMessage) string {
	var out bytes.Buffer
	if err := json.Compact(&out, entry); err != nil {
		return string(entry)
	}
	return out.String()
}

func (s *session) readLists(path string) (listFile, error) {
	var file listFile
	data, err := s.readFile(path)
	if err != nil {
		return file, err
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	if err := decoder.Decode(&file); err != nil {
		return file, fmt.Errorf("%s: %w: %w", path, err, errUsage)
	}
	return file, nil
}

func newListsDiff(s *session) *cobra.Command {
	return &cobra.Command{
		Use: "diff FILE", Short: "Show what applying a file would change", Args: exactArgs(1),
		RunE: func(cmd *cobra.Command, arguments []string) error {
			file, err := s.readLists(arguments[0])
			if err != nil {
				return err
			}
			_, lists, err := s.getLists(cmd, true)
			if err != nil {
				return err
			}
			effects, err := s.dryRun(cmd, file)
			if err != nil {
				return err
			}
			return s.printDiff(lists, file, effects)
		},
	}
}

func (s *session) printDiff(lists listsResponse, file listFile, effects []string) error {
	changes := append(diffEntries("plan", lists.Plans, file.Plans), diffEntries("allowance", lists.Allowances, file.Allowances)...)
	if s.output == "json" {
		data, err := json.Marshal(changes)
		if err != nil {
			return fmt.Errorf("encode difference: %w", err)
		}
		return s.printJSON(data)
	}
	fmt.Fprintf(s.out, "against version %d: %d changes\n", lists.Version, len(changes))
	for _, change := range changes {
		fmt.Fprintf(s.out, "%s %s %s\n", change.Sign, change.List, change.Entry)
	}
	s.printEffects(effects)
	return nil
}

// change is an entry that applying a file removes ("-") or adds ("+").
type change struct {
	Sign  string `json:"sign"`
	List  string `json:"list"`
	Entry string `json:"entry"`
}

// diffEntries compares entries by value, without the shares of guarantees,
// which the system fills in.
func diffEntries(list string, before, after []json.RawMessage) []change {
	oldEntries, newEntries := normalize(before), normalize(after)
	var changes []change
	for entry := range oldEntries {
		if !newEntries[entry] {
			changes = append(changes, change{"-", list, entry})
		}
	}
	for entry := range newEntries {
		if !oldEntries[entry] {
			changes = append(changes, change{"+", list, entry})
		}
	}
	sort.Slice(changes, func(i, j int) bool {
		if changes[i].Entry != changes[j].Entry {
			return changes[i].Entry < changes[j].Entry
		}
		return changes[i].Sign > changes[j].Sign
	})
	return changes
}

// normalize returns the entries as a set of canonical JSON without shares. An
// entry that isn't valid JSON is used as it is.
func normalize(entries []json.RawMessage) map[string]bool {
	set := map[string]bool{}
	for _, entry := range entries {
		var value any
		if err := json.Unmarshal(entry, &value); err != nil {
			set[string(entry)] = true
			continue
		}
		removeShares(value)
		data, err := json.Marshal(value)
		if err != nil {
			data = entry
		}
		set[string(data)] = true
	}
	return set
}

func removeShares(value any) {
	entry, isObject := value.(map[string]any)
	if !isObject {
		return
	}
	guarantees, _ := entry["guarantees"].([]any)
	for _, guarantee := range guarantees {
		if object, isObject := guarantee.(map[string]any); isObject {
			delete(object, "shares")
		}
	}
}

func newListsApply(s *session) *cobra.Command {
	var expected int64
	var requestID string
	command := &cobra.Command{
		Use: "apply FILE", Short: "Replace both lists", Args: exactArgs(1),
		Long: "Replace both lists with those of a file. Without --expected the version in force\n" +
			"is read first. A retry with the same --request-id gets the first response again.",
		RunE: func(cmd *cobra.Command, arguments []string) error {
			file, err := s.readLists(arguments[0])
			if err != nil {
				return err
			}
			return s.apply(cmd, file, expected, requestID)
		},
	}
	command.Flags().Int64Var(&expected, "expected", -1, "the version that the file replaces")
	command.Flags().StringVar(&requestID, "request-id", "", "the id of this change, for retries")
	return command
}

func (s *session) apply(cmd *cobra.Command, file listFile, expected int64, requestID string) error {
	if expected < 0 {
		_, lists, err := s.getLists(cmd, true)
		if err != nil {
			return err
		}
		expected = int64(lists.Version)
	}
	if requestID == "" {
		requestID = uuid.NewString()
	}
	body, err := json.Marshal(applyMessage{RequestID: requestID, Expected: uint64(expected), Plans: file.Plans, Allowances: file.Allowances})
	if err != nil {
		return fmt.Errorf("encode lists: %w", err)
	}
	responseBody, err := s.asOperator().Send(cmd.Context(), caller.Request{Method: http.MethodPut, Path: "/v1/lists", Body: body})
	if errors.Is(err, caller.ErrOutcomeUnknown) {
		return fmt.Errorf("retry with --request-id %s --expected %d to learn the outcome: %w", requestID, expected, err)
	}
	var result applyResponse
	if parseErr := json.Unmarshal(responseBody, &result); parseErr == nil && result.Winner != "" && !result.Accepted {
		return fmt.Errorf("version %d is in force, set by %s: %w", result.Version, result.Winner, err)
	}
	if err != nil {
		return err
	}
	if s.output == "json" {
		return s.printJSON(responseBody)
	}
	fmt.Fprintln(s.out, "version "+strconv.FormatUint(result.Version, 10)+" accepted")
	s.printEffects(result.Effects)
	return nil
}

func (s *session) printEffects(effects []string) {
	for _, effect := range effects {
		fmt.Fprintln(s.out, "takes effect: "+effect)
	}
}

// dryRun requests the effects that lists would have, without applying them.
func (s *session) dryRun(cmd *cobra.Command, file listFile) ([]string, error) {
	body, err := json.Marshal(applyMessage{RequestID: "dry-run", Plans: file.Plans, Allowances: file.Allowances})
	if err != nil {
		return nil, fmt.Errorf("encode lists: %w", err)
	}
	responseBody, err := s.asOperator().Send(cmd.Context(), caller.Request{Method: http.MethodPut, Path: "/v1/lists?dry-run=true", Body: body})
	if err != nil {
		return nil, err
	}
	var result applyResponse
	if err := json.Unmarshal(responseBody, &result); err != nil {
		return nil, fmt.Errorf("decode effects: %w", err)
	}
	return result.Effects, nil
}

// newListsSnapshot returns the command that saves the leader's lists. They
// include the shares of guarantees, so that a restore gives each data centre
// the shares that it had.
func newListsSnapshot(s *session) *cobra.Command {
	return &cobra.Command{
		Use: "snapshot FILE", Short: "Save the lists in force to a file", Args: exactArgs(1),
		RunE: func(cmd *cobra.Command, arguments []string) error {
			_, lists, err := s.getLists(cmd, true)
			if err != nil {
				return err
			}
			data, err := json.MarshalIndent(listFile{Version: lists.Version, Plans: lists.Plans, Allowances: lists.Allowances}, "", "  ")
			if err != nil {
				return fmt.Errorf("encode lists: %w", err)
			}
			if err := os.WriteFile(arguments[0], append(data, '\n'), snapshotMode); err != nil {
				return fmt.Errorf("save lists: %w", err)
			}
			fmt.Fprintf(s.out, "version %d saved\n", lists.Version)
			return nil
		},
	}
}

// newListsRestore returns the command that applies saved lists as a new
// version, since versions never decrease.
func newListsRestore(s *session) *cobra.Command {
	return &cobra.Command{
		Use: "restore FILE", Short: "Apply saved lists as a new version", Args: exactArgs(1),
		RunE: func(cmd *cobra.Command, arguments []string) error {
			file, err := s.readLists(arguments[0])
			if err != nil {
				return err
			}
			return s.apply(cmd, file, -1, "")
		},
	}
}
