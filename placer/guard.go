package placer

import (
	"time"

	"cranberrystack.dev/cranberrystack/identifier"
)

type jobID = identifier.JobID

type workerID = identifier.WorkerID

type learntKey struct {
	plan identifier.PlanID
	team identifier.TeamID
	kind string
}

// learnt estimates run times by team and kind of job.
type learnt struct {
	means map[learntKey]time.Duration
}

const (
	// learnWeight is the part that a new run time takes in the mean.
	learnWeight = 0.2
	// firstEstimate stands in for a job that declares no run time.
	firstEstimate = time.Hour
)

func newLearnt() learnt {
	return learnt{means: map[learntKey]time.Duration{}}
}

func keyOf(spec *Spec) learntKey {
	return learntKey{spec.Plan, spec.Team, spec.Kind}
}

func (l learnt) observe(spec *Spec, took time.Duration) {
	mean, known := l.means[keyOf(spec)]
	if !known {
		l.means[keyOf(spec)] = took
		return
	}
	l.means[keyOf(spec)] = mean + time.Duration(learnWeight*float64(took-mean))
}

// expected returns the learnt run time, else the declared one.
func (l learnt) expected(spec *Spec) time.Duration {
	if mean, known := l.means[keyOf(spec)]; known {
		return mean
	}
	if spec.DeclaredRunTime > 0 {
		return spec.DeclaredRunTime
	}
	return firstEstimate
}

// blame notes that a job failed on a worker. Only a job's first worker is
// suspected for it: a job that goes on to fail elsewhere is itself at fault.
// Failures are held against all its workers again once it succeeds on another.
// A worker is set aside when several different jobs count against it. A job
// that has failed on several workers is given up.
func (e *Engine) blame(job *Job, worker identifier.WorkerID, now time.Time) (giveUp bool) {
	if !contains(job.FailedOn, worker) {
		job.FailedOn = append(job.FailedOn, worker)
	}
	w, known := e.workers[worker]
	if !known || !now.Before(w.quarantined) {
		job.Failures++
	}
	if len(job.FailedOn) > 1 {
		e.pardon(job, now)
	} else {
		e.suspect(worker, job, now)
	}
	return e.failedOnGoodWorkers(job, now) >= workersToGiveUp || job.Failures >= failuresToGiveUp
}

// suspect counts a job against a worker.
func (e *Engine) suspect(worker identifier.WorkerID, job *Job, now time.Time) {
	w, known := e.workers[worker]
	if !known {
		return
	}
	if w.failures == nil {
		w.failures = map[identifier.JobID]bool{}
	}
	w.failures[job.Spec.ID] = true
	if len(w.failures) >= failuresToQuarantine && !now.Before(w.quarantined) {
		w.quarantined = now.Add(quarantineTime)
	}
}

// failedOnGoodWorkers counts the workers that a job failed on and that are not
// set aside.
func (e *Engine) failedOnGoodWorkers(job *Job, now time.Time) int {
	count := 0
	for _, id := range job.FailedOn {
		w, known := e.workers[id]
		if known && now.Before(w.quarantined) {
			continue
		}
		count++
	}
	return count
}

// pardon takes a job's failures off the workers that it ran on.
func (e *Engine) pardon(job *Job, now time.Time) {
	for _, id := range job.FailedOn {
		w, known := e.workers[id]
		if !known {
			continue
		}
		delete(w.failures, job.Spec.ID)
		if len(w.failures) < failuresToQuarantine && now.Before(w.quarantined) {
			w.quarantined = time.Time{}
			e.touched = true
		}
	}
}

func contains(workers []identifier.WorkerID, worker identifier.WorkerID) bool {
	for _, id := range workers {
		if id == worker {
			return true
		}
	}
	return false
}

// succeeded clears a job's workers of suspicion, and holds its failures against
// the workers that it failed on before.
func (e *Engine) succeeded(job *Job, now time.Time) {
	for i := range job.Pieces {
		if w, known := e.workers[job.Pieces[i].Worker]; known {
			clear(w.failures)
		}
	}
	for _, id := range job.FailedOn {
		e.suspect(id, job, now)
	}
	e.learnt.observe(&job.Spec, job.Progress+now.Sub(job.Started))
}

// overSize reports whether a task uses more than its job declared.
func overSize(spec *Spec, usage Usage) bool {
	if spec.MemoryBytes == 0 {
		return false
	}
	limit := float64(spec.MemoryBytes) * (1 + usageTolerance)
	return float64(usage.MemoryBytes) > limit
}
