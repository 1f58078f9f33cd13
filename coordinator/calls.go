package coordinator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"cranberrystack.dev/cranberrystack/forwarder"
	"cranberrystack.dev/cranberrystack/identifier"
	"cranberrystack.dev/cranberrystack/replicator"
	"cranberrystack.dev/cranberrystack/responder"
	"cranberrystack.dev/cranberrystack/scheduler"
)

// JobState is the state of a job in responses to callers.
type JobState string

// The states of a job.
const (
	JobQueued    JobState = "queued"
	JobRunning   JobState = "running"
	JobCompleted JobState = "completed"
	JobFailed    JobState = "failed"
	JobCancelled JobState = "cancelled"
)

type stateBody struct {
	State JobState `json:"state"`
}

type pendingBody struct {
	Pending int `json:"pending"`
}

// Handle carries out a call. Without a valid leader lease it does nothing and
// answers with CodeNotLeader.
func (c *Coordinator) Handle(ctx context.Context, call forwarder.Call) forwarder.Answer {
	if !c.node.HoldsLeaderLease() {
		return c.notLeader()
	}
	if err := call.Check(); err != nil {
		return problemAnswer(responder.CodeInvalid, err.Error())
	}
	switch call.Kind {
	case forwarder.KindSubmit:
		return c.submit(ctx, call)
	case forwarder.KindState:
		return c.jobState(call)
	case forwarder.KindCancel:
		return c.cancel(ctx, call)
	case forwarder.KindConfigure:
		return c.configure(ctx, call)
	case forwarder.KindReadCatalog:
		return c.readCatalog(ctx)
	case forwarder.KindReport:
		return c.report(ctx, call)
	case forwarder.KindLeave:
		return c.leave(ctx, call)
	case forwarder.KindStartWave:
		return c.startWave(ctx, call)
	case forwarder.KindWaveProgress:
		return c.waveProgress(call)
	case forwarder.KindExplain:
		return c.explain(call)
	case forwarder.KindOverview:
		return c.overview()
	case forwarder.KindEstimates:
		return c.estimates()
	case forwarder.KindEmptyDataCenter:
		return c.orderDataCenter(ctx, call, true)
	case forwarder.KindReturnDataCenter:
		return c.orderDataCenter(ctx, call, false)
	case forwarder.KindDataCenters:
		return c.listDataCenters()
	}
	return problemAnswer(responder.CodeInvalid, "unknown kind of call")
}

func (c *Coordinator) notLeader() forwarder.Answer {
	leader := c.node.Leadership().Leader.Address
	if leader == c.config.Address {
		leader = ""
	}
	return forwarder.Answer{Code: forwarder.CodeNotLeader, Leader: leader}
}

func problemAnswer(code responder.Code, reason string) forwarder.Answer {
	return forwarder.Answer{Code: code, Reason: reason}
}

func documentAnswer(value any) forwarder.Answer {
	data, err := json.Marshal(value)
	if err != nil {
		return problemAnswer(responder.CodeUnavailable, err.Error())
	}
	return forwarder.Answer{Code: forwarder.CodeOK, Document: data}
}

// commitFailure returns the answer for commands that were not committed, or
// whose outcome is unknown.
func (c *Coordinator) commitFailure(err error) forwarder.Answer {
	switch {
	case errors.Is(err, errNotCommitted):
		return c.notLeader()
	case errors.Is(err, replicator.ErrEntryTooLarge):
		return problemAnswer(responder.CodeTooLarge, "too large for the log; nothing was done")
	}
	return problemAnswer(responder.CodeOutcomeUnknown, "the leader lost its office meanwhile")
}

// callTarget is the queue, team and job that a call addresses. job is empty for
// calls about the queue.
type callTarget struct {
	queue *scheduler.Queue
	team  identifier.TeamID
	job   identifier.JobID
}

