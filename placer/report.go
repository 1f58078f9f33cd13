package placer

import (
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"cranberrystack.dev/cranberrystack/identifier"
	"cranberrystack.dev/cranberrystack/leaser"
)

// ErrFullReportRequired reports a partial report from a worker of whose
// incarnation this owner has no full report yet.
var ErrFullReportRequired = eris.New("full report required")

// HandleReport applies a worker's report. It returns true if the report was
// applied, in which case the caller renews the worker's leases, and false for a
// report older than the last. Errors: ErrConflict if the worker is announced by
// another holder, or from another address by no later incarnation while the first
// address still reports; ErrFullReportRequired.
func (e *Engine) HandleReport(report Report, now time.Time) (bool, error) {
	w, known := e.workers[report.Worker.ID]
	if report.Partial && (!known || report.Worker.Incarnation != w.info.Incarnation) {
		return false, ErrFullReportRequired
	}
	if known {
		current, err := e.validateReport(w, report, now)
		if err != nil || !current {
			return false, err
		}
	} else {
		w = &workerState{jobs: newJobSet()}
		e.workers[report.Worker.ID] = w
	}
	restarted := known && report.Worker.Incarnation > w.info.Incarnation
	lastAlive := w.lastReport
	e.updateWorker(w, report, now)
	if restarted {
		e.recordCrash(w, lastAlive)
	}
	if !known {
		e.attachPieces(w)
	}
	e.applyLeases(w, report, now)
	e.applyUsage(report, now)
	return true, nil
}

// HandleCommandResponse applies the report in a worker's response to commands.
// Of report.Worker only the incarnation is used: the worker stays as it announced
// itself. An outdated report is ignored.
func (e *Engine) HandleCommandResponse(worker identifier.WorkerID, report Report, now time.Time) {
	w, known := e.workers[worker]
	if !known || report.Worker.Incarnation != w.info.Incarnation {
		return
	}
	report.Worker = w.info
	_, _ = e.HandleReport(report, now)
}

// validateReport reports whether a report is newer than the last one. It returns
// ErrConflict for a worker that is announced by another holder, or from another
// address while the first one is still reporting.
func (e *Engine) validateReport(w *workerState, report Report, now time.Time) (bool, error) {
	if w.info.Subject != report.Worker.Subject {
		return false, fmt.Errorf("worker %s is announced by another holder: %w", report.Worker.ID, ErrConflict)
	}
	moved := w.info.Address != report.Worker.Address && now.Sub(w.lastReport) < e.options.reportTimeout
	if moved && report.Worker.Incarnation <= w.info.Incarnation {
		return false, fmt.Errorf("worker %s is announced from another address: %w", report.Worker.ID, ErrConflict)
	}
	if report.Worker.Incarnation != w.info.Incarnation {
		return report.Worker.Incarnation > w.info.Incarnation, nil
	}
	return report.Sequence > w.sequence, nil
}

func (e *Engine) updateWorker(w *workerState, report Report, now time.Time) {
	before := w.info
	unresponsive := now.Sub(w.lastReport) >= e.options.reportTimeout
	w.info = report.Worker
	w.lastReport = now
	w.sequence = report.Sequence
	positionChanged := before.ID == "" || before.Rack != w.info.Rack || before.Position != w.info.Position ||
		before.Accelerator != w.info.Accelerator || before.Accelerators != w.info.Accelerators
	if positionChanged {
		clear(e.reservations)
		e.sortWorkers(w.info.Accelerator)
		if before.Accelerator != w.info.Accelerator {
			e.sortWorkers(before.Accelerator)
		}
	}
	if positionChanged || unresponsive || before.Draining != w.info.Draining {
		e.scheduleNeeded = true
	}
}

// attachPieces counts the pieces and guaranteed placements that earlier owners
// placed on a worker.
func (e *Engine) attachPieces(w *workerState) {
	for _, job := range e.active.all() {
		for i := range job.Pieces {
			if job.Pieces[i].Worker == w.info.ID && job.Pieces[i].holdsAccelerators() {
				e.allocatePiece(job, &job.Pieces[i])
			}
		}
		for _, allocation := range job.GuaranteedPlacement {
			if allocation.Worker == w.info.ID {
				w.guaranteed += allocation.Accelerators
			}
		}
	}
}

