package placer

import (
	"sort"
	"time"

	"cranberrystack.dev/cranberrystack/configurer"
	"cranberrystack.dev/cranberrystack/identifier"
	"cranberrystack.dev/cranberrystack/packer"
)

// Tick lets time pass: it looks at timeouts and starts what may start.
func (e *Engine) Tick(now time.Time) {
	e.watchRunning(now)
	e.watchHolds(now)
	if !e.touched && now.Before(e.nextLook) {
		return
	}
	e.touched = false
	e.nextLook = now.Add(lookInterval)
	e.promote()
	e.schedule(now)
}

// schedule starts waiting jobs. Those within their guarantee come first and
// may have borrowers put out; all others follow by their plan's and team's
// share of what they may use, then by age.
func (e *Engine) schedule(now time.Time) {
	waiting := append([]*Job(nil), e.queue...)
	var borrowers []*Job
	stuck := map[shapeKey]bool{}
	for _, job := range urgentFirst(waiting) {
		if !e.withinLimits(job) {
			continue
		}
		key := e.keyOf(job)
		unit, found := e.freeUnit(&job.Spec)
		if found && !stuck[key] && e.startGuaranteed(job, unit, now) {
			continue
		}
		stuck[key] = true
		borrowers = append(borrowers, job)
	}
	e.startBorrowers(borrowers, now)
}

func urgentFirst(jobs []*Job) []*Job {
	sort.SliceStable(jobs, func(i, j int) bool { return jobs[i].Spec.Urgent && !jobs[j].Spec.Urgent })
	return jobs
}

// startGuaranteed starts a job within its guarantee, or has borrowers put out
// for it. It returns false if the job is better served as a borrower.
func (e *Engine) startGuaranteed(job *Job, unit GuaranteeKey, now time.Time) bool {
	if h, held := e.holds[job.Spec.ID]; held && h.reclaiming {
		return e.startHeld(job, h, unit, now)
	}
	accelerator := job.Spec.Accelerator
	slots := e.claimSlots(accelerator, job, now)
	place, fits := packer.Find(e.unclaimed(accelerator, slots), unit.Shape)
	if fits && e.keepsGuarantees(accelerator, place, unit) {
		pieces, _ := packer.Find(within(slots, place, unit.Shape), job.Spec.Shape)
		e.start(job, pieces, now)
		e.setGuaranteed(job, unit, place)
		return true
	}
	return e.reclaim(job, unit, now)
}

// claimSlots shows what may be given to a claim within a guarantee now.
func (e *Engine) claimSlots(accelerator string, job *Job, now time.Time) []packer.Slot {
	slots := e.openSlots(accelerator, job, now)
	e.subtractHolds(accelerator, slots, job, true)
	return slots
}

// unclaimed limits free space to what is in no guaranteed job's place.
func (e *Engine) unclaimed(accelerator string, slots []packer.Slot) []packer.Slot {
	limited := append([]packer.Slot(nil), slots...)
	for i, claimable := range e.claimableSlots(accelerator) {
		limited[i].Free = min(limited[i].Free, claimable.Free)
	}
	return limited
}

// within limits free space to a place.
func within(slots []packer.Slot, place []packer.Piece, shape packer.Shape) []packer.Slot {
	limited := append([]packer.Slot(nil), slots...)
	for i := range limited {
		limited[i].Free = 0
	}
	for _, piece := range place {
		limited[piece.Slot].Free = min(slots[piece.Slot].Free, piece.Parts*shape.PerPart)
	}
	return limited
}

// startHeld starts a job in its held place once the borrowers are gone.
func (e *Engine) startHeld(job *Job, h *hold, unit GuaranteeKey, now time.Time) bool {
	slots := e.claimSlots(job.Spec.Accelerator, job, now)
	for _, piece := range h.pieces {
		if piece.Slot >= len(slots) || slots[piece.Slot].Free < piece.Parts*job.Spec.Shape.PerPart {
			return true
		}
	}
	delete(e.holds, job.Spec.ID)
	if h.unit != unit || !e.keepsGuarantees(job.Spec.Accelerator, h.place, unit) {
		return e.startGuaranteed(job, unit, now)
	}
	e.start(job, h.pieces, now)
	e.setGuaranteed(job, unit, h.place)
	return true
}

