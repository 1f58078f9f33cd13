package placer

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"cranberrystack.dev/cranberrystack/identifier"
	"cranberrystack.dev/cranberrystack/packer"
)

// TestSeededEventOrders plays thousands of seeded orders of submissions,
// cancels, lost messages, crashes of workers and owners, cuts and failures, and
// checks after each step that no accelerator is held twice, that no job runs
// as two attempts, that no part starts before the whole gang is leased, and
// that the engine's books agree. In the end nothing is lost: every job ends.
func TestSeededEventOrders(t *testing.T) {
	const seeds = 2000
	for shard := range uint64(8) {
		t.Run(fmt.Sprint("shard ", shard), func(t *testing.T) {
			t.Parallel()
			for seed := shard; seed < seeds; seed += 8 {
				playSeed(t, seed)
			}
		})
	}
}

func playSeed(t *testing.T, seed uint64) {
	w := newWorld(t, seed, 2, 3, 8, testView())
	w.lossy = seed%4 != 0
	w.run(2 * time.Second)
	for range 150 {
		w.disturb()
		w.step()
	}
	w.lossy = false
	for _, m := range w.machines {
		m.cut, m.dead, m.failing = false, false, false
	}
	// Long enough for leases of the lost to run out, the set aside to come
	// back, and everything that waits to run.
	for range 120 {
		w.run(30 * time.Second)
		if w.settled() {
			return
		}
	}
	for _, id := range w.order {
		if job := w.state(id); !job.State.Ended() {
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

// disturb brings about one random event.
func (w *world) disturb() {
	m := w.machines[w.random.IntN(len(w.machines))]
	switch event := w.random.IntN(60); {
	case event < 14:
		member := []identifier.MemberID{"isuku", "nieve", "zebra"}[w.random.IntN(3)]
		job := jobOf(fmt.Sprint("j", len(w.order)), member, shapes[w.random.IntN(len(shapes))], time.Duration(500+w.random.IntN(8000))*time.Millisecond)
		job.spec.Checkpointable = w.random.IntN(3) > 0
		job.spec.Urgent = w.random.IntN(5) == 0
		job.broken = w.random.IntN(12) == 0
		if err := w.submit(job); err != nil && !errors.Is(err, ErrImpossible) {
			w.t.Fatalf("submit: %v", err)
		}
	case event < 18 && len(w.order) > 0:
		id := w.order[w.random.IntN(len(w.order))]
		if err := w.engine.Cancel(w.works[id].spec.Member, id, w.now); err != nil {
			w.t.Fatalf("cancel: %v", err)
		}
		w.flush()
	case event == 20:
		w.crash(m)
	case event == 21:
		m.cut = true
	case event < 24:
		m.cut = false
	case event == 24:
		w.takeOver()
	case event == 25:
		m.failing = !m.failing
	}
}

// TestGuaranteesStayReclaimable submits only, with no faults, and checks after
// every step that each unused guarantee has a place of its own once borrowers
// are put out, and that every claim within a guarantee starts in time.
func TestGuaranteesStayReclaimable(t *testing.T) {
	for seed := range uint64(150) {
		w := newWorld(t, seed, 2, 3, 8, testView())
		w.run(2 * time.Second)
		for range 200 {
			if w.random.IntN(3) == 0 {
				member := []identifier.MemberID{"isuku", "nieve", "zebra"}[w.random.IntN(3)]
				job := jobOf(fmt.Sprint("j", len(w.order)), member, shapes[w.random.IntN(len(shapes))], time.Duration(1+w.random.IntN(20))*time.Second)
				if err := w.submit(job); err != nil {
					t.Fatalf("submit: %v", err)
				}
			}
			w.step()
			if !w.engine.GuaranteesSatisfiable("gpu") {
				t.Fatalf("seed %d: at %s a guarantee has no place", seed, w.now.Sub(time.Unix(5000, 0)))
			}
		}
	}
}
