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

// quietWorld is two racks of three workers with 8 accelerators, no faults.
func quietWorld(t *testing.T, opts ...Option) *world {
	w := newWorld(t, 1, 2, 3, 8, testView())
	w.opts = append(w.opts, opts...)
	w.takeOver()
	w.run(2 * time.Second)
	return w
}

func (w *world) mustSubmit(job *work) {
	w.t.Helper()
	if err := w.submit(job); err != nil {
		w.t.Fatalf("submit %s: %v", job.spec.ID, err)
	}
}

// startsOf adds up the starts of a job over all machines.
func (w *world) startsOf(id identifier.JobID) int {
	total := 0
	for _, m := range w.machines {
		for lease, count := range m.starts {
			if lease.Job == id {
				total += count
			}
		}
	}
	return total
}

func (w *world) isRunning(id identifier.JobID) bool {
	for _, m := range w.machines {
		for lease := range m.tasks {
			if lease.Job == id {
				return true
			}
		}
	}
	return false
}

func TestGangPartDies(t *testing.T) {
	tests := []struct {
		name string
		// when is the state at which one worker of the gang dies.
		when State
		// wantFirstStarts bounds the parts started before the loss.
		wantFirstStarts int
	}{
		{"before the start", StateLeasing, 0},
		{"during the start", StateStarting, 2},
		{"after the start", StateRunning, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := quietWorld(t)
			w.mustSubmit(jobOf("gang", "zebra", pairShape, 10*time.Second))
			w.until("gang", test.when, time.Minute)
			lost := w.machine(w.state("gang").Pieces[1].Worker)
			if test.when == StateLeasing {
				lost.cut = true
			}
			if test.when != StateRunning && w.startsOf("gang") > test.wantFirstStarts {
				t.Errorf("%d parts had started", w.startsOf("gang"))
			}
			w.crash(lost)
			if test.when == StateLeasing {
				w.run(3 * time.Second)
				if w.isRunning("gang") {
					t.Error("a part runs without the other")
				}
			}
			w.until("gang", StateFinished, 2*time.Minute)
			if attempt := w.state("gang").Attempt & (1<<attemptBits - 1); attempt < 2 && test.when != StateLeasing {
				t.Errorf("finished in attempt %d, though a part was lost", attempt)
			}
		})
	}
}

func TestGangPartRefuses(t *testing.T) {
	w := quietWorld(t)
	m := w.machines[1]
	// Something that the owner does not know holds the worker.
	if err := m.table.Grant(leaser.ID{Job: "foreign"}, 8, w.now.Add(time.Hour)); err != nil {
		t.Fatal(err)
	}
	m.reportAt = w.now.Add(time.Second)
	w.mustSubmit(jobOf("gang", "zebra", packer.Shape{Adjacent: packer.AdjacentRack, Parts: 3, PerPart: 8}, 3*time.Second))
	w.until("gang", StateFinished, time.Minute)
	if starts := w.startsOf("gang"); starts != 3 {
		t.Errorf("%d parts started, want 3 in one whole start", starts)
	}
}

func TestOwnerKilledBetweenLeaseAndStart(t *testing.T) {
	w := quietWorld(t)
	w.mustSubmit(jobOf("gang", "zebra", pairShape, 3*time.Second))
	w.until("gang", StateStarting, time.Minute)
	w.letters = nil // the starts are lost with their owner
	w.takeOver()
	w.until("gang", StateFinished, time.Minute)
	if starts := w.startsOf("gang"); starts != 2 {
		t.Errorf("%d parts started, want each of 2 once", starts)
	}
}

func TestNewOwnerAdoptsWhatRuns(t *testing.T) {
	w := quietWorld(t)
	w.mustSubmit(jobOf("gang", "isuku", pairShape, 10*time.Second))
	w.until("gang", StateRunning, time.Minute)
	attempt := w.state("gang").Attempt
	w.takeOver()
	w.until("gang", StateFinished, time.Minute)
	if got := w.state("gang").Attempt; got != attempt || w.startsOf("gang") != 2 {
		t.Errorf("finished in attempt %d with %d starts, want the adopted attempt %d and 2", got, w.startsOf("gang"), attempt)
	}
}

