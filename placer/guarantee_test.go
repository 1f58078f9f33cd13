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

// Guards against a guarantee that a plan can't use because its own borrowers, or those of
// the job's team, hold all that it may use.
func TestGuaranteeIsReclaimedFromOwnBorrowers(t *testing.T) {
	tests := []struct {
		name         string
		limit, quota int
		// others is the number of other jobs, each as wide as the shape of no guarantee.
		others, width int
		// preempted is how many of the others have to make room.
		preempted int
	}{
		{"limit of the plan", 24, 0, 1, 20, 1},
		{"limit of the plan, two borrowers", 40, 0, 2, 17, 1},
		{"quota of the team", 1000, 20, 1, 17, 1},
		{"no limit reached", 1000, 0, 1, 20, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newFaultlessSimulation(t)
			wide := wideShape
			wide.Parts = test.width
			s.view.Lists.Allowances[0].Limit = test.limit
			s.view.Lists.Plans[0].Teams[0].Quota = test.quota
			s.engine.SetLists(s.view)
			ids := []identifier.JobID{"wide", "other"}[:test.others]
			for _, id := range ids {
				s.mustSubmit(newSimJob(string(id), "isuku", wide, time.Hour))
				s.runUntil(id, StateRunning, 10*time.Second)
			}
			claim := newSimJob("claim", "isuku", wholeShape, time.Hour)
			claim.spec.Urgent = true
			s.mustSubmit(claim)
			if took := s.runUntil("claim", StateRunning, time.Minute); took > 1500*time.Millisecond {
				t.Errorf("the job started after %s", took)
			}
			s.runFor(20 * time.Second)
			preempted := 0
			for _, id := range ids {
				preempted += s.job(id).Reclaims
			}
			if preempted != test.preempted || !s.job("claim").Guaranteed {
				t.Errorf("borrowers of the plan were preempted %d times, want %d", preempted, test.preempted)
			}
		})
	}
}
