package scheduler

import (
	"bytes"
	"encoding/json"
	"errors"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cranberrystack.dev/cranberrystack/estimator"
	"cranberrystack.dev/cranberrystack/identifier"
)

func TestParseCatalog(t *testing.T) {
	tests := []struct {
		name, document string
		bad            bool
	}{
		{"complete", testCatalog, false},
		{"unknown fields", `{"version":1,"queues":[],"pools":[],"limits":{"x":1}}`, false},
		{"truncated", testCatalog[:len(testCatalog)-4], true},
		{"trailing text", testCatalog + "x", true},
		{"no version", `{"queues":[],"pools":[]}`, true},
		{"version of another type", `{"version":"1","queues":[],"pools":[]}`, true},
		{"no queues", `{"version":1,"pools":[]}`, true},
		{"unknown pool", `{"version":1,"pools":[],"queues":[{"name":"q","worker-pool":"p","timeout-ms":1}]}`, true},
		{"no timeout", `{"version":1,"pools":[{"name":"p"}],"queues":[{"name":"q","worker-pool":"p","timeout-ms":0}]}`, true},
		{"same address", `{"version":1,"pools":[{"name":"p"}],"queues":[
			{"name":"q","host":"h","path-prefix":"/a/","worker-pool":"p","timeout-ms":1},
			{"name":"r","host":"H","path-prefix":"/a/","worker-pool":"p","timeout-ms":1}]}`, true},
		{"weight", `{"version":1,"queues":[],"pools":[],"teams":[{"name":"a","weight":2.5},{"name":"b"}]}`, false},
		{"weight 0", `{"version":1,"queues":[],"pools":[],"teams":[{"name":"a","weight":0}]}`, true},
		{"negative weight", `{"version":1,"queues":[],"pools":[],"teams":[{"name":"a","weight":-1}]}`, true},
		{"infinite weight", `{"version":1,"queues":[],"pools":[],"teams":[{"name":"a","weight":1e400}]}`, true},
		{"absurdly large weight", `{"version":1,"queues":[],"pools":[],"teams":[{"name":"a","weight":1e9}]}`, true},
		{"absurdly small weight", `{"version":1,"queues":[],"pools":[],"teams":[{"name":"a","weight":1e-300}]}`, true},
		{"shared key", `{"version":1,"queues":[],"pools":[],"teams":[{"name":"a","keys":["k"]},{"name":"b","keys":["k"]}]}`, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := ParseCatalog([]byte(test.document))
			if bad := errors.Is(err, ErrInvalidCatalog); bad != test.bad {
				t.Errorf("error is %v, want an error: %t", err, test.bad)
			}
		})
	}
}

func TestMatchQueueReturnsLongestPrefix(t *testing.T) {
	catalog := Catalog{Queues: []Queue{
		{Name: "short", Host: "h", PathPrefix: "/a/"}, {Name: "deep", Host: "h", PathPrefix: "/a/b/"}, {Name: "other", Host: "i", PathPrefix: "/"},
	}}
	tests := []struct {
		host, path string
		want       QueueName
		rest       string
	}{
		{"h", "/a/1", "short", "1"}, {"h:80", "/a/b/1", "deep", "1"}, {"H", "/a/", "short", ""},
		{"i", "/a/1", "other", "a/1"}, {"h", "/c/1", "", ""}, {"j", "/a/1", "", ""},
	}
	for _, test := range tests {
		queue, rest := catalog.MatchQueue(test.host, test.path)
		name := QueueName("")
		if queue != nil {
			name = queue.Name
		}
		if name != test.want || rest != test.rest {
			t.Errorf("%s%s: %q %q, want %q %q", test.host, test.path, name, rest, test.want, test.rest)
		}
	}
}

func TestRestoreReturnsSnapshottedState(t *testing.T) {
	p := newPool(t, 4)
	second := tasks(2, 1)
	second.DependsOn = []int{0}
	p.submit(1, "long", tasks(6, 2), second)
	p.submit(2, "urgent", tasks(1, 8))
	p.plan()
	p.end(RunID{Task: TaskID{Job: "0000000000000001"}, Number: 1}, EndDone)
	p.apply(Command{Wave: &Wave{ID: 3, Cap: 1, Machines: []MachineUpkeep{{Machine: "m"}}}})
	data, err := p.state.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := NewState()
	if err := restored.Restore(data); err != nil {
		t.Fatal(err)
	}
	// Only the encoding of an estimator shows what it has learned.
	estimates := cmp.Comparer(func(a, b *estimator.Estimator) bool {
		first, _ := json.Marshal(a)
		second, _ := json.Marshal(b)
		return bytes.Equal(first, second)
	})
	if diff := cmp.Diff(p.state, restored, cmp.AllowUnexported(State{}, Job{}), estimates); diff != "" {
		t.Errorf("restored state differs:\n%s", diff)
	}
}

