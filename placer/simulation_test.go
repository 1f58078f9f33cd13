package placer

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"cranberrystack.dev/cranberrystack/configurer"
	"cranberrystack.dev/cranberrystack/identifier"
	"cranberrystack.dev/cranberrystack/leaser"
	"cranberrystack.dev/cranberrystack/packer"
)

const (
	simStep           = 100 * time.Millisecond
	simLeaseTTL       = 8 * time.Second
	simLeaseMargin    = time.Second
	simGrace          = 2 * time.Second
	simReportInterval = time.Second
)

// machine is a simulated worker with its own lease table.
type machine struct {
	info     Worker
	table    *leaser.Table
	tasks    map[leaser.ID]*simTask
	sequence uint64
	// partial is set while the owner accepts partial reports.
	partial bool
	// partitioned machines send and receive nothing; dead ones do not run
	// either.
	partitioned, dead bool
	// failing machines fail every task that they start.
	failing    bool
	nextReport time.Time
	// starts counts the starts of each attempt on this machine.
	starts map[leaser.ID]int
	// losesStarts says that start commands don't reach the machine, while its reports
	// reach the owner.
	losesStarts bool
}

type simTask struct {
	began, stopAt time.Time
	resume        time.Duration
	checkpoint    bool
}

type delayedCommand struct {
	arrives time.Time
	command Command
}

// simJob describes how a job behaves.
type simJob struct {
	spec    Spec
	runTime time.Duration
	// broken jobs fail on every machine, and crashing ones crash it.
	broken, crashing bool
}

// simulation drives an engine with simulated workers in virtual time and checks
// the invariants after every step.
type simulation struct {
	t         *testing.T
	random    *rand.Rand
	now       time.Time
	view      configurer.View
	engine    *Engine
	epoch     identifier.Epoch
	persisted map[identifier.JobID]Job
	machines  []*machine
	inFlight  []delayedCommand
	jobs      map[identifier.JobID]*simJob
	order     []identifier.JobID
	// lossy simulations drop and delay messages.
	lossy bool
	opts  []Option
	// granted records every lease that was ever granted.
	granted   map[leaser.ID]map[identifier.WorkerID]bool
	violation string
}

func newSimulation(t *testing.T, seed uint64, racks, perRack, accelerators int, view configurer.View) *simulation {
	s := &simulation{
		t: t, random: rand.New(rand.NewPCG(seed, 11)), now: time.Unix(5000, 0), view: view,
		persisted: map[identifier.JobID]Job{}, jobs: map[identifier.JobID]*simJob{},
		granted: map[leaser.ID]map[identifier.WorkerID]bool{},
		opts:    []Option{Lease(simLeaseTTL, simLeaseMargin), Grace(simGrace), ReportTimeout(3 * time.Second), ReserveAfter(5 * time.Second)},
	}
	for rack := range racks {
		for position := range perRack {
			id := identifier.WorkerID(fmt.Sprintf("r%d-w%d", rack, position))
			s.machines = append(s.machines, &machine{
				info: Worker{
					ID: id, Address: string(id), Rack: identifier.RackID(fmt.Sprintf("r%d", rack)),
					Position: position, Accelerator: "gpu", Accelerators: accelerators, Incarnation: 1,
				},
				table: leaser.NewTable(accelerators), tasks: map[leaser.ID]*simTask{}, starts: map[leaser.ID]int{},
			})
		}
	}
	s.replaceOwner()
	return s
}

// replaceOwner replaces the engine by one that knows only the persisted jobs.
func (s *simulation) replaceOwner() {
	s.epoch++
	var jobs []Job
	for _, id := range s.order {
		if job, known := s.persisted[id]; known {
			jobs = append(jobs, job)
		}
	}
	s.engine = New("dc1", s.epoch, 1, jobs, s.now, s.opts...)
	s.engine.SetLists(s.view)
}

func (s *simulation) submit(job *simJob) error {
	if err := s.engine.Submit(job.spec, s.now); err != nil {
		return err
	}
	s.jobs[job.spec.ID] = job
	s.order = append(s.order, job.spec.ID)
	s.flush()
	return nil
}

