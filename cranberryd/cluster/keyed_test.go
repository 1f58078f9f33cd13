package cluster_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"cranberrystack.dev/cranberrystack/identifier"
)

// TestConcurrentRequestsWithOneKeyRunOnce sends one key to three entries at once:
// it must run once, and all must get the response.
func TestConcurrentRequestsWithOneKeyRunOnce(t *testing.T) {
	withCluster(t, threeInstances(), func(t *testing.T, c *cluster) {
		c.startWithTwoUpstreams(respondAfter(300 * time.Millisecond))
		for round := range 10 {
			body := fmt.Sprint("race ", round)
			var senders sync.WaitGroup
			for _, id := range []identifier.InstanceID{"a", "b", "c"} {
				senders.Go(func() {
					response, err := c.send(id, http.MethodPost, "/v1/requests", isukuToken, isukuHeader("dc1:"+body), body)
					if err != nil || response.body != "done "+body {
						t.Errorf("%s at %s: got %d %s", body, id, response.status, response.body)
					}
				})
			}
			senders.Wait()
			if runs := c.runCount(body); runs != 1 {
				t.Errorf("%s: ran %d times, want 1", body, runs)
			}
		}
	})
}

func TestSameKeyOfTwoMembersIsIndependent(t *testing.T) {
	withCluster(t, threeInstances(), func(t *testing.T, c *cluster) {
		c.startWithTwoUpstreams(nil)
		ours := c.postRequest("a", isukuHeader("dc1:same"), "ours")
		header := isukuHeader("dc1:same")
		header["Cranberry-Plan"], header["Cranberry-Team"] = "nieve-plan", "routes"
		theirs := c.mustSend("a", http.MethodPost, "/v1/requests", nieveToken, header, "theirs")
		if ours.body != "done ours" || theirs.body != "done theirs" {
			t.Errorf("got %q and %q, want a response of its own for each member", ours.body, theirs.body)
		}
	})
}

// TestEntryKilledBetweenClaimAndSend kills an entry that has claimed a key before
// it could send the request to an upstream: a resend to another entry must run it
// once.
func TestEntryKilledBetweenClaimAndSend(t *testing.T) {
	withCluster(t, threeInstances(), func(t *testing.T, c *cluster) {
		c.startWithTwoUpstreams(nil)
		c.network.SetPartition(func(from, to string) bool { return from == "a" && strings.HasPrefix(to, "u") })
		sent := make(chan struct{})
		go func() {
			defer close(sent)
			_, _ = c.send("a", http.MethodPost, "/v1/requests", isukuToken, isukuHeader("dc1:claimed"), "claimed")
		}()
		time.Sleep(100 * time.Millisecond)
		c.network.Kill("a")
		c.network.SetPartition(func(from, to string) bool { return from == "a" || to == "a" })
		response := c.postRequest("b", isukuHeader("dc1:claimed"), "claimed")
		if response.status != http.StatusOK || c.runCount("claimed") != 1 {
			t.Errorf("got %d %s, ran %d times, want 200 and 1", response.status, response.body, c.runCount("claimed"))
		}
		<-sent
	})
}

// TestEntryKilledBetweenSendAndResponse kills the entry while the upstream runs
// the request: a resend must get the response of that run.
func TestEntryKilledBetweenSendAndResponse(t *testing.T) {
	withCluster(t, threeInstances(), func(t *testing.T, c *cluster) {
		c.startWithTwoUpstreams(respondAfter(time.Second))
		sent := make(chan struct{})
		go func() {
			defer close(sent)
			_, _ = c.send("a", http.MethodPost, "/v1/requests", isukuToken, isukuHeader("dc1:sent"), "sent")
		}()
		c.waitFor("request runs", time.Minute, func() bool { return c.runCount("sent") == 1 })
		c.network.Kill("a")
		c.network.SetPartition(func(from, to string) bool { return from == "a" || to == "a" })
		response := c.postRequest("c", isukuHeader("dc1:sent"), "sent")
		if response.status != http.StatusOK || response.body != "done sent" || c.runCount("sent") != 1 {
			t.Errorf("got %d %s, ran %d times, want the response and 1", response.status, response.body, c.runCount("sent"))
		}
		<-sent
	})
}

func TestResendAfterRestartsGetsStoredResponse(t *testing.T) {
	for name, instances := range map[string][]instanceSpec{"claims on disk": threeInstances(), "claims in memory": controlAndEntries()} {
		t.Run(name, func(t *testing.T) { withCluster(t, instances, checkResendAfterRestarts) })
	}
}

// TestResendToPartitionedDataCenter resends a key of another data centre: while
// the partition lasts the outcome is unknown, after it the resend must get the
// response, and the data centre must serve its own requests throughout.
func TestResendToPartitionedDataCenter(t *testing.T) {
	withCluster(t, twoDataCenters(), func(t *testing.T, c *cluster) {
		c.addUpstream("u1", 4, "dc1")
		c.addUpstream("v1", 4, "dc2")
		c.startWithTestLists()
		first := c.postRequest("a", isukuHeader("dc1:far"), "far")
		resend := c.postRequest("d", isukuHeader("dc1:far"), "far")
		if first.body != "done far" || resend.body != "done far" || c.runCount("far") != 1 {
			t.Fatalf("resend before the partition: got %q and %q, ran %d times", first.body, resend.body, c.runCount("far"))
		}
		c.network.SetPartition(betweenDataCenters)
		partitioned := c.postRequest("d", isukuHeader("dc1:far"), "far")
		if partitioned.code() != "outcome-unknown" {
			t.Errorf("resend during the partition: got %d %s, want outcome-unknown", partitioned.status, partitioned.body)
		}
		own := c.postRequest("e", isukuHeader("dc2:near"), "near")
		plain := c.postRequest("f", isukuHeader(""), "plain")
		if own.status != http.StatusOK || plain.status != http.StatusOK {
			t.Errorf("the partitioned data centre does not serve its own requests: %d %s, %d %s", own.status, own.body, plain.status, plain.body)
		}
		c.network.SetPartition(nil)
		c.waitFor("response after the partition healed", time.Minute, func() bool {
			return c.postRequest("d", isukuHeader("dc1:far"), "far").body == "done far"
		})
		if runs := c.runCount("far"); runs != 1 {
			t.Errorf("ran %d times, want 1", runs)
		}
	})
}

