// Package overseer runs the placement of one data centre. The replicated log
// names one instance at a time as its owner. The other placement instances of
// the data centre are standbys: each holds a replica of the jobs and can become
// the next owner.
//
// Lock order: Overseer.mu, then the lock of the view replica.
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

// ErrNotOwner reports that this instance does not own the placement at present.
var ErrNotOwner = eris.New("not the owner of the data centre's placement")

// ErrNoOwner reports that no owner can be reached.
var ErrNoOwner = eris.New("no owner of the data centre's placement can be reached")

// Dependencies holds the collaborators and settings of an Overseer.
type Dependencies struct {
	Self        announcer.Member
	Announcer   *announcer.Announcer
	Messenger   *messenger.Messenger
	Control     *controller.Client
	ViewReplica *configurer.ViewReplica
	Recorder    *recorder.Recorder
	DataCenter  identifier.DataCenterID
	// DataCenterCount is the number of data centres that share the limits of
	// plans.
	DataCenterCount int
	// Dir is the folder in which jobs are persisted. If it is empty, jobs are
	// held in memory only, here and on the standbys.
	Dir string
	// OnFailure is called when the owner can't persist jobs. It ends the process.
	OnFailure func(error)
	// LogEvent logs one event with alternating keys and values.
	LogEvent func(event string, details ...any)
}

// Overseer runs the placement of a data centre on one instance, as owner or as
// standby. It is safe for concurrent use.
type Overseer struct {
	dependencies Dependencies
	options      options
	store        *store

	// mu guards the fields below. It is never held during I/O except LogEvent.
	mu sync.Mutex
	// engine is nil unless this instance owns the placement.
	engine *placer.Engine
	// epoch is the epoch of the last ownership of this instance.
	epoch identifier.Epoch
	// listsIndex is the log index of the view that the engine uses.
	listsIndex uint64
	// workers holds the address of each worker that has reported.
	workers map[identifier.WorkerID]string
	// queue holds the outputs that commitLoop has not processed yet, and
	// committing says that it is processing earlier ones.
	queue      []commit
	committing bool
	// backoff has a lock of its own.
	backoff standbyBackoff

	// wake signals to commitLoop that the queue is not empty.
	wake     chan struct{}
	stop     chan struct{}
	done     sync.WaitGroup
	commands commander
}

// commit is one output of the engine that is to be persisted, replicated to the
// standbys and sent to workers.
type commit struct {
	epoch  identifier.Epoch
	output placer.Output
	// committed is closed once the output is persisted. It yields ErrNotOwner
	// before if another instance has become owner meanwhile.
	committed chan error
}

// New returns an overseer with the jobs that are persisted in its folder. It
// owns nothing until Start.
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

// Start starts the background loops that track ownership and run the placement.
func (o *Overseer) Start() {
	o.done.Go(o.commitLoop)
	o.done.Go(o.tickLoop)
	o.done.Go(o.ownershipLoop)
}

// Stop ends the placement on this instance. Running jobs continue under their
// leases, and the next owner recovers them.
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

