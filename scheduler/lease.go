package scheduler

import (
	"math"
	"time"
)

// leaseMemory is how long the longest lease of the leaders is remembered after the
// last batch of one that gave it. It exceeds any lease.
const leaseMemory = UnixMilli(60_000)

// unknownLeaseMillis stands for the lease of a leader whose batches don't tell it.
const unknownLeaseMillis = math.MaxInt64

// leaderLease is the longest lease that recent leaders gave.
type leaderLease struct {
	Millis int64 `json:"millis"`
	// SeenAt is the time of the last batch of a leader that gave it.
	SeenAt UnixMilli `json:"seen-at"`
}

// noteLease records the lease of the leader that decided a batch.
func (s *State) noteLease(batch Batch) {
	millis := batch.LeaseMillis
	if millis <= 0 {
		millis = unknownLeaseMillis
	}
	if millis >= s.lease.Millis || batch.Now-s.lease.SeenAt > leaseMemory {
		s.lease = leaderLease{Millis: millis, SeenAt: batch.Now}
	}
}

// EarlierLease returns the longest lease that the leaders so far may have given,
// which is at most bound.
func (s *State) EarlierLease(bound time.Duration) time.Duration {
	if s.lease.Millis <= 0 || s.lease.Millis > bound.Milliseconds() {
		return bound
	}
	return time.Duration(s.lease.Millis) * time.Millisecond
}
