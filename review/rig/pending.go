package main

import (
	"errors"
	"fmt"
	"time"
)

// playPending hands in a job while the only free executor refuses starts for a moment,
// and then more urgent work that takes that executor. The first job then waits, and no
// task of it has begun.
func playPending(g *rig) error {
	urgent := queue{name: "r-urgent", prefix: "/urgent/", priority: 0, maxAttempts: 4}
	later := queue{name: "r-later", prefix: "/later/", priority: 2, maxAttempts: 4}
	if err := g.callers.configure(urgent, later); err != nil {
		return err
	}
	for range 10 {
		if _, err := g.addExecutor("a", "r1-1"); err != nil {
			return err
		}
	}
	if err := g.callers.waitReady(); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	whole := step{Width: 1, CPU: 4000, Memory: 1024, Accelerators: 8}
	const long = 60000
	for i := range 9 {
		if !g.callers.submit(urgent, fmt.Sprintf("00000000000000%02x", i), long, whole) {
			return errors.New("a job was not accepted")
		}
	}
	free := g.lastFree(9)
	if free == nil {
		return errors.New("the nine jobs have not begun")
	}
	if g.trouble {
		free.setBusy(true)
	}
	const id = "5c0e7a21d94b36f8"
	const first = "00000000000000ff"
	if !g.trouble && !g.callers.submit(urgent, first, long, whole) {
		return errors.New("the urgent job was not accepted")
	}
	if !g.callers.submit(later, id, 1000, whole) {
		return errors.New("the job was not accepted")
	}
	accepted := time.Now()
	time.Sleep(500 * time.Millisecond)
	if g.trouble && !g.callers.submit(urgent, first, long, whole) {
		return errors.New("the urgent job was not accepted")
	}
	time.Sleep(time.Second)
	if g.trouble {
		free.setBusy(false)
	}
	return g.watchPending(later, id, accepted)
}

// lastFree waits until the given number of executors have begun a task and returns the
// one that has none.
func (g *rig) lastFree(working int) *executor {
	var free *executor
	wait(10*time.Second, func() bool {
		count := 0
		for _, e := range g.executors {
			if e.working() {
				count++
			} else {
				free = e
			}
		}
		return count == working
	})
	return free
}

func (e *executor) working() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.life != nil && len(e.life.running) > 0
}

// visible is how long after the acknowledgement of a job the number of pending jobs has
// to count it: the bound visible_ms of the site, and 2 s.
const visible = 5 * time.Second

// watchPending asks for the number of pending jobs of a queue while its only job has not
// begun.
func (g *rig) watchPending(q queue, id string, accepted time.Time) error {
	time.Sleep(visible + 500*time.Millisecond - time.Since(accepted))
	wrong, asked := 0, 0
	for range 20 {
		pending := g.callers.pending(q)
		begun := 0
		for _, e := range g.executors {
			count, _ := e.counts(id+".0.0.0", "")
			begun += count
		}
		if begun > 0 {
			return errors.New("the job has begun")
		}
		if pending >= 0 {
			asked++
		}
		if pending == 0 {
			wrong++
		}
		time.Sleep(300 * time.Millisecond)
	}
	g.record.add("of %d answers, %d said that no job is pending; the job is shown as %q", asked, wrong, g.callers.state(q, id))
	switch {
	case asked == 0:
		return errors.New("no number of pending jobs was given")
	case wrong > 0:
		return fmt.Errorf("%w: %d of %d answers said that 0 jobs are pending, though one was accepted more than %v before and has not begun", errBroken, wrong, asked, visible)
	}
	return nil
}
