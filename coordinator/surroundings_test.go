package coordinator_test

import (
	"context"
	"encoding/json"
	"fmt"
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

// fakeMachineManager takes a worker down for the time of an upkeep and then
// starts it again.
type fakeMachineManager struct {
	c          *cluster
	upkeepTime time.Duration

	mu      sync.Mutex
	down    map[identifier.WorkerID]bool
	upkeeps map[scheduler.MachineID]int
	// maxDown is the largest number of machines that were down at once.
	maxDown int
	// orders holds all upkeep orders with their fencing tokens and times.
	orders []upkeepOrder
	// lostResponses is the number of next orders whose response is lost after they
	// are carried out.
	lostResponses int
	// unavailable is the number of next orders that are neither carried out nor answered.
	unavailable int
	interrupted []scheduler.RunID
}

type upkeepOrder struct {
	machine scheduler.MachineID
	token   scheduler.FencingToken
	at      time.Time
}

func (m *fakeMachineManager) list(context.Context) ([]coordinator.Machine, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var machines []coordinator.Machine
	m.c.mu.Lock()
	defer m.c.mu.Unlock()
	for id := range m.c.workers {
		machine := coordinator.Machine{ID: scheduler.MachineID("m-" + string(id)), Pool: "pool", State: coordinator.MachineUp, Worker: id}
		if m.down[id] {
			machine.State, machine.Worker = coordinator.MachineInUpkeep, ""
		}
		machines = append(machines, machine)
	}
	return machines, nil
}

func (m *fakeMachineManager) orderUpkeep(_ context.Context, machine scheduler.MachineID, _ scheduler.WaveID, token scheduler.FencingToken) (coordinator.UpkeepAnswer, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.unavailable > 0 {
		m.unavailable--
		return "", errUnreachable
	}
	m.orders = append(m.orders, upkeepOrder{machine: machine, token: token, at: time.Now()})
	id := identifier.WorkerID(strings.TrimPrefix(string(machine), "m-"))
	if m.upkeeps[machine] == 0 {
		m.upkeeps[machine]++
		m.down[id] = true
		m.maxDown = max(m.maxDown, len(m.down))
		for _, run := range m.c.workerCluster.Running() {
			if worker := m.c.workerCluster.WorkerOf(run); worker == id {
				m.interrupted = append(m.interrupted, run)
			}
		}
		m.c.killWorker(id)
		time.AfterFunc(m.upkeepTime, func() {
			m.mu.Lock()
			defer m.mu.Unlock()
			delete(m.down, id)
			m.c.addWorker(id, scheduler.Resources{CPU: 64000, Memory: 128000, Accelerators: 8}, "r1-0")
		})
	}
	if m.lostResponses > 0 {
		m.lostResponses--
		return "", errUnreachable
	}
	return coordinator.UpkeepAccepted, nil
}

func newFakeMachineManager(c *cluster) *fakeMachineManager {
	m := &fakeMachineManager{c: c, upkeepTime: 2 * time.Second, down: map[identifier.WorkerID]bool{}, upkeeps: map[scheduler.MachineID]int{}}
	c.machines = coordinator.MachineManager{List: m.list, Upkeep: m.orderUpkeep}
	return m
}

func waveCall(wave, limit, seconds int, machines ...string) forwarder.Call {
	document := fmt.Sprintf(`{"wave":%d,"machines":["%s"],"duration-s":%d,"cap":%d}`, wave, strings.Join(machines, `","`), seconds, limit)
	return forwarder.Call{Kind: forwarder.KindStartWave, Document: json.RawMessage(document)}
}

func (c *cluster) waveState(wave int64) string {
	answer := c.call(context.Background(), forwarder.Call{Kind: forwarder.KindWaveProgress, Wave: wave})
	return string(answer.Document)
}

// A wave of upkeep must take every machine down exactly once, no more than its
// cap at a time, and only after its runs are stopped, also when the leader or
// responses of the machine manager are lost. Orders of two leaders for one
// machine must be at least 2.9s apart, since the duty lease is 3s.
func TestUpkeepWave(t *testing.T) {
	tests := []struct {
		name          string
		lostResponses int
		killLeader    bool
	}{{"no faults", 0, false}, {"responses lost", 2, false}, {"leader lost", 0, true}}
	for i, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var m *fakeMachineManager
			setup := func(c *cluster) {
				m = newFakeMachineManager(c)
				m.lostResponses = test.lostResponses
			}
			inClusterWith(t, uint64(40+i), 4, 4, setup, func(c *cluster) {
				checkpointing := step(8, 6000, 2)
				checkpointing.Checkpoints = true
				c.submit("long", jobID(1), scheduler.Request{Spec: "s", Steps: []scheduler.Step{checkpointing}})
				time.Sleep(time.Second)
				c.callUntilOK(waveCall(1, 1, 30, "m-w-00", "m-w-01", "m-w-02"), 2*time.Second)
				c.callUntilOK(waveCall(1, 1, 30, "m-w-00", "m-w-01", "m-w-02"), 2*time.Second)
				if test.killLeader {
					time.Sleep(time.Second)
					leader := c.waitForLeader(3 * time.Second)
					leader.crash()
					time.Sleep(3 * time.Second)
					leader.start(false)
				}
				start := time.Now()
				for c.waveState(1) != `{"state":"completed"}` {
					if time.Since(start) > 30*time.Second {
						t.Fatalf("wave is %s, machines %v", c.waveState(1), m.upkeeps)
					}
					time.Sleep(200 * time.Millisecond)
				}
				if len(m.upkeeps) != 3 || m.maxDown > 1 || len(m.interrupted) > 0 {
					t.Errorf("upkeeps by machine %v, %d machines down at once, runs alive on machines taken down: %v", m.upkeeps, m.maxDown, m.interrupted)
				}
				for i, order := range m.orders {
					for _, later := range m.orders[i+1:] {
						if later.machine == order.machine && later.token != order.token && later.at.Sub(order.at) < 2900*time.Millisecond {
							t.Errorf("%s is ordered by terms %d and %d within %v", order.machine, order.token, later.token, later.at.Sub(order.at))
						}
					}
				}
				c.waitForState("long", jobID(1), "completed", 40*time.Second)
			})
		})
	}
}

