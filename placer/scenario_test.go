package placer

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"cranberrystack.dev/cranberrystack/configurer"
	"cranberrystack.dev/cranberrystack/identifier"
	"cranberrystack.dev/cranberrystack/leaser"
	"cranberrystack.dev/cranberrystack/packer"
)

var (
	oneShape   = packer.Shape{Adjacent: packer.AdjacentWorker, Parts: 1, PerPart: 1}
	wholeShape = packer.Shape{Adjacent: packer.AdjacentWorker, Parts: 1, PerPart: 8}
	pairShape  = packer.Shape{Adjacent: packer.AdjacentNeighbours, Parts: 2, PerPart: 8}
	wideShape  = packer.Shape{Adjacent: packer.AdjacentDataCenter, Parts: 48, PerPart: 1}
)

// newFaultlessSimulation returns a simulation without faults of two racks of
// three workers with 8 accelerators each.
func newFaultlessSimulation(t *testing.T, opts ...Option) *simulation {
	s := newSimulation(t, 1, 2, 3, 8, testView())
	s.opts = append(s.opts, opts...)
	s.replaceOwner()
	s.runFor(2 * time.Second)
	return s
}

func (s *simulation) mustSubmit(job *simJob) {
	s.t.Helper()
	if err := s.submit(job); err != nil {
		s.t.Fatalf("submit %s: %v", job.spec.ID, err)
	}
}

// startsOf returns how often tasks of a job were started on all machines.
func (s *simulation) startsOf(id identifier.JobID) int {
	total := 0
	for _, m := range s.machines {
		for lease, count := range m.starts {
			if lease.Job == id {
				total += count
			}
		}
	}
	return total
}

func (s *simulation) isRunning(id identifier.JobID) bool {
	for _, m := range s.machines {
		for lease := range m.tasks {
			if lease.Job == id {
				return true
			}
		}
	}
	return false
}

func TestGangRestartsAfterWorkerCrash(t *testing.T) {
	tests := []struct {
		name string
		// when is the state of the job in which one of its workers crashes.
		when State
		// wantFirstStarts is the maximum number of tasks started before the
		// crash.
		wantFirstStarts int
	}{
		{"before the start", StateLeasing, 0},
		{"during the start", StateStarting, 2},
		{"after the start", StateRunning, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newFaultlessSimulation(t)
			s.mustSubmit(newSimJob("gang", "zebra", pairShape, 10*time.Second))
			s.runUntil("gang", test.when, time.Minute)
			lost := s.machineByID(s.job("gang").Pieces[1].Worker)
			if test.when == StateLeasing {
				lost.partitioned = true
			}
			if test.when != StateRunning && s.startsOf("gang") > test.wantFirstStarts {
				t.Errorf("%d tasks started before the crash, more than expected", s.startsOf("gang"))
			}
			s.crash(lost)
			if test.when == StateLeasing {
				s.runFor(3 * time.Second)
				if s.isRunning("gang") {
					t.Error("a task runs before the whole gang is leased")
				}
			}
			s.runUntil("gang", StateFinished, 2*time.Minute)
			if attempt := s.job("gang").Attempt & (1<<attemptBits - 1); attempt < 2 && test.when != StateLeasing {
				t.Errorf("finished in attempt %d, want at least 2 after the crash", attempt)
			}
		})
	}
}

// Guards against a job that crashes each worker that starts it and is placed again
// without end, and against blaming other jobs for the crashes.
func TestJobThatCrashesWorkersIsGivenUp(t *testing.T) {
	tests := []struct {
		name  string
		shape packer.Shape
	}{{"one worker", oneShape}, {"gang", pairShape}}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newFaultlessSimulation(t)
			crashing := newSimJob("crashing", "zebra", test.shape, 10*time.Second)
			crashing.crashing = true
			s.mustSubmit(newSimJob("before", "zebra", oneShape, 20*time.Second))
			s.runFor(3 * time.Second)
			s.mustSubmit(crashing)
			s.mustSubmit(newSimJob("beside", "zebra", oneShape, 10*time.Second))
			s.runUntil("crashing", StateFailed, time.Minute)
			if job := s.job("crashing"); !strings.Contains(job.Reason, "crashed 3 workers") {
				t.Errorf("given up for another reason: %s", job.Reason)
			}
			s.runUntil("before", StateFinished, time.Minute)
			s.runUntil("beside", StateFinished, time.Minute)
		})
	}
}

