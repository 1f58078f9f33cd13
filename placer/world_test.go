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
	worldStep   = 100 * time.Millisecond
	worldLease  = 8 * time.Second
	worldMargin = time.Second
	worldGrace  = 2 * time.Second
	worldReport = time.Second
)

// machine is a worker of the world, with its own clock's view of its leases.
type machine struct {
	info     Worker
	table    *leaser.Table
	tasks    map[leaser.ID]*running
	sequence uint64
	// partial is set while the owner takes partial reports.
	partial bool
	// cut machines neither hear nor are heard; dead ones run nothing.
	cut, dead bool
	// failing machines fail everything they start.
	failing  bool
	reportAt time.Time
	// starts counts the starts of each attempt here.
	starts map[leaser.ID]int
}

type running struct {
	began, stopAt time.Time
	resume        time.Duration
	checkpoint    bool
}

type letter struct {
	arrives time.Time
	command Command
}

// work says how a job of the world goes.
type work struct {
	spec  Spec
	takes time.Duration
	// broken jobs fail wherever they run.
	broken bool
}

// world drives an engine with stand-in workers in virtual time and checks the
// invariants after every step.
type world struct {
	t        *testing.T
	random   *rand.Rand
	now      time.Time
	view     configurer.View
	engine   *Engine
	epoch    identifier.Epoch
	kept     map[identifier.JobID]Job
	machines []*machine
	letters  []letter
	works    map[identifier.JobID]*work
	order    []identifier.JobID
	// lossy worlds drop and delay messages.
	lossy bool
	opts  []Option
	// granted holds every lease that was ever granted.
	granted map[leaser.ID]map[identifier.WorkerID]bool
	fault   string
}

func newWorld(t *testing.T, seed uint64, racks, perRack, accelerators int, view configurer.View) *world {
	w := &world{
		t: t, random: rand.New(rand.NewPCG(seed, 11)), now: time.Unix(5000, 0), view: view,
		kept: map[identifier.JobID]Job{}, works: map[identifier.JobID]*work{},
		granted: map[leaser.ID]map[identifier.WorkerID]bool{},
		opts:    []Option{Lease(worldLease, worldMargin), Grace(worldGrace), ReportTimeout(3 * time.Second), ReserveAfter(5 * time.Second)},
	}
	for rack := range racks {
		for position := range perRack {
			id := identifier.WorkerID(fmt.Sprintf("r%d-w%d", rack, position))
			w.machines = append(w.machines, &machine{
				info: Worker{
					ID: id, Address: string(id), Rack: identifier.RackID(fmt.Sprintf("r%d", rack)),
					Position: position, Accelerator: "gpu", Accelerators: accelerators, Incarnation: 1,
				},
				table: leaser.NewTable(accelerators), tasks: map[leaser.ID]*running{}, starts: map[leaser.ID]int{},
			})
		}
	}
	w.takeOver()
	return w
}

// takeOver replaces the owner by one that knows only what was kept.
func (w *world) takeOver() {
	w.epoch++
	var jobs []Job
	for _, id := range w.order {
		if job, known := w.kept[id]; known {
			jobs = append(jobs, job)
		}
	}
	w.engine = New("dc1", w.epoch, 1, jobs, w.now, w.opts...)
	w.engine.SetLists(w.view)
}

func (w *world) submit(job *work) error {
	if err := w.engine.Submit(job.spec, w.now); err != nil {
		return err
	}
	w.works[job.spec.ID] = job
	w.order = append(w.order, job.spec.ID)
	w.flush()
	return nil
}

// flush keeps what has changed and sends the commands.
func (w *world) flush() {
	out := w.engine.TakeOutput()
	for _, job := range out.ChangedJobs {
		w.kept[job.Spec.ID] = job
	}
	for _, command := range out.Commands {
		delay := time.Duration(0)
		if w.lossy {
			if w.random.IntN(20) == 0 {
				continue
			}
			delay = time.Duration(w.random.IntN(400)) * time.Millisecond
		}
		w.letters = append(w.letters, letter{arrives: w.now.Add(delay), command: command})
	}
}

func (w *world) step() {
	w.now = w.now.Add(worldStep)
	due := w.letters
	w.letters = nil
	for _, l := range due {
		if l.arrives.After(w.now) {
			w.letters = append(w.letters, l)
			continue
		}
		w.deliver(l.command)
	}
	for _, m := range w.machines {
		w.runTasks(m)
		if !w.now.Before(m.reportAt) {
			m.reportAt = w.now.Add(worldReport)
			w.report(m)
		}
	}
	w.engine.Tick(w.now)
	w.flush()
	w.check()
}

