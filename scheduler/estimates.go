package scheduler

import (
	"encoding/json"
	"time"

	"cranberrystack.dev/cranberrystack/estimator"
)

// Estimates returns what was learned from the ends of runs. The caller must not
// change it.
func (s *State) Estimates() *estimator.Estimator { return s.estimates }

// ExpectedRunTime returns how long a task of a step is expected to take on a worker of
// usual pace. The step must exist.
func (s *State) ExpectedRunTime(job *Job, id StepID) estimator.Expectation {
	step := &job.Request.Steps[id.Step]
	return s.estimates.Expect(groupOf(job, step), id.String(), step.declared())
}

// Pace returns the learned pace of a worker's machine, and whether it is known.
func (s *State) Pace(worker *Worker) (pace float64, known bool) {
	return s.estimates.Pace(worker.machineName())
}

// groupOf returns the group of runs that are expected to behave like those of a step.
func groupOf(job *Job, step *Step) estimator.Group {
	return estimator.Group{Queue: string(job.Queue), Image: step.Image}
}

// declared returns the caller's estimate, or 0 if there is none.
func (s *Step) declared() time.Duration { return time.Duration(s.EstimateMillis) * time.Millisecond }

// machineName returns the name of the worker's machine, or its own id if it names none.
func (w *Worker) machineName() string {
	if w.Machine != "" {
		return string(w.Machine)
	}
	return string(w.ID)
}

// hasRunTime reports whether tasks of the step end by themselves and at a speed that
// does not depend on what other tasks leave.
func (s *Step) hasRunTime() bool { return !s.LongRunning && !s.BestEffort }

// recordRunTime gives the end of a run to the estimator. It must be called before the
// run is removed. What the estimator learns never affects the outcome of a command.
//
// The rate of a run's progress tells how long its task takes on its worker even if the
// run was cut short, resumed from a checkpoint, or was in a gang, whose members report
// their own progress and end together.
func (s *State) recordRunTime(run *Run, end *End, now UnixMilli) {
	job, worker := s.jobs[run.ID.Task.Job], s.workers[run.Worker]
	if job == nil || worker == nil || now <= run.Assigned {
		return
	}
	step, state, _ := job.step(run.ID.Task)
	if step == nil || !s.comparable(run, step, worker) {
		return
	}
	sample := estimator.Sample{
		Group: groupOf(job, step), Step: run.ID.Task.StepID().String(), Machine: worker.machineName(), Declared: step.declared(),
		Elapsed: time.Duration(min(now-run.Assigned, maxAmount)) * time.Millisecond, Tasks: step.Width, Ended: end.Kind == EndDone,
	}
	switch {
	case end.FullMillis > 0 && (step.Gang || end.Kind != EndDone || run.Checkpoint != ""):
		sample.Elapsed, sample.Ended = time.Duration(min(end.FullMillis, maxAmount))*time.Millisecond, true
	case run.Checkpoint != "" || end.Kind == EndGangBroken || end.Kind == EndGangTimeout:
		return
	case step.Gang && state.LiveRuns < step.Width:
		// The first member of a gang to end has given the gang's sample.
		return
	case step.Gang:
		sample.Machine, sample.Tasks, sample.Gang = s.slowestMachine(run), 1, true
	}
	s.estimates.Record(sample, int64(now))
}

// slowestMachine returns the machine with the lowest learned pace among those of a
// gang's members.
func (s *State) slowestMachine(run *Run) string {
	slowest, lowest := "", 0.0
	for _, member := range s.gangMembers(run) {
		worker := s.workers[member.Worker]
		if worker == nil {
			continue
		}
		if pace, _ := s.Pace(worker); slowest == "" || pace < lowest {
			slowest, lowest = worker.machineName(), pace
		}
	}
	return slowest
}

// comparable reports whether the time that a run takes can be compared with that of
// other runs of its group: it is neither far from its data nor in a gang that spans
// racks, where it takes up to three times as long.
func (s *State) comparable(run *Run, step *Step, worker *Worker) bool {
	rack := worker.Rack()
	if !step.hasRunTime() || step.DataRack != "" && step.DataRack != rack {
		return false
	}
	if !step.Gang || !step.SameRack {
		return true
	}
	for _, member := range s.gangMembers(run) {
		if other := s.workers[member.Worker]; other == nil || other.Rack() != rack {
			return false
		}
	}
	return true
}

// storeEstimates encodes the estimator for a snapshot. A snapshot is written without
// estimates rather than not at all.
func (s *State) storeEstimates() json.RawMessage {
	data, err := json.Marshal(s.estimates)
	if err != nil {
		return nil
	}
	return data
}

// restoreEstimates decodes the estimator of a snapshot. If it is missing or can't be
// decoded, nothing has been learned.
func restoreEstimates(data json.RawMessage) *estimator.Estimator {
	restored := estimator.New()
	if len(data) == 0 || restored.UnmarshalJSON(data) != nil {
		return estimator.New()
	}
	return restored
}
