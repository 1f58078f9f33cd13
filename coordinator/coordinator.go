// Package coordinator runs a scheduler over a replicated log. On the leader it
// handles calls, commits their changes, orders workers to start and stop runs,
// renews the leases of runs and records their ends. On other instances it only
// applies the log.
package coordinator

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"cranberrystack.dev/cranberrystack/forwarder"
	"cranberrystack.dev/cranberrystack/identifier"
	"cranberrystack.dev/cranberrystack/recorder"
	"cranberrystack.dev/cranberrystack/replicator"
	"cranberrystack.dev/cranberrystack/scheduler"
)

// Config holds the settings and dependencies of a coordinator.
type Config struct {
	ID identifier.InstanceID
	// Dir is the folder of the replicated log.
	Dir string
	// Address is the address of this instance for other instances.
	Address string
	// ReportTo is the address of this instance for workers and operators.
	ReportTo string
	// Seeds are the addresses of the initial voters.
	Seeds []string
	// Bootstrap allows this instance to form a new group; see replicator.Seeds.
	Bootstrap bool
	// Voters is the wanted number of voters.
	Voters    int
	Transport replicator.Transport
	Orders    Orders
	// Advise may be nil; then the steps that need advice never start.
	Advise         Advise
	MachineManager MachineManager
	// Announce requests another instance to add this one to the members of the
	// log. If it is nil, this instance can't join an existing log.
	Announce Announce
	// PassOn passes contacts of workers on to the leader. If it is nil, every report
	// is forwarded.
	PassOn   PassOn
	Recorder *recorder.Recorder
	Logger   log.Logger
}

// Announce tells the instance at an address that peer requests to join the log. It
// returns that instance's view of the leadership.
type Announce func(ctx context.Context, address string, peer replicator.Peer) (forwarder.Status, error)

// Coordinator schedules jobs on one member of the replicated log. It is safe for
// concurrent use. Lock order: mu of the coordinator, then locks of the recorder.
type Coordinator struct {
	config  Config
	options options
	node    *replicator.Node
	wake    chan struct{}
	// running is cancelled when the coordinator stops.
	running context.Context
	stop    context.CancelFunc
	done    sync.WaitGroup
	// contacts has a lock of its own.
	contacts contactRelay
	// namedMembers are the members of the log that another instance has named last, while
	// this one was not a member. It is nil before.
	namedMembers atomic.Pointer[[]string]

	mu    sync.Mutex
	state *scheduler.State
	// queue holds the proposals that are not submitted to the log yet.
	queue []*proposal
	// lead is nil while this instance is not the leader.
	lead *leadership
	// announcements holds the instances that requested to join the log.
	announcements []replicator.Announcement
	// verifiedIncarnations holds the incarnation that responded to each worker's
	// last poll. A failed poll removes it, since the connection may be lost.
	verifiedIncarnations map[identifier.WorkerID]scheduler.UnixMilli
	// appliedEntries counts the log entries that this instance has applied.
	appliedEntries uint64
	// catalogSince is when this instance last applied a new catalog or restored a
	// snapshot.
	catalogSince time.Time
	// announcedAt is when this instance last requested to join the log.
	announcedAt time.Time
	// stopping says that this instance must not become leader any more.
	stopping bool
	// changingMembership says that a membership change is in flight.
	changingMembership bool
	proposalsReady     chan struct{}
	// submitting is the footprint of the jobs that are being committed, in bytes.
	submitting int64
	tallies    runTallies
}

// leadership is the state of a leader during one leadership. ctx is cancelled
// when it ends. mu of the coordinator guards all fields but ctx, cancel and
// fencingToken, which do not change.
type leadership struct {
	ctx          context.Context
	cancel       context.CancelFunc
	fencingToken scheduler.FencingToken
	observer     *scheduler.Observer
	planner      *scheduler.Planner
	attempts     map[scheduler.RunID]*scheduler.StartAttempt
	// polling holds the workers that a pollWorker goroutine runs for.
	polling map[identifier.WorkerID]bool
	// droppingRuns holds the workers whose expired runs are being dropped.
	droppingRuns map[identifier.WorkerID]bool
	// assigning says that the assignments of a plan are being committed.
	assigning bool
	// plannedEntries is the value of appliedEntries at the last plan, plannedAt
	// its time, planTook how long it took, and waitingSteps the number of steps that
	// it left waiting.
	plannedEntries uint64
	plannedAt      time.Time
	planTook       time.Duration
	waitingSteps   int
	// unsentRuns holds the runs that were placed during this leadership and for
	// which no start was sent. A run of the same term that is not in it may stem
	// from an earlier leadership in that term.
	unsentRuns map[scheduler.RunID]bool
	// givenUp holds the runs whose drop or end has been proposed. No start of them may be
	// sent, also before that is committed: their tasks are placed again then.
	givenUp map[scheduler.RunID]bool
	// droppingUnsent says that a drop of unsent runs is being committed.
	droppingUnsent bool
	// adviceWanted holds the steps for which the last plan wants advice, without those
	// that were answered since.
	adviceWanted map[scheduler.StepID]bool
	// advising says that a goroutine sends the requests for advice.
	advising bool
	// paces holds the last ordered pace of each paced run, in percent. Entries of
	// ended runs stay.
	paces map[scheduler.RunID]int
	// stopEvents holds the stops ordered during this leadership, by job.
	stopEvents map[identifier.JobID][]scheduler.JobEvent
	// upkeepInFlight holds the machines whose upkeep state is being changed.
	upkeepInFlight map[scheduler.MachineID]bool
	// machines is the last list of the machine manager, requested at listedAt.
	machines []Machine
	listedAt time.Time
	listing  bool
	lapse    leaseLapse
	// startingGangs holds the gangs that were ordered to start during this leadership
	// and have not all started.
	startingGangs []*scheduler.GangStart
}

