package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	heartbeatInterval = 1500 * time.Millisecond
	maxLease          = 6000
	maxEnds           = 500
	stopTime          = 100 * time.Millisecond
	leaseCheck        = 20 * time.Millisecond
)

// runKey names a run of a task.
type runKey struct {
	task string
	run  int
}

// liveRun is a run that an executor works on.
type liveRun struct {
	key     runKey
	started time.Time
	lasts   time.Duration
	timer   *time.Timer
}

// finishedRun is an end that an executor lists until it is acknowledged.
type finishedRun struct {
	number int
	key    runKey
	how    string
	// lapses is the number of lapses of the lease until the end.
	lapses int
	ended  *historyEntry
}

// executor is a stand-in of an executor, by the pages of the platform. A crash begins a new
// life of it, which knows nothing of the one before.
type executor struct {
	id, machine, zone string
	labels            []string
	cpu, memory, gpu  int
	system            *system
	record            *recorder
	history           *history
	// path is the proxy between the system and this executor; nil if there is none.
	path *proxy
	// intercept takes a start that is to be left unanswered, and reports whether it did.
	// It may be nil.
	intercept func(e *executor, o order) bool

	mu       sync.Mutex
	life     *executorLife
	listener net.Listener
	address  string
	reportTo string
}

// executorLife is the time from one start of an executor to its end.
type executorLife struct {
	born     int64
	begun    time.Time
	sequence int
	token    uint64
	lease    int64
	lapses   int
	lapsed   bool
	running  map[string]*liveRun
	highest  map[string]int
	ends     []finishedRun
	nextEnd  int
	changed  chan struct{}
	cancel   context.CancelFunc
	server   *http.Server
}

func (l *executorLife) clock() int64 { return time.Since(l.begun).Milliseconds() + 1 }

// newExecutor returns an executor that has not started.
func newExecutor(s *system, h *history, number int, labels ...string) *executor {
	return &executor{
		id: fmt.Sprintf("i-%08x", 0x7f3a0000+number), machine: fmt.Sprintf("m-%05x", 0xa3f0+number), zone: fmt.Sprintf("z%d", number%coreCount+1),
		labels: append([]string{"a", fmt.Sprintf("r%d-0", number%coreCount+1)}, labels...),
		cpu:    64000, memory: 131072, gpu: 8, system: s, record: s.record, history: h,
	}
}

// start begins a life. The first start picks the address, which stays.
func (e *executor) start() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	address := e.address
	if address == "" {
		address = e.system.ip(standInHost) + ":0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("executor %s: %w", e.id, err)
	}
	e.listener, e.address = listener, listener.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	life := &executorLife{
		born: time.Now().UnixMilli(), begun: time.Now(), running: map[string]*liveRun{}, highest: map[string]int{},
		changed: make(chan struct{}), cancel: cancel, nextEnd: 1,
	}
	mux := http.NewServeMux()
	for path, handle := range map[string]func(*executorLife, *http.Request, order) (int, map[string]any){
		wire.Start: e.handleStart, wire.Stop: e.handleStop, wire.Hold: e.handleHold, wire.Pace: e.handlePace,
	} {
		mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) { e.serve(life, w, r, handle) })
	}
	life.server = &http.Server{Handler: mux}
	e.life = life
	go func() { _ = life.server.Serve(listener) }()
	go e.beat(ctx, life)
	go e.watchLease(ctx, life)
	e.record.note("executor %s: starts, born %d", e.id, life.born)
	return nil
}

// crash ends a life: everything that runs ends, and the connections close.
func (e *executor) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.life == nil {
		return
	}
	e.record.note("executor %s: crashes", e.id)
	e.life.cancel()
	for _, run := range e.life.running {
		run.timer.Stop()
		e.history.end(e.id, run.key, "crashed")
	}
	e.life.running = map[string]*liveRun{}
	_ = e.life.server.Close()
	e.life = nil
}

// advertised returns the address that heartbeats name.
func (e *executor) advertised() string {
	if e.path != nil {
		return e.path.address
	}
	return e.address
}

