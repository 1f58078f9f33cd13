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

// GangVerdict is the result of GangStart.Check.
type GangVerdict struct {
	// Settled says that nothing more has to be observed of the gang, because all its
	// members have started or none is alive.
	Settled bool
	// Failure is the reason for which all members should be stopped; "" if there is none.
	Failure string
	// Late holds the runs that have not started within the limit.
	Late []*Run
}

// Check tells whether the gang has started, can still start within limit, or failed to.
func (g *GangStart) Check(s *State, o *Observer, attempts map[RunID]*StartAttempt, limit time.Duration, now time.Time) GangVerdict {
	var lost, stopping []RunID
	var waiting []*Run
	for _, id := range g.Members {
		run := s.runs[id]
		if run == nil {
			lost = append(lost, id)
			continue
		}
		observation := o.observations[run.Worker]
		if observation != nil && observation.Progress[id].Percent > 0 {
			// The members work only once all have started.
			return GangVerdict{Settled: true}
		}
		if observation.isStopping(run) {
			stopping = append(stopping, id)
		}
		if attempt := attempts[id]; attempt == nil || attempt.Started.IsZero() {
			waiting = append(waiting, run)
		}
	}
	switch {
	case len(lost) == len(g.Members) || len(stopping) == len(g.Members) || s.gangDone(g.Members[0]):
		return GangVerdict{Settled: true}
	case len(lost) > 0:
		return GangVerdict{Failure: fmt.Sprintf("%s is lost before the gang has started", lost[0])}
	case len(stopping) > 0:
		return GangVerdict{Failure: fmt.Sprintf("%s is stopped before the gang has started", stopping[0])}
	case len(waiting) == 0:
		return GangVerdict{Settled: true}
	case now.Sub(g.OrderedAt) >= limit:
		return GangVerdict{Failure: fmt.Sprintf("%d of %d members have not started in %v", len(waiting), len(g.Members), limit), Late: waiting}
	}
	return GangVerdict{}
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
