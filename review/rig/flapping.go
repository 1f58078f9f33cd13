package main

import (
	"errors"
	"fmt"
	"time"
)

const (
	flapPeriod = 960 * time.Millisecond
	flapTime   = 7100 * time.Millisecond
)

// playFlapping hands in a job whose only task lasts and which only one of ten executors
// can run. That executor then goes down and up by turns for a while. No run ever ends as
// failed, and afterwards the executor stays up.
func playFlapping(g *rig) error {
	q := queue{name: "r-plan", prefix: "/plan/", priority: 1, maxAttempts: 4}
	if err := g.callers.configure(q); err != nil {
		return err
	}
	for range 9 {
		if _, err := g.addExecutor("a", "r1-1"); err != nil {
			return err
		}
	}
	only, err := g.addExecutor("b", "r1-2")
	if err != nil {
		return err
	}
	if err := g.callers.waitReady(); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	const id = "5c0e7a21d94b36f8"
	task := id + ".0.0.0"
	if !g.callers.submit(q, id, 0, step{Width: 1, CPU: 4000, Memory: 1024, Accelerators: 2, Label: "b", LongRunning: true, MayMiss: 1}) {
		return errors.New("the job was not accepted")
	}
	if !wait(10*time.Second, func() bool { begun, _ := only.counts(task, ""); return begun > 0 }) {
		return errors.New("the job was not begun")
	}
	if g.trouble {
		if err := flap(only); err != nil {
			return err
		}
	}
	return g.watchLasting(q, id, only)
}

// restartTime is how long after its last run a task that lasts may have nothing running.
const restartTime = 6*time.Second + idleTime

// watchLasting watches whether a job whose only task lasts is at work again in time.
func (g *rig) watchLasting(q queue, id string, only *executor) error {
	task := id + ".0.0.0"
	time.Sleep(restartTime + 2*time.Second)
	state := ""
	wait(5*time.Second, func() bool { state = g.callers.state(q, id); return state != "" })
	begun, failed := only.counts(task, "failed")
	runs := only.runs(task)
	g.record.add("the job is shown as %q; its task was begun %d times, %d runs ended as failed; it runs now: %v", state, begun, failed, runs)
	switch {
	case state == "failed" || state == "cancelled" || state == "completed":
		return fmt.Errorf("%w: the job, which lasts and which nobody has cancelled, is shown as %s, though %d of its runs ended as failed; it runs now: %v", errBroken, state, failed, runs)
	case state == "":
		return errors.New("the state of the job could not be read")
	case !runs:
		return fmt.Errorf("%w: the job lasts, is shown as %s and has had nothing running for %v, on an idle executor", errBroken, state, restartTime+2*time.Second)
	}
	return nil
}

// flap lets an executor go down and up by turns.
func flap(e *executor) error {
	for end := time.Now().Add(flapTime); time.Now().Before(end); {
		e.crash()
		time.Sleep(flapPeriod / 2)
		if err := e.up(); err != nil {
			return err
		}
		time.Sleep(flapPeriod / 2)
	}
	return nil
}
