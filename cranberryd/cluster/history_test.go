package cluster_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sort"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"

	"cranberrystack.dev/cranberrystack/faker"
	"cranberrystack.dev/cranberrystack/identifier"
)

// runRecorder numbers the runs of each request body across all upstreams.
type runRecorder struct {
	mu   sync.Mutex
	runs map[string][]string
}

func (r *runRecorder) run(ctx context.Context, work faker.UpstreamRequest) string {
	r.mu.Lock()
	response := fmt.Sprintf("%s run %d", work.Body, len(r.runs[work.Body])+1)
	r.runs[work.Body] = append(r.runs[work.Body], response)
	r.mu.Unlock()
	_ = faker.Sleep(ctx, 50*time.Millisecond)
	return response
}

// keyedInput is the input of an operation: a keyed request.
type keyedInput struct{ key string }

// keyedOutcome is the output of an operation: what the caller received.
type keyedOutcome struct {
	// response is the body of a complete response, empty without one.
	response string
	// notRun is set if the response said that the request did not run.
	notRun bool
	// possibleResponse is the response of the key's first run, empty if it never ran.
	possibleResponse string
}

// atMostOnceModel is the sequential model of one key. Its state is the response
// of the only run, empty before that run. After "not run" the key has not run
// yet; without a complete response it may or may not have run.
var atMostOnceModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{""} },
	Step: func(state, _, output any) []any {
		ran, _ := state.(string)
		got, _ := output.(keyedOutcome)
		switch {
		case got.response != "":
			if ran == "" || ran == got.response {
				return []any{got.response}
			}
			return nil
		case got.notRun:
			if ran == "" {
				return []any{""}
			}
			return nil
		case ran == "" && got.possibleResponse != "":
			return []any{"", got.possibleResponse}
		}
		return []any{ran}
	},
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, operation := range history {
			request, _ := operation.Input.(keyedInput)
			byKey[request.key] = append(byKey[request.key], operation)
		}
		var parts [][]porcupine.Operation
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
}

// TestKeyedRequestsRunAtMostOnce resends keys while entries are killed, restarted
// or isolated and connections blackholed: no key may run twice or be reported as
// not run after it ran, and a response must be complete and the caller's own.
func TestKeyedRequestsRunAtMostOnce(t *testing.T) {
	const seeds = 12
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkKeyedHistory(t, seed) })
		})
	}
}

func checkKeyedHistory(t *testing.T, seed uint64) {
	const (
		callers = 6
		keys    = 40
		sends   = 30
	)
	random := rand.New(rand.NewPCG(seed, 7))
	instances := threeInstances() // claims on disk
	if seed%2 == 1 {
		instances = controlAndEntries() // claims in memory only
	}
	c := newCluster(t, instances)
	defer c.close()
	recorder := &runRecorder{runs: map[string][]string{}}
	for _, name := range []string{"u1", "u2", "u3"} {
		c.addUpstream(name, 4, "dc1").Run = recorder.run
	}
	c.startWithTestLists()
	began := time.Now()
	var mu sync.Mutex
	var history []porcupine.Operation
	var senders sync.WaitGroup
	for caller := range callers {
		callerRandom := rand.New(rand.NewPCG(seed, uint64(caller)))
		senders.Go(func() {
			for range sends {
				key := fmt.Sprintf("dc1:%d", callerRandom.IntN(keys))
				to := identifier.InstanceID([]string{"a", "b", "c"}[callerRandom.IntN(3)])
				call := time.Since(began)
				result, known := c.sendKeyed(t, to, key)
				operation := porcupine.Operation{
					ClientId: caller, Input: keyedInput{key}, Output: result,
					Call: int64(call), Return: int64(time.Since(began)),
				}
				if !known {
					operation.Return = int64(time.Hour)
				}
				mu.Lock()
				history = append(history, operation)
				mu.Unlock()
				time.Sleep(time.Duration(callerRandom.IntN(400)) * time.Millisecond)
			}
		})
	}
	done := make(chan struct{})
	go func() {
		senders.Wait()
		close(done)
	}()
	c.injectFailures(random, done)
	time.Sleep(time.Minute)
	verifyKeyedHistory(t, recorder, history)
}

