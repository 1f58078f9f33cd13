package controlmeter

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"cranberrystack.dev/cranberryd/daemon"
	"cranberrystack.dev/cranberryd/loader"
	"cranberrystack.dev/cranberrystack/authenticator"
	"cranberrystack.dev/cranberrystack/identifier"
)

const (
	peerToken     = "peer-token-00000001"
	operatorToken = "operator-token-0001"
	waitTimeout   = 30 * time.Second
	pollInterval  = 2 * time.Millisecond
)

var errTimeout = errors.New("timed out")

// connections tracks the open connections of one instance, so that it can be
// cut off from the others at once, as if its process had been killed.
type connections struct {
	mu   sync.Mutex
	open map[net.Conn]bool
	cut  bool
}

// add tracks a new connection. It reports false if the instance is cut off; the
// caller must then close the connection.
func (c *connections) add(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cut {
		return false
	}
	c.open[conn] = true
	return true
}

// cutOff closes all connections and refuses new ones.
func (c *connections) cutOff() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut = true
	for conn := range c.open {
		conn.Close()
	}
	c.open = map[net.Conn]bool{}
}

type trackingListener struct {
	net.Listener
	conns *connections
}

// Accept returns the next connection, and closes those that arrive at an
// instance that is cut off.
func (l *trackingListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.conns.add(conn) {
			return conn, nil
		}
		conn.Close()
	}
}

// instance is one daemon and its open connections, both replaced at each start.
type instance struct {
	peer   loader.Peer
	daemon *daemon.Daemon
	conns  *connections
}

// cluster is a set of instances in this process. The voters come first.
type cluster struct {
	instances []*instance
	voterIDs  []identifier.InstanceID
	folder    string
	client    *http.Client
	// version is that of the lists last accepted.
	version int
	// changeNumber numbers the changes, starting from the seed.
	changeNumber int
}

// startCluster starts all instances and waits until the first lists are in force
// on each of them.
func startCluster(voters, followers int, seed uint64) (*cluster, error) {
	folder, err := os.MkdirTemp("", "cranberrybench-")
	if err != nil {
		return nil, fmt.Errorf("create folder: %w", err)
	}
	c := &cluster{folder: folder, client: &http.Client{Timeout: waitTimeout}, changeNumber: int(seed)}
	for i := range voters + followers {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, fmt.Errorf("listen: %w", err)
		}
		peer := loader.Peer{
			Instance: identifier.InstanceID(fmt.Sprintf("i%02d", i)), Address: listener.Addr().String(),
			DataCenter: identifier.DataCenterID(fmt.Sprint("dc", i%4)), Region: "region", Roles: []string{"placement"},
		}
		listener.Close()
		if i < voters {
			peer.Roles = []string{"control"}
			c.voterIDs = append(c.voterIDs, peer.Instance)
		}
		c.instances = append(c.instances, &instance{peer: peer})
	}
	for _, inst := range c.instances {
		if err := c.startInstance(inst); err != nil {
			return nil, err
		}
	}
	version, err := c.apply()
	if err != nil {
		return nil, err
	}
	return c, c.waitInForce(version, nil)
}

func (c *cluster) settings(inst *instance) *loader.Settings {
	settings := loader.Default()
	settings.Instance, settings.Address, settings.Roles = inst.peer.Instance, inst.peer.Address, inst.peer.Roles
	settings.DataCenter, settings.Region = inst.peer.DataCenter, inst.peer.Region
	settings.DataCenters = []identifier.DataCenterID{"dc0", "dc1", "dc2", "dc3"}
	for _, other := range c.instances {
		settings.Peers = append(settings.Peers, other.peer)
	}
	settings.InitialVoters, settings.PeerToken = c.voterIDs, peerToken
	settings.DataFolder = filepath.Join(c.folder, string(inst.peer.Instance))
	settings.Tokens = []loader.Token{{Token: operatorToken, Kind: authenticator.KindOperator, Subject: "operator"}}
	return settings
}

// startInstance starts an instance with the data in its folder.
func (c *cluster) startInstance(inst *instance) error {
	conns := &connections{open: map[net.Conn]bool{}}
	listen := func(address string) (net.Listener, error) {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return nil, err
		}
		return &trackingListener{Listener: listener, conns: conns}, nil
	}
	dialer := &net.Dialer{}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		if !conns.add(conn) {
			conn.Close()
			return nil, net.ErrClosed
		}
		return conn, nil
	}
	d, err := daemon.New(c.settings(inst), daemon.Network(listen, dial))
	if err != nil {
		return err
	}
	if err := d.Start(context.Background()); err != nil {
		return err
	}
	inst.daemon, inst.conns = d, conns
	return nil
}

// kill cuts an instance off before it stops it, so that the others see nothing
// of an orderly shutdown.
func (c *cluster) kill(inst *instance) {
	inst.conns.cutOff()
	_ = inst.daemon.Stop(context.Background())
}

func (c *cluster) stop() {
	for _, inst := range c.instances {
		_ = inst.daemon.Stop(context.Background())
	}
	c.client.CloseIdleConnections()
	_ = os.RemoveAll(c.folder)
}

type planMessage struct {
	ID     string        `json:"id"`
	Member string        `json:"member"`
	Teams  []teamMessage `json:"teams"`
}

