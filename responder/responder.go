// Package responder decodes JSON bodies and writes error responses in the form
// that all HTTP interfaces of the system share.
package responder

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/gin-gonic/gin"
)

// Code is the kind of error that a response reports.
type Code string

// The codes, as documented in docs/API.md.
const (
	CodeNotRun         Code = "not-run"
	CodeOutcomeUnknown Code = "outcome-unknown"
	CodeOverloaded     Code = "overloaded"
	CodeConflict       Code = "conflict"
	CodeNoSuchPlan     Code = "no-such-plan"
	CodeImpossible     Code = "impossible"
	CodeInvalid        Code = "invalid"
	CodeUnauthorized   Code = "unauthorized"
	CodeForbidden      Code = "forbidden"
	CodeNotFound       Code = "not-found"
	CodeUnavailable    Code = "unavailable"
	CodeTooLarge       Code = "too-large"
)

// HeaderCode is the response header that repeats the code of an error.
const HeaderCode = "Cranberry-Code"

// Problem is an error response.
type Problem struct {
	Status int
	Code   Code
	Reason string
	// RetryAfter is how long the client should wait before a retry; 0 means that
	// the response does not say.
	RetryAfter time.Duration
}

type problemBody struct {
	Code       Code   `json:"code"`
	Reason     string `json:"reason"`
	RetryAfter int64  `json:"retry-after-ms,omitempty"`
}

// Fail writes an error response and aborts the handler chain.
func Fail(c *gin.Context, problem Problem) {
	problem.setHeaders(c.Writer.Header())
	c.AbortWithStatusJSON(problem.Status, problem.body())
}

// Write writes an error response.
func Write(w http.ResponseWriter, problem Problem) {
	problem.setHeaders(w.Header())
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	w.WriteHeader(problem.Status)
	_ = json.NewEncoder(w).Encode(problem.body())
}

func (p *Problem) setHeaders(header http.Header) {
	header.Set(HeaderCode, string(p.Code))
	if p.RetryAfter > 0 {
		seconds := (p.RetryAfter + time.Second - 1) / time.Second
		header.Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
}

func (p *Problem) body() problemBody {
	return problemBody{Code: p.Code, Reason: p.Reason, RetryAfter: p.RetryAfter.Milliseconds()}
}

// Decode decodes a JSON body of at most limit bytes into value. It refuses unknown
// fields. If it returns false, it has written the error response.
func Decode(c *gin.Context, limit int64, value any) bool {
	body := http.MaxBytesReader(c.Writer, c.Request.Body, limit)
	decoder := json.NewDecoder(body)
	decoder.DisallowUnknownFields()
	err := decoder.Decode(value)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		Fail(c, Problem{Status: http.StatusRequestEntityTooLarge, Code: CodeTooLarge, Reason: "body is over " + strconv.FormatInt(limit, 10) + " bytes"})
		return false
	case errors.Is(err, io.EOF):
		Fail(c, Problem{Status: http.StatusBadRequest, Code: CodeInvalid, Reason: "body is empty"})
		return false
	case err != nil:
		Fail(c, Problem{Status: http.StatusBadRequest, Code: CodeInvalid, Reason: err.Error()})
		return false
	}
	return true
}
