package coordinator_test

import (
	"strings"
	"testing"
	"time"

	"cranberrystack.dev/cranberrystack/identifier"
	"cranberrystack.dev/cranberrystack/scheduler"
)

// lapseLease lets the clock that the leader's lease is measured with run ahead, as after
// a short suspension, again and again for a time. The leader stays the leader.
func (c *cluster) lapseLease(leader *host, span time.Duration) {
	const pause = 50 * time.Millisecond
	for start := time.Now(); time.Since(start) < span; time.Sleep(pause) {
		leader.clockAhead.Add(int64(time.Second))
	}
}

// checkLapsed checks that the leader lease has lapsed and the leadership has not ended.
func (c *cluster) checkLapsed() {
	c.t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	if logs := c.logs.String(); !strings.Contains(logs, "event=leader-lease-regained") || strings.Contains(logs, "event=leadership-lost") {
		c.t.Fatal("the leader lease was not regained in the same term")
	}
}

// Runs that end while the leader lease has lapsed must be recorded once it is valid
// again: the pollers of their workers once ended with the lapse, until the workers'
// next reports.
func TestPollsContinueAfterLeaseLapse(t *testing.T) {
	inCluster(t, 90, 4, 4, func(c *cluster) {
		const jobs = 16
		// No worker reports from the lapse until the check.
		time.Sleep(600 * time.Millisecond)
		for i := range jobs {
			c.submit("long", jobID(i+1), scheduler.Request{Spec: "s", Steps: []scheduler.Step{step(1, int64(300+25*i), 1)}})
		}
		time.Sleep(400 * time.Millisecond)
		c.lapseLease(c.waitForLeader(time.Second), 300*time.Millisecond)
		time.Sleep(500 * time.Millisecond)
		for i := range jobs {
			if state := c.state("long", jobID(i+1)); state != "completed" {
				c.t.Errorf("job %s is %s 500ms after the lapse", jobID(i+1), state)
			}
		}
		c.checkLapsed()
	})
}

// Stops that are being sent while the leader lease has lapsed must still reach their
// workers: their senders once ended with the lapse.
func TestStopsContinueAfterLeaseLapse(t *testing.T) {
	inCluster(t, 91, 4, 4, func(c *cluster) {
		const jobs = 24
		for i := range jobs {
			c.submit("long", jobID(i+1), scheduler.Request{Spec: "s", Steps: []scheduler.Step{step(1, 60000, 1)}})
		}
		time.Sleep(time.Second)
		leader := c.waitForLeader(time.Second)
		var workers []identifier.WorkerID
		for id := range c.workers {
			workers = append(workers, id)
		}
		c.workerCluster.SetPartition(leader.name, workers, true)
		for i := range jobs {
			c.cancel("long", jobID(i+1))
			time.Sleep(30 * time.Millisecond)
		}
		c.lapseLease(leader, 300*time.Millisecond)
		time.Sleep(300 * time.Millisecond)
		c.workerCluster.SetPartition(leader.name, workers, false)
		time.Sleep(2 * time.Second)
		if alive := c.workerCluster.Running(); len(alive) > 0 {
			c.t.Errorf("%d runs of cancelled jobs are alive 2s after their workers can be reached: %v", len(alive), alive)
		}
		c.checkLapsed()
	})
}
