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

// workerState is the engine's view of one worker.
type workerState struct {
	info       Worker
	lastReport time.Time
	// sequence is the number of the last report of this incarnation.
	sequence uint64
	// used is the number of accelerators held by pieces.
	used int
	// guaranteed is the number of accelerators in the guaranteed placements of
	// jobs.
	guaranteed int
	// jobs are the jobs with pieces that hold accelerators on the worker.
	jobs *jobSet
	// failedJobs are the jobs whose failures are attributed to the worker since
	// its last success.
	failedJobs map[identifier.JobID]bool
	// quarantinedUntil is when the worker may get work again.
	quarantinedUntil time.Time
}

// Engine schedules the jobs of one data centre. It is not safe for concurrent
// use.
type Engine struct {
	options    options
	dataCenter identifier.DataCenterID
	epoch      identifier.Epoch
	// epochStart is when this owner's epoch began.
	epochStart time.Time
	lists      listIndex
	// dataCenters is the number of data centres that share a plan's limit.
	dataCenters int

	jobs    map[identifier.JobID]*Job
	workers map[identifier.WorkerID]*workerState
	// workerOrder lists the workers of each accelerator type by rack, position
	// and id. Slot lists have the same order.
	workerOrder map[string][]*workerState
	// queue holds the jobs in StateQueued, oldest first.
	queue []*Job
	// active holds the jobs that are placed and have not ended.
	active *jobSet
	// unsettled holds the active jobs that are in a state other than
	// StateRunning or are being recovered; every tick checks them.
	unsettled *jobSet
	// activeByPlan holds the active jobs by plan and accelerator type.
	activeByPlan map[planKey]*jobSet
	// stragglerCursor is the index in active at which the search for stragglers
	// continues.
	stragglerCursor int
	openJobs        int
	usage           usage
	runTimes        runTimes
	reservations    map[identifier.JobID]*reservation

	lastAttempt    uint64
	scheduleNeeded bool
	// nextSchedule is when waiting jobs are checked even if nothing has
	// changed, since the end of a quarantine is no event.
	nextSchedule time.Time
	// nextReservation is when a placement may be reserved again.
	nextReservation time.Time
	// cooldowns holds the limits on accumulation by accelerator type.
	cooldowns map[string]cooldown
	// lastEstimate caches the estimate of when a gang can start.
	lastEstimate startEstimate
	// lastPrune is when ended jobs were last pruned.
	lastPrune time.Time
	dirtyJobs []*Job
	output    Output
}

// New returns the engine of an owner with a new epoch. dataCenters is the number
// of data centres that share each plan's limit. jobs are those that earlier owners
// persisted; attempts that may still run are recovered as workers report them.
func New(dataCenter identifier.DataCenterID, epoch identifier.Epoch, dataCenters int, jobs []Job, now time.Time, opts ...Option) *Engine {
	e := &Engine{
		options: newOptions(opts...), dataCenter: dataCenter, epoch: epoch, epochStart: now,
		dataCenters: max(dataCenters, 1),
		jobs:        map[identifier.JobID]*Job{}, workers: map[identifier.WorkerID]*workerState{},
		workerOrder: map[string][]*workerState{}, active: newJobSet(), unsettled: newJobSet(),
		activeByPlan: map[planKey]*jobSet{},
		usage:        newUsage(), runTimes: newRunTimes(), reservations: map[identifier.JobID]*reservation{}, cooldowns: map[string]cooldown{},
		lastAttempt: uint64(epoch) << attemptBits,
	}
	for i := range jobs {
		e.recoverJob(jobs[i], now)
	}
	sort.SliceStable(e.queue, func(i, j int) bool { return e.queue[i].Submitted.Before(e.queue[j].Submitted) })
	return e
}

// attemptBits is the number of low bits of an attempt number; the epoch is
// above them, so that no two owners use the same number.
const attemptBits = 32

