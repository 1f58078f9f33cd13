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

// report is what a worker says of itself.
type report struct {
	Pool            scheduler.PoolName      `json:"worker-pool"`
	Address         string                  `json:"address"`
	DataCenter      identifier.DataCenterID `json:"data-center"`
	State           scheduler.WorkerState   `json:"state"`
	Sequence        *int64                  `json:"sequence"`
	Born            *int64                  `json:"born"`
	Clock           int64                   `json:"clock-ms"`
	RemainingMillis int64                   `json:"remaining-ms"`
	Machine         scheduler.MachineID     `json:"machine"`
	Labels          []string                `json:"labels"`
	Capacity        *scheduler.Resources    `json:"capacity"`
}

// reportBody tells a worker where to report next time.
type reportBody struct {
	ReportTo string `json:"report-to,omitempty"`
}

// readReport returns what a report says, or why it names no worker.
func readReport(id identifier.WorkerID, data []byte) (scheduler.Worker, report, string) {
	var r report
	if err := json.Unmarshal(data, &r); err != nil {
		return scheduler.Worker{}, r, err.Error()
	}
	switch {
	case id == "" || r.Address == "" || r.Pool == "" || r.DataCenter == "":
		return scheduler.Worker{}, r, "id, address, pool or data centre is missing"
	case r.Sequence == nil || r.Born == nil || *r.Born <= 0 || r.Capacity == nil:
		return scheduler.Worker{}, r, "sequence, born or capacity is missing"
	case r.State != scheduler.WorkerReady && r.State != scheduler.WorkerDraining:
		return scheduler.Worker{}, r, "unknown state " + string(r.State)
	}
	return scheduler.Worker{
		ID: id, Incarnation: scheduler.UnixMilli(*r.Born), Sequence: *r.Sequence, Pool: r.Pool, Address: r.Address,
		DataCenter: r.DataCenter, Machine: r.Machine, Labels: r.Labels, Capacity: *r.Capacity,
		State: r.State, DrainMillis: r.RemainingMillis,
	}, r, ""
}

// report takes a worker's report. What changes is committed before the answer.
func (c *Coordinator) report(ctx context.Context, call forwarder.Call) forwarder.Answer {
	worker, r, refused := readReport(call.Worker, call.Document)
	if refused != "" {
		c.event("report-refused", "worker", call.Worker, "reason", refused)
		return problem(responder.CodeInvalid, refused)
	}
	c.mu.Lock()
	if c.lead == nil {
		c.mu.Unlock()
		return c.notLeader()
	}
	known := c.state.Worker(worker.ID)
	if known != nil && (worker.Incarnation < known.Incarnation || worker.Incarnation == known.Incarnation && known.State == scheduler.WorkerGone) {
		c.mu.Unlock()
		return document(reportBody{ReportTo: c.config.ReportTo})
	}
	if known != nil && known.SameRegistration(&worker) {
		c.heard(&worker, r, time.Now())
		c.mu.Unlock()
		return document(reportBody{ReportTo: c.config.ReportTo})
	}
	bornBefore := scheduler.UnixMilli(0)
	if known != nil {
		bornBefore = known.Incarnation
	}
	p := c.enqueue(0, scheduler.Command{Register: &worker})
	c.mu.Unlock()
	results, err := p.wait(ctx)
	if err != nil {
		return c.failed(err)
	}
	c.event("worker", "worker", worker.ID, "born", int64(worker.Incarnation), "state", worker.State, "pool", worker.Pool, "rack", worker.Rack(),
		"address", worker.Address, "sequence", worker.Sequence, "outcome", results[0].Outcome, "reason", results[0].Reason)
	c.mu.Lock()
	defer c.mu.Unlock()
	if results[0].Outcome == scheduler.OutcomeDone && c.lead != nil {
		now := time.Now()
		if bornBefore > 0 && worker.Incarnation > bornBefore {
			c.stopLoose(&worker, now)
		}
		c.heard(&worker, r, now)
		c.poke()
	}
	return document(reportBody{ReportTo: c.config.ReportTo})
}

// heard notes a sign of life. The caller holds mu.
func (c *Coordinator) heard(worker *scheduler.Worker, r report, now time.Time) {
	watch := c.lead.observer.Track(worker.ID, worker.Incarnation, now)
	if watch.Incarnation != worker.Incarnation || *r.Sequence <= watch.Sequence {
		return
	}
	watch.Sequence = *r.Sequence
	watch.RecordContact(scheduler.WorkerMilli(r.Clock), now)
	if len(c.state.Placed(worker.ID)) > 0 || watch.MissedPolls > 0 {
		c.attend(worker.ID)
	}
}

func (c *Coordinator) leave(ctx context.Context, call forwarder.Call) forwarder.Answer {
	results, err := c.commit(ctx, 0, scheduler.Command{Leave: &scheduler.Leave{Worker: call.Worker}})
	if err != nil {
		return c.failed(err)
	}
	c.event("worker-left", "worker", call.Worker, "outcome", results[0].Outcome)
	return forwarder.Answer{Code: forwarder.CodeOK}
}
