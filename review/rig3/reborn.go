package main

import (
	"slices"
	"time"
)

// playReborn: an executor crashes and starts again under its id as another kind. Jobs for
// the former kind that come before its first report may not start there.
func playReborn(r *record, trouble bool) (bool, error) {
	s, err := startSystem(r, 1)
	defer s.stop()
	if err != nil {
		return false, err
	}
	if err := s.configure([]map[string]any{queue("plans", 1, 3)}); err != nil {
		return false, err
	}
	reborn, err := s.tenExecutors(time.Second)
	if err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	if trouble {
		reborn.crash()
		time.Sleep(300 * time.Millisecond)
		if err := reborn.up(beatInterval/2, "kind-a", "r1-1"); err != nil {
			return false, err
		}
	}
	m := newMember(r, s.gateway(0), teamKey)
	body := job{Spec: "plan", Steps: []step{{Width: 1, amounts: amounts{CPU: 4000, Memory: 8000, Accelerators: 8}, EstimateMillis: 1000, NeedsLabel: "kind-b"}}}
	wrong := 0
	for i := range 4 {
		if err := m.accepted("/plans/"+jobID(1+i), body); err != nil {
			return false, err
		}
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(3 * time.Second)
	for i := range 4 {
		for _, run := range s.farm.startsOf(jobID(1 + i)) {
			r.say("%s run %d on %s life %d with labels %v", run.id.task, run.id.run, run.executor, run.life, run.labels)
			if !slices.Contains(run.labels, "kind-b") {
				wrong++
			}
		}
	}
	r.say("starts on an executor without the label that the step requires: %d", wrong)
	return wrong > 0, nil
}