func (e *Engine) applyLeases(w *workerState, report Report, now time.Time) {
	seen := map[leaser.ID]bool{}
	for i := range report.Leases {
		lease := &report.Leases[i]
		seen[lease.ID] = true
		e.applyLease(w, lease, now)
	}
	if report.Partial {
		e.renewUnchanged(w, now)
		return
	}
	for _, job := range w.jobs.all() {
		if !seen[leaser.ID{Job: job.Spec.ID, Attempt: job.Attempt}] {
			e.handleMissingPiece(job, w, now)
		}
	}
}

// renewUnchanged renews the leases of the pieces that a worker has reported
// before. A partial report leaves out those that have not changed; the worker
// still has them, since an earlier report listed them.
func (e *Engine) renewUnchanged(w *workerState, now time.Time) {
	for _, job := range w.jobs.list {
		for i := range job.Pieces {
			piece := &job.Pieces[i]
			if piece.Worker == w.info.ID && piece.reported {
				piece.leaseExpiry = now.Add(e.options.leaseTTL + e.options.leaseMargin)
			}
		}
	}
}

// applyLease applies one lease of a report.
func (e *Engine) applyLease(w *workerState, lease *leaser.Lease, now time.Time) {
	job, known := e.active.get(lease.ID.Job)
	if !known || job.Attempt != lease.ID.Attempt {
		if lease.State.HoldsAccelerators() {
			e.stopOrphan(w, lease.ID)
		}
		return
	}
	for i := range job.Pieces {
		if job.Pieces[i].Worker == w.info.ID {
			e.applyPiece(job, &job.Pieces[i], lease, now)
			return
		}
	}
}

// stopOrphan stops an orphaned lease: one that belongs to no current attempt.
func (e *Engine) stopOrphan(w *workerState, id leaser.ID) {
	e.output.Commands = append(e.output.Commands, Command{
		Worker: w.info.ID, Kind: CommandStop, ID: id, Epoch: e.epoch,
	})
}

// handleMissingPiece handles a piece whose lease is missing from a full report. A
// lease that was requested within the command timeout may still be on its way.
func (e *Engine) handleMissingPiece(job *Job, w *workerState, now time.Time) {
	for i := range job.Pieces {
		piece := &job.Pieces[i]
		if piece.Worker != w.info.ID || !piece.holdsAccelerators() {
			continue
		}
		if piece.State == PieceRequested && now.Sub(piece.requestedAt) < e.options.commandTimeout {
			continue
		}
		if job.Crashes >= maxCrashes {
			e.giveUpAfterCrashes(job, piece, now)
			return
		}
		e.handleLostPiece(job, piece, "worker "+string(w.info.ID)+" lost its part", now)
		return
	}
}

func (e *Engine) applyPiece(job *Job, piece *Piece, lease *leaser.Lease, now time.Time) {
	if !piece.holdsAccelerators() {
		return
	}
	piece.Progress = max(piece.Progress, lease.Progress)
	piece.reported = true
	if job.recovering && allReported(job) {
		job.recovering = false
		if job.State == StateRunning {
			e.unsettled.remove(job.Spec.ID)
		}
	}
	if lease.State.HoldsAccelerators() {
		piece.leaseExpiry = now.Add(e.options.leaseTTL + e.options.leaseMargin)
	}
	switch lease.State {
	case leaser.StateLeased:
		e.pieceLeased(job, piece, now)
	case leaser.StateRunning:
		e.pieceRunning(job, piece, now)
	case leaser.StateFinished:
		e.pieceFinished(job, piece, now)
	case leaser.StateFailed:
		e.pieceFailed(job, piece, lease.Reason, now)
	case leaser.StateStopped:
		e.handleLostPiece(job, piece, "stopped on worker "+string(piece.Worker), now)
	}
}

func (e *Engine) pieceLeased(job *Job, piece *Piece, now time.Time) {
	if piece.State == PieceRequested {
		piece.State = PieceLeased
	}
	if job.State != StateLeasing {
		return
	}
	for i := range job.Pieces {
		if job.Pieces[i].State != PieceLeased {
			return
		}
	}
	e.startGang(job, now)
}

