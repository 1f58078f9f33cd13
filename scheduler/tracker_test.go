package scheduler

import (
	"testing"
	"time"
)

// Guards against a run that counts as lost while its end is still to be listed, whatever
// shows that it is not alive any more: truncated ends never show that it has no end.
func TestMissingRunIsLostOnlyIfAllEndsAreListed(t *testing.T) {
	sent := time.Unix(1000, 0)
	before, after := sent.Add(-time.Second), sent.Add(time.Second)
	const token = 2
	tests := []struct {
		name    string
		run     Run
		attempt *StartAttempt
		// over says that the run can't be alive any more.
		over bool
	}{
		{"started", Run{FencingToken: token, Incarnation: 1}, &StartAttempt{Started: before}, true},
		{"of an earlier leader", Run{FencingToken: token - 1, Incarnation: 1}, nil, true},
		{"stop confirmed", Run{FencingToken: token, Incarnation: 1}, &StartAttempt{Stopped: before}, true},
		{"refused, since it may have run before", Run{FencingToken: token, Incarnation: 1}, &StartAttempt{Refused: before}, true},
		{"unanswered, past its deadline", Run{FencingToken: token, Incarnation: 1}, &StartAttempt{Unanswered: true, Deadline: 49}, true},
		{"of an earlier incarnation", Run{FencingToken: token}, &StartAttempt{Started: before}, true},
		{"started after the poll", Run{FencingToken: token, Incarnation: 1}, &StartAttempt{Started: after}, false},
	}
	for _, test := range tests {
		s := NewState()
		worker := &Worker{ID: "w", Incarnation: 1}
		run := test.run
		run.ID, run.Worker = RunID{Task: TaskID{Job: "1"}, Number: 1}, worker.ID
		s.indexRun(&run)
		attempts := map[RunID]*StartAttempt{}
		if test.attempt != nil {
			attempts[run.ID] = test.attempt
		}
		other := End{Number: 1, Run: RunID{Task: TaskID{Job: "2"}, Number: 1}, Kind: EndDone}
		for _, truncated := range []bool{true, false} {
			poll := &PollResult{Sent: sent, Incarnation: 1, Clock: 50, Ended: []End{other}, EndsTruncated: truncated}
			lost, unlisted := s.MissingRuns(worker, attempts, poll, token)
			if wantLost := test.over && !truncated; (len(lost) == 1) != wantLost {
				t.Errorf("%s, truncated %t: lost %v, want it lost: %t", test.name, truncated, lost, wantLost)
			}
			if wantUnlisted := test.over && truncated; (len(unlisted) == 1) != wantUnlisted {
				t.Errorf("%s, truncated %t: unlisted %v, want it unlisted: %t", test.name, truncated, unlisted, wantUnlisted)
			}
		}
	}
}
