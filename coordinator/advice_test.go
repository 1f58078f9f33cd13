package coordinator_test

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"cranberrystack.dev/cranberrystack/coordinator"
	"cranberrystack.dev/cranberrystack/forwarder"
	"cranberrystack.dev/cranberrystack/identifier"
	"cranberrystack.dev/cranberrystack/scheduler"
)

// Guards against a job that never starts because advice is requested for other workers
// than those that are allowed, or because its tickets are too old when they arrive.
func TestAdvisedJobStartsOnIdleWorkers(t *testing.T) {
	tests := []struct {
		name                  string
		decide, period, valid int64
		allowed               func(number int) bool
	}{
		{"last rack", 20, 2, 3000, func(number int) bool { return number >= 32 }},
		{"slow", 200, 100, 3000, func(int) bool { return true }},
		{"slow, one in the middle", 200, 100, 3000, func(number int) bool { return number == 21 }},
		{"decision longer than the validity", 3500, 10, 3000, func(number int) bool { return number == 35 }},
	}
	for i, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			setup := func(c *cluster) {
				c.advise = func(ctx context.Context, _ scheduler.StepID, workers []identifier.WorkerID) (coordinator.AdviceAnswer, error) {
					answer := coordinator.AdviceAnswer{ValidMillis: test.valid}
					for number := range 36 {
						if id := identifier.WorkerID(fmt.Sprintf("w-%02d", number)); slices.Contains(workers, id) && test.allowed(number) {
							answer.Allowed = append(answer.Allowed, coordinator.AllowedWorker{Worker: id, Ticket: "t"})
						}
					}
					select {
					case <-time.After(time.Duration(test.decide+test.period*int64(len(workers))) * time.Millisecond):
						return answer, nil
					case <-ctx.Done():
						return coordinator.AdviceAnswer{}, ctx.Err()
					}
				}
			}
			inClusterWith(t, uint64(90+i), 4, 36, setup, func(c *cluster) {
				advice := fmt.Sprintf(`"objective-ms":1000,"advice":{"decide-ms":%d,"period-ms":%d,"valid-ms":%d}`, test.decide, test.period, test.valid)
				document := strings.Replace(fmt.Sprintf(catalogText, 2, 3, 3), `"objective-ms":1000`, advice, 1)
				c.callUntilOK(forwarder.Call{Kind: forwarder.KindConfigure, Document: json.RawMessage(document)}, 5*time.Second)
				c.submit("long", jobID(1), scheduler.Request{Spec: "s", Steps: []scheduler.Step{step(1, 1500, 2)}})
				c.waitForState("long", jobID(1), "completed", 12*time.Second)
			})
		})
	}
}