// decide runs a decision on the engine and queues the output for commitLoop. It
// returns nil if this instance is not the owner, else the channel of the commit,
// which is closed once the output and all earlier ones are persisted.
func (o *Overseer) decide(decision func(*placer.Engine)) <-chan error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.engine == nil {
		return nil
	}
	o.updateLists()
	decision(o.engine)
	output := o.engine.TakeOutput()
	committed := make(chan error, 1)
	if len(output.ChangedJobs)+len(output.Commands) == 0 && len(o.queue) == 0 && !o.committing {
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

// updateLists passes the newest lists to the engine. The caller holds mu; the
// lock of the view replica is taken after it.
func (o *Overseer) updateLists() {
	if o.dependencies.ViewReplica.Index() == o.listsIndex {
		return
	}
	view := o.dependencies.ViewReplica.View()
	o.engine.SetLists(view)
	o.listsIndex = view.Index
}

// commitLoop commits queued outputs in order: it writes them to the local disk,
// replicates them to the standbys, and only then sends the commands and lets
// the waiting callers return.
func (o *Overseer) commitLoop() {
	for {
		select {
		case <-o.stop:
			return
		case <-o.wake:
		}
		o.mu.Lock()
		batch := o.queue
		o.queue, o.committing = nil, true
		o.mu.Unlock()
		o.commitBatch(batch)
		o.mu.Lock()
		o.committing = false
		o.mu.Unlock()
	}
}

// commitBatch commits several outputs by one write. Commands of an earlier epoch
// than the newest one of the batch are dropped. If another instance has become
// owner meanwhile, it may lack the outputs: their callers get ErrNotOwner. If the
// write fails, this instance steps down, OnFailure is called, and the callers that
// wait for the batch get ErrNotOwner after the commit timeout.
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
	current, owns := o.Owns()
	for _, item := range batch {
		switch {
		case !owns || item.epoch != current:
			item.committed <- ErrNotOwner
		case item.epoch == epoch:
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

// stepDown ends the ownership on this instance until the log names it as owner
// with a higher epoch.
func (o *Overseer) stepDown() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.engine = nil
	o.dependencies.LogEvent("placement-ownership-lost", "epoch", o.epoch)
}

// Owns returns the epoch in which this instance last became owner, and whether
// it owns the placement at present.
func (o *Overseer) Owns() (identifier.Epoch, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.epoch, o.engine != nil
}

// ownershipLoop tracks the owner that the log names, and claims the ownership
// when that owner has failed and this instance is next in line. It also reports
// the data centre's capacity to the control instances.
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

// checkOwnership compares the owner that the view names with this instance. It
// takes over the placement in a new epoch, ends an ownership that has been
// replaced, or claims the ownership.
func (o *Overseer) checkOwnership() {
	view := o.dependencies.ViewReplica.View()
	owner := view.Owner(o.dependencies.DataCenter)
	o.mu.Lock()
	owns := owner.Owner == o.dependencies.Self.ID && owner.Epoch > 0
	isNew := owns && owner.Epoch > o.epoch
	if !owns && owner.Epoch > o.epoch {
		o.engine = nil
	}
	o.mu.Unlock()
	if isNew {
		o.takeOver(owner.Epoch, view)
		return
	}
	if !owns && o.shouldClaimOwnership(owner) {
		o.claimOwnership(owner)
	}
}

// takeOver makes this instance the owner: it starts an engine with the newest
// replica of the jobs that can be reached.
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
	o.dependencies.LogEvent("placement-ownership-acquired", "epoch", epoch, "jobs", len(jobs))
}

// shouldClaimOwnership reports whether the owner has failed and no live standby
// with a lower id could replace it. An instance that is isolated outbound, or
// that has no view of the log yet, claims nothing.
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

// alive reports whether an instance is a member that has not been declared dead.
// A suspect instance counts as alive.
func (o *Overseer) alive(id identifier.InstanceID) bool {
	member, known := o.dependencies.Announcer.Member(id)
	return known && (member.State == announcer.StateAlive || member.State == announcer.StateSuspect)
}

// standbys returns the other placement instances of the data centre that are
// alive.
func (o *Overseer) standbys() []announcer.Member {
	return o.dependencies.Announcer.AliveIn(Role, o.dependencies.DataCenter)
}

// claimOwnership proposes this instance as the next owner. Ownership begins only
// when the view shows that the log accepted the proposal.
func (o *Overseer) claimOwnership(owner configurer.Ownership) {
	ctx, cancel := context.WithTimeout(context.Background(), o.options.commitTimeout)
	defer cancel()
	next := configurer.Ownership{DataCenter: o.dependencies.DataCenter, Owner: o.dependencies.Self.ID, Epoch: owner.Epoch + 1}
	command := configurer.Command{Kind: configurer.CommandOwn, RequestID: uuid.NewString(), Owner: &next}
	if _, err := o.dependencies.Control.Propose(ctx, command); err != nil {
		o.dependencies.Recorder.Add("placement.claim-failed", 1)
	}
}

// reportPool sends the data centre's capacity to the control instances. It
// returns false if this instance is not the owner or knows of no capacity.
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

// Submit queues a job. It returns once the job is persisted here, and on a
// standby if one is reachable. Errors: ErrNotOwner, after which the job may still
// have been queued, and those of placer.Engine.Submit.
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

// Cancel cancels a member's job. It returns once that is persisted. Errors:
// ErrNotOwner, after which the job may still have been cancelled, and those of
// placer.Engine.Cancel.
func (o *Overseer) Cancel(member identifier.MemberID, id identifier.JobID) error {
	return o.decideAndWait(func(e *placer.Engine) error { return e.Cancel(member, id, time.Now()) })
}

// decideAndWait runs a decision and waits until its output is persisted. It
// returns ErrNotOwner also if that takes longer than the commit timeout.
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
	case err := <-committed:
		return err
	case <-o.stop:
		return ErrNotOwner
	case <-time.After(o.options.commitTimeout):
		return ErrNotOwner
	}
}

// Job returns a member's job. Errors: ErrNotOwner and those of
// placer.Engine.Job.
func (o *Overseer) Job(member identifier.MemberID, id identifier.JobID) (placer.Job, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.engine == nil {
		return placer.Job{}, ErrNotOwner
	}
	return o.engine.Job(member, id)
}

// Jobs returns all jobs of a member, or ErrNotOwner.
func (o *Overseer) Jobs(member identifier.MemberID) ([]placer.Job, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.engine == nil {
		return nil, ErrNotOwner
	}
	return o.engine.Jobs(member), nil
}

// Report handles a worker's report. The result says for how long the worker's
// leases are renewed, and in which epoch. Errors: ErrNotOwner and those of
// placer.Engine.HandleReport, except placer.ErrFullReportRequired, which sets
// Renewal.WantFullReport instead.
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

// decideWithoutWait runs a decision and does not wait until its output is
// persisted.
func (o *Overseer) decideWithoutWait(decision func(*placer.Engine) error) error {
	var err error
	if o.decide(func(e *placer.Engine) { err = decision(e) }) == nil {
		return ErrNotOwner
	}
	return err
}

// Renewal is the response to a worker's report.
type Renewal struct {
	Epoch identifier.Epoch `json:"epoch"`
	// TTL is how long all leases of the worker are renewed, counted from when it
	// sent the report; 0 renews none.
	TTL time.Duration `json:"ttl-ns"`
	// WantFullReport requests a full report at once.
	WantFullReport bool `json:"whole,omitempty"`
}

// handleCommandReport handles the report with which a worker responds to
// commands.
func (o *Overseer) handleCommandReport(worker identifier.WorkerID, report placer.Report) {
	now := time.Now()
	o.decide(func(e *placer.Engine) {
		e.HandleCommandResponse(worker, report, now)
		e.Tick(now)
	})
}

// Status describes the placement as this instance sees it. The embedded
// placer.Status is empty unless the instance is the owner.
type Status struct {
	// Owns is true if the instance owns the placement.
	Owns  bool             `json:"owns"`
	Epoch identifier.Epoch `json:"epoch"`
	placer.Status
}

// Status returns the present state of the placement on this instance.
func (o *Overseer) Status() Status {
	o.mu.Lock()
	defer o.mu.Unlock()
	status := Status{Epoch: o.epoch, Owns: o.engine != nil}
	if o.engine != nil {
		status.Status = o.engine.Status(time.Now())
	}
	return status
}
