package main

import (
	"errors"
	"fmt"
	"time"
)

// playPoison hands in urgent jobs of one service, one of which can never be done, since no
// executor has the label that it needs. Then ordinary work fills the three executors of
// that service. The only executor of the other service is idle, and an ordinary job of that
// service is handed in.
func playPoison(g *rig) error {
	urgent := queue{name: "r-urgent", prefix: "/urgent/", priority: 0, maxAttempts: 4}
	busy := queue{name: "r-busy", prefix: "/busy/", priority: 2, maxAttempts: 4}
	idle := queue{name: "r-idle", prefix: "/idle/", priority: 2, maxAttempts: 4, pool: otherPool}
	if err := g.callers.configure(urgent, busy, idle); err != nil {
		return err
	}
	for i := range 4 {
		e := g.newExecutor("a", "r1-1")
		if i == 3 {
			e.pool = otherPool
		}
		if err := e.up(); err != nil {
			return err
		}
	}
	if err := g.callers.waitReady(); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	const id, filling = "5c0e7a21d94b36f8", "00000000000000a1"
	if err := g.sendUrgent(urgent); err != nil {
		return err
	}
	if !g.callers.submit(busy, filling, 100000, step{Width: 3, CPU: 4000, Memory: 1024, Accelerators: 8}) {
		return errors.New("the first job was not accepted")
	}
	if !wait(10*time.Second, func() bool { return g.executors[0].working() && g.executors[1].working() && g.executors[2].working() }) {
		return errors.New("the first job has not begun")
	}
	time.Sleep(time.Second)
	if !g.callers.submit(idle, id, 1000, step{Width: 1, CPU: 4000, Memory: 1024, Accelerators: 2}) {
		return errors.New("the job was not accepted")
	}
	const limit = finishTime + idleTime + 3*time.Second
	only := g.executors[3]
	if wait(limit, func() bool { begun, _ := only.counts(id+".0.0.0", ""); return begun > 0 }) {
		if !wait(10*time.Second, func() bool { return g.callers.state(idle, id) == "completed" }) {
			return errors.New("the job began and was not completed")
		}
		return nil
	}
	state := g.callers.state(idle, id)
	if state == "" {
		return errors.New("the state of the job could not be read")
	}
	return fmt.Errorf("%w: %v after its acceptance the job is %q and has nothing running, though all of its service is idle, with room for it four times", errBroken, limit, state)
}

// The dose of the disruption: one of twenty messages, a share of 0.05, within 3 s.
const (
	urgentJobs = 20
	urgentTime = 3 * time.Second
)

// sendUrgent hands in short urgent jobs. One of them can never be done, unless there is no
// trouble. It waits until the others are completed.
func (g *rig) sendUrgent(q queue) error {
	begun := time.Now()
	for i := range urgentJobs {
		small := step{Width: 1, CPU: 500, Memory: 256, Accelerators: 1}
		if i == urgentJobs/2 && g.trouble {
			small.Accelerators, small.Label = 8, "z"
		}
		if !g.callers.submit(q, urgentID(i), 100, small) {
			return errors.New("an urgent job was not accepted")
		}
		time.Sleep(urgentTime / urgentJobs / 2)
	}
	if took := time.Since(begun); took > urgentTime {
		return fmt.Errorf("the urgent jobs took %v to hand in", took)
	}
	completed := func() bool {
		for i := range urgentJobs {
			if !(i == urgentJobs/2 && g.trouble) && g.callers.state(q, urgentID(i)) != "completed" {
				return false
			}
		}
		return true
	}
	if !wait(10*time.Second, completed) {
		return errors.New("the other urgent jobs were not completed")
	}
	return nil
}

func urgentID(number int) string { return fmt.Sprintf("%016x", 0xb000+number) }
