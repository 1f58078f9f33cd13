package coordinator

import (
	"context"
	"testing"
	"testing/synctest"

	"cranberrystack.dev/cranberrystack/scheduler"
)

// Guards against a task that runs twice at once until its end: a worker accepted a start
// whose run had been dropped meanwhile, and nothing stopped it, since the worker was polled
// no more.
func TestLostRunThatStartsIsStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, id, _ := newLeaderWithPlacedRun(t, false)
		var stopped []scheduler.RunID
		c.config.Orders.Stop = func(_ context.Context, _ Destination, order RunOrder) (OrderAnswer, error) {
			stopped = append(stopped, order.Run)
			return OrderAnswer{}, nil
		}
		run := *c.state.Run(id)
		c.state.ApplyBatch(scheduler.Batch{Now: wallTime(), Commands: []scheduler.Command{{Drop: &scheduler.Drop{Runs: []scheduler.RunID{id}}}}})
		c.handleStartAnswer(c.lead, run, OrderAnswer{Clock: 1000})
		synctest.Wait()
		if len(stopped) != 1 || stopped[0] != id {
			t.Errorf("stopped %v, want %s", stopped, id)
		}
	})
}
