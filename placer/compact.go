package placer

import (
	"time"

	"cranberrystack.dev/cranberrystack/packer"
)

const (
	// compactAfter is the wait from which small borrowers are moved to make
	// room for a gang.
	compactAfter = 20 * time.Second
	// maxMoves bounds how often one job is moved.
	maxMoves = 4
	// minRunBeforeMove is the time that a job runs before it is moved.
	minRunBeforeMove = 30 * time.Second
	// moveSizeDivisor is how much smaller than the gang a moved job has to be.
	moveSizeDivisor = 2
)

// compact makes room for a gang when enough accelerators are free but
// scattered: it has smaller borrowers that lose next to nothing checkpoint and
// start again elsewhere. It returns false if the gang has to wait.
func (e *Engine) compact(job *Job, now time.Time) bool {
	if _, held := e.holds[job.Spec.ID]; held {
		return true
	}
	if job.Spec.Shape.Total() < 2 || now.Sub(job.Submitted) < compactAfter {
		return false
	}
	if now.Sub(job.tried) < retryInterval {
		return false
	}
	job.tried = now
	accelerator := job.Spec.Accelerator
	slots := e.freeSlots(accelerator, job, now)
	if freeTotal(slots) < job.Spec.Shape.Total() {
		return false
	}
	pieces, victims, found := e.placeByMoving(job, slots, now)
	if !found {
		return false
	}
	h := e.newHold(job, pieces, now.Add(e.options.grace+reclaimSlack), true)
	e.holds[job.Spec.ID] = h
	for _, moved := range victims {
		moved.Moves++
		moved.Reason = "moved to make room for a gang"
		e.stop(moved, StateQueued, true, e.options.grace, now)
	}
	return true
}

func freeTotal(slots []packer.Slot) int {
	total := 0
	for i := range slots {
		total += slots[i].Free
	}
	return total
}

// placeByMoving finds the place with the least to move.
func (e *Engine) placeByMoving(job *Job, slots []packer.Slot, now time.Time) ([]packer.Piece, []*Job, bool) {
	var movable []victim
	for _, v := range e.borrowersByCost(job.Spec.Accelerator, now) {
		if e.mayMove(v.job, job, now) {
			movable = append(movable, v)
		}
	}
	open := slotsWithout(slots, e.slotIndex(job.Spec.Accelerator), movable)
	pieces, fits := packer.FindMostFree(open, slots, job.Spec.Shape)
	if !fits {
		return nil, nil, false
	}
	return pieces, needed(slots, movable, pieces, job.Spec.Shape), true
}

func (e *Engine) mayMove(moved, gang *Job, now time.Time) bool {
	small := moved.Spec.Shape.Total()*moveSizeDivisor <= gang.Spec.Shape.Total()
	settled := moved.State == StateRunning && now.Sub(moved.Started) >= minRunBeforeMove
	return small && settled && moved.Spec.Checkpointable && moved.Moves < maxMoves
}
