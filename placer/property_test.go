package placer

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"cranberrystack.dev/cranberrystack/identifier"
	"cranberrystack.dev/cranberrystack/packer"
)

// TestInvariantsUnderRandomEvents runs 2000 seeded sequences of submissions,
// cancels, lost messages, worker crashes, owner changes, partitions and
// failures. checkInvariants runs after each step. Once the faults end, every
// job has to end.
func TestInvariantsUnderRandomEvents(t *testing.T) {
	const seeds = 2000
	for shard := range uint64(8) {
		t.Run(fmt.Sprint("shard ", shard), func(t *testing.T) {
			t.Parallel()
			for seed := shard; seed < seeds; seed += 8 {
				runSeed(t, seed)
			}
		})
	}
}

func runSeed(t *testing.T, seed uint64) {
	s := newSimulation(t, seed, 2, 3, 8, testView())
	s.lossy = seed%4 != 0
	s.runFor(2 * time.Second)
	for range 150 {
		s.injectEvent()
		s.step()
	}
	s.lossy = false
	for _, m := range s.machines {
		m.partitioned, m.dead, m.failing = false, false, false
	}
	// The leases of lost workers expire, quarantines end and all waiting jobs run
	// within this time.
	for range 120 {
		s.runFor(30 * time.Second)
		if s.allEnded() {
			return
		}
	}
	for _, id := range s.order {
		if job := s.job(id); !job.State.Ended() {
			t.Errorf("seed %d: %s is %s: %s", seed, id, job.State, job.Reason)
		}
	}
	t.Fatalf("seed %d: not every job has ended", seed)
}

var shapes = []packer.Shape{
	{Adjacent: packer.AdjacentWorker, Parts: 1, PerPart: 1},
	{Adjacent: packer.AdjacentWorker, Parts: 2, PerPart: 2},
	{Adjacent: packer.AdjacentWorker, Parts: 1, PerPart: 8},
	{Adjacent: packer.AdjacentNeighbours, Parts: 2, PerPart: 8},
	{Adjacent: packer.AdjacentRack, Parts: 6, PerPart: 2},
	{Adjacent: packer.AdjacentDataCenter, Parts: 12, PerPart: 1},
}

// injectEvent causes one random event.
func (s *simulation) injectEvent() {
	m := s.machines[s.random.IntN(len(s.machines))]
	switch event := s.random.IntN(60); {
	case event < 14:
		member := []identifier.MemberID{"isuku", "nieve", "zebra"}[s.random.IntN(3)]
		job := newSimJob(fmt.Sprint("j", len(s.order)), member, shapes[s.random.IntN(len(shapes))], time.Duration(500+s.random.IntN(8000))*time.Millisecond)
		job.spec.Checkpointable = s.random.IntN(3) > 0
		job.spec.Urgent = s.random.IntN(5) == 0
		job.broken = s.random.IntN(12) == 0
		if err := s.submit(job); err != nil && !errors.Is(err, ErrImpossible) {
			s.t.Fatalf("submit: %v", err)
		}
	case event < 18 && len(s.order) > 0:
		id := s.order[s.random.IntN(len(s.order))]
		if err := s.engine.Cancel(s.jobs[id].spec.Member, id, s.now); err != nil {
			s.t.Fatalf("cancel: %v", err)
		}
		s.flush()
	case event == 20:
		s.crash(m)
	case event == 21:
		m.partitioned = true
	case event < 24:
		m.partitioned = false
	case event == 24:
		s.replaceOwner()
	case event == 25:
		m.failing = !m.failing
	}
}

// TestUnusedGuaranteesStayPlaceable checks, with submissions only and no
// faults, that after every step each unused guarantee has a separate placement
// once borrowers are preempted.
func TestUnusedGuaranteesStayPlaceable(t *testing.T) {
	for seed := range uint64(150) {
		s := newSimulation(t, seed, 2, 3, 8, testView())
		s.runFor(2 * time.Second)
		for range 200 {
			if s.random.IntN(3) == 0 {
				member := []identifier.MemberID{"isuku", "nieve", "zebra"}[s.random.IntN(3)]
				job := newSimJob(fmt.Sprint("j", len(s.order)), member, shapes[s.random.IntN(len(shapes))], time.Duration(1+s.random.IntN(20))*time.Second)
				if err := s.submit(job); err != nil {
					t.Fatalf("submit: %v", err)
				}
			}
			s.step()
			if !s.engine.GuaranteesSatisfiable("gpu") {
				t.Fatalf("seed %d: at %s an unused guarantee has no placement", seed, s.now.Sub(time.Unix(5000, 0)))
			}
		}
	}
}
