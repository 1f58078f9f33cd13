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
	world       *TaskCluster
	ID          identifier.WorkerID
	Incarnation scheduler.UnixMilli
	Labels      []string
	Capacity    scheduler.Resources

	// The fields below are guarded by the world's mu.
	up       bool
	start    time.Time
	fence    scheduler.FencingToken
	deadline scheduler.WorkerMilli
	running  map[scheduler.RunID]*taskRun
	highest  map[scheduler.TaskID]int
	ended    []scheduler.End
	number   int64
	acked    int64
	changed  chan struct{}
	sequence int64
	// late says that the order at hand is carried out late.
	late bool
	// stalled says that tasks stand still, though the worker answers.
	stalled bool
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
	fence scheduler.FencingToken
	timer *time.Timer
	works bool
	paced int
	// how is how the run will end.
	how scheduler.EndKind
	// done is the work done until since, when it last went on.
	done  time.Duration
	since time.Time
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
		t.finish(id, scheduler.EndLeaseExpired, "")
	}
}

// clock returns the worker's time. It runs one percent slow.
func (t *TaskWorker) clock() scheduler.WorkerMilli {
	return scheduler.WorkerMilli(1 + clockRate*float64(time.Since(t.start).Milliseconds()))
}

// NextReport returns what numbers and dates the worker's next report.
func (t *TaskWorker) NextReport() (sequence int64, clock scheduler.WorkerMilli) {
	t.world.mu.Lock()
	defer t.world.mu.Unlock()
	t.sequence++
	return t.sequence, t.clock()
}

func (t *TaskWorker) record(run scheduler.RunID, how scheduler.EndKind, fence scheduler.FencingToken) {
	t.world.history = append(t.world.history, TaskEvent{At: time.Now(), Worker: t.ID, Run: run, How: how, Fence: fence, Late: t.late})
}

