package placer

import (
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"cranberrystack.dev/cranberrystack/identifier"
	"cranberrystack.dev/cranberrystack/leaser"
)

// ErrFullReportRequired reports a partial report from a worker that this owner does not
// know yet.
var ErrFullReportRequired = eris.New("a whole report is wanted")

// HandleReport takes a worker's word. It returns an error for a worker that is
// announced from elsewhere, and false for a report older than the last. The
// caller renews the worker's leases if it returns true. Errors: ErrConflict,
// ErrFullReportRequired.
func (e *Engine) HandleReport(report Report, now time.Time) (bool, error) {
	w, known := e.workers[report.Worker.ID]
	if report.Partial && (!known || report.Worker.Incarnation != w.info.Incarnation) {
		return false, ErrFullReportRequired
	}
	if known {
		current, err := e.accept(w, report, now)
		if err != nil || !current {
			return false, err
		}
	} else {
		w = &workerState{jobs: newJobSet()}
		e.workers[report.Worker.ID] = w
	}
	e.updateWorker(w, report, now)
	if !known {
		e.attach(w)
	}
	e.takeLeases(w, report, now)
	e.takeUsage(report, now)
	return true, nil
}

// HandleCommandResponse takes a worker's word that came back on a command. The worker's place
// and holder stay as it announced them.
func (e *Engine) HandleCommandResponse(worker identifier.WorkerID, report Report, now time.Time) {
	w, known := e.workers[worker]
	if !known || report.Worker.Incarnation != w.info.Incarnation {
		return
	}
	report.Worker = w.info
	_, _ = e.HandleReport(report, now)
}

func (e *Engine) accept(w *workerState, report Report, now time.Time) (bool, error) {
	if w.info.Subject != report.Worker.Subject {
		return false, fmt.Errorf("worker %s is announced by another holder: %w", report.Worker.ID, ErrConflict)
	}
	moved := w.info.Address != report.Worker.Address && now.Sub(w.heard) < e.options.silence
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
	silent := now.Sub(w.heard) >= e.options.silence
	w.info = report.Worker
	w.heard = now
	w.sequence = report.Sequence
	placeChanged := before.ID == "" || before.Rack != w.info.Rack || before.Position != w.info.Position ||
		before.Accelerator != w.info.Accelerator || before.Accelerators != w.info.Accelerators
	if placeChanged {
		clear(e.holds)
		e.rebuildOrder(w.info.Accelerator)
		if before.Accelerator != w.info.Accelerator {
			e.rebuildOrder(before.Accelerator)
		}
	}
	if placeChanged || silent || before.Leaving != w.info.Leaving {
		e.touched = true
	}
}

// attach books the pieces that earlier owners placed on a worker.
func (e *Engine) attach(w *workerState) {
	for _, job := range e.running.all() {
		for i := range job.Pieces {
			if job.Pieces[i].Worker == w.info.ID && job.Pieces[i].holds() {
				e.occupy(job, &job.Pieces[i])
			}
		}
		for _, site := range job.GuaranteedPlacement {
			if site.Worker == w.info.ID {
				w.guaranteed += site.Accelerators
			}
		}
	}
}

func (e *Engine) takeLeases(w *workerState, report Report, now time.Time) {
	seen := map[leaser.ID]bool{}
	for i := range report.Leases {
		lease := &report.Leases[i]
		seen[lease.ID] = true
		e.takeLease(w, lease, now)
	}
	if report.Partial {
		e.renewUnchanged(w, now)
		return
	}
	for _, job := range w.jobs.all() {
		if !seen[leaser.ID{Job: job.Spec.ID, Attempt: job.Attempt}] {
			e.missing(job, w, now)
		}
	}
}

// renewUnchanged renews the pieces that a partial report leaves out. The
// worker has them, since an earlier report of it named them.
func (e *Engine) renewUnchanged(w *workerState, now time.Time) {
	for _, job := range w.jobs.list {
		for i := range job.Pieces {
			piece := &job.Pieces[i]
			if piece.Worker == w.info.ID && piece.heard {
				piece.held = now.Add(e.options.lease + e.options.leaseMargin)
			}
		}
	}
}

