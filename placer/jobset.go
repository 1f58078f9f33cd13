package placer

import "cranberrystack.dev/cranberrystack/identifier"

// jobSet holds jobs in the order in which they were added, so that decisions
// do not depend on the order of a map.
type jobSet struct {
	index map[identifier.JobID]*Job
	list  []*Job
}

func newJobSet() *jobSet {
	return &jobSet{index: map[identifier.JobID]*Job{}}
}

func (s *jobSet) get(id identifier.JobID) (*Job, bool) {
	job, known := s.index[id]
	return job, known
}

func (s *jobSet) add(job *Job) {
	if _, known := s.index[job.Spec.ID]; known {
		return
	}
	s.index[job.Spec.ID] = job
	s.list = append(s.list, job)
}

func (s *jobSet) remove(id identifier.JobID) bool {
	job, known := s.index[id]
	if !known {
		return false
	}
	delete(s.index, id)
	for i, other := range s.list {
		if other == job {
			s.list = append(s.list[:i:i], s.list[i+1:]...)
			break
		}
	}
	return true
}

// all returns the jobs; the slice stays as it is when the set changes.
func (s *jobSet) all() []*Job {
	return s.list[:len(s.list):len(s.list)]
}
