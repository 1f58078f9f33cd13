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
func controlAndEntries() []member {
	return []member{
		{"x", "dc1", []string{"control"}}, {"y", "dc1", []string{"control"}}, {"z", "dc1", []string{"control"}},
		{"a", "dc1", []string{"entry"}}, {"b", "dc1", []string{"entry"}}, {"c", "dc1", []string{"entry"}},
	}
}

func listsWithQuota(quota int) string {
	return fmt.Sprintf(`"plans":[{"id":"isuku-plan","member":"isuku","teams":[{"id":"rounds","quota":%d}]}],
		"allowances":[{"plan":"isuku-plan","accelerator":"gpu","limit":64,"adjacent":["worker"],"request-share":0.5}]`, quota)
}

// controlStatus is one voter's word.
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

func (c *cluster) control(id identifier.InstanceID) controlStatus {
	var vars struct {
		Control controlStatus `json:"control"`
	}
	answer, err := c.send(id, http.MethodGet, "/debug/vars", "", nil, "")
	if err == nil {
		_ = json.Unmarshal([]byte(answer.body), &vars)
	}
	return vars.Control
}

// leader waits for an instance that says it leads, among the given ones.
func (c *cluster) leader(among ...identifier.InstanceID) identifier.InstanceID {
	c.t.Helper()
	var found identifier.InstanceID
	c.waitFor("a leader", time.Minute, func() bool {
		for _, id := range among {
			if c.control(id).Role == "leader" {
				found = id
				return true
			}
		}
		return false
	})
	return found
}

func others(of identifier.InstanceID, all ...identifier.InstanceID) []identifier.InstanceID {
	var rest []identifier.InstanceID
	for _, id := range all {
		if id != of {
			rest = append(rest, id)
		}
	}
	return rest
}

func isolated(id identifier.InstanceID) func(from, to string) bool {
	return func(from, to string) bool { return from == string(id) || to == string(id) }
}

func (c *cluster) accepted(answer reply) bool {
	return answer.status == http.StatusOK
}

func (c *cluster) waitVersion(want int, limit time.Duration, ids ...identifier.InstanceID) time.Duration {
	c.t.Helper()
	return c.waitFor(fmt.Sprint("version ", want), limit, func() bool {
		for _, id := range ids {
			if c.version(id) < want {
				return false
			}
		}
		return true
	})
}

func TestLeaderKilledMidAppend(t *testing.T) {
	withCluster(t, controlAndEntries(), func(t *testing.T, c *cluster) {
		c.prepare()
		leader := c.leader("x", "y", "z")
		sent := make(chan reply, 1)
		go func() {
			answer, _ := c.send("a", http.MethodPut, "/v1/lists", operatorToken, nil,
				fmt.Sprintf(`{"request-id":"during","expected-version":1,%s}`, listsWithQuota(7)))
			sent <- answer
		}()
		c.kill(leader)
		began := time.Now()
		<-sent
		rest := others(leader, "x", "y", "z")
		again := c.apply("b", "during", 1, listsWithQuota(7))
		if !c.accepted(again) {
			t.Fatalf("resend: %d %s", again.status, again.body)
		}
		c.waitVersion(2, 12*time.Second, "a", "b", "c", rest[0], rest[1])
		if took := time.Since(began); took > 12*time.Second {
			t.Errorf("in force after %s through the loss of the leader, want 12s", took)
		}
		if got := c.version("a"); got != 2 {
			t.Errorf("version %d in force, want the change once as version 2", got)
		}
	})
}

func TestLeaderCutOffForAnHour(t *testing.T) {
	withCluster(t, controlAndEntries(), func(t *testing.T, c *cluster) {
		c.prepare()
		old := c.leader("x", "y", "z")
		c.network.SetPartition(isolated(old))
		c.leader(others(old, "x", "y", "z")...)
		for i := range 5 {
			if answer := c.apply("a", fmt.Sprint("hour-", i), 1+i, listsWithQuota(10+i)); !c.accepted(answer) {
				t.Fatalf("change %d while a leader is cut off: %d %s", i, answer.status, answer.body)
			}
		}
		time.Sleep(time.Hour)
		rest := others(old, "x", "y", "z")
		before := c.control(rest[0])
		c.network.SetPartition(nil)
		c.waitVersion(6, 10*time.Second, old)
		time.Sleep(10 * time.Second)
		after := c.control(rest[0])
		if after.Term != before.Term {
			t.Errorf("the returning instance raised the term from %d to %d", before.Term, after.Term)
		}
	})
}