// Reports of an earlier incarnation, older reports, and reports from an
// address that a later incarnation has taken over must not change the state.
func TestRegisterRefusesStaleReports(t *testing.T) {
	base := Worker{ID: "w", Incarnation: 100, Sequence: 5, Address: "a", Machine: "m", State: WorkerReady}
	change := func(edit func(*Worker)) Worker {
		worker := base
		edit(&worker)
		return worker
	}
	tests := []struct {
		name   string
		worker Worker
		want   Outcome
	}{
		{"newer report", change(func(w *Worker) { w.Sequence, w.State = 6, WorkerDraining }), OutcomeDone},
		{"older report", change(func(w *Worker) { w.Sequence = 4 }), OutcomeStale},
		{"earlier incarnation", change(func(w *Worker) { w.Incarnation, w.Sequence = 99, 9 }), OutcomeStale},
		{"next incarnation", change(func(w *Worker) { w.Incarnation, w.Sequence = 101, 1 }), OutcomeDone},
		{"earlier incarnation at the address", change(func(w *Worker) { w.ID, w.Machine, w.Incarnation = "v", "n", 99 }), OutcomeStale},
		{"next incarnation on the machine", change(func(w *Worker) { w.ID, w.Address, w.Incarnation = "v", "b", 101 }), OutcomeDone},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := NewState()
			worker := test.worker
			results := s.ApplyBatch(Batch{Commands: []Command{{Register: &base}, {Register: &worker}}})
			if results[1].Outcome != test.want {
				t.Errorf("outcome %s, want %s", results[1].Outcome, test.want)
			}
		})
	}
}

// Guards against a job that counts as begun though all its runs were refused, and against
// one that counts as waiting though a run of it has started.
func TestJobWhoseRunsNeverStartedIsPending(t *testing.T) {
	p := newPool(t, 2)
	job := p.submit(1, "long", tasks(2, 8))
	p.plan()
	first, second := RunID{Task: TaskID{Job: job}, Number: 1}, RunID{Task: TaskID{Job: job, Index: 1}, Number: 1}
	steps := []struct {
		command Command
		pending int
	}{
		{Command{Drop: &Drop{Runs: []RunID{first}, NotStarted: true}}, 0},
		{Command{Drop: &Drop{Runs: []RunID{second}, NotStarted: true}}, 1},
		{Command{Drop: &Drop{Runs: []RunID{second}, NotStarted: true}}, 1},
		{Command{Assign: &Assign{Runs: []Run{{ID: RunID{Task: first.Task, Number: 2}, Worker: "w00", Incarnation: 1}}}}, 0},
		{Command{Drop: &Drop{Runs: []RunID{{Task: first.Task, Number: 2}}}}, 0},
	}
	for i, step := range steps {
		p.apply(step.command)
		if got := p.state.Pending("long"); got != step.pending {
			t.Errorf("after step %d, %d jobs are pending, want %d", i, got, step.pending)
		}
	}
}

// Guards against a Leave of an earlier life under the same id, held up until the next one
// has registered, that takes the worker out of use, and against a worker that has left and
// is used again because of its delayed reports.
func TestReportAfterLeave(t *testing.T) {
	tests := []struct {
		name   string
		before WorkerState
		report Worker
		want   WorkerState
	}{
		{"ready, later", WorkerReady, Worker{Incarnation: 100, Sequence: 6, State: WorkerReady}, WorkerReady},
		{"ready, delayed", WorkerReady, Worker{Incarnation: 100, Sequence: 5, State: WorkerReady}, WorkerLeft},
		{"ready, delayed since before the drain", WorkerDraining, Worker{Incarnation: 100, Sequence: 4, State: WorkerReady}, WorkerLeft},
		{"draining, later", WorkerDraining, Worker{Incarnation: 100, Sequence: 6, State: WorkerDraining}, WorkerLeft},
		{"earlier incarnation", WorkerReady, Worker{Incarnation: 99, Sequence: 9, State: WorkerReady}, WorkerLeft},
		{"next incarnation", WorkerDraining, Worker{Incarnation: 101, Sequence: 1, State: WorkerReady}, WorkerReady},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := NewState()
			known := Worker{ID: "w", Incarnation: 100, Sequence: 5, Address: "a", State: test.before}
			test.report.ID, test.report.Address = "w", "a"
			s.ApplyBatch(Batch{Commands: []Command{{Register: &known}, {Leave: &Leave{Worker: "w"}}, {Register: &test.report}}})
			if got := s.Worker("w").State; got != test.want {
				t.Errorf("the worker is %s, want %s", got, test.want)
			}
		})
	}
}