// flush persists the changed jobs and sends the commands.
func (s *simulation) flush() {
	out := s.engine.TakeOutput()
	for _, job := range out.ChangedJobs {
		s.persisted[job.Spec.ID] = job
	}
	for _, command := range out.Commands {
		delay := time.Duration(0)
		if s.lossy {
			if s.random.IntN(20) == 0 {
				continue
			}
			delay = time.Duration(s.random.IntN(400)) * time.Millisecond
		}
		s.inFlight = append(s.inFlight, delayedCommand{arrives: s.now.Add(delay), command: command})
	}
}

func (s *simulation) step() {
	s.now = s.now.Add(simStep)
	pending := s.inFlight
	s.inFlight = nil
	for _, delayed := range pending {
		if delayed.arrives.After(s.now) {
			s.inFlight = append(s.inFlight, delayed)
			continue
		}
		s.deliver(delayed.command)
	}
	for _, m := range s.machines {
		s.runTasks(m)
		if !s.now.Before(m.nextReport) {
			m.nextReport = s.now.Add(simReportInterval)
			s.report(m)
		}
	}
	s.engine.Tick(s.now)
	s.flush()
	s.checkInvariants()
}

func (s *simulation) machineByID(id identifier.WorkerID) *machine {
	for _, m := range s.machines {
		if m.info.ID == id {
			return m
		}
	}
	return nil
}

func (s *simulation) deliver(command Command) {
	m := s.machineByID(command.Worker)
	if m.partitioned || m.dead || m.table.AcceptEpoch(command.Epoch) != nil {
		return
	}
	switch command.Kind {
	case CommandLease:
		s.grant(m, command)
	case CommandStart:
		if m.losesStarts {
			return
		}
		s.startTask(m, command)
	case CommandStop:
		s.stopTask(m, command)
	}
	s.respond(m)
}

func (s *simulation) grant(m *machine, command Command) {
	if err := m.table.Grant(command.ID, command.Accelerators, s.now.Add(command.TTL)); err != nil {
		m.table.Close(command.ID, leaser.StateStopped, err.Error(), s.now)
		return
	}
	if s.granted[command.ID] == nil {
		s.granted[command.ID] = map[identifier.WorkerID]bool{}
	}
	s.granted[command.ID][m.info.ID] = true
}

func (s *simulation) startTask(m *machine, command Command) {
	first, err := m.table.Start(command.ID)
	if err != nil || !first {
		return
	}
	m.starts[command.ID]++
	m.tasks[command.ID] = &simTask{began: s.now, resume: command.ResumeFrom}
	job, known := s.persisted[command.ID.Job]
	if !known || job.Attempt != command.ID.Attempt {
		return
	}
	for _, piece := range job.Pieces {
		if !s.granted[command.ID][piece.Worker] {
			s.violation = fmt.Sprintf("%s starts on %s before %s has a lease", command.ID.Job, m.info.ID, piece.Worker)
		}
	}
}

func (s *simulation) stopTask(m *machine, command Command) {
	task, known := m.tasks[command.ID]
	if !known {
		m.table.Close(command.ID, leaser.StateStopped, "", s.now)
		return
	}
	task.checkpoint = task.checkpoint || command.Checkpoint
	stopAt := s.now
	if command.Checkpoint {
		stopAt = s.now.Add(min(500*time.Millisecond, command.Grace))
	}
	if task.stopAt.IsZero() || stopAt.Before(task.stopAt) {
		task.stopAt = stopAt
	}
}

func (s *simulation) runTasks(m *machine) {
	if m.dead {
		return
	}
	for _, id := range m.table.Expired(s.now) {
		m.table.Close(id, leaser.StateStopped, "lease expired", s.now)
		delete(m.tasks, id)
	}
	changed := false
	for id, task := range m.tasks {
		if s.jobs[id.Job].crashing && s.now.Sub(task.began) >= 200*time.Millisecond {
			s.crash(m)
			return
		}
		changed = s.runTask(m, id, task) || changed
	}
	if changed {
		s.report(m)
	}
}

