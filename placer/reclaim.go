package placer

import (
	"sort"
	"time"

	"cranberrystack.dev/cranberrystack/packer"
)

// victim is a borrower that could be preempted.
type victim struct {
	job *Job
	// cost is the accelerator time that the preemption would lose.
	cost time.Duration
}

// reclaim preempts borrowers so that a job within its guarantee gets the
// guaranteed shape, and reserves the placement. It prefers victims that lose
// little work. It returns false if it finds no placement, and for searchInterval
// after that.
func (e *Engine) reclaim(job *Job, key GuaranteeKey, now time.Time) bool {
	if now.Sub(job.lastSearch) < searchInterval {
		return false
	}
	option, found := e.cheapestReclaim(job, key, now)
	if !found {
		job.lastSearch = now
		return false
	}
	r := e.newReservation(job, option.pieces, now.Add(e.reclaimGrace(job)+reclaimMargin), true)
	r.guarantee, r.placement = key, option.placement
	e.dropOverlappingReservations(r)
	e.reservations[job.Spec.ID] = r
	for _, borrower := range option.victims {
		e.preempt(borrower, job, now)
	}
	return true
}

// reclaimGrace returns how long the borrowers that are preempted for a job have to
// checkpoint.
func (e *Engine) reclaimGrace(job *Job) time.Duration {
	if job.Spec.Urgent {
		return min(e.options.grace, e.options.urgentGrace)
	}
	return e.options.grace
}

// preempt stops a borrower and returns it to the queue, for a job within its guarantee.
func (e *Engine) preempt(borrower, claimant *Job, now time.Time) {
	grace := e.reclaimGrace(claimant)
	if !borrower.Spec.Checkpointable {
		grace = 0
	}
	borrower.Reclaims++
	reason := "space reclaimed for a guarantee of plan " + string(claimant.Spec.Plan)
	e.requeueRunning(borrower, reason, borrower.Spec.Checkpointable, grace, now)
}

// dropOverlappingReservations drops the reservations of borrowers that share a
// worker with one for a guarantee.
func (e *Engine) dropOverlappingReservations(r *reservation) {
	for id, other := range e.reservations {
		if !other.forGuarantee() && other.overlaps(r) {
			delete(e.reservations, id)
		}
	}
}

// reclaimOption is a placement for a guaranteed shape, the job's pieces within
// it, and the borrowers that occupy the pieces.
type reclaimOption struct {
	placement, pieces []packer.Piece
	victims           []*Job
}

// cheapestReclaim leaves out more and more borrowers, the cheapest first, until
// the guaranteed shape has a placement while all other guarantees keep theirs.
// It returns that placement and the borrowers to preempt.
func (e *Engine) cheapestReclaim(job *Job, key GuaranteeKey, now time.Time) (reclaimOption, bool) {
	accelerator := job.Spec.Accelerator
	candidates := e.borrowersByCost(accelerator, now)
	slots := e.usableSlots(accelerator, job, now)
	index := e.slotIndex(accelerator)
	placeWithout := func(count int) ([]packer.Slot, []packer.Piece, bool) {
		available := slotsWithout(slots, index, candidates[:count])
		e.subtractReservations(accelerator, available, job, true)
		placement, fits := packer.Find(e.limitToUnguaranteed(accelerator, available), key.Shape)
		return available, placement, fits
	}
	fewest := sort.Search(len(candidates)+1, func(count int) bool {
		_, _, fits := placeWithout(count)
		return fits
	})
	for count := fewest; count <= len(candidates); count++ {
		available, placement, fits := placeWithout(count)
		if !fits || !e.preservesGuarantees(accelerator, placement, key) {
			continue
		}
		pieces, fits := packer.Find(limitToPlacement(available, placement, key.Shape), job.Spec.Shape)
		if !fits {
			continue
		}
		victims := requiredVictims(slots, candidates[:count], pieces, job.Spec.Shape)
		return reclaimOption{placement: placement, pieces: pieces, victims: victims}, true
	}
	return reclaimOption{}, false
}