// sendKeyed sends a keyed request and returns its outcome, and whether the
// outcome is known.
func (c *cluster) sendKeyed(t *testing.T, to identifier.InstanceID, key string) (keyedOutcome, bool) {
	header := isukuHeader(key)
	header["Cranberry-Deadline-Ms"] = "2000"
	response, err := c.send(to, http.MethodPost, "/v1/requests", isukuToken, header, "body "+key)
	if err != nil {
		return keyedOutcome{}, false
	}
	switch {
	case response.status == http.StatusOK:
		return keyedOutcome{response: response.body}, true
	case response.code() == "not-run" || response.code() == "overloaded":
		return keyedOutcome{notRun: true}, true
	case response.code() == "outcome-unknown" || response.code() == "conflict":
		return keyedOutcome{}, false
	}
	t.Errorf("%s at %s: %d %s", key, to, response.status, response.body)
	return keyedOutcome{}, false
}

// injectFailures injects one failure after another until done is closed. At most
// one entry is unreachable at a time: that is what claims must survive.
func (c *cluster) injectFailures(random *rand.Rand, done <-chan struct{}) {
	for {
		select {
		case <-done:
			c.network.SetPartition(nil)
			return
		case <-time.After(time.Duration(500+random.IntN(1500)) * time.Millisecond):
		}
		entry := []string{"a", "b", "c"}[random.IntN(3)]
		upstream := []string{"u1", "u2", "u3"}[random.IntN(3)]
		switch random.IntN(5) {
		case 0:
			c.kill(identifier.InstanceID(entry))
			time.Sleep(time.Duration(random.IntN(2000)) * time.Millisecond)
			c.start(identifier.InstanceID(entry))
			c.waitReady()
		case 1:
			c.network.BlackholeConnections(upstream)
		case 2:
			c.network.SetPartition(func(from, to string) bool { return from == entry || to == entry })
			time.Sleep(time.Duration(random.IntN(3000)) * time.Millisecond)
			c.network.SetPartition(nil)
		case 3:
			c.network.SetPartition(func(from, to string) bool { return from == entry && to == upstream })
			time.Sleep(time.Duration(random.IntN(2000)) * time.Millisecond)
			c.network.SetPartition(nil)
		case 4:
			c.network.BlackholeConnections(entry)
		}
	}
}

// verifyKeyedHistory checks that no body ran twice and that the history of each
// key fits atMostOnceModel.
func verifyKeyedHistory(t *testing.T, recorder *runRecorder, history []porcupine.Operation) {
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	completed := 0
	for i := range history {
		request, _ := history[i].Input.(keyedInput)
		got, _ := history[i].Output.(keyedOutcome)
		if runs := recorder.runs["body "+request.key]; len(runs) > 0 {
			got.possibleResponse = runs[0]
		}
		if got.response != "" {
			completed++
		}
		history[i].Output = got
	}
	for body, runs := range recorder.runs {
		if len(runs) > 1 {
			t.Errorf("%q ran %d times, want at most 1", body, len(runs))
		}
	}
	if completed < len(history)/4 {
		t.Errorf("only %d of %d requests got a response, want at least a quarter for a meaningful history", completed, len(history))
	}
	model := atMostOnceModel.ToModel()
	for _, part := range atMostOnceModel.Partition(history) {
		if !porcupine.CheckOperations(model, part) {
			t.Errorf("history of a key does not fit a request that runs at most once: %s", formatHistory(part))
		}
	}
}

// formatHistory formats the requests of a key, ordered by send time.
func formatHistory(history []porcupine.Operation) string {
	sort.Slice(history, func(i, j int) bool { return history[i].Call < history[j].Call })
	var text strings.Builder
	for _, operation := range history {
		request, _ := operation.Input.(keyedInput)
		got, _ := operation.Output.(keyedOutcome)
		fmt.Fprintf(&text, "\n%s by %d, %v to %v: %+v", request.key, operation.ClientId,
			time.Duration(operation.Call), time.Duration(operation.Return), got)
	}
	return text.String()
}