// shapeKey groups jobs for which the same search gives the same result.
type shapeKey struct {
	plan        identifier.PlanID
	accelerator string
	shape       packer.Shape
	failures    int
	expected    time.Duration
	urgent      bool
}

// keyOf returns the job's key, worked out once each time it is queued.
func (e *Engine) keyOf(job *Job) shapeKey {
	if job.key.accelerator == "" {
		job.key = e.newKey(job)
	}
	return job.key
}

func (e *Engine) newKey(job *Job) shapeKey {
	spec := &job.Spec
	return shapeKey{
		plan: spec.Plan, accelerator: spec.Accelerator, shape: spec.Shape, urgent: spec.Urgent,
		failures: len(job.FailedOn), expected: e.learnt.expected(spec),
	}
}

// lane holds the waiting jobs of one team, in order.
type lane struct {
	jobs  []*Job
	share float64
}

// startBorrowers starts what fits into free space, has room made for gangs
// where it is only scattered, and leaves what is gathered for a gang that has
// waited long.
func (e *Engine) startBorrowers(jobs []*Job, now time.Time) {
	gatherings := e.gatherForGangs(jobs, now)
	lanes := e.lanes(jobs)
	failed := map[shapeKey]bool{}
	for {
		next := emptiest(lanes)
		if next == nil {
			return
		}
		job := next.jobs[0]
		next.jobs = next.jobs[1:]
		key := e.keyOf(job)
		gathering := gatherings[job.Spec.Accelerator]
		_, held := e.holds[job.Spec.ID]
		switch {
		case job.State != StateQueued, failed[key] && !held, !e.withinLimits(job):
			continue
		case !gathering.leaves(job, now.Add(key.expected)):
			continue
		case !e.startBorrower(job, now):
			failed[key] = true
			e.compact(job, now)
			continue
		}
		gathering.take(job)
		for _, l := range lanes {
			if len(l.jobs) > 0 && l.jobs[0].Spec.Plan == job.Spec.Plan {
				l.share = e.dominantShare(l.jobs[0])
			}
		}
	}
}

// lanes groups jobs by team, with those that have a place held in lanes of
// their own, which go first.
func (e *Engine) lanes(jobs []*Job) []*lane {
	var lanes []*lane
	byTeam := map[teamUse]*lane{}
	for _, job := range jobs {
		key := teamUse{job.Spec.Plan, job.Spec.Team, job.Spec.Accelerator}
		own, known := byTeam[key]
		if _, held := e.holds[job.Spec.ID]; held {
			lanes = append(lanes, &lane{jobs: []*Job{job}, share: e.dominantShare(job)})
			continue
		}
		if !known {
			own = &lane{share: e.dominantShare(job)}
			byTeam[key] = own
			lanes = append(lanes, own)
		}
		own.jobs = append(own.jobs, job)
	}
	return lanes
}

func emptiest(lanes []*lane) *lane {
	var best *lane
	for _, l := range lanes {
		if len(l.jobs) > 0 && (best == nil || l.share < best.share) {
			best = l
		}
	}
	return best
}

