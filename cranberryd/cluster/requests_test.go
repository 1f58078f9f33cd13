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

// withCluster runs a scenario on a cluster in a synctest bubble and stops the
// cluster at its end.
func withCluster(t *testing.T, instances []instanceSpec, scenario func(t *testing.T, c *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, instances)
		defer c.close()
		scenario(t, c)
	})
}

// startWithTwoUpstreams adds two upstreams whose responses run makes (nil: the
// default of the fake) and starts the cluster.
func (c *cluster) startWithTwoUpstreams(run func(ctx context.Context, work faker.UpstreamRequest) string) (*faker.Upstream, *faker.Upstream) {
	first, second := c.addUpstream("u1", 4, "dc1"), c.addUpstream("u2", 4, "dc1")
	if run != nil {
		first.Run, second.Run = run, run
	}
	c.startWithTestLists()
	return first, second
}

// runCount returns how often a request body was run on all upstreams.
func (c *cluster) runCount(body string) int {
	total := 0
	for _, u := range c.upstreams {
		total += u.Runs()[body]
	}
	return total
}

func respondAfter(wait time.Duration) func(ctx context.Context, work faker.UpstreamRequest) string {
	return func(ctx context.Context, work faker.UpstreamRequest) string {
		_ = faker.Sleep(ctx, wait)
		return "done " + work.Body
	}
}

func (c *cluster) postRequest(to identifier.InstanceID, header map[string]string, body string) httpResponse {
	c.t.Helper()
	return c.mustSend(to, http.MethodPost, "/v1/requests", isukuToken, header, body)
}

// TestBlackholedConnectionsDoNotDelayRequests blackholes the open connections to
// the upstreams while new ones work: requests must be served within 2 s, and keyed
// ones run once.
func TestBlackholedConnectionsDoNotDelayRequests(t *testing.T) {
	withCluster(t, threeInstances(), func(t *testing.T, c *cluster) {
		c.startWithTwoUpstreams(nil)
		for i := range 20 {
			c.postRequest("a", isukuHeader(""), fmt.Sprint("warm ", i))
		}
		c.network.BlackholeConnections("u1")
		c.network.BlackholeConnections("u2")
		for i := range 4 {
			body := fmt.Sprint("silent ", i)
			began := time.Now()
			response := c.postRequest("a", isukuHeader(fmt.Sprint("dc1:silent-", i)), body)
			if response.status != http.StatusOK || response.body != "done "+body {
				t.Errorf("request %d: got %d %s", i, response.status, response.body)
			}
			if took := time.Since(began); took > 2*time.Second {
				t.Errorf("request %d: response after %s, want at most 2s", i, took)
			}
			if runs := c.runCount(body); runs != 1 {
				t.Errorf("request %d: ran %d times, want 1", i, runs)
			}
		}
	})
}

func TestUpstreamKilledBeforeFirstByte(t *testing.T) {
	withCluster(t, threeInstances(), func(t *testing.T, c *cluster) {
		c.startWithTwoUpstreams(nil)
		c.network.Kill("u1")
		for i := range 8 {
			body := fmt.Sprint("early ", i)
			response := c.postRequest("b", isukuHeader(fmt.Sprint("dc1:early-", i)), body)
			if response.status != http.StatusOK || c.runCount(body) != 1 {
				t.Errorf("request %d: got %d %s, ran %d times", i, response.status, response.body, c.runCount(body))
			}
		}
	})
}

func TestUpstreamKilledMidRequest(t *testing.T) {
	tests := []struct {
		name string
		key  string
		// wantStatus is the caller's status: a keyed request may have run and
		// is not sent to another upstream.
		wantStatus int
	}{
		{"idempotent request runs on another upstream", "", http.StatusOK},
		{"keyed request has an unknown outcome", "dc1:mid", http.StatusGatewayTimeout},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withCluster(t, threeInstances(), func(t *testing.T, c *cluster) {
				var first atomic.Value
				run := func(_ context.Context, work faker.UpstreamRequest) string {
					if first.CompareAndSwap(nil, string(work.Attempt)) {
						_ = faker.Sleep(context.Background(), time.Second)
					}
					return "done " + work.Body
				}
				c.startWithTwoUpstreams(run)
				go func() {
					c.waitFor("request runs", time.Minute, func() bool { return c.runCount("mid") == 1 })
					for _, u := range c.upstreams {
						if u.Runs()["mid"] == 1 {
							c.network.Kill(string(u.ID))
							return
						}
					}
				}()
				response := c.postRequest("a", isukuHeader(test.key), "mid")
				if response.status != test.wantStatus {
					t.Errorf("got %d %s, want %d", response.status, response.body, test.wantStatus)
				}
				if test.key != "" {
					resent := c.postRequest("b", isukuHeader(test.key), "mid")
					if resent.code() != "outcome-unknown" || c.runCount("mid") != 1 {
						t.Errorf("resent request: got %d %s, ran %d times, want outcome-unknown and 1", resent.status, resent.body, c.runCount("mid"))
					}
				}
			})
		})
	}
}

