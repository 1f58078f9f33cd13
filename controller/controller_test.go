package controller

import (
	"fmt"
	"testing"

	"cranberrystack.dev/cranberrystack/replicator"
)

// What passes by itself is not refused: the client asks again.
func TestRefusalsAreForGood(t *testing.T) {
	tests := []struct {
		err   error
		again bool
	}{
		{replicator.ErrLeaderNotReady, true},
		{&replicator.NotLeaderError{}, true},
		{replicator.ErrOutcomeUnknown, true},
		{replicator.ErrChangePending, false},
		{replicator.ErrNotCaughtUp, false},
	}
	for _, test := range tests {
		answer := failed(fmt.Errorf("change voters: %w", test.err))
		if again := answer.Leader != nil || answer.Unknown; again != test.again {
			t.Errorf("%v: %+v, asked again %t", test.err, answer, again)
		}
	}
}