// Open restores the state from Config.Dir and starts to replicate the log.
func Open(config Config, opts ...Option) (*Coordinator, error) {
	c := &Coordinator{
		config: config, options: newOptions(opts...), state: scheduler.NewState(),
		verifiedIncarnations: map[identifier.WorkerID]scheduler.UnixMilli{},
		wake:                 make(chan struct{}, 1), proposalsReady: make(chan struct{}, 1),
	}
	machine := replicator.StateMachine{Apply: c.apply, Snapshot: c.snapshot, Restore: c.restore}
	seeds := replicator.Seeds{Address: config.Address, Addresses: config.Seeds, Bootstrap: config.Bootstrap}
	node, err := replicator.Open(config.ID, config.Dir, nil, machine, config.Transport,
		append([]replicator.Option{
			replicator.FromSeeds(seeds), replicator.Clock(c.options.clock),
			replicator.OnCompactionPutOff(func(err error) { c.event("compaction-put-off", "error", err) }),
		}, c.options.logOptions...)...)
	if err != nil {
		return nil, fmt.Errorf("open replicated log: %w", err)
	}
	c.node = node
	ctx, cancel := context.WithCancel(context.Background())
	c.running, c.stop = ctx, cancel
	c.contacts.pending = map[identifier.WorkerID]pendingContact{}
	if config.PassOn != nil {
		c.done.Add(1)
		go c.runContacts(ctx)
	}
	c.done.Add(2)
	go c.run(ctx)
	go c.runProposer(ctx)
	return c, nil
}

// Node returns this instance's node of the replicated log.
func (c *Coordinator) Node() *replicator.Node { return c.node }

// Stop requests a transfer of leadership, stops the node of the log, and waits for
// the main loop, the proposer, announcements and membership changes. It does not
// wait for calls to workers, whose context is cancelled.
func (c *Coordinator) Stop() {
	c.mu.Lock()
	c.stopping = true
	c.endLeadership("stopping")
	c.mu.Unlock()
	c.node.Stop()
	c.stop()
	c.done.Wait()
}

// Status returns the leader and the members of the log as this instance knows
// them.
func (c *Coordinator) Status() forwarder.Status {
	view := c.node.Leadership()
	status := forwarder.Status{Leader: view.Leader.Address, HoldsLeaderLease: c.node.HoldsLeaderLease(), ReportTo: c.config.ReportTo}
	for _, peer := range view.Membership.Members() {
		status.Members = append(status.Members, peer.Address)
	}
	return status
}

func (c *Coordinator) apply(_ uint64, data []byte) any {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.appliedEntries++
	version := c.state.Catalog().Version
	results, err := c.state.Apply(data)
	if err != nil {
		c.event("entry-decode-failed", "error", err)
		return []scheduler.Result(nil)
	}
	if c.state.Catalog().Version != version {
		c.catalogSince = time.Now()
	}
	if c.lead != nil {
		for i := range results {
			c.logRestart(&results[i])
		}
	}
	c.wakeLoop()
	return results
}

func (c *Coordinator) snapshot() ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.Snapshot()
}

func (c *Coordinator) restore(data []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.state.Restore(data); err != nil {
		return fmt.Errorf("restore scheduler state from snapshot: %w", err)
	}
	c.catalogSince = time.Now()
	return nil
}

// wakeLoop makes the main loop run reconcile at once.
func (c *Coordinator) wakeLoop() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// counterNames holds the published counter names of events that were renamed.
// Counter names are published under /debug/vars and stay when an event is
// renamed.
var counterNames = map[string]string{
	"advice-response":           "advice",
	"assign-unknown":            "assign-lost",
	"catalog-configured":        "catalog",
	"entry-decode-failed":       "entry-unreadable",
	"leadership-acquired":       "office-taken",
	"leadership-lost":           "office-left",
	"leases-expired":            "leases-lapsed",
	"log-stopped":               "log-ended",
	"machine-list-failed":       "machines-unknown",
	"membership-change-started": "membership-change",
	"orphaned-run":              "stray-run",
	"pace-ordered":              "pace",
	"run-ended":                 "end",
	"start-ordered":             "start",
	"stop-ordered":              "stop",
	"stop-resent":               "stop-again",
	"submit-unknown":            "submit-open",
	"upkeep-response":           "upkeep-answer",
	"upkeep-state-changed":      "upkeep",
	"wave-accepted":             "wave",
	"worker-registered":         "worker",
	"worker-responsive":         "worker-back",
	"worker-unresponsive":       "worker-silent",
}

