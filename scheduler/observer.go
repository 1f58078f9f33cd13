package scheduler

import (
	"time"

	"cranberrystack.dev/cranberrystack/identifier"
)

const (
	// clockRate is the least rate of a worker's clock against this instance's.
	clockRate = 0.98
	// failureMemory is how long a worker's failures count against it.
	failureMemory = 8 * time.Second
	// suspectFailures is how many failures in a row, of different jobs, make a
	// worker suspected.
	suspectFailures = 3
)

// Progress is what a worker last said of a run.
type Progress struct {
	Percent int
	// Figure is the tail in milliseconds of a task that serves, else the CPU in
	// use.
	Figure     int64
	Checkpoint string
	Seen       time.Time
	// Moved is when Percent or Checkpoint last changed.
	Moved time.Time
}

// Watch is what the leader has seen of one worker's life.
type Watch struct {
	Born UnixMilli
	// since is when this life was first seen.
	since time.Time
	// Sequence is that of the newest report.
	Sequence int64
	// Heard is when anything of this worker last arrived.
	Heard time.Time
	// Misses counts the looks in a row that had no answer.
	Misses int
	// AckSent is the last end whose acknowledgement the worker has answered.
	AckSent int64
	// resting is until when the worker gets no new runs.
	resting time.Time
	// clock was the worker's clock at clockAt or earlier.
	clock   WorkerMilli
	clockAt time.Time
	clocked bool
	// deadline is the latest to which leases may have been prolonged.
	deadline WorkerMilli
	// Progress holds the runs of the last look.
	Progress map[RunID]Progress
	// Stopping holds when a run was first ordered to stop.
	Stopping map[RunID]time.Time
	// failures holds the jobs that failed here since the last success.
	failures map[identifier.JobID]time.Time
	// still holds the runs that showed no progress for a while.
	still map[RunID]bool
	// stoodStill is when a run was last found to stand still here.
	stoodStill time.Time
}

// Observer is what a leader has seen since it took over. It is not safe for
// concurrent use.
type Observer struct {
	// Since is when the leader took over.
	Since time.Time
	// MaxLease bounds a lease on a worker's clock.
	MaxLease time.Duration
	// Silence is the time without a sign of life from which a worker gets no
	// new runs.
	Silence time.Duration
	// Closed holds the workers that get no new runs.
	Closed map[identifier.WorkerID]bool
	// Tickets holds what advice allows.
	Tickets map[StepID]map[identifier.WorkerID]Ticket

	watches map[identifier.WorkerID]*Watch
	// loose holds the starts without an answer, by worker.
	loose map[identifier.WorkerID]map[RunID]time.Time
	avoid map[TaskID]map[identifier.WorkerID]bool
}

// Ticket allows a step's tasks to start in one life of a worker.
type Ticket struct {
	Text  string
	Born  UnixMilli
	Until time.Time
}

// Advised reports whether any ticket of a step is valid.
func (o *Observer) Advised(step StepID, now time.Time) bool {
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
		Since: now, MaxLease: maxLease, Silence: silence,
		Closed:  map[identifier.WorkerID]bool{},
		Tickets: map[StepID]map[identifier.WorkerID]Ticket{},
		watches: map[identifier.WorkerID]*Watch{},
		loose:   map[identifier.WorkerID]map[RunID]time.Time{},
		avoid:   map[TaskID]map[identifier.WorkerID]bool{},
	}
}

// Watch returns what was seen of a life of a worker. What was seen of earlier
// lives is forgotten.
func (o *Observer) Watch(id identifier.WorkerID, born UnixMilli, now time.Time) *Watch {
	watch, known := o.watches[id]
	if !known || watch.Born < born {
		watch = &Watch{
			Born: born, since: now, Progress: map[RunID]Progress{}, Stopping: map[RunID]time.Time{},
			failures: map[identifier.JobID]time.Time{}, still: map[RunID]bool{},
		}
		o.watches[id] = watch
	}
	return watch
}

// Known returns the watch of a worker, nil if nothing was seen.
func (o *Observer) Known(id identifier.WorkerID) *Watch { return o.watches[id] }

// Hear notes a sign of life with the worker's clock at that time or earlier.
func (w *Watch) Hear(clock WorkerMilli, now time.Time) {
	w.Heard = now
	if clock <= 0 {
		return
	}
	if !w.clocked || clock >= w.Clock(now) {
		w.clock, w.clockAt, w.clocked = clock, now, true
	}
}

// Rest keeps new runs away until a time.
func (w *Watch) Rest(until time.Time) { w.resting = until }

// Note takes in what a worker says of a run.
func (w *Watch) Note(running *RunningTask, now time.Time) {
	progress := Progress{
		Percent: running.Percent, Figure: running.Figure, Checkpoint: running.Checkpoint, Seen: now, Moved: now,
	}
	if last, known := w.Progress[running.Run]; known && last.Percent == progress.Percent && last.Checkpoint == progress.Checkpoint {
		progress.Moved = last.Moved
	}
	w.Progress[running.Run] = progress
	w.noteStill(running.Run, progress)
}

// LastCheckpoint returns the last checkpoint that was seen of a run, empty if
// there is none. The watch may be nil.
func (w *Watch) LastCheckpoint(id RunID) string {
	if w == nil {
		return ""
	}
	return w.Progress[id].Checkpoint
}

