package scheduler

import (
	"encoding/json"
	"fmt"
	"sort"

	"cranberrystack.dev/cranberrystack/estimator"
	"cranberrystack.dev/cranberrystack/identifier"
	"cranberrystack.dev/cranberrystack/sharer"
)

// jobRetention is how long ended jobs are retained.
const jobRetention = UnixMilli(10 * 60 * 1000)

// State is the replicated state of the scheduler. It is not safe for
// concurrent use.
type State struct {
	catalog  Catalog
	document Document
	jobs     map[identifier.JobID]*Job
	workers  map[identifier.WorkerID]*Worker
	runs     map[RunID]*Run
	waves    map[WaveID]*Wave
	// dataCenters holds the data centres for which there was an order.
	dataCenters map[identifier.DataCenterID]DataCenterState
	// prunedAt is when ended jobs were last pruned.
	prunedAt UnixMilli
	lease    leaderLease
	// shares holds what the teams hold and have recently held. Apply never reads it.
	shares *sharer.Sharer
	// estimates is learned from the ends of runs. It never affects an Outcome.
	estimates *estimator.Estimator

	// The fields below are derived from those above.

	// active holds the jobs that have not ended.
	active map[identifier.JobID]*Job
	// placed holds the runs of each worker.
	placed map[identifier.WorkerID]map[RunID]*Run
	// footprint is the sum of the footprints of the jobs.
	footprint int64
}

// NewState returns the state before the first command.
func NewState() *State {
	return &State{
		jobs:    map[identifier.JobID]*Job{},
		workers: map[identifier.WorkerID]*Worker{},
		runs:    map[RunID]*Run{},
		waves:   map[WaveID]*Wave{},

		dataCenters: map[identifier.DataCenterID]DataCenterState{},
		shares:      newSharer(),
		estimates:   estimator.New(),

		active: map[identifier.JobID]*Job{},
		placed: map[identifier.WorkerID]map[RunID]*Run{},
	}
}

// storedState is the encoding of a State in snapshots.
type storedState struct {
	Document Document  `json:"document,omitempty"`
	Jobs     []*Job    `json:"jobs,omitempty"`
	Workers  []*Worker `json:"workers,omitempty"`
	Runs     []*Run    `json:"runs,omitempty"`
	Waves    []*Wave   `json:"waves,omitempty"`
	// DataCenters is absent in snapshots of versions that did not know such orders.
	DataCenters []DataCenterState `json:"data-centers,omitempty"`
	// PrunedAt is when ended jobs were last pruned.
	PrunedAt UnixMilli   `json:"forgotten,omitempty"`
	Lease    leaderLease `json:"lease,omitzero"`
	// Shares is absent in snapshots of versions without shares of teams.
	Shares json.RawMessage `json:"team-shares,omitempty"`
	// Estimates is absent in snapshots of versions that did not learn run times.
	Estimates json.RawMessage `json:"estimates,omitempty"`
}

// Snapshot encodes the state.
func (s *State) Snapshot() ([]byte, error) {
	stored := storedState{
		Document: s.document, PrunedAt: s.prunedAt, Lease: s.lease, DataCenters: s.DataCenters(), Estimates: s.storeEstimates(),
	}
	for _, job := range s.jobs {
		stored.Jobs = append(stored.Jobs, job)
	}
	for _, worker := range s.workers {
		stored.Workers = append(stored.Workers, worker)
	}
	for _, run := range s.runs {
		stored.Runs = append(stored.Runs, run)
	}
	for _, wave := range s.waves {
		stored.Waves = append(stored.Waves, wave)
	}
	shares, err := json.Marshal(s.shares)
	if err != nil {
		return nil, fmt.Errorf("encode shares: %w", err)
	}
	stored.Shares = shares
	sort.Slice(stored.Jobs, func(i, j int) bool { return stored.Jobs[i].ID < stored.Jobs[j].ID })
	data, err := json.Marshal(stored)
	if err != nil {
		return nil, fmt.Errorf("encode state: %w", err)
	}
	return data, nil
}

// Restore replaces the state by a snapshot. On an error, the state stays as it was.
func (s *State) Restore(data []byte) error {
	var stored storedState
	if err := json.Unmarshal(data, &stored); err != nil {
		return fmt.Errorf("decode state: %w", err)
	}
	fresh := NewState()
	fresh.prunedAt, fresh.lease = stored.PrunedAt, stored.Lease
	fresh.estimates = restoreEstimates(stored.Estimates)
	if len(stored.Document) > 0 {
		catalog, err := restoreCatalog(stored.Document)
		if err != nil {
			return fmt.Errorf("restore the catalog: %w", err)
		}
		fresh.catalog = catalog
		fresh.document = stored.Document
	}
	for _, job := range stored.Jobs {
		job.criticalPathMillis = job.Request.criticalPathMillis()
		if job.Started {
			// An earlier version did not count the runs.
			job.StartedRuns = max(job.StartedRuns, 1)
		}
		fresh.footprint += job.Request.Footprint()
		fresh.jobs[job.ID] = job
		if job.Active() {
			fresh.active[job.ID] = job
		}
	}
	for _, worker := range stored.Workers {
		fresh.workers[worker.ID] = worker
	}
	for _, run := range stored.Runs {
		fresh.runs[run.ID] = run
		fresh.indexRun(run)
		if job := fresh.jobs[run.ID.Task.Job]; job != nil {
			job.liveRuns++
		}
	}
	for _, wave := range stored.Waves {
		fresh.waves[wave.ID] = wave
	}
	for _, state := range stored.DataCenters {
		fresh.dataCenters[state.Name] = state
	}
	fresh.restoreShares(stored.Shares)
	*s = *fresh
	return nil
}

