package coordinator_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"cranberrystack.dev/cranberrystack/coordinator"
	"cranberrystack.dev/cranberrystack/identifier"
	"cranberrystack.dev/cranberrystack/scheduler"
)

// Guards against a start on a worker whose draining has been acknowledged more than 2 s
// before: the start waited for a connection of this instance, or for the leader lease.
func TestNoStartIsSentToDrainingWorker(t *testing.T) {
	const first = identifier.WorkerID("w-00")
	for i, lapsed := range []bool{false, true} {
		t.Run(fmt.Sprintf("lapse %t", lapsed), func(t *testing.T) {
			var c *cluster
			var waiting chan struct{}
			var acked time.Time
			setup := func(created *cluster) {
				c, waiting = created, make(chan struct{})
				c.start = func(ctx context.Context, to coordinator.Destination, order coordinator.StartOrder) (coordinator.OrderAnswer, error) {
					select {
					case <-waiting:
						c.mu.Lock()
						at := acked
						c.mu.Unlock()
						if !lapsed && (at.IsZero() || time.Since(at) < 2200*time.Millisecond) {
							return coordinator.OrderAnswer{}, coordinator.ErrNoConnection
						}
						return c.workerCluster.Orders("network").Start(ctx, to, order)
					default:
						close(waiting)
						return coordinator.OrderAnswer{}, coordinator.ErrNoConnection
					}
				}
			}
			inClusterWith(t, 97+uint64(i), 4, 1, setup, func(c *cluster) {
				leader := c.waitForLeader(time.Second)
				c.submit("long", jobID(1), scheduler.Request{Spec: "s", Steps: []scheduler.Step{step(1, 3000, 1)}})
				<-waiting
				if lapsed {
					leader.clockAhead.Add(int64(time.Second))
				}
				c.mu.Lock()
				c.workers[first].state = scheduler.WorkerDraining
				worker := c.workers[first].worker
				c.mu.Unlock()
				c.report(context.Background(), first, worker, scheduler.WorkerDraining)
				c.mu.Lock()
				acked = time.Now()
				c.mu.Unlock()
				if lapsed {
					c.lapseLease(leader, 2500*time.Millisecond)
				}
				time.Sleep(3 * time.Second)
				for _, event := range c.workerCluster.History() {
					if event.EndKind == "" && event.At.Sub(acked) > 2*time.Second {
						c.t.Errorf("lapse %t: %s started %v after %s was acknowledged as draining", lapsed, event.Run, event.At.Sub(acked), first)
					}
				}
			})
		})
	}
}
