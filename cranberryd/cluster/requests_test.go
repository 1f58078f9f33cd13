package cluster_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"cranberrystack.dev/cranberryd/loader"
	"cranberrystack.dev/cranberrystack/faker"
	"cranberrystack.dev/cranberrystack/identifier"
)

// withCluster runs a scenario on three instances with two upstreams.
func withCluster(t *testing.T, members []member, scenario func(t *testing.T, c *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, members)
		defer c.close()
		scenario(t, c)
	})
}

func (c *cluster) twoUpstreams(run func(ctx context.Context, work faker.UpstreamRequest) string) (*faker.Upstream, *faker.Upstream) {
	first, second := c.addUpstream("u1", 4, "dc1"), c.addUpstream("u2", 4, "dc1")
	if run != nil {
		first.Run, second.Run = run, run
	}
	c.prepare()
	return first, second
}

// runsOf adds up how often a body was run on all upstreams.
func (c *cluster) runsOf(body string) int {
	total := 0
	for _, u := range c.upstream {
		total += u.Runs()[body]
	}
	return total
}

func takes(wait time.Duration) func(ctx context.Context, work faker.UpstreamRequest) string {
	return func(ctx context.Context, work faker.UpstreamRequest) string {
		_ = faker.Sleep(ctx, wait)
		return "done " + work.Body
	}
}

func (c *cluster) post(to identifier.InstanceID, header map[string]string, body string) reply {
	c.t.Helper()
	return c.must(to, http.MethodPost, "/v1/requests", isukuToken, header, body)
}

func TestConnectionSilentWhileNewOnesWork(t *testing.T) {
	withCluster(t, trio(), func(t *testing.T, c *cluster) {
		c.twoUpstreams(nil)
		for i := range 20 {
			c.post("a", isukuRequest(""), fmt.Sprint("warm ", i))
		}
		c.network.BlackholeConnections("u1")
		c.network.BlackholeConnections("u2")
		for i := range 4 {
			body := fmt.Sprint("silent ", i)
			began := time.Now()
			answer := c.post("a", isukuRequest(fmt.Sprint("dc1:silent-", i)), body)
			if answer.status != http.StatusOK || answer.body != "done "+body {
				t.Errorf("request %d: got %d %s", i, answer.status, answer.body)
			}
			if took := time.Since(began); took > 2*time.Second {
				t.Errorf("request %d: answered after %s, want at most 2s", i, took)
			}
			if runs := c.runsOf(body); runs != 1 {
				t.Errorf("request %d: ran %d times, want 1", i, runs)
			}
		}
	})
}

func TestUpstreamDiesBeforeFirstByte(t *testing.T) {
	withCluster(t, trio(), func(t *testing.T, c *cluster) {
		c.twoUpstreams(nil)
		c.network.Kill("u1")
		for i := range 8 {
			body := fmt.Sprint("early ", i)
			answer := c.post("b", isukuRequest(fmt.Sprint("dc1:early-", i)), body)
			if answer.status != http.StatusOK || c.runsOf(body) != 1 {
				t.Errorf("request %d: got %d %s, ran %d times", i, answer.status, answer.body, c.runsOf(body))
			}
		}
	})
}

