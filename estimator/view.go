package estimator

import "time"

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
func (e *Estimator) Statistics() Statistics { return Statistics{} }

// Groups lists the groups by queue and image.
func (e *Estimator) Groups() []GroupView { return nil }

// Machines lists the machines by name.
func (e *Estimator) Machines() []MachineView { return nil }
