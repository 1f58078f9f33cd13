// Package coordinator runs a scheduler over a replicated log. On the leader it
// takes calls, commits what they change, orders workers to start and stop
// runs, keeps their leases, and takes note of their ends. On the others it
// only applies the log.
package coordinator

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/go-kit/log"

	"cranberrystack.dev/cranberrystack/forwarder"
	"cranberrystack.dev/cranberrystack/identifier"
	"cranberrystack.dev/cranberrystack/recorder"
	"cranberrystack.dev/cranberrystack/replicator"
	"cranberrystack.dev/cranberrystack/scheduler"
)

// Config sets up a coordinator.
type Config struct {
	ID  identifier.InstanceID
	Dir string
	// Address is where other instances reach this one.
	Address string
	// ReportTo is where workers and operators reach this instance.
	ReportTo string
	Seeds    []string
	// Bootstrap allows a new group; see replicator.Seeds.
	Bootstrap bool
	// Voters is how many instances vote.
	Voters         int
	Transport      replicator.Transport
	Orders         Orders
	Advise         Advise
	MachineManager MachineManager
	// Announce asks an instance to take this one into the log, and returns who
	// leads as that one knows it.
	Announce Announce
	Recorder *recorder.Recorder
	Logger   log.Logger
}

// Announce tells the instance at an address of an instance that asks to hold
// the log.
type Announce func(ctx context.Context, address string, peer replicator.Peer) (forwarder.Status, error)

// Coordinator is one instance that holds the log. It is safe for concurrent
// use. Lock order: mu of the coordinator, then locks of the recorder.
type Coordinator struct {
	config  Config
	options options
	node    *replicator.Node
	wake    chan struct{}
	// running ends when the coordinator stops.
	running context.Context
	stop    context.CancelFunc
	done    sync.WaitGroup

	mu            sync.Mutex
	state         *scheduler.State
	queue         []*proposal
	lead          *leadership
	announcements []replicator.Announcement
	// verifiedIncarnations holds the life that each worker's last look was answered by, on
	// a connection that still exists.
	verifiedIncarnations map[identifier.WorkerID]scheduler.UnixMilli
	// appliedEntries counts the entries of the log that were appliedEntries here.
	appliedEntries uint64
	// catalogSince is when the catalog in force came here.
	catalogSince time.Time
	// announcedAt is when this instance last asked to be taken in.
	announcedAt time.Time
	// stopping says that the instance takes no office any more.
	stopping bool
	// changingMembership says that a change of the membership is under way.
	changingMembership bool
	proposalsReady     chan struct{}
}

// leadership is what a leader keeps until it loses its office.
type leadership struct {
	ctx          context.Context
	cancel       context.CancelFunc
	fencingToken scheduler.FencingToken
	observer     *scheduler.Observer
	planner      *scheduler.Planner
	attempts     map[scheduler.RunID]*scheduler.StartAttempt
	polling      map[identifier.WorkerID]bool
	// droppingRuns holds the workers whose runs are being forgotten.
	droppingRuns map[identifier.WorkerID]bool
	// assigning says that placements are being committed.
	assigning bool
	// plannedEntries counts the entries that were applied when the last plan was made,
	// plannedAt is when that was, and waiting is the number of steps that waited.
	plannedEntries uint64
	plannedAt      time.Time
	waitingSteps   int
	// unsentRuns holds the runs that this office has placed and sent no start for.
	// A run of the same term that is not in it may be that of an earlier office.
	unsentRuns map[scheduler.RunID]bool
	// droppingUnsent says that runs that were never sent are being forgotten.
	droppingUnsent  bool
	adviceRequested map[scheduler.StepID]bool
	paces           map[scheduler.RunID]int
	// stopEvents holds the stopEvents ordered in this office, by job.
	stopEvents     map[identifier.JobID][]scheduler.JobEvent
	upkeepInFlight map[scheduler.MachineID]bool
	machines       []Machine
	listedAt       time.Time
	listing        bool
}

// Open restores the state from the folder and joins the log.
func Open(config Config, opts ...Option) (*Coordinator, error) {
	c := &Coordinator{
		config: config, options: newOptions(opts...), state: scheduler.NewState(),
		verifiedIncarnations: map[identifier.WorkerID]scheduler.UnixMilli{},
		wake:                 make(chan struct{}, 1), proposalsReady: make(chan struct{}, 1),
	}
	machine := replicator.StateMachine{Apply: c.apply, Snapshot: c.snapshot, Restore: c.restore}
	seeds := replicator.Seeds{Address: config.Address, Addresses: config.Seeds, Bootstrap: config.Bootstrap}
	node, err := replicator.Open(config.ID, config.Dir, nil, machine, config.Transport,
		append([]replicator.Option{replicator.FromSeeds(seeds), replicator.Clock(c.options.clock)}, c.options.logOptions...)...)
	if err != nil {
		return nil, fmt.Errorf("open the log: %w", err)
	}
	c.node = node
	ctx, cancel := context.WithCancel(context.Background())
	c.running, c.stop = ctx, cancel
	c.done.Add(2)
	go c.run(ctx)
	go c.runProposer(ctx)
	return c, nil
}

