package cluster_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"cranberrystack.dev/cranberryd/loader"
	"cranberrystack.dev/cranberrystack/identifier"
)

// controlAndEntries returns three control instances and three entries.
func controlAndEntries() []instanceSpec {
	return []instanceSpec{
		{"x", "dc1", []string{"control"}}, {"y", "dc1", []string{"control"}}, {"z", "dc1", []string{"control"}},
		{"a", "dc1", []string{"entry"}}, {"b", "dc1", []string{"entry"}}, {"c", "dc1", []string{"entry"}},
	}
}

func listsWithQuota(quota int) string {
	return fmt.Sprintf(`"plans":[{"id":"isuku-plan","member":"isuku","teams":[{"id":"rounds","quota":%d}]}],
		"allowances":[{"plan":"isuku-plan","accelerator":"gpu","limit":64,"adjacent":["worker"],"request-share":0.5}]`, quota)
}

// controlStatus is the state of the replicated log that an instance reports
// under /debug/vars.
type controlStatus struct {
	ID         string `json:"id"`
	Role       string `json:"role"`
	Term       uint64 `json:"term"`
	Commit     uint64 `json:"commit"`
	Membership struct {
		Voters []struct {
			ID string `json:"id"`
		} `json:"voters"`
	} `json:"membership"`
}

func (c *cluster) controlStatusOf(id identifier.InstanceID) controlStatus {
	var vars struct {
		Control controlStatus `json:"control"`
	}
	response, err := c.send(id, http.MethodGet, "/debug/vars", "", nil, "")
	if err == nil {
		_ = json.Unmarshal([]byte(response.body), &vars)
	}
	return vars.Control
}

// waitLeader waits until one of the listed instances reports that it is the
// leader, and returns its id.
func (c *cluster) waitLeader(among ...identifier.InstanceID) identifier.InstanceID {
	c.t.Helper()
	var found identifier.InstanceID
	c.waitFor("leader elected", time.Minute, func() bool {
		for _, id := range among {
			if c.controlStatusOf(id).Role == "leader" {
				found = id
				return true
			}
		}
		return false
	})
	return found
}

func except(excluded identifier.InstanceID, all ...identifier.InstanceID) []identifier.InstanceID {
	var remaining []identifier.InstanceID
	for _, id := range all {
		if id != excluded {
			remaining = append(remaining, id)
		}
	}
	return remaining
}

// isolated returns a partition that separates an instance from all other hosts.
func isolated(id identifier.InstanceID) func(from, to string) bool {
	return func(from, to string) bool { return from == string(id) || to == string(id) }
}

func (c *cluster) accepted(response httpResponse) bool {
	return response.status == http.StatusOK
}

func (c *cluster) waitListsVersion(want int, timeout time.Duration, ids ...identifier.InstanceID) time.Duration {
	c.t.Helper()
	return c.waitFor(fmt.Sprint("lists version ", want), timeout, func() bool {
		for _, id := range ids {
			if c.listsVersion(id) < want {
				return false
			}
		}
		return true
	})
}

// TestLeaderKilledDuringAppend kills the leader while a change is being sent: a
// resend must be accepted, and the change applied once.
func TestLeaderKilledDuringAppend(t *testing.T) {
	withCluster(t, controlAndEntries(), func(t *testing.T, c *cluster) {
		c.startWithTestLists()
		leader := c.waitLeader("x", "y", "z")
		sent := make(chan httpResponse, 1)
		go func() {
			response, _ := c.send("a", http.MethodPut, "/v1/lists", operatorToken, nil,
				fmt.Sprintf(`{"request-id":"during","expected-version":1,%s}`, listsWithQuota(7)))
			sent <- response
		}()
		c.kill(leader)
		began := time.Now()
		<-sent
		remaining := except(leader, "x", "y", "z")
		resent := c.applyLists("b", "during", 1, listsWithQuota(7))
		if !c.accepted(resent) {
			t.Fatalf("resend: %d %s", resent.status, resent.body)
		}
		c.waitListsVersion(2, 12*time.Second, "a", "b", "c", remaining[0], remaining[1])
		if took := time.Since(began); took > 12*time.Second {
			t.Errorf("change in force %s after the leader was killed, want at most 12s", took)
		}
		if got := c.listsVersion("a"); got != 2 {
			t.Errorf("version %d in force, want 2: the change applied once", got)
		}
	})
}

