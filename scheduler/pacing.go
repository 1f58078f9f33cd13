package scheduler

import (
	"cranberrystack.dev/cranberrystack/identifier"
)

// Pace is a new share at which a filling run may work.
type Pace struct {
	Run     RunID
	Percent int
	Reason  string
}

const (
	paceFull = 100
	paceStep = 25
	// paceRaiseBelow is the part of its target, in percent, below which a serving
	// task leaves room for more filling.
	paceRaiseBelow = 60
)

// Paces returns how the filling runs of a worker should work: half as fast, or
// not at all, while a task that serves there is over its target, and faster
// again step by step once all are well below. current holds the shares now;
// a run that is not in it works fully.
func (s *State) Paces(o *Observer, id identifier.WorkerID, current map[RunID]int) []Pace {
	watch := o.Observation(id)
	if watch == nil {
		return nil
	}
	var filling []RunID
	worst := int64(0)
	serves := false
	for run := range s.placed[id] {
		step := s.StepOf(run.Task)
		if step == nil {
			continue
		}
		if step.BestEffort {
			filling = append(filling, run)
		}
		if progress, seen := watch.Progress[run]; seen && step.Serves() {
			serves = true
			worst = max(worst, progress.Measurement*100/step.TargetMillis)
		}
	}
	SortRuns(filling)
	var paces []Pace
	for _, run := range filling {
		share, known := current[run]
		if !known {
			share = paceFull
		}
		next, reason := nextPercent(share, worst, serves)
		if next != share {
			paces = append(paces, Pace{Run: run, Percent: next, Reason: reason})
		}
	}
	return paces
}

// nextPercent returns the share that follows from the worst tail, in percent of
// its target.
func nextPercent(share int, worst int64, serves bool) (int, string) {
	switch {
	case !serves:
		return paceFull, "nothing serves here"
	case worst > 2*100:
		return 0, "a target is missed twofold"
	case worst > 100:
		return max(0, share-2*paceStep), "a target is missed"
	case worst < paceRaiseBelow && share < paceFull:
		return min(paceFull, share+paceStep), "targets are met"
	}
	return share, ""
}

// HasInterference reports whether tasks that serve and tasks that fill share a
// worker.
func (s *State) HasInterference(id identifier.WorkerID) bool {
	serves, fills := false, false
	for run := range s.placed[id] {
		if step := s.StepOf(run.Task); step != nil {
			serves = serves || step.Serves()
			fills = fills || step.BestEffort
		}
	}
	return serves && fills
}
