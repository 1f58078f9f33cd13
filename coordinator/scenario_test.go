package coordinator_test

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"cranberrystack.dev/cranberrystack/faker"
	"cranberrystack.dev/cranberrystack/forwarder"
	"cranberrystack.dev/cranberrystack/scheduler"
)

func TestTwoStepJobCompletesInOrder(t *testing.T) {
	inCluster(t, 1, 4, 4, func(c *cluster) {
		second := step(5, 800, 1)
		second.DependsOn = []int{0}
		c.submit("long", jobID(1), scheduler.Request{Spec: "s", Steps: []scheduler.Step{step(3, 500, 1), second}})
		c.waitForState("long", jobID(1), "completed", 5*time.Second)
		ends := map[int]time.Time{}
		for _, event := range c.workerCluster.History() {
			if event.EndKind == "" && event.Run.Task.Step == 1 && event.At.Before(ends[0]) {
				t.Errorf("%s started before step 0 was done", event.Run)
			}
			if event.EndKind != "" {
				ends[event.Run.Task.Step] = event.At
			}
		}
	})
}

func TestResubmittedJobRunsOnce(t *testing.T) {
	inCluster(t, 2, 4, 4, func(c *cluster) {
		request := scheduler.Request{Spec: "s", Steps: []scheduler.Step{step(1, 300, 1)}}
		for range 3 {
			c.submit("urgent", jobID(1), request)
		}
		c.waitForState("urgent", jobID(1), "completed", 3*time.Second)
		c.submit("urgent", jobID(1), request)
		time.Sleep(2 * time.Second)
		if count := len(c.workerCluster.History()); count != 2 {
			t.Errorf("%d events of one task, want a start and an end", count)
		}
	})
}

func TestCancelStopsAllRuns(t *testing.T) {
	inCluster(t, 3, 4, 4, func(c *cluster) {
		c.submit("long", jobID(1), scheduler.Request{Spec: "s", Steps: []scheduler.Step{step(6, 60000, 1)}})
		time.Sleep(time.Second)
		c.cancel("long", jobID(1))
		time.Sleep(time.Second)
		stopped := 0
		for _, event := range c.workerCluster.History() {
			if event.EndKind == scheduler.EndStopped {
				stopped++
			}
		}
		if state := c.state("long", jobID(1)); stopped != 6 || state != "cancelled" {
			t.Errorf("%d of 6 tasks stopped, job is %s", stopped, state)
		}
	})
}

func TestGuaranteeIsReclaimedByPreemption(t *testing.T) {
	inCluster(t, 4, 4, 4, func(c *cluster) {
		c.submit("long", jobID(1), scheduler.Request{Spec: "s", Steps: []scheduler.Step{step(32, 60000, 1)}})
		time.Sleep(time.Second)
		gang := step(2, 500, 8)
		gang.Gang, gang.SameRack = true, true
		start := time.Now()
		c.submit("urgent", jobID(2), scheduler.Request{Spec: "s", Steps: []scheduler.Step{gang}})
		c.waitForState("urgent", jobID(2), "completed", 3*time.Second)
		t.Logf("completed after %v", time.Since(start))
		c.waitForState("long", jobID(1), "running", time.Second)
	})
}

// Guards against a guarantee that is met late because the leader learns late that
// long-running tasks have begun to work, of which only one may be unavailable.
func TestGuaranteeIsReclaimedFromStartingTasks(t *testing.T) {
	const bound = 2700 * time.Millisecond
	setup := func(c *cluster) { c.workerCluster.StartupTime = 2200 * time.Millisecond }
	for i, wait := range []time.Duration{0, 200 * time.Millisecond, 500 * time.Millisecond, time.Second, 1500 * time.Millisecond, 2 * time.Second} {
		t.Run(wait.String(), func(t *testing.T) {
			inClusterWith(t, uint64(110+i), 4, 2, setup, func(c *cluster) {
				lasting := step(2, 0, 8)
				lasting.LongRunning, lasting.MaxUnavailable = true, 1
				c.submit("long", jobID(1), scheduler.Request{Spec: "s", Steps: []scheduler.Step{lasting}})
				time.Sleep(wait)
				start := time.Now()
				c.submit("urgent", jobID(2), scheduler.Request{Spec: "s", Steps: []scheduler.Step{step(1, 300, 8)}})
				c.waitForState("urgent", jobID(2), "completed", 10*time.Second)
				for _, event := range c.workerCluster.History() {
					if took := event.At.Sub(start); event.Run.Task.Job == jobID(2) && event.EndKind == "" && took > bound {
						t.Errorf("the urgent task starts after %v", took)
					}
				}
			})
		})
	}
}

