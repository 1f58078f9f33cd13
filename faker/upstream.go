package faker

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"cranberrystack.dev/cranberrystack/connector"
	"cranberrystack.dev/cranberrystack/identifier"
)

const (
	announceInterval   = time.Second
	firstProgressDelay = 200 * time.Millisecond
	progressInterval   = time.Second
	attemptRetention   = 10 * time.Minute
	maxRequestBytes    = 8 << 20
	announcePath       = "/v1/upstreams/announce"
)

type upstreamAnnouncement struct {
	ID          identifier.UpstreamID  `json:"id"`
	Address     string                 `json:"address"`
	Slots       int                    `json:"slots"`
	State       string                 `json:"state"`
	Incarnation identifier.Incarnation `json:"incarnation"`
	Sequence    uint64                 `json:"sequence"`
}

// UpstreamRequest is one request as an upstream sees it.
type UpstreamRequest struct {
	Attempt identifier.AttemptID
	Member  identifier.MemberID
	Kind    string
	Body    string
}

// Upstream is a fake upstream. It implements the protocol that docs/API.md requires
// of one.
type Upstream struct {
	ID    identifier.UpstreamID
	Slots int
	// Run does the work and returns the response body. The default returns at
	// once.
	Run func(ctx context.Context, request UpstreamRequest) string
	// InterceptResponse, if set, may write another response or close the connection.
	// It reports whether it did; if not, the normal response is sent.
	InterceptResponse func(w http.ResponseWriter, request UpstreamRequest, body string) bool

	// QueueExcess makes requests beyond the slots wait instead of being refused.
	QueueExcess bool

	host        Host
	incarnation identifier.Incarnation
	server      *http.Server
	queue       chan struct{}

	mu       sync.Mutex
	attempts map[identifier.AttemptID]*attempt
	running  int
	draining bool
	sequence uint64
	// runs counts how often each request body was run.
	runs map[string]int

	stop chan struct{}
	done sync.WaitGroup
}

type attempt struct {
	finished chan struct{}
	ended    time.Time
	status   int
	body     string
	// barred reports that the attempt never ran and never will.
	barred bool
}

// NewUpstream returns an upstream that is not yet started.
func NewUpstream(id identifier.UpstreamID, slots int, host Host) *Upstream {
	return &Upstream{
		ID: id, Slots: slots, host: host, incarnation: newIncarnation(time.Now()),
		Run:      func(_ context.Context, request UpstreamRequest) string { return "done " + request.Body },
		attempts: map[identifier.AttemptID]*attempt{}, runs: map[string]int{},
		stop: make(chan struct{}),
	}
}

// Start serves requests and announces the upstream every second.
func (u *Upstream) Start() {
	u.queue = make(chan struct{}, u.Slots)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run", u.handleRun)
	mux.HandleFunc("GET /attempts/{id}", u.handleAttempt)
	u.server = &http.Server{Handler: mux, ReadHeaderTimeout: 10 * time.Second}
	u.done.Go(func() { _ = u.server.Serve(u.host.Listener) })
	u.done.Go(u.announce)
}

// Drain refuses new requests and announces that the upstream is draining.
func (u *Upstream) Drain() {
	u.mu.Lock()
	u.draining = true
	u.mu.Unlock()
	u.announceOnce(newEntryClient(u.host, announcePath, announceInterval))
}

// Stop closes the upstream and all its connections at once.
func (u *Upstream) Stop() {
	close(u.stop)
	_ = u.server.Close()
	u.done.Wait()
}

// Address returns the address that the upstream listens on.
func (u *Upstream) Address() string { return u.host.address() }

// IncarnationText returns the incarnation as the protocol writes it.
func (u *Upstream) IncarnationText() string {
	return strconv.FormatUint(uint64(u.incarnation), 10)
}

// Runs returns how often each request body was run.
func (u *Upstream) Runs() map[string]int {
	u.mu.Lock()
	defer u.mu.Unlock()
	copied := map[string]int{}
	for body, count := range u.runs {
		copied[body] = count
	}
	return copied
}

func (u *Upstream) announce() {
	client := newEntryClient(u.host, announcePath, announceInterval)
	defer client.messenger.Close()
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		u.announceOnce(client)
		select {
		case <-u.stop:
			return
		case <-ticker.C:
		}
	}
}

func (u *Upstream) announceOnce(client *entryClient) {
	u.mu.Lock()
	u.sequence++
	state := "ready"
	if u.draining {
		state = "leaving"
	}
	message := upstreamAnnouncement{
		ID: u.ID, Address: u.Address(), Slots: u.Slots, State: state,
		Incarnation: u.incarnation, Sequence: u.sequence,
	}
	u.mu.Unlock()
	_ = client.send(message, nil)
}

