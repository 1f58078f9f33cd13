// Package dispatcher runs a caller's request from admission to a complete
// response, or to a refusal that says truthfully whether the request may have
// run. It combines the limiter, the connectors, the retry budget and the claims.
package dispatcher

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"cranberrystack.dev/cranberrystack/claimer"
	"cranberrystack.dev/cranberrystack/configurer"
	"cranberrystack.dev/cranberrystack/connector"
	"cranberrystack.dev/cranberrystack/identifier"
	"cranberrystack.dev/cranberrystack/limiter"
	"cranberrystack.dev/cranberrystack/recorder"
	"cranberrystack.dev/cranberrystack/registrar"
	"cranberrystack.dev/cranberrystack/retrier"
	"cranberrystack.dev/cranberrystack/router"
)

// ErrNoSuchPlan reports a plan that does not exist or does not belong to the
// caller, or a team that is not one of the plan's.
var ErrNoSuchPlan = eris.New("no such plan")

// ErrInProgress reports a key whose request is running or may have run. Its
// outcome is unknown so far.
var ErrInProgress = eris.New("request with this key is in progress")

// ErrResponseDiscarded reports a key whose request has run or may have run, and
// whose response is no longer stored.
var ErrResponseDiscarded = eris.New("request ran before under this key and its answer is no longer kept")

// ErrShuttingDown reports an instance that accepts no new requests because it is
// shutting down.
var ErrShuttingDown = eris.New("instance is shutting down")

// Request is a request of a caller.
type Request struct {
	Member        identifier.MemberID
	Plan          identifier.PlanID
	Team          identifier.TeamID
	Kind          string
	Class         limiter.Class
	Deadline      time.Time
	NonIdempotent bool
	// Key is the idempotency key; it is empty if the caller never sends the
	// request again. It is used only if NonIdempotent is set.
	Key         identifier.RequestKey
	ContentType string
	Body        []byte
}

// Refusal is the error for a request that got no response.
type Refusal struct {
	// NotRun is true only if the request has not run and never will.
	NotRun bool
	Cause  error
	// RetryAfter is how long the caller should wait before it retries; 0 leaves
	// that open.
	RetryAfter time.Duration
}

// Error returns whether the request has not run, and the cause.
func (r *Refusal) Error() string {
	if r.NotRun {
		return "not run: " + r.Cause.Error()
	}
	return "outcome unknown: " + r.Cause.Error()
}

// Unwrap returns the cause.
func (r *Refusal) Unwrap() error { return r.Cause }

// Dispatcher serves the requests of one entry instance. It is safe for
// concurrent use.
type Dispatcher struct {
	self      identifier.InstanceID
	registrar *registrar.Registrar
	claims    *claimer.Claimer
	recorder  *recorder.Recorder
	estimator *limiter.Estimator
	budget    *retrier.Budget
	dial      connector.Dial
	options   options
	// view returns the view of the plans and allowances in force.
	view func() configurer.View

	// mu guards the fields below. It is never held during I/O.
	mu         sync.Mutex
	slots      *limiter.Core
	connectors map[identifier.UpstreamID]*upstreamConn
	// stopping is set by Drain; new requests are then refused.
	stopping bool
	// inFlight counts the requests and the attempts in progress.
	inFlight sync.WaitGroup

	stop chan struct{}
	done sync.WaitGroup
}

// upstreamConn is the connector to one process of an upstream.
type upstreamConn struct {
	target    connector.Target
	connector *connector.Connector
}

// Dependencies holds the collaborators of a Dispatcher.
type Dependencies struct {
	Self      identifier.InstanceID
	Registrar *registrar.Registrar
	Claims    *claimer.Claimer
	Recorder  *recorder.Recorder
	Dial      connector.Dial
	// View returns the view of the plans and allowances in force.
	View func() configurer.View
	// Entries returns the ids of the live entry instances of the data centre.
	Entries func() []identifier.InstanceID
}

// New returns a dispatcher. It has no slots until Start.
func New(dependencies Dependencies, opts ...Option) *Dispatcher {
	o := newOptions(opts...)
	o.liveEntries = dependencies.Entries
	return &Dispatcher{
		self: dependencies.Self, registrar: dependencies.Registrar, claims: dependencies.Claims,
		recorder: dependencies.Recorder, dial: dependencies.Dial, view: dependencies.View, options: o,
		estimator: limiter.NewEstimator(), budget: retrier.New(),
		slots:      limiter.NewCore(o.limiterOptions...),
		connectors: map[identifier.UpstreamID]*upstreamConn{},
		stop:       make(chan struct{}),
	}
}

// Start loads the present upstreams and lists and starts to refresh them.
func (d *Dispatcher) Start() {
	d.Refresh(time.Now())
	d.done.Go(d.refreshLoop)
}

func (d *Dispatcher) refreshLoop() {
	ticker := time.NewTicker(d.options.refreshInterval)
	defer ticker.Stop()
	for {
		select {
		case <-d.stop:
			return
		case now := <-ticker.C:
			d.Refresh(now)
		}
	}
}

