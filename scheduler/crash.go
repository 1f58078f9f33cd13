package scheduler

import (
	"fmt"
	"maps"
	"slices"
	"sort"
	"time"

	"cranberrystack.dev/cranberrystack/identifier"
)

const (
	// maxSuspectedCrashes is the number of crashes that a task is suspected of at
	// which it is given up, if they hit at least two machines.
	maxSuspectedCrashes = 3
	// maxCrashes is the number of crashes under a task at which it is given up, even
	// if it is not known to have caused them.
	maxCrashes = 5
	// crashMemory is how long a crash counts after it was recorded.
	crashMemory = UnixMilli(10 * 60 * 1000)
	// maxRecordedCrashes bounds the crashes that are recorded for a task.
	maxRecordedCrashes = 16
	// survivalTime is how long a run must have lived to show that its task does not
	// crash the workers that start it.
	survivalTime = UnixMilli(10_000)
	// suspectTime is how long a run must be known to have been alive so that it is not
	// a likely cause of its worker's crash.
	suspectTime = time.Second
	// commonCauseCrashes is the number of other crashes within commonCauseWindow from
	// which a crash probably has a cause in common with them.
	commonCauseCrashes = 2
	commonCauseWindow  = 5 * time.Second
	// isolationTime is how long after its start a run of a suspected task keeps
	// other runs off its worker.
	isolationTime = UnixMilli(3000)
)

// WorkerCrash is a crash of a worker under a run of a task.
type WorkerCrash struct {
	At UnixMilli `json:"at"`
	// Machine is the worker's machine, or its address if the machine is unknown.
	Machine   MachineID `json:"machine"`
	RunNumber int       `json:"run"`
	// Suspected says that the run had just been started, and that no other run there
	// is a likelier cause.
	Suspected bool `json:"suspected,omitempty"`
}

// LostRun is a run that ended with the process of its worker.
type LostRun struct {
	Run RunID
	// Worker and Incarnation are those of the process that has ended.
	Worker      identifier.WorkerID
	Incarnation UnixMilli
	// Suspected says that the run is suspected of the worker's crash.
	Suspected bool
}

// suspectedCrashes counts the crashes that a task is suspected of.
func (t *TaskState) suspectedCrashes() int {
	count := 0
	for i := range t.Crashes {
		if t.Crashes[i].Suspected {
			count++
		}
	}
	return count
}

// needsIsolation reports whether a run of the task should not share its worker.
func (t *TaskState) needsIsolation() bool {
	return t.suspectedCrashes() > 0 || len(t.Crashes) > 1
}

// crashesOn counts the crashes of a worker's machine under a task.
func (t *TaskState) crashesOn(worker *Worker) int {
	count := 0
	for i := range t.Crashes {
		if t.Crashes[i].Machine == worker.crashMachine() {
			count++
		}
	}
	return count
}

// crashMachine returns the name under which crashes of the worker are recorded.
func (w *Worker) crashMachine() MachineID {
	if w.Machine == "" {
		return MachineID(w.Address)
	}
	return w.Machine
}

// recordCrash adds a crash of a worker under a run of the task and drops those that
// no longer count.
func (t *TaskState) recordCrash(crash WorkerCrash) {
	t.Crashes = slices.DeleteFunc(t.Crashes, func(c WorkerCrash) bool { return crash.At-c.At > crashMemory })
	t.Crashes = append(t.Crashes, crash)
	t.Crashes = t.Crashes[max(0, len(t.Crashes)-maxRecordedCrashes):]
}

// crashesWorkers reports whether the task has to be given up because of the crashes
// under it. Suspected crashes of one machine alone may be the machine's fault. A
// long-running task is to be restarted however it ends, so that only suspected crashes
// of several machines count, each machine once.
func (t *TaskState) crashesWorkers(longRunning bool) bool {
	machines := map[MachineID]bool{}
	for i := range t.Crashes {
		if t.Crashes[i].Suspected {
			machines[t.Crashes[i].Machine] = true
		}
	}
	if longRunning {
		return len(machines) >= maxSuspectedCrashes
	}
	return len(t.Crashes) >= maxCrashes || t.suspectedCrashes() >= maxSuspectedCrashes && len(machines) > 1
}

// replacedBy returns the known workers whose processes have ended if a worker's
// report is true: its earlier incarnation, and workers at its address or on its
// machine. They are in the order of their ids. A process beside the workers of a
// machine may report itself too, for a pool that the catalog does not have.
func (s *State) replacedBy(worker *Worker) []*Worker {
	var replaced []*Worker
	for _, other := range s.workers {
		switch {
		case other.ID == worker.ID && other.Incarnation < worker.Incarnation:
			replaced = append(replaced, other)
		case other.ID != worker.ID && other.conflictsWith(worker) && s.mayHavePool(worker.Pool) && s.mayHavePool(other.Pool):
			replaced = append(replaced, other)
		}
	}
	sort.Slice(replaced, func(i, j int) bool { return replaced[i].ID < replaced[j].ID })
	return replaced
}

