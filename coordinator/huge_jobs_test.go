package coordinator_test

import (
	"context"
	"testing"
	"time"

	"cranberrystack.dev/cranberrystack/forwarder"
	"cranberrystack.dev/cranberrystack/responder"
	"cranberrystack.dev/cranberrystack/scheduler"
)

// Guards against small requests for jobs of very many tasks, whose state uses up the
// memory of every instance, also after each restart: beyond a limit they are refused,
// and ended jobs give their memory back.
func TestHugeJobsAreRefusedBeyondMemory(t *testing.T) {
	huge := scheduler.Request{Spec: "s", Steps: []scheduler.Step{step(50000, 1000, 8)}}
	setup := func(c *cluster) { c.jobMemory = 2*huge.Footprint() + 1<<20 }
	inClusterWith(t, 280, 4, 2, setup, func(c *cluster) {
		c.submit("long", jobID(1), huge)
		c.submit("long", jobID(2), huge)
		refused := c.call(context.Background(), c.submitCall("long", jobID(3), huge))
		if refused.Code != responder.CodeOverloaded || refused.RetryAfterMillis <= 0 {
			t.Errorf("third job: %+v, want it refused with a time to retry", refused)
		}
		c.submit("urgent", jobID(4), scheduler.Request{Spec: "s", Steps: []scheduler.Step{step(1, 500, 1)}})
		c.waitForState("urgent", jobID(4), "completed", 5*time.Second)
		if state := c.state("long", jobID(3)); state != string(forwarder.CodeNoSuchJob) {
			t.Errorf("the refused job is %s", state)
		}
		for _, job := range []int{1, 2} {
			c.cancel("long", jobID(job))
		}
		time.Sleep(2 * time.Second)
		c.submit("long", jobID(3), huge)
	})
}
