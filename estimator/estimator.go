// Package estimator learns from finished runs how long the tasks of a group take and
// how fast each machine is. Its memory is bounded, and it reads no clock: the same
// samples in the same order give the same estimator.
package estimator

import (
	"math"
	"strings"
	"time"
)

const (
	// minElapsed and maxElapsed clamp run times and declared estimates: a shorter run
	// is below the resolution of the reports, and a longer one is not tracked.
	minElapsed = time.Millisecond
	maxElapsed = 7 * 24 * time.Hour
	// maxTasks clamps the width of a step.
	maxTasks = 10_000
	// maxNameLength bounds the names that are learned about.
	maxNameLength = 256
	// maxGroupNameBytes and maxMachineNameBytes bound the sum of the names, so that
	// memory and snapshot are bounded whatever they are: 128 and 40 bytes each on
	// average at the default bounds.
	maxGroupNameBytes   = 64 << 10
	maxMachineNameBytes = 160 << 10
)

// Group names the runs that are expected to behave alike.
type Group struct {
	Queue string
	Image string
}

// Sample is one run that has finished or was cut short.
type Sample struct {
	Group Group
	// Step names tasks with about the same work. It is empty if there are no others.
	Step string
	// Machine is empty if unknown.
	Machine string
	// Declared is the caller's estimate, 0 if there is none.
	Declared time.Duration
	Elapsed  time.Duration
	// Tasks is the width of the step. Each task is a sample of its own, also of a gang.
	Tasks int
	// Gang means that Elapsed is that of the slowest member, which tells nothing
	// about one machine. The group learns from a gang when all its Tasks members have
	// been recorded.
	Gang bool
	// Ended is false if the run was stopped, lost or failed after Elapsed.
	Ended bool
}

// Expectation is how long a run is expected to take on a machine of usual pace.
type Expectation struct {
	Mean   time.Duration
	Median time.Duration
	// Samples is the effective number of finished steps of the group. If it is 0, the
	// declared estimate serves.
	Samples int
	// Learned is false if Mean and Median are the declared estimate.
	Learned bool
}

// Estimator holds what was learned. It must not be copied and is not safe for
// concurrent use. Only Record and UnmarshalJSON change it. The zero value is an
// estimator with the default bounds.
type Estimator struct {
	options  options
	groups   table[Group, group]
	machines machines
	steps    table[uint64, step]
	// samples counts the runs that were learned from.
	samples uint64
	// allWeight and allWork are the weight and the mean logarithm of the work of all
	// groups, for runs of an unknown group without a declared estimate.
	allWeight, allWork float64
}

// New returns an estimator that has learned nothing.
func New(opts ...Option) *Estimator {
	e := &Estimator{options: newOptions(opts...)}
	e.reset()
	return e
}

// reset forgets everything.
func (e *Estimator) reset() {
	o := e.options
	if o.maxGroups == 0 { // the zero value, as created by package json
		o = newOptions()
	}
	*e = Estimator{options: o}
	e.groups = newTable[Group, group](o.maxGroups, maxGroupNameBytes, func(g Group) int {
		return nameSize(g.Queue) + nameSize(g.Image)
	})
	e.machines.table = newTable[string, machine](o.maxMachines, maxMachineNameBytes, nameSize)
	e.machines.evicted = func(m machine) { e.machines.sum -= int64(m.pace) }
	e.steps = newTable[uint64, step](o.maxSteps, 0, func(uint64) int { return 0 })
}

// declaration is the logarithm of a declared estimate.
type declaration struct {
	log   float64
	known bool
}

func newDeclaration(declared time.Duration) declaration {
	if declared <= 0 {
		return declaration{}
	}
	return declaration{log: logMillis(declared), known: true}
}

// logMillis returns the natural logarithm of a duration in milliseconds, clamped to
// the range of run times.
func logMillis(d time.Duration) float64 {
	d = min(max(d, minElapsed), maxElapsed)
	return math.Log(float64(d) / float64(time.Millisecond))
}

// fromLog is the inverse of logMillis.
func fromLog(log float64) time.Duration {
	log = clamp(log, 0, logMillis(maxElapsed))
	return time.Duration(math.Exp(log) * float64(time.Millisecond))
}

// Record learns from a run. Recency is the order of the calls; now, in Unix
// milliseconds, has no effect so far. A run without elapsed time is ignored.
func (e *Estimator) Record(s Sample, _ int64) {
	if s.Elapsed <= 0 || !usableName(s.Group.Queue) || !usableName(s.Group.Image) || !usableName(s.Machine) {
		return
	}
	if e.groups.index == nil {
		e.reset()
	}
	s.Tasks = min(max(s.Tasks, 1), maxTasks)
	switch {
	case !s.Ended:
		e.recordCensored(s)
	case s.Gang && s.Tasks > 1 && s.Step != "":
		e.recordGang(s)
	default:
		e.recordFinished(s)
	}
}

