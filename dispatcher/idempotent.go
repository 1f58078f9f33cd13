package dispatcher

import (
	"context"
	"errors"
	"fmt"

	"github.com/rotisserie/eris"

	"cranberrystack.dev/cranberrystack/connector"
	"cranberrystack.dev/cranberrystack/identifier"
)

// errMayHaveRun reports a request that could not be retried and whose earlier
// attempt may have run.
var errMayHaveRun = eris.New("an earlier attempt may have run and no further one was possible")

// maxLostUpstreams is the number of upstreams that may be lost while they run a
// request. The request is not retried then, since it may be what ends them.
const maxLostUpstreams = 3

// errUpstreamsLost reports a request that is not retried because upstreams were lost
// while they ran it.
var errUpstreamsLost = eris.Errorf("it lost %d upstreams and is not retried", maxLostUpstreams)

// runWithoutClaim runs a request without a claim. While the deadline and the retry
// budget allow, an idempotent request is retried after any failed attempt, unless
// the response was too large or maxLostUpstreams is reached. A non-idempotent request
// without a key is retried only while it is certain that it has not run.
func (d *Dispatcher) runWithoutClaim(ctx context.Context, request Request, kindWeights weights) (connector.Response, error) {
	runCtx, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	var avoidUpstream identifier.UpstreamID
	mayHaveRun := false
	lost := 0
	for {
		granted, err := d.admit(runCtx, request, kindWeights, avoidUpstream)
		if err != nil {
			return connector.Response{}, refusalAfterAttempts(err, mayHaveRun)
		}
		response, err := d.run(runCtx, granted, request, newAttempt(request))
		d.release(granted.ticket)
		if err == nil {
			return response, nil
		}
		mayHaveRun = mayHaveRun || !errors.Is(err, connector.ErrNotRun)
		refusal := &Refusal{NotRun: !mayHaveRun, Cause: err, RetryAfter: d.options.shutdownRetryAfter}
		if errors.Is(err, connector.ErrResponseTooLarge) || (request.NonIdempotent && mayHaveRun) {
			return connector.Response{}, refusal
		}
		if errors.Is(err, connector.ErrOutcomeUnknown) && runCtx.Err() == nil {
			lost++
		}
		if lost >= maxLostUpstreams {
			d.recorder.Add("requests.upstreams-lost", 1)
			return connector.Response{}, &Refusal{Cause: fmt.Errorf("%w: %w", errUpstreamsLost, err)}
		}
		if runCtx.Err() != nil || !d.mayRetry(request) {
			return connector.Response{}, refusal
		}
		avoidUpstream = granted.upstream
	}
}

// refusalAfterAttempts returns a refusal without NotRun in place of err if an
// earlier attempt of the same request may have run.
func refusalAfterAttempts(err error, mayHaveRun bool) error {
	var refusal *Refusal
	if !mayHaveRun || !errors.As(err, &refusal) {
		return err
	}
	return &Refusal{Cause: errMayHaveRun, RetryAfter: refusal.RetryAfter}
}
