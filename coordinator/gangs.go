package coordinator

import (
	"time"

	"cranberrystack.dev/cranberrystack/recorder"
	"cranberrystack.dev/cranberrystack/scheduler"
)

// gangStartShare is the share of the time for which a member of a gang waits for the
// others within which all have to start. The rest is left for stops to arrive.
const gangStartShare = 0.5

// trackGang observes a gang from the order of its starts until all members have started.
// The caller holds mu.
func (c *Coordinator) trackGang(lead *leadership, assign *scheduler.Assign, now time.Time) {
	step := c.state.StepOf(assign.Runs[0].ID.Task)
	if step == nil || !step.Gang {
		return
	}
	gang := &scheduler.GangStart{OrderedAt: now}
	for i := range assign.Runs {
		gang.Members = append(gang.Members, assign.Runs[i].ID)
	}
	lead.startingGangs = append(lead.startingGangs, gang)
}

// checkGangStarts stops the gangs that can't start any more or have not started in time:
// a member that has started waits for the others in vain, and its worker ends it late.
// For a while, the workers of late members get no new runs, so that the gang is placed
// elsewhere. The caller holds mu.
func (c *Coordinator) checkGangStarts(now time.Time) {
	lead := c.lead
	limit := time.Duration(gangStartShare * float64(c.options.gangWait))
	starting := lead.startingGangs
	lead.startingGangs = nil
	for _, gang := range starting {
		verdict := gang.Check(c.state, lead.observer, lead.attempts, limit, now)
		for _, run := range verdict.Late {
			lead.observer.Track(run.Worker, run.Incarnation, now).BackOffUntil(now.Add(refusalBackoff))
		}
		switch {
		case verdict.Failure != "":
			for _, id := range gang.Members {
				c.orderStop(scheduler.Stop{Run: id, Cause: scheduler.CauseGangIncomplete, Reason: verdict.Failure}, now)
			}
		case verdict.Settled:
			_ = c.config.Recorder.Observe(recorder.Series{Name: "gang-start"}, now.Sub(gang.OrderedAt))
		default:
			lead.startingGangs = append(lead.startingGangs, gang)
		}
	}
}