func (t *TaskWorker) notify() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// finish ends a run. The caller holds mu.
func (t *TaskWorker) finish(id scheduler.RunID, how scheduler.EndKind, checkpoint string) {
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

func (t *TaskWorker) addEnd(id scheduler.RunID, how scheduler.EndKind, checkpoint string, fence scheduler.FencingToken) {
	t.record(id, how, fence)
	t.number++
	t.marks[t.number] = endMark{event: len(t.world.history) - 1, lapses: t.lapses}
	t.ended = append(t.ended, scheduler.End{Number: t.number, Run: id, Kind: how, Checkpoint: checkpoint})
	t.notify()
}

// breakGang ends the other members of a gang.
func (t *TaskWorker) breakGang(id scheduler.RunID, how scheduler.EndKind) {
	step := t.world.steps[id.Task.StepID()]
	if step == nil || !step.Gang || how == scheduler.EndGangBroken || how == scheduler.EndGangTimeout {
		return
	}
	other := scheduler.EndGangBroken
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

func (t *TaskWorker) finishMember(id scheduler.RunID, how scheduler.EndKind) {
	run := t.running[id]
	if run.timer != nil {
		run.timer.Stop()
	}
	delete(t.running, id)
	t.highest[id.Task] = max(t.highest[id.Task], id.Number)
	t.addEnd(id, how, "", run.fence)
}

// fenced reports whether an order comes from a leader that was followed by
// another, and notes the fence else.
func (t *TaskWorker) fenced(fence scheduler.FencingToken) bool {
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
		return t.refuse(coordinator.RefusedDeadline)
	}
	t.prolong(order.Deadline)
	if _, there := t.running[order.Run]; there {
		return t.refuse(coordinator.NotRefused)
	}
	if order.Run.Number <= t.highest[order.Run.Task] {
		return t.refuse(coordinator.RefusedStaleRun)
	}
	step := t.world.steps[order.Run.Task.StepID()]
	if step == nil {
		return t.refuse(coordinator.RefusedInvalid)
	}
	if !step.Demand().Fits(t.room()) {
		return t.refuse(coordinator.RefusedCapacity)
	}
	t.running[order.Run] = &taskRun{fence: order.Fence}
	t.record(order.Run, "", order.Fence)
	t.begin(order.Run, step)
	return t.refuse(coordinator.NotRefused)
}

func (t *TaskWorker) room() scheduler.Resources {
	room := t.Capacity
	for id := range t.running {
		if step := t.world.steps[id.Task.StepID()]; step != nil {
			room = room.Minus(step.Demand())
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
		t.finish(id, scheduler.EndGangTimeout, "")
	}
}

func (t *TaskWorker) work(id scheduler.RunID, step *scheduler.Step) {
	run := t.running[id]
	if run.timer != nil {
		run.timer.Stop()
	}
	run.works = true
	if step.LongRunning {
		return
	}
	run.how = scheduler.EndDone
	if t.world.random.Float64() < t.world.faults.FailureProbability {
		run.how = scheduler.EndFailed
	}
	if !t.stalled {
		t.goOn(id, step)
	}
}

// goOn lets a task work until its end.
func (t *TaskWorker) goOn(id scheduler.RunID, step *scheduler.Step) {
	run := t.running[id]
	run.since = time.Now()
	left := time.Duration(step.EstimateMillis)*time.Millisecond - run.done
	run.timer = time.AfterFunc(left, func() {
		t.world.mu.Lock()
		defer t.world.mu.Unlock()
		if t.up && !t.stalled && t.running[id] == run {
			t.finish(id, run.how, "")
		}
	})
}

// SetStalled lets the tasks of a worker stand still, or go on. The worker answers
// all the while.
func (t *TaskWorker) SetStalled(stalled bool) {
	t.world.mu.Lock()
	defer t.world.mu.Unlock()
	if t.stalled == stalled {
		return
	}
	t.stalled = stalled
	for id, run := range t.running {
		step := t.world.steps[id.Task.StepID()]
		if !run.works || step.LongRunning {
			continue
		}
		if !stalled {
			t.goOn(id, step)
			continue
		}
		run.timer.Stop()
		run.done += time.Since(run.since)
	}
}

// percent returns how far a run is.
func (t *TaskWorker) percent(run *taskRun, step *scheduler.Step) int {
	switch {
	case !run.works || step.EstimateMillis <= 0 && !step.LongRunning:
		return 0
	case step.LongRunning:
		return 100
	}
	done := run.done
	if !t.stalled {
		done += time.Since(run.since)
	}
	return int(min(99, done.Milliseconds()*100/step.EstimateMillis))
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
			t.finish(id, scheduler.EndLeaseExpired, "")
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
	return t.refuse(coordinator.NotRefused)
}

func (t *TaskWorker) paceRun(order coordinator.RunOrder) coordinator.OrderAnswer {
	if t.fenced(order.Fence) {
		return t.refuse(coordinator.RefusedFence)
	}
	if run := t.running[order.Run]; run != nil {
		run.paced = order.Percent
	}
	return t.refuse(coordinator.NotRefused)
}

func (t *TaskWorker) acknowledge(number int64) {
	t.acked = max(t.acked, number)
	for len(t.ended) > 0 && t.ended[0].Number <= number {
		mark := t.marks[t.ended[0].Number]
		event := &t.world.history[mark.event]
		event.Acknowledged = mark.lapses == t.lapses
		event.AcknowledgedAt = time.Now()
		t.ended = t.ended[1:]
	}
}

func (t *TaskWorker) list() scheduler.PollResult {
	look := scheduler.PollResult{Incarnation: t.Incarnation, Clock: t.clock(), Ended: append([]scheduler.End(nil), t.ended...)}
	for id, run := range t.running {
		step := t.world.steps[id.Task.StepID()]
		look.Running = append(look.Running, scheduler.RunningTask{Run: id, Percent: t.percent(run, step)})
	}
	return look
}
