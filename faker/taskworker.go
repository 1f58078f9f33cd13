package faker

import (
	"time"

	"cranberrystack.dev/cranberrystack/coordinator"
	"cranberrystack.dev/cranberrystack/identifier"
	"cranberrystack.dev/cranberrystack/scheduler"
)

// TaskWorker is a fake worker that runs tasks under leases by its own clock. Its
// unexported methods require that the caller holds the cluster's mu, except
// expireGangWait, which locks it.
type TaskWorker struct {
	cluster     *TaskCluster
	ID          identifier.WorkerID
	Incarnation scheduler.UnixMilli
	Labels      []string
	Capacity    scheduler.Resources

	// The fields below are guarded by the cluster's mu.

	// ignoresCapacity says that the worker starts runs beyond its capacity.
	ignoresCapacity bool
	// formerCapacities holds the capacities that were replaced, and until when each
	// was in force.
	formerCapacities []formerCapacity
	up               bool
	start            time.Time
	// token is the highest fencing token seen.
	token scheduler.FencingToken
	// deadline is when the lease of all runs expires.
	deadline scheduler.WorkerMilli
	running  map[scheduler.RunID]*taskRun
	// highestRun holds the highest run number of each task that ended or was
	// ordered to stop.
	highestRun map[scheduler.TaskID]int
	// unacked holds the ends that were not acknowledged yet, by number.
	unacked []scheduler.End
	// lastEnd is the number of the last end.
	lastEnd int64
	// acked is the highest number of an acknowledged end.
	acked int64
	// changed is closed and replaced whenever a run ends.
	changed chan struct{}
	// reports is the sequence number of the last report.
	reports int64
	// crashed reports that the worker's connections were closed by a crash.
	crashed bool
	// late reports that the order being carried out is late.
	late bool
	// stalled reports that tasks make no progress, though the worker responds.
	stalled bool
	// leaseExpiries counts how often the lease expired.
	leaseExpiries int
	// endRecords holds the record of each end by its number.
	endRecords map[int64]endRecord
}

// endRecord is the index of an end in the history, and how often the lease had
// expired by then.
type endRecord struct {
	eventIndex    int
	leaseExpiries int
}

type formerCapacity struct {
	capacity scheduler.Resources
	until    time.Time
}

type taskRun struct {
	token   scheduler.FencingToken
	timer   *time.Timer
	working bool
	// workingSince is when the run began to work, the startup of a long-running task
	// included.
	workingSince time.Time
	pacePercent  int
	// endKind is how the run will end.
	endKind scheduler.EndKind
	// workDone is the work done before resumedAt, when the run last started or
	// resumed work.
	workDone  time.Duration
	resumedAt time.Time
}

// Kill shuts the worker down and ends all its runs.
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

// clock returns the worker's time, which starts at 1 and runs at clockRate.
func (t *TaskWorker) clock() scheduler.WorkerMilli {
	return scheduler.WorkerMilli(1 + clockRate*float64(time.Since(t.start).Milliseconds()))
}

// NextReport returns the sequence number and the clock of the worker's next report.
func (t *TaskWorker) NextReport() (sequence int64, clock scheduler.WorkerMilli) {
	t.cluster.mu.Lock()
	defer t.cluster.mu.Unlock()
	t.reports++
	return t.reports, t.clock()
}

func (t *TaskWorker) recordEvent(run scheduler.RunID, kind scheduler.EndKind, token scheduler.FencingToken) {
	t.cluster.history = append(t.cluster.history, TaskEvent{At: time.Now(), Worker: t.ID, Run: run, EndKind: kind, FencingToken: token, Late: t.late})
}

// notify wakes the polls that wait for an end.
func (t *TaskWorker) notify() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// finish ends a run, and the other members of its gang if it has one. It has no
// effect on a run that has ended.
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
	t.endRecords[t.lastEnd] = endRecord{eventIndex: len(t.cluster.history) - 1, leaseExpiries: t.leaseExpiries}
	t.unacked = append(t.unacked, scheduler.End{Number: t.lastEnd, Run: id, Kind: kind, Checkpoint: checkpoint})
	t.notify()
}

