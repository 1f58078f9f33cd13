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
		Digest: digest(request),
	}
}

// submitKeyed runs a non-idempotent request at most once, or gives the answer
// that an earlier send of it got.
func (d *Dispatcher) submitKeyed(ctx context.Context, request Request, plan weights) (connector.Response, error) {
	wanted := claimOf(request)
	if existing, known := d.claims.Lookup(wanted.ID); known {
		answer, free, err := d.followClaim(ctx, request, wanted, existing)
		if !free {
			return answer, err
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
	var avoid identifier.UpstreamID
	for {
		at, err := d.admit(waitCtx, request, plan, avoid)
		if err != nil {
			return d.refuseKeyed(ctx, request, wanted, replaces, err)
		}
		attempt := newAttempt(request)
		wanted.Attempt, wanted.Target = attempt.ID, at.target
		existing, won, err := d.acquire(waitCtx, wanted, replaces)
		if err != nil {
			d.release(at.ticket)
			return connector.Response{}, unclaimed(err)
		}
		if !won {
			d.release(at.ticket)
			answer, free, err := d.followClaim(ctx, request, wanted, existing)
			if !free {
				return answer, err
			}
			replaces = existing.Attempt
			continue
		}
		answer, err := d.runClaimed(ctx, at, request, attempt, wanted)
		if !errors.Is(err, connector.ErrNotRun) {
			return answer, finalKeyed(err)
		}
		if !d.mayRetry(request) || ctx.Err() != nil {
			d.claims.Release(wanted.ID, attempt.ID)
			return connector.Response{}, &Refusal{NotRun: true, Cause: err, RetryAfter: d.options.stoppingWait}
		}
		replaces, avoid = attempt.ID, at.upstream
	}
}

// refuseKeyed ends a send of which no further attempt is made, and gives a key
// back that it holds. held names an attempt that has not run. A refusal
// promises that the key's request has not run, so an earlier send of it that
// this instance does not know of has to be ruled out first.
func (d *Dispatcher) refuseKeyed(ctx context.Context, request Request, wanted claimer.Claim, held identifier.AttemptID, refusal error) (connector.Response, error) {
	if held != "" {
		d.claims.Release(wanted.ID, held)
		return connector.Response{}, refusal
	}
	claim, known, certain := d.claims.Confirm(ctx, wanted.ID)
	if !certain {
		return connector.Response{}, unclaimed(fmt.Errorf("not run by this send (%v), whether by an earlier one is not known: %w", refusal, claimer.ErrNoQuorum))
	}
	if !known {
		return connector.Response{}, refusal
	}
	answer, free, err := d.followClaim(ctx, request, wanted, claim)
	if free {
		return connector.Response{}, refusal
	}
	return answer, err
}

// unclaimed is the refusal when the claim could not be settled. This send has
// not run, but an earlier one under the same key may have.
func unclaimed(err error) error {
	return &Refusal{Cause: err, RetryAfter: inProgressReturn}
}

func finalKeyed(err error) error {
	if err == nil {
		return nil
	}
	if errors.Is(err, ErrInProgress) {
		return &Refusal{Cause: err, RetryAfter: inProgressReturn}
	}
	return &Refusal{Cause: err}
}

// acquire claims the key, again if others who wanted it at the same moment
// kept each other from a majority.
func (d *Dispatcher) acquire(ctx context.Context, wanted claimer.Claim, replaces identifier.AttemptID) (claimer.Claim, bool, error) {
	for try := 0; ; try++ {
		existing, won, err := d.claims.Acquire(ctx, wanted, replaces)
		contended := err == nil && !won && existing.State == claimer.StateClaimed && existing.Attempt != replaces
		if !contended || try == claimRetries || d.claims.Running(ctx, existing) {
			return existing, won, err
		}
		wait := time.Duration(rand.Int64N(int64(claimRetryWait))) << try
		select {
		case <-ctx.Done():
			return existing, won, err
		case <-time.After(wait):
		}
	}
}

// runClaimed runs a claimed attempt to its end, also when the caller has gone
// or the deadline has passed, and keeps the outcome.
func (d *Dispatcher) runClaimed(ctx context.Context, at place, request Request, attempt connector.Attempt, claim claimer.Claim) (connector.Response, error) {
	type result struct {
		answer connector.Response
		err    error
	}
	finished := make(chan result, 1)
	d.inFlight.Add(1)
	go func() {
		defer d.inFlight.Done()
		limit := request.Deadline.Add(d.options.overrun)
		runCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), limit)
		defer cancel()
		answer, err := d.run(runCtx, at, request, attempt)
		d.release(at.ticket)
		d.finish(claim, answer, err)
		finished <- result{answer, err}
	}()
	waitCtx, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	select {
	case r := <-finished:
		return r.answer, r.err
	case <-waitCtx.Done():
		return connector.Response{}, fmt.Errorf("deadline passed while it ran: %w", ErrInProgress)
	}
}

// finish keeps what became of a claimed attempt. A claim whose attempt did not
// run is left for the caller to replace or release.
func (d *Dispatcher) finish(claim claimer.Claim, answer connector.Response, err error) {
	switch {
	case err == nil:
		claim.State = claimer.StateAnswered
		claim.Answer = &answer
	case errors.Is(err, connector.ErrNotRun):
		d.claims.MarkInactive(claim.Attempt)
		return
	default:
		claim.State = claimer.StateUnknown
	}
	d.claims.Finish(claim)
}

// followClaim deals with a key that is claimed already. It returns the kept
// answer, waits for one that is being made, or finds out what became of an
// attempt whose holder is gone. It returns free if that attempt did not run
// and may be replaced.
func (d *Dispatcher) followClaim(ctx context.Context, request Request, wanted, existing claimer.Claim) (answer connector.Response, free bool, err error) {
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
			return d.settle(waitCtx, existing)
		}
		select {
		case <-waitCtx.Done():
			return connector.Response{}, false, &Refusal{Cause: ErrInProgress, RetryAfter: inProgressReturn}
		case <-time.After(followInterval):
		}
		if latest, known := d.claims.Fetch(waitCtx, existing.ID); known {
			existing = latest
		}
	}
}

// settle asks the upstream of an abandoned attempt what became of it. The
// question fences an attempt that had not arrived.
func (d *Dispatcher) settle(ctx context.Context, claim claimer.Claim) (connector.Response, bool, error) {
	latest, known := d.claims.Fetch(ctx, claim.ID)
	if known && latest.State == claimer.StateAnswered {
		return *latest.Answer, false, nil
	}
	askCtx, cancel := context.WithTimeout(ctx, maxResolveTime)
	defer cancel()
	upstream := connector.New(claim.Target, d.dial, d.options.connectors...)
	defer upstream.Close()
	answer, err := upstream.Resolve(askCtx, claim.Attempt)
	switch {
	case err == nil:
		claim.State, claim.Answer = claimer.StateAnswered, &answer
		d.claims.Finish(claim)
		return answer, false, nil
	case errors.Is(err, connector.ErrNotRun):
		return connector.Response{}, true, nil
	}
	return connector.Response{}, false, &Refusal{Cause: err, RetryAfter: inProgressReturn}
}
