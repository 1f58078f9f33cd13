package coordinator

import (
	"testing"
	"testing/synctest"
	"time"

	"cranberrystack.dev/cranberrystack/scheduler"
)

// Guards against a task that counts as a cause of its worker's crash though its run had
// ended before: the worker had not listed the end yet.
func TestRunWithUnlistedEndIsNotSuspected(t *testing.T) {
	tests := []struct {
		name string
		// ended says that the worker has answered a poll after the end of the run, with as
		// many other ends as it lists at a time.
		ended bool
	}{{"alive", false}, {"end not listed", true}}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { crashAfterTruncatedEnds(t, test.ended) })
		})
	}
}

func crashAfterTruncatedEnds(t *testing.T, ended bool) {
	t.Helper()
	c, id, _ := newLeaderWithPlacedRun(t, false)
	c.node = openSingleNode(t)
	defer c.node.Stop()
	time.Sleep(time.Minute)

	now := time.Now()
	c.lead.attempts[id] = &scheduler.StartAttempt{Ordered: now.Add(-300 * time.Millisecond), Started: now.Add(-200 * time.Millisecond)}
	if ended {
		poll := scheduler.PollResult{Sent: now.Add(-time.Millisecond), Incarnation: 1, Clock: 1000, EndsTruncated: true}
		c.handlePollResult(c.lead, "w", &poll)
	}
	if len(c.queue) > 0 || c.state.Run(id) == nil {
		t.Fatalf("%s was dropped", id)
	}
	observation := c.lead.observer.Track("w", 1, now)
	observation.MissedPolls, observation.MissedSince = 1, now.Add(100*time.Millisecond)
	next := *c.state.Worker("w")
	next.Incarnation, next.Sequence = 2, 1
	if suspicion := c.lead.observer.Suspicion(c.state, &next, c.lead.attempts, now.Add(time.Second)); (suspicion == nil) != ended {
		t.Errorf("suspicion %+v, ended before the crash: %t", suspicion, ended)
	}
}
