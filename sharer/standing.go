package sharer

import (
	"cmp"
	"math"
)

// Standing is the weighted share of an account at one time, to which amounts that are
// about to be given to the account can be added. It does not change the Sharer.
type Standing struct {
	// amounts holds, for each resource, the mean of what is held and of its average.
	amounts  [MaxResources]float64
	capacity Amounts
	weight   float64
	share    float64
}

// Standing returns the standing of an account at a time, in a pool with the given
// capacity. An unknown account holds nothing. A weight that is not positive counts as
// 1, and a resource without capacity does not count.
func (s *Sharer) Standing(account Account, capacity Amounts, weight float64, now int64) Standing {
	if !(weight > 0) { // also for not-a-number
		weight = 1
	}
	standing := Standing{capacity: capacity, weight: weight}
	if u, known := s.accounts[account]; known {
		current := *u
		current.decay(s.elapsedAt(now), s.halfLifeMillis)
		for i := range current.held {
			standing.amounts[i] = (float64(current.held[i]) + current.average[i]) / 2
		}
	}
	standing.update()
	return standing
}

// Add adds amounts that the account is given now, times a count that is negative for
// amounts taken back.
func (s *Standing) Add(by Amounts, times int) {
	for i := range by {
		s.amounts[i] += float64(by[i]) * float64(times) / 2
	}
	s.update()
}

func (s *Standing) update() {
	dominant := 0.0
	for i, amount := range s.amounts {
		if s.capacity[i] > 0 {
			dominant = max(dominant, amount/float64(s.capacity[i]))
		}
	}
	s.share = dominant / s.weight
}

// Share returns the weighted dominant share. Without a weight other than 1 and with
// all that is held counted in the capacity, it is between 0 and 1.
func (s *Standing) Share() float64 { return s.share }

// shareResolution is the width of the steps in which shares are compared, so that the
// last remains of what a team held long ago don't decide.
const shareResolution = 1e-6

// Compare returns a negative number if s goes before o, since its weighted share is
// smaller, a positive one if it goes after it, and 0 if the two are equal. It is a
// strict weak order: shares are rounded to fixed steps.
func (s *Standing) Compare(o *Standing) int {
	if s == o || s.share == o.share {
		return 0
	}
	return cmp.Compare(math.Floor(s.share/shareResolution), math.Floor(o.share/shareResolution))
}
