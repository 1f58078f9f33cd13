package limiter

import (
	"sync"
	"time"

	"cranberrystack.dev/cranberrystack/identifier"
)

const (
	// longThreshold is the run time from which a kind counts as long.
	longThreshold = time.Second
	// learnRate is the part that a new measurement takes in the mean.
	learnRate = 0.05
	// firstGuess is the expected run time of a kind declared as short.
	firstGuess = 20 * time.Millisecond
	// mostlyOverdue is the part of overdue requests that makes a kind long.
	mostlyOverdue = 0.5
	maxKinds      = 4096
)

type kindKey struct {
	member identifier.MemberID
	kind   string
}

type measured struct {
	mean  float64
	count int
	// overdue is the part of lately judged requests that ran far too long.
	overdue float64
	judged  int
}

// Estimator estimates the run time of each member's kinds of request from what
// was measured, and so tells short kinds from long ones whatever their callers
// declare. It is safe for concurrent use.
type Estimator struct {
	mu    sync.Mutex
	kinds map[kindKey]*measured
}

// NewEstimator returns a learner that knows nothing.
func NewEstimator() *Estimator {
	return &Estimator{kinds: map[kindKey]*measured{}}
}

// Observe takes the run time of one answered request.
func (l *Estimator) Observe(member identifier.MemberID, kind string, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known, found := l.find(member, kind)
	if !found {
		return
	}
	known.count++
	rate := max(learnRate, 1/float64(known.count))
	known.mean += rate * (float64(took) - known.mean)
	if took < DefaultMinOverdue {
		known.judge(0)
	}
}

// ObserveOverdue takes note of a request that is still running far beyond what was
// expected of its kind, so that more of the kind are not taken for short until
// the first has ended.
func (l *Estimator) ObserveOverdue(member identifier.MemberID, kind string, elapsed time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known, found := l.find(member, kind)
	if !found {
		return
	}
	if known.count == 0 {
		known.mean = max(known.mean, float64(elapsed))
	}
	known.judge(1)
}

func (m *measured) judge(overdue float64) {
	m.judged++
	rate := max(learnRate, 1/float64(m.judged))
	m.overdue += rate * (overdue - m.overdue)
}

// find returns what is known of a kind; the caller holds mu.
func (l *Estimator) find(member identifier.MemberID, kind string) (*measured, bool) {
	key := kindKey{member, kind}
	known, found := l.kinds[key]
	if found {
		return known, true
	}
	if len(l.kinds) >= maxKinds {
		return nil, false
	}
	known = &measured{}
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
		return ClassLong, longThreshold
	case !found:
		return ClassShort, firstGuess
	}
	mean := time.Duration(known.mean)
	if declared == ClassLong || mean >= longThreshold || known.overdue > mostlyOverdue {
		return ClassLong, mean
	}
	return ClassShort, mean
}
