// Package cluster_test runs complete instances together in one test, over an
// in-memory network and in virtual time, and injects failures between them.
package cluster_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"cranberrystack.dev/cranberryd/daemon"
	"cranberrystack.dev/cranberryd/loader"
	"cranberrystack.dev/cranberrystack/authenticator"
	"cranberrystack.dev/cranberrystack/faker"
	"cranberrystack.dev/cranberrystack/identifier"
	"cranberrystack.dev/cranberrystack/placer"
)

const (
	peerToken     = "peer-token-for-tests"
	operatorToken = "operator-token-for-tests"
	upstreamToken = "upstream-token-for-tests"
	workerToken   = "worker-token-for-tests"
	isukuToken    = "isuku-caller-token-for-tests"
	nieveToken    = "nieve-caller-token-for-tests"
)

func testTokens() []loader.Token {
	return []loader.Token{
		{Token: operatorToken, Kind: authenticator.KindOperator, Subject: "operator"},
		{Token: upstreamToken, Kind: authenticator.KindUpstream, Subject: "dispatch"},
		{Token: "another-upstream-token-for-tests", Kind: authenticator.KindUpstream, Subject: "other"},
		{Token: workerToken, Kind: authenticator.KindWorker, Subject: "workers"},
		{Token: isukuToken, Kind: authenticator.KindCaller, Subject: "phones", Member: "isuku"},
		{Token: nieveToken, Kind: authenticator.KindCaller, Subject: "crews", Member: "nieve"},
	}
}

// cluster is a set of instances with fake upstreams and workers. The host
// name of an instance is its id.
type cluster struct {
	t           *testing.T
	network     *faker.Network
	peers       []loader.Peer
	voters      []identifier.InstanceID
	dataCenters []identifier.DataCenterID
	dataDirs    map[identifier.InstanceID]string
	daemons     map[identifier.InstanceID]*daemon.Daemon
	settings    func(*loader.Settings)
	upstreams   []*faker.Upstream
	workers     []*faker.Worker
	clientCount atomic.Int64
}

// instanceSpec describes an instance of a cluster.
type instanceSpec struct {
	id         identifier.InstanceID
	dataCenter identifier.DataCenterID
	roles      []string
}

func newCluster(t *testing.T, instances []instanceSpec) *cluster {
	c := &cluster{
		t: t, network: faker.NewNetwork(), dataDirs: map[identifier.InstanceID]string{},
		daemons: map[identifier.InstanceID]*daemon.Daemon{},
	}
	seen := map[identifier.DataCenterID]bool{}
	for _, spec := range instances {
		peer := loader.Peer{Instance: spec.id, Address: string(spec.id) + ":7000", DataCenter: spec.dataCenter, Region: "region", Roles: spec.roles}
		c.peers = append(c.peers, peer)
		if peer.Has("control") {
			c.voters = append(c.voters, spec.id)
		}
		if !seen[spec.dataCenter] {
			seen[spec.dataCenter] = true
			c.dataCenters = append(c.dataCenters, spec.dataCenter)
		}
		c.dataDirs[spec.id] = t.TempDir()
	}
	return c
}

var allRoles = []string{"control", "entry", "placement"}

// threeInstances returns three instances with all roles in one data centre.
func threeInstances() []instanceSpec {
	return []instanceSpec{{"a", "dc1", allRoles}, {"b", "dc1", allRoles}, {"c", "dc1", allRoles}}
}

func (c *cluster) startAll() {
	for _, peer := range c.peers {
		c.start(peer.Instance)
	}
}

func (c *cluster) start(id identifier.InstanceID) {
	c.t.Helper()
	settings := loader.Default()
	for i := range c.peers {
		if c.peers[i].Instance == id {
			settings.Instance, settings.Address = id, c.peers[i].Address
			settings.DataCenter, settings.Region, settings.Roles = c.peers[i].DataCenter, c.peers[i].Region, c.peers[i].Roles
		}
	}
	settings.DataCenters, settings.Peers, settings.InitialVoters = c.dataCenters, c.peers, c.voters
	settings.PeerToken, settings.Tokens = peerToken, testTokens()
	if settings.Has("control") {
		settings.DataFolder = c.dataDirs[id]
	}
	if c.settings != nil {
		c.settings(settings)
	}
	if err := loader.Check(settings); err != nil {
		c.t.Fatalf("settings of instance %s: %v", id, err)
	}
	d, err := daemon.New(settings, daemon.Network(c.network.Listen, c.network.Dial(string(id))))
	if err != nil {
		c.t.Fatalf("create instance %s: %v", id, err)
	}
	if err := d.Start(context.Background()); err != nil {
		c.t.Fatalf("start instance %s: %v", id, err)
	}
	c.daemons[id] = d
}

