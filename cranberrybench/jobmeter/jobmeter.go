// Package jobmeter measures placement decisions. The placer's engine and a
// first-come first-fit baseline get the same jobs, on simulated workers in
// virtual time.
package jobmeter

import (
	"fmt"
	"time"

	"cranberrystack.dev/cranberrybench/reporter"
)

// Measure compares both systems on each workload, and measures the decision
// time and the memory of the engine at several numbers of workers.
func Measure(seed uint64) ([]*reporter.Report, error) {
	var reports []*reporter.Report
	for _, w := range workloads {
		jobs := w.jobs(seed)
		baseline := simulate(newFirstFit(w), jobs, w)
		placerOutcome := simulate(newPlacerSystem(w), jobs, w)
		reports = append(reports, compare(w, seed, baseline, placerOutcome))
	}
	return append(reports, measureDecisions(seed)), nil
}

func compare(w workload, seed uint64, baseline, placerOutcome *outcome) *reporter.Report {
	r := &reporter.Report{
		Title:   fmt.Sprintf("jobs, %s: %d workers of %d, %d jobs over %s", w.name, w.workers, accelerators, len(baseline.jobs), w.duration),
		Seed:    seed,
		Columns: []string{"first-fit", "placer", "ratio"},
	}
	add := func(name, unit, goal string, left, right float64) {
		ratio := 0.0
		if left != 0 {
			ratio = right / left
		}
		r.Add(name, unit, goal, left, right, ratio)
	}
	addSeconds := func(name, goal string, measure func(*outcome) time.Duration) {
		add(name, "s", goal, measure(baseline).Seconds(), measure(placerOutcome).Seconds())
	}
	for _, member := range members {
		addSeconds("completion p50 of "+member, "", func(o *outcome) time.Duration { return o.completionQuantile(0.5, jobsOfMember(member)) })
		addSeconds("completion p95 of "+member, "", func(o *outcome) time.Duration { return o.completionQuantile(0.95, jobsOfMember(member)) })
	}
	addSeconds("completion p50 of all", "ratio <= 1", func(o *outcome) time.Duration { return o.completionQuantile(0.5, nonStragglers) })
	addSeconds("completion p50 of large gangs", "ratio <= 1", func(o *outcome) time.Duration { return o.completionQuantile(0.5, largeGangs) })
	addSeconds("completion p95 of large gangs", "ratio <= 0.5", func(o *outcome) time.Duration { return o.completionQuantile(0.95, largeGangs) })
	addSeconds("  of which run time, p95", "", func(o *outcome) time.Duration { return o.runTimeQuantile(0.95, largeGangs) })
	addSeconds("wait p95 of large gangs", "", func(o *outcome) time.Duration { return o.waitQuantile(0.95, largeGangs) })
	addSeconds("wait p95 of guaranteed claims", "", func(o *outcome) time.Duration { return o.waitQuantile(0.95, guaranteedJobs) })
	addSeconds("longest wait of a guaranteed claim", fmt.Sprintf("<= %.1f", (reclaimGrace+reclaimSlack).Seconds()), func(o *outcome) time.Duration { return o.waitQuantile(1, guaranteedJobs) })
	add("fragmentation, mean", "of free", "", baseline.fragmentation(), placerOutcome.fragmentation())
	add("lost work", "accelerator h", "", baseline.lostWork.Hours(), placerOutcome.lostWork.Hours())
	add("work done", "accelerator h", "", baseline.workDone().Hours(), placerOutcome.workDone().Hours())
	add("jobs not finished", "count", "", float64(baseline.unfinished()), float64(placerOutcome.unfinished()))
	return r
}
