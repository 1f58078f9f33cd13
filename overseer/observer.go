package overseer

import (
	"cranberrystack.dev/cranberrystack/placer"
	"cranberrystack.dev/cranberrystack/recorder"
)

// Values of the class label of job histograms.
const (
	classUrgent     = "urgent"
	classGuaranteed = "guaranteed"
	classBorrowed   = "borrowed"
)

// observe logs each change of a job's state and records the job's waiting and
// completion times. It must run before the jobs are written to the store, which
// then holds the previous states.
func (o *Overseer) observe(changed []placer.Job) {
	for i := range changed {
		job := &changed[i]
		if before := o.store.jobState(job.Spec.ID); before != job.State {
			o.observeState(job)
		}
	}
}

func (o *Overseer) observeState(job *placer.Job) {
	o.dependencies.LogEvent("job-"+string(job.State), "job", job.Spec.ID, "member", job.Spec.Member,
		"plan", job.Spec.Plan, "attempt", job.Attempt, "reason", job.Reason)
	series := recorder.Series{Member: job.Spec.Member, Class: classOf(job)}
	switch job.State {
	case placer.StateRunning:
		series.Name = "job-wait"
		_ = o.dependencies.Recorder.Observe(series, job.Started.Sub(job.Submitted))
	case placer.StateFinished:
		series.Name = "job-completion"
		_ = o.dependencies.Recorder.Observe(series, job.Ended.Sub(job.Submitted))
	}
}

func classOf(job *placer.Job) string {
	switch {
	case job.Spec.Urgent:
		return classUrgent
	case job.Guaranteed:
		return classGuaranteed
	}
	return classBorrowed
}
