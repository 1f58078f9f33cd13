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
	forceTimeout  = 30 * time.Second
	poll          = 2 * time.Millisecond
)

var errTimeout = errors.New("did not happen in time")

// gate lets one instance be cut from the others at once, as if its process had
// been killed.
type gate struct {
	mu    sync.Mutex
	conns map[net.Conn]bool
	dead  bool
}

func (g *gate) admit(conn net.Conn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.dead {
		return false
	}
	g.conns[conn] = true
	return true
}

func (g *gate) shut() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.dead = true
	for conn := range g.conns {
		conn.Close()
	}
	g.conns = map[net.Conn]bool{}
}

type gatedListener struct {
	net.Listener
	gate *gate
}

// Accept closes what arrives at a gate that is shut.
func (l *gatedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.gate.admit(conn) {
			return conn, nil
		}
		conn.Close()
	}
}

// instance is one daemon.
type instance struct {
	peer   loader.Peer
	daemon *daemon.Daemon
	gate   *gate
}

// instances is the measured set.
type instances struct {
	all     []*instance
	voters  []identifier.InstanceID
	folder  string
	client  *http.Client
	version int
	number  int
}

func start(voters, followers int, seed uint64) (*instances, error) {
	folder, err := os.MkdirTemp("", "cranberrybench-")
	if err != nil {
		return nil, fmt.Errorf("create folder: %w", err)
	}
	s := &instances{folder: folder, client: &http.Client{Timeout: forceTimeout}, number: int(seed)}
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
			s.voters = append(s.voters, peer.Instance)
		}
		s.all = append(s.all, &instance{peer: peer})
	}
	for _, one := range s.all {
		if err := s.revive(one); err != nil {
			return nil, err
		}
	}
	version, err := s.apply()
	if err != nil {
		return nil, err
	}
	return s, s.waitForce(version, nil)
}

func (s *instances) settings(one *instance) *loader.Settings {
	settings := loader.Default()
	settings.Instance, settings.Address, settings.Roles = one.peer.Instance, one.peer.Address, one.peer.Roles
	settings.DataCenter, settings.Region = one.peer.DataCenter, one.peer.Region
	settings.DataCenters = []identifier.DataCenterID{"dc0", "dc1", "dc2", "dc3"}
	for _, other := range s.all {
		settings.Peers = append(settings.Peers, other.peer)
	}
	settings.InitialVoters, settings.PeerToken = s.voters, peerToken
	settings.DataFolder = filepath.Join(s.folder, string(one.peer.Instance))
	settings.Tokens = []loader.Token{{Token: operatorToken, Kind: authenticator.KindOperator, Subject: "operator"}}
	return settings
}

// revive starts an instance, with whatever its folder holds.
func (s *instances) revive(one *instance) error {
	g := &gate{conns: map[net.Conn]bool{}}
	listen := func(address string) (net.Listener, error) {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return nil, err
		}
		return &gatedListener{Listener: listener, gate: g}, nil
	}
	dialer := &net.Dialer{}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		if !g.admit(conn) {
			conn.Close()
			return nil, net.ErrClosed
		}
		return conn, nil
	}
	d, err := daemon.New(s.settings(one), daemon.Network(listen, dial))
	if err != nil {
		return err
	}
	if err := d.Start(context.Background()); err != nil {
		return err
	}
	one.daemon, one.gate = d, g
	return nil
}

// kill cuts an instance off before it ends, so that nothing of its shutdown
// reaches the others.
func (s *instances) kill(one *instance) {
	one.gate.shut()
	_ = one.daemon.Stop(context.Background())
}

