package main

import (
	"errors"
	"fmt"
	"time"
)

// playPoison fills three executors of one service, and hands in an urgent job there that
// can never be done, since no executor has the label that it needs. The only executor of
// the other service is idle. Then an ordinary job of that service is handed in.
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
	const id, filling, hopeless = "5c0e7a21d94b36f8", "00000000000000a1", "00000000000000a2"
	if !g.callers.submit(busy, filling, 100000, step{Width: 3, CPU: 4000, Memory: 1024, Accelerators: 8}) {
		return errors.New("the first job was not accepted")
	}
	if !wait(10*time.Second, func() bool { return g.executors[0].working() && g.executors[1].working() && g.executors[2].working() }) {
		return errors.New("the first job has not begun")
	}
	if g.trouble && !g.callers.submit(urgent, hopeless, 1000, step{Width: 1, CPU: 4000, Memory: 1024, Accelerators: 8, Label: "z"}) {
		return errors.New("the job that can never be done was not accepted")
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
