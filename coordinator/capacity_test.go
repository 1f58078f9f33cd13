package coordinator_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"cranberrystack.dev/cranberrystack/coordinator"
	"cranberrystack.dev/cranberrystack/faker"
	"cranberrystack.dev/cranberrystack/forwarder"
	"cranberrystack.dev/cranberrystack/identifier"
	"cranberrystack.dev/cranberrystack/scheduler"
)

// capacityGrace is the time after which a start must respect a capacity that has
// shrunk: a contact of 3 s and one report more.
const capacityGrace = 3*time.Second + reportInterval

var (
	fullCapacity  = scheduler.Resources{CPU: 64000, Memory: 128000, Accelerators: 8}
	smallCapacity = scheduler.Resources{CPU: 16000, Memory: 32000, Accelerators: 2}
)

// ignoreCapacity makes all workers start what they are told to, and says so in the
// catalog.
func (c *cluster) ignoreCapacity() {
	c.t.Helper()
	c.workerCluster.CapacityGrace = capacityGrace
	for _, state := range c.workers {
		state.worker.IgnoreCapacity()
	}
	document := strings.Replace(fmt.Sprintf(catalogText, 2, 3, 3), `"guards-capacity":true`, `"guards-capacity":false`, 1)
	c.callUntilOK(forwarder.Call{Kind: forwarder.KindConfigure, Document: json.RawMessage(document)}, 5*time.Second)
}

// Guards against starts that bring a worker over a capacity that shrinks and grows
// while it runs, also across changes of the leader and late orders.
func TestChangingCapacityIsNotExceeded(t *testing.T) {
	for _, ignores := range []bool{true, false} {
		for seed := uint64(260); seed < 270; seed++ {
			t.Run(fmt.Sprintf("ignored %t/%d", ignores, seed), func(t *testing.T) {
				inCluster(t, seed, 4, 8, func(c *cluster) {
					if ignores {
						c.ignoreCapacity()
					}
					c.changeCapacities(rand.New(rand.NewPCG(seed, 3)))
					if runs := c.workerCluster.ExceededCapacity(); len(runs) > 0 {
						t.Errorf("starts over the capacity of their workers: %v", runs)
					}
				})
			})
		}
	}
}

// changeCapacities submits jobs while the capacities of the workers change and leaders
// crash, and waits until all jobs are completed.
func (c *cluster) changeCapacities(random *rand.Rand) {
	c.workerCluster.SetFaults(faker.TaskFaults{LateProbability: 0.05, LateDelay: 3 * time.Second})
	queues := []string{"urgent", "long"}
	for round := range 15 {
		for range 3 {
			capacity := []scheduler.Resources{fullCapacity, smallCapacity}[random.IntN(2)]
			c.workers[c.workerNumber(random.IntN(8))].worker.SetCapacity(capacity)
		}
		one := step(1+random.IntN(6), int64(500+random.IntN(5000)), int64(1+random.IntN(2)))
		one.Gang = random.IntN(3) == 0
		c.submit(queues[round%2], jobID(round+1), scheduler.Request{Spec: "s", Steps: []scheduler.Step{one}})
		if random.IntN(4) == 0 {
			if leader := c.leader(); leader != nil {
				leader.crash()
				time.Sleep(time.Second)
				leader.start(false)
			}
		}
		time.Sleep(time.Duration(random.IntN(1200)) * time.Millisecond)
	}
	c.workerCluster.SetFaults(faker.TaskFaults{})
	for round := range 15 {
		c.waitForState(queues[round%2], jobID(round+1), "completed", 60*time.Second)
	}
}

// Guards against a start that waits for a connection and is repeated while the capacity
// of its worker shrinks, and is then sent all the same.
func TestWaitingStartRespectsShrunkCapacity(t *testing.T) {
	var deliver func(context.Context, coordinator.Destination, coordinator.StartOrder) (coordinator.OrderAnswer, error)
	var blockedUntil time.Time
	lostCalls := 2
	setup := func(c *cluster) {
		deliver = c.workerCluster.Orders("network").Start
		c.start = func(ctx context.Context, to coordinator.Destination, order coordinator.StartOrder) (coordinator.OrderAnswer, error) {
			switch {
			case time.Now().Before(blockedUntil):
				return coordinator.OrderAnswer{}, coordinator.ErrNoConnection
			case !blockedUntil.IsZero() && lostCalls > 0:
				lostCalls--
				<-ctx.Done()
				return coordinator.OrderAnswer{}, faker.ErrNoAnswer
			}
			return deliver(ctx, to, order)
		}
	}
	inClusterWith(t, 270, 4, 1, setup, func(c *cluster) {
		c.ignoreCapacity()
		c.submit("long", jobID(1), scheduler.Request{Spec: "s", Steps: []scheduler.Step{step(2, 20000, 1)}})
		// The capacity shrinks right after a report, and the job comes right before the
		// next one.
		time.Sleep(2*reportInterval - time.Since(c.startedAt)%reportInterval + 20*time.Millisecond)
		c.workers["w-00"].worker.SetCapacity(smallCapacity)
		time.Sleep(reportInterval - 70*time.Millisecond)
		blockedUntil = time.Now().Add(2900 * time.Millisecond)
		c.submit("long", jobID(2), scheduler.Request{Spec: "s", Steps: []scheduler.Step{step(1, 1000, 4)}})
		time.Sleep(8 * time.Second)
		if runs := c.workerCluster.ExceededCapacity(); len(runs) > 0 {
			t.Errorf("starts over the capacity of their worker: %v", runs)
		}
		c.workers["w-00"].worker.SetCapacity(fullCapacity)
		c.waitForState("long", jobID(2), "completed", 30*time.Second)
	})
}

// Guards against starts on a worker of which nobody knows the capacity: its reports no
// longer arrive, or other instances compare them with an earlier registration.
func TestUnknownCapacityGetsNoStarts(t *testing.T) {
	const silent = identifier.WorkerID("w-00")
	for i, outdated := range []bool{false, true} {
		t.Run(fmt.Sprintf("outdated contacts %t", outdated), func(t *testing.T) {
			inCluster(t, 271+uint64(i), 4, 1, func(c *cluster) {
				c.ignoreCapacity()
				c.submit("long", jobID(1), scheduler.Request{Spec: "s", Steps: []scheduler.Step{step(1, 60000, 1)}})
				time.Sleep(time.Second)
				c.setKilled(silent, true) // it reports no more, but runs on
				worker := c.workers[silent].worker
				worker.SetCapacity(smallCapacity)
				time.Sleep(capacityGrace)
				c.submit("long", jobID(2), scheduler.Request{Spec: "s", Steps: []scheduler.Step{step(1, 1000, 6)}})
				for range 6 {
					time.Sleep(500 * time.Millisecond)
					if outdated {
						sequence, clock := worker.NextReport()
						c.waitForLeader(time.Second).coordinator.HandleContacts([]coordinator.Contact{{
							Worker: silent, Incarnation: worker.Incarnation, Sequence: sequence, Registered: -1, Clock: clock,
						}})
					}
				}
				if runs := c.workerCluster.ExceededCapacity(); len(runs) > 0 {
					t.Errorf("starts over the capacity of their worker: %v", runs)
				}
				worker.SetCapacity(fullCapacity)
				c.setKilled(silent, false)
				c.waitForState("long", jobID(2), "completed", 10*time.Second)
			})
		})
	}
}

func (c *cluster) setKilled(id identifier.WorkerID, killed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.workers[id].killed = killed
}
