package placer

import (
	"slices"
	"sort"
	"time"

	"cranberrystack.dev/cranberrystack/configurer"
	"cranberrystack.dev/cranberrystack/identifier"
	"cranberrystack.dev/cranberrystack/packer"
)

// Tick checks the timeouts and starts waiting jobs.
func (e *Engine) Tick(now time.Time) {
	e.checkActive(now)
	e.expireReservations(now)
	if !e.scheduleNeeded && now.Before(e.nextSchedule) {
		return
	}
	e.scheduleNeeded = false
	e.nextSchedule = now.Add(scheduleInterval)
	e.promote()
	e.schedule(now)
}

// schedule starts waiting jobs. Jobs within their guarantee come first, urgent ones
// before others, and may preempt borrowers. All others follow as borrowers, by the
// share that their plan and team already use, then urgent ones before others, then
// by age. A plan gets no new borrowers while it waits for others to stop.
func (e *Engine) schedule(now time.Time) {
	waiting := append([]*Job(nil), e.queue...)
	var borrowers []*Job
	blocked := map[searchKey]bool{}
	overLimits := map[searchKey]bool{}
	reclaiming := map[planKey]bool{}
	for _, job := range urgentFirst(waiting) {
		guarantee, found := e.findUnusedGuarantee(&job.Spec)
		key := e.searchKeyOf(job)
		if !e.withinLimits(job) {
			if found && !overLimits[key] && e.reclaimLimit(job, guarantee, now) {
				reclaiming[planKey{job.Spec.Plan, job.Spec.Accelerator}] = true
			}
			overLimits[key] = true
			continue
		}
		if found && !blocked[key] && e.startGuaranteed(job, guarantee, now) {
			continue
		}
		blocked[key] = true
		borrowers = append(borrowers, job)
	}
	borrowers = slices.DeleteFunc(borrowers, func(job *Job) bool { return reclaiming[planKey{job.Spec.Plan, job.Spec.Accelerator}] })
	e.startBorrowers(borrowers, now)
}

func urgentFirst(jobs []*Job) []*Job {
	sort.SliceStable(jobs, func(i, j int) bool { return jobs[i].Spec.Urgent && !jobs[j].Spec.Urgent })
	return jobs
}

// startGuaranteed starts a job within its guarantee, or preempts borrowers for
// it. It returns false if the job has to be treated as a borrower for now.
func (e *Engine) startGuaranteed(job *Job, key GuaranteeKey, now time.Time) bool {
	if r, reserved := e.reservations[job.Spec.ID]; reserved && r.preempting {
		return e.startReserved(job, r, key, now)
	}
	accelerator := job.Spec.Accelerator
	slots := e.slotsForGuarantee(accelerator, job, now)
	placement, fits := packer.Find(e.limitToUnguaranteed(accelerator, slots), key.Shape)
	if fits && e.preservesGuarantees(accelerator, placement, key) {
		pieces, _ := packer.Find(limitToPlacement(slots, placement, key.Shape), job.Spec.Shape)
		e.requestLeases(job, pieces, now)
		e.assignGuarantee(job, key, placement)
		return true
	}
	return e.reclaim(job, key, now)
}

// slotsForGuarantee returns the slots that a job within its guarantee may use
// now.
func (e *Engine) slotsForGuarantee(accelerator string, job *Job, now time.Time) []packer.Slot {
	slots := e.usableSlots(accelerator, job, now)
	e.subtractReservations(accelerator, slots, job, true)
	return slots
}

// limitToUnguaranteed limits the free capacity to what is in no job's
// guaranteed placement.
func (e *Engine) limitToUnguaranteed(accelerator string, slots []packer.Slot) []packer.Slot {
	limited := append([]packer.Slot(nil), slots...)
	for i, slot := range e.unguaranteedSlots(accelerator) {
		limited[i].Free = min(limited[i].Free, slot.Free)
	}
	return limited
}

// limitToPlacement limits the free capacity to a placement.
func limitToPlacement(slots []packer.Slot, placement []packer.Piece, shape packer.Shape) []packer.Slot {
	limited := append([]packer.Slot(nil), slots...)
	for i := range limited {
		limited[i].Free = 0
	}
	for _, piece := range placement {
		limited[piece.Slot].Free = min(slots[piece.Slot].Free, piece.Parts*shape.PerPart)
	}
	return limited
}

