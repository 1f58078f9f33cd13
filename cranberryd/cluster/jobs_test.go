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

// gangJob returns the body that submits a gang of whole neighbouring workers.
func gangJob(id string, parts int) string {
	return fmt.Sprintf(`{"id":%q,"plan":"isuku-plan","team":"rounds","accelerator":"gpu","checkpointable":true,
		"shape":{"adjacent":"neighbours","parts":%d,"accelerators-per-part":8}}`, id, parts)
}

func (c *cluster) submitJob(to identifier.InstanceID, body string) {
	c.t.Helper()
	if response := c.mustSend(to, http.MethodPost, "/v1/jobs", isukuToken, nil, body); response.status != http.StatusAccepted {
		c.t.Fatalf("submit job: %d %s", response.status, response.body)
	}
}

func taskLasting(runTime time.Duration) func(leaser.ID, []byte) faker.TaskResult {
	return func(leaser.ID, []byte) faker.TaskResult { return faker.TaskResult{RunTime: runTime} }
}

// addThreeWorkers adds a rack of three workers whose tasks take runTime.
func (c *cluster) addThreeWorkers(dataCenter identifier.DataCenterID, prefix string, runTime time.Duration) {
	for i := range 3 {
		name := fmt.Sprintf("%s%d", prefix, i)
		c.addWorker(name, prefix+"-rack", i, 8, dataCenter).Task = taskLasting(runTime)
	}
}

// placementOwner returns the owner of a data centre's placement by the lists of
// an instance, empty if there is none.
func (c *cluster) placementOwner(at identifier.InstanceID, dataCenter identifier.DataCenterID) identifier.InstanceID {
	for _, owner := range c.daemons[at].Lists().Owners {
		if owner.DataCenter == dataCenter {
			return owner.Owner
		}
	}
	return ""
}

// startCount returns how many starts of a job's parts all workers carried out.
func (c *cluster) startCount(id identifier.JobID) int {
	total := 0
	for _, w := range c.workers {
		total += w.Started()[id]
	}
	return total
}

// TestOwnerKilledWhileGangRuns kills the owner of the placement while a gang runs:
// the next owner must recover the gang without starting it again.
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
			t.Errorf("%d starts, want each of 2 parts started once", starts)
		}
	})
}

// TestQueueSurvivesOwnerKill kills the owner right after it accepted jobs, most of
// which have to wait: the next owner must run them all.
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

// TestTwoOwnersKilledInSuccession kills the next owner as soon as it has taken
// over from a killed one: the third must run all jobs.
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

// TestPartitionedDataCenterRunsJobsOnce partitions a data centre: it must
// continue to place jobs and renew leases on its own, and no part may be started
// twice after the partition heals.
func TestPartitionedDataCenterRunsJobsOnce(t *testing.T) {
	withCluster(t, twoDataCenters(), func(t *testing.T, c *cluster) {
		c.addThreeWorkers("dc2", "v", 5*time.Minute)
		c.startWithTestLists()
		c.submitJob("d", gangJob("before", 2))
		c.waitFor("gang runs", time.Minute, func() bool { return c.jobState("e", isukuToken, "before") == "running" })
		c.network.SetPartition(betweenDataCenters)
		c.submitJob("e", gangJob("during", 1))
		c.waitFor("job runs in the partitioned data centre", time.Minute, func() bool { return c.jobState("f", isukuToken, "during") == "running" })
		time.Sleep(4 * time.Minute)
		c.network.SetPartition(nil)
		for _, id := range []string{"before", "during"} {
			c.waitFor(id+" finished", 10*time.Minute, func() bool { return c.jobState("d", isukuToken, id) == "finished" })
		}
		if before, during := c.startCount("before"), c.startCount("during"); before != 2 || during != 1 {
			t.Errorf("%d and %d starts of the two jobs, want 2 and 1", before, during)
		}
	})
}

// TestWorkerReportFromAnotherAddressIsRefused reports the id of a live worker
// from another address with an older incarnation: it must be refused.
func TestWorkerReportFromAnotherAddressIsRefused(t *testing.T) {
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

// TestMembersDoNotSeeEachOthersJobs reads, cancels and lists the job of another
// member.
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
			t.Errorf("another member lists %s, want no jobs", response.body)
		}
	})
}

// TestQueueSurvivesRestartOfAllInstances kills all instances of a data centre at
// once: after their restart the queue must be recovered from their disks.
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

// TestOwnerLostInPartitionedDataCenter partitions a data centre and isolates its
// owner: the gang must stop when its leases expire, and nothing new start. After
// the network heals the gang must finish, with at most one attempt at a time.
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
				t.Errorf("%s runs %v after its leases have expired", w.Info.ID, running)
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
				t.Fatalf("attempts %v run at the same time", attempts)
			}
			return c.jobState("f", isukuToken, "gang") == "finished"
		})
	})
}
