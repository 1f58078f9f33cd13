package scheduler

import (
	"testing"
	"time"
)

// Guards against a run that counts as lost while it is alive on the next incarnation of its
// worker, which started it after it had answered the poll.
func TestRunThatMayBeAliveOnNextIncarnationIsNotLost(t *testing.T) {
	sent := time.Now()
	run := &Run{ID: RunID{Task: TaskID{Job: "1"}, Number: 1}, Worker: "w", Incarnation: 1, FencingToken: 3}
	poll := &PollResult{Sent: sent, Incarnation: 2, Clock: 10}
	tests := []struct {
		name    string
		attempt StartAttempt
	}{
		{"start was answered after the poll was sent", StartAttempt{Deadline: 60_000, Started: sent.Add(time.Millisecond)}},
		{"stop was confirmed by the earlier incarnation, a start is unanswered", StartAttempt{Deadline: 60_000, Unanswered: true, Stopped: sent.Add(-time.Second)}},
	}
	for _, test := range tests {
		if CertainlyOver(run, &test.attempt, poll, 3) {
			t.Errorf("%s: the run counts as lost", test.name)
		}
	}
}
