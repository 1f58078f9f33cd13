package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// executor is a stand-in for an executor: it runs tasks under leases, as the platform's
// pages say, and reports itself to the control nodes.
type executor struct {
	deployment   *deployment
	record       *record
	id, address  string
	pool         string
	labels       []string
	accelerators int

	mu sync.Mutex
	// life is nil while the executor is down.
	life *life
	// busy says that it answers starts with 503, without doing anything.
	busy bool
	// starts and ends count what it has begun and how that has ended, over all lives.
	starts map[string]int
	ends   map[string]int
	// state is what it reports.
	state string
	// ticket is what a start has to carry; "" if none is needed.
	ticket string
	// reportOrder holds the addresses to report to, the preferred one first.
	reportOrder []string
}

// life is one incarnation of an executor.
type life struct {
	server   *http.Server
	born     int64
	started  time.Time
	done     chan struct{}
	sequence int64
	// acknowledged counts the acknowledged reports.
	acknowledged int
	// links holds the connections for reports, which stay open between them.
	links http.Client

	token    int64
	deadline int64
	running  map[string]*taskRun
	highest  map[string]int
	ended    [][]any
	lastEnd  int64
	changed  chan struct{}
}

type taskRun struct {
	number  int
	need    int
	began   time.Time
	lasts   time.Duration
	endOnce *time.Timer
}

func newExecutor(d *deployment, id, ip string, labels ...string) *executor {
	e := &executor{deployment: d, record: d.record, id: id, pool: servicePool, labels: labels, accelerators: 8, starts: map[string]int{}, ends: map[string]int{}, state: "ready"}
	e.address = at(ip, d.ports.internal)
	for _, n := range d.control {
		e.reportOrder = append(e.reportOrder, at(n.ip, d.ports.control))
	}
	return e
}

// up starts a new incarnation, which reports itself at once.
func (e *executor) up() error {
	var listener net.Listener
	var err error
	for range 20 {
		if listener, err = net.Listen("tcp", e.address); err == nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	now := time.Now()
	l := &life{
		born: now.UnixMilli(), started: now, done: make(chan struct{}), running: map[string]*taskRun{}, highest: map[string]int{},
		changed: make(chan struct{}),
	}
	l.server = &http.Server{Handler: e.handler(l)}
	l.links = http.Client{Timeout: time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	e.mu.Lock()
	e.life = l
	e.mu.Unlock()
	e.record.add("executor %s is up, born %d", e.id, l.born)
	go func() { _ = l.server.Serve(listener) }()
	go e.reportForever(l)
	return nil
}

// crash ends the incarnation and everything that runs, without a word.
func (e *executor) crash() {
	e.mu.Lock()
	l := e.life
	e.life = nil
	var lost []string
	if l != nil {
		for task, run := range l.running {
			run.endOnce.Stop()
			lost = append(lost, fmt.Sprintf("%s/%d", task, run.number))
		}
		l.running = map[string]*taskRun{}
		close(l.done)
	}
	e.mu.Unlock()
	if l != nil {
		_ = l.server.Close()
		l.links.CloseIdleConnections()
		e.record.add("executor %s has crashed, with runs %v", e.id, lost)
	}
}

func (l *life) clock() int64 { return 1000 + time.Since(l.started).Milliseconds() }

func (e *executor) handler(l *life) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+wire["start"], func(w http.ResponseWriter, r *http.Request) { e.serve(l, w, r, e.start) })
	mux.HandleFunc("POST "+wire["stop"], func(w http.ResponseWriter, r *http.Request) { e.serve(l, w, r, e.stop) })
	mux.HandleFunc("POST "+wire["pace"], func(w http.ResponseWriter, r *http.Request) { e.serve(l, w, r, e.pace) })
	mux.HandleFunc("POST "+wire["hold"], func(w http.ResponseWriter, r *http.Request) { e.serve(l, w, r, e.hold) })
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	return mux
}

// order is the body of any order.
type order struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	Deadline   int64  `json:"deadline-ms"`
	Token      int64  `json:"fencing-token"`
	Acked      int64  `json:"ack-sequence"`
	Wait       int64  `json:"wait-ms"`
	Checkpoint string `json:"checkpoint"`
	Ticket     string `json:"ticket"`
}

