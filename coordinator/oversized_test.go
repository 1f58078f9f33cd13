package coordinator_test

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"cranberrystack.dev/cranberrystack/forwarder"
	"cranberrystack.dev/cranberrystack/replicator"
	"cranberrystack.dev/cranberrystack/responder"
	"cranberrystack.dev/cranberrystack/scheduler"
)

// Guards against a command that the log can't hold: it ended each leader that its
// caller sent it to, one after the other.
func TestOversizedCommandEndsNoLeader(t *testing.T) {
	inCluster(t, 290, 4, 2, func(c *cluster) {
		leader := c.waitForLeader(3 * time.Second)
		filler := fmt.Sprintf(`"filler":%q,"queues":`, strings.Repeat("x", replicator.MaxEntryBytes))
		document := strings.Replace(fmt.Sprintf(catalogText, 2, 3, 3), `"queues":`, filler, 1)
		for range 3 {
			answer := c.call(context.Background(), forwarder.Call{Kind: forwarder.KindConfigure, Document: json.RawMessage(document)})
			if answer.Code != responder.CodeTooLarge {
				t.Errorf("answer %s %s, want too-large", answer.Code, answer.Reason)
			}
		}
		if now := c.waitForLeader(5 * time.Second); now != leader {
			t.Errorf("%s leads instead of %s", now.name, leader.name)
		}
		c.submit("long", jobID(1), scheduler.Request{Spec: "s", Steps: []scheduler.Step{step(2, 500, 1)}})
		c.waitForState("long", jobID(1), "completed", 10*time.Second)
	})
}