func TestTwoOwnersWithDifferentEpochs(t *testing.T) {
	w := quietWorld(t)
	w.mustSubmit(jobOf("gang", "zebra", pairShape, 20*time.Second))
	w.until("gang", StateRunning, time.Minute)
	old := w.engine
	w.takeOver()
	w.run(3 * time.Second)
	// The earlier owner, cut off from the log, orders the gang to stop.
	if err := old.Cancel("zebra", "gang", w.now); err != nil {
		t.Fatal(err)
	}
	for _, command := range old.TakeOutput().Commands {
		w.deliver(command)
	}
	w.run(2 * time.Second)
	if !w.isRunning("gang") {
		t.Error("a worker has obeyed an owner that was replaced")
	}
	w.until("gang", StateFinished, time.Minute)
}

func TestGuaranteeReclaimed(t *testing.T) {
	tests := []struct {
		name           string
		checkpointable bool
		urgent         bool
		claim          packer.Shape
		member         identifier.MemberID
		// within bounds the time from the claim to its start.
		within time.Duration
	}{
		{"checkpointable borrowers", true, false, pairShape, "isuku", worldGrace + 1500*time.Millisecond},
		{"borrowers without checkpoints", false, false, wholeShape, "nieve", worldGrace + 1500*time.Millisecond},
		{"urgent claim", true, true, wholeShape, "isuku", 1500 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := quietWorld(t)
			for i := range 48 {
				borrower := jobOf(fmt.Sprint("borrower", i), "zebra", oneShape, time.Hour)
				borrower.spec.Checkpointable = test.checkpointable
				w.mustSubmit(borrower)
			}
			w.until("borrower47", StateRunning, time.Minute)
			claim := jobOf("claim", test.member, test.claim, 5*time.Second)
			claim.spec.Urgent = test.urgent
			w.mustSubmit(claim)
			if took := w.until("claim", StateRunning, time.Minute); took > test.within {
				t.Errorf("the claim started after %s, want at most %s", took, test.within)
			}
			put := 0
			for i := range 48 {
				if w.state(identifier.JobID(fmt.Sprint("borrower", i))).Reclaims > 0 {
					put++
				}
			}
			if put != test.claim.Total() {
				t.Errorf("%d borrowers were put out for %d accelerators", put, test.claim.Total())
			}
		})
	}
}

func TestWideBorrowerReclaimedWhole(t *testing.T) {
	w := quietWorld(t)
	w.mustSubmit(jobOf("wide", "zebra", wideShape, time.Hour))
	w.until("wide", StateRunning, time.Minute)
	w.mustSubmit(jobOf("claim", "isuku", wholeShape, 5*time.Second))
	w.until("claim", StateRunning, worldGrace+1500*time.Millisecond)
	w.run(time.Second)
	if w.isRunning("wide") {
		t.Error("parts of the borrowing gang run though others were put out")
	}
	if progress := w.state("wide").Progress; progress == 0 {
		t.Error("the borrower's checkpoint is lost")
	}
}

func TestTwoClaimsAtOnce(t *testing.T) {
	w := quietWorld(t)
	w.mustSubmit(jobOf("wide", "zebra", wideShape, time.Hour))
	w.until("wide", StateRunning, time.Minute)
	w.mustSubmit(jobOf("first", "isuku", pairShape, 20*time.Second))
	w.mustSubmit(jobOf("second", "nieve", wholeShape, 20*time.Second))
	w.until("first", StateRunning, worldGrace+1500*time.Millisecond)
	w.until("second", StateRunning, 1500*time.Millisecond)
	if !w.state("first").Guaranteed || !w.state("second").Guaranteed {
		t.Error("a claim runs on borrowed space")
	}
}

