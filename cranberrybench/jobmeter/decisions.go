package jobmeter

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"runtime"
	"sort"
	"time"

	"cranberrystack.dev/cranberrybench/reporter"
	"cranberrystack.dev/cranberrystack/identifier"
	"cranberrystack.dev/cranberrystack/packer"
	"cranberrystack.dev/cranberrystack/placer"
)

const (
	// tasksPerWorker makes 19,000 tasks on 700 workers.
	tasksPerWorker = 28
	fillPart       = 0.97
	decisions      = 3000
	// repeats is the number of runs at each size.
	repeats  = 3
	taskTime = time.Hour
	// reportTurns is the number of decisions in which every worker reports
	// once.
	reportTurns = 50
)

// measureDecisions measures one decision (a submission, a report of an ended
// task and the tick that follows) and the engine's memory at several sizes.
func measureDecisions(seed uint64) *reporter.Report {
	r := &reporter.Report{
		Title: "jobs, one decision against the number of workers", Seed: seed,
		Columns: []string{"50", "200", "700"},
	}
	var tasks, p50, p99, worst, memory, reports, whole, partial, kept []float64
	for _, workers := range []int{50, 200, 700} {
		m, most := measureRepeatedly(seed, workers)
		tasks = append(tasks, float64(m.running))
		p50 = append(p50, float64(m.quantile(0.5).Microseconds()))
		p99 = append(p99, float64(m.quantile(0.99).Microseconds()))
		worst = append(worst, float64(most.Microseconds()))
		memory = append(memory, float64(m.bytes)/(1<<20))
		reports = append(reports, float64(m.report.Microseconds()))
		whole = append(whole, float64(m.wholeBytes))
		partial = append(partial, float64(m.partialBytes))
		kept = append(kept, float64(m.keptBytes))
	}
	r.Add("running tasks", "count", "", tasks...)
	r.Add("decision p50", "us", "", p50...)
	r.Add("decision p99, median of runs", "us", "< 1000 at 700", p99...)
	r.Add("decision p99, worst of runs", "us", "", worst...)
	r.Add("taking one worker's report", "us", "", reports...)
	r.Add("a whole report", "B", "", whole...)
	r.Add("a partial report", "B", "", partial...)
	r.Add("a change kept on disk and copies", "B", "", kept...)
	r.Add("engine and stand-ins, heap", "MB", "", memory...)
	return r
}

type sizeMeasure struct {
	running int
	took    []time.Duration
	report  time.Duration
	bytes   uint64
	// wholeBytes and partialBytes are the sizes of reports, keptBytes that of
	// one changed job.
	wholeBytes, partialBytes, keptBytes int
}

func (m *sizeMeasure) quantile(quantile float64) time.Duration {
	sort.Slice(m.took, func(i, j int) bool { return m.took[i] < m.took[j] })
	return m.took[int(quantile*float64(len(m.took)-1))]
}

func heap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// measureRepeatedly returns the run with the median p99, and the worst p99.
func measureRepeatedly(seed uint64, workers int) (*sizeMeasure, time.Duration) {
	var runs []*sizeMeasure
	for range repeats {
		runs = append(runs, measureSize(seed, workers))
	}
	sort.Slice(runs, func(i, j int) bool { return runs[i].quantile(0.99) < runs[j].quantile(0.99) })
	return runs[repeats/2], runs[repeats-1].quantile(0.99)
}

func measureSize(seed uint64, workers int) *sizeMeasure {
	random := rand.New(rand.NewPCG(seed, uint64(workers)))
	before := heap()
	now := epochStart
	p := newPlacedOn(workersOf(workers, tasksPerWorker), now)
	number := 0
	submit := func() identifier.JobID {
		number++
		id := identifier.JobID(fmt.Sprintf("t%06d", number))
		p.takes[id] = taskTime
		spec := placer.Spec{
			ID: id, Member: "zebra", Plan: "zebra-plan", Team: "team", Accelerator: "gpu", Kind: "task",
			Shape:           packer.Shape{Adjacent: packer.AdjacentWorker, Parts: 1, PerPart: 1},
			DeclaredRunTime: taskTime, Checkpointable: true,
		}
		if err := p.engine.Submit(spec, now); err != nil {
			panic(err)
		}
		return id
	}
	for range int(float64(workers*tasksPerWorker) * fillPart) {
		submit()
	}
	p.settle(now)
	p.engine.Tick(now)
	p.settle(now)
	m := &sizeMeasure{bytes: heap() - before}
	for range decisions {
		now = now.Add(100 * time.Millisecond)
		p.reportInTurn(now)
		s := p.workers[random.IntN(len(p.workers))]
		p.endOne(s, now)
		began := time.Now()
		p.report(s, now)
		m.report += time.Since(began)
		submit()
		p.engine.Tick(now)
		m.took = append(m.took, time.Since(began))
		p.settle(now)
	}
	m.report /= decisions
	m.measureBytes(p, now)
	m.running = p.engine.Status(now).Running
	return m
}

func (m *sizeMeasure) measureBytes(p *placed, now time.Time) {
	s := p.workers[0]
	leases := s.table.All(now)
	m.wholeBytes = size(placer.Report{Worker: s.info, Sequence: s.sequence, Leases: leases})
	m.partialBytes = size(placer.Report{Worker: s.info, Sequence: s.sequence, Partial: true})
	for _, lease := range leases {
		if job, known := p.states[lease.ID.Job]; known {
			m.keptBytes = size(job)
			return
		}
	}
}

// size returns the length of a value's JSON form.
func size(value any) int {
	data, err := json.Marshal(value)
	if err != nil {
		return 0
	}
	return len(data)
}

// reportInTurn lets each worker report every few seconds.
func (p *placed) reportInTurn(now time.Time) {
	each := max(len(p.workers)/reportTurns, 1)
	for range each {
		p.turn = (p.turn + 1) % len(p.workers)
		p.report(p.workers[p.turn], now)
	}
}

// endOne ends one task of a worker.
func (p *placed) endOne(s *standIn, now time.Time) {
	for _, task := range s.tasks {
		task.ends = now
		break
	}
	p.runTasks(s, now)
}