func TestUpstreamDiesMidRequest(t *testing.T) {
	tests := []struct {
		name string
		key  string
		// wantStatus is the caller's answer; a keyed request may have run.
		wantStatus int
	}{
		{"idempotent request runs elsewhere", "", http.StatusOK},
		{"keyed request is of unknown outcome", "dc1:mid", http.StatusGatewayTimeout},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withCluster(t, trio(), func(t *testing.T, c *cluster) {
				var first atomic.Value
				run := func(_ context.Context, work faker.UpstreamRequest) string {
					if first.CompareAndSwap(nil, string(work.Attempt)) {
						_ = faker.Sleep(context.Background(), time.Second)
					}
					return "done " + work.Body
				}
				c.twoUpstreams(run)
				go func() {
					c.waitFor("request runs", time.Minute, func() bool { return c.runsOf("mid") == 1 })
					for _, u := range c.upstream {
						if u.Runs()["mid"] == 1 {
							c.network.Kill(string(u.ID))
							return
						}
					}
				}()
				answer := c.post("a", isukuRequest(test.key), "mid")
				if answer.status != test.wantStatus {
					t.Errorf("got %d %s, want %d", answer.status, answer.body, test.wantStatus)
				}
				if test.key != "" {
					again := c.post("b", isukuRequest(test.key), "mid")
					if again.code() != "outcome-unknown" || c.runsOf("mid") != 1 {
						t.Errorf("resend: got %d %s, ran %d times, want outcome-unknown and 1", again.status, again.body, c.runsOf("mid"))
					}
				}
			})
		})
	}
}

// TestUpstreamDiesMidAnswer cuts an answer short; the caller never gets it as
// a whole one, and the upstream's memory of it serves the caller.
func TestUpstreamDiesMidAnswer(t *testing.T) {
	withCluster(t, trio(), func(t *testing.T, c *cluster) {
		first, second := c.addUpstream("u1", 4, "dc1"), c.addUpstream("u2", 4, "dc1")
		cut := func(w http.ResponseWriter, work faker.UpstreamRequest, body string) bool {
			w.Header().Set("Cranberry-Attempt", string(work.Attempt))
			w.Header().Set("Content-Length", fmt.Sprint(len(body)))
			_, _ = w.Write([]byte(body[:len(body)/2]))
			panic(http.ErrAbortHandler)
		}
		first.InterceptResponse, second.InterceptResponse = cut, cut
		c.prepare()
		for i, key := range []string{"", "dc1:cut"} {
			body := fmt.Sprint("cut ", i)
			answer := c.post("a", isukuRequest(key), body)
			if answer.status != http.StatusOK || answer.body != "done "+body {
				t.Errorf("got %d %q, want 200 and the whole answer", answer.status, answer.body)
			}
			if runs := c.runsOf(body); runs != 1 {
				t.Errorf("ran %d times, want 1", runs)
			}
		}
	})
}

func TestAnswerOfAnotherAttempt(t *testing.T) {
	withCluster(t, trio(), func(t *testing.T, c *cluster) {
		first, second := c.addUpstream("u1", 4, "dc1"), c.addUpstream("u2", 4, "dc1")
		mixed := func(w http.ResponseWriter, _ faker.UpstreamRequest, _ string) bool {
			w.Header().Set("Cranberry-Attempt", "another")
			_, _ = w.Write([]byte("done for somebody else"))
			return true
		}
		first.InterceptResponse, second.InterceptResponse = mixed, mixed
		c.prepare()
		answer := c.post("a", isukuRequest(""), "mine")
		if answer.body != "done mine" {
			t.Errorf("got %d %q, want the own answer", answer.status, answer.body)
		}
	})
}

func TestDeadlinePassedIsNotRun(t *testing.T) {
	withCluster(t, trio(), func(t *testing.T, c *cluster) {
		c.twoUpstreams(nil)
		header := isukuRequest("")
		header["Cranberry-Deadline-Ms"] = "0"
		answer := c.post("a", header, "too late")
		if answer.code() != "not-run" || c.runsOf("too late") != 0 {
			t.Errorf("got %s, ran %d times, want not-run and 0", answer.code(), c.runsOf("too late"))
		}
	})
}

