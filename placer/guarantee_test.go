package placer

import (
	"testing"
	"time"

	"cranberrystack.dev/cranberrystack/configurer"
	"cranberrystack.dev/cranberrystack/identifier"
)

// changeGuarantees gives the allowance of a plan other guarantees.
func (s *simulation) changeGuarantees(plan identifier.PlanID, guarantees ...configurer.Guarantee) {
	s.view.Index++
	s.view.Lists.Version++
	s.view.Lists.Allowances = append([]configurer.Allowance(nil), s.view.Lists.Allowances...)
	for i := range s.view.Lists.Allowances {
		if s.view.Lists.Allowances[i].Plan == plan {
			s.view.Lists.Allowances[i].Guarantees = guarantees
		}
	}
	s.engine.SetLists(s.view)
}

// Guards against jobs that keep others from a guarantee after their own was withdrawn, also
// at a new owner, and against a job that stays within a guarantee being preempted.
func TestWithdrawnGuaranteeIsNotKept(t *testing.T) {
	for _, newOwner := range []bool{false, true} {
		s := newFaultlessSimulation(t)
		whole := configurer.Guarantee{Shape: wholeShape, Count: 6, Shares: []configurer.Share{{DataCenter: "dc1", Count: 6}}}
		s.changeGuarantees("isuku-plan", whole)
		s.changeGuarantees("nieve-plan")
		ids := []identifier.JobID{"first", "second", "third", "fourth", "fifth", "sixth"}
		for _, id := range ids {
			s.mustSubmit(newSimJob(string(id), "isuku", wholeShape, time.Hour))
			s.runUntil(id, StateRunning, 10*time.Second)
		}
		whole.Count, whole.Shares = 2, []configurer.Share{{DataCenter: "dc1", Count: 2}}
		s.changeGuarantees("isuku-plan", whole)
		s.changeGuarantees("nieve-plan", whole)
		if newOwner {
			s.replaceOwner()
			s.runFor(3 * time.Second)
		}
		for _, id := range []identifier.JobID{"claim", "other"} {
			s.mustSubmit(newSimJob(string(id), "nieve", wholeShape, time.Hour))
			if took := s.runUntil(id, StateRunning, time.Minute); took > simGrace+1500*time.Millisecond {
				t.Errorf("%s started after %s", id, took)
			}
		}
		for _, id := range ids[:2] {
			if job := s.job(id); job.Reclaims > 0 || !job.Guaranteed {
				t.Errorf("%s, which its plan still guarantees, was preempted %d times, guaranteed: %t", id, job.Reclaims, job.Guaranteed)
			}
		}
	}
}
