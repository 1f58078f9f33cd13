package entry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/google/uuid"

	"cranberrystack.dev/cranberryd/server"
	"cranberrystack.dev/cranberrystack/authenticator"
	"cranberrystack.dev/cranberrystack/identifier"
	"cranberrystack.dev/cranberrystack/overseer"
	"cranberrystack.dev/cranberrystack/packer"
	"cranberrystack.dev/cranberrystack/placer"
	"cranberrystack.dev/cranberrystack/responder"
)

const (
	maxJobBytes = 1 << 20
	// jobTimeout bounds a call to the owner of the placement with its retries.
	jobTimeout       = 10 * time.Second
	jobRetryInterval = 200 * time.Millisecond
	// maxStateWait bounds the wait for a change of a job's state.
	maxStateWait      = 30 * time.Second
	statePollInterval = 100 * time.Millisecond
	maxIDBytes        = 100
)

// jobMessage is a submitted job. The type's name must not change: it is part of the
// error text that a caller gets for a key of the wrong JSON type.
type jobMessage struct {
	// ID may be empty; the response then contains a generated one. A message
	// with an id is safe to send again.
	ID              identifier.JobID  `json:"id"`
	Plan            identifier.PlanID `json:"plan"`
	Team            identifier.TeamID `json:"team"`
	Accelerator     string            `json:"accelerator"`
	Shape           packer.Shape      `json:"shape"`
	Kind            string            `json:"kind"`
	Checkpointable  bool              `json:"checkpointable"`
	Urgent          bool              `json:"urgent"`
	DeclaredRunTime int64             `json:"declared-run-time-ms"`
	MemoryBytes     int64             `json:"memory-bytes"`
	Payload         []byte            `json:"payload"`
}

// jobResponse is the state of a job as callers see it.
type jobResponse struct {
	ID         identifier.JobID      `json:"id"`
	Plan       identifier.PlanID     `json:"plan"`
	Team       identifier.TeamID     `json:"team,omitempty"`
	State      placer.State          `json:"state"`
	Attempt    uint64                `json:"attempt"`
	Workers    []identifier.WorkerID `json:"workers,omitempty"`
	Guaranteed bool                  `json:"guaranteed"`
	Progress   int64                 `json:"progress-ms"`
	Reclaims   int                   `json:"reclaims"`
	Straggler  bool                  `json:"straggler,omitempty"`
	Reason     string                `json:"reason,omitempty"`
	Submitted  time.Time             `json:"submitted"`
	Started    time.Time             `json:"started,omitzero"`
	Ended      time.Time             `json:"ended,omitzero"`
}

func newJobResponse(job placer.Job) jobResponse {
	response := jobResponse{
		ID: job.Spec.ID, Plan: job.Spec.Plan, Team: job.Spec.Team, State: job.State,
		Attempt: job.Attempt, Guaranteed: job.Guaranteed, Progress: job.Progress.Milliseconds(),
		Reclaims: job.Reclaims, Straggler: job.Straggler, Reason: job.Reason,
		Submitted: job.Submitted, Started: job.Started, Ended: job.Ended,
	}
	for _, piece := range job.Pieces {
		response.Workers = append(response.Workers, piece.Worker)
	}
	return response
}

type jobHandler struct {
	client *overseer.Client
}

func serveJobs(s *server.Server, client *overseer.Client) {
	h := &jobHandler{client: client}
	callers := s.Group(authenticator.KindCaller)
	callers.POST("/v1/jobs", h.submit)
	callers.GET("/v1/jobs", h.list)
	callers.GET("/v1/jobs/:id", h.get)
	callers.DELETE("/v1/jobs/:id", h.cancel)
}

