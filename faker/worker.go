package faker

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"cranberrystack.dev/cranberrystack/identifier"
	"cranberrystack.dev/cranberrystack/leaser"
	"cranberrystack.dev/cranberrystack/placer"
)

const (
	reportPath     = "/v1/workers/report"
	reportInterval = 10 * time.Second
	// wholeEvery is the number of reports of which one is whole.
	wholeEvery       = 6
	reportRetry      = time.Second
	watchInterval    = 200 * time.Millisecond
	checkpointEvery  = 10 * time.Second
	maxCommandsBytes = 8 << 20
)

type commandMessage struct {
	Commands []placer.Command `json:"commands"`
}

// TaskResult is how a stand-in task ends.
type TaskResult struct {
	// RunTime is the whole work of the task, checkpointed work included.
	RunTime time.Duration
	// FailureReason is the reason of a failure; empty for success.
	FailureReason string
}

// Worker is a stand-in machine that runs tasks under leases.
type Worker struct {
	Info placer.Worker
	// Task says how a task will go.
	Task func(id leaser.ID, payload []byte) TaskResult
	// CheckpointTime is how long a checkpoint takes.
	CheckpointTime time.Duration
	// MemoryBytes is what each task is reported to use.
	MemoryBytes int64

	host   Host
	server *http.Server

	mu       sync.Mutex
	table    *leaser.Table
	tasks    map[leaser.ID]*task
	sequence uint64
	// sinceWhole counts the reports since the last whole one.
	sinceWhole int
	wantWhole  bool
	// started counts how often each job was started here.
	started map[identifier.JobID]int

	changed chan struct{}
	stop    chan struct{}
	done    sync.WaitGroup
}

type task struct {
	began  time.Time
	resume time.Duration
	result TaskResult
	// stopAt ends the task early, after its checkpoint.
	stopAt     time.Time
	checkpoint bool
}

// NewWorker returns a worker that is not yet started.
func NewWorker(info placer.Worker, host Host) *Worker {
	info.Address = host.address()
	info.Incarnation = newIncarnation(time.Now())
	return &Worker{
		Info: info, host: host, table: leaser.NewTable(info.Accelerators),
		Task:    func(leaser.ID, []byte) TaskResult { return TaskResult{RunTime: time.Second} },
		tasks:   map[leaser.ID]*task{},
		started: map[identifier.JobID]int{},
		changed: make(chan struct{}, 1), stop: make(chan struct{}),
	}
}

// Start serves commands and reports.
func (w *Worker) Start() {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /commands", w.handleCommands)
	w.server = &http.Server{Handler: mux, ReadHeaderTimeout: 10 * time.Second}
	w.done.Go(func() { _ = w.server.Serve(w.host.Listener) })
	w.done.Go(w.report)
	w.done.Go(w.watch)
}

// Stop ends the worker at once, with all its tasks.
func (w *Worker) Stop() {
	close(w.stop)
	_ = w.server.Close()
	w.done.Wait()
}

// Started returns how often each job was started here.
func (w *Worker) Started() map[identifier.JobID]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	copied := map[identifier.JobID]int{}
	for id, count := range w.started {
		copied[id] = count
	}
	return copied
}

// Running returns the leases that run now.
func (w *Worker) Running() []leaser.ID {
	w.mu.Lock()
	defer w.mu.Unlock()
	var running []leaser.ID
	for _, lease := range w.table.All(time.Now()) {
		if lease.State == leaser.StateRunning {
			running = append(running, lease.ID)
		}
	}
	return running
}

// report sends the worker's word every few seconds and after every change.
func (w *Worker) report() {
	a := newAnnouncing(w.host, reportPath, reportInterval)
	defer a.messenger.Close()
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		wait := ticker.C
		if !w.reportOnce(a) {
			wait = time.After(reportRetry)
		}
		select {
		case <-w.stop:
			return
		case <-wait:
		case <-w.changed:
		}
	}
}

type renewal struct {
	Epoch identifier.Epoch `json:"epoch"`
	TTL   time.Duration    `json:"ttl-ns"`
	Whole bool             `json:"whole"`
}