func (s *instances) stop() {
	for _, one := range s.all {
		_ = one.daemon.Stop(context.Background())
	}
	s.client.CloseIdleConnections()
	_ = os.RemoveAll(s.folder)
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

type applyMessage struct {
	RequestID  string             `json:"request-id"`
	Expected   int                `json:"expected-version"`
	Plans      []planMessage      `json:"plans"`
	Allowances []allowanceMessage `json:"allowances"`
}

// apply changes one plan of the lists and returns the new version.
func (s *instances) apply() (int, error) {
	s.number++
	message := applyMessage{RequestID: fmt.Sprint("change-", s.number), Expected: s.version}
	for i := range plans {
		id := fmt.Sprintf("plan-%02d", i)
		quota := 8
		if i == s.number%plans {
			quota = s.number
		}
		message.Plans = append(message.Plans, planMessage{ID: id, Member: fmt.Sprint("member-", i%7), Teams: []teamMessage{{ID: "team", Quota: quota}}})
		message.Allowances = append(message.Allowances, allowanceMessage{Plan: id, Accelerator: "gpu", Limit: 64, Adjacent: []string{"worker"}, Share: 0.01})
	}
	body, err := json.Marshal(message)
	if err != nil {
		return 0, fmt.Errorf("encode lists: %w", err)
	}
	var result struct {
		Accepted bool `json:"accepted"`
		Version  int  `json:"version"`
	}
	limit := time.Now().Add(forceTimeout)
	for time.Now().Before(limit) {
		err = s.call(s.target(), http.MethodPut, "/v1/lists", body, &result)
		if err == nil && result.Accepted {
			s.version = result.Version
			return result.Version, nil
		}
		time.Sleep(poll)
	}
	return 0, fmt.Errorf("apply: %w: %v", errTimeout, err)
}

// target returns an instance that lives; the last follower, else a voter.
func (s *instances) target() *instance {
	for i := len(s.all) - 1; i >= 0; i-- {
		if !s.all[i].gate.isDead() {
			return s.all[i]
		}
	}
	return s.all[0]
}

func (g *gate) isDead() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.dead
}

func (s *instances) call(one *instance, method, path string, body []byte, out any) error {
	request, err := http.NewRequest(method, "http://"+one.peer.Address+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("build message: %w", err)
	}
	request.Header.Set("Authorization", "Bearer "+operatorToken)
	response, err := s.client.Do(request)
	if err != nil {
		return fmt.Errorf("send message: %w", err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return fmt.Errorf("read answer: %w", err)
	}
	return json.Unmarshal(data, out)
}

// waitForce waits until a version is in force on every instance but one.
func (s *instances) waitForce(version int, except *instance) error {
	limit := time.Now().Add(forceTimeout)
	for _, one := range s.all {
		if one == except {
			continue
		}
		for int(one.daemon.Lists().Lists.Version) < version {
			if time.Now().After(limit) {
				return fmt.Errorf("version %d at %s: %w", version, one.peer.Instance, errTimeout)
			}
			time.Sleep(poll)
		}
	}
	return nil
}

// leader waits until a living voter says that it leads.
func (s *instances) leader() (*instance, error) {
	limit := time.Now().Add(forceTimeout)
	for time.Now().Before(limit) {
		for _, one := range s.all[:len(s.voters)] {
			if one.gate.isDead() {
				continue
			}
			var vars struct {
				Control struct {
					Role string `json:"role"`
				} `json:"control"`
			}
			if err := s.call(one, http.MethodGet, "/debug/vars", nil, &vars); err == nil && vars.Control.Role == "leader" {
				return one, nil
			}
		}
		time.Sleep(poll)
	}
	return nil, fmt.Errorf("leader: %w", errTimeout)
}

// measure lets the instances run and returns what they used.
func (s *instances) measure(length time.Duration, rate float64) cost {
	began, cpu, sent := time.Now(), processTime(), s.sent()
	for time.Since(began) < length {
		if rate == 0 {
			time.Sleep(length)
			break
		}
		if _, err := s.apply(); err != nil {
			break
		}
		time.Sleep(time.Duration(float64(time.Second) / rate))
	}
	return cost{cpu: processTime() - cpu, sent: s.sent() - sent, wall: time.Since(began)}
}

// sent adds up what all instances have sent to each other.
func (s *instances) sent() int64 {
	total := int64(0)
	for _, one := range s.all {
		var vars struct {
			Traffic struct {
				Sent int64 `json:"sent-bytes"`
			} `json:"peer-traffic"`
		}
		if err := s.call(one, http.MethodGet, "/debug/vars", nil, &vars); err == nil {
			total += vars.Traffic.Sent
		}
	}
	return total
}
