package coordinator_test

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"cranberrystack.dev/cranberrystack/estimator"
	"cranberrystack.dev/cranberrystack/forwarder"
	"cranberrystack.dev/cranberrystack/scheduler"
)

// What was learned from the ends of runs must be at every instance, since a new leader
// plans with it, and must outlive compactions and a change of the leader.
func TestEstimatesOutliveTheLeader(t *testing.T) {
	setup := func(c *cluster) { c.learnRunTimes = true }
	inClusterWith(t, 61, 4, 3, setup, func(c *cluster) {
		for number := range 12 {
			c.submit("long", jobID(number+1), scheduler.Request{Spec: "s", Steps: []scheduler.Step{step(2, 800, 4)}})
			c.waitForState("long", jobID(number+1), "completed", 10*time.Second)
		}
		var before, after struct {
			InUse      bool                    `json:"in-use"`
			Statistics estimator.Statistics    `json:"statistics"`
			Machines   []estimator.MachineView `json:"machines"`
		}
		read := func(into any) {
			answer := c.callUntilOK(forwarder.Call{Kind: forwarder.KindEstimates}, 10*time.Second)
			if err := json.Unmarshal(answer.Document, into); err != nil {
				t.Fatal(err)
			}
		}
		read(&before)
		c.waitForLeader(10 * time.Second).crash()
		read(&after)
		if !before.InUse || before.Statistics.Samples != 24 || after.Statistics.Samples != 24 || len(after.Machines) != len(before.Machines) {
			t.Errorf("before the leader crashed %+v, then %+v, want 24 samples", before, after)
		}
		c.submit("long", jobID(90), scheduler.Request{Spec: "s", Steps: []scheduler.Step{step(1, 9000, 4)}})
		answer := c.callUntilOK(forwarder.Call{Kind: forwarder.KindExplain, Path: string(jobID(90))}, time.Second)
		if !strings.Contains(string(answer.Document), `"steps":[{"step":0,"declared-ms":9000,"expected-ms":`) {
			t.Errorf("explanation without run times: %s", answer.Document)
		}
	})
}