func TestGangCompletesAfterLeaderCrashDuringStart(t *testing.T) {
	for seed := uint64(10); seed < 18; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			inCluster(t, seed, 4, 8, func(c *cluster) {
				leader := c.waitForLeader(3 * time.Second)
				gang := step(4, 1500, 8)
				gang.Gang = true
				c.submit("urgent", jobID(1), scheduler.Request{Spec: "s", Steps: []scheduler.Step{gang}})
				time.Sleep(time.Duration(seed-10) * 2 * time.Millisecond)
				leader.crash()
				c.waitForState("urgent", jobID(1), "completed", 20*time.Second)
				leader.start(false)
				time.Sleep(3 * time.Second)
			})
		})
	}
}

// A worker that is partitioned from all instances keeps its run alive until the
// lease expires. The task must start elsewhere only after that, and the worker
// must report the first run as expired.
func TestTaskRestartsElsewhereOnlyAfterLeaseExpiry(t *testing.T) {
	inCluster(t, 20, 4, 2, func(c *cluster) {
		c.submit("long", jobID(1), scheduler.Request{Spec: "s", Steps: []scheduler.Step{step(1, 9000, 8)}})
		time.Sleep(time.Second)
		first := c.workerCluster.History()[0].Worker
		c.setPartition(true, first)
		time.Sleep(10 * time.Second)
		c.setPartition(false, first)
		c.waitForState("long", jobID(1), "completed", 20*time.Second)
		var starts, expired int
		for _, event := range c.workerCluster.History() {
			if event.EndKind == "" {
				starts++
			}
			if event.EndKind == scheduler.EndLeaseExpired {
				expired++
			}
		}
		if starts != 2 || expired != 1 {
			t.Errorf("%d starts and %d expired leases, want 2 and 1", starts, expired)
		}
	})
}

// A worker crashes without reporting its shutdown. Its task must run elsewhere
// once the lease has certainly expired; further polls must not extend that time.
func TestTaskOfCrashedWorkerRunsElsewhere(t *testing.T) {
	inCluster(t, 30, 4, 2, func(c *cluster) {
		c.submit("long", jobID(1), scheduler.Request{Spec: "s", Steps: []scheduler.Step{step(1, 3000, 8)}})
		time.Sleep(time.Second)
		c.killWorker(c.workerCluster.History()[0].Worker)
		c.waitForState("long", jobID(1), "completed", 12*time.Second)
	})
}

// All instances lose power right after a job was accepted. The job must complete
// after they start again.
func TestAcceptedJobSurvivesPowerLossOfAllInstances(t *testing.T) {
	inCluster(t, 21, 4, 4, func(c *cluster) {
		c.submit("long", jobID(1), scheduler.Request{Spec: "s", Steps: []scheduler.Step{step(2, 500, 1)}})
		for _, h := range c.hosts {
			h.crash()
		}
		time.Sleep(5 * time.Second)
		for _, h := range c.hosts {
			h.start(false)
		}
		c.waitForState("long", jobID(1), "completed", 20*time.Second)
	})
}

// Without a quorum, a call must be refused at once with a retry time, and a job
// that was refused must never run.
func TestCallIsRefusedAtOnceWithoutQuorum(t *testing.T) {
	inCluster(t, 22, 4, 4, func(c *cluster) {
		for _, h := range c.hosts[1:] {
			h.crash()
		}
		time.Sleep(3 * time.Second)
		start := time.Now()
		answer := c.hosts[0].forwarder.Do(context.Background(), c.submitCall("urgent", jobID(1), scheduler.Request{Steps: []scheduler.Step{step(1, 100, 1)}}))
		if took := time.Since(start); answer.Code != "unavailable" || answer.RetryAfterMillis == 0 || took > 200*time.Millisecond {
			t.Errorf("answer %+v after %v", answer, took)
		}
		for _, h := range c.hosts[1:] {
			h.start(false)
		}
		c.waitForLeader(10 * time.Second)
		time.Sleep(5 * time.Second)
		if state := c.state("urgent", jobID(1)); state != "no-such-job" || len(c.workerCluster.History()) > 0 {
			t.Errorf("refused job is %s, %d events", state, len(c.workerCluster.History()))
		}
	})
}

