package retrier

import (
	"testing"
	"time"
)

// TestRetriesStayWithinBudget lets every request of a plan fail: retries stay at a
// tenth of the requests, and another plan's budget is untouched.
func TestRetriesStayWithinBudget(t *testing.T) {
	b := New()
	now := time.Unix(0, 0)
	retries := 0
	const requests = 10000
	for range requests {
		now = now.Add(time.Millisecond)
		b.RecordRequest("storm", now)
		for b.AllowRetry("storm", now) {
			retries++
		}
	}
	limit := int(DefaultRatio*requests + DefaultPerSecond*10 + DefaultBurst)
	if retries > limit || retries < limit*9/10 {
		t.Errorf("%d retries of %d requests, want about %d", retries, requests, limit)
	}
	if !b.AllowRetry("calm", now) {
		t.Error("a plan without retries has no budget")
	}
}

func TestClockStepBackAddsNoTokens(t *testing.T) {
	b := New()
	now := time.Unix(100000, 0)
	for b.AllowRetry("plan", now) {
	}
	if b.AllowRetry("plan", now.Add(-time.Hour)) {
		t.Error("a step back of the clock has filled the budget")
	}
}
