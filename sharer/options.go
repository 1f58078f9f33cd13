package sharer

import "time"

const (
	// DefaultHalfLife is the half-life of what a team has held. It is a few run times
	// of short tasks, so that a team is not ahead again as soon as one wave of its
	// tasks has ended.
	DefaultHalfLife = 10 * time.Second
	// DefaultMaxAccounts bounds the accounts, and so the memory and the snapshot, and
	// the teams too: a team has at least one.
	DefaultMaxAccounts = 4096
)

type options struct {
	halfLifeMillis float64
	maxAccounts    int
}

// Option changes a setting of a Sharer.
type Option func(*options)

func newOptions(opts ...Option) options {
	o := options{halfLifeMillis: float64(DefaultHalfLife.Milliseconds()), maxAccounts: DefaultMaxAccounts}
	for _, apply := range opts {
		apply(&o)
	}
	return o
}

// HalfLife sets the half-life of what a team has held, at least a millisecond.
func HalfLife(d time.Duration) Option {
	return func(o *options) { o.halfLifeMillis = max(1, float64(d)/float64(time.Millisecond)) }
}

// MaxAccounts sets the largest number of accounts, at least 1.
func MaxAccounts(count int) Option {
	return func(o *options) { o.maxAccounts = max(1, count) }
}
