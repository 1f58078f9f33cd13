// Package overseer runs the placement of one data centre. One instance at a
// time owns it, as the replicated log says; the others keep a copy of its jobs
// and stand ready to follow.
//
// Locks are taken in this order: Overseer.mu, then the follower's.
package overseer

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"cranberrystack.dev/cranberrystack/announcer"
	"cranberrystack.dev/cranberrystack/configurer"
	"cranberrystack.dev/cranberrystack/controller"
	"cranberrystack.dev/cranberrystack/identifier"
	"cranberrystack.dev/cranberrystack/messenger"
	"cranberrystack.dev/cranberrystack/placer"
	"cranberrystack.dev/cranberrystack/recorder"
)

// Role is the role of instances that can own a data centre's placement.
const Role = "placement"

// ErrNotOwner reports an instance that does not own the placement now.
var ErrNotOwner = eris.New("not the owner of the data centre's placement")

// ErrNoOwner reports that no owner can be reached.
var ErrNoOwner = eris.New("no owner of the data centre's placement can be reached")

// Dependencies are what an overseer is put together from.
type Dependencies struct {
	Self        announcer.Member
	Announcer   *announcer.Announcer
	Messenger   *messenger.Messenger
	Control     *controller.Client
	ViewReplica *configurer.ViewReplica
	Recorder    *recorder.Recorder
	DataCenter  identifier.DataCenterID
	// DataCenterCount is the number of data centres that share plans' limits.
	DataCenterCount int
	// Dir is the folder for the jobs; empty keeps them in memory only, here
	// and on the copies.
	Dir string
	// OnFailure ends the process when jobs can't be kept any more.
	OnFailure func(error)
	// LogEvent logs one event.
	LogEvent func(event string, details ...any)
}

// Overseer is one instance's part in the placement of its data centre. It is
// safe for concurrent use.
type Overseer struct {
	parts   Dependencies
	options options
	store   *store

	// mu guards the fields below. It is never held during I/O.
	mu sync.Mutex
	// engine is nil unless this instance owns the placement.
	engine *placer.Engine
	epoch  identifier.Epoch
	// listsIndex is the index of the view that the engine has.
	listsIndex uint64
	workers    map[identifier.WorkerID]string
	queue      []commit
	// skips has a lock of its own.
	skips skips

	wake     chan struct{}
	stop     chan struct{}
	done     sync.WaitGroup
	commands commander
}

// commit is one output of the engine on its way to disk, copies and workers.
type commit struct {
	epoch  identifier.Epoch
	output placer.Output
	// settled is closed once the output is kept.
	settled chan struct{}
}

// New returns an overseer that restores its copy of the jobs.
func New(parts Dependencies, opts ...Option) (*Overseer, error) {
	kept, err := openStore(parts.Dir)
	if err != nil {
		return nil, err
	}
	o := &Overseer{
		parts: parts, options: newOptions(opts...), store: kept,
		workers: map[identifier.WorkerID]string{},
		wake:    make(chan struct{}, 1), stop: make(chan struct{}),
	}
	o.commands = newCommander(parts.Messenger, o.workerAnswered)
	return o, nil
}

// Start begins to watch for ownership and to serve it.
func (o *Overseer) Start() {
	o.done.Go(o.commitAll)
	o.done.Go(o.tick)
	o.done.Go(o.watchOwner)
}

// Stop ends the placement here. What runs goes on under its leases and is
// adopted by the next owner.
func (o *Overseer) Stop() {
	close(o.stop)
	o.done.Wait()
	o.commands.wait()
	o.store.close()
}

func (o *Overseer) tick() {
	ticker := time.NewTicker(o.options.tick)
	defer ticker.Stop()
	for {
		select {
		case <-o.stop:
			return
		case now := <-ticker.C:
			o.decide(func(e *placer.Engine) { e.Tick(now) })
		}
	}
}

// decide runs a decision of the engine and queues what it wants done. It
// returns nil if this instance is not the owner, else a channel that is closed
// once all is kept.
func (o *Overseer) decide(decision func(*placer.Engine)) <-chan struct{} {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.engine == nil {
		return nil
	}
	o.followLists()
	decision(o.engine)
	output := o.engine.TakeOutput()
	settled := make(chan struct{})
	if len(output.ChangedJobs)+len(output.Commands) == 0 && len(o.queue) == 0 {
		close(settled)
		return settled
	}
	o.queue = append(o.queue, commit{epoch: o.epoch, output: output, settled: settled})
	select {
	case o.wake <- struct{}{}:
	default:
	}
	return settled
}

