package placer

import "time"

// Status describes the jobs and workers of a data centre.
type Status struct {
	Workers             int `json:"workers"`
	UnresponsiveWorkers int `json:"silent-workers"`
	QuarantinedWorkers  int `json:"quarantined-workers"`
	// Accelerators and UsedAccelerators are counts by accelerator type.
	Accelerators     map[string]int `json:"accelerators,omitempty"`
	UsedAccelerators map[string]int `json:"used,omitempty"`
	Queued           int            `json:"queued"`
	// Running counts all jobs that are placed and have not ended.
	Running    int `json:"running"`
	Stragglers int `json:"stragglers"`
	// UnsatisfiableGuarantees lists, in no order, the accelerator types on which
	// the workers have no separate placement for some unused guarantee. All
	// workers that have reported to this owner count, also unresponsive ones.
	UnsatisfiableGuarantees []string `json:"unkept-guarantees,omitempty"`
}

// Status returns the current status.
func (e *Engine) Status(now time.Time) Status {
	status := Status{
		Workers: len(e.workers), Queued: len(e.queue), Running: e.active.len(),
		Accelerators: map[string]int{}, UsedAccelerators: map[string]int{},
	}
	for _, w := range e.workers {
		status.Accelerators[w.info.Accelerator] += w.info.Accelerators
		status.UsedAccelerators[w.info.Accelerator] += w.used
		if now.Sub(w.lastReport) >= e.options.reportTimeout {
			status.UnresponsiveWorkers++
		}
		if now.Before(w.quarantinedUntil) {
			status.QuarantinedWorkers++
		}
	}
	for _, job := range e.active.all() {
		if job.Straggler {
			status.Stragglers++
		}
	}
	for accelerator := range e.workerOrder {
		if !e.GuaranteesSatisfiable(accelerator) {
			status.UnsatisfiableGuarantees = append(status.UnsatisfiableGuarantees, accelerator)
		}
	}
	return status
}
