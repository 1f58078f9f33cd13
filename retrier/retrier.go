// Package retrier bounds how many retries each tenant may cause, so that
// retries can't multiply the load when much fails at once.
package retrier

import (
	"sync"
	"time"

	"cranberrystack.dev/cranberrystack/identifier"
)

const (
	// DefaultRatio is the part of a tenant's requests that may be retries.
	DefaultRatio = 0.1
	// DefaultPerSecond is what a tenant may retry besides.
	DefaultPerSecond = 2.0
	// DefaultBurst bounds what a tenant can save up.
	DefaultBurst = 20.0
)

type bucket struct {
	tokens     float64
	refilledAt time.Time
}

// Budget holds a token bucket for each plan. It is safe for concurrent use.
type Budget struct {
	ratio     float64
	perSecond float64
	burst     float64

	mu      sync.Mutex
	buckets map[identifier.PlanID]*bucket
}

// New returns a budget with the default rates.
func New() *Budget {
	return &Budget{
		ratio: DefaultRatio, perSecond: DefaultPerSecond, burst: DefaultBurst,
		buckets: map[identifier.PlanID]*bucket{},
	}
}

// RecordRequest notes a first attempt, which earns a part of a retry.
func (b *Budget) RecordRequest(plan identifier.PlanID, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	own := b.refill(plan, now)
	own.tokens = min(own.tokens+b.ratio, b.burst)
}

// AllowRetry takes a retry from the plan's budget and reports whether it had one.
func (b *Budget) AllowRetry(plan identifier.PlanID, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	own := b.refill(plan, now)
	if own.tokens < 1 {
		return false
	}
	own.tokens--
	return true
}

func (b *Budget) refill(plan identifier.PlanID, now time.Time) *bucket {
	own, known := b.buckets[plan]
	if !known {
		own = &bucket{tokens: b.burst, refilledAt: now}
		b.buckets[plan] = own
	}
	elapsed := max(now.Sub(own.refilledAt).Seconds(), 0)
	own.tokens = min(own.tokens+elapsed*b.perSecond, b.burst)
	own.refilledAt = now
	return own
}
