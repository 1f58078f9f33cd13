package controller

import (
	"fmt"
	"testing"

	"cranberrystack.dev/cranberrystack/replicator"
)

// TestTransientErrorsAreNotRefusals guards against refusing a request for a
// transient error: the client has to retry it.
func TestTransientErrorsAreNotRefusals(t *testing.T) {
	tests := []struct {
		err       error
		retryable bool
	}{
		{replicator.ErrLeaderNotReady, true},
		{&replicator.NotLeaderError{}, true},
		{replicator.ErrOutcomeUnknown, true},
		{replicator.ErrChangePending, false},
		{replicator.ErrNotCaughtUp, false},
	}
	for _, test := range tests {
		response := errorResponse(fmt.Errorf("change voters: %w", test.err))
		if retryable := response.Leader != nil || response.Unknown; retryable != test.retryable {
			t.Errorf("%v: response %+v, retryable %t", test.err, response, retryable)
		}
	}
}
