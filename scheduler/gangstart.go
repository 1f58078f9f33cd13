package scheduler

import (
	"fmt"
	"time"
)

// GangStart is a gang whose members were ordered to start. Those that have started wait
// for the others, for a limited time.
type GangStart struct {
	Members []RunID
	// OrderedAt is when the members were ordered to start.
	OrderedAt time.Time
}

// Check reports whether nothing more has to be observed of the gang, because all its
// members have started or none is alive. If the gang has not started and can't any more,
// or has not within limit, Check returns the reason for which its members should be
// stopped.
func (g *GangStart) Check(s *State, o *Observer, attempts map[RunID]*StartAttempt, limit time.Duration, now time.Time) (settled bool, failure string) {
	var lost, stopping, waiting []RunID
	for _, id := range g.Members {
		run := s.runs[id]
		if run == nil {
			lost = append(lost, id)
			continue
		}
		observation := o.observations[run.Worker]
		if observation != nil && observation.Progress[id].Percent > 0 {
			// The members work only once all have started.
			return true, ""
		}
		if observation.isStopping(run) {
			stopping = append(stopping, id)
		}
		if attempt := attempts[id]; attempt == nil || attempt.Started.IsZero() {
			waiting = append(waiting, id)
		}
	}
	switch {
	case len(lost) == len(g.Members) || len(stopping) == len(g.Members) || s.gangDone(g.Members[0]):
		return true, ""
	case len(lost) > 0:
		return false, fmt.Sprintf("%s is lost before the gang has started", lost[0])
	case len(stopping) > 0:
		return false, fmt.Sprintf("%s is stopped before the gang has started", stopping[0])
	case len(waiting) == 0:
		return true, ""
	case now.Sub(g.OrderedAt) >= limit:
		return false, fmt.Sprintf("%d of %d members have not started in %v", len(waiting), len(g.Members), limit)
	}
	return false, ""
}

// gangDone reports whether the gang of a run is done.
func (s *State) gangDone(member RunID) bool {
	job := s.jobs[member.Task.Job]
	if job == nil {
		return false
	}
	_, state, _ := job.step(member.Task)
	return state != nil && state.RemainingTasks == 0
}
