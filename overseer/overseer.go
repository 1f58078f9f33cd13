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
	dependencies Dependencies
	options      options
	store        *store

	// mu guards the fields below. It is never held during I/O.
	mu sync.Mutex
	// engine is nil unless this instance owns the placement.
	engine *placer.Engine
	epoch  identifier.Epoch
	// listsIndex is the index of the view that the engine has.
	listsIndex uint64
	workers    map[identifier.WorkerID]string
	queue      []commit
	// backoff has a lock of its own.
	backoff standbyBackoff

	wake     chan struct{}
	stop     chan struct{}
	done     sync.WaitGroup
	commands commander
}

// commit is one output of the engine on its way to disk, copies and workers.
type commit struct {
	epoch  identifier.Epoch
	output placer.Output
	// committed is closed once the output is kept.
	committed chan struct{}
}

// New returns an overseer that restores its copy of the jobs.
func New(dependencies Dependencies, opts ...Option) (*Overseer, error) {
	jobs, err := openStore(dependencies.Dir)
	if err != nil {
		return nil, err
	}
	o := &Overseer{
		dependencies: dependencies, options: newOptions(opts...), store: jobs,
		workers: map[identifier.WorkerID]string{},
		wake:    make(chan struct{}, 1), stop: make(chan struct{}),
	}
	o.commands = newCommander(dependencies.Messenger, o.handleCommandReport)
	return o, nil
}

// Start begins to watch for ownership and to serve it.
func (o *Overseer) Start() {
	o.done.Go(o.commitLoop)
	o.done.Go(o.tickLoop)
	o.done.Go(o.ownershipLoop)
}

// Stop ends the placement here. What runs goes on under its leases and is
// adopted by the next owner.
func (o *Overseer) Stop() {
	close(o.stop)
	o.done.Wait()
	o.commands.wait()
	o.store.close()
}

func (o *Overseer) tickLoop() {
	ticker := time.NewTicker(o.options.tickInterval)
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
	o.updateLists()
	decision(o.engine)
	output := o.engine.TakeOutput()
	committed := make(chan struct{})
	if len(output.ChangedJobs)+len(output.Commands) == 0 && len(o.queue) == 0 {
		close(committed)
		return committed
	}
	o.queue = append(o.queue, commit{epoch: o.epoch, output: output, committed: committed})
	select {
	case o.wake <- struct{}{}:
	default:
	}
	return committed
}

// updateLists puts the newest lists in force in the engine. The caller holds
// mu; the follower's lock is taken after it.
func (o *Overseer) updateLists() {
	if o.dependencies.ViewReplica.Index() == o.listsIndex {
		return
	}
	view := o.dependencies.ViewReplica.View()
	o.engine.SetLists(view)
	o.listsIndex = view.Index
}

