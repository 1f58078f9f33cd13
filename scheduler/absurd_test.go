package scheduler

import (
	"encoding/json"
	"errors"
	"math"
	"runtime"
	"strings"
	"testing"
	"time"
)

// Guards against a report of an absurd capacity, for which each leader in turn
// allocated memory in proportion when it planned.
func TestAbsurdCapacityCostsNoMemory(t *testing.T) {
	const limitBytes = 16 << 20
	p := newPool(t, 2)
	absurd := Worker{ID: "x", Incarnation: 1, Pool: "p", Address: "ax", State: WorkerReady, Capacity: Resources{CPU: 1, Memory: 1, Accelerators: 1 << 24}}
	p.apply(Command{Register: &absurd})
	p.submit(1, "long", tasks(4, 8))
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	p.plan()
	runtime.ReadMemStats(&after)
	if allocated := after.TotalAlloc - before.TotalAlloc; allocated > limitBytes {
		t.Errorf("a plan allocates %d bytes, want at most %d", allocated, limitBytes)
	}
	p.checkPlacements()
}

func TestAbsurdReportsAreInvalid(t *testing.T) {
	tests := []struct {
		name string
		edit func(*Worker)
	}{
		{"capacity overflows", func(w *Worker) { w.Capacity.Accelerators = math.MaxInt64 }},
		{"negative capacity", func(w *Worker) { w.Capacity.CPU = -1 }},
		{"started in the far future", func(w *Worker) { w.Incarnation = math.MaxInt64 }},
		{"never started", func(w *Worker) { w.Incarnation = 0 }},
		{"endless drain", func(w *Worker) { w.DrainMillis = math.MaxInt64 }},
		{"endless sequence", func(w *Worker) { w.Sequence = math.MaxInt64 }},
		{"port out of range", func(w *Worker) { w.Address = "10.0.0.1:65536" }},
		{"port that overflows", func(w *Worker) { w.Address = "10.0.0.1:18446744073709551617" }},
		{"port 0", func(w *Worker) { w.Address = "10.0.0.1:0" }},
		{"no port", func(w *Worker) { w.Address = "10.0.0.1" }},
		{"no host", func(w *Worker) { w.Address = ":8080" }},
		{"endless labels", func(w *Worker) { w.Labels = make([]string, 100000) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			worker := Worker{ID: "w", Incarnation: 1, Address: "w:1", Capacity: Resources{CPU: 1}}
			if err := worker.Check(); err != nil {
				t.Fatal(err)
			}
			test.edit(&worker)
			if err := worker.Check(); !errors.Is(err, ErrInvalidWorker) {
				t.Errorf("error is %v, want ErrInvalidWorker", err)
			}
		})
	}
}

// Guards against a time of a worker's clock that is so large that deadlines on it overflow,
// and that hides all later ones.
func TestAbsurdClockIsIgnored(t *testing.T) {
	now := time.Unix(1000, 0)
	observation := NewObserver(now, 6*time.Second, 4*time.Second).Track("w", 1, now)
	observation.RecordContact(math.MaxInt64, now)
	if observation.HasClock() {
		t.Error("an absurd clock is taken")
	}
	observation.RecordContact(5000, now)
	if deadline := observation.RenewLease(time.Second, now); deadline != 6000 {
		t.Errorf("a lease of 1 s ends at %d on a clock at 5000", deadline)
	}
}

func TestAbsurdJobsAreInvalid(t *testing.T) {
	tests := []struct {
		name, request string
		valid         bool
	}{
		{"plain", `{"steps":[{"width":1,"cpu-milli":1}]}`, true},
		{"resource overflows", `{"steps":[{"width":9,"cpu-milli":9000000000000000000}]}`, false},
		{"estimate overflows", `{"steps":[{"width":1,"estimate-ms":9000000000000000000}]}`, false},
		{"negative estimate", `{"steps":[{"width":1,"estimate-ms":-5}]}`, false},
		{"due times overflow", `{"steps":[{"width":1}],"repeat":3,"interval-ms":9000000000000000000}`, false},
		{"start in the far future", `{"steps":[{"width":1}],"start-at-ms":9000000000000000000}`, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var request Request
			if err := json.Unmarshal([]byte(test.request), &request); err != nil {
				t.Fatal(err)
			}
			if err := request.Check(); (err == nil) != test.valid {
				t.Errorf("error is %v, want a valid job: %t", err, test.valid)
			}
		})
	}
}

// FuzzApply looks for log entries that end the process of every instance that applies
// them, or that make the state unreadable.
func FuzzApply(f *testing.F) {
	catalog := strings.Join(strings.Fields(testCatalog), "")
	for _, commands := range []string{
		`{"configure":{"document":` + catalog + `}}`,
		`{"enlist":{"id":"w","born":5,"sequence":1,"pool":"p","address":"a","data-center":"d","machine":"m","capacity":{"cpu-milli":9,"accelerators":8},"state":"ready"}}`,
		`{"submit":{"job":"0000000000000001","queue":"long","request":{"steps":[{"width":2,"cpu-milli":1,"gang":true}]}}}`,
		`{"assign":{"runs":[{"id":{"task":"0000000000000001.0.0.0","run":1},"worker":"w","born":5}]}},{"enlist":{"id":"w","born":6},"suspicion":{"likely":[{"task":"0000000000000001.0.0.0","run":1}]}}`,
		`{"note":{"worker":"w","born":5,"number":3,"ends":[{"number":1,"run":{"task":"0000000000000001.0.0.0","run":1},"how":"failed"}]}}`,
		`{"drop":{"runs":[{"task":"0000000000000001.0.0.0","run":1}],"suspicion":{"possible":[{"task":"0000000000000001.0.0.0","run":1}]}}}`,
		`{"cancel":{"job":"0000000000000001"}},{"leave":{"worker":"w"}}`,
		`{"wave":{"id":1,"machines":[{"machine":"m"}],"cap":1}},{"upkeep":{"wave":1,"machine":"m","state":"begun"}}`,
	} {
		f.Add(`{"now":5,"fence":1,"commands":[` + commands + `]}`)
	}
	f.Fuzz(func(t *testing.T, entry string) {
		p := newPool(t, 2)
		p.submit(1, "long", tasks(2, 1))
		p.plan()
		if _, err := p.state.Apply([]byte(entry)); err != nil {
			return
		}
		data, err := p.state.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		if err := NewState().Restore(data); err != nil {
			t.Fatal(err)
		}
	})
}