// TestUpstreamLeavingUnderLoad tells one entry instance that an upstream
// leaves and checks that all stop sending to it within 2 s, and that what runs
// there is finished.
func TestUpstreamLeavingUnderLoad(t *testing.T) {
	withCluster(t, trio(), func(t *testing.T, c *cluster) {
		first, _ := c.twoUpstreams(takes(50 * time.Millisecond))
		var wrong atomic.Int64
		var load sync.WaitGroup
		end := time.Now().Add(8 * time.Second)
		for worker, id := range []identifier.InstanceID{"a", "b", "c", "a", "b", "c"} {
			load.Go(func() {
				for i := 0; time.Now().Before(end); i++ {
					answer, err := c.send(id, http.MethodPost, "/v1/requests", isukuToken, isukuRequest(""), fmt.Sprintf("load %d %d", worker, i))
					if err != nil || answer.status != http.StatusOK {
						wrong.Add(1)
					}
				}
			})
		}
		time.Sleep(3 * time.Second)
		first.Leave()
		time.Sleep(2 * time.Second)
		after := len(first.Runs())
		load.Wait()
		if late := len(first.Runs()) - after; late != 0 {
			t.Errorf("%d requests were sent more than 2 s after the upstream had begun to leave", late)
		}
		if wrong.Load() != 0 {
			t.Errorf("%d requests failed", wrong.Load())
		}
	})
}

func TestUpstreamBackWithNewIncarnation(t *testing.T) {
	withCluster(t, trio(), func(_ *testing.T, c *cluster) {
		first, second := c.twoUpstreams(nil)
		first.Stop()
		second.Stop()
		c.network.Kill("u1")
		c.network.Kill("u2")
		c.upstream = nil
		time.Sleep(time.Second)
		back := c.addUpstream("u1", 4, "dc1")
		back.Start()
		c.waitFor("answer from the restarted upstream", 2*time.Second, func() bool {
			return c.post("b", isukuRequest(""), "back").status == http.StatusOK
		})
	})
}

func resendAfterRestarts(t *testing.T, c *cluster) {
	c.twoUpstreams(nil)
	for i := range 5 {
		c.post("a", isukuRequest(fmt.Sprint("dc1:kept-", i)), fmt.Sprint("kept ", i))
	}
	for _, id := range []identifier.InstanceID{"a", "b"} {
		c.kill(id)
		c.start(id)
		c.waitReady()
	}
	for i := range 5 {
		body := fmt.Sprint("kept ", i)
		answer := c.post("b", isukuRequest(fmt.Sprint("dc1:kept-", i)), body)
		if answer.body != "done "+body || c.runsOf(body) != 1 {
			t.Errorf("resend %d: got %d %q, ran %d times", i, answer.status, answer.body, c.runsOf(body))
		}
	}
}

func twoCentres() []member {
	return []member{
		{"a", "dc1", allRoles}, {"b", "dc1", allRoles}, {"c", "dc1", allRoles},
		{"d", "dc2", []string{"entry", "placement"}}, {"e", "dc2", []string{"entry", "placement"}}, {"f", "dc2", []string{"entry", "placement"}},
	}
}

// apart cuts the hosts of the two data centres from each other.
func apart(from, to string) bool {
	second := func(host string) bool { return strings.Contains("def", host) || strings.HasPrefix(host, "v") }
	known := func(host string) bool { return len(host) <= 2 }
	return known(from) && known(to) && second(from) != second(to)
}

func TestCallerGone(t *testing.T) {
	withCluster(t, trio(), func(t *testing.T, c *cluster) {
		c.twoUpstreams(takes(time.Second))
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		defer cancel()
		client := &http.Client{Transport: &http.Transport{DialContext: c.network.Dial("gone"), DisableKeepAlives: true}}
		request, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://a:7000/v1/requests", strings.NewReader("gone"))
		request.Header.Set("Authorization", "Bearer "+isukuToken)
		for name, value := range isukuRequest("dc1:gone") {
			request.Header.Set(name, value)
		}
		if _, err := client.Do(request); err == nil {
			t.Fatal("the caller stayed")
		}
		answer := c.post("b", isukuRequest("dc1:gone"), "gone")
		if answer.body != "done gone" || c.runsOf("gone") != 1 {
			t.Errorf("got %d %q, ran %d times, want the kept answer and 1", answer.status, answer.body, c.runsOf("gone"))
		}
	})
}