// An instance that loses its disk joins as a new member: it must not vote before
// it has caught up, and then replaces its former self as a voter.
func TestWipedVoterIsReplaced(t *testing.T) {
	inCluster(t, 23, 4, 4, func(c *cluster) {
		leader := c.waitForLeader(3 * time.Second)
		c.submit("long", jobID(1), scheduler.Request{Spec: "s", Steps: []scheduler.Step{step(2, 8000, 1)}})
		leader.crash()
		leader.wipe()
		time.Sleep(time.Second)
		leader.start(false)
		time.Sleep(6 * time.Second)
		second := c.waitForLeader(3 * time.Second)
		members := second.coordinator.Node().Leadership().Membership
		if len(members.Voters) != 3 || len(members.Learners) != 1 {
			t.Errorf("%d voters and %d learners, want 3 and 1", len(members.Voters), len(members.Learners))
		}
		second.crash()
		c.waitForLeader(5 * time.Second)
		c.waitForState("long", jobID(1), "completed", 30*time.Second)
	})
}

// An instance that has lost its disk knows only the seeds. It must join the log
// although the leader is not a seed, and know the leader when that sends it the log, of
// which instances accept parts of any size only from those they know.
func TestWipedInstanceJoinsLeaderThatIsNoSeed(t *testing.T) {
	inCluster(t, 31, 4, 2, func(c *cluster) {
		last := c.hosts[3]
		for range 20 {
			leader := c.waitForLeader(10 * time.Second)
			if leader == last {
				break
			}
			leader.crash()
			time.Sleep(4 * time.Second)
			leader.start(false)
			time.Sleep(3 * time.Second)
		}
		if leader := c.waitForLeader(10 * time.Second); leader != last {
			t.Fatalf("%s leads, no sequence of crashes made %s the leader", leader.name, last.name)
		}
		wiped := c.hosts[0]
		wiped.crash()
		wiped.wipe()
		wiped.start(false)
		time.Sleep(6 * time.Second)
		view := last.coordinator.Node().Leadership()
		if total := len(view.Membership.Voters) + len(view.Membership.Learners); total != 4 || len(view.Membership.Voters) != 3 {
			t.Errorf("%d members, %d voters, want 4 and 3", total, len(view.Membership.Voters))
		}
		if parts, strangers := c.parts.Load(), c.partsOfStrangers.Load(); parts == 0 || strangers != 0 {
			t.Errorf("%d parts of the log were sent, %d by instances unknown to the receiver", parts, strangers)
		}
	})
}

// One voter misses a catalog change, another loses its disk, and the leader has
// no power. The stale and the wiped voter together must not form a quorum.
func TestStaleAndWipedInstancesFormNoQuorum(t *testing.T) {
	inCluster(t, 24, 3, 2, func(c *cluster) {
		leader := c.waitForLeader(3 * time.Second)
		var stale, other *host
		for _, h := range c.hosts {
			switch {
			case h == leader:
			case stale == nil:
				stale = h
			default:
				other = h
			}
		}
		c.isolate(true, stale.name)
		c.configure(2, 3)
		leader.crash()
		other.crash()
		other.wipe()
		other.start(false)
		c.isolate(false, stale.name)
		time.Sleep(5 * time.Second)
		read := forwarder.Call{Kind: forwarder.KindReadCatalog}
		if answer := stale.forwarder.Do(context.Background(), read); answer.OK() {
			t.Errorf("the stale instance answers a read: %s", answer.Document)
		}
		leader.start(false)
		answer := c.callUntilOK(read, 10*time.Second)
		var catalog scheduler.Catalog
		if err := json.Unmarshal(answer.Document, &catalog); err != nil || catalog.Version != 2 {
			t.Errorf("version %d, want 2 (%v)", catalog.Version, err)
		}
	})
}

