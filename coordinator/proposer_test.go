package coordinator

import (
	"encoding/json"
	"strings"
	"testing"

	"cranberrystack.dev/cranberrystack/scheduler"
)

// Guards against a log entry of many large jobs that the log can't hold, which would
// end each leader in turn.
func TestBatchIsBoundedInBytes(t *testing.T) {
	const entryLimit = maxBatchBytes + 1<<20
	c := &Coordinator{lead: &leadership{fencingToken: 1}, proposalsReady: make(chan struct{}, 1)}
	var request scheduler.Request
	request.Spec = strings.Repeat("<", scheduler.MaxSpecBytes)
	request.Steps = make([]scheduler.Step, 2000)
	for i := range request.Steps {
		request.Steps[i] = scheduler.Step{Width: 1, EstimateMillis: 123456, NeedsLabel: "<label>", DataRack: "r1-1", Checkpoints: true}
	}
	const jobs = 60
	for range jobs {
		c.enqueue(0, scheduler.Command{Submit: &scheduler.Submit{Job: "0000000000000001", Request: request}})
	}
	taken := 0
	for len(c.queue) > 0 {
		group, batch := c.takeQueued()
		taken += len(group)
		data, err := json.Marshal(batch)
		if err != nil {
			t.Fatal(err)
		}
		if len(data) > entryLimit {
			t.Errorf("an entry has %d bytes, want at most %d", len(data), entryLimit)
		}
	}
	if taken != jobs {
		t.Errorf("%d of %d jobs are taken", taken, jobs)
	}
}