func TestGuaranteeNeverCutsAGuarantee(t *testing.T) {
	w := quietWorld(t)
	w.mustSubmit(jobOf("first", "isuku", pairShape, 30*time.Second))
	w.mustSubmit(jobOf("second", "isuku", wholeShape, 30*time.Second))
	w.mustSubmit(jobOf("third", "nieve", wholeShape, 30*time.Second))
	for i := range 20 {
		w.mustSubmit(jobOf(fmt.Sprint("more", i), "isuku", wholeShape, 5*time.Second))
	}
	for _, id := range []identifier.JobID{"first", "second", "third"} {
		w.until(id, StateRunning, 10*time.Second)
	}
	w.run(20 * time.Second)
	for _, id := range []identifier.JobID{"first", "second", "third"} {
		if job := w.state(id); job.Reclaims > 0 || job.Attempt&(1<<attemptBits-1) > 3 {
			t.Errorf("%s was put out: %+v", id, job)
		}
	}
}

func TestUsageLateAndWrong(t *testing.T) {
	w := quietWorld(t)
	job := jobOf("declared", "zebra", wholeShape, time.Minute)
	job.spec.MemoryBytes = 1000
	w.mustSubmit(job)
	w.until("declared", StateRunning, time.Minute)
	m := w.machine(w.state("declared").Pieces[0].Worker)
	tests := []struct {
		name      string
		id        leaser.ID
		memory    int64
		wantState State
	}{
		{"of an earlier attempt", leaser.ID{Job: "declared", Attempt: 1}, 5000, StateRunning},
		{"of an unknown job", leaser.ID{Job: "nobody", Attempt: 1}, 5000, StateRunning},
		{"within the tolerance", leaser.ID{Job: "declared", Attempt: w.state("declared").Attempt}, 1100, StateRunning},
		{"over the declared size", leaser.ID{Job: "declared", Attempt: w.state("declared").Attempt}, 1200, StateFailed},
	}
	for _, test := range tests {
		report := w.snapshot(m)
		report.Usage = []Usage{{ID: test.id, MemoryBytes: test.memory}}
		if _, err := w.engine.HandleReport(report, w.now); err != nil {
			t.Fatal(err)
		}
		w.flush()
		w.run(3 * time.Second)
		if got := w.state("declared"); got.State != test.wantState {
			t.Errorf("usage %s: job is %s (%s), want %s", test.name, got.State, got.Reason, test.wantState)
		}
	}
}

func TestBlackHoleWorker(t *testing.T) {
	w := quietWorld(t)
	hole := w.machines[0]
	hole.failing = true
	for i := range 60 {
		w.mustSubmit(jobOf(fmt.Sprint("j", i), "zebra", oneShape, 2*time.Second))
	}
	w.run(time.Minute)
	failed := 0
	for i := range 60 {
		if state := w.state(identifier.JobID(fmt.Sprint("j", i))).State; state != StateFinished {
			failed++
		}
	}
	if failed > 0 {
		t.Errorf("%d of 60 good jobs did not finish", failed)
	}
	total := 0
	for _, count := range hole.starts {
		total += count
	}
	if status := w.engine.Status(w.now); status.Quarantined != 1 || total > 16 {
		t.Errorf("%d workers are set aside, the failing one drew %d starts", status.Quarantined, total)
	}
}

func TestJobThatFailsEverywhere(t *testing.T) {
	w := quietWorld(t)
	for i := range 6 {
		bad := jobOf(fmt.Sprint("bad", i), "zebra", oneShape, time.Second)
		bad.broken = true
		w.mustSubmit(bad)
	}
	w.run(30 * time.Second)
	for i := range 6 {
		job := w.state(identifier.JobID(fmt.Sprint("bad", i)))
		if job.State != StateFailed || !strings.Contains(job.Reason, "broken") {
			t.Errorf("%s is %s: %q, want failed with the report", job.Spec.ID, job.State, job.Reason)
		}
	}
	if status := w.engine.Status(w.now); status.Quarantined > 0 {
		t.Errorf("%d workers are set aside for bad jobs", status.Quarantined)
	}
}

