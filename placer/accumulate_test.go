package placer

import (
	"testing"
	"time"

	"cranberrystack.dev/cranberrystack/packer"
)

// TestCancelledGangEndsAccumulation guards against an accumulation that
// outlives its cancelled gang: the time after the cancel would lengthen the
// cooldown of the next one.
func TestCancelledGangEndsAccumulation(t *testing.T) {
	s := newFaultlessSimulation(t)
	for _, id := range []string{"b1", "b2", "b3", "b4", "b5", "b6"} {
		busy := newSimJob(id, "nieve", wholeShape, time.Hour)
		busy.spec.Checkpointable = false
		s.mustSubmit(busy)
	}
	s.runFor(2 * time.Second)
	s.mustSubmit(newSimJob("gang", "zebra", pairShape, time.Second))
	s.runFor(10 * time.Second)
	if s.engine.cooldowns["gpu"].since.IsZero() {
		t.Fatal("no capacity accumulates for the gang")
	}
	if err := s.engine.Cancel("zebra", "gang", s.now); err != nil {
		t.Fatal(err)
	}
	s.runFor(5 * time.Second)
	cooldown := s.engine.cooldowns["gpu"]
	if !cooldown.since.IsZero() {
		t.Error("the accumulation outlives its gang")
	}
	if limit := s.now.Add(cooldownFactor * 15 * time.Second); cooldown.until.After(limit) {
		t.Errorf("the next accumulation may begin at %s, want by %s", cooldown.until, limit)
	}
}

// TestBackfillDropsOwnReservation guards against a reservation that outlives
// the start of its job, when the job is backfilled into capacity reserved for
// another.
func TestBackfillDropsOwnReservation(t *testing.T) {
	s := newFaultlessSimulation(t)
	s.mustSubmit(newSimJob("short", "zebra", oneShape, time.Second))
	s.runFor(2 * time.Second)
	job := &Job{Spec: newSimJob("other", "zebra", oneShape, time.Second).spec, State: StateQueued, Submitted: s.now}
	e := s.engine
	e.jobs[job.Spec.ID] = job
	e.queue = append(e.queue, job)
	slots := e.usableSlots("gpu", nil, s.now)
	gang := &Job{Spec: newSimJob("gang", "zebra", wideShape, time.Second).spec}
	pieces, _ := packer.Find(slots, wideShape)
	e.reservations["gang"] = e.newReservation(gang, pieces, s.now.Add(time.Hour), false)
	e.reservations["other"] = e.newReservation(job, pieces[:1], s.now.Add(time.Hour), false)
	if !e.startBorrower(job, s.now) {
		t.Fatal("the short job does not start in reserved capacity")
	}
	if _, reserved := e.reservations["other"]; reserved {
		t.Error("the reservation of a started job was not dropped")
	}
}
