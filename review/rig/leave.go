package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"
)

// cutTime is how long the path between the executor and one control node is lost.
const cutTime = 4500 * time.Millisecond

// playLeave lets the only executor of a service, one of five executors, leave as planned and start again under
// its id. The path from it to the control node that leads is lost just before it says
// that it leaves, so that this arrives only after it has started again and that has been
// acknowledged by another node.
func playLeave(g *rig) error {
	q := queue{name: "r-plan", prefix: "/plan/", priority: 1, maxAttempts: 4}
	if err := g.callers.configure(q); err != nil {
		return err
	}
	if err := g.callers.waitReady(); err != nil {
		return err
	}
	leader := g.leader()
	if leader == nil {
		return errors.New("no control node leads")
	}
	only, path, err := g.addExecutorBehind(leader)
	if err != nil {
		return err
	}
	for range 4 {
		other := g.newExecutor("a", "r1-2")
		other.pool = otherPool
		if err := other.up(); err != nil {
			return err
		}
	}
	time.Sleep(2 * time.Second)
	if err := g.runOne(q, "00000000000000a1"); err != nil {
		return fmt.Errorf("before the executor leaves: %w", err)
	}
	if err := leaveAndReturn(g, only, path); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	return g.watchWaiting(q, only)
}

// addExecutorBehind adds an executor whose reports go to the given node over a link, as
// long as that node answers.
func (g *rig) addExecutorBehind(preferred *node) (*executor, *link, error) {
	e := g.newExecutor("a", "r1-1")
	path, err := newLink(at(g.address(4, 1), g.deployment.ports.control), at(preferred.ip, g.deployment.ports.control))
	if err != nil {
		return nil, nil, err
	}
	e.reportOrder = []string{path.listener.Addr().String()}
	for _, n := range g.deployment.control {
		if n != preferred {
			e.reportOrder = append(e.reportOrder, at(n.ip, g.deployment.ports.control))
		}
	}
	return e, path, e.up()
}

// leader returns the control node that says that it leads.
func (g *rig) leader() *node {
	for _, n := range g.deployment.control {
		_, data := g.callers.send(http.MethodGet, at(n.ip, g.deployment.ports.internal), "/status", nil, false)
		var status struct {
			Rules bool `json:"rules"`
		}
		if json.Unmarshal(data, &status) == nil && status.Rules {
			return n
		}
	}
	return nil
}

// runOne hands a short job in and waits until it is completed.
func (g *rig) runOne(q queue, id string) error {
	if !g.callers.submit(q, id, 300, step{Width: 1, CPU: 500, Memory: 256, Accelerators: 1}) {
		return errors.New("the job was not accepted")
	}
	if !wait(10*time.Second, func() bool { return g.callers.state(q, id) == "completed" }) {
		return errors.New("the job was not completed")
	}
	return nil
}

func leaveAndReturn(g *rig, e *executor, path *link) error {
	e.setState("draining")
	if !e.report(e.life) {
		return errors.New("the draining executor was not acknowledged")
	}
	time.Sleep(2200 * time.Millisecond)
	if g.trouble {
		g.record.add("the path from %s to the leading node is lost", e.id)
		path.setCut(true)
		time.AfterFunc(cutTime, func() {
			g.record.add("the path is back")
			path.setCut(false)
		})
	}
	answered := e.sendReport(http.MethodDelete, e.reportOrder[0], nil)
	g.record.add("executor %s has said that it leaves, answered %v, and ends", e.id, answered)
	e.crash()
	time.Sleep(500 * time.Millisecond)
	e.setState("ready")
	if err := e.up(); err != nil {
		return err
	}
	if !wait(4*time.Second, func() bool { return e.acknowledged() }) {
		return errors.New("the new incarnation was not acknowledged")
	}
	if g.trouble {
		wait(cutTime+time.Second, func() bool { _, cut := path.state(); return !cut })
	}
	return nil
}

func (e *executor) setState(state string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state = state
	e.record.add("executor %s is %s", e.id, state)
}

// acknowledged reports whether a report of the present incarnation was acknowledged.
func (e *executor) acknowledged() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.life != nil && e.life.acknowledged > 0
}

// finishTime is after how long the site asks for the jobs, and idleTime how long a job
// may have nothing running then while there is capacity.
const (
	finishTime = 14 * time.Second
	idleTime   = 3 * time.Second
)

// watchWaiting hands a job in and watches whether it begins, while the executor is up,
// reports itself as ready, is acknowledged, and runs nothing.
func (g *rig) watchWaiting(q queue, e *executor) error {
	const id = "5c0e7a21d94b36f8"
	if !g.callers.submit(q, id, 300, step{Width: 1, CPU: 500, Memory: 256, Accelerators: 1}) {
		return errors.New("the job was not accepted")
	}
	e.mu.Lock()
	before := e.life.acknowledged
	e.mu.Unlock()
	if wait(finishTime+idleTime+2*time.Second, func() bool { begun, _ := e.counts(id+".0.0.0", ""); return begun > 0 }) {
		if !wait(10*time.Second, func() bool { return g.callers.state(q, id) == "completed" }) {
			return errors.New("the job began and was not completed")
		}
		return nil
	}
	e.mu.Lock()
	reports := e.life.acknowledged - before
	e.mu.Unlock()
	state := g.callers.state(q, id)
	if reports < 5 || state == "" {
		return fmt.Errorf("the job has not begun, with only %d reports acknowledged and the state %q", reports, state)
	}
	return fmt.Errorf("%w: %v after its acceptance the job is %q and has nothing running, though the idle executor was acknowledged as ready %d times since", errBroken, finishTime+idleTime+2*time.Second, state, reports)
}
