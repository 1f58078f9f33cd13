// Package requestmeter measures requests over loopback. Real daemons and a
// round-robin baseline get the same load, with the same fake upstreams.
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
	// shortRun and longRun are the run times of the simulated work. A long run
	// takes 50 times as long as a short one.
	shortRun = 100 * time.Millisecond
	longRun  = 50 * shortRun
	deadline = time.Second
	// overloadFactor is the load during overload as a multiple of the capacity.
	overloadFactor   = 5.0
	overloadDuration = 10 * time.Second
	// standardDuration is the length of the run with a storm and of the one
	// without stragglers.
	standardDuration  = 8 * time.Second
	stragglerDuration = 12 * time.Second
	// closedLoopCallers callers send requests back to back for
	// closedLoopDuration.
	closedLoopCallers  = 32
	closedLoopDuration = 5 * time.Second
)

// capacity returns the number of short requests per second that the slots of
// all upstreams allow.
func capacity() float64 {
	return upstreamCount * slotsPerUpstream / shortRun.Seconds()
}

// system is a system under measurement: the daemons or the baseline.
type system interface {
	// addresses returns those of the entries, and last that of the reference
	// server.
	addresses() []string
	stop()
}

// measurements are those of one system.
type measurements struct {
	// overloadService is the weighted service during overload as a fraction of
	// what is possible; overloadIsuku and overloadNieve are those of each
	// member as fractions of its half.
	overloadService, overloadIsuku, overloadNieve float64
	// calmAnswered is the fraction of its requests that a member within its
	// share gets answered while another overloads the system.
	calmAnswered                            float64
	p99WithoutStragglers, p99WithStragglers time.Duration
	// addedLatency is the median latency beyond that of the reference server.
	addedLatency                           time.Duration
	requestsPerCore, allocationsPerRequest float64
	// cpuTimePerRequest is the processor time of a request beyond that of one
	// to the reference server.
	cpuTimePerRequest time.Duration
}

// Measure measures the baseline, then the daemons.
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

// measureOverload offers 5 times the capacity, half from each member, in two
// kinds of weight 3 and 1.
func measureOverload(load *load, m *measurements) {
	rate := overloadFactor * capacity() / 4
	result := load.run(overloadDuration, []stream{
		{member: isuku, kind: "photo", weight: 3, perSecond: rate, deadline: deadline},
		{member: isuku, kind: "match", weight: 1, perSecond: rate, deadline: deadline},
		{member: nieve, kind: "load", weight: 3, perSecond: rate, deadline: deadline},
		{member: nieve, kind: "route", weight: 1, perSecond: rate, deadline: deadline},
	})
	// At this load the requests of weight 3 alone use up the capacity.
	possible := 3 * capacity() * (overloadDuration - rampUp).Seconds()
	m.overloadIsuku = (3*float64(result.inWindow["photo"]) + float64(result.inWindow["match"])) / (possible / 2)
	m.overloadNieve = (3*float64(result.inWindow["load"]) + float64(result.inWindow["route"])) / (possible / 2)
	m.overloadService = (m.overloadIsuku + m.overloadNieve) / 2
}

// measureStorm has one member offer 4.6 times the capacity and another 0.4 of
// it, which is within its guaranteed half.
func measureStorm(load *load, m *measurements) {
	result := load.run(standardDuration, []stream{
		{member: isuku, kind: "photo", weight: 3, perSecond: 0.4 * capacity(), deadline: deadline},
		{member: nieve, kind: "load", weight: 3, perSecond: 4.6 * capacity(), deadline: deadline},
	})
	m.calmAnswered = float64(result.answered["photo"]) / float64(max(result.offered["photo"], 1))
}

// measureStragglers measures short requests, first alone and then together with
// long ones.
func measureStragglers(load *load, m *measurements) {
	short := stream{member: nieve, kind: "load", weight: 3, perSecond: 0.3 * capacity(), deadline: 10 * time.Second}
	m.p99WithoutStragglers = load.run(standardDuration, []stream{short}).p99("load")
	survey := stream{member: nieve, kind: "survey", weight: 1, perSecond: 0.02 * capacity(), deadline: 30 * time.Second}
	m.p99WithStragglers = load.run(stragglerDuration, []stream{short, survey}).p99("load")
}

// measureCost sends requests without any work: one after the other for the
// latency, then from several callers for the processor time and allocations.
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

// costPerRequest returns the processor time per request, clients included, and
// the number of requests answered.
func (l *load) costPerRequest(direct bool) (time.Duration, int) {
	cpu := processCPUTime()
	answered := l.closedLoop(closedLoopCallers, closedLoopDuration, direct)
	return (processCPUTime() - cpu) / time.Duration(max(answered, 1)), answered
}

// processCPUTime returns the processor time that the process has used; 0 if it
// can't be read.
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
