package controller

import (
	"context"
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

// TestStoppedNodeAndLogTimeoutAreNotRefusals guards against refusing a request that
// the log did not take, because the node has stopped or the wait for it has timed
// out: the client has to retry it.
func TestStoppedNodeAndLogTimeoutAreNotRefusals(t *testing.T) {
	errs := []error{
		replicator.ErrStopped,
		fmt.Errorf("wait for the log: %w", context.DeadlineExceeded),
	}
	for _, err := range errs {
		response := errorResponse(fmt.Errorf("change voters: %w", err))
		if response.Leader == nil && !response.Unknown {
			t.Errorf("%v: response %+v, want a leader or an unknown outcome", err, response)
		}
	}
}
