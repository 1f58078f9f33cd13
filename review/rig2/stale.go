package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// maintenance is how long a machine is down for its upkeep.
const maintenance = 2 * time.Second

// upkeepOrder is an order for upkeep as the machine manager saw it.
type upkeepOrder struct {
	machine, holder string
	token           uint64
	at              time.Time
}

// manager is a stand-in of the service that lists machines and performs their upkeep. It
// checks no fencing tokens, as on the sites of the users.
type manager struct {
	record    *recorder
	address   string
	executors []*executor

	mu     sync.Mutex
	down   map[string]bool
	done   map[string]bool
	orders []upkeepOrder
}

func newManager(s *system) (*manager, error) {
	listener, err := net.Listen("tcp", s.ip(standInHost)+":0")
	if err != nil {
		return nil, fmt.Errorf("machine manager: %w", err)
	}
	m := &manager{record: s.record, address: listener.Addr().String(), down: map[string]bool{}, done: map[string]bool{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+wire.Machines, m.list)
	mux.HandleFunc("POST "+wire.Upkeep, m.upkeep)
	server := &http.Server{Handler: mux}
	go func() { _ = server.Serve(listener) }()
	return m, nil
}

func (m *manager) list(w http.ResponseWriter, _ *http.Request) {
	m.mu.Lock()
	defer m.mu.Unlock()
	rows := []map[string]any{}
	for _, e := range m.executors {
		row := map[string]any{
			"machine": e.machine, "pool": pool, "state": "up", "data-center": e.zone, "labels": e.labels, "id": e.id,
			"capacity": map[string]any{"cpu-milli": e.cpu, "memory-mb": e.memory, "accelerators": e.gpu},
		}
		if m.down[e.machine] {
			row["state"] = "upkeep"
			delete(row, "id")
		}
		rows = append(rows, row)
	}
	writeJSON(w, http.StatusOK, map[string]any{"machines": rows, "next-token": nil})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (m *manager) upkeep(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	var body struct {
		Machine string `json:"machine"`
		Wave    int    `json:"wave"`
	}
	if err != nil || json.Unmarshal(data, &body) != nil {
		writeJSON(w, http.StatusBadRequest, map[string]any{})
		return
	}
	token, _ := strconv.ParseUint(r.Header.Get(wire.Token), 10, 64)
	m.mu.Lock()
	defer m.mu.Unlock()
	order := upkeepOrder{machine: body.Machine, holder: r.Header.Get(wire.Holder), token: token, at: time.Now()}
	m.orders = append(m.orders, order)
	m.record.say("machine manager: upkeep of %s by %s, token %d", order.machine, order.holder, token)
	for _, e := range m.executors {
		if e.machine == body.Machine && !m.down[e.machine] && !m.done[e.machine] {
			m.begin(e)
		}
	}
	writeJSON(w, http.StatusOK, map[string]any{})
}

// begin takes a machine down. Its next executor comes after the upkeep. The caller holds
// mu.
func (m *manager) begin(e *executor) {
	m.down[e.machine] = true
	m.record.note("machine manager: %s is down", e.machine)
	e.crash()
	time.AfterFunc(maintenance, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.down[e.machine], m.done[e.machine] = false, true
		m.record.note("machine manager: %s is up", e.machine)
		if err := e.start(); err != nil {
			m.record.say("%v", err)
		}
	})
}

// lower returns the orders with a token lower than that of an earlier order for the same
// machine.
func (m *manager) lower() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var breaks []string
	highest := map[string]upkeepOrder{}
	for _, order := range m.orders {
		if before := highest[order.machine]; order.token < before.token {
			breaks = append(breaks, fmt.Sprintf("%s: an order of %s with token %d came %.3f s after one of %s with token %d",
				order.machine, order.holder, order.token, order.at.Sub(before.at).Seconds(), before.holder, before.token))
		} else {
			highest[order.machine] = order
		}
	}
	return breaks
}

// leader returns the number of the core that leads, by its own words.
func (c *caller) leader() (int, error) {
	for begun := time.Now(); time.Since(begun) < startLimit; time.Sleep(50 * time.Millisecond) {
		for i := range coreCount {
			status, answer := c.call(http.MethodGet, fmt.Sprintf("%s:%d", c.system.ip(coreHost(i)), c.system.internalPort), "/status", nil, time.Second)
			var body struct {
				Rules bool `json:"rules"`
			}
			if status == http.StatusOK && json.Unmarshal(answer, &body) == nil && body.Rules {
				return i, nil
			}
		}
	}
	return 0, fmt.Errorf("no leader: %w", errNotRun)
}

// runStale cuts the path between the leader and the machine manager while the leader has
// an order for upkeep to send, and stops the leader in a planned restart.
func runStale(s *system, trouble bool) ([]string, error) {
	const cut = 5400 * time.Millisecond
	m, err := newManager(s)
	if err != nil {
		return nil, err
	}
	var paths []*proxy
	for i := range coreCount {
		path, err := newProxy(s.ip(standInHost), func() string { return m.address })
		if err != nil {
			return nil, err
		}
		paths = append(paths, path)
		s.machines[coreName(i)] = path.address
	}
	c, h, executors, err := begin(s, 3, false)
	if err != nil {
		return nil, err
	}
	m.executors = executors
	task := taskSpec{MinMillis: 6000, MaxMillis: 6001, CPU: 26000, Memory: 20000, GPU: 2}
	if err := c.submit("plain", jobID(2), task.text(), task.step(1)); err != nil {
		return nil, err
	}
	if err := waitRunning(h, 1, 6*time.Second); err != nil {
		return nil, err
	}
	busy, _ := busiest(executors)
	idle := executors[0]
	if idle == busy {
		idle = executors[1]
	}
	wave := map[string]any{"wave": 1, "machines": []string{idle.machine, busy.machine}, "duration-s": 30, "cap": 2}
	if _, err := c.operate(http.MethodPost, wire.WaveStart, wave, 10*time.Second); err != nil {
		return nil, err
	}
	h.waitOldest(5700 * time.Millisecond)
	if trouble {
		if err := s.cutAndRestart(c, paths, cut); err != nil {
			return nil, err
		}
	}
	for begun := time.Now(); time.Since(begun) < 25*time.Second; time.Sleep(500 * time.Millisecond) {
		answer, err := c.operate(http.MethodGet, wire.WaveGet+"1", nil, 10*time.Second)
		if err == nil && string(answer) == `{"state":"completed"}` {
			break
		}
	}
	time.Sleep(2 * time.Second)
	return m.lower(), nil
}

// cutAndRestart cuts the leader's path to the machine manager for some time, and restarts
// the leader soon after the cut has begun.
func (s *system) cutAndRestart(c *caller, paths []*proxy, cut time.Duration) error {
	const beforeStop = 900 * time.Millisecond
	leader, err := c.leader()
	if err != nil {
		return err
	}
	name := coreName(leader)
	s.record.say("platform: %s and the machine manager can't reach each other", name)
	paths[leader].setCut(true)
	begun := time.Now()
	time.Sleep(beforeStop)
	s.signal(name, syscall.SIGTERM)
	<-s.process(name).ended
	s.record.say("platform: %s has ended", name)
	if err := s.startCore(leader, false); err != nil {
		return err
	}
	time.Sleep(time.Until(begun.Add(cut)))
	paths[leader].setCut(false)
	s.record.say("platform: the path is whole again after %v", cut)
	return nil
}