// heartbeat returns the body of a heartbeat.
func (e *executor) heartbeat(life *executorLife) map[string]any {
	life.sequence++
	return map[string]any{
		"worker-pool": pool, "address": e.advertised(), "data-center": e.zone, "version": "v1", "slots": 8, "state": "ready",
		"warm-up-ms": 0, "capacity": map[string]any{"cpu-milli": e.cpu, "memory-mb": e.memory, "accelerators": e.gpu},
		"labels": e.labels, "machine": e.machine, "clock-ms": life.clock(), "sequence": life.sequence, "born": life.born,
	}
}

// beat sends heartbeats until the life ends. None leaves the executor while it is cut off.
func (e *executor) beat(ctx context.Context, life *executorLife) {
	next := rand.IntN(coreCount)
	for ctx.Err() == nil {
		if e.path == nil || !e.path.isCut() {
			e.mu.Lock()
			body, target := e.heartbeat(life), e.reportTo
			e.mu.Unlock()
			if target == "" {
				next++
				target = e.system.control(next % coreCount)
			}
			if !e.sendBeat(ctx, target, body) {
				e.mu.Lock()
				e.reportTo = ""
				e.mu.Unlock()
				sleep(ctx, 100*time.Millisecond)
				continue
			}
		}
		sleep(ctx, heartbeatInterval)
	}
}

func (e *executor) sendBeat(ctx context.Context, target string, body map[string]any) bool {
	status, answer := put(ctx, "http://"+target+wire.Instances+e.id, body)
	if status/100 != 2 {
		return false
	}
	var named struct {
		ReportTo string `json:"report-to"`
	}
	_ = json.Unmarshal(answer, &named)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reportTo = target
	if named.ReportTo != "" {
		e.reportTo = named.ReportTo
	}
	return true
}

// put sends a body and returns the status, 0 without a response within a second.
func put(ctx context.Context, url string, body any) (int, []byte) {
	data, err := json.Marshal(body)
	if err != nil {
		return 0, nil
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(data))
	if err != nil {
		return 0, nil
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	answer, _ := io.ReadAll(response.Body)
	return response.StatusCode, answer
}

func sleep(ctx context.Context, delay time.Duration) {
	select {
	case <-time.After(delay):
	case <-ctx.Done():
	}
}

// watchLease kills everything when the lease has expired.
func (e *executor) watchLease(ctx context.Context, life *executorLife) {
	for ctx.Err() == nil {
		sleep(ctx, leaseCheck)
		e.mu.Lock()
		if life.clock() > life.lease && !life.lapsed {
			life.lapsed = true
			life.lapses++
			for _, run := range life.running {
				e.endRun(life, run, "lapsed")
			}
		}
		e.mu.Unlock()
	}
}

// extend prolongs the lease to a deadline. The caller holds mu.
func (l *executorLife) extend(deadline int64) {
	l.lease = max(l.lease, min(deadline, l.clock()+maxLease))
	if l.lease >= l.clock() {
		l.lapsed = false
	}
}

// endRun ends a run and lists its end. The caller holds mu.
func (e *executor) endRun(life *executorLife, run *liveRun, how string) {
	if life.running[run.key.task] != run {
		return
	}
	run.timer.Stop()
	delete(life.running, run.key.task)
	life.highest[run.key.task] = max(life.highest[run.key.task], run.key.run)
	entry := e.history.end(e.id, run.key, how)
	life.ends = append(life.ends, finishedRun{number: life.nextEnd, key: run.key, how: how, lapses: life.lapses, ended: entry})
	life.nextEnd++
	close(life.changed)
	life.changed = make(chan struct{})
}

// acknowledge forgets the ends up to a number. An end counts as taken note of unless the
// lease has lapsed since. The caller holds mu.
func (e *executor) acknowledge(life *executorLife, number int) {
	kept := slices.IndexFunc(life.ends, func(end finishedRun) bool { return end.number > number })
	if kept < 0 {
		kept = len(life.ends)
	}
	for _, end := range life.ends[:kept] {
		if end.lapses == life.lapses {
			e.history.acknowledge(end.ended)
		}
	}
	life.ends = life.ends[kept:]
}
