package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	beatInterval = 1500 * time.Millisecond
	beatTimeout  = time.Second
	holdMax      = 6000
	stopTime     = 200 * time.Millisecond
	// startupTime is how long a task that lasts takes until it is at work.
	startupTime = 300 * time.Millisecond
	// accelerators are taken by every task: the stand-ins know no jobs.
	accelerators = 8
)

// runID names a run of a task.
type runID struct {
	task string
	run  int
}

// started is a start that an executor has carried out.
type started struct {
	at       time.Time
	executor string
	life     int
	labels   []string
	id       runID
	spec     string
	// ended is when the run was over, zero while it is alive, and how says how.
	ended time.Time
	how   string
}

// farm holds the executors of a run and what they have carried out.
type farm struct {
	record  *record
	control []string
	pool    string

	mu      sync.Mutex
	history []*started
}

// startsOf returns copies of the starts of a job's tasks.
func (f *farm) startsOf(job string) []started {
	f.mu.Lock()
	defer f.mu.Unlock()
	var found []started
	for _, s := range f.history {
		if strings.HasPrefix(s.id.task, job+".") {
			found = append(found, *s)
		}
	}
	return found
}

// executor is a stand-in for an executor: one address, and one life at a time.
type executor struct {
	farm     *farm
	id       string
	address  string
	machine  string
	capacity amounts
	// work is how long each task of a spec works; 0 says that it lasts.
	work func(spec string) time.Duration
	// heldAt is when the last hold arrived, in nanoseconds since 1970.
	heldAt atomic.Int64
	// hanging lets requests wait without an answer and without an effect.
	hanging atomic.Bool

	mu    sync.Mutex
	life  *life
	lives int
}

// life is one process of an executor. Its fields are guarded by the farm's lock.
type life struct {
	executor *executor
	number   int
	born     time.Time
	labels   []string
	ctx      context.Context
	cancel   context.CancelFunc
	server   *http.Server

	dead     bool
	token    uint64
	deadline int64
	running  map[runID]*started
	highest  map[string]int
	ends     [][]any
	lastEnd  int
	sequence int64
	changed  chan struct{}
}

// up starts a life with the given labels. Its first report is sent after a delay.
func (e *executor) up(delay time.Duration, labels ...string) error {
	listener, err := net.Listen("tcp", e.address)
	if err != nil {
		return fmt.Errorf("listen as executor: %w", err)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lives++
	l := &life{
		executor: e, number: e.lives, born: time.Now(), labels: labels, running: map[runID]*started{}, highest: map[string]int{},
		changed: make(chan struct{}),
	}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	mux := http.NewServeMux()
	mux.HandleFunc(wire.Start, l.handleStart)
	mux.HandleFunc(wire.Stop, l.handleStop)
	mux.HandleFunc(wire.Hold, l.handleHold)
	mux.HandleFunc(wire.Pace, l.handlePace)
	l.server = &http.Server{Handler: l.gate(mux)}
	e.life = l
	e.farm.record.note("%s life %d is up, labels %v", e.id, l.number, labels)
	go func() { _ = l.server.Serve(listener) }()
	go l.beat(delay)
	go l.expire()
	return nil
}

// crash ends the present life: all that it runs is over, and its connections break.
func (e *executor) crash() {
	e.mu.Lock()
	l := e.life
	e.life = nil
	e.mu.Unlock()
	if l == nil {
		return
	}
	f := e.farm
	f.mu.Lock()
	l.dead = true
	for _, s := range l.running {
		s.ended, s.how = time.Now(), "crash"
	}
	f.record.note("%s life %d crashes with %d runs", e.id, l.number, len(l.running))
	f.mu.Unlock()
	l.cancel()
	_ = l.server.Close()
}

// clock returns the life's steady clock in milliseconds.
func (l *life) clock() int64 { return 1 + time.Since(l.born).Milliseconds() }

// gate refuses requests for another executor and holds those of a hanging one.
func (l *life) gate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if l.executor.hanging.Load() {
			l.executor.farm.record.note("%s does not answer %s %s", l.executor.id, r.URL.Path, body)
			select {
			case <-r.Context().Done():
			case <-l.ctx.Done():
			}
			return
		}
		if expected := r.Header.Get(wire.Expect); expected != "" && expected != l.executor.id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		next.ServeHTTP(w, r)
	})
}

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

