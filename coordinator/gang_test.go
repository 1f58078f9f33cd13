package coordinator_test

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"cranberrystack.dev/cranberrystack/coordinator"
	"cranberrystack.dev/cranberrystack/faker"
	"cranberrystack.dev/cranberrystack/identifier"
	"cranberrystack.dev/cranberrystack/scheduler"
)

// checkNoneAlone checks that no member of a gang has waited in vain for the others.
func (c *cluster) checkNoneAlone() {
	c.t.Helper()
	for _, event := range c.workerCluster.History() {
		if event.EndKind == scheduler.EndGangTimeout {
			c.t.Errorf("%s ended alone on %s", event.Run, event.Worker)
		}
	}
}

// A member of a gang that can't be started must not leave the others waiting until they
// end alone. The gang needs all workers, and completes once the last can be used.
func TestGangIsStoppedWhenAMemberCannotStart(t *testing.T) {
	const last = identifier.WorkerID("w-03")
	type startFunc = func(context.Context, coordinator.Destination, coordinator.StartOrder) (coordinator.OrderAnswer, error)
	noConnection := func(context.Context, coordinator.Destination, coordinator.StartOrder) (coordinator.OrderAnswer, error) {
		return coordinator.OrderAnswer{}, fmt.Errorf("too many open files: %w", coordinator.ErrNoConnection)
	}
	noResponse := func(ctx context.Context, _ coordinator.Destination, _ coordinator.StartOrder) (coordinator.OrderAnswer, error) {
		<-ctx.Done()
		return coordinator.OrderAnswer{}, errUnreachable
	}
	tests := []struct {
		name  string
		start startFunc
		// cutOff says that no other order reaches the worker either.
		cutOff bool
	}{
		{name: "no connection", start: noConnection},
		{name: "starts not answered", start: noResponse},
		{name: "worker cut off", start: noResponse, cutOff: true},
	}
	for i, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var healAt time.Time
			setup := func(c *cluster) {
				c.start = func(ctx context.Context, to coordinator.Destination, order coordinator.StartOrder) (coordinator.OrderAnswer, error) {
					if to.Worker == last && time.Now().Before(healAt) {
						return test.start(ctx, to, order)
					}
					return c.workerCluster.Orders("network").Start(ctx, to, order)
				}
			}
			inClusterWith(t, uint64(92+i), 4, 4, setup, func(c *cluster) {
				healAt = time.Now().Add(8 * time.Second)
				c.setPartition(test.cutOff, last)
				gang := step(4, 1000, 8)
				gang.Gang = true
				c.submit("long", jobID(1), scheduler.Request{Spec: "s", Steps: []scheduler.Step{gang}})
				time.Sleep(time.Until(healAt))
				c.setPartition(false, last)
				c.waitForState("long", jobID(1), "completed", 15*time.Second)
				c.checkNoneAlone()
			})
		})
	}
}

// A gang must not be placed again and again on a worker to which no start can be sent while
// others are free.
func TestGangLeavesWorkerThatCannotStartIt(t *testing.T) {
	var mu sync.Mutex
	var blocked identifier.WorkerID
	setup := func(c *cluster) {
		c.start = func(ctx context.Context, to coordinator.Destination, order coordinator.StartOrder) (coordinator.OrderAnswer, error) {
			mu.Lock()
			blocked = cmp.Or(blocked, to.Worker)
			noConnection := to.Worker == blocked
			mu.Unlock()
			if noConnection {
				return coordinator.OrderAnswer{}, fmt.Errorf("too many open files: %w", coordinator.ErrNoConnection)
			}
			return c.workerCluster.Orders("network").Start(ctx, to, order)
		}
	}
	inClusterWith(t, 97, 4, 4, setup, func(c *cluster) {
		gang := step(3, 1000, 8)
		gang.Gang = true
		c.submit("long", jobID(1), scheduler.Request{Spec: "s", Steps: []scheduler.Step{gang}})
		c.waitForState("long", jobID(1), "completed", 6*time.Second)
		c.checkNoneAlone()
	})
}

// Gangs must start as a whole or be stopped in time while starts find no connection,
// responses are lost and the leader lease lapses, without a change of the leader.
func TestNoGangMemberEndsAloneWithoutDisruption(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			random, faults := rand.New(rand.NewPCG(seed, 97)), rand.New(rand.NewPCG(seed, 98))
			var mu sync.Mutex // guards faults and blockedUntil
			blockedUntil := map[identifier.WorkerID]time.Time{}
			setup := func(c *cluster) {
				c.start = func(ctx context.Context, to coordinator.Destination, order coordinator.StartOrder) (coordinator.OrderAnswer, error) {
					mu.Lock()
					blocked := time.Now().Before(blockedUntil[to.Worker])
					if !blocked && faults.IntN(12) == 0 {
						blockedUntil[to.Worker] = time.Now().Add(time.Duration(faults.IntN(5000)) * time.Millisecond)
					}
					mu.Unlock()
					if blocked {
						return coordinator.OrderAnswer{}, fmt.Errorf("too many open files: %w", coordinator.ErrNoConnection)
					}
					return c.workerCluster.Orders("network").Start(ctx, to, order)
				}
			}
			inClusterWith(t, 200+seed, 4, 8, setup, func(c *cluster) {
				c.workerCluster.SetFaults(faker.TaskFaults{LostResponseProbability: 0.05})
				for i := range 12 {
					gang := step(2+random.IntN(4), int64(200+random.IntN(1500)), 4)
					gang.Gang = true
					c.submit("long", jobID(i+1), scheduler.Request{Spec: "s", Steps: []scheduler.Step{gang}})
					time.Sleep(time.Duration(random.IntN(600)) * time.Millisecond)
					if leader := c.leader(); leader != nil && random.IntN(3) == 0 {
						c.lapseLease(leader, time.Duration(random.IntN(400))*time.Millisecond)
					}
				}
				for i := range 12 {
					c.waitForState("long", jobID(i+1), "completed", 60*time.Second)
				}
				c.checkNoneAlone()
			})
		})
	}
}