// A leader that is partitioned from its quorum must not serve reads of the
// catalog. After the partition it must serve the version that was accepted
// meanwhile.
func TestPartitionedLeaderServesNoStaleCatalog(t *testing.T) {
	inCluster(t, 25, 4, 2, func(c *cluster) {
		old := c.waitForLeader(3 * time.Second)
		c.isolate(true, old.name)
		time.Sleep(100 * time.Millisecond)
		read := forwarder.Call{Kind: forwarder.KindReadCatalog}
		if answer := old.coordinator.Handle(context.Background(), read); answer.OK() {
			t.Error("a leader without a quorum answers a read")
		}
		time.Sleep(3 * time.Second)
		c.configure(2, 3)
		c.isolate(false, old.name)
		time.Sleep(time.Second)
		answer := c.callUntilOK(read, 5*time.Second)
		if !strings.Contains(string(answer.Document), `"version":2`) {
			t.Errorf("catalog %s", answer.Document)
		}
	})
}

// Two operators change the catalog at the same time. The highest version must
// take effect; lower and repeated versions are accepted without effect, and
// invalid catalogs are refused.
func TestHighestCatalogVersionTakesEffect(t *testing.T) {
	inCluster(t, 26, 4, 2, func(c *cluster) {
		done := make(chan struct{})
		go func() {
			c.configure(7, 3)
			close(done)
		}()
		c.configure(5, 2)
		<-done
		c.configure(7, 9)
		bad := []string{`{"version":9`, `{"version":9,"queues":[],"pools":[]} {}`, `{"queues":[],"pools":[]}`,
			`{"version":9,"queues":[{"name":"q","host":"h","path-prefix":"/q/","worker-pool":"none","timeout-ms":1}],"pools":[]}`}
		for _, document := range bad {
			answer := c.call(context.Background(), forwarder.Call{Kind: forwarder.KindConfigure, Document: json.RawMessage(document)})
			if answer.Code != "invalid" {
				t.Errorf("%s: %s", document, answer.Code)
			}
		}
		answer := c.callUntilOK(forwarder.Call{Kind: forwarder.KindReadCatalog}, time.Second)
		var catalog scheduler.Catalog
		if err := json.Unmarshal(answer.Document, &catalog); err != nil {
			t.Fatal(err)
		}
		if catalog.Version != 7 || catalog.Queues[0].MaxAttempts != 3 {
			t.Errorf("version %d with %d attempts, want 7 with 3", catalog.Version, catalog.Queues[0].MaxAttempts)
		}
	})
}

// A worker that restarts under its id has lost its runs. Their tasks must run
// again.
func TestRunsOfRestartedWorkerRunAgain(t *testing.T) {
	inCluster(t, 27, 4, 1, func(c *cluster) {
		c.submit("long", jobID(1), scheduler.Request{Spec: "s", Steps: []scheduler.Step{step(2, 3000, 1)}})
		time.Sleep(time.Second)
		c.addWorkers(1)
		c.waitForState("long", jobID(1), "completed", 15*time.Second)
	})
}

// A job whose tasks always fail must fail after exactly the attempts that its
// queue allows.
func TestFailingJobEndsAfterMaxAttempts(t *testing.T) {
	inCluster(t, 28, 4, 4, func(c *cluster) {
		c.workerCluster.SetFaults(faker.TaskFaults{FailureProbability: 1})
		c.submit("long", jobID(1), scheduler.Request{Spec: "s", Steps: []scheduler.Step{step(1, 200, 1)}})
		c.waitForState("long", jobID(1), "failed", 10*time.Second)
		time.Sleep(2 * time.Second)
		starts := 0
		for _, event := range c.workerCluster.History() {
			if event.EndKind == "" {
				starts++
			}
		}
		if starts != 3 {
			t.Errorf("%d starts, want the 3 attempts of the queue", starts)
		}
	})
}

