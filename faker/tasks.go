package faker

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"cranberrystack.dev/cranberrystack/coordinator"
	"cranberrystack.dev/cranberrystack/identifier"
	"cranberrystack.dev/cranberrystack/scheduler"
)

// ErrNoAnswer is what a call to a task worker that does not answer ends with.
var ErrNoAnswer = errors.New("no answer from the worker")

// TaskEvent is something that happened to a run, as seen from outside.
type TaskEvent struct {
	At     time.Time
	Worker identifier.WorkerID
	Run    scheduler.RunID
	// How is empty for a start.
	How scheduler.EndKind
	// Acknowledged says that the end was taken note of, before the lease lapsed.
	Acknowledged bool
	// AcknowledgedAt is when the end was first acknowledged.
	AcknowledgedAt time.Time
	// Late says that a start was carried out after its caller had given up.
	Late bool
	// Fence is that of the order that started the run.
	Fence scheduler.FencingToken
}

// clockRate is how fast a worker's clock runs.
const clockRate = 0.99

// TaskFaults are what goes wrong with the calls to task workers. Probabilities
// are between 0 and 1.
type TaskFaults struct {
	// LostResponseProbability is how often an order is carried out without an answer.
	LostResponseProbability float64
	// LateProbability is how often an order is carried out LateDelay later and never
	// answered.
	LateProbability float64
	LateDelay       time.Duration
	// FailureProbability is how often a run ends as failed.
	FailureProbability float64
}

// TaskCluster is what task workers share: how long tasks take, gangs, and the
// history of all runs. It is safe for concurrent use.
type TaskCluster struct {
	// StopTime is how long a stop takes.
	StopTime time.Duration
	// GangWait is how long a gang's member waits for the others.
	GangWait time.Duration
	MaxLease time.Duration

	mu      sync.Mutex
	random  *rand.Rand
	faults  TaskFaults
	steps   map[scheduler.StepID]*scheduler.Step
	history []TaskEvent
	workers map[identifier.WorkerID]*TaskWorker
	cut     map[string]map[identifier.WorkerID]bool
	// incarnations holds the life of each worker that answered a caller's look last.
	incarnations map[string]map[identifier.WorkerID]scheduler.UnixMilli
}

// NewTaskCluster returns a world in which nothing goes wrong yet.
func NewTaskCluster(seed uint64) *TaskCluster {
	return &TaskCluster{
		StopTime: 100 * time.Millisecond, GangWait: 3 * time.Second, MaxLease: 6 * time.Second,
		random: rand.New(rand.NewPCG(seed, seed)), steps: map[scheduler.StepID]*scheduler.Step{},
		workers: map[identifier.WorkerID]*TaskWorker{}, cut: map[string]map[identifier.WorkerID]bool{},
		incarnations: map[string]map[identifier.WorkerID]scheduler.UnixMilli{},
	}
}

// SetFaults replaces what goes wrong.
func (c *TaskCluster) SetFaults(faults TaskFaults) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults = faults
}

// RegisterJob tells the world what a job's tasks do.
func (c *TaskCluster) RegisterJob(job identifier.JobID, request *scheduler.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for k := 0; k < max(1, request.Repeat); k++ {
		for i := range request.Steps {
			c.steps[scheduler.StepID{Job: job, Occurrence: k, Step: i}] = &request.Steps[i]
		}
	}
}

// Step returns a step that was described, nil if there is none.
func (c *TaskCluster) Step(id scheduler.StepID) *scheduler.Step {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.steps[id]
}

// SetPartition cuts a caller off from workers, or joins them again.
func (c *TaskCluster) SetPartition(caller string, workers []identifier.WorkerID, cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cut[caller] == nil {
		c.cut[caller] = map[identifier.WorkerID]bool{}
	}
	for _, id := range workers {
		c.cut[caller][id] = cut
	}
}

// History returns all that happened, in order.
func (c *TaskCluster) History() []TaskEvent {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]TaskEvent(nil), c.history...)
}

// Running returns the runs that are alive.
func (c *TaskCluster) Running() []scheduler.RunID {
	c.mu.Lock()
	defer c.mu.Unlock()
	var running []scheduler.RunID
	for _, worker := range c.workers {
		for id := range worker.running {
			running = append(running, id)
		}
	}
	return running
}

// WorkerOf returns where a run is alive, empty if nowhere.
func (c *TaskCluster) WorkerOf(run scheduler.RunID) identifier.WorkerID {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, worker := range c.workers {
		if worker.running[run] != nil {
			return id
		}
	}
	return ""
}

// AddWorker adds a worker, or starts it again under its id.
func (c *TaskCluster) AddWorker(id identifier.WorkerID, capacity scheduler.Resources, labels ...string) *TaskWorker {
	c.mu.Lock()
	defer c.mu.Unlock()
	if old := c.workers[id]; old != nil {
		old.shutDown()
	}
	now := time.Now()
	worker := &TaskWorker{
		cluster: c, ID: id, Incarnation: scheduler.UnixMilli(now.UnixMilli()), Labels: labels, Capacity: capacity,
		up: true, start: now, running: map[scheduler.RunID]*taskRun{}, highestRun: map[scheduler.TaskID]int{},
		changed: make(chan struct{}), endRecords: map[int64]endRecord{},
	}
	c.workers[id] = worker
	return worker
}

