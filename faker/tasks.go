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

// ErrNoAnswer reports a call that a task worker did not respond to.
var ErrNoAnswer = errors.New("no answer from the worker")

// TaskEvent is the start or the end of a run on a worker, whether or not the
// scheduler knows of it.
type TaskEvent struct {
	At     time.Time
	Worker identifier.WorkerID
	Run    scheduler.RunID
	// EndKind is how the run ended; it is empty for a start.
	EndKind scheduler.EndKind
	// Acknowledged reports that the end was acknowledged before the worker's lease
	// expired.
	Acknowledged bool
	// AcknowledgedAt is when the end was first acknowledged, whether or not in time.
	AcknowledgedAt time.Time
	// Late reports that a start was carried out after its caller had given up.
	Late bool
	// FencingToken is the fencing token of the order that started the run.
	FencingToken scheduler.FencingToken
}

// clockRate is the rate of a worker's clock against the caller's: one percent slow.
const clockRate = 0.99

// TaskFaults configures the faults of task workers and of the calls to them.
// Probabilities are between 0 and 1.
type TaskFaults struct {
	// LostResponseProbability is how often an order is carried out but its response
	// is lost.
	LostResponseProbability float64
	// LateProbability is how often an order is carried out LateDelay later and gets
	// no response.
	LateProbability float64
	LateDelay       time.Duration
	// FailureProbability is how often a run ends as failed.
	FailureProbability float64
}

// TaskCluster simulates a set of task workers that share steps, gangs and the
// history of all runs. It is safe for concurrent use.
type TaskCluster struct {
	// StopTime is how long a run takes to stop.
	StopTime time.Duration
	// StartupTime is how long a long-running task takes from its start until it works
	// fully.
	StartupTime time.Duration
	// GangWait is how long a member of a gang waits for the others to start.
	GangWait time.Duration
	// MaxLease is the longest lease that a worker accepts.
	MaxLease time.Duration
	// MaxListedEnds is the number of ends that a worker lists at most in a poll result; 0
	// means no limit.
	MaxListedEnds int
	// CapacityGrace is how long after a worker's capacity has shrunk the former one
	// still counts in ExceededCapacity.
	CapacityGrace time.Duration
	// CrashDelay says whether a task crashes each worker that starts it, and how long
	// after the start. It may be nil.
	CrashDelay func(scheduler.TaskID) (time.Duration, bool)
	// OnCrash is called after a worker was crashed by a task. It may be nil.
	OnCrash func(*TaskWorker)

	mu      sync.Mutex
	random  *rand.Rand
	faults  TaskFaults
	steps   map[scheduler.StepID]*scheduler.Step
	history []TaskEvent
	workers map[identifier.WorkerID]*TaskWorker
	// exceeded holds the starts that brought workers over their capacity.
	exceeded []scheduler.RunID
	// partitioned holds the workers that each caller can't reach.
	partitioned map[string]map[identifier.WorkerID]bool
	// incarnations holds, by caller, the incarnation of each worker that last
	// accepted a poll.
	incarnations map[string]map[identifier.WorkerID]scheduler.UnixMilli
}

// NewTaskCluster returns a cluster without workers and faults. The seed determines
// which calls and runs faults hit.
func NewTaskCluster(seed uint64) *TaskCluster {
	return &TaskCluster{
		StopTime: 100 * time.Millisecond, GangWait: 3 * time.Second, MaxLease: 6 * time.Second,
		random: rand.New(rand.NewPCG(seed, seed)), steps: map[scheduler.StepID]*scheduler.Step{},
		workers: map[identifier.WorkerID]*TaskWorker{}, partitioned: map[string]map[identifier.WorkerID]bool{},
		incarnations: map[string]map[identifier.WorkerID]scheduler.UnixMilli{},
	}
}

// SetFaults replaces the faults.
func (c *TaskCluster) SetFaults(faults TaskFaults) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults = faults
}

