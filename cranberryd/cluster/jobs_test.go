package cluster_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"cranberrystack.dev/cranberryd/loader"
	"cranberrystack.dev/cranberrystack/faker"
	"cranberrystack.dev/cranberrystack/identifier"
	"cranberrystack.dev/cranberrystack/leaser"
)

// gangJob returns the message for a gang of neighbouring whole workers.
func gangJob(id string, parts int) string {
	return fmt.Sprintf(`{"id":%q,"plan":"isuku-plan","team":"rounds","accelerator":"gpu","checkpointable":true,
		"shape":{"adjacent":"neighbours","parts":%d,"accelerators-per-part":8}}`, id, parts)
}

func (c *cluster) submitJob(to identifier.InstanceID, body string) {
	c.t.Helper()
	if response := c.mustSend(to, http.MethodPost, "/v1/jobs", isukuToken, nil, body); response.status != http.StatusAccepted {
		c.t.Fatalf("submit: %d %s", response.status, response.body)
	}
}

func taskLasting(runTime time.Duration) func(leaser.ID, []byte) faker.TaskResult {
	return func(leaser.ID, []byte) faker.TaskResult { return faker.TaskResult{RunTime: runTime} }
}

// addThreeWorkers adds a rack of workers whose tasks take a time.
func (c *cluster) addThreeWorkers(dataCenter identifier.DataCenterID, prefix string, runTime time.Duration) {
	for i := range 3 {
		name := fmt.Sprintf("%s%d", prefix, i)
		c.addWorker(name, prefix+"-rack", i, 8, dataCenter).Task = taskLasting(runTime)
	}
}

func (c *cluster) placementOwner(at identifier.InstanceID, dataCenter identifier.DataCenterID) identifier.InstanceID {
	for _, owner := range c.daemons[at].Lists().Owners {
		if owner.DataCenter == dataCenter {
			return owner.Owner
		}
	}
	return ""
}

// startCount counts how often parts of a job were started.
func (c *cluster) startCount(id identifier.JobID) int {
	total := 0
	for _, w := range c.workers {
		total += w.Started()[id]
	}
	return total
}

// TestOwnerKilledWhileGangRuns kills the owner of the placement. The next one
// adopts the gang, which runs on and is started only once.
func TestOwnerKilledWhileGangRuns(t *testing.T) {
	withCluster(t, threeInstances(), func(t *testing.T, c *cluster) {
		c.addThreeWorkers("dc1", "p", time.Minute)
		c.startWithTestLists()
		c.submitJob("a", gangJob("gang", 2))
		c.waitFor("gang runs", time.Minute, func() bool { return c.jobState("b", isukuToken, "gang") == "running" })
		old := c.placementOwner("a", "dc1")
		c.kill(old)
		remaining := except(old, "a", "b", "c")
		c.waitFor("another owner", time.Minute, func() bool {
			owner := c.placementOwner(remaining[0], "dc1")
			return owner != old && owner != ""
		})
		c.waitFor("gang finished", 3*time.Minute, func() bool { return c.jobState(remaining[1], isukuToken, "gang") == "finished" })
		if starts := c.startCount("gang"); starts != 2 {
			t.Errorf("%d parts were started, want each of 2 once", starts)
		}
	})
}

// TestQueueSurvivesOwnerKill kills the owner right after it has accepted jobs that
// can't start yet.
func TestQueueSurvivesOwnerKill(t *testing.T) {
	withCluster(t, threeInstances(), func(_ *testing.T, c *cluster) {
		c.addThreeWorkers("dc1", "p", 5*time.Second)
		c.startWithTestLists()
		for i := range 10 {
			c.submitJob("a", gangJob(fmt.Sprint("gang", i), 3))
		}
		old := c.placementOwner("a", "dc1")
		c.kill(old)
		at := except(old, "a", "b", "c")[0]
		for i := range 10 {
			id := fmt.Sprint("gang", i)
			c.waitFor(id+" finished", 10*time.Minute, func() bool { return c.jobState(at, isukuToken, id) == "finished" })
		}
	})
}

// TestTwoOwnersKilledInSuccession loses a second owner right after the first
// was followed.
func TestTwoOwnersKilledInSuccession(t *testing.T) {
	instances := append(controlAndEntries(),
		instanceSpec{"p", "dc1", []string{"placement"}}, instanceSpec{"q", "dc1", []string{"placement"}}, instanceSpec{"r", "dc1", []string{"placement"}})
	withCluster(t, instances, func(_ *testing.T, c *cluster) {
		c.addThreeWorkers("dc1", "m", 30*time.Second)
		c.startWithTestLists()
		for i := range 4 {
			c.submitJob("a", gangJob(fmt.Sprint("gang", i), 2))
		}
		for range 2 {
			old := c.placementOwner("x", "dc1")
			c.kill(old)
			c.waitFor("another owner", time.Minute, func() bool { return c.placementOwner("x", "dc1") != old })
		}
		for i := range 4 {
			id := fmt.Sprint("gang", i)
			c.waitFor(id+" finished", 10*time.Minute, func() bool { return c.jobState("b", isukuToken, id) == "finished" })
		}
	})
}