// followLists puts the newest lists in force in the engine. The caller holds
// mu; the follower's lock is taken after it.
func (o *Overseer) followLists() {
	if o.parts.ViewReplica.Index() == o.listsIndex {
		return
	}
	view := o.parts.ViewReplica.View()
	o.engine.SetLists(view)
	o.listsIndex = view.Index
}

// commitAll keeps outputs in order: on the own disk, then on a copy, and only
// then are commands sent and callers answered.
func (o *Overseer) commitAll() {
	for {
		select {
		case <-o.stop:
			return
		case <-o.wake:
		}
		o.mu.Lock()
		batch := o.queue
		o.queue = nil
		o.mu.Unlock()
		o.commitBatch(batch)
	}
}

func (o *Overseer) commitBatch(batch []commit) {
	var changed []placer.Job
	epoch := identifier.Epoch(0)
	for _, one := range batch {
		changed = append(changed, one.output.ChangedJobs...)
		epoch = max(epoch, one.epoch)
	}
	if len(changed) > 0 {
		if err := o.keep(epoch, changed); err != nil {
			o.parts.Recorder.Add("placement.keep-failed", 1)
			o.stepDown()
			o.parts.OnFailure(err)
			return
		}
	}
	for _, one := range batch {
		if one.epoch == epoch {
			o.commands.send(one.output.Commands, o.addresses(one.output.Commands))
		}
		close(one.settled)
	}
}

func (o *Overseer) addresses(commands []placer.Command) map[identifier.WorkerID]string {
	o.mu.Lock()
	defer o.mu.Unlock()
	addresses := map[identifier.WorkerID]string{}
	for _, command := range commands {
		addresses[command.Worker] = o.workers[command.Worker]
	}
	return addresses
}

// stepDown ends the ownership here, until the log names this instance with a
// higher epoch.
func (o *Overseer) stepDown() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.engine = nil
	o.parts.LogEvent("placement-given-up", "epoch", o.epoch)
}

// Owns reports whether this instance owns the placement, and its epoch.
func (o *Overseer) Owns() (identifier.Epoch, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.epoch, o.engine != nil
}

// watchOwner follows the log's word on who owns the placement, and asks for it
// when the owner is gone and this instance is next.
func (o *Overseer) watchOwner() {
	ticker := time.NewTicker(o.options.ownerInterval)
	defer ticker.Stop()
	var reported time.Time
	for {
		o.followOwner()
		if now := time.Now(); now.Sub(reported) >= o.options.poolInterval && o.reportPool() {
			reported = now
		}
		select {
		case <-o.stop:
			return
		case <-ticker.C:
		}
	}
}

func (o *Overseer) followOwner() {
	view := o.parts.ViewReplica.View()
	owner := view.Owner(o.parts.DataCenter)
	o.mu.Lock()
	mine := owner.Owner == o.parts.Self.ID && owner.Epoch > 0
	begin := mine && owner.Epoch > o.epoch
	if !mine && owner.Epoch > o.epoch {
		o.engine = nil
	}
	o.mu.Unlock()
	if begin {
		o.takeOver(owner.Epoch, view)
		return
	}
	if !mine && o.shouldFollow(owner) {
		o.claimOwnership(owner)
	}
}

// takeOver starts an engine on the newest copy of the jobs that can be reached.
func (o *Overseer) takeOver(epoch identifier.Epoch, view configurer.View) {
	o.fetchNewest()
	jobs := o.store.jobs()
	now := time.Now()
	engine := placer.New(o.parts.DataCenter, epoch, o.parts.DataCenterCount, jobs, now, o.options.engine...)
	engine.SetLists(view)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.engine, o.epoch, o.listsIndex = engine, epoch, view.Index
	o.parts.Recorder.Add("placement.took-over", 1)
	o.parts.LogEvent("placement-taken-over", "epoch", epoch, "jobs", len(jobs))
}

// shouldFollow reports whether the owner is gone and no instance before this
// one in the order of ids could follow it.
func (o *Overseer) shouldFollow(owner configurer.Ownership) bool {
	if owner.Epoch > 0 && o.alive(owner.Owner) {
		return false
	}
	if o.parts.Announcer.OutboundIsolated(time.Now()) {
		return false
	}
	for _, member := range o.standbys() {
		if member.ID < o.parts.Self.ID && member.ID != owner.Owner {
			return false
		}
	}
	return o.parts.ViewReplica.Index() > 0
}

func (o *Overseer) alive(id identifier.InstanceID) bool {
	member, known := o.parts.Announcer.Member(id)
	return known && (member.State == announcer.StateAlive || member.State == announcer.StateSuspect)
}

// standbys returns the other live placement instances of the data centre.
func (o *Overseer) standbys() []announcer.Member {
	return o.parts.Announcer.AliveIn(Role, o.parts.DataCenter)
}

