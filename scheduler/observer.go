package scheduler

import (
	"time"

	"cranberrystack.dev/cranberrystack/identifier"
)

const (
	// minClockRate is the least rate of a worker's clock against this instance's.
	minClockRate = 0.98
	// failureWindow is how long a worker's failures count against it.
	failureWindow = 8 * time.Second
	// suspectThreshold is how many failures in a row, of different jobs, make a
	// worker suspected.
	suspectThreshold = 3
)

// Progress is what a worker last said of a run.
type Progress struct {
	Percent int
	// Measurement is the tail in milliseconds of a task that serves, else the CPU in
	// use.
	Measurement int64
	Checkpoint  string
	ReportedAt  time.Time
	// AdvancedAt is when Percent or Checkpoint last changed.
	AdvancedAt time.Time
}

// WorkerObservation is what the leader has seen of one worker's life.
type WorkerObservation struct {
	Incarnation UnixMilli
	// firstSeen is when this life was first seen.
	firstSeen time.Time
	// Sequence is that of the newest report.
	Sequence int64
	// LastContact is when anything of this worker last arrived.
	LastContact time.Time
	// MissedPolls counts the looks in a row that had no answer.
	MissedPolls int
	// AckConfirmed is the last end whose acknowledgement the worker has answered.
	AckConfirmed int64
	// backoffUntil is until when the worker gets no new runs.
	backoffUntil time.Time
	// clock was the worker's clock at clockAt or earlier.
	clock      WorkerMilli
	clockAt    time.Time
	clockKnown bool
	// leaseDeadline is the latest to which leases may have been prolonged.
	leaseDeadline WorkerMilli
	// Progress holds the runs of the last look.
	Progress map[RunID]Progress
	// Stopping holds when a run was first ordered to stop.
	Stopping map[RunID]time.Time
	// failures holds the jobs that failed here since the last success.
	failures map[identifier.JobID]time.Time
	// stallSuspects holds the runs that showed no progress for a while.
	stallSuspects map[RunID]bool
	// lastStall is when a run was last found to stand still here.
	lastStall time.Time
}

// Observer is what a leader has seen since it took over. It is not safe for
// concurrent use.
type Observer struct {
	// Since is when the leader took over.
	Since time.Time
	// MaxLease bounds a lease on a worker's clock.
	MaxLease time.Duration
	// ContactTimeout is the time without a sign of life from which a worker gets no
	// new runs.
	ContactTimeout time.Duration
	// Cordoned holds the workers that get no new runs.
	Cordoned map[identifier.WorkerID]bool
	// Tickets holds what advice allows.
	Tickets map[StepID]map[identifier.WorkerID]Ticket

	observations map[identifier.WorkerID]*WorkerObservation
	// unanswered holds the starts without an answer, by worker.
	unanswered map[identifier.WorkerID]map[RunID]time.Time
	avoided    map[TaskID]map[identifier.WorkerID]bool
}

// Ticket allows a step's tasks to start in one life of a worker.
type Ticket struct {
	Text        string
	Incarnation UnixMilli
	Until       time.Time
}

// HasValidTicket reports whether any ticket of a step is valid.
func (o *Observer) HasValidTicket(step StepID, now time.Time) bool {
	for _, ticket := range o.Tickets[step] {
		if now.Before(ticket.Until) {
			return true
		}
	}
	return false
}

// NewObserver returns an observer that has seen nothing.
func NewObserver(now time.Time, maxLease, silence time.Duration) *Observer {
	return &Observer{
		Since: now, MaxLease: maxLease, ContactTimeout: silence,
		Cordoned:     map[identifier.WorkerID]bool{},
		Tickets:      map[StepID]map[identifier.WorkerID]Ticket{},
		observations: map[identifier.WorkerID]*WorkerObservation{},
		unanswered:   map[identifier.WorkerID]map[RunID]time.Time{},
		avoided:      map[TaskID]map[identifier.WorkerID]bool{},
	}
}

