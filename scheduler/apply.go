package scheduler

import (
	"encoding/json"
	"fmt"
)

// Apply decodes a log entry, applies it and returns one result per command.
// Applying the same entries in the same order yields the same state on every
// instance.
func (s *State) Apply(data []byte) ([]Result, error) {
	var batch Batch
	if err := json.Unmarshal(data, &batch); err != nil {
		return nil, fmt.Errorf("decode batch: %w", err)
	}
	return s.ApplyBatch(batch), nil
}

// ApplyBatch applies a decoded log entry and returns one result per command.
func (s *State) ApplyBatch(batch Batch) []Result {
	results := make([]Result, len(batch.Commands))
	for i := range batch.Commands {
		results[i] = s.apply(&batch.Commands[i], batch)
	}
	s.noteLease(batch)
	s.prune(batch.Now)
	return results
}

func (s *State) apply(command *Command, batch Batch) Result {
	switch {
	case command.Configure != nil:
		return s.applyConfigure(command.Configure.Document, batch.Now)
	case command.Submit != nil:
		return s.applySubmit(command.Submit, batch.Now)
	case command.Cancel != nil:
		return s.applyCancel(command.Cancel, batch.Now)
	case command.Assign != nil:
		return s.applyAssign(command.Assign, batch)
	case command.RecordEnds != nil:
		return s.applyRecordEnds(command.RecordEnds, batch.Now)
	case command.Drop != nil:
		return s.applyDrop(command.Drop, batch.Now)
	case command.Register != nil:
		return s.applyRegister(*command.Register, command.Suspicion, batch.Now)
	case command.Leave != nil:
		return s.applyLeave(command.Leave)
	case command.Wave != nil:
		return s.applyWave(*command.Wave, batch.Now)
	case command.Upkeep != nil:
		return s.applyUpkeep(*command.Upkeep, batch.Now)
	case command.DataCenter != nil:
		return s.applyDataCenter(command.DataCenter, batch.Now)
	}
	return Result{Outcome: OutcomeInvalid, Reason: "empty command"}
}

func (s *State) applyConfigure(document Document, now UnixMilli) Result {
	catalog, err := ParseCatalog(document)
	if err != nil {
		return Result{Outcome: OutcomeInvalid, Reason: err.Error()}
	}
	if catalog.Version <= s.catalog.Version {
		return Result{Outcome: OutcomeUnchanged}
	}
	s.catalog = catalog
	s.document = document
	for _, job := range s.active {
		if queue := catalog.Queue(job.Queue); queue != nil {
			s.setPolicy(job, queue.policy(), now)
		}
	}
	s.retainShares()
	return Result{Outcome: OutcomeDone}
}

func (s *State) applySubmit(submit *Submit, now UnixMilli) Result {
	if known := s.jobs[submit.Job]; known != nil {
		if known.Team != submit.Team {
			return Result{Outcome: OutcomeConflict}
		}
		return Result{Outcome: OutcomeUnchanged, Phase: known.Phase}
	}
	queue := s.catalog.Queue(submit.Queue)
	if queue == nil {
		return Result{Outcome: OutcomeNotFound, Reason: "no such queue"}
	}
	job := newJob(submit.Job, queue, submit.Team, submit.Request, now)
	job.addEvent(now, "accepted in queue %s", job.Queue)
	s.jobs[job.ID] = job
	s.active[job.ID] = job
	s.footprint += job.Request.Footprint()
	return Result{Outcome: OutcomeDone, Phase: job.Phase}
}

func (s *State) applyCancel(cancel *Cancel, now UnixMilli) Result {
	job := s.jobs[cancel.Job]
	switch {
	case job == nil:
		return Result{Outcome: OutcomeNotFound}
	case !job.Active():
		return Result{Outcome: OutcomeUnchanged, Phase: job.Phase}
	}
	s.endJob(job, PhaseCancelled, "", now)
	return Result{Outcome: OutcomeDone, Phase: job.Phase, Ended: []*Job{job}}
}

func (s *State) endJob(job *Job, phase Phase, reason string, now UnixMilli) {
	job.end(phase, reason, now)
	delete(s.active, job.ID)
	s.releaseEnded(job)
}

func (s *State) applyAssign(assign *Assign, batch Batch) Result {
	for i := range assign.Runs {
		if reason := s.refusalReason(&assign.Runs[i]); reason != "" {
			return Result{Outcome: OutcomeStale, Reason: reason}
		}
	}
	for i := range assign.Runs {
		run := assign.Runs[i]
		run.FencingToken = batch.FencingToken
		run.Assigned = batch.Now
		s.runs[run.ID] = &run
		s.indexRun(&run)
		job := s.jobs[run.ID.Task.Job]
		step, state, task := job.step(run.ID.Task)
		task.RunNumber = max(task.RunNumber, run.ID.Number)
		task.LiveRuns++
		state.LiveRuns++
		job.liveRuns++
		s.chargeRuns(job, step, 1, batch.Now)
		if step.Gang {
			state.RunNumber = max(state.RunNumber, run.ID.Number)
		}
		job.StartedRuns++
		job.Started = true
	}
	if len(assign.Runs) > 0 {
		s.jobs[assign.Runs[0].ID.Task.Job].addAssignedEvent(assign.Runs, batch.Now)
	}
	return Result{Outcome: OutcomeDone}
}