// resolveTarget checks a call's key and resolves its host and path. It returns
// an answer if the call is refused. The caller holds mu.
func (c *Coordinator) resolveTarget(call forwarder.Call) (callTarget, *forwarder.Answer) {
	refuse := func(code responder.Code, reason string) (callTarget, *forwarder.Answer) {
		answer := problemAnswer(code, reason)
		return callTarget{}, &answer
	}
	catalog := c.state.Catalog()
	if catalog.Version == 0 {
		return refuse(responder.CodeUnavailable, "no catalog yet")
	}
	queue, rest := catalog.MatchQueue(call.Host, call.Path)
	if queue == nil {
		return refuse(responder.CodeNotFound, "no such queue")
	}
	team, known := catalog.TeamByKey(call.Key)
	if !known && !queue.Open {
		return refuse(responder.CodeUnauthorized, "unknown key")
	}
	if rest != "" && !scheduler.ValidJobID(rest) {
		return refuse(responder.CodeInvalid, fmt.Sprintf("%q is not the id of a job", rest))
	}
	return callTarget{queue: queue, team: team, job: identifier.JobID(rest)}, nil
}

func (c *Coordinator) submit(ctx context.Context, call forwarder.Call) forwarder.Answer {
	c.mu.Lock()
	target, refused := c.resolveTarget(call)
	if refused != nil {
		version := c.state.Catalog().Version
		c.mu.Unlock()
		c.event("submit-refused", "path", call.Path, "code", refused.Code, "catalog-version", version)
		return *refused
	}
	var request scheduler.Request
	if err := readRequest(call.Document, &request); err != nil || target.job == "" {
		c.mu.Unlock()
		c.event("submit-refused", "job", target.job, "code", responder.CodeInvalid, "error", err)
		return problemAnswer(responder.CodeInvalid, fmt.Sprint("not a job: ", err))
	}
	if job := c.state.Job(target.job); job != nil {
		c.mu.Unlock()
		return c.resubmitAnswer(job.ID, visibleTo(job, target.team))
	}
	footprint := request.Footprint()
	if taken := c.state.Footprint() + c.submitting; taken+footprint > c.options.jobMemory {
		c.mu.Unlock()
		c.event("submit-refused", "job", target.job, "code", responder.CodeOverloaded, "footprint", footprint, "taken", taken, "limit", c.options.jobMemory)
		return forwarder.Answer{
			Code: responder.CodeOverloaded, Reason: "the jobs take all the memory that they may; nothing was done", RetryAfterMillis: overloadedRetryAfter.Milliseconds(),
		}
	}
	c.submitting += footprint
	submit := &scheduler.Submit{Job: target.job, Queue: target.queue.Name, Team: target.team, Request: request}
	p := c.enqueue(0, scheduler.Command{Submit: submit})
	c.mu.Unlock()
	results, err := p.wait(ctx)
	c.mu.Lock()
	c.submitting -= footprint
	c.mu.Unlock()
	if err != nil {
		c.event("submit-unknown", "job", target.job, "error", err)
		return c.commitFailure(err)
	}
	switch results[0].Outcome {
	case scheduler.OutcomeNotFound:
		return problemAnswer(responder.CodeNotFound, results[0].Reason)
	case scheduler.OutcomeConflict:
		return c.resubmitAnswer(target.job, false)
	}
	c.event("job-accepted", "job", target.job, "queue", submit.Queue, "team", target.team, "outcome", results[0].Outcome)
	return forwarder.Answer{Code: forwarder.CodeOK}
}

// overloadedRetryAfter is when a caller may submit a job again that was refused for
// lack of memory.
const overloadedRetryAfter = 2 * time.Second

// resubmitAnswer returns the answer to a submit with the id of a known job. ours
// says that the job is of the caller's team, so that it is a resend.
func (c *Coordinator) resubmitAnswer(job identifier.JobID, ours bool) forwarder.Answer {
	if ours {
		return forwarder.Answer{Code: forwarder.CodeOK}
	}
	c.event("submit-refused", "job", job, "code", responder.CodeConflict)
	return problemAnswer(responder.CodeConflict, "the id is that of another team's job; nothing was done")
}

