package limiter

import (
	"sync"
	"time"

	"cranberrystack.dev/cranberrystack/identifier"
)

const (
	// longRunTime is the run time from which a kind counts as long. It is also the
	// expected run time of a kind that was declared as long and has no samples yet.
	longRunTime = time.Second
	// minSampleWeight is the smallest weight of a new sample in a mean. The first
	// samples have the weight 1/n, so that a mean starts as the plain average.
	minSampleWeight = 0.05
	// initialShortRunTime is the expected run time of a kind that was declared as
	// short and has no samples yet.
	initialShortRunTime = 20 * time.Millisecond
	// longOverdueRatio is the ratio of overdue requests above which a kind counts
	// as long.
	longOverdueRatio = 0.5
	// maxKinds bounds the number of kinds that an estimator knows.
	maxKinds = 4096
)

type kindKey struct {
	member identifier.MemberID
	kind   string
}

// kindStats holds the statistics of one kind of request.
type kindStats struct {
	// mean is the moving average of the run time, in nanoseconds.
	mean  float64
	count int
	// overdueRatio is the moving average of the ratio of overdue requests, from 0
	// to 1, over overdueSamples samples.
	overdueRatio   float64
	overdueSamples int
}

// Estimator estimates the run time of each member's kinds of request from
// measurements. This tells short kinds from long ones even if callers declare
// them wrongly. It is safe for concurrent use.
type Estimator struct {
	mu    sync.Mutex
	kinds map[kindKey]*kindStats
}

// NewEstimator returns an estimator without samples.
func NewEstimator() *Estimator {
	return &Estimator{kinds: map[kindKey]*kindStats{}}
}

// Observe adds the run time of one answered request. A run time below
// DefaultMinOverdue also counts as a sample that is not overdue.
func (e *Estimator) Observe(member identifier.MemberID, kind string, took time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	stats, found := e.findOrAdd(member, kind)
	if !found {
		return
	}
	stats.count++
	rate := max(minSampleWeight, 1/float64(stats.count))
	stats.mean += rate * (float64(took) - stats.mean)
	if took < DefaultMinOverdue {
		stats.recordOverdue(0)
	}
}

// ObserveOverdue adds a request that has been running far longer than expected
// and has not ended. Without it, further requests of the kind would count as
// short until the first one ends.
func (e *Estimator) ObserveOverdue(member identifier.MemberID, kind string, elapsed time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	stats, found := e.findOrAdd(member, kind)
	if !found {
		return
	}
	if stats.count == 0 {
		stats.mean = max(stats.mean, float64(elapsed))
	}
	stats.recordOverdue(1)
}

// recordOverdue adds a sample to the overdue ratio: 1 for a request that is
// overdue, else 0.
func (s *kindStats) recordOverdue(overdue float64) {
	s.overdueSamples++
	rate := max(minSampleWeight, 1/float64(s.overdueSamples))
	s.overdueRatio += rate * (overdue - s.overdueRatio)
}

// findOrAdd returns the statistics of a kind. It returns false for a new kind if
// maxKinds kinds are known. The caller holds mu.
func (e *Estimator) findOrAdd(member identifier.MemberID, kind string) (*kindStats, bool) {
	key := kindKey{member, kind}
	stats, found := e.kinds[key]
	if found {
		return stats, true
	}
	if len(e.kinds) >= maxKinds {
		return nil, false
	}
	stats = &kindStats{}
	e.kinds[key] = stats
	return stats, true
}

// Estimate returns the class and the expected run time of a kind. A kind that is
// declared as long always counts as long. One that is declared as short counts
// as short until measurements show otherwise.
func (e *Estimator) Estimate(member identifier.MemberID, kind string, declared Class) (Class, time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	stats, found := e.kinds[kindKey{member, kind}]
	switch {
	case !found && declared == ClassLong:
		return ClassLong, longRunTime
	case !found:
		return ClassShort, initialShortRunTime
	}
	mean := time.Duration(stats.mean)
	if declared == ClassLong || mean >= longRunTime || stats.overdueRatio > longOverdueRatio {
		return ClassLong, mean
	}
	return ClassShort, mean
}
