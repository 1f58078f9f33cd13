// Package forwarder sends calls to the leader. Every instance has a Forwarder,
// which tracks the leader and refuses calls after a short timeout while no leader
// can be reached.
package forwarder

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"cranberrystack.dev/cranberrystack/identifier"
	"cranberrystack.dev/cranberrystack/responder"
)

// Path is the path at which instances serve each other's calls.
const Path = "/calls"

// StatusPath is the path at which instances serve their Status.
const StatusPath = "/status"

// Kind is the kind of a call.
type Kind string

// The kinds of call.
const (
	KindSubmit       Kind = "submit"
	KindState        Kind = "state"
	KindCancel       Kind = "cancel"
	KindConfigure    Kind = "configure"
	KindReadCatalog  Kind = "read-catalog"
	KindReport       Kind = "report"
	KindLeave        Kind = "leave"
	KindStartWave    Kind = "start-wave"
	KindWaveProgress Kind = "wave-progress"
	KindExplain      Kind = "explain"
	KindOverview     Kind = "overview"

	KindEmptyDataCenter  Kind = "empty-data-center"
	KindReturnDataCenter Kind = "return-data-center"
	KindDataCenters      Kind = "data-centers"
	KindEstimates        Kind = "estimates"
)

// mutates reports whether calls of this kind change any state.
func (k Kind) mutates() bool {
	switch k {
	case KindState, KindReadCatalog, KindWaveProgress, KindExplain, KindOverview, KindDataCenters, KindEstimates:
		return false
	}
	return true
}

// Call is a request to the leader. Its kind determines which fields are used.
type Call struct {
	Kind Kind `json:"kind"`
	// Host and Path are those of the caller's request; they select the queue and
	// the job.
	Host string `json:"host,omitempty"`
	Path string `json:"path,omitempty"`
	// Key is the caller's key, which identifies its team.
	Key    string              `json:"key,omitempty"`
	Worker identifier.WorkerID `json:"worker,omitempty"`
	Wave   int64               `json:"wave,omitempty"`
	// DataCenter is the data centre that an order is about.
	DataCenter identifier.DataCenterID `json:"data-center,omitempty"`
	// IfVersion is the version that the data centre must have if the order would
	// change anything; nil means any.
	IfVersion *uint64 `json:"if-version,omitempty"`
	// Document is the request body, unchanged.
	Document json.RawMessage `json:"document,omitempty"`
}

// CodeOK is the code of a successful answer.
const CodeOK responder.Code = "ok"

// CodeNotLeader is the code of an answer from an instance that does not lead.
const CodeNotLeader responder.Code = "not-leader"

// CodeNoSuchJob says that the job does not exist for the caller's team.
const CodeNoSuchJob responder.Code = "no-such-job"

// Answer is the final answer to a call.
type Answer struct {
	Code   responder.Code `json:"code"`
	Reason string         `json:"reason,omitempty"`
	// RetryAfterMillis is how long the caller should wait before it retries;
	// 0 suggests no time.
	RetryAfterMillis int64           `json:"retry-after-ms,omitempty"`
	Document         json.RawMessage `json:"document,omitempty"`
	// Leader is the address of the leader, if the code is CodeNotLeader and the
	// leader is known.
	Leader string `json:"leader,omitempty"`
}

// Respond writes the answer as the response to a forwarded call. The document, which may be
// large, is neither encoded again nor copied.
func (a Answer) Respond(w http.ResponseWriter) error {
	document, end := a.Document, []byte("}")
	a.Document = nil
	start, err := json.Marshal(a)
	if err != nil {
		return fmt.Errorf("encode answer: %w", err)
	}
	if len(document) > 0 {
		start = append(bytes.TrimSuffix(start, end), `,"document":`...)
	} else {
		end = nil
	}
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	w.Header().Set("Content-Length", strconv.Itoa(len(start)+len(document)+len(end)))
	for _, part := range [][]byte{start, document, end} {
		if _, err := w.Write(part); err != nil {
			return fmt.Errorf("write answer: %w", err)
		}
	}
	return nil
}

// OK reports whether the call succeeded.
func (a *Answer) OK() bool { return a.Code == CodeOK }

