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
	How scheduler.How
	// Noted says that the end was taken note of, before the lease lapsed.
	Noted bool
	// Fence is that of the order that started the run.
	Fence scheduler.Fence
}

// clockRate is how fast a worker's clock runs.
const clockRate = 0.99

// TaskFaults are what goes wrong with the calls to task workers. Probabilities
// are between 0 and 1.
type TaskFaults struct {
	// LoseAnswer is how often an order is carried out without an answer.
	LoseAnswer float64
	// ApplyLate is how often an order is carried out LateBy later and never
	// answered.
	ApplyLate float64
	LateBy    time.Duration
	// Fail is how often a run ends as failed.
	Fail float64
}

// TaskWorld is what task workers share: how long tasks take, gangs, and the
// history of all runs. It is safe for concurrent use.
type TaskWorld struct {
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

// NewTaskWorld returns a world in which nothing goes wrong yet.
func NewTaskWorld(seed uint64) *TaskWorld {
	return &TaskWorld{
		StopTime: 100 * time.Millisecond, GangWait: 3 * time.Second, MaxLease: 6 * time.Second,
		random: rand.New(rand.NewPCG(seed, seed)), steps: map[scheduler.StepID]*scheduler.Step{},
		workers: map[identifier.WorkerID]*TaskWorker{}, cut: map[string]map[identifier.WorkerID]bool{},
		lives: map[string]map[identifier.WorkerID]scheduler.UnixMilli{},
	}
}

// SetFaults replaces what goes wrong.
func (w *TaskWorld) SetFaults(faults TaskFaults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = faults
}

// Describe tells the world what a job's tasks do.
func (w *TaskWorld) Describe(job identifier.JobID, request *scheduler.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for k := 0; k < max(1, request.Repeat); k++ {
		for i := range request.Steps {
			w.steps[scheduler.StepID{Job: job, Occurrence: k, Step: i}] = &request.Steps[i]
		}
	}
}

// Cut cuts a caller off from workers, or joins them again.
func (w *TaskWorld) Cut(caller string, workers []identifier.WorkerID, cut bool) {
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
func (w *TaskWorld) History() []TaskEvent {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]TaskEvent(nil), w.history...)
}