// refusalReason returns why a run can't be assigned, or "" if it can.
func (s *State) refusalReason(run *Run) string {
	job := s.jobs[run.ID.Task.Job]
	if job == nil || !job.Active() {
		return "job has ended"
	}
	step, state, task := job.step(run.ID.Task)
	worker := s.workers[run.Worker]
	switch {
	case task == nil:
		return "no such task"
	case task.Done:
		return "task is done"
	case !job.dependenciesDone(run.ID.Task.Occurrence, run.ID.Task.Step):
		return "a dependency of the step is not done"
	case run.ID.Number <= task.RunNumber || step.Gang && run.ID.Number <= state.RunNumber:
		return "run number has been assigned before"
	case task.LiveRuns > 0 && !step.SpeculativeCopies || step.Gang && state.LiveRuns > 0:
		return "an earlier run may be alive"
	case worker == nil || worker.Incarnation != run.Incarnation || worker.State != WorkerReady:
		return "worker accepts no new runs"
	}
	return ""
}

func (s *State) applyRecordEnds(record *RecordEnds, now UnixMilli) Result {
	worker := s.workers[record.Worker]
	if worker == nil || worker.Incarnation != record.Incarnation {
		return Result{Outcome: OutcomeNotFound}
	}
	result := Result{Outcome: OutcomeDone}
	for i := range record.Ends {
		end := &record.Ends[i]
		if end.Number <= worker.Acked {
			continue
		}
		if job := s.applyEnd(record, end, now); job != nil {
			result.Ended = append(result.Ended, job)
		}
	}
	worker.Acked = max(worker.Acked, record.Number)
	return result
}

// applyEnd records the end of a run. It returns the job if the job has ended
// with it, and nil otherwise.
func (s *State) applyEnd(record *RecordEnds, end *End, now UnixMilli) *Job {
	run := s.runs[end.Run]
	if run == nil {
		s.workers[record.Worker].LostRuns.clear(end.Run)
		return s.applyLateEnd(end, now)
	}
	if run.Worker != record.Worker {
		return nil
	}
	s.recordRunTime(run, end, now)
	s.removeRun(run, now)
	job := s.jobs[end.Run.Task.Job]
	if job == nil || !job.Active() {
		return nil
	}
	step, state, task := job.step(end.Run.Task)
	if task == nil || task.Done {
		return nil
	}
	if now-run.Assigned >= survivalTime {
		task.Crashes = nil
	}
	job.saveCheckpoint(end.Run.Task, end.Checkpoint)
	if end.Kind != EndDone {
		job.addEvent(now, "%s ended on %s: %s", end.Run, record.Worker, end.Kind)
	}
	switch end.Kind {
	case EndDone:
		return s.taskDone(job, step, state, task, end.Run, now)
	case EndFailed:
		return s.taskFailed(job, step, state, task, end.Run, now)
	}
	return nil
}

// applyLateEnd records the end of a run that has already been removed, for
// example because its lease had certainly expired. If the run was done, its task
// is done, and the runs started in its place become useless.
func (s *State) applyLateEnd(end *End, now UnixMilli) *Job {
	job := s.active[end.Run.Task.Job]
	if job == nil || end.Kind != EndDone {
		return nil
	}
	step, state, task := job.step(end.Run.Task)
	if task == nil || task.Done || end.Run.Number > task.RunNumber {
		return nil
	}
	job.addEvent(now, "%s was done after all", end.Run)
	return s.taskDone(job, step, state, task, end.Run, now)
}

func (s *State) taskDone(job *Job, step *Step, state *StepState, task *TaskState, run RunID, now UnixMilli) *Job {
	if step.LongRunning {
		return nil
	}
	if step.Gang {
		state.DoneRunNumber = run.Number
		for i := range state.Tasks {
			state.Tasks[i].Done = true
		}
		state.RemainingTasks = 0
	} else {
		task.Done = true
		state.RemainingTasks--
	}
	if state.RemainingTasks > 0 {
		return nil
	}
	job.Occurrences[run.Task.Occurrence].RemainingSteps--
	for i := range job.Occurrences {
		if job.Occurrences[i].RemainingSteps > 0 {
			return nil
		}
	}
	s.endJob(job, PhaseCompleted, "", now)
	return job
}

