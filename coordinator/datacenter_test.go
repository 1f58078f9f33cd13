package coordinator_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cranberrystack.dev/cranberrystack/coordinator"
	"cranberrystack.dev/cranberrystack/faker"
	"cranberrystack.dev/cranberrystack/forwarder"
	"cranberrystack.dev/cranberrystack/identifier"
	"cranberrystack.dev/cranberrystack/scheduler"
)

// twoDataCenters puts the workers w-00 to w-03 into data centre z0 and all others into
// z1. The settings name z2, which has no workers.
func twoDataCenters(c *cluster) {
	c.dataCenters = []identifier.DataCenterID{"z2"}
	c.dataCenterOf = func(id identifier.WorkerID) identifier.DataCenterID {
		if id < "w-04" {
			return "z0"
		}
		return "z1"
	}
}

func emptyCall(name identifier.DataCenterID) forwarder.Call {
	return forwarder.Call{Kind: forwarder.KindEmptyDataCenter, DataCenter: name}
}

// empty empties z0. The returned function checks that nothing has started there since
// the acknowledgement, except late starts before their deadline.
func (c *cluster) empty() (checkNoStarts func()) {
	c.t.Helper()
	c.callUntilOK(emptyCall("z0"), 60*time.Second)
	acknowledged, events := time.Now(), len(c.workerCluster.History())
	return func() {
		c.t.Helper()
		const latestLate = 2600 * time.Millisecond // 2.5 s on a clock that is 1 % slow
		for _, event := range c.workerCluster.History()[events:] {
			since := event.At.Sub(acknowledged)
			if event.EndKind == "" && c.dataCenterOf(event.Worker) == "z0" && (!event.Late || since > latestLate) {
				c.t.Errorf("%s started on %s %v after the data centre was emptied, late %t", event.Run, event.Worker, since, event.Late)
			}
		}
	}
}

// listDataCenters returns all data centres by name.
func (c *cluster) listDataCenters() map[identifier.DataCenterID]coordinator.DataCenterView {
	c.t.Helper()
	answer := c.callUntilOK(forwarder.Call{Kind: forwarder.KindDataCenters}, 10*time.Second)
	var body struct {
		DataCenters []coordinator.DataCenterView `json:"data-centers"`
	}
	if err := json.Unmarshal(answer.Document, &body); err != nil {
		c.t.Fatal(err)
	}
	views := map[identifier.DataCenterID]coordinator.DataCenterView{}
	for _, view := range body.DataCenters {
		views[view.Name] = view
	}
	return views
}

// addOtherDataCenter adds four workers in z1.
func (c *cluster) addOtherDataCenter() {
	for i := range 4 {
		c.addWorker(identifier.WorkerID(fmt.Sprintf("w-%02d", 4+i)), fullCapacity, "r1-1")
	}
}

// Guards against a start that waits for a connection, or is repeated for lack of an
// answer, and is sent although its data centre was emptied meanwhile; and against a
// withheld run that keeps its task, or the rest of its gang, from running elsewhere.
func TestStartIsWithheldOnceDataCenterIsEmptied(t *testing.T) {
	for i, test := range []struct {
		name       string
		sent, gang bool
	}{{"waits", false, false}, {"repeated", true, false}, {"gang waits", false, true}, {"gang repeated", true, true}} {
		t.Run(test.name, func(t *testing.T) {
			var blocked atomic.Bool
			setup := func(c *cluster) {
				twoDataCenters(c)
				blocked.Store(true)
				deliver := c.workerCluster.Orders("network").Start
				c.start = func(ctx context.Context, to coordinator.Destination, order coordinator.StartOrder) (coordinator.OrderAnswer, error) {
					switch {
					case !blocked.Load():
						return deliver(ctx, to, order)
					case test.sent:
						<-ctx.Done()
						return coordinator.OrderAnswer{}, faker.ErrNoAnswer
					}
					return coordinator.OrderAnswer{}, coordinator.ErrNoConnection
				}
			}
			inClusterWith(t, 300+uint64(i), 4, 4, setup, func(c *cluster) {
				one := step(4, 1000, 8)
				one.Gang = test.gang
				c.submit("long", jobID(1), scheduler.Request{Spec: "s", Steps: []scheduler.Step{one}})
				time.Sleep(200 * time.Millisecond)
				checkNoStarts := c.empty()
				blocked.Store(false)
				c.addOtherDataCenter()
				c.waitForState("long", jobID(1), "completed", 15*time.Second)
				checkNoStarts()
				if runs := c.listDataCenters()["z0"].Runs; runs != 0 {
					t.Errorf("%d runs hold their place in the emptied data centre", runs)
				}
				c.mu.Lock()
				defer c.mu.Unlock()
				logged := c.logs.String()
				if !strings.Contains(logged, "event=start-withheld") {
					t.Error("the log has no start-withheld")
				}
				if !test.sent && !test.gang && strings.Contains(logged, "event=stop-ordered") {
					t.Error("a run that was never sent is stopped instead of dropped")
				}
			})
		})
	}
}

