package scheduler

import (
	"math"
	"time"
)

const (
	// peakHalfLife is the half-life of the peak of urgent work.
	peakHalfLife = 6 * time.Second
	// maxReserve bounds the share of the accelerators that is kept free.
	maxReserve = 0.25
)

// updateReserve updates the peak of urgent work and returns how many
// accelerators must be kept free of tasks that lose their work when preempted,
// so that recurring urgent work finds free capacity.
func (p *Planner) updateReserve(s *State, units []*unit, pass *placementPass, now time.Time) int64 {
	urgent := s.urgentAccelerators()
	held := urgent
	for _, u := range units {
		if u.job.Policy.Priority == 0 && !u.step.LongRunning {
			urgent += u.step.Accelerators * int64(len(u.tasks))
		}
	}
	if !p.peakUpdated.IsZero() {
		p.peak *= math.Exp2(-float64(now.Sub(p.peakUpdated)) / float64(peakHalfLife))
	}
	p.peakUpdated = now
	p.peak = max(p.peak, float64(urgent))
	peak := int64(p.peak)
	if pass.stopsTakeLong {
		// Rounded down, the reserve for one large task would soon be too small for it.
		peak = int64(math.Ceil(p.peak))
	}
	return min(max(0, peak-held), int64(maxReserve*float64(pass.totalAccelerators)))
}

// urgentAccelerators returns how many accelerators the runs of urgent jobs
// hold, without long-running ones.
func (s *State) urgentAccelerators() int64 {
	held := int64(0)
	s.forEachUrgentStep(func(_ *Job, step *Step, state *StepState) {
		if !step.LongRunning {
			held += step.Accelerators * int64(state.LiveRuns)
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
// accelerator reserve free. Units that may preempt are exempt, and so are checkpointing
// tasks, which lose little when they are preempted, unless stops take long.
func (p *placementPass) keepsReserve(u *unit, tasks int) bool {
	exempt := u.mayPreempt || u.step.Checkpoints && !p.stopsTakeLong
	if exempt || u.step.Accelerators == 0 || p.acceleratorReserve == 0 {
		return true
	}
	return p.freeAccelerators-u.step.Accelerators*int64(tasks) >= p.acceleratorReserve
}
