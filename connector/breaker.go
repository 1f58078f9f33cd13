package connector

import (
	"sync"
	"time"
)

const (
	breakerMinBackoff = 250 * time.Millisecond
	breakerMaxBackoff = 4 * time.Second
)

// breaker reports that an upstream whose dials fail should get no work for now, with
// exponential backoff. Run does not check it; callers do so through Available. Only
// failed dials count: the failure of an open connection does not show that new ones
// will fail.
type breaker struct {
	mu        sync.Mutex
	backoff   time.Duration
	openUntil time.Time
}

func (b *breaker) allows(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !now.Before(b.openUntil)
}

func (b *breaker) recordFailure(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.backoff = min(max(2*b.backoff, breakerMinBackoff), breakerMaxBackoff)
	b.openUntil = now.Add(b.backoff)
}

func (b *breaker) recordSuccess() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.backoff = 0
	b.openUntil = time.Time{}
}
