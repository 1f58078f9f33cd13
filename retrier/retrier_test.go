package retrier

import (
	"testing"
	"time"
)

// TestRetriesStayWithinBudget guards against retries that exceed the budget when all
// requests of a plan fail, and against one plan using another plan's budget.
func TestRetriesStayWithinBudget(t *testing.T) {
	b := New()
	now := time.Unix(0, 0)
	retries := 0
	const requests = 10000
	for range requests {
		now = now.Add(time.Millisecond)
		b.RecordRequest("failing", now)
		for b.AllowRetry("failing", now) {
			retries++
		}
	}
	limit := int(DefaultRatio*requests + DefaultPerSecond*10 + DefaultBurst)
	if retries > limit || retries < limit*9/10 {
		t.Errorf("%d retries for %d requests, want about %d", retries, requests, limit)
	}
	if !b.AllowRetry("healthy", now) {
		t.Error("retry of a plan without failures was not allowed")
	}
}

func TestClockStepBackAddsNoTokens(t *testing.T) {
	b := New()
	now := time.Unix(100000, 0)
	for b.AllowRetry("plan", now) {
	}
	if b.AllowRetry("plan", now.Add(-time.Hour)) {
		t.Error("step back of the clock added tokens to the budget")
	}
}
