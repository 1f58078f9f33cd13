// Package development runs the whole system in one process with simulated
// upstreams and workers, and demonstrates it: a request gets its response, a gang is
// placed, and a guarantee is reclaimed from a borrower.
package development

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/go-kit/log"

	"cranberrystack.dev/cranberryd/daemon"
	"cranberrystack.dev/cranberryd/loader"
	"cranberrystack.dev/cranberrystack/authenticator"
	"cranberrystack.dev/cranberrystack/faker"
	"cranberrystack.dev/cranberrystack/identifier"
	"cranberrystack.dev/cranberrystack/leaser"
	"cranberrystack.dev/cranberrystack/placer"
)

const (
	dataCenter         = "development"
	upstreamCount      = 2
	workerCount        = 2
	upstreamSlots      = 4
	workerAccelerators = 8
	readyTimeout       = 30 * time.Second
	pollInterval       = 50 * time.Millisecond
	gangRunTime        = 2 * time.Second
	borrowerRunTime    = time.Hour
	checkpointTime     = 200 * time.Millisecond
	reclaimGrace       = 2 * time.Second
	responseTimeout    = 30 * time.Second
	requestRunTime     = 5 * time.Millisecond
	developerPlan      = "isuku-dispatch"
	borrowingPlan      = "nieve-dispatch"
	acceleratorKind    = "gpu"
)

// system is the process with its simulated upstreams and workers.
type system struct {
	settings *loader.Settings
	daemon   *daemon.Daemon
	steps    *stepScheduler
	folder   string
	stops    []func()
	tokens   tokens
	out      io.Writer
}

// tokens are the bearer tokens of the clients. They are random and differ from run
// to run.
type tokens struct {
	operator, upstream, worker, isuku, nieve string
}

func newTokens() tokens {
	return tokens{operator: rand.Text(), upstream: rand.Text(), worker: rand.Text(), isuku: rand.Text(), nieve: rand.Text()}
}

// Run starts the system and runs the demonstration, whose results are written to
// out. Unless once is set, it then prints how to reach the system and serves until
// ctx ends.
func Run(ctx context.Context, out io.Writer, logger log.Logger, once bool) error {
	s, err := start(ctx, out, logger)
	if err != nil {
		return err
	}
	defer s.stop()
	if err := s.runDemonstration(ctx); err != nil {
		return err
	}
	if once {
		return nil
	}
	s.printAccess()
	<-ctx.Done()
	return nil
}

// start starts the process and the simulated upstreams and workers.
func start(ctx context.Context, out io.Writer, logger log.Logger) (*system, error) {
	folder, err := os.MkdirTemp("", "cranberryd-develop-")
	if err != nil {
		return nil, fmt.Errorf("create data folder: %w", err)
	}
	s := &system{folder: folder, tokens: newTokens(), out: out}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	s.settings = s.newSettings(listener.Addr().String())
	dialer := &net.Dialer{}
	listen := func(string) (net.Listener, error) { return listener, nil }
	s.daemon, err = daemon.New(s.settings, daemon.Logger(logger), daemon.Network(listen, dialer.DialContext))
	if err != nil {
		return nil, err
	}
	if err := s.daemon.Start(ctx); err != nil {
		return nil, err
	}
	s.stops = append(s.stops, func() { _ = s.daemon.Stop(context.Background()) })
	s.steps, err = startSteps(folder, logger)
	if err != nil {
		return nil, err
	}
	s.stops = append(s.stops, s.steps.close)
	return s, s.startSimulators()
}

func (s *system) newSettings(address string) *loader.Settings {
	settings := loader.Default()
	settings.Instance, settings.Address = "development-1", address
	settings.DataCenter, settings.Region = dataCenter, "development"
	settings.DataCenters = []identifier.DataCenterID{dataCenter}
	settings.Roles = []string{"control", "entry", "placement"}
	settings.InitialVoters = []identifier.InstanceID{settings.Instance}
	settings.DataFolder = s.folder
	settings.PeerToken = rand.Text()
	settings.Jobs.Grace = loader.NewDuration(reclaimGrace)
	settings.Tokens = []loader.Token{
		{Token: s.tokens.operator, Kind: authenticator.KindOperator, Subject: "operator"},
		{Token: s.tokens.upstream, Kind: authenticator.KindUpstream, Subject: "dispatch"},
		{Token: s.tokens.worker, Kind: authenticator.KindWorker, Subject: "workers"},
		{Token: s.tokens.isuku, Kind: authenticator.KindCaller, Subject: "isuku", Member: "isuku"},
		{Token: s.tokens.nieve, Kind: authenticator.KindCaller, Subject: "nieve", Member: "nieve"},
	}
	return settings
}

