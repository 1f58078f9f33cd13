package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

const (
	host        = "calls.example"
	key         = "d4a3hwrr6x73d3zji9n7"
	pool        = "pool-a"
	callTimeout = 3 * time.Second
	callTries   = 5
)

// caller is a client of the system, and an operator.
type caller struct {
	record *recorder
	system *system
	client *http.Client
}

func newCaller(s *system) *caller {
	return &caller{record: s.record, system: s, client: &http.Client{Transport: &http.Transport{}}}
}

// call sends one request and returns the status, 0 without a complete response.
func (c *caller) call(method, address, path string, body any, timeout time.Duration) (int, []byte) {
	data, err := json.Marshal(body)
	if err != nil {
		return 0, nil
	}
	var reader io.Reader
	if body != nil {
		reader = bytes.NewReader(data)
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, reader)
	if err != nil {
		return 0, nil
	}
	request.Host = host
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Token "+key)
	request.Header.Set(wire.Deadline, fmt.Sprint(timeout.Milliseconds()))
	response, err := c.client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, answer
}

// operate sends an operator's order to the cores in turn until one acknowledges it.
func (c *caller) operate(method, path string, body any, limit time.Duration) ([]byte, error) {
	for begun, i := time.Now(), 0; time.Since(begun) < limit; i++ {
		status, answer := c.call(method, c.system.control(i%coreCount), path, body, time.Second)
		if status/100 == 2 {
			c.record.note("operator: %s %s -> %d %.200s", method, path, status, answer)
			return answer, nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return nil, fmt.Errorf("%s %s is not acknowledged", method, path)
}

// queue is a queue of the configuration.
type queue struct {
	name        string
	priority    int
	maxAttempts int
}

// configure sends the first configuration.
func (c *caller) configure(queues ...queue) error {
	_, err := c.operate(http.MethodPut, wire.Config, document(7, 3000, queues), 20*time.Second)
	return err
}

// document returns a configuration.
func document(version, timeout int, queues []queue) map[string]any {
	var rows []map[string]any
	for _, q := range queues {
		rows = append(rows, map[string]any{
			"name": q.name, "host": host, "path-prefix": "/" + q.name + "/", "kind": "non_idempotent", "timeout-ms": timeout,
			"objective-ms": 1000, "priority": q.priority, "worker-pool": pool, "max-attempts": q.maxAttempts, "stretch": 3.0, "open": false,
		})
	}
	return map[string]any{
		"version": version, "queues": rows,
		"pools": []map[string]any{{
			"name": pool, "health-path": "/healthz", "max-connections": 64, "protocol": "h1", "tls": false, "guards-capacity": true, "standby": false,
		}},
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"teams":  []map[string]any{{"name": "kaje80", "keys": []string{key}, "priority": 1, "guarantee": map[string]any{}}},
	}
}

var errNotAccepted = errors.New("the job was not accepted")

// submit hands a job in, as a client does: it sends the same again after no response, a
// 502 or a 504, and later after a 429 or 503.
func (c *caller) submit(queue, id, spec string, steps ...map[string]any) error {
	for range callTries {
		body := map[string]any{"spec": spec, "steps": steps}
		status, answer := c.call(http.MethodPost, c.system.calls(), "/"+queue+"/"+id, body, callTimeout)
		c.record.note("client: POST /%s/%s -> %d %s", queue, id, status, answer)
		if status/100 == 2 {
			return nil
		}
		time.Sleep(500 * time.Millisecond)
	}
	return errNotAccepted
}

// state requests the state of a job; it is empty if there is no answer.
func (c *caller) state(queue, id string) string {
	status, answer := c.call(http.MethodGet, c.system.calls(), "/"+queue+"/"+id, nil, callTimeout)
	var body struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal(answer, &body)
	c.record.note("client: GET /%s/%s -> %d %s", queue, id, status, strings.TrimSpace(string(answer)))
	if status == http.StatusGone {
		return "unknown"
	}
	return body.State
}

// waitEnded waits until a job is shown as ended, and returns its last state.
func (c *caller) waitEnded(queue, id string, limit time.Duration) string {
	last := ""
	for begun := time.Now(); time.Since(begun) < limit; {
		last = c.state(queue, id)
		if last == "completed" || last == "failed" || last == "cancelled" {
			return last
		}
		time.Sleep(300 * time.Millisecond)
	}
	return last
}
