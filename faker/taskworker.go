package faker

import (
	"time"

	"cranberrystack.dev/cranberrystack/coordinator"
	"cranberrystack.dev/cranberrystack/identifier"
	"cranberrystack.dev/cranberrystack/scheduler"
)

// TaskWorker is a stand-in worker that runs tasks under leases on its own
// clock.
type TaskWorker struct {
	cluster     *TaskCluster
	ID          identifier.WorkerID
	Incarnation scheduler.UnixMilli
	Labels      []string
	Capacity    scheduler.Resources

	// The fields below are guarded by the world's mu.
	up         bool
	start      time.Time
	token      scheduler.FencingToken
	deadline   scheduler.WorkerMilli
	running    map[scheduler.RunID]*taskRun
	highestRun map[scheduler.TaskID]int
	unacked    []scheduler.End
	lastEnd    int64
	acked      int64
	changed    chan struct{}
	reports    int64
	// late says that the order at hand is carried out late.
	late bool
	// stalled says that tasks stand still, though the worker answers.
	stalled bool
	// leaseExpiries counts the times that the lease ran out.
	leaseExpiries int
	// endRecords tells where the unacknowledged ends stand in the history, and how
	// often the lease had run out then.
	endRecords map[int64]endRecord
}

type endRecord struct {
	event         int
	leaseExpiries int
}

type taskRun struct {
	token       scheduler.FencingToken
	timer       *time.Timer
	working     bool
	pacePercent int
	// endKind is endKind the run will end.
	endKind scheduler.EndKind
	// workDone is the work workDone until since, when it last went on.
	workDone  time.Duration
	resumedAt time.Time
}

// Kill ends a worker and all that runs there.
func (t *TaskWorker) Kill() {
	t.cluster.mu.Lock()
	defer t.cluster.mu.Unlock()
	t.shutDown()
}

func (t *TaskWorker) shutDown() {
	t.up = false
	for id := range t.running {
		t.finish(id, scheduler.EndLeaseExpired, "")
	}
}

// clock returns the worker's time. It runs one percent slow.
func (t *TaskWorker) clock() scheduler.WorkerMilli {
	return scheduler.WorkerMilli(1 + clockRate*float64(time.Since(t.start).Milliseconds()))
}

// NextReport returns what numbers and dates the worker's next report.
func (t *TaskWorker) NextReport() (sequence int64, clock scheduler.WorkerMilli) {
	t.cluster.mu.Lock()
	defer t.cluster.mu.Unlock()
	t.reports++
	return t.reports, t.clock()
}

func (t *TaskWorker) recordEvent(run scheduler.RunID, kind scheduler.EndKind, token scheduler.FencingToken) {
	t.cluster.history = append(t.cluster.history, TaskEvent{At: time.Now(), Worker: t.ID, Run: run, How: kind, Fence: token, Late: t.late})
}

func (t *TaskWorker) notify() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// finish ends a run. The caller holds mu.
func (t *TaskWorker) finish(id scheduler.RunID, kind scheduler.EndKind, checkpoint string) {
	run, alive := t.running[id]
	if !alive {
		return
	}
	if run.timer != nil {
		run.timer.Stop()
	}
	delete(t.running, id)
	t.highestRun[id.Task] = max(t.highestRun[id.Task], id.Number)
	t.addEnd(id, kind, checkpoint, run.token)
	t.endGang(id, kind)
}

func (t *TaskWorker) addEnd(id scheduler.RunID, kind scheduler.EndKind, checkpoint string, token scheduler.FencingToken) {
	t.recordEvent(id, kind, token)
	t.lastEnd++
	t.endRecords[t.lastEnd] = endRecord{event: len(t.cluster.history) - 1, leaseExpiries: t.leaseExpiries}
	t.unacked = append(t.unacked, scheduler.End{Number: t.lastEnd, Run: id, Kind: kind, Checkpoint: checkpoint})
	t.notify()
}