func (e *Engine) recoverJob(persisted Job, now time.Time) {
	job := &persisted
	job.stateSince = now
	e.jobs[job.Spec.ID] = job
	if job.State.Ended() {
		return
	}
	e.openJobs++
	if job.State == StateQueued {
		e.queue = append(e.queue, job)
		return
	}
	job.recovering = true
	job.Pieces = append([]Piece(nil), job.Pieces...)
	for i := range job.Pieces {
		job.Pieces[i].reported = false
		if job.Pieces[i].holdsAccelerators() {
			job.Pieces[i].leaseExpiry = now.Add(e.options.leaseTTL + e.options.leaseMargin)
		}
	}
	e.addActive(job)
	e.usage.add(job, 1)
}

func (e *Engine) addActive(job *Job) {
	e.active.add(job)
	e.unsettled.add(job)
	key := planKey{job.Spec.Plan, job.Spec.Accelerator}
	if e.activeByPlan[key] == nil {
		e.activeByPlan[key] = newJobSet()
	}
	e.activeByPlan[key].add(job)
}

func (e *Engine) removeActive(job *Job) {
	e.active.remove(job.Spec.ID)
	e.unsettled.remove(job.Spec.ID)
	if planJobs, found := e.activeByPlan[planKey{job.Spec.Plan, job.Spec.Accelerator}]; found {
		planJobs.remove(job.Spec.ID)
	}
}

// SetLists replaces the lists of plans and allowances. Jobs that use more of a guarantee
// than the lists still give become borrowers.
func (e *Engine) SetLists(view configurer.View) {
	e.lists = newListIndex(view)
	e.demoteExcess()
	e.scheduleNeeded = true
}

// TakeOutput returns the changes and commands since the last call.
func (e *Engine) TakeOutput() Output {
	out := e.output
	for _, job := range e.dirtyJobs {
		job.dirty = false
		out.ChangedJobs = append(out.ChangedJobs, job.clone())
	}
	e.dirtyJobs = nil
	e.output = Output{}
	return out
}

func (j *Job) clone() Job {
	c := *j
	c.Pieces = append([]Piece(nil), j.Pieces...)
	c.FailedOn = append([]identifier.WorkerID(nil), j.FailedOn...)
	return c
}

func (e *Engine) markDirty(job *Job) {
	if !job.dirty {
		job.dirty = true
		e.dirtyJobs = append(e.dirtyJobs, job)
	}
}

func (e *Engine) setState(job *Job, state State, now time.Time) {
	if job.State == StateQueued && state != StateQueued {
		e.removeFromQueue(job)
	}
	job.State = state
	job.stateSince = now
	e.scheduleNeeded = true
	e.markDirty(job)
	if state == StateRunning {
		e.unsettled.remove(job.Spec.ID)
	} else if _, known := e.active.get(job.Spec.ID); known {
		e.unsettled.add(job)
	}
}

func (e *Engine) removeFromQueue(job *Job) {
	for i, queued := range e.queue {
		if queued == job {
			e.queue = append(e.queue[:i], e.queue[i+1:]...)
			return
		}
	}
}

// Submit queues a job. Submitting the same job again has no effect; jobs are the
// same if member, plan, team, accelerator type, shape and payload agree. Errors:
// ErrNoSuchPlan, ErrImpossible with the reason, ErrConflict, ErrTooManyJobs.
func (e *Engine) Submit(spec Spec, now time.Time) error {
	if existing, found := e.jobs[spec.ID]; found {
		if existing.Spec.Member != spec.Member || !sameSpec(existing.Spec, spec) {
			return ErrConflict
		}
		return nil
	}
	if err := e.validate(spec); err != nil {
		return err
	}
	if e.openJobs >= e.options.maxJobs {
		return ErrTooManyJobs
	}
	job := &Job{Spec: spec, State: StateQueued, Submitted: now, stateSince: now}
	e.jobs[spec.ID] = job
	e.queue = append(e.queue, job)
	e.openJobs++
	e.scheduleNeeded = true
	e.markDirty(job)
	return nil
}