func readRequest(data []byte, request *scheduler.Request) error {
	if err := json.Unmarshal(data, request); err != nil {
		return fmt.Errorf("decode: %w", err)
	}
	return request.Check()
}

func (c *Coordinator) jobState(call forwarder.Call) forwarder.Answer {
	c.mu.Lock()
	defer c.mu.Unlock()
	target, refused := c.resolveTarget(call)
	if refused != nil {
		return *refused
	}
	if target.job == "" {
		return documentAnswer(pendingBody{Pending: c.state.Pending(target.queue.Name)})
	}
	job := c.state.Job(target.job)
	if !visibleTo(job, target.team) {
		return problemAnswer(forwarder.CodeNoSuchJob, "no such job")
	}
	return documentAnswer(stateBody{State: stateOf(job)})
}

// visibleTo reports whether a job exists and belongs to a team.
func visibleTo(job *scheduler.Job, team identifier.TeamID) bool {
	return job != nil && job.Team == team
}

func stateOf(job *scheduler.Job) JobState {
	switch job.Phase {
	case scheduler.PhaseCompleted:
		return JobCompleted
	case scheduler.PhaseFailed:
		return JobFailed
	case scheduler.PhaseCancelled:
		return JobCancelled
	}
	if job.Started {
		return JobRunning
	}
	return JobQueued
}

func (c *Coordinator) cancel(ctx context.Context, call forwarder.Call) forwarder.Answer {
	c.mu.Lock()
	target, refused := c.resolveTarget(call)
	if refused != nil {
		c.mu.Unlock()
		return *refused
	}
	if !visibleTo(c.state.Job(target.job), target.team) {
		c.mu.Unlock()
		return problemAnswer(forwarder.CodeNoSuchJob, "no such job")
	}
	p := c.enqueue(0, scheduler.Command{Cancel: &scheduler.Cancel{Job: target.job}})
	c.mu.Unlock()
	results, err := p.wait(ctx)
	if err != nil {
		return c.commitFailure(err)
	}
	for _, job := range results[0].Ended {
		c.observeJobEnd(job)
	}
	c.event("job-cancelled", "job", target.job, "outcome", results[0].Outcome, "phase", results[0].Phase)
	if results[0].Outcome == scheduler.OutcomeNotFound {
		return problemAnswer(forwarder.CodeNoSuchJob, "no such job")
	}
	return forwarder.Answer{Code: forwarder.CodeOK}
}

func (c *Coordinator) configure(ctx context.Context, call forwarder.Call) forwarder.Answer {
	catalog, err := scheduler.ParseCatalog(call.Document)
	if err != nil {
		c.event("catalog-refused", "error", err)
		return problemAnswer(responder.CodeInvalid, err.Error())
	}
	c.mu.Lock()
	if catalog.Version <= c.state.Catalog().Version {
		c.mu.Unlock()
		return forwarder.Answer{Code: forwarder.CodeOK}
	}
	p := c.enqueue(0, scheduler.Command{Configure: &scheduler.Configure{Document: call.Document}})
	c.mu.Unlock()
	results, err := p.wait(ctx)
	if err != nil {
		return c.commitFailure(err)
	}
	c.event("catalog-configured", "catalog-version", catalog.Version, "outcome", results[0].Outcome, "queues", len(catalog.Queues), "teams", len(catalog.Teams))
	if results[0].Outcome == scheduler.OutcomeInvalid {
		return problemAnswer(responder.CodeInvalid, results[0].Reason)
	}
	return forwarder.Answer{Code: forwarder.CodeOK}
}

func (c *Coordinator) readCatalog(ctx context.Context) forwarder.Answer {
	if err := c.node.Read(ctx); err != nil {
		if errors.Is(err, replicator.ErrNotLeader) {
			return c.notLeader()
		}
		return problemAnswer(responder.CodeUnavailable, "the newest catalog can't be confirmed")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state.Document() == nil {
		return problemAnswer(responder.CodeUnavailable, "no catalog yet")
	}
	return forwarder.Answer{Code: forwarder.CodeOK, Document: c.state.Document()}
}