// Guards against a report of another process on a worker's machine, for a pool that the
// catalog does not have, that drops the worker's runs or takes it out of use.
func TestReportForUnknownPoolReplacesNoWorker(t *testing.T) {
	foreign := func(edit func(*Worker)) Worker {
		report := Worker{ID: "agent", Incarnation: 2, Sequence: 1, Pool: "node-agent", Address: "b", Machine: "n", State: WorkerReady}
		edit(&report)
		return report
	}
	tests := []struct {
		name   string
		report Worker
	}{
		{"same machine", foreign(func(w *Worker) { w.Machine = "m" })},
		{"same address", foreign(func(w *Worker) { w.Address = "a0" })},
		{"same id", foreign(func(w *Worker) { w.ID = "w00" })},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := newPool(t, 1)
			worker := *p.state.Worker("w00")
			worker.Machine, worker.Sequence = "m", 2
			p.apply(Command{Register: &worker})
			job := p.submit(1, "long", tasks(2, 1))
			p.plan()
			p.apply(Command{Register: &test.report})
			if runs := len(p.state.RunsOfJob(job)); runs != 2 {
				t.Errorf("%d of 2 runs are left", runs)
			}
			draining := worker
			draining.Sequence, draining.State = 3, WorkerDraining
			if result := p.apply(Command{Register: &draining}); result[0].Outcome != OutcomeDone || p.state.Worker("w00").State != WorkerDraining {
				t.Errorf("the worker's own next report: %+v", result[0])
			}
		})
	}
}

// Guards against a worker that stays unknown because another process on its machine
// reported itself before there was a catalog.
func TestReportBeforeCatalogReplacesNoWorker(t *testing.T) {
	s := NewState()
	worker := Worker{ID: "w", Incarnation: 1, Sequence: 1, Pool: "p", Address: "a", Machine: "m", State: WorkerReady}
	agent := Worker{ID: "agent", Incarnation: 2, Sequence: 1, Pool: "node-agent", Address: "b", Machine: "m", State: WorkerReady}
	s.ApplyBatch(Batch{Commands: []Command{{Register: &worker}, {Register: &agent}, {Configure: &Configure{Document: []byte(testCatalog)}}, {Register: &worker}}})
	if s.Worker("w") == nil {
		t.Error("the worker is unknown after its next report")
	}
}

// A run that is lost with its worker must resume from its last known
// checkpoint, and so must its gang.
func TestLostRunResumesFromLastCheckpoint(t *testing.T) {
	p := newPool(t, 2)
	checkpointing := tasks(2, 8)
	checkpointing.Checkpoints, checkpointing.Gang = true, true
	job := p.submit(1, "long", checkpointing)
	p.plan()
	first := RunID{Task: TaskID{Job: job}, Number: 1}
	second := RunID{Task: TaskID{Job: job, Index: 1}, Number: 1}
	p.apply(Command{Drop: &Drop{Runs: []RunID{first, second}, Checkpoints: []string{"saved", ""}, Reason: "x"}})
	for _, assign := range p.plan().Assign {
		for _, run := range assign.Runs {
			if run.Checkpoint != "saved" || run.ID.Number != 2 {
				t.Errorf("%s resumes from %q", run.ID, run.Checkpoint)
			}
		}
	}
}