func (h *jobHandler) submit(c *gin.Context) {
	var submission jobMessage
	if !responder.Decode(c, maxJobBytes, &submission) {
		return
	}
	if submission.Plan == "" || submission.Accelerator == "" || len(submission.ID) > maxIDBytes || submission.DeclaredRunTime < 0 || submission.MemoryBytes < 0 {
		respondInvalid(c, "plan and accelerator are required, id is at most 100 bytes, numbers are not negative")
		return
	}
	if submission.ID == "" {
		submission.ID = identifier.JobID(uuid.NewString())
	}
	spec := placer.Spec{
		ID: submission.ID, Member: server.Identity(c).Member, Plan: submission.Plan, Team: submission.Team,
		Accelerator: submission.Accelerator, Shape: submission.Shape, Kind: submission.Kind,
		Checkpointable: submission.Checkpointable, Urgent: submission.Urgent,
		DeclaredRunTime: time.Duration(submission.DeclaredRunTime) * time.Millisecond,
		MemoryBytes:     submission.MemoryBytes, Payload: submission.Payload,
	}
	err := h.retryWithoutOwner(c, func(ctx context.Context) error { return h.client.Submit(ctx, spec) })
	if err != nil {
		respondJobError(c, err)
		return
	}
	h.respondJob(c, spec.Member, spec.ID, http.StatusAccepted)
}

// retryWithoutOwner repeats a call, for at most jobTimeout, while the data centre's
// placement has no owner that can be reached. Every message to the owner is
// idempotent.
func (h *jobHandler) retryWithoutOwner(c *gin.Context, call func(ctx context.Context) error) error {
	ctx, cancel := context.WithTimeout(c.Request.Context(), jobTimeout)
	defer cancel()
	for {
		err := call(ctx)
		if !errors.Is(err, overseer.ErrNoOwner) && !errors.Is(err, overseer.ErrNotOwner) {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(jobRetryInterval):
		}
	}
}

// respondJobError writes the error response of a failed call. If the owner can't
// be reached, it is unknown whether the owner has accepted the job; the caller
// finds out by sending it again with the same id.
func respondJobError(c *gin.Context, err error) {
	if errors.Is(err, overseer.ErrNoOwner) {
		responder.Fail(c, responder.Problem{
			Status: http.StatusGatewayTimeout, Code: responder.CodeOutcomeUnknown,
			Reason: err.Error(), RetryAfter: time.Second,
		})
		return
	}
	responder.Fail(c, overseer.ProblemForError(err))
}

// respondJob reads a job from the owner and writes it with the given status.
func (h *jobHandler) respondJob(c *gin.Context, member identifier.MemberID, id identifier.JobID, status int) {
	var job placer.Job
	err := h.retryWithoutOwner(c, func(ctx context.Context) error {
		var err error
		job, err = h.client.Job(ctx, member, id)
		return err
	})
	if err != nil {
		respondJobError(c, err)
		return
	}
	c.JSON(status, newJobResponse(job))
}

// get returns a job. With ?after=STATE it first waits until the job is in another
// state or doesn't exist, for at most maxStateWait.
func (h *jobHandler) get(c *gin.Context) {
	member := server.Identity(c).Member
	id := identifier.JobID(c.Param("id"))
	after := placer.State(c.Query("after"))
	deadline := time.Now().Add(maxStateWait)
	for after != "" && time.Now().Before(deadline) {
		job, err := h.client.Job(c.Request.Context(), member, id)
		if errors.Is(err, placer.ErrNoSuchJob) || (err == nil && job.State != after) {
			break
		}
		select {
		case <-c.Request.Context().Done():
			return
		case <-time.After(statePollInterval):
		}
	}
	h.respondJob(c, member, id, http.StatusOK)
}

type jobsResponse struct {
	Jobs []jobResponse `json:"jobs"`
}

func (h *jobHandler) list(c *gin.Context) {
	member := server.Identity(c).Member
	var jobs []placer.Job
	err := h.retryWithoutOwner(c, func(ctx context.Context) error {
		var err error
		jobs, err = h.client.Jobs(ctx, member)
		return err
	})
	if err != nil {
		respondJobError(c, err)
		return
	}
	response := jobsResponse{Jobs: []jobResponse{}}
	for _, job := range jobs {
		response.Jobs = append(response.Jobs, newJobResponse(job))
	}
	c.JSON(http.StatusOK, response)
}

func (h *jobHandler) cancel(c *gin.Context) {
	member := server.Identity(c).Member
	id := identifier.JobID(c.Param("id"))
	err := h.retryWithoutOwner(c, func(ctx context.Context) error { return h.client.Cancel(ctx, member, id) })
	if err != nil {
		respondJobError(c, err)
		return
	}
	h.respondJob(c, member, id, http.StatusOK)
}
