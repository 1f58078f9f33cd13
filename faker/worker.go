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
	// fullReportEvery is the number of reports of which one is whole.
	fullReportEvery    = 6
	reportRetryDelay   = time.Second
	advanceInterval    = 200 * time.Millisecond
	checkpointInterval = 10 * time.Second
	maxCommandsBytes   = 8 << 20
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
	// sinceFullReport counts the reports since the last whole one.
	sinceFullReport  int
	fullReportWanted bool
	// started counts how often each job was started here.
	started map[identifier.JobID]int

	reportNow chan struct{}
	stop      chan struct{}
	done      sync.WaitGroup
}

type task struct {
	startedAt  time.Time
	resumeFrom time.Duration
	result     TaskResult
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
		Task:      func(leaser.ID, []byte) TaskResult { return TaskResult{RunTime: time.Second} },
		tasks:     map[leaser.ID]*task{},
		started:   map[identifier.JobID]int{},
		reportNow: make(chan struct{}, 1), stop: make(chan struct{}),
	}
}

// Start serves commands and reports.
func (w *Worker) Start() {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /commands", w.handleCommands)
	w.server = &http.Server{Handler: mux, ReadHeaderTimeout: 10 * time.Second}
	w.done.Go(func() { _ = w.server.Serve(w.host.Listener) })
	w.done.Go(w.report)
	w.done.Go(w.runTasks)
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
	a := newEntryClient(w.host, reportPath, reportInterval)
	defer a.messenger.Close()
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		wait := ticker.C
		if !w.reportOnce(a) {
			wait = time.After(reportRetryDelay)
		}
		select {
		case <-w.stop:
			return
		case <-wait:
		case <-w.reportNow:
		}
	}
}

type reportResponse struct {
	Epoch      identifier.Epoch `json:"epoch"`
	TTL        time.Duration    `json:"ttl-ns"`
	FullReport bool             `json:"whole"`
}

// reportOnce reports whether the owner of the placement took the worker's word.
func (w *Worker) reportOnce(a *entryClient) bool {
	sent := time.Now()
	message := w.nextReport(sent)
	var response reportResponse
	if err := a.send(message, &response); err != nil {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if response.Epoch > w.table.Epoch() || response.FullReport {
		w.fullReportWanted = true
	}
	if response.TTL <= 0 || w.table.AcceptEpoch(response.Epoch) != nil {
		return false
	}
	w.table.Renew(sent.Add(response.TTL))
	w.table.MarkReported(message.Leases)
	return !w.fullReportWanted
}

// nextReport returns a whole report now and then, and when one is wanted.
func (w *Worker) nextReport(now time.Time) placer.Report {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sinceFullReport++
	if w.fullReportWanted || w.sinceFullReport >= fullReportEvery || w.sequence == 0 {
		w.fullReportWanted, w.sinceFullReport = false, 0
		return w.fullReportLocked(now)
	}
	w.sequence++
	return placer.Report{Worker: w.Info, Sequence: w.sequence, Leases: w.table.Unreported(now), Partial: true, Usage: w.usage(now)}
}

func (w *Worker) fullReport(now time.Time) placer.Report {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.fullReportLocked(now)
}

// fullReportLocked returns everything; the caller holds mu.
func (w *Worker) fullReportLocked(now time.Time) placer.Report {
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
		w.execute(command, now)
	}
	w.mu.Unlock()
	writeJSON(response, w.fullReport(now))
}

// execute carries a command out; the caller holds mu.
func (w *Worker) execute(command placer.Command, now time.Time) {
	switch command.Kind {
	case placer.CommandLease:
		if err := w.table.Grant(command.ID, command.Accelerators, now.Add(command.TTL)); err != nil {
			w.table.Close(command.ID, leaser.StateStopped, err.Error(), now)
		}
	case placer.CommandStart:
		w.startTask(command, now)
	case placer.CommandStop:
		w.stopTask(command, now)
	}
}

func (w *Worker) startTask(command placer.Command, now time.Time) {
	first, err := w.table.Start(command.ID)
	if err != nil || !first {
		return
	}
	w.started[command.ID.Job]++
	w.tasks[command.ID] = &task{
		startedAt: now, resumeFrom: command.ResumeFrom,
		result: w.Task(command.ID, command.Payload),
	}
}

func (w *Worker) stopTask(command placer.Command, now time.Time) {
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
	w.advanceTask(command.ID, running, now)
}

// runTasks moves tasks on as time passes.
func (w *Worker) runTasks() {
	ticker := time.NewTicker(advanceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-w.stop:
			return
		case now := <-ticker.C:
			w.advanceTasks(now)
		}
	}
}

func (w *Worker) advanceTasks(now time.Time) {
	w.mu.Lock()
	changed := false
	for _, id := range w.table.Expired(now) {
		w.table.Close(id, leaser.StateStopped, "lease ran out", now)
		delete(w.tasks, id)
		changed = true
	}
	for id, running := range w.tasks {
		changed = w.advanceTask(id, running, now) || changed
	}
	w.mu.Unlock()
	if !changed {
		return
	}
	select {
	case w.reportNow <- struct{}{}:
	default:
	}
}

// advanceTask ends a task whose time has come and reports whether it did.
func (w *Worker) advanceTask(id leaser.ID, running *task, now time.Time) bool {
	done := running.resumeFrom + now.Sub(running.startedAt)
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
		w.table.RecordProgress(id, done-done%checkpointInterval)
		return false
	}
	delete(w.tasks, id)
	return true
}