// Guards against giving up a job whose workers crash some time after its start.
func TestJobOnCrashingWorkersIsNotGivenUp(t *testing.T) {
	s := newFaultlessSimulation(t)
	s.mustSubmit(newSimJob("job", "zebra", pairShape, 12*time.Second))
	for range 5 {
		s.runUntil("job", StateRunning, time.Minute)
		s.runFor(4 * time.Second)
		s.crash(s.machineByID(s.job("job").Pieces[0].Worker))
		s.runFor(2 * time.Second)
	}
	s.runUntil("job", StateFinished, 2*time.Minute)
}

func TestAllGangPiecesStartAfterRefusedLease(t *testing.T) {
	s := newFaultlessSimulation(t)
	m := s.machines[1]
	// A lease that the owner does not know occupies the worker.
	if err := m.table.Grant(leaser.ID{Job: "foreign"}, 8, s.now.Add(time.Hour)); err != nil {
		t.Fatal(err)
	}
	m.nextReport = s.now.Add(time.Second)
	s.mustSubmit(newSimJob("gang", "zebra", packer.Shape{Adjacent: packer.AdjacentRack, Parts: 3, PerPart: 8}, 3*time.Second))
	s.runUntil("gang", StateFinished, time.Minute)
	if starts := s.startsOf("gang"); starts != 3 {
		t.Errorf("%d tasks started, want 3", starts)
	}
}

// Guards against a gang of which a part runs while the start of the rest does not arrive.
func TestPartlyStartedGangIsStopped(t *testing.T) {
	s := newFaultlessSimulation(t)
	s.mustSubmit(newSimJob("gang", "zebra", pairShape, 3*time.Minute))
	s.runUntil("gang", StateLeasing, time.Minute)
	late := s.machineByID(s.job("gang").Pieces[1].Worker)
	late.losesStarts = true
	s.runUntil("gang", StateStarting, time.Minute)
	first := leaser.ID{Job: "gang", Attempt: s.job("gang").Attempt}
	s.runFor(2*defaultCommandTimeout + defaultUrgentGrace + time.Second)
	for _, m := range s.machines {
		if task := m.tasks[first]; task != nil {
			t.Errorf("a part of the gang has run on %s for %v", m.info.ID, s.now.Sub(task.began))
		}
	}
	late.losesStarts = false
	s.runUntil("gang", StateRunning, time.Minute)
}

func TestOwnerLostBetweenLeaseAndStart(t *testing.T) {
	s := newFaultlessSimulation(t)
	s.mustSubmit(newSimJob("gang", "zebra", pairShape, 3*time.Second))
	s.runUntil("gang", StateStarting, time.Minute)
	s.inFlight = nil // the start commands are lost with their owner
	s.replaceOwner()
	s.runUntil("gang", StateFinished, time.Minute)
	if starts := s.startsOf("gang"); starts != 2 {
		t.Errorf("%d tasks started, want 2", starts)
	}
}

func TestNewOwnerRecoversRunningGang(t *testing.T) {
	s := newFaultlessSimulation(t)
	s.mustSubmit(newSimJob("gang", "isuku", pairShape, 10*time.Second))
	s.runUntil("gang", StateRunning, time.Minute)
	attempt := s.job("gang").Attempt
	s.replaceOwner()
	s.runUntil("gang", StateFinished, time.Minute)
	if got := s.job("gang").Attempt; got != attempt || s.startsOf("gang") != 2 {
		t.Errorf("finished in attempt %d with %d starts, want attempt %d with 2 starts", got, s.startsOf("gang"), attempt)
	}
}

