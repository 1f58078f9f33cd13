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

// change is the input of one compare-and-set.
type change struct {
	expected int
	id       string
}

// changed is its output.
type changed struct {
	accepted, unknown bool
	version           int
	winner            string
}

type register struct {
	version int
	winner  string
}

// compareAndSet is the model of the lists' version.
var compareAndSet = porcupine.NondeterministicModel{
	Init: func() []any { return []any{register{1, "first"}} },
	Step: func(state, input, output any) []any {
		now, _ := state.(register)
		in, _ := input.(change)
		out, _ := output.(changed)
		next := register{now.version + 1, in.id}
		switch {
		case out.accepted && in.expected == now.version && out.version == next.version:
			return []any{next}
		case out.accepted:
			return nil
		case out.unknown && in.expected == now.version:
			return []any{now, next}
		case out.unknown:
			return []any{now}
		case in.expected != now.version && out.version == now.version && out.winner == now.winner:
			return []any{now}
		}
		return nil
	},
}

// TestHistoryOfChanges races operators with equal versions over all instances
// while the leader is killed, cut off and restarted.
func TestHistoryOfChanges(t *testing.T) {
	for seed := range 6 {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			withCluster(t, controlAndEntries(), func(t *testing.T, c *cluster) { checkChanges(t, c, seed) })
		})
	}
}

func checkChanges(t *testing.T, c *cluster, seed int) {
	c.prepare()
	began := time.Now()
	var mu sync.Mutex
	var history []porcupine.Operation
	var racing sync.WaitGroup
	for operator, id := range []identifier.InstanceID{"a", "b", "c"} {
		racing.Go(func() {
			known := 1
			for i := range 12 {
				in := change{expected: known, id: fmt.Sprintf("s%d-o%d-%d", seed, operator, i)}
				call := time.Since(began)
				out := c.tryChange(id, in)
				known = max(known, out.version)
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
		leader := c.leader("x", "y", "z")
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
	racing.Wait()
	accepted := 0
	for _, operation := range history {
		if out, _ := operation.Output.(changed); out.accepted {
			accepted++
		}
	}
	if accepted < 6 {
		t.Errorf("only %d of %d changes were accepted: the history proves little", accepted, len(history))
	}
	if !porcupine.CheckOperations(compareAndSet.ToModel(), history) {
		t.Errorf("history of %d changes is no compare-and-set", len(history))
	}
}

func (c *cluster) tryChange(id identifier.InstanceID, in change) changed {
	body := fmt.Sprintf(`{"request-id":%q,"expected-version":%d,%s}`, in.id, in.expected, listsWithQuota(in.expected))
	answer, err := c.send(id, http.MethodPut, "/v1/lists", operatorToken, nil, body)
	if err != nil || answer.status >= http.StatusInternalServerError {
		return changed{unknown: true}
	}
	var result struct {
		Accepted bool   `json:"accepted"`
		Version  int    `json:"version"`
		Winner   string `json:"winner"`
	}
	if json.Unmarshal([]byte(answer.body), &result) != nil {
		return changed{unknown: true}
	}
	return changed{accepted: result.Accepted, version: result.Version, winner: result.Winner}
}