func (s *system) startSimulators() error {
	entries := []string{s.settings.Address}
	for i := range upstreamCount {
		host, err := faker.NewLoopbackHost(s.tokens.upstream, entries)
		if err != nil {
			return fmt.Errorf("start upstream: %w", err)
		}
		u := faker.NewUpstream(identifier.UpstreamID(fmt.Sprintf("upstream-%d", i+1)), upstreamSlots, host)
		u.Run = func(ctx context.Context, request faker.UpstreamRequest) string {
			_ = faker.Sleep(ctx, requestRunTime)
			return "done: " + request.Body
		}
		u.Start()
		s.stops = append(s.stops, u.Stop)
	}
	for i := range workerCount {
		host, err := faker.NewLoopbackHost(s.tokens.worker, entries)
		if err != nil {
			return fmt.Errorf("start worker: %w", err)
		}
		w := faker.NewWorker(placer.Worker{
			ID: identifier.WorkerID(fmt.Sprintf("worker-%d", i+1)), Rack: "rack-1", Position: i,
			Accelerator: acceleratorKind, Accelerators: workerAccelerators,
		}, host)
		w.CheckpointTime = checkpointTime
		w.Task = taskResult
		w.Start()
		s.stops = append(s.stops, w.Stop)
	}
	return nil
}

// taskResult lets the borrower run until it is preempted.
func taskResult(id leaser.ID, _ []byte) faker.TaskResult {
	if id.Job == "borrower" {
		return faker.TaskResult{RunTime: borrowerRunTime}
	}
	return faker.TaskResult{RunTime: gangRunTime}
}

// stop stops everything in reverse order of the start and removes the data folder.
func (s *system) stop() {
	for i := len(s.stops) - 1; i >= 0; i-- {
		s.stops[i]()
	}
	_ = os.RemoveAll(s.folder)
}

// printAccess prints the environment that cranberryctl needs.
func (s *system) printAccess() {
	fmt.Fprintf(s.out, "serving on %s until interrupted; data folder %s\n", s.settings.Address, s.folder)
	fmt.Fprintf(s.out, "export CRANBERRY_ADDRESS=%s\n", s.settings.Address)
	fmt.Fprintf(s.out, "export CRANBERRY_OPERATOR_TOKEN=%s\n", s.tokens.operator)
	fmt.Fprintf(s.out, "export CRANBERRY_TOKEN=%s   # member isuku, plan %s, team rounds\n", s.tokens.isuku, developerPlan)
}

// call sends a request to the HTTP interface of the process and returns the status
// and the body of the response.
func (s *system) call(ctx context.Context, method, path, token string, header http.Header, body []byte) (int, []byte, error) {
	callCtx, cancel := context.WithTimeout(ctx, responseTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(callCtx, method, "http://"+s.settings.Address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, fmt.Errorf("build request: %w", err)
	}
	for name := range header {
		request.Header.Set(name, header.Get(name))
	}
	request.Header.Set("Authorization", "Bearer "+token)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, nil, fmt.Errorf("send request: %w", err)
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil, fmt.Errorf("read response: %w", err)
	}
	return response.StatusCode, content, nil
}

// waitUntil polls until a condition holds, for at most readyTimeout. The name of
// what is waited for goes into the error.
func waitUntil(ctx context.Context, name string, condition func() bool) error {
	deadline := time.Now().Add(readyTimeout)
	for !condition() {
		if time.Now().After(deadline) || ctx.Err() != nil {
			return fmt.Errorf("wait for %s: %w", name, context.DeadlineExceeded)
		}
		time.Sleep(pollInterval)
	}
	return nil
}

// jobResponse is what the demonstration reads from the state of a job.
type jobResponse struct {
	State      string   `json:"state"`
	Workers    []string `json:"workers"`
	Guaranteed bool     `json:"guaranteed"`
	Reclaims   int      `json:"reclaims"`
}

// job returns the state of a job, or the zero value if it can't be read.
func (s *system) job(ctx context.Context, token, id string) jobResponse {
	var job jobResponse
	_, content, err := s.call(ctx, http.MethodGet, "/v1/jobs/"+id, token, nil, nil)
	if err == nil {
		_ = json.Unmarshal(content, &job)
	}
	return job
}
