package requestmeter

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

type member struct {
	token, plan, team string
}

var (
	isuku = member{"isuku-token-0000001", "isuku-plan", "rounds"}
	nieve = member{"nieve-token-0000001", "nieve-plan", "routes"}
)

// stream describes requests of one kind with random arrivals. They are sent
// whether or not earlier ones have been answered.
type stream struct {
	member    member
	kind      string
	weight    float64
	perSecond float64
	deadline  time.Duration
}

// rampUp is the time at the start of a run that inWindow leaves out.
const rampUp = 2 * time.Second

// result counts requests by kind.
type result struct {
	mu      sync.Mutex
	offered map[string]int
	// answered counts the requests that got the right response before their
	// deadline.
	answered map[string]int
	// inWindow counts those answered between from and to, when the load is
	// steady.
	inWindow  map[string]int
	from, to  time.Time
	latencies map[string][]time.Duration
}

// p99 returns the 99th percentile of the latencies of a kind; 0 if there are
// none.
func (r *result) p99(kind string) time.Duration {
	latencies := r.latencies[kind]
	sort.Slice(latencies, func(i, j int) bool { return latencies[i] < latencies[j] })
	if len(latencies) == 0 {
		return 0
	}
	return latencies[len(latencies)*99/100]
}

// load sends requests to a system.
type load struct {
	// targets are the entries, followed by the reference server.
	targets []string
	// referenceAddress is that of a server that responds without a system in
	// between.
	referenceAddress string
	client           *http.Client
	seed             uint64
}

func newLoad(targets []string, seed uint64) *load {
	dialer := &net.Dialer{}
	transport := &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 512, MaxIdleConns: 4096}
	return &load{targets: targets, seed: seed, client: &http.Client{Transport: transport}, referenceAddress: targets[len(targets)-1]}
}

func (l *load) close() {
	l.client.CloseIdleConnections()
}

// warmUp sends requests of all kinds, from which the system learns run times.
func (l *load) warmUp() {
	l.run(3*time.Second, []stream{
		{member: isuku, kind: "photo", weight: 3, perSecond: 100, deadline: deadline},
		{member: isuku, kind: "match", weight: 1, perSecond: 100, deadline: deadline},
		{member: nieve, kind: "load", weight: 3, perSecond: 100, deadline: deadline},
		{member: nieve, kind: "route", weight: 1, perSecond: 100, deadline: deadline},
		{member: nieve, kind: "survey", weight: 1, perSecond: 2, deadline: 30 * time.Second},
	})
}

// run sends the requests of the streams for a duration and waits until all of
// them have ended.
func (l *load) run(duration time.Duration, streams []stream) *result {
	r := &result{
		from: time.Now().Add(rampUp), to: time.Now().Add(duration), offered: map[string]int{},
		answered: map[string]int{}, inWindow: map[string]int{}, latencies: map[string][]time.Duration{},
	}
	var pending sync.WaitGroup
	for i, s := range streams {
		random := rand.New(rand.NewPCG(l.seed, uint64(i)))
		pending.Go(func() {
			next := time.Now()
			end := next.Add(duration)
			for {
				next = next.Add(time.Duration(random.ExpFloat64() / s.perSecond * float64(time.Second)))
				if next.After(end) {
					return
				}
				time.Sleep(time.Until(next))
				target := l.targets[random.IntN(len(l.targets)-1)]
				pending.Go(func() { l.sendOne(r, s, target) })
			}
		})
	}
	pending.Wait()
	return r
}

func (l *load) sendOne(r *result, s stream, target string) {
	start := time.Now()
	ok := l.send(target, s)
	latency := time.Since(start)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.offered[s.kind]++
	if ok && latency <= s.deadline {
		r.answered[s.kind]++
		if now := time.Now(); now.After(r.from) && now.Before(r.to) {
			r.inWindow[s.kind]++
		}
		r.latencies[s.kind] = append(r.latencies[s.kind], latency)
	}
}

// send sends a request and reports whether the response is the right one.
func (l *load) send(target string, s stream) bool {
	ctx, cancel := context.WithTimeout(context.Background(), s.deadline+time.Second)
	defer cancel()
	body := s.kind + " body"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+target+"/v1/requests", strings.NewReader(body))
	if err != nil {
		return false
	}
	request.Header.Set("Authorization", "Bearer "+s.member.token)
	request.Header.Set("Cranberry-Plan", s.member.plan)
	request.Header.Set("Cranberry-Team", s.member.team)
	request.Header.Set("Cranberry-Kind", s.kind)
	request.Header.Set("Cranberry-Deadline-Ms", strconv.FormatInt(s.deadline.Milliseconds(), 10))
	response, err := l.client.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	responseBody, err := io.ReadAll(response.Body)
	return err == nil && response.StatusCode == http.StatusOK && string(responseBody) == "done "+body
}

// instantStream is for requests without any work.
var instantStream = stream{member: isuku, kind: "instant", weight: 1, deadline: 10 * time.Second}

// medianLatency sends count requests one after the other and returns the median
// latency. They go to the target, or to the system's entries in turn if target
// is empty.
func (l *load) medianLatency(target string, count int) time.Duration {
	var latencies []time.Duration
	for i := range count {
		to := target
		if to == "" {
			to = l.targets[i%(len(l.targets)-1)]
		}
		began := time.Now()
		if l.send(to, instantStream) {
			latencies = append(latencies, time.Since(began))
		}
	}
	sort.Slice(latencies, func(i, j int) bool { return latencies[i] < latencies[j] })
	if len(latencies) == 0 {
		return 0
	}
	return latencies[len(latencies)/2]
}

// closedLoop has a number of callers send requests back to back, through the
// system or directly to the reference server, and returns the number of right
// responses.
func (l *load) closedLoop(callers int, duration time.Duration, direct bool) int {
	var mu sync.Mutex
	total := 0
	var running sync.WaitGroup
	end := time.Now().Add(duration)
	for caller := range callers {
		running.Go(func() {
			answered := 0
			target := l.targets[caller%(len(l.targets)-1)]
			if direct {
				target = l.referenceAddress
			}
			for time.Now().Before(end) {
				if l.send(target, instantStream) {
					answered++
				}
			}
			mu.Lock()
			defer mu.Unlock()
			total += answered
		})
	}
	running.Wait()
	return total
}
