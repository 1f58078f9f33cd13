package coordinator_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"cranberrystack.dev/cranberrystack/coordinator"
	"cranberrystack.dev/cranberrystack/identifier"
	"cranberrystack.dev/cranberrystack/scheduler"
)

// Guards against a task that runs twice at once: a start that had waited for the leader
// lease was sent while the drop of its run, decided meanwhile, was being committed.
func TestNoStartIsSentWhileItsRunIsDropped(t *testing.T) {
	const first = identifier.WorkerID("w-00")
	var waiting chan struct{}
	var c *cluster
	setup := func(created *cluster) {
		c, waiting = created, make(chan struct{})
		c.start = func(ctx context.Context, to coordinator.Destination, order coordinator.StartOrder) (coordinator.OrderAnswer, error) {
			select {
			case <-waiting:
				return c.workerCluster.Orders("network").Start(ctx, to, order)
			default:
				close(waiting)
				return coordinator.OrderAnswer{}, coordinator.ErrNoConnection
			}
		}
	}
	inClusterWith(t, 95, 4, 1, setup, func(c *cluster) {
		leader := c.waitForLeader(time.Second)
		c.workerCluster.SetPartition(leader.name, []identifier.WorkerID{first}, true)
		c.submit("long", jobID(1), scheduler.Request{Spec: "s", Steps: []scheduler.Step{step(1, 8000, 1)}})
		<-waiting
		time.Sleep(10 * time.Millisecond)
		c.addWorker("w-01", scheduler.Resources{CPU: 64000, Memory: 128000, Accelerators: 8}, "r1-0")
		for start := time.Now(); !c.hasLogged("event=leases-expired"); time.Sleep(time.Millisecond) {
			leader.clockAhead.Add(int64(time.Second))
			c.losesEntries.Store(time.Since(start) > 2*reportInterval)
			if time.Since(start) > 20*time.Second {
				c.t.Fatal("the run was not given up")
			}
		}
		c.workerCluster.SetPartition(leader.name, []identifier.WorkerID{first}, false)
		time.Sleep(500 * time.Millisecond)
		c.losesEntries.Store(false)
		c.waitForState("long", jobID(1), "completed", 20*time.Second)
	})
}

// hasLogged reports whether an instance has logged a text.
func (c *cluster) hasLogged(text string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return strings.Contains(c.logs.String(), text)
}