// allReported reports whether this owner has received a report of every piece
// that holds accelerators.
func allReported(job *Job) bool {
	for i := range job.Pieces {
		if job.Pieces[i].holdsAccelerators() && !job.Pieces[i].reported {
			return false
		}
	}
	return true
}

// startGang tells every worker of a fully leased gang to start.
func (e *Engine) startGang(job *Job, now time.Time) {
	job.recovering, job.startRepeated = false, false
	e.setState(job, StateStarting, now)
	for i := range job.Pieces {
		e.addStart(job, &job.Pieces[i])
	}
}

func (e *Engine) addStart(job *Job, piece *Piece) {
	e.addCommand(job, piece, Command{
		Kind: CommandStart, ResumeFrom: job.Progress, Payload: job.Spec.Payload, TTL: e.options.leaseTTL,
	})
}

func (e *Engine) pieceRunning(job *Job, piece *Piece, now time.Time) {
	piece.State = PieceRunning
	if job.State != StateStarting && job.State != StateLeasing {
		return
	}
	for i := range job.Pieces {
		state := job.Pieces[i].State
		if state != PieceRunning && state != PieceFinished {
			return
		}
	}
	job.Started = now
	e.setState(job, StateRunning, now)
}

func (e *Engine) pieceFinished(job *Job, piece *Piece, now time.Time) {
	e.releasePiece(job, piece, PieceFinished)
	e.markDirty(job)
	endsUnfinished := job.State == StateStopping && job.NextState != StateQueued
	switch {
	case allFinished(job) && !endsUnfinished:
		if job.Started.IsZero() {
			job.Started = job.stateSince
		}
		e.recordSuccess(job, now)
		e.finish(job, StateFinished, now)
	case job.State == StateStopping:
		e.completeStop(job, now)
	}
}

func allFinished(job *Job) bool {
	for i := range job.Pieces {
		if job.Pieces[i].State != PieceFinished {
			return false
		}
	}
	return true
}

func (e *Engine) pieceFailed(job *Job, piece *Piece, reason string, now time.Time) {
	e.releasePiece(job, piece, PieceReleased)
	if job.State == StateStopping {
		e.completeStop(job, now)
		return
	}
	job.Reason = fmt.Sprintf("failed on worker %s: %s", piece.Worker, reason)
	next := StateQueued
	if e.recordFailure(job, piece.Worker, now) {
		next = StateFailed
		job.Reason = fmt.Sprintf("failed on %d workers, last on %s: %s", len(job.FailedOn), piece.Worker, reason)
	}
	e.stop(job, next, job.Spec.Checkpointable, e.options.urgentGrace, now)
}

// handleLostPiece handles a piece whose task ended through no fault of the job:
// the rest of the gang stops and the job is requeued.
func (e *Engine) handleLostPiece(job *Job, piece *Piece, reason string, now time.Time) {
	e.releasePiece(job, piece, PieceReleased)
	if job.State == StateStopping {
		e.completeStop(job, now)
		return
	}
	job.recovering = false
	job.Reason = reason
	e.stop(job, StateQueued, job.Spec.Checkpointable, e.options.urgentGrace, now)
}

// giveUpAfterCrashes handles a piece that was lost in the last crash after which a job
// is retried.
func (e *Engine) giveUpAfterCrashes(job *Job, piece *Piece, now time.Time) {
	e.releasePiece(job, piece, PieceReleased)
	if job.State == StateStopping {
		e.completeStop(job, now)
		return
	}
	job.recovering = false
	job.Reason = fmt.Sprintf("crashed %d workers right after its start, last %s", job.Crashes, piece.Worker)
	e.stop(job, StateFailed, false, e.options.urgentGrace, now)
}

func (e *Engine) applyUsage(report Report, now time.Time) {
	for _, usage := range report.Usage {
		job, known := e.active.get(usage.ID.Job)
		if !known || job.Attempt != usage.ID.Attempt || job.State == StateStopping || !exceedsDeclaredMemory(&job.Spec, usage) {
			continue
		}
		job.Reason = fmt.Sprintf("used %d bytes of memory, declared %d", usage.MemoryBytes, job.Spec.MemoryBytes)
		e.stop(job, StateFailed, false, 0, now)
	}
}