// dominantShare is the larger of the plan's and the team's part of what each
// may use. A job with a place held goes first.
func (e *Engine) dominantShare(job *Job) float64 {
	if _, held := e.holds[job.Spec.ID]; held {
		return -1
	}
	spec := &job.Spec
	share := 0.0
	if allowance, known := e.lists.allowance(spec.Plan, spec.Accelerator); known && allowance.Limit > 0 {
		share = float64(e.usage.plans[planUse{spec.Plan, spec.Accelerator}]) / float64(allowance.Limit)
	}
	plan, known := e.lists.plan(spec.Plan)
	if !known {
		return share
	}
	if team, found := findTeam(plan, spec.Team); found && team.Quota > 0 {
		used := e.usage.teams[teamUse{spec.Plan, spec.Team, spec.Accelerator}]
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
	delete(e.holds, job.Spec.ID)
	e.start(job, pieces, now)
	return true
}

// backfill finds a place for a short job in space that is held for a gang, if
// it is expected to be gone before the gang can start.
func (e *Engine) backfill(job *Job, now time.Time) ([]packer.Piece, bool) {
	if len(e.holds) == 0 {
		return nil, false
	}
	end := now.Add(e.learnt.expected(&job.Spec))
	kept := e.holds
	e.holds = map[jobID]*hold{}
	for id, h := range kept {
		if h.reclaiming || !end.Before(h.until) {
			e.holds[id] = h
		}
	}
	slots := e.freeSlots(job.Spec.Accelerator, job, now)
	e.holds = kept
	return packer.Find(slots, job.Spec.Shape)
}

// maxReserved bounds the places reserved of one kind of accelerator: more
// would keep too much empty.
const maxReserved = 1

// reserve holds the place that is expected to become free first for a gang
// that has waited long.
func (e *Engine) reserve(job *Job, now time.Time) {
	if job.Spec.Shape.Total() < 2 || now.Sub(job.Submitted) < e.options.reserveAfter {
		return
	}
	if now.Before(e.reserveNext) {
		return
	}
	e.reserveNext = now.Add(retryInterval)
	reserved := 0
	for _, h := range e.holds {
		if h.accelerator == job.Spec.Accelerator && !h.reclaiming {
			reserved++
		}
	}
	if reserved >= maxReserved {
		return
	}
	pieces, at, found := e.soonest(job, now)
	if !found {
		return
	}
	e.holds[job.Spec.ID] = e.newHold(job, pieces, at, false)
}

func (e *Engine) newHold(job *Job, pieces []packer.Piece, until time.Time, reclaiming bool) *hold {
	h := &hold{
		accelerator: job.Spec.Accelerator, pieces: pieces, shape: job.Spec.Shape,
		until: until, reclaiming: reclaiming,
	}
	order := e.order[job.Spec.Accelerator]
	for _, piece := range pieces {
		h.workers = append(h.workers, order[piece.Slot])
	}
	return h
}

// soonest finds where a shape fits once the running jobs expected to end
// first have ended.
func (e *Engine) soonest(job *Job, now time.Time) ([]packer.Piece, time.Time, bool) {
	type ending struct {
		job *Job
		at  time.Time
	}
	var endings []ending
	for _, running := range e.running.all() {
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
	give := func(count int) []packer.Slot {
		future := append([]packer.Slot(nil), slots...)
		for _, ends := range endings[:count] {
			for i := range ends.job.Pieces {
				piece := &ends.job.Pieces[i]
				if place, known := index[piece.Worker]; known && piece.holds() && !future[place].Closed {
					future[place].Free += piece.Parts * ends.job.Spec.Shape.PerPart
				}
			}
		}
		return future
	}
	count := sort.Search(len(endings)+1, func(count int) bool {
		_, fits := packer.Find(give(count), job.Spec.Shape)
		return fits
	})
	if count > len(endings) {
		return nil, time.Time{}, false
	}
	pieces, _ := packer.Find(give(count), job.Spec.Shape)
	at := now
	if count > 0 {
		at = endings[count-1].at
	}
	return pieces, at, true
}

func (e *Engine) slotIndex(accelerator string) map[workerID]int {
	index := map[workerID]int{}
	for i, w := range e.order[accelerator] {
		index[w.info.ID] = i
	}
	return index
}

func (e *Engine) expectedEnd(job *Job, now time.Time) time.Time {
	if job.State == StateStopping {
		return job.changed.Add(e.options.grace)
	}
	started := job.Started
	if started.IsZero() {
		started = now
	}
	end := started.Add(e.learnt.expected(&job.Spec) - job.Progress)
	if end.Before(now) {
		return now.Add(now.Sub(started))
	}
	return end
}

// start leases all pieces of a gang. Nothing runs before all are leased.
func (e *Engine) start(job *Job, pieces []packer.Piece, now time.Time) {
	e.attempt++
	job.Attempt = e.attempt
	job.Reason = ""
	job.Pieces = nil
	order := e.order[job.Spec.Accelerator]
	for _, piece := range pieces {
		job.Pieces = append(job.Pieces, Piece{
			Worker: order[piece.Slot].info.ID, Parts: piece.Parts,
			State: PieceRequested, asked: now, held: now.Add(e.options.lease + e.options.leaseMargin),
			Progress: job.Progress,
		})
	}
	e.usage.add(job, 1)
	e.addRunning(job)
	e.enter(job, StateLeasing, now)
	for i := range job.Pieces {
		e.occupy(job, &job.Pieces[i])
		e.command(job, &job.Pieces[i], Command{
			Kind: CommandLease, TTL: e.options.lease,
			Accelerators: job.Pieces[i].Parts * job.Spec.Shape.PerPart,
		})
	}
}

// maxPromotions bounds the borrowers that one look tries to promote.
const maxPromotions = 8

// promote marks borrowers as guaranteed where their plan's guarantee has room
// and no other guarantee loses its place.
func (e *Engine) promote() {
	tries := 0
	for _, allowance := range e.lists.allowances {
		running, known := e.byPlan[planUse{allowance.Plan, allowance.Accelerator}]
		if !known || !e.hasFreeUnit(allowance) {
			continue
		}
		for _, job := range running.all() {
			if job.Guaranteed || job.State == StateStopping || job.adopting {
				continue
			}
			unit, found := e.freeUnit(&job.Spec)
			if !found {
				continue
			}
			if tries++; tries > maxPromotions {
				return
			}
			place, fits := e.placeAround(job, unit)
			if fits && e.keepsGuarantees(job.Spec.Accelerator, place, unit) {
				e.setGuaranteed(job, unit, place)
			}
		}
	}
}

// hasFreeUnit reports whether any guarantee of an allowance is unused here.
func (e *Engine) hasFreeUnit(allowance configurer.Allowance) bool {
	for _, guarantee := range allowance.Guarantees {
		unit := GuaranteeKey{Plan: allowance.Plan, Accelerator: allowance.Accelerator, Shape: guarantee.Shape}
		if e.usage.units[unit] < e.unitShare(allowance, guarantee.Shape) {
			return true
		}
	}
	return false
}

// placeAround returns a place of a guaranteed shape that holds a running job's
// pieces: the pieces themselves if the shapes are the same, or the worker that
// the whole job runs on.
func (e *Engine) placeAround(job *Job, unit GuaranteeKey) ([]packer.Piece, bool) {
	pieces := e.piecesOf(job)
	if len(pieces) != len(job.Pieces) {
		return nil, false
	}
	if unit.Shape == job.Spec.Shape {
		return pieces, true
	}
	if unit.Shape.Adjacent != packer.AdjacentWorker || len(pieces) != 1 {
		return nil, false
	}
	return []packer.Piece{{Slot: pieces[0].Slot, Parts: unit.Shape.Parts}}, true
}

func (e *Engine) piecesOf(job *Job) []packer.Piece {
	index := e.slotIndex(job.Spec.Accelerator)
	var pieces []packer.Piece
	for i := range job.Pieces {
		if place, known := index[job.Pieces[i].Worker]; known && job.Pieces[i].holds() {
			pieces = append(pieces, packer.Piece{Slot: place, Parts: job.Pieces[i].Parts})
		}
	}
	return pieces
}