// startReserved starts a job in its reserved placement once the borrowers have
// stopped, and returns true while the job waits for them. A reservation that no
// longer suits the guarantees is dropped, and the job is handled as by
// startGuaranteed.
func (e *Engine) startReserved(job *Job, r *reservation, key GuaranteeKey, now time.Time) bool {
	slots := e.slotsForGuarantee(job.Spec.Accelerator, job, now)
	for _, piece := range r.pieces {
		if piece.Slot >= len(slots) || slots[piece.Slot].Free < piece.Parts*job.Spec.Shape.PerPart {
			return true
		}
	}
	delete(e.reservations, job.Spec.ID)
	if r.guarantee != key || !e.preservesGuarantees(job.Spec.Accelerator, r.placement, key) {
		return e.startGuaranteed(job, key, now)
	}
	e.requestLeases(job, r.pieces, now)
	e.assignGuarantee(job, key, r.placement)
	return true
}

// searchKey groups jobs for which the same search is assumed to have the same
// result. Of the workers that a job failed on, and of the crashes under it, only the
// number counts.
type searchKey struct {
	plan        identifier.PlanID
	accelerator string
	shape       packer.Shape
	failures    int
	crashes     int
	expected    time.Duration
	urgent      bool
}

// searchKeyOf returns the job's search key, computed once each time the job is
// queued.
func (e *Engine) searchKeyOf(job *Job) searchKey {
	if job.searchKey.accelerator == "" {
		job.searchKey = e.newSearchKey(job)
	}
	return job.searchKey
}

func (e *Engine) newSearchKey(job *Job) searchKey {
	spec := &job.Spec
	return searchKey{
		plan: spec.Plan, accelerator: spec.Accelerator, shape: spec.Shape, urgent: spec.Urgent,
		failures: len(job.FailedOn), crashes: job.Crashes, expected: e.runTimes.expected(spec),
	}
}

// teamQueue holds the waiting jobs of one team, in order.
type teamQueue struct {
	jobs  []*Job
	share float64
}

// startBorrowers starts the jobs that fit into free capacity, moves jobs for
// gangs where the free capacity is only scattered, and leaves free the capacity
// that accumulates for a gang that has waited long.
func (e *Engine) startBorrowers(jobs []*Job, now time.Time) {
	accumulations := e.accumulateForGangs(jobs, now)
	queues := e.teamQueues(jobs)
	failed := map[searchKey]bool{}
	for {
		next := lowestShare(queues)
		if next == nil {
			return
		}
		job := next.jobs[0]
		next.jobs = next.jobs[1:]
		key := e.searchKeyOf(job)
		pending := accumulations[job.Spec.Accelerator]
		_, reserved := e.reservations[job.Spec.ID]
		switch {
		case job.State != StateQueued, failed[key] && !reserved, !e.withinLimits(job):
			continue
		case !pending.admits(job, now.Add(key.expected)):
			continue
		case !e.startBorrower(job, now):
			failed[key] = true
			e.compact(job, now)
			continue
		}
		pending.consume(job)
		for _, queue := range queues {
			if len(queue.jobs) > 0 && queue.jobs[0].Spec.Plan == job.Spec.Plan {
				queue.share = e.dominantShare(queue.jobs[0])
			}
		}
	}
}

// teamQueues groups jobs by team and accelerator type. Each job with a reservation
// gets a queue of its own, which goes first.
func (e *Engine) teamQueues(jobs []*Job) []*teamQueue {
	var queues []*teamQueue
	byTeam := map[teamKey]*teamQueue{}
	for _, job := range jobs {
		key := teamKey{job.Spec.Plan, job.Spec.Team, job.Spec.Accelerator}
		queue, known := byTeam[key]
		if _, reserved := e.reservations[job.Spec.ID]; reserved {
			queues = append(queues, &teamQueue{jobs: []*Job{job}, share: e.dominantShare(job)})
			continue
		}
		if !known {
			queue = &teamQueue{share: e.dominantShare(job)}
			byTeam[key] = queue
			queues = append(queues, queue)
		}
		queue.jobs = append(queue.jobs, job)
	}
	return queues
}

func lowestShare(queues []*teamQueue) *teamQueue {
	var best *teamQueue
	for _, queue := range queues {
		if len(queue.jobs) > 0 && (best == nil || queue.share < best.share) {
			best = queue
		}
	}
	return best
}

// dominantShare returns the larger of the plan's and the team's share of what
// each may use, and -1 for a job with a reservation, so that it goes first.
func (e *Engine) dominantShare(job *Job) float64 {
	if _, reserved := e.reservations[job.Spec.ID]; reserved {
		return -1
	}
	spec := &job.Spec
	share := 0.0
	if allowance, known := e.lists.allowance(spec.Plan, spec.Accelerator); known && allowance.Limit > 0 {
		share = float64(e.usage.plans[planKey{spec.Plan, spec.Accelerator}]) / float64(allowance.Limit)
	}
	plan, known := e.lists.plan(spec.Plan)
	if !known {
		return share
	}
	if team, found := findTeam(plan, spec.Team); found && team.Quota > 0 {
		used := e.usage.teams[teamKey{spec.Plan, spec.Team, spec.Accelerator}]
		share = max(share, float64(used)/float64(team.Quota))
	}
	return share
}

