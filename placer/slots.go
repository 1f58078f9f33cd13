package placer

import (
	"sort"
	"time"

	"cranberrystack.dev/cranberrystack/identifier"
	"cranberrystack.dev/cranberrystack/packer"
)

// sortUnits orders units from the largest and tightest on.
func sortUnits(units []GuaranteeKey) {
	sort.SliceStable(units, func(i, j int) bool {
		left, right := units[i].Shape, units[j].Shape
		if left.Total() != right.Total() {
			return left.Total() > right.Total()
		}
		return tightness[left.Adjacent] > tightness[right.Adjacent]
	})
}

func emptySlots(order []*workerState) []packer.Slot {
	slots := make([]packer.Slot, len(order))
	for i, w := range order {
		slots[i] = packer.Slot{
			Worker: w.info.ID, Rack: w.info.Rack,
			Free: w.info.Accelerators, Total: w.info.Accelerators,
		}
	}
	return slots
}

// claimableSlots shows as free all that is in no guaranteed job's place.
func (e *Engine) claimableSlots(accelerator string) []packer.Slot {
	slots := emptySlots(e.order[accelerator])
	for i, w := range e.order[accelerator] {
		slots[i].Free -= w.guaranteed
	}
	return slots
}

// freeSlots shows what may be given to a job now, or to any if the job is nil.
// What is held for other waiting jobs is not free.
func (e *Engine) freeSlots(accelerator string, job *Job, now time.Time) []packer.Slot {
	slots := e.openSlots(accelerator, job, now)
	e.subtractHolds(accelerator, slots, job, false)
	return slots
}

// openSlots shows the free space without regard to holds. A worker that is
// silent, leaving, set aside or not yet heard by this owner has nothing free.
func (e *Engine) openSlots(accelerator string, job *Job, now time.Time) []packer.Slot {
	order := e.order[accelerator]
	slots := make([]packer.Slot, len(order))
	for i, w := range order {
		slots[i] = packer.Slot{Worker: w.info.ID, Rack: w.info.Rack, Total: w.info.Accelerators}
		if e.usable(w, now) {
			slots[i].Free = w.info.Accelerators - w.used
			continue
		}
		slots[i].Closed = true
	}
	if job != nil {
		e.avoidFailed(job, slots)
	}
	return slots
}

// subtractHolds takes off what is held for others. A claim within a guarantee
// respects only the holds of other such claims.
func (e *Engine) subtractHolds(accelerator string, slots []packer.Slot, job *Job, claim bool) {
	for id, h := range e.holds {
		if h.accelerator != accelerator || (job != nil && id == job.Spec.ID) {
			continue
		}
		if !claim || h.claims() {
			h.subtract(slots)
		}
	}
}

func (e *Engine) usable(w *workerState, now time.Time) bool {
	return !w.info.Leaving && now.Sub(w.heard) < e.options.silence && !now.Before(w.quarantined)
}

// avoidFailed keeps a job off the workers that it failed on, unless no place
// would be left for it even if nothing else ran.
func (e *Engine) avoidFailed(job *Job, slots []packer.Slot) {
	if len(job.FailedOn) == 0 {
		return
	}
	empty := emptySlots(e.order[job.Spec.Accelerator])
	closeSlots(empty, job.FailedOn)
	if _, fits := packer.Find(empty, job.Spec.Shape); fits {
		closeSlots(slots, job.FailedOn)
	}
}

func closeSlots(slots []packer.Slot, workers []identifier.WorkerID) {
	for i := range slots {
		if contains(workers, slots[i].Worker) {
			slots[i].Free, slots[i].Closed = 0, true
		}
	}
}

// rebuildOrder sorts the workers of a kind after one has come or moved.
func (e *Engine) rebuildOrder(accelerator string) {
	var order []*workerState
	for _, w := range e.workers {
		if w.info.Accelerator == accelerator {
			order = append(order, w)
		}
	}
	sort.Slice(order, func(i, j int) bool {
		left, right := order[i].info, order[j].info
		if left.Rack != right.Rack {
			return left.Rack < right.Rack
		}
		if left.Position != right.Position {
			return left.Position < right.Position
		}
		return left.ID < right.ID
	})
	if len(order) == 0 {
		delete(e.order, accelerator)
		return
	}
	e.order[accelerator] = order
}

// hold keeps a place for a waiting job.
type hold struct {
	accelerator string
	pieces      []packer.Piece
	workers     []*workerState
	shape       packer.Shape
	// until is when the hold is looked at again.
	until time.Time
	// reclaiming is set while borrowers are being put out. place is then where
	// the whole shape of unit lies, and pieces are within it.
	reclaiming bool
	unit       GuaranteeKey
	place      []packer.Piece
}

// claims reports whether the hold is for a claim within a guarantee.
func (h *hold) claims() bool { return h.unit != GuaranteeKey{} }

// overlaps reports whether two holds share a worker.
func (h *hold) overlaps(other *hold) bool {
	for _, left := range h.workers {
		for _, right := range other.workers {
			if left == right {
				return true
			}
		}
	}
	return false
}

// subtract takes the held space from what is free to others.
func (h *hold) subtract(slots []packer.Slot) {
	for i, piece := range h.pieces {
		index := piece.Slot
		if index >= len(slots) || slots[index].Worker != h.workers[i].info.ID {
			continue
		}
		slots[index].Free = max(slots[index].Free-piece.Parts*h.shape.PerPart, 0)
	}
}
