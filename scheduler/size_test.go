package scheduler

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"cranberrystack.dev/cranberrystack/identifier"
)

// newDesignSizePool returns a pool of the size that the scheduler is designed
// for: 700 workers that run 18,900 tasks of 1,400 jobs.
func newDesignSizePool(t testing.TB) *testPool {
	p := &testPool{state: NewState(), planner: NewPlanner(), now: time.Unix(1000, 0)}
	p.observer = NewObserver(p.now, 6*time.Second, 4*time.Second)
	p.apply(Command{Configure: &Configure{Document: []byte(testCatalog)}})
	for i := range 700 {
		worker := Worker{
			ID: identifier.WorkerID(fmt.Sprintf("w%03d", i)), Incarnation: 1, Pool: "p", Address: fmt.Sprint("a", i),
			Labels: []string{"a", fmt.Sprintf("r-%d", i/20)}, State: WorkerReady,
			Capacity: Resources{CPU: 64000, Memory: 128000, Accelerators: 8},
		}
		p.apply(Command{Register: &worker})
	}
	p.contactAll()
	for i := range 1400 {
		step := Step{Width: 13, EstimateMillis: 4 * 3600_000, Resources: Resources{CPU: 2000, Memory: 1000}}
		if i < 700 {
			step.Width++
		}
		job := identifier.JobID(fmt.Sprintf("%016x", i))
		p.apply(Command{Submit: &Submit{Job: job, Queue: "long", Team: "a", Request: Request{Steps: []Step{step}}}})
	}
	plan := p.planner.Plan(p.state, p.observer, p.now, p.wall())
	for i := range plan.Assign {
		p.apply(Command{Assign: &plan.Assign[i]})
	}
	if runs := len(p.state.runs); runs < 18900 {
		t.Fatalf("%d runs, want 18,900", runs)
	}
	return p
}

// BenchmarkPlan measures a placement pass at the size that the scheduler is
// designed for, while one urgent job waits.
func BenchmarkPlan(b *testing.B) {
	p := newDesignSizePool(b)
	p.apply(Command{Submit: &Submit{Job: "ffffffffffffffff", Queue: "urgent", Team: "a", Request: Request{Steps: []Step{tasks(4, 8)}}}})
	b.ResetTimer()
	for range b.N {
		p.planner.Plan(p.state, p.observer, p.now, p.wall())
	}
}

// BenchmarkSnapshot measures a snapshot at the size that the scheduler is
// designed for: its time, its bytes and the heap that the state occupies.
func BenchmarkSnapshot(b *testing.B) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	p := newDesignSizePool(b)
	runtime.GC()
	runtime.ReadMemStats(&after)
	size := 0
	b.ResetTimer()
	for range b.N {
		data, err := p.state.Snapshot()
		if err != nil {
			b.Fatal(err)
		}
		size = len(data)
	}
	b.ReportMetric(float64(size), "B/snapshot")
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "B/state")
	runtime.KeepAlive(p)
}