// Running returns the runs that are alive.
func (w *TaskWorld) Running() []scheduler.RunID {
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
func (w *TaskWorld) WorkerOf(run scheduler.RunID) identifier.WorkerID {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, worker := range w.workers {
		if worker.running[run] != nil {
			return id
		}
	}
	return ""
}

// TaskWorker is a stand-in worker that runs tasks under leases on its own
// clock.
type TaskWorker struct {
	world    *TaskWorld
	ID       identifier.WorkerID
	Born     scheduler.UnixMilli
	Labels   []string
	Capacity scheduler.Resources

	// The fields below are guarded by the world's mu.
	up       bool
	start    time.Time
	fence    scheduler.Fence
	deadline scheduler.WorkerMilli
	running  map[scheduler.RunID]*taskRun
	highest  map[scheduler.TaskID]int
	ended    []scheduler.End
	number   int64
	acked    int64
	changed  chan struct{}
	sequence int64
	// lapses counts the times that the lease ran out.
	lapses int
	// marks tells where the unacknowledged ends stand in the history, and how
	// often the lease had run out then.
	marks map[int64]endMark
}

type endMark struct {
	event  int
	lapses int
}

type taskRun struct {
	fence scheduler.Fence
	since time.Time
	timer *time.Timer
	works bool
	paced int
}

// Worker adds a worker, or starts it again under its id.
func (w *TaskWorld) Worker(id identifier.WorkerID, capacity scheduler.Resources, labels ...string) *TaskWorker {
	w.mu.Lock()
	defer w.mu.Unlock()
	if old := w.workers[id]; old != nil {
		old.end()
	}
	now := time.Now()
	worker := &TaskWorker{
		world: w, ID: id, Born: scheduler.UnixMilli(now.UnixMilli()), Labels: labels, Capacity: capacity,
		up: true, start: now, running: map[scheduler.RunID]*taskRun{}, highest: map[scheduler.TaskID]int{},
		changed: make(chan struct{}), marks: map[int64]endMark{},
	}
	w.workers[id] = worker
	return worker
}

// Kill ends a worker and all that runs there.
func (t *TaskWorker) Kill() {
	t.world.mu.Lock()
	defer t.world.mu.Unlock()
	t.end()
}

func (t *TaskWorker) end() {
	t.up = false
	for id := range t.running {
		t.finish(id, scheduler.EndLapsed, "")
	}
}

// clock returns the worker's time. It runs one percent slow.
func (t *TaskWorker) clock() scheduler.WorkerMilli {
	return scheduler.WorkerMilli(1 + clockRate*float64(time.Since(t.start).Milliseconds()))
}

// Report returns what numbers and dates the worker's next report.
func (t *TaskWorker) Report() (sequence int64, clock scheduler.WorkerMilli) {
	t.world.mu.Lock()
	defer t.world.mu.Unlock()
	t.sequence++
	return t.sequence, t.clock()
}

func (t *TaskWorker) record(run scheduler.RunID, how scheduler.How, fence scheduler.Fence) {
	t.world.history = append(t.world.history, TaskEvent{At: time.Now(), Worker: t.ID, Run: run, How: how, Fence: fence})
}

func (t *TaskWorker) notify() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// finish ends a run. The caller holds mu.
func (t *TaskWorker) finish(id scheduler.RunID, how scheduler.How, checkpoint string) {
	run, alive := t.running[id]
	if !alive {
		return
	}
	if run.timer != nil {
		run.timer.Stop()
	}
	delete(t.running, id)
	t.highest[id.Task] = max(t.highest[id.Task], id.Number)
	t.addEnd(id, how, checkpoint, run.fence)
	t.breakGang(id, how)
}

func (t *TaskWorker) addEnd(id scheduler.RunID, how scheduler.How, checkpoint string, fence scheduler.Fence) {
	t.record(id, how, fence)
	t.number++
	t.marks[t.number] = endMark{event: len(t.world.history) - 1, lapses: t.lapses}
	t.ended = append(t.ended, scheduler.End{Number: t.number, Run: id, How: how, Checkpoint: checkpoint})
	t.notify()
}

// breakGang ends the other members of a gang.
func (t *TaskWorker) breakGang(id scheduler.RunID, how scheduler.How) {
	step := t.world.steps[id.Task.StepID()]
	if step == nil || !step.Gang || how == scheduler.EndBroken || how == scheduler.EndAlone {
		return
	}
	other := scheduler.EndBroken
	if how == scheduler.EndDone {
		other = scheduler.EndDone
	}
	for _, worker := range t.world.workers {
		for member := range worker.running {
			if member.Task.StepID() == id.Task.StepID() && member.Number == id.Number {
				worker.finishMember(member, other)
			}
		}
	}
}

func (t *TaskWorker) finishMember(id scheduler.RunID, how scheduler.How) {
	run := t.running[id]
	if run.timer != nil {
		run.timer.Stop()
	}
	delete(t.running, id)
	t.highest[id.Task] = max(t.highest[id.Task], id.Number)
	t.addEnd(id, how, "", run.fence)
}

// call carries an order out as the world's faults want it.
func (w *TaskWorld) call(ctx context.Context, caller string, id identifier.WorkerID, order func(*TaskWorker) coordinator.OrderAnswer) (coordinator.OrderAnswer, error) {
	w.mu.Lock()
	worker := w.workers[id]
	if worker == nil || !worker.up || w.cut[caller][id] {
		w.mu.Unlock()
		<-ctx.Done()
		return coordinator.OrderAnswer{}, ErrNoAnswer
	}
	late := w.random.Float64() < w.faults.ApplyLate
	lost := w.random.Float64() < w.faults.LoseAnswer
	delay := w.faults.LateBy
	if late {
		w.mu.Unlock()
		time.AfterFunc(delay, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			// An order ends with the life that has received it.
			if worker.up {
				order(worker)
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
func (w *TaskWorld) Orders(caller string) coordinator.Orders {
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
		Look: func(ctx context.Context, to coordinator.Destination, order coordinator.LookOrder) (scheduler.Look, error) {
			return w.look(ctx, caller, to.Worker, order)
		},
	}
}

// fenced reports whether an order comes from a leader that was followed by
// another, and notes the fence else.
func (t *TaskWorker) fenced(fence scheduler.Fence) bool {
	if fence < t.fence {
		return true
	}
	t.fence = fence
	return false
}

func (t *TaskWorker) refuse(reason coordinator.Refusal) coordinator.OrderAnswer {
	return coordinator.OrderAnswer{Clock: t.clock(), Refusal: reason}
}

func (t *TaskWorker) startRun(order coordinator.StartOrder) coordinator.OrderAnswer {
	if t.fenced(order.Fence) {
		return t.refuse(coordinator.RefusedFence)
	}
	if order.Deadline <= t.clock() {
		return t.refuse(coordinator.RefusedLate)
	}
	t.prolong(order.Deadline)
	if _, there := t.running[order.Run]; there {
		return t.refuse(coordinator.RefusedNot)
	}
	if order.Run.Number <= t.highest[order.Run.Task] {
		return t.refuse(coordinator.RefusedOld)
	}
	step := t.world.steps[order.Run.Task.StepID()]
	if step == nil {
		return t.refuse(coordinator.RefusedInvalid)
	}
	if !step.Counted().Fits(t.room()) {
		return t.refuse(coordinator.RefusedRoom)
	}
	t.running[order.Run] = &taskRun{fence: order.Fence, since: time.Now()}
	t.record(order.Run, "", order.Fence)
	t.begin(order.Run, step)
	return t.refuse(coordinator.RefusedNot)
}

func (t *TaskWorker) room() scheduler.Resources {
	room := t.Capacity
	for id := range t.running {
		if step := t.world.steps[id.Task.StepID()]; step != nil {
			room = room.Minus(step.Counted())
		}
	}
	return room
}

// begin starts the work of a task, of a gang once all members are there.
func (t *TaskWorker) begin(id scheduler.RunID, step *scheduler.Step) {
	if !step.Gang {
		t.work(id, step)
		return
	}
	members := 0
	for _, worker := range t.world.workers {
		for member := range worker.running {
			if member.Task.StepID() == id.Task.StepID() && member.Number == id.Number {
				members++
			}
		}
	}
	if members < step.Width {
		t.running[id].timer = time.AfterFunc(t.world.GangWait, func() { t.alone(id) })
		return
	}
	for _, worker := range t.world.workers {
		for member := range worker.running {
			if member.Task.StepID() == id.Task.StepID() && member.Number == id.Number {
				worker.work(member, step)
			}
		}
	}
}

func (t *TaskWorker) alone(id scheduler.RunID) {
	t.world.mu.Lock()
	defer t.world.mu.Unlock()
	if run := t.running[id]; run != nil && !run.works {
		t.finish(id, scheduler.EndAlone, "")
	}
}

func (t *TaskWorker) work(id scheduler.RunID, step *scheduler.Step) {
	run := t.running[id]
	if run.timer != nil {
		run.timer.Stop()
	}
	run.works = true
	run.since = time.Now()
	if step.LongRunning {
		return
	}
	how := scheduler.EndDone
	if t.world.random.Float64() < t.world.faults.Fail {
		how = scheduler.EndFailed
	}
	run.timer = time.AfterFunc(time.Duration(step.EstimateMillis)*time.Millisecond, func() {
		t.world.mu.Lock()
		defer t.world.mu.Unlock()
		if t.up && t.running[id] == run {
			t.finish(id, how, "")
		}
	})
}

// prolong moves the lease of everything on the worker. It never shortens it.
func (t *TaskWorker) prolong(deadline scheduler.WorkerMilli) {
	deadline = min(deadline, t.clock()+scheduler.WorkerMilli(t.world.MaxLease.Milliseconds()))
	if deadline <= t.deadline {
		return
	}
	t.deadline = deadline
	const rounding = 2 * time.Millisecond
	time.AfterFunc(time.Duration(float64(deadline-t.clock())/clockRate)*time.Millisecond+rounding, func() {
		t.world.mu.Lock()
		defer t.world.mu.Unlock()
		if t.clock() < t.deadline {
			return
		}
		t.lapses++
		for id := range t.running {
			t.finish(id, scheduler.EndLapsed, "")
		}
	})
}

func (t *TaskWorker) stopRun(order coordinator.RunOrder) coordinator.OrderAnswer {
	if t.fenced(order.Fence) {
		return t.refuse(coordinator.RefusedFence)
	}
	t.highest[order.Run.Task] = max(t.highest[order.Run.Task], order.Run.Number)
	if _, there := t.running[order.Run]; there {
		time.AfterFunc(t.world.StopTime, func() {
			t.world.mu.Lock()
			defer t.world.mu.Unlock()
			t.finish(order.Run, scheduler.EndStopped, "saved")
		})
	}
	return t.refuse(coordinator.RefusedNot)
}

func (t *TaskWorker) paceRun(order coordinator.RunOrder) coordinator.OrderAnswer {
	if t.fenced(order.Fence) {
		return t.refuse(coordinator.RefusedFence)
	}
	if run := t.running[order.Run]; run != nil {
		run.paced = order.Percent
	}
	return t.refuse(coordinator.RefusedNot)
}

// look answers once there is an end that was not acknowledged, or the wait is
// over.
func (w *TaskWorld) look(ctx context.Context, caller string, id identifier.WorkerID, order coordinator.LookOrder) (scheduler.Look, error) {
	if order.SameLife && !w.sameLife(caller, id) {
		return scheduler.Look{}, coordinator.ErrOtherLife
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
		return scheduler.Look{}, ErrNoAnswer
	}
	over := time.After(time.Duration(order.WaitMillis) * time.Millisecond)
	for {
		w.mu.Lock()
		worker := w.workers[id]
		if worker == nil || !worker.up || w.cut[caller][id] {
			w.mu.Unlock()
			<-ctx.Done()
			return scheduler.Look{}, ErrNoAnswer
		}
		look, changed := worker.list(), worker.changed
		w.mu.Unlock()
		if len(look.Ended) > 0 {
			return look, nil
		}
		select {
		case <-changed:
		case <-over:
			return look, nil
		case <-ctx.Done():
			return scheduler.Look{}, ErrNoAnswer
		}
	}
}

func (w *TaskWorld) sameLife(caller string, id identifier.WorkerID) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	worker := w.workers[id]
	return worker != nil && w.lives[caller][id] == worker.Born
}

// Disconnect ends a caller's connections, as when its process ends.
func (w *TaskWorld) Disconnect(caller string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.lives, caller)
}

// meet notes the life that a caller reached. The caller holds mu.
func (w *TaskWorld) meet(caller string, t *TaskWorker) {
	if w.lives[caller] == nil {
		w.lives[caller] = map[identifier.WorkerID]scheduler.UnixMilli{}
	}
	w.lives[caller][t.ID] = t.Born
}

func (t *TaskWorker) acknowledge(number int64) {
	t.acked = max(t.acked, number)
	for len(t.ended) > 0 && t.ended[0].Number <= number {
		mark := t.marks[t.ended[0].Number]
		t.world.history[mark.event].Noted = mark.lapses == t.lapses
		t.ended = t.ended[1:]
	}
}

func (t *TaskWorker) list() scheduler.Look {
	look := scheduler.Look{Born: t.Born, Clock: t.clock(), Ended: append([]scheduler.End(nil), t.ended...)}
	for id, run := range t.running {
		step := t.world.steps[id.Task.StepID()]
		percent := 0
		if run.works && step.EstimateMillis > 0 {
			percent = int(min(99, time.Since(run.since).Milliseconds()*100/step.EstimateMillis))
		}
		if run.works && step.LongRunning {
			percent = 100
		}
		look.Running = append(look.Running, scheduler.RunningTask{Run: id, Percent: percent})
	}
	return look
}
