package scheduler

import (
	"sort"
	"time"
)

// StartAttempt is what the leader knows about its orders to start and to stop a
// run, and about the run from workers' reports.
type StartAttempt struct {
	// Ordered is when the start of the run was first ordered.
	Ordered time.Time
	// CallsInFlight counts the start calls in flight.
	CallsInFlight int
	// Unanswered says that a start may still be carried out.
	Unanswered bool
	// Deadline is the latest time on the worker's clock at which it accepts a
	// start.
	Deadline WorkerMilli
	// SentAt is when the last start was sent, zero if none was.
	SentAt time.Time
	// Started is when the worker confirmed that it has the run.
	Started time.Time
	// Refused is when the worker responded that the run can't start any more.
	// It may have run before.
	Refused time.Time
	// Stopped is when the worker confirmed the order to stop, after which the
	// run can't start any more.
	Stopped time.Time
}

// PollResult is a worker's response to a poll. It lists the runs that are alive
// on the worker and those that have ended there.
type PollResult struct {
	// Sent is when the poll was sent.
	Sent time.Time
	// Acked is the number of the last end that the poll acknowledged.
	Acked       int64
	Incarnation UnixMilli
	// Clock is the worker's clock at its response.
	Clock   WorkerMilli
	Running []LiveRun
	Ended   []End
	// EndsTruncated says that Ended may lack the latest ends, because the worker lists a
	// limited number at a time. It lists the others once these are acknowledged.
	EndsTruncated bool
}

// LiveRun is a run that is alive on a worker. Checkpoint, Percent and Measurement
// are as in Progress.
type LiveRun struct {
	Run         RunID
	Checkpoint  string
	Percent     int
	Measurement int64
}

// mentions reports whether a poll result lists a run as running or ended.
func (r *PollResult) mentions(id RunID) bool {
	for i := range r.Running {
		if r.Running[i].Run == id {
			return true
		}
	}
	for i := range r.Ended {
		if r.Ended[i].Run == id {
			return true
		}
	}
	return false
}

// CertainlyOver reports whether a run that a poll result does not mention can
// never be alive again. token is the fencing token with which the leader polled.
// attempt is nil if this leader has ordered neither a start nor a stop, and no worker
// has reported the run to it.
//
// A run that was assigned under a lower token is over if this leader has no
// start of it in flight or unanswered: the worker has seen the new token with
// the poll and refuses starts of earlier leaders.
//
// In all other cases, the run is over only if attempt is not nil, no start is in
// flight and one of these holds:
//   - The worker confirmed a stop of the run, or refused to start it, before
//     the poll was sent.
//   - The poll was answered by a later incarnation than the run was assigned
//     to, no start is unanswered, and none was answered after the poll was sent.
//   - A start is unanswered, the poll was not answered by a later incarnation,
//     and the worker's clock is past the start's deadline.
//   - No start is unanswered, and the worker confirmed the start before the
//     poll was sent, so that the run has ended since.
func CertainlyOver(run *Run, attempt *StartAttempt, poll *PollResult, token FencingToken) bool {
	if run.FencingToken < token && (attempt == nil || !attempt.Unanswered && attempt.CallsInFlight == 0) {
		return true
	}
	switch {
	case attempt == nil || attempt.CallsInFlight > 0:
		return false
	case !attempt.Stopped.IsZero() && attempt.Stopped.Before(poll.Sent),
		!attempt.Refused.IsZero() && attempt.Refused.Before(poll.Sent):
		return true
	case run.Incarnation < poll.Incarnation:
		// The incarnation that the run was assigned to has ended. An
		// unanswered start may still reach the next one, and one that was answered
		// after the poll was sent may have.
		return !attempt.Unanswered && (attempt.Started.IsZero() || attempt.Started.Before(poll.Sent))
	case attempt.Unanswered:
		return poll.Clock > attempt.Deadline
	}
	return !attempt.Started.IsZero() && attempt.Started.Before(poll.Sent)
}

// MayBeAliveLate reports whether a run that was assigned to an earlier
// incarnation of a worker may be alive on the present one, or still be started
// there. The deadline of the start does not prevent that, since the clock of the
// new incarnation starts anew, and a late start brings a lease. token is that of
// this leader: the start of a run with a lower one was sent by an earlier leader,
// whatever this leader has ordered since. So may be that of a run without an
// attempt.
func (o *Observer) MayBeAliveLate(run *Run, worker *Worker, attempt *StartAttempt, token FencingToken, wall UnixMilli) bool {
	if run.Incarnation >= worker.Incarnation || wall-run.Assigned >= UnixMilli((unansweredStartTimeout+certainlyEndsWithin(o.MaxLease)).Milliseconds()) {
		return false
	}
	return attempt == nil || attempt.Unanswered || run.FencingToken < token
}

// MayOutlastDeadline reports whether a run that was ordered to start may be alive on an
// incarnation of its worker that has not registered, on whose clock its lease ends later.
func (o *Observer) MayOutlastDeadline(attempt *StartAttempt, now time.Time) bool {
	return attempt != nil && !attempt.SentAt.IsZero() && now.Sub(attempt.SentAt) <= certainlyEndsWithin(o.MaxLease)
}

// MissingRuns returns the placed runs of a worker that a poll result does not mention and
// that are certainly over. They are lost if the result lists all ends. If its ends are
// truncated, they are unlisted: a later result may show that they are done or have failed.
func (s *State) MissingRuns(worker *Worker, attempts map[RunID]*StartAttempt, poll *PollResult, token FencingToken) (lost, unlisted []RunID) {
	var missing []RunID
	for id, run := range s.placed[worker.ID] {
		if !poll.mentions(id) && CertainlyOver(run, attempts[id], poll, token) {
			missing = append(missing, id)
		}
	}
	if poll.EndsTruncated {
		return nil, missing
	}
	return missing, nil
}

// SortRuns sorts run ids by job, task and run number.
func SortRuns(runs []RunID) {
	sort.Slice(runs, func(i, j int) bool { return runLess(runs[i], runs[j]) })
}
