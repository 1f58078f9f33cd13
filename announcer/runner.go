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

	maxUpdatesPerProbe  = 6
	indirectProberCount = 2
	maxMessageBytes     = 64 << 10
)

type probeMessage struct {
	Self    Member   `json:"self"`
	Updates []Member `json:"updates,omitempty"`
}

type indirectProbeRequest struct {
	Target identifier.InstanceID `json:"target"`
}

// Announcer runs a Table over HTTP. It is safe for concurrent use.
type Announcer struct {
	messenger *messenger.Messenger
	options   options

	// mu guards the table. It is never held during I/O.
	mu        sync.Mutex
	table     *Table
	callbacks []func(self Member, contacted Member)

	stop chan struct{}
	wg   sync.WaitGroup
}

// New returns an announcer that does not probe yet. If self has no incarnation,
// the current time in nanoseconds is used.
func New(self Member, seeds []Member, m *messenger.Messenger, opts ...Option) *Announcer {
	o := newOptions(opts...)
	now := time.Now()
	if self.Incarnation == 0 {
		self.Incarnation = identifier.Incarnation(now.UnixNano())
	}
	seed := rand.Uint64()
	config := Config{
		SuspectTimeout: o.suspectTimeout, IsolationTimeout: o.isolationTimeout,
		Retransmits: o.retransmits, Random: rand.New(rand.NewPCG(seed, seed)),
	}
	return &Announcer{
		messenger: m, options: o, stop: make(chan struct{}),
		table: NewTable(config, self, seeds, now),
	}
}

// OnContact registers a function that is called whenever another instance has
// answered a probe from here or sent one. It must be called before Start.
func (a *Announcer) OnContact(callback func(self, contacted Member)) {
	a.callbacks = append(a.callbacks, callback)
}

// Start starts probing.
func (a *Announcer) Start() {
	a.wg.Go(a.run)
}

// Stop stops probing and notifies a few others that this instance has left.
func (a *Announcer) Stop() {
	close(a.stop)
	a.wg.Wait()
	a.mu.Lock()
	a.table.Leave()
	targets := a.table.IndirectProbers("", indirectProberCount)
	a.mu.Unlock()
	for _, target := range targets {
		_, _ = a.sendProbe(target)
	}
}

func (a *Announcer) run() {
	ticker := time.NewTicker(a.options.probeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-a.stop:
			return
		case <-ticker.C:
			a.wg.Go(a.probeNext)
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
	if _, err := a.sendProbe(target); err == nil {
		return
	}
	if a.probeIndirectly(target) {
		return
	}
	a.mu.Lock()
	a.table.ProbeFailed(target.ID, time.Now())
	a.mu.Unlock()
}

func (a *Announcer) sendProbe(target Member) (Member, error) {
	a.mu.Lock()
	message := probeMessage{Self: a.table.Self(), Updates: a.nextUpdates()}
	a.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), a.options.probeTimeout)
	defer cancel()
	var response probeMessage
	if err := a.messenger.Post(ctx, target.Address, probePath, message, &response); err != nil {
		return Member{}, err
	}
	now := time.Now()
	a.mu.Lock()
	a.table.ProbeAnswered(response.Self, now)
	a.table.Merge(response.Updates, now)
	self := a.table.Self()
	a.mu.Unlock()
	a.notifyContact(self, response.Self)
	return response.Self, nil
}

// nextUpdates returns the updates to pass on. The caller must hold mu.
func (a *Announcer) nextUpdates() []Member {
	return a.table.Updates(maxUpdatesPerProbe)
}

func (a *Announcer) notifyContact(self, contacted Member) {
	for _, callback := range a.callbacks {
		callback(self, contacted)
	}
}

// probeIndirectly reports whether another instance reached the target.
func (a *Announcer) probeIndirectly(target Member) bool {
	a.mu.Lock()
	probers := a.table.IndirectProbers(target.ID, indirectProberCount)
	a.mu.Unlock()
	for _, prober := range probers {
		ctx, cancel := context.WithTimeout(context.Background(), 2*a.options.probeTimeout)
		err := a.messenger.Post(ctx, prober.Address, indirectPath, indirectProbeRequest{Target: target.ID}, nil)
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
	var message probeMessage
	if !responder.Decode(c, maxMessageBytes, &message) {
		return
	}
	now := time.Now()
	a.mu.Lock()
	a.table.ProbeReceived(message.Self, now)
	a.table.Merge(message.Updates, now)
	response := probeMessage{Self: a.table.Self(), Updates: a.nextUpdates()}
	// Notifies a sender that is known here in another state, so that it refutes that.
	if known, found := a.table.Member(message.Self.ID); found && known.State != message.Self.State {
		response.Updates = append(response.Updates, known)
	}
	a.mu.Unlock()
	a.notifyContact(response.Self, message.Self)
	c.JSON(http.StatusOK, response)
}

func (a *Announcer) handleIndirect(c *gin.Context) {
	var message indirectProbeRequest
	if !responder.Decode(c, maxMessageBytes, &message) {
		return
	}
	target, known := a.Member(message.Target)
	if !known {
		c.Status(http.StatusNotFound)
		return
	}
	if _, err := a.sendProbe(target); err != nil {
		c.Status(http.StatusBadGateway)
		return
	}
	c.Status(http.StatusNoContent)
}

// SetIndex sets the index of the view in force here. A lower index than before is
// ignored.
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

// Members returns all instances but this one, sorted by id.
func (a *Announcer) Members() []Member {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.table.Members()
}

// Member returns the instance with an id, which may be this one.
func (a *Announcer) Member(id identifier.InstanceID) (Member, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.table.Member(id)
}

// Alive returns the other instances that have a role and are alive or suspect.
func (a *Announcer) Alive(role string) []Member {
	var alive []Member
	for _, member := range a.Members() {
		if member.State.rank() <= StateSuspect.rank() && member.Has(role) {
			alive = append(alive, member)
		}
	}
	return alive
}

// AliveIn returns the instances of Alive in one data centre.
func (a *Announcer) AliveIn(role string, dataCenter identifier.DataCenterID) []Member {
	var alive []Member
	for _, member := range a.Alive(role) {
		if member.DataCenter == dataCenter {
			alive = append(alive, member)
		}
	}
	return alive
}

// OutboundIsolated reports whether others reach this instance while its own
// probes get no responses; see Table.OutboundIsolated.
func (a *Announcer) OutboundIsolated(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.table.OutboundIsolated(now)
}