// Refresh updates the slots and the guaranteed shares from the present
// upstreams, entry instances and lists, and reports overdue requests to the
// estimator.
func (d *Dispatcher) Refresh(now time.Time) {
	upstreams, _ := d.registrar.Ready(now)
	view := d.view()
	shares := map[identifier.PlanID]float64{}
	for _, allowance := range view.Lists.Allowances {
		shares[allowance.Plan] += allowance.RequestShare
	}
	entries := d.options.liveEntries()
	d.mu.Lock()
	defer d.mu.Unlock()
	usable := upstreams[:0:0]
	for _, upstream := range upstreams {
		if d.connectorFor(upstream).Available(now) {
			usable = append(usable, upstream)
		}
	}
	d.closeUnusedConnectors()
	d.slots.SetShares(shares)
	d.slots.SetSlots(router.OwnedSlots(d.self, entries, usable), now)
	d.slots.Tick(now)
	for _, ticket := range d.slots.TakeOverdue() {
		d.estimator.ObserveOverdue(ticket.Member, ticket.Kind, ticket.Elapsed(now))
	}
}

// connectorFor returns the connector of an upstream. It is a new one if the
// upstream has restarted or moved. The caller holds mu.
func (d *Dispatcher) connectorFor(upstream registrar.Upstream) *connector.Connector {
	target := connector.Target{Address: upstream.Address, Incarnation: upstream.Incarnation}
	existing, found := d.connectors[upstream.ID]
	if found && existing.target == target {
		return existing.connector
	}
	if found {
		existing.connector.Close()
	}
	created := connector.New(target, d.dial, d.options.connectorOptions...)
	d.connectors[upstream.ID] = &upstreamConn{target: target, connector: created}
	return created
}

// closeUnusedConnectors closes the connectors of upstreams that are no longer
// registered. The caller holds mu.
func (d *Dispatcher) closeUnusedConnectors() {
	for id, existing := range d.connectors {
		if _, announced := d.registrar.Get(id); !announced {
			existing.connector.Close()
			delete(d.connectors, id)
		}
	}
}

// Drain refuses new requests and returns when all requests in progress have
// ended.
func (d *Dispatcher) Drain() {
	d.mu.Lock()
	d.stopping = true
	d.mu.Unlock()
	d.inFlight.Wait()
}

// Stop ends the refreshing and closes all connectors. Drain must be called
// first.
func (d *Dispatcher) Stop() {
	close(d.stop)
	d.done.Wait()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, existing := range d.connectors {
		existing.connector.Close()
	}
}

// Load returns the number of slots and their present use.
func (d *Dispatcher) Load() limiter.Load {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.slots.Load()
}

// Submit runs a request and returns its complete response, or a *Refusal. The
// context must end when the caller disconnects. An attempt under a key that is
// already running then continues, so that its response can be stored; any other
// request is cancelled.
func (d *Dispatcher) Submit(ctx context.Context, request Request) (connector.Response, error) {
	if !d.beginRequest() {
		refusal := &Refusal{NotRun: true, Cause: ErrShuttingDown, RetryAfter: d.options.shutdownRetryAfter}
		if request.keyed() {
			return d.refuseKeyed(ctx, request, claimOf(request), "", refusal)
		}
		return connector.Response{}, refusal
	}
	defer d.inFlight.Done()
	started := time.Now()
	response, err := d.submit(ctx, request)
	d.record(request, err, time.Since(started))
	return response, err
}

// beginRequest counts a request in inFlight, or returns false if the instance is
// draining.
func (d *Dispatcher) beginRequest() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stopping {
		return false
	}
	d.inFlight.Add(1)
	return true
}

// record counts the outcome of a request and measures answered ones.
func (d *Dispatcher) record(request Request, err error, took time.Duration) {
	outcome := "answered"
	var refusal *Refusal
	switch {
	case errors.As(err, &refusal) && refusal.NotRun:
		outcome = "not-run"
	case err != nil:
		outcome = "outcome-unknown"
	}
	d.recorder.Add("requests."+outcome, 1)
	if err == nil {
		series := recorder.Series{Name: "request", Member: request.Member, Class: string(request.Class)}
		_ = d.recorder.Observe(series, took)
	}
}

func (d *Dispatcher) submit(ctx context.Context, request Request) (connector.Response, error) {
	kindWeights, known := d.findPlan(request)
	if !known {
		return connector.Response{}, &Refusal{NotRun: true, Cause: ErrNoSuchPlan}
	}
	d.budget.RecordRequest(request.Plan, time.Now())
	if request.keyed() {
		return d.submitKeyed(ctx, request, kindWeights)
	}
	return d.runWithoutClaim(ctx, request, kindWeights)
}

