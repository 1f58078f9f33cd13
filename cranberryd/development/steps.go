package development

import (
	"context"
	"encoding/json"
	"fmt"
	"path/filepath"
	"time"

	"github.com/go-kit/log"

	"cranberrystack.dev/cranberrystack/coordinator"
	"cranberrystack.dev/cranberrystack/faker"
	"cranberrystack.dev/cranberrystack/forwarder"
	"cranberrystack.dev/cranberrystack/identifier"
	"cranberrystack.dev/cranberrystack/recorder"
	"cranberrystack.dev/cranberrystack/replicator"
	"cranberrystack.dev/cranberrystack/scheduler"
)

const (
	stepsAddress        = "steps"
	stepsKey            = "development-key"
	stepsWorkerCount    = 2
	stepsReportInterval = 500 * time.Millisecond
)

const stepsCatalog = `{"version":1,
"queues":[
 {"name":"urgent","host":"dispatch","path-prefix":"/match/","worker-pool":"dispatch","priority":0,"max-attempts":3,"stretch":1.5,"objective-ms":300,"timeout-ms":3000},
 {"name":"long","host":"dispatch","path-prefix":"/plan/","worker-pool":"dispatch","priority":2,"max-attempts":3,"stretch":3,"objective-ms":1000,"timeout-ms":3000}],
"pools":[{"name":"dispatch","guards-capacity":true}],
"teams":[{"name":"rounds","keys":["development-key"],"guarantee":{"accelerators":8}}]}`

// stepScheduler runs jobs with steps on simulated workers. Its coordinator is the
// only member of the log.
type stepScheduler struct {
	cluster     *faker.TaskCluster
	coordinator *coordinator.Coordinator
	stop        context.CancelFunc
}

