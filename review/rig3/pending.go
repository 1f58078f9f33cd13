package main

import (
	"time"
)

const (
	hangTime = 5500 * time.Millisecond
	// settledTime is the time from a job's acceptance from which the count has to be right:
	// visible_ms and two seconds.
	settledTime = 5 * time.Second
)

// playPending: the executor that a job needs lets all requests hang for some seconds, and
// then runs more urgent work. The job has not begun meanwhile, so it is pending.
func playPending(r *record, trouble bool) (bool, error) {
	s, err := startSystem(r, 2)
	defer s.stop()
	if err != nil {
		return false, err
	}
	if err := s.configure([]map[string]any{queue("plans", 1, 3), queue("urgent", 0, 3)}); err != nil {
		return false, err
	}
	grey, err := s.tenExecutors(30 * time.Second)
	if err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	m := newMember(r, s.gateway(0), teamKey)
	body := job{Spec: "plan", Steps: []step{{Width: 1, amounts: amounts{CPU: 4000, Memory: 8000, Accelerators: 8}, EstimateMillis: 30000, NeedsLabel: "kind-b"}}}
	if trouble {
		r.note("%s lets requests hang", grey.id)
		grey.hanging.Store(true)
		time.AfterFunc(hangTime, func() {
			r.note("%s answers again", grey.id)
			grey.hanging.Store(false)
		})
	}
	plan, urgent := jobID(1), jobID(2)
	if err := m.accepted("/plans/"+plan, body); err != nil {
		return false, err
	}
	accepted := time.Now()
	time.Sleep(3 * time.Second)
	if err := m.accepted("/urgent/"+urgent, body); err != nil {
		return false, err
	}
	wrong := s.countWrongReads(m, plan, accepted)
	r.say("reads of the count that leave out the job, more than %v after its acceptance and before its first start: %d", settledTime, wrong)
	return wrong > 0, nil
}

// countWrongReads reads the pending jobs at both gateways for 15 seconds and counts the
// reads that leave out a job which has not begun.
func (s *system) countWrongReads(m *member, plan string, accepted time.Time) int {
	other := newMember(m.record, s.gateway(1), teamKey)
	wrong := 0
	for limit := time.Now().Add(15 * time.Second); time.Now().Before(limit); time.Sleep(500 * time.Millisecond) {
		for _, client := range []*member{m, other} {
			sent := time.Now()
			pending := client.pending("/plans/")
			begun := len(s.farm.startsOf(plan)) > 0
			if sent.Sub(accepted) > settledTime && !begun && pending == 0 {
				wrong++
			}
		}
	}
	m.state("/plans/" + plan)
	return wrong
}

// tenExecutors starts ten executors with room for one task each. The first one, which is
// returned, has a label of its own.
func (s *system) tenExecutors(work time.Duration) (*executor, error) {
	for i := range 10 {
		e, err := s.addExecutor("i-"+string(rune('0'+i)), 1, func(string) time.Duration { return work })
		if err != nil {
			return nil, err
		}
		label := "kind-a"
		if i == 0 {
			label = "kind-b"
		}
		if err := e.up(0, label, "r1-1"); err != nil {
			return nil, err
		}
	}
	return s.executors[0], nil
}
