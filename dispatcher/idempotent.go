package dispatcher

import (
	"context"
	"errors"

	"github.com/rotisserie/eris"

	"cranberrystack.dev/cranberrystack/connector"
	"cranberrystack.dev/cranberrystack/identifier"
)

// errMayHaveRun reports a request that could not be retried and whose earlier
// attempt may have run.
var errMayHaveRun = eris.New("an earlier attempt may have run and no further one was possible")

// runWithoutClaim runs a request without a claim. While the deadline and the retry
// budget allow, an idempotent request is retried after any failed attempt, unless
// the response was too large. A non-idempotent request without a key is retried
// only while it is certain that it has not run.
func (d *Dispatcher) runWithoutClaim(ctx context.Context, request Request, kindWeights weights) (connector.Response, error) {
	runCtx, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	var avoidUpstream identifier.UpstreamID
	mayHaveRun := false
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
