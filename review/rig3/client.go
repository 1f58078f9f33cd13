package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// call sends a body as JSON and returns the status and the body of the response.
func call(client *http.Client, method, url string, header http.Header, body any) (int, []byte, error) {
	var payload io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return 0, nil, fmt.Errorf("encode: %w", err)
		}
		payload = bytes.NewReader(data)
	}
	request, err := http.NewRequest(method, url, payload)
	if err != nil {
		return 0, nil, fmt.Errorf("build a request: %w", err)
	}
	for name, values := range header {
		if name == "Host" {
			request.Host = values[0]
			continue
		}
		request.Header[name] = values
	}
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil, fmt.Errorf("call: %w", err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil, fmt.Errorf("read a response: %w", err)
	}
	return response.StatusCode, data, nil
}

const (
	host           = "queues.example"
	memberDeadline = 3 * time.Second
)

// member is a client of the tenants.
type member struct {
	record  *record
	gateway string
	key     string
	client  *http.Client
}

func newMember(r *record, gateway, key string) *member {
	return &member{record: r, gateway: gateway, key: key, client: &http.Client{
		Timeout: memberDeadline + 500*time.Millisecond, Transport: &http.Transport{MaxIdleConnsPerHost: 200},
	}}
}

// do sends a call about a path and records it.
func (m *member) do(method, path string, body any) (int, []byte) {
	header := http.Header{
		"Host": {host}, "Authorization": {wire.Scheme + m.key},
		wire.Deadline: {strconv.FormatInt(memberDeadline.Milliseconds(), 10)},
	}
	sent := time.Now()
	status, answer, err := call(m.client, method, "http://"+m.gateway+path, header, body)
	m.record.note("client: %s %s: status %d after %d ms, %s, error %v", method, path, status, time.Since(sent).Milliseconds(), bytes.TrimSpace(answer), err)
	return status, answer
}

// state returns the state of a job, or the status if there is none.
func (m *member) state(path string) string {
	status, answer := m.do(http.MethodGet, path, nil)
	var body struct {
		State string `json:"state"`
	}
	if status != http.StatusOK || json.Unmarshal(answer, &body) != nil {
		return strconv.Itoa(status)
	}
	return body.State
}

// pending returns the pending jobs of a queue, or -1 without an answer.
func (m *member) pending(prefix string) int {
	status, answer := m.do(http.MethodGet, prefix, nil)
	var body struct {
		Pending int `json:"pending"`
	}
	if status != http.StatusOK || json.Unmarshal(answer, &body) != nil {
		return -1
	}
	return body.Pending
}

// accepted submits a job until it is accepted, for at most ten seconds.
func (m *member) accepted(path string, body job) error {
	for limit := time.Now().Add(10 * time.Second); time.Now().Before(limit); time.Sleep(200 * time.Millisecond) {
		if status, _ := m.do(http.MethodPost, path, body); status == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("the job %s was not accepted", path)
}

// jobID returns the id of a job by its number.
func jobID(number int) string { return fmt.Sprintf("%016x", number) }
