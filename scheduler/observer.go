package scheduler

import (
	"time"

	"cranberrystack.dev/cranberrystack/identifier"
)

const (
	// minClockRate is the lowest rate of a worker's clock relative to this
	// instance's clock.
	minClockRate = 0.98
	// failureWindow is how long failures and stalls count against a worker.
	failureWindow = 8 * time.Second
	// faultyThreshold is the number of different jobs that must fail on a
	// worker within failureWindow, without a success in between, to make it
	// likely faulty.
	faultyThreshold = 3
)

// Progress is what a worker last reported about a run.
type Progress struct {
	Percent int
	// Measurement is the tail response time in milliseconds of a task that
	// serves requests, and the CPU in use of any other task.
	Measurement int64
	Checkpoint  string
	ReportedAt  time.Time
	// AdvancedAt is when Percent or Checkpoint last changed.
	AdvancedAt time.Time
	// since and sinceAt are the first progress above 0 that was reported, and when.
	since   int
	sinceAt time.Time
}

// WorkerObservation is what the leader has observed of one incarnation of a
// worker.
type WorkerObservation struct {
	Incarnation UnixMilli
	// firstSeen is when this incarnation was first observed.
	firstSeen time.Time
	// Sequence is the sequence number of the newest report.
	Sequence int64
	// LastContact is when a message from this worker last arrived, and ReportedAt when
	// the newest report did, which tells its capacity.
	LastContact time.Time
	ReportedAt  time.Time
	// MissedPolls counts the consecutive polls without a response, and MissedSince is
	// when the first of them failed.
	MissedPolls int
	MissedSince time.Time
	// EndsTruncated says that the worker may have more ends than its last poll result
	// listed.
	EndsTruncated bool
	// unlistedEnds holds the runs that the last poll result showed not to be alive without
	// listing their ends.
	unlistedEnds map[RunID]bool
	// AckConfirmed is the number of the last end whose acknowledgement the
	// worker has confirmed.
	AckConfirmed int64
	// backoffUntil is the time until which the worker gets no new runs.
	backoffUntil time.Time
	// unreachableAt is when an order last could not be sent to the worker, which
	// then gets no new runs until it has been in contact again.
	unreachableAt time.Time
	// clock is a time that the worker's clock had reached at clockAt.
	clock      WorkerMilli
	clockAt    time.Time
	clockKnown bool
	// leaseDeadline is the latest deadline to which leases may have been
	// renewed.
	leaseDeadline WorkerMilli
	// Progress holds what the worker last reported about each run.
	Progress map[RunID]Progress
	// Stopping holds when each run was first ordered to stop.
	Stopping map[RunID]time.Time
	// failures holds when each job last failed here, since the last success.
	failures map[identifier.JobID]time.Time
	// possibleStalls holds the runs that have made no progress for at least
	// half of minStall.
	possibleStalls map[RunID]bool
	// lastStall is when a run on this worker was last found to be stalled.
	lastStall time.Time
}

// Observer is what a leader has observed since it took over. It is not safe
// for concurrent use.
type Observer struct {
	// Since is when the leader took over.
	Since time.Time
	// MaxLease bounds a lease, on the worker's clock.
	MaxLease time.Duration
	// EarlierLease is the longest lease that earlier leaders may have given; at most
	// MaxLease.
	EarlierLease time.Duration
	// ContactTimeout is the time since the last contact after which a worker
	// gets no new runs.
	ContactTimeout time.Duration
	// Cordoned holds the workers that get no new runs because of upkeep.
	Cordoned map[identifier.WorkerID]bool

	// advice holds what advice has said about each step of the active jobs.
	advice       map[StepID]*stepAdvice
	observations map[identifier.WorkerID]*WorkerObservation
	// unanswered holds the starts without a response and when each was recorded,
	// by worker.
	unanswered map[identifier.WorkerID]map[RunID]time.Time
	// unexplained holds when workers crashed recently without a run that had just
	// been started.
	unexplained map[identifier.WorkerID]time.Time
	// avoided holds the workers on which each task has failed or stalled, until
	// a run of the task succeeds or its job ends.
	avoided map[TaskID]map[identifier.WorkerID]bool
	// runTimes holds the run times that the planner's last pass used; nil for the
	// declared ones.
	runTimes *runTimes
}