// recordFinished learns from a run of a single task.
func (e *Estimator) recordFinished(s Sample) {
	g := e.useGroup(s.Group)
	m := e.useMachine(s.Machine)
	d := newDeclaration(s.Declared)
	run := e.measure(m, s.Elapsed)
	var st *step
	if s.Step != "" && !s.Gang {
		st = e.useStep(s)
	}
	if g.weight > 0 || d.known {
		e.comparePace(s, g, m, st, run.mean, d)
	}
	e.learn(g, d, run.mean, 1/float64(s.Tasks))
	if st != nil {
		st.finished = min(st.finished+1, maxTasks)
		st.add(machineKey(s.Machine), run.mean, run.variance)
	}
}

// comparePace compares a run with the other finished tasks of its step, and with the
// expectation of its group.
func (e *Estimator) comparePace(s Sample, g *group, m *machine, st *step, work float64, d declaration) {
	if m == nil || s.Gang {
		return
	}
	var others evidence
	if st != nil {
		others = st.from(machineKey(s.Machine))
	}
	reference := blend(g.reference(d), others)
	ofStep := others.precision > 0
	steady := ofStep || math.Abs(g.drift) < suspectDrift
	e.machines.compare(m, work-reference.mean, reference, ofStep, steady)
}

// recordGang learns from a gang when its last member is recorded: until then it is not
// known how slow the slowest machine is. A gang of which not all members are recorded
// teaches nothing.
func (e *Estimator) recordGang(s Sample) {
	st := e.useStep(s)
	if m := e.machines.get(s.Machine); m != nil {
		st.slowest = min(st.slowest, scaled(e.machines.relative(m), paceUnit))
	}
	st.finished++
	if int(st.finished) < s.Tasks {
		return
	}
	work := logMillis(s.Elapsed) + float64(st.slowest)*paceUnit
	st.finished, st.slowest = 0, 0
	e.learn(e.useGroup(s.Group), newDeclaration(s.Declared), work, 1)
}

// recordCensored learns that a task has at least the work that was done, if that is
// more than expected.
func (e *Estimator) recordCensored(s Sample) {
	g, d := e.groups.get(s.Group), newDeclaration(s.Declared)
	if g == nil || g.weight == 0 {
		return
	}
	run := e.measure(e.machines.get(s.Machine), s.Elapsed)
	st := e.steps.get(stepKey(s.Group, s.Step))
	if run.mean <= e.expect(g, st, d).mean {
		return
	}
	e.samples++
	g.censor(d, run.mean, 1/float64(s.Tasks))
	if s.Step == "" || s.Gang {
		return
	}
	e.useStep(s).add(machineKey(s.Machine), run.mean, run.variance+censoredVariance-stepVariance)
}

// measure returns the work that a run did.
func (e *Estimator) measure(m *machine, elapsed time.Duration) estimate {
	run := estimate{mean: logMillis(elapsed), variance: stepVariance + initialPaceVariance}
	if m != nil {
		run.mean += e.machines.relative(m)
		run.variance = stepVariance + float64(m.variance)*varianceUnit
	}
	return run
}

// learn adds the work of a run that counts as weight steps.
func (e *Estimator) learn(g *group, d declaration, work, weight float64) {
	e.samples++
	g.learn(d, work, weight)
	e.allWeight = e.allWeight*(1-weight*groupForget) + weight
	e.allWork += weight / e.allWeight * (work - e.allWork)
	e.allWeight, e.allWork = math.Round(e.allWeight*1e6)/1e6, math.Round(e.allWork*1e6)/1e6
}

func (e *Estimator) useGroup(key Group) *group {
	if g := e.groups.use(key); g != nil {
		return g
	}
	return e.groups.insert(Group{Queue: strings.Clone(key.Queue), Image: strings.Clone(key.Image)}, newGroup())
}

// useMachine returns nil if the machine is unknown.
func (e *Estimator) useMachine(name string) *machine {
	if name == "" {
		return nil
	}
	if m := e.machines.use(name); m != nil {
		return m
	}
	return e.machines.add(strings.Clone(name))
}

func (e *Estimator) useStep(s Sample) *step {
	key := stepKey(s.Group, s.Step)
	if st := e.steps.use(key); st != nil {
		return st
	}
	return e.steps.insert(key, step{})
}