// checkActive checks the timeouts of the active jobs and prunes ended ones.
func (e *Engine) checkActive(now time.Time) {
	for _, job := range e.unsettled.all() {
		e.expireLeases(job, now)
		switch job.State {
		case StateLeasing, StateStarting:
			e.checkStart(job, now)
		case StateStopping:
			e.checkStop(job, now)
		}
	}
	e.checkUnresponsiveWorkers(now)
	e.checkStragglers(now)
	e.pruneEnded(now)
}

// checkUnresponsiveWorkers checks the leases on workers that have not reported
// within the report timeout; the leases on all others were renewed by a report.
func (e *Engine) checkUnresponsiveWorkers(now time.Time) {
	for _, order := range e.workerOrder {
		for _, w := range order {
			if now.Sub(w.lastReport) < e.options.reportTimeout || w.jobs.len() == 0 {
				continue
			}
			for _, job := range w.jobs.all() {
				e.expireLeases(job, now)
			}
		}
	}
}

// stragglersPerTick limits the running jobs that one tick checks for
// stragglers.
const stragglersPerTick = 256

// checkStragglers checks some of the running jobs, continuing where the last
// call ended.
func (e *Engine) checkStragglers(now time.Time) {
	for range min(stragglersPerTick, e.active.len()) {
		e.stragglerCursor = (e.stragglerCursor + 1) % e.active.len()
		e.checkStraggler(e.active.list[e.stragglerCursor], now)
	}
}

// expireLeases handles a piece as lost if its worker has not reported for so long
// that the lease has expired on the worker's clock as well.
func (e *Engine) expireLeases(job *Job, now time.Time) {
	// Handling the loss of the last piece clears job.Pieces.
	for i := 0; i < len(job.Pieces); i++ {
		piece := &job.Pieces[i]
		if piece.holdsAccelerators() && !now.Before(piece.leaseExpiry) {
			e.handleLostPiece(job, piece, "worker "+string(piece.Worker)+" is silent", now)
		}
	}
}

// checkStart repeats the start commands after the command timeout, or requeues
// the job if its leases were not all granted in time. A gang of which a part runs is
// requeued if the repeated commands do not start the rest.
func (e *Engine) checkStart(job *Job, now time.Time) {
	if now.Sub(job.stateSince) < e.options.commandTimeout || job.recovering {
		return
	}
	if job.State == StateStarting {
		if job.startRepeated && partRuns(job) {
			e.requeueRunning(job, "a worker did not start its part in time", job.Spec.Checkpointable, e.options.urgentGrace, now)
			return
		}
		job.startRepeated = true
		for i := range job.Pieces {
			if job.Pieces[i].State == PieceLeased {
				e.addStart(job, &job.Pieces[i])
			}
		}
		job.stateSince = now
		return
	}
	job.Reason = "a worker did not grant its lease in time"
	e.stop(job, StateQueued, false, 0, now)
}

// partRuns reports whether at least one piece of a gang runs.
func partRuns(job *Job) bool {
	for i := range job.Pieces {
		if job.Pieces[i].State == PieceRunning {
			return true
		}
	}
	return false
}

// checkStop repeats the stop commands, without a checkpoint, after the grace
// period.
func (e *Engine) checkStop(job *Job, now time.Time) {
	if now.Sub(job.stateSince) < e.options.grace+stopRetryInterval {
		return
	}
	job.stateSince = now
	for i := range job.Pieces {
		if job.Pieces[i].holdsAccelerators() {
			e.addCommand(job, &job.Pieces[i], Command{Kind: CommandStop})
		}
	}
}

func (e *Engine) checkStraggler(job *Job, now time.Time) {
	if job.Straggler || job.State != StateRunning {
		return
	}
	mean, known := e.runTimes.means[runTimeKeyOf(&job.Spec)]
	if known && now.Sub(job.Started) > stragglerFactor*mean {
		job.Straggler = true
		e.markDirty(job)
	}
}

const pruneInterval = time.Minute

func (e *Engine) pruneEnded(now time.Time) {
	if now.Sub(e.lastPrune) < pruneInterval {
		return
	}
	e.lastPrune = now
	for id, job := range e.jobs {
		if job.State.Ended() && now.Sub(job.Ended) >= e.options.endedJobRetention {
			delete(e.jobs, id)
		}
	}
}