func TestRequestAndAnswerOverBound(t *testing.T) {
	withCluster(t, trio(), func(t *testing.T, c *cluster) {
		c.settings = func(s *loader.Settings) { s.Requests.MaxBodyBytes, s.Requests.MaxAnswerBytes = 1000, 1000 }
		c.twoUpstreams(func(_ context.Context, work faker.UpstreamRequest) string {
			if work.Body == "large" {
				return strings.Repeat("x", 1001)
			}
			return "done " + work.Body
		})
		tests := []struct {
			name, key, body string
			wantStatus      int
			wantCode        string
			wantRuns        int
		}{
			{"request over the bound", "", strings.Repeat("y", 1001), http.StatusRequestEntityTooLarge, "too-large", 0},
			{"answer over the bound", "", "large", http.StatusBadGateway, "too-large", 1},
			{"keyed answer over the bound", "dc1:large", "large", http.StatusBadGateway, "too-large", 2},
		}
		for _, test := range tests {
			answer := c.post("a", isukuRequest(test.key), test.body)
			if answer.status != test.wantStatus || answer.code() != test.wantCode || c.runsOf(test.body) != test.wantRuns {
				t.Errorf("%s: got %d %s, ran %d times, want %d %s and %d", test.name, answer.status, answer.code(), c.runsOf(test.body), test.wantStatus, test.wantCode, test.wantRuns)
			}
		}
	})
}

// TestShutdownCutsNothing stops an instance under load: every request in
// progress is answered whole, and every new one is refused as not run.
func TestShutdownCutsNothing(t *testing.T) {
	withCluster(t, trio(), func(t *testing.T, c *cluster) {
		c.twoUpstreams(takes(400 * time.Millisecond))
		var answered, refused, wrong atomic.Int64
		var load sync.WaitGroup
		for i := range 40 {
			load.Go(func() {
				time.Sleep(time.Duration(i) * 20 * time.Millisecond)
				body := fmt.Sprint("stop ", i)
				answer, err := c.send("a", http.MethodPost, "/v1/requests", isukuToken, isukuRequest(fmt.Sprint("dc1:stop-", i)), body)
				switch {
				case err != nil && c.runsOf(body) == 0:
					refused.Add(1)
				case err == nil && answer.status == http.StatusOK && answer.body == "done "+body:
					answered.Add(1)
				case err == nil && (answer.code() == "not-run" || answer.code() == "overloaded") && c.runsOf(body) == 0:
					refused.Add(1)
				default:
					wrong.Add(1)
					t.Errorf("%s: %d %s %v, ran %d times", body, answer.status, answer.body, err, c.runsOf(body))
				}
			})
		}
		time.Sleep(300 * time.Millisecond)
		c.stop("a")
		load.Wait()
		if answered.Load() == 0 || refused.Load() == 0 {
			t.Errorf("answered %d, refused %d: the test did not stop the instance under load", answered.Load(), refused.Load())
		}
	})
}

// TestUpstreamRestartsMidRequest restarts an upstream at the same address
// while it runs a keyed request. The new process knows nothing of the attempt,
// which says nothing about whether it ran.
func TestUpstreamRestartsMidRequest(t *testing.T) {
	withCluster(t, trio(), func(t *testing.T, c *cluster) {
		first := c.addUpstream("u1", 4, "dc1")
		first.Run = takes(time.Second)
		c.prepare()
		go func() {
			c.waitFor("request runs", time.Minute, func() bool { return c.runsOf("restart") == 1 })
			c.network.Kill("u1")
			second := c.addUpstream("u1", 4, "dc1")
			second.Start()
		}()
		for _, id := range []identifier.InstanceID{"a", "b"} {
			answer := c.post(id, isukuRequest("dc1:restart"), "restart")
			if answer.code() != "outcome-unknown" || c.runsOf("restart") != 1 {
				t.Errorf("at %s: got %d %s, ran %d times, want outcome-unknown and 1", id, answer.status, answer.body, c.runsOf("restart"))
			}
		}
	})
}