func (o *Overseer) claimOwnership(owner configurer.Ownership) {
	ctx, cancel := context.WithTimeout(context.Background(), o.options.claimTimeout)
	defer cancel()
	next := configurer.Ownership{DataCenter: o.parts.DataCenter, Owner: o.parts.Self.ID, Epoch: owner.Epoch + 1}
	command := configurer.Command{Kind: configurer.CommandOwn, RequestID: uuid.NewString(), Owner: &next}
	if _, err := o.parts.Control.Propose(ctx, command); err != nil {
		o.parts.Recorder.Add("placement.claim-failed", 1)
	}
}

// reportPool tells the control instances what the data centre has.
func (o *Overseer) reportPool() bool {
	o.mu.Lock()
	var pools []configurer.Pool
	if o.engine != nil {
		pools = o.engine.Pools()
	}
	o.mu.Unlock()
	if len(pools) == 0 {
		return false
	}
	o.parts.Control.ReportPool(context.Background(), pools)
	return true
}

// Submit queues a job. It returns once the job is kept, here and on a copy if
// there is one. Errors: ErrNotOwner and those of placer.Engine.Submit.
func (o *Overseer) Submit(spec placer.Spec) error {
	now := time.Now()
	return o.call(func(e *placer.Engine) error {
		if err := e.Submit(spec, now); err != nil {
			return fmt.Errorf("submit %s: %w", spec.ID, err)
		}
		e.Tick(now)
		return nil
	})
}

// Cancel ends a job. It returns once that is kept.
func (o *Overseer) Cancel(member identifier.MemberID, id identifier.JobID) error {
	return o.call(func(e *placer.Engine) error { return e.Cancel(member, id, time.Now()) })
}

func (o *Overseer) call(decision func(*placer.Engine) error) error {
	var err error
	settled := o.decide(func(e *placer.Engine) { err = decision(e) })
	if settled == nil {
		return ErrNotOwner
	}
	if err != nil {
		return err
	}
	select {
	case <-settled:
		return nil
	case <-o.stop:
		return ErrNotOwner
	case <-time.After(o.options.claimTimeout):
		return ErrNotOwner
	}
}

// Job returns a member's job.
func (o *Overseer) Job(member identifier.MemberID, id identifier.JobID) (placer.Job, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.engine == nil {
		return placer.Job{}, ErrNotOwner
	}
	return o.engine.Job(member, id)
}

// Jobs returns a member's jobs.
func (o *Overseer) Jobs(member identifier.MemberID) ([]placer.Job, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.engine == nil {
		return nil, ErrNotOwner
	}
	return o.engine.Jobs(member), nil
}

// Report takes a worker's word and returns for how long its leases are
// renewed, and the owner's epoch.
func (o *Overseer) Report(report placer.Report) (Renewal, error) {
	now := time.Now()
	var renewal Renewal
	err := o.quick(func(e *placer.Engine) error {
		current, err := e.HandleReport(report, now)
		if err != nil {
			return err
		}
		o.workers[report.Worker.ID] = report.Worker.Address
		if current {
			renewal.TTL = e.LeaseTTL()
		}
		e.Tick(now)
		return nil
	})
	renewal.Epoch = o.epochNow()
	if errors.Is(err, placer.ErrFullReportRequired) {
		renewal.WantFullReport = true
		return renewal, nil
	}
	return renewal, err
}

func (o *Overseer) epochNow() identifier.Epoch {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.epoch
}

// quick runs a decision without waiting for it to be kept.
func (o *Overseer) quick(decision func(*placer.Engine) error) error {
	var err error
	if o.decide(func(e *placer.Engine) { err = decision(e) }) == nil {
		return ErrNotOwner
	}
	return err
}

// Renewal answers a worker's report.
type Renewal struct {
	Epoch identifier.Epoch `json:"epoch"`
	// TTL renews all leases, counted from when the worker sent its report; 0
	// renews none.
	TTL time.Duration `json:"ttl-ns"`
	// WantFullReport asks for a whole report at once.
	WantFullReport bool `json:"whole,omitempty"`
}

func (o *Overseer) workerAnswered(worker identifier.WorkerID, report placer.Report) {
	now := time.Now()
	o.decide(func(e *placer.Engine) {
		e.HandleCommandResponse(worker, report, now)
		e.Tick(now)
	})
}

// Status describes the placement here.
type Status struct {
	Owns  bool             `json:"owns"`
	Epoch identifier.Epoch `json:"epoch"`
	placer.Status
}

// Status returns a description of the placement here.
func (o *Overseer) Status() Status {
	o.mu.Lock()
	defer o.mu.Unlock()
	status := Status{Epoch: o.epoch, Owns: o.engine != nil}
	if o.engine != nil {
		status.Status = o.engine.Status(time.Now())
	}
	return status
}
