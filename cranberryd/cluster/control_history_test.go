package cluster_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"cranberrystack.dev/cranberrystack/identifier"
)

// changeInput is the input of a compare-and-set of the lists.
type changeInput struct {
	expected int
	id       string
}

// changeResult is the output of a compare-and-set. If unknown is set, the change
// may or may not have been applied.
type changeResult struct {
	accepted, unknown bool
	version           int
	winner            string
}

// registerState is the state of the model: the version in force and the change
// that made it.
type registerState struct {
	version int
	winner  string
}

// compareAndSetModel is the sequential model of changes of the lists: a change
// is accepted if it expects the version in force.
var compareAndSetModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{registerState{1, "first"}} },
	Step: func(state, input, output any) []any {
		current, _ := state.(registerState)
		in, _ := input.(changeInput)
		out, _ := output.(changeResult)
		next := registerState{current.version + 1, in.id}
		switch {
		case out.accepted && in.expected == current.version && out.version == next.version:
			return []any{next}
		case out.accepted:
			return nil
		case out.unknown && in.expected == current.version:
			return []any{current, next}
		case out.unknown:
			return []any{current}
		case in.expected != current.version && out.version == current.version && out.winner == current.winner:
			return []any{current}
		}
		return nil
	},
}

// TestListChangesAreLinearizable lets operators change the lists concurrently
// through all entries while leaders are killed and restarted or partitioned, and
// checks that the history is linearizable.
func TestListChangesAreLinearizable(t *testing.T) {
	for seed := range 6 {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			withCluster(t, controlAndEntries(), func(t *testing.T, c *cluster) { checkChangeHistory(t, c, seed) })
		})
	}
}

func checkChangeHistory(t *testing.T, c *cluster, seed int) {
	c.startWithTestLists()
	began := time.Now()
	var mu sync.Mutex
	var history []porcupine.Operation
	var operators sync.WaitGroup
	for operator, id := range []identifier.InstanceID{"a", "b", "c"} {
		operators.Go(func() {
			knownVersion := 1
			for i := range 12 {
				in := changeInput{expected: knownVersion, id: fmt.Sprintf("s%d-o%d-%d", seed, operator, i)}
				call := time.Since(began)
				out := c.sendChange(id, in)
				knownVersion = max(knownVersion, out.version)
				operation := porcupine.Operation{ClientId: operator, Input: in, Output: out, Call: int64(call), Return: int64(time.Since(began))}
				if out.unknown {
					operation.Return = int64(10 * time.Hour)
				}
				mu.Lock()
				history = append(history, operation)
				mu.Unlock()
				time.Sleep(time.Duration(100+37*operator*(seed+1)) * time.Millisecond)
			}
		})
	}
	for round := range 3 {
		time.Sleep(time.Second)
		leader := c.waitLeader("x", "y", "z")
		if (round+seed)%2 == 0 {
			c.kill(leader)
			time.Sleep(3 * time.Second)
			c.start(leader)
		} else {
			c.network.SetPartition(isolated(leader))
			time.Sleep(5 * time.Second)
			c.network.SetPartition(nil)
		}
	}
	operators.Wait()
	accepted := 0
	for _, operation := range history {
		if out, _ := operation.Output.(changeResult); out.accepted {
			accepted++
		}
	}
	if accepted < 6 {
		t.Errorf("only %d of %d changes were accepted, want at least 6 for a meaningful history", accepted, len(history))
	}
	if !porcupine.CheckOperations(compareAndSetModel.ToModel(), history) {
		t.Errorf("history of %d changes is not linearizable as compare-and-set", len(history))
	}
}

func (c *cluster) sendChange(id identifier.InstanceID, in changeInput) changeResult {
	body := fmt.Sprintf(`{"request-id":%q,"expected-version":%d,%s}`, in.id, in.expected, listsWithQuota(in.expected))
	response, err := c.send(id, http.MethodPut, "/v1/lists", operatorToken, nil, body)
	if err != nil || response.status >= http.StatusInternalServerError {
		return changeResult{unknown: true}
	}
	var result struct {
		Accepted bool   `json:"accepted"`
		Version  int    `json:"version"`
		Winner   string `json:"winner"`
	}
	if json.Unmarshal([]byte(response.body), &result) != nil {
		return changeResult{unknown: true}
	}
	return changeResult{accepted: result.Accepted, version: result.Version, winner: result.Winner}
}
