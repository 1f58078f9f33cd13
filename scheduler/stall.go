package scheduler

import (
	"fmt"
	"time"
)

const (
	// minStall is how long a run has to show no progress, at least, before
	// it is taken to stand still.
	minStall = 3 * time.Second
	// stallPercents is how often the time of one percent has to pass without one.
	stallPercents = 8
	// maxStallDoublings bounds how much longer a task is waited for that stood
	// still on several workers.
	maxStallDoublings = 6
)

// updateStallSuspect keeps which runs may stand still.
func (w *WorkerObservation) updateStallSuspect(id RunID, progress Progress) {
	if progress.ReportedAt.Sub(progress.AdvancedAt) >= minStall/2 {
		w.stallSuspects[id] = true
		return
	}
	delete(w.stallSuspects, id)
}

// hasStallSuspects reports whether any run may stand still. The watch may be nil.
func (w *WorkerObservation) hasStallSuspects() bool { return w != nil && len(w.stallSuspects) > 0 }

// stallLimit returns how long a run may show no progress. The time of one
// percent is taken from the estimate or from what the run has taken so far,
// whichever is longer; it doubles with each worker that the task was taken
// from, so that a task that is slow everywhere is let run.
func (o *Observer) stallLimit(step *Step, run *Run, progress Progress, wall UnixMilli) time.Duration {
	percent := step.EstimateMillis / 100
	if progress.Percent > 0 {
		moved := int64(wall-run.Assigned) - progress.ReportedAt.Sub(progress.AdvancedAt).Milliseconds()
		percent = max(percent, moved/int64(progress.Percent))
	}
	limit := max(minStall, time.Duration(stallPercents*percent)*time.Millisecond)
	return limit << min(len(o.avoided[run.ID.Task]), maxStallDoublings)
}

// stallTime returns how long a run has shown no progress, and how long it may. Of
// a run that need not show any, nothing is said.
func (o *Observer) stallTime(step *Step, run *Run, wall UnixMilli) (stood, limit time.Duration, known bool) {
	watch := o.Observation(run.Worker)
	if !watch.hasStallSuspects() || watch.MissedPolls > 0 || step == nil || step.LongRunning || step.BestEffort {
		return 0, 0, false
	}
	progress, seen := watch.Progress[run.ID]
	if !seen || step.Gang && (progress.Percent == 0 || progress.Percent >= 100) {
		// A gang's member may be waiting for the others.
		return 0, 0, false
	}
	return progress.ReportedAt.Sub(progress.AdvancedAt), o.stallLimit(step, run, progress, wall), true
}

// StallReason returns why a run that shows no progress though its worker
// answers should be stopped, empty if it should not.
func (o *Observer) StallReason(step *Step, run *Run, wall UnixMilli) string {
	stood, limit, known := o.stallTime(step, run, wall)
	if !known || stood < limit {
		return ""
	}
	percent := o.Observation(run.Worker).Progress[run.ID].Percent
	return fmt.Sprintf("stands still at %d%% for %v, limit %v", percent, stood.Round(time.Millisecond), limit)
}

// MayBeStalled reports whether a run should be looked at often, as it may stand
// still.
func (o *Observer) MayBeStalled(step *Step, run *Run, wall UnixMilli) bool {
	stood, limit, known := o.stallTime(step, run, wall)
	return known && stood >= limit/2
}

// RecordStall notes that a run was found to stand still.
func (o *Observer) RecordStall(run *Run, now time.Time) {
	o.Track(run.Worker, run.Incarnation, now).lastStall = now
	o.avoidWorker(run)
}