// Guards against a job that runs again after its end, which no owner has persisted: the
// workers had forgotten the end when the next owner received their full reports.
func TestJobThatEndsWithoutOwnerRunsOnce(t *testing.T) {
	tests := []struct {
		name string
		// accepted says that the owner accepted the reports of the end before it was lost.
		accepted     bool
		withoutOwner time.Duration
	}{
		{"a minute", false, time.Minute},
		{"three minutes", false, 3 * time.Minute},
		{"an hour", false, time.Hour},
		{"three minutes, accepted before", true, 3 * time.Minute},
	}
	for _, test := range tests {
		s := newFaultlessSimulation(t)
		s.mustSubmit(newSimJob("ended", "zebra", pairShape, 5*time.Second))
		s.runUntil("ended", StateRunning, 10*time.Second)
		running := s.persisted["ended"]
		if test.accepted {
			s.runUntil("ended", StateFinished, 10*time.Second)
			s.persisted["ended"] = running
		}
		s.runWithoutOwner(test.withoutOwner)
		s.replaceOwner()
		s.runUntil("ended", StateFinished, time.Minute)
		if starts := s.startsOf("ended"); starts != pairShape.Parts {
			t.Errorf("%s without an owner: %d starts of %d parts", test.name, starts, pairShape.Parts)
		}
		s.runFor(3 * time.Minute)
		for _, m := range s.machines {
			if leases := m.table.All(s.now); len(leases) > 0 {
				t.Errorf("%s without an owner: %s still lists %v", test.name, m.info.ID, leases)
			}
		}
	}
}

// runWithoutOwner runs the machines while there is no owner.
func (s *simulation) runWithoutOwner(length time.Duration) {
	for _, m := range s.machines {
		m.partitioned = true
	}
	for end := s.now.Add(length); s.now.Before(end); s.now = s.now.Add(simStep) {
		for _, m := range s.machines {
			s.runTasks(m)
		}
	}
	for _, m := range s.machines {
		m.partitioned = false
	}
}

func TestWorkersIgnoreReplacedOwner(t *testing.T) {
	s := newFaultlessSimulation(t)
	s.mustSubmit(newSimJob("gang", "zebra", pairShape, 20*time.Second))
	s.runUntil("gang", StateRunning, time.Minute)
	old := s.engine
	s.replaceOwner()
	s.runFor(3 * time.Second)
	// The previous owner, which has not noticed its replacement, stops the
	// gang.
	if err := old.Cancel("zebra", "gang", s.now); err != nil {
		t.Fatal(err)
	}
	for _, command := range old.TakeOutput().Commands {
		s.deliver(command)
	}
	s.runFor(2 * time.Second)
	if !s.isRunning("gang") {
		t.Error("a worker obeyed a replaced owner")
	}
	s.runUntil("gang", StateFinished, time.Minute)
}

func TestGuaranteeReclaimed(t *testing.T) {
	tests := []struct {
		name           string
		checkpointable bool
		urgent         bool
		shape          packer.Shape
		member         identifier.MemberID
		// within is the maximum time from submission to start.
		within time.Duration
	}{
		{"checkpointable borrowers", true, false, pairShape, "isuku", simGrace + 1500*time.Millisecond},
		{"borrowers without checkpoints", false, false, wholeShape, "nieve", simGrace + 1500*time.Millisecond},
		{"urgent job", true, true, wholeShape, "isuku", 1500 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newFaultlessSimulation(t)
			for i := range 48 {
				borrower := newSimJob(fmt.Sprint("borrower", i), "zebra", oneShape, time.Hour)
				borrower.spec.Checkpointable = test.checkpointable
				s.mustSubmit(borrower)
			}
			s.runUntil("borrower47", StateRunning, time.Minute)
			job := newSimJob("claim", test.member, test.shape, 5*time.Second)
			job.spec.Urgent = test.urgent
			s.mustSubmit(job)
			if took := s.runUntil("claim", StateRunning, time.Minute); took > test.within {
				t.Errorf("the job started after %s, want at most %s", took, test.within)
			}
			preempted := 0
			for i := range 48 {
				if s.job(identifier.JobID(fmt.Sprint("borrower", i))).Reclaims > 0 {
					preempted++
				}
			}
			if preempted != test.shape.Total() {
				t.Errorf("%d borrowers were preempted, want %d", preempted, test.shape.Total())
			}
		})
	}
}

