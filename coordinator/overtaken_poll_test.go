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

// Guards against a task that runs twice at once: the next incarnation of a worker answered a
// poll, then started a run that was assigned to the earlier one, and the answer to the start
// arrived first. The poll result counted as later.
func TestRunStartedByNextIncarnationIsNotLost(t *testing.T) {
	const first = identifier.WorkerID("w-00")
	capacity := scheduler.Resources{CPU: 64000, Memory: 128000, Accelerators: 8}
	var c *cluster
	var registered, polled, started chan struct{}
	setup := func(created *cluster) {
		c, registered, polled, started = created, make(chan struct{}), make(chan struct{}), make(chan struct{})
		c.start = func(ctx context.Context, to coordinator.Destination, order coordinator.StartOrder) (coordinator.OrderAnswer, error) {
			if order.Run.Number != 1 {
				return c.workerCluster.Orders("network").Start(ctx, to, order)
			}
			c.mu.Lock()
			next := c.workerCluster.AddWorker(first, capacity, "a", "r1-0")
			c.workers[first].worker = next
			c.mu.Unlock()
			c.report(ctx, first, next, scheduler.WorkerReady)
			close(registered)
			select {
			case <-polled:
			case <-ctx.Done():
				return coordinator.OrderAnswer{}, faker.ErrNoAnswer
			}
			answer, err := c.workerCluster.Orders("network").Start(ctx, to, order)
			c.logEvent("test-started", "refusal", answer.Refusal, "error", err)
			close(started)
			return answer, err
		}
		c.poll = func(ctx context.Context, caller string, to coordinator.Destination, order coordinator.PollOrder) (scheduler.PollResult, error) {
			select {
			case <-registered:
			default:
				return c.workerCluster.Orders(caller).Poll(ctx, to, order)
			}
			select {
			case <-polled:
				return c.workerCluster.Orders(caller).Poll(ctx, to, order)
			default:
			}
			order.WaitMillis = 0 // as on an instance that polls many workers
			result, err := c.workerCluster.Orders(caller).Poll(ctx, to, order)
			if err == nil {
				close(polled)
				select {
				case <-started:
				case <-ctx.Done():
				}
				time.Sleep(10 * time.Millisecond) // the response is in transit
			}
			return result, err
		}
	}
	inClusterWith(t, 101, 4, 1, setup, func(c *cluster) {
		time.Sleep(time.Minute)
		c.submit("long", jobID(1), scheduler.Request{Spec: "s", Steps: []scheduler.Step{step(1, 5000, 1)}})
		c.waitForState("long", jobID(1), "completed", 40*time.Second)
	})
}