// TestPartitionedLeaderRejoinsWithoutRaisingTerm isolates the leader for an hour:
// when it is back it must catch up without raising the term.
func TestPartitionedLeaderRejoinsWithoutRaisingTerm(t *testing.T) {
	withCluster(t, controlAndEntries(), func(t *testing.T, c *cluster) {
		c.startWithTestLists()
		old := c.waitLeader("x", "y", "z")
		c.network.SetPartition(isolated(old))
		c.waitLeader(except(old, "x", "y", "z")...)
		for i := range 5 {
			if response := c.applyLists("a", fmt.Sprint("hour-", i), 1+i, listsWithQuota(10+i)); !c.accepted(response) {
				t.Fatalf("change %d while the old leader is isolated: %d %s", i, response.status, response.body)
			}
		}
		time.Sleep(time.Hour)
		remaining := except(old, "x", "y", "z")
		before := c.controlStatusOf(remaining[0])
		c.network.SetPartition(nil)
		c.waitListsVersion(6, 10*time.Second, old)
		time.Sleep(10 * time.Second)
		after := c.controlStatusOf(remaining[0])
		if after.Term != before.Term {
			t.Errorf("the rejoining instance raised the term from %d to %d", before.Term, after.Term)
		}
	})
}

// TestPartitionedLeaderRefusesChangesAndFreshReads isolates the leader from all
// instances while an operator can still reach it: it must neither accept a
// change nor serve a fresh read.
func TestPartitionedLeaderRefusesChangesAndFreshReads(t *testing.T) {
	withCluster(t, controlAndEntries(), func(t *testing.T, c *cluster) {
		c.startWithTestLists()
		old := c.waitLeader("x", "y", "z")
		c.network.SetPartition(func(from, to string) bool {
			return (from == string(old) && len(to) == 1) || (to == string(old) && len(from) == 1)
		})
		if response := c.mustSend(old, http.MethodGet, "/v1/lists?fresh=true", operatorToken, nil, ""); response.status == http.StatusOK {
			t.Errorf("the isolated leader serves a fresh read: %s", response.body)
		}
		if response := c.applyLists(old, "lost", 1, listsWithQuota(3)); c.accepted(response) {
			t.Errorf("the isolated leader accepts a change: %s", response.body)
		}
		if got := c.listsVersion(old); got != 1 {
			t.Errorf("version %d in force at the isolated leader, want 1", got)
		}
	})
}

func TestMinorityServesRequestsAndRefusesChanges(t *testing.T) {
	withCluster(t, twoDataCenters(), func(t *testing.T, c *cluster) {
		c.addUpstream("u1", 4, "dc1")
		c.addUpstream("v1", 4, "dc2")
		c.startWithTestLists()
		c.network.SetPartition(betweenDataCenters)
		time.Sleep(time.Hour)
		if response := c.postRequest("d", isukuHeader(""), "served"); response.status != http.StatusOK {
			t.Errorf("the partitioned data centre does not serve requests: %d %s", response.status, response.body)
		}
		if response := c.applyLists("d", "minority", 1, listsWithQuota(3)); c.accepted(response) {
			t.Errorf("the partitioned data centre accepts a change: %s", response.body)
		}
		if response := c.applyLists("a", "majority", 1, testLists); !c.accepted(response) {
			t.Errorf("the majority refuses a change: %d %s", response.status, response.body)
		}
		if got := c.listsVersion("d"); got != 1 {
			t.Errorf("version %d in force in the partitioned data centre, want 1", got)
		}
		c.network.SetPartition(nil)
		c.waitListsVersion(2, 12*time.Second, "d", "e", "f")
	})
}

// TestConcurrentChangesOfOneVersionHaveOneWinner sends three changes of the same
// version at once: one must be accepted, and the others must receive its id.
func TestConcurrentChangesOfOneVersionHaveOneWinner(t *testing.T) {
	withCluster(t, controlAndEntries(), func(t *testing.T, c *cluster) {
		c.startWithTestLists()
		for round := range 10 {
			responses := make([]httpResponse, 3)
			var operators sync.WaitGroup
			for i, id := range []identifier.InstanceID{"a", "b", "c"} {
				operators.Go(func() {
					responses[i] = c.applyLists(id, fmt.Sprintf("race-%d-%d", round, i), 1+round, listsWithQuota(round*10+i))
				})
			}
			operators.Wait()
			winners := 0
			for _, response := range responses {
				if c.accepted(response) {
					winners++
				} else if response.status != http.StatusConflict || !strings.Contains(response.body, fmt.Sprintf(`"winner":"race-%d-`, round)) {
					t.Errorf("refused change got %d %s, want 409 and the id of the winner", response.status, response.body)
				}
			}
			if winners != 1 {
				t.Errorf("round %d: %d changes accepted, want 1", round, winners)
			}
		}
	})
}