// startupTime is how long a task that lasts takes until it is at work.
const startupTime = 300 * time.Millisecond

// atWork reports whether a task that lasts is at work.
func (t *taskRun) atWork() bool { return t.lasts > time.Hour && time.Since(t.began) > startupTime }

type handle func(l *life, o *order) (status int, body map[string]any)

// serve decodes an order, checks the addressed incarnation and the fencing token, and
// carries the order out.
func (e *executor) serve(l *life, w http.ResponseWriter, r *http.Request, carryOut handle) {
	var o order
	data, err := io.ReadAll(r.Body)
	if err != nil || json.Unmarshal(data, &o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if expected := r.Header.Get(wire["expect-header"]); expected != "" && expected != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.mu.Lock()
	if e.life != l {
		e.mu.Unlock()
		return
	}
	status, body := http.StatusConflict, map[string]any{"reason": "fence"}
	if o.Token >= l.token {
		l.token = o.Token
		status, body = carryOut(l, &o)
	}
	body["clock-ms"], body["born"] = l.clock(), l.born
	e.mu.Unlock()
	if r.URL.Path != wire["hold"] {
		e.record.add("%s on %s of %s run %d token %d: %d %v", r.URL.Path, e.id, o.Task, o.Run, o.Token, status, body)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func refused(reason string) (int, map[string]any) {
	return http.StatusConflict, map[string]any{"reason": reason}
}

// start begins a run. The caller holds mu, as for all orders.
func (e *executor) start(l *life, o *order) (int, map[string]any) {
	if e.busy {
		return http.StatusServiceUnavailable, map[string]any{}
	}
	l.extend(o.Deadline)
	if run := l.running[o.Task]; run != nil && run.number == o.Run {
		return http.StatusOK, map[string]any{}
	}
	var millis, need int
	if _, err := fmt.Sscanf(o.Spec, "ms=%d gpu=%d", &millis, &need); err != nil {
		return http.StatusBadRequest, map[string]any{}
	}
	used := need
	for _, run := range l.running {
		used += run.need
	}
	switch {
	case o.Run <= l.highest[o.Task]:
		return refused("old")
	case o.Deadline < l.clock():
		return refused("late")
	case used > e.accelerators:
		return refused("room")
	case e.ticket != "" && o.Ticket != e.ticket:
		return refused("ticket")
	}
	run := &taskRun{number: o.Run, need: need, began: time.Now(), lasts: time.Duration(millis) * time.Millisecond}
	if millis == 0 {
		run.lasts = 24 * time.Hour
	}
	run.endOnce = time.AfterFunc(run.lasts, func() { e.endRun(l, o.Task, run, "done") })
	l.running[o.Task] = run
	e.starts[o.Task]++
	e.record.add("run %s/%d begins on %s", o.Task, o.Run, e.id)
	e.watchLease(l)
	return http.StatusOK, map[string]any{}
}

func (l *life) extend(deadline int64) {
	const maxLease = 6000
	l.deadline = max(l.deadline, min(deadline, l.clock()+maxLease))
}

// watchLease ends everything once the lease has lapsed.
func (e *executor) watchLease(l *life) {
	left := time.Duration(l.deadline-l.clock()) * time.Millisecond
	time.AfterFunc(max(left, 0)+5*time.Millisecond, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.life != l || len(l.running) == 0 {
			return
		}
		if l.clock() < l.deadline {
			e.watchLease(l)
			return
		}
		for task, run := range l.running {
			e.finish(l, task, run, "lapsed")
		}
	})
}

func (e *executor) endRun(l *life, task string, run *taskRun, how string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.life == l && l.running[task] == run {
		e.finish(l, task, run, how)
	}
}

func (e *executor) finish(l *life, task string, run *taskRun, how string) {
	run.endOnce.Stop()
	delete(l.running, task)
	l.highest[task] = max(l.highest[task], run.number)
	l.lastEnd++
	l.ended = append(l.ended, []any{l.lastEnd, task, run.number, how, ""})
	e.ends[task+" "+how]++
	e.record.add("run %s/%d on %s ends: %s", task, run.number, e.id, how)
	close(l.changed)
	l.changed = make(chan struct{})
}

func (e *executor) stop(l *life, o *order) (int, map[string]any) {
	l.highest[o.Task] = max(l.highest[o.Task], o.Run)
	if run := l.running[o.Task]; run != nil && run.number == o.Run {
		time.AfterFunc(100*time.Millisecond, func() { e.endRun(l, o.Task, run, "stopped") })
	}
	return http.StatusOK, map[string]any{}
}

func (e *executor) pace(*life, *order) (int, map[string]any) { return http.StatusOK, map[string]any{} }

// hold renews the lease, takes the acknowledgement, and waits for an end. It releases
// mu while it waits.
func (e *executor) hold(l *life, o *order) (int, map[string]any) {
	if o.Deadline > 0 {
		l.extend(o.Deadline)
	}
	for len(l.ended) > 0 && l.ended[0][0].(int64) <= o.Acked {
		l.ended = l.ended[1:]
	}
	if len(l.ended) == 0 && o.Wait > 0 {
		changed := l.changed
		e.mu.Unlock()
		select {
		case <-changed:
		case <-l.done:
		case <-time.After(time.Duration(min(o.Wait, 2000)) * time.Millisecond):
		}
		e.mu.Lock()
	}
	running := [][]any{}
	for task, run := range l.running {
		percent := int(min(99, time.Since(run.began)*100/run.lasts))
		if run.atWork() {
			percent = 100
		}
		running = append(running, []any{task, run.number, "", percent, 0})
	}
	return http.StatusOK, map[string]any{"running": running, "ended": append([][]any{}, l.ended...)}
}

const heartbeat = 1500 * time.Millisecond

// reportForever reports the executor at once and then each heartbeat, until the
// incarnation ends.
func (e *executor) reportForever(l *life) {
	for {
		e.report(l)
		select {
		case <-l.done:
			return
		case <-time.After(heartbeat):
		}
	}
}

func (e *executor) capacity() map[string]int {
	return map[string]int{"cpu-milli": 64000, "memory-mb": 131072, "accelerators": e.accelerators}
}

// report sends one report, to the next node if one does not answer within a second, and
// returns whether it was acknowledged.
func (e *executor) report(l *life) bool {
	e.mu.Lock()
	l.sequence++
	body := map[string]any{
		"worker-pool": e.pool, "address": e.address, "data-center": "nyarugenge", "version": "v1", "slots": 8, "state": e.state,
		"warm-up-ms": 0, "capacity": e.capacity(), "labels": e.labels,
		"clock-ms": l.clock(), "born": l.born, "sequence": l.sequence, "machine": e.machine(),
	}
	if e.state == "draining" {
		body["remaining-ms"] = 2000
	}
	order := append([]string{}, e.reportOrder...)
	e.mu.Unlock()
	data, err := json.Marshal(body)
	if err != nil {
		return false
	}
	for _, address := range order {
		select {
		case <-l.done:
			return false
		default:
		}
		if e.sendReport(http.MethodPut, address, data) {
			e.mu.Lock()
			l.acknowledged++
			e.mu.Unlock()
			return true
		}
	}
	return false
}

// sendReport sends a report, or the leave if there is no body, to one node.
func (e *executor) sendReport(method, address string, data []byte) bool {
	e.mu.Lock()
	l := e.life
	e.mu.Unlock()
	if l == nil {
		return false
	}
	request, err := http.NewRequest(method, "http://"+address+wire["instances"]+e.id, bytes.NewReader(data))
	if err != nil {
		return false
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := l.links.Do(request)
	if err != nil {
		e.record.add("%s of executor %s to %s: no response", method, e.id, address)
		return false
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		e.record.add("%s of executor %s to %s: %d", method, e.id, address, response.StatusCode)
	}
	return response.StatusCode == http.StatusOK
}

// counts returns how often a task was begun on the executor, and ended in a way.
func (e *executor) counts(task, how string) (begun, ended int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.starts[task], e.ends[task+" "+how]
}

func (e *executor) setBusy(busy bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.busy = busy
	e.record.add("executor %s refuses starts with 503: %v", e.id, busy)
}