// borrowersByCost lists the jobs that may be preempted, the cheapest first.
// Jobs that have not started or are already stopping cost nothing.
func (e *Engine) borrowersByCost(accelerator string, now time.Time) []victim {
	var victims []victim
	for _, job := range e.active.all() {
		if job.Guaranteed || job.recovering || job.Spec.Accelerator != accelerator || !e.canConfirmStop(job, now) {
			continue
		}
		victims = append(victims, victim{job: job, cost: e.stopCost(job, now)})
	}
	sort.Slice(victims, func(i, j int) bool {
		if victims[i].cost != victims[j].cost {
			return victims[i].cost < victims[j].cost
		}
		return victims[i].job.Spec.ID < victims[j].job.Spec.ID
	})
	return victims
}

// canConfirmStop reports whether a job's workers have reported within the
// report timeout and, if the job is already stopping, whether it is still
// within its grace period.
func (e *Engine) canConfirmStop(job *Job, now time.Time) bool {
	for i := range job.Pieces {
		if !job.Pieces[i].holdsAccelerators() {
			continue
		}
		w, known := e.workers[job.Pieces[i].Worker]
		if !known || now.Sub(w.lastReport) >= e.options.reportTimeout {
			return false
		}
	}
	return job.State != StateStopping || now.Sub(job.stateSince) < e.options.grace+reclaimMargin
}

// checkpointOverhead is the work that a stop with a checkpoint loses.
const checkpointOverhead = 5 * time.Second

func (e *Engine) stopCost(job *Job, now time.Time) time.Duration {
	total := time.Duration(job.Spec.Shape.Total())
	if job.State == StateStopping || job.Started.IsZero() {
		return 0
	}
	done := now.Sub(job.Started)
	if job.Spec.Checkpointable {
		return min(done, checkpointOverhead) * total
	}
	return done * total
}

// slotsWithout returns the slots with the accelerators of the victims free.
func slotsWithout(slots []packer.Slot, index map[workerID]int, victims []victim) []packer.Slot {
	available := append([]packer.Slot(nil), slots...)
	for _, v := range victims {
		for i := range v.job.Pieces {
			piece := &v.job.Pieces[i]
			position, known := index[piece.Worker]
			if known && piece.holdsAccelerators() && !available[position].Closed {
				available[position].Free += piece.Parts * v.job.Spec.Shape.PerPart
			}
		}
	}
	return available
}

// requiredVictims returns the victims that have to be preempted to free the
// pieces. It spares the most expensive first; a victim that frees nothing is
// always spared.
func requiredVictims(slots []packer.Slot, victims []victim, pieces []packer.Piece, shape packer.Shape) []*Job {
	shortfall := map[workerID]int{}
	for _, piece := range pieces {
		shortfall[slots[piece.Slot].Worker] = piece.Parts*shape.PerPart - slots[piece.Slot].Free
	}
	freed := map[workerID]int{}
	for _, v := range victims {
		addFreed(freed, v.job, 1)
	}
	required := map[*Job]bool{}
	for i := len(victims) - 1; i >= 0; i-- {
		job := victims[i].job
		addFreed(freed, job, -1)
		if !coversShortfall(freed, shortfall) {
			addFreed(freed, job, 1)
			required[job] = true
		}
	}
	var jobs []*Job
	for _, v := range victims {
		if required[v.job] {
			jobs = append(jobs, v.job)
		}
	}
	return jobs
}

func addFreed(freed map[workerID]int, job *Job, sign int) {
	for i := range job.Pieces {
		if job.Pieces[i].holdsAccelerators() {
			freed[job.Pieces[i].Worker] += sign * job.Pieces[i].Parts * job.Spec.Shape.PerPart
		}
	}
}

func coversShortfall(freed, shortfall map[workerID]int) bool {
	for worker, missing := range shortfall {
		if freed[worker] < missing {
			return false
		}
	}
	return true
}

// expireReservations drops reservations that have expired, so that another
// placement is searched for.
func (e *Engine) expireReservations(now time.Time) {
	for id, r := range e.reservations {
		if now.Before(r.expiry) {
			continue
		}
		delete(e.reservations, id)
		e.scheduleNeeded = true
	}
}