// NewObserver returns an observer without observations.
func NewObserver(now time.Time, maxLease, contactTimeout time.Duration) *Observer {
	return &Observer{
		Since: now, MaxLease: maxLease, EarlierLease: maxLease, ContactTimeout: contactTimeout,
		Cordoned:     map[identifier.WorkerID]bool{},
		advice:       map[StepID]*stepAdvice{},
		observations: map[identifier.WorkerID]*WorkerObservation{},
		unanswered:   map[identifier.WorkerID]map[RunID]time.Time{},
		avoided:      map[TaskID]map[identifier.WorkerID]bool{},
		unexplained:  map[identifier.WorkerID]time.Time{},
	}
}

// Track returns the observation of a worker and starts a new one for its first
// or a later incarnation. The observation of an earlier incarnation is
// dropped. For an incarnation earlier than the tracked one, Track returns the
// observation of the tracked one.
func (o *Observer) Track(id identifier.WorkerID, incarnation UnixMilli, now time.Time) *WorkerObservation {
	observation, known := o.observations[id]
	if !known || observation.Incarnation < incarnation {
		observation = &WorkerObservation{
			Incarnation: incarnation, firstSeen: now, Progress: map[RunID]Progress{}, Stopping: map[RunID]time.Time{},
			failures: map[identifier.JobID]time.Time{}, possibleStalls: map[RunID]bool{},
		}
		o.observations[id] = observation
	}
	return observation
}

// Observation returns the observation of a worker, or nil if there is none.
func (o *Observer) Observation(id identifier.WorkerID) *WorkerObservation { return o.observations[id] }

// RecordContact records a contact and a time that the worker's clock had
// reached by then. A clock out of range is ignored. Contacts may be recorded in
// another order than that of their times.
func (w *WorkerObservation) RecordContact(clock WorkerMilli, now time.Time) {
	if now.After(w.LastContact) {
		w.LastContact = now
	}
	if clock <= 0 || !ValidClock(clock) {
		return
	}
	if !w.clockKnown || clock >= w.Clock(now) {
		w.clock, w.clockAt, w.clockKnown = clock, now, true
	}
}

// maxClock is the latest time that a worker's clock may show, so that deadlines on it do
// not overflow.
const maxClock = WorkerMilli(maxTime)

// ValidClock reports whether a worker's clock may show a time; 0 says that the time is
// unknown.
func ValidClock(clock WorkerMilli) bool { return clock >= 0 && clock <= maxClock }

// BackOffUntil keeps new runs off the worker until a time.
func (w *WorkerObservation) BackOffUntil(until time.Time) { w.backoffUntil = until }

// RecordUnreachable records that an order could not be sent to the worker. A later
// contact shows that it is reachable again.
func (w *WorkerObservation) RecordUnreachable(now time.Time) { w.unreachableAt = now }

// quiet reports whether the worker has not been in contact for so long that it
// may be unreachable, though it still gets new runs if no other worker suits.
func (w *WorkerObservation) quiet(now time.Time) bool {
	return now.Sub(w.LastContact) >= quietTime
}

// quietTime is longer than the time between two reports of a worker.
const quietTime = 2200 * time.Millisecond

// RecordProgress records what a worker reports about a run.
func (w *WorkerObservation) RecordProgress(running *LiveRun, now time.Time) {
	progress := Progress{
		Percent: running.Percent, Measurement: running.Measurement, Checkpoint: running.Checkpoint, ReportedAt: now, AdvancedAt: now,
	}
	last, known := w.Progress[running.Run]
	if known && last.Percent == progress.Percent && last.Checkpoint == progress.Checkpoint {
		progress.AdvancedAt = last.AdvancedAt
	}
	progress.since, progress.sinceAt = last.since, last.sinceAt
	if last.since == 0 {
		progress.since, progress.sinceAt = progress.Percent, now
	}
	w.Progress[running.Run] = progress
	w.updatePossibleStall(running.Run, progress)
}