func (u *Upstream) handleRun(w http.ResponseWriter, r *http.Request) {
	id := identifier.AttemptID(r.Header.Get(connector.HeaderAttempt))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		return
	}
	request := UpstreamRequest{
		Attempt: id, Body: string(body), Kind: r.Header.Get(connector.HeaderKind),
		Member: identifier.MemberID(r.Header.Get(connector.HeaderMember)),
	}
	current, reason := u.beginAttempt(request, r.Header.Get(connector.HeaderIncarnation))
	if reason != "" {
		u.respondNotRun(w, id, reason)
		return
	}
	ctx := r.Context()
	if r.Header.Get(connector.HeaderNonIdempotent) != "" {
		ctx = context.WithoutCancel(ctx)
	}
	go u.execute(ctx, current, request)
	u.sendProgress(w, current)
	u.mu.Lock()
	responseBody := current.body
	u.mu.Unlock()
	if u.InterceptResponse != nil && u.InterceptResponse(w, request, responseBody) {
		return
	}
	u.respond(w, id, http.StatusOK, responseBody)
}

// beginAttempt registers an attempt, or returns the reason why it will not run.
func (u *Upstream) beginAttempt(request UpstreamRequest, incarnation string) (*attempt, string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	switch {
	case incarnation != u.IncarnationText():
		return nil, connector.NotRunRestarted
	case u.attempts[request.Attempt] != nil:
		return nil, "repeated"
	case u.draining:
		return nil, connector.NotRunDraining
	case u.running >= u.Slots && !u.QueueExcess:
		return nil, connector.NotRunBusy
	}
	u.pruneAttempts(time.Now())
	started := &attempt{finished: make(chan struct{})}
	u.attempts[request.Attempt] = started
	u.running++
	u.runs[request.Body]++
	return started, ""
}

// pruneAttempts removes attempts that ended more than attemptRetention ago. It scans
// them only once in about pruneEvery additions, to limit its cost. The caller holds
// mu.
func (u *Upstream) pruneAttempts(now time.Time) {
	const pruneEvery = 4096
	if len(u.attempts)%pruneEvery != pruneEvery-1 {
		return
	}
	for id, old := range u.attempts {
		if !old.ended.IsZero() && now.Sub(old.ended) > attemptRetention {
			delete(u.attempts, id)
		}
	}
}

// execute runs the work of an attempt and records its result.
func (u *Upstream) execute(ctx context.Context, current *attempt, request UpstreamRequest) {
	if u.QueueExcess {
		u.queue <- struct{}{}
		defer func() { <-u.queue }()
	}
	body := u.Run(ctx, request)
	u.mu.Lock()
	defer u.mu.Unlock()
	current.status, current.body, current.ended = http.StatusOK, body, time.Now()
	u.running--
	close(current.finished)
}

// sendProgress sends status 102 (Processing) at intervals until the attempt has
// finished.
func (u *Upstream) sendProgress(w http.ResponseWriter, current *attempt) {
	timer := time.NewTimer(firstProgressDelay)
	defer timer.Stop()
	for {
		select {
		case <-current.finished:
			return
		case <-timer.C:
			w.WriteHeader(http.StatusProcessing)
			timer.Reset(progressInterval)
		}
	}
}

func (u *Upstream) setHeaders(w http.ResponseWriter, id identifier.AttemptID) {
	w.Header().Set(connector.HeaderAttempt, string(id))
	w.Header().Set(connector.HeaderIncarnation, u.IncarnationText())
}

func (u *Upstream) respond(w http.ResponseWriter, id identifier.AttemptID, status int, body string) {
	u.setHeaders(w, id)
	w.Header().Set("Content-Type", "text/plain")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = io.Copy(w, strings.NewReader(body))
}

func (u *Upstream) respondNotRun(w http.ResponseWriter, id identifier.AttemptID, reason string) {
	w.Header().Set(connector.HeaderNotRun, reason)
	u.respond(w, id, http.StatusServiceUnavailable, fmt.Sprintf("not run: %s", reason))
}

// handleAttempt responds with the outcome of an attempt. An unknown attempt is
// barred: it is recorded so that it never runs.
func (u *Upstream) handleAttempt(w http.ResponseWriter, r *http.Request) {
	id := identifier.AttemptID(r.PathValue("id"))
	u.mu.Lock()
	current, known := u.attempts[id]
	if !known {
		current = &attempt{barred: true, ended: time.Now()}
		u.attempts[id] = current
	}
	running := !current.barred && current.ended.IsZero()
	status, body := current.status, current.body
	u.mu.Unlock()
	switch {
	case current.barred:
		w.Header().Set(connector.HeaderNotRun, connector.NotRunUnknown)
		u.respond(w, id, http.StatusNotFound, "")
	case running:
		u.respond(w, id, http.StatusAccepted, "")
	default:
		w.Header().Set(connector.HeaderStatus, strconv.Itoa(status))
		u.respond(w, id, http.StatusOK, body)
	}
}

// Sleep waits until the time has passed or the context ends, in which case it
// returns the error of the context. Run functions may use it.
func Sleep(ctx context.Context, wait time.Duration) error {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return errors.Join(ctx.Err())
	}
}