// findPlan returns the weights of a plan's kinds of request, or false if the
// caller has no such plan or the plan has no such team.
func (d *Dispatcher) findPlan(request Request) (weights, bool) {
	view := d.view()
	plan, known := view.Plan(request.Plan)
	if !known || plan.Member != request.Member {
		return nil, false
	}
	if !hasTeam(plan, request.Team) {
		return nil, false
	}
	result := weights{}
	for _, allowance := range view.Lists.Allowances {
		if allowance.Plan != request.Plan {
			continue
		}
		for _, kind := range allowance.Kinds {
			result[kind.Kind] = kind.Weight
		}
	}
	return result, true
}

func hasTeam(plan configurer.Plan, team identifier.TeamID) bool {
	for _, known := range plan.Teams {
		if known.ID == team {
			return true
		}
	}
	return team == "" && len(plan.Teams) == 0
}

// weights holds the value of one response of each kind of request. A kind that
// is not listed has the weight 1.
type weights map[string]float64

func (w weights) of(kind string) float64 {
	if weight, listed := w[kind]; listed {
		return weight
	}
	return 1
}

// grantedSlot is a slot that the limiter granted, with the connector to its
// upstream.
type grantedSlot struct {
	ticket    *limiter.Ticket
	upstream  identifier.UpstreamID
	target    connector.Target
	connector *connector.Connector
}

// admit waits until the limiter grants a slot. Its error is always a *Refusal
// with NotRun set.
func (d *Dispatcher) admit(ctx context.Context, request Request, kindWeights weights, avoidUpstream identifier.UpstreamID) (grantedSlot, error) {
	ticket := limiter.NewTicket()
	ticket.Member, ticket.Plan, ticket.Team = request.Member, request.Plan, request.Team
	ticket.Kind, ticket.Deadline, ticket.AvoidUpstream = request.Kind, request.Deadline, avoidUpstream
	ticket.Weight = kindWeights.of(request.Kind)
	ticket.Class, ticket.ExpectedRunTime = d.estimator.Estimate(request.Member, request.Kind, request.Class)
	d.mu.Lock()
	d.slots.Offer(ticket, time.Now())
	d.mu.Unlock()
	select {
	case outcome := <-ticket.Outcome:
		return d.slotForOutcome(ticket, outcome)
	case <-ctx.Done():
	}
	d.mu.Lock()
	withdrawn := d.slots.Withdraw(ticket)
	d.mu.Unlock()
	if !withdrawn {
		d.release(ticket)
	}
	return grantedSlot{}, &Refusal{NotRun: true, Cause: fmt.Errorf("caller has gone: %w", ctx.Err())}
}

// slotForOutcome returns the granted slot of a ticket, or a *Refusal if the
// ticket was refused or its upstream was removed in the meantime.
func (d *Dispatcher) slotForOutcome(ticket *limiter.Ticket, outcome limiter.Outcome) (grantedSlot, error) {
	if outcome.Err != nil {
		return grantedSlot{}, &Refusal{NotRun: true, Cause: outcome.Err, RetryAfter: outcome.RetryAfter}
	}
	d.mu.Lock()
	existing, found := d.connectors[outcome.Slot.Upstream]
	d.mu.Unlock()
	if !found {
		d.release(ticket)
		return grantedSlot{}, &Refusal{NotRun: true, Cause: limiter.ErrNoUpstream, RetryAfter: d.options.shutdownRetryAfter}
	}
	return grantedSlot{ticket: ticket, upstream: outcome.Slot.Upstream, target: existing.target, connector: existing.connector}, nil
}

func (d *Dispatcher) release(ticket *limiter.Ticket) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.slots.Release(ticket, time.Now())
}

func newAttempt(request Request) connector.Attempt {
	return connector.Attempt{
		ID: identifier.AttemptID(uuid.NewString()), Member: request.Member, Team: request.Team,
		Kind: request.Kind, Deadline: request.Deadline, ContentType: request.ContentType,
		Body: request.Body, NonIdempotent: request.NonIdempotent,
	}
}

// run sends one attempt and records its run time if it is answered. The caller has
// to release the slot. If the attempt fails and the upstream is not available any
// more, its slots are removed at once.
func (d *Dispatcher) run(ctx context.Context, granted grantedSlot, request Request, attempt connector.Attempt) (connector.Response, error) {
	started := time.Now()
	response, err := granted.connector.Run(ctx, attempt)
	switch {
	case err == nil:
		d.estimator.Observe(request.Member, request.Kind, time.Since(started))
	case !granted.connector.Available(time.Now()):
		d.Refresh(time.Now())
	}
	return response, err
}

// mayRetry takes a retry from the plan's budget. It returns false if the budget
// is empty or the deadline has passed.
func (d *Dispatcher) mayRetry(request Request) bool {
	now := time.Now()
	return now.Before(request.Deadline) && d.budget.AllowRetry(request.Plan, now)
}

// requestDigest returns a hash of plan, team, kind and body. It shows whether two
// requests under the same key are the same request.
func requestDigest(request Request) uint64 {
	hash := xxhash.New()
	_, _ = hash.WriteString(string(request.Plan) + "\x00" + string(request.Team) + "\x00" + request.Kind + "\x00")
	_, _ = hash.Write(request.Body)
	return hash.Sum64()
}
