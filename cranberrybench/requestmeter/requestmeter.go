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
	entries   = 7
	upstreams = 12
	slots     = 8
	// shortRun and longRun are the run times of the stand-in work. A long one
	// runs 50 times as long.
	shortRun   = 100 * time.Millisecond
	longRun    = 50 * shortRun
	deadline   = time.Second
	crestTimes = 5.0
	crestTime  = 10 * time.Second
	mildTime   = 8 * time.Second
	straggling = 12 * time.Second
	// closedCallers send as fast as they can for closedTime.
	closedCallers = 32
	closedTime    = 5 * time.Second
)

// capacity is the number of short requests a second that the slots allow.
func capacity() float64 {
	return upstreams * slots / shortRun.Seconds()
}

// system is what is measured: the daemons or the baseline.
type system interface {
	addresses() []string
	stop()
}

type figures struct {
	crestService, crestIsuku, crestNieve float64
	stormCalm                            float64
	p99Without, p99With                  time.Duration
	added                                time.Duration
	perCore, allocations                 float64
	// perRequest is the processor time of a request beyond that of one sent
	// straight to a handler.
	perRequest time.Duration
}

// Measure measures the baseline and the daemons one after the other.
func Measure(seed uint64) ([]*reporter.Report, error) {
	starts := []func() (system, error){startBaseline, startDaemons}
	var measured []figures
	for _, start := range starts {
		one, err := measureSystem(start, seed)
		if err != nil {
			return nil, err
		}
		measured = append(measured, one)
	}
	return []*reporter.Report{report(seed, measured[0], measured[1])}, nil
}

func measureSystem(start func() (system, error), seed uint64) (figures, error) {
	s, err := start()
	if err != nil {
		return figures{}, fmt.Errorf("start: %w", err)
	}
	defer s.stop()
	var f figures
	load := newLoad(s.addresses(), seed)
	defer load.close()
	load.warm()
	measureCrest(load, &f)
	measureStorm(load, &f)
	measureStragglers(load, &f)
	measureCost(load, &f)
	return f, nil
}

// measureCrest offers 5 times capacity, half from each member, of two kinds
// whose answers are worth 3 and 1.
func measureCrest(load *load, f *figures) {
	rate := crestTimes * capacity() / 4
	result := load.run(crestTime, []stream{
		{member: isuku, kind: "photo", weight: 3, perSecond: rate, deadline: deadline},
		{member: isuku, kind: "match", weight: 1, perSecond: rate, deadline: deadline},
		{member: nieve, kind: "load", weight: 3, perSecond: rate, deadline: deadline},
		{member: nieve, kind: "route", weight: 1, perSecond: rate, deadline: deadline},
	})
	// The more valuable kind alone fills the capacity at this load.
	possible := 3 * capacity() * (crestTime - ramp).Seconds()
	f.crestIsuku = (3*float64(result.inWindow["photo"]) + float64(result.inWindow["match"])) / (possible / 2)
	f.crestNieve = (3*float64(result.inWindow["load"]) + float64(result.inWindow["route"])) / (possible / 2)
	f.crestService = (f.crestIsuku + f.crestNieve) / 2
}

// measureStorm lets one member offer 4.6 times capacity beside another that
// asks for 0.4 of it, within its guaranteed half.
func measureStorm(load *load, f *figures) {
	result := load.run(mildTime, []stream{
		{member: isuku, kind: "photo", weight: 3, perSecond: 0.4 * capacity(), deadline: deadline},
		{member: nieve, kind: "load", weight: 3, perSecond: 4.6 * capacity(), deadline: deadline},
	})
	f.stormCalm = float64(result.answered["photo"]) / float64(max(result.offered["photo"], 1))
}

func measureStragglers(load *load, f *figures) {
	short := stream{member: nieve, kind: "load", weight: 3, perSecond: 0.3 * capacity(), deadline: 10 * time.Second}
	f.p99Without = load.run(mildTime, []stream{short}).p99("load")
	survey := stream{member: nieve, kind: "survey", weight: 1, perSecond: 0.02 * capacity(), deadline: 30 * time.Second}
	f.p99With = load.run(straggling, []stream{short, survey}).p99("load")
}

// measureCost sends requests that take no time at all, one after the other and
// then as fast as they go.
func measureCost(load *load, f *figures) {
	direct := load.median(load.upstreamAddress, 2000)
	f.added = load.median("", 2000) - direct
	alone, _ := load.cost(true)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	through, done := load.cost(false)
	runtime.ReadMemStats(&after)
	f.perCore = 1 / through.Seconds()
	f.perRequest = through - alone
	f.allocations = float64(after.Mallocs-before.Mallocs) / float64(max(done, 1))
}

// cost returns the processor time of one request, clients included, and the
// number sent.
func (l *load) cost(straight bool) (time.Duration, int) {
	cpu := processTime()
	done := l.closedLoop(closedCallers, closedTime, straight)
	return (processTime() - cpu) / time.Duration(max(done, 1)), done
}

// processTime returns the processor time that the whole process has used.
func processTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func report(seed uint64, base, own figures) *reporter.Report {
	r := &reporter.Report{
		Title:   fmt.Sprintf("requests: %d entries, %d upstreams of %d slots, %.0f short requests a second of capacity", entries, upstreams, slots, capacity()),
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
	add("service at 5x capacity, weighted", "of possible", ">= 0.95", base.crestService, own.crestService)
	add("  of isuku", "of its half", ">= 0.95", base.crestIsuku, own.crestIsuku)
	add("  of nieve", "of its half", ">= 0.95", base.crestNieve, own.crestNieve)
	add("calm member beside a storm", "answered", ">= 0.99", base.stormCalm, own.stormCalm)
	add("short p99 without stragglers", "ms", "", milliseconds(base.p99Without), milliseconds(own.p99Without))
	add("short p99 with stragglers", "ms", "", milliseconds(base.p99With), milliseconds(own.p99With))
	add("  with over without", "ratio", "<= 1.5", float64(base.p99With)/float64(base.p99Without), float64(own.p99With)/float64(own.p99Without))
	add("latency added at the median", "ms", "< 1", milliseconds(base.added), milliseconds(own.added))
	add("requests a second per core, clients included", "1/s", "", base.perCore, own.perCore)
	add("processor time a request, entry and upstream", "us", "", float64(base.perRequest.Microseconds()), float64(own.perRequest.Microseconds()))
	add("allocations a request, clients included", "count", "", base.allocations, own.allocations)
	return r
}

func milliseconds(wait time.Duration) float64 {
	return float64(wait.Microseconds()) / 1000
}
