package placer

import (
	"sort"
	"time"

	"cranberrystack.dev/cranberrystack/packer"
)

// victim is a borrower that could be put out of a place.
type victim struct {
	job *Job
	// cost is the accelerator time that would be lost.
	cost time.Duration
}

// reclaim has borrowers put out so that a guaranteed job gets its shape. It
// takes the place whose borrowers lose the least work.
func (e *Engine) reclaim(job *Job, unit GuaranteeKey, now time.Time) bool {
	if now.Sub(job.tried) < retryInterval {
		return false
	}
	found, ok := e.cheapestPlace(job, unit, now)
	if !ok {
		job.tried = now
		return false
	}
	grace := e.options.grace
	if job.Spec.Urgent {
		grace = min(grace, e.options.urgentGrace)
	}
	h := e.newHold(job, found.pieces, now.Add(grace+reclaimSlack), true)
	h.unit, h.place = unit, found.place
	e.dropHoldsUnder(h)
	e.holds[job.Spec.ID] = h
	for _, borrower := range found.victims {
		borrower.Reclaims++
		borrower.Reason = "space reclaimed for a guarantee of plan " + string(job.Spec.Plan)
		given := grace
		if !borrower.Spec.Checkpointable {
			given = 0
		}
		e.stop(borrower, StateQueued, borrower.Spec.Checkpointable, given, now)
	}
	return true
}

// dropHoldsUnder ends the holds of borrowers in the way of a claim.
func (e *Engine) dropHoldsUnder(claim *hold) {
	for id, other := range e.holds {
		if !other.claims() && other.overlaps(claim) {
			delete(e.holds, id)
		}
	}
}

// reclaimable is a place for a guaranteed shape, the job's pieces within it,
// and the borrowers that are in the way of the pieces.
type reclaimable struct {
	place, pieces []packer.Piece
	victims       []*Job
}

// cheapestPlace puts borrowers out in thought, from the cheapest on, until the
// guaranteed shape has a place beside all other guarantees.
func (e *Engine) cheapestPlace(job *Job, unit GuaranteeKey, now time.Time) (reclaimable, bool) {
	accelerator := job.Spec.Accelerator
	candidates := e.borrowersByCost(accelerator, now)
	slots := e.openSlots(accelerator, job, now)
	index := e.slotIndex(accelerator)
	find := func(count int) ([]packer.Slot, []packer.Piece, bool) {
		open := slotsWithout(slots, index, candidates[:count])
		e.subtractHolds(accelerator, open, job, true)
		place, fits := packer.Find(e.unclaimed(accelerator, open), unit.Shape)
		return open, place, fits
	}
	first := sort.Search(len(candidates)+1, func(count int) bool {
		_, _, fits := find(count)
		return fits
	})
	for count := first; count <= len(candidates); count++ {
		open, place, fits := find(count)
		if !fits || !e.keepsGuarantees(accelerator, place, unit) {
			continue
		}
		pieces, fits := packer.Find(within(open, place, unit.Shape), job.Spec.Shape)
		if !fits {
			continue
		}
		victims := needed(slots, candidates[:count], pieces, job.Spec.Shape)
		return reclaimable{place: place, pieces: pieces, victims: victims}, true
	}
	return reclaimable{}, false
}

// borrowersByCost lists the jobs that may be put out, the cheapest first. Jobs
// on their way out already cost nothing more.
func (e *Engine) borrowersByCost(accelerator string, now time.Time) []victim {
	var victims []victim
	for _, job := range e.running.all() {
		if job.Guaranteed || job.adopting || job.Spec.Accelerator != accelerator || !e.reachable(job, now) {
			continue
		}
		victims = append(victims, victim{job: job, cost: e.lostIfStopped(job, now)})
	}
	sort.Slice(victims, func(i, j int) bool {
		if victims[i].cost != victims[j].cost {
			return victims[i].cost < victims[j].cost
		}
		return victims[i].job.Spec.ID < victims[j].job.Spec.ID
	})
	return victims
}

// reachable reports whether a job's workers can confirm a stop now.
func (e *Engine) reachable(job *Job, now time.Time) bool {
	for i := range job.Pieces {
		if !job.Pieces[i].holds() {
			continue
		}
		w, known := e.workers[job.Pieces[i].Worker]
		if !known || now.Sub(w.heard) >= e.options.silence {
			return false
		}
	}
	return job.State != StateStopping || now.Sub(job.changed) < e.options.grace+reclaimSlack
}

// checkpointCost is the work that a stop with a checkpoint loses.
const checkpointCost = 5 * time.Second

func (e *Engine) lostIfStopped(job *Job, now time.Time) time.Duration {
	total := time.Duration(job.Spec.Shape.Total())
	if job.State == StateStopping || job.Started.IsZero() {
		return 0
	}
	done := now.Sub(job.Started)
	if job.Spec.Checkpointable {
		return min(done, checkpointCost) * total
	}
	return done * total
}

// slotsWithout shows the space that is free once the victims are gone.
func slotsWithout(slots []packer.Slot, index map[workerID]int, victims []victim) []packer.Slot {
	open := append([]packer.Slot(nil), slots...)
	for _, v := range victims {
		for i := range v.job.Pieces {
			piece := &v.job.Pieces[i]
			place, known := index[piece.Worker]
			if known && piece.holds() && !open[place].Closed {
				open[place].Free += piece.Parts * v.job.Spec.Shape.PerPart
			}
		}
	}
	return open
}

// needed returns the victims without which the place would not be free. The
// dearest are spared first; one that frees nothing is never taken.
func needed(slots []packer.Slot, victims []victim, pieces []packer.Piece, shape packer.Shape) []*Job {
	short := map[workerID]int{}
	for _, piece := range pieces {
		short[slots[piece.Slot].Worker] = piece.Parts*shape.PerPart - slots[piece.Slot].Free
	}
	freed := map[workerID]int{}
	for _, v := range victims {
		addPieces(freed, v.job, 1)
	}
	keep := map[*Job]bool{}
	for i := len(victims) - 1; i >= 0; i-- {
		job := victims[i].job
		addPieces(freed, job, -1)
		if !enough(freed, short) {
			addPieces(freed, job, 1)
			keep[job] = true
		}
	}
	var jobs []*Job
	for _, v := range victims {
		if keep[v.job] {
			jobs = append(jobs, v.job)
		}
	}
	return jobs
}

func addPieces(freed map[workerID]int, job *Job, sign int) {
	for i := range job.Pieces {
		if job.Pieces[i].holds() {
			freed[job.Pieces[i].Worker] += sign * job.Pieces[i].Parts * job.Spec.Shape.PerPart
		}
	}
}

func enough(freed, short map[workerID]int) bool {
	for worker, missing := range short {
		if freed[worker] < missing {
			return false
		}
	}
	return true
}

// watchHolds gives up a hold whose time has passed, so that another place is
// looked for.
func (e *Engine) watchHolds(now time.Time) {
	for id, h := range e.holds {
		if now.Before(h.until) {
			continue
		}
		delete(e.holds, id)
		e.touched = true
	}
}