// kill isolates an instance before it stops, so that no message of its shutdown
// reaches the others. It removes any partition that was set before.
func (c *cluster) kill(id identifier.InstanceID) {
	c.network.Kill(string(id))
	c.network.SetPartition(func(from, to string) bool { return from == string(id) || to == string(id) })
	c.stop(id)
	c.network.SetPartition(nil)
}

func (c *cluster) stop(id identifier.InstanceID) {
	if d, running := c.daemons[id]; running {
		_ = d.Stop(context.Background())
		delete(c.daemons, id)
	}
}

func (c *cluster) close() {
	for _, u := range c.upstreams {
		u.Stop()
	}
	for _, w := range c.workers {
		w.Stop()
	}
	for id := range c.daemons {
		c.stop(id)
	}
	time.Sleep(time.Minute) // lets simulated work and timeouts end
}

func (c *cluster) entryAddresses(dataCenter identifier.DataCenterID) []string {
	var addresses []string
	for i := range c.peers {
		if c.peers[i].DataCenter == dataCenter && c.peers[i].Has("entry") {
			addresses = append(addresses, c.peers[i].Address)
		}
	}
	return addresses
}

func (c *cluster) newHost(name, token string, dataCenter identifier.DataCenterID) faker.Host {
	listener, err := c.network.Listen(name + ":1")
	if err != nil {
		c.t.Fatalf("listen: %v", err)
	}
	return faker.Host{Listener: listener, Dial: c.network.Dial(name), Token: token, Entries: c.entryAddresses(dataCenter)}
}

func (c *cluster) addUpstream(name string, slots int, dataCenter identifier.DataCenterID) *faker.Upstream {
	u := faker.NewUpstream(identifier.UpstreamID(name), slots, c.newHost(name, upstreamToken, dataCenter))
	c.upstreams = append(c.upstreams, u)
	return u
}

func (c *cluster) addWorker(name, rack string, position, accelerators int, dataCenter identifier.DataCenterID) *faker.Worker {
	w := faker.NewWorker(placer.Worker{
		ID: identifier.WorkerID(name), Rack: identifier.RackID(rack), Position: position,
		Accelerator: "gpu", Accelerators: accelerators,
	}, c.newHost(name, workerToken, dataCenter))
	c.workers = append(c.workers, w)
	return w
}