// TestResentChangeGetsFirstResponse resends an accepted change after a change of
// leader and after restarts: it must get its first response, not a conflict.
func TestResentChangeGetsFirstResponse(t *testing.T) {
	withCluster(t, controlAndEntries(), func(t *testing.T, c *cluster) {
		c.startWithTestLists()
		first := c.applyLists("a", "once", 1, listsWithQuota(2))
		c.applyLists("a", "next", 2, listsWithQuota(3))
		leader := c.waitLeader("x", "y", "z")
		c.stop(leader)
		fromNewLeader := c.applyLists("b", "once", 1, listsWithQuota(2))
		c.start(leader)
		for _, id := range except(leader, "x", "y", "z") {
			c.kill(id)
			c.start(id)
		}
		afterRestarts := c.applyLists("c", "once", 1, listsWithQuota(2))
		late := c.applyLists("c", "late", 1, listsWithQuota(9))
		if fromNewLeader.body != first.body || afterRestarts.body != first.body {
			t.Errorf("resent changes got %s and %s, want the first response %s", fromNewLeader.body, afterRestarts.body, first.body)
		}
		if late.status != http.StatusConflict || !strings.Contains(late.body, `"winner":"next"`) {
			t.Errorf("a change of an old version got %d %s, want a conflict with next", late.status, late.body)
		}
	})
}

func (c *cluster) changeVoters(kind, id string) httpResponse {
	body := fmt.Sprintf(`{"kind":%q,"peer":{"id":%q,"address":"%s:7000"}}`, kind, id, id)
	return c.mustSend("a", http.MethodPost, "/v1/voters", operatorToken, nil, body)
}

// TestSecondVoterLostAfterReplacement replaces a lost voter by a new instance and
// loses a second voter right after: accepted changes must remain, and new ones
// be accepted.
func TestSecondVoterLostAfterReplacement(t *testing.T) {
	withCluster(t, controlAndEntries(), func(t *testing.T, c *cluster) {
		c.startWithTestLists()
		for i := range 20 {
			c.applyLists("a", fmt.Sprint("before-", i), 1+i, listsWithQuota(i))
		}
		c.kill("z")
		c.dataDirs["n"] = t.TempDir()
		c.peers = append(c.peers, loader.Peer{Instance: "n", Address: "n:7000", DataCenter: "dc1", Region: "region", Roles: []string{"control"}})
		c.start("n")
		if response := c.changeVoters("add-learner", "n"); response.status != http.StatusOK {
			t.Fatalf("add learner: %d %s", response.status, response.body)
		}
		c.waitFor("learner promoted", time.Minute, func() bool {
			return c.changeVoters("promote", "n").status == http.StatusOK
		})
		if response := c.changeVoters("remove", "z"); response.status != http.StatusOK {
			t.Fatalf("remove voter: %d %s", response.status, response.body)
		}
		c.kill("y")
		c.waitFor("a change accepted after the second voter was lost", 12*time.Second, func() bool {
			return c.accepted(c.applyLists("b", "after", 21, listsWithQuota(99)))
		})
		if voters := len(c.controlStatusOf("n").Membership.Voters); voters != 3 {
			t.Errorf("%d voters, want 3", voters)
		}
	})
}

// TestVoterWithLostDiskDoesNotCount restarts a voter on an empty disk. It may have
// voted and no longer knows, so it must not count towards a majority under its id.
func TestVoterWithLostDiskDoesNotCount(t *testing.T) {
	withCluster(t, controlAndEntries(), func(t *testing.T, c *cluster) {
		c.startWithTestLists()
		c.kill("z")
		c.dataDirs["z"] = t.TempDir()
		c.start("z")
		c.kill("y")
		time.Sleep(30 * time.Second)
		if status := c.controlStatusOf("z"); status.Role == "leader" {
			t.Error("a voter that lost its disk is the leader")
		}
		if response := c.applyLists("a", "unsafe", 1, listsWithQuota(1)); c.accepted(response) {
			t.Error("a change was accepted by a majority that counts a voter that lost its disk")
		}
	})
}

// TestRestartedInstancesCatchUpOnMissedChanges restarts a voter and an entry that
// missed 800 changes while the log was compacted every 100 entries: both must
// catch up within 5 s.
func TestRestartedInstancesCatchUpOnMissedChanges(t *testing.T) {
	withCluster(t, controlAndEntries(), func(t *testing.T, c *cluster) {
		c.settings = func(s *loader.Settings) { s.Control.CompactEntries = 100 }
		c.startWithTestLists()
		c.kill("z")
		c.stop("c")
		for i := range 800 {
			if response := c.applyLists("a", fmt.Sprint("pile-", i), 1+i, listsWithQuota(i)); !c.accepted(response) {
				t.Fatalf("change %d: %d %s", i, response.status, response.body)
			}
		}
		c.start("z")
		c.start("c")
		if took := c.waitListsVersion(801, 12*time.Second, "z", "c"); took > 5*time.Second {
			t.Errorf("caught up after %s, want at most 5s", took)
		}
	})
}

