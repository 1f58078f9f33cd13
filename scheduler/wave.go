package scheduler

// UpkeepState is how far a machine's upkeep is.
type UpkeepState string

// The states of an upkeep.
const (
	UpkeepWaiting UpkeepState = "waiting"
	// UpkeepOrdered says that the order may have been sent.
	UpkeepOrdered UpkeepState = "ordered"
	UpkeepBegun   UpkeepState = "begun"
	UpkeepDone    UpkeepState = "done"
	// UpkeepLost says that there is no such machine any more.
	UpkeepLost UpkeepState = "lost"
)

// MachineUpkeep is one machine of a wave.
type MachineUpkeep struct {
	Machine MachineID   `json:"machine"`
	State   UpkeepState `json:"state"`
	// Since is when the state was reached.
	Since UnixMilli `json:"since,omitempty"`
}

// Wave is an order to maintain machines in time, a few at once.
type Wave struct {
	ID              WaveID          `json:"id"`
	Machines        []MachineUpkeep `json:"machines"`
	DurationSeconds int64           `json:"seconds"`
	// Cap bounds the machines that are down at once.
	Cap     int       `json:"cap"`
	Started UnixMilli `json:"started"`
}

// Completed reports whether every machine that is left has begun its upkeep.
func (w *Wave) Completed() bool {
	for i := range w.Machines {
		if state := w.Machines[i].State; state == UpkeepWaiting || state == UpkeepOrdered {
			return false
		}
	}
	return true
}

// countDown counts the machines that may be countDown.
func (w *Wave) countDown() int {
	count := 0
	for i := range w.Machines {
		if state := w.Machines[i].State; state == UpkeepOrdered || state == UpkeepBegun {
			count++
		}
	}
	return count
}

// Upkeep changes the state of one machine of a wave.
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
		return Result{Outcome: OutcomeInvalid, Reason: "no machines or no cap"}
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
		return Result{Outcome: OutcomeUnknown}
	}
	for i := range wave.Machines {
		if machine := &wave.Machines[i]; machine.Machine == upkeep.Machine {
			machine.State = upkeep.State
			machine.Since = now
			return Result{Outcome: OutcomeDone}
		}
	}
	return Result{Outcome: OutcomeUnknown}
}
