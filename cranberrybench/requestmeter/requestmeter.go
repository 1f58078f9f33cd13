// Package requestmeter measures requests over loopback: real daemons beside a
// plain baseline, with the same stand-in upstreams and the same load.
package requestmeter

import (
	"fmt"
	"runtime"
	"syscall"
	"time"

	"cranberrystack.dev/cranberrybench/reporter"
)

const (
	entryCount       = 7
	upstreamCount    = 12
	slotsPerUpstream = 8
	// shortRun and longRun are the run times of the stand-in work. A long one
	// runs 50 times as long.
	shortRun          = 100 * time.Millisecond
	longRun           = 50 * shortRun
	deadline          = time.Second
	overloadFactor    = 5.0
	overloadDuration  = 10 * time.Second
	standardDuration  = 8 * time.Second
	stragglerDuration = 12 * time.Second
	// closedLoopCallers send as fast as they can for closedTime.
	closedLoopCallers  = 32
	closedLoopDuration = 5 * time.Second
)

// capacity is the number of short requests a second that the slots allow.
func capacity() float64 {
	return upstreamCount * slotsPerUpstream / shortRun.Seconds()
}

// system is what is measured: the daemons or the baseline.
type system interface {
	addresses() []string
	stop()
}

type measurements struct {
	overloadService, overloadIsuku, overloadNieve float64
	calmAnswered                                  float64
	p99WithoutStragglers, p99WithStragglers       time.Duration
	addedLatency                                  time.Duration
	requestsPerCore, allocationsPerRequest        float64
	// cpuTimePerRequest is the processor time of a request beyond that of one sent
	// straight to a handler.
	cpuTimePerRequest time.Duration
}

// Measure measures the baseline and the daemons one after the other.
func Measure(seed uint64) ([]*reporter.Report, error) {
	starts := []func() (system, error){startBaseline, startDaemons}
	var results []measurements
	for _, start := range starts {
		m, err := measureSystem(start, seed)
		if err != nil {
			return nil, err
		}
		results = append(results, m)
	}
	return []*reporter.Report{newReport(seed, results[0], results[1])}, nil
}

func measureSystem(start func() (system, error), seed uint64) (measurements, error) {
	s, err := start()
	if err != nil {
		return measurements{}, fmt.Errorf("start: %w", err)
	}
	defer s.stop()
	var m measurements
	load := newLoad(s.addresses(), seed)
	defer load.close()
	load.warmUp()
	measureOverload(load, &m)
	measureStorm(load, &m)
	measureStragglers(load, &m)
	measureCost(load, &m)
	return m, nil
}

// measureOverload offers 5 times capacity, half from each member, of two kinds
// whose answers are worth 3 and 1.
func measureOverload(load *load, m *measurements) {
	rate := overloadFactor * capacity() / 4
	result := load.run(overloadDuration, []stream{
		{member: isuku, kind: "photo", weight: 3, perSecond: rate, deadline: deadline},
		{member: isuku, kind: "match", weight: 1, perSecond: rate, deadline: deadline},
		{member: nieve, kind: "load", weight: 3, perSecond: rate, deadline: deadline},
		{member: nieve, kind: "route", weight: 1, perSecond: rate, deadline: deadline},
	})
	// The more valuable kind alone fills the capacity at this load.
	possible := 3 * capacity() * (overloadDuration - rampUp).Seconds()
	m.overloadIsuku = (3*float64(result.inWindow["photo"]) + float64(result.inWindow["match"])) / (possible / 2)
	m.overloadNieve = (3*float64(result.inWindow["load"]) + float64(result.inWindow["route"])) / (possible / 2)
	m.overloadService = (m.overloadIsuku + m.overloadNieve) / 2
}

// measureStorm lets one member offer 4.6 times capacity beside another that
// asks for 0.4 of it, within its guaranteed half.
func measureStorm(load *load, m *measurements) {
	result := load.run(standardDuration, []stream{
		{member: isuku, kind: "photo", weight: 3, perSecond: 0.4 * capacity(), deadline: deadline},
		{member: nieve, kind: "load", weight: 3, perSecond: 4.6 * capacity(), deadline: deadline},
	})
	m.calmAnswered = float64(result.answered["photo"]) / float64(max(result.offered["photo"], 1))
}

