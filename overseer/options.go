package overseer

import (
	"time"

	"cranberrystack.dev/cranberrystack/placer"
)

const (
	// DefaultTickInterval is the time between two checks of timeouts.
	DefaultTickInterval = 200 * time.Millisecond
	// DefaultOwnershipCheckInterval is the time between two checks of which
	// instance owns the placement.
	DefaultOwnershipCheckInterval = 300 * time.Millisecond
	// DefaultCommitTimeout bounds a proposal to the replicated log, and the
	// time that a caller waits until a decision is persisted.
	DefaultCommitTimeout = 5 * time.Second
	// DefaultPoolReportInterval is the time between two reports of the data
	// centre's capacity to the control instances.
	DefaultPoolReportInterval = 45 * time.Second
)

const (
	// copyTimeout bounds sending one update to a standby.
	copyTimeout = 500 * time.Millisecond
	// fullStateTimeout bounds the transfer of all jobs to or from a standby.
	fullStateTimeout = 10 * time.Second
	// standbyBackoffTime is how long a standby is skipped after a failure.
	standbyBackoffTime = 3 * time.Second
)

type options struct {
	tickInterval           time.Duration
	ownershipCheckInterval time.Duration
	commitTimeout          time.Duration
	poolReportInterval     time.Duration
	engineOptions          []placer.Option
}

// Option configures an Overseer.
type Option func(*options)

func newOptions(opts ...Option) options {
	o := options{
		tickInterval: DefaultTickInterval, ownershipCheckInterval: DefaultOwnershipCheckInterval,
		commitTimeout: DefaultCommitTimeout, poolReportInterval: DefaultPoolReportInterval,
	}
	for _, apply := range opts {
		apply(&o)
	}
	return o
}

// EngineOptions adds options for the placement engine.
func EngineOptions(opts ...placer.Option) Option {
	return func(o *options) { o.engineOptions = append(o.engineOptions, opts...) }
}