// reportOnce reports whether the owner of the placement took the worker's word.
func (w *Worker) reportOnce(a *announcing) bool {
	sent := time.Now()
	message := w.nextReport(sent)
	var answer renewal
	if err := a.send(message, &answer); err != nil {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if answer.Epoch > w.table.Epoch() || answer.Whole {
		w.wantWhole = true
	}
	if answer.TTL <= 0 || w.table.AcceptEpoch(answer.Epoch) != nil {
		return false
	}
	w.table.Renew(sent.Add(answer.TTL))
	w.table.MarkReported(message.Leases)
	return !w.wantWhole
}

// nextReport returns a whole report now and then, and when one is wanted.
func (w *Worker) nextReport(now time.Time) placer.Report {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sinceWhole++
	if w.wantWhole || w.sinceWhole >= wholeEvery || w.sequence == 0 {
		w.wantWhole, w.sinceWhole = false, 0
		return w.wholeReport(now)
	}
	w.sequence++
	return placer.Report{Worker: w.Info, Sequence: w.sequence, Leases: w.table.Unreported(now), Partial: true, Usage: w.usage(now)}
}

func (w *Worker) snapshot(now time.Time) placer.Report {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.wholeReport(now)
}

// wholeReport returns everything; the caller holds mu.
func (w *Worker) wholeReport(now time.Time) placer.Report {
	w.sequence++
	return placer.Report{Worker: w.Info, Sequence: w.sequence, Leases: w.table.All(now), Usage: w.usage(now)}
}

// usage returns what running tasks use; the caller holds mu.
func (w *Worker) usage(now time.Time) []placer.Usage {
	if w.MemoryBytes == 0 {
		return nil
	}
	var usage []placer.Usage
	for _, lease := range w.table.All(now) {
		if lease.State == leaser.StateRunning {
			usage = append(usage, placer.Usage{ID: lease.ID, MemoryBytes: w.MemoryBytes})
		}
	}
	return usage
}

func (w *Worker) handleCommands(response http.ResponseWriter, request *http.Request) {
	var message commandMessage
	if err := json.NewDecoder(http.MaxBytesReader(response, request.Body, maxCommandsBytes)).Decode(&message); err != nil {
		http.Error(response, err.Error(), http.StatusBadRequest)
		return
	}
	now := time.Now()
	w.mu.Lock()
	for _, command := range message.Commands {
		if w.table.AcceptEpoch(command.Epoch) != nil {
			continue
		}
		w.obey(command, now)
	}
	w.mu.Unlock()
	writeJSON(response, w.snapshot(now))
}

// obey carries a command out; the caller holds mu.
func (w *Worker) obey(command placer.Command, now time.Time) {
	switch command.Kind {
	case placer.CommandLease:
		if err := w.table.Grant(command.ID, command.Accelerators, now.Add(command.TTL)); err != nil {
			w.table.Close(command.ID, leaser.StateStopped, err.Error(), now)
		}
	case placer.CommandStart:
		w.begin(command, now)
	case placer.CommandStop:
		w.end(command, now)
	}
}

func (w *Worker) begin(command placer.Command, now time.Time) {
	first, err := w.table.Start(command.ID)
	if err != nil || !first {
		return
	}
	w.started[command.ID.Job]++
	w.tasks[command.ID] = &task{
		began: now, resume: command.ResumeFrom,
		result: w.Task(command.ID, command.Payload),
	}
}

func (w *Worker) end(command placer.Command, now time.Time) {
	running, known := w.tasks[command.ID]
	if !known {
		w.table.Close(command.ID, leaser.StateStopped, "", now)
		return
	}
	running.checkpoint = running.checkpoint || command.Checkpoint
	stopAt := now
	if command.Checkpoint {
		stopAt = now.Add(min(w.CheckpointTime, command.Grace))
	}
	if running.stopAt.IsZero() || stopAt.Before(running.stopAt) {
		running.stopAt = stopAt
	}
	w.settle(command.ID, running, now)
}

// watch moves tasks on as time passes.
func (w *Worker) watch() {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-w.stop:
			return
		case now := <-ticker.C:
			w.watchOnce(now)
		}
	}
}

func (w *Worker) watchOnce(now time.Time) {
	w.mu.Lock()
	changed := false
	for _, id := range w.table.Expired(now) {
		w.table.Close(id, leaser.StateStopped, "lease ran out", now)
		delete(w.tasks, id)
		changed = true
	}
	for id, running := range w.tasks {
		changed = w.settle(id, running, now) || changed
	}
	w.mu.Unlock()
	if !changed {
		return
	}
	select {
	case w.changed <- struct{}{}:
	default:
	}
}

// settle ends a task whose time has come and reports whether it did.
func (w *Worker) settle(id leaser.ID, running *task, now time.Time) bool {
	done := running.resume + now.Sub(running.began)
	switch {
	case !running.stopAt.IsZero() && !now.Before(running.stopAt):
		if running.checkpoint {
			w.table.RecordProgress(id, done)
		}
		w.table.Close(id, leaser.StateStopped, "", now)
	case done >= running.result.RunTime && running.result.FailureReason != "":
		w.table.Close(id, leaser.StateFailed, running.result.FailureReason, now)
	case done >= running.result.RunTime:
		w.table.Close(id, leaser.StateFinished, "", now)
	default:
		w.table.RecordProgress(id, done-done%checkpointEvery)
		return false
	}
	delete(w.tasks, id)
	return true
}
