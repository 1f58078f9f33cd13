package main

import (
	"encoding/json"
	"io"
	"net/http"
	"time"
)

// order is the body of a call to an executor.
type order struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline-ms"`
	Token    uint64 `json:"fencing-token"`
	Acked    int    `json:"ack-sequence"`
	Wait     int64  `json:"wait-ms"`
}

// serve answers a call to an executor.
func (e *executor) serve(life *executorLife, w http.ResponseWriter, r *http.Request, handle func(*executorLife, *http.Request, order) (int, map[string]any)) {
	var o order
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	status, answer := http.StatusBadRequest, map[string]any{}
	switch expected := r.Header.Get(wire.Expect); {
	case expected != "" && expected != e.id:
		status = http.StatusMisdirectedRequest
	case json.Unmarshal(data, &o) == nil:
		status, answer = handle(life, r, o)
	}
	answer["clock-ms"], answer["born"] = life.clock(), life.born
	encoded, err := json.Marshal(answer)
	if err != nil {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(encoded)
}

// obeys notes the token of an order and reports whether it is to be obeyed. The caller
// holds mu.
func (l *executorLife) obeys(o order) bool {
	if o.Token < l.token {
		return false
	}
	l.token = o.Token
	return true
}

func refusal(reason string) (int, map[string]any) {
	return http.StatusConflict, map[string]any{"reason": reason}
}

func (e *executor) handleStart(life *executorLife, r *http.Request, o order) (int, map[string]any) {
	if e.intercept != nil && e.intercept(e, o) {
		<-r.Context().Done()
		return http.StatusServiceUnavailable, map[string]any{}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	status, answer := e.startRun(life, o)
	e.record.note("executor %s: start of %s run %d, token %d -> %d %v", e.id, o.Task, o.Run, o.Token, status, answer["reason"])
	return status, answer
}

// startRun carries out a start. The caller holds mu.
func (e *executor) startRun(life *executorLife, o order) (int, map[string]any) {
	if e.life != life {
		return http.StatusServiceUnavailable, map[string]any{}
	}
	if !life.obeys(o) {
		return refusal("fence")
	}
	known := life.running[o.Task]
	switch {
	case o.Deadline < life.clock():
		return refusal("late")
	case known != nil && known.key.run == o.Run:
		return http.StatusOK, map[string]any{}
	case o.Run <= life.highest[o.Task] || known != nil && o.Run < known.key.run:
		life.extend(o.Deadline)
		return refusal("old")
	}
	task := taskOf(o.Spec)
	if !e.hasRoom(life, task) {
		life.extend(o.Deadline)
		return refusal("room")
	}
	run := &liveRun{key: runKey{o.Task, o.Run}, started: time.Now(), lasts: task.duration()}
	run.timer = time.AfterFunc(run.lasts, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.life == life {
			e.endRun(life, run, "done")
		}
	})
	life.running[o.Task] = run
	life.extend(o.Deadline)
	e.history.start(e.id, run.key)
	return http.StatusOK, map[string]any{}
}

// hasRoom reports whether one more task fits. All tasks of a case need the same.
func (e *executor) hasRoom(life *executorLife, task taskSpec) bool {
	count := len(life.running) + 1
	return count*task.CPU <= e.cpu && count*task.Memory <= e.memory && count*task.GPU <= e.gpu
}

func (e *executor) handleStop(life *executorLife, _ *http.Request, o order) (int, map[string]any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.record.note("executor %s: stop of %s run %d, token %d", e.id, o.Task, o.Run, o.Token)
	if !life.obeys(o) {
		return refusal("fence")
	}
	life.highest[o.Task] = max(life.highest[o.Task], o.Run)
	if run := life.running[o.Task]; run != nil && run.key.run == o.Run {
		time.AfterFunc(stopTime, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			if e.life == life {
				e.endRun(life, run, "stopped")
			}
		})
	}
	return http.StatusOK, map[string]any{}
}

func (e *executor) handlePace(life *executorLife, _ *http.Request, o order) (int, map[string]any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !life.obeys(o) {
		return refusal("fence")
	}
	return http.StatusOK, map[string]any{}
}

// handleHold renews the lease, forgets acknowledged ends, and waits for an end if none is
// listed.
func (e *executor) handleHold(life *executorLife, r *http.Request, o order) (int, map[string]any) {
	e.mu.Lock()
	if !life.obeys(o) {
		e.mu.Unlock()
		return refusal("fence")
	}
	e.acknowledge(life, o.Acked)
	if o.Deadline > 0 {
		life.extend(o.Deadline)
	}
	if changed := life.changed; len(life.ends) == 0 && o.Wait > 0 {
		e.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(min(o.Wait, 2000)) * time.Millisecond):
		case <-r.Context().Done():
		}
		e.mu.Lock()
	}
	defer e.mu.Unlock()
	running, ended := [][]any{}, [][]any{}
	for _, run := range life.running {
		percent := min(99, int(100*time.Since(run.started)/run.lasts))
		running = append(running, []any{run.key.task, run.key.run, "", percent, 10})
	}
	for _, end := range life.ends[:min(len(life.ends), maxEnds)] {
		ended = append(ended, []any{end.number, end.key.task, end.key.run, end.how, ""})
	}
	if len(ended) > 0 {
		e.record.note("executor %s: answers a hold (ack %d, token %d) with %d running, %d of %d ends", e.id, o.Acked, o.Token, len(running), len(ended), len(life.ends))
	}
	return http.StatusOK, map[string]any{"running": running, "ended": ended}
}
