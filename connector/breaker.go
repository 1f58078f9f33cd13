package connector

import (
	"sync"
	"time"
)

const (
	breakerFirstWait = 250 * time.Millisecond
	breakerMaxWait   = 4 * time.Second
)

// breaker keeps work away from an upstream that can't be connected to. A
// connection that fails after it was open says nothing about new ones, so
// only failed dials count.
type breaker struct {
	mu    sync.Mutex
	wait  time.Duration
	until time.Time
}

func (b *breaker) allows(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !now.Before(b.until)
}

func (b *breaker) failed(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.wait = min(max(2*b.wait, breakerFirstWait), breakerMaxWait)
	b.until = now.Add(b.wait)
}

func (b *breaker) worked() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.wait = 0
	b.until = time.Time{}
}