func (l *life) read(w http.ResponseWriter, r *http.Request) (order, bool) {
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		l.answer(w, http.StatusBadRequest, "")
		return o, false
	}
	return o, true
}

func (l *life) answer(w http.ResponseWriter, status int, reason string) {
	body := map[string]any{"clock-ms": l.clock(), "born": l.born.UnixMilli()}
	if reason != "" {
		body["reason"] = reason
	}
	writeJSON(w, status, body)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// fenced reports whether a token is lower than one seen, and keeps the highest. The
// caller holds the farm's lock.
func (l *life) fenced(token uint64) bool {
	if token < l.token {
		return true
	}
	l.token = token
	return false
}

// renew lengthens the lease. The caller holds the farm's lock.
func (l *life) renew(deadline int64) {
	l.deadline = max(l.deadline, min(deadline, l.clock()+holdMax))
}

func (l *life) handleStart(w http.ResponseWriter, r *http.Request) {
	o, ok := l.read(w, r)
	if !ok {
		return
	}
	reason := l.start(o)
	l.executor.farm.record.note("%s life %d is told to start %s run %d: %s", l.executor.id, l.number, o.Task, o.Run, orOK(reason))
	if reason != "" {
		l.answer(w, http.StatusConflict, reason)
		return
	}
	l.answer(w, http.StatusOK, "")
}

func orOK(reason string) string {
	if reason == "" {
		return "done"
	}
	return reason
}

// start carries out a start and returns the reason of a refusal.
func (l *life) start(o order) string {
	f := l.executor.farm
	f.mu.Lock()
	defer f.mu.Unlock()
	id := runID{o.Task, o.Run}
	switch {
	case l.dead:
		return "late"
	case l.fenced(o.Token):
		return "fence"
	case o.Deadline <= l.clock():
		return "late"
	}
	l.renew(o.Deadline)
	switch {
	case l.running[id] != nil:
		return ""
	case o.Run <= l.highest[o.Task]:
		return "old"
	case int64(len(l.running)+1)*accelerators > l.executor.capacity.Accelerators:
		return "room"
	}
	s := &started{at: time.Now(), executor: l.executor.id, life: l.number, labels: l.labels, id: id, spec: o.Spec}
	l.running[id] = s
	f.history = append(f.history, s)
	if work := l.executor.work(o.Spec); work > 0 {
		time.AfterFunc(work, func() { l.end(id, "done") })
	}
	return ""
}

// end ends a run that is alive.
func (l *life) end(id runID, how string) {
	f := l.executor.farm
	f.mu.Lock()
	defer f.mu.Unlock()
	l.endLocked(id, how)
}

func (l *life) endLocked(id runID, how string) {
	s := l.running[id]
	if s == nil || l.dead {
		return
	}
	delete(l.running, id)
	s.ended, s.how = time.Now(), how
	l.highest[id.task] = max(l.highest[id.task], id.run)
	l.lastEnd++
	l.ends = append(l.ends, []any{l.lastEnd, id.task, id.run, how, ""})
	l.executor.farm.record.note("%s life %d: %s run %d ends %s", l.executor.id, l.number, id.task, id.run, how)
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *life) handleStop(w http.ResponseWriter, r *http.Request) {
	o, ok := l.read(w, r)
	if !ok {
		return
	}
	f := l.executor.farm
	f.mu.Lock()
	fenced := l.fenced(o.Token)
	id := runID{o.Task, o.Run}
	if !fenced {
		l.highest[o.Task] = max(l.highest[o.Task], o.Run)
		if l.running[id] != nil {
			time.AfterFunc(stopTime, func() { l.end(id, "stopped") })
		}
	}
	f.mu.Unlock()
	f.record.note("%s life %d is told to stop %s run %d, fenced %t", l.executor.id, l.number, o.Task, o.Run, fenced)
	if fenced {
		l.answer(w, http.StatusConflict, "fence")
		return
	}
	l.answer(w, http.StatusOK, "")
}

func (l *life) handlePace(w http.ResponseWriter, _ *http.Request) { l.answer(w, http.StatusOK, "") }

func (l *life) handleHold(w http.ResponseWriter, r *http.Request) {
	o, ok := l.read(w, r)
	if !ok {
		return
	}
	l.executor.heldAt.Store(time.Now().UnixNano())
	f := l.executor.farm
	f.mu.Lock()
	if l.fenced(o.Token) {
		f.mu.Unlock()
		l.answer(w, http.StatusConflict, "fence")
		return
	}
	l.renew(o.Deadline)
	for len(l.ends) > 0 && l.ends[0][0].(int) <= o.Acked {
		l.ends = l.ends[1:]
	}
	f.mu.Unlock()
	l.waitForEnd(r.Context(), time.Duration(min(o.Wait, 2000))*time.Millisecond)
	writeJSON(w, http.StatusOK, l.lists())
}

// waitForEnd returns when there is an end to list, or when the time is over.
func (l *life) waitForEnd(ctx context.Context, limit time.Duration) {
	f := l.executor.farm
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for {
		f.mu.Lock()
		changed, listed := l.changed, len(l.ends)
		f.mu.Unlock()
		if listed > 0 {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		case <-l.ctx.Done():
			return
		}
	}
}

// lists returns the answer to a hold.
func (l *life) lists() map[string]any {
	f := l.executor.farm
	f.mu.Lock()
	defer f.mu.Unlock()
	running := [][]any{}
	for id, s := range l.running {
		percent := 0
		if work := l.executor.work(s.spec); work > 0 {
			percent = int(min(99, time.Since(s.at)*100/work))
		} else if time.Since(s.at) > startupTime {
			percent = 100
		}
		running = append(running, []any{id.task, id.run, "", percent, 0})
	}
	ends := l.ends
	if ends == nil {
		ends = [][]any{}
	}
	return map[string]any{"clock-ms": l.clock(), "born": l.born.UnixMilli(), "running": running, "ended": ends[:len(ends):len(ends)]}
}

// expire ends all runs when the lease is over.
func (l *life) expire() {
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-l.ctx.Done():
			return
		case <-ticker.C:
		}
		f := l.executor.farm
		f.mu.Lock()
		if len(l.running) > 0 && l.clock() > l.deadline {
			for id := range l.running {
				l.endLocked(id, "lapsed")
			}
		}
		f.mu.Unlock()
	}
}

