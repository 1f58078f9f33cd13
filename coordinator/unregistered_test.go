package coordinator_test

import (
	"context"
	"testing"
	"time"

	"cranberrystack.dev/cranberrystack/coordinator"
	"cranberrystack.dev/cranberrystack/identifier"
	"cranberrystack.dev/cranberrystack/scheduler"
)

// Guards against a task that runs twice at once: a start reached the next incarnation of its
// worker, which had not registered, and whose lease then outlasts the deadline that the
// leader counts with.
func TestLeaseOfUnregisteredIncarnationIsAwaited(t *testing.T) {
	const first = identifier.WorkerID("w-00")
	capacity := scheduler.Resources{CPU: 64000, Memory: 128000, Accelerators: 8}
	var c *cluster
	setup := func(created *cluster) {
		c = created
		c.start = func(ctx context.Context, to coordinator.Destination, order coordinator.StartOrder) (coordinator.OrderAnswer, error) {
			if order.Run.Task.Job == jobID(2) && order.Run.Number == 1 {
				c.mu.Lock()
				c.workers[first].worker = c.workerCluster.AddWorker(first, capacity, "a", "r1-0")
				c.workers[first].killed = true // its reports are lost
				c.mu.Unlock()
			}
			return c.workerCluster.Orders("network").Start(ctx, to, order)
		}
	}
	inClusterWith(t, 99, 4, 1, setup, func(c *cluster) {
		time.Sleep(time.Minute)
		leader := c.waitForLeader(time.Second)
		c.submit("long", jobID(1), scheduler.Request{Spec: "s", Steps: []scheduler.Step{step(1, 500, 1)}})
		time.Sleep(100 * time.Millisecond)
		c.workerCluster.SetPartition(leader.name, []identifier.WorkerID{first}, true)
		time.Sleep(15 * time.Second)
		c.submit("long", jobID(2), scheduler.Request{Spec: "s", Steps: []scheduler.Step{step(1, 60000, 1)}})
		c.workerCluster.SetPartition(leader.name, []identifier.WorkerID{first}, false)
		for start := time.Now(); !c.hasLogged("event=worker-responsive"); time.Sleep(500 * time.Microsecond) {
			if time.Since(start) > 20*time.Second {
				c.t.Fatal("the worker did not respond")
			}
		}
		c.workerCluster.SetPartition(leader.name, []identifier.WorkerID{first}, true)
		time.Sleep(100 * time.Millisecond)
		c.addWorker("w-01", capacity, "r1-0")
		time.Sleep(12 * time.Second)
	})
}
