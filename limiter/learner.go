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
	maxKinds   = 4096
)

type kindKey struct {
	member identifier.MemberID
	kind   string
}

type measured struct {
	mean  float64
	count int
}

// Learner estimates the run time of each member's kinds of request from what
// was measured, and so tells short kinds from long ones whatever their callers
// declare. It is safe for concurrent use.
type Learner struct {
	mu    sync.Mutex
	kinds map[kindKey]*measured
}

// NewLearner returns a learner that knows nothing.
func NewLearner() *Learner {
	return &Learner{kinds: map[kindKey]*measured{}}
}

// Observe takes the run time of one answered request.
func (l *Learner) Observe(member identifier.MemberID, kind string, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := kindKey{member, kind}
	known, found := l.kinds[key]
	if !found {
		if len(l.kinds) >= maxKinds {
			return
		}
		known = &measured{}
		l.kinds[key] = known
	}
	known.count++
	rate := max(learnRate, 1/float64(known.count))
	known.mean += rate * (float64(took) - known.mean)
}

// Judge returns the class and the expected run time of a kind. The declared
// class counts only until something was measured.
func (l *Learner) Judge(member identifier.MemberID, kind string, declared Class) (Class, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known, found := l.kinds[kindKey{member, kind}]
	if !found {
		if declared == ClassLong {
			return ClassLong, longThreshold
		}
		return ClassShort, firstGuess
	}
	mean := time.Duration(known.mean)
	if mean >= longThreshold {
		return ClassLong, mean
	}
	if declared == ClassLong {
		return ClassLong, mean
	}
	return ClassShort, mean
}