// Track returns what was seen of a life of a worker. What was seen of earlier
// lives is forgotten.
func (o *Observer) Track(id identifier.WorkerID, born UnixMilli, now time.Time) *WorkerObservation {
	watch, known := o.observations[id]
	if !known || watch.Incarnation < born {
		watch = &WorkerObservation{
			Incarnation: born, firstSeen: now, Progress: map[RunID]Progress{}, Stopping: map[RunID]time.Time{},
			failures: map[identifier.JobID]time.Time{}, stallSuspects: map[RunID]bool{},
		}
		o.observations[id] = watch
	}
	return watch
}

// Observation returns the watch of a worker, nil if nothing was seen.
func (o *Observer) Observation(id identifier.WorkerID) *WorkerObservation { return o.observations[id] }

// RecordContact notes a sign of life with the worker's clock at that time or earlier.
func (w *WorkerObservation) RecordContact(clock WorkerMilli, now time.Time) {
	w.LastContact = now
	if clock <= 0 {
		return
	}
	if !w.clockKnown || clock >= w.Clock(now) {
		w.clock, w.clockAt, w.clockKnown = clock, now, true
	}
}

// BackOffUntil keeps new runs away until a time.
func (w *WorkerObservation) BackOffUntil(until time.Time) { w.backoffUntil = until }

// RecordProgress takes in what a worker says of a run.
func (w *WorkerObservation) RecordProgress(running *RunningTask, now time.Time) {
	progress := Progress{
		Percent: running.Percent, Measurement: running.Measurement, Checkpoint: running.Checkpoint, ReportedAt: now, AdvancedAt: now,
	}
	if last, known := w.Progress[running.Run]; known && last.Percent == progress.Percent && last.Checkpoint == progress.Checkpoint {
		progress.AdvancedAt = last.AdvancedAt
	}
	w.Progress[running.Run] = progress
	w.updateStallSuspect(running.Run, progress)
}

// LastCheckpoint returns the last checkpoint that was seen of a run, empty if
// there is none. The watch may be nil.
func (w *WorkerObservation) LastCheckpoint(id RunID) string {
	if w == nil {
		return ""
	}
	return w.Progress[id].Checkpoint
}

// HasClock reports whether anything is known of the worker's clock.
func (w *WorkerObservation) HasClock() bool { return w.clockKnown }

// Clock returns a time that the worker's clock has reached.
func (w *WorkerObservation) Clock(now time.Time) WorkerMilli {
	passed := float64(now.Sub(w.clockAt).Milliseconds()) * minClockRate
	return w.clock + WorkerMilli(max(passed, 0))
}

// RenewLease returns a deadline a span from now and notes it.
func (w *WorkerObservation) RenewLease(span time.Duration, now time.Time) WorkerMilli {
	deadline := w.Clock(now) + WorkerMilli(span.Milliseconds())
	w.leaseDeadline = max(w.leaseDeadline, deadline)
	return deadline
}

// LeasesExpired reports whether every lease on a worker is certain to have ended.
// Until a lease's length has passed since the leader took over, and since the
// worker's life was first seen, others may have prolonged them.
func (o *Observer) LeasesExpired(id identifier.WorkerID, now time.Time) bool {
	const margin = 300 * time.Millisecond
	longest := time.Duration(float64(o.MaxLease)/minClockRate) + margin
	if now.Sub(o.Since) <= longest {
		return false
	}
	watch, known := o.observations[id]
	if !known {
		return true
	}
	if now.Sub(watch.firstSeen) <= longest {
		return false
	}
	return !watch.clockKnown || watch.Clock(now) > watch.leaseDeadline+WorkerMilli(margin.Milliseconds())
}

// Schedulable reports whether a worker can be given runs.
func (o *Observer) Schedulable(worker *Worker, now time.Time) bool {
	if worker.State != WorkerReady || o.Cordoned[worker.ID] {
		return false
	}
	watch, known := o.observations[worker.ID]
	if !known || watch.Incarnation != worker.Incarnation || !watch.clockKnown {
		return false
	}
	return watch.MissedPolls == 0 && now.Sub(watch.LastContact) < o.ContactTimeout && !now.Before(watch.backoffUntil)
}