func (w *world) machine(id identifier.WorkerID) *machine {
	for _, m := range w.machines {
		if m.info.ID == id {
			return m
		}
	}
	return nil
}

func (w *world) deliver(command Command) {
	m := w.machine(command.Worker)
	if m.cut || m.dead || m.table.AcceptEpoch(command.Epoch) != nil {
		return
	}
	switch command.Kind {
	case CommandLease:
		w.grant(m, command)
	case CommandStart:
		w.startTask(m, command)
	case CommandStop:
		w.stopTask(m, command)
	}
	w.answer(m)
}

func (w *world) grant(m *machine, command Command) {
	if err := m.table.Grant(command.ID, command.Accelerators, w.now.Add(command.TTL)); err != nil {
		m.table.Close(command.ID, leaser.StateStopped, err.Error(), w.now)
		return
	}
	if w.granted[command.ID] == nil {
		w.granted[command.ID] = map[identifier.WorkerID]bool{}
	}
	w.granted[command.ID][m.info.ID] = true
}

func (w *world) startTask(m *machine, command Command) {
	first, err := m.table.Start(command.ID)
	if err != nil || !first {
		return
	}
	m.starts[command.ID]++
	m.tasks[command.ID] = &running{began: w.now, resume: command.ResumeFrom}
	job, known := w.kept[command.ID.Job]
	if !known || job.Attempt != command.ID.Attempt {
		return
	}
	for _, piece := range job.Pieces {
		if !w.granted[command.ID][piece.Worker] {
			w.fault = fmt.Sprintf("%s starts on %s though %s has no lease", command.ID.Job, m.info.ID, piece.Worker)
		}
	}
}

func (w *world) stopTask(m *machine, command Command) {
	task, known := m.tasks[command.ID]
	if !known {
		m.table.Close(command.ID, leaser.StateStopped, "", w.now)
		return
	}
	task.checkpoint = task.checkpoint || command.Checkpoint
	stopAt := w.now
	if command.Checkpoint {
		stopAt = w.now.Add(min(500*time.Millisecond, command.Grace))
	}
	if task.stopAt.IsZero() || stopAt.Before(task.stopAt) {
		task.stopAt = stopAt
	}
}

func (w *world) runTasks(m *machine) {
	if m.dead {
		return
	}
	for _, id := range m.table.Expired(w.now) {
		m.table.Close(id, leaser.StateStopped, "lease ran out", w.now)
		delete(m.tasks, id)
	}
	changed := false
	for id, task := range m.tasks {
		changed = w.runTask(m, id, task) || changed
	}
	if changed {
		w.report(m)
	}
}

func (w *world) runTask(m *machine, id leaser.ID, task *running) bool {
	job := w.works[id.Job]
	done := task.resume + w.now.Sub(task.began)
	switch {
	case !task.stopAt.IsZero() && !w.now.Before(task.stopAt):
		if task.checkpoint {
			m.table.RecordProgress(id, done)
		}
		m.table.Close(id, leaser.StateStopped, "", w.now)
	case (m.failing || job.broken) && w.now.Sub(task.began) >= 300*time.Millisecond:
		m.table.Close(id, leaser.StateFailed, "broken", w.now)
	case done >= job.takes:
		m.table.Close(id, leaser.StateFinished, "", w.now)
	default:
		m.table.RecordProgress(id, done.Truncate(time.Second))
		return false
	}
	delete(m.tasks, id)
	return true
}

func (w *world) snapshot(m *machine) Report {
	m.sequence++
	return Report{Worker: m.info, Sequence: m.sequence, Leases: m.table.All(w.now)}
}

// report sends the machine's word to the owner and takes the renewal.
func (w *world) report(m *machine) {
	if m.cut || m.dead || (w.lossy && w.random.IntN(10) == 0) {
		return
	}
	report := w.snapshot(m)
	if report.Partial = m.partial && w.random.IntN(3) > 0; report.Partial {
		report.Leases = m.table.Unreported(w.now)
	}
	current, err := w.engine.HandleReport(report, w.now)
	if err != nil && !errors.Is(err, ErrFullReportRequired) {
		w.t.Fatalf("report of %s: %v", m.info.ID, err)
	}
	m.partial = err == nil && w.epoch <= m.table.Epoch()
	if current && m.table.AcceptEpoch(w.epoch) == nil {
		m.table.Renew(w.now.Add(w.engine.LeaseTTL()))
		m.table.MarkReported(report.Leases)
	}
	w.flush()
}

