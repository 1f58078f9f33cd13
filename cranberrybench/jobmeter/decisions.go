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
	// tasksPerWorker is the number of tasks that a worker has capacity for.
	// 28 make 19,000 running tasks on 700 workers.
	tasksPerWorker = 28
	// filledFraction is the fraction of the capacity in use at the start.
	filledFraction = 0.97
	decisionCount  = 3000
	// repeatCount is the number of runs for each number of workers.
	repeatCount = 3
	taskRunTime = time.Hour
	// decisionsPerReportRound is the number of decisions during which every
	// worker reports once.
	decisionsPerReportRound = 50
)

// measureDecisions measures one decision (the report of an ended task, a
// submission and the tick that follows) and the engine's memory, for several
// numbers of workers.
func measureDecisions(seed uint64) *reporter.Report {
	r := &reporter.Report{
		Title: "jobs, one decision against the number of workers", Seed: seed,
		Columns: []string{"50", "200", "700"},
	}
	var tasks, p50, p99, worst, memory, report, full, partial, persisted []float64
	for _, workers := range []int{50, 200, 700} {
		median, worstP99 := measureRepeatedly(seed, workers)
		tasks = append(tasks, float64(median.runningTasks))
		p50 = append(p50, float64(median.decisionQuantile(0.5).Microseconds()))
		p99 = append(p99, float64(median.decisionQuantile(0.99).Microseconds()))
		worst = append(worst, float64(worstP99.Microseconds()))
		memory = append(memory, float64(median.heapBytes)/(1<<20))
		report = append(report, float64(median.reportTime.Microseconds()))
		full = append(full, float64(median.fullReportBytes))
		partial = append(partial, float64(median.partialReportBytes))
		persisted = append(persisted, float64(median.jobBytes))
	}
	r.Add("running tasks", "count", "", tasks...)
	r.Add("decision p50", "us", "", p50...)
	r.Add("decision p99, median of runs", "us", "< 1000 at 700", p99...)
	r.Add("decision p99, worst of runs", "us", "", worst...)
	r.Add("taking one worker's report", "us", "", report...)
	r.Add("a whole report", "B", "", full...)
	r.Add("a partial report", "B", "", partial...)
	r.Add("a change kept on disk and copies", "B", "", persisted...)
	r.Add("engine and stand-ins, heap", "MB", "", memory...)
	return r
}

// sizeMeasurement is the result of one run with one number of workers.
type sizeMeasurement struct {
	runningTasks int
	// durations are those of the decisions.
	durations []time.Duration
	// reportTime is the mean time to handle the report of one worker.
	reportTime time.Duration
	// heapBytes is the heap of the engine and the simulated workers.
	heapBytes uint64
	// fullReportBytes and partialReportBytes are the sizes of a worker's
	// reports, jobBytes is the size of one changed job, all encoded as JSON.
	fullReportBytes, partialReportBytes, jobBytes int
}

func (m *sizeMeasurement) decisionQuantile(quantile float64) time.Duration {
	sort.Slice(m.durations, func(i, j int) bool { return m.durations[i] < m.durations[j] })
	return m.durations[int(quantile*float64(len(m.durations)-1))]
}

func heapAlloc() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// measureRepeatedly returns the run with the median p99, and the worst p99 of
// all runs.
func measureRepeatedly(seed uint64, workers int) (*sizeMeasurement, time.Duration) {
	var runs []*sizeMeasurement
	for range repeatCount {
		runs = append(runs, measureSize(seed, workers))
	}
	sort.Slice(runs, func(i, j int) bool { return runs[i].decisionQuantile(0.99) < runs[j].decisionQuantile(0.99) })
	return runs[repeatCount/2], runs[repeatCount-1].decisionQuantile(0.99)
}

func measureSize(seed uint64, workers int) *sizeMeasurement {
	random := rand.New(rand.NewPCG(seed, uint64(workers)))
	before := heapAlloc()
	now := simulationStart
	p := newPlacerSystemOn(newWorkers(workers, tasksPerWorker), now)
	submitted := 0
	submit := func() identifier.JobID {
		submitted++
		id := identifier.JobID(fmt.Sprintf("t%06d", submitted))
		p.runTimes[id] = taskRunTime
		spec := placer.Spec{
			ID: id, Member: "zebra", Plan: "zebra-plan", Team: "team", Accelerator: "gpu", Kind: "task",
			Shape:           packer.Shape{Adjacent: packer.AdjacentWorker, Parts: 1, PerPart: 1},
			DeclaredRunTime: taskRunTime, Checkpointable: true,
		}
		if err := p.engine.Submit(spec, now); err != nil {
			panic(err)
		}
		return id
	}
	for range int(float64(workers*tasksPerWorker) * filledFraction) {
		submit()
	}
	p.executeCommands(now)
	p.engine.Tick(now)
	p.executeCommands(now)
	m := &sizeMeasurement{heapBytes: heapAlloc() - before}
	for range decisionCount {
		now = now.Add(100 * time.Millisecond)
		p.reportNextWorkers(now)
		w := p.workers[random.IntN(len(p.workers))]
		p.finishOneTask(w, now)
		began := time.Now()
		p.report(w, now)
		m.reportTime += time.Since(began)
		submit()
		p.engine.Tick(now)
		m.durations = append(m.durations, time.Since(began))
		p.executeCommands(now)
	}
	m.reportTime /= decisionCount
	m.measureMessageSizes(p, now)
	m.runningTasks = p.engine.Status(now).Running
	return m
}

func (m *sizeMeasurement) measureMessageSizes(p *placerSystem, now time.Time) {
	w := p.workers[0]
	leases := w.table.All(now)
	m.fullReportBytes = jsonSize(placer.Report{Worker: w.info, Sequence: w.sequence, Leases: leases})
	m.partialReportBytes = jsonSize(placer.Report{Worker: w.info, Sequence: w.sequence, Partial: true})
	for _, lease := range leases {
		if job, known := p.jobs[lease.ID.Job]; known {
			m.jobBytes = jsonSize(job)
			return
		}
	}
}

// jsonSize returns the length of a value encoded as JSON.
func jsonSize(value any) int {
	data, err := json.Marshal(value)
	if err != nil {
		return 0
	}
	return len(data)
}

// reportNextWorkers lets the next workers report in turn, so that each reports
// once every few seconds.
func (p *placerSystem) reportNextWorkers(now time.Time) {
	count := max(len(p.workers)/decisionsPerReportRound, 1)
	for range count {
		p.lastReporter = (p.lastReporter + 1) % len(p.workers)
		p.report(p.workers[p.lastReporter], now)
	}
}

// finishOneTask ends one of a worker's running tasks, if it has any.
func (p *placerSystem) finishOneTask(w *fakeWorker, now time.Time) {
	for _, task := range w.tasks {
		task.endsAt = now
		break
	}
	p.endDueTasks(w, now)
}
