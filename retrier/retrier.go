// Package retrier limits the retries that each plan may cause, so that retries
// can't multiply the load when many requests fail at once.
package retrier

import (
	"sync"
	"time"

	"cranberrystack.dev/cranberrystack/identifier"
)

const (
	// DefaultRatio is the number of retries that each request of a plan allows.
	DefaultRatio = 0.1
	// DefaultPerSecond is the number of retries per second that a plan has in
	// addition.
	DefaultPerSecond = 2.0
	// DefaultBurst is the maximum number of retries that a plan can accumulate.
	DefaultBurst = 20.0
)

type bucket struct {
	tokens     float64
	refilledAt time.Time
}

// Budget holds a token bucket for each plan; a token is one retry. It is safe for
// concurrent use.
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

// RecordRequest adds the tokens that the first attempt of a request earns.
func (b *Budget) RecordRequest(plan identifier.PlanID, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	planBucket := b.refill(plan, now)
	planBucket.tokens = min(planBucket.tokens+b.ratio, b.burst)
}

// AllowRetry takes one token from the plan's bucket and reports whether there was
// one. Without a token the caller must not retry.
func (b *Budget) AllowRetry(plan identifier.PlanID, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	planBucket := b.refill(plan, now)
	if planBucket.tokens < 1 {
		return false
	}
	planBucket.tokens--
	return true
}

// refill returns the plan's bucket with the tokens added since the last call. A
// step back of the clock adds none. The caller holds mu.
func (b *Budget) refill(plan identifier.PlanID, now time.Time) *bucket {
	planBucket, known := b.buckets[plan]
	if !known {
		planBucket = &bucket{tokens: b.burst, refilledAt: now}
		b.buckets[plan] = planBucket
	}
	elapsed := max(now.Sub(planBucket.refilledAt).Seconds(), 0)
	planBucket.tokens = min(planBucket.tokens+elapsed*b.perSecond, b.burst)
	planBucket.refilledAt = now
	return planBucket
}
