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

func TestSameKeyAtOnce(t *testing.T) {
	withCluster(t, trio(), func(t *testing.T, c *cluster) {
		c.twoUpstreams(takes(300 * time.Millisecond))
		for round := range 10 {
			body := fmt.Sprint("race ", round)
			var senders sync.WaitGroup
			for _, id := range []identifier.InstanceID{"a", "b", "c"} {
				senders.Go(func() {
					answer, err := c.send(id, http.MethodPost, "/v1/requests", isukuToken, isukuRequest("dc1:"+body), body)
					if err != nil || answer.body != "done "+body {
						t.Errorf("%s at %s: got %d %s", body, id, answer.status, answer.body)
					}
				})
			}
			senders.Wait()
			if runs := c.runsOf(body); runs != 1 {
				t.Errorf("%s: ran %d times, want 1", body, runs)
			}
		}
	})
}

func TestEqualKeysOfTwoMembers(t *testing.T) {
	withCluster(t, trio(), func(t *testing.T, c *cluster) {
		c.twoUpstreams(nil)
		ours := c.post("a", isukuRequest("dc1:same"), "ours")
		header := isukuRequest("dc1:same")
		header["Cranberry-Plan"], header["Cranberry-Team"] = "nieve-plan", "routes"
		theirs := c.must("a", http.MethodPost, "/v1/requests", nieveToken, header, "theirs")
		if ours.body != "done ours" || theirs.body != "done theirs" {
			t.Errorf("got %q and %q, want each its own answer", ours.body, theirs.body)
		}
	})
}

// TestEntryKilledBetweenClaimAndSend kills the entry that has claimed a key
// before anything reached the upstream; a resend elsewhere runs it once.
func TestEntryKilledBetweenClaimAndSend(t *testing.T) {
	withCluster(t, trio(), func(t *testing.T, c *cluster) {
		c.twoUpstreams(nil)
		c.network.SetPartition(func(from, to string) bool { return from == "a" && strings.HasPrefix(to, "u") })
		sent := make(chan struct{})
		go func() {
			defer close(sent)
			_, _ = c.send("a", http.MethodPost, "/v1/requests", isukuToken, isukuRequest("dc1:claimed"), "claimed")
		}()
		time.Sleep(100 * time.Millisecond)
		c.network.Kill("a")
		c.network.SetPartition(func(from, to string) bool { return from == "a" || to == "a" })
		answer := c.post("b", isukuRequest("dc1:claimed"), "claimed")
		if answer.status != http.StatusOK || c.runsOf("claimed") != 1 {
			t.Errorf("got %d %s, ran %d times, want 200 and 1", answer.status, answer.body, c.runsOf("claimed"))
		}
		<-sent
	})
}

// TestEntryKilledBetweenSendAndAnswer kills the entry while the upstream runs
// the request; a resend gets the answer of that one run.
func TestEntryKilledBetweenSendAndAnswer(t *testing.T) {
	withCluster(t, trio(), func(t *testing.T, c *cluster) {
		c.twoUpstreams(takes(time.Second))
		sent := make(chan struct{})
		go func() {
			defer close(sent)
			_, _ = c.send("a", http.MethodPost, "/v1/requests", isukuToken, isukuRequest("dc1:sent"), "sent")
		}()
		c.waitFor("request runs", time.Minute, func() bool { return c.runsOf("sent") == 1 })
		c.network.Kill("a")
		c.network.SetPartition(func(from, to string) bool { return from == "a" || to == "a" })
		answer := c.post("c", isukuRequest("dc1:sent"), "sent")
		if answer.status != http.StatusOK || answer.body != "done sent" || c.runsOf("sent") != 1 {
			t.Errorf("got %d %s, ran %d times, want the answer and 1", answer.status, answer.body, c.runsOf("sent"))
		}
		<-sent
	})
}

func TestResendToAnotherEntryAfterRestart(t *testing.T) {
	for name, members := range map[string][]member{"claims on disk": trio(), "claims in memory": controlAndEntries()} {
		t.Run(name, func(t *testing.T) { withCluster(t, members, resendAfterRestarts) })
	}
}

