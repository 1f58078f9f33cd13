package coordinator

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"cranberrystack.dev/cranberrystack/identifier"
	"cranberrystack.dev/cranberrystack/replicator"
)

// Guards against two runs of a task at once: the leader dropped the runs of a worker whose
// leases had ended, one of which was assigned and not yet sent, and sent its start before
// the drop was applied. A drop whose outcome is unknown may still be applied.
func TestNoStartOfRunThatIsBeingDropped(t *testing.T) {
	tests := []struct {
		name string
		// outcome is that of the drop's commit before the start is launched; nil while it
		// is being committed.
		outcome error
	}{
		{"drop is being committed", nil},
		{"outcome of the drop is unknown", replicator.ErrOutcomeUnknown},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { dropThenStart(t, test.outcome) })
		})
	}
}

func dropThenStart(t *testing.T, outcome error) {
	t.Helper()
	time.Sleep(time.Hour)
	c, id, _ := newLeaderWithPlacedRun(t, false)
	node := openSingleNode(t)
	defer node.Stop()
	ctx, cancel := context.WithCancel(t.Context())
	defer synctest.Wait()
	defer cancel()
	started := 0
	c.node, c.lead.ctx = node, ctx
	c.lead.polling, c.lead.droppingRuns = map[identifier.WorkerID]bool{"w": true}, map[identifier.WorkerID]bool{}
	c.config.Orders.Start = func(context.Context, Destination, StartOrder) (OrderAnswer, error) {
		started++
		return OrderAnswer{Clock: 1000}, nil
	}
	observation := c.lead.observer.Track("w", 1, time.Now())
	observation.RecordContact(1000, time.Now())
	time.Sleep(time.Minute)
	c.lead.unsentRuns[id] = true
	observation.RecordContact(61000, time.Now())
	observation.ReportedAt = time.Now()
	observation.MissedPolls = 1

	c.mu.Lock()
	c.dropExpired(time.Now())
	c.mu.Unlock()
	dropped := false
	for _, p := range c.queue {
		drop := p.commands[0].Drop
		dropped = dropped || drop != nil && drop.Runs[0] == id
		if outcome != nil {
			p.result <- proposalResult{err: outcome}
		}
	}
	synctest.Wait()
	c.mu.Lock()
	c.launchStart(c.lead, id)
	c.mu.Unlock()
	synctest.Wait()
	if dropped && started > 0 {
		t.Errorf("the start of %s was sent although a drop of it may be applied", id)
	}
	if !dropped && started == 0 {
		t.Errorf("%s is neither dropped nor started", id)
	}
}