// TestDisklessRestartLoadsNewestListsFromPeers restarts an instance without a
// disk in a partitioned data centre: it must load the newest lists from its peers
// before it is ready.
func TestDisklessRestartLoadsNewestListsFromPeers(t *testing.T) {
	withCluster(t, twoDataCenters(), func(t *testing.T, c *cluster) {
		c.startWithTestLists()
		c.applyLists("a", "newer", 1, testLists)
		c.waitListsVersion(2, 12*time.Second, "d", "e", "f")
		c.network.SetPartition(betweenDataCenters)
		c.kill("d")
		c.network.SetPartition(betweenDataCenters)
		c.start("d")
		c.waitFor("restarted instance ready", time.Minute, func() bool { return c.daemons["d"].Ready() == nil })
		if got := c.listsVersion("d"); got != 2 {
			t.Errorf("ready with version %d, want version 2 of its peers", got)
		}
	})
}

func TestIsolatedInstanceWithoutListsIsNotReady(t *testing.T) {
	withCluster(t, twoDataCenters(), func(t *testing.T, c *cluster) {
		c.startWithTestLists()
		c.kill("d")
		c.network.SetPartition(isolated("d"))
		c.start("d")
		time.Sleep(time.Minute)
		if c.daemons["d"].Ready() == nil {
			t.Error("an isolated instance without lists is ready")
		}
	})
}

func TestChangeReachesAllInstancesAfterPartitionHeals(t *testing.T) {
	withCluster(t, twoDataCenters(), func(t *testing.T, c *cluster) {
		c.startWithTestLists()
		c.network.SetPartition(betweenDataCenters)
		time.Sleep(time.Hour)
		c.waitFor("a change accepted by the majority", time.Minute, func() bool {
			return c.accepted(c.applyLists("b", "cut", 1, testLists))
		})
		c.network.SetPartition(nil)
		if took := c.waitListsVersion(2, time.Minute, "a", "b", "c", "d", "e", "f"); took > 12*time.Second {
			t.Errorf("change in force at all instances %s after the partition healed, want at most 12s", took)
		}
	})
}

// TestOutboundIsolatedInstanceBecomesUnready drops all messages that an instance
// sends to others while it receives theirs: it must report itself unready.
func TestOutboundIsolatedInstanceBecomesUnready(t *testing.T) {
	withCluster(t, threeInstances(), func(_ *testing.T, c *cluster) {
		c.startWithTestLists()
		c.network.SetPartition(func(from, to string) bool { return from == "c" && len(to) == 1 })
		c.waitFor("isolated instance unready", time.Minute, func() bool { return c.daemons["c"].Ready() != nil })
		c.network.SetPartition(nil)
		c.waitReady()
	})
}

// TestLostClaimsGiveOutcomeUnknownUntilReset loses all entry instances of a data
// centre at once, and with them the claims in memory. Until an operator resets
// the claims, no keyed request may be reported as not run.
func TestLostClaimsGiveOutcomeUnknownUntilReset(t *testing.T) {
	withCluster(t, controlAndEntries(), func(t *testing.T, c *cluster) {
		c.addUpstream("u1", 4, "dc1")
		c.startWithTestLists()
		c.postRequest("a", isukuHeader("dc1:old"), "old")
		for _, id := range []identifier.InstanceID{"a", "b", "c"} {
			c.kill(id)
		}
		for _, id := range []identifier.InstanceID{"a", "b", "c"} {
			c.start(id)
		}
		time.Sleep(20 * time.Second)
		if response := c.postRequest("a", isukuHeader("dc1:old"), "old"); response.code() != "outcome-unknown" || c.runCount("old") != 1 {
			t.Errorf("after the claims were lost: got %d %s, ran %d times, want outcome-unknown and 1", response.status, response.body, c.runCount("old"))
		}
		if response := c.mustSend("b", http.MethodPost, "/v1/claims/reset", operatorToken, nil, ""); response.status != http.StatusNoContent {
			t.Fatalf("reset claims: %d %s", response.status, response.body)
		}
		c.waitReady()
		if response := c.postRequest("c", isukuHeader("dc1:new"), "new"); response.body != "done new" {
			t.Errorf("after the reset: got %d %s, want the response", response.status, response.body)
		}
		if response := c.mustSend("b", http.MethodPost, "/v1/claims/reset", operatorToken, nil, ""); response.code() != "conflict" {
			t.Errorf("reset of claims that are not lost: got %d %s, want conflict", response.status, response.body)
		}
	})
}