func TestResendToAnotherDataCentreWhileCutOff(t *testing.T) {
	withCluster(t, twoCentres(), func(t *testing.T, c *cluster) {
		c.addUpstream("u1", 4, "dc1")
		c.addUpstream("v1", 4, "dc2")
		c.prepare()
		first := c.post("a", isukuRequest("dc1:far"), "far")
		resend := c.post("d", isukuRequest("dc1:far"), "far")
		if first.body != "done far" || resend.body != "done far" || c.runsOf("far") != 1 {
			t.Fatalf("resend before the cut: got %q and %q, ran %d times", first.body, resend.body, c.runsOf("far"))
		}
		c.network.SetPartition(apart)
		cut := c.post("d", isukuRequest("dc1:far"), "far")
		if cut.code() != "outcome-unknown" {
			t.Errorf("resend while cut off: got %d %s, want outcome-unknown", cut.status, cut.body)
		}
		own := c.post("e", isukuRequest("dc2:near"), "near")
		plain := c.post("f", isukuRequest(""), "plain")
		if own.status != http.StatusOK || plain.status != http.StatusOK {
			t.Errorf("the cut-off data centre does not serve its own: %d %s, %d %s", own.status, own.body, plain.status, plain.body)
		}
		c.network.SetPartition(nil)
		c.waitFor("answer once the cut is healed", time.Minute, func() bool {
			return c.post("d", isukuRequest("dc1:far"), "far").body == "done far"
		})
		if runs := c.runsOf("far"); runs != 1 {
			t.Errorf("ran %d times, want 1", runs)
		}
	})
}

// TestOnlyEntryRestarts restarts the only entry of a data centre, whose claims
// are on its disk.
func TestOnlyEntryRestarts(t *testing.T) {
	withCluster(t, []member{{"a", "dc1", allRoles}}, func(t *testing.T, c *cluster) {
		c.addUpstream("u1", 4, "dc1")
		c.prepare()
		c.post("a", isukuRequest("dc1:kept"), "kept")
		c.kill("a")
		c.start("a")
		c.waitReady()
		answer := c.post("a", isukuRequest("dc1:kept"), "kept")
		if answer.body != "done kept" || c.runsOf("kept") != 1 {
			t.Errorf("got %d %q, ran %d times, want the kept answer and 1", answer.status, answer.body, c.runsOf("kept"))
		}
	})
}

func TestAnswerAfterDeadline(t *testing.T) {
	withCluster(t, trio(), func(t *testing.T, c *cluster) {
		c.twoUpstreams(takes(2 * time.Second))
		header := isukuRequest("dc1:late")
		header["Cranberry-Deadline-Ms"] = "500"
		began := time.Now()
		late := c.post("a", header, "late")
		if late.code() != "outcome-unknown" || time.Since(began) > time.Second {
			t.Errorf("got %d %s after %s, want outcome-unknown at the deadline", late.status, late.body, time.Since(began))
		}
		// One state has one answer: a resend while it runs is told the same.
		meanwhile := c.post("c", header, "late")
		if meanwhile.status != late.status || meanwhile.code() != late.code() || meanwhile.header.Get("Retry-After") == "" || late.header.Get("Retry-After") == "" {
			t.Errorf("resend meanwhile: got %d %s, want %d %s, both with when to come back", meanwhile.status, meanwhile.body, late.status, late.body)
		}
		header["Cranberry-Deadline-Ms"] = "5000"
		again := c.post("c", header, "late")
		if again.status != http.StatusOK || again.body != "done late" || c.runsOf("late") != 1 {
			t.Errorf("resend: got %d %q, ran %d times, want the kept answer and 1", again.status, again.body, c.runsOf("late"))
		}
	})
}

// TestRefusedResendIsNotCalledNotRun resends a key whose request has run to an
// entry that knows nothing of it and refuses it, as its deadline has passed. It
// gets the kept answer of the others, and while these can't be asked, no
// promise.
func TestRefusedResendIsNotCalledNotRun(t *testing.T) {
	withCluster(t, trio(), func(t *testing.T, c *cluster) {
		c.twoUpstreams(nil)
		alone := func(from, to string) bool {
			return (from == "c" || to == "c") && !strings.HasPrefix(from, "client") && !strings.HasPrefix(to, "client")
		}
		late := func(key string) map[string]string {
			header := isukuRequest(key)
			header["Cranberry-Deadline-Ms"] = "0"
			return header
		}
		c.network.SetPartition(alone)
		first := c.post("a", isukuRequest("dc1:told"), "told")
		if first.status != http.StatusOK {
			t.Fatalf("got %d %s", first.status, first.body)
		}
		began := time.Now()
		unsure := c.post("c", late("dc1:told"), "told")
		if unsure.code() != "outcome-unknown" || unsure.header.Get("Retry-After") == "" || time.Since(began) > 2*time.Second {
			t.Errorf("cut off: got %d %s after %v, want outcome-unknown soon and when to come back", unsure.status, unsure.body, time.Since(began))
		}
		c.network.SetPartition(nil)
		time.Sleep(5 * time.Second)
		again := c.post("c", late("dc1:told"), "told")
		if again.status != http.StatusOK || again.body != first.body || c.runsOf("told") != 1 {
			t.Errorf("resend: got %d %s, want the kept answer", again.status, again.body)
		}
		other := c.post("c", late("dc1:never"), "never")
		if other.code() != "not-run" || c.runsOf("never") != 0 {
			t.Errorf("a key that was never sent: got %d %s, want not-run", other.status, other.body)
		}
	})
}
