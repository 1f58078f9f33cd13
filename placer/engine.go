package placer

import (
	"fmt"
	"sort"
	"time"

	"cranberrystack.dev/cranberrystack/configurer"
	"cranberrystack.dev/cranberrystack/identifier"
	"cranberrystack.dev/cranberrystack/leaser"
	"cranberrystack.dev/cranberrystack/packer"
)

// workerState is what the engine knows of one worker.
type workerState struct {
	info  Worker
	heard time.Time
	// sequence orders the reports of one incarnation.
	sequence uint64
	// used counts the accelerators held by pieces.
	used int
	// guaranteed counts the accelerators in the places of guaranteed jobs.
	guaranteed int
	// jobs are those with pieces here that hold accelerators.
	jobs *jobSet
	// failures are the jobs that failed here since the last success.
	failures map[identifier.JobID]bool
	// quarantined is until when the worker gets no work.
	quarantined time.Time
}

// Engine places the jobs of one data centre. It is not safe for concurrent
// use.
type Engine struct {
	options    options
	dataCenter identifier.DataCenterID
	epoch      identifier.Epoch
	// began is when this owner's epoch began.
	began time.Time
	lists index
	// dataCenters is the number of data centres that share a plan's limit.
	dataCenters int

	jobs    map[identifier.JobID]*Job
	workers map[identifier.WorkerID]*workerState
	// order lists the workers by kind, rack and position; slots mirrors it.
	order map[string][]*workerState
	// queue holds the jobs in StateQueued, oldest first.
	queue   []*Job
	running *jobSet
	// changing holds the running jobs that are in any state but StateRunning,
	// or adopted; they have to be looked at often.
	changing *jobSet
	// byPlan holds the running jobs of each plan and kind of accelerator.
	byPlan map[planUse]*jobSet
	// watched is the place in running up to which stragglers were looked for.
	watched int
	open    int
	usage   usage
	learnt  learnt
	holds   map[identifier.JobID]*hold

	attempt uint64
	touched bool
	// nextLook is when jobs are looked at even if nothing has changed: workers
	// that were set aside come back by time alone.
	nextLook time.Time
	// reserveNext is when a place may be reserved again.
	reserveNext time.Time
	// rests bounds gathering, by kind of accelerator.
	rests map[string]rest
	// enough is the last estimate of when a gang can start.
	enough estimate
	// forgot is when ended jobs were last forgotten.
	forgot time.Time
	dirty  []*Job
	out    Output
}

// New returns the engine of an owner with a new epoch. jobs are those that
// earlier owners kept; what may still be running is adopted as workers report
// it.
func New(dataCenter identifier.DataCenterID, epoch identifier.Epoch, dataCenters int, jobs []Job, now time.Time, opts ...Option) *Engine {
	e := &Engine{
		options: newOptions(opts...), dataCenter: dataCenter, epoch: epoch, began: now,
		dataCenters: max(dataCenters, 1),
		jobs:        map[identifier.JobID]*Job{}, workers: map[identifier.WorkerID]*workerState{},
		order: map[string][]*workerState{}, running: newJobSet(), changing: newJobSet(),
		byPlan: map[planUse]*jobSet{},
		usage:  newUsage(), learnt: newLearnt(), holds: map[identifier.JobID]*hold{}, rests: map[string]rest{},
		attempt: uint64(epoch) << attemptBits,
	}
	for i := range jobs {
		e.adopt(jobs[i], now)
	}
	sort.SliceStable(e.queue, func(i, j int) bool { return e.queue[i].Submitted.Before(e.queue[j].Submitted) })
	return e
}

// attemptBits leaves each epoch room for so many attempts, so that no two
// owners use the same number.
const attemptBits = 32

func (e *Engine) adopt(kept Job, now time.Time) {
	job := &kept
	job.changed = now
	e.jobs[job.Spec.ID] = job
	if job.State.Ended() {
		return
	}
	e.open++
	if job.State == StateQueued {
		e.queue = append(e.queue, job)
		return
	}
	job.adopting = true
	job.Pieces = append([]Piece(nil), job.Pieces...)
	for i := range job.Pieces {
		job.Pieces[i].heard = false
		if job.Pieces[i].holds() {
			job.Pieces[i].held = now.Add(e.options.lease + e.options.leaseMargin)
		}
	}
	e.addRunning(job)
	e.usage.add(job, 1)
}

func (e *Engine) addRunning(job *Job) {
	e.running.add(job)
	e.changing.add(job)
	use := planUse{job.Spec.Plan, job.Spec.Accelerator}
	if e.byPlan[use] == nil {
		e.byPlan[use] = newJobSet()
	}
	e.byPlan[use].add(job)
}

func (e *Engine) removeRunning(job *Job) {
	e.running.remove(job.Spec.ID)
	e.changing.remove(job.Spec.ID)
	if own, known := e.byPlan[planUse{job.Spec.Plan, job.Spec.Accelerator}]; known {
		own.remove(job.Spec.ID)
	}
}

// SetLists puts lists in force.
func (e *Engine) SetLists(view configurer.View) {
	e.lists = newIndex(view)
	e.touched = true
}