// Guards against an acknowledged order that is lost with its leader or with a restart
// of all instances, and against starts on a worker of the data centre that has started
// again.
func TestEmptiedDataCenterStaysEmptied(t *testing.T) {
	for i, all := range []bool{false, true} {
		t.Run(fmt.Sprintf("all restarted %t", all), func(t *testing.T) {
			inClusterWith(t, 310+uint64(i), 4, 8, twoDataCenters, func(c *cluster) {
				c.submit("long", jobID(1), scheduler.Request{Spec: "s", Steps: []scheduler.Step{step(160, 1500, 1)}})
				time.Sleep(time.Second)
				checkNoStarts := c.empty()
				for i := range 70 { // so many entries that the order is only in a snapshot
					c.configure(2+i, 3)
				}
				crashed := []*host{c.waitForLeader(time.Second)}
				if all {
					crashed = c.hosts
				}
				for _, h := range crashed {
					h.crash()
				}
				c.addWorker("w-00", fullCapacity, "r1-0")
				for _, h := range crashed {
					h.start(false)
				}
				c.waitForState("long", jobID(1), "completed", 60*time.Second)
				checkNoStarts()
				if got := c.listDataCenters()["z0"]; !got.Emptied || got.Version != 1 {
					t.Errorf("z0 is %+v, want it emptied in version 1", got)
				}
				c.callUntilOK(forwarder.Call{Kind: forwarder.KindReturnDataCenter, DataCenter: "z0"}, time.Second)
				time.Sleep(3 * time.Second)
				c.submit("long", jobID(2), scheduler.Request{Spec: "s", Steps: []scheduler.Step{step(64, 1000, 1)}})
				c.waitForState("long", jobID(2), "completed", 3*time.Second)
			})
		})
	}
}

// Guards against an order that takes effect twice, or is refused, if it is sent again
// because its answer was lost with the leader or on the way.
func TestOrderSentAgainTakesEffectOnce(t *testing.T) {
	for delay := range 5 {
		inClusterWith(t, 320+uint64(delay), 4, 8, twoDataCenters, func(c *cluster) {
			version := uint64(0)
			order := emptyCall("z0")
			order.IfVersion = &version
			leader := c.waitForLeader(3 * time.Second)
			go leader.coordinator.Handle(context.Background(), order)
			time.Sleep(time.Duration(delay) * time.Millisecond)
			leader.crash()
			c.callUntilOK(order, 10*time.Second)
			lost, cancel := context.WithCancel(context.Background())
			cancel()
			if answer := c.waitForLeader(time.Second).coordinator.Handle(lost, order); answer.Code != "outcome-unknown" {
				t.Errorf("answer to a caller that has gone: %+v", answer)
			}
			c.callUntilOK(order, time.Second)
			if got := c.listDataCenters()["z0"]; !got.Emptied || got.Version != 1 {
				t.Errorf("after %d ms: z0 is %+v, want it emptied in version 1", delay, got)
			}
		})
	}
}

