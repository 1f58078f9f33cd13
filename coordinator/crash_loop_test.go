package coordinator_test

import (
	"strings"
	"testing"
	"time"

	"cranberrystack.dev/cranberrystack/faker"
	"cranberrystack.dev/cranberrystack/forwarder"
	"cranberrystack.dev/cranberrystack/identifier"
	"cranberrystack.dev/cranberrystack/scheduler"
)

const (
	crashDelay       = 10 * time.Millisecond
	crashRestartTime = 3 * time.Second
	// maxCrashLoopStarts is the number of starts of a task up to which it may crash its
	// workers: three, and two more.
	maxCrashLoopStarts = 5
)

// Guards against a task that crashes each worker that starts it and is started again
// without end, on one worker after the other.
func TestCrashLoopingTaskIsGivenUp(t *testing.T) {
	gang := step(3, 2000, 2)
	gang.Gang = true
	copied := step(3, 2000, 2)
	copied.SpeculativeCopies = true
	lasting := step(3, 2000, 2)
	lasting.LongRunning = true
	tests := []struct {
		name   string
		queue  string
		step   scheduler.Step
		faults faker.TaskFaults
		fault  func(c *cluster)
		// restart is how long a crashed worker takes to start again; crashRestartTime
		// if 0.
		restart time.Duration
	}{
		{name: "tasks", queue: "long", step: step(3, 2000, 2)},
		{name: "urgent", queue: "urgent", step: step(3, 2000, 2)},
		{name: "gang", queue: "long", step: gang},
		{name: "copies", queue: "long", step: copied},
		{name: "long-running", queue: "long", step: lasting},
		{name: "late orders", queue: "long", step: step(3, 2000, 2), faults: faker.TaskFaults{LateProbability: 0.1, LateDelay: 4 * time.Second}},
		{name: "leaders crash", queue: "long", step: step(3, 2000, 2), fault: crashLeaders},
		{name: "all restart", queue: "urgent", step: gang, fault: restartAll},
		{name: "restart after the leases have ended", queue: "long", step: step(3, 2000, 2), restart: 9 * time.Second},
	}
	for i, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			setup := func(c *cluster) {
				c.restartCrashed(max(test.restart, crashRestartTime))
				c.workerCluster.CrashDelay = func(task scheduler.TaskID) (time.Duration, bool) {
					return crashDelay, task.Job == jobID(1) && task.Index == 1
				}
			}
			inClusterWith(t, uint64(240+i), 4, 8, setup, func(c *cluster) {
				c.workerCluster.SetFaults(test.faults)
				c.submit("long", jobID(2), scheduler.Request{Spec: "s", Steps: []scheduler.Step{step(8, 4000, 2)}})
				c.submit(test.queue, jobID(1), scheduler.Request{Spec: "s", Steps: []scheduler.Step{test.step}})
				if test.fault != nil {
					test.fault(c)
				}
				c.waitForState(test.queue, jobID(1), "failed", 60*time.Second)
				c.waitForState("long", jobID(2), "completed", 60*time.Second)
				c.checkCrashLoopStarts(scheduler.TaskID{Job: jobID(1), Index: 1})
				answer := c.callUntilOK(forwarder.Call{Kind: forwarder.KindExplain, Path: string(jobID(1))}, 5*time.Second)
				if wanted := string(jobID(1)) + ".0.0.1 crashed "; !strings.Contains(string(answer.Document), wanted) {
					t.Errorf("%q is missing from the explanation: %s", wanted, answer.Document)
				}
			})
		})
	}
}

// checkCrashLoopStarts checks that a task which crashes its workers was not started again
// without end.
func (c *cluster) checkCrashLoopStarts(task scheduler.TaskID) {
	c.t.Helper()
	starts := 0
	for _, event := range c.workerCluster.History() {
		if event.Run.Task == task && event.EndKind == "" {
			starts++
		}
	}
	if starts > maxCrashLoopStarts {
		c.t.Errorf("%s was started %d times, want at most %d", task, starts, maxCrashLoopStarts)
	}
}

// crashLeaders crashes two leaders, some seconds apart.
func crashLeaders(c *cluster) {
	for range 2 {
		time.Sleep(2 * time.Second)
		leader := c.waitForLeader(5 * time.Second)
		leader.crash()
		time.Sleep(2 * time.Second)
		leader.start(false)
	}
}

// restartAll crashes all instances twice.
func restartAll(c *cluster) {
	for range 2 {
		time.Sleep(3 * time.Second)
		for _, h := range c.hosts {
			h.crash()
		}
		for _, h := range c.hosts {
			h.start(false)
		}
	}
}

// Guards against giving up work because its workers crash for other reasons: tasks on
// workers that crash by themselves, again and again, must complete.
func TestTasksOnCrashingWorkersAreNotGivenUp(t *testing.T) {
	tests := []struct {
		name  string
		crash func(c *cluster, id identifier.WorkerID)
	}{
		{"connections are closed", func(c *cluster, id identifier.WorkerID) {
			c.mu.Lock()
			worker := c.workers[id]
			c.mu.Unlock()
			if !worker.killed {
				worker.worker.Crash()
			}
		}},
		{"connections are silent", func(c *cluster, id identifier.WorkerID) {
			c.addWorker(id, scheduler.Resources{CPU: 64000, Memory: 128000, Accelerators: 8}, "r1-0")
		}},
	}
	for i, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			setup := func(c *cluster) { c.restartCrashed(time.Second) }
			inClusterWith(t, uint64(250+i), 4, 8, setup, func(c *cluster) {
				gang := step(4, 5000, 8)
				gang.Gang = true
				c.submit("long", jobID(1), scheduler.Request{Spec: "s", Steps: []scheduler.Step{step(16, 5000, 2)}})
				c.submit("urgent", jobID(2), scheduler.Request{Spec: "s", Steps: []scheduler.Step{gang}})
				for round := range 8 {
					time.Sleep(1700 * time.Millisecond)
					for i := range 3 {
						test.crash(c, c.workerNumber((round+3*i)%8))
					}
				}
				c.waitForState("long", jobID(1), "completed", 60*time.Second)
				c.waitForState("urgent", jobID(2), "completed", 60*time.Second)
			})
		})
	}
}

func (c *cluster) workerNumber(number int) identifier.WorkerID {
	return identifier.WorkerID("w-0" + string(rune('0'+number)))
}
