package entry

import (
	"errors"
	"net/http"

	"github.com/gin-gonic/gin"

	"cranberrystack.dev/cranberryd/server"
	"cranberrystack.dev/cranberrystack/authenticator"
	"cranberrystack.dev/cranberrystack/overseer"
	"cranberrystack.dev/cranberrystack/placer"
	"cranberrystack.dev/cranberrystack/responder"
)

const (
	maxReportBytes  = 4 << 20
	maxAccelerators = 1024 // per worker
)

func serveWorkers(s *server.Server, client *overseer.Client) {
	s.Group(authenticator.KindWorker).POST("/v1/workers/report", func(c *gin.Context) {
		handleReport(c, client)
	})
}

// handleReport forwards a worker's report to the owner of the placement and
// writes the owner's renewal of the worker's leases.
func handleReport(c *gin.Context, client *overseer.Client) {
	var report placer.Report
	if !responder.Decode(c, maxReportBytes, &report) {
		return
	}
	worker := &report.Worker
	if worker.ID == "" || worker.Address == "" || worker.Accelerator == "" || worker.Accelerators < 1 || worker.Accelerators > maxAccelerators {
		respondInvalid(c, "id, address, accelerator and 1 to 1024 accelerators are required")
		return
	}
	worker.Subject = server.Identity(c).Subject
	renewal, err := client.Report(c.Request.Context(), report)
	if errors.Is(err, overseer.ErrNoOwner) || errors.Is(err, overseer.ErrNotOwner) {
		responder.Fail(c, responder.Problem{Status: http.StatusServiceUnavailable, Code: responder.CodeUnavailable, Reason: err.Error()})
		return
	}
	if err != nil {
		responder.Fail(c, overseer.ProblemForError(err))
		return
	}
	c.JSON(http.StatusOK, renewal)
}
