package coordinator_test

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"cranberrystack.dev/cranberrystack/forwarder"
	"cranberrystack.dev/cranberrystack/identifier"
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

// Guards against odd entries of another writer that take a worker out of use, or that an
// instance does not survive: both workers must be usable afterwards, also once all
// instances have restarted from their logs.
func TestOddReportsLeaveWorkersInUse(t *testing.T) {
	odd := []string{
		`"born":32503680000000,"sequence":1`, `"born":9223372036854775807,"sequence":1`, `"born":1e400,"sequence":1`,
		`"born":1,"sequence":9223372036854775807`, `"born":1,"sequence":1e30`, `"born":1,"sequence":-1`,
		`"born":now,"sequence":1,"clock-ms":9223372036854775807`, `"born":now,"sequence":1,"address":"w-00:65536"`,
		`"born":now,"sequence":1,"address":"w-00:0"`, `"born":now,"sequence":1,"capacity":{"accelerators":1e40}`,
		`"born":now,"sequence":1,"labels":` + strings.Repeat("[", 9999) + strings.Repeat("]", 9999),
		`"born":now,"sequence":1,"extra":` + strings.Repeat(`{"a":`, 9998) + "1" + strings.Repeat("}", 9998),
	}
	inCluster(t, 96, 4, 2, func(c *cluster) {
		for _, fields := range odd {
			for _, id := range []identifier.WorkerID{"w-00", "w-77"} {
				document := `{"worker-pool":"pool","address":"w-00:1","data-center":"dc","state":"ready","clock-ms":1,"capacity":{"cpu-milli":64000,"memory-mib":128000,"accelerators":8},` +
					strings.Replace(fields, "now", fmt.Sprint(time.Now().UnixMilli()), 1) + `}`
				for _, h := range c.hosts {
					running, f := h.running()
					answer := running.Relay(f.Do)(context.Background(), forwarder.Call{Kind: forwarder.KindReport, Worker: id, Document: json.RawMessage(document)})
					if answer.Code != responder.CodeInvalid {
						t.Errorf("%s answers %.80s of %s with %s", h.name, fields, id, answer.Code)
					}
				}
			}
		}
		both := step(2, 300, 8)
		both.Gang = true
		c.submit("long", jobID(1), scheduler.Request{Spec: "s", Steps: []scheduler.Step{both}})
		c.waitForState("long", jobID(1), "completed", 5*time.Second)
		for _, h := range c.hosts {
			h.crash()
		}
		for _, h := range c.hosts {
			h.start(false)
		}
		time.Sleep(5 * time.Second)
		c.submit("long", jobID(2), scheduler.Request{Spec: "s", Steps: []scheduler.Step{both}})
		c.waitForState("long", jobID(2), "completed", 10*time.Second)
	})
}

// Guards against a worker that stays out of use because a Leave of its earlier life arrived
// late.
func TestLateLeaveKeepsWorkerInUse(t *testing.T) {
	inCluster(t, 97, 4, 2, func(c *cluster) {
		c.callUntilOK(forwarder.Call{Kind: forwarder.KindLeave, Worker: "w-00"}, 5*time.Second)
		time.Sleep(2 * reportInterval)
		both := step(2, 300, 8)
		both.Gang = true
		c.submit("long", jobID(1), scheduler.Request{Spec: "s", Steps: []scheduler.Step{both}})
		c.waitForState("long", jobID(1), "completed", 5*time.Second)
	})
}
