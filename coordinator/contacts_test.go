package coordinator_test

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"cranberrystack.dev/cranberrystack/forwarder"
	"cranberrystack.dev/cranberrystack/identifier"
	"cranberrystack.dev/cranberrystack/scheduler"
)

// The leader must know from the contacts alone that idle workers are alive: reports
// that change nothing must not be forwarded one by one, and a gang over all workers
// must start at once.
func TestUnchangedReportsArePassedOnInBatches(t *testing.T) {
	const workers = 8
	inCluster(t, 80, 4, workers, func(c *cluster) {
		time.Sleep(5 * time.Second)
		c.forwardedReports.Store(0)
		time.Sleep(20 * time.Second)
		if forwarded := c.forwardedReports.Load(); forwarded > 0 {
			t.Errorf("%d reports were forwarded, want none", forwarded)
		}
		gang := step(workers, 500, 8)
		gang.Gang = true
		c.submit("urgent", jobID(1), scheduler.Request{Spec: "s", Steps: []scheduler.Step{gang}})
		c.waitForState("urgent", jobID(1), "completed", 2*time.Second)
	})
}

// An instance that the leader does not answer must refuse reports within two
// seconds, so that the worker reports elsewhere before the leader counts it as
// unresponsive.
func TestInstanceWithoutLeaderRefusesReports(t *testing.T) {
	const id = identifier.WorkerID("w-00")
	inCluster(t, 81, 4, 1, func(c *cluster) {
		time.Sleep(5 * time.Second)
		leader := c.waitForLeader(3 * time.Second)
		var follower *host
		for _, h := range c.hosts {
			if h != leader {
				follower = h
			}
		}
		c.mu.Lock()
		worker := c.workers[id].worker
		c.mu.Unlock()
		report := func() forwarder.Answer {
			sequence, clock := worker.NextReport()
			data, err := json.Marshal(reportBody{
				Pool: "pool", Address: string(id) + ":1", DataCenter: "dc", State: string(scheduler.WorkerReady), Sequence: sequence,
				Incarnation: int64(worker.Incarnation), Clock: int64(clock), Machine: "m-" + string(id), Labels: worker.Labels, Capacity: worker.Capacity,
			})
			if err != nil {
				t.Fatal(err)
			}
			running, f := follower.running()
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			return running.Relay(f.Do)(ctx, forwarder.Call{Kind: forwarder.KindReport, Worker: id, Document: data})
		}
		if answer := report(); !answer.OK() {
			t.Fatalf("report before the partition: %+v", answer)
		}
		c.isolate(true, follower.name)
		time.Sleep(2 * time.Second)
		if answer := report(); answer.OK() {
			t.Error("an instance without a leader answers a report as if the leader knew of it")
		}
	})
}
