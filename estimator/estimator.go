// Package estimator learns from finished runs how long the tasks of a group take and
// how fast each machine is. Its memory is bounded, and it reads no clock: the same
// samples in the same order give the same estimator.
package estimator

import (
	"time"
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
	// Tasks is the width of the step.
	Tasks int
	// Gang means that Elapsed is that of the slowest member, which tells nothing
	// about one machine.
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

// Estimator holds what was learned. It is not safe for concurrent use.
type Estimator struct {
	options options
}

// New returns an estimator that has learned nothing.
func New(opts ...Option) *Estimator {
	return &Estimator{options: newOptions(opts...)}
}

// Record learns from a run. now is in Unix milliseconds.
func (e *Estimator) Record(_ Sample, _ int64) {}

// Expect returns the expected run time of a task.
func (e *Estimator) Expect(_ Group, _ string, declared time.Duration) Expectation {
	return Expectation{Mean: declared, Median: declared}
}

// Quantile returns the run time that a share p of the runs does not exceed.
func (e *Estimator) Quantile(_ Group, _ string, declared time.Duration, _ float64) time.Duration {
	return declared
}

// Pace returns a machine's speed relative to the usual one, and whether it is known.
func (e *Estimator) Pace(_ string) (pace float64, known bool) { return 1, false }