// endGang ends the other members of a gang: as done if this member is done, otherwise
// as broken. A member that ended because the gang broke or was incomplete ends no
// others.
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

// refuseToken reports whether the token is lower than one seen before, which
// means that the leader has been replaced. Otherwise it records the token.
func (t *TaskWorker) refuseToken(token scheduler.FencingToken) bool {
	if token < t.token {
		return true
	}
	t.token = token
	return false
}

// answer returns an answer with the worker's clock.
func (t *TaskWorker) answer(refusal coordinator.Refusal) coordinator.OrderAnswer {
	return coordinator.OrderAnswer{Clock: t.clock(), Refusal: refusal}
}

func (t *TaskWorker) startRun(order coordinator.StartOrder) coordinator.OrderAnswer {
	if t.refuseToken(order.FencingToken) {
		return t.answer(coordinator.RefusedStaleToken)
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
	if !step.Demand().Fits(t.freeCapacity(t.Capacity)) {
		if !t.ignoresCapacity {
			return t.answer(coordinator.RefusedCapacity)
		}
		t.recordExcess(order.Run, step)
	}
	t.running[order.Run] = &taskRun{token: order.FencingToken}
	t.recordEvent(order.Run, "", order.FencingToken)
	t.scheduleCrash(order.Run)
	t.startWhenReady(order.Run, step)
	return t.answer(coordinator.NotRefused)
}

// scheduleCrash crashes the worker later if the run's task does that. The task does
// not crash the worker after the run has ended.
func (t *TaskWorker) scheduleCrash(id scheduler.RunID) {
	if t.cluster.CrashDelay == nil {
		return
	}
	delay, crashes := t.cluster.CrashDelay(id.Task)
	if !crashes {
		return
	}
	time.AfterFunc(delay, func() {
		t.cluster.mu.Lock()
		_, running := t.running[id]
		t.cluster.mu.Unlock()
		if running {
			t.Crash()
		}
	})
}

// Crash ends the worker's process and closes its connections, so that polls that it
// holds fail at once.
func (t *TaskWorker) Crash() {
	t.cluster.mu.Lock()
	t.crashed = true
	t.shutDown()
	t.notify()
	t.cluster.mu.Unlock()
	if t.cluster.OnCrash != nil {
		t.cluster.OnCrash(t)
	}
}

// SetCapacity changes the worker's capacity, which its next report shows.
func (t *TaskWorker) SetCapacity(capacity scheduler.Resources) {
	t.cluster.mu.Lock()
	defer t.cluster.mu.Unlock()
	t.formerCapacities = append(t.formerCapacities, formerCapacity{capacity: t.Capacity, until: time.Now()})
	t.Capacity = capacity
}

// CurrentCapacity returns the worker's capacity.
func (t *TaskWorker) CurrentCapacity() scheduler.Resources {
	t.cluster.mu.Lock()
	defer t.cluster.mu.Unlock()
	return t.Capacity
}

// IgnoreCapacity lets the worker start runs beyond its capacity.
func (t *TaskWorker) IgnoreCapacity() {
	t.cluster.mu.Lock()
	defer t.cluster.mu.Unlock()
	t.ignoresCapacity = true
}

// recordExcess records a start that exceeds the worker's capacity, unless it fits into
// one that was in force within the grace period.
func (t *TaskWorker) recordExcess(id scheduler.RunID, step *scheduler.Step) {
	for _, former := range t.formerCapacities {
		if time.Since(former.until) <= t.cluster.CapacityGrace && step.Demand().Fits(t.freeCapacity(former.capacity)) {
			return
		}
	}
	t.cluster.exceeded = append(t.cluster.exceeded, id)
}

// freeCapacity returns what the worker's runs leave of a capacity.
func (t *TaskWorker) freeCapacity(capacity scheduler.Resources) scheduler.Resources {
	free := capacity
	for id := range t.running {
		if step := t.cluster.steps[id.Task.StepID()]; step != nil {
			free = free.Minus(step.Demand())
		}
	}
	return free
}

// startWhenReady starts the work of a run. The work of a gang starts once all members
// have started.
func (t *TaskWorker) startWhenReady(id scheduler.RunID, step *scheduler.Step) {
	if !step.Gang {
		t.startWork(id, step)
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
		t.running[id].timer = time.AfterFunc(t.cluster.GangWait, func() { t.expireGangWait(id) })
		return
	}
	for _, worker := range t.cluster.workers {
		for member := range worker.running {
			if member.Task.StepID() == id.Task.StepID() && member.Number == id.Number {
				worker.startWork(member, step)
			}
		}
	}
}

// expireGangWait ends a gang member if the others have not started by the end of
// GangWait.
func (t *TaskWorker) expireGangWait(id scheduler.RunID) {
	t.cluster.mu.Lock()
	defer t.cluster.mu.Unlock()
	if run := t.running[id]; run != nil && !run.working {
		t.finish(id, scheduler.EndGangTimeout, "")
	}
}

// startWork starts the work of a run and determines how it will end. The work of a
// long-running task never ends on its own.
func (t *TaskWorker) startWork(id scheduler.RunID, step *scheduler.Step) {
	run := t.running[id]
	if run.timer != nil {
		run.timer.Stop()
	}
	run.working, run.workingSince = true, time.Now()
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

// resume starts or resumes the work of a run and schedules its end.
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

// SetStalled stalls the tasks of a worker, or lets them resume. The worker responds
// in either state.
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

// percent returns the progress of a run, at most 99 until it ends. A long-running
// task has 100 from StartupTime on.
func (t *TaskWorker) percent(run *taskRun, step *scheduler.Step) int {
	switch {
	case !run.working || step.EstimateMillis <= 0 && !step.LongRunning:
		return 0
	case step.LongRunning && time.Since(run.workingSince) < t.cluster.StartupTime:
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

// renewLease extends the lease of all runs on the worker, to at most MaxLease from
// now. It never shortens it. All runs end when the lease expires.
func (t *TaskWorker) renewLease(deadline scheduler.WorkerMilli) {
	deadline = min(deadline, t.clock()+scheduler.WorkerMilli(t.cluster.MaxLease.Milliseconds()))
	if deadline <= t.deadline {
		return
	}
	t.deadline = deadline
	// rounding makes up for the rounding of the clock to milliseconds.
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
	if t.refuseToken(order.FencingToken) {
		return t.answer(coordinator.RefusedStaleToken)
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
	if t.refuseToken(order.FencingToken) {
		return t.answer(coordinator.RefusedStaleToken)
	}
	if run := t.running[order.Run]; run != nil {
		run.pacePercent = order.Percent
	}
	return t.answer(coordinator.NotRefused)
}

// acknowledge drops all ends up to a number and marks their events as acknowledged
// if the lease has not expired since.
func (t *TaskWorker) acknowledge(number int64) {
	t.acked = max(t.acked, number)
	for len(t.unacked) > 0 && t.unacked[0].Number <= number {
		record := t.endRecords[t.unacked[0].Number]
		event := &t.cluster.history[record.eventIndex]
		event.Acknowledged = record.leaseExpiries == t.leaseExpiries
		event.AcknowledgedAt = time.Now()
		t.unacked = t.unacked[1:]
	}
}

func (t *TaskWorker) pollResult() scheduler.PollResult {
	listed := len(t.unacked)
	limit := t.cluster.MaxListedEnds
	if limit > 0 {
		listed = min(listed, limit)
	}
	result := scheduler.PollResult{
		Incarnation: t.Incarnation, Clock: t.clock(), Ended: append([]scheduler.End(nil), t.unacked[:listed]...),
		EndsTruncated: limit > 0 && listed == limit,
	}
	for id, run := range t.running {
		step := t.cluster.steps[id.Task.StepID()]
		result.Running = append(result.Running, scheduler.LiveRun{Run: id, Percent: t.percent(run, step)})
	}
	return result
}