func (s *simulation) runTask(m *machine, id leaser.ID, task *simTask) bool {
	job := s.jobs[id.Job]
	done := task.resume + s.now.Sub(task.began)
	switch {
	case !task.stopAt.IsZero() && !s.now.Before(task.stopAt):
		if task.checkpoint {
			m.table.RecordProgress(id, done)
		}
		m.table.Close(id, leaser.StateStopped, "", s.now)
	case (m.failing || job.broken) && s.now.Sub(task.began) >= 300*time.Millisecond:
		m.table.Close(id, leaser.StateFailed, "broken", s.now)
	case done >= job.runTime:
		m.table.Close(id, leaser.StateFinished, "", s.now)
	default:
		m.table.RecordProgress(id, done.Truncate(time.Second))
		return false
	}
	delete(m.tasks, id)
	return true
}

func (s *simulation) snapshot(m *machine) Report {
	m.sequence++
	return Report{Worker: m.info, Sequence: m.sequence, Leases: m.table.All(s.now)}
}

// report sends a machine's report to the owner and applies the lease renewal.
func (s *simulation) report(m *machine) {
	if m.partitioned || m.dead || (s.lossy && s.random.IntN(10) == 0) {
		return
	}
	report := s.snapshot(m)
	if report.Partial = m.partial && s.random.IntN(3) > 0; report.Partial {
		report.Leases = m.table.Unreported(s.now)
	}
	current, err := s.engine.HandleReport(report, s.now)
	if err != nil && !errors.Is(err, ErrFullReportRequired) {
		s.t.Fatalf("report of %s: %v", m.info.ID, err)
	}
	m.partial = err == nil && s.epoch <= m.table.Epoch()
	if current && m.table.AcceptEpoch(s.epoch) == nil {
		m.table.Renew(s.now.Add(s.engine.LeaseTTL()))
		m.table.MarkReported(report.Leases, s.now)
	}
	s.flush()
}

func (s *simulation) respond(m *machine) {
	if s.lossy && s.random.IntN(10) == 0 {
		return
	}
	s.engine.HandleCommandResponse(m.info.ID, s.snapshot(m), s.now)
	s.flush()
}

// crash restarts a machine with empty state.
func (s *simulation) crash(m *machine) {
	m.table = leaser.NewTable(m.info.Accelerators)
	m.tasks = map[leaser.ID]*simTask{}
	m.info.Incarnation++
	m.sequence, m.partial = 0, false
}

// checkInvariants checks, from the machines and not from the engine's state,
// that no accelerator is leased twice, that no job runs in two attempts, that
// no attempt starts twice on a machine, and that no task starts before the
// whole gang is leased.
func (s *simulation) checkInvariants() {
	s.t.Helper()
	if s.violation != "" {
		s.t.Fatal(s.violation)
	}
	attempts := map[identifier.JobID]uint64{}
	for _, m := range s.machines {
		if m.table.Free() < 0 {
			s.t.Fatalf("worker %s has leased out more accelerators than it has", m.info.ID)
		}
		if m.dead {
			continue
		}
		for id := range m.tasks {
			if other, seen := attempts[id.Job]; seen && other != id.Attempt {
				s.t.Fatalf("%s runs as attempt %d and %d at once", id.Job, other, id.Attempt)
			}
			attempts[id.Job] = id.Attempt
			if m.starts[id] > 1 {
				s.t.Fatalf("%s attempt %d started %d times on %s", id.Job, id.Attempt, m.starts[id], m.info.ID)
			}
		}
	}
	s.checkUsage()
}

