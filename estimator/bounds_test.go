package estimator_test

import (
	"encoding/json"
	"fmt"
	"math"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cranberrystack.dev/cranberrystack/estimator"
)

// fill records n runs of as many groups, machines and steps as the default bounds
// allow. Each step has runs on two machines. pad is appended to the names.
func fill(e *estimator.Estimator, n int, pad string) {
	for i := range n {
		e.Record(estimator.Sample{
			Group: estimator.Group{
				Queue: fmt.Sprintf("queue-%06d", i%estimator.DefaultMaxGroups), Image: "registry.example/team/solver" + pad,
			},
			Step:     fmt.Sprintf("job-%d/step", i%estimator.DefaultMaxSteps),
			Machine:  fmt.Sprintf("worker-%06d%s", i%estimator.DefaultMaxMachines, pad),
			Declared: typical + time.Duration(i*7919%5003)*time.Millisecond, Elapsed: time.Duration(i*104729%7001+1) * time.Millisecond,
			Tasks: 1 + i%9, Ended: true,
		}, int64(i))
	}
}

// TestBounds guards against memory and snapshots that grow with the number or the
// length of names.
func TestBounds(t *testing.T) {
	for _, pad := range []string{"", strings.Repeat("x", 22), strings.Repeat("<", 200)} {
		before := heap()
		e := estimator.New()
		for i := range 5000 { // to be evicted
			name := fmt.Sprint(i)
			e.Record(estimator.Sample{Group: estimator.Group{Queue: name}, Step: name, Machine: name, Elapsed: 1, Ended: true}, 0)
		}
		fill(e, 12*estimator.DefaultMaxMachines, pad)
		if got := heap() - before; got > 1<<20 {
			t.Errorf("names with %d more bytes: %d bytes of memory", len(pad), got)
		}
		data, err := json.Marshal(e)
		if err != nil || len(data) > 512<<10 {
			t.Errorf("names with %d more bytes: %d bytes of JSON, %v", len(pad), len(data), err)
		}
		s := e.Statistics()
		if s.Groups > 512 || s.Machines > 4096 || s.Steps != 2048 {
			t.Errorf("names with %d more bytes: beyond the bounds: %+v", len(pad), s)
		}
		if len(pad) < 30 && (s.Groups != 512 || s.Machines != 4096) {
			t.Errorf("names with %d more bytes: evicted too early: %+v", len(pad), s)
		}
		t.Logf("names with %d more bytes: %d bytes of JSON, %+v", len(pad), len(data), s)
	}
}

// heap returns the bytes in use after a collection.
func heap() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// TestEviction guards against the eviction of what is in use.
func TestEviction(t *testing.T) {
	e := estimator.New(estimator.MaxGroups(2), estimator.MaxMachines(2), estimator.MaxSteps(2))
	for _, name := range []string{"a", "b", "a", "c"} {
		e.Record(estimator.Sample{
			Group: estimator.Group{Queue: name}, Step: name, Machine: name, Declared: typical, Elapsed: typical, Tasks: 1, Ended: true,
		}, 0)
	}
	var got []string
	for _, view := range e.Groups() {
		got = append(got, view.Queue)
	}
	for _, view := range e.Machines() {
		got = append(got, view.Machine)
	}
	if diff := cmp.Diff([]string{"a", "c", "a", "c"}, got); diff != "" {
		t.Errorf("groups and machines (-want +got):\n%s", diff)
	}
}

// TestRoundTrip guards against instances that differ because one of them was restored
// from a snapshot.
func TestRoundTrip(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		original := newWorld(seed)
		original.spread, original.tail, original.width, original.paces = 0.25, 0.03, 5, unevenPaces()
		original.runSteps(37)
		data, err := json.Marshal(original.Estimator)
		if err != nil {
			t.Fatal(err)
		}
		var restored estimator.Estimator
		if err := json.Unmarshal(data, &restored); err != nil {
			t.Fatal(err)
		}
		for i := range 50 {
			s := estimator.Sample{
				Group: group, Step: fmt.Sprint(i / 3), Machine: machineName(original.rng.IntN(40)), Declared: typical,
				Elapsed: scaleLog(typical, original.rng.NormFloat64()), Tasks: 3, Ended: i%7 > 0, Gang: i%5 == 0,
			}
			original.Record(s, int64(i))
			restored.Record(s, int64(i))
		}
		want, _ := json.Marshal(original.Estimator)
		got, _ := json.Marshal(&restored)
		if diff := cmp.Diff(string(want), string(got)); diff != "" {
			t.Errorf("restored estimator differs (-want +got):\n%s", diff)
		}
	})
}

