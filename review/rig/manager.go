package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"
)

// manager is a stand-in for the machine manager: it lists the machines, one for each
// executor, and takes them down for upkeep.
type manager struct {
	rig *rig

	mu sync.Mutex
	// unavailable says that it answers every call with 503, without doing anything.
	unavailable bool
	// upkeeps holds the state of the upkeep of each machine: "upkeep" or "done".
	upkeeps map[string]string
	// refusedUpkeeps counts the orders that came while it was unavailable.
	refusedUpkeeps int
	// beforeUpkeep is called before a machine goes down.
	beforeUpkeep func(*executor)
}

const maintenanceTime = 2 * time.Second

// newManager starts the machine manager at an address of the play's network.
func newManager(g *rig) (*manager, error) {
	g.deployment.machines = at(g.address(5, 1), g.deployment.ports.control)
	listener, err := net.Listen("tcp", g.deployment.machines)
	if err != nil {
		return nil, err
	}
	m := &manager{rig: g, upkeeps: map[string]string{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+wire["machines"], m.list)
	mux.HandleFunc("POST "+wire["upkeep"], m.upkeep)
	go func() { _ = http.Serve(listener, mux) }()
	return m, nil
}

func (e *executor) machine() string { return "m-" + e.id }

func (m *manager) setUnavailable(unavailable bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unavailable = unavailable
	m.rig.record.add("the machine manager is unavailable: %v", unavailable)
}

func (m *manager) list(w http.ResponseWriter, _ *http.Request) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.unavailable {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	rows := []map[string]any{}
	for _, e := range m.rig.executors {
		row := map[string]any{
			"machine": e.machine(), "pool": e.pool, "state": "up", "data-center": "nyarugenge", "labels": e.labels,
			"capacity": e.capacity(), "id": e.id,
		}
		if m.upkeeps[e.machine()] == "upkeep" {
			row["state"], row["id"] = "upkeep", ""
		}
		rows = append(rows, row)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"machines": rows, "next-token": nil})
}

func (m *manager) upkeep(w http.ResponseWriter, r *http.Request) {
	var order struct {
		Machine string `json:"machine"`
		Wave    int    `json:"wave"`
	}
	if json.NewDecoder(r.Body).Decode(&order) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	status, body := m.carryOut(order.Machine)
	m.rig.record.add("upkeep of %s for wave %d: %d %v", order.Machine, order.Wave, status, body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (m *manager) carryOut(machine string) (int, map[string]string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case m.unavailable:
		m.refusedUpkeeps++
		return http.StatusServiceUnavailable, map[string]string{}
	case m.upkeeps[machine] == "upkeep":
		return http.StatusConflict, map[string]string{"reason": "busy"}
	case m.upkeeps[machine] == "done":
		return http.StatusOK, map[string]string{}
	}
	for _, e := range m.rig.executors {
		if e.machine() == machine {
			m.upkeeps[machine] = "upkeep"
			if m.beforeUpkeep != nil {
				m.beforeUpkeep(e)
			}
			e.crash()
			time.AfterFunc(maintenanceTime, func() { m.finish(e) })
			return http.StatusOK, map[string]string{}
		}
	}
	return http.StatusBadRequest, map[string]string{}
}

// finish ends the upkeep of a machine: a new executor joins the pool on it.
func (m *manager) finish(e *executor) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.upkeeps[e.machine()] = "done"
	_ = e.up()
}
