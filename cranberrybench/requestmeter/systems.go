package requestmeter

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"cranberrystack.dev/cranberryd/daemon"
	"cranberrystack.dev/cranberryd/loader"
	"cranberrystack.dev/cranberrystack/authenticator"
	"cranberrystack.dev/cranberrystack/connector"
	"cranberrystack.dev/cranberrystack/faker"
	"cranberrystack.dev/cranberrystack/identifier"
)

const (
	peerToken     = "peer-token-00000001"
	operatorToken = "operator-token-0001"
	upstreamToken = "upstream-token-0001"
)

// simulateWork simulates the work of a request: it sleeps for the run time of
// the request's kind and returns the response.
func simulateWork(ctx context.Context, work faker.UpstreamRequest) string {
	switch work.Kind {
	case "instant":
	case "survey":
		_ = faker.Sleep(ctx, longRun)
	default:
		_ = faker.Sleep(ctx, shortRun)
	}
	return "done " + work.Body
}

// startUpstreams starts the fake upstreams. They are the same for both systems,
// except that those of the baseline queue requests beyond their slots.
func startUpstreams(announceTo []string, queueExcess bool) ([]*faker.Upstream, error) {
	var all []*faker.Upstream
	for i := range upstreamCount {
		host, err := faker.NewLoopbackHost(upstreamToken, announceTo)
		if err != nil {
			return nil, fmt.Errorf("start upstream: %w", err)
		}
		u := faker.NewUpstream(identifier.UpstreamID(fmt.Sprintf("u%02d", i)), slotsPerUpstream, host)
		u.Run, u.QueueExcess = simulateWork, queueExcess
		u.Start()
		all = append(all, u)
	}
	return all, nil
}

// startReference starts a server that responds like an upstream, with no system
// in between, to measure what a system adds.
func startReference() (net.Listener, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	go serve(listener, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		_, _ = w.Write([]byte("done " + string(body)))
	})
	return listener, nil
}

func serve(listener net.Listener, handler http.HandlerFunc) {
	server := &http.Server{Handler: handler, ErrorLog: log.New(io.Discard, "", 0), ReadHeaderTimeout: time.Minute}
	_ = server.Serve(listener)
}

// baselineInFlight is the largest number of requests in flight at one entry of
// the baseline; further ones are refused.
const baselineInFlight = 128

// baselineSystem forwards each request to the next upstream in turn. Targets
// are the addresses of its entries, then that of the reference server.
type baselineSystem struct {
	upstreams []*faker.Upstream
	listeners []net.Listener
	client    *http.Client
	targets   []string
}

func startBaseline() (system, error) {
	all, err := startUpstreams(nil, true)
	if err != nil {
		return nil, err
	}
	b := &baselineSystem{upstreams: all, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
	for range entryCount {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, fmt.Errorf("listen: %w", err)
		}
		var next atomic.Uint64
		inFlight := make(chan struct{}, baselineInFlight)
		handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			select {
			case inFlight <- struct{}{}:
				defer func() { <-inFlight }()
			default:
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			b.forward(w, r, all[next.Add(1)%uint64(len(all))])
		})
		go serve(listener, handler)
		b.listeners = append(b.listeners, listener)
		b.targets = append(b.targets, listener.Addr().String())
	}
	reference, err := startReference()
	if err != nil {
		return nil, err
	}
	b.listeners = append(b.listeners, reference)
	b.targets = append(b.targets, reference.Addr().String())
	return b, nil
}

// lastAttempt numbers the attempts of all entries of the baseline.
var lastAttempt atomic.Uint64