// TestSilentLeaderStopsAnswering cuts the leader off and asks it as an operator
// would who still reaches it: it accepts nothing and gives no fresh lists.
func TestSilentLeaderStopsAnswering(t *testing.T) {
	withCluster(t, controlAndEntries(), func(t *testing.T, c *cluster) {
		c.prepare()
		old := c.leader("x", "y", "z")
		c.network.SetPartition(func(from, to string) bool {
			return (from == string(old) && len(to) == 1) || (to == string(old) && len(from) == 1)
		})
		if answer := c.must(old, http.MethodGet, "/v1/lists?fresh=true", operatorToken, nil, ""); answer.status == http.StatusOK {
			t.Errorf("a leader that is cut off answers as if it led: %s", answer.body)
		}
		if answer := c.apply(old, "lost", 1, listsWithQuota(3)); c.accepted(answer) {
			t.Errorf("a leader that is cut off accepts a change: %s", answer.body)
		}
		if got := c.version(old); got != 1 {
			t.Errorf("version %d in force at the cut-off leader, want 1", got)
		}
	})
}

func TestMinorityKeepsServing(t *testing.T) {
	withCluster(t, twoCentres(), func(t *testing.T, c *cluster) {
		c.addUpstream("u1", 4, "dc1")
		c.addUpstream("v1", 4, "dc2")
		c.prepare()
		c.network.SetPartition(apart)
		time.Sleep(time.Hour)
		if answer := c.post("d", isukuRequest(""), "served"); answer.status != http.StatusOK {
			t.Errorf("the cut-off data centre does not serve: %d %s", answer.status, answer.body)
		}
		if answer := c.apply("d", "minority", 1, listsWithQuota(3)); c.accepted(answer) {
			t.Errorf("the cut-off data centre accepts a change: %s", answer.body)
		}
		if answer := c.apply("a", "majority", 1, testLists); !c.accepted(answer) {
			t.Errorf("the majority accepts no change: %d %s", answer.status, answer.body)
		}
		if got := c.version("d"); got != 1 {
			t.Errorf("version %d in force in the cut-off data centre, want 1", got)
		}
		c.network.SetPartition(nil)
		c.waitVersion(2, 12*time.Second, "d", "e", "f")
	})
}

func TestEqualVersionRace(t *testing.T) {
	withCluster(t, controlAndEntries(), func(t *testing.T, c *cluster) {
		c.prepare()
		for round := range 10 {
			answers := make([]reply, 3)
			var racing sync.WaitGroup
			for i, id := range []identifier.InstanceID{"a", "b", "c"} {
				racing.Go(func() {
					answers[i] = c.apply(id, fmt.Sprintf("race-%d-%d", round, i), 1+round, listsWithQuota(round*10+i))
				})
			}
			racing.Wait()
			winners := 0
			for _, answer := range answers {
				if c.accepted(answer) {
					winners++
				} else if answer.status != http.StatusConflict || !strings.Contains(answer.body, fmt.Sprintf(`"winner":"race-%d-`, round)) {
					t.Errorf("a loser got %d %s, want 409 and the winner", answer.status, answer.body)
				}
			}
			if winners != 1 {
				t.Errorf("round %d: %d changes won, want 1", round, winners)
			}
		}
	})
}