// Status is an instance's view of the leader and the members.
type Status struct {
	Leader string `json:"leader,omitempty"`
	// HoldsLeaderLease says that the instance itself is the leader and its leader
	// lease is valid.
	HoldsLeaderLease bool `json:"rules,omitempty"`
	// Members are the addresses of the members of the log.
	Members []string `json:"members,omitempty"`
	// ReportTo is the address of the instance for workers.
	ReportTo string `json:"report-to,omitempty"`
}

// Handler carries out a call on this instance, or answers with CodeNotLeader.
type Handler func(ctx context.Context, call Call) Answer

// Post sends a message to an instance and decodes the response.
type Post func(ctx context.Context, address, path string, in, out any) error

// Get fetches a path from an instance.
type Get func(ctx context.Context, address, path string, out any) error

// Config holds the dependencies of a forwarder.
type Config struct {
	// Address is the address of this instance.
	Address string
	Post    Post
	Get     Get
	// NotSent is wrapped by errors of Post if nothing was sent.
	NotSent error
	// Local handles calls on this instance; nil on instances that never lead.
	Local Handler
	// Event is called with leader-found when another leader has responded, and
	// with leader-lost when the known one did not respond. It may be nil.
	Event func(event, leader string)
}

// Forwarder forwards calls to the leader. It is safe for concurrent use.
type Forwarder struct {
	config  Config
	options options

	// mu guards the fields below.
	mu         sync.Mutex
	leader     string
	seeds      []string
	members    []string
	nextTarget int
	// confirmedAt is when a leader last responded.
	confirmedAt time.Time
	// reportedLeader is the leader of the last leader-found event; empty after a
	// leader-lost event.
	reportedLeader string
}

// New returns a forwarder that knows no instances but the seeds.
func New(config Config, seeds []string, opts ...Option) *Forwarder {
	return &Forwarder{config: config, options: newOptions(opts...), seeds: seeds}
}

// SetSeeds replaces the addresses of the seeds.
func (f *Forwarder) SetSeeds(seeds []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seeds = seeds
}

// Addresses returns the addresses of all known instances except this one.
func (f *Forwarder) Addresses() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.addresses()
}

// addresses returns the members and the seeds except this instance. The caller
// holds mu.
func (f *Forwarder) addresses() []string {
	var all []string
	for _, address := range append(append([]string(nil), f.members...), f.seeds...) {
		if address != "" && address != f.config.Address && !slices.Contains(all, address) {
			all = append(all, address)
		}
	}
	return all
}

// Ready reports whether the leader responded within DefaultReadyTimeout.
func (f *Forwarder) Ready(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.confirmedAt.IsZero() && now.Sub(f.confirmedAt) < f.options.readyTimeout
}

// Do sends a call to the leader and returns its answer. If no leader can be
// reached within the leader timeout, it answers with CodeUnavailable; nothing was
// done then. If the call changes anything and may have been received, Do sends it
// again for up to DefaultUnknownOutcomeTimeout before it answers with
// CodeOutcomeUnknown. It lets an attempt that is under way at the end of these times
// run on. Once ctx has ended, Do answers likewise, without another attempt. A call that
// fails its Check is not sent.
func (f *Forwarder) Do(ctx context.Context, call Call) Answer {
	if err := call.Check(); err != nil {
		return Answer{Code: responder.CodeInvalid, Reason: err.Error()}
	}
	start := time.Now()
	unknown := false
	timeout := f.options.attemptTimeout
	for attempts := 0; ; attempts++ {
		answer, err := f.attempt(ctx, call, timeout)
		if err == nil && answer.Code != CodeNotLeader {
			return answer
		}
		if err != nil && call.Kind.mutates() && !errors.Is(err, f.config.NotSent) {
			unknown = true
		}
		if errors.Is(err, context.DeadlineExceeded) {
			timeout *= 2
		}
		if ctx.Err() != nil || time.Since(start) >= f.retryTimeout(unknown) {
			return f.failureAnswer(unknown)
		}
		if attempts > 0 {
			sleepContext(ctx, f.options.retryDelay)
		}
	}
}

// retryTimeout returns how long a call may be sent again.
func (f *Forwarder) retryTimeout(unknown bool) time.Duration {
	if unknown {
		return f.options.unknownOutcomeTimeout
	}
	return f.options.leaderTimeout
}

