package overseer

import (
	"context"
	"errors"
	"net/http"

	"github.com/gin-gonic/gin"

	"cranberrystack.dev/cranberrystack/announcer"
	"cranberrystack.dev/cranberrystack/configurer"
	"cranberrystack.dev/cranberrystack/identifier"
	"cranberrystack.dev/cranberrystack/messenger"
	"cranberrystack.dev/cranberrystack/placer"
	"cranberrystack.dev/cranberrystack/responder"
)

const (
	submitPath = "/peer/overseer/submit"
	cancelPath = "/peer/overseer/cancel"
	jobPath    = "/peer/overseer/job"
	reportPath = "/peer/overseer/report"
)

type jobMessage struct {
	Member identifier.MemberID `json:"member"`
	// ID is empty to request all jobs of the member.
	ID identifier.JobID `json:"id,omitempty"`
}

// jobsResponse is the response to a jobMessage.
type jobsResponse struct {
	Jobs []placer.Job `json:"jobs"`
}

// Routes registers the handlers that other instances call.
func (o *Overseer) Routes(router gin.IRouter) {
	router.POST(submitPath, o.handleSubmit)
	router.POST(cancelPath, o.handleCancel)
	router.POST(jobPath, o.handleJob)
	router.POST(reportPath, o.handleReport)
	router.POST(copyPath, o.handleCopy)
	router.GET(positionPath, o.handlePosition)
	router.GET(statePath, o.handleState)
}

// errorMappings maps errors to HTTP statuses and codes. A Client maps the status
// back to the error, so each status stands for one error only.
var errorMappings = []struct {
	err    error
	status int
	code   responder.Code
}{
	{placer.ErrImpossible, http.StatusUnprocessableEntity, responder.CodeImpossible},
	{placer.ErrNoSuchPlan, http.StatusForbidden, responder.CodeNoSuchPlan},
	{placer.ErrNoSuchJob, http.StatusNotFound, responder.CodeNotFound},
	{placer.ErrConflict, http.StatusConflict, responder.CodeConflict},
	{placer.ErrTooManyJobs, http.StatusTooManyRequests, responder.CodeOverloaded},
	{ErrNotOwner, http.StatusMisdirectedRequest, responder.CodeUnavailable},
}

// ProblemForError returns the HTTP problem that reports an error of the
// placement.
func ProblemForError(err error) responder.Problem {
	for _, mapping := range errorMappings {
		if errors.Is(err, mapping.err) {
			return responder.Problem{Status: mapping.status, Code: mapping.code, Reason: err.Error()}
		}
	}
	return responder.Problem{Status: http.StatusServiceUnavailable, Code: responder.CodeUnavailable, Reason: err.Error()}
}

func respond(c *gin.Context, value any, err error) {
	if err != nil {
		responder.Fail(c, ProblemForError(err))
		return
	}
	c.JSON(http.StatusOK, value)
}

func (o *Overseer) handleSubmit(c *gin.Context) {
	var spec placer.Spec
	if responder.Decode(c, maxMessageBytes, &spec) {
		err := o.Submit(spec)
		respond(c, struct{}{}, err)
	}
}

func (o *Overseer) handleCancel(c *gin.Context) {
	var message jobMessage
	if responder.Decode(c, maxMessageBytes, &message) {
		err := o.Cancel(message.Member, message.ID)
		respond(c, struct{}{}, err)
	}
}

func (o *Overseer) handleJob(c *gin.Context) {
	var message jobMessage
	if !responder.Decode(c, maxMessageBytes, &message) {
		return
	}
	if message.ID == "" {
		jobs, err := o.Jobs(message.Member)
		respond(c, jobsResponse{Jobs: jobs}, err)
		return
	}
	job, err := o.Job(message.Member, message.ID)
	respond(c, jobsResponse{Jobs: []placer.Job{job}}, err)
}

func (o *Overseer) handleReport(c *gin.Context) {
	var report placer.Report
	if responder.Decode(c, maxMessageBytes, &report) {
		renewal, err := o.Report(report)
		respond(c, renewal, err)
	}
}

// Client calls the owner of a data centre's placement from any instance. Its
// methods return an error that wraps ErrNoOwner if no owner is known or can be
// reached. Their other errors match those of the Overseer's methods.
type Client struct {
	announcer   *announcer.Announcer
	messenger   *messenger.Messenger
	viewReplica *configurer.ViewReplica
	dataCenter  identifier.DataCenterID
}

// NewClient returns a client for the placement of one data centre.
func NewClient(a *announcer.Announcer, m *messenger.Messenger, replica *configurer.ViewReplica, dataCenter identifier.DataCenterID) *Client {
	return &Client{announcer: a, messenger: m, viewReplica: replica, dataCenter: dataCenter}
}

// Submit sends a job to the owner, which queues it.
func (c *Client) Submit(ctx context.Context, spec placer.Spec) error {
	return c.call(ctx, submitPath, spec, nil)
}

// Cancel cancels a member's job.
func (c *Client) Cancel(ctx context.Context, member identifier.MemberID, id identifier.JobID) error {
	return c.call(ctx, cancelPath, jobMessage{Member: member, ID: id}, nil)
}

// Job returns a member's job. It is empty if the owner's response has no job.
func (c *Client) Job(ctx context.Context, member identifier.MemberID, id identifier.JobID) (placer.Job, error) {
	var response jobsResponse
	err := c.call(ctx, jobPath, jobMessage{Member: member, ID: id}, &response)
	if err != nil || len(response.Jobs) == 0 {
		return placer.Job{}, err
	}
	return response.Jobs[0], nil
}

// Jobs returns all jobs of a member.
func (c *Client) Jobs(ctx context.Context, member identifier.MemberID) ([]placer.Job, error) {
	var response jobsResponse
	err := c.call(ctx, jobPath, jobMessage{Member: member}, &response)
	return response.Jobs, err
}

// Report passes a worker's report on to the owner.
func (c *Client) Report(ctx context.Context, report placer.Report) (Renewal, error) {
	var renewal Renewal
	err := c.call(ctx, reportPath, report, &renewal)
	return renewal, err
}

// call sends a message to the owner that the view names.
func (c *Client) call(ctx context.Context, path string, in, out any) error {
	view := c.viewReplica.View()
	owner := view.Owner(c.dataCenter)
	member, known := c.announcer.Member(owner.Owner)
	if owner.Epoch == 0 || !known {
		return ErrNoOwner
	}
	err := c.messenger.Post(ctx, member.Address, path, in, out)
	var status *messenger.StatusError
	if errors.As(err, &status) {
		return errorForStatus(status)
	}
	if err != nil {
		return errors.Join(ErrNoOwner, err)
	}
	return nil
}

// errorForStatus returns the error that the owner mapped to a status, with the
// reason that it sent. An unknown status counts as ErrNoOwner.
func errorForStatus(status *messenger.StatusError) error {
	for _, mapping := range errorMappings {
		if mapping.status == status.Status {
			return &remoteError{cause: mapping.err, reason: status.Reason()}
		}
	}
	return errors.Join(ErrNoOwner, status)
}

// remoteError is an error of the owner. It has the text that the owner sent, and
// errors.Is matches it with the cause.
type remoteError struct {
	cause  error
	reason string
}

// Error returns the reason that the owner sent.
func (e *remoteError) Error() string { return e.reason }

// Unwrap returns the cause.
func (e *remoteError) Unwrap() error { return e.cause }
