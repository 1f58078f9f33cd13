package scheduler

import (
	"errors"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func TestParseCatalog(t *testing.T) {
	tests := []struct {
		name, document string
		bad            bool
	}{
		{"whole", testCatalog, false},
		{"unknown fields", `{"version":1,"queues":[],"pools":[],"limits":{"x":1}}`, false},
		{"cut short", testCatalog[:len(testCatalog)-4], true},
		{"text behind", testCatalog + "x", true},
		{"no version", `{"queues":[],"pools":[]}`, true},
		{"version of another type", `{"version":"1","queues":[],"pools":[]}`, true},
		{"no queues", `{"version":1,"pools":[]}`, true},
		{"unknown pool", `{"version":1,"pools":[],"queues":[{"name":"q","worker-pool":"p","timeout-ms":1}]}`, true},
		{"no time-out", `{"version":1,"pools":[{"name":"p"}],"queues":[{"name":"q","worker-pool":"p","timeout-ms":0}]}`, true},
		{"same address", `{"version":1,"pools":[{"name":"p"}],"queues":[
			{"name":"q","host":"h","path-prefix":"/a/","worker-pool":"p","timeout-ms":1},
			{"name":"r","host":"H","path-prefix":"/a/","worker-pool":"p","timeout-ms":1}]}`, true},
		{"shared key", `{"version":1,"queues":[],"pools":[],"teams":[{"name":"a","keys":["k"]},{"name":"b","keys":["k"]}]}`, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := ParseCatalog([]byte(test.document))
			if bad := errors.Is(err, ErrBadCatalog); bad != test.bad {
				t.Errorf("error %v, want one: %t", err, test.bad)
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
	if diff := cmp.Diff(p.state, restored, cmp.AllowUnexported(State{}, Job{})); diff != "" {
		t.Errorf("restored state differs:\n%s", diff)
	}
}

// An earlier life, a stale report and a report of an address that another
// life has taken change nothing.
func TestRegisterRejectsStaleReports(t *testing.T) {
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
		{"earlier life", change(func(w *Worker) { w.Incarnation, w.Sequence = 99, 9 }), OutcomeStale},
		{"next life", change(func(w *Worker) { w.Incarnation, w.Sequence = 101, 1 }), OutcomeDone},
		{"earlier life at the address", change(func(w *Worker) { w.ID, w.Machine, w.Incarnation = "v", "n", 99 }), OutcomeStale},
		{"next life on the machine", change(func(w *Worker) { w.ID, w.Address, w.Incarnation = "v", "b", 101 }), OutcomeDone},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := NewState()
			worker := test.worker
			results := s.ApplyBatch(Batch{Commands: []Command{{Register: &base}, {Register: &worker}}})
			if results[1].Outcome != test.want {
				t.Errorf("%s, want %s", results[1].Outcome, test.want)
			}
		})
	}
}

// A run that is lost with its worker goes on from the last checkpoint that was
// seen, as does its gang.
func TestLostRunResumesFromLastCheckpoint(t *testing.T) {
	p := newPool(t, 2)
	saving := tasks(2, 8)
	saving.Checkpoints, saving.Gang = true, true
	job := p.submit(1, "long", saving)
	p.plan()
	first := RunID{Task: TaskID{Job: job}, Number: 1}
	second := RunID{Task: TaskID{Job: job, Index: 1}, Number: 1}
	p.apply(Command{Drop: &Drop{Runs: []RunID{first, second}, Checkpoints: []string{"saved", ""}, Reason: "x"}})
	for _, assign := range p.plan().Assign {
		for _, run := range assign.Runs {
			if run.Checkpoint != "saved" || run.ID.Number != 2 {
				t.Errorf("%s goes on from %q", run.ID, run.Checkpoint)
			}
		}
	}
}

func TestCertainlyLost(t *testing.T) {
	at := time.Unix(1000, 0)
	later := at.Add(time.Second)
	tests := []struct {
		name string
		run  Run
		try  *StartAttempt
		look PollResult
		want bool
	}{
		{"assigned by an earlier leader", Run{FencingToken: 1, Incarnation: 1}, nil, PollResult{Sent: at, Incarnation: 1}, true},
		{"not sent yet", Run{FencingToken: 2, Incarnation: 1}, nil, PollResult{Sent: at, Incarnation: 1}, false},
		{"start under way", Run{FencingToken: 2, Incarnation: 1}, &StartAttempt{CallsInFlight: 1}, PollResult{Sent: at, Incarnation: 1}, false},
		{"started after the question", Run{FencingToken: 2, Incarnation: 1}, &StartAttempt{Started: later}, PollResult{Sent: at, Incarnation: 1}, false},
		{"started before the question", Run{FencingToken: 2, Incarnation: 1}, &StartAttempt{Started: at}, PollResult{Sent: later, Incarnation: 1}, true},
		{"start open, not past its deadline", Run{FencingToken: 2, Incarnation: 1}, &StartAttempt{Unanswered: true, Deadline: 50}, PollResult{Sent: later, Incarnation: 1, Clock: 50}, false},
		{"start open, past its deadline", Run{FencingToken: 2, Incarnation: 1}, &StartAttempt{Unanswered: true, Deadline: 50}, PollResult{Sent: later, Incarnation: 1, Clock: 51}, true},
		{"start open, blocked", Run{FencingToken: 2, Incarnation: 1}, &StartAttempt{Unanswered: true, Deadline: 50, Stopped: at}, PollResult{Sent: later, Incarnation: 1}, true},
		{"start open, next life", Run{FencingToken: 2, Incarnation: 1}, &StartAttempt{Unanswered: true, Deadline: 5}, PollResult{Sent: later, Incarnation: 2, Clock: 9}, false},
		{"started, next life", Run{FencingToken: 2, Incarnation: 1}, &StartAttempt{Started: later}, PollResult{Sent: at, Incarnation: 2}, true},
		{"refused as old", Run{FencingToken: 2, Incarnation: 1}, &StartAttempt{Refused: at}, PollResult{Sent: later, Incarnation: 1}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := CertainlyLost(&test.run, test.try, &test.look, 2); got != test.want {
				t.Errorf("gone %t, want %t", got, test.want)
			}
		})
	}
}

