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
	// lives holds the life of each worker that answered a caller's look last.
	lives map[string]map[identifier.WorkerID]scheduler.UnixMilli
}

// NewTaskCluster returns a world in which nothing goes wrong yet.
func NewTaskCluster(seed uint64) *TaskCluster {
	return &TaskCluster{
		StopTime: 100 * time.Millisecond, GangWait: 3 * time.Second, MaxLease: 6 * time.Second,
		random: rand.New(rand.NewPCG(seed, seed)), steps: map[scheduler.StepID]*scheduler.Step{},
		workers: map[identifier.WorkerID]*TaskWorker{}, cut: map[string]map[identifier.WorkerID]bool{},
		lives: map[string]map[identifier.WorkerID]scheduler.UnixMilli{},
	}
}

// SetFaults replaces what goes wrong.
func (w *TaskCluster) SetFaults(faults TaskFaults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = faults
}

// RegisterJob tells the world what a job's tasks do.
func (w *TaskCluster) RegisterJob(job identifier.JobID, request *scheduler.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for k := 0; k < max(1, request.Repeat); k++ {
		for i := range request.Steps {
			w.steps[scheduler.StepID{Job: job, Occurrence: k, Step: i}] = &request.Steps[i]
		}
	}
}

// Step returns a step that was described, nil if there is none.
func (w *TaskCluster) Step(id scheduler.StepID) *scheduler.Step {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.steps[id]
}

// SetPartition cuts a caller off from workers, or joins them again.
func (w *TaskCluster) SetPartition(caller string, workers []identifier.WorkerID, cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cut[caller] == nil {
		w.cut[caller] = map[identifier.WorkerID]bool{}
	}
	for _, id := range workers {
		w.cut[caller][id] = cut
	}
}

// History returns all that happened, in order.
func (w *TaskCluster) History() []TaskEvent {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]TaskEvent(nil), w.history...)
}

// Running returns the runs that are alive.
func (w *TaskCluster) Running() []scheduler.RunID {
	w.mu.Lock()
	defer w.mu.Unlock()
	var alive []scheduler.RunID
	for _, worker := range w.workers {
		for id := range worker.running {
			alive = append(alive, id)
		}
	}
	return alive
}

// WorkerOf returns where a run is alive, empty if nowhere.
func (w *TaskCluster) WorkerOf(run scheduler.RunID) identifier.WorkerID {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, worker := range w.workers {
		if worker.running[run] != nil {
			return id
		}
	}
	return ""
}

// AddWorker adds a worker, or starts it again under its id.
func (w *TaskCluster) AddWorker(id identifier.WorkerID, capacity scheduler.Resources, labels ...string) *TaskWorker {
	w.mu.Lock()
	defer w.mu.Unlock()
	if old := w.workers[id]; old != nil {
		old.end()
	}
	now := time.Now()
	worker := &TaskWorker{
		world: w, ID: id, Incarnation: scheduler.UnixMilli(now.UnixMilli()), Labels: labels, Capacity: capacity,
		up: true, start: now, running: map[scheduler.RunID]*taskRun{}, highest: map[scheduler.TaskID]int{},
		changed: make(chan struct{}), marks: map[int64]endMark{},
	}
	w.workers[id] = worker
	return worker
}

// call carries an order out as the world's faults want it.
func (w *TaskCluster) call(ctx context.Context, caller string, id identifier.WorkerID, order func(*TaskWorker) coordinator.OrderAnswer) (coordinator.OrderAnswer, error) {
	w.mu.Lock()
	worker := w.workers[id]
	if worker == nil || !worker.up || w.cut[caller][id] {
		w.mu.Unlock()
		<-ctx.Done()
		return coordinator.OrderAnswer{}, ErrNoAnswer
	}
	late := w.random.Float64() < w.faults.LateProbability
	lost := w.random.Float64() < w.faults.LostResponseProbability
	delay := w.faults.LateDelay
	if late {
		w.mu.Unlock()
		time.AfterFunc(delay, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
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
	w.mu.Unlock()
	if lost {
		<-ctx.Done()
		return coordinator.OrderAnswer{}, ErrNoAnswer
	}
	return answer, nil
}

// Orders returns the calls of one instance to the workers.
func (w *TaskCluster) Orders(caller string) coordinator.Orders {
	return coordinator.Orders{
		Start: func(ctx context.Context, to coordinator.Destination, order coordinator.StartOrder) (coordinator.OrderAnswer, error) {
			return w.call(ctx, caller, to.Worker, func(t *TaskWorker) coordinator.OrderAnswer { return t.startRun(order) })
		},
		Stop: func(ctx context.Context, to coordinator.Destination, order coordinator.RunOrder) (coordinator.OrderAnswer, error) {
			return w.call(ctx, caller, to.Worker, func(t *TaskWorker) coordinator.OrderAnswer { return t.stopRun(order) })
		},
		Pace: func(ctx context.Context, to coordinator.Destination, order coordinator.RunOrder) (coordinator.OrderAnswer, error) {
			return w.call(ctx, caller, to.Worker, func(t *TaskWorker) coordinator.OrderAnswer { return t.paceRun(order) })
		},
		Poll: func(ctx context.Context, to coordinator.Destination, order coordinator.PollOrder) (scheduler.PollResult, error) {
			return w.look(ctx, caller, to.Worker, order)
		},
	}
}

// look answers once there is an end that was not acknowledged, or the wait is
// over.
func (w *TaskCluster) look(ctx context.Context, caller string, id identifier.WorkerID, order coordinator.PollOrder) (scheduler.PollResult, error) {
	if order.SameIncarnation && !w.sameLife(caller, id) {
		return scheduler.PollResult{}, coordinator.ErrOtherIncarnation
	}
	fenced := false
	if _, err := w.call(ctx, caller, id, func(t *TaskWorker) coordinator.OrderAnswer {
		if fenced = t.fenced(order.Fence); fenced {
			return coordinator.OrderAnswer{}
		}
		w.meet(caller, t)
		if order.Deadline > t.clock() {
			t.prolong(order.Deadline)
		}
		t.acknowledge(order.Acked)
		return coordinator.OrderAnswer{}
	}); err != nil || fenced {
		return scheduler.PollResult{}, ErrNoAnswer
	}
	over := time.After(time.Duration(order.WaitMillis) * time.Millisecond)
	for waited := false; ; {
		w.mu.Lock()
		worker := w.workers[id]
		if worker == nil || !worker.up || w.cut[caller][id] {
			w.mu.Unlock()
			<-ctx.Done()
			return scheduler.PollResult{}, ErrNoAnswer
		}
		look, changed := worker.list(), worker.changed
		w.mu.Unlock()
		if len(look.Ended) > 0 || waited {
			return look, nil
		}
		select {
		case <-changed:
		case <-over:
			// A cut holds the answer back too.
			waited = true
		case <-ctx.Done():
			return scheduler.PollResult{}, ErrNoAnswer
		}
	}
}

func (w *TaskCluster) sameLife(caller string, id identifier.WorkerID) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	worker := w.workers[id]
	return worker != nil && w.lives[caller][id] == worker.Incarnation
}

// Disconnect ends a caller's connections, as when its process ends.
func (w *TaskCluster) Disconnect(caller string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.lives, caller)
}

// meet notes the life that a caller reached. The caller holds mu.
func (w *TaskCluster) meet(caller string, t *TaskWorker) {
	if w.lives[caller] == nil {
		w.lives[caller] = map[identifier.WorkerID]scheduler.UnixMilli{}
	}
	w.lives[caller][t.ID] = t.Incarnation
}