// Catalog returns the catalog in force. Its version is 0 if there is none.
func (s *State) Catalog() *Catalog { return &s.catalog }

// Document returns the catalog in force as received, or nil if there is none.
func (s *State) Document() Document { return s.document }

// Job returns a job, or nil if it is unknown.
func (s *State) Job(id identifier.JobID) *Job { return s.jobs[id] }

// Worker returns a worker, or nil if it is unknown.
func (s *State) Worker(id identifier.WorkerID) *Worker { return s.workers[id] }

// Workers returns all workers in the order of their ids.
func (s *State) Workers() []*Worker {
	all := make([]*Worker, 0, len(s.workers))
	for _, worker := range s.workers {
		all = append(all, worker)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].ID < all[j].ID })
	return all
}

// Run returns a run that may be alive, or nil if there is none.
func (s *State) Run(id RunID) *Run { return s.runs[id] }

// RunsOfJob returns the runs of a job that may be alive, in the order of their
// ids.
func (s *State) RunsOfJob(id identifier.JobID) []*Run {
	var runs []*Run
	for _, run := range s.runs {
		if run.ID.Task.Job == id {
			runs = append(runs, run)
		}
	}
	sort.Slice(runs, func(i, j int) bool { return runLess(runs[i].ID, runs[j].ID) })
	return runs
}

// RunsOn returns the runs that may be alive on a worker. The caller must not
// change the map.
func (s *State) RunsOn(id identifier.WorkerID) map[RunID]*Run { return s.placed[id] }

// Overcommitted reports whether the runs that may be alive on a worker need more than
// its capacity, which may have shrunk since they were assigned.
func (s *State) Overcommitted(worker *Worker) bool {
	var used Resources
	for id := range s.placed[worker.ID] {
		if step := s.StepOf(id.Task); step != nil {
			used = used.Plus(step.Demand())
		}
	}
	return !used.Fits(worker.Capacity)
}

// Wave returns a wave, or nil if it is unknown.
func (s *State) Wave(id WaveID) *Wave { return s.waves[id] }

// Waves returns the waves that are not completed or have machines that may be
// down, in the order of their ids.
func (s *State) Waves() []*Wave {
	var unfinished []*Wave
	for _, wave := range s.waves {
		if !wave.Completed() || wave.downCount() > 0 {
			unfinished = append(unfinished, wave)
		}
	}
	sort.Slice(unfinished, func(i, j int) bool { return unfinished[i].ID < unfinished[j].ID })
	return unfinished
}

// gangMembers returns the runs of the gang that a run belongs to, or the run
// alone.
func (s *State) gangMembers(run *Run) []*Run {
	step := s.StepOf(run.ID.Task)
	if step == nil || !step.Gang {
		return []*Run{run}
	}
	var members []*Run
	for index := range step.Width {
		id := run.ID
		id.Task.Index = index
		if member := s.runs[id]; member != nil {
			members = append(members, member)
		}
	}
	return members
}

// StepOf returns the step of a task, or nil if its job is unknown.
func (s *State) StepOf(id TaskID) *Step {
	job, known := s.jobs[id.Job]
	if !known {
		return nil
	}
	step, _, _ := job.step(id)
	return step
}

// Pending counts the active jobs of a queue of which no task has started.
func (s *State) Pending(queue QueueName) int {
	count := 0
	for _, job := range s.active {
		if job.Queue == queue && !job.Started {
			count++
		}
	}
	return count
}

// Used returns what the runs of a team's jobs of priority 0 take.
func (s *State) Used(team identifier.TeamID) Resources {
	var used Resources
	for id := range s.runs {
		job := s.jobs[id.Task.Job]
		if job == nil || job.Team != team || job.Policy.Priority != 0 {
			continue
		}
		step, _, _ := job.step(id.Task)
		used = used.Plus(step.Demand())
	}
	return used
}

// Statistics holds counts of the state's objects.
type Statistics struct {
	CatalogVersion uint64 `json:"version"`
	ActiveJobs     int    `json:"active"`
	Jobs           int    `json:"jobs"`
	Workers        int    `json:"workers"`
	Runs           int    `json:"runs"`
}

// Statistics returns counts of the state's objects and the version of the
// catalog.
func (s *State) Statistics() Statistics {
	return Statistics{
		CatalogVersion: s.catalog.Version, ActiveJobs: len(s.active), Jobs: len(s.jobs),
		Workers: len(s.workers), Runs: len(s.runs),
	}
}

func (s *State) indexRun(run *Run) {
	runs, known := s.placed[run.Worker]
	if !known {
		runs = map[RunID]*Run{}
		s.placed[run.Worker] = runs
	}
	runs[run.ID] = run
}

func (s *State) removeRun(run *Run, now UnixMilli) {
	delete(s.runs, run.ID)
	delete(s.placed[run.Worker], run.ID)
	if len(s.placed[run.Worker]) == 0 {
		delete(s.placed, run.Worker)
	}
	job, known := s.jobs[run.ID.Task.Job]
	if !known {
		return
	}
	job.liveRuns--
	if step, state, task := job.step(run.ID.Task); task != nil {
		s.chargeRuns(job, step, -1, now)
		state.LiveRuns--
		task.LiveRuns--
	}
	s.releaseEnded(job)
}

// releaseEnded releases a job that has ended and has no runs.
func (s *State) releaseEnded(job *Job) {
	if job.Active() || !job.hasNoRuns() || job.Occurrences == nil {
		return
	}
	s.footprint -= job.Request.Footprint()
	job.release()
	s.footprint += job.Request.Footprint()
}

// Footprint estimates the memory that all jobs take on each instance, in bytes.
func (s *State) Footprint() int64 { return s.footprint }