func (w *world) answer(m *machine) {
	if w.lossy && w.random.IntN(10) == 0 {
		return
	}
	w.engine.HandleCommandResponse(m.info.ID, w.snapshot(m), w.now)
	w.flush()
}

// crash restarts a machine that forgets everything.
func (w *world) crash(m *machine) {
	m.table = leaser.NewTable(m.info.Accelerators)
	m.tasks = map[leaser.ID]*running{}
	m.info.Incarnation++
	m.sequence, m.partial = 0, false
}

// check looks at the world as it is, not at the engine's books.
func (w *world) check() {
	w.t.Helper()
	if w.fault != "" {
		w.t.Fatal(w.fault)
	}
	attempts := map[identifier.JobID]uint64{}
	for _, m := range w.machines {
		if m.table.Free() < 0 {
			w.t.Fatalf("%s holds more accelerators than it has", m.info.ID)
		}
		if m.dead {
			continue
		}
		for id := range m.tasks {
			if other, seen := attempts[id.Job]; seen && other != id.Attempt {
				w.t.Fatalf("%s runs as attempt %d and %d at once", id.Job, other, id.Attempt)
			}
			attempts[id.Job] = id.Attempt
			if m.starts[id] > 1 {
				w.t.Fatalf("%s attempt %d started %d times on %s", id.Job, id.Attempt, m.starts[id], m.info.ID)
			}
		}
	}
	w.checkBooks()
}

// checkBooks compares the engine's books with the sum of its pieces.
func (w *world) checkBooks() {
	w.t.Helper()
	used := map[identifier.WorkerID]int{}
	for _, job := range w.engine.running.all() {
		for i := range job.Pieces {
			if job.Pieces[i].holds() {
				used[job.Pieces[i].Worker] += job.Pieces[i].Parts * job.Spec.Shape.PerPart
			}
		}
	}
	for id, ws := range w.engine.workers {
		if ws.used != used[id] {
			w.t.Fatalf("books say %s has %d in use, pieces say %d", id, ws.used, used[id])
		}
		if ws.used > ws.info.Accelerators {
			for _, job := range ws.jobs.all() {
				w.t.Logf("%s pieces %+v adopting %v", job, job.Pieces, job.adopting)
			}
			w.t.Fatalf("%s has %d of %d in use", id, ws.used, ws.info.Accelerators)
		}
	}
}

// settled reports whether every job has ended.
func (w *world) settled() bool {
	for _, id := range w.order {
		job, err := w.engine.Job(w.works[id].spec.Member, id)
		if err != nil || !job.State.Ended() {
			return false
		}
	}
	return true
}

func (w *world) run(length time.Duration) {
	for end := w.now.Add(length); w.now.Before(end); {
		w.step()
	}
}

func (w *world) state(id identifier.JobID) Job {
	job, err := w.engine.Job(w.works[id].spec.Member, id)
	if err != nil {
		w.t.Fatalf("job %s: %v", id, err)
	}
	return job
}

// until runs until a job is in a state and returns how long that took.
func (w *world) until(id identifier.JobID, state State, limit time.Duration) time.Duration {
	w.t.Helper()
	began := w.now
	for w.state(id).State != state {
		if w.now.Sub(began) > limit {
			w.t.Fatalf("%s is %s (%s), not %s within %s", id, w.state(id).State, w.state(id).Reason, state, limit)
		}
		w.step()
	}
	return w.now.Sub(began)
}

var anyAdjacent = []packer.Adjacency{packer.AdjacentWorker, packer.AdjacentNeighbours, packer.AdjacentRack, packer.AdjacentDataCenter}

// testView gives isuku one worker of 8 and two neighbours of 8, and nieve one
// worker of 8; zebra has no guarantee.
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

func jobOf(id string, member identifier.MemberID, shape packer.Shape, takes time.Duration) *work {
	return &work{takes: takes, spec: Spec{
		ID: identifier.JobID(id), Member: member, Plan: identifier.PlanID(string(member) + "-plan"), Team: "team",
		Accelerator: "gpu", Shape: shape, Checkpointable: true, Kind: "kind", DeclaredRunTime: takes,
	}}
}