func (e *Engine) startBorrower(job *Job, now time.Time) bool {
	slots := e.freeSlots(job.Spec.Accelerator, job, now)
	pieces, fits := packer.Find(slots, job.Spec.Shape)
	if !fits {
		pieces, fits = e.backfill(job, now)
	}
	if !fits {
		return false
	}
	delete(e.reservations, job.Spec.ID)
	e.requestLeases(job, pieces, now)
	return true
}

// backfill finds a placement for a short job in capacity that is reserved for a
// gang, if the job is expected to end before the gang can start.
func (e *Engine) backfill(job *Job, now time.Time) ([]packer.Piece, bool) {
	if len(e.reservations) == 0 {
		return nil, false
	}
	end := now.Add(e.runTimes.expected(&job.Spec))
	all := e.reservations
	e.reservations = map[jobID]*reservation{}
	for id, r := range all {
		if r.preempting || !end.Before(r.expiry) {
			e.reservations[id] = r
		}
	}
	slots := e.freeSlots(job.Spec.Accelerator, job, now)
	e.reservations = all
	return packer.Find(slots, job.Spec.Shape)
}

// maxReservations limits the reservations of one accelerator type that preempt no
// job; more would leave too much idle.
const maxReservations = 1

// reserve reserves the placement that is expected to become free first for a
// gang that has waited long.
func (e *Engine) reserve(job *Job, now time.Time) {
	if job.Spec.Shape.Total() < 2 || now.Sub(job.Submitted) < e.options.reserveAfter {
		return
	}
	if now.Before(e.nextReservation) {
		return
	}
	e.nextReservation = now.Add(searchInterval)
	reserved := 0
	for _, r := range e.reservations {
		if r.accelerator == job.Spec.Accelerator && !r.preempting {
			reserved++
		}
	}
	if reserved >= maxReservations {
		return
	}
	pieces, at, found := e.earliestPlacement(job, now)
	if !found {
		return
	}
	e.reservations[job.Spec.ID] = e.newReservation(job, pieces, at, false)
}

func (e *Engine) newReservation(job *Job, pieces []packer.Piece, expiry time.Time, preempting bool) *reservation {
	r := &reservation{
		accelerator: job.Spec.Accelerator, pieces: pieces, shape: job.Spec.Shape,
		expiry: expiry, preempting: preempting,
	}
	order := e.workerOrder[job.Spec.Accelerator]
	for _, piece := range pieces {
		r.workers = append(r.workers, order[piece.Slot])
	}
	return r
}

// earliestPlacement finds where a job fits once the running jobs that are
// expected to end first have ended, and when that is.
func (e *Engine) earliestPlacement(job *Job, now time.Time) ([]packer.Piece, time.Time, bool) {
	type ending struct {
		job *Job
		at  time.Time
	}
	var endings []ending
	for _, running := range e.active.all() {
		if running.Spec.Accelerator == job.Spec.Accelerator {
			endings = append(endings, ending{running, e.expectedEnd(running, now)})
		}
	}
	sort.Slice(endings, func(i, j int) bool {
		if !endings[i].at.Equal(endings[j].at) {
			return endings[i].at.Before(endings[j].at)
		}
		return endings[i].job.Spec.ID < endings[j].job.Spec.ID
	})
	slots := e.freeSlots(job.Spec.Accelerator, job, now)
	index := e.slotIndex(job.Spec.Accelerator)
	slotsAfter := func(count int) []packer.Slot {
		future := append([]packer.Slot(nil), slots...)
		for _, ends := range endings[:count] {
			for i := range ends.job.Pieces {
				piece := &ends.job.Pieces[i]
				if position, known := index[piece.Worker]; known && piece.holdsAccelerators() && !future[position].Closed {
					future[position].Free += piece.Parts * ends.job.Spec.Shape.PerPart
				}
			}
		}
		return future
	}
	count := sort.Search(len(endings)+1, func(count int) bool {
		_, fits := packer.Find(slotsAfter(count), job.Spec.Shape)
		return fits
	})
	if count > len(endings) {
		return nil, time.Time{}, false
	}
	pieces, _ := packer.Find(slotsAfter(count), job.Spec.Shape)
	at := now
	if count > 0 {
		at = endings[count-1].at
	}
	return pieces, at, true
}