// beat reports to the control address until the life ends.
func (l *life) beat(delay time.Duration) {
	client := &http.Client{Timeout: beatTimeout, Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	target := ""
	timer := time.NewTimer(delay)
	defer timer.Stop()
	for i := l.number; ; {
		select {
		case <-l.ctx.Done():
			return
		case <-timer.C:
		}
		address := target
		if address == "" {
			address = l.executor.farm.control[i%len(l.executor.farm.control)]
		}
		next, err := l.report(client, address)
		timer.Reset(beatInterval)
		target = next
		if err != nil {
			target = ""
			i++
			timer.Reset(10 * time.Millisecond)
		}
	}
}

// report sends one report and returns the address for the next one.
func (l *life) report(client *http.Client, address string) (string, error) {
	f := l.executor.farm
	f.mu.Lock()
	l.sequence++
	body := map[string]any{
		"worker-pool": f.pool, "address": l.executor.address, "data-center": "zone-1", "version": "v1", "slots": 8, "state": "ready",
		"warm-up-ms": 0, "capacity": l.executor.capacity, "labels": l.labels, "clock-ms": l.clock(), "sequence": l.sequence,
		"born": l.born.UnixMilli(), "machine": l.executor.machine,
	}
	f.mu.Unlock()
	status, answer, err := call(client, http.MethodPut, "http://"+address+wire.Instances+l.executor.id, nil, body)
	f.record.note("%s life %d reports to %s: status %d, error %v", l.executor.id, l.number, address, status, err)
	if err != nil {
		return "", err
	}
	if status != http.StatusOK {
		return "", fmt.Errorf("status %d", status)
	}
	var named struct {
		ReportTo string `json:"report-to"`
	}
	_ = json.Unmarshal(answer, &named)
	return named.ReportTo, nil
}