// commitLoop keeps outputs in order: on the own disk, then on a copy, and only
// then are commands sent and callers answered.
func (o *Overseer) commitLoop() {
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
	for _, item := range batch {
		changed = append(changed, item.output.ChangedJobs...)
		epoch = max(epoch, item.epoch)
	}
	if len(changed) > 0 {
		if err := o.persist(epoch, changed); err != nil {
			o.dependencies.Recorder.Add("placement.keep-failed", 1)
			o.stepDown()
			o.dependencies.OnFailure(err)
			return
		}
	}
	for _, item := range batch {
		if item.epoch == epoch {
			o.commands.send(item.output.Commands, o.addresses(item.output.Commands))
		}
		close(item.committed)
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
	o.dependencies.LogEvent("placement-given-up", "epoch", o.epoch)
}

// Owns reports whether this instance owns the placement, and its epoch.
func (o *Overseer) Owns() (identifier.Epoch, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.epoch, o.engine != nil
}

// ownershipLoop follows the log's word on who owns the placement, and asks for it
// when the owner is gone and this instance is next.
func (o *Overseer) ownershipLoop() {
	ticker := time.NewTicker(o.options.ownershipCheckInterval)
	defer ticker.Stop()
	var reported time.Time
	for {
		o.checkOwnership()
		if now := time.Now(); now.Sub(reported) >= o.options.poolReportInterval && o.reportPool() {
			reported = now
		}
		select {
		case <-o.stop:
			return
		case <-ticker.C:
		}
	}
}

func (o *Overseer) checkOwnership() {
	view := o.dependencies.ViewReplica.View()
	owner := view.Owner(o.dependencies.DataCenter)
	o.mu.Lock()
	owns := owner.Owner == o.dependencies.Self.ID && owner.Epoch > 0
	begin := owns && owner.Epoch > o.epoch
	if !owns && owner.Epoch > o.epoch {
		o.engine = nil
	}
	o.mu.Unlock()
	if begin {
		o.takeOver(owner.Epoch, view)
		return
	}
	if !owns && o.shouldClaimOwnership(owner) {
		o.claimOwnership(owner)
	}
}

// takeOver starts an engine on the newest copy of the jobs that can be reached.
func (o *Overseer) takeOver(epoch identifier.Epoch, view configurer.View) {
	o.fetchNewest()
	jobs := o.store.jobs()
	now := time.Now()
	engine := placer.New(o.dependencies.DataCenter, epoch, o.dependencies.DataCenterCount, jobs, now, o.options.engineOptions...)
	engine.SetLists(view)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.engine, o.epoch, o.listsIndex = engine, epoch, view.Index
	o.dependencies.Recorder.Add("placement.took-over", 1)
	o.dependencies.LogEvent("placement-taken-over", "epoch", epoch, "jobs", len(jobs))
}

// shouldClaimOwnership reports whether the owner is gone and no instance before this
// one in the order of ids could follow it.
func (o *Overseer) shouldClaimOwnership(owner configurer.Ownership) bool {
	if owner.Epoch > 0 && o.alive(owner.Owner) {
		return false
	}
	if o.dependencies.Announcer.OutboundIsolated(time.Now()) {
		return false
	}
	for _, member := range o.standbys() {
		if member.ID < o.dependencies.Self.ID && member.ID != owner.Owner {
			return false
		}
	}
	return o.dependencies.ViewReplica.Index() > 0
}

func (o *Overseer) alive(id identifier.InstanceID) bool {
	member, known := o.dependencies.Announcer.Member(id)
	return known && (member.State == announcer.StateAlive || member.State == announcer.StateSuspect)
}

// standbys returns the other live placement instances of the data centre.
func (o *Overseer) standbys() []announcer.Member {
	return o.dependencies.Announcer.AliveIn(Role, o.dependencies.DataCenter)
}

func (o *Overseer) claimOwnership(owner configurer.Ownership) {
	ctx, cancel := context.WithTimeout(context.Background(), o.options.commitTimeout)
	defer cancel()
	next := configurer.Ownership{DataCenter: o.dependencies.DataCenter, Owner: o.dependencies.Self.ID, Epoch: owner.Epoch + 1}
	command := configurer.Command{Kind: configurer.CommandOwn, RequestID: uuid.NewString(), Owner: &next}
	if _, err := o.dependencies.Control.Propose(ctx, command); err != nil {
		o.dependencies.Recorder.Add("placement.claim-failed", 1)
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
	o.dependencies.Control.ReportPool(context.Background(), pools)
	return true
}

// Submit queues a job. It returns once the job is kept, here and on a copy if
// there is one. Errors: ErrNotOwner and those of placer.Engine.Submit.
func (o *Overseer) Submit(spec placer.Spec) error {
	now := time.Now()
	return o.decideAndWait(func(e *placer.Engine) error {
		if err := e.Submit(spec, now); err != nil {
			return fmt.Errorf("submit %s: %w", spec.ID, err)
		}
		e.Tick(now)
		return nil
	})
}

// Cancel ends a job. It returns once that is kept.
func (o *Overseer) Cancel(member identifier.MemberID, id identifier.JobID) error {
	return o.decideAndWait(func(e *placer.Engine) error { return e.Cancel(member, id, time.Now()) })
}

func (o *Overseer) decideAndWait(decision func(*placer.Engine) error) error {
	var err error
	committed := o.decide(func(e *placer.Engine) { err = decision(e) })
	if committed == nil {
		return ErrNotOwner
	}
	if err != nil {
		return err
	}
	select {
	case <-committed:
		return nil
	case <-o.stop:
		return ErrNotOwner
	case <-time.After(o.options.commitTimeout):
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
	err := o.decideWithoutWait(func(e *placer.Engine) error {
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
	renewal.Epoch = o.currentEpoch()
	if errors.Is(err, placer.ErrFullReportRequired) {
		renewal.WantFullReport = true
		return renewal, nil
	}
	return renewal, err
}

func (o *Overseer) currentEpoch() identifier.Epoch {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.epoch
}

// decideWithoutWait runs a decision without waiting for it to be kept.
func (o *Overseer) decideWithoutWait(decision func(*placer.Engine) error) error {
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

func (o *Overseer) handleCommandReport(worker identifier.WorkerID, report placer.Report) {
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
