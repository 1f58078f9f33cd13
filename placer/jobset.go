package placer

import "cranberrystack.dev/cranberrystack/identifier"

// jobSet holds jobs in an order that depends only on the calls made, so that
// decisions do not depend on the order of a map.
type jobSet struct {
	index map[identifier.JobID]int
	list  []*Job
}

func newJobSet() *jobSet {
	return &jobSet{index: map[identifier.JobID]int{}}
}

func (s *jobSet) get(id identifier.JobID) (*Job, bool) {
	place, known := s.index[id]
	if !known {
		return nil, false
	}
	return s.list[place], true
}

func (s *jobSet) add(job *Job) {
	if _, known := s.index[job.Spec.ID]; known {
		return
	}
	s.index[job.Spec.ID] = len(s.list)
	s.list = append(s.list, job)
}

// remove takes a job out; the last one takes its place.
func (s *jobSet) remove(id identifier.JobID) bool {
	place, known := s.index[id]
	if !known {
		return false
	}
	last := len(s.list) - 1
	s.list[place] = s.list[last]
	s.index[s.list[place].Spec.ID] = place
	s.list[last] = nil
	s.list = s.list[:last]
	delete(s.index, id)
	return true
}

func (s *jobSet) len() int { return len(s.list) }

// all returns the jobs as they are now; the set may change while the caller
// walks them.
func (s *jobSet) all() []*Job {
	return append([]*Job(nil), s.list...)
}
