package scheduler

// UpkeepState is the state of a machine's upkeep.
type UpkeepState string

// The states of a machine's upkeep.
const (
	UpkeepWaiting UpkeepState = "waiting"
	// UpkeepOrdered says that the order may have been sent.
	UpkeepOrdered UpkeepState = "ordered"
	UpkeepBegun   UpkeepState = "begun"
	UpkeepDone    UpkeepState = "done"
	// UpkeepLost says that the machine no longer exists.
	UpkeepLost UpkeepState = "lost"
)

// MachineUpkeep is the upkeep of one machine in a wave.
type MachineUpkeep struct {
	Machine MachineID   `json:"machine"`
	State   UpkeepState `json:"state"`
	// Since is when the state was reached.
	Since UnixMilli `json:"since,omitempty"`
}

// Wave is an order to perform upkeep on machines within DurationSeconds, at
// most Cap at a time. Applying it sets Started and the state of each machine.
type Wave struct {
	ID              WaveID          `json:"id"`
	Machines        []MachineUpkeep `json:"machines"`
	DurationSeconds int64           `json:"seconds"`
	// Cap bounds the number of machines that are down at a time.
	Cap     int       `json:"cap"`
	Started UnixMilli `json:"started"`
}

// Completed reports whether the upkeep of every machine that still exists has
// begun. Machines may still be down.
func (w *Wave) Completed() bool {
	for i := range w.Machines {
		if state := w.Machines[i].State; state == UpkeepWaiting || state == UpkeepOrdered {
			return false
		}
	}
	return true
}

// downCount counts the machines that may be down.
func (w *Wave) downCount() int {
	count := 0
	for i := range w.Machines {
		if state := w.Machines[i].State; state == UpkeepOrdered || state == UpkeepBegun {
			count++
		}
	}
	return count
}

// Upkeep sets the upkeep state of one machine in a wave.
type Upkeep struct {
	Wave    WaveID      `json:"wave"`
	Machine MachineID   `json:"machine"`
	State   UpkeepState `json:"state"`
}

func (s *State) applyWave(wave Wave, now UnixMilli) Result {
	if _, known := s.waves[wave.ID]; known {
		return Result{Outcome: OutcomeUnchanged}
	}
	if len(wave.Machines) == 0 || wave.Cap <= 0 {
		return Result{Outcome: OutcomeInvalid, Reason: "wave has no machines or no cap"}
	}
	wave.Started = now
	for i := range wave.Machines {
		wave.Machines[i].State = UpkeepWaiting
	}
	s.waves[wave.ID] = &wave
	return Result{Outcome: OutcomeDone}
}

func (s *State) applyUpkeep(upkeep Upkeep, now UnixMilli) Result {
	wave, known := s.waves[upkeep.Wave]
	if !known {
		return Result{Outcome: OutcomeNotFound}
	}
	for i := range wave.Machines {
		if machine := &wave.Machines[i]; machine.Machine == upkeep.Machine {
			machine.State = upkeep.State
			machine.Since = now
			return Result{Outcome: OutcomeDone}
		}
	}
	return Result{Outcome: OutcomeNotFound}
}
