package coordinator_test

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cranberrystack.dev/cranberrystack/forwarder"
	"cranberrystack.dev/cranberrystack/scheduler"
)

// Guards against operators who can't see what competes, and against a new leader that
// counts what the teams hold or wait for otherwise than the previous one.
func TestOverviewShowsTeamShares(t *testing.T) {
	want := []scheduler.TeamShare{
		{Team: "a", Pool: "pool", Weight: 2, Held: scheduler.Resources{CPU: 16000, Memory: 8000, Accelerators: 8}, WaitingTasks: 12},
		{Team: "b", Weight: 1},
	}
	inCluster(t, 300, 4, 1, func(c *cluster) {
		document := strings.ReplaceAll(catalogText, "%d", "2")
		document = strings.Replace(document, `"name":"long",`, `"name":"long","fair-share":true,`, 1)
		document = strings.Replace(document, `"name":"a",`, `"name":"a","weight":2,`, 1)
		c.callUntilOK(forwarder.Call{Kind: forwarder.KindConfigure, Document: json.RawMessage(document)}, time.Second)
		c.submit("long", jobID(1), scheduler.Request{Spec: "s", Steps: []scheduler.Step{step(20, 60000, 1)}})
		time.Sleep(2 * time.Second)
		for _, when := range []string{"first leader", "second leader"} {
			var overview struct {
				TeamShares []scheduler.TeamShare `json:"team-shares"`
			}
			answer := c.callUntilOK(forwarder.Call{Kind: forwarder.KindOverview}, 5*time.Second)
			if err := json.Unmarshal(answer.Document, &overview); err != nil {
				t.Fatal(err)
			}
			if len(overview.TeamShares) != 2 || overview.TeamShares[0].Share <= 0 || overview.TeamShares[0].OldestWaitMillis <= 0 {
				t.Fatalf("%s: shares %+v, want a share and a wait of team a", when, overview.TeamShares)
			}
			overview.TeamShares[0].Share, overview.TeamShares[0].OldestWaitMillis = 0, 0
			if diff := cmp.Diff(want, overview.TeamShares); diff != "" {
				t.Errorf("%s: %s", when, diff)
			}
			c.waitForLeader(time.Second).crash()
			time.Sleep(4 * time.Second)
		}
	})
}

// Guards against an option that does not reach the planner: two teams that submit the
// same within one interval must divide the worker only if the option is set. The team
// that has just held all of it gets less. A quarter is kept free for urgent work.
func TestFairShareDividesPool(t *testing.T) {
	for _, fair := range []bool{false, true} {
		setup := func(c *cluster) { c.fairShare = fair }
		inClusterWith(t, 301, 4, 1, setup, func(c *cluster) {
			c.submit("urgent", jobID(1), scheduler.Request{Spec: "s", Steps: []scheduler.Step{step(1, 2000, 8)}})
			time.Sleep(time.Until(time.Now().Truncate(500 * time.Millisecond).Add(time.Second + time.Millisecond)))
			request := scheduler.Request{Spec: "s", Steps: []scheduler.Step{step(20, 60000, 1)}}
			c.submit("long", jobID(2), request)
			call := c.submitCall("long", jobID(3), request)
			call.Key = otherKey
			c.callUntilOK(call, time.Second)
			time.Sleep(3 * time.Second)
			running := map[bool]int{}
			for _, run := range c.workerCluster.Running() {
				running[run.Task.Job == jobID(2)]++
			}
			want := map[bool]int{true: 6}
			if fair {
				want = map[bool]int{true: 2, false: 4}
			}
			if diff := cmp.Diff(want, running); diff != "" {
				t.Errorf("sharing %t, tasks of the first team (true) and the second:\n%s", fair, diff)
			}
		})
	}
}
