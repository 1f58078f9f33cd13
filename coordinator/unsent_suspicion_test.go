package coordinator

import (
	"testing"
	"time"

	"cranberrystack.dev/cranberrystack/identifier"
	"cranberrystack.dev/cranberrystack/scheduler"
)

// Guards against a task that counts as a likely cause of a worker's crash though no start
// of it was ever sent there.
func TestUnsentRunIsNotSuspected(t *testing.T) {
	c, id, _ := newLeaderWithPlacedRun(t, false)
	now := time.Now()
	before := now.Add(-time.Minute)
	c.lead.observer = scheduler.NewObserver(before, 6*time.Second, 4*time.Second)
	c.lead.droppingRuns = map[identifier.WorkerID]bool{}
	observation := c.lead.observer.Track("w", 1, before)
	observation.RecordContact(1000, now.Add(-500*time.Millisecond))
	observation.MissedPolls, observation.MissedSince = 1, now
	c.lead.attempts[id] = &scheduler.StartAttempt{Ordered: now.Add(-100 * time.Millisecond), CallsInFlight: 1}
	c.dropExpired(now)
	if len(c.queue) != 1 {
		t.Fatalf("%d proposals, want a drop", len(c.queue))
	}
	if suspicion := c.queue[0].commands[0].Drop.Suspicion; suspicion != nil {
		t.Errorf("suspicion %+v, want none", suspicion)
	}
}
