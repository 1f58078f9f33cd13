package scheduler

import (
	"cranberrystack.dev/cranberrystack/identifier"
)

// Pace is a new share, in percent, at which the run of a best-effort task may
// work.
type Pace struct {
	Run     RunID
	Percent int
	Reason  string
}

const (
	paceFull = 100
	paceStep = 25
	// paceRaiseBelow is the tail response time, in percent of its target,
	// below which the share of best-effort tasks is raised.
	paceRaiseBelow = 60
)

// Paces returns the changes of the shares of a worker's best-effort runs.
// If the worst tail response time on the worker is over its target, each share
// falls by 50 points, over twice the target to 0. Below 60 percent of the target,
// each rises by 25 points. While no run that serves has reported a response time,
// it is 100. current holds the present shares; a run that is not in it has the full
// share.
func (s *State) Paces(o *Observer, id identifier.WorkerID, current map[RunID]int) []Pace {
	observation := o.Observation(id)
	if observation == nil {
		return nil
	}
	var bestEffort []RunID
	worstTail := int64(0)
	serves := false
	for run := range s.placed[id] {
		step := s.StepOf(run.Task)
		if step == nil {
			continue
		}
		if step.BestEffort {
			bestEffort = append(bestEffort, run)
		}
		if progress, seen := observation.Progress[run]; seen && step.Serves() {
			serves = true
			worstTail = max(worstTail, progress.Measurement*100/step.TargetMillis)
		}
	}
	SortRuns(bestEffort)
	var paces []Pace
	for _, run := range bestEffort {
		share, known := current[run]
		if !known {
			share = paceFull
		}
		next, reason := nextPercent(share, worstTail, serves)
		if next != share {
			paces = append(paces, Pace{Run: run, Percent: next, Reason: reason})
		}
	}
	return paces
}

// nextPercent returns the next share of a run for the worst tail response time
// on its worker, in percent of its target, and the reason for the change.
func nextPercent(share int, worstTail int64, serves bool) (int, string) {
	switch {
	case !serves:
		return paceFull, "no task on the worker serves requests"
	case worstTail > 2*100:
		return 0, "tail is over twice its target"
	case worstTail > 100:
		return max(0, share-2*paceStep), "tail is over its target"
	case worstTail < paceRaiseBelow && share < paceFull:
		return min(paceFull, share+paceStep), "tails are below their targets"
	}
	return share, ""
}

// HasInterference reports whether tasks that serve and best-effort tasks share
// a worker.
func (s *State) HasInterference(id identifier.WorkerID) bool {
	serves, bestEffort := false, false
	for run := range s.placed[id] {
		if step := s.StepOf(run.Task); step != nil {
			serves = serves || step.Serves()
			bestEffort = bestEffort || step.BestEffort
		}
	}
	return serves && bestEffort
}