func TestResendGetsFirstAnswer(t *testing.T) {
	withCluster(t, controlAndEntries(), func(t *testing.T, c *cluster) {
		c.prepare()
		first := c.apply("a", "once", 1, listsWithQuota(2))
		c.apply("a", "next", 2, listsWithQuota(3))
		leader := c.leader("x", "y", "z")
		c.stop(leader)
		fromNewLeader := c.apply("b", "once", 1, listsWithQuota(2))
		c.start(leader)
		for _, id := range others(leader, "x", "y", "z") {
			c.kill(id)
			c.start(id)
		}
		afterRestarts := c.apply("c", "once", 1, listsWithQuota(2))
		lost := c.apply("c", "late", 1, listsWithQuota(9))
		if fromNewLeader.body != first.body || afterRestarts.body != first.body {
			t.Errorf("resends got %s and %s, want the first answer %s", fromNewLeader.body, afterRestarts.body, first.body)
		}
		if lost.status != http.StatusConflict || !strings.Contains(lost.body, `"winner":"next"`) {
			t.Errorf("a late change got %d %s, want a conflict with next", lost.status, lost.body)
		}
	})
}

func (c *cluster) changeVoters(kind, id string) reply {
	body := fmt.Sprintf(`{"kind":%q,"peer":{"id":%q,"address":"%s:7000"}}`, kind, id, id)
	return c.must("a", http.MethodPost, "/v1/voters", operatorToken, nil, body)
}

// TestSecondLossAfterReplacement replaces a lost voter by a new instance and
// then loses another at once; what was accepted stays and changes go on.
func TestSecondLossAfterReplacement(t *testing.T) {
	withCluster(t, controlAndEntries(), func(t *testing.T, c *cluster) {
		c.prepare()
		for i := range 20 {
			c.apply("a", fmt.Sprint("before-", i), 1+i, listsWithQuota(i))
		}
		c.kill("z")
		c.folders["n"] = t.TempDir()
		c.peers = append(c.peers, loader.Peer{Instance: "n", Address: "n:7000", DataCenter: "dc1", Region: "region", Roles: []string{"control"}})
		c.start("n")
		if answer := c.changeVoters("add-learner", "n"); answer.status != http.StatusOK {
			t.Fatalf("add: %d %s", answer.status, answer.body)
		}
		c.waitFor("the new instance caught up", time.Minute, func() bool {
			return c.changeVoters("promote", "n").status == http.StatusOK
		})
		if answer := c.changeVoters("remove", "z"); answer.status != http.StatusOK {
			t.Fatalf("remove: %d %s", answer.status, answer.body)
		}
		c.kill("y")
		c.waitFor("a change after the second loss", 12*time.Second, func() bool {
			return c.accepted(c.apply("b", "after", 21, listsWithQuota(99)))
		})
		if voters := len(c.control("n").Membership.Voters); voters != 3 {
			t.Errorf("%d voters, want 3", voters)
		}
	})
}

// TestVoterWithLostDisk restarts a voter on an empty disk: it may have voted
// and must not count again under its name.
func TestVoterWithLostDisk(t *testing.T) {
	withCluster(t, controlAndEntries(), func(t *testing.T, c *cluster) {
		c.prepare()
		c.kill("z")
		c.folders["z"] = t.TempDir()
		c.start("z")
		c.kill("y")
		time.Sleep(30 * time.Second)
		if status := c.control("z"); status.Role == "leader" {
			t.Error("a voter without its disk leads")
		}
		if answer := c.apply("a", "unsafe", 1, listsWithQuota(1)); c.accepted(answer) {
			t.Error("a change was accepted by a majority that counts a voter without its disk")
		}
	})
}

func TestRestartWithChangesPiledUp(t *testing.T) {
	withCluster(t, controlAndEntries(), func(t *testing.T, c *cluster) {
		c.settings = func(s *loader.Settings) { s.Control.CompactEntries = 100 }
		c.prepare()
		c.kill("z")
		c.stop("c")
		for i := range 800 {
			if answer := c.apply("a", fmt.Sprint("pile-", i), 1+i, listsWithQuota(i)); !c.accepted(answer) {
				t.Fatalf("change %d: %d %s", i, answer.status, answer.body)
			}
		}
		c.start("z")
		c.start("c")
		if took := c.waitVersion(801, 12*time.Second, "z", "c"); took > 5*time.Second {
			t.Errorf("caught up after %s, want 5s", took)
		}
	})
}

