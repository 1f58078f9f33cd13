// Package sharer keeps, for each team and each pool of resources, what the team holds
// now and what it has recently held, and derives from both the team's weighted
// dominant share, by which competing teams can be ordered.
//
// A team's share of a resource is the mean of the amount that it holds and of the
// exponentially decaying average of the amounts that it has held, relative to the
// capacity of the pool. Its dominant share is the largest of these; the weighted
// share is the dominant share divided by the team's weight.
//
// The package reads no clock. Times are Unix milliseconds and may jump backwards: only
// advances count, so that a jump delays the decay by the time until the next call.
package sharer

import (
	"cmp"
	"math"
	"slices"
)

// MaxResources is the largest number of resources that a Sharer can keep.
const MaxResources = 4

// Amounts holds an amount of each resource, in the order of the names given to New.
// Unused elements are 0.
type Amounts [MaxResources]int64

// maxAmount bounds what an account holds of a resource, so that sums don't overflow.
const maxAmount = 1 << 61

// Account names a team in one pool.
type Account struct {
	Team string `json:"team"`
	Pool string `json:"pool"`
}

// usage is what an account holds and has recently held.
type usage struct {
	// held is never negative.
	held Amounts
	// average is the decaying average of held up to the time at.
	average [MaxResources]float64
	// at is a time on the sharer's own time line (elapsed).
	at int64
	// used is the value of uses when the account last changed.
	used uint64
}

// Sharer keeps the accounts. It is not safe for concurrent use.
type Sharer struct {
	options
	// resources holds the names of the resources, at most MaxResources.
	resources []string
	accounts  map[Account]*usage
	// elapsed is the sum of all advances of the time in milliseconds. It never
	// decreases. last is the time of the last change.
	elapsed, last int64
	// uses counts the changes.
	uses uint64
}

// New returns a sharer of the named resources without accounts. Names beyond
// MaxResources are ignored.
func New(resources []string, opts ...Option) *Sharer {
	return &Sharer{
		options: newOptions(opts...), accounts: map[Account]*usage{},
		resources: slices.Clone(resources[:min(len(resources), MaxResources)]),
	}
}

// maxStep bounds one advance of the time. After a day, nothing of an earlier average
// is left at any sensible half-life.
const maxStep = 24 * 60 * 60 * 1000

// elapsedAt returns the value of elapsed at a time of day.
func (s *Sharer) elapsedAt(now int64) int64 {
	if now <= s.last {
		return s.elapsed
	}
	step := now - s.last
	if step < 0 || step > maxStep { // negative after an overflow
		step = maxStep
	}
	return s.elapsed + step
}

// decay advances the average to a time on the sharer's own time line. held has been
// constant since the last change, so the result does not depend on how often decay is
// called.
func (u *usage) decay(elapsed int64, halfLife float64) {
	if elapsed <= u.at {
		return
	}
	keep := math.Exp2(-float64(elapsed-u.at) / halfLife)
	for i, held := range u.held {
		u.average[i] = float64(held) + (u.average[i]-float64(held))*keep
	}
	u.at = elapsed
}

// Change adds to what an account holds; negative amounts release. The amount held
// never becomes negative: releases beyond it, for example of an account that was
// evicted in the meantime, are ignored.
func (s *Sharer) Change(account Account, by Amounts, now int64) {
	s.elapsed, s.last = s.elapsedAt(now), now
	u, known := s.accounts[account]
	if !known {
		if !by.anyPositive() {
			return
		}
		u = s.open(account)
	}
	u.decay(s.elapsed, s.halfLifeMillis)
	for i := range by {
		u.held[i] = addClamped(u.held[i], by[i])
	}
	s.uses++
	u.used = s.uses
}

// Assume adds to what an account holds, as if it had held it for long. It serves to
// start from what is held when nothing is known of the past.
func (s *Sharer) Assume(account Account, held Amounts) {
	u, known := s.accounts[account]
	if !known {
		u = s.open(account)
	}
	for i := range held {
		before := u.held[i]
		u.held[i] = addClamped(before, held[i])
		u.average[i] += float64(u.held[i] - before)
	}
	s.uses++
	u.used = s.uses
}

func (a Amounts) anyPositive() bool {
	for _, amount := range a {
		if amount > 0 {
			return true
		}
	}
	return false
}

// addClamped returns held plus by, limited to the range 0 to maxAmount.
func addClamped(held, by int64) int64 {
	return min(max(0, held+min(max(by, -maxAmount), maxAmount)), maxAmount)
}

// open returns a new account. At the limit it evicts another one first.
func (s *Sharer) open(account Account) *usage {
	if len(s.accounts) >= s.maxAccounts {
		s.evict()
	}
	u := &usage{at: s.elapsed}
	s.accounts[account] = u
	return u
}

// evict removes the least recently used of the accounts that hold nothing, or of all
// if each holds something.
func (s *Sharer) evict() {
	var victim Account
	var least *usage
	for account, u := range s.accounts {
		if least == nil || cmp.Or(u.compareUse(least), account.compare(victim)) < 0 {
			victim, least = account, u
		}
	}
	delete(s.accounts, victim)
}

// compareUse orders accounts that hold nothing before others, and each kind by its use.
func (u *usage) compareUse(o *usage) int {
	if idle := u.held == (Amounts{}); idle != (o.held == (Amounts{})) {
		if idle {
			return -1
		}
		return 1
	}
	return cmp.Compare(u.used, o.used)
}

// Retain removes the accounts that hold nothing and of whose teams keep returns false.
// Accounts that hold something stay, since their releases are still to come.
func (s *Sharer) Retain(keep func(team string) bool) {
	for account, u := range s.accounts {
		if u.held == (Amounts{}) && !keep(account.Team) {
			delete(s.accounts, account)
		}
	}
}

// Holding is what an account holds and has recently held, for operators.
type Holding struct {
	Account
	Held    Amounts
	Average [MaxResources]float64
}

// List returns all accounts at a time, in the order of teams and pools.
func (s *Sharer) List(now int64) []Holding {
	elapsed := s.elapsedAt(now)
	list := make([]Holding, 0, len(s.accounts))
	for account, u := range s.accounts {
		current := *u
		current.decay(elapsed, s.halfLifeMillis)
		list = append(list, Holding{Account: account, Held: current.held, Average: current.average})
	}
	slices.SortFunc(list, func(a, b Holding) int { return a.compare(b.Account) })
	return list
}

func (a Account) compare(b Account) int {
	return cmp.Or(cmp.Compare(a.Team, b.Team), cmp.Compare(a.Pool, b.Pool))
}