func TestReclaimStopsWholeBorrowingGang(t *testing.T) {
	s := newFaultlessSimulation(t)
	s.mustSubmit(newSimJob("wide", "zebra", wideShape, time.Hour))
	s.runUntil("wide", StateRunning, time.Minute)
	s.mustSubmit(newSimJob("claim", "isuku", wholeShape, 5*time.Second))
	s.runUntil("claim", StateRunning, simGrace+1500*time.Millisecond)
	s.runFor(time.Second)
	if s.isRunning("wide") {
		t.Error("a borrowing gang runs on after some of its pieces were preempted")
	}
	if progress := s.job("wide").Progress; progress == 0 {
		t.Error("the borrower's checkpoint was lost")
	}
}

func TestTwoReclaimsAtOnce(t *testing.T) {
	s := newFaultlessSimulation(t)
	s.mustSubmit(newSimJob("wide", "zebra", wideShape, time.Hour))
	s.runUntil("wide", StateRunning, time.Minute)
	s.mustSubmit(newSimJob("first", "isuku", pairShape, 20*time.Second))
	s.mustSubmit(newSimJob("second", "nieve", wholeShape, 20*time.Second))
	s.runUntil("first", StateRunning, simGrace+1500*time.Millisecond)
	s.runUntil("second", StateRunning, 1500*time.Millisecond)
	if !s.job("first").Guaranteed || !s.job("second").Guaranteed {
		t.Error("a job within its guarantee runs as a borrower")
	}
}

func TestGuaranteedJobsAreNeverPreempted(t *testing.T) {
	s := newFaultlessSimulation(t)
	s.mustSubmit(newSimJob("first", "isuku", pairShape, 30*time.Second))
	s.mustSubmit(newSimJob("second", "isuku", wholeShape, 30*time.Second))
	s.mustSubmit(newSimJob("third", "nieve", wholeShape, 30*time.Second))
	for i := range 20 {
		s.mustSubmit(newSimJob(fmt.Sprint("more", i), "isuku", wholeShape, 5*time.Second))
	}
	for _, id := range []identifier.JobID{"first", "second", "third"} {
		s.runUntil(id, StateRunning, 10*time.Second)
	}
	s.runFor(20 * time.Second)
	for _, id := range []identifier.JobID{"first", "second", "third"} {
		if job := s.job(id); job.Reclaims > 0 || job.Attempt&(1<<attemptBits-1) > 3 {
			t.Errorf("guaranteed job %s was preempted: %+v", id, job)
		}
	}
}

