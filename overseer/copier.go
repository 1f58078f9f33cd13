package overseer

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gin-gonic/gin"

	"cranberrystack.dev/cranberrystack/announcer"
	"cranberrystack.dev/cranberrystack/identifier"
	"cranberrystack.dev/cranberrystack/placer"
	"cranberrystack.dev/cranberrystack/responder"
)

const (
	copyPath     = "/peer/overseer/copy"
	statePath    = "/peer/overseer/state"
	positionPath = "/peer/overseer/position"

	maxMessageBytes = 256 << 20
)

type copyAnswer struct {
	Accepted bool     `json:"accepted"`
	At       position `json:"at"`
}

// keep writes changed jobs to the own store and then to the live standbys. One
// that can't be reached is brought up to date when it comes back.
func (o *Overseer) keep(epoch identifier.Epoch, changed []placer.Job) error {
	after := o.store.at()
	next := position{Epoch: epoch, Sequence: after.Sequence + 1}
	u := update{After: after, Position: next, Jobs: changed}
	o.observe(changed)
	if err := o.store.write(u); err != nil {
		return err
	}
	if !o.copyToAll(u) {
		o.parts.Recorder.Add("placement.kept-without-copy", 1)
	}
	return nil
}

// copyToAll sends an update to all standbys at once and reports whether any
// has it. One that fails is left out for a while, so that it holds up one
// change only.
func (o *Overseer) copyToAll(u update) bool {
	now := time.Now()
	var sending sync.WaitGroup
	var copied atomic.Int64
	for _, standby := range o.standbys() {
		if now.Before(o.skips.until(standby.ID)) {
			continue
		}
		sending.Go(func() {
			if o.copyTo(standby, u) {
				copied.Add(1)
				return
			}
			o.skips.set(standby.ID, time.Now().Add(skipTime))
		})
	}
	sending.Wait()
	return copied.Load() > 0
}

// skips holds until when standbys are left out.
type skips struct {
	mu    sync.Mutex
	times map[identifier.InstanceID]time.Time
}

func (s *skips) until(id identifier.InstanceID) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.times[id]
}

func (s *skips) set(id identifier.InstanceID, until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.times == nil {
		s.times = map[identifier.InstanceID]time.Time{}
	}
	s.times[id] = until
}

func (o *Overseer) copyTo(standby announcer.Member, u update) bool {
	accepted, replaced := o.sendCopy(standby, u)
	if accepted {
		return true
	}
	if replaced {
		o.stepDown()
		return false
	}
	accepted, _ = o.sendCopy(standby, o.store.snapshot())
	return accepted
}

// sendCopy reports whether the standby has the update, and whether it follows
// a newer owner.
func (o *Overseer) sendCopy(standby announcer.Member, u update) (accepted, replaced bool) {
	timeout := copyTimeout
	if u.Full {
		timeout = fullTimeout
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var answer copyAnswer
	if err := o.parts.Messenger.Post(ctx, standby.Address, copyPath, u, &answer); err != nil {
		return false, false
	}
	return answer.Accepted, answer.At.Epoch > u.Position.Epoch
}

// fetchNewest takes over the newest copy that a standby holds, if it is newer
// than the own one.
func (o *Overseer) fetchNewest() {
	newest := o.store.at()
	var holder string
	for _, standby := range o.standbys() {
		var at position
		if o.get(standby.Address, positionPath, &at) && newest.before(at) {
			newest, holder = at, standby.Address
		}
	}
	if holder == "" {
		return
	}
	var u update
	if o.get(holder, statePath, &u) {
		_, _ = o.store.accept(u)
	}
}

func (o *Overseer) get(address, path string, out any) bool {
	ctx, cancel := context.WithTimeout(context.Background(), fullTimeout)
	defer cancel()
	return o.parts.Messenger.Get(ctx, address, path, out) == nil
}

func (o *Overseer) handleCopy(c *gin.Context) {
	var u update
	if !responder.Decode(c, maxMessageBytes, &u) {
		return
	}
	accepted, err := o.store.accept(u)
	if err != nil {
		responder.Fail(c, responder.Problem{Status: http.StatusInsufficientStorage, Code: responder.CodeUnavailable, Reason: err.Error()})
		return
	}
	c.JSON(http.StatusOK, copyAnswer{Accepted: accepted, At: o.store.at()})
}

func (o *Overseer) handlePosition(c *gin.Context) {
	c.JSON(http.StatusOK, o.store.at())
}

func (o *Overseer) handleState(c *gin.Context) {
	c.JSON(http.StatusOK, o.store.snapshot())
}
