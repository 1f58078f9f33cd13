package coordinator_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"

	"cranberrystack.dev/cranberrystack/coordinator"
	"cranberrystack.dev/cranberrystack/faker"
	"cranberrystack.dev/cranberrystack/forwarder"
	"cranberrystack.dev/cranberrystack/identifier"
	"cranberrystack.dev/cranberrystack/scheduler"
)

var errUnreachable = errors.New("instance is unreachable")

const (
	linkDelay      = time.Millisecond
	reportInterval = 1500 * time.Millisecond
	teamKey        = "key-of-team-a"
	otherKey       = "key-of-team-b"
)

// cluster runs several instances and fake workers in one process, in virtual
// time.
type cluster struct {
	t             *testing.T
	workerCluster *faker.TaskCluster
	hosts         []*host
	seeds         []string
	stop          context.CancelFunc
	// advise and machines are fakes of the outside services; they may be nil.
	advise   coordinator.Advise
	machines coordinator.MachineManager
	// start replaces the instances' calls to start runs; it may be nil.
	start func(context.Context, coordinator.Destination, coordinator.StartOrder) (coordinator.OrderAnswer, error)
	// load slows the instances and all calls down; nil means no load.
	load *load

	// poll replaces the instances' polls; it may be nil.
	poll func(ctx context.Context, caller string, to coordinator.Destination, order coordinator.PollOrder) (scheduler.PollResult, error)

	mu   sync.Mutex
	down map[string]bool
	// partitioned holds the pairs of sender and receiver between which no call
	// arrives.
	partitioned map[[2]string]bool
	workers     map[identifier.WorkerID]*workerState
	logs        bytes.Buffer
	nextHost    int
	// heldPolls is the option of that name; 0 by default.
	heldPolls int
	// jobMemory is the option of that name; 0 means the default.
	jobMemory int64
	// fairShare is the option of that name.
	fairShare bool
	// learnRunTimes makes the instances plan with learned run times.
	learnRunTimes bool
	// dataCenterOf returns the data centre of a worker; nil means that all are in "dc".
	dataCenterOf func(identifier.WorkerID) identifier.DataCenterID
	// dataCenters is the option of that name.
	dataCenters []identifier.DataCenterID
	// forwardedReports counts the reports that one instance forwarded to another.
	forwardedReports atomic.Int64
	// parts counts the parts of the log that were sent, and partsOfStrangers those of an
	// instance that the receiver did not know.
	parts, partsOfStrangers atomic.Int64
	startedAt               time.Time
	// losesEntries makes the instances lose the messages of the log that hold entries.
	losesEntries atomic.Bool
}

type workerState struct {
	worker *faker.TaskWorker
	state  scheduler.WorkerState
	killed bool
}

func newCluster(t *testing.T, seed uint64, size int, setup func(*cluster)) *cluster {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	c := &cluster{
		t: t, startedAt: time.Now(), workerCluster: faker.NewTaskCluster(seed), stop: cancel,
		down: map[string]bool{}, partitioned: map[[2]string]bool{}, workers: map[identifier.WorkerID]*workerState{},
	}
	for i := range size {
		name := fmt.Sprintf("core-%d", i)
		c.hosts = append(c.hosts, &host{cluster: c, name: name, dir: filepath.Join(t.TempDir(), name)})
		if i < 3 {
			c.seeds = append(c.seeds, name)
		}
	}
	if setup != nil {
		setup(c)
	}
	for _, h := range c.hosts {
		h.start(true)
	}
	go c.reportAll(ctx)
	return c
}

// close stops all instances; no goroutine may remain in the synctest bubble
// afterwards.
func (c *cluster) close() {
	c.stop()
	for _, h := range c.hosts {
		h.stop()
	}
	// Calls in flight arrive after linkDelay and fail.
	time.Sleep(time.Second)
	if c.load != nil {
		c.load.calls.Wait()
	}
	synctest.Wait()
}

func (c *cluster) addWorker(id identifier.WorkerID, capacity scheduler.Resources, rack string) *faker.TaskWorker {
	worker := c.workerCluster.AddWorker(id, capacity, "a", rack)
	c.mu.Lock()
	c.workers[id] = &workerState{worker: worker, state: scheduler.WorkerReady}
	c.mu.Unlock()
	return worker
}

