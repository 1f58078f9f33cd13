package dispatcher

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"cranberrystack.dev/cranberrystack/claimer"
	"cranberrystack.dev/cranberrystack/connector"
	"cranberrystack.dev/cranberrystack/identifier"
)

// keyed reports whether the request runs at most once under its key.
func (r *Request) keyed() bool { return r.NonIdempotent && r.Key != "" }

// claimOf returns the claim that a request needs. It names no attempt yet.
func claimOf(request Request) claimer.Claim {
	return claimer.Claim{
		ID:     claimer.ID{Member: request.Member, Key: request.Key},
		Digest: requestDigest(request),
	}
}

// submitKeyed runs a non-idempotent request at most once, or returns the
// response that an earlier send of it got.
func (d *Dispatcher) submitKeyed(ctx context.Context, request Request, kindWeights weights) (connector.Response, error) {
	wanted := claimOf(request)
	if existing, known := d.claims.Lookup(wanted.ID); known {
		response, replaceable, err := d.awaitClaim(ctx, request, wanted, existing)
		if !replaceable {
			return response, err
		}
		wanted.Attempt = existing.Attempt
	}
	return d.runKeyed(ctx, request, kindWeights, wanted)
}

// runKeyed claims the key and runs the request. wanted.Attempt is the id of an
// earlier attempt that is known not to have run, or empty.
func (d *Dispatcher) runKeyed(ctx context.Context, request Request, kindWeights weights, wanted claimer.Claim) (connector.Response, error) {
	waitCtx, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	replaces := wanted.Attempt
	var avoidUpstream identifier.UpstreamID
	for {
		granted, err := d.admit(waitCtx, request, kindWeights, avoidUpstream)
		if err != nil {
			return d.refuseKeyed(ctx, request, wanted, replaces, err)
		}
		attempt := newAttempt(request)
		wanted.Attempt, wanted.Target = attempt.ID, granted.target
		existing, acquired, err := d.acquire(waitCtx, wanted, replaces)
		if err != nil {
			d.release(granted.ticket)
			return connector.Response{}, unconfirmedRefusal(err)
		}
		if !acquired {
			d.release(granted.ticket)
			response, replaceable, err := d.awaitClaim(ctx, request, wanted, existing)
			if !replaceable {
				return response, err
			}
			replaces = existing.Attempt
			continue
		}
		response, err := d.runClaimed(ctx, granted, request, attempt, wanted)
		if !errors.Is(err, connector.ErrNotRun) {
			return response, refusalForOutcome(err)
		}
		if !d.mayRetry(request) || ctx.Err() != nil {
			d.claims.Release(wanted.ID, attempt.ID)
			return connector.Response{}, &Refusal{NotRun: true, Cause: err, RetryAfter: d.options.shutdownRetryAfter}
		}
		replaces, avoidUpstream = attempt.ID, granted.upstream
	}
}

// refuseKeyed ends a send after its last attempt and releases the key if it
// holds it. heldAttempt is the id of an attempt that holds the key and has not
// run, or empty. The refusal promises that the key's request has not run, so
// refuseKeyed first rules out an earlier send that this instance does not know.
func (d *Dispatcher) refuseKeyed(ctx context.Context, request Request, wanted claimer.Claim, heldAttempt identifier.AttemptID, refusal error) (connector.Response, error) {
	if heldAttempt != "" {
		d.claims.Release(wanted.ID, heldAttempt)
		return connector.Response{}, refusal
	}
	claim, known, certain := d.claims.Confirm(ctx, wanted.ID)
	if !certain {
		return connector.Response{}, unconfirmedRefusal(fmt.Errorf("not run by this send (%v), whether by an earlier one is not known: %w", refusal, claimer.ErrNoQuorum))
	}
	if !known {
		return connector.Response{}, refusal
	}
	response, replaceable, err := d.awaitClaim(ctx, request, wanted, claim)
	if replaceable {
		return connector.Response{}, refusal
	}
	return response, err
}

// unconfirmedRefusal returns the refusal for a key whose claim could be neither
// acquired nor ruled out. This send has not run, but an earlier one under the
// same key may have run.
func unconfirmedRefusal(err error) error {
	return &Refusal{Cause: err, RetryAfter: inProgressRetryAfter}
}

// refusalForOutcome wraps the error of a claimed attempt that may have run.
func refusalForOutcome(err error) error {
	if err == nil {
		return nil
	}
	if errors.Is(err, ErrInProgress) {
		return &Refusal{Cause: err, RetryAfter: inProgressRetryAfter}
	}
	return &Refusal{Cause: err}
}