// mayHavePool reports whether the catalog has a pool, or there is no catalog yet.
func (s *State) mayHavePool(name PoolName) bool {
	return s.catalog.Version == 0 || s.catalog.Pool(name) != nil
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

// Suspicion names the runs that may have crashed their worker's process.
type Suspicion struct {
	// Likely holds the runs that had just been started.
	Likely []RunID `json:"likely,omitempty"`
	// Possible holds the runs that may have just been started, and, if nothing else
	// explains the crash, those that had not.
	Possible []RunID `json:"possible,omitempty"`
}

// Suspicion returns the runs that may have crashed the processes that a worker's
// report shows to have ended, and records a crash that no run explains. attempts holds
// the starts of this leader.
func (o *Observer) Suspicion(s *State, worker *Worker, attempts map[RunID]*StartAttempt, now time.Time) *Suspicion {
	replaced := s.replacedBy(worker)
	suspicion, explained := o.suspicionOf(s, replaced, attempts, now)
	for _, old := range replaced {
		if old.State == WorkerReady && !explained {
			o.unexplained[old.ID] = now
		}
	}
	maps.DeleteFunc(o.unexplained, func(_ identifier.WorkerID, at time.Time) bool { return now.Sub(at) >= commonCauseWindow })
	if suspicion != nil && len(o.unexplained) >= commonCauseCrashes {
		// These crashes have a cause other than the runs, and so may this one.
		suspicion.Possible = append(suspicion.Possible, suspicion.Likely...)
		suspicion.Likely = nil
	}
	return suspicion
}

// SuspicionOfLost returns the runs that may have crashed a worker, if its process has
// ended.
func (o *Observer) SuspicionOfLost(s *State, worker *Worker, attempts map[RunID]*StartAttempt, now time.Time) *Suspicion {
	suspicion, _ := o.suspicionOf(s, []*Worker{worker}, attempts, now)
	return suspicion
}

// suspicionOf returns the runs that may have crashed workers, or nil if there are none,
// and whether one of them may have just been started.
func (o *Observer) suspicionOf(s *State, workers []*Worker, attempts map[RunID]*StartAttempt, now time.Time) (*Suspicion, bool) {
	var suspicion Suspicion
	var older []RunID
	for _, worker := range workers {
		observation := o.observations[worker.ID]
		if observation == nil || observation.Incarnation != worker.Incarnation {
			observation = &WorkerObservation{}
		}
		for _, run := range s.runsOfIncarnation(worker) {
			if observation.unlistedEnds[run.ID] {
				// It had ended before the crash.
				continue
			}
			switch observation.ageAtCrash(attempts[run.ID]) {
			case ageYoung:
				suspicion.Likely = append(suspicion.Likely, run.ID)
			case ageUnknown:
				suspicion.Possible = append(suspicion.Possible, run.ID)
			case ageOld:
				older = append(older, run.ID)
			}
		}
	}
	explained := len(suspicion.Likely)+len(suspicion.Possible) > 0
	if len(suspicion.Likely) == 0 && !o.manyRestarts(s, workers, now) {
		suspicion.Possible = append(suspicion.Possible, older...)
	}
	if len(suspicion.Likely)+len(suspicion.Possible) == 0 {
		return nil, explained
	}
	return &suspicion, explained
}

// runAge says how long a run had been alive when its worker crashed.
type runAge int

const (
	ageUnknown runAge = iota
	// ageYoung is certainly less than suspectTime.
	ageYoung
	// ageOld is certainly suspectTime or more.
	ageOld
)

// ageAtCrash returns the age of a run when its worker crashed, which was between the
// last contact and the first poll without a response. attempt may be nil.
func (w *WorkerObservation) ageAtCrash(attempt *StartAttempt) runAge {
	if attempt == nil || attempt.Ordered.IsZero() {
		if w.LastContact.IsZero() {
			return ageUnknown
		}
		// The run is of an earlier leadership, and its worker outlived that.
		return ageOld
	}
	switch {
	case w.LastContact.Sub(attempt.Ordered) >= suspectTime:
		return ageOld
	case w.MissedPolls > 0 && w.MissedSince.Sub(attempt.Ordered) < suspectTime:
		return ageYoung
	}
	return ageUnknown
}

// manyRestarts reports whether other workers have recently become unresponsive or
// started, so that a crash is more likely one of several with a common cause.
func (o *Observer) manyRestarts(s *State, workers []*Worker, now time.Time) bool {
	count := 0
	for id, observation := range o.observations {
		other := s.workers[id]
		if other == nil || slices.ContainsFunc(workers, other.isSameOrConflicts) {
			continue
		}
		if observation.MissedPolls > 0 || observation.firstSeen.After(o.Since) && now.Sub(observation.firstSeen) < commonCauseWindow {
			count++
		}
	}
	return count >= commonCauseCrashes
}

func (w *Worker) isSameOrConflicts(o *Worker) bool { return w.ID == o.ID || w.conflictsWith(o) }

// likely returns the runs that are suspected of their worker's crash: those of tasks
// that were suspected before, if there are any, and otherwise all likely ones.
func (s *State) likely(suspicion *Suspicion) map[RunID]bool {
	all, repeated := map[RunID]bool{}, map[RunID]bool{}
	for _, run := range suspicion.Likely {
		all[run] = true
		if s.suspected(run.Task) {
			repeated[run] = true
		}
	}
	if len(repeated) > 0 {
		return repeated
	}
	return all
}

// suspected reports whether a task is suspected of crashes.
func (s *State) suspected(id TaskID) bool {
	task := s.taskOf(id)
	return task != nil && task.suspectedCrashes() > 0
}

// taskOf returns the state of a task, or nil if it is unknown.
func (s *State) taskOf(id TaskID) *TaskState {
	job := s.jobs[id.Job]
	if job == nil {
		return nil
	}
	_, _, task := job.step(id)
	return task
}

// recordRestart records that a worker's process has ended and another has taken its
// place. Unless the worker was leaving, the crash counts for the tasks that may have
// caused it. It returns the runs that ended, and the jobs that are given up.
func (s *State) recordRestart(old, next *Worker, suspicion *Suspicion, now UnixMilli) ([]LostRun, []*Job) {
	runs := s.runsOfIncarnation(old)
	suspicion = old.LostRuns.with(suspicion.among(runs))
	if old.State != WorkerReady || s.inUpkeep(old.Machine) {
		suspicion = &Suspicion{}
	}
	likely := s.likely(suspicion)
	var lost []LostRun
	var ended []*Job
	for _, run := range runs {
		lost = append(lost, LostRun{Run: run.ID, Worker: old.ID, Incarnation: old.Incarnation, Suspected: likely[run.ID]})
		if job := s.active[run.ID.Task.Job]; job != nil {
			job.addEvent(now, "%s ended with its worker %s, which has restarted as %s", run.ID, old.ID, next.ID)
		}
	}
	for _, run := range slices.Concat(suspicion.Likely, suspicion.Possible) {
		crash := WorkerCrash{At: now, Machine: old.crashMachine(), RunNumber: run.Number, Suspected: likely[run]}
		if job := s.countCrash(run.Task, crash); job != nil {
			ended = append(ended, job)
		}
	}
	return lost, ended
}

// countCrash counts a crash for a task. It returns the job if it is given up for it,
// and nil otherwise.
func (s *State) countCrash(id TaskID, crash WorkerCrash) *Job {
	job := s.active[id.Job]
	if job == nil {
		return nil
	}
	step, _, task := job.step(id)
	if task == nil || task.Done {
		return nil
	}
	task.recordCrash(crash)
	if !task.crashesWorkers(step.LongRunning) {
		return nil
	}
	s.endJob(job, PhaseFailed, fmt.Sprintf("%s crashed %d workers", id, len(task.Crashes)), crash.At)
	return job
}

// recordLost notes on the worker of a run that is dropped whether the run may have
// crashed it, until the worker lists the end of the run or starts again.
func (s *State) recordLost(run *Run, suspicion *Suspicion) {
	worker := s.workers[run.Worker]
	if suspicion == nil || worker == nil || worker.Incarnation != run.Incarnation {
		return
	}
	worker.LostRuns = worker.LostRuns.with(suspicion.among([]*Run{run}))
}

// with returns the runs of two suspicions. Both may be nil.
func (s *Suspicion) with(o *Suspicion) *Suspicion {
	var both Suspicion
	for _, suspicion := range []*Suspicion{s, o} {
		if suspicion != nil {
			both.Likely = append(both.Likely, suspicion.Likely...)
			both.Possible = append(both.Possible, suspicion.Possible...)
		}
	}
	return &both
}

// among returns the part of a suspicion that names the given runs. The receiver may be
// nil.
func (s *Suspicion) among(runs []*Run) *Suspicion {
	var part Suspicion
	for _, run := range runs {
		if s != nil && slices.Contains(s.Likely, run.ID) {
			part.Likely = append(part.Likely, run.ID)
		}
		if s != nil && slices.Contains(s.Possible, run.ID) {
			part.Possible = append(part.Possible, run.ID)
		}
	}
	return &part
}

// clear removes a run from a suspicion, which may be nil.
func (s *Suspicion) clear(run RunID) {
	if s == nil {
		return
	}
	isRun := func(id RunID) bool { return id == run }
	s.Likely = slices.DeleteFunc(s.Likely, isRun)
	s.Possible = slices.DeleteFunc(s.Possible, isRun)
}

// inUpkeep reports whether a machine may be down for upkeep.
func (s *State) inUpkeep(machine MachineID) bool {
	for _, wave := range s.waves {
		for i := range wave.Machines {
			if upkeep := &wave.Machines[i]; upkeep.Machine == machine && (upkeep.State == UpkeepOrdered || upkeep.State == UpkeepBegun) {
				return true
			}
		}
	}
	return false
}