func TestCancelWave(t *testing.T) {
	w := quietWorld(t)
	for i := range 2000 {
		w.mustSubmit(jobOf(fmt.Sprint("j", i), "zebra", oneShape, time.Hour))
		if i%200 == 0 {
			w.step()
		}
	}
	for i := range 2000 {
		if i%500 == 0 {
			w.step()
		}
		if err := w.engine.Cancel("zebra", identifier.JobID(fmt.Sprint("j", i)), w.now); err != nil {
			t.Fatal(err)
		}
	}
	w.flush()
	w.run(10 * time.Second)
	for i := range 2000 {
		if state := w.state(identifier.JobID(fmt.Sprint("j", i))).State; state != StateCancelled {
			t.Fatalf("j%d is %s", i, state)
		}
	}
	for _, m := range w.machines {
		if m.table.Free() != 8 {
			t.Errorf("%s still holds %d accelerators", m.info.ID, 8-m.table.Free())
		}
	}
}

func TestCancelOfAnothersJob(t *testing.T) {
	w := quietWorld(t)
	w.mustSubmit(jobOf("ours", "isuku", oneShape, time.Minute))
	if err := w.engine.Cancel("nieve", "ours", w.now); !errors.Is(err, ErrNoSuchJob) {
		t.Errorf("got %v, want ErrNoSuchJob", err)
	}
	if _, err := w.engine.Job("nieve", "ours"); !errors.Is(err, ErrNoSuchJob) {
		t.Errorf("got %v, want ErrNoSuchJob", err)
	}
}

func TestRackLost(t *testing.T) {
	w := quietWorld(t)
	for i := range 6 {
		w.mustSubmit(jobOf(fmt.Sprint("j", i), "zebra", wholeShape, 30*time.Second))
	}
	w.run(5 * time.Second)
	for _, m := range w.machines {
		m.dead = m.info.Rack == "r0"
	}
	w.run(40 * time.Second)
	for i := range 6 {
		w.until(identifier.JobID(fmt.Sprint("j", i)), StateFinished, 2*time.Minute)
	}
}

func TestWorkerCutOffAloneStopsInTime(t *testing.T) {
	w := quietWorld(t)
	w.mustSubmit(jobOf("j", "zebra", wholeShape, time.Hour))
	w.until("j", StateRunning, time.Minute)
	first := w.machine(w.state("j").Pieces[0].Worker)
	first.cut = true
	attempt := w.state("j").Attempt
	// check fails the test if the job runs elsewhere while the task runs here.
	for w.state("j").Attempt == attempt {
		w.step()
	}
	if len(first.tasks) != 0 {
		t.Error("the cut-off worker still runs the task that was given away")
	}
	w.until("j", StateRunning, time.Minute)
}

func TestLargeGangDoesNotStarve(t *testing.T) {
	w := quietWorld(t)
	number := 0
	submitSmall := func() {
		number++
		w.mustSubmit(jobOf(fmt.Sprint("small", number), "nieve", oneShape, 4*time.Second))
	}
	for range 60 {
		submitSmall()
	}
	w.run(2 * time.Second)
	w.mustSubmit(jobOf("large", "zebra", packer.Shape{Adjacent: packer.AdjacentRack, Parts: 3, PerPart: 8}, 5*time.Second))
	began := w.now
	for w.state("large").State != StateRunning {
		if w.now.Sub(began) > 30*time.Second {
			t.Fatal("the large gang starves behind small jobs")
		}
		submitSmall()
		w.step()
	}
}

