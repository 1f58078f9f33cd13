package scheduler

import (
	"sort"
	"time"

	"cranberrystack.dev/cranberrystack/identifier"
)

// StepPrecedes reports whether advice for step a is requested before that for step
// b. Steps of unknown jobs come first, then those of lower Priority values, then
// those of jobs accepted earlier. It is not the order of placement.
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

// CandidateWorkers returns up to limit schedulable workers of the job's pool
// whose total capacity and labels suit a task of the step. Workers in the step's
// data rack come first, then those with enough free capacity, then by rack name.
// It returns nil if the job is not active or has no such step.
func (s *State) CandidateWorkers(o *Observer, step StepID, limit int, now time.Time) []identifier.WorkerID {
	job := s.active[step.Job]
	if job == nil || step.Step >= len(job.Request.Steps) {
		return nil
	}
	u := &unit{job: job, occurrence: step.Occurrence, stepIndex: step.Step, step: &job.Request.Steps[step.Step]}
	p := newPlacementPass(s, o, now, 0)
	need := u.step.Demand()
	var candidates []*candidate
	for _, c := range p.candidates {
		if c.worker.Pool == job.Policy.Pool && need.Fits(c.worker.Capacity) &&
			(u.step.NeedsLabel == "" || c.worker.HasLabel(u.step.NeedsLabel)) {
			candidates = append(candidates, c)
		}
	}
	precedes := func(a, b *candidate) bool {
		nearData := func(c *candidate) bool { return u.step.DataRack != "" && c.rack == u.step.DataRack }
		if nearData(a) != nearData(b) {
			return nearData(a)
		}
		if need.Fits(a.free) != need.Fits(b.free) {
			return need.Fits(a.free)
		}
		return a.rack < b.rack
	}
	sort.SliceStable(candidates, func(i, j int) bool { return precedes(candidates[i], candidates[j]) })
	var workers []identifier.WorkerID
	for _, c := range candidates[:min(limit, len(candidates))] {
		workers = append(workers, c.worker.ID)
	}
	return workers
}
