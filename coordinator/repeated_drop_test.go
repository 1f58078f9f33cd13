package coordinator

import (
	"testing"
	"testing/synctest"
	"time"

	"cranberrystack.dev/cranberrystack/scheduler"
)

// Guards against a run that stays placed until the leadership ends: its start was refused or
// never sent, and the only drop of it was not committed.
func TestDropOfUnstartedRunIsRepeated(t *testing.T) {
	tests := []struct {
		name string
		end  func(*Coordinator, scheduler.Run)
	}{
		{"refused", func(c *Coordinator, run scheduler.Run) {
			c.handleStartAnswer(c.lead, run, OrderAnswer{Refusal: RefusedUnhealthy, Clock: 1000})
		}},
		{"never sent", func(c *Coordinator, run scheduler.Run) { c.abandonStart(c.lead, run, true) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { dropIsRepeated(t, test.end) })
		})
	}
}

func dropIsRepeated(t *testing.T, end func(*Coordinator, scheduler.Run)) {
	t.Helper()
	c, id, _ := newLeaderWithPlacedRun(t, false)
	run := *c.state.Run(id)
	c.lead.attempts[id] = &scheduler.StartAttempt{Ordered: time.Now(), CallsInFlight: 1}
	end(c, run)
	defer func() { c.failQueued(errNotCommitted) }()
	if len(c.queue) != 1 {
		t.Fatalf("%d proposals, want a drop", len(c.queue))
	}
	c.failQueued(errNotCommitted)
	synctest.Wait()
	c.dropUnsent(c.lead)
	now := time.Now()
	worker := c.state.Worker(run.Worker)
	observation := c.lead.observer.Track(run.Worker, run.Incarnation, now)
	observation.RecordContact(1000, now)
	c.recoverRuns(c.lead, worker, observation, now)
	poll := scheduler.PollResult{Sent: now.Add(time.Minute), Incarnation: run.Incarnation, Clock: 100_000}
	lost, _ := c.state.MissingRuns(worker, c.lead.attempts, &poll, c.lead.fencingToken)
	if len(c.queue) == 0 && len(lost) == 0 {
		t.Errorf("%s is neither dropped again nor lost", id)
	}
}
