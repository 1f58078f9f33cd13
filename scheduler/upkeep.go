package scheduler

import (
	"time"

	"cranberrystack.dev/cranberrystack/identifier"
)

// MachineInventory is what the keeper of the machines last said.
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
	// Cordon are the workers that get no new runs.
	Cordon  []identifier.WorkerID
	Stop    []Stop
	Changes []Upkeep
}

const (
	// drainLeadMillis is how long before its turn ends a machine is emptied by
	// stops.
	drainLeadMillis = 1000
	// upkeepDurationMillis is about how long one upkeep takes, restart included.
	upkeepDurationMillis = 3000
)

// NextUpkeep brings a wave forward. A machine whose turn has come gets no new
// runs; what runs there may end while time is left, then it is stopped, the
// tasks that serve only as far as their steps may miss some.
func NextUpkeep(s *State, o *Observer, wave *Wave, at MachineInventory, listed time.Time, wall UnixMilli) UpkeepActions {
	var next UpkeepActions
	slots := wave.Cap
	for i := range wave.Machines {
		machine := &wave.Machines[i]
		switch machine.State {
		case UpkeepOrdered:
			slots--
			next.Changes = append(next.Changes, Upkeep{Wave: wave.ID, Machine: machine.Machine, State: UpkeepOrdered})
		case UpkeepBegun:
			if !isBackUp(machine, at, listed, wall) {
				slots--
				continue
			}
			next.Changes = append(next.Changes, Upkeep{Wave: wave.ID, Machine: machine.Machine, State: UpkeepDone})
		}
	}
	for i := range wave.Machines {
		machine := &wave.Machines[i]
		if slots <= 0 || machine.State != UpkeepWaiting {
			continue
		}
		if !at.Known[machine.Machine] {
			next.Changes = append(next.Changes, Upkeep{Wave: wave.ID, Machine: machine.Machine, State: UpkeepLost})
			continue
		}
		slots--
		worker, up := at.Worker[machine.Machine]
		if !up {
			continue
		}
		next.Cordon = append(next.Cordon, worker)
		if s.drainWorker(o, worker, wave, wall, &next) {
			next.Changes = append(next.Changes, Upkeep{Wave: wave.ID, Machine: machine.Machine, State: UpkeepOrdered})
		}
	}
	return next
}

// isBackUp reports whether a machine that went down has come up again.
func isBackUp(machine *MachineUpkeep, at MachineInventory, listed time.Time, wall UnixMilli) bool {
	if at.Down[machine.Machine] || wall-machine.Since < upkeepDurationMillis/2 {
		return false
	}
	_, up := at.Worker[machine.Machine]
	return up && UnixMilli(listed.UnixMilli()) > machine.Since+upkeepDurationMillis/2
}

// drainWorker reports whether nothing runs on a worker, and orders what is in
// the way to stop once it can't wait any longer.
func (s *State) drainWorker(o *Observer, id identifier.WorkerID, wave *Wave, wall UnixMilli, next *UpkeepActions) bool {
	placed := s.placed[id]
	if len(placed) == 0 {
		return true
	}
	left := wave.slackMillis(wall)
	for run, held := range placed {
		if o.Stopping(held) {
			continue
		}
		step := s.StepOf(run.Task)
		if step == nil {
			continue
		}
		if step.LongRunning {
			if s.mayStopOne(o, run.Task) {
				next.Stop = append(next.Stop, Stop{Run: run, Cause: CauseUpkeep, Reason: "upkeep"})
			}
			continue
		}
		if step.Checkpoints || remainingMillis(step, held, o, wall) > left {
			next.Stop = append(next.Stop, Stop{Run: run, Cause: CauseUpkeep, Reason: "upkeep"})
		}
	}
	return false
}

// slackMillis returns how long the machines whose turn it is can wait, in
// milliseconds.
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

// mayStopOne reports whether one more task of a step may be away.
func (s *State) mayStopOne(o *Observer, task TaskID) bool {
	job := s.jobs[task.Job]
	if job == nil || !job.Active() {
		return true
	}
	step, state, _ := job.step(task)
	away := 0
	for i := range state.Tasks {
		id := task
		id.Index = i
		if !s.fullyAvailable(o, RunID{Task: id, Number: state.Tasks[i].Run}) {
			away++
		}
	}
	return away < step.MaxUnavailable
}

// fullyAvailable reports whether a run is fully at work.
func (s *State) fullyAvailable(o *Observer, id RunID) bool {
	run := s.runs[id]
	if run == nil || o.Stopping(run) {
		return false
	}
	watch := o.Observation(run.Worker)
	if watch == nil {
		return false
	}
	const full = 100
	progress, seen := watch.Progress[id]
	return seen && progress.Percent >= full
}