func (e *Engine) slotIndex(accelerator string) map[workerID]int {
	index := map[workerID]int{}
	for i, w := range e.workerOrder[accelerator] {
		index[w.info.ID] = i
	}
	return index
}

// expectedEnd estimates when a job ends. An overdue job is expected to take as
// long again as it has run.
func (e *Engine) expectedEnd(job *Job, now time.Time) time.Time {
	if job.State == StateStopping {
		return job.stateSince.Add(e.options.grace)
	}
	started := job.Started
	if started.IsZero() {
		started = now
	}
	end := started.Add(e.runTimes.expected(&job.Spec) - job.Progress)
	if end.Before(now) {
		return now.Add(now.Sub(started))
	}
	return end
}

// requestLeases requests a lease for every piece of a gang. Nothing starts
// before all are granted.
func (e *Engine) requestLeases(job *Job, pieces []packer.Piece, now time.Time) {
	e.lastAttempt++
	job.Attempt = e.lastAttempt
	job.Reason = ""
	job.Pieces = nil
	order := e.workerOrder[job.Spec.Accelerator]
	for _, piece := range pieces {
		job.Pieces = append(job.Pieces, Piece{
			Worker: order[piece.Slot].info.ID, Parts: piece.Parts,
			State: PieceRequested, requestedAt: now, leaseExpiry: now.Add(e.options.leaseTTL + e.options.leaseMargin),
			Progress: job.Progress,
		})
	}
	e.usage.add(job, 1)
	e.addActive(job)
	e.setState(job, StateLeasing, now)
	for i := range job.Pieces {
		e.allocatePiece(job, &job.Pieces[i])
		e.addCommand(job, &job.Pieces[i], Command{
			Kind: CommandLease, TTL: e.options.leaseTTL,
			Accelerators: job.Pieces[i].Parts * job.Spec.Shape.PerPart,
		})
	}
}

// maxPromotions limits the borrowers that one call of promote considers.
const maxPromotions = 8

// promote makes borrowers guaranteed where their plan has an unused guarantee
// and no other guarantee loses its placement.
func (e *Engine) promote() {
	searches := 0
	for _, allowance := range e.lists.allowances {
		running, known := e.activeByPlan[planKey{allowance.Plan, allowance.Accelerator}]
		if !known || !e.hasUnusedGuarantee(allowance) {
			continue
		}
		for _, job := range running.all() {
			if job.Guaranteed || job.State == StateStopping || job.recovering {
				continue
			}
			key, found := e.findUnusedGuarantee(&job.Spec)
			if !found {
				continue
			}
			if searches++; searches > maxPromotions {
				return
			}
			placement, fits := e.placementAround(job, key)
			if fits && e.preservesGuarantees(job.Spec.Accelerator, placement, key) {
				e.assignGuarantee(job, key, placement)
			}
		}
	}
}

// hasUnusedGuarantee reports whether any guarantee of an allowance is unused in
// this data centre.
func (e *Engine) hasUnusedGuarantee(allowance configurer.Allowance) bool {
	for _, guarantee := range allowance.Guarantees {
		key := GuaranteeKey{Plan: allowance.Plan, Accelerator: allowance.Accelerator, Shape: guarantee.Shape}
		if e.usage.guarantees[key] < e.localCount(allowance, guarantee.Shape) {
			return true
		}
	}
	return false
}

// placementAround returns a placement of a guaranteed shape that contains a
// running job's pieces: the pieces themselves if the shapes are equal, or the
// worker that the whole job runs on.
func (e *Engine) placementAround(job *Job, key GuaranteeKey) ([]packer.Piece, bool) {
	pieces := e.currentPieces(job)
	if len(pieces) != len(job.Pieces) {
		return nil, false
	}
	if key.Shape == job.Spec.Shape {
		return pieces, true
	}
	if key.Shape.Adjacent != packer.AdjacentWorker || len(pieces) != 1 {
		return nil, false
	}
	return []packer.Piece{{Slot: pieces[0].Slot, Parts: key.Shape.Parts}}, true
}

// currentPieces returns the job's pieces that hold accelerators on workers that
// this owner knows, by slot.
func (e *Engine) currentPieces(job *Job) []packer.Piece {
	index := e.slotIndex(job.Spec.Accelerator)
	var pieces []packer.Piece
	for i := range job.Pieces {
		if position, known := index[job.Pieces[i].Worker]; known && job.Pieces[i].holdsAccelerators() {
			pieces = append(pieces, packer.Piece{Slot: position, Parts: job.Pieces[i].Parts})
		}
	}
	return pieces
}
