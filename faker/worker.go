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
	// One of fullReportEvery reports is a full report.
	fullReportEvery    = 6
	reportRetryDelay   = time.Second
	advanceInterval    = 200 * time.Millisecond
	checkpointInterval = 10 * time.Second
	maxCommandsBytes   = 8 << 20
)

type commandMessage struct {
	Commands []placer.Command `json:"commands"`
}

// TaskResult is how a fake task ends.
type TaskResult struct {
	// RunTime is the total work of the task, including the work before its
	// checkpoint.
	RunTime time.Duration
	// FailureReason is the reason of a failure; it is empty for success.
	FailureReason string
}

// Worker is a fake worker that runs tasks under leases.
type Worker struct {
	Info placer.Worker
	// Task returns the result that a task will have.
	Task func(id leaser.ID, payload []byte) TaskResult
	// CheckpointTime is how long a task takes to save a checkpoint.
	CheckpointTime time.Duration
	// MemoryBytes is the memory that each task is reported to use; 0 reports none.
	MemoryBytes int64

	host   Host
	server *http.Server

	mu       sync.Mutex
	table    *leaser.Table
	tasks    map[leaser.ID]*task
	sequence uint64
	// sinceFullReport counts the reports since the last full one.
	sinceFullReport  int
	fullReportWanted bool
	// started counts how often each job was started on this worker.
	started map[identifier.JobID]int

	reportNow chan struct{}
	stop      chan struct{}
	done      sync.WaitGroup
}

type task struct {
	startedAt  time.Time
	resumeFrom time.Duration
	result     TaskResult
	// stopAt is when a task that was ordered to stop ends. It is zero for other
	// tasks.
	stopAt time.Time
	// checkpoint reports that the stop saves a checkpoint.
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

// Start serves commands, runs tasks and sends reports.
func (w *Worker) Start() {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /commands", w.handleCommands)
	w.server = &http.Server{Handler: mux, ReadHeaderTimeout: 10 * time.Second}
	w.done.Go(func() { _ = w.server.Serve(w.host.Listener) })
	w.done.Go(w.report)
	w.done.Go(w.runTasks)
}

// Stop shuts the worker and all its tasks down at once.
func (w *Worker) Stop() {
	close(w.stop)
	_ = w.server.Close()
	w.done.Wait()
}

// Started returns how often each job was started on this worker.
func (w *Worker) Started() map[identifier.JobID]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	copied := map[identifier.JobID]int{}
	for id, count := range w.started {
		copied[id] = count
	}
	return copied
}

// Running returns the IDs of the leases whose tasks run.
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

// report sends a report every reportInterval and after every change. It retries a
// report that was not accepted after reportRetryDelay.
func (w *Worker) report() {
	client := newEntryClient(w.host, reportPath, reportInterval)
	defer client.messenger.Close()
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		wait := ticker.C
		if !w.reportOnce(client) {
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

// reportResponse is the response to a report. TTL is the renewed lease time from the
// sending of the report; FullReport requests a full report.
type reportResponse struct {
	Epoch      identifier.Epoch `json:"epoch"`
	TTL        time.Duration    `json:"ttl-ns"`
	FullReport bool             `json:"whole"`
}

// reportOnce sends one report and renews the leases with the response. It returns
// whether the owner of the placement accepted the report and wants no full one.
func (w *Worker) reportOnce(client *entryClient) bool {
	sent := time.Now()
	message := w.nextReport(sent)
	var response reportResponse
	if err := client.send(message, &response); err != nil {
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
	w.table.MarkReported(message.Leases, time.Now())
	return !w.fullReportWanted
}

// nextReport returns a full report first, at every fullReportEvery-th call and when
// one is wanted, else a partial one with the unreported changes.
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

// fullReport returns a report of all leases.
func (w *Worker) fullReport(now time.Time) placer.Report {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.fullReportLocked(now)
}

// fullReportLocked returns a report of all leases. The caller holds mu.
func (w *Worker) fullReportLocked(now time.Time) placer.Report {
	w.sequence++
	return placer.Report{Worker: w.Info, Sequence: w.sequence, Leases: w.table.All(now), Usage: w.usage(now)}
}

// usage returns the memory usage of the running tasks. The caller holds mu.
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

// execute carries out a command. The caller holds mu.
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

// startTask starts a task unless it has been started before. The caller holds mu.
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

// stopTask ends a task at once, or after it has saved a checkpoint if the command
// requests one, within the command's grace time. An earlier stop time wins. The
// caller holds mu.
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

// runTasks advances the tasks every advanceInterval until the worker stops.
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

// advanceTask ends a task that is finished, failed or due to stop, and reports
// whether it did. Otherwise it records the progress up to the last periodic
// checkpoint. The caller holds mu.
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
