package scheduler

import (
	"slices"
	"time"

	"cranberrystack.dev/cranberrystack/identifier"
)

// MachineInventory is the last list of the machine manager.
type MachineInventory struct {
	// Worker holds the worker of each machine that is up.
	Worker map[MachineID]identifier.WorkerID
	// Down holds the machines that are down for upkeep.
	Down map[MachineID]bool
	// Known holds all machines.
	Known map[MachineID]bool
}

// UpkeepActions is what to do now for a wave.
type UpkeepActions struct {
	// Cordon holds the workers that get no new runs.
	Cordon []identifier.WorkerID
	Stop   []Stop
	// Changes holds the state changes to commit. UpkeepOrdered is repeated until
	// the order has been answered, so that it is sent again.
	Changes []Upkeep
}

const (
	// drainLeadMillis is how long before the end of its turn a machine's
	// remaining runs are stopped.
	drainLeadMillis = 1000
	// upkeepDurationMillis is the approximate duration of one upkeep, with the
	// restart.
	upkeepDurationMillis = 3000
)

// NextUpkeep returns the next actions of a wave. A machine whose turn has come
// gets no new runs. Its runs may end while the wave's time allows. Runs that
// checkpoint, and those that would take too long, are stopped at once.
// Long-running tasks are stopped only as far as their step tolerates unavailable
// tasks. listed is when the inventory was requested.
func NextUpkeep(s *State, o *Observer, wave *Wave, inventory MachineInventory, listed time.Time, wall UnixMilli) UpkeepActions {
	var actions UpkeepActions
	chosen := map[*Run]bool{}
	slots := wave.Cap
	for i := range wave.Machines {
		machine := &wave.Machines[i]
		switch machine.State {
		case UpkeepOrdered:
			slots--
			if worker, up := inventory.Worker[machine.Machine]; up {
				actions.Cordon = append(actions.Cordon, worker)
			}
			actions.Changes = append(actions.Changes, Upkeep{Wave: wave.ID, Machine: machine.Machine, State: UpkeepOrdered})
		case UpkeepBegun:
			if !isBackUp(machine, inventory, listed, wall) {
				slots--
				continue
			}
			actions.Changes = append(actions.Changes, Upkeep{Wave: wave.ID, Machine: machine.Machine, State: UpkeepDone})
		}
	}
	for i := range wave.Machines {
		machine := &wave.Machines[i]
		if slots <= 0 || machine.State != UpkeepWaiting {
			continue
		}
		if !inventory.Known[machine.Machine] {
			actions.Changes = append(actions.Changes, Upkeep{Wave: wave.ID, Machine: machine.Machine, State: UpkeepLost})
			continue
		}
		slots--
		worker, up := inventory.Worker[machine.Machine]
		if !up {
			continue
		}
		actions.Cordon = append(actions.Cordon, worker)
		if s.drainWorker(o, worker, wave, wall, chosen, &actions) {
			actions.Changes = append(actions.Changes, Upkeep{Wave: wave.ID, Machine: machine.Machine, State: UpkeepOrdered})
		}
	}
	return actions
}

// OrderedForUpkeep returns the workers on machines whose upkeep has been ordered and has not
// begun as far as is known. It ends whatever runs there, so that they get no new runs,
// also before a list of the machine manager has arrived.
func (s *State) OrderedForUpkeep(wave *Wave) []identifier.WorkerID {
	ordered := map[MachineID]bool{}
	for i := range wave.Machines {
		if wave.Machines[i].State == UpkeepOrdered {
			ordered[wave.Machines[i].Machine] = true
		}
	}
	var workers []identifier.WorkerID
	for _, worker := range s.workers {
		if ordered[worker.Machine] {
			workers = append(workers, worker.ID)
		}
	}
	slices.Sort(workers)
	return workers
}

// isBackUp reports whether a machine that went down is up again.
func isBackUp(machine *MachineUpkeep, inventory MachineInventory, listed time.Time, wall UnixMilli) bool {
	if inventory.Down[machine.Machine] || wall-machine.Since < upkeepDurationMillis/2 {
		return false
	}
	_, up := inventory.Worker[machine.Machine]
	return up && UnixMilli(listed.UnixMilli()) > machine.Since+upkeepDurationMillis/2
}