// FuzzUnmarshal guards against snapshots that stop an instance, or that give it an
// estimator that cannot be used.
func FuzzUnmarshal(f *testing.F) {
	w := newWorld(1)
	w.width, w.paces = 3, unevenPaces()[:4]
	valid, err := json.Marshal(w.runSteps(5).Estimator)
	if err != nil {
		f.Fatal(err)
	}
	zeros := strings.Repeat(",0", 14)
	for _, seed := range []string{
		string(valid), "", "null", "{}", "[]", `{"version":2}`, string(valid[:len(valid)/2]),
		`{"version":1,"samples":-1}`, `{"version":1,"all":[1e308,-1e308]}`, `{"version":1,"all":[1e999,0]}`,
		`{"version":1,"groups":{"queues":["q"],"images":["i"],"values":[[1e308,1e308,-1e308,1e300,1e300,-1e300,1e300,-5,1e9,1,2,3,-4,5,6]]}}`,
		`{"version":1,"groups":{"queues":["q","q"],"images":["i","i"],"values":[[-1` + zeros + `],[1` + zeros + `]]}}`,
		`{"version":1,"groups":{"queues":["q"],"images":[],"values":[]}}`,
		`{"version":1,"machines":{"names":["m","n"],"paces":[2147483647,-2147483648],"variances":[-1,2147483647],"runs":[-9,2147483647],"deviations":[7,-7]}}`,
		`{"version":1,"machines":{"names":["m","n","o"],"paces":[1,1,1],"variances":[1,1,1],"runs":[1,1,1],"deviations":[1,1,1]}}`,
		`{"version":1,"steps":{"keys":[1,1,18446744073709551615],"values":[[-1,-1,-1,-1,-1,-1,-1],[1],[9e18,9e18,9e18,9e18,9e18,9e18,9e18]]}}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		e := estimator.New(estimator.MaxGroups(2), estimator.MaxMachines(2), estimator.MaxSteps(2))
		err := e.UnmarshalJSON(data)
		s := e.Statistics()
		if err != nil && s != (estimator.Statistics{}) {
			t.Errorf("after error %v: %+v, want nothing learned", err, s)
		}
		if s.Groups > 2 || s.Machines > 2 || s.Steps > 2 {
			t.Errorf("beyond the bounds: %+v", s)
		}
		for i := range 20 {
			g := estimator.Group{Queue: "q", Image: "i"}
			e.Record(estimator.Sample{
				Group: g, Step: fmt.Sprint(i / 3), Machine: "m" + fmt.Sprint(i%2), Declared: typical, Elapsed: typical,
				Tasks: 1 + i%3, Ended: i%5 > 0, Gang: i%4 == 0,
			}, 0)
			x := e.Expect(g, "3", typical)
			if x.Mean <= 0 || x.Median <= 0 || x.Mean > 8*24*time.Hour {
				t.Fatalf("expectation %+v", x)
			}
			if pace, _ := e.Pace("m0"); !(pace > 0.01 && pace < 100) {
				t.Fatalf("pace %v", pace)
			}
		}
		for _, v := range e.Groups() {
			for _, x := range []float64{v.Steps, v.Slope, v.Spread, v.TailShare, v.DeclaredError, v.LearnedError} {
				if math.IsNaN(x) || math.IsInf(x, 0) {
					t.Fatalf("%+v is not finite", v)
				}
			}
		}
		if _, err := e.MarshalJSON(); err != nil {
			t.Fatal(err)
		}
	})
}

// TestAllocations guards against garbage on the paths that the log and each pass of
// the planner take for every run.
func TestAllocations(t *testing.T) {
	e, samples := steadyState()
	i := 0
	got := testing.AllocsPerRun(1000, func() {
		s := samples[i%len(samples)]
		i++
		e.Record(s, 0)
		e.Expect(s.Group, s.Step, s.Declared)
		e.Quantile(s.Group, s.Step, s.Declared, 0.9)
		e.Pace(s.Machine)
	})
	if got != 0 {
		t.Errorf("%v allocations", got)
	}
}

// steadyState returns an estimator at its bounds, and samples of what it knows.
func steadyState() (*estimator.Estimator, []estimator.Sample) {
	e := estimator.New()
	fill(e, estimator.DefaultMaxMachines, "")
	samples := make([]estimator.Sample, 1024)
	for i := range samples {
		samples[i] = estimator.Sample{
			Group: estimator.Group{Queue: fmt.Sprintf("queue-%06d", i%90), Image: "registry.example/team/solver"},
			Step:  fmt.Sprint(i / 8), Machine: fmt.Sprintf("worker-%06d", i), Declared: typical,
			Elapsed: time.Duration(i+1) * 5 * time.Millisecond, Tasks: 8, Ended: true,
		}
		e.Record(samples[i], 0)
	}
	return e, samples
}

func BenchmarkRecord(b *testing.B) {
	e, samples := steadyState()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		e.Record(samples[i%len(samples)], int64(i))
	}
}

func BenchmarkExpect(b *testing.B) {
	e, samples := steadyState()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		s := &samples[i%len(samples)]
		e.Expect(s.Group, s.Step, s.Declared)
	}
}
