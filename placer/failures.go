package placer

import (
	"time"

	"cranberrystack.dev/cranberrystack/identifier"
)

type jobID = identifier.JobID

type workerID = identifier.WorkerID

type runTimeKey struct {
	plan identifier.PlanID
	team identifier.TeamID
	kind string
}

// runTimes holds mean run times by plan, team and kind of job.
type runTimes struct {
	means map[runTimeKey]time.Duration
}

const (
	// runTimeWeight is the weight of a new run time in the moving mean.
	runTimeWeight = 0.2
	// defaultRunTime is assumed for a job that declares no run time.
	defaultRunTime = time.Hour
)

func newRunTimes() runTimes {
	return runTimes{means: map[runTimeKey]time.Duration{}}
}

func runTimeKeyOf(spec *Spec) runTimeKey {
	return runTimeKey{spec.Plan, spec.Team, spec.Kind}
}

func (r runTimes) observe(spec *Spec, runTime time.Duration) {
	mean, known := r.means[runTimeKeyOf(spec)]
	if !known {
		r.means[runTimeKeyOf(spec)] = runTime
		return
	}
	r.means[runTimeKeyOf(spec)] = mean + time.Duration(runTimeWeight*float64(runTime-mean))
}

// expected returns the mean run time of the job's kind; if there is none yet
// the declared one, else defaultRunTime.
func (r runTimes) expected(spec *Spec) time.Duration {
	if mean, known := r.means[runTimeKeyOf(spec)]; known {
		return mean
	}
	if spec.DeclaredRunTime > 0 {
		return spec.DeclaredRunTime
	}
	return defaultRunTime
}

// recordFailure records that a job failed on a worker. The failure is
// attributed to the worker only if the job has failed on no other: a job that
// also fails elsewhere is itself at fault, and its failures are no longer
// attributed to any worker. If it succeeds later, they are attributed to all
// those workers again. A worker is quarantined when the failures of several
// different jobs are attributed to it. recordFailure returns true if the job
// has failed on too many workers, or too often, to be retried.
func (e *Engine) recordFailure(job *Job, worker identifier.WorkerID, now time.Time) (giveUp bool) {
	if !containsWorker(job.FailedOn, worker) {
		job.FailedOn = append(job.FailedOn, worker)
	}
	w, known := e.workers[worker]
	if !known || !now.Before(w.quarantinedUntil) {
		job.Failures++
	}
	if len(job.FailedOn) > 1 {
		e.clearAttributedFailures(job, now)
	} else {
		e.attributeFailure(worker, job, now)
	}
	return e.failuresOnHealthyWorkers(job, now) >= maxFailedWorkers || job.Failures >= maxFailures
}

// recordCrash counts a crash of a worker, which was last known to be alive at a time,
// for the jobs that had just been started there. A job that had run for longer is no
// longer suspected, since it does not crash the workers that start it.
func (e *Engine) recordCrash(w *workerState, lastAlive time.Time) {
	for _, job := range w.jobs.all() {
		var started time.Time
		switch job.State {
		case StateStarting:
			started = job.stateSince
		case StateRunning:
			started = job.Started
		default:
			continue
		}
		if lastAlive.Sub(started) < crashSuspectTime {
			job.Crashes++
		} else {
			job.Crashes = 0
		}
		e.markDirty(job)
	}
}

// attributeFailure attributes a job's failure to a worker.
func (e *Engine) attributeFailure(worker identifier.WorkerID, job *Job, now time.Time) {
	w, known := e.workers[worker]
	if !known {
		return
	}
	if w.failedJobs == nil {
		w.failedJobs = map[identifier.JobID]bool{}
	}
	w.failedJobs[job.Spec.ID] = true
	if len(w.failedJobs) >= quarantineThreshold && !now.Before(w.quarantinedUntil) {
		w.quarantinedUntil = now.Add(quarantineDuration)
	}
}

// failuresOnHealthyWorkers counts the workers that a job failed on and that are
// not quarantined.
func (e *Engine) failuresOnHealthyWorkers(job *Job, now time.Time) int {
	count := 0
	for _, id := range job.FailedOn {
		w, known := e.workers[id]
		if known && now.Before(w.quarantinedUntil) {
			continue
		}
		count++
	}
	return count
}

// clearAttributedFailures removes a job's failures from the workers that it
// failed on. A quarantine ends if too few failures remain for it.
func (e *Engine) clearAttributedFailures(job *Job, now time.Time) {
	for _, id := range job.FailedOn {
		w, known := e.workers[id]
		if !known {
			continue
		}
		delete(w.failedJobs, job.Spec.ID)
		if len(w.failedJobs) < quarantineThreshold && now.Before(w.quarantinedUntil) {
			w.quarantinedUntil = time.Time{}
			e.scheduleNeeded = true
		}
	}
}

func containsWorker(workers []identifier.WorkerID, worker identifier.WorkerID) bool {
	for _, id := range workers {
		if id == worker {
			return true
		}
	}
	return false
}

// recordSuccess clears the failures attributed to the job's workers, attributes
// the job's failures to the workers that it failed on before, and records its run
// time. It ends no quarantine.
func (e *Engine) recordSuccess(job *Job, now time.Time) {
	for i := range job.Pieces {
		if w, known := e.workers[job.Pieces[i].Worker]; known {
			clear(w.failedJobs)
		}
	}
	for _, id := range job.FailedOn {
		e.attributeFailure(id, job, now)
	}
	e.runTimes.observe(&job.Spec, job.Progress+now.Sub(job.Started))
}

// exceedsDeclaredMemory reports whether a task uses more memory than its job
// declared, beyond the tolerance.
func exceedsDeclaredMemory(spec *Spec, usage Usage) bool {
	if spec.MemoryBytes == 0 {
		return false
	}
	limit := float64(spec.MemoryBytes) * (1 + usageTolerance)
	return float64(usage.MemoryBytes) > limit
}