// Guards against an order or a catalog that undoes the other when both come at once.
func TestOrderAndCatalogDoNotUndoEachOther(t *testing.T) {
	inClusterWith(t, 330, 4, 8, twoDataCenters, func(c *cluster) {
		for version := 2; version < 12; version++ {
			done := make(chan struct{})
			go func() {
				defer close(done)
				c.configure(version, 3)
			}()
			kind := []forwarder.Kind{forwarder.KindEmptyDataCenter, forwarder.KindReturnDataCenter}[version%2]
			c.callUntilOK(forwarder.Call{Kind: kind, DataCenter: "z0"}, 5*time.Second)
			<-done
			catalog := c.callUntilOK(forwarder.Call{Kind: forwarder.KindReadCatalog}, time.Second)
			got := c.listDataCenters()["z0"]
			if got.Emptied != (version%2 == 0) || got.Version != uint64(version-1) || !strings.HasPrefix(string(catalog.Document), fmt.Sprintf(`{"version":%d,`, version)) {
				t.Errorf("round %d: z0 is %+v, catalog %.20s", version, got, catalog.Document)
			}
		}
	})
}

// Guards against orders that a misspelt name, or another operator's change, turns into
// something that nobody wanted: they must be refused and change nothing.
func TestOrdersForDataCentersAreChecked(t *testing.T) {
	inClusterWith(t, 331, 4, 8, twoDataCenters, func(c *cluster) {
		version := func(v uint64) *uint64 { return &v }
		tests := []struct {
			kind      forwarder.Kind
			name      string
			ifVersion *uint64
			want      string
		}{
			{forwarder.KindEmptyDataCenter, "", nil, "invalid"},
			{forwarder.KindEmptyDataCenter, strings.Repeat("z", 257), nil, "invalid"},
			{forwarder.KindEmptyDataCenter, strings.Repeat("z", 256), nil, "not-found"},
			{forwarder.KindEmptyDataCenter, "z9", nil, "not-found"},
			{forwarder.KindReturnDataCenter, "Z0", nil, "not-found"},
			{forwarder.KindEmptyDataCenter, "z0", version(1), "conflict"},
			{forwarder.KindReturnDataCenter, "z0", version(1), "ok"},
			{forwarder.KindEmptyDataCenter, "z2", version(0), "ok"},
			{forwarder.KindEmptyDataCenter, "z2", version(0), "ok"},
			{forwarder.KindReturnDataCenter, "z2", version(0), "conflict"},
		}
		for _, test := range tests {
			call := forwarder.Call{Kind: test.kind, DataCenter: identifier.DataCenterID(test.name), IfVersion: test.ifVersion}
			if answer := c.call(context.Background(), call); string(answer.Code) != test.want {
				t.Errorf("%s %.10q: %s, want %s", test.kind, test.name, answer.Code, test.want)
			}
		}
		got := c.listDataCenters()
		if len(got) != 3 || got["z0"].Version != 0 || got["z0"].Workers != 4 || got["z1"].Emptied || got["z2"].Version != 1 || !got["z2"].Emptied {
			t.Errorf("data centres %+v, want z0 to z2, of which only z2 is emptied", got)
		}
	})
}

// Guards against an acknowledgement that no majority has stored, and against one of an
// order that another leader may have reversed meanwhile.
func TestNoOrderIsAcknowledgedWithoutMajority(t *testing.T) {
	inClusterWith(t, 332, 4, 8, twoDataCenters, func(c *cluster) {
		c.empty()
		old := c.waitForLeader(time.Second)
		c.isolate(true, old.name)
		for _, name := range []identifier.DataCenterID{"z0", "z1"} {
			ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
			if answer := old.coordinator.Handle(ctx, emptyCall(name)); answer.OK() {
				t.Errorf("a leader without a majority acknowledges that %s is emptied", name)
			}
			cancel()
		}
		c.isolate(false, old.name)
		c.callUntilOK(emptyCall("z1"), 10*time.Second)
		for name, view := range c.listDataCenters() {
			if name != "z2" && (!view.Emptied || view.Version != 1) {
				t.Errorf("%s is %+v, want it emptied in version 1", name, view)
			}
		}
	})
}