// TakeOutput returns what has to be done since the last call.
func (e *Engine) TakeOutput() Output {
	out := e.out
	for _, job := range e.dirty {
		job.dirty = false
		out.ChangedJobs = append(out.ChangedJobs, job.copied())
	}
	e.dirty = nil
	e.out = Output{}
	return out
}

func (j *Job) copied() Job {
	copied := *j
	copied.Pieces = append([]Piece(nil), j.Pieces...)
	copied.FailedOn = append([]identifier.WorkerID(nil), j.FailedOn...)
	return copied
}

func (e *Engine) mark(job *Job) {
	if !job.dirty {
		job.dirty = true
		e.dirty = append(e.dirty, job)
	}
}

func (e *Engine) enter(job *Job, state State, now time.Time) {
	if job.State == StateQueued && state != StateQueued {
		e.unqueue(job)
	}
	job.State = state
	job.changed = now
	e.touched = true
	e.mark(job)
	if state == StateRunning {
		e.changing.remove(job.Spec.ID)
	} else if _, known := e.running.get(job.Spec.ID); known {
		e.changing.add(job)
	}
}

func (e *Engine) unqueue(job *Job) {
	for i, queued := range e.queue {
		if queued == job {
			e.queue = append(e.queue[:i], e.queue[i+1:]...)
			return
		}
	}
}

// Submit queues a job. The same job sent again changes nothing. Errors:
// ErrNoSuchPlan, ErrImpossible with the reason, ErrConflict, ErrQueueFull.
func (e *Engine) Submit(spec Spec, now time.Time) error {
	if known, found := e.jobs[spec.ID]; found {
		if known.Spec.Member != spec.Member || !sameSpec(known.Spec, spec) {
			return ErrConflict
		}
		return nil
	}
	if err := e.check(spec); err != nil {
		return err
	}
	if e.open >= e.options.maxJobs {
		return ErrQueueFull
	}
	job := &Job{Spec: spec, State: StateQueued, Submitted: now, changed: now}
	e.jobs[spec.ID] = job
	e.queue = append(e.queue, job)
	e.open++
	e.touched = true
	e.mark(job)
	return nil
}

func sameSpec(left, right Spec) bool {
	return left.Plan == right.Plan && left.Team == right.Team && left.Shape == right.Shape &&
		left.Accelerator == right.Accelerator && string(left.Payload) == string(right.Payload)
}

// Cancel ends a job. Before its start it ends at once, else when its workers
// have confirmed. Cancelling an ended job changes nothing.
func (e *Engine) Cancel(member identifier.MemberID, id identifier.JobID, now time.Time) error {
	job, known := e.jobs[id]
	if !known || job.Spec.Member != member {
		return ErrNoSuchJob
	}
	if job.State.Ended() {
		return nil
	}
	delete(e.holds, id)
	job.Reason = "cancelled by the caller"
	if job.State == StateQueued {
		e.finish(job, StateCancelled, now)
		return nil
	}
	e.stop(job, StateCancelled, false, 0, now)
	return nil
}

// Job returns a member's job.
func (e *Engine) Job(member identifier.MemberID, id identifier.JobID) (Job, error) {
	job, known := e.jobs[id]
	if !known || job.Spec.Member != member {
		return Job{}, ErrNoSuchJob
	}
	return job.copied(), nil
}

// Jobs returns a member's jobs in order of submission.
func (e *Engine) Jobs(member identifier.MemberID) []Job {
	var jobs []Job
	for _, job := range e.jobs {
		if job.Spec.Member == member {
			jobs = append(jobs, job.copied())
		}
	}
	sort.Slice(jobs, func(i, j int) bool {
		if !jobs[i].Submitted.Equal(jobs[j].Submitted) {
			return jobs[i].Submitted.Before(jobs[j].Submitted)
		}
		return jobs[i].Spec.ID < jobs[j].Spec.ID
	})
	return jobs
}

// Pools returns the slots of each kind of accelerator as if nothing ran.
func (e *Engine) Pools() []configurer.Pool {
	var pools []configurer.Pool
	for accelerator, order := range e.order {
		pool := configurer.Pool{DataCenter: e.dataCenter, Accelerator: accelerator}
		for _, w := range order {
			pool.Slots = append(pool.Slots, packer.Slot{
				Worker: w.info.ID, Rack: w.info.Rack,
				Free: w.info.Accelerators, Total: w.info.Accelerators,
			})
		}
		pools = append(pools, pool)
	}
	sort.Slice(pools, func(i, j int) bool { return pools[i].Accelerator < pools[j].Accelerator })
	return pools
}

// finish ends a job whose pieces hold nothing any more.
func (e *Engine) finish(job *Job, state State, now time.Time) {
	job.Ended = now
	e.enter(job, state, now)
	e.open--
	e.removeRunning(job)
	delete(e.holds, job.Spec.ID)
	e.free(job)
}