func TestLeasesExpireOnlyWhenCertain(t *testing.T) {
	start := time.Unix(1000, 0)
	o := NewObserver(start, 6*time.Second, 4*time.Second)
	watch := o.Track("w", 1, start)
	watch.RecordContact(1000, start)
	watch.RenewLease(5*time.Second, start.Add(4*time.Second))
	tests := []struct {
		after time.Duration
		want  bool
	}{
		{6 * time.Second, false}, {9 * time.Second, false}, {9300 * time.Millisecond, false}, {9500 * time.Millisecond, true},
	}
	for _, test := range tests {
		if got := o.LeasesExpired("w", start.Add(test.after)); got != test.want {
			t.Errorf("after %v: lapsed %t, want %t", test.after, got, test.want)
		}
	}
	o.Track("w", 2, start.Add(20*time.Second))
	if o.LeasesExpired("w", start.Add(21*time.Second)) {
		t.Error("the leases of a new life lapse at once")
	}
}

func FuzzParseCatalog(f *testing.F) {
	f.Add([]byte(testCatalog))
	f.Add([]byte(`{"version":1}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		catalog, err := ParseCatalog(data)
		if err == nil && catalog.Version == 0 {
			t.Error("version 0 was taken")
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
			t.Errorf("%q reads as %v, then as %v (%v)", text, id, again, err)
		}
	})
}

// A worker was cut off, its lease ended, and its task was given out again. Then
// it lists that the first run was done before.
func TestLateEndOfLostRunCompletesTask(t *testing.T) {
	gang := tasks(2, 1)
	gang.Gang = true
	lasting := tasks(1, 1)
	lasting.LongRunning = true
	tests := []struct {
		name string
		step Step
		how  EndKind
		done bool
	}{
		{"task", tasks(1, 1), EndDone, true},
		{"gang", gang, EndDone, true},
		{"failed", tasks(1, 1), EndFailed, false},
		{"lapsed", tasks(1, 1), EndLeaseExpired, false},
		{"lasting", lasting, EndDone, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := newPool(t, 2)
			job := p.submit(1, "long", test.step)
			p.plan()
			first := p.state.RunsOf(job)
			from := *first[0]
			drop := &Drop{Reason: "leases have ended"}
			for _, run := range first {
				drop.Runs = append(drop.Runs, run.ID)
			}
			p.apply(Command{Drop: drop})
			p.plan()
			second := p.state.RunsOf(job)
			p.apply(Command{RecordEnds: &RecordEnds{Worker: from.Worker, Incarnation: from.Incarnation, Number: 9, Ends: []End{{Number: 9, Run: from.ID, Kind: test.how}}}})
			if completed := p.state.Job(job).Phase == PhaseCompleted; completed != test.done {
				t.Fatalf("job is %s", p.state.Job(job).Phase)
			}
			plan := p.plan()
			for _, run := range second {
				if reason := stopReason(plan, run.ID); test.done != (reason == "another run was first") {
					t.Errorf("%s is stopped for %q", run.ID, reason)
				}
			}
		})
	}
}

func TestEndOfUnassignedRunIsIgnored(t *testing.T) {
	p := newPool(t, 1)
	job := p.submit(1, "long", tasks(1, 1))
	p.plan()
	stray := RunID{Task: TaskID{Job: job}, Number: 7}
	p.apply(Command{RecordEnds: &RecordEnds{Worker: "w00", Incarnation: 1, Number: 9, Ends: []End{{Number: 9, Run: stray, Kind: EndDone}}}})
	if phase := p.state.Job(job).Phase; phase != PhaseActive {
		t.Errorf("job is %s", phase)
	}
}