func measureStragglers(load *load, m *measurements) {
	short := stream{member: nieve, kind: "load", weight: 3, perSecond: 0.3 * capacity(), deadline: 10 * time.Second}
	m.p99WithoutStragglers = load.run(standardDuration, []stream{short}).p99("load")
	survey := stream{member: nieve, kind: "survey", weight: 1, perSecond: 0.02 * capacity(), deadline: 30 * time.Second}
	m.p99WithStragglers = load.run(stragglerDuration, []stream{short, survey}).p99("load")
}

// measureCost sends requests that take no time at all, one after the other and
// then as fast as they go.
func measureCost(load *load, m *measurements) {
	directLatency := load.medianLatency(load.referenceAddress, 2000)
	m.addedLatency = load.medianLatency("", 2000) - directLatency
	directCost, _ := load.costPerRequest(true)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	systemCost, answered := load.costPerRequest(false)
	runtime.ReadMemStats(&after)
	m.requestsPerCore = 1 / systemCost.Seconds()
	m.cpuTimePerRequest = systemCost - directCost
	m.allocationsPerRequest = float64(after.Mallocs-before.Mallocs) / float64(max(answered, 1))
}

// costPerRequest returns the processor time of one request, clients included, and the
// number sent.
func (l *load) costPerRequest(direct bool) (time.Duration, int) {
	cpu := processCPUTime()
	answered := l.closedLoop(closedLoopCallers, closedLoopDuration, direct)
	return (processCPUTime() - cpu) / time.Duration(max(answered, 1)), answered
}

// processCPUTime returns the processor time that the whole process has used.
func processCPUTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func newReport(seed uint64, baseline, daemons measurements) *reporter.Report {
	r := &reporter.Report{
		Title:   fmt.Sprintf("requests: %d entries, %d upstreams of %d slots, %.0f short requests a second of capacity", entryCount, upstreamCount, slotsPerUpstream, capacity()),
		Seed:    seed,
		Columns: []string{"round-robin", "cranberryd", "ratio"},
	}
	add := func(name, unit, goal string, left, right float64) {
		ratio := 0.0
		if left != 0 {
			ratio = right / left
		}
		r.Add(name, unit, goal, left, right, ratio)
	}
	add("service at 5x capacity, weighted", "of possible", ">= 0.95", baseline.overloadService, daemons.overloadService)
	add("  of isuku", "of its half", ">= 0.95", baseline.overloadIsuku, daemons.overloadIsuku)
	add("  of nieve", "of its half", ">= 0.95", baseline.overloadNieve, daemons.overloadNieve)
	add("calm member beside a storm", "answered", ">= 0.99", baseline.calmAnswered, daemons.calmAnswered)
	add("short p99 without stragglers", "ms", "", milliseconds(baseline.p99WithoutStragglers), milliseconds(daemons.p99WithoutStragglers))
	add("short p99 with stragglers", "ms", "", milliseconds(baseline.p99WithStragglers), milliseconds(daemons.p99WithStragglers))
	add("  with over without", "ratio", "<= 1.5", float64(baseline.p99WithStragglers)/float64(baseline.p99WithoutStragglers), float64(daemons.p99WithStragglers)/float64(daemons.p99WithoutStragglers))
	add("latency added at the median", "ms", "< 1", milliseconds(baseline.addedLatency), milliseconds(daemons.addedLatency))
	add("requests a second per core, clients included", "1/s", "", baseline.requestsPerCore, daemons.requestsPerCore)
	add("processor time a request, entry and upstream", "us", "", float64(baseline.cpuTimePerRequest.Microseconds()), float64(daemons.cpuTimePerRequest.Microseconds()))
	add("allocations a request, clients included", "count", "", baseline.allocationsPerRequest, daemons.allocationsPerRequest)
	return r
}

func milliseconds(d time.Duration) float64 {
	return float64(d.Microseconds()) / 1000
}