// takeLease takes one lease of a report.
func (e *Engine) takeLease(w *workerState, lease *leaser.Lease, now time.Time) {
	job, known := e.running.get(lease.ID.Job)
	if !known || job.Attempt != lease.ID.Attempt {
		if lease.State.HoldsAccelerators() {
			e.stopStray(w, lease.ID)
		}
		return
	}
	for i := range job.Pieces {
		if job.Pieces[i].Worker == w.info.ID {
			e.takePiece(job, &job.Pieces[i], lease, now)
			return
		}
	}
}

// stopStray ends a lease that belongs to no attempt of this owner's books.
func (e *Engine) stopStray(w *workerState, id leaser.ID) {
	e.out.Commands = append(e.out.Commands, Command{
		Worker: w.info.ID, Kind: CommandStop, ID: id, Epoch: e.epoch,
	})
}

// missing deals with a piece that its worker does not know. A lease that was
// just asked for may still be on its way.
func (e *Engine) missing(job *Job, w *workerState, now time.Time) {
	for i := range job.Pieces {
		piece := &job.Pieces[i]
		if piece.Worker != w.info.ID || !piece.holds() {
			continue
		}
		if piece.State == PieceRequested && now.Sub(piece.asked) < e.options.commandTimeout {
			continue
		}
		e.lose(job, piece, "worker "+string(w.info.ID)+" lost its part", now)
		return
	}
}

