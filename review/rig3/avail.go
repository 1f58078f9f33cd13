package main

import (
	"strings"
	"time"
)

const (
	// noticeTime is notice_ms.
	noticeTime = 4500 * time.Millisecond
	mayMiss    = 1
)

// playAvail: two tasks that last, of which one may be away. The executor of one is lost for
// good. When that task has been away for longer than noticeTime, urgent work comes, and the
// other task may not be stopped for it.
func playAvail(r *record, trouble bool) (bool, error) {
	s, err := startSystem(r, 1)
	defer s.stop()
	if err != nil {
		return false, err
	}
	s.guarantee = 2 * accelerators
	if err := s.configure([]map[string]any{queue("services", 1, 3), queue("urgent", 0, 3)}); err != nil {
		return false, err
	}
	for i := range 10 {
		e, err := s.addExecutor("i-"+string(rune('0'+i)), 1, func(spec string) time.Duration {
			if strings.HasPrefix(spec, "lasting") {
				return 0
			}
			return 6 * time.Second
		})
		if err != nil {
			return false, err
		}
		label := "kind-a"
		if i < 2 {
			label = "kind-b"
		}
		if err := e.up(0, label, "r1-1"); err != nil {
			return false, err
		}
	}
	time.Sleep(2 * time.Second)
	m := newMember(r, s.gateway(0), teamKey)
	lasting, urgent := jobID(1), jobID(2)
	need := amounts{CPU: 4000, Memory: 8000, Accelerators: accelerators}
	if err := m.accepted("/services/"+lasting, job{Spec: "lasting", Steps: []step{{Width: 2, amounts: need, NeedsLabel: "kind-b", LongRunning: true, MayMiss: mayMiss}}}); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second)
	if trouble {
		s.loseAfterHold(s.executors[0])
	}
	time.Sleep(noticeTime + 200*time.Millisecond)
	if err := m.accepted("/urgent/"+urgent, job{Spec: "urgent", Steps: []step{{Width: 1, amounts: need, EstimateMillis: 6000, NeedsLabel: "kind-b"}}}); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	return s.judgeStops(r, lasting), nil
}

// loseAfterHold lets an executor crash for good soon after a hold has arrived.
func (s *system) loseAfterHold(e *executor) {
	for time.Since(time.Unix(0, e.heldAt.Load())) > 50*time.Millisecond {
		time.Sleep(5 * time.Millisecond)
	}
	e.crash()
}

// judgeStops reports whether a task of a job was stopped while so many others had been away
// for noticeTime as may be missed.
func (s *system) judgeStops(r *record, lasting string) bool {
	runs := s.farm.startsOf(lasting)
	broken := false
	for _, run := range runs {
		r.say("%s run %d on %s from %.3f s, ended at %.3f s: %s", run.id.task, run.id.run, run.executor, run.at.Sub(r.began).Seconds(), run.ended.Sub(r.began).Seconds(), run.how)
		if run.how != "stopped" {
			continue
		}
		ordered := run.ended.Add(-stopTime)
		away := 0
		for index := range 2 {
			task := lasting + ".0.0." + string(rune('0'+index))
			if task != run.id.task && awaySince(runs, task, ordered) >= noticeTime {
				away++
			}
		}
		r.say("when it was ordered to stop, %d other tasks of its step had been away for %v or longer; %d may be", away, noticeTime, mayMiss)
		broken = broken || away >= mayMiss
	}
	return broken
}

// awaySince returns how long a task has not been running at a time.
func awaySince(runs []started, task string, at time.Time) time.Duration {
	away := time.Duration(-1)
	for _, run := range runs {
		if run.id.task != task || run.at.After(at) {
			continue
		}
		if run.ended.IsZero() || run.ended.After(at) {
			return 0
		}
		if since := at.Sub(run.ended); away < 0 || since < away {
			away = since
		}
	}
	return away
}
