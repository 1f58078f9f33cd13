package coordinator

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"

	"cranberrystack.dev/cranberrystack/recorder"
	"cranberrystack.dev/cranberrystack/replicator"
	"cranberrystack.dev/cranberrystack/scheduler"
)

// newLeaderWithPlacedRun returns a leader whose state holds a placed run of its
// own term. restarted says that the run's worker has registered a new
// incarnation since.
func newLeaderWithPlacedRun(t *testing.T, restarted bool) (*Coordinator, scheduler.RunID, *bytes.Buffer) {
	t.Helper()
	var logged bytes.Buffer
	c := &Coordinator{
		config: Config{Logger: log.NewLogfmtLogger(&logged), Recorder: recorder.New()}, options: newOptions(),
		state: scheduler.NewState(), proposalsReady: make(chan struct{}, 1),
	}
	now := time.Now()
	c.lead = &leadership{
		ctx: context.Background(), fencingToken: 3, attempts: map[scheduler.RunID]*scheduler.StartAttempt{}, unsentRuns: map[scheduler.RunID]bool{}, givenUp: map[scheduler.RunID]bool{},
		observer: scheduler.NewObserver(now, 6*time.Second, 4*time.Second),
	}
	run := scheduler.Run{ID: scheduler.RunID{Task: scheduler.TaskID{Job: "1"}, Number: 1}, Worker: "w", Incarnation: 1}
	catalog := `{"version":1,"queues":[{"name":"q","host":"h","path-prefix":"/q/","worker-pool":"p","priority":1,"max-attempts":2,"stretch":3,"objective-ms":1,"timeout-ms":1}],"pools":[{"name":"p"}],"teams":[]}`
	worker := scheduler.Worker{ID: "w", Incarnation: 1, Pool: "p", Address: "a", State: scheduler.WorkerReady}
	next := worker
	next.Sequence++
	if restarted {
		next.Incarnation++
	}
	request := scheduler.Request{Steps: []scheduler.Step{{Width: 1, EstimateMillis: 1000}}}
	results := c.state.ApplyBatch(scheduler.Batch{FencingToken: 3, Now: wallTime(), Commands: []scheduler.Command{
		{Configure: &scheduler.Configure{Document: []byte(catalog)}},
		{Register: &worker},
		{Submit: &scheduler.Submit{Job: "1", Queue: "q", Request: request}},
		{Assign: &scheduler.Assign{Runs: []scheduler.Run{run}}},
		{Register: &next},
	}})
	for i := range results {
		if results[i].Outcome != scheduler.OutcomeDone {
			t.Fatalf("command %d: %+v", i, results[i])
		}
	}
	return c, run.ID, &logged
}

// openSingleNode opens a log whose only member is this instance. Its entries have no effect.
func openSingleNode(t *testing.T) *replicator.Node {
	t.Helper()
	machine := replicator.StateMachine{
		Apply: func(uint64, []byte) any { return nil }, Snapshot: func() ([]byte, error) { return nil, nil }, Restore: func([]byte) error { return nil },
	}
	node, err := replicator.Open("i0", t.TempDir(), []replicator.Peer{{ID: "i0"}}, machine, replicator.Transport{})
	if err != nil {
		t.Fatal(err)
	}
	return node
}

// One log entry holds both the assignment of a run and the registration of its
// worker's next incarnation, so that no start is sent. The run must be dropped,
// or it would stay placed for ever.
func TestUnsentRunOfRestartedWorkerIsDropped(t *testing.T) {
	c, id, logged := newLeaderWithPlacedRun(t, true)
	c.lead.unsentRuns[id] = true
	c.launchStart(c.lead, id)
	c.dropUnsent(c.lead)
	c.dropUnsent(c.lead)
	if len(c.queue) != 1 || c.queue[0].commands[0].Drop == nil || c.queue[0].commands[0].Drop.Runs[0] != id {
		t.Fatalf("queue %+v, want one drop of %s", c.queue, id)
	}
	c.flushJobTallies(id.Task.Job)
	if want := "event=run-lost step=" + id.Task.StepID().String() + " runs=0#1@w "; !strings.Contains(logged.String(), want) {
		t.Errorf("log %q does not name the run", logged)
	}
	c.state.ApplyBatch(scheduler.Batch{FencingToken: 3, Now: wallTime(), Commands: c.queue[0].commands})
	if c.state.Run(id) != nil {
		t.Errorf("%s is still placed", id)
	}
}

// A leader that does not know whether a run has started must not poll its worker
// in a busy loop.
func TestPollsForUnknownRunAreDelayed(t *testing.T) {
	c, id, _ := newLeaderWithPlacedRun(t, true)
	observation := c.lead.observer.Track("w", 1, time.Now())
	if wait := c.pollWait(observation, c.state.Run(id).Worker); wait < unsettledPollWait {
		t.Errorf("poll waits %v, want at least %v", wait, unsettledPollWait)
	}
}

// An instance that loses leadership and acquires it again in the same term does
// not know which starts it has sent. A run of that term must count as lost only
// when no start can be carried out any more.
func TestRunOfEarlierLeadershipIsRetainedUntilStartDeadline(t *testing.T) {
	c, id, _ := newLeaderWithPlacedRun(t, false)
	c.dropUnsent(c.lead)
	if len(c.queue) != 0 {
		t.Fatalf("queue %+v, want no drop: the run may be alive", c.queue)
	}
	now := time.Now()
	worker := c.state.Worker("w")
	observation := c.lead.observer.Track("w", worker.Incarnation, now)
	observation.RecordContact(1000, now)
	c.recoverRuns(c.lead, worker, observation, now)
	run := c.state.Run(id)
	poll := scheduler.PollResult{Sent: now.Add(time.Second), Incarnation: run.Incarnation, Clock: 1000 + scheduler.WorkerMilli(c.options.startLease.Milliseconds())}
	if scheduler.CertainlyOver(run, c.lead.attempts[id], &poll, c.lead.fencingToken) {
		t.Error("run counts as lost, though its start may still be carried out")
	}
	poll.Clock += 10
	if !scheduler.CertainlyOver(run, c.lead.attempts[id], &poll, c.lead.fencingToken) {
		t.Error("run does not count as lost, though no start can be carried out any more")
	}
}

func TestPlanDue(t *testing.T) {
	now := time.Now()
	c := &Coordinator{wake: make(chan struct{}, 1)}
	tests := []struct {
		name  string
		lead  leadership
		after time.Duration
		due   bool
	}{
		{"nothing has changed", leadership{plannedEntries: 7, plannedAt: now}, 100 * time.Millisecond, false},
		{"an entry was applied", leadership{plannedEntries: 6, plannedAt: now}, 0, true},
		{"steps wait", leadership{plannedEntries: 7, plannedAt: now, waitingSteps: 1}, 0, true},
		{"the last plan took long", leadership{plannedEntries: 6, plannedAt: now, planTook: 50 * time.Millisecond}, 100 * time.Millisecond, false},
		{"a pause after a long plan", leadership{plannedEntries: 6, plannedAt: now, planTook: 50 * time.Millisecond}, 150 * time.Millisecond, true},
		{"planInterval has passed", leadership{plannedEntries: 7, plannedAt: now}, planInterval, true},
	}
	for _, test := range tests {
		if due := test.lead.planDue(7, now.Add(test.after)); due != test.due {
			t.Errorf("%s: planDue returns %t", test.name, due)
		}
	}
	lead := leadership{plannedEntries: 7, plannedAt: now}
	lead.schedulePlan(c)
	if !lead.planDue(7, now) || len(c.wake) != 1 {
		t.Error("schedulePlan makes no plan due")
	}
}