// endGang ends the other members of a gang.
func (t *TaskWorker) endGang(id scheduler.RunID, kind scheduler.EndKind) {
	step := t.cluster.steps[id.Task.StepID()]
	if step == nil || !step.Gang || kind == scheduler.EndGangBroken || kind == scheduler.EndGangTimeout {
		return
	}
	memberKind := scheduler.EndGangBroken
	if kind == scheduler.EndDone {
		memberKind = scheduler.EndDone
	}
	for _, worker := range t.cluster.workers {
		for member := range worker.running {
			if member.Task.StepID() == id.Task.StepID() && member.Number == id.Number {
				worker.finishGangMember(member, memberKind)
			}
		}
	}
}

func (t *TaskWorker) finishGangMember(id scheduler.RunID, kind scheduler.EndKind) {
	run := t.running[id]
	if run.timer != nil {
		run.timer.Stop()
	}
	delete(t.running, id)
	t.highestRun[id.Task] = max(t.highestRun[id.Task], id.Number)
	t.addEnd(id, kind, "", run.token)
}

// isStale reports whether an order comes from a leader that was followed by
// another, and notes the fence else.
func (t *TaskWorker) isStale(token scheduler.FencingToken) bool {
	if token < t.token {
		return true
	}
	t.token = token
	return false
}

func (t *TaskWorker) answer(refusal coordinator.Refusal) coordinator.OrderAnswer {
	return coordinator.OrderAnswer{Clock: t.clock(), Refusal: refusal}
}

func (t *TaskWorker) startRun(order coordinator.StartOrder) coordinator.OrderAnswer {
	if t.isStale(order.Fence) {
		return t.answer(coordinator.RefusedFence)
	}
	if order.Deadline <= t.clock() {
		return t.answer(coordinator.RefusedDeadline)
	}
	t.renewLease(order.Deadline)
	if _, running := t.running[order.Run]; running {
		return t.answer(coordinator.NotRefused)
	}
	if order.Run.Number <= t.highestRun[order.Run.Task] {
		return t.answer(coordinator.RefusedStaleRun)
	}
	step := t.cluster.steps[order.Run.Task.StepID()]
	if step == nil {
		return t.answer(coordinator.RefusedInvalid)
	}
	if !step.Demand().Fits(t.freeCapacity()) {
		return t.answer(coordinator.RefusedCapacity)
	}
	t.running[order.Run] = &taskRun{token: order.Fence}
	t.recordEvent(order.Run, "", order.Fence)
	t.startWork(order.Run, step)
	return t.answer(coordinator.NotRefused)
}

func (t *TaskWorker) freeCapacity() scheduler.Resources {
	free := t.Capacity
	for id := range t.running {
		if step := t.cluster.steps[id.Task.StepID()]; step != nil {
			free = free.Minus(step.Demand())
		}
	}
	return free
}

// startWork starts the work of a task, of a gang once all members are there.
func (t *TaskWorker) startWork(id scheduler.RunID, step *scheduler.Step) {
	if !step.Gang {
		t.work(id, step)
		return
	}
	members := 0
	for _, worker := range t.cluster.workers {
		for member := range worker.running {
			if member.Task.StepID() == id.Task.StepID() && member.Number == id.Number {
				members++
			}
		}
	}
	if members < step.Width {
		t.running[id].timer = time.AfterFunc(t.cluster.GangWait, func() { t.gangTimeout(id) })
		return
	}
	for _, worker := range t.cluster.workers {
		for member := range worker.running {
			if member.Task.StepID() == id.Task.StepID() && member.Number == id.Number {
				worker.work(member, step)
			}
		}
	}
}

func (t *TaskWorker) gangTimeout(id scheduler.RunID) {
	t.cluster.mu.Lock()
	defer t.cluster.mu.Unlock()
	if run := t.running[id]; run != nil && !run.working {
		t.finish(id, scheduler.EndGangTimeout, "")
	}
}

func (t *TaskWorker) work(id scheduler.RunID, step *scheduler.Step) {
	run := t.running[id]
	if run.timer != nil {
		run.timer.Stop()
	}
	run.working = true
	if step.LongRunning {
		return
	}
	run.endKind = scheduler.EndDone
	if t.cluster.random.Float64() < t.cluster.faults.FailureProbability {
		run.endKind = scheduler.EndFailed
	}
	if !t.stalled {
		t.resume(id, step)
	}
}