func TestInvalidAndForeignCallsAreRefused(t *testing.T) {
	inCluster(t, 29, 4, 2, func(c *cluster) {
		call := c.submitCall("long", jobID(1), scheduler.Request{Steps: []scheduler.Step{step(1, 5000, 1)}})
		c.callUntilOK(call, time.Second)
		tests := []struct {
			name string
			call forwarder.Call
			want string
		}{
			{"unknown key", forwarder.Call{Kind: forwarder.KindState, Host: "h", Path: call.Path, Key: "x"}, "unauthorized"},
			{"no key", forwarder.Call{Kind: forwarder.KindCancel, Host: "h", Path: call.Path}, "unauthorized"},
			{"another team", forwarder.Call{Kind: forwarder.KindState, Host: "h", Path: call.Path, Key: otherKey}, "no-such-job"},
			{"another team cancels", forwarder.Call{Kind: forwarder.KindCancel, Host: "h", Path: call.Path, Key: otherKey}, "no-such-job"},
			{"another team submits", forwarder.Call{Kind: forwarder.KindSubmit, Host: "h", Path: call.Path, Key: otherKey, Document: call.Document}, "conflict"},
			{"no such queue", forwarder.Call{Kind: forwarder.KindState, Host: "h", Path: "/none/", Key: teamKey}, "not-found"},
			{"no job id", forwarder.Call{Kind: forwarder.KindState, Host: "h", Path: "/long/xyz", Key: teamKey}, "invalid"},
			{"malformed body", forwarder.Call{Kind: forwarder.KindSubmit, Host: "h", Path: "/long/" + string(jobID(2)), Key: teamKey, Document: json.RawMessage(`{"spec":1}`)}, "invalid"},
		}
		for _, test := range tests {
			t.Run(test.name, func(t *testing.T) {
				if answer := c.call(context.Background(), test.call); string(answer.Code) != test.want {
					t.Errorf("%s, want %s", answer.Code, test.want)
				}
			})
		}
		if state := c.state("long", jobID(1)); state != "running" {
			t.Errorf("the job is %s", state)
		}
	})
}

// A worker is partitioned for longer than its lease, and its run ends as done
// meanwhile. The end must count, so that the task is not repeated, and the worker
// must get new runs after the partition.
func TestRunDoneDuringPartitionIsNotRepeated(t *testing.T) {
	inCluster(t, 63, 4, 2, func(c *cluster) {
		next := step(1, 300, 1)
		next.DependsOn = []int{0}
		c.submit("long", jobID(1), scheduler.Request{Spec: "s", Steps: []scheduler.Step{step(1, 5000, 8), next}})
		time.Sleep(time.Second)
		first := c.workerCluster.History()[0].Worker
		c.setPartition(true, first)
		time.Sleep(8 * time.Second)
		c.setPartition(false, first)
		c.waitForState("long", jobID(1), "completed", 3*time.Second)
		healed := time.Now()
		c.submit("long", jobID(2), scheduler.Request{Spec: "s", Steps: []scheduler.Step{step(2, 300, 8)}})
		c.waitForState("long", jobID(2), "completed", time.Second)
		for _, event := range c.workerCluster.History() {
			if event.EndKind == "" && event.Worker == first && event.At.After(healed) {
				return
			}
		}
		t.Errorf("%s gets no new runs after the partition", first)
	})
}

// Urgent jobs of another team use the whole pool. A team must still get its
// guarantee within the time allowed for reclaiming it.
func TestGuaranteeIsReclaimedFromOtherTeamsUrgentJobs(t *testing.T) {
	inCluster(t, 64, 4, 4, func(c *cluster) {
		otherTeamCall := c.submitCall("urgent", jobID(1), scheduler.Request{Spec: "s", Steps: []scheduler.Step{step(100, 60000, 1)}})
		otherTeamCall.Key = "key-of-team-b"
		c.callUntilOK(otherTeamCall, time.Second)
		time.Sleep(time.Second)
		gang := step(2, 500, 8)
		gang.Gang, gang.SameRack = true, true
		c.submit("urgent", jobID(2), scheduler.Request{Spec: "s", Steps: []scheduler.Step{gang}})
		c.waitForState("urgent", jobID(2), "completed", 2700*time.Millisecond)
	})
}
