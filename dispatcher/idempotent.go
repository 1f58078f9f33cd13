package dispatcher

import (
	"context"
	"errors"

	"github.com/rotisserie/eris"

	"cranberrystack.dev/cranberrystack/connector"
	"cranberrystack.dev/cranberrystack/identifier"
)

// errAttempted reports a request that was tried, may have run, and could not be
// tried again.
var errAttempted = eris.New("an earlier attempt may have run and no further one was possible")

// runIdempotent runs a request that may run more than once, or one that is
// non-idempotent but has no key. The latter is tried again only while it truly
// has not run.
func (d *Dispatcher) runIdempotent(ctx context.Context, request Request, plan weights) (connector.Response, error) {
	runCtx, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	var avoid identifier.UpstreamID
	mayHaveRun := false
	for {
		at, err := d.admit(runCtx, request, plan, avoid)
		if err != nil {
			return connector.Response{}, afterAttempts(err, mayHaveRun)
		}
		answer, err := d.run(runCtx, at, request, newAttempt(request))
		d.release(at.ticket)
		if err == nil {
			return answer, nil
		}
		mayHaveRun = mayHaveRun || !errors.Is(err, connector.ErrNotRun)
		final := &Refusal{NotRun: !mayHaveRun, Cause: err, RetryAfter: d.options.stoppingWait}
		if errors.Is(err, connector.ErrResponseTooLarge) || (request.NonIdempotent && mayHaveRun) {
			return connector.Response{}, final
		}
		if runCtx.Err() != nil || !d.mayRetry(request) {
			return connector.Response{}, final
		}
		avoid = at.upstream
	}
}

// afterAttempts takes "not run" back from a refusal if an earlier attempt of
// the same request may have run.
func afterAttempts(err error, mayHaveRun bool) error {
	var refusal *Refusal
	if !mayHaveRun || !errors.As(err, &refusal) {
		return err
	}
	return &Refusal{Cause: errAttempted, RetryAfter: refusal.RetryAfter}
}