// waitFor lets virtual time pass until a condition holds and returns how long
// that took. It fails the test after the timeout.
func (c *cluster) waitFor(description string, timeout time.Duration, condition func() bool) time.Duration {
	c.t.Helper()
	began := time.Now()
	for !condition() {
		if time.Since(began) > timeout {
			c.t.Fatalf("%s: condition not met within %s", description, timeout)
		}
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(began)
}

func (c *cluster) waitReady() {
	c.t.Helper()
	began := time.Now()
	for id, d := range c.daemons {
		for d.Ready() != nil {
			if time.Since(began) > time.Minute {
				c.t.Fatalf("%s is not ready: %v", id, d.Ready())
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// httpResponse is a response whose body has been read.
type httpResponse struct {
	status int
	header http.Header
	body   string
}

func (r httpResponse) code() string { return r.header.Get("Cranberry-Code") }

func (c *cluster) send(to identifier.InstanceID, method, path, token string, header map[string]string, body string) (httpResponse, error) {
	clientID := c.clientCount.Add(1)
	client := &http.Client{Transport: &http.Transport{
		DialContext: c.network.Dial(fmt.Sprintf("client%d", clientID)), DisableKeepAlives: true,
	}}
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+string(to)+":7000"+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return httpResponse{}, err
	}
	request.Header.Set("Authorization", "Bearer "+token)
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := client.Do(request)
	if err != nil {
		return httpResponse{}, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return httpResponse{}, err
	}
	return httpResponse{status: response.StatusCode, header: response.Header, body: string(data)}, nil
}

func (c *cluster) mustSend(to identifier.InstanceID, method, path, token string, header map[string]string, body string) httpResponse {
	c.t.Helper()
	response, err := c.send(to, method, path, token, header, body)
	if err != nil {
		c.t.Fatalf("%s %s at %s: %v", method, path, to, err)
	}
	return response
}

const testLists = `"plans":[
  {"id":"isuku-plan","member":"isuku","teams":[{"id":"rounds","quota":0},{"id":"photos","quota":0}]},
  {"id":"nieve-plan","member":"nieve","teams":[{"id":"routes","quota":0}]}],
 "allowances":[
  {"plan":"isuku-plan","accelerator":"gpu","limit":64,"adjacent":["worker","neighbours","rack","data-center"],
   "request-share":0.5,"guarantees":[{"shape":{"adjacent":"worker","parts":1,"accelerators-per-part":8},"count":1}]},
  {"plan":"nieve-plan","accelerator":"gpu","limit":64,"adjacent":["worker","neighbours","rack","data-center"],"request-share":0.5}]`

func (c *cluster) applyLists(to identifier.InstanceID, requestID string, expected int, lists string) httpResponse {
	c.t.Helper()
	body := fmt.Sprintf(`{"request-id":%q,"expected-version":%d,%s}`, requestID, expected, lists)
	return c.mustSend(to, http.MethodPut, "/v1/lists", operatorToken, nil, body)
}

func (c *cluster) listsVersion(id identifier.InstanceID) int {
	response, err := c.send(id, http.MethodGet, "/v1/lists", operatorToken, nil, "")
	if err != nil || response.status != http.StatusOK {
		return -1
	}
	var lists struct {
		Version int `json:"version"`
	}
	if json.Unmarshal([]byte(response.body), &lists) != nil {
		return -1
	}
	return lists.Version
}

// startWithTestLists starts all instances, upstreams and workers, applies
// testLists, and waits until every instance is ready and has the lists.
func (c *cluster) startWithTestLists() {
	c.t.Helper()
	c.startAll()
	for _, u := range c.upstreams {
		u.Start()
	}
	for _, w := range c.workers {
		w.Start()
	}
	first := c.peers[0].Instance
	if response := c.applyLists(first, "first", 0, testLists); response.status != http.StatusOK {
		c.t.Fatalf("apply test lists: %d %s", response.status, response.body)
	}
	c.waitReady()
	c.waitFor("test lists at all instances", time.Minute, func() bool {
		for id := range c.daemons {
			if c.listsVersion(id) != 1 {
				return false
			}
		}
		return true
	})
	time.Sleep(2 * time.Second)
}

func isukuHeader(key string) map[string]string {
	header := map[string]string{
		"Cranberry-Plan": "isuku-plan", "Cranberry-Team": "rounds", "Cranberry-Kind": "wash",
		"Cranberry-Deadline-Ms": "5000",
	}
	if key != "" {
		header["Idempotency-Key"] = key
		header["Cranberry-Non-Idempotent"] = "true"
	}
	return header
}

func (c *cluster) jobState(at identifier.InstanceID, token, id string) string {
	response, err := c.send(at, http.MethodGet, "/v1/jobs/"+id, token, nil, "")
	if err != nil {
		return ""
	}
	var job struct {
		State string `json:"state"`
	}
	if json.Unmarshal([]byte(response.body), &job) != nil {
		return ""
	}
	return job.State
}

// TestRequestAndGangEndToEnd checks that every instance serves plain and keyed
// requests and that a gang job runs to its end.
func TestRequestAndGangEndToEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, threeInstances())
		defer c.close()
		c.addUpstream("u1", 4, "dc1")
		c.addUpstream("u2", 4, "dc1")
		c.addWorker("w1", "r1", 1, 8, "dc1")
		c.addWorker("w2", "r1", 2, 8, "dc1")
		c.startWithTestLists()
		for i, id := range []identifier.InstanceID{"a", "b", "c"} {
			response := c.mustSend(id, http.MethodPost, "/v1/requests", isukuToken, isukuHeader(""), fmt.Sprintf("bin %d", i))
			if want := fmt.Sprintf("done bin %d", i); response.status != http.StatusOK || response.body != want {
				t.Errorf("request at %s: got %d %q, want 200 %q", id, response.status, response.body, want)
			}
			keyed := c.mustSend(id, http.MethodPost, "/v1/requests", isukuToken, isukuHeader(fmt.Sprintf("key-%d", i)), "billed")
			if keyed.status != http.StatusOK || keyed.body != "done billed" {
				t.Errorf("keyed request at %s: got %d %q", id, keyed.status, keyed.body)
			}
		}
		job := `{"id":"gang","plan":"isuku-plan","team":"rounds","accelerator":"gpu",
			"shape":{"adjacent":"neighbours","parts":2,"accelerators-per-part":8}}`
		if response := c.mustSend("b", http.MethodPost, "/v1/jobs", isukuToken, nil, job); response.status != http.StatusAccepted {
			t.Fatalf("submit gang: %d %s", response.status, response.body)
		}
		c.waitFor("gang finished", time.Minute, func() bool { return c.jobState("c", isukuToken, "gang") == "finished" })
	})
}