func (f *Forwarder) failureAnswer(unknown bool) Answer {
	retry := f.options.retryAfter.Milliseconds()
	if unknown {
		return Answer{Code: responder.CodeOutcomeUnknown, Reason: "no answer from the leader", RetryAfterMillis: retry}
	}
	return Answer{Code: responder.CodeUnavailable, Reason: "no leader can be reached; nothing was done", RetryAfterMillis: retry}
}

func sleepContext(ctx context.Context, delay time.Duration) {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// attempt sends a call once: to the presumed leader, else to this instance if it
// may lead, else to the next known instance. It answers with CodeNotLeader if it
// knows no instance or the call need not search.
func (f *Forwarder) attempt(ctx context.Context, call Call, timeout time.Duration) (Answer, error) {
	target := f.target()
	if target == "" || f.searching() {
		return Answer{Code: CodeNotLeader}, nil
	}
	var answer Answer
	if target == f.config.Address {
		answer = f.config.Local(ctx, call)
	} else {
		attemptCtx, cancel := context.WithTimeout(ctx, timeout)
		err := f.config.Post(attemptCtx, target, Path, call, &answer)
		cancel()
		if err != nil {
			f.markUnreachable(target)
			return Answer{}, err
		}
	}
	if answer.Code == CodeNotLeader {
		f.redirect(target, answer.Leader)
		return answer, nil
	}
	f.markLeader(target)
	return answer, nil
}

// searching reports whether no leader is known and TrackLeader searches for one,
// so that calls need not search.
func (f *Forwarder) searching() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.config.Local == nil && f.leader == "" && !f.confirmedAt.IsZero()
}

func (f *Forwarder) target() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.leader != "" {
		return f.leader
	}
	if f.config.Local != nil {
		return f.config.Address
	}
	all := f.addresses()
	if len(all) == 0 {
		return ""
	}
	f.nextTarget++
	return all[f.nextTarget%len(all)]
}

func (f *Forwarder) markLeader(leader string) {
	f.mu.Lock()
	changed := f.reportedLeader != leader
	f.leader, f.reportedLeader = leader, leader
	f.confirmedAt = time.Now()
	f.mu.Unlock()
	if changed && f.config.Event != nil {
		f.config.Event("leader-found", leader)
	}
}

func (f *Forwarder) markUnreachable(address string) {
	f.mu.Lock()
	if f.leader == address {
		f.leader = ""
	}
	lost := f.reportedLeader == address
	if lost {
		f.reportedLeader = ""
	}
	f.mu.Unlock()
	if lost && f.config.Event != nil {
		f.config.Event("leader-lost", address)
	}
}

// redirect records that the instance at from does not lead, and that it names
// the one at to as leader; to is empty if it knows none. If another leader has been
// found meanwhile, it stays.
func (f *Forwarder) redirect(from, to string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if to == from {
		to = ""
	}
	if f.leader == from || f.leader == "" {
		f.leader = to
	}
}

// TrackLeader polls the leader, and searches for it while none is known, until
// ctx ends.
func (f *Forwarder) TrackLeader(ctx context.Context) {
	for ctx.Err() == nil {
		f.pollLeader(ctx)
		f.mu.Lock()
		interval := f.options.pollInterval
		if f.leader == "" {
			interval = f.options.searchInterval
		}
		f.mu.Unlock()
		sleepContext(ctx, interval)
	}
}

// pollLeader queries the status of the known leader, and follows the hints of
// other instances if it does not lead any more. It makes at most 4 queries.
func (f *Forwarder) pollLeader(ctx context.Context) {
	const maxAttempts = 4
	for i := 0; i < maxAttempts && ctx.Err() == nil; i++ {
		target := f.target()
		if target == "" {
			return
		}
		var status Status
		attemptCtx, cancel := context.WithTimeout(ctx, f.options.attemptTimeout)
		err := f.config.Get(attemptCtx, target, StatusPath, &status)
		cancel()
		if err != nil {
			f.markUnreachable(target)
			continue
		}
		f.setMembers(status.Members)
		if status.HoldsLeaderLease {
			f.markLeader(target)
			return
		}
		f.redirect(target, status.Leader)
	}
}

func (f *Forwarder) setMembers(members []string) {
	if len(members) == 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.members = members
}
