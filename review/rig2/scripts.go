package main

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"
)

const startLimit = 30 * time.Second

// begin starts the system and a number of executors, each behind a proxy if behind is set,
// and sends the first configuration. labels are more labels of the first executor.
func begin(s *system, executors int, behind bool, labels ...string) (*caller, *history, []*executor, error) {
	if err := s.start(); err != nil {
		return nil, nil, nil, err
	}
	c, h := newCaller(s), newHistory(s.record)
	if err := c.configure(queue{"urgent", 0, 3}, queue{"plain", 1, 3}); err != nil {
		return nil, nil, nil, err
	}
	var all []*executor
	for i := range executors {
		e := newExecutor(s, h, i)
		if i == 0 {
			e = newExecutor(s, h, i, labels...)
		}
		if behind {
			path, err := newProxy(s.ip(standInHost), func() string { return e.address })
			if err != nil {
				return nil, nil, nil, err
			}
			e.path = path
		}
		if err := e.start(); err != nil {
			return nil, nil, nil, err
		}
		all = append(all, e)
	}
	// A first job shows that the whole path works.
	task := taskSpec{MinMillis: 100, MaxMillis: 200, CPU: 1000, Memory: 1000}
	if err := c.submit("plain", jobID(1), task.text(), task.step(1)); err != nil {
		return nil, nil, nil, err
	}
	if state := c.waitEnded("plain", jobID(1), startLimit); state != "completed" {
		return nil, nil, nil, fmt.Errorf("the first job is shown as %q: %w", state, errNotRun)
	}
	time.Sleep(2 * time.Second)
	return c, h, all, nil
}

func jobID(number int) string { return fmt.Sprintf("5c0e7a21d94b%04x", number) }

// waitRunning waits until a number of runs are alive.
func waitRunning(h *history, runs int, limit time.Duration) error {
	for begun := time.Now(); time.Since(begun) < limit; time.Sleep(10 * time.Millisecond) {
		if running, _ := h.count(); running >= runs {
			return nil
		}
	}
	running, _ := h.count()
	return fmt.Errorf("%d of %d tasks run after %v: %w", running, runs, limit, errNotRun)
}

// busiest returns the executor with the most runs.
func busiest(executors []*executor) (*executor, int) {
	var found *executor
	most := -1
	for _, e := range executors {
		e.mu.Lock()
		if e.life != nil && len(e.life.running) > most {
			found, most = e, len(e.life.running)
		}
		e.mu.Unlock()
	}
	return found, most
}

// runEnds lets one executor be cut off for a short time in which more than 500 of its
// tasks end, so that it lists their ends in more than one response.
func runEnds(s *system, trouble bool) ([]string, error) {
	const tasks, cut = 1500, 1700 * time.Millisecond
	c, h, executors, err := begin(s, 6, true)
	if err != nil {
		return nil, err
	}
	task := taskSpec{MinMillis: 5000, MaxMillis: 6000, CPU: 40, Memory: 60}
	if err := c.submit("plain", jobID(2), task.text(), task.step(tasks)); err != nil {
		return nil, err
	}
	if err := waitRunning(h, tasks, 4*time.Second); err != nil {
		return nil, err
	}
	e, running := busiest(executors)
	s.record.say("%d tasks run on executor %s", running, e.id)
	if trouble {
		h.waitOldest(4600 * time.Millisecond)
		s.record.say("platform: executor %s is cut off", e.id)
		e.path.setCut(true)
		time.Sleep(cut)
		e.path.setCut(false)
		s.record.say("platform: executor %s is reached again after %v", e.id, cut)
	}
	state := c.waitEnded("plain", jobID(2), 30*time.Second)
	_, ends := h.count()
	s.record.say("the job is shown as %q; ends: %v", state, ends)
	time.Sleep(3 * time.Second)
	return h.twice(), nil
}

// waitOldest waits until the oldest live run has run for some time.
func (h *history) waitOldest(age time.Duration) {
	h.mu.Lock()
	oldest := time.Now()
	for _, entry := range h.entries {
		if entry.how == "" && entry.started.Before(oldest) {
			oldest = entry.started
		}
	}
	h.mu.Unlock()
	time.Sleep(time.Until(oldest.Add(age)))
}

// runWriter lets another writer send one heartbeat without the field slots, which names
// the address of an executor.
func runWriter(s *system, trouble bool) ([]string, error) {
	const tasks = 4
	c, h, executors, err := begin(s, 3, false)
	if err != nil {
		return nil, err
	}
	task := taskSpec{MinMillis: 8000, MaxMillis: 8500, CPU: 26000, Memory: 20000, GPU: 2}
	if err := c.submit("plain", jobID(2), task.text(), task.step(tasks)); err != nil {
		return nil, err
	}
	if err := waitRunning(h, tasks, 6*time.Second); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	e, running := busiest(executors)
	s.record.say("%d tasks run on executor %s", running, e.id)
	if trouble {
		body := map[string]any{
			"worker-pool": pool, "address": e.address, "data-center": e.zone, "version": "v1", "state": "ready", "warm-up-ms": 0,
			"capacity": map[string]any{"cpu-milli": e.cpu, "memory-mb": e.memory, "accelerators": e.gpu},
			"labels":   e.labels, "clock-ms": 1000, "sequence": 1, "born": time.Now().UnixMilli(),
		}
		status, answer := put(context.Background(), "http://"+s.control(0)+wire.Instances+"i-0badc0de", body)
		s.record.say("another writer: heartbeat of i-0badc0de without slots, with the address of %s -> %d %s", e.id, status, answer)
	}
	state := c.waitEnded("plain", jobID(2), 40*time.Second)
	_, ends := h.count()
	s.record.say("the job is shown as %q; ends: %v", state, ends)
	return h.twice(), nil
}

// runFlap lets one of ten executors, the only one with a label, go down and up for some
// seconds while it runs a task that needs the label.
func runFlap(s *system, trouble bool) ([]string, error) {
	const period, cycles = 1020 * time.Millisecond, 6
	c, h, executors, err := begin(s, 10, false, "lidar")
	if err != nil {
		return nil, err
	}
	task := taskSpec{MinMillis: 6000, MaxMillis: 6100, CPU: 26000, Memory: 20000, GPU: 2}
	step := task.step(1)
	step["needs-label"] = "lidar"
	if err := c.submit("plain", jobID(2), task.text(), step); err != nil {
		return nil, err
	}
	if err := waitRunning(h, 1, 6*time.Second); err != nil {
		return nil, err
	}
	time.Sleep(time.Second)
	if trouble {
		for range cycles {
			executors[0].crash()
			time.Sleep(period / 2)
			if err := executors[0].start(); err != nil {
				return nil, err
			}
			time.Sleep(period / 2)
		}
	}
	state := c.waitEnded("plain", jobID(2), 45*time.Second)
	_, ends := h.count()
	s.record.say("the job is shown as %q; ends: %v", state, ends)
	if state == "completed" {
		return nil, nil
	}
	return []string{fmt.Sprintf("the job is shown as %q, and %d of its runs have ended failed; %v", state, ends["failed"], slices.Sorted(maps.Keys(ends)))}, nil
}
