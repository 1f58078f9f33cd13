package coordinator_test

import (
	"context"
	"testing"
	"time"

	"cranberrystack.dev/cranberrystack/coordinator"
	"cranberrystack.dev/cranberrystack/faker"
	"cranberrystack.dev/cranberrystack/identifier"
	"cranberrystack.dev/cranberrystack/scheduler"
)

// Guards against a task that runs twice at once: the answer of an earlier incarnation to a
// start arrived after the next one had registered. Its clock counted as that of the next
// one, which then accepted a start long after its run had been given up.
func TestClockOfEarlierIncarnationIsNotUsed(t *testing.T) {
	const first = identifier.WorkerID("w-00")
	var c *cluster
	var started, registered chan struct{}
	var late chan coordinator.StartOrder
	setup := func(created *cluster) {
		c, started, registered, late = created, make(chan struct{}), make(chan struct{}), make(chan coordinator.StartOrder, 1)
		c.start = func(ctx context.Context, to coordinator.Destination, order coordinator.StartOrder) (coordinator.OrderAnswer, error) {
			switch {
			case order.Run.Number == 1:
				answer, err := c.workerCluster.Orders("network").Start(ctx, to, order)
				close(started)
				<-registered // the answer is in transit
				return answer, err
			case to.Worker == first:
				select {
				case late <- order:
				default:
				}
				<-ctx.Done()
				return coordinator.OrderAnswer{}, faker.ErrNoAnswer
			}
			return c.workerCluster.Orders("network").Start(ctx, to, order)
		}
	}
	inClusterWith(t, 96, 4, 1, setup, func(c *cluster) {
		capacity := scheduler.Resources{CPU: 64000, Memory: 128000, Accelerators: 8}
		time.Sleep(time.Minute)
		c.submit("long", jobID(1), scheduler.Request{Spec: "s", Steps: []scheduler.Step{step(1, 60000, 1)}})
		<-started
		c.mu.Lock()
		next := c.workerCluster.AddWorker(first, capacity, "a", "r1-0")
		c.workers[first].worker = next
		c.mu.Unlock()
		c.report(context.Background(), first, next, scheduler.WorkerReady)
		close(registered)
		order := <-late
		c.setPartition(true, first)
		c.mu.Lock()
		c.workers[first].killed = true // it reports no more
		c.mu.Unlock()
		c.addWorker("w-01", capacity, "r1-0")
		time.Sleep(15 * time.Second)
		if runs := c.workerCluster.Running(); len(runs) != 1 {
			c.t.Fatalf("%v run, want one on w-01", runs)
		}
		answer, err := c.workerCluster.Orders("network").Start(context.Background(), coordinator.Destination{Worker: first}, order)
		c.t.Logf("%s, deadline %d: %+v %v", order.Run, order.Deadline, answer, err)
	})
}
