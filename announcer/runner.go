package announcer

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/gin-gonic/gin"

	"cranberrystack.dev/cranberrystack/identifier"
	"cranberrystack.dev/cranberrystack/messenger"
	"cranberrystack.dev/cranberrystack/responder"
)

const (
	probePath    = "/peer/announcer/probe"
	indirectPath = "/peer/announcer/indirect"

	maxUpdates      = 6
	helpers         = 2
	maxMessageBytes = 64 << 10
)

type probe struct {
	Self    Member   `json:"self"`
	Updates []Member `json:"updates,omitempty"`
}

type indirectProbe struct {
	Target identifier.InstanceID `json:"target"`
}

// Announcer runs a table over HTTP. It is safe for concurrent use.
type Announcer struct {
	messenger *messenger.Messenger
	options   options

	// mu guards the table. It is never held during I/O.
	mu       sync.Mutex
	table    *Table
	watchers []func(self Member, heard Member)

	stop chan struct{}
	done sync.WaitGroup
}

// New returns an announcer that has not started to probe.
func New(self Member, seeds []Member, m *messenger.Messenger, opts ...Option) *Announcer {
	o := newOptions(opts...)
	now := time.Now()
	if self.Incarnation == 0 {
		self.Incarnation = identifier.Incarnation(now.UnixNano())
	}
	seed := rand.Uint64()
	config := Config{
		SuspectTimeout: o.suspectTimeout, IsolationTimeout: o.unheardTimeout,
		Retransmits: o.repeats, Random: rand.New(rand.NewPCG(seed, seed)),
	}
	return &Announcer{
		messenger: m, options: o, stop: make(chan struct{}),
		table: NewTable(config, self, seeds, now),
	}
}

// OnContact calls a function whenever another instance has been heard directly.
// It must be called before Start.
func (a *Announcer) OnContact(watcher func(self, heard Member)) {
	a.watchers = append(a.watchers, watcher)
}

// Start begins to probe.
func (a *Announcer) Start() {
	a.done.Go(a.run)
}

// Stop tells some others that this instance leaves and stops probing.
func (a *Announcer) Stop() {
	close(a.stop)
	a.done.Wait()
	a.mu.Lock()
	a.table.Leave()
	targets := a.table.IndirectProbers("", helpers)
	a.mu.Unlock()
	for _, target := range targets {
		_, _ = a.send(target)
	}
}

func (a *Announcer) run() {
	ticker := time.NewTicker(a.options.interval)
	defer ticker.Stop()
	for {
		select {
		case <-a.stop:
			return
		case <-ticker.C:
			a.done.Go(a.probeNext)
		}
	}
}

func (a *Announcer) probeNext() {
	a.mu.Lock()
	target, found := a.table.NextTarget(time.Now())
	a.mu.Unlock()
	if !found {
		return
	}
	if _, err := a.send(target); err == nil {
		return
	}
	if a.probeThroughOthers(target) {
		return
	}
	a.mu.Lock()
	a.table.ProbeFailed(target.ID, time.Now())
	a.mu.Unlock()
}

func (a *Announcer) send(target Member) (Member, error) {
	a.mu.Lock()
	message := probe{Self: a.table.Self(), Updates: a.updates()}
	a.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), a.options.timeout)
	defer cancel()
	var answer probe
	if err := a.messenger.Post(ctx, target.Address, probePath, message, &answer); err != nil {
		return Member{}, err
	}
	now := time.Now()
	a.mu.Lock()
	a.table.ProbeAnswered(answer.Self, now)
	a.table.Merge(answer.Updates, now)
	self := a.table.Self()
	a.mu.Unlock()
	a.notify(self, answer.Self)
	return answer.Self, nil
}

// updates returns what to pass on; the caller holds mu.
func (a *Announcer) updates() []Member {
	return a.table.Updates(maxUpdates)
}

func (a *Announcer) notify(self, heard Member) {
	for _, watcher := range a.watchers {
		watcher(self, heard)
	}
}

func (a *Announcer) probeThroughOthers(target Member) bool {
	a.mu.Lock()
	through := a.table.IndirectProbers(target.ID, helpers)
	a.mu.Unlock()
	for _, helper := range through {
		ctx, cancel := context.WithTimeout(context.Background(), 2*a.options.timeout)
		err := a.messenger.Post(ctx, helper.Address, indirectPath, indirectProbe{Target: target.ID}, nil)
		cancel()
		if err == nil {
			return true
		}
	}
	return false
}

// Routes adds the handlers that other instances call.
func (a *Announcer) Routes(router gin.IRouter) {
	router.POST(probePath, a.handleProbe)
	router.POST(indirectPath, a.handleIndirect)
}

func (a *Announcer) handleProbe(c *gin.Context) {
	var message probe
	if !responder.Decode(c, maxMessageBytes, &message) {
		return
	}
	now := time.Now()
	a.mu.Lock()
	a.table.ProbeReceived(message.Self, now)
	a.table.Merge(message.Updates, now)
	answer := probe{Self: a.table.Self(), Updates: a.updates()}
	if known, found := a.table.Member(message.Self.ID); found && known.State != message.Self.State {
		answer.Updates = append(answer.Updates, known)
	}
	a.mu.Unlock()
	a.notify(answer.Self, message.Self)
	c.JSON(http.StatusOK, answer)
}

func (a *Announcer) handleIndirect(c *gin.Context) {
	var message indirectProbe
	if !responder.Decode(c, maxMessageBytes, &message) {
		return
	}
	target, known := a.Member(message.Target)
	if !known {
		c.Status(http.StatusNotFound)
		return
	}
	if _, err := a.send(target); err != nil {
		c.Status(http.StatusBadGateway)
		return
	}
	c.Status(http.StatusNoContent)
}

// SetIndex notes the index of the view in force here.
func (a *Announcer) SetIndex(index uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.table.SetIndex(index)
}

// Self returns this instance.
func (a *Announcer) Self() Member {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.table.Self()
}

// Members returns all other instances in order of their ids.
func (a *Announcer) Members() []Member {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.table.Members()
}

// Member returns one instance.
func (a *Announcer) Member(id identifier.InstanceID) (Member, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.table.Member(id)
}

// Alive returns the other instances that are not held for dead or gone and
// have a role. A suspected one still counts.
func (a *Announcer) Alive(role string) []Member {
	var alive []Member
	for _, member := range a.Members() {
		if member.State.rank() <= StateSuspect.rank() && member.Has(role) {
			alive = append(alive, member)
		}
	}
	return alive
}

// AliveIn returns those of Alive in one data centre.
func (a *Announcer) AliveIn(role string, dataCenter identifier.DataCenterID) []Member {
	var alive []Member
	for _, member := range a.Alive(role) {
		if member.DataCenter == dataCenter {
			alive = append(alive, member)
		}
	}
	return alive
}

// OutboundIsolated reports whether others reach this instance while its own probes get
// no answers.
func (a *Announcer) OutboundIsolated(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.table.OutboundIsolated(now)
}
