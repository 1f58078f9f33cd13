package dispatcher

import (
	"context"
	"errors"

	"cranberrystack.dev/cranberrystack/connector"
	"cranberrystack.dev/cranberrystack/identifier"
)

// runIdempotent runs a request that may run more than once, or one that is
// non-idempotent but has no key. The latter is tried again only while it truly
// has not run.
func (d *Dispatcher) runIdempotent(ctx context.Context, request Request, plan weights) (connector.Answer, error) {
	runCtx, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	var avoid identifier.UpstreamID
	for {
		at, err := d.admit(runCtx, request, plan, avoid)
		if err != nil {
			return connector.Answer{}, err
		}
		answer, err := d.run(runCtx, at, request, newAttempt(request))
		d.release(at.ticket)
		if err == nil {
			return answer, nil
		}
		notRun := errors.Is(err, connector.ErrNotRun)
		final := &Refusal{NotRun: notRun, Cause: err, RetryAfter: d.options.stoppingWait}
		if errors.Is(err, connector.ErrAnswerTooLarge) || (request.NonIdempotent && !notRun) {
			return connector.Answer{}, final
		}
		if runCtx.Err() != nil || !d.mayRetry(request) {
			return connector.Answer{}, final
		}
		avoid = at.upstream
	}
}