func TestUsageReports(t *testing.T) {
	s := newFaultlessSimulation(t)
	job := newSimJob("declared", "zebra", wholeShape, time.Minute)
	job.spec.MemoryBytes = 1000
	s.mustSubmit(job)
	s.runUntil("declared", StateRunning, time.Minute)
	m := s.machineByID(s.job("declared").Pieces[0].Worker)
	tests := []struct {
		name      string
		id        leaser.ID
		memory    int64
		wantState State
	}{
		{"from an earlier attempt", leaser.ID{Job: "declared", Attempt: 1}, 5000, StateRunning},
		{"from an unknown job", leaser.ID{Job: "nobody", Attempt: 1}, 5000, StateRunning},
		{"within the tolerance", leaser.ID{Job: "declared", Attempt: s.job("declared").Attempt}, 1100, StateRunning},
		{"over the declared size", leaser.ID{Job: "declared", Attempt: s.job("declared").Attempt}, 1200, StateFailed},
	}
	for _, test := range tests {
		report := s.snapshot(m)
		report.Usage = []Usage{{ID: test.id, MemoryBytes: test.memory}}
		if _, err := s.engine.HandleReport(report, s.now); err != nil {
			t.Fatal(err)
		}
		s.flush()
		s.runFor(3 * time.Second)
		if got := s.job("declared"); got.State != test.wantState {
			t.Errorf("usage report %s: job is %s (%s), want %s", test.name, got.State, got.Reason, test.wantState)
		}
	}
}

func TestFailingWorkerIsQuarantined(t *testing.T) {
	s := newFaultlessSimulation(t)
	failing := s.machines[0]
	failing.failing = true
	for i := range 60 {
		s.mustSubmit(newSimJob(fmt.Sprint("j", i), "zebra", oneShape, 2*time.Second))
	}
	s.runFor(time.Minute)
	failed := 0
	for i := range 60 {
		if state := s.job(identifier.JobID(fmt.Sprint("j", i))).State; state != StateFinished {
			failed++
		}
	}
	if failed > 0 {
		t.Errorf("%d of 60 working jobs did not finish", failed)
	}
	starts := 0
	for _, count := range failing.starts {
		starts += count
	}
	if status := s.engine.Status(s.now); status.QuarantinedWorkers != 1 || starts > 16 {
		t.Errorf("%d workers are quarantined, want 1; the failing one got %d starts, want at most 16", status.QuarantinedWorkers, starts)
	}
}

func TestBrokenJobFailsWithoutQuarantine(t *testing.T) {
	s := newFaultlessSimulation(t)
	for i := range 6 {
		bad := newSimJob(fmt.Sprint("bad", i), "zebra", oneShape, time.Second)
		bad.broken = true
		s.mustSubmit(bad)
	}
	s.runFor(30 * time.Second)
	for i := range 6 {
		job := s.job(identifier.JobID(fmt.Sprint("bad", i)))
		if job.State != StateFailed || !strings.Contains(job.Reason, "broken") {
			t.Errorf("%s is %s: %q, want failed with the reported reason", job.Spec.ID, job.State, job.Reason)
		}
	}
	if status := s.engine.Status(s.now); status.QuarantinedWorkers > 0 {
		t.Errorf("%d workers are quarantined for broken jobs", status.QuarantinedWorkers)
	}
}

func TestMassCancel(t *testing.T) {
	s := newFaultlessSimulation(t)
	for i := range 2000 {
		s.mustSubmit(newSimJob(fmt.Sprint("j", i), "zebra", oneShape, time.Hour))
		if i%200 == 0 {
			s.step()
		}
	}
	for i := range 2000 {
		if i%500 == 0 {
			s.step()
		}
		if err := s.engine.Cancel("zebra", identifier.JobID(fmt.Sprint("j", i)), s.now); err != nil {
			t.Fatal(err)
		}
	}
	s.flush()
	s.runFor(10 * time.Second)
	for i := range 2000 {
		if state := s.job(identifier.JobID(fmt.Sprint("j", i))).State; state != StateCancelled {
			t.Fatalf("j%d is %s", i, state)
		}
	}
	for _, m := range s.machines {
		if m.table.Free() != 8 {
			t.Errorf("%s still holds %d accelerators", m.info.ID, 8-m.table.Free())
		}
	}
}

