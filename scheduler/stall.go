package scheduler

import (
	"fmt"
	"time"
)

const (
	// minStall is the minimum time without progress after which a run counts
	// as stalled.
	minStall = 3 * time.Second
	// stallPercents is how many times the time per percent has to pass without
	// progress before a run counts as stalled.
	stallPercents = 8
	// maxStallDoublings bounds how often the limit doubles for a task that has
	// stalled or failed on several workers.
	maxStallDoublings = 6
)

// updatePossibleStall records whether a run may be stalled.
func (w *WorkerObservation) updatePossibleStall(id RunID, progress Progress) {
	if progress.ReportedAt.Sub(progress.AdvancedAt) >= minStall/2 {
		w.possibleStalls[id] = true
		return
	}
	delete(w.possibleStalls, id)
}

// hasPossibleStalls reports whether any run may be stalled. The receiver may be
// nil.
func (w *WorkerObservation) hasPossibleStalls() bool { return w != nil && len(w.possibleStalls) > 0 }

// stallLimit returns how long a run may make no progress. It follows from the
// time per percent, by the estimate or by the run so far, whichever is longer.
// It doubles for each worker on which the task has failed or stalled, so that
// a task that is slow on every worker can complete.
func (o *Observer) stallLimit(step *Step, run *Run, progress Progress, wall UnixMilli) time.Duration {
	perPercent := o.runTimes.patienceMillis(step, run) / 100
	if progress.Percent > 0 {
		productive := int64(wall-run.Assigned) - progress.ReportedAt.Sub(progress.AdvancedAt).Milliseconds()
		perPercent = max(perPercent, productive/int64(progress.Percent))
	}
	limit := max(minStall, time.Duration(stallPercents*perPercent)*time.Millisecond)
	return limit << min(len(o.avoided[run.ID.Task]), maxStallDoublings)
}

// stallTime returns how long a run has made no progress and how long it may.
// known is false if no run on the worker may be stalled, the worker does not
// respond to polls, it has not reported the run, or the run is not expected to make
// progress.
func (o *Observer) stallTime(step *Step, run *Run, wall UnixMilli) (idle, limit time.Duration, known bool) {
	observation := o.Observation(run.Worker)
	if !observation.hasPossibleStalls() || observation.MissedPolls > 0 || step == nil || step.LongRunning || step.BestEffort {
		return 0, 0, false
	}
	progress, seen := observation.Progress[run.ID]
	if !seen || step.Gang && (progress.Percent == 0 || progress.Percent >= 100) {
		// A gang member may be waiting for the others.
		return 0, 0, false
	}
	return progress.ReportedAt.Sub(progress.AdvancedAt), o.stallLimit(step, run, progress, wall), true
}

// StallReason returns why a run counts as stalled although its worker responds,
// or "" if it does not.
func (o *Observer) StallReason(step *Step, run *Run, wall UnixMilli) string {
	idle, limit, known := o.stallTime(step, run, wall)
	if !known || idle < limit {
		return ""
	}
	percent := o.Observation(run.Worker).Progress[run.ID].Percent
	return fmt.Sprintf("stands still at %d%% for %v, limit %v", percent, idle.Round(time.Millisecond), limit)
}

// MayBeStalled reports whether a run should be polled often because it may be
// stalled.
func (o *Observer) MayBeStalled(step *Step, run *Run, wall UnixMilli) bool {
	idle, limit, known := o.stallTime(step, run, wall)
	return known && idle >= limit/2
}

// RecordStall records that a run was found to be stalled.
func (o *Observer) RecordStall(run *Run, now time.Time) {
	o.Track(run.Worker, run.Incarnation, now).lastStall = now
	o.avoidWorker(run)
}