// Guards against an idempotent request that ends the process of each upstream that runs
// it and is sent to one after the other.
func TestRequestThatCrashesUpstreamsIsGivenUp(t *testing.T) {
	const maxCrashes = 3
	withCluster(t, threeInstances(), func(t *testing.T, c *cluster) {
		var crashes atomic.Int64
		for i := range 8 {
			upstream := c.addUpstream(fmt.Sprintf("u%d", i), 4, "dc1")
			upstream.Run = func(ctx context.Context, work faker.UpstreamRequest) string {
				if work.Body != "crashing" {
					return "done " + work.Body
				}
				crashes.Add(1)
				c.network.Kill(string(upstream.ID))
				<-ctx.Done()
				return ""
			}
		}
		c.startWithTestLists()
		response := c.postRequest("a", isukuHeader(""), "crashing")
		if response.code() != "outcome-unknown" || !strings.Contains(response.body, "lost 3 upstreams") {
			t.Errorf("got %d %s, want an unknown outcome and the reason", response.status, response.body)
		}
		if count := crashes.Load(); count > maxCrashes {
			t.Errorf("%d upstreams crashed, want at most %d", count, maxCrashes)
		}
		if response := c.postRequest("a", isukuHeader(""), "next"); response.status != http.StatusOK {
			t.Errorf("the next request: got %d %s, want it answered", response.status, response.body)
		}
	})
}

// TestTruncatedResponseIsNotReturned aborts a response half way: the caller must
// get the complete response that the upstream stored, without a second run.
func TestTruncatedResponseIsNotReturned(t *testing.T) {
	withCluster(t, threeInstances(), func(t *testing.T, c *cluster) {
		first, second := c.addUpstream("u1", 4, "dc1"), c.addUpstream("u2", 4, "dc1")
		truncate := func(w http.ResponseWriter, work faker.UpstreamRequest, body string) bool {
			w.Header().Set("Cranberry-Attempt", string(work.Attempt))
			w.Header().Set("Content-Length", fmt.Sprint(len(body)))
			_, _ = w.Write([]byte(body[:len(body)/2]))
			panic(http.ErrAbortHandler)
		}
		first.InterceptResponse, second.InterceptResponse = truncate, truncate
		c.startWithTestLists()
		for i, key := range []string{"", "dc1:cut"} {
			body := fmt.Sprint("cut ", i)
			response := c.postRequest("a", isukuHeader(key), body)
			if response.status != http.StatusOK || response.body != "done "+body {
				t.Errorf("got %d %q, want 200 and the complete response", response.status, response.body)
			}
			if runs := c.runCount(body); runs != 1 {
				t.Errorf("ran %d times, want 1", runs)
			}
		}
	})
}

// TestResponseOfAnotherAttemptIsNotReturned lets upstreams respond with the id of
// another attempt: the caller must get the response to its own request.
func TestResponseOfAnotherAttemptIsNotReturned(t *testing.T) {
	withCluster(t, threeInstances(), func(t *testing.T, c *cluster) {
		first, second := c.addUpstream("u1", 4, "dc1"), c.addUpstream("u2", 4, "dc1")
		respondForAnotherAttempt := func(w http.ResponseWriter, _ faker.UpstreamRequest, _ string) bool {
			w.Header().Set("Cranberry-Attempt", "another")
			_, _ = w.Write([]byte("done for somebody else"))
			return true
		}
		first.InterceptResponse, second.InterceptResponse = respondForAnotherAttempt, respondForAnotherAttempt
		c.startWithTestLists()
		response := c.postRequest("a", isukuHeader(""), "mine")
		if response.body != "done mine" {
			t.Errorf("got %d %q, want the response to the caller's own request", response.status, response.body)
		}
	})
}

func TestRequestPastDeadlineIsNotRun(t *testing.T) {
	withCluster(t, threeInstances(), func(t *testing.T, c *cluster) {
		c.startWithTwoUpstreams(nil)
		header := isukuHeader("")
		header["Cranberry-Deadline-Ms"] = "0"
		response := c.postRequest("a", header, "too late")
		if response.code() != "not-run" || c.runCount("too late") != 0 {
			t.Errorf("got %s, ran %d times, want not-run and 0", response.code(), c.runCount("too late"))
		}
	})
}