// event logs an event and counts it.
func (c *Coordinator) event(name string, pairs ...any) {
	c.countEvent(name)
	_ = c.config.Logger.Log(append([]any{"event", name}, pairs...)...)
}

// countEvent counts an event under its published name.
func (c *Coordinator) countEvent(name string) {
	counter := name
	if published, renamed := counterNames[name]; renamed {
		counter = published
	}
	c.config.Recorder.Add("events."+counter, 1)
}

// wallTime returns the current wall-clock time.
func wallTime() scheduler.UnixMilli { return scheduler.UnixMilli(time.Now().UnixMilli()) }

// run calls reconcile whenever it is woken or due, until the coordinator or its
// log stops.
func (c *Coordinator) run(ctx context.Context) {
	defer c.done.Done()
	timer := time.NewTimer(c.options.idleTick)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.node.Done():
			c.event("log-stopped", "error", c.node.Wait())
			c.mu.Lock()
			c.endLeadership("log stopped")
			c.mu.Unlock()
			return
		case <-c.wake:
		case <-timer.C:
		}
		timer.Reset(c.reconcile(time.Now()))
	}
}

// reconcile updates the leadership. It then does the leader's pending work, or
// announces this instance if it is not the leader. It returns the longest time
// until it must run again.
func (c *Coordinator) reconcile(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.updateLeadership(now)
	c.observeLease(now)
	c.flushDueTallies(now)
	if c.lead == nil {
		c.announce(now)
		return c.options.idleTick
	}
	c.dropExpired(now)
	c.checkGangStarts(now)
	c.plan(now)
	c.advanceWaves(now)
	c.reconcileMembership(now)
	if c.state.Statistics().ActiveJobs == 0 && c.state.Statistics().Runs == 0 {
		return c.options.idleTick
	}
	if pause := c.lead.planPauseLeft(now); pause > 0 && c.appliedEntries != c.lead.plannedEntries {
		return min(c.options.tick, pause)
	}
	return c.options.tick
}

// updateLeadership ends the leadership if this instance is no longer the leader
// or leads in another term, and begins one once its leader lease is valid. The
// caller holds mu.
func (c *Coordinator) updateLeadership(now time.Time) {
	view := c.node.Leadership()
	holdsLease := c.node.HoldsLeaderLease()
	if c.lead != nil && (!view.IsLeader || scheduler.FencingToken(view.Term) != c.lead.fencingToken) {
		c.endLeadership("term or leader changed")
	}
	if c.lead != nil || !holdsLease || c.stopping {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	c.lead = &leadership{
		ctx: ctx, cancel: cancel, fencingToken: scheduler.FencingToken(view.Term),
		observer:       scheduler.NewObserver(now, c.options.maxLease, c.options.contactTimeout),
		planner:        scheduler.NewPlanner(),
		attempts:       map[scheduler.RunID]*scheduler.StartAttempt{},
		unsentRuns:     map[scheduler.RunID]bool{},
		givenUp:        map[scheduler.RunID]bool{},
		polling:        map[identifier.WorkerID]bool{},
		droppingRuns:   map[identifier.WorkerID]bool{},
		adviceWanted:   map[scheduler.StepID]bool{},
		paces:          map[scheduler.RunID]int{},
		stopEvents:     map[identifier.JobID][]scheduler.JobEvent{},
		upkeepInFlight: map[scheduler.MachineID]bool{},
	}
	c.lead.planner.FairShare = c.options.fairShare
	c.lead.planner.LearnedRunTimes = c.options.learnRunTimes
	c.lead.planner.StopTime = c.options.stopTime
	c.lead.observer.EarlierLease = c.state.EarlierLease(c.options.maxLease)
	statistics := c.state.Statistics()
	c.event("leadership-acquired", "term", view.Term, "commit", view.Commit, "catalog-version", statistics.CatalogVersion,
		"jobs", statistics.ActiveJobs, "runs", statistics.Runs, "workers", statistics.Workers)
	for _, worker := range c.state.Workers() {
		if worker.State != scheduler.WorkerLeft || len(c.state.RunsOn(worker.ID)) > 0 {
			c.lead.observer.Track(worker.ID, worker.Incarnation, now)
			c.ensurePolling(worker.ID)
		}
	}
}

// endLeadership ends the leadership, if there is one. The caller holds mu.
func (c *Coordinator) endLeadership(reason string) {
	if c.lead == nil {
		return
	}
	c.flushTallies(func(tallyKey, *runTally) bool { return true })
	c.event("leadership-lost", "term", uint64(c.lead.fencingToken), "reason", reason)
	c.lead.cancel()
	c.lead = nil
}

// leads reports whether a leadership is the current one and its leader lease is
// valid. The caller holds mu.
func (c *Coordinator) leads(lead *leadership) bool {
	return c.lead == lead && c.node.HoldsLeaderLease()
}
