package main

import (
	"net/http"
	"strings"
	"time"
)

// playForeign: a writer that is no executor reports itself once from the machine of an
// executor at work, without the fields that tell of an executor's slots, version, labels
// and clock. The executor holds on, so that its task may not run a second time.
func playForeign(r *record, trouble bool) (bool, error) {
	s, err := startSystem(r, 1)
	defer s.stop()
	if err != nil {
		return false, err
	}
	if err := s.configure([]map[string]any{queue("plans", 1, 3)}); err != nil {
		return false, err
	}
	if _, err := s.tenExecutors(12 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	m := newMember(r, s.gateway(0), teamKey)
	path := "/plans/" + jobID(1)
	body := job{Spec: "plan", Steps: []step{{Width: 1, amounts: amounts{CPU: 4000, Memory: 8000, Accelerators: 8}, EstimateMillis: 12000, NeedsLabel: "kind-a"}}}
	if err := m.accepted(path, body); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	runs := s.farm.startsOf(jobID(1))
	if trouble && len(runs) > 0 {
		s.reportAsAgent(runs[0].executor)
	}
	for limit := time.Now().Add(20 * time.Second); time.Now().Before(limit) && m.state(path) != "completed"; {
		time.Sleep(500 * time.Millisecond)
	}
	runs = s.farm.startsOf(jobID(1))
	overlapping := 0
	for i := range runs {
		r.say("run %d on %s from %.3f to %.3f s: %s", runs[i].id.run, runs[i].executor, runs[i].at.Sub(r.began).Seconds(), runs[i].ended.Sub(r.began).Seconds(), runs[i].how)
		if i > 0 && runs[i].at.Before(runs[i-1].ended) {
			overlapping++
		}
	}
	r.say("runs of the one task that began while another one ran: %d", overlapping)
	return overlapping > 0, nil
}

// reportAsAgent sends the report of another writer on an executor's machine.
func (s *system) reportAsAgent(id string) {
	for _, e := range s.executors {
		if e.id != id {
			continue
		}
		host, _, _ := strings.Cut(e.address, ":")
		body := map[string]any{
			"worker-pool": pool, "address": host + ":9100", "data-center": "zone-1", "state": "ready", "capacity": e.capacity,
			"sequence": 1, "born": time.Now().UnixMilli(), "machine": e.machine,
		}
		status, answer, err := call(&http.Client{Timeout: beatTimeout}, http.MethodPut, "http://"+s.farm.control[0]+wire.Instances+"agent-7", nil, body)
		s.record.note("another writer reports itself from %s: status %d, %s, error %v", e.machine, status, answer, err)
	}
}