// call carries an order out as the world's faults want it.
func (c *TaskCluster) call(ctx context.Context, caller string, id identifier.WorkerID, order func(*TaskWorker) coordinator.OrderAnswer) (coordinator.OrderAnswer, error) {
	c.mu.Lock()
	worker := c.workers[id]
	if worker == nil || !worker.up || c.cut[caller][id] {
		c.mu.Unlock()
		<-ctx.Done()
		return coordinator.OrderAnswer{}, ErrNoAnswer
	}
	late := c.random.Float64() < c.faults.LateProbability
	lost := c.random.Float64() < c.faults.LostResponseProbability
	delay := c.faults.LateDelay
	if late {
		c.mu.Unlock()
		time.AfterFunc(delay, func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			// An order ends with the life that has received it.
			if worker.up {
				worker.late = true
				order(worker)
				worker.late = false
			}
		})
		<-ctx.Done()
		return coordinator.OrderAnswer{}, ErrNoAnswer
	}
	answer := order(worker)
	c.mu.Unlock()
	if lost {
		<-ctx.Done()
		return coordinator.OrderAnswer{}, ErrNoAnswer
	}
	return answer, nil
}

// Orders returns the calls of one instance to the workers.
func (c *TaskCluster) Orders(caller string) coordinator.Orders {
	return coordinator.Orders{
		Start: func(ctx context.Context, to coordinator.Destination, order coordinator.StartOrder) (coordinator.OrderAnswer, error) {
			return c.call(ctx, caller, to.Worker, func(t *TaskWorker) coordinator.OrderAnswer { return t.startRun(order) })
		},
		Stop: func(ctx context.Context, to coordinator.Destination, order coordinator.RunOrder) (coordinator.OrderAnswer, error) {
			return c.call(ctx, caller, to.Worker, func(t *TaskWorker) coordinator.OrderAnswer { return t.stopRun(order) })
		},
		Pace: func(ctx context.Context, to coordinator.Destination, order coordinator.RunOrder) (coordinator.OrderAnswer, error) {
			return c.call(ctx, caller, to.Worker, func(t *TaskWorker) coordinator.OrderAnswer { return t.paceRun(order) })
		},
		Poll: func(ctx context.Context, to coordinator.Destination, order coordinator.PollOrder) (scheduler.PollResult, error) {
			return c.poll(ctx, caller, to.Worker, order)
		},
	}
}

// poll answers once there is an end that was not acknowledged, or the wait is
// over.
func (c *TaskCluster) poll(ctx context.Context, caller string, id identifier.WorkerID, order coordinator.PollOrder) (scheduler.PollResult, error) {
	if order.SameIncarnation && !c.sameIncarnation(caller, id) {
		return scheduler.PollResult{}, coordinator.ErrOtherIncarnation
	}
	stale := false
	if _, err := c.call(ctx, caller, id, func(t *TaskWorker) coordinator.OrderAnswer {
		if stale = t.isStale(order.Fence); stale {
			return coordinator.OrderAnswer{}
		}
		c.recordIncarnation(caller, t)
		if order.Deadline > t.clock() {
			t.renewLease(order.Deadline)
		}
		t.acknowledge(order.Acked)
		return coordinator.OrderAnswer{}
	}); err != nil || stale {
		return scheduler.PollResult{}, ErrNoAnswer
	}
	timeout := time.After(time.Duration(order.WaitMillis) * time.Millisecond)
	for timedOut := false; ; {
		c.mu.Lock()
		worker := c.workers[id]
		if worker == nil || !worker.up || c.cut[caller][id] {
			c.mu.Unlock()
			<-ctx.Done()
			return scheduler.PollResult{}, ErrNoAnswer
		}
		result, changed := worker.pollResult(), worker.changed
		c.mu.Unlock()
		if len(result.Ended) > 0 || timedOut {
			return result, nil
		}
		select {
		case <-changed:
		case <-timeout:
			// A cut holds the answer back too.
			timedOut = true
		case <-ctx.Done():
			return scheduler.PollResult{}, ErrNoAnswer
		}
	}
}

func (c *TaskCluster) sameIncarnation(caller string, id identifier.WorkerID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	worker := c.workers[id]
	return worker != nil && c.incarnations[caller][id] == worker.Incarnation
}

// Disconnect ends a caller's connections, as when its process ends.
func (c *TaskCluster) Disconnect(caller string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.incarnations, caller)
}

// recordIncarnation notes the life that a caller reached. The caller holds mu.
func (c *TaskCluster) recordIncarnation(caller string, t *TaskWorker) {
	if c.incarnations[caller] == nil {
		c.incarnations[caller] = map[identifier.WorkerID]scheduler.UnixMilli{}
	}
	c.incarnations[caller][t.ID] = t.Incarnation
}
