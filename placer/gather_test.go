package placer

import (
	"testing"
	"time"

	"cranberrystack.dev/cranberrystack/packer"
)

// TestGatheringThatEndsWithoutAStart cancels the gang that was gathered for.
// The time after that does not count into the rest of a later gathering.
func TestGatheringThatEndsWithoutAStart(t *testing.T) {
	w := quietWorld(t)
	for _, id := range []string{"b1", "b2", "b3", "b4", "b5", "b6"} {
		busy := jobOf(id, "nieve", wholeShape, time.Hour)
		busy.spec.Checkpointable = false
		w.mustSubmit(busy)
	}
	w.run(2 * time.Second)
	w.mustSubmit(jobOf("gang", "zebra", pairShape, time.Second))
	w.run(10 * time.Second)
	if w.engine.rests["gpu"].since.IsZero() {
		t.Fatal("nothing is gathered for the gang")
	}
	if err := w.engine.Cancel("zebra", "gang", w.now); err != nil {
		t.Fatal(err)
	}
	w.run(5 * time.Second)
	rest := w.engine.rests["gpu"]
	if !rest.since.IsZero() {
		t.Error("the gathering goes on without its gang")
	}
	if limit := w.now.Add(gatherRest * 15 * time.Second); rest.until.After(limit) {
		t.Errorf("the next gathering may begin at %s, want by %s", rest.until, limit)
	}
}

// TestBackfillEndsOwnHold starts a job that has a place held for it in space
// held for another.
func TestBackfillEndsOwnHold(t *testing.T) {
	w := quietWorld(t)
	w.mustSubmit(jobOf("short", "zebra", oneShape, time.Second))
	w.run(2 * time.Second)
	job := &Job{Spec: jobOf("other", "zebra", oneShape, time.Second).spec, State: StateQueued, Submitted: w.now}
	e := w.engine
	e.jobs[job.Spec.ID] = job
	e.queue = append(e.queue, job)
	slots := e.openSlots("gpu", nil, w.now)
	gang := &Job{Spec: jobOf("gang", "zebra", wideShape, time.Second).spec}
	pieces, _ := packer.Find(slots, wideShape)
	e.holds["gang"] = e.newHold(gang, pieces, w.now.Add(time.Hour), false)
	e.holds["other"] = e.newHold(job, pieces[:1], w.now.Add(time.Hour), false)
	if !e.startBorrower(job, w.now) {
		t.Fatal("the short job does not start in held space")
	}
	if _, held := e.holds["other"]; held {
		t.Error("a place stays held for a job that runs")
	}
}
