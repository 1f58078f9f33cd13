package placer

import (
	"slices"
	"sort"
	"time"

	"cranberrystack.dev/cranberrystack/identifier"
	"cranberrystack.dev/cranberrystack/packer"
)

// sortGuarantees sorts guarantees by size, then by tightness of the adjacency,
// both descending.
func sortGuarantees(keys []GuaranteeKey) {
	sort.SliceStable(keys, func(i, j int) bool {
		left, right := keys[i].Shape, keys[j].Shape
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

// unguaranteedSlots returns the slots with all accelerators free except those
// in guaranteed placements.
func (e *Engine) unguaranteedSlots(accelerator string) []packer.Slot {
	slots := emptySlots(e.workerOrder[accelerator])
	for i, w := range e.workerOrder[accelerator] {
		slots[i].Free -= w.guaranteed
	}
	return slots
}

// freeSlots returns the capacity that a job may use now, or that any job may
// use if job is nil. Capacity reserved for other waiting jobs is not free.
func (e *Engine) freeSlots(accelerator string, job *Job, now time.Time) []packer.Slot {
	slots := e.usableSlots(accelerator, job, now)
	e.subtractReservations(accelerator, slots, job, false)
	return slots
}

// usableSlots returns the free capacity without regard to reservations. A
// worker has none if it is unresponsive, draining or quarantined, or if the job is
// kept off it after a failure. Workers that are not yet known to this owner have
// no slot.
func (e *Engine) usableSlots(accelerator string, job *Job, now time.Time) []packer.Slot {
	order := e.workerOrder[accelerator]
	slots := make([]packer.Slot, len(order))
	for i, w := range order {
		slots[i] = packer.Slot{Worker: w.info.ID, Rack: w.info.Rack, Total: w.info.Accelerators}
		if e.schedulable(w, now) {
			slots[i].Free = w.info.Accelerators - w.used
			continue
		}
		slots[i].Closed = true
	}
	if job != nil {
		e.excludeFailedWorkers(job, slots)
		e.separateSuspects(job, slots)
	}
	return slots
}

// subtractReservations subtracts the capacity reserved for other jobs. With
// guaranteed set, it subtracts only what is reserved for jobs within their
// guarantee.
func (e *Engine) subtractReservations(accelerator string, slots []packer.Slot, job *Job, guaranteed bool) {
	for id, r := range e.reservations {
		if r.accelerator != accelerator || (job != nil && id == job.Spec.ID) {
			continue
		}
		if !guaranteed || r.forGuarantee() {
			r.subtract(slots)
		}
	}
}

func (e *Engine) schedulable(w *workerState, now time.Time) bool {
	return !w.info.Draining && now.Sub(w.lastReport) < e.options.reportTimeout && !now.Before(w.quarantinedUntil)
}

// excludeFailedWorkers keeps a job off the workers that it failed on, unless it
// would then have no placement even if nothing else ran.
func (e *Engine) excludeFailedWorkers(job *Job, slots []packer.Slot) {
	if len(job.FailedOn) == 0 {
		return
	}
	empty := emptySlots(e.workerOrder[job.Spec.Accelerator])
	closeSlots(empty, job.FailedOn)
	if _, fits := packer.Find(empty, job.Spec.Shape); fits {
		closeSlots(slots, job.FailedOn)
	}
}

// separateSuspects keeps a job under which workers have crashed off workers that run
// another such job, if it fits elsewhere, so that only one of them can cause the next
// crash.
func (e *Engine) separateSuspects(job *Job, slots []packer.Slot) {
	if job.Crashes == 0 {
		return
	}
	var suspects []identifier.WorkerID
	for _, w := range e.workerOrder[job.Spec.Accelerator] {
		if slices.ContainsFunc(w.jobs.list, func(other *Job) bool { return other != job && other.Crashes > 0 }) {
			suspects = append(suspects, w.info.ID)
		}
	}
	apart := slices.Clone(slots)
	closeSlots(apart, suspects)
	if _, fits := packer.Find(apart, job.Spec.Shape); fits {
		closeSlots(slots, suspects)
	}
}

func closeSlots(slots []packer.Slot, workers []identifier.WorkerID) {
	for i := range slots {
		if containsWorker(workers, slots[i].Worker) {
			slots[i].Free, slots[i].Closed = 0, true
		}
	}
}

// sortWorkers rebuilds workerOrder for an accelerator type.
func (e *Engine) sortWorkers(accelerator string) {
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
		delete(e.workerOrder, accelerator)
		return
	}
	e.workerOrder[accelerator] = order
}

// reservation keeps a placement for a waiting job.
type reservation struct {
	accelerator string
	pieces      []packer.Piece
	// workers holds the worker of each piece, in the order of pieces.
	workers []*workerState
	shape   packer.Shape
	// expiry is when the reservation is dropped. Unless preempting, it is also
	// when the job is expected to start; until then shorter jobs may be
	// backfilled.
	expiry time.Time
	// preempting is set while jobs are being stopped for the reservation. If it
	// is for a guarantee, placement is that of the whole guaranteed shape and
	// contains pieces.
	preempting bool
	guarantee  GuaranteeKey
	placement  []packer.Piece
}

// forGuarantee reports whether the reservation is for a job within its
// guarantee.
func (r *reservation) forGuarantee() bool { return r.guarantee != GuaranteeKey{} }

// overlaps reports whether two reservations share a worker.
func (r *reservation) overlaps(other *reservation) bool {
	for _, left := range r.workers {
		for _, right := range other.workers {
			if left == right {
				return true
			}
		}
	}
	return false
}

// subtract subtracts the reserved capacity from the slots.
func (r *reservation) subtract(slots []packer.Slot) {
	for i, piece := range r.pieces {
		index := piece.Slot
		if index >= len(slots) || slots[index].Worker != r.workers[i].info.ID {
			continue
		}
		slots[index].Free = max(slots[index].Free-piece.Parts*r.shape.PerPart, 0)
	}
}
