package placer

import (
	"time"

	"cranberrystack.dev/cranberrystack/configurer"
)

// localLimit returns this data centre's share of a plan's limit: what is
// guaranteed here and an equal share of the rest. Data centres that are
// partitioned from each other thus never exceed the limit together.
func (e *Engine) localLimit(allowance configurer.Allowance) int {
	local, global := 0, 0
	for _, guarantee := range allowance.Guarantees {
		total := guarantee.Shape.Total()
		global += guarantee.Count * total
		local += total * localShare(guarantee, e.dataCenter)
	}
	unguaranteed := max(allowance.Limit-global, 0)
	return local + unguaranteed/e.dataCenters
}

// overLimits returns by how many accelerators a job that starts now would exceed its
// plan's limit and its team's quota. The last result is false if the lists do not let the
// plan use the accelerator.
func (e *Engine) overLimits(spec *Spec) (plan, team int, known bool) {
	owner, known := e.lists.plan(spec.Plan)
	if !known {
		return 0, 0, false
	}
	allowance, known := e.lists.allowance(spec.Plan, spec.Accelerator)
	if !known {
		return 0, 0, false
	}
	total := spec.Shape.Total()
	plan = max(0, e.usage.plans[planKey{spec.Plan, spec.Accelerator}]+total-e.localLimit(allowance))
	if found, _ := findTeam(owner, spec.Team); found.Quota > 0 {
		team = max(0, e.usage.teams[teamKey{spec.Plan, spec.Team, spec.Accelerator}]+total-found.Quota)
	}
	return plan, team, true
}

// withinLimits reports whether a job may start now under its plan's limit and
// its team's quota.
func (e *Engine) withinLimits(job *Job) bool {
	plan, team, known := e.overLimits(&job.Spec)
	return known && plan == 0 && team == 0
}

// reclaimLimit preempts borrowers of a job's own plan, so that the job can start within
// its guarantee, the plan's limit and the team's quota. It returns false if that is not
// possible, or if the guaranteed shape has no placement. Borrowers that are already
// stopping count as preempted.
func (e *Engine) reclaimLimit(job *Job, key GuaranteeKey, now time.Time) bool {
	plan, team, known := e.overLimits(&job.Spec)
	if !known || now.Sub(job.lastSearch) < searchInterval {
		return false
	}
	if _, found := e.cheapestReclaim(job, key, now); !found {
		job.lastSearch = now
		return false
	}
	helps := func(borrower *Job) bool {
		return borrower.Spec.Plan == job.Spec.Plan && (plan > 0 || team > 0 && borrower.Spec.Team == job.Spec.Team)
	}
	var victims []*Job
	for _, v := range e.borrowersByCost(job.Spec.Accelerator, now) {
		if !helps(v.job) {
			continue
		}
		total := v.job.Spec.Shape.Total()
		plan -= total
		if v.job.Spec.Team == job.Spec.Team {
			team -= total
		}
		if v.job.State != StateStopping {
			victims = append(victims, v.job)
		}
	}
	if plan > 0 || team > 0 {
		return false
	}
	for _, victim := range victims {
		e.preempt(victim, job, now)
	}
	return true
}