// TestClaimsSurviveRestartOfOnlyEntry restarts the only entry of a data centre: it
// must recover its claims from disk and return the stored response to a resend.
func TestClaimsSurviveRestartOfOnlyEntry(t *testing.T) {
	withCluster(t, []instanceSpec{{"a", "dc1", allRoles}}, func(t *testing.T, c *cluster) {
		c.addUpstream("u1", 4, "dc1")
		c.startWithTestLists()
		c.postRequest("a", isukuHeader("dc1:kept"), "kept")
		c.kill("a")
		c.start("a")
		c.waitReady()
		response := c.postRequest("a", isukuHeader("dc1:kept"), "kept")
		if response.body != "done kept" || c.runCount("kept") != 1 {
			t.Errorf("got %d %q, ran %d times, want the stored response and 1", response.status, response.body, c.runCount("kept"))
		}
	})
}

// TestResponseAfterDeadlineIsStoredForResend sets a deadline before the end of the
// run: the caller receives outcome-unknown, and a later resend must get the
// response without a second run.
func TestResponseAfterDeadlineIsStoredForResend(t *testing.T) {
	withCluster(t, threeInstances(), func(t *testing.T, c *cluster) {
		c.startWithTwoUpstreams(respondAfter(2 * time.Second))
		header := isukuHeader("dc1:late")
		header["Cranberry-Deadline-Ms"] = "500"
		began := time.Now()
		late := c.postRequest("a", header, "late")
		if late.code() != "outcome-unknown" || time.Since(began) > time.Second {
			t.Errorf("got %d %s after %s, want outcome-unknown at the deadline", late.status, late.body, time.Since(began))
		}
		// A resend during the run must get the same status and code.
		meanwhile := c.postRequest("c", header, "late")
		if meanwhile.status != late.status || meanwhile.code() != late.code() || meanwhile.header.Get("Retry-After") == "" || late.header.Get("Retry-After") == "" {
			t.Errorf("resend during the run: got %d %s, want %d %s, both with Retry-After", meanwhile.status, meanwhile.body, late.status, late.body)
		}
		header["Cranberry-Deadline-Ms"] = "5000"
		afterRun := c.postRequest("c", header, "late")
		if afterRun.status != http.StatusOK || afterRun.body != "done late" || c.runCount("late") != 1 {
			t.Errorf("resend: got %d %q, ran %d times, want the stored response and 1", afterRun.status, afterRun.body, c.runCount("late"))
		}
	})
}

// TestRefusedResendIsNotReportedAsNotRun resends a key that has run, with a passed
// deadline, to an entry without its claim: the entry must return the stored
// response of its peers, or outcome-unknown while it can't reach them.
func TestRefusedResendIsNotReportedAsNotRun(t *testing.T) {
	withCluster(t, threeInstances(), func(t *testing.T, c *cluster) {
		c.startWithTwoUpstreams(nil)
		isolateC := func(from, to string) bool {
			return (from == "c" || to == "c") && !strings.HasPrefix(from, "client") && !strings.HasPrefix(to, "client")
		}
		expiredHeader := func(key string) map[string]string {
			header := isukuHeader(key)
			header["Cranberry-Deadline-Ms"] = "0"
			return header
		}
		c.network.SetPartition(isolateC)
		first := c.postRequest("a", isukuHeader("dc1:told"), "told")
		if first.status != http.StatusOK {
			t.Fatalf("got %d %s", first.status, first.body)
		}
		began := time.Now()
		whilePartitioned := c.postRequest("c", expiredHeader("dc1:told"), "told")
		if whilePartitioned.code() != "outcome-unknown" || whilePartitioned.header.Get("Retry-After") == "" || time.Since(began) > 2*time.Second {
			t.Errorf("during the partition: got %d %s after %v, want outcome-unknown within 2s and Retry-After", whilePartitioned.status, whilePartitioned.body, time.Since(began))
		}
		c.network.SetPartition(nil)
		time.Sleep(5 * time.Second)
		afterHeal := c.postRequest("c", expiredHeader("dc1:told"), "told")
		if afterHeal.status != http.StatusOK || afterHeal.body != first.body || c.runCount("told") != 1 {
			t.Errorf("resend after the partition: got %d %s, want the stored response", afterHeal.status, afterHeal.body)
		}
		neverSent := c.postRequest("c", expiredHeader("dc1:never"), "never")
		if neverSent.code() != "not-run" || c.runCount("never") != 0 {
			t.Errorf("a key sent for the first time: got %d %s, want not-run", neverSent.status, neverSent.body)
		}
	})
}
