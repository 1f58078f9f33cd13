package main

import (
	"time"
)

const (
	flapPeriod = 1400 * time.Millisecond
	flapTime   = 6500 * time.Millisecond
)

// playFlap: the only executor with a label goes down and up by turns while a job that
// needs it waits or runs there. No run ends as failed, so the job may not fail.
func playFlap(r *record, trouble bool) (bool, error) {
	s, err := startSystem(r, 1)
	defer s.stop()
	if err != nil {
		return false, err
	}
	if err := s.configure([]map[string]any{queue("plans", 1, 3)}); err != nil {
		return false, err
	}
	flapping, err := s.tenExecutors(3 * time.Second)
	if err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	m := newMember(r, s.gateway(0), teamKey)
	path := "/plans/" + jobID(1)
	body := job{Spec: "plan", Steps: []step{{Width: 1, amounts: amounts{CPU: 4000, Memory: 8000, Accelerators: 8}, EstimateMillis: 3000, NeedsLabel: "kind-b"}}}
	if err := m.accepted(path, body); err != nil {
		return false, err
	}
	if trouble {
		if err := flap(flapping); err != nil {
			return false, err
		}
	}
	state := ""
	for limit := time.Now().Add(20 * time.Second); time.Now().Before(limit); time.Sleep(500 * time.Millisecond) {
		if state = m.state(path); state == "completed" || state == "failed" {
			break
		}
	}
	failed := 0
	for _, run := range s.farm.startsOf(jobID(1)) {
		r.say("run %d on %s life %d: %s", run.id.run, run.executor, run.life, run.how)
		if run.how == "failed" {
			failed++
		}
	}
	r.say("the job is shown as %s; %d runs have ended failed, max-attempts is 3", state, failed)
	return state == "failed" && failed < 3, nil
}

// flap lets an executor go down and up by turns, for flapTime in all.
func flap(e *executor) error {
	for end := time.Now().Add(flapTime); time.Now().Before(end); {
		time.Sleep(min(flapPeriod/2, time.Until(end)))
		e.crash()
		time.Sleep(min(flapPeriod/2, time.Until(end)))
		if err := e.up(0, "kind-b", "r1-1"); err != nil {
			return err
		}
	}
	return nil
}