func TestCancelOfAnotherMembersJob(t *testing.T) {
	s := newFaultlessSimulation(t)
	s.mustSubmit(newSimJob("ours", "isuku", oneShape, time.Minute))
	if err := s.engine.Cancel("nieve", "ours", s.now); !errors.Is(err, ErrNoSuchJob) {
		t.Errorf("got %v, want ErrNoSuchJob", err)
	}
	if _, err := s.engine.Job("nieve", "ours"); !errors.Is(err, ErrNoSuchJob) {
		t.Errorf("got %v, want ErrNoSuchJob", err)
	}
}

// A reclaim that uses the space of a cancelled job must not replace the reason of
// its end.
func TestReclaimKeepsReasonOfCancelledJob(t *testing.T) {
	s := newFaultlessSimulation(t)
	for i := range 48 {
		s.mustSubmit(newSimJob(fmt.Sprint("borrower", i), "zebra", oneShape, time.Hour))
	}
	s.runUntil("borrower47", StateRunning, time.Minute)
	for i := range 48 {
		if err := s.engine.Cancel("zebra", identifier.JobID(fmt.Sprint("borrower", i)), s.now); err != nil {
			t.Fatal(err)
		}
	}
	s.mustSubmit(newSimJob("claim", "isuku", wholeShape, 5*time.Second))
	s.engine.Tick(s.now) // before any worker has confirmed a stop
	s.runUntil("claim", StateRunning, time.Minute)
	for i := range 48 {
		if reason := s.job(identifier.JobID(fmt.Sprint("borrower", i))).Reason; reason != "cancelled by the caller" {
			t.Errorf("borrower%d ended with reason %q", i, reason)
		}
	}
}

func TestRackLoss(t *testing.T) {
	s := newFaultlessSimulation(t)
	for i := range 6 {
		s.mustSubmit(newSimJob(fmt.Sprint("j", i), "zebra", wholeShape, 30*time.Second))
	}
	s.runFor(5 * time.Second)
	for _, m := range s.machines {
		m.dead = m.info.Rack == "r0"
	}
	s.runFor(40 * time.Second)
	for i := range 6 {
		s.runUntil(identifier.JobID(fmt.Sprint("j", i)), StateFinished, 2*time.Minute)
	}
}

func TestPartitionedWorkerStopsBeforeRestart(t *testing.T) {
	s := newFaultlessSimulation(t)
	s.mustSubmit(newSimJob("j", "zebra", wholeShape, time.Hour))
	s.runUntil("j", StateRunning, time.Minute)
	first := s.machineByID(s.job("j").Pieces[0].Worker)
	first.partitioned = true
	attempt := s.job("j").Attempt
	// checkInvariants fails the test if the job starts elsewhere while the task
	// still runs here.
	for s.job("j").Attempt == attempt {
		s.step()
	}
	if len(first.tasks) != 0 {
		t.Error("the partitioned worker still runs a task that was rescheduled")
	}
	s.runUntil("j", StateRunning, time.Minute)
}

func TestLargeGangIsNotStarved(t *testing.T) {
	s := newFaultlessSimulation(t)
	number := 0
	submitSmall := func() {
		number++
		s.mustSubmit(newSimJob(fmt.Sprint("small", number), "nieve", oneShape, 4*time.Second))
	}
	for range 60 {
		submitSmall()
	}
	s.runFor(2 * time.Second)
	s.mustSubmit(newSimJob("large", "zebra", packer.Shape{Adjacent: packer.AdjacentRack, Parts: 3, PerPart: 8}, 5*time.Second))
	began := s.now
	for s.job("large").State != StateRunning {
		if s.now.Sub(began) > 30*time.Second {
			t.Fatal("the large gang did not start within 30s while small jobs were submitted")
		}
		submitSmall()
		s.step()
	}
}