// Clocked reports whether anything is known of the worker's clock.
func (w *Watch) Clocked() bool { return w.clocked }

// Clock returns a time that the worker's clock has reached.
func (w *Watch) Clock(now time.Time) WorkerMilli {
	passed := float64(now.Sub(w.clockAt).Milliseconds()) * clockRate
	return w.clock + WorkerMilli(max(passed, 0))
}

// Prolong returns a deadline a span from now and notes it.
func (w *Watch) Prolong(span time.Duration, now time.Time) WorkerMilli {
	deadline := w.Clock(now) + WorkerMilli(span.Milliseconds())
	w.deadline = max(w.deadline, deadline)
	return deadline
}

// Lapsed reports whether every lease on a worker is certain to have ended.
// Until a lease's length has passed since the leader took over, and since the
// worker's life was first seen, others may have prolonged them.
func (o *Observer) Lapsed(id identifier.WorkerID, now time.Time) bool {
	const margin = 300 * time.Millisecond
	longest := time.Duration(float64(o.MaxLease)/clockRate) + margin
	if now.Sub(o.Since) <= longest {
		return false
	}
	watch, known := o.watches[id]
	if !known {
		return true
	}
	if now.Sub(watch.since) <= longest {
		return false
	}
	return !watch.clocked || watch.Clock(now) > watch.deadline+WorkerMilli(margin.Milliseconds())
}

// Sound reports whether a worker can be given runs.
func (o *Observer) Sound(worker *Worker, now time.Time) bool {
	if worker.State != WorkerReady || o.Closed[worker.ID] {
		return false
	}
	watch, known := o.watches[worker.ID]
	if !known || watch.Born != worker.Born || !watch.clocked {
		return false
	}
	return watch.Misses == 0 && now.Sub(watch.Heard) < o.Silence && !now.Before(watch.resting)
}

// looseMemory is how long a start without an answer may still be carried out.
const looseMemory = 20 * time.Second

// Loosen notes that a start has no answer. It may reach also a later life of
// the worker, which has forgotten what ran before.
func (o *Observer) Loosen(run *Run, now time.Time) {
	runs, known := o.loose[run.Worker]
	if !known {
		runs = map[RunID]time.Time{}
		o.loose[run.Worker] = runs
	}
	runs[run.ID] = now
}

// Loose returns the starts that may still reach a worker.
func (o *Observer) Loose(id identifier.WorkerID, now time.Time) []RunID {
	var runs []RunID
	for run, at := range o.loose[id] {
		if now.Sub(at) < looseMemory {
			runs = append(runs, run)
		}
	}
	return runs
}

// Failed notes that a run ended as failed.
func (o *Observer) Failed(run *Run, now time.Time) {
	o.Watch(run.Worker, run.Born, now).failures[run.ID.Task.Job] = now
	o.avoidFor(run)
}

// avoidFor keeps a run's task from its worker while others have room.
func (o *Observer) avoidFor(run *Run) {
	workers, known := o.avoid[run.ID.Task]
	if !known {
		workers = map[identifier.WorkerID]bool{}
		o.avoid[run.ID.Task] = workers
	}
	workers[run.Worker] = true
}

// Succeeded notes that a run ended as done.
func (o *Observer) Succeeded(run *Run, now time.Time) {
	clear(o.Watch(run.Worker, run.Born, now).failures)
	delete(o.avoid, run.ID.Task)
}

// Suspected reports whether a worker fails what others might not.
func (o *Observer) Suspected(id identifier.WorkerID, now time.Time) bool {
	watch, known := o.watches[id]
	if !known {
		return false
	}
	if !watch.stoodStill.IsZero() && now.Sub(watch.stoodStill) < failureMemory {
		return true
	}
	recent := 0
	for _, at := range watch.failures {
		if now.Sub(at) < failureMemory {
			recent++
		}
	}
	return recent >= suspectFailures
}

// Avoided reports whether a task failed on a worker before.
func (o *Observer) Avoided(task TaskID, id identifier.WorkerID) bool {
	return o.avoid[task][id]
}

// Stopping reports whether a run has been ordered to stop.
func (o *Observer) Stopping(run *Run) bool {
	return o.watches[run.Worker].stops(run)
}

// stops reports whether a run has been ordered to stop. The watch may be nil.
func (w *Watch) stops(run *Run) bool {
	if w == nil || len(w.Stopping) == 0 {
		return false
	}
	_, stopping := w.Stopping[run.ID]
	return stopping
}

// Forget drops what is kept of runs that have ended.
func (o *Observer) Forget(s *State, now time.Time) {
	for _, watch := range o.watches {
		for id := range watch.Stopping {
			if s.runs[id] == nil {
				delete(watch.Stopping, id)
			}
		}
		for id := range watch.Progress {
			if s.runs[id] == nil {
				delete(watch.Progress, id)
				delete(watch.still, id)
			}
		}
	}
	for id, runs := range o.loose {
		for run, at := range runs {
			if now.Sub(at) >= looseMemory {
				delete(runs, run)
			}
		}
		if len(runs) == 0 {
			delete(o.loose, id)
		}
	}
	for task := range o.avoid {
		if s.active[task.Job] == nil {
			delete(o.avoid, task)
		}
	}
	for step := range o.Tickets {
		if s.active[step.Job] == nil {
			delete(o.Tickets, step)
		}
	}
}
