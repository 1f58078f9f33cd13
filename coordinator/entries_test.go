package coordinator_test

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"cranberrystack.dev/cranberrystack/forwarder"
	"cranberrystack.dev/cranberrystack/responder"
	"cranberrystack.dev/cranberrystack/scheduler"
)

// Guards against a document that the leader can read but the instances can't once it is
// part of a log entry: they skip the whole entry, with the calls of others in it.
func TestDeeplyNestedDocumentsAreRefused(t *testing.T) {
	inCluster(t, 95, 4, 2, func(c *cluster) {
		for i, depth := range []int{forwarder.MaxDepth + 1, 9990, 9996, 9998, 9999, 10000, 20000} {
			deep := strings.Repeat("[", depth-1) + strings.Repeat("]", depth-1)
			catalog := strings.TrimSuffix(fmt.Sprintf(catalogText, 2+i, 3, 3), "}") + `,"extra":` + deep + `}`
			worker := `{"worker-pool":"pool","address":"w-77:1","data-center":"dc","state":"ready","sequence":1,"born":1,"capacity":{"accelerators":8},"extra":` + deep + `}`
			for _, call := range []forwarder.Call{
				{Kind: forwarder.KindConfigure, Document: json.RawMessage(catalog)},
				{Kind: forwarder.KindReport, Worker: "w-77", Document: json.RawMessage(worker)},
			} {
				for _, h := range c.hosts {
					running, f := h.running()
					if answer := running.Relay(f.Do)(context.Background(), call); answer.Code != responder.CodeInvalid {
						t.Errorf("%s, nested %d deep, at %s: %s %s", call.Kind, depth, h.name, answer.Code, answer.Reason)
					}
				}
			}
			id := jobID(depth)
			c.submit("long", id, scheduler.Request{Spec: "s", Steps: []scheduler.Step{step(1, 100, 1)}})
			c.waitForState("long", id, "completed", 5*time.Second)
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		if strings.Contains(c.logs.String(), "entry-decode-failed") {
			t.Error("an instance skips a log entry that it can't decode")
		}
	})
}
