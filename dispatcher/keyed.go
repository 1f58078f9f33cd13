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

// claimOf returns the claim that a request needs, for no attempt yet.
func claimOf(request Request) claimer.Claim {
	return claimer.Claim{
		ID:     claimer.ID{Member: request.Member, Key: request.Key},
		Digest: requestDigest(request),
	}
}

// submitKeyed runs a non-idempotent request at most once, or gives the answer
// that an earlier send of it got.
func (d *Dispatcher) submitKeyed(ctx context.Context, request Request, plan weights) (connector.Response, error) {
	wanted := claimOf(request)
	if existing, known := d.claims.Lookup(wanted.ID); known {
		response, replaceable, err := d.awaitClaim(ctx, request, wanted, existing)
		if !replaceable {
			return response, err
		}
		wanted.Attempt = existing.Attempt
	}
	return d.runKeyed(ctx, request, plan, wanted)
}

// runKeyed claims the key and runs the request. wanted.Attempt names an
// earlier attempt that is known not to have run, if there was one.
func (d *Dispatcher) runKeyed(ctx context.Context, request Request, plan weights, wanted claimer.Claim) (connector.Response, error) {
	waitCtx, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	replaces := wanted.Attempt
	var avoidUpstream identifier.UpstreamID
	for {
		granted, err := d.admit(waitCtx, request, plan, avoidUpstream)
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

// refuseKeyed ends a send of which no further attempt is made, and gives a key
// back that it holds. held names an attempt that has not run. A refusal
// promises that the key's request has not run, so an earlier send of it that
// this instance does not know of has to be ruled out first.
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

// unconfirmedRefusal is the refusal when the claim could not be settled. This send has
// not run, but an earlier one under the same key may have.
func unconfirmedRefusal(err error) error {
	return &Refusal{Cause: err, RetryAfter: inProgressRetryAfter}
}

func refusalForOutcome(err error) error {
	if err == nil {
		return nil
	}
	if errors.Is(err, ErrInProgress) {
		return &Refusal{Cause: err, RetryAfter: inProgressRetryAfter}
	}
	return &Refusal{Cause: err}
}

// acquire claims the key, again if others who wanted it at the same moment
// kept each other from a majority.
func (d *Dispatcher) acquire(ctx context.Context, wanted claimer.Claim, replaces identifier.AttemptID) (claimer.Claim, bool, error) {
	for try := 0; ; try++ {
		existing, acquired, err := d.claims.Acquire(ctx, wanted, replaces)
		contended := err == nil && !acquired && existing.State == claimer.StateClaimed && existing.Attempt != replaces
		if !contended || try == claimRetries || d.claims.Running(ctx, existing) {
			return existing, acquired, err
		}
		wait := time.Duration(rand.Int64N(int64(claimRetryBackoff))) << try
		select {
		case <-ctx.Done():
			return existing, acquired, err
		case <-time.After(wait):
		}
	}
}

// runClaimed runs a claimed attempt to its end, also when the caller has gone
// or the deadline has passed, and keeps the outcome.
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

// recordOutcome keeps what became of a claimed attempt. A claim whose attempt did not
// run is left for the caller to replace or release.
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

// awaitClaim deals with a key that is claimed already. It returns the kept
// answer, waits for one that is being made, or finds out what became of an
// attempt whose holder is gone. It returns free if that attempt did not run
// and may be replaced.
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

// resolveAbandoned asks the upstream of an abandoned attempt what became of it. The
// question fences an attempt that had not arrived.
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
