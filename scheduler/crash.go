package scheduler

import (
	"sort"

	"cranberrystack.dev/cranberrystack/identifier"
)

// LostRun is a run that ended with the process of its worker.
type LostRun struct {
	Run RunID
	// Worker and Incarnation are those of the process that has ended.
	Worker      identifier.WorkerID
	Incarnation UnixMilli
}

// runsOfIncarnation returns the runs that were assigned to an incarnation of a
// worker, in the order of their ids.
func (s *State) runsOfIncarnation(worker *Worker) []*Run {
	var runs []*Run
	for _, run := range s.placed[worker.ID] {
		if run.Incarnation == worker.Incarnation {
			runs = append(runs, run)
		}
	}
	sort.Slice(runs, func(i, j int) bool { return runLess(runs[i].ID, runs[j].ID) })
	return runs
}

// recordRestart records that an incarnation of a worker has been replaced by a
// later one, and returns the runs that ended with it.
func (s *State) recordRestart(old, next *Worker, now UnixMilli) []LostRun {
	var lost []LostRun
	for _, run := range s.runsOfIncarnation(old) {
		lost = append(lost, LostRun{Run: run.ID, Worker: old.ID, Incarnation: old.Incarnation})
		if job := s.active[run.ID.Task.Job]; job != nil {
			job.addEvent(now, "%s ended with its worker %s, which has restarted as %s", run.ID, old.ID, next.ID)
		}
	}
	return lost
}