func TestImpossibleJobs(t *testing.T) {
	w := quietWorld(t)
	w.view.Lists.Allowances[2].Limit = 20
	w.view.Lists.Allowances[2].Adjacent = []packer.Adjacency{packer.AdjacentWorker, packer.AdjacentNeighbours}
	w.view.Lists.Plans[2].Teams = []configurer.Team{{ID: "team", Quota: 16}}
	w.engine.SetLists(w.view)
	tests := []struct {
		name  string
		shape packer.Shape
		kind  string
		want  error
	}{
		{"larger than any worker", packer.Shape{Adjacent: packer.AdjacentWorker, Parts: 1, PerPart: 9}, "gpu", ErrImpossible},
		{"more neighbours than a rack has", packer.Shape{Adjacent: packer.AdjacentNeighbours, Parts: 4, PerPart: 5}, "gpu", ErrImpossible},
		{"adjacency not allowed", packer.Shape{Adjacent: packer.AdjacentRack, Parts: 1, PerPart: 1}, "gpu", ErrImpossible},
		{"over the plan's limit", packer.Shape{Adjacent: packer.AdjacentNeighbours, Parts: 3, PerPart: 8}, "gpu", ErrImpossible},
		{"over the team's quota", packer.Shape{Adjacent: packer.AdjacentNeighbours, Parts: 17, PerPart: 1}, "gpu", ErrImpossible},
		{"no parts", packer.Shape{Adjacent: packer.AdjacentWorker, Parts: 0, PerPart: 1}, "gpu", ErrImpossible},
		{"kind not allowed", oneShape, "tpu", ErrImpossible},
		{"possible", wholeShape, "gpu", nil},
	}
	for i, test := range tests {
		job := jobOf(fmt.Sprint("j", i), "zebra", test.shape, time.Second)
		job.spec.Accelerator = test.kind
		if err := w.submit(job); !errors.Is(err, test.want) {
			t.Errorf("%s: got %v, want %v", test.name, err, test.want)
		}
	}
}

func TestQuotaOfTeam(t *testing.T) {
	w := quietWorld(t)
	w.view.Lists.Plans[2].Teams = []configurer.Team{{ID: "team", Quota: 3}}
	w.engine.SetLists(w.view)
	for i := range 10 {
		w.mustSubmit(jobOf(fmt.Sprint("j", i), "zebra", oneShape, 5*time.Second))
	}
	for range 100 {
		w.step()
		held := 0
		for _, m := range w.machines {
			held += 8 - m.table.Free()
		}
		if held > 3 {
			t.Fatalf("the team holds %d accelerators over its quota of 3", held)
		}
	}
}

func TestStragglerIsTold(t *testing.T) {
	w := quietWorld(t)
	for i := range 3 {
		w.mustSubmit(jobOf(fmt.Sprint("usual", i), "zebra", oneShape, 2*time.Second))
	}
	w.run(10 * time.Second)
	w.mustSubmit(jobOf("slow", "zebra", oneShape, time.Minute))
	w.run(20 * time.Second)
	if !w.state("slow").Straggler || w.engine.Status(w.now).Stragglers != 1 {
		t.Error("a job that runs 5 times as long as its kind is not told")
	}
}

func TestUrgentWorkStartsInTime(t *testing.T) {
	w := quietWorld(t)
	for i := range 200 {
		w.mustSubmit(jobOf(fmt.Sprint("j", i), "zebra", oneShape, time.Minute))
	}
	w.run(5 * time.Second)
	for round := range 5 {
		urgent := jobOf(fmt.Sprint("urgent", round), "nieve", wholeShape, time.Second)
		urgent.spec.Urgent = true
		w.mustSubmit(urgent)
		if took := w.until(urgent.spec.ID, StateRunning, time.Minute); took > 1500*time.Millisecond {
			t.Errorf("urgent work %d started after %s, want 1.5s", round, took)
		}
		w.until(urgent.spec.ID, StateFinished, time.Minute)
	}
}