func sameSpec(left, right Spec) bool {
	return left.Plan == right.Plan && left.Team == right.Team && left.Shape == right.Shape &&
		left.Accelerator == right.Accelerator && string(left.Payload) == string(right.Payload)
}

// Cancel cancels a job. A queued job ends at once, any other when its workers
// have confirmed the stop or their leases have expired. Cancelling a job that has
// ended has no effect.
// Errors: ErrNoSuchJob.
func (e *Engine) Cancel(member identifier.MemberID, id identifier.JobID, now time.Time) error {
	job, known := e.jobs[id]
	if !known || job.Spec.Member != member {
		return ErrNoSuchJob
	}
	if job.State.Ended() {
		return nil
	}
	delete(e.reservations, id)
	job.Reason = "cancelled by the caller"
	if job.State == StateQueued {
		e.finish(job, StateCancelled, now)
		return nil
	}
	e.stop(job, StateCancelled, false, 0, now)
	return nil
}

// Job returns a member's job, or ErrNoSuchJob.
func (e *Engine) Job(member identifier.MemberID, id identifier.JobID) (Job, error) {
	job, known := e.jobs[id]
	if !known || job.Spec.Member != member {
		return Job{}, ErrNoSuchJob
	}
	return job.clone(), nil
}

// Jobs returns a member's jobs in order of submission.
func (e *Engine) Jobs(member identifier.MemberID) []Job {
	var jobs []Job
	for _, job := range e.jobs {
		if job.Spec.Member == member {
			jobs = append(jobs, job.clone())
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

// Pools returns the slots of each accelerator type as if no job ran.
func (e *Engine) Pools() []configurer.Pool {
	var pools []configurer.Pool
	for accelerator, order := range e.workerOrder {
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

// finish ends a job whose pieces hold no accelerators any more.
func (e *Engine) finish(job *Job, state State, now time.Time) {
	job.Ended = now
	e.setState(job, state, now)
	e.openJobs--
	e.removeActive(job)
	delete(e.reservations, job.Spec.ID)
	e.releaseAll(job)
}

// requeue returns a job, whose pieces hold no accelerators any more, to the
// queue.
func (e *Engine) requeue(job *Job, now time.Time) {
	e.removeActive(job)
	e.releaseAll(job)
	job.Pieces = nil
	job.Guaranteed = false
	job.Started = time.Time{}
	job.searchKey = searchKey{}
	e.setState(job, StateQueued, now)
	position := sort.Search(len(e.queue), func(i int) bool { return e.queue[i].Submitted.After(job.Submitted) })
	e.queue = append(e.queue, nil)
	copy(e.queue[position+1:], e.queue[position:])
	e.queue[position] = job
}

// releaseAll removes a job from the usage of its plan and team and releases its
// pieces and guaranteed placement.
func (e *Engine) releaseAll(job *Job) {
	for i := range job.Pieces {
		e.releasePiece(job, &job.Pieces[i], PieceReleased)
	}
	e.clearGuaranteedPlacement(job)
	if len(job.Pieces) > 0 {
		e.usage.add(job, -1)
	}
}

// releasePiece frees the accelerators of a piece. The change has to be
// persisted before they are allocated to another job, so that no later owner
// counts them for both.
func (e *Engine) releasePiece(job *Job, piece *Piece, state PieceState) {
	wasHolding := piece.holdsAccelerators()
	piece.State = state
	if !wasHolding {
		return
	}
	e.scheduleNeeded = true
	e.markDirty(job)
	w, known := e.workers[piece.Worker]
	if !known {
		return
	}
	if w.jobs.remove(job.Spec.ID) {
		w.used -= piece.Parts * job.Spec.Shape.PerPart
	}
}

// allocatePiece counts a piece's accelerators as used on its worker.
func (e *Engine) allocatePiece(job *Job, piece *Piece) {
	w, known := e.workers[piece.Worker]
	if !known {
		return
	}
	if _, allocated := w.jobs.get(job.Spec.ID); allocated {
		return
	}
	w.jobs.add(job)
	w.used += piece.Parts * job.Spec.Shape.PerPart
}

// assignGuarantee makes a job guaranteed and allocates the placement of the
// whole guaranteed shape to it.
func (e *Engine) assignGuarantee(job *Job, key GuaranteeKey, placement []packer.Piece) {
	order := e.workerOrder[job.Spec.Accelerator]
	job.Guaranteed, job.GuaranteeKey, job.GuaranteedPlacement = true, key, nil
	for _, piece := range placement {
		allocation := WorkerAllocation{Worker: order[piece.Slot].info.ID, Accelerators: piece.Parts * key.Shape.PerPart}
		job.GuaranteedPlacement = append(job.GuaranteedPlacement, allocation)
		order[piece.Slot].guaranteed += allocation.Accelerators
	}
	e.usage.guarantees[key]++
	e.markDirty(job)
}

// clearGuaranteedPlacement frees a job's guaranteed placement.
func (e *Engine) clearGuaranteedPlacement(job *Job) {
	for _, allocation := range job.GuaranteedPlacement {
		if w, known := e.workers[allocation.Worker]; known {
			w.guaranteed -= allocation.Accelerators
		}
	}
	job.GuaranteedPlacement = nil
}

// stop tells all workers to stop a job's tasks. The job enters next when they
// have confirmed or their leases have expired. For a job that is already
// stopping, only StateCancelled replaces its next state.
func (e *Engine) stop(job *Job, next State, checkpoint bool, grace time.Duration, now time.Time) {
	if job.State == StateStopping {
		if next == StateCancelled {
			job.NextState = StateCancelled
			e.markDirty(job)
		}
		return
	}
	job.NextState = next
	e.setState(job, StateStopping, now)
	for i := range job.Pieces {
		if job.Pieces[i].holdsAccelerators() {
			e.addCommand(job, &job.Pieces[i], Command{Kind: CommandStop, Checkpoint: checkpoint, Grace: grace})
		}
	}
	e.completeStop(job, now)
}

// requeueRunning stops a job so that it is queued again, with the reason for it. A
// job that is stopping to end keeps its reason.
func (e *Engine) requeueRunning(job *Job, reason string, checkpoint bool, grace time.Duration, now time.Time) {
	if job.State == StateStopping && job.NextState != StateQueued {
		return
	}
	job.Reason = reason
	e.stop(job, StateQueued, checkpoint, grace, now)
}

func (e *Engine) addCommand(job *Job, piece *Piece, command Command) {
	command.Worker = piece.Worker
	command.ID = leaser.ID{Job: job.Spec.ID, Attempt: job.Attempt}
	command.Epoch = e.epoch
	e.output.Commands = append(e.output.Commands, command)
}

// completeStop moves a stopping job to its next state once no piece holds
// accelerators.
func (e *Engine) completeStop(job *Job, now time.Time) {
	for i := range job.Pieces {
		if job.Pieces[i].holdsAccelerators() {
			return
		}
	}
	e.recordLostWork(job, now)
	switch job.NextState {
	case StateQueued:
		e.requeue(job, now)
	default:
		e.finish(job, job.NextState, now)
	}
}

// recordLostWork adds the work since the last checkpoint to the job's lost
// work.
func (e *Engine) recordLostWork(job *Job, now time.Time) {
	if job.Started.IsZero() {
		return
	}
	elapsed := now.Sub(job.Started)
	checkpointed := time.Duration(0)
	if job.Spec.Checkpointable {
		checkpointed = e.advanceProgress(job)
	}
	if lost := elapsed - checkpointed; lost > 0 {
		job.LostWork += lost * time.Duration(job.Spec.Shape.Total())
	}
}

// advanceProgress raises the job's progress to what the tasks of all pieces have
// checkpointed, and returns the gain.
func (e *Engine) advanceProgress(job *Job) time.Duration {
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

// LeaseTTL returns the time by which a report renews leases.
func (e *Engine) LeaseTTL() time.Duration { return e.options.leaseTTL }