// TestUpstreamDrainingUnderLoad announces to one entry that an upstream drains:
// all entries must stop sending to it within 2 s, and no request may fail.
func TestUpstreamDrainingUnderLoad(t *testing.T) {
	withCluster(t, threeInstances(), func(t *testing.T, c *cluster) {
		first, _ := c.startWithTwoUpstreams(respondAfter(50 * time.Millisecond))
		var failed atomic.Int64
		var load sync.WaitGroup
		end := time.Now().Add(8 * time.Second)
		for client, id := range []identifier.InstanceID{"a", "b", "c", "a", "b", "c"} {
			load.Go(func() {
				for i := 0; time.Now().Before(end); i++ {
					response, err := c.send(id, http.MethodPost, "/v1/requests", isukuToken, isukuHeader(""), fmt.Sprintf("load %d %d", client, i))
					if err != nil || response.status != http.StatusOK {
						failed.Add(1)
					}
				}
			})
		}
		time.Sleep(3 * time.Second)
		first.Drain()
		time.Sleep(2 * time.Second)
		after := len(first.Runs())
		load.Wait()
		if late := len(first.Runs()) - after; late != 0 {
			t.Errorf("%d requests were sent more than 2 s after the upstream announced that it drains", late)
		}
		if failed.Load() != 0 {
			t.Errorf("%d requests failed", failed.Load())
		}
	})
}

func TestUpstreamRestartedAsNewIncarnationIsUsed(t *testing.T) {
	withCluster(t, threeInstances(), func(_ *testing.T, c *cluster) {
		first, second := c.startWithTwoUpstreams(nil)
		first.Stop()
		second.Stop()
		c.network.Kill("u1")
		c.network.Kill("u2")
		c.upstreams = nil
		time.Sleep(time.Second)
		restarted := c.addUpstream("u1", 4, "dc1")
		restarted.Start()
		c.waitFor("response from the restarted upstream", 2*time.Second, func() bool {
			return c.postRequest("b", isukuHeader(""), "back").status == http.StatusOK
		})
	})
}

func checkResendAfterRestarts(t *testing.T, c *cluster) {
	c.startWithTwoUpstreams(nil)
	for i := range 5 {
		c.postRequest("a", isukuHeader(fmt.Sprint("dc1:kept-", i)), fmt.Sprint("kept ", i))
	}
	for _, id := range []identifier.InstanceID{"a", "b"} {
		c.kill(id)
		c.start(id)
		c.waitReady()
	}
	for i := range 5 {
		body := fmt.Sprint("kept ", i)
		response := c.postRequest("b", isukuHeader(fmt.Sprint("dc1:kept-", i)), body)
		if response.body != "done "+body || c.runCount(body) != 1 {
			t.Errorf("resend %d: got %d %q, ran %d times", i, response.status, response.body, c.runCount(body))
		}
	}
}

// twoDataCenters returns three instances with all roles in dc1, among them all
// voters, and three without the control role in dc2.
func twoDataCenters() []instanceSpec {
	return []instanceSpec{
		{"a", "dc1", allRoles}, {"b", "dc1", allRoles}, {"c", "dc1", allRoles},
		{"d", "dc2", []string{"entry", "placement"}}, {"e", "dc2", []string{"entry", "placement"}}, {"f", "dc2", []string{"entry", "placement"}},
	}
}

// betweenDataCenters is a partition of the two data centres of twoDataCenters.
// Upstreams and workers of dc2 have names that begin with v. Hosts with names of
// more than two characters are clients: they still reach both.
func betweenDataCenters(from, to string) bool {
	inDC2 := func(host string) bool { return strings.Contains("def", host) || strings.HasPrefix(host, "v") }
	isClusterHost := func(host string) bool { return len(host) <= 2 }
	return isClusterHost(from) && isClusterHost(to) && inDC2(from) != inDC2(to)
}