// unansweredStartTimeout is how long a start without an answer may still be carried out.
const unansweredStartTimeout = 20 * time.Second

// RecordUnansweredStart notes that a start has no answer. It may reach also a later life of
// the worker, which has forgotten what ran before.
func (o *Observer) RecordUnansweredStart(run *Run, now time.Time) {
	runs, known := o.unanswered[run.Worker]
	if !known {
		runs = map[RunID]time.Time{}
		o.unanswered[run.Worker] = runs
	}
	runs[run.ID] = now
}

// UnansweredStarts returns the starts that may still reach a worker.
func (o *Observer) UnansweredStarts(id identifier.WorkerID, now time.Time) []RunID {
	var runs []RunID
	for run, at := range o.unanswered[id] {
		if now.Sub(at) < unansweredStartTimeout {
			runs = append(runs, run)
		}
	}
	return runs
}

// RecordFailure notes that a run ended as failed.
func (o *Observer) RecordFailure(run *Run, now time.Time) {
	o.Track(run.Worker, run.Incarnation, now).failures[run.ID.Task.Job] = now
	o.avoidWorker(run)
}

// avoidWorker keeps a run's task from its worker while others have room.
func (o *Observer) avoidWorker(run *Run) {
	workers, known := o.avoided[run.ID.Task]
	if !known {
		workers = map[identifier.WorkerID]bool{}
		o.avoided[run.ID.Task] = workers
	}
	workers[run.Worker] = true
}

// RecordSuccess notes that a run ended as done.
func (o *Observer) RecordSuccess(run *Run, now time.Time) {
	clear(o.Track(run.Worker, run.Incarnation, now).failures)
	delete(o.avoided, run.ID.Task)
}

// Suspected reports whether a worker fails what others might not.
func (o *Observer) Suspected(id identifier.WorkerID, now time.Time) bool {
	watch, known := o.observations[id]
	if !known {
		return false
	}
	if !watch.lastStall.IsZero() && now.Sub(watch.lastStall) < failureWindow {
		return true
	}
	recent := 0
	for _, at := range watch.failures {
		if now.Sub(at) < failureWindow {
			recent++
		}
	}
	return recent >= suspectThreshold
}

// Avoided reports whether a task failed on a worker before.
func (o *Observer) Avoided(task TaskID, id identifier.WorkerID) bool {
	return o.avoided[task][id]
}

// Stopping reports whether a run has been ordered to stop.
func (o *Observer) Stopping(run *Run) bool {
	return o.observations[run.Worker].isStopping(run)
}

// isStopping reports whether a run has been ordered to stop. The watch may be nil.
func (w *WorkerObservation) isStopping(run *Run) bool {
	if w == nil || len(w.Stopping) == 0 {
		return false
	}
	_, stopping := w.Stopping[run.ID]
	return stopping
}

// Prune drops what is kept of runs that have ended.
func (o *Observer) Prune(s *State, now time.Time) {
	for _, watch := range o.observations {
		for id := range watch.Stopping {
			if s.runs[id] == nil {
				delete(watch.Stopping, id)
			}
		}
		for id := range watch.Progress {
			if s.runs[id] == nil {
				delete(watch.Progress, id)
				delete(watch.stallSuspects, id)
			}
		}
	}
	for id, runs := range o.unanswered {
		for run, at := range runs {
			if now.Sub(at) >= unansweredStartTimeout {
				delete(runs, run)
			}
		}
		if len(runs) == 0 {
			delete(o.unanswered, id)
		}
	}
	for task := range o.avoided {
		if s.active[task.Job] == nil {
			delete(o.avoided, task)
		}
	}
	for step := range o.Tickets {
		if s.active[step.Job] == nil {
			delete(o.Tickets, step)
		}
	}
}
