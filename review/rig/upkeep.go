package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// unavailableTime is how long the machine manager is unavailable.
const unavailableTime = 3 * time.Second

// noticeTime is the bound notice_ms of the site.
const noticeTime = 4500 * time.Millisecond

// playUpkeep orders the upkeep of one machine while the machine manager is unavailable
// for a while. The executor on it is empty by then, and a step with tasks that last has
// two tasks waiting, of which one may be unavailable.
func playUpkeep(g *rig) error {
	lasting := queue{name: "r-last", prefix: "/last/", priority: 1, maxAttempts: 4}
	short := queue{name: "r-short", prefix: "/short/", priority: 0, maxAttempts: 4}
	if err := g.callers.configure(lasting, short); err != nil {
		return err
	}
	for range 2 {
		if _, err := g.addExecutor("a", "r1-1"); err != nil {
			return err
		}
	}
	if err := g.callers.waitReady(); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	const id, other = "5c0e7a21d94b36f8", "00000000000000a1"
	if !g.callers.submit(short, other, 6000, step{Width: 1, CPU: 4000, Memory: 1024, Accelerators: 8}) {
		return errors.New("the short job was not accepted")
	}
	time.Sleep(500 * time.Millisecond)
	if !g.callers.submit(lasting, id, 0, step{Width: 3, CPU: 4000, Memory: 1024, Accelerators: 8, LongRunning: true, MayMiss: 1}) {
		return errors.New("the lasting job was not accepted")
	}
	var target *executor
	for _, e := range g.executors {
		if begun, _ := e.counts(other+".0.0.0", ""); begun > 0 {
			target = e
		}
	}
	if target == nil {
		return errors.New("the short job has not begun")
	}
	watch := &awayWatch{rig: g, job: id, width: 3, since: time.Now()}
	g.manager.beforeUpkeep = watch.beforeUpkeep
	time.Sleep(3 * time.Second)
	if g.trouble {
		// The machine's turn has come by then, and its executor still works.
		time.AfterFunc(1500*time.Millisecond, func() { g.manager.setUnavailable(true) })
		time.AfterFunc(1500*time.Millisecond+unavailableTime, func() { g.manager.setUnavailable(false) })
	}
	return g.orderUpkeep(target, watch)
}

// orderUpkeep orders a wave of one machine and waits until the machine was down.
func (g *rig) orderUpkeep(target *executor, watch *awayWatch) error {
	data, err := json.Marshal(map[string]any{"wave": 1, "machines": []string{target.machine()}, "duration-s": 20, "cap": 1})
	if err != nil {
		return err
	}
	accepted := wait(5*time.Second, func() bool {
		status, _ := g.callers.send(http.MethodPost, at(g.deployment.control[0].ip, g.deployment.ports.control), wire["wave"], data, false)
		return status == http.StatusOK
	})
	if !accepted {
		return errors.New("the wave was not accepted")
	}
	if !wait(30*time.Second, watch.seen) {
		return errors.New("the machine was not taken down")
	}
	time.Sleep(500 * time.Millisecond)
	return watch.verdict
}

// awayWatch checks at an upkeep whether it ends a task at work while too many others are
// away. The step tolerates one such task.
type awayWatch struct {
	rig   *rig
	job   string
	width int
	// since is when the job was accepted.
	since time.Time

	mu      sync.Mutex
	done    bool
	verdict error
}

func (a *awayWatch) seen() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.done
}

func (a *awayWatch) beforeUpkeep(target *executor) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.done = true
	atWork, ended := map[string]bool{}, ""
	for _, e := range a.rig.executors {
		e.mu.Lock()
		if e.life != nil {
			for task, run := range e.life.running {
				if !run.atWork() {
					continue
				}
				atWork[task] = true
				if e == target {
					ended = task
				}
			}
		}
		e.mu.Unlock()
	}
	var away []string
	for index := range a.width {
		task := fmt.Sprintf("%s.0.0.%d", a.job, index)
		if !atWork[task] && time.Since(a.since) >= noticeTime {
			away = append(away, task)
		}
	}
	a.rig.record.add("upkeep of %s ends %q, which is at work; never at work for %v: %v", target.machine(), ended, time.Since(a.since), away)
	if ended != "" && len(away) >= 1 {
		a.verdict = fmt.Errorf("%w: the upkeep of %s ended %s, which was at work, while %v had not been at work for %v", errBroken, target.machine(), ended, away, time.Since(a.since))
	}
}