// drainWorker reports whether a worker has no runs. Otherwise, it adds to actions
// the stops of the runs that the wave must not wait for any longer. chosen holds
// the long-running ones among all stops of the same call.
func (s *State) drainWorker(o *Observer, id identifier.WorkerID, wave *Wave, wall UnixMilli, chosen map[*Run]bool, actions *UpkeepActions) bool {
	placed := s.placed[id]
	if len(placed) == 0 {
		return true
	}
	left := wave.slackMillis(wall)
	for run, placedRun := range placed {
		if o.Stopping(placedRun) {
			continue
		}
		step := s.StepOf(run.Task)
		if step == nil {
			continue
		}
		if step.LongRunning {
			if s.mayStop(o, run.Task, chosen) {
				chosen[placedRun] = true
				actions.Stop = append(actions.Stop, Stop{Run: run, Cause: CauseUpkeep, Reason: "upkeep"})
			}
			continue
		}
		if step.Checkpoints || remainingMillis(step, placedRun, o, wall) > left {
			actions.Stop = append(actions.Stop, Stop{Run: run, Cause: CauseUpkeep, Reason: "upkeep"})
		}
	}
	return false
}

// slackMillis returns how long the machines whose turn has come can still wait
// for their runs, in milliseconds.
func (w *Wave) slackMillis(wall UnixMilli) int64 {
	waiting := int64(0)
	for i := range w.Machines {
		if w.Machines[i].State == UpkeepWaiting {
			waiting++
		}
	}
	rounds := (waiting + int64(w.Cap) - 1) / int64(max(1, w.Cap))
	end := int64(w.Started) + w.DurationSeconds*1000
	left := end - int64(wall)
	if rounds <= 0 {
		return left
	}
	return left/rounds - upkeepDurationMillis - drainLeadMillis
}

// mayStop reports whether a run of a step may be stopped, with its gang if it has
// one, without more unavailable tasks than the step tolerates. The runs in any of
// the sets count as unavailable, beside those that o knows to be stopping.
func (s *State) mayStop(o *Observer, task TaskID, chosen ...map[*Run]bool) bool {
	job := s.jobs[task.Job]
	if job == nil || !job.Active() {
		return true
	}
	step, state, _ := job.step(task)
	if step.Gang {
		return step.Width <= step.MaxUnavailable
	}
	unavailable := 0
	for i := range state.Tasks {
		id := RunID{Task: task, Number: state.Tasks[i].RunNumber}
		id.Task.Index = i
		if !s.fullyAvailable(o, id) || slices.ContainsFunc(chosen, func(set map[*Run]bool) bool { return set[s.runs[id]] }) {
			unavailable++
		}
	}
	return unavailable < step.MaxUnavailable
}

// maxStartup is how long after its start a long-running task may be starting up.
const maxStartup = UnixMilli(5000)

// StartingUp reports whether a run of a long-running task has just been started and has
// not reported 100 percent progress. Until it does, other tasks of its step may not be
// stopped.
func (s *State) StartingUp(w *WorkerObservation, run *Run, wall UnixMilli) bool {
	step := s.StepOf(run.ID.Task)
	return step != nil && step.LongRunning && wall-run.Assigned < maxStartup && w.Progress[run.ID].Percent < fullPercent
}

// fullPercent is the progress of a long-running task that works fully.
const fullPercent = 100

// fullyAvailable reports whether a run is not being stopped, has reported 100 percent
// progress and is not known to have ended since.
func (s *State) fullyAvailable(o *Observer, id RunID) bool {
	run := s.runs[id]
	if run == nil || o.Stopping(run) {
		return false
	}
	observation := o.Observation(run.Worker)
	if observation == nil {
		return false
	}
	progress, seen := observation.Progress[id]
	return seen && progress.Percent >= fullPercent && !observation.unlistedEnds[id]
}