// TestPartitionedDataCenterRunsJobsOnce cuts a data centre off. It goes on placing jobs
// and renewing leases by itself, and nothing is doubled when it is back.
func TestPartitionedDataCenterRunsJobsOnce(t *testing.T) {
	withCluster(t, twoDataCenters(), func(t *testing.T, c *cluster) {
		c.addThreeWorkers("dc2", "v", 5*time.Minute)
		c.startWithTestLists()
		c.submitJob("d", gangJob("before", 2))
		c.waitFor("gang runs", time.Minute, func() bool { return c.jobState("e", isukuToken, "before") == "running" })
		c.network.SetPartition(betweenDataCenters)
		c.submitJob("e", gangJob("during", 1))
		c.waitFor("job runs in the cut-off data centre", time.Minute, func() bool { return c.jobState("f", isukuToken, "during") == "running" })
		time.Sleep(4 * time.Minute)
		c.network.SetPartition(nil)
		for _, id := range []string{"before", "during"} {
			c.waitFor(id+" finished", 10*time.Minute, func() bool { return c.jobState("d", isukuToken, id) == "finished" })
		}
		if before, during := c.startCount("before"), c.startCount("during"); before != 2 || during != 1 {
			t.Errorf("parts were started %d and %d times, want 2 and 1", before, during)
		}
	})
}

// TestWorkerReportFromAnotherAddressIsRejected lets a stranger report a live worker's id.
func TestWorkerReportFromAnotherAddressIsRejected(t *testing.T) {
	withCluster(t, threeInstances(), func(t *testing.T, c *cluster) {
		c.addThreeWorkers("dc1", "p", time.Second)
		c.startWithTestLists()
		report := `{"worker":{"id":"p0","address":"thief:1","subject":"workers","rack":"r","position":0,
			"accelerator":"gpu","accelerators":8,"incarnation":1},"leases":[],"sequence":999}`
		if response := c.mustSend("a", http.MethodPost, "/v1/workers/report", workerToken, nil, report); response.code() != "conflict" {
			t.Errorf("got %d %s, want conflict", response.status, response.body)
		}
	})
}

// TestMembersDoNotSeeEachOthersJobs asks for another member's job.
func TestMembersDoNotSeeEachOthersJobs(t *testing.T) {
	withCluster(t, threeInstances(), func(t *testing.T, c *cluster) {
		c.addThreeWorkers("dc1", "p", time.Minute)
		c.startWithTestLists()
		c.submitJob("a", gangJob("ours", 1))
		for _, method := range []string{http.MethodGet, http.MethodDelete} {
			if response := c.mustSend("b", method, "/v1/jobs/ours", nieveToken, nil, ""); response.code() != "not-found" {
				t.Errorf("%s by another member: got %d %s, want not-found", method, response.status, response.body)
			}
		}
		if response := c.mustSend("b", http.MethodGet, "/v1/jobs", nieveToken, nil, ""); response.body != `{"jobs":[]}` {
			t.Errorf("another member lists %s", response.body)
		}
	})
}

// TestQueueSurvivesRestartOfAllInstances restarts all instances of a data centre at once; what is on
// their disks brings the queue back.
func TestQueueSurvivesRestartOfAllInstances(t *testing.T) {
	withCluster(t, threeInstances(), func(_ *testing.T, c *cluster) {
		c.settings = func(s *loader.Settings) { s.Jobs.Lease, s.Jobs.LeaseMargin = "20s", "2s" }
		c.addThreeWorkers("dc1", "p", 40*time.Second)
		c.startWithTestLists()
		for i := range 3 {
			c.submitJob("a", gangJob(fmt.Sprint("gang", i), 3))
		}
		for _, id := range []identifier.InstanceID{"a", "b", "c"} {
			c.kill(id)
		}
		for _, id := range []identifier.InstanceID{"a", "b", "c"} {
			c.start(id)
		}
		for i := range 3 {
			id := fmt.Sprint("gang", i)
			c.waitFor(id+" finished", 10*time.Minute, func() bool { return c.jobState("c", isukuToken, id) == "finished" })
		}
	})
}

// TestOwnerLostInPartitionedDataCenter cuts a data centre off and then its owner
// from all others. What runs ends with its leases, nothing new starts, and once
// all is healed the job runs to its end as one attempt at a time.
func TestOwnerLostInPartitionedDataCenter(t *testing.T) {
	withCluster(t, twoDataCenters(), func(t *testing.T, c *cluster) {
		c.addThreeWorkers("dc2", "v", 5*time.Minute)
		c.startWithTestLists()
		c.submitJob("d", gangJob("gang", 2))
		c.waitFor("gang runs", time.Minute, func() bool { return c.jobState("e", isukuToken, "gang") == "running" })
		isolatesOwner := isolated(c.placementOwner("e", "dc2"))
		c.network.SetPartition(func(from, to string) bool { return betweenDataCenters(from, to) || isolatesOwner(from, to) })
		time.Sleep(2 * time.Minute)
		for _, w := range c.workers {
			if running := w.Running(); len(running) > 0 {
				t.Errorf("%s runs %v though its lease has run out", w.Info.ID, running)
			}
		}
		c.network.SetPartition(nil)
		c.waitFor("gang finished", 20*time.Minute, func() bool {
			attempts := map[uint64]bool{}
			for _, w := range c.workers {
				for _, lease := range w.Running() {
					attempts[lease.Attempt] = true
				}
			}
			if len(attempts) > 1 {
				t.Fatalf("attempts %v run at once", attempts)
			}
			return c.jobState("f", isukuToken, "gang") == "finished"
		})
	})
}