// logEvent adds an event of the test to the log of the instances.
func (c *cluster) logEvent(event string, pairs ...any) {
	line := append([]any{"at", time.Since(c.startedAt).Milliseconds(), "event", event}, pairs...)
	_ = log.NewLogfmtLogger(&lockedWriter{c: c}).Log(line...)
}

// killWorker crashes a worker, which then sends no more reports.
func (c *cluster) killWorker(id identifier.WorkerID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state := c.workers[id]; state != nil {
		state.worker.Kill()
		state.killed = true
	}
}

// restartCrashed lets workers that a task crashes start again after a time.
func (c *cluster) restartCrashed(after time.Duration) {
	c.workerCluster.OnCrash = func(worker *faker.TaskWorker) {
		c.killWorker(worker.ID)
		time.AfterFunc(after, func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.workers[worker.ID] = &workerState{
				worker: c.workerCluster.AddWorker(worker.ID, worker.Capacity, worker.Labels...), state: scheduler.WorkerReady,
			}
		})
	}
}

// orders returns the calls of an instance to the workers.
func (c *cluster) orders(caller string) coordinator.Orders {
	orders := c.workerCluster.Orders(caller)
	if c.start != nil {
		orders.Start = c.start
	}
	if c.load != nil {
		orders = c.load.slowOrders(orders)
	}
	if c.poll != nil {
		orders.Poll = func(ctx context.Context, to coordinator.Destination, order coordinator.PollOrder) (scheduler.PollResult, error) {
			return c.poll(ctx, caller, to, order)
		}
	}
	return orders
}

// addWorkers adds workers of equal capacity, four to a rack.
func (c *cluster) addWorkers(count int) []identifier.WorkerID {
	var ids []identifier.WorkerID
	for i := range count {
		id := identifier.WorkerID(fmt.Sprintf("w-%02d", i))
		c.addWorker(id, scheduler.Resources{CPU: 64000, Memory: 128000, Accelerators: 8}, fmt.Sprintf("r1-%d", i/4))
		ids = append(ids, id)
	}
	return ids
}

type reportBody struct {
	Pool        string              `json:"worker-pool"`
	Address     string              `json:"address"`
	DataCenter  string              `json:"data-center"`
	State       string              `json:"state"`
	Sequence    int64               `json:"sequence"`
	Incarnation int64               `json:"born"`
	Clock       int64               `json:"clock-ms"`
	Remaining   int64               `json:"remaining-ms,omitempty"`
	Machine     string              `json:"machine"`
	Labels      []string            `json:"labels"`
	Capacity    scheduler.Resources `json:"capacity"`
}

// reportAll sends the reports of all workers, each to the next instance in turn.
func (c *cluster) reportAll(ctx context.Context) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		c.mu.Lock()
		for id, state := range c.workers {
			if state.killed {
				continue
			}
			go c.report(ctx, id, state.worker, state.state)
		}
		c.mu.Unlock()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (c *cluster) report(ctx context.Context, id identifier.WorkerID, worker *faker.TaskWorker, state scheduler.WorkerState) {
	sequence, clock := worker.NextReport()
	if c.load != nil {
		time.Sleep(c.load.delayOfReport())
	}
	dataCenter := identifier.DataCenterID("dc")
	if c.dataCenterOf != nil {
		dataCenter = c.dataCenterOf(id)
	}
	data, err := json.Marshal(reportBody{
		Pool: "pool", Address: string(id) + ":1", DataCenter: string(dataCenter), State: string(state), Sequence: sequence,
		Incarnation: int64(worker.Incarnation), Clock: int64(clock), Remaining: 10000, Machine: "m-" + string(id), Labels: worker.Labels, Capacity: worker.CurrentCapacity(),
	})
	if err != nil {
		c.t.Error(err)
		return
	}
	c.call(ctx, forwarder.Call{Kind: forwarder.KindReport, Worker: id, Document: data})
}

