package main

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

// callers sends the calls of clients and of the operator.
type callers struct {
	// key is the key of the calls of clients.
	key        string
	deployment *deployment
	record     *record
	http       http.Client
}

func newCallers(d *deployment) *callers {
	return &callers{key: key, deployment: d, record: d.record, http: http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
}

const (
	host = "nony24.example"
	// key is that of the team kaje80, to which 8 accelerators are guaranteed, and otherKey
	// that of the team visu11.
	key      = "d4a3hwrr6x73d3zji9n7"
	otherKey = "3hh2b9wu3fexd9dnn2ct"
	// servicePool is the service that queues use which name none, and otherPool another.
	servicePool = "dispatch"
	otherPool   = "survey"
)

// queue is a queue of the configuration.
type queue struct {
	name, prefix          string
	priority, maxAttempts int
	// pool is the service; "" is servicePool.
	pool string
	// advice is set if a policy outside the system chooses the executors.
	advice *adviceTimes
}

// configure sends a configuration to the control nodes until one acknowledges it.
func (c *callers) configure(queues ...queue) error {
	return c.configureWithin(20*time.Second, queues...)
}

// configureWithin is configure with a limit of time.
func (c *callers) configureWithin(limit time.Duration, queues ...queue) error {
	var rows, pools []map[string]any
	for _, name := range []string{servicePool, otherPool} {
		pools = append(pools, map[string]any{"name": name, "health-path": "/healthz", "max-connections": 64, "protocol": "h1", "tls": false, "guards-capacity": true, "standby": false})
	}
	for _, q := range queues {
		row := map[string]any{
			"name": q.name, "host": host, "path-prefix": q.prefix, "kind": "non_idempotent", "timeout-ms": 3000, "objective-ms": 1000,
			"priority": q.priority, "worker-pool": cmp.Or(q.pool, servicePool), "max-attempts": q.maxAttempts, "stretch": 3.0, "open": false,
		}
		if q.advice != nil {
			row["advice"] = map[string]int{"decide-ms": q.advice.decide, "period-ms": q.advice.period, "valid-ms": q.advice.valid}
		}
		rows = append(rows, row)
	}
	document := map[string]any{
		"version": 7, "queues": rows,
		"pools":  pools,
		"limits": map[string]int{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"teams": []map[string]any{
			{"name": "kaje80", "keys": []string{key}, "priority": 1, "guarantee": map[string]int{"accelerators": 8}},
			{"name": "visu11", "keys": []string{otherKey}, "priority": 1, "guarantee": map[string]int{"accelerators": 4}},
		},
	}
	data, err := json.Marshal(document)
	if err != nil {
		return err
	}
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(300 * time.Millisecond) {
		for _, n := range c.deployment.control {
			status, _ := c.send(http.MethodPut, at(n.ip, c.deployment.ports.control), wire["config"], data, false)
			if status == http.StatusOK {
				return nil
			}
		}
	}
	return errors.New("the configuration was not acknowledged")
}

// send sends a call and returns status and body, or status 0 if there is no response.
func (c *callers) send(method, address, path string, body []byte, asClient bool) (int, []byte) {
	request, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	request.Header.Set("Content-Type", "application/json")
	if asClient {
		request.Host = host
		request.Header.Set("Authorization", "Token "+c.key)
		request.Header.Set(wire["deadline-header"], "3000")
	}
	response, err := c.http.Do(request)
	if err != nil {
		c.record.add("%s %s to %s: no response: %v", method, path, address, err)
		return 0, nil
	}
	defer response.Body.Close()
	data, _ := io.ReadAll(response.Body)
	c.record.add("%s %s to %s: %d %s", method, path, address, response.StatusCode, data)
	return response.StatusCode, data
}

// step is a step of a job, with the duration of its tasks in the text that tells the
// executors what to run.
type step struct {
	Width        int    `json:"width"`
	CPU          int    `json:"cpu-milli"`
	Memory       int    `json:"memory-mb"`
	Accelerators int    `json:"accelerators"`
	Estimate     int    `json:"estimate-ms"`
	Label        string `json:"needs-label,omitempty"`
	Gang         bool   `json:"gang,omitempty"`
	LongRunning  bool   `json:"long-running,omitempty"`
	MayMiss      int    `json:"may-miss,omitempty"`
}

// submit hands a job in, again after no clear answer, and returns whether it was
// accepted. millis is the duration of each task; one that lasts has 0.
func (c *callers) submit(q queue, id string, millis int, s step) bool {
	s.Estimate = max(millis, 1000)
	data, err := json.Marshal(map[string]any{"spec": fmt.Sprintf("ms=%d gpu=%d", millis, s.Accelerators), "steps": []step{s}})
	if err != nil {
		return false
	}
	for range 8 {
		status, _ := c.send(http.MethodPost, c.gateway(), q.prefix+id, data, true)
		if status == http.StatusOK {
			return true
		}
		time.Sleep(500 * time.Millisecond)
	}
	return false
}

func (c *callers) gateway() string { return at(c.deployment.gateways[0].ip, c.deployment.ports.calls) }

// state returns the state of a job, or "" if there is no clear answer.
func (c *callers) state(q queue, id string) string {
	status, data := c.send(http.MethodGet, c.gateway(), q.prefix+id, nil, true)
	var body struct {
		State string `json:"state"`
	}
	if status != http.StatusOK || json.Unmarshal(data, &body) != nil {
		return ""
	}
	return body.State
}

// pending returns the number of pending jobs of a queue, or -1 if there is no clear
// answer.
func (c *callers) pending(q queue) int {
	status, data := c.send(http.MethodGet, c.gateway(), q.prefix, nil, true)
	body := struct {
		Pending *int `json:"pending"`
	}{}
	if status != http.StatusOK || json.Unmarshal(data, &body) != nil || body.Pending == nil {
		return -1
	}
	return *body.Pending
}

// waitReady waits until the gateway says that it is ready.
func (c *callers) waitReady() error {
	address := at(c.deployment.gateways[0].ip, c.deployment.ports.ready)
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(200 * time.Millisecond) {
		if status, _ := c.send(http.MethodGet, address, "/v1/readyz", nil, false); status == http.StatusOK {
			return nil
		}
	}
	return errors.New("the gateway is not ready")
}
