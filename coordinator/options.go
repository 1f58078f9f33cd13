package coordinator

import (
	"cmp"
	"time"

	"cranberrystack.dev/cranberrystack/identifier"
	"cranberrystack.dev/cranberrystack/replicator"
)

const (
	// DefaultMaxLease bounds the leases of runs on a worker.
	DefaultMaxLease = 6 * time.Second
	// defaultLease is the lease of runs, if MaxLease allows it. Two thirds of it, what
	// is left at least, outlast a change of the leader and most partitions; a longer
	// one delays the restart of what ran on a lost worker.
	defaultLease = 8 * time.Second
	// defaultStartLease is the time within which a worker may accept a start, and
	// the first lease of the started run.
	defaultStartLease = 2500 * time.Millisecond
	// defaultContactTimeout is the time since the last contact after which a
	// worker gets no new runs.
	defaultContactTimeout = 4 * time.Second
	// defaultCallTimeout bounds one call that sends an order to a worker.
	defaultCallTimeout = 500 * time.Millisecond
	// DefaultGangWait is how long a member of a gang waits for the others.
	DefaultGangWait = 3 * time.Second
	// DefaultJobMemory bounds the memory that jobs take on each instance, in bytes.
	DefaultJobMemory = 40 << 20
	// DefaultDutyLease is how long a new leader sends no upkeep orders, since the
	// previous leader may still send them.
	DefaultDutyLease = 3 * time.Second
	// defaultTickInterval is the longest time between two passes of the main loop.
	defaultTickInterval = 100 * time.Millisecond
	// defaultIdleTickInterval is that time while there is no job and no run, or on
	// any instance but the leader.
	defaultIdleTickInterval = 250 * time.Millisecond
)

const (
	commitTimeout    = 5 * time.Second
	announceInterval = 500 * time.Millisecond
	maxBatchCommands = 256
	// maxBatchBytes bounds the callers' documents in one log entry. An entry that the
	// log can't hold would end each leader in turn.
	maxBatchBytes = 4 << 20
)

type options struct {
	maxLease time.Duration
	lease    time.Duration
	// heldPolls is the number of polled workers up to which polls are held; 0 means
	// no bound.
	heldPolls      int
	jobMemory      int64
	startLease     time.Duration
	contactTimeout time.Duration
	callTimeout    time.Duration
	dutyLease      time.Duration
	fairShare      bool
	learnRunTimes  bool
	stopTime       time.Duration
	gangWait       time.Duration
	tick           time.Duration
	idleTick       time.Duration
	clock          func() time.Duration
	dataCenters    []identifier.DataCenterID
	logOptions     []replicator.Option
}

// Option changes a setting of a coordinator.
type Option func(*options)

func newOptions(opts ...Option) options {
	start := time.Now()
	o := options{
		maxLease: DefaultMaxLease, gangWait: DefaultGangWait, jobMemory: DefaultJobMemory, startLease: defaultStartLease,
		contactTimeout: defaultContactTimeout, callTimeout: defaultCallTimeout, dutyLease: DefaultDutyLease,
		tick: defaultTickInterval, idleTick: defaultIdleTickInterval,
		clock: func() time.Duration { return time.Since(start) },
	}
	for _, apply := range opts {
		apply(&o)
	}
	o.lease = min(o.maxLease, defaultLease)
	return o
}

// MaxLease sets the upper bound of the leases of runs on a worker.
func MaxLease(lease time.Duration) Option {
	return func(o *options) { o.maxLease = lease }
}

// HeldPolls sets the number of polled workers beyond which the leader holds no polls,
// since it lacks the connections for that. A worker is then polled four times a lease.
func HeldPolls(workers int) Option {
	return func(o *options) { o.heldPolls = workers }
}

// JobMemory bounds the memory that jobs take on each instance, in bytes. Further jobs
// are refused.
func JobMemory(limit int64) Option {
	return func(o *options) { o.jobMemory = limit }
}

// DutyLease sets how long a new leader sends no upkeep orders, since the previous
// leader may still send them.
func DutyLease(lease time.Duration) Option {
	return func(o *options) { o.dutyLease = lease }
}

// LearnRunTimes sets whether the leader plans with learned run times and paces of
// workers instead of the declared estimates. They are learned in either case.
func LearnRunTimes(learned bool) Option {
	return func(o *options) { o.learnRunTimes = learned }
}

// StopTime sets the longest time that a worker takes to stop a run; 0 if it is unknown.
// If it is long compared with the slack of urgent work, all other work leaves a reserve
// free for it.
func StopTime(limit time.Duration) Option {
	return func(o *options) { o.stopTime = limit }
}

// GangWait sets how long a member of a gang waits for the others to start before its
// worker ends it; 0 means DefaultGangWait.
func GangWait(limit time.Duration) Option {
	return func(o *options) { o.gangWait = cmp.Or(limit, DefaultGangWait) }
}

// Clock sets the clock that leader leases are measured with. It must advance
// while the instance is suspended.
func Clock(clock func() time.Duration) Option {
	return func(o *options) { o.clock = clock }
}

// DataCenters names data centres that operators may empty although no worker has
// registered there yet.
func DataCenters(names ...identifier.DataCenterID) Option {
	return func(o *options) { o.dataCenters = names }
}

// LogOptions sets options of the replicated log.
func LogOptions(opts ...replicator.Option) Option {
	return func(o *options) { o.logOptions = opts }
}
