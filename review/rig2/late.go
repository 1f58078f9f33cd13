package main

import (
	"strings"
	"sync/atomic"
	"time"
)

const (
	// lateBy is how long after its arrival the order is carried out; cutTime is the length
	// of each of the two cuts.
	lateBy  = 9 * time.Second
	cutTime = 6 * time.Second
	// uptime is how long the executors have run before the order.
	uptime = 25 * time.Second
)

// runLate leaves one order of some twenty unanswered, and carries it out late. Its executor
// is cut off twice in a row, crashes behind the cut and starts again under its id.
func runLate(s *system, trouble bool) ([]string, error) {
	c, h, executors, err := begin(s, 6, true)
	if err != nil {
		return nil, err
	}
	small := taskSpec{MinMillis: 300, MaxMillis: 400, CPU: 1000, Memory: 1000}
	if err := c.submit("plain", jobID(3), small.text(), small.step(20)); err != nil {
		return nil, err
	}
	time.Sleep(uptime)
	if trouble {
		var taken atomic.Bool
		for _, e := range executors {
			e.intercept = func(e *executor, o order) bool {
				if !strings.HasPrefix(o.Task, jobID(2)) || !taken.CompareAndSwap(false, true) {
					return false
				}
				s.record.say("executor %s: leaves the start of %s run %d unanswered", e.id, o.Task, o.Run)
				go e.cutTwice(s)
				time.AfterFunc(lateBy, func() { e.carryOutLate(s, o) })
				return true
			}
		}
	}
	task := taskSpec{MinMillis: 14000, MaxMillis: 14001, CPU: 26000, Memory: 20000, GPU: 2}
	if err := c.submit("plain", jobID(2), task.text(), task.step(1)); err != nil {
		return nil, err
	}
	state := c.waitEnded("plain", jobID(2), 45*time.Second)
	_, ends := h.count()
	s.record.say("the job is shown as %q; ends: %v", state, ends)
	return h.twice(), nil
}

// cutTwice cuts the executor off, twice in a row. Behind the first cut it crashes and
// starts again.
func (e *executor) cutTwice(s *system) {
	e.path.setCut(true)
	s.record.say("platform: executor %s is cut off", e.id)
	e.crash()
	time.Sleep(time.Second)
	if err := e.start(); err != nil {
		s.record.say("%v", err)
	}
	time.Sleep(cutTime - time.Second)
	s.record.say("platform: the cut of executor %s ends, and the next begins", e.id)
	time.Sleep(cutTime)
	e.path.setCut(false)
	s.record.say("platform: executor %s is reached again", e.id)
}

// carryOutLate carries out an order in the present life.
func (e *executor) carryOutLate(s *system, o order) {
	e.mu.Lock()
	defer e.mu.Unlock()
	status, answer := e.startRun(e.life, o)
	s.record.say("executor %s: carries out the start of %s run %d late -> %d %v", e.id, o.Task, o.Run, status, answer["reason"])
}
