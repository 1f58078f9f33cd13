package development

import (
	"context"
	_ "embed"
	"fmt"
	"net/http"
	"time"
)

//go:embed lists.json
var lists []byte

// runDemonstration runs the steps of the demonstration in order and prints the
// result and the duration of each. It stops at the first step that fails.
func (s *system) runDemonstration(ctx context.Context) error {
	steps := []struct {
		name string
		run  func(context.Context) (string, error)
	}{
		{"lists applied", s.applyLists},
		{"request answered", s.sendRequest},
		{"keyed request run once", s.sendKeyedRequest},
		{"gang placed", s.placeGang},
		{"guarantee reclaimed", s.reclaimGuarantee},
		{"job of two steps", s.steps.runDependentSteps},
		{"urgent job with steps", s.steps.reclaimGuarantee},
		{"job cancelled", s.steps.cancelJob},
	}
	for _, step := range steps {
		began := time.Now()
		result, err := step.run(ctx)
		if err != nil {
			return fmt.Errorf("%s: %w", step.name, err)
		}
		fmt.Fprintf(s.out, "%-24s %s (%d ms)\n", step.name, result, time.Since(began).Milliseconds())
	}
	return nil
}

// callExpecting calls the process and fails if the status is not want.
func (s *system) callExpecting(ctx context.Context, want int, method, path, token string, header http.Header, body []byte) (string, error) {
	status, content, err := s.call(ctx, method, path, token, header, body)
	if err != nil {
		return "", err
	}
	if status != want {
		return "", fmt.Errorf("%s %s: status is %d, want %d: %s", method, path, status, want, content)
	}
	return string(content), nil
}

func (s *system) applyLists(ctx context.Context) (string, error) {
	if _, err := s.callExpecting(ctx, http.StatusOK, http.MethodPut, "/v1/lists", s.tokens.operator, nil, lists); err != nil {
		return "", err
	}
	err := waitUntil(ctx, "readiness", func() bool { return s.daemon.Ready() == nil })
	return "version 1 in force, process ready", err
}

func requestHeader(key string) http.Header {
	header := http.Header{}
	header.Set("Cranberry-Plan", developerPlan)
	header.Set("Cranberry-Team", "rounds")
	header.Set("Cranberry-Kind", "wash")
	if key != "" {
		header.Set("Cranberry-Non-Idempotent", "true")
		header.Set("Idempotency-Key", key)
	}
	return header
}

// sendRequest repeats a request until an upstream is known and responds.
func (s *system) sendRequest(ctx context.Context) (string, error) {
	var answer string
	err := waitUntil(ctx, "an upstream", func() bool {
		var err error
		answer, err = s.callExpecting(ctx, http.StatusOK, http.MethodPost, "/v1/requests", s.tokens.isuku, requestHeader(""), []byte("bin 17"))
		return err == nil
	})
	return fmt.Sprintf("%q", answer), err
}

// sendKeyedRequest sends a non-idempotent request three times with one key, so that
// it runs once.
func (s *system) sendKeyedRequest(ctx context.Context) (string, error) {
	var last string
	for range 3 {
		answer, err := s.callExpecting(ctx, http.StatusOK, http.MethodPost, "/v1/requests", s.tokens.isuku, requestHeader("development:wash-1"), []byte("billed wash"))
		if err != nil {
			return "", err
		}
		last = answer
	}
	return fmt.Sprintf("sent 3 times, answer %q each time", last), nil
}

func (s *system) placeGang(ctx context.Context) (string, error) {
	const gangJob = `{"id":"gang","plan":"isuku-dispatch","team":"rounds","accelerator":"gpu",
		"shape":{"adjacent":"neighbours","parts":4,"accelerators-per-part":4}}`
	if _, err := s.callExpecting(ctx, http.StatusAccepted, http.MethodPost, "/v1/jobs", s.tokens.isuku, nil, []byte(gangJob)); err != nil {
		return "", err
	}
	var placed jobResponse
	err := waitUntil(ctx, "the gang", func() bool {
		job := s.job(ctx, s.tokens.isuku, "gang")
		if len(job.Workers) > 0 {
			placed = job
		}
		return job.State == "finished"
	})
	return fmt.Sprintf("4 parts of 4 on %v, finished", placed.Workers), err
}

// reclaimGuarantee lets one member borrow the whole pool, and then another submit
// an urgent job within the guarantee of its plan.
func (s *system) reclaimGuarantee(ctx context.Context) (string, error) {
	const borrowerJob = `{"id":"borrower","plan":"nieve-dispatch","team":"routes","accelerator":"gpu","checkpointable":true,
		"shape":{"adjacent":"rack","parts":16,"accelerators-per-part":1}}`
	if _, err := s.callExpecting(ctx, http.StatusAccepted, http.MethodPost, "/v1/jobs", s.tokens.nieve, nil, []byte(borrowerJob)); err != nil {
		return "", err
	}
	if err := waitUntil(ctx, "the borrower", func() bool { return s.job(ctx, s.tokens.nieve, "borrower").State == "running" }); err != nil {
		return "", err
	}
	const urgentJob = `{"id":"claim","plan":"isuku-dispatch","team":"rounds","accelerator":"gpu","urgent":true,
		"shape":{"adjacent":"worker","parts":1,"accelerators-per-part":8}}`
	if _, err := s.callExpecting(ctx, http.StatusAccepted, http.MethodPost, "/v1/jobs", s.tokens.isuku, nil, []byte(urgentJob)); err != nil {
		return "", err
	}
	began := time.Now()
	if err := waitUntil(ctx, "the claim", func() bool { return s.job(ctx, s.tokens.isuku, "claim").State == "running" }); err != nil {
		return "", err
	}
	took := time.Since(began)
	reclaimed := s.job(ctx, s.tokens.nieve, "borrower")
	return fmt.Sprintf("claim runs after %d ms; borrower checkpointed and %s", took.Milliseconds(), reclaimed.State), nil
}
