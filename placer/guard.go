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
	if spec.Declared > 0 {
		return spec.Declared
	}
	return firstEstimate
}

// blame notes that a job failed on a worker. The worker is set aside when
// several different jobs failed there with no success between. A job that
// fails on several workers is itself at fault: it is given up, and no worker
// stays blamed for it.
func (e *Engine) blame(job *Job, worker identifier.WorkerID, now time.Time) (giveUp bool) {
	if !contains(job.FailedOn, worker) {
		job.FailedOn = append(job.FailedOn, worker)
	}
	w, known := e.workers[worker]
	if !known || !now.Before(w.quarantined) {
		job.Failures++
	}
	if e.failedOnGoodWorkers(job, now) >= workersToGiveUp || job.Failures >= failuresToGiveUp {
		e.pardon(job, now)
		return true
	}
	if !known {
		return false
	}
	if w.failures == nil {
		w.failures = map[identifier.JobID]bool{}
	}
	w.failures[job.Spec.ID] = true
	if len(w.failures) >= failuresToQuarantine && !now.Before(w.quarantined) {
		w.quarantined = now.Add(quarantineTime)
	}
	return false
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

// pardon takes a bad job's failures off the workers it ran on.
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

// succeeded notes a success on all of a job's workers.
func (e *Engine) succeeded(job *Job, now time.Time) {
	for i := range job.Pieces {
		if w, known := e.workers[job.Pieces[i].Worker]; known {
			clear(w.failures)
		}
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
