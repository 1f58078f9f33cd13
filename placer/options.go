package placer

import "time"

const (
	// DefaultLeaseTTL is how long a worker may go on without its owner.
	DefaultLeaseTTL = 60 * time.Second
	// DefaultLeaseMargin is added by the owner for clocks that run unequally.
	DefaultLeaseMargin = 5 * time.Second
	// DefaultGrace is the time that reclaimed work has for a checkpoint.
	DefaultGrace = 30 * time.Second
	// DefaultUrgentGrace is that time when urgent work is waiting.
	DefaultUrgentGrace = time.Second
	// DefaultReportTimeout is the time after which a silent worker gets no new work.
	DefaultReportTimeout = 25 * time.Second
	// DefaultCommandTimeout is the time for a lease or start to be confirmed.
	DefaultCommandTimeout = 5 * time.Second
	// DefaultReserveAfter is the wait from which free accelerators are gathered
	// for a gang.
	DefaultReserveAfter = 20 * time.Minute
	// DefaultEndedJobRetention is how long ended jobs are remembered.
	DefaultEndedJobRetention = time.Hour
	// DefaultMaxJobs bounds the jobs that have not ended.
	DefaultMaxJobs = 50000
)

const (
	// failuresToQuarantine is the number of different jobs that fail on a
	// worker, with no success between, before it is set aside.
	failuresToQuarantine = 3
	// workersToGiveUp is the number of different workers that a job fails on
	// before it is given up.
	workersToGiveUp = 3
	// failuresToGiveUp bounds the failures of a job that has few workers to
	// run on.
	failuresToGiveUp = 6
	quarantineTime   = 10 * time.Minute
	// stragglerFactor is the multiple of the learnt run time from which a job
	// is told as a straggler.
	stragglerFactor = 5
	// usageTolerance is the part of a declared size that may be exceeded.
	usageTolerance = 0.1
	// lookInterval is the longest time between two looks at waiting jobs.
	lookInterval = 2 * time.Second
	// retryInterval is the time between two searches that walk all running
	// jobs for the same waiting one.
	retryInterval = time.Second
	// stopRetry is the time between two stops sent to a worker.
	stopRetry = 2 * time.Second
	// reclaimSlack is the time beyond the grace after which other victims are
	// looked for.
	reclaimSlack = time.Second
)

type options struct {
	lease          time.Duration
	leaseMargin    time.Duration
	grace          time.Duration
	urgentGrace    time.Duration
	silence        time.Duration
	commandTimeout time.Duration
	reserveAfter   time.Duration
	keepEnded      time.Duration
	maxJobs        int
}

// Option changes how an engine decides.
type Option func(*options)

func newOptions(opts ...Option) options {
	o := options{
		lease: DefaultLeaseTTL, leaseMargin: DefaultLeaseMargin, grace: DefaultGrace,
		urgentGrace: DefaultUrgentGrace, silence: DefaultReportTimeout,
		commandTimeout: DefaultCommandTimeout, reserveAfter: DefaultReserveAfter,
		keepEnded: DefaultEndedJobRetention, maxJobs: DefaultMaxJobs,
	}
	for _, apply := range opts {
		apply(&o)
	}
	return o
}

// Lease sets how long a worker may go on without its owner.
func Lease(lease, margin time.Duration) Option {
	return func(o *options) { o.lease, o.leaseMargin = lease, margin }
}

// Grace sets the time that reclaimed work has for a checkpoint.
func Grace(grace time.Duration) Option {
	return func(o *options) { o.grace = grace }
}

// ReportTimeout sets the time after which a silent worker gets no new work.
func ReportTimeout(silence time.Duration) Option {
	return func(o *options) { o.silence = silence }
}

// ReserveAfter sets the wait from which free accelerators are gathered for a
// gang.
func ReserveAfter(wait time.Duration) Option {
	return func(o *options) { o.reserveAfter = wait }
}
