package scheduler

import (
	"sort"
	"time"

	"cranberrystack.dev/cranberrystack/identifier"
)

// StepPrecedes reports whether a step is to be placed before another.
func (s *State) StepPrecedes(a, b StepID) bool {
	first, second := s.jobs[a.Job], s.jobs[b.Job]
	if first == nil || second == nil {
		return second != nil
	}
	if first.Policy.Priority != second.Policy.Priority {
		return first.Policy.Priority < second.Policy.Priority
	}
	return first.Accepted < second.Accepted
}

// CandidateWorkers returns the workers that may suit a step, those with the most room
// first.
func (s *State) CandidateWorkers(o *Observer, step StepID, most int, now time.Time) []identifier.WorkerID {
	job := s.active[step.Job]
	if job == nil || step.Step >= len(job.Request.Steps) {
		return nil
	}
	u := &unit{job: job, occurrence: step.Occurrence, stepIndex: step.Step, step: &job.Request.Steps[step.Step]}
	b := newPlacementPass(s, o, now, 0)
	need := u.step.Demand()
	var rooms []*candidate
	for _, r := range b.candidates {
		if r.worker.Pool == job.Policy.Pool && need.Fits(r.worker.Capacity) &&
			(u.step.NeedsLabel == "" || r.worker.HasLabel(u.step.NeedsLabel)) {
			rooms = append(rooms, r)
		}
	}
	better := func(a, b *candidate) bool {
		near := func(r *candidate) bool { return u.step.DataRack != "" && r.rack == u.step.DataRack }
		if near(a) != near(b) {
			return near(a)
		}
		if need.Fits(a.free) != need.Fits(b.free) {
			return need.Fits(a.free)
		}
		return a.rack < b.rack
	}
	sort.SliceStable(rooms, func(i, j int) bool { return better(rooms[i], rooms[j]) })
	var workers []identifier.WorkerID
	for _, r := range rooms[:min(most, len(rooms))] {
		workers = append(workers, r.worker.ID)
	}
	return workers
}
