package estimator

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"
)

// Statistics summarizes an estimator.
type Statistics struct {
	Groups   int `json:"groups"`
	Machines int `json:"machines"`
	Steps    int `json:"steps"`
	// Samples counts the runs that were learned from.
	Samples uint64 `json:"samples"`
	// DeclaredError and LearnedError are the root mean squared errors of the natural
	// logarithms of the declared and the learned run times, as predicted before the
	// run, over the groups with the recent samples of each.
	DeclaredError float64 `json:"declared-error"`
	LearnedError  float64 `json:"learned-error"`
}

// GroupView is what was learned about a group.
type GroupView struct {
	Queue string `json:"queue"`
	Image string `json:"image"`
	// Steps is the effective number of finished steps.
	Steps float64 `json:"steps"`
	// Slope is how strongly the declared estimate counts: 0 not at all, 1 in proportion.
	Slope float64 `json:"slope"`
	// TypicalDeclared and TypicalElapsed are the recent geometric mean of the declared
	// estimates and the median run time expected for it, at the usual pace.
	TypicalDeclared time.Duration `json:"typical-declared-ns"`
	TypicalElapsed  time.Duration `json:"typical-elapsed-ns"`
	// Spread is the standard deviation of the logarithm of the run time around the
	// expectation, without the tail.
	Spread float64 `json:"spread"`
	// TailShare is the share of the steps that take more than three times as long as
	// expected.
	TailShare     float64 `json:"tail-share"`
	DeclaredError float64 `json:"declared-error"`
	LearnedError  float64 `json:"learned-error"`
	// Learned reports whether the learned expectation replaces the declared one.
	Learned bool `json:"learned"`
}

// MachineView is what was learned about a machine.
type MachineView struct {
	Machine string  `json:"machine"`
	Pace    float64 `json:"pace"`
	Known   bool    `json:"known"`
	// Runs is the number of compared runs.
	Runs int `json:"runs"`
}

// Statistics returns the size and the errors.
func (e *Estimator) Statistics() Statistics {
	s := Statistics{
		Groups: len(e.groups.index), Machines: len(e.machines.index), Steps: len(e.steps.index), Samples: e.samples,
	}
	var weight, declared, learned float64
	for _, g := range e.groups.all() {
		weight += g.scoreWeight
		declared += g.scoreWeight * g.declaredError
		learned += g.scoreWeight * g.learnedError
	}
	if weight > 0 {
		s.DeclaredError, s.LearnedError = math.Sqrt(declared/weight), math.Sqrt(learned/weight)
	}
	return s
}

// Groups lists the groups by queue and image.
func (e *Estimator) Groups() []GroupView {
	views := make([]GroupView, 0, len(e.groups.index))
	for key, g := range e.groups.all() {
		views = append(views, g.view(key))
	}
	slices.SortFunc(views, func(a, b GroupView) int {
		return cmp.Or(strings.Compare(a.Queue, b.Queue), strings.Compare(a.Image, b.Image))
	})
	return views
}

func (g *group) view(key Group) GroupView {
	v := GroupView{
		Queue: key.Queue, Image: key.Image, Steps: g.weight, Slope: g.slope(),
		Spread: math.Sqrt(g.variance), TailShare: g.tailShare,
		DeclaredError: math.Sqrt(g.declaredError), LearnedError: math.Sqrt(g.learnedError), Learned: g.learned(),
	}
	if g.declaredWeight > 0 {
		v.TypicalDeclared = fromLog(g.meanDeclared)
	}
	if g.weight > 0 {
		v.TypicalElapsed = fromLog(g.predict(declaration{log: g.meanDeclared, known: g.declaredWeight > 0}))
	}
	return v
}

// Machines lists the machines by name.
func (e *Estimator) Machines() []MachineView {
	views := make([]MachineView, 0, len(e.machines.index))
	for name, m := range e.machines.all() {
		views = append(views, MachineView{
			Machine: name, Pace: math.Exp(e.machines.relative(m)), Known: m.known(), Runs: int(float64(m.runs) * runUnit),
		})
	}
	slices.SortFunc(views, func(a, b MachineView) int { return strings.Compare(a.Machine, b.Machine) })
	return views
}
