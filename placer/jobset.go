package placer

import "cranberrystack.dev/cranberrystack/identifier"

// jobSet is a set of jobs whose order depends only on the sequence of calls, so
// that decisions do not depend on map iteration order.
type jobSet struct {
	index map[identifier.JobID]int
	list  []*Job
}

func newJobSet() *jobSet {
	return &jobSet{index: map[identifier.JobID]int{}}
}

func (s *jobSet) get(id identifier.JobID) (*Job, bool) {
	position, known := s.index[id]
	if !known {
		return nil, false
	}
	return s.list[position], true
}

func (s *jobSet) add(job *Job) {
	if _, known := s.index[job.Spec.ID]; known {
		return
	}
	s.index[job.Spec.ID] = len(s.list)
	s.list = append(s.list, job)
}

// remove removes a job and moves the last job to its position.
func (s *jobSet) remove(id identifier.JobID) bool {
	position, known := s.index[id]
	if !known {
		return false
	}
	last := len(s.list) - 1
	s.list[position] = s.list[last]
	s.index[s.list[position].Spec.ID] = position
	s.list[last] = nil
	s.list = s.list[:last]
	delete(s.index, id)
	return true
}

func (s *jobSet) len() int { return len(s.list) }

// all returns a copy of the jobs, so that the set may change during iteration.
func (s *jobSet) all() []*Job {
	return append([]*Job(nil), s.list...)
}