// RecordUnlistedEnds records whether a poll result may lack ends, and the placed runs that
// are not alive any more and whose ends it lacks.
func (w *WorkerObservation) RecordUnlistedEnds(truncated bool, unlisted []RunID) {
	w.EndsTruncated, w.unlistedEnds = truncated, nil
	if len(unlisted) > 0 {
		w.unlistedEnds = make(map[RunID]bool, len(unlisted))
	}
	for _, id := range unlisted {
		w.unlistedEnds[id] = true
	}
}

// LastCheckpoint returns the last known checkpoint of a run, or "" if there is
// none. The receiver may be nil.
func (w *WorkerObservation) LastCheckpoint(id RunID) string {
	if w == nil {
		return ""
	}
	return w.Progress[id].Checkpoint
}

const (
	// minRatePercents and minRateTime are the least progress, in percent, and the least
	// time between two reports from which a rate follows: progress is reported in whole
	// percents, and a report is up to some tens of milliseconds late.
	minRatePercents = 10
	minRateTime     = 400 * time.Millisecond
)

// FullMillis returns how long the whole task of a run would take on the worker at the
// rate of its progress so far, in milliseconds, or 0 if it can't be told. A member of a
// gang reports its own progress, so that this tells the pace of its own worker. The
// receiver may be nil.
func (w *WorkerObservation) FullMillis(id RunID) int64 {
	if w == nil {
		return 0
	}
	progress := w.Progress[id]
	percents, passed := progress.Percent-progress.since, progress.AdvancedAt.Sub(progress.sinceAt)
	if percents < minRatePercents || passed < minRateTime || progress.Percent >= 100 {
		return 0
	}
	return passed.Milliseconds() * 100 / int64(percents)
}

// HasClock reports whether the worker's clock is known.
func (w *WorkerObservation) HasClock() bool { return w.clockKnown }

// Clock returns a time that the worker's clock has certainly reached. It must be
// called only if HasClock.
func (w *WorkerObservation) Clock(now time.Time) WorkerMilli {
	passed := float64(now.Sub(w.clockAt).Milliseconds()) * minClockRate
	return w.clock + WorkerMilli(max(passed, 0))
}

// RenewLease returns a lease deadline that is span from now on the worker's
// clock, and records it. It must be called only if HasClock.
func (w *WorkerObservation) RenewLease(span time.Duration, now time.Time) WorkerMilli {
	deadline := w.Clock(now) + WorkerMilli(span.Milliseconds())
	w.leaseDeadline = max(w.leaseDeadline, deadline)
	return deadline
}

// LeasesExpired reports whether all leases on a worker have certainly expired.
// It returns false until EarlierLease has passed since this leader took over
// and since it first observed the worker's incarnation, because an earlier leader
// may have renewed leases until then.
func (o *Observer) LeasesExpired(id identifier.WorkerID, now time.Time) bool {
	longest := certainlyEndsWithin(o.EarlierLease)
	if now.Sub(o.Since) <= longest {
		return false
	}
	observation, known := o.observations[id]
	if !known {
		return true
	}
	if now.Sub(observation.firstSeen) <= longest {
		return false
	}
	return !observation.clockKnown || observation.Clock(now) > observation.leaseDeadline+WorkerMilli(leaseEndMargin.Milliseconds())
}

// leaseEndMargin is how long after a lease's end its runs count as alive.
const leaseEndMargin = 300 * time.Millisecond

// certainlyEndsWithin returns the time after which a lease given now has certainly
// ended.
func certainlyEndsWithin(lease time.Duration) time.Duration {
	return time.Duration(float64(lease)/minClockRate) + leaseEndMargin
}

// KnowsCapacity reports whether the capacity of a worker is known well enough for new
// runs. A worker that enforces its capacity refuses what does not fit; of any other,
// the newest report must be recent, since its capacity may have shrunk.
func (o *Observer) KnowsCapacity(s *State, worker *Worker, now time.Time) bool {
	if pool := s.catalog.Pool(worker.Pool); pool != nil && pool.EnforcesCapacity {
		return true
	}
	observation, known := o.observations[worker.ID]
	return known && observation.Incarnation == worker.Incarnation && now.Sub(observation.ReportedAt) < quietTime
}