// acquire claims the key. It retries after a random backoff if concurrent claims
// of the same key prevented each other from getting a majority.
func (d *Dispatcher) acquire(ctx context.Context, wanted claimer.Claim, replaces identifier.AttemptID) (claimer.Claim, bool, error) {
	for retry := 0; ; retry++ {
		existing, acquired, err := d.claims.Acquire(ctx, wanted, replaces)
		contended := err == nil && !acquired && existing.State == claimer.StateClaimed && existing.Attempt != replaces
		if !contended || retry == claimRetries || d.claims.Running(ctx, existing) {
			return existing, acquired, err
		}
		wait := time.Duration(rand.Int64N(int64(claimRetryBackoff))) << retry
		select {
		case <-ctx.Done():
			return existing, acquired, err
		case <-time.After(wait):
		}
	}
}

// runClaimed runs a claimed attempt to its end and records the outcome, even if
// the caller disconnects or the deadline passes; it then returns ErrInProgress.
// The attempt is cancelled maxOverrun after the deadline.
func (d *Dispatcher) runClaimed(ctx context.Context, granted grantedSlot, request Request, attempt connector.Attempt, claim claimer.Claim) (connector.Response, error) {
	type result struct {
		response connector.Response
		err      error
	}
	finished := make(chan result, 1)
	d.inFlight.Add(1)
	go func() {
		defer d.inFlight.Done()
		limit := request.Deadline.Add(d.options.maxOverrun)
		runCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), limit)
		defer cancel()
		response, err := d.run(runCtx, granted, request, attempt)
		d.release(granted.ticket)
		d.recordOutcome(claim, response, err)
		finished <- result{response, err}
	}()
	waitCtx, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	select {
	case r := <-finished:
		return r.response, r.err
	case <-waitCtx.Done():
		return connector.Response{}, fmt.Errorf("deadline passed while it ran: %w", ErrInProgress)
	}
}

// recordOutcome records the outcome of a claimed attempt on the claim group. If
// the attempt did not run, the claim stays. The caller replaces or releases it, or
// a later send replaces it if the caller no longer waits.
func (d *Dispatcher) recordOutcome(claim claimer.Claim, response connector.Response, err error) {
	switch {
	case err == nil:
		claim.State = claimer.StateAnswered
		claim.Answer = &response
	case errors.Is(err, connector.ErrNotRun):
		d.claims.MarkInactive(claim.Attempt)
		return
	default:
		claim.State = claimer.StateUnknown
	}
	d.claims.Finish(claim)
}

// awaitClaim handles a key that is already claimed. It returns the stored
// response, waits for an attempt that is running, or resolves an attempt whose
// holder no longer runs it. replaceable is true if that attempt did not run and
// may be replaced.
func (d *Dispatcher) awaitClaim(ctx context.Context, request Request, wanted, existing claimer.Claim) (response connector.Response, replaceable bool, err error) {
	if existing.State == claimer.StateTombstone {
		return connector.Response{}, false, &Refusal{Cause: ErrResponseDiscarded}
	}
	if existing.Digest != wanted.Digest {
		return connector.Response{}, false, &Refusal{NotRun: true, Cause: claimer.ErrKeyReused}
	}
	waitCtx, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	for {
		if existing.State == claimer.StateAnswered {
			return *existing.Answer, false, nil
		}
		if !d.claims.Running(waitCtx, existing) {
			return d.resolveAbandoned(waitCtx, existing)
		}
		select {
		case <-waitCtx.Done():
			return connector.Response{}, false, &Refusal{Cause: ErrInProgress, RetryAfter: inProgressRetryAfter}
		case <-time.After(claimPollInterval):
		}
		if latest, known := d.claims.Fetch(waitCtx, existing.ID); known {
			existing = latest
		}
	}
}

// resolveAbandoned queries the upstream of an abandoned attempt for its outcome. If
// the attempt has not arrived there, this bars it, so that it can't run later.
// The second result is true if the attempt did not run and never will.
func (d *Dispatcher) resolveAbandoned(ctx context.Context, claim claimer.Claim) (connector.Response, bool, error) {
	latest, known := d.claims.Fetch(ctx, claim.ID)
	if known && latest.State == claimer.StateAnswered {
		return *latest.Answer, false, nil
	}
	resolveCtx, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	upstream := connector.New(claim.Target, d.dial, d.options.connectorOptions...)
	defer upstream.Close()
	response, err := upstream.Resolve(resolveCtx, claim.Attempt)
	switch {
	case err == nil:
		claim.State, claim.Answer = claimer.StateAnswered, &response
		d.claims.Finish(claim)
		return response, false, nil
	case errors.Is(err, connector.ErrNotRun):
		return connector.Response{}, true, nil
	}
	return connector.Response{}, false, &Refusal{Cause: err, RetryAfter: inProgressRetryAfter}
}