// A submit with the id of another team's job must not be answered like a resend,
// also if both submits are in one log entry.
func TestSubmitWithForeignIDConflicts(t *testing.T) {
	p := newTwoTeamPool(t)
	job := p.submitFor("a", 1, "long", tasks(1, 1))
	submit := Submit{Job: job, Queue: "long", Request: Request{Steps: []Step{tasks(1, 1)}}}
	for _, test := range []struct {
		team identifier.TeamID
		want Outcome
	}{{"a", OutcomeUnchanged}, {"b", OutcomeConflict}} {
		submit.Team = test.team
		results := p.state.ApplyBatch(Batch{Now: p.wall(), Commands: []Command{{Submit: &submit}}})
		if results[0].Outcome != test.want {
			t.Errorf("submit of team %s: outcome %q, want %q", test.team, results[0].Outcome, test.want)
		}
	}
}

// A new leader must wait for the longest lease that any recent leader gave, also one
// of an earlier build that does not tell it, and for no longer.
func TestEarlierLease(t *testing.T) {
	const bound = 10 * time.Second
	type lead struct {
		at     UnixMilli
		millis int64
	}
	tests := []struct {
		name  string
		leads []lead
		want  time.Duration
	}{
		{"no batch yet", nil, bound},
		{"one leader", []lead{{1000, 6000}}, 6 * time.Second},
		{"an earlier build", []lead{{1000, 0}}, bound},
		{"shortly after an earlier build", []lead{{1000, 0}, {3000, 6000}, {4000, 6000}}, bound},
		{"long after an earlier build", []lead{{1000, 0}, {62_000, 6000}}, 6 * time.Second},
		{"an earlier build after a new one", []lead{{1000, 6000}, {2000, 0}}, bound},
		{"a lease above the bound", []lead{{1000, 60_000}}, bound},
	}
	for _, test := range tests {
		s := NewState()
		for _, l := range test.leads {
			s.ApplyBatch(Batch{Now: l.at, LeaseMillis: l.millis})
		}
		data, err := s.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		restored := NewState()
		if err := restored.Restore(data); err != nil {
			t.Fatal(err)
		}
		for _, state := range []*State{s, restored} {
			if got := state.EarlierLease(bound); got != test.want {
				t.Errorf("%s: %v, want %v", test.name, got, test.want)
			}
		}
	}
}

func TestCertainlyOver(t *testing.T) {
	at := time.Unix(1000, 0)
	later := at.Add(time.Second)
	tests := []struct {
		name    string
		run     Run
		attempt *StartAttempt
		poll    PollResult
		want    bool
	}{
		{"assigned by an earlier leader", Run{FencingToken: 1, Incarnation: 1}, nil, PollResult{Sent: at, Incarnation: 1}, true},
		{"not sent yet", Run{FencingToken: 2, Incarnation: 1}, nil, PollResult{Sent: at, Incarnation: 1}, false},
		{"start in flight", Run{FencingToken: 2, Incarnation: 1}, &StartAttempt{CallsInFlight: 1}, PollResult{Sent: at, Incarnation: 1}, false},
		{"started after the poll", Run{FencingToken: 2, Incarnation: 1}, &StartAttempt{Started: later}, PollResult{Sent: at, Incarnation: 1}, false},
		{"started before the poll", Run{FencingToken: 2, Incarnation: 1}, &StartAttempt{Started: at}, PollResult{Sent: later, Incarnation: 1}, true},
		{"unanswered start before its deadline", Run{FencingToken: 2, Incarnation: 1}, &StartAttempt{Unanswered: true, Deadline: 50}, PollResult{Sent: later, Incarnation: 1, Clock: 50}, false},
		{"unanswered start past its deadline", Run{FencingToken: 2, Incarnation: 1}, &StartAttempt{Unanswered: true, Deadline: 50}, PollResult{Sent: later, Incarnation: 1, Clock: 51}, true},
		{"unanswered start, stopped", Run{FencingToken: 2, Incarnation: 1}, &StartAttempt{Unanswered: true, Deadline: 50, Stopped: at}, PollResult{Sent: later, Incarnation: 1}, true},
		{"unanswered start, next incarnation", Run{FencingToken: 2, Incarnation: 1}, &StartAttempt{Unanswered: true, Deadline: 5}, PollResult{Sent: later, Incarnation: 2, Clock: 9}, false},
		{"started before the poll, next incarnation", Run{FencingToken: 2, Incarnation: 1}, &StartAttempt{Started: at}, PollResult{Sent: later, Incarnation: 2}, true},
		{"started after the poll was sent, next incarnation", Run{FencingToken: 2, Incarnation: 1}, &StartAttempt{Started: later}, PollResult{Sent: at, Incarnation: 2}, false},
		{"refused", Run{FencingToken: 2, Incarnation: 1}, &StartAttempt{Refused: at}, PollResult{Sent: later, Incarnation: 1}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := CertainlyOver(&test.run, test.attempt, &test.poll, 2); got != test.want {
				t.Errorf("certainly over: %t, want %t", got, test.want)
			}
		})
	}
}