// Schedulable reports whether a worker may get new runs.
func (o *Observer) Schedulable(worker *Worker, now time.Time) bool {
	if worker.State != WorkerReady || o.Cordoned[worker.ID] {
		return false
	}
	observation, known := o.observations[worker.ID]
	if !known || observation.Incarnation != worker.Incarnation || !observation.clockKnown {
		return false
	}
	return observation.MissedPolls == 0 && now.Sub(observation.LastContact) < o.ContactTimeout && !now.Before(observation.backoffUntil) &&
		(observation.unreachableAt.IsZero() || observation.LastContact.After(observation.unreachableAt))
}

// unansweredStartTimeout is how long an unanswered start may still be carried
// out. What it starts then lives for a lease more.
const unansweredStartTimeout = 18 * time.Second

// RecordUnansweredStart records that a start was not answered. It may still
// reach a later incarnation of the worker, which does not know what ran
// before.
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

// RecordFailure records that a run failed on its worker, which the task avoids
// from then on.
func (o *Observer) RecordFailure(run *Run, now time.Time) {
	o.Track(run.Worker, run.Incarnation, now).failures[run.ID.Task.Job] = now
	o.avoidWorker(run)
}

// avoidWorker makes a run's task avoid the run's worker while other workers
// have free capacity.
func (o *Observer) avoidWorker(run *Run) {
	workers, known := o.avoided[run.ID.Task]
	if !known {
		workers = map[identifier.WorkerID]bool{}
		o.avoided[run.ID.Task] = workers
	}
	workers[run.Worker] = true
}

// RecordSuccess records that a run was done. It clears the failures of the
// worker and the workers that the task avoids.
func (o *Observer) RecordSuccess(run *Run, now time.Time) {
	clear(o.Track(run.Worker, run.Incarnation, now).failures)
	delete(o.avoided, run.ID.Task)
}

// LikelyFaulty reports whether a worker probably causes failures itself, because
// a run has stalled on it or several jobs have failed on it recently.
func (o *Observer) LikelyFaulty(id identifier.WorkerID, now time.Time) bool {
	observation, known := o.observations[id]
	if !known {
		return false
	}
	if !observation.lastStall.IsZero() && now.Sub(observation.lastStall) < failureWindow {
		return true
	}
	return observation.recentFailures(now) >= faultyThreshold
}

// recentFailures counts the jobs that have failed on the worker within
// failureWindow, without a success in between.
func (w *WorkerObservation) recentFailures(now time.Time) int {
	recent := 0
	for _, at := range w.failures {
		if now.Sub(at) < failureWindow {
			recent++
		}
	}
	return recent
}

// avoidsAny reports whether a task should avoid any worker.
func (o *Observer) avoidsAny(task TaskID) bool { return len(o.avoided[task]) > 0 }

// Avoided reports whether a task should avoid a worker because it has failed
// or stalled there.
func (o *Observer) Avoided(task TaskID, id identifier.WorkerID) bool {
	return o.avoided[task][id]
}

// Stopping reports whether a run has been ordered to stop.
func (o *Observer) Stopping(run *Run) bool {
	return o.observations[run.Worker].isStopping(run)
}

// isStopping reports whether a run has been ordered to stop. The receiver may
// be nil.
func (w *WorkerObservation) isStopping(run *Run) bool {
	if w == nil || len(w.Stopping) == 0 {
		return false
	}
	_, stopping := w.Stopping[run.ID]
	return stopping
}

// Prune drops what is known about ended runs and jobs, and unanswered starts
// that can't be carried out any more.
func (o *Observer) Prune(s *State, now time.Time) {
	for _, observation := range o.observations {
		for id := range observation.Stopping {
			if s.runs[id] == nil {
				delete(observation.Stopping, id)
			}
		}
		for id := range observation.Progress {
			if s.runs[id] == nil {
				delete(observation.Progress, id)
				delete(observation.possibleStalls, id)
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
	for step := range o.advice {
		if s.active[step.Job] == nil {
			delete(o.advice, step)
		}
	}
}