// resume lets a task work until its end.
func (t *TaskWorker) resume(id scheduler.RunID, step *scheduler.Step) {
	run := t.running[id]
	run.resumedAt = time.Now()
	remaining := time.Duration(step.EstimateMillis)*time.Millisecond - run.workDone
	run.timer = time.AfterFunc(remaining, func() {
		t.cluster.mu.Lock()
		defer t.cluster.mu.Unlock()
		if t.up && !t.stalled && t.running[id] == run {
			t.finish(id, run.endKind, "")
		}
	})
}

// SetStalled lets the tasks of a worker stand still, or go on. The worker answers
// all the while.
func (t *TaskWorker) SetStalled(stalled bool) {
	t.cluster.mu.Lock()
	defer t.cluster.mu.Unlock()
	if t.stalled == stalled {
		return
	}
	t.stalled = stalled
	for id, run := range t.running {
		step := t.cluster.steps[id.Task.StepID()]
		if !run.working || step.LongRunning {
			continue
		}
		if !stalled {
			t.resume(id, step)
			continue
		}
		run.timer.Stop()
		run.workDone += time.Since(run.resumedAt)
	}
}

// percent returns how far a run is.
func (t *TaskWorker) percent(run *taskRun, step *scheduler.Step) int {
	switch {
	case !run.working || step.EstimateMillis <= 0 && !step.LongRunning:
		return 0
	case step.LongRunning:
		return 100
	}
	done := run.workDone
	if !t.stalled {
		done += time.Since(run.resumedAt)
	}
	return int(min(99, done.Milliseconds()*100/step.EstimateMillis))
}

// renewLease moves the lease of everything on the worker. It never shortens it.
func (t *TaskWorker) renewLease(deadline scheduler.WorkerMilli) {
	deadline = min(deadline, t.clock()+scheduler.WorkerMilli(t.cluster.MaxLease.Milliseconds()))
	if deadline <= t.deadline {
		return
	}
	t.deadline = deadline
	const rounding = 2 * time.Millisecond
	time.AfterFunc(time.Duration(float64(deadline-t.clock())/clockRate)*time.Millisecond+rounding, func() {
		t.cluster.mu.Lock()
		defer t.cluster.mu.Unlock()
		if t.clock() < t.deadline {
			return
		}
		t.leaseExpiries++
		for id := range t.running {
			t.finish(id, scheduler.EndLeaseExpired, "")
		}
	})
}

func (t *TaskWorker) stopRun(order coordinator.RunOrder) coordinator.OrderAnswer {
	if t.isStale(order.Fence) {
		return t.answer(coordinator.RefusedFence)
	}
	t.highestRun[order.Run.Task] = max(t.highestRun[order.Run.Task], order.Run.Number)
	if _, running := t.running[order.Run]; running {
		time.AfterFunc(t.cluster.StopTime, func() {
			t.cluster.mu.Lock()
			defer t.cluster.mu.Unlock()
			t.finish(order.Run, scheduler.EndStopped, "saved")
		})
	}
	return t.answer(coordinator.NotRefused)
}

func (t *TaskWorker) paceRun(order coordinator.RunOrder) coordinator.OrderAnswer {
	if t.isStale(order.Fence) {
		return t.answer(coordinator.RefusedFence)
	}
	if run := t.running[order.Run]; run != nil {
		run.pacePercent = order.Percent
	}
	return t.answer(coordinator.NotRefused)
}

func (t *TaskWorker) acknowledge(number int64) {
	t.acked = max(t.acked, number)
	for len(t.unacked) > 0 && t.unacked[0].Number <= number {
		record := t.endRecords[t.unacked[0].Number]
		event := &t.cluster.history[record.event]
		event.Acknowledged = record.leaseExpiries == t.leaseExpiries
		event.AcknowledgedAt = time.Now()
		t.unacked = t.unacked[1:]
	}
}

func (t *TaskWorker) pollResult() scheduler.PollResult {
	result := scheduler.PollResult{Incarnation: t.Incarnation, Clock: t.clock(), Ended: append([]scheduler.End(nil), t.unacked...)}
	for id, run := range t.running {
		step := t.cluster.steps[id.Task.StepID()]
		result.Running = append(result.Running, scheduler.RunningTask{Run: id, Percent: t.percent(run, step)})
	}
	return result
}