func startSteps(folder string, logger log.Logger) (*stepScheduler, error) {
	cluster := faker.NewTaskCluster(1)
	unreachable := replicator.Transport{
		Send: func(context.Context, replicator.Peer, replicator.Message) ([]replicator.Message, error) {
			return nil, faker.ErrNoAnswer
		},
		Formation: func(context.Context, replicator.Peer) (replicator.Formation, error) {
			return replicator.Formation{}, faker.ErrNoAnswer
		},
	}
	c, err := coordinator.Open(coordinator.Config{
		ID: stepsAddress, Dir: filepath.Join(folder, stepsAddress), Address: stepsAddress, Seeds: []string{stepsAddress},
		Bootstrap: true, Voters: 1, Transport: unreachable, Orders: cluster.Orders(stepsAddress),
		Recorder: recorder.New(), Logger: logger,
	})
	if err != nil {
		return nil, fmt.Errorf("start the coordinator for jobs with steps: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &stepScheduler{cluster: cluster, coordinator: c, stop: cancel}
	for i := range stepsWorkerCount {
		id := identifier.WorkerID(fmt.Sprintf("worker-%d", i+1))
		worker := cluster.AddWorker(id, scheduler.Resources{CPU: 64000, Memory: 131072, Accelerators: 8}, "a", "r1-1")
		go s.sendReports(ctx, worker)
	}
	return s, nil
}

func (s *stepScheduler) close() {
	s.stop()
	s.coordinator.Stop()
}

// workerReport is the JSON form of a worker's report.
type workerReport struct {
	Pool        string              `json:"worker-pool"`
	Address     string              `json:"address"`
	DataCenter  string              `json:"data-center"`
	State       string              `json:"state"`
	Sequence    int64               `json:"sequence"`
	Incarnation int64               `json:"born"`
	Clock       int64               `json:"clock-ms"`
	Labels      []string            `json:"labels"`
	Capacity    scheduler.Resources `json:"capacity"`
}

// sendReports sends a worker's reports to the coordinator until ctx ends.
func (s *stepScheduler) sendReports(ctx context.Context, worker *faker.TaskWorker) {
	ticker := time.NewTicker(stepsReportInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		sequence, clock := worker.NextReport()
		document, err := json.Marshal(workerReport{
			Pool: "dispatch", Address: string(worker.ID) + ":1", DataCenter: dataCenter, State: "ready", Sequence: sequence,
			Incarnation: int64(worker.Incarnation), Clock: int64(clock), Labels: worker.Labels, Capacity: worker.Capacity,
		})
		if err != nil {
			return
		}
		s.coordinator.Handle(ctx, forwarder.Call{Kind: forwarder.KindReport, Worker: worker.ID, Document: document})
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

// callUntilOK repeats a call until it succeeds, for at most readyTimeout.
func (s *stepScheduler) callUntilOK(ctx context.Context, call forwarder.Call) (forwarder.Answer, error) {
	call.Host, call.Key = "dispatch", stepsKey
	var answer forwarder.Answer
	err := waitUntil(ctx, string(call.Kind), func() bool {
		answer = s.coordinator.Handle(ctx, call)
		return answer.OK()
	})
	if err != nil {
		return answer, fmt.Errorf("%s %s: %s: %w", call.Kind, call.Path, answer.Reason, err)
	}
	return answer, nil
}

// submit registers a job with the simulated workers and submits it. The last 16
// bytes of the path are the job's id.
func (s *stepScheduler) submit(ctx context.Context, path string, request scheduler.Request) error {
	s.cluster.RegisterJob(identifier.JobID(path[len(path)-16:]), &request)
	document, err := json.Marshal(request)
	if err != nil {
		return fmt.Errorf("encode job: %w", err)
	}
	_, err = s.callUntilOK(ctx, forwarder.Call{Kind: forwarder.KindSubmit, Path: path, Document: document})
	return err
}

func (s *stepScheduler) waitFor(ctx context.Context, path, state string) error {
	return waitUntil(ctx, path+" to be "+state, func() bool {
		answer := s.coordinator.Handle(ctx, forwarder.Call{Kind: forwarder.KindState, Host: "dispatch", Path: path, Key: stepsKey})
		return answer.OK() && string(answer.Document) == `{"state":"`+state+`"}`
	})
}

// newStep returns a step of width tasks that each run for millis milliseconds.
func newStep(width int, millis, accelerators int64) scheduler.Step {
	return scheduler.Step{
		Width: width, EstimateMillis: millis,
		Resources: scheduler.Resources{CPU: 2000, Memory: 1024, Accelerators: accelerators},
	}
}

// runDependentSteps applies the catalog and runs a job whose second step depends on
// the first.
func (s *stepScheduler) runDependentSteps(ctx context.Context) (string, error) {
	if _, err := s.callUntilOK(ctx, forwarder.Call{Kind: forwarder.KindConfigure, Document: json.RawMessage(stepsCatalog)}); err != nil {
		return "", err
	}
	const path = "/plan/00000000000000a1"
	second := newStep(2, 200, 1)
	second.DependsOn = []int{0}
	if err := s.submit(ctx, path, scheduler.Request{Spec: "plan", Steps: []scheduler.Step{newStep(4, 300, 1), second}}); err != nil {
		return "", err
	}
	return "4 tasks, then 2 that depend on them, completed", s.waitFor(ctx, path, "completed")
}

// reclaimGuarantee fills the pool with a long job and then runs an urgent gang within
// the team's guarantee, for which tasks of the long job are preempted.
func (s *stepScheduler) reclaimGuarantee(ctx context.Context) (string, error) {
	const long, urgent = "/plan/00000000000000a2", "/match/00000000000000a3"
	if err := s.submit(ctx, long, scheduler.Request{Spec: "survey", Steps: []scheduler.Step{newStep(16, 3600000, 1)}}); err != nil {
		return "", err
	}
	if err := s.waitFor(ctx, long, "running"); err != nil {
		return "", err
	}
	gang := newStep(2, 200, 4)
	gang.Gang = true
	began := time.Now()
	if err := s.submit(ctx, urgent, scheduler.Request{Spec: "match", Steps: []scheduler.Step{gang}}); err != nil {
		return "", err
	}
	if err := s.waitFor(ctx, urgent, "completed"); err != nil {
		return "", err
	}
	return fmt.Sprintf("urgent gang of 2 x 4 completed after %d ms in a full pool", time.Since(began).Milliseconds()), nil
}

// cancelJob cancels the long job and waits until no task runs.
func (s *stepScheduler) cancelJob(ctx context.Context) (string, error) {
	const long = "/plan/00000000000000a2"
	if _, err := s.callUntilOK(ctx, forwarder.Call{Kind: forwarder.KindCancel, Path: long}); err != nil {
		return "", err
	}
	noneRunning := func() bool { return len(s.cluster.Running()) == 0 }
	return "all its tasks stopped", waitUntil(ctx, "the stops", noneRunning)
}
