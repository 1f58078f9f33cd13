package scheduler

import (
	"sort"
	"time"
)

// StartAttempt is what the leader knows of its order to start a run.
type StartAttempt struct {
	// CallsInFlight counts the start calls that are under way.
	CallsInFlight int
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

// PollResult is the worker's answer about all that runs there.
type PollResult struct {
	// Sent is when the question was sent.
	Sent time.Time
	// Acked is what the question acknowledged.
	Acked       int64
	Incarnation UnixMilli
	Clock       WorkerMilli
	Running     []RunningTask
	Ended       []End
}

// RunningTask is a run that is alive.
type RunningTask struct {
	Run         RunID
	Checkpoint  string
	Percent     int
	Measurement int64
}

// mentions reports whether an answer names a run, running or ended.
func (l *PollResult) mentions(id RunID) bool {
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

// CertainlyLost reports whether a run that an answer does not name is certain never to
// be alive again. fence is the leader's own, with which the question was
// asked. try is nil if this leader sent no start.
func CertainlyLost(run *Run, try *StartAttempt, look *PollResult, fence FencingToken) bool {
	if run.FencingToken < fence && (try == nil || !try.Unanswered && try.CallsInFlight == 0) {
		return true
	}
	switch {
	case try == nil || try.CallsInFlight > 0:
		return false
	case !try.Stopped.IsZero() && try.Stopped.Before(look.Sent),
		!try.Refused.IsZero() && try.Refused.Before(look.Sent):
		return true
	case run.Incarnation < look.Incarnation:
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
func MayStartLate(run *Run, worker *Worker, try *StartAttempt, wall UnixMilli) bool {
	if run.Incarnation >= worker.Incarnation || wall-run.Assigned >= UnixMilli(unansweredStartTimeout.Milliseconds()) {
		return false
	}
	return try == nil || try.Unanswered
}

// LostRuns returns the placed runs of a worker that are certainly gone.
func (s *State) LostRuns(worker *Worker, tries map[RunID]*StartAttempt, look *PollResult, fence FencingToken) []RunID {
	var gone []RunID
	for id, run := range s.placed[worker.ID] {
		if !look.mentions(id) && CertainlyLost(run, tries[id], look, fence) {
			gone = append(gone, id)
		}
	}
	return gone
}

// SortRuns puts runs in the order of their jobs, tasks and numbers.
func SortRuns(runs []RunID) {
	sort.Slice(runs, func(i, j int) bool { return runLess(runs[i], runs[j]) })
}
