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

// ledger numbers every run of every body on all upstreams.
type ledger struct {
	mu   sync.Mutex
	runs map[string][]string
}

func (l *ledger) run(ctx context.Context, work faker.UpstreamRequest) string {
	l.mu.Lock()
	answer := fmt.Sprintf("%s run %d", work.Body, len(l.runs[work.Body])+1)
	l.runs[work.Body] = append(l.runs[work.Body], answer)
	l.mu.Unlock()
	_ = faker.Sleep(ctx, 50*time.Millisecond)
	return answer
}

// sentRequest is the input of one operation.
type sentRequest struct{ key string }

// outcome is the output of one operation.
type outcome struct {
	// answer is the body of a whole answer.
	answer string
	// notRun is set if the caller was told that the request did not run.
	notRun bool
	// could is the answer of the key's only run, if it ran at all.
	could string
}

// atMostOnce is the model of one key: it has not run, or it has run once and
// has one answer. Told "not run", it has not run by then; without a whole
// answer it may have run or not.
var atMostOnce = porcupine.NondeterministicModel{
	Init: func() []any { return []any{""} },
	Step: func(state, _, output any) []any {
		ran, _ := state.(string)
		got, _ := output.(outcome)
		switch {
		case got.answer != "":
			if ran == "" || ran == got.answer {
				return []any{got.answer}
			}
			return nil
		case got.notRun:
			if ran == "" {
				return []any{""}
			}
			return nil
		case ran == "" && got.could != "":
			return []any{"", got.could}
		}
		return []any{ran}
	},
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, operation := range history {
			request, _ := operation.Input.(sentRequest)
			byKey[request.key] = append(byKey[request.key], operation)
		}
		var parts [][]porcupine.Operation
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
}

// TestHistoryOfKeyedRequests sends and resends keyed requests at all entries
// while entries and upstreams are killed, restarted, cut off and silenced, and
// checks the history: no key runs twice, none that was told "not run" had run,
// every answer is the whole answer to the caller's own request.
func TestHistoryOfKeyedRequests(t *testing.T) {
	const seeds = 12
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkHistory(t, seed) })
		})
	}
}

func checkHistory(t *testing.T, seed uint64) {
	const (
		callers = 6
		keys    = 40
		sends   = 30
	)
	random := rand.New(rand.NewPCG(seed, 7))
	members := trio() // claims on disk
	if seed%2 == 1 {
		members = controlAndEntries() // claims in memory only
	}
	c := newCluster(t, members)
	defer c.close()
	book := &ledger{runs: map[string][]string{}}
	for _, name := range []string{"u1", "u2", "u3"} {
		c.addUpstream(name, 4, "dc1").Run = book.run
	}
	c.prepare()
	began := time.Now()
	var mu sync.Mutex
	var history []porcupine.Operation
	var sending sync.WaitGroup
	for caller := range callers {
		own := rand.New(rand.NewPCG(seed, uint64(caller)))
		sending.Go(func() {
			for range sends {
				key := fmt.Sprintf("dc1:%d", own.IntN(keys))
				to := identifier.InstanceID([]string{"a", "b", "c"}[own.IntN(3)])
				call := time.Since(began)
				result, known := c.sendKeyed(t, to, key)
				operation := porcupine.Operation{
					ClientId: caller, Input: sentRequest{key}, Output: result,
					Call: int64(call), Return: int64(time.Since(began)),
				}
				if !known {
					operation.Return = int64(time.Hour)
				}
				mu.Lock()
				history = append(history, operation)
				mu.Unlock()
				time.Sleep(time.Duration(own.IntN(400)) * time.Millisecond)
			}
		})
	}
	done := make(chan struct{})
	go func() {
		sending.Wait()
		close(done)
	}()
	c.disturb(random, done)
	time.Sleep(time.Minute)
	verify(t, book, history)
}

// sendKeyed returns what the caller learnt, and whether it learnt anything.
func (c *cluster) sendKeyed(t *testing.T, to identifier.InstanceID, key string) (outcome, bool) {
	header := isukuRequest(key)
	header["Cranberry-Deadline-Ms"] = "2000"
	answer, err := c.send(to, http.MethodPost, "/v1/requests", isukuToken, header, "body "+key)
	if err != nil {
		return outcome{}, false
	}
	switch {
	case answer.status == http.StatusOK:
		return outcome{answer: answer.body}, true
	case answer.code() == "not-run" || answer.code() == "overloaded":
		return outcome{notRun: true}, true
	case answer.code() == "outcome-unknown" || answer.code() == "conflict":
		return outcome{}, false
	}
	t.Errorf("%s at %s: %d %s", key, to, answer.status, answer.body)
	return outcome{}, false
}

// disturb brings one failure after another about until the callers are done.
// At most one entry is away at a time, which is what the claims have to bear.
func (c *cluster) disturb(random *rand.Rand, done <-chan struct{}) {
	for {
		select {
		case <-done:
			c.network.SetPartition(nil)
			return
		case <-time.After(time.Duration(500+random.IntN(1500)) * time.Millisecond):
		}
		victim := []string{"a", "b", "c"}[random.IntN(3)]
		upstream := []string{"u1", "u2", "u3"}[random.IntN(3)]
		switch random.IntN(5) {
		case 0:
			c.kill(identifier.InstanceID(victim))
			time.Sleep(time.Duration(random.IntN(2000)) * time.Millisecond)
			c.start(identifier.InstanceID(victim))
			c.waitReady()
		case 1:
			c.network.BlackholeConnections(upstream)
		case 2:
			c.network.SetPartition(func(from, to string) bool { return from == victim || to == victim })
			time.Sleep(time.Duration(random.IntN(3000)) * time.Millisecond)
			c.network.SetPartition(nil)
		case 3:
			c.network.SetPartition(func(from, to string) bool { return from == victim && to == upstream })
			time.Sleep(time.Duration(random.IntN(2000)) * time.Millisecond)
			c.network.SetPartition(nil)
		case 4:
			c.network.BlackholeConnections(victim)
		}
	}
}

func verify(t *testing.T, book *ledger, history []porcupine.Operation) {
	book.mu.Lock()
	defer book.mu.Unlock()
	answered := 0
	for i := range history {
		request, _ := history[i].Input.(sentRequest)
		got, _ := history[i].Output.(outcome)
		if runs := book.runs["body "+request.key]; len(runs) > 0 {
			got.could = runs[0]
		}
		if got.answer != "" {
			answered++
		}
		history[i].Output = got
	}
	for body, runs := range book.runs {
		if len(runs) > 1 {
			t.Errorf("%q ran %d times", body, len(runs))
		}
	}
	if answered < len(history)/4 {
		t.Errorf("only %d of %d sends were answered: the history proves little", answered, len(history))
	}
	model := atMostOnce.ToModel()
	for _, part := range atMostOnce.Partition(history) {
		if !porcupine.CheckOperations(model, part) {
			t.Errorf("history of a key can't be explained by a request that runs at most once: %s", show(part))
		}
	}
}

// show writes the sends of a key in the order in which they were made.
func show(part []porcupine.Operation) string {
	sort.Slice(part, func(i, j int) bool { return part[i].Call < part[j].Call })
	var text strings.Builder
	for _, operation := range part {
		request, _ := operation.Input.(sentRequest)
		got, _ := operation.Output.(outcome)
		fmt.Fprintf(&text, "\n%s by %d, %v to %v: %+v", request.key, operation.ClientId,
			time.Duration(operation.Call), time.Duration(operation.Return), got)
	}
	return text.String()
}
