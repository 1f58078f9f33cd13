package placer

import "time"

// Status describes the jobs and workers of a data centre.
type Status struct {
	Workers             int            `json:"workers"`
	UnresponsiveWorkers int            `json:"silent-workers"`
	Quarantined         int            `json:"quarantined-workers"`
	Accelerators        map[string]int `json:"accelerators,omitempty"`
	Used                map[string]int `json:"used,omitempty"`
	Queued              int            `json:"queued"`
	Running             int            `json:"running"`
	Stragglers          int            `json:"stragglers"`
	// UnsatisfiableGuarantees lists the kinds of accelerator on which some guarantee has no
	// place, since too many workers are gone.
	UnsatisfiableGuarantees []string `json:"unkept-guarantees,omitempty"`
}

// Status returns a description of the engine's jobs and workers.
func (e *Engine) Status(now time.Time) Status {
	status := Status{
		Workers: len(e.workers), Queued: len(e.queue), Running: e.running.len(),
		Accelerators: map[string]int{}, Used: map[string]int{},
	}
	for _, w := range e.workers {
		status.Accelerators[w.info.Accelerator] += w.info.Accelerators
		status.Used[w.info.Accelerator] += w.used
		if now.Sub(w.heard) >= e.options.silence {
			status.UnresponsiveWorkers++
		}
		if now.Before(w.quarantined) {
			status.Quarantined++
		}
	}
	for _, job := range e.running.all() {
		if job.Straggler {
			status.Stragglers++
		}
	}
	for accelerator := range e.order {
		if !e.GuaranteesSatisfiable(accelerator) {
			status.UnsatisfiableGuarantees = append(status.UnsatisfiableGuarantees, accelerator)
		}
	}
	return status
}
