package scheduler

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// peakHalfLife is the half-life of the peak of urgent work.
	peakHalfLife = 6 * time.Second
	// negligiblePeak is a peak, in accelerators, that is forgotten.
	negligiblePeak = 0.01
	// maxReserve bounds the share of a pool's accelerators that is kept free.
	maxReserve = 0.25
)

// updateReserve updates the peak of urgent work in each pool and sets how many of its
// accelerators must be kept free of tasks that lose their work when preempted, so that
// recurring urgent work finds free capacity. Work that no worker can hold does not count.
func (p *Planner) updateReserve(s *State, units []*unit, pass *placementPass, now time.Time) {
	held := s.urgentAccelerators()
	urgent := maps.Clone(held)
	for _, u := range units {
		if u.job.Policy.Priority == 0 && !u.step.LongRunning && u.step.Accelerators > 0 && pass.canHoldTask(u) {
			urgent[u.job.Policy.Pool] += u.step.Accelerators * int64(len(u.tasks))
		}
	}
	decay := math.Exp2(-float64(now.Sub(p.peaksUpdated)) / float64(peakHalfLife))
	p.peaksUpdated = now
	for name := range p.peaks {
		if p.peaks[name] *= decay; p.peaks[name] < negligiblePeak {
			delete(p.peaks, name)
		}
	}
	for name, amount := range urgent {
		p.peaks[name] = max(p.peaks[name], float64(amount))
	}
	for name, pool := range pass.pools {
		peak := int64(p.peaks[name])
		if pass.stopsTakeLong {
			// Rounded down, the reserve for one large task would soon be too small for it.
			peak = int64(math.Ceil(p.peaks[name]))
		}
		pool.reserve = min(max(0, peak-held[name]), int64(maxReserve*float64(pool.total)))
	}
}

// canHoldTask reports whether any candidate could hold a task of a unit if it were
// empty.
func (p *placementPass) canHoldTask(u *unit) bool {
	return slices.ContainsFunc(p.candidates, func(c *candidate) bool { return u.mayEverRun(c.worker) })
}

// mayEverRun reports whether a worker could hold a task of the unit if it were empty,
// whatever advice allows.
func (u *unit) mayEverRun(worker *Worker) bool {
	return worker.Pool == u.job.Policy.Pool && u.step.Demand().Fits(worker.Capacity) &&
		(u.step.NeedsLabel == "" || worker.HasLabel(u.step.NeedsLabel))
}

// urgentAccelerators returns how many accelerators the runs of urgent jobs hold in each
// pool, without long-running ones.
func (s *State) urgentAccelerators() map[PoolName]int64 {
	held := map[PoolName]int64{}
	s.forEachUrgentStep(func(job *Job, step *Step, state *StepState) {
		if !step.LongRunning {
			held[job.Policy.Pool] += step.Accelerators * int64(state.LiveRuns)
		}
	})
	return held
}

const (
	// slackWeight is the weight of one urgent step in the moving average of the slack.
	slackWeight = 8
	// maxStopShare is the share of the slack of urgent work up to which it may wait for
	// a stop. The rest is needed for the pass after the stop, for the start, and for a
	// worker that is slower than usual.
	maxStopShare = 0.5
)

// stopsTakeLong updates the slack of urgent work from the units that have begun to wait,
// and reports whether urgent work that has to preempt would often miss its objective,
// because stopping a run takes a large part of that slack. Then checkpointing work must
// leave the reserve free too, although it loses little when it is preempted.
func (p *Planner) stopsTakeLong(units []*unit) bool {
	if p.StopTime <= 0 {
		return false
	}
	for _, u := range units {
		if u.job.Policy.Priority > 0 || u.step.LongRunning || u.waited > 0 {
			continue
		}
		slack := max(0, time.Duration(u.job.ObjectiveMillis()-u.job.pathMillis())*time.Millisecond)
		if p.urgentSlack == 0 {
			p.urgentSlack = slack
		}
		p.urgentSlack += (slack - p.urgentSlack) / slackWeight
	}
	return p.urgentSlack > 0 && float64(p.StopTime) > maxStopShare*float64(p.urgentSlack)
}

// keepsReserve reports whether placing the given number of tasks of a unit leaves the
// reserve of its pool free. Units that may preempt are exempt, and so are checkpointing
// tasks, which lose little when they are preempted, unless stops take long.
func (p *placementPass) keepsReserve(u *unit, tasks int) bool {
	exempt := u.mayPreempt || u.step.Checkpoints && !p.stopsTakeLong
	pool := p.poolOf(u)
	if exempt || u.step.Accelerators == 0 || pool.reserve == 0 {
		return true
	}
	return pool.free-u.step.Accelerators*int64(tasks) >= pool.reserve
}