// checkUsage compares the engine's usage per worker with the sum over its
// pieces.
func (s *simulation) checkUsage() {
	s.t.Helper()
	used := map[identifier.WorkerID]int{}
	for _, job := range s.engine.active.all() {
		for i := range job.Pieces {
			if job.Pieces[i].holdsAccelerators() {
				used[job.Pieces[i].Worker] += job.Pieces[i].Parts * job.Spec.Shape.PerPart
			}
		}
	}
	for id, ws := range s.engine.workers {
		if ws.used != used[id] {
			s.t.Fatalf("worker %s: engine counts %d accelerators in use, its pieces hold %d", id, ws.used, used[id])
		}
		if ws.used > ws.info.Accelerators {
			for _, job := range ws.jobs.all() {
				s.t.Logf("%s pieces %+v recovering %v", job, job.Pieces, job.recovering)
			}
			s.t.Fatalf("worker %s has %d of %d accelerators in use", id, ws.used, ws.info.Accelerators)
		}
	}
}

// allEnded reports whether every job has ended.
func (s *simulation) allEnded() bool {
	for _, id := range s.order {
		job, err := s.engine.Job(s.jobs[id].spec.Member, id)
		if err != nil || !job.State.Ended() {
			return false
		}
	}
	return true
}

func (s *simulation) runFor(length time.Duration) {
	for end := s.now.Add(length); s.now.Before(end); {
		s.step()
	}
}

func (s *simulation) job(id identifier.JobID) Job {
	job, err := s.engine.Job(s.jobs[id].spec.Member, id)
	if err != nil {
		s.t.Fatalf("job %s: %v", id, err)
	}
	return job
}

// runUntil steps until a job is in the given state and returns how long that
// took.
func (s *simulation) runUntil(id identifier.JobID, state State, limit time.Duration) time.Duration {
	s.t.Helper()
	began := s.now
	for s.job(id).State != state {
		if s.now.Sub(began) > limit {
			s.t.Fatalf("%s is %s (%s), not %s within %s", id, s.job(id).State, s.job(id).Reason, state, limit)
		}
		s.step()
	}
	return s.now.Sub(began)
}

var anyAdjacent = []packer.Adjacency{packer.AdjacentWorker, packer.AdjacentNeighbours, packer.AdjacentRack, packer.AdjacentDataCenter}

// testView guarantees isuku one placement on one worker of 8 and one on two
// neighbours of 8, and nieve one on one worker of 8. zebra has no guarantee.
func testView() configurer.View {
	guarantee := func(shape packer.Shape, count int) configurer.Guarantee {
		return configurer.Guarantee{Shape: shape, Count: count, Shares: []configurer.Share{{DataCenter: "dc1", Count: count}}}
	}
	whole := packer.Shape{Adjacent: packer.AdjacentWorker, Parts: 1, PerPart: 8}
	pair := packer.Shape{Adjacent: packer.AdjacentNeighbours, Parts: 2, PerPart: 8}
	allow := func(plan identifier.PlanID, guarantees ...configurer.Guarantee) configurer.Allowance {
		return configurer.Allowance{Plan: plan, Accelerator: "gpu", Limit: 1000, Adjacent: anyAdjacent, Guarantees: guarantees}
	}
	plan := func(id identifier.PlanID, member identifier.MemberID) configurer.Plan {
		return configurer.Plan{ID: id, Member: member, Teams: []configurer.Team{{ID: "team"}}}
	}
	return configurer.View{Index: 1, Lists: configurer.Lists{
		Version: 1,
		Plans:   []configurer.Plan{plan("isuku-plan", "isuku"), plan("nieve-plan", "nieve"), plan("zebra-plan", "zebra")},
		Allowances: []configurer.Allowance{
			allow("isuku-plan", guarantee(whole, 1), guarantee(pair, 1)),
			allow("nieve-plan", guarantee(whole, 1)), allow("zebra-plan"),
		},
	}}
}

func newSimJob(id string, member identifier.MemberID, shape packer.Shape, runTime time.Duration) *simJob {
	return &simJob{runTime: runTime, spec: Spec{
		ID: identifier.JobID(id), Member: member, Plan: identifier.PlanID(string(member) + "-plan"), Team: "team",
		Accelerator: "gpu", Shape: shape, Checkpointable: true, Kind: "kind", DeclaredRunTime: runTime,
	}}
}
