package scheduler

import (
	"sort"
	"time"
)

// Try is what the leader knows of its order to start a run.
type Try struct {
	// Calling counts the start calls that are under way.
	Calling int
	// Unanswered says that a start may still be carried out.
	Unanswered bool
	// Deadline is the latest worker's time at which a start is accepted.
	Deadline WorkerMilli
	// Started is when the worker said that the run is there.
	Started time.Time
	// Refused is when the worker said that the run can't start any more, though
	// it may have been there.
	Refused time.Time
	// Stopped is when the worker said that the run was ordered to stop, after
	// which it can't start any more.
	Stopped time.Time
}

// Look is the worker's answer about all that runs there.
type Look struct {
	// Sent is when the question was sent.
	Sent time.Time
	// Acked is what the question acknowledged.
	Acked   int64
	Born    UnixMilli
	Clock   WorkerMilli
	Running []RunningTask
	Ended   []End
}

// RunningTask is a run that is alive.
type RunningTask struct {
	Run        RunID
	Checkpoint string
	Percent    int
	Figure     int64
}

// lists reports whether an answer names a run, running or ended.
func (l *Look) lists(id RunID) bool {
	for i := range l.Running {
		if l.Running[i].Run == id {
			return true
		}
	}
	for i := range l.Ended {
		if l.Ended[i].Run == id {
			return true
		}
	}
	return false
}

// Gone reports whether a run that an answer does not name is certain never to
// be alive again. fence is the leader's own, with which the question was
// asked. try is nil if this leader sent no start.
func Gone(run *Run, try *Try, look *Look, fence Fence) bool {
	if run.Fence < fence && (try == nil || !try.Unanswered && try.Calling == 0) {
		return true
	}
	switch {
	case try == nil || try.Calling > 0:
		return false
	case !try.Stopped.IsZero() && try.Stopped.Before(look.Sent),
		!try.Refused.IsZero() && try.Refused.Before(look.Sent):
		return true
	case run.Born < look.Born:
		// The life that was meant has ended. A start that was not answered may
		// reach the next one.
		return !try.Unanswered
	case try.Unanswered:
		return look.Clock > try.Deadline
	}
	return !try.Started.IsZero() && try.Started.Before(look.Sent)
}

// MayStartLate reports whether a run that was given to an earlier life of a
// worker may still be started by the present one, whose clock began anew, so
// that the deadline of the start does not stop it.
func MayStartLate(run *Run, worker *Worker, try *Try, wall UnixMilli) bool {
	if run.Born >= worker.Born || wall-run.Assigned >= UnixMilli(looseMemory.Milliseconds()) {
		return false
	}
	return try == nil || try.Unanswered
}

// Vanished returns the placed runs of a worker that are certainly gone.
func (s *State) Vanished(worker *Worker, tries map[RunID]*Try, look *Look, fence Fence) []RunID {
	var gone []RunID
	for id, run := range s.placed[worker.ID] {
		if !look.lists(id) && Gone(run, tries[id], look, fence) {
			gone = append(gone, id)
		}
	}
	return gone
}

// SortRuns puts runs in the order of their jobs, tasks and numbers.
func SortRuns(runs []RunID) {
	sort.Slice(runs, func(i, j int) bool { return less(runs[i], runs[j]) })
}