// Guards against work that is lost or stuck when its data centre is emptied: tasks that
// can resume move, long-running ones no more at a time than their step tolerates, gangs
// as a whole, and a task that would lose its work runs to its end. Operators must see
// what is left and which guarantees no longer fit.
func TestRunsLeaveEmptiedDataCenter(t *testing.T) {
	inClusterWith(t, 340, 4, 4, twoDataCenters, func(c *cluster) {
		longRunning, gang, checkpointing, plain := step(6, 0, 1), step(2, 20000, 2), step(3, 20000, 1), step(3, 8000, 1)
		longRunning.LongRunning, longRunning.MaxUnavailable = true, 2
		gang.Gang, gang.Checkpoints, checkpointing.Checkpoints = true, true, true
		for i, one := range []scheduler.Step{longRunning, gang, checkpointing, plain} {
			c.submit("long", jobID(i+1), scheduler.Request{Spec: "s", Steps: []scheduler.Step{one}})
		}
		time.Sleep(2 * time.Second)
		emptied := time.Now()
		checkNoStarts := c.empty()
		time.Sleep(2 * time.Second)
		if got := c.listDataCenters()["z0"]; got.Runs != 14 || got.LongRunning != 6 || got.WaitingForRoom != 11 {
			t.Errorf("without room elsewhere, z0 has %+v, want 14 runs, 6 of them long-running, 11 that wait for room", got)
		}
		checkKept := func(kept, unkept int) {
			overview := string(c.callUntilOK(forwarder.Call{Kind: forwarder.KindOverview}, time.Second).Document)
			metrics := c.waitForLeader(time.Second).coordinator.Metrics()
			if strings.Count(overview, `"guarantee-kept":true`) != kept || len(metrics.UnkeptGuarantees) != unkept {
				t.Errorf("overview %s, metrics without guarantees of %v, want %d kept and %d not", overview, metrics.UnkeptGuarantees, kept, unkept)
			}
		}
		checkKept(0, 2)
		c.addOtherDataCenter()
		for c.listDataCenters()["z0"].Runs > 0 {
			alive := 0
			for _, run := range c.workerCluster.Running() {
				if run.Task.Job == jobID(1) {
					alive++
				}
			}
			if alive < 4 || time.Since(emptied) > 15*time.Second {
				t.Fatalf("%v after the order, %d of 6 long-running tasks are alive, want at least 4; z0 has %+v", time.Since(emptied), alive, c.listDataCenters()["z0"])
			}
			time.Sleep(20 * time.Millisecond)
		}
		for _, job := range []int{2, 3, 4} {
			c.waitForState("long", jobID(job), "completed", 30*time.Second)
		}
		checkKept(2, 0)
		checkNoStarts()
		starts := map[identifier.JobID]int{}
		for _, event := range c.workerCluster.History() {
			if event.EndKind == "" {
				starts[event.Run.Task.Job]++
			}
		}
		if starts[jobID(1)] != 12 || starts[jobID(2)] != 4 || starts[jobID(3)] != 6 || starts[jobID(4)] != 3 {
			t.Errorf("starts by job %v, want each task but those of the last job to have moved once", starts)
		}
	})
}

// Guards against starts in an emptied data centre, lost work and broken gangs when the
// data centre is emptied and returned again and again under the faults of the schedules.
// Only a late start may arrive there, before its deadline.
func TestSchedulesWithEmptiedDataCenter(t *testing.T) {
	for i := range max(1, *seedCount/4) {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			inClusterWith(t, seed, 4, 8, twoDataCenters, func(c *cluster) {
				s := newSchedule(c, seed)
				var stopping atomic.Bool
				var operator sync.WaitGroup
				operator.Go(func() {
					random := rand.New(rand.NewPCG(seed, 3))
					for !stopping.Load() {
						checkNoStarts := c.empty()
						time.Sleep(time.Duration(random.IntN(8000)) * time.Millisecond)
						checkNoStarts()
						c.callUntilOK(forwarder.Call{Kind: forwarder.KindReturnDataCenter, DataCenter: "z0"}, 60*time.Second)
						time.Sleep(time.Duration(random.IntN(4000)) * time.Millisecond)
					}
				})
				s.run()
				stopping.Store(true)
				operator.Wait()
				s.check()
			})
		})
	}
}