func (b *baselineSystem) forward(w http.ResponseWriter, r *http.Request, u *faker.Upstream) {
	request, err := http.NewRequestWithContext(r.Context(), http.MethodPost, "http://"+u.Address()+"/run", r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	request.ContentLength = r.ContentLength
	request.Header.Set(connector.HeaderAttempt, fmt.Sprint("b", lastAttempt.Add(1)))
	request.Header.Set(connector.HeaderIncarnation, u.IncarnationText())
	request.Header.Set(connector.HeaderKind, r.Header.Get("Cranberry-Kind"))
	response, err := b.client.Do(request)
	if err != nil {
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	defer response.Body.Close()
	w.WriteHeader(response.StatusCode)
	_, _ = io.Copy(w, response.Body)
}

func (b *baselineSystem) addresses() []string { return b.targets }

func (b *baselineSystem) stop() {
	for _, listener := range b.listeners {
		listener.Close()
	}
	for _, u := range b.upstreams {
		u.Stop()
	}
}

// daemonSystem runs real daemons in this process, over loopback. Targets are
// their addresses, then that of the reference server.
type daemonSystem struct {
	daemons   []*daemon.Daemon
	upstreams []*faker.Upstream
	folder    string
	reference net.Listener
	targets   []string
}

func startDaemons() (system, error) {
	folder, err := os.MkdirTemp("", "cranberrybench-")
	if err != nil {
		return nil, fmt.Errorf("create folder: %w", err)
	}
	d := &daemonSystem{folder: folder}
	listeners := map[string]net.Listener{}
	var peers []loader.Peer
	for i := range entryCount {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, fmt.Errorf("listen: %w", err)
		}
		address := listener.Addr().String()
		listeners[address] = listener
		roles := []string{"entry"}
		if i == 0 {
			roles = []string{"entry", "control"}
		}
		peers = append(peers, loader.Peer{
			Instance: identifier.InstanceID(fmt.Sprintf("i%d", i)), Address: address,
			DataCenter: "dc1", Region: "region", Roles: roles,
		})
		d.targets = append(d.targets, address)
	}
	listen := func(address string) (net.Listener, error) { return listeners[address], nil }
	dialer := &net.Dialer{}
	for _, peer := range peers {
		instance, err := daemon.New(newSettings(peer, peers, folder), daemon.Network(listen, dialer.DialContext))
		if err != nil {
			return nil, err
		}
		if err := instance.Start(context.Background()); err != nil {
			return nil, err
		}
		d.daemons = append(d.daemons, instance)
	}
	return d, d.prepare()
}

func newSettings(peer loader.Peer, peers []loader.Peer, folder string) *loader.Settings {
	s := loader.Default()
	s.Instance, s.Address, s.Roles = peer.Instance, peer.Address, peer.Roles
	s.DataCenter, s.Region = peer.DataCenter, peer.Region
	s.DataCenters, s.Peers = []identifier.DataCenterID{peer.DataCenter}, peers
	s.InitialVoters, s.PeerToken = []identifier.InstanceID{peers[0].Instance}, peerToken
	if s.Has("control") {
		s.DataFolder = folder
	}
	s.Tokens = []loader.Token{
		{Token: operatorToken, Kind: authenticator.KindOperator, Subject: "operator"},
		{Token: upstreamToken, Kind: authenticator.KindUpstream, Subject: "dispatch"},
		{Token: isuku.token, Kind: authenticator.KindCaller, Subject: "phones", Member: "isuku"},
		{Token: nieve.token, Kind: authenticator.KindCaller, Subject: "crews", Member: "nieve"},
	}
	return s
}

const listsRequest = `{"request-id":"bench","expected-version":0,"plans":[
 {"id":"isuku-plan","member":"isuku","teams":[{"id":"rounds","quota":0}]},
 {"id":"nieve-plan","member":"nieve","teams":[{"id":"routes","quota":0}]}],
 "allowances":[
 {"plan":"isuku-plan","accelerator":"gpu","limit":1,"adjacent":["worker"],"request-share":0.5,
  "kinds":[{"kind":"photo","weight":3},{"kind":"match","weight":1}]},
 {"plan":"nieve-plan","accelerator":"gpu","limit":1,"adjacent":["worker"],"request-share":0.5,
  "kinds":[{"kind":"load","weight":3},{"kind":"route","weight":1},{"kind":"survey","weight":1}]}]}`

var errNotReady = errors.New("daemons not ready in time")

// prepare applies the lists, starts the upstreams and the reference server, and
// waits until the daemons are ready.
func (d *daemonSystem) prepare() error {
	request, err := http.NewRequest(http.MethodPut, "http://"+d.targets[0]+"/v1/lists", bytes.NewReader([]byte(listsRequest)))
	if err != nil {
		return fmt.Errorf("build request: %w", err)
	}
	request.Header.Set("Authorization", "Bearer "+operatorToken)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fmt.Errorf("apply lists: %w", err)
	}
	response.Body.Close()
	d.upstreams, err = startUpstreams(append([]string(nil), d.targets...), false)
	if err != nil {
		return err
	}
	d.reference, err = startReference()
	if err != nil {
		return err
	}
	d.targets = append(d.targets, d.reference.Addr().String())
	deadline := time.Now().Add(20 * time.Second)
	for _, instance := range d.daemons {
		for instance.Ready() != nil {
			if time.Now().After(deadline) {
				return fmt.Errorf("%w: %w", errNotReady, instance.Ready())
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	time.Sleep(2 * time.Second)
	return nil
}

func (d *daemonSystem) addresses() []string { return d.targets }

func (d *daemonSystem) stop() {
	for _, u := range d.upstreams {
		u.Stop()
	}
	for _, instance := range d.daemons {
		_ = instance.Stop(context.Background())
	}
	d.reference.Close()
	_ = os.RemoveAll(d.folder)
}