func TestLeasesExpireOnlyWhenCertain(t *testing.T) {
	start := time.Unix(1000, 0)
	o := NewObserver(start, 6*time.Second, 4*time.Second)
	observation := o.Track("w", 1, start)
	observation.RecordContact(1000, start)
	observation.RenewLease(5*time.Second, start.Add(4*time.Second))
	tests := []struct {
		after time.Duration
		want  bool
	}{
		{6 * time.Second, false}, {9 * time.Second, false}, {9300 * time.Millisecond, false}, {9500 * time.Millisecond, true},
	}
	for _, test := range tests {
		if got := o.LeasesExpired("w", start.Add(test.after)); got != test.want {
			t.Errorf("after %v: leases expired: %t, want %t", test.after, got, test.want)
		}
	}
	o.Track("w", 2, start.Add(20*time.Second))
	if o.LeasesExpired("w", start.Add(21*time.Second)) {
		t.Error("the leases of a new incarnation expire at once")
	}
}

func FuzzParseCatalog(f *testing.F) {
	f.Add([]byte(testCatalog))
	f.Add([]byte(`{"version":1}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		catalog, err := ParseCatalog(data)
		if err == nil && catalog.Version == 0 {
			t.Error("version 0 was accepted")
		}
	})
}

func FuzzParseTaskID(f *testing.F) {
	f.Add("5c0e7a21d94b36f8.0.1.17")
	f.Add("a.b.c.d")
	f.Fuzz(func(t *testing.T, text string) {
		id, err := ParseTaskID(text)
		if err != nil {
			return
		}
		again, err := ParseTaskID(id.String())
		if err != nil || again != id {
			t.Errorf("%q is parsed as %v, its text form as %v (error %v)", text, id, again, err)
		}
	})
}

// A worker is unreachable until its lease expires, and its task is assigned
// again. Then the worker reports that the first run was done before. The task
// must count as done.
func TestLateEndOfLostRunCompletesTask(t *testing.T) {
	gang := tasks(2, 1)
	gang.Gang = true
	longRunning := tasks(1, 1)
	longRunning.LongRunning = true
	tests := []struct {
		name string
		step Step
		kind EndKind
		done bool
	}{
		{"task", tasks(1, 1), EndDone, true},
		{"gang", gang, EndDone, true},
		{"failed", tasks(1, 1), EndFailed, false},
		{"lease expired", tasks(1, 1), EndLeaseExpired, false},
		{"long-running task", longRunning, EndDone, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := newPool(t, 2)
			job := p.submit(1, "long", test.step)
			p.plan()
			first := p.state.RunsOfJob(job)
			from := *first[0]
			drop := &Drop{Reason: "leases have ended"}
			for _, run := range first {
				drop.Runs = append(drop.Runs, run.ID)
			}
			p.apply(Command{Drop: drop})
			p.plan()
			second := p.state.RunsOfJob(job)
			p.apply(Command{RecordEnds: &RecordEnds{Worker: from.Worker, Incarnation: from.Incarnation, Number: 9, Ends: []End{{Number: 9, Run: from.ID, Kind: test.kind}}}})
			if completed := p.state.Job(job).Phase == PhaseCompleted; completed != test.done {
				t.Fatalf("job is %s", p.state.Job(job).Phase)
			}
			plan := p.plan()
			for _, run := range second {
				if reason := stopReason(plan, run.ID); test.done != (reason == "another run was first") {
					t.Errorf("%s is stopped with reason %q", run.ID, reason)
				}
			}
		})
	}
}

func TestEndOfUnassignedRunIsIgnored(t *testing.T) {
	p := newPool(t, 1)
	job := p.submit(1, "long", tasks(1, 1))
	p.plan()
	unassigned := RunID{Task: TaskID{Job: job}, Number: 7}
	p.apply(Command{RecordEnds: &RecordEnds{Worker: "w00", Incarnation: 1, Number: 9, Ends: []End{{Number: 9, Run: unassigned, Kind: EndDone}}}})
	if phase := p.state.Job(job).Phase; phase != PhaseActive {
		t.Errorf("job is %s", phase)
	}
}
