package coordinator_test

import (
	"context"
	"testing"
	"time"

	"cranberrystack.dev/cranberrystack/coordinator"
	"cranberrystack.dev/cranberrystack/faker"
	"cranberrystack.dev/cranberrystack/scheduler"
)

// Guards against tasks that run again after their end: a worker that was cut off listed the
// first of its ends, and the runs whose ends it had not listed yet were taken for lost.
func TestRunsBeyondTruncatedEndsDoNotStartAgain(t *testing.T) {
	const (
		listedEnds = 3
		// pollTransit is the time between two lists, in which lost runs are placed again.
		pollTransit = 100 * time.Millisecond
	)
	tasks := func(width int, change func(*scheduler.Step)) scheduler.Request {
		s := step(width, 1500, 0)
		if change != nil {
			change(&s)
		}
		return scheduler.Request{Spec: "s", Steps: []scheduler.Step{s}}
	}
	crashLeader := func(c *cluster) { c.waitForLeader(time.Second).crash() }
	cancelFirst := func(c *cluster) { c.cancel("long", jobID(1)) }
	tests := []struct {
		name string
		jobs []scheduler.Request
		// cutOff is done while the worker is cut off; it may be nil.
		cutOff func(*cluster)
		// attempts bounds the failed runs of a task, and fails says that all runs fail.
		attempts int
		fails    bool
		want     string
	}{
		{"same leader", []scheduler.Request{tasks(10, nil)}, nil, 3, false, "completed"},
		{"exactly the limit", []scheduler.Request{tasks(listedEnds, nil)}, nil, 3, false, "completed"},
		{"next leader", []scheduler.Request{tasks(10, nil)}, crashLeader, 3, false, "completed"},
		{"last attempts", []scheduler.Request{tasks(1, nil), tasks(1, nil), tasks(1, nil), tasks(1, nil), tasks(1, nil), tasks(1, nil)}, nil, 1, true, "failed"},
		{"gang after other tasks", []scheduler.Request{tasks(4, nil), tasks(2, func(s *scheduler.Step) { s.Gang, s.EstimateMillis = true, 1600 })}, nil, 3, false, "completed"},
		{"tasks that may have copies", []scheduler.Request{tasks(10, func(s *scheduler.Step) { s.SpeculativeCopies = true })}, nil, 3, false, "completed"},
		{"cancelled", []scheduler.Request{tasks(10, nil)}, cancelFirst, 3, false, "cancelled"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			setup := func(c *cluster) {
				c.workerCluster.MaxListedEnds = listedEnds
				c.poll = func(ctx context.Context, caller string, to coordinator.Destination, order coordinator.PollOrder) (scheduler.PollResult, error) {
					result, err := c.workerCluster.Orders(caller).Poll(ctx, to, order)
					time.Sleep(pollTransit)
					return result, err
				}
			}
			inClusterWith(t, 110, 4, 1, setup, func(c *cluster) {
				c.configure(2, test.attempts)
				if test.fails {
					c.workerCluster.SetFaults(faker.TaskFaults{FailureProbability: 1})
				}
				for i, job := range test.jobs {
					c.submit("long", jobID(i+1), job)
				}
				time.Sleep(time.Second)
				c.setPartition(true, "w-00")
				if test.cutOff != nil {
					test.cutOff(c)
				}
				time.Sleep(1700 * time.Millisecond)
				c.setPartition(false, "w-00")
				for i := range test.jobs {
					c.waitForState("long", jobID(i+1), test.want, 5*time.Second)
				}
				for _, event := range c.workerCluster.History() {
					if event.EndKind == "" && event.Run.Number > 1 {
						t.Errorf("%s started, though the first run has ended", event.Run)
					}
				}
				// Nothing may stay placed on the worker.
				c.submit("long", jobID(20), scheduler.Request{Spec: "s", Steps: []scheduler.Step{{
					Width: 1, EstimateMillis: 100, Resources: scheduler.Resources{CPU: 64000, Memory: 128000, Accelerators: 8},
				}}})
				want := "completed"
				if test.fails {
					want = "failed"
				}
				c.waitForState("long", jobID(20), want, 2*time.Second)
			})
		})
	}
}
