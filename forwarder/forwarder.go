// Package forwarder brings calls to the instance that decides them. Every
// instance has one: it knows the leader, follows it when it changes, and says
// at once when nobody can decide.
package forwarder

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"sync"
	"time"

	"cranberrystack.dev/cranberrystack/identifier"
	"cranberrystack.dev/cranberrystack/responder"
)

// Path is where instances take calls from each other.
const Path = "/calls"

// StatusPath is where instances say who leads.
const StatusPath = "/status"

// Kind says what a call asks.
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
)

// mutates reports whether carrying a call out mutates anything.
func (k Kind) mutates() bool {
	switch k {
	case KindState, KindReadCatalog, KindWaveProgress, KindExplain, KindOverview:
		return false
	}
	return true
}

// Call is a question or an order to the system. Which fields are used depends
// on the kind.
type Call struct {
	Kind Kind `json:"kind"`
	// Host and Path are the address that the caller used; they choose the queue
	// and the job.
	Host string `json:"host,omitempty"`
	Path string `json:"path,omitempty"`
	// Key is what the caller presents.
	Key    string              `json:"key,omitempty"`
	Worker identifier.WorkerID `json:"worker,omitempty"`
	Wave   int64               `json:"wave,omitempty"`
	// Document is the body, passed on as it came.
	Document json.RawMessage `json:"document,omitempty"`
}

// CodeOK is the code of an answer that is no problem.
const CodeOK responder.Code = "ok"

// CodeNotLeader is that of an instance that can't decide.
const CodeNotLeader responder.Code = "not-leader"

// CodeNoSuchJob says that no such job exists.
const CodeNoSuchJob responder.Code = "no-such-job"

// Answer is the final answer to a call.
type Answer struct {
	Code   responder.Code `json:"code"`
	Reason string         `json:"reason,omitempty"`
	// RetryAfterMillis says when to come back; 0 leaves it open.
	RetryAfterMillis int64           `json:"retry-after-ms,omitempty"`
	Document         json.RawMessage `json:"document,omitempty"`
	// Leader is the address of the leader, if the answer is CodeNotLeader.
	Leader string `json:"leader,omitempty"`
}

// OK reports whether the answer is no problem.
func (a *Answer) OK() bool { return a.Code == CodeOK }

// Status says who leads, as an instance knows it.
type Status struct {
	Leader string `json:"leader,omitempty"`
	// HoldsLeaderLease says that the instance itself leads.
	HoldsLeaderLease bool `json:"rules,omitempty"`
	// Members are the addresses of the instances that hold the log.
	Members []string `json:"members,omitempty"`
	// ReportTo is where workers reach the instance that answers.
	ReportTo string `json:"report-to,omitempty"`
}

// Handler decides calls on the leader.
type Handler func(ctx context.Context, call Call) Answer

// Post sends a message to an instance and decodes the answer.
type Post func(ctx context.Context, address, path string, in, out any) error

// Get fetches a path from an instance.
type Get func(ctx context.Context, address, path string, out any) error

// Config sets up a forwarder.
type Config struct {
	// Address is this instance's own.
	Address string
	Post    Post
	Get     Get
	// NotSent is what errors of Post wrap if nothing was sent.
	NotSent error
	// Local decides calls here; nil on instances that never lead.
	Local Handler
	// Event is called when the known leader changes or is lost.
	Event func(event, leader string)
}

// Forwarder forwards calls. It is safe for concurrent use.
type Forwarder struct {
	config  Config
	options options

	mu         sync.Mutex
	leader     string
	seeds      []string
	members    []string
	nextTarget int
	// confirmedAt is when the leader last answered.
	confirmedAt time.Time
	// reportedLeader is the leader that was last reported as found, empty once it was
	// reported as lost.
	reportedLeader string
}

// New returns a forwarder that begins with the seeds.
func New(config Config, seeds []string, opts ...Option) *Forwarder {
	return &Forwarder{config: config, options: newOptions(opts...), seeds: seeds}
}

// SetSeeds replaces the addresses to begin with.
func (f *Forwarder) SetSeeds(seeds []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seeds = seeds
}

// Addresses returns the addresses of all instances that may know the leader.
func (f *Forwarder) Addresses() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.addresses()
}

func (f *Forwarder) addresses() []string {
	var all []string
	for _, address := range append(append([]string(nil), f.members...), f.seeds...) {
		if address != "" && address != f.config.Address && !slices.Contains(all, address) {
			all = append(all, address)
		}
	}
	return all
}

// Ready reports whether the leader answered lately.
func (f *Forwarder) Ready(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.confirmedAt.IsZero() && now.Sub(f.confirmedAt) < f.options.readyTimeout
}

// Do brings a call to the leader and returns its answer. A call that nobody
// can decide is refused at once as unavailable; one whose outcome is unknown is
// asked again for a short time, and then answered as outcome-unknown.
func (f *Forwarder) Do(ctx context.Context, call Call) Answer {
	start := time.Now()
	unknown := false
	timeout := f.options.tryTimeout
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

// retryTimeout returns how long a call may be tried.
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

// attempt asks the presumed leader, or the next instance that may know it.
func (f *Forwarder) attempt(ctx context.Context, call Call, timeout time.Duration) (Answer, error) {
	target := f.target()
	if target == "" || f.searching() {
		return Answer{Code: CodeNotLeader}, nil
	}
	var answer Answer
	if target == f.config.Address {
		answer = f.config.Local(ctx, call)
	} else {
		tryCtx, cancel := context.WithTimeout(ctx, timeout)
		err := f.config.Post(tryCtx, target, Path, call, &answer)
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

// searching reports whether no leader is known and TrackLeader looks for one, so
// that calls need not.
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

func (f *Forwarder) markUnreachable(leader string) {
	f.mu.Lock()
	if f.leader == leader {
		f.leader = ""
	}
	lost := f.reportedLeader == leader
	if lost {
		f.reportedLeader = ""
	}
	f.mu.Unlock()
	if lost && f.config.Event != nil {
		f.config.Event("leader-lost", leader)
	}
}

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

// TrackLeader keeps knowing the leader until ctx ends.
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

// pollLeader asks the leader whether it still leads, or others who does.
func (f *Forwarder) pollLeader(ctx context.Context) {
	const maxAttempts = 4
	for i := 0; i < maxAttempts && ctx.Err() == nil; i++ {
		target := f.target()
		if target == "" {
			return
		}
		var status Status
		tryCtx, cancel := context.WithTimeout(ctx, f.options.tryTimeout)
		err := f.config.Get(tryCtx, target, StatusPath, &status)
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
