package placer

import "time"

const (
	// DefaultLeaseTTL is how long a worker may run tasks without contact to the
	// owner.
	DefaultLeaseTTL = 60 * time.Second
	// DefaultLeaseMargin is added to the lease by the owner, since clocks run
	// at different rates.
	DefaultLeaseMargin = 5 * time.Second
	// DefaultGrace is the time that preempted jobs get for a checkpoint.
	DefaultGrace = 30 * time.Second
	// defaultUrgentGrace is the grace period of jobs preempted for an urgent job,
	// and of the rest of a gang of which a piece has failed or is lost.
	defaultUrgentGrace = time.Second
	// DefaultReportTimeout is the time without a report after which a worker
	// gets no new work.
	DefaultReportTimeout = 25 * time.Second
	// defaultCommandTimeout is the time within which a lease or start has to be
	// confirmed.
	defaultCommandTimeout = 5 * time.Second
	// DefaultReserveAfter is how long a gang waits before free accelerators
	// accumulate for it.
	DefaultReserveAfter = 20 * time.Minute
	// defaultEndedJobRetention is how long ended jobs are retained.
	defaultEndedJobRetention = time.Hour
	// defaultMaxJobs limits the number of jobs that have not ended.
	defaultMaxJobs = 50000
)

const (
	// quarantineThreshold is the number of different jobs whose failures are
	// attributed to a worker, with no success between them, at which it is
	// quarantined.
	quarantineThreshold = 3
	// maxFailedWorkers is the number of different workers, not counting
	// quarantined ones, on which a job has failed when it is no longer retried.
	maxFailedWorkers = 3
	// maxFailures is the same limit for the failures in total, for a job that
	// has few workers to run on.
	maxFailures        = 6
	quarantineDuration = 10 * time.Minute
	// maxCrashes is the number of consecutive crashes of workers within
	// crashSuspectTime of a job's start after which the job is no longer retried.
	maxCrashes       = 3
	crashSuspectTime = 2 * time.Second
	// stragglerFactor is the multiple of the mean run time beyond which a job
	// is reported as a straggler.
	stragglerFactor = 5
	// usageTolerance is the fraction by which a declared size may be exceeded.
	usageTolerance = 0.1
	// scheduleInterval is the longest time between two checks of the waiting
	// jobs.
	scheduleInterval = 2 * time.Second
	// searchInterval is the shortest time between two searches through all
	// running jobs for the same waiting job.
	searchInterval = time.Second
	// stopRetryInterval is the time, beyond the grace period, after which a
	// stop command is sent again.
	stopRetryInterval = 2 * time.Second
	// reclaimMargin is the time, beyond the grace period, after which other
	// victims are searched for.
	reclaimMargin = time.Second
)

type options struct {
	leaseTTL          time.Duration
	leaseMargin       time.Duration
	grace             time.Duration
	urgentGrace       time.Duration
	reportTimeout     time.Duration
	commandTimeout    time.Duration
	reserveAfter      time.Duration
	endedJobRetention time.Duration
	maxJobs           int
}

// Option configures an Engine.
type Option func(*options)

func newOptions(opts ...Option) options {
	o := options{
		leaseTTL: DefaultLeaseTTL, leaseMargin: DefaultLeaseMargin, grace: DefaultGrace,
		urgentGrace: defaultUrgentGrace, reportTimeout: DefaultReportTimeout,
		commandTimeout: defaultCommandTimeout, reserveAfter: DefaultReserveAfter,
		endedJobRetention: defaultEndedJobRetention, maxJobs: defaultMaxJobs,
	}
	for _, apply := range opts {
		apply(&o)
	}
	return o
}

// Lease sets how long a worker may run tasks without contact to the owner, and
// the margin that the owner adds.
func Lease(ttl, margin time.Duration) Option {
	return func(o *options) { o.leaseTTL, o.leaseMargin = ttl, margin }
}

// Grace sets the time that preempted jobs get for a checkpoint.
func Grace(grace time.Duration) Option {
	return func(o *options) { o.grace = grace }
}

// ReportTimeout sets the time without a report after which a worker gets no new
// work.
func ReportTimeout(timeout time.Duration) Option {
	return func(o *options) { o.reportTimeout = timeout }
}

// ReserveAfter sets how long a gang waits before free accelerators accumulate
// for it.
func ReserveAfter(wait time.Duration) Option {
	return func(o *options) { o.reserveAfter = wait }
}
