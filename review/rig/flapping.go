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

// playFlapping hands in a job that only one of ten executors can run, which then goes
// down and up by turns for a while. No run of the job ever ends as failed.
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
	if !g.callers.submit(q, id, 8000, step{Width: 1, CPU: 4000, Memory: 1024, Accelerators: 2, Label: "b"}) {
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
	last := ""
	wait(30*time.Second, func() bool {
		time.Sleep(450 * time.Millisecond)
		last = g.callers.state(q, id)
		return last == "completed" || last == "failed" || last == "cancelled"
	})
	begun, failed := only.counts(task, "failed")
	_, done := only.counts(task, "done")
	g.record.add("the job is shown as %q; its task was begun %d times, %d runs ended as failed and %d as done", last, begun, failed, done)
	switch {
	case last == "failed" && failed < q.maxAttempts, last == "cancelled":
		return fmt.Errorf("%w: the job is shown as %s, though %d of its runs ended as failed and %d are allowed", errBroken, last, failed, q.maxAttempts)
	case last == "completed":
		return nil
	}
	return fmt.Errorf("the job is still shown as %q", last)
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