func TestSubmitRefusesImpossibleJobs(t *testing.T) {
	s := newFaultlessSimulation(t)
	s.view.Lists.Allowances[2].Limit = 20
	s.view.Lists.Allowances[2].Adjacent = []packer.Adjacency{packer.AdjacentWorker, packer.AdjacentNeighbours}
	s.view.Lists.Plans[2].Teams = []configurer.Team{{ID: "team", Quota: 16}}
	s.engine.SetLists(s.view)
	tests := []struct {
		name        string
		shape       packer.Shape
		accelerator string
		want        error
	}{
		{"larger than any worker", packer.Shape{Adjacent: packer.AdjacentWorker, Parts: 1, PerPart: 9}, "gpu", ErrImpossible},
		{"more neighbours than a rack has", packer.Shape{Adjacent: packer.AdjacentNeighbours, Parts: 4, PerPart: 5}, "gpu", ErrImpossible},
		{"adjacency not in the allowance", packer.Shape{Adjacent: packer.AdjacentRack, Parts: 1, PerPart: 1}, "gpu", ErrImpossible},
		{"over the plan's limit", packer.Shape{Adjacent: packer.AdjacentNeighbours, Parts: 3, PerPart: 8}, "gpu", ErrImpossible},
		{"over the team's quota", packer.Shape{Adjacent: packer.AdjacentNeighbours, Parts: 17, PerPart: 1}, "gpu", ErrImpossible},
		{"no parts", packer.Shape{Adjacent: packer.AdjacentWorker, Parts: 0, PerPart: 1}, "gpu", ErrImpossible},
		{"accelerator type not in the allowance", oneShape, "tpu", ErrImpossible},
		{"possible", wholeShape, "gpu", nil},
	}
	for i, test := range tests {
		job := newSimJob(fmt.Sprint("j", i), "zebra", test.shape, time.Second)
		job.spec.Accelerator = test.accelerator
		if err := s.submit(job); !errors.Is(err, test.want) {
			t.Errorf("%s: got %v, want %v", test.name, err, test.want)
		}
	}
}

func TestTeamQuota(t *testing.T) {
	s := newFaultlessSimulation(t)
	s.view.Lists.Plans[2].Teams = []configurer.Team{{ID: "team", Quota: 3}}
	s.engine.SetLists(s.view)
	for i := range 10 {
		s.mustSubmit(newSimJob(fmt.Sprint("j", i), "zebra", oneShape, 5*time.Second))
	}
	for range 100 {
		s.step()
		held := 0
		for _, m := range s.machines {
			held += 8 - m.table.Free()
		}
		if held > 3 {
			t.Fatalf("the team holds %d accelerators, quota 3", held)
		}
	}
}

func TestStragglerIsReported(t *testing.T) {
	s := newFaultlessSimulation(t)
	for i := range 3 {
		s.mustSubmit(newSimJob(fmt.Sprint("usual", i), "zebra", oneShape, 2*time.Second))
	}
	s.runFor(10 * time.Second)
	s.mustSubmit(newSimJob("slow", "zebra", oneShape, time.Minute))
	s.runFor(20 * time.Second)
	if !s.job("slow").Straggler || s.engine.Status(s.now).Stragglers != 1 {
		t.Error("a job that runs over 5 times as long as its kind is not reported as a straggler")
	}
}

func TestUrgentJobStartsInTime(t *testing.T) {
	s := newFaultlessSimulation(t)
	for i := range 200 {
		s.mustSubmit(newSimJob(fmt.Sprint("j", i), "zebra", oneShape, time.Minute))
	}
	s.runFor(5 * time.Second)
	for round := range 5 {
		urgent := newSimJob(fmt.Sprint("urgent", round), "nieve", wholeShape, time.Second)
		urgent.spec.Urgent = true
		s.mustSubmit(urgent)
		if took := s.runUntil(urgent.spec.ID, StateRunning, time.Minute); took > 1500*time.Millisecond {
			t.Errorf("urgent job %d started after %s, want at most 1.5s", round, took)
		}
		s.runUntil(urgent.spec.ID, StateFinished, time.Minute)
	}
}
