package limiter

import (
	"sync"
	"time"

	"cranberrystack.dev/cranberrystack/identifier"
)

const (
	// longRunTime is the run time from which a kind counts as long.
	longRunTime = time.Second
	// minSampleWeight is the part that a new measurement takes in the mean.
	minSampleWeight = 0.05
	// initialShortRunTime is the expected run time of a kind declared as short.
	initialShortRunTime = 20 * time.Millisecond
	// longOverdueRatio is the part of overdue requests that makes a kind long.
	longOverdueRatio = 0.5
	maxKinds         = 4096
)

type kindKey struct {
	member identifier.MemberID
	kind   string
}

type kindStats struct {
	mean  float64
	count int
	// overdueRatio is the part of lately judged requests that ran far too long.
	overdueRatio   float64
	overdueSamples int
}

// Estimator estimates the run time of each member's kinds of request from what
// was measured, and so tells short kinds from long ones whatever their callers
// declare. It is safe for concurrent use.
type Estimator struct {
	mu    sync.Mutex
	kinds map[kindKey]*kindStats
}

// NewEstimator returns a learner that knows nothing.
func NewEstimator() *Estimator {
	return &Estimator{kinds: map[kindKey]*kindStats{}}
}

// Observe takes the run time of one answered request.
func (l *Estimator) Observe(member identifier.MemberID, kind string, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known, found := l.findOrAdd(member, kind)
	if !found {
		return
	}
	known.count++
	rate := max(minSampleWeight, 1/float64(known.count))
	known.mean += rate * (float64(took) - known.mean)
	if took < DefaultMinOverdue {
		known.recordOverdue(0)
	}
}

// ObserveOverdue takes note of a request that is still running far beyond what was
// expected of its kind, so that more of the kind are not taken for short until
// the first has ended.
func (l *Estimator) ObserveOverdue(member identifier.MemberID, kind string, elapsed time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known, found := l.findOrAdd(member, kind)
	if !found {
		return
	}
	if known.count == 0 {
		known.mean = max(known.mean, float64(elapsed))
	}
	known.recordOverdue(1)
}

func (m *kindStats) recordOverdue(overdue float64) {
	m.overdueSamples++
	rate := max(minSampleWeight, 1/float64(m.overdueSamples))
	m.overdueRatio += rate * (overdue - m.overdueRatio)
}

// findOrAdd returns what is known of a kind; the caller holds mu.
func (l *Estimator) findOrAdd(member identifier.MemberID, kind string) (*kindStats, bool) {
	key := kindKey{member, kind}
	known, found := l.kinds[key]
	if found {
		return known, true
	}
	if len(l.kinds) >= maxKinds {
		return nil, false
	}
	known = &kindStats{}
	l.kinds[key] = known
	return known, true
}

// Estimate returns the class and the expected run time of a kind. The declared
// class counts only until something was measured.
func (l *Estimator) Estimate(member identifier.MemberID, kind string, declared Class) (Class, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known, found := l.kinds[kindKey{member, kind}]
	switch {
	case !found && declared == ClassLong:
		return ClassLong, longRunTime
	case !found:
		return ClassShort, initialShortRunTime
	}
	mean := time.Duration(known.mean)
	if declared == ClassLong || mean >= longRunTime || known.overdueRatio > longOverdueRatio {
		return ClassLong, mean
	}
	return ClassShort, mean
}