// call sends a call to the instances in turn until one gives an answer other
// than unavailable.
func (c *cluster) call(ctx context.Context, call forwarder.Call) forwarder.Answer {
	var answer forwarder.Answer
	for range c.hosts {
		c.mu.Lock()
		c.nextHost++
		h := c.hosts[c.nextHost%len(c.hosts)]
		running, f := h.coordinator, h.forwarder
		usable := running != nil && !c.down[h.name]
		c.mu.Unlock()
		if !usable {
			continue
		}
		attemptCtx, cancel := context.WithTimeout(ctx, 3*time.Second)
		answer = running.Relay(f.Do)(attemptCtx, call)
		cancel()
		if answer.Code != "unavailable" && answer.Code != "" {
			return answer
		}
	}
	return answer
}

// callUntilOK repeats a call until the answer is OK.
func (c *cluster) callUntilOK(call forwarder.Call, limit time.Duration) forwarder.Answer {
	c.t.Helper()
	start := time.Now()
	for {
		answer := c.call(context.Background(), call)
		if answer.OK() {
			return answer
		}
		if time.Since(start) > limit {
			c.t.Fatalf("%s %s: %s %s after %v", call.Kind, call.Path, answer.Code, answer.Reason, limit)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

const catalogText = `{"version":%d,"queues":[
{"name":"urgent","host":"h","path-prefix":"/urgent/","worker-pool":"pool","priority":0,"max-attempts":%d,"stretch":1.5,"objective-ms":300,"timeout-ms":3000},
{"name":"long","host":"h","path-prefix":"/long/","worker-pool":"pool","priority":2,"max-attempts":%d,"stretch":3,"objective-ms":1000,"timeout-ms":3000}],
"pools":[{"name":"pool","guards-capacity":true}],
"teams":[{"name":"a","keys":["key-of-team-a"],"guarantee":{"accelerators":16}},{"name":"b","keys":["key-of-team-b"],"guarantee":{"accelerators":8}}]}`

func (c *cluster) configure(version, attempts int) {
	c.t.Helper()
	document := fmt.Sprintf(catalogText, version, attempts, attempts)
	c.callUntilOK(forwarder.Call{Kind: forwarder.KindConfigure, Document: json.RawMessage(document)}, 10*time.Second)
}

func jobID(number int) identifier.JobID { return identifier.JobID(fmt.Sprintf("%016x", number)) }

func (c *cluster) submitCall(queue string, id identifier.JobID, request scheduler.Request) forwarder.Call {
	c.workerCluster.RegisterJob(id, &request)
	data, err := json.Marshal(request)
	if err != nil {
		c.t.Fatal(err)
	}
	return forwarder.Call{Kind: forwarder.KindSubmit, Host: "h", Path: "/" + queue + "/" + string(id), Key: teamKey, Document: data}
}

func (c *cluster) submit(queue string, id identifier.JobID, request scheduler.Request) {
	c.t.Helper()
	c.callUntilOK(c.submitCall(queue, id, request), 10*time.Second)
}

func (c *cluster) cancel(queue string, id identifier.JobID) {
	c.t.Helper()
	c.callUntilOK(forwarder.Call{Kind: forwarder.KindCancel, Host: "h", Path: "/" + queue + "/" + string(id), Key: teamKey}, time.Second)
}

// setPartition partitions workers from all instances, or reconnects them.
func (c *cluster) setPartition(partitioned bool, workers ...identifier.WorkerID) {
	for _, h := range c.hosts {
		c.workerCluster.SetPartition(h.name, workers, partitioned)
	}
}

func (c *cluster) state(queue string, id identifier.JobID) string {
	answer := c.call(context.Background(), forwarder.Call{Kind: forwarder.KindState, Host: "h", Path: "/" + queue + "/" + string(id), Key: teamKey})
	if !answer.OK() {
		return string(answer.Code)
	}
	var body struct {
		State string `json:"state"`
	}
	if err := json.Unmarshal(answer.Document, &body); err != nil {
		c.t.Fatal(err)
	}
	return body.State
}

func (c *cluster) waitForState(queue string, id identifier.JobID, wanted string, limit time.Duration) {
	c.t.Helper()
	start := time.Now()
	state := ""
	for time.Since(start) <= limit {
		if state = c.state(queue, id); state == wanted {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	c.t.Fatalf("job %s is %s after %v, not %s", id, state, limit, wanted)
}

// leader returns the instance that holds the leader lease, nil if none does.
func (c *cluster) leader() *host {
	for _, h := range c.hosts {
		if running, _ := h.running(); running != nil && running.Status().HoldsLeaderLease {
			return h
		}
	}
	return nil
}

func (c *cluster) waitForLeader(limit time.Duration) *host {
	c.t.Helper()
	for start := time.Now(); time.Since(start) <= limit; time.Sleep(50 * time.Millisecond) {
		if h := c.leader(); h != nil {
			return h
		}
	}
	c.t.Fatalf("no leader after %v", limit)
	return nil
}

// checkHistory checks the runs as the workers saw them: no two runs of a task are
// alive at the same time on workers that are up, and no run starts after another
// was done, if the end of that one was ever acknowledged.
func (c *cluster) checkHistory() {
	c.t.Helper()
	live := map[scheduler.TaskID]scheduler.RunID{}
	done := map[scheduler.TaskID]scheduler.RunID{}
	acknowledgedAt := map[scheduler.TaskID]time.Time{}
	for _, event := range c.workerCluster.History() {
		task := event.Run.Task
		if step := c.workerCluster.Step(task.StepID()); step != nil && step.SpeculativeCopies {
			c.checkCopy(event, acknowledgedAt)
			continue
		}
		if event.EndKind == "" {
			if other, runs := live[task]; runs {
				c.t.Errorf("%s started on %s while %s ran", event.Run, event.Worker, other)
			}
			if other, ended := done[task]; ended {
				c.t.Errorf("%s started on %s after %s was done", event.Run, event.Worker, other)
			}
			live[task] = event.Run
			continue
		}
		if live[task] == event.Run {
			delete(live, task)
		}
		if event.EndKind == scheduler.EndDone && event.Acknowledged {
			done[task] = event.Run
		}
	}
}

// checkCopy checks a run of a task that may have speculative copies: none starts
// more than a second after the end of a done run was acknowledged, except by
// orders that were carried out late. acknowledgedAt holds the times of
// acknowledgement.
func (c *cluster) checkCopy(event faker.TaskEvent, acknowledgedAt map[scheduler.TaskID]time.Time) {
	c.t.Helper()
	at, ended := acknowledgedAt[event.Run.Task]
	if event.EndKind == "" && !event.Late && ended && event.At.Sub(at) > time.Second {
		c.t.Errorf("%s started on %s %v after the end of its task was acknowledged", event.Run, event.Worker, event.At.Sub(at))
	}
	if event.EndKind == scheduler.EndDone && event.Acknowledged && !ended {
		acknowledgedAt[event.Run.Task] = event.AcknowledgedAt
	}
}

// inCluster runs a test on a new cluster in virtual time, and checks the history
// afterwards.
func inCluster(t *testing.T, seed uint64, size, workers int, test func(c *cluster)) {
	t.Helper()
	inClusterWith(t, seed, size, workers, nil, test)
}

// inClusterWith is inCluster with a setup that runs before the instances start.
func inClusterWith(t *testing.T, seed uint64, size, workers int, setup, test func(c *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, seed, size, setup)
		defer c.close()
		defer c.writeLogOnFailure(seed)
		c.addWorkers(workers)
		c.configure(1, 3)
		time.Sleep(2 * reportInterval)
		test(c)
		c.checkHistory()
	})
}

// writeLogOnFailure writes the log and the history of runs to a file if the test
// has failed.
func (c *cluster) writeLogOnFailure(seed uint64) {
	if !c.t.Failed() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, event := range c.workerCluster.History() {
		fmt.Fprintf(&c.logs, "at=%d seen run=%s worker=%s kind=%q acknowledged=%t token=%d\n", event.At.Sub(c.startedAt).Milliseconds(),
			event.Run, event.Worker, event.EndKind, event.Acknowledged, event.FencingToken)
	}
	path := filepath.Join(os.TempDir(), fmt.Sprintf("cranberrystack-%d.log", seed))
	_ = os.WriteFile(path, c.logs.Bytes(), 0o600)
	c.t.Logf("log of events in %s", path)
}

func step(width int, millis int64, accelerators int64) scheduler.Step {
	return scheduler.Step{
		Width: width, EstimateMillis: millis,
		Resources: scheduler.Resources{CPU: 2000, Memory: 1000, Accelerators: accelerators},
	}
}