// Guards against runs that start on a machine while the machine manager is unavailable and
// the machine's upkeep is ordered again and again, which then ends them.
func TestNoRunStartsBeforeOrderedUpkeep(t *testing.T) {
	var m *fakeMachineManager
	setup := func(c *cluster) {
		m = newFakeMachineManager(c)
		m.unavailable = 6
	}
	inClusterWith(t, 44, 4, 2, setup, func(c *cluster) {
		time.Sleep(2 * time.Second)
		c.callUntilOK(waveCall(1, 1, 30, "m-w-00"), 2*time.Second)
		time.Sleep(1500 * time.Millisecond)
		c.submit("long", jobID(1), scheduler.Request{Spec: "s", Steps: []scheduler.Step{step(2, 6000, 8)}})
		c.waitForState("long", jobID(1), "completed", 25*time.Second)
		if m.upkeeps["m-w-00"] != 1 || len(m.interrupted) > 0 {
			t.Errorf("upkeeps by machine %v, runs alive on machines taken down: %v", m.upkeeps, m.interrupted)
		}
	})
}

// Tasks of a queue with advice must start only on workers that the advice
// allows, and advice must be requested again once its tickets have expired.
func TestTasksStartOnlyOnAdvisedWorkers(t *testing.T) {
	requests := 0
	setup := func(c *cluster) {
		c.advise = func(context.Context, scheduler.StepID, []identifier.WorkerID) (coordinator.AdviceAnswer, error) {
			requests++
			time.Sleep(300 * time.Millisecond)
			return coordinator.AdviceAnswer{ValidMillis: 1000, Allowed: []coordinator.AllowedWorker{{Worker: "w-01", Ticket: "t"}}}, nil
		}
	}
	inClusterWith(t, 50, 4, 4, setup, func(c *cluster) {
		document := strings.Replace(fmt.Sprintf(catalogText, 2, 3, 3), `"objective-ms":1000`, `"objective-ms":1000,"advice":{"decide-ms":100,"period-ms":5,"valid-ms":1000}`, 1)
		c.callUntilOK(forwarder.Call{Kind: forwarder.KindConfigure, Document: json.RawMessage(document)}, 5*time.Second)
		c.submit("long", jobID(1), scheduler.Request{Spec: "s", Steps: []scheduler.Step{step(4, 1500, 4)}})
		c.waitForState("long", jobID(1), "completed", 15*time.Second)
		for _, event := range c.workerCluster.History() {
			if event.Worker != "w-01" {
				t.Errorf("%s runs on %s, which the advice does not allow", event.Run, event.Worker)
			}
		}
		if requests < 2 {
			t.Errorf("advice was requested %d times, want at least 2 as tickets expire between the tasks", requests)
		}
	})
}

// Requests for advice that fail must be repeated with a delay, by one sender.
func TestFailedAdviceRequestsAreDelayed(t *testing.T) {
	var requests atomic.Int64
	setup := func(c *cluster) {
		c.advise = func(context.Context, scheduler.StepID, []identifier.WorkerID) (coordinator.AdviceAnswer, error) {
			requests.Add(1)
			time.Sleep(50 * time.Millisecond)
			return coordinator.AdviceAnswer{}, faker.ErrNoAnswer
		}
	}
	inClusterWith(t, 54, 4, 4, setup, func(c *cluster) {
		document := strings.Replace(fmt.Sprintf(catalogText, 2, 3, 3), `"objective-ms":1000`, `"objective-ms":1000,"advice":{"decide-ms":100,"period-ms":5,"valid-ms":1000}`, 1)
		c.callUntilOK(forwarder.Call{Kind: forwarder.KindConfigure, Document: json.RawMessage(document)}, 5*time.Second)
		c.submit("long", jobID(1), scheduler.Request{Spec: "s", Steps: []scheduler.Step{step(1, 1500, 4)}})
		requests.Store(0)
		time.Sleep(10 * time.Second)
		if most, got := int64(30), requests.Load(); got > most || got == 0 {
			t.Errorf("%d requests in 10 s, want 1 to %d", got, most)
		}
	})
}