// RegisterJob adds the steps of a job. Orders to start a run of any other step are
// refused as invalid.
func (c *TaskCluster) RegisterJob(job identifier.JobID, request *scheduler.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for k := 0; k < max(1, request.Repeat); k++ {
		for i := range request.Steps {
			c.steps[scheduler.StepID{Job: job, Occurrence: k, Step: i}] = &request.Steps[i]
		}
	}
}

// Step returns a step of a registered job, nil if there is none.
func (c *TaskCluster) Step(id scheduler.StepID) *scheduler.Step {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.steps[id]
}

// SetPartition partitions a caller from workers, or reconnects it to them.
func (c *TaskCluster) SetPartition(caller string, workers []identifier.WorkerID, partitioned bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.partitioned[caller] == nil {
		c.partitioned[caller] = map[identifier.WorkerID]bool{}
	}
	for _, id := range workers {
		c.partitioned[caller][id] = partitioned
	}
}

// History returns a copy of all events in order.
func (c *TaskCluster) History() []TaskEvent {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]TaskEvent(nil), c.history...)
}

// ExceededCapacity returns the runs whose start brought a worker that does not enforce
// its capacity over it.
func (c *TaskCluster) ExceededCapacity() []scheduler.RunID {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]scheduler.RunID(nil), c.exceeded...)
}

// Running returns all runs that have started and not ended, in no order.
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

// WorkerOf returns the worker that a run is running on, empty if none.
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

// AddWorker adds a worker. If one with that ID exists, it is shut down and replaced
// by a new incarnation.
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

// call carries an order out, subject to the cluster's faults and partitions. If it
// gets no response, it returns ErrNoAnswer when ctx ends.
func (c *TaskCluster) call(ctx context.Context, caller string, id identifier.WorkerID, order func(*TaskWorker) coordinator.OrderAnswer) (coordinator.OrderAnswer, error) {
	c.mu.Lock()
	worker := c.workers[id]
	if worker == nil || !worker.up || c.partitioned[caller][id] {
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
			// A late order does not outlive the incarnation that received it.
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

// poll renews the worker's lease and acknowledges ends. It returns once there is an
// unacknowledged end, or when the order's wait has passed. Without a response it
// returns ErrNoAnswer when ctx ends, and for a stale fencing token at once.
func (c *TaskCluster) poll(ctx context.Context, caller string, id identifier.WorkerID, order coordinator.PollOrder) (scheduler.PollResult, error) {
	if order.SameIncarnation && !c.sameIncarnation(caller, id) {
		return scheduler.PollResult{}, coordinator.ErrOtherIncarnation
	}
	stale := false
	var holder *TaskWorker
	if _, err := c.call(ctx, caller, id, func(t *TaskWorker) coordinator.OrderAnswer {
		if stale = t.refuseToken(order.FencingToken); stale {
			return coordinator.OrderAnswer{}
		}
		holder = t
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
		if holder.crashed {
			c.mu.Unlock()
			return scheduler.PollResult{}, ErrNoAnswer
		}
		if worker == nil || !worker.up || c.partitioned[caller][id] {
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
			// The next pass checks for a partition before the result is returned.
			timedOut = true
		case <-ctx.Done():
			return scheduler.PollResult{}, ErrNoAnswer
		}
	}
}

// sameIncarnation reports whether the worker still has the incarnation that the
// caller reached last.
func (c *TaskCluster) sameIncarnation(caller string, id identifier.WorkerID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	worker := c.workers[id]
	return worker != nil && c.incarnations[caller][id] == worker.Incarnation
}

// Disconnect simulates that a caller's connections were closed by the end of its
// process: its next poll for the same incarnation of a worker fails.
func (c *TaskCluster) Disconnect(caller string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.incarnations, caller)
}

// recordIncarnation records the incarnation of the worker that a caller reached.
// mu must be held.
func (c *TaskCluster) recordIncarnation(caller string, t *TaskWorker) {
	if c.incarnations[caller] == nil {
		c.incarnations[caller] = map[identifier.WorkerID]scheduler.UnixMilli{}
	}
	c.incarnations[caller][t.ID] = t.Incarnation
}