// Node returns the replicated log.
func (c *Coordinator) Node() *replicator.Node { return c.node }

// Stop hands leadership over and ends.
func (c *Coordinator) Stop() {
	c.mu.Lock()
	c.stopping = true
	c.endLeadership("stopping")
	c.mu.Unlock()
	c.node.Stop()
	c.stop()
	c.done.Wait()
}

// Status says who leads.
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
		c.event("entry-unreadable", "error", err)
		return []scheduler.Result(nil)
	}
	if c.state.Catalog().Version != version {
		c.catalogSince = time.Now()
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
		return fmt.Errorf("restore the state: %w", err)
	}
	c.catalogSince = time.Now()
	return nil
}

// wakeLoop makes the main loop look again.
func (c *Coordinator) wakeLoop() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// event logs one decision or change of belief.
func (c *Coordinator) event(name string, pairs ...any) {
	c.config.Recorder.Add("events."+name, 1)
	_ = c.config.Logger.Log(append([]any{"event", name}, pairs...)...)
}

// wallTime returns the time of day.
func wallTime() scheduler.UnixMilli { return scheduler.UnixMilli(time.Now().UnixMilli()) }

// run is the main loop: it takes office, plans, and gives it up.
func (c *Coordinator) run(ctx context.Context) {
	defer c.done.Done()
	timer := time.NewTimer(c.options.idleTick)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.node.Done():
			c.event("log-ended", "error", c.node.Failure())
			return
		case <-c.wake:
		case <-timer.C:
		}
		timer.Reset(c.reconcile(time.Now()))
	}
}

// reconcile does what is due and returns when to look again at the latest.
func (c *Coordinator) reconcile(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.updateLeadership(now)
	if c.lead == nil {
		c.announce(now)
		return c.options.idleTick
	}
	c.dropExpired(now)
	c.plan(now)
	c.advanceWaves(now)
	c.reconcileMembership(now)
	if c.state.Statistics().Active == 0 && c.state.Statistics().Runs == 0 {
		return c.options.idleTick
	}
	return c.options.tick
}

// updateLeadership notices that this instance has become or is no longer leader.
func (c *Coordinator) updateLeadership(now time.Time) {
	view := c.node.Leadership()
	holdsLease := c.node.HoldsLeaderLease()
	if c.lead != nil && (!view.IsLeader || scheduler.FencingToken(view.Term) != c.lead.fencingToken) {
		c.endLeadership("another term")
	}
	if c.lead != nil || !holdsLease || c.stopping {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	c.lead = &leadership{
		ctx: ctx, cancel: cancel, fencingToken: scheduler.FencingToken(view.Term),
		observer:        scheduler.NewObserver(now, c.options.maxLease, c.options.contactTimeout),
		planner:         scheduler.NewPlanner(),
		attempts:        map[scheduler.RunID]*scheduler.StartAttempt{},
		unsentRuns:      map[scheduler.RunID]bool{},
		polling:         map[identifier.WorkerID]bool{},
		droppingRuns:    map[identifier.WorkerID]bool{},
		adviceRequested: map[scheduler.StepID]bool{},
		paces:           map[scheduler.RunID]int{},
		stopEvents:      map[identifier.JobID][]scheduler.JobEvent{},
		upkeepInFlight:  map[scheduler.MachineID]bool{},
	}
	statistics := c.state.Statistics()
	c.event("office-taken", "term", view.Term, "commit", view.Commit, "version", statistics.Version,
		"jobs", statistics.Active, "runs", statistics.Runs, "workers", statistics.Workers)
	for _, worker := range c.state.Workers() {
		if worker.State != scheduler.WorkerGone || len(c.state.Placed(worker.ID)) > 0 {
			c.lead.observer.Track(worker.ID, worker.Incarnation, now)
			c.ensurePolling(worker.ID)
		}
	}
}

func (c *Coordinator) endLeadership(reason string) {
	if c.lead == nil {
		return
	}
	c.event("office-left", "term", uint64(c.lead.fencingToken), "reason", reason)
	c.lead.cancel()
	c.lead = nil
}

// leads reports whether this instance still leads in the given office. The
// caller holds mu.
func (c *Coordinator) leads(lead *leadership) bool {
	return c.lead == lead && c.node.HoldsLeaderLease()
}