// requeue puts a job back whose pieces hold nothing any more.
func (e *Engine) requeue(job *Job, now time.Time) {
	e.removeRunning(job)
	e.free(job)
	job.Pieces = nil
	job.Guaranteed = false
	job.Started = time.Time{}
	job.key = shapeKey{}
	e.enter(job, StateQueued, now)
	place := sort.Search(len(e.queue), func(i int) bool { return e.queue[i].Submitted.After(job.Submitted) })
	e.queue = append(e.queue, nil)
	copy(e.queue[place+1:], e.queue[place:])
	e.queue[place] = job
}

// free drops a job from the books of its plan and team.
func (e *Engine) free(job *Job) {
	for i := range job.Pieces {
		e.release(job, &job.Pieces[i], PieceReleased)
	}
	e.clearPlace(job)
	if len(job.Pieces) > 0 {
		e.usage.add(job, -1)
	}
}

// release ends a piece's hold on its worker. That has to be kept before the
// space is given to another job, so that no later owner books both.
func (e *Engine) release(job *Job, piece *Piece, state PieceState) {
	held := piece.holds()
	piece.State = state
	if !held {
		return
	}
	e.touched = true
	e.mark(job)
	w, known := e.workers[piece.Worker]
	if !known {
		return
	}
	if w.jobs.remove(job.Spec.ID) {
		w.used -= piece.Parts * job.Spec.Shape.PerPart
	}
}

// occupy books a piece on its worker.
func (e *Engine) occupy(job *Job, piece *Piece) {
	w, known := e.workers[piece.Worker]
	if !known {
		return
	}
	if _, here := w.jobs.get(job.Spec.ID); here {
		return
	}
	w.jobs.add(job)
	w.used += piece.Parts * job.Spec.Shape.PerPart
}

// setGuaranteed books the place of a whole guaranteed shape for a job.
func (e *Engine) setGuaranteed(job *Job, unit GuaranteeKey, place []packer.Piece) {
	order := e.order[job.Spec.Accelerator]
	job.Guaranteed, job.GuaranteeKey, job.GuaranteedPlacement = true, unit, nil
	for _, piece := range place {
		site := WorkerAllocation{Worker: order[piece.Slot].info.ID, Accelerators: piece.Parts * unit.Shape.PerPart}
		job.GuaranteedPlacement = append(job.GuaranteedPlacement, site)
		order[piece.Slot].guaranteed += site.Accelerators
	}
	e.usage.units[unit]++
	e.mark(job)
}

// clearPlace gives a guaranteed job's place back.
func (e *Engine) clearPlace(job *Job) {
	for _, site := range job.GuaranteedPlacement {
		if w, known := e.workers[site.Worker]; known {
			w.guaranteed -= site.Accelerators
		}
	}
	job.GuaranteedPlacement = nil
}

// stop tells all workers to stop a job's pieces; next follows when they have
// confirmed or their leases have run out.
func (e *Engine) stop(job *Job, next State, checkpoint bool, grace time.Duration, now time.Time) {
	if job.State == StateStopping {
		if next == StateCancelled {
			job.NextState = StateCancelled
			e.mark(job)
		}
		return
	}
	job.NextState = next
	e.enter(job, StateStopping, now)
	for i := range job.Pieces {
		if job.Pieces[i].holds() {
			e.command(job, &job.Pieces[i], Command{Kind: CommandStop, Checkpoint: checkpoint, Grace: grace})
		}
	}
	e.settleStopped(job, now)
}

func (e *Engine) command(job *Job, piece *Piece, command Command) {
	command.Worker = piece.Worker
	command.ID = leaser.ID{Job: job.Spec.ID, Attempt: job.Attempt}
	command.Epoch = e.epoch
	e.out.Commands = append(e.out.Commands, command)
}

// settleStopped moves a stopping job on once no piece holds anything.
func (e *Engine) settleStopped(job *Job, now time.Time) {
	for i := range job.Pieces {
		if job.Pieces[i].holds() {
			return
		}
	}
	e.countLost(job, now)
	switch job.NextState {
	case StateQueued:
		e.requeue(job, now)
	default:
		e.finish(job, job.NextState, now)
	}
}

// countLost notes the work since the last checkpoint as lost.
func (e *Engine) countLost(job *Job, now time.Time) {
	if job.Started.IsZero() {
		return
	}
	done := now.Sub(job.Started)
	kept := time.Duration(0)
	if job.Spec.Checkpointable {
		kept = e.takeCheckpoint(job)
	}
	if lost := done - kept; lost > 0 {
		job.LostWork += lost * time.Duration(job.Spec.Shape.Total())
	}
}

// takeCheckpoint moves the job's progress to what every piece has kept and
// returns the gain.
func (e *Engine) takeCheckpoint(job *Job) time.Duration {
	if len(job.Pieces) == 0 {
		return 0
	}
	progress := job.Pieces[0].Progress
	for i := range job.Pieces {
		progress = min(progress, job.Pieces[i].Progress)
	}
	gain := max(progress-job.Progress, 0)
	job.Progress += gain
	return gain
}

// String describes a job for logs.
func (j *Job) String() string {
	return fmt.Sprintf("%s/%s attempt %d %s", j.Spec.Member, j.Spec.ID, j.Attempt, j.State)
}

// LeaseTTL is the length to which a report renews leases.
func (e *Engine) LeaseTTL() time.Duration { return e.options.lease }