func (s *State) taskFailed(job *Job, step *Step, state *StepState, task *TaskState, run RunID, now UnixMilli) *Job {
	if step.LongRunning {
		return nil
	}
	failures := 0
	if step.Gang {
		if run.Number > state.FailedRunNumber {
			state.FailedRunNumber = run.Number
			state.Failures++
		}
		failures = state.Failures
	} else {
		task.Failures++
		failures = task.Failures
	}
	if failures < job.Policy.MaxAttempts {
		return nil
	}
	s.endJob(job, PhaseFailed, fmt.Sprintf("%s failed %d times", run.Task, failures), now)
	return job
}

func (s *State) applyDrop(drop *Drop, now UnixMilli) Result {
	result := Result{Outcome: OutcomeUnchanged}
	for i, id := range drop.Runs {
		if run := s.runs[id]; run != nil {
			s.recordLost(run, drop.Suspicion)
			s.removeRun(run, now)
			result.Outcome = OutcomeDone
			if job := s.active[id.Task.Job]; job != nil {
				job.addEvent(now, "%s is lost on %s: %s", id, run.Worker, drop.Reason)
				job.saveCheckpoint(id.Task, drop.checkpoint(i))
				if drop.NotStarted {
					job.StartedRuns--
					job.Started = job.StartedRuns > 0
				}
			}
		}
	}
	return result
}

func (d *Drop) checkpoint(i int) string {
	if i >= len(d.Checkpoints) {
		return ""
	}
	return d.Checkpoints[i]
}

// saveCheckpoint stores the checkpoint from which a task, or its gang, can
// resume. An empty checkpoint is ignored.
func (j *Job) saveCheckpoint(id TaskID, checkpoint string) {
	_, state, task := j.step(id)
	if checkpoint == "" || task == nil {
		return
	}
	task.Checkpoint = checkpoint
	state.Checkpoint = checkpoint
}

// applyRegister applies a worker's report. It refuses a report older than the
// last one, and that of a worker that has left or has been replaced by a later
// incarnation or by a later worker at its address or on its machine.
func (s *State) applyRegister(worker Worker, suspicion *Suspicion, now UnixMilli) Result {
	known := s.workers[worker.ID]
	if worker.Outdated(known) || known != nil && worker.Incarnation == known.Incarnation && worker.Sequence < known.Sequence {
		return Result{Outcome: OutcomeStale, Reason: "earlier incarnation or report"}
	}
	if known != nil && s.mayHavePool(known.Pool) && !s.mayHavePool(worker.Pool) {
		return Result{Outcome: OutcomeStale, Reason: "the catalog has no pool " + string(worker.Pool)}
	}
	replaced := s.replacedBy(&worker)
	for _, other := range replaced {
		if other.Incarnation > worker.Incarnation {
			return Result{Outcome: OutcomeStale, Reason: "replaced by " + string(other.ID)}
		}
	}
	result := Result{Outcome: OutcomeDone}
	for _, other := range replaced {
		lost, ended := s.recordRestart(other, &worker, suspicion, now)
		result.Lost = append(result.Lost, lost...)
		result.Ended = append(result.Ended, ended...)
		if other != known {
			s.removeWorker(other, now)
		}
	}
	worker.Acked = 0
	if known != nil && known.Incarnation == worker.Incarnation {
		worker.Acked, worker.LostRuns = known.Acked, known.LostRuns
		worker.DrainingSince = known.DrainingSince
	}
	if worker.State == WorkerDraining && worker.DrainingSince == 0 {
		worker.DrainingSince = now
	}
	s.workers[worker.ID] = &worker
	return result
}

// conflictsWith reports whether two workers can't both be alive, because they
// share an address or a machine.
func (w *Worker) conflictsWith(o *Worker) bool {
	return w.Address == o.Address || w.Machine != "" && w.Machine == o.Machine
}

// removeWorker removes a worker whose process has ended, and all its runs.
func (s *State) removeWorker(worker *Worker, now UnixMilli) {
	for _, run := range s.placed[worker.ID] {
		s.removeRun(run, now)
	}
	delete(s.workers, worker.ID)
}

func (s *State) applyLeave(leave *Leave) Result {
	worker := s.workers[leave.Worker]
	if worker == nil || leave.Incarnation != 0 && leave.Incarnation < worker.Incarnation {
		return Result{Outcome: OutcomeUnchanged}
	}
	worker.State = WorkerLeft
	return Result{Outcome: OutcomeDone}
}

// prune removes jobs that ended at least jobRetention ago, and workers that
// have left and hold no runs. It does so at most once per tenth of
// jobRetention.
func (s *State) prune(now UnixMilli) {
	if now-s.prunedAt < jobRetention/10 && now >= s.prunedAt {
		return
	}
	s.prunedAt = now
	for id, job := range s.jobs {
		if job.Active() || now-job.Ended < jobRetention {
			continue
		}
		s.footprint -= job.Request.Footprint()
		s.chargeLiveRuns(job, -1, now)
		delete(s.jobs, id)
	}
	for id, worker := range s.workers {
		if worker.State == WorkerLeft && len(s.placed[id]) == 0 {
			delete(s.workers, id)
		}
	}
	s.retainShares()
}
