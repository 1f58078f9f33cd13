package coordinator

import (
	"context"
	"encoding/json"
	"time"

	"cranberrystack.dev/cranberrystack/forwarder"
	"cranberrystack.dev/cranberrystack/identifier"
	"cranberrystack.dev/cranberrystack/responder"
	"cranberrystack.dev/cranberrystack/scheduler"
)

// report is the body of a worker's report.
type report struct {
	Pool            scheduler.PoolName      `json:"worker-pool"`
	Address         string                  `json:"address"`
	DataCenter      identifier.DataCenterID `json:"data-center"`
	State           scheduler.WorkerState   `json:"state"`
	Sequence        *int64                  `json:"sequence"`
	Incarnation     *int64                  `json:"born"`
	Clock           int64                   `json:"clock-ms"`
	RemainingMillis int64                   `json:"remaining-ms"`
	Machine         scheduler.MachineID     `json:"machine"`
	Labels          []string                `json:"labels"`
	Capacity        *scheduler.Resources    `json:"capacity"`
}

// reportBody is the response to a report. ReportTo is the address for the next
// one.
type reportBody struct {
	ReportTo string `json:"report-to,omitempty"`
}

// maxClockLead is how far the time of day of a worker's machine may be ahead.
const maxClockLead = time.Hour

// parseReport decodes a report. The last result is the reason if the report is
// invalid. wall is the time of day.
func parseReport(id identifier.WorkerID, data []byte, wall scheduler.UnixMilli) (scheduler.Worker, report, string) {
	var r report
	if err := json.Unmarshal(data, &r); err != nil {
		return scheduler.Worker{}, r, err.Error()
	}
	switch {
	case id == "" || r.Address == "" || r.Pool == "" || r.DataCenter == "":
		return scheduler.Worker{}, r, "id, address, pool or data centre is missing"
	case r.Sequence == nil || r.Incarnation == nil || r.Capacity == nil:
		return scheduler.Worker{}, r, "sequence, born or capacity is missing"
	case r.State != scheduler.WorkerReady && r.State != scheduler.WorkerDraining:
		return scheduler.Worker{}, r, "unknown state " + string(r.State)
	case scheduler.UnixMilli(*r.Incarnation) > wall+scheduler.UnixMilli(maxClockLead.Milliseconds()):
		return scheduler.Worker{}, r, "start time is in the future"
	case !scheduler.ValidClock(scheduler.WorkerMilli(r.Clock)):
		return scheduler.Worker{}, r, "clock is out of range"
	}
	worker := scheduler.Worker{
		ID: id, Incarnation: scheduler.UnixMilli(*r.Incarnation), Sequence: *r.Sequence, Pool: r.Pool, Address: r.Address,
		DataCenter: r.DataCenter, Machine: r.Machine, Labels: r.Labels, Capacity: *r.Capacity,
		State: r.State, DrainMillis: r.RemainingMillis,
	}
	if err := worker.Check(); err != nil {
		return scheduler.Worker{}, r, err.Error()
	}
	return worker, r, ""
}

// report handles a worker's report. Changes of its registration are committed
// before the response. Outdated reports are ignored.
func (c *Coordinator) report(ctx context.Context, call forwarder.Call) forwarder.Answer {
	worker, r, refused := parseReport(call.Worker, call.Document, wallTime())
	if refused != "" {
		c.event("report-refused", "worker", call.Worker, "reason", refused)
		return problemAnswer(responder.CodeInvalid, refused)
	}
	c.mu.Lock()
	if c.lead == nil {
		c.mu.Unlock()
		return c.notLeader()
	}
	registered := c.state.Worker(worker.ID)
	if worker.Outdated(registered) {
		c.mu.Unlock()
		return documentAnswer(reportBody{ReportTo: c.config.ReportTo})
	}
	if registered != nil && registered.SameRegistration(&worker) {
		c.recordReport(&worker, r, time.Now())
		c.mu.Unlock()
		return documentAnswer(reportBody{ReportTo: c.config.ReportTo})
	}
	previousIncarnation := scheduler.UnixMilli(0)
	if registered != nil {
		previousIncarnation = registered.Incarnation
	}
	suspicion := c.lead.observer.Suspicion(c.state, &worker, c.lead.attempts, time.Now())
	p := c.enqueue(0, scheduler.Command{Register: &worker, Suspicion: suspicion})
	c.mu.Unlock()
	results, err := p.wait(ctx)
	if err != nil {
		return c.commitFailure(err)
	}
	c.event("worker-registered", "worker", worker.ID, "incarnation", int64(worker.Incarnation), "state", worker.State, "pool", worker.Pool, "rack", worker.Rack(),
		"address", worker.Address, "sequence", worker.Sequence, "outcome", results[0].Outcome, "reason", results[0].Reason)
	c.mu.Lock()
	defer c.mu.Unlock()
	if results[0].Outcome == scheduler.OutcomeDone && c.lead != nil {
		now := time.Now()
		if previousIncarnation > 0 && worker.Incarnation > previousIncarnation {
			c.stopUnansweredStarts(&worker, now)
		}
		c.recordReport(&worker, r, now)
		c.wakeLoop()
	}
	return documentAnswer(reportBody{ReportTo: c.config.ReportTo})
}

// recordReport records the contact by a report. The caller holds mu.
func (c *Coordinator) recordReport(worker *scheduler.Worker, r report, now time.Time) {
	c.recordContact(worker, *r.Sequence, scheduler.WorkerMilli(r.Clock), now, now)
}

// recordContact records the contact by a report that arrived at a time, unless a
// newer report or incarnation is known. The caller holds mu.
func (c *Coordinator) recordContact(worker *scheduler.Worker, sequence int64, clock scheduler.WorkerMilli, at, now time.Time) {
	observation := c.lead.observer.Track(worker.ID, worker.Incarnation, now)
	if observation.Incarnation != worker.Incarnation || sequence <= observation.Sequence {
		return
	}
	observation.Sequence, observation.ReportedAt = sequence, at
	observation.RecordContact(clock, at)
	if len(c.state.RunsOn(worker.ID)) > 0 || observation.MissedPolls > 0 {
		c.ensurePolling(worker.ID)
	}
}

func (c *Coordinator) leave(ctx context.Context, call forwarder.Call) forwarder.Answer {
	results, err := c.commit(ctx, 0, scheduler.Command{Leave: &scheduler.Leave{Worker: call.Worker}})
	if err != nil {
		return c.commitFailure(err)
	}
	c.event("worker-left", "worker", call.Worker, "outcome", results[0].Outcome)
	return forwarder.Answer{Code: forwarder.CodeOK}
}