func (e *Engine) takePiece(job *Job, piece *Piece, lease *leaser.Lease, now time.Time) {
	if !piece.holds() {
		return
	}
	piece.Progress = max(piece.Progress, lease.Progress)
	piece.heard = true
	if job.adopting && allHeard(job) {
		job.adopting = false
		if job.State == StateRunning {
			e.changing.remove(job.Spec.ID)
		}
	}
	if lease.State.HoldsAccelerators() {
		piece.held = now.Add(e.options.lease + e.options.leaseMargin)
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
		e.lose(job, piece, "stopped on worker "+string(piece.Worker), now)
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
	e.startAll(job, now)
}

// allHeard reports whether this owner has a report of every piece.
func allHeard(job *Job) bool {
	for i := range job.Pieces {
		if job.Pieces[i].holds() && !job.Pieces[i].heard {
			return false
		}
	}
	return true
}

// startAll tells every worker of a fully leased gang to run.
func (e *Engine) startAll(job *Job, now time.Time) {
	job.adopting = false
	e.enter(job, StateStarting, now)
	for i := range job.Pieces {
		e.sendStart(job, &job.Pieces[i])
	}
}

func (e *Engine) sendStart(job *Job, piece *Piece) {
	e.command(job, piece, Command{
		Kind: CommandStart, ResumeFrom: job.Progress, Payload: job.Spec.Payload, TTL: e.options.lease,
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
	e.enter(job, StateRunning, now)
}

func (e *Engine) pieceFinished(job *Job, piece *Piece, now time.Time) {
	e.release(job, piece, PieceFinished)
	e.mark(job)
	cancelled := job.State == StateStopping && job.NextState != StateQueued
	switch {
	case allFinished(job) && !cancelled:
		if job.Started.IsZero() {
			job.Started = job.changed
		}
		e.succeeded(job, now)
		e.finish(job, StateFinished, now)
	case job.State == StateStopping:
		e.settleStopped(job, now)
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
	e.release(job, piece, PieceReleased)
	if job.State == StateStopping {
		e.settleStopped(job, now)
		return
	}
	job.Reason = fmt.Sprintf("failed on worker %s: %s", piece.Worker, reason)
	next := StateQueued
	if e.blame(job, piece.Worker, now) {
		next = StateFailed
		job.Reason = fmt.Sprintf("failed on %d workers, last on %s: %s", len(job.FailedOn), piece.Worker, reason)
	}
	e.stop(job, next, job.Spec.Checkpointable, e.options.urgentGrace, now)
}

// lose deals with a piece that runs no more for no fault of the job: the rest
// of the gang stops and the whole goes back.
func (e *Engine) lose(job *Job, piece *Piece, reason string, now time.Time) {
	e.release(job, piece, PieceReleased)
	if job.State == StateStopping {
		e.settleStopped(job, now)
		return
	}
	job.adopting = false
	job.Reason = reason
	e.stop(job, StateQueued, job.Spec.Checkpointable, e.options.urgentGrace, now)
}

func (e *Engine) takeUsage(report Report, now time.Time) {
	for _, usage := range report.Usage {
		job, known := e.running.get(usage.ID.Job)
		if !known || job.Attempt != usage.ID.Attempt || job.State == StateStopping || !overSize(&job.Spec, usage) {
			continue
		}
		job.Reason = fmt.Sprintf("used %d bytes of memory, declared %d", usage.MemoryBytes, job.Spec.MemoryBytes)
		e.stop(job, StateFailed, false, 0, now)
	}
}

// watchRunning looks at the jobs that time alone can change.
func (e *Engine) watchRunning(now time.Time) {
	for _, job := range e.changing.all() {
		e.watchLeases(job, now)
		switch job.State {
		case StateLeasing, StateStarting:
			e.watchStart(job, now)
		case StateStopping:
			e.watchStop(job, now)
		}
	}
	e.watchSilent(now)
	e.watchStragglers(now)
	e.forgetEnded(now)
}

// watchSilent looks at the leases on workers that have not reported lately;
// those on all others have just been renewed.
func (e *Engine) watchSilent(now time.Time) {
	for _, order := range e.order {
		for _, w := range order {
			if now.Sub(w.heard) < e.options.silence || w.jobs.len() == 0 {
				continue
			}
			for _, job := range w.jobs.all() {
				e.watchLeases(job, now)
			}
		}
	}
}

// stragglersPerTick bounds the running jobs looked at in one tick.
const stragglersPerTick = 256

// watchStragglers looks at some of the running jobs, the next ones each time.
func (e *Engine) watchStragglers(now time.Time) {
	for range min(stragglersPerTick, e.running.len()) {
		e.watched = (e.watched + 1) % e.running.len()
		e.watchStraggler(e.running.list[e.watched], now)
	}
}

// watchLeases gives up pieces whose worker has been silent for so long that
// its own clock has ended the lease.
func (e *Engine) watchLeases(job *Job, now time.Time) {
	// The loss of the last piece empties the list.
	for i := 0; i < len(job.Pieces); i++ {
		piece := &job.Pieces[i]
		if piece.holds() && !now.Before(piece.held) {
			e.lose(job, piece, "worker "+string(piece.Worker)+" is silent", now)
		}
	}
}

func (e *Engine) watchStart(job *Job, now time.Time) {
	if now.Sub(job.changed) < e.options.commandTimeout || job.adopting {
		return
	}
	if job.State == StateStarting {
		for i := range job.Pieces {
			if job.Pieces[i].State == PieceLeased {
				e.sendStart(job, &job.Pieces[i])
			}
		}
		job.changed = now
		return
	}
	job.Reason = "a worker did not grant its lease in time"
	e.stop(job, StateQueued, false, 0, now)
}

func (e *Engine) watchStop(job *Job, now time.Time) {
	if now.Sub(job.changed) < e.options.grace+stopRetry {
		return
	}
	job.changed = now
	for i := range job.Pieces {
		if job.Pieces[i].holds() {
			e.command(job, &job.Pieces[i], Command{Kind: CommandStop})
		}
	}
}

func (e *Engine) watchStraggler(job *Job, now time.Time) {
	if job.Straggler || job.State != StateRunning {
		return
	}
	mean, known := e.learnt.means[keyOf(&job.Spec)]
	if known && now.Sub(job.Started) > stragglerFactor*mean {
		job.Straggler = true
		e.mark(job)
	}
}

const forgetInterval = time.Minute

func (e *Engine) forgetEnded(now time.Time) {
	if now.Sub(e.forgot) < forgetInterval {
		return
	}
	e.forgot = now
	for id, job := range e.jobs {
		if job.State.Ended() && now.Sub(job.Ended) >= e.options.keepEnded {
			delete(e.jobs, id)
		}
	}
}