// TestDisklessRestart restarts an instance without a disk in a cut-off data
// centre, where a peer knows newer lists than the rest.
func TestDisklessRestart(t *testing.T) {
	withCluster(t, twoCentres(), func(t *testing.T, c *cluster) {
		c.prepare()
		c.apply("a", "newer", 1, testLists)
		c.waitVersion(2, 12*time.Second, "d", "e", "f")
		c.network.SetPartition(apart)
		c.kill("d")
		c.network.SetPartition(apart)
		c.start("d")
		c.waitFor("the restarted instance ready", time.Minute, func() bool { return c.daemons["d"].Ready() == nil })
		if got := c.version("d"); got != 2 {
			t.Errorf("ready with version %d, want 2, which its peers know", got)
		}
	})
}

func TestAloneWithoutListsIsNotReady(t *testing.T) {
	withCluster(t, twoCentres(), func(t *testing.T, c *cluster) {
		c.prepare()
		c.kill("d")
		c.network.SetPartition(isolated("d"))
		c.start("d")
		time.Sleep(time.Minute)
		if c.daemons["d"].Ready() == nil {
			t.Error("an instance that knows no lists and reaches nobody is ready")
		}
	})
}

func TestRegionsCutForAnHour(t *testing.T) {
	withCluster(t, twoCentres(), func(t *testing.T, c *cluster) {
		c.prepare()
		c.network.SetPartition(apart)
		time.Sleep(time.Hour)
		c.waitFor("a change in the majority", time.Minute, func() bool {
			return c.accepted(c.apply("b", "cut", 1, testLists))
		})
		c.network.SetPartition(nil)
		if took := c.waitVersion(2, time.Minute, "a", "b", "c", "d", "e", "f"); took > 12*time.Second {
			t.Errorf("in force everywhere %s after the cut, want 12s", took)
		}
	})
}

// TestUnheardInstance lets an instance hear others while nobody hears it: it
// must make itself unready.
func TestUnheardInstance(t *testing.T) {
	withCluster(t, trio(), func(_ *testing.T, c *cluster) {
		c.prepare()
		c.network.SetPartition(func(from, to string) bool { return from == "c" && len(to) == 1 })
		c.waitFor("the instance is unready", time.Minute, func() bool { return c.daemons["c"].Ready() != nil })
		c.network.SetPartition(nil)
		c.waitReady()
	})
}

// TestClaimsLost loses all entry instances of a data centre at once. Until an
// operator resets the claims, no keyed request is said not to have run.
func TestClaimsLost(t *testing.T) {
	withCluster(t, controlAndEntries(), func(t *testing.T, c *cluster) {
		c.addUpstream("u1", 4, "dc1")
		c.prepare()
		c.post("a", isukuRequest("dc1:old"), "old")
		for _, id := range []identifier.InstanceID{"a", "b", "c"} {
			c.kill(id)
		}
		for _, id := range []identifier.InstanceID{"a", "b", "c"} {
			c.start(id)
		}
		time.Sleep(20 * time.Second)
		if answer := c.post("a", isukuRequest("dc1:old"), "old"); answer.code() != "outcome-unknown" || c.runsOf("old") != 1 {
			t.Errorf("after the loss: got %d %s, ran %d times", answer.status, answer.body, c.runsOf("old"))
		}
		if answer := c.must("b", http.MethodPost, "/v1/claims/reset", operatorToken, nil, ""); answer.status != http.StatusNoContent {
			t.Fatalf("reset: %d %s", answer.status, answer.body)
		}
		c.waitReady()
		if answer := c.post("c", isukuRequest("dc1:new"), "new"); answer.body != "done new" {
			t.Errorf("after the reset: got %d %s", answer.status, answer.body)
		}
		if answer := c.must("b", http.MethodPost, "/v1/claims/reset", operatorToken, nil, ""); answer.code() != "conflict" {
			t.Errorf("reset of claims that are there: got %d %s", answer.status, answer.body)
		}
	})
}