// The occurrences of a timed job must start when they are due, and long-running
// tasks must be started again whenever their run ends.
func TestTimedAndLongRunningJobs(t *testing.T) {
	inCluster(t, 51, 4, 4, func(c *cluster) {
		due := time.Now().Add(2 * time.Second)
		c.submit("long", jobID(1), scheduler.Request{
			Spec: "s", Steps: []scheduler.Step{step(1, 300, 1)}, StartAt: scheduler.UnixMilli(due.UnixMilli()), Repeat: 3, IntervalMillis: 1000,
		})
		longRunning := step(2, 0, 1)
		longRunning.LongRunning = true
		c.submit("long", jobID(2), scheduler.Request{Spec: "s", Steps: []scheduler.Step{longRunning}})
		time.Sleep(time.Second)
		c.killWorker(c.workerCluster.WorkerOf(scheduler.RunID{Task: scheduler.TaskID{Job: jobID(2)}, Number: 1}))
		c.waitForState("long", jobID(1), "completed", 10*time.Second)
		time.Sleep(10 * time.Second)
		alive := 0
		for _, run := range c.workerCluster.Running() {
			if run.Task.Job == jobID(2) {
				alive++
			}
		}
		if alive != 2 {
			t.Errorf("%d of 2 long-running tasks are alive", alive)
		}
		for _, event := range c.workerCluster.History() {
			if event.Run.Task.Job != jobID(1) || event.EndKind != "" {
				continue
			}
			wanted := due.Add(time.Duration(event.Run.Task.Occurrence) * time.Second)
			if early := wanted.Sub(event.At); early > 250*time.Millisecond || early < -time.Second && event.Run.Number == 1 {
				t.Errorf("occurrence %d starts %v before it is due", event.Run.Task.Occurrence, early)
			}
		}
		c.cancel("long", jobID(2))
		time.Sleep(time.Second)
	})
}

// The events of a job must be available at every instance, and name its start,
// its preemption and its ends.
func TestExplainListsJobEvents(t *testing.T) {
	inCluster(t, 52, 4, 1, func(c *cluster) {
		c.submit("long", jobID(1), scheduler.Request{Spec: "s", Steps: []scheduler.Step{step(1, 60000, 8)}})
		time.Sleep(time.Second)
		c.submit("urgent", jobID(2), scheduler.Request{Spec: "s", Steps: []scheduler.Step{step(1, 500, 8)}})
		c.waitForState("urgent", jobID(2), "completed", 5*time.Second)
		answer := c.callUntilOK(forwarder.Call{Kind: forwarder.KindExplain, Path: string(jobID(1))}, time.Second)
		for _, wanted := range []string{"accepted in queue long", "given to w-00", "preempted for " + string(jobID(2)), "ended on w-00: stopped"} {
			if !strings.Contains(string(answer.Document), wanted) {
				t.Errorf("%q is missing from the events: %s", wanted, answer.Document)
			}
		}
		overview := c.callUntilOK(forwarder.Call{Kind: forwarder.KindOverview}, time.Second)
		if !strings.Contains(string(overview.Document), `"guaranteed-accelerators":16`) {
			t.Errorf("overview %s", overview.Document)
		}
	})
}

// A worker keeps responding to polls while its tasks are stalled. The tasks must
// be stopped there and run elsewhere.
func TestStalledTasksRunElsewhere(t *testing.T) {
	inCluster(t, 60, 4, 3, func(c *cluster) {
		c.submit("long", jobID(1), scheduler.Request{Spec: "s", Steps: []scheduler.Step{step(2, 3000, 4)}})
		time.Sleep(time.Second)
		first := c.workerCluster.History()[0].Worker
		c.workers[first].worker.SetStalled(true)
		c.waitForState("long", jobID(1), "completed", 12*time.Second)
		stopped := 0
		for _, event := range c.workerCluster.History() {
			if event.EndKind == scheduler.EndStopped && event.Worker == first {
				stopped++
			}
		}
		if stopped == 0 {
			t.Errorf("nothing was stopped on %s", first)
		}
	})
}

// The worker of a task that allows speculative copies is unreachable. A copy must
// start before the lease of the first run ends, so that the job completes by
// then.
func TestSpeculativeCopyOfUnreachableTask(t *testing.T) {
	inCluster(t, 61, 4, 3, func(c *cluster) {
		copied := step(1, 2500, 8)
		copied.SpeculativeCopies = true
		c.submit("long", jobID(1), scheduler.Request{Spec: "s", Steps: []scheduler.Step{copied}})
		time.Sleep(time.Second)
		first := c.workerCluster.History()[0].Worker
		c.setPartition(true, first)
		c.waitForState("long", jobID(1), "completed", 6*time.Second)
	})
}
