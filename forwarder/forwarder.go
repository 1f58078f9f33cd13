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

// changes reports whether carrying a call out changes anything.
func (k Kind) changes() bool {
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

	mu      sync.Mutex
	leader  string
	seeds   []string
	members []string
	next    int
	// confirmed is when the leader last answered.
	confirmed time.Time
	// told is the leader that was last reported as found, empty once it was
	// reported as lost.
	told string
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
	return f.known()
}

func (f *Forwarder) known() []string {
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
	return !f.confirmed.IsZero() && now.Sub(f.confirmed) < f.options.silence
}

// Do brings a call to the leader and returns its answer. A call that nobody
// can decide is refused at once as unavailable; one whose outcome is unknown is
// asked again for a short time, and then answered as outcome-unknown.
func (f *Forwarder) Do(ctx context.Context, call Call) Answer {
	start := time.Now()
	unknown := false
	timeout := f.options.tryTimeout
	for tries := 0; ; tries++ {
		answer, err := f.try(ctx, call, timeout)
		if err == nil && answer.Code != CodeNotLeader {
			return answer
		}
		if err != nil && call.Kind.changes() && !errors.Is(err, f.config.NotSent) {
			unknown = true
		}
		if errors.Is(err, context.DeadlineExceeded) {
			timeout *= 2
		}
		if ctx.Err() != nil || time.Since(start) >= f.patience(unknown) {
			return f.refuse(unknown)
		}
		if tries > 0 {
			wait(ctx, f.options.pause)
		}
	}
}

// patience returns how long a call may be tried.
func (f *Forwarder) patience(unknown bool) time.Duration {
	if unknown {
		return f.options.unknownPatience
	}
	return f.options.patience
}

func (f *Forwarder) refuse(unknown bool) Answer {
	retry := f.options.retryAfter.Milliseconds()
	if unknown {
		return Answer{Code: responder.CodeOutcomeUnknown, Reason: "no answer from the leader", RetryAfterMillis: retry}
	}
	return Answer{Code: responder.CodeUnavailable, Reason: "no leader can be reached; nothing was done", RetryAfterMillis: retry}
}

func wait(ctx context.Context, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// try asks the presumed leader, or the next instance that may know it.
func (f *Forwarder) try(ctx context.Context, call Call, timeout time.Duration) (Answer, error) {
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
			f.lose(target)
			return Answer{}, err
		}
	}
	if answer.Code == CodeNotLeader {
		f.redirect(target, answer.Leader)
		return answer, nil
	}
	f.confirm(target)
	return answer, nil
}

// searching reports whether no leader is known and TrackLeader looks for one, so
// that calls need not.
func (f *Forwarder) searching() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.config.Local == nil && f.leader == "" && !f.confirmed.IsZero()
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
	all := f.known()
	if len(all) == 0 {
		return ""
	}
	f.next++
	return all[f.next%len(all)]
}

func (f *Forwarder) confirm(leader string) {
	f.mu.Lock()
	changed := f.told != leader
	f.leader, f.told = leader, leader
	f.confirmed = time.Now()
	f.mu.Unlock()
	if changed && f.config.Event != nil {
		f.config.Event("leader-found", leader)
	}
}

func (f *Forwarder) lose(leader string) {
	f.mu.Lock()
	if f.leader == leader {
		f.leader = ""
	}
	lost := f.told == leader
	if lost {
		f.told = ""
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
		f.refresh(ctx)
		f.mu.Lock()
		interval := f.options.interval
		if f.leader == "" {
			interval = f.options.search
		}
		f.mu.Unlock()
		wait(ctx, interval)
	}
}

// refresh asks the leader whether it still leads, or others who does.
func (f *Forwarder) refresh(ctx context.Context) {
	const tries = 4
	for i := 0; i < tries && ctx.Err() == nil; i++ {
		target := f.target()
		if target == "" {
			return
		}
		var status Status
		tryCtx, cancel := context.WithTimeout(ctx, f.options.tryTimeout)
		err := f.config.Get(tryCtx, target, StatusPath, &status)
		cancel()
		if err != nil {
			f.lose(target)
			continue
		}
		f.learn(status.Members)
		if status.HoldsLeaderLease {
			f.confirm(target)
			return
		}
		f.redirect(target, status.Leader)
	}
}

func (f *Forwarder) learn(members []string) {
	if len(members) == 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.members = members
}