// TestKeyedRequestRunsOnceAfterCallerDisconnects closes the caller's connection
// during the run: a resend must get the response of that run.
func TestKeyedRequestRunsOnceAfterCallerDisconnects(t *testing.T) {
	withCluster(t, threeInstances(), func(t *testing.T, c *cluster) {
		c.startWithTwoUpstreams(respondAfter(time.Second))
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		defer cancel()
		client := &http.Client{Transport: &http.Transport{DialContext: c.network.Dial("gone"), DisableKeepAlives: true}}
		request, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://a:7000/v1/requests", strings.NewReader("gone"))
		request.Header.Set("Authorization", "Bearer "+isukuToken)
		for name, value := range isukuHeader("dc1:gone") {
			request.Header.Set(name, value)
		}
		if _, err := client.Do(request); err == nil {
			t.Fatal("the request ended before the caller disconnected")
		}
		response := c.postRequest("b", isukuHeader("dc1:gone"), "gone")
		if response.body != "done gone" || c.runCount("gone") != 1 {
			t.Errorf("got %d %q, ran %d times, want the stored response and 1", response.status, response.body, c.runCount("gone"))
		}
	})
}

func TestOversizedRequestsAndResponsesAreRefused(t *testing.T) {
	withCluster(t, threeInstances(), func(t *testing.T, c *cluster) {
		c.settings = func(s *loader.Settings) { s.Requests.MaxBodyBytes, s.Requests.MaxResponseBytes = 1000, 1000 }
		c.startWithTwoUpstreams(func(_ context.Context, work faker.UpstreamRequest) string {
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
			{"request over the limit", "", strings.Repeat("y", 1001), http.StatusRequestEntityTooLarge, "too-large", 0},
			{"response over the limit", "", "large", http.StatusBadGateway, "too-large", 1},
			{"keyed response over the limit", "dc1:large", "large", http.StatusBadGateway, "too-large", 2},
		}
		for _, test := range tests {
			response := c.postRequest("a", isukuHeader(test.key), test.body)
			if response.status != test.wantStatus || response.code() != test.wantCode || c.runCount(test.body) != test.wantRuns {
				t.Errorf("%s: got %d %s, ran %d times, want %d %s and %d", test.name, response.status, response.code(), c.runCount(test.body), test.wantStatus, test.wantCode, test.wantRuns)
			}
		}
	})
}

// TestShutdownCompletesRequestsInProgress stops an instance under load: requests
// in progress must get a complete response, and new ones be refused as not run.
func TestShutdownCompletesRequestsInProgress(t *testing.T) {
	withCluster(t, threeInstances(), func(t *testing.T, c *cluster) {
		c.startWithTwoUpstreams(respondAfter(400 * time.Millisecond))
		var completed, refused, failed atomic.Int64
		var load sync.WaitGroup
		for i := range 40 {
			load.Go(func() {
				time.Sleep(time.Duration(i) * 20 * time.Millisecond)
				body := fmt.Sprint("stop ", i)
				response, err := c.send("a", http.MethodPost, "/v1/requests", isukuToken, isukuHeader(fmt.Sprint("dc1:stop-", i)), body)
				switch {
				case err != nil && c.runCount(body) == 0:
					refused.Add(1)
				case err == nil && response.status == http.StatusOK && response.body == "done "+body:
					completed.Add(1)
				case err == nil && (response.code() == "not-run" || response.code() == "overloaded") && c.runCount(body) == 0:
					refused.Add(1)
				default:
					failed.Add(1)
					t.Errorf("%s: %d %s %v, ran %d times", body, response.status, response.body, err, c.runCount(body))
				}
			})
		}
		time.Sleep(300 * time.Millisecond)
		c.stop("a")
		load.Wait()
		if completed.Load() == 0 || refused.Load() == 0 {
			t.Errorf("%d responses, %d refused, want some of both: the instance was not stopped under load", completed.Load(), refused.Load())
		}
	})
}

// TestUpstreamRestartsMidRequest restarts an upstream at the same address while it
// runs a keyed request. That the new incarnation does not know the attempt is no
// proof that it did not run: the outcome must stay unknown.
func TestUpstreamRestartsMidRequest(t *testing.T) {
	withCluster(t, threeInstances(), func(t *testing.T, c *cluster) {
		first := c.addUpstream("u1", 4, "dc1")
		first.Run = respondAfter(time.Second)
		c.startWithTestLists()
		go func() {
			c.waitFor("request runs", time.Minute, func() bool { return c.runCount("restart") == 1 })
			c.network.Kill("u1")
			second := c.addUpstream("u1", 4, "dc1")
			second.Start()
		}()
		for _, id := range []identifier.InstanceID{"a", "b"} {
			response := c.postRequest(id, isukuHeader("dc1:restart"), "restart")
			if response.code() != "outcome-unknown" || c.runCount("restart") != 1 {
				t.Errorf("at %s: got %d %s, ran %d times, want outcome-unknown and 1", id, response.status, response.body, c.runCount("restart"))
			}
		}
	})
}
