package scheduler

import (
	"strings"
	"testing"
	"time"
)

// Guards against members of a gang that wait for one that can't start any more, and
// against stopping a gang that works.
func TestGangStartCheck(t *testing.T) {
	const limit = 2 * time.Second
	tests := []struct {
		name string
		// started is the number of members that are known to have started.
		started int
		after   time.Duration
		change  func(p *testPool, members []RunID)
		settled bool
		failure string
		late    int
	}{
		{name: "all have started", started: 3, after: 3 * time.Second, settled: true},
		{name: "one is awaited", started: 2, after: limit - time.Millisecond},
		{name: "one is late", started: 2, after: limit, failure: "1 of 3 members have not started", late: 1},
		{name: "none has started in time", after: limit, failure: "3 of 3 members have not started", late: 3},
		{name: "one is lost", started: 2, failure: "is lost", change: func(p *testPool, members []RunID) {
			p.apply(Command{Drop: &Drop{Runs: members[2:]}})
		}},
		{name: "one is stopped", started: 3, failure: "is stopped", change: func(p *testPool, members []RunID) {
			p.stopping(members[2])
		}},
		{name: "all are stopped", settled: true, change: func(p *testPool, members []RunID) {
			p.stopping(members...)
		}},
		{name: "all are lost", settled: true, change: func(p *testPool, members []RunID) {
			p.apply(Command{Drop: &Drop{Runs: members}})
		}},
		{name: "works although a start is not confirmed", started: 2, after: limit, settled: true, change: func(p *testPool, members []RunID) {
			p.reportProgress(members[0], 1, 0)
		}},
		{name: "done", started: 2, settled: true, change: func(p *testPool, members []RunID) {
			p.apply(Command{RecordEnds: &RecordEnds{
				Worker: p.state.Run(members[0]).Worker, Incarnation: 1, Number: 1, Ends: []End{{Number: 1, Run: members[0], Kind: EndDone}},
			}})
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := newPool(t, 4)
			gang := Step{Width: 3, EstimateMillis: 5000, Gang: true, Resources: Resources{CPU: 1000, Memory: 1000, Accelerators: 8}}
			p.submit(1, "long", gang)
			attempts := map[RunID]*StartAttempt{}
			var members []RunID
			for _, run := range p.plan().Assign[0].Runs {
				members = append(members, run.ID)
				attempts[run.ID] = &StartAttempt{Ordered: p.now}
				if len(members) <= test.started {
					attempts[run.ID].Started = p.now
				}
			}
			if test.change != nil {
				test.change(p, members)
			}
			start := GangStart{Members: members, OrderedAt: p.now}
			got := start.Check(p.state, p.observer, attempts, limit, p.now.Add(test.after))
			if got.Settled != test.settled || !strings.Contains(got.Failure, test.failure) || (got.Failure == "") != (test.failure == "") || len(got.Late) != test.late {
				t.Errorf("settled %t, failure %q, %d late, want %t, %q and %d", got.Settled, got.Failure, len(got.Late), test.settled, test.failure, test.late)
			}
		})
	}
}

// stopping records that runs were ordered to stop.
func (p *testPool) stopping(runs ...RunID) {
	for _, id := range runs {
		run := p.state.Run(id)
		p.observer.Track(run.Worker, run.Incarnation, p.now).Stopping[id] = p.now
	}
}
