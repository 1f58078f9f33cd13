// Package jobmeter measures the placement's decisions: the engine and a plain
// first-come first-fit baseline see the same jobs, driven with small stand-in
// workers in virtual time.
package jobmeter

import (
	"fmt"
	"time"

	"cranberrystack.dev/cranberrybench/reporter"
)

// Measure compares both systems on each workload, and measures decision time
// and memory against the number of workers.
func Measure(seed uint64) ([]*reporter.Report, error) {
	var reports []*reporter.Report
	for _, w := range workloads {
		jobs := w.jobs(seed)
		base := play(newFirstFit(w), jobs, w)
		own := play(newPlaced(w), jobs, w)
		reports = append(reports, compare(w, seed, base, own))
	}
	return append(reports, measureDecisions(seed)), nil
}

func compare(w workload, seed uint64, base, own *outcome) *reporter.Report {
	r := &reporter.Report{
		Title:   fmt.Sprintf("jobs, %s: %d workers of %d, %d jobs over %s", w.name, w.workers, accelerators, len(base.jobs), w.length),
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
	both := func(name, goal string, pick func(*outcome) time.Duration) {
		add(name, "s", goal, pick(base).Seconds(), pick(own).Seconds())
	}
	for _, member := range members {
		both("completion p50 of "+member, "", func(o *outcome) time.Duration { return o.completion(0.5, ofMember(member)) })
		both("completion p95 of "+member, "", func(o *outcome) time.Duration { return o.completion(0.95, ofMember(member)) })
	}
	both("completion p50 of all", "ratio <= 1", func(o *outcome) time.Duration { return o.completion(0.5, all) })
	both("completion p50 of large gangs", "ratio <= 1", func(o *outcome) time.Duration { return o.completion(0.5, large) })
	both("completion p95 of large gangs", "ratio <= 0.5", func(o *outcome) time.Duration { return o.completion(0.95, large) })
	both("  of which run time, p95", "", func(o *outcome) time.Duration { return o.runTime(0.95, large) })
	both("wait p95 of large gangs", "", func(o *outcome) time.Duration { return o.wait(0.95, large) })
	both("wait p95 of guaranteed claims", "", func(o *outcome) time.Duration { return o.wait(0.95, claims) })
	both("longest wait of a guaranteed claim", fmt.Sprintf("<= %.1f", (grace+reclaimSlack).Seconds()), func(o *outcome) time.Duration { return o.wait(1, claims) })
	add("fragmentation, mean", "of free", "", base.fragmentation(), own.fragmentation())
	add("lost work", "accelerator h", "", base.lost.Hours(), own.lost.Hours())
	add("work done", "accelerator h", "", base.done().Hours(), own.done().Hours())
	add("jobs not finished", "count", "", float64(base.unfinished()), float64(own.unfinished()))
	return r
}