type teamMessage struct {
	ID    string `json:"id"`
	Quota int    `json:"quota"`
}

type allowanceMessage struct {
	Plan        string   `json:"plan"`
	Accelerator string   `json:"accelerator"`
	Limit       int      `json:"limit"`
	Adjacent    []string `json:"adjacent"`
	Share       float64  `json:"request-share"`
}

type applyRequest struct {
	RequestID  string             `json:"request-id"`
	Expected   int                `json:"expected-version"`
	Plans      []planMessage      `json:"plans"`
	Allowances []allowanceMessage `json:"allowances"`
}

// apply sets the quota of one plan, resets that of the plan that the last call
// changed, and returns the new version. It retries until the change is accepted or
// waitTimeout has passed.
func (c *cluster) apply() (int, error) {
	c.changeNumber++
	request := applyRequest{RequestID: fmt.Sprint("change-", c.changeNumber), Expected: c.version}
	for i := range planCount {
		id := fmt.Sprintf("plan-%02d", i)
		quota := 8
		if i == c.changeNumber%planCount {
			quota = c.changeNumber
		}
		request.Plans = append(request.Plans, planMessage{ID: id, Member: fmt.Sprint("member-", i%7), Teams: []teamMessage{{ID: "team", Quota: quota}}})
		request.Allowances = append(request.Allowances, allowanceMessage{Plan: id, Accelerator: "gpu", Limit: 64, Adjacent: []string{"worker"}, Share: 0.01})
	}
	body, err := json.Marshal(request)
	if err != nil {
		return 0, fmt.Errorf("encode lists: %w", err)
	}
	var result struct {
		Accepted bool `json:"accepted"`
		Version  int  `json:"version"`
	}
	deadline := time.Now().Add(waitTimeout)
	for time.Now().Before(deadline) {
		err = c.call(c.target(), http.MethodPut, "/v1/lists", body, &result)
		if err == nil && result.Accepted {
			c.version = result.Version
			return result.Version, nil
		}
		time.Sleep(pollInterval)
	}
	return 0, fmt.Errorf("apply lists: %w: %v", errTimeout, err)
}

// target returns the last instance that isn't cut off: a follower if there is
// one, otherwise a voter.
func (c *cluster) target() *instance {
	for i := len(c.instances) - 1; i >= 0; i-- {
		if !c.instances[i].conns.isCut() {
			return c.instances[i]
		}
	}
	return c.instances[0]
}

func (c *connections) isCut() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cut
}

func (c *cluster) call(inst *instance, method, path string, body []byte, out any) error {
	request, err := http.NewRequest(method, "http://"+inst.peer.Address+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("build request: %w", err)
	}
	request.Header.Set("Authorization", "Bearer "+operatorToken)
	response, err := c.client.Do(request)
	if err != nil {
		return fmt.Errorf("send request: %w", err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return fmt.Errorf("read response: %w", err)
	}
	return json.Unmarshal(data, out)
}

// waitInForce waits until a version is in force on every instance but except, which
// may be nil.
func (c *cluster) waitInForce(version int, except *instance) error {
	deadline := time.Now().Add(waitTimeout)
	for _, inst := range c.instances {
		if inst == except {
			continue
		}
		for int(inst.daemon.Lists().Lists.Version) < version {
			if time.Now().After(deadline) {
				return fmt.Errorf("wait for version %d on instance %s: %w", version, inst.peer.Instance, errTimeout)
			}
			time.Sleep(pollInterval)
		}
	}
	return nil
}

// leader waits until a voter that isn't cut off reports that it is the leader,
// and returns it.
func (c *cluster) leader() (*instance, error) {
	deadline := time.Now().Add(waitTimeout)
	for time.Now().Before(deadline) {
		for _, inst := range c.instances[:len(c.voterIDs)] {
			if inst.conns.isCut() {
				continue
			}
			var vars struct {
				Control struct {
					Role string `json:"role"`
				} `json:"control"`
			}
			if err := c.call(inst, http.MethodGet, "/debug/vars", nil, &vars); err == nil && vars.Control.Role == "leader" {
				return inst, nil
			}
		}
		time.Sleep(pollInterval)
	}
	return nil, fmt.Errorf("wait for a leader: %w", errTimeout)
}

// measure returns what the instances use during a time in which lists change at
// most at a rate, in changes per second; 0 for none. It ends early if a change fails.
func (c *cluster) measure(duration time.Duration, rate float64) cost {
	start, cpu, sent := time.Now(), processCPUTime(), c.sentBytes()
	for time.Since(start) < duration {
		if rate == 0 {
			time.Sleep(duration)
			break
		}
		if _, err := c.apply(); err != nil {
			break
		}
		time.Sleep(time.Duration(float64(time.Second) / rate))
	}
	return cost{cpuTime: processCPUTime() - cpu, sentBytes: c.sentBytes() - sent, wallTime: time.Since(start)}
}

// sentBytes returns the bytes that all instances have sent to each other.
func (c *cluster) sentBytes() int64 {
	total := int64(0)
	for _, inst := range c.instances {
		var vars struct {
			Traffic struct {
				Sent int64 `json:"sent-bytes"`
			} `json:"peer-traffic"`
		}
		if err := c.call(inst, http.MethodGet, "/debug/vars", nil, &vars); err == nil {
			total += vars.Traffic.Sent
		}
	}
	return total
}
