package placer

import (
	"time"

	"cranberrystack.dev/cranberrystack/packer"
)

const (
	// minWaitForCompaction is how long a gang waits before smaller borrowers
	// are moved to free capacity for it.
	minWaitForCompaction = 20 * time.Second
	// maxMoves limits how often one job is moved.
	maxMoves = 4
	// minRunTimeBeforeMove is how long a job runs before it may be moved.
	minRunTimeBeforeMove = 30 * time.Second
	// moveSizeDivisor is the minimum ratio of the gang's size to that of a
	// moved job.
	moveSizeDivisor = 2
)

// compact frees adjacent capacity for a gang when enough accelerators are free
// but scattered: smaller checkpointable borrowers, which lose little work, are
// stopped and requeued to run elsewhere. It returns true if a placement is
// reserved for the gang, by this call or before.
func (e *Engine) compact(job *Job, now time.Time) bool {
	if _, reserved := e.reservations[job.Spec.ID]; reserved {
		return true
	}
	if job.Spec.Shape.Total() < 2 || now.Sub(job.Submitted) < minWaitForCompaction {
		return false
	}
	if now.Sub(job.lastSearch) < searchInterval {
		return false
	}
	job.lastSearch = now
	accelerator := job.Spec.Accelerator
	slots := e.freeSlots(accelerator, job, now)
	if totalFree(slots) < job.Spec.Shape.Total() {
		return false
	}
	pieces, victims, found := e.placementByMoving(job, slots, now)
	if !found {
		return false
	}
	r := e.newReservation(job, pieces, now.Add(e.options.grace+reclaimMargin), true)
	e.reservations[job.Spec.ID] = r
	for _, moved := range victims {
		moved.Moves++
		e.requeueRunning(moved, "moved to make room for a gang", true, e.options.grace, now)
	}
	return true
}

func totalFree(slots []packer.Slot) int {
	total := 0
	for i := range slots {
		total += slots[i].Free
	}
	return total
}

// placementByMoving returns the placement with the fewest accelerators still in
// use by movable jobs, and the jobs to move.
func (e *Engine) placementByMoving(job *Job, slots []packer.Slot, now time.Time) ([]packer.Piece, []*Job, bool) {
	var movable []victim
	for _, v := range e.borrowersByCost(job.Spec.Accelerator, now) {
		if e.canMove(v.job, job, now) {
			movable = append(movable, v)
		}
	}
	available := slotsWithout(slots, e.slotIndex(job.Spec.Accelerator), movable)
	pieces, fits := packer.FindMostFree(available, slots, job.Spec.Shape)
	if !fits {
		return nil, nil, false
	}
	return pieces, requiredVictims(slots, movable, pieces, job.Spec.Shape), true
}

func (e *Engine) canMove(moved, gang *Job, now time.Time) bool {
	small := moved.Spec.Shape.Total()*moveSizeDivisor <= gang.Spec.Shape.Total()
	settled := moved.State == StateRunning && now.Sub(moved.Started) >= minRunTimeBeforeMove
	return small && settled && moved.Spec.Checkpointable && moved.Moves < maxMoves
}
