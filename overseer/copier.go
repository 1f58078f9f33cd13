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

	// maxMessageBytes bounds a message from another instance.
	maxMessageBytes = 256 << 20
)

// copyResponse is a standby's response to an update. Position is the standby's
// position after it.
type copyResponse struct {
	Accepted bool     `json:"accepted"`
	Position position `json:"at"`
}

// persist writes changed jobs to the local store and then to the live standbys. It
// returns an error only if the local write fails. A standby that can't be reached
// gets all jobs with the first change after it is reachable again and its backoff
// has ended.
func (o *Overseer) persist(epoch identifier.Epoch, changed []placer.Job) error {
	after := o.store.currentPosition()
	next := position{Epoch: epoch, Sequence: after.Sequence + 1}
	u := update{After: after, Position: next, Jobs: changed}
	o.observe(changed)
	if err := o.store.write(u); err != nil {
		return err
	}
	if !o.replicateToAll(u) {
		o.dependencies.Recorder.Add("placement.kept-without-copy", 1)
	}
	return nil
}

// replicateToAll sends an update to all standbys in parallel and reports whether
// at least one has it. A standby that fails is skipped for standbyBackoffTime,
// so that an unreachable one delays a single change only.
func (o *Overseer) replicateToAll(u update) bool {
	now := time.Now()
	var sending sync.WaitGroup
	var acknowledged atomic.Int64
	for _, standby := range o.standbys() {
		if now.Before(o.backoff.until(standby.ID)) {
			continue
		}
		sending.Go(func() {
			if o.replicateTo(standby, u) {
				acknowledged.Add(1)
				return
			}
			o.backoff.set(standby.ID, time.Now().Add(standbyBackoffTime))
		})
	}
	sending.Wait()
	return acknowledged.Load() > 0
}

// standbyBackoff holds, for each standby that failed, the time until which it
// is skipped.
type standbyBackoff struct {
	mu   sync.Mutex
	ends map[identifier.InstanceID]time.Time
}

func (s *standbyBackoff) until(id identifier.InstanceID) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ends[id]
}

func (s *standbyBackoff) set(id identifier.InstanceID, until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ends == nil {
		s.ends = map[identifier.InstanceID]time.Time{}
	}
	s.ends[id] = until
}

// replicateTo sends an update to one standby and reports whether the standby has
// it. A standby that lacks earlier updates gets all jobs instead. If the standby
// follows a newer owner, this instance steps down.
func (o *Overseer) replicateTo(standby announcer.Member, u update) bool {
	accepted, replaced := o.sendUpdate(standby, u)
	if accepted {
		return true
	}
	if replaced {
		o.stepDown()
		return false
	}
	accepted, _ = o.sendUpdate(standby, o.store.snapshot())
	return accepted
}

// sendUpdate sends one update and reports whether the standby has it, and
// whether the standby follows an owner with a higher epoch.
func (o *Overseer) sendUpdate(standby announcer.Member, u update) (accepted, replaced bool) {
	timeout := copyTimeout
	if u.Full {
		timeout = fullStateTimeout
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var response copyResponse
	if err := o.dependencies.Messenger.Post(ctx, standby.Address, copyPath, u, &response); err != nil {
		return false, false
	}
	return response.Accepted, response.Position.Epoch > u.Position.Epoch
}

// fetchNewest replaces the local replica of the jobs by the newest one of a
// standby, if that one is newer. Standbys that can't be reached are ignored.
func (o *Overseer) fetchNewest() {
	newest := o.store.currentPosition()
	var newestAddress string
	for _, standby := range o.standbys() {
		var candidate position
		if o.fetch(standby.Address, positionPath, &candidate) && newest.before(candidate) {
			newest, newestAddress = candidate, standby.Address
		}
	}
	if newestAddress == "" {
		return
	}
	var u update
	if o.fetch(newestAddress, statePath, &u) {
		_, _ = o.store.accept(u)
	}
}

// fetch reads out from an instance and reports whether it succeeded.
func (o *Overseer) fetch(address, path string, out any) bool {
	ctx, cancel := context.WithTimeout(context.Background(), fullStateTimeout)
	defer cancel()
	return o.dependencies.Messenger.Get(ctx, address, path, out) == nil
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
	c.JSON(http.StatusOK, copyResponse{Accepted: accepted, Position: o.store.currentPosition()})
}

func (o *Overseer) handlePosition(c *gin.Context) {
	c.JSON(http.StatusOK, o.store.currentPosition())
}

func (o *Overseer) handleState(c *gin.Context) {
	c.JSON(http.StatusOK, o.store.snapshot())
}
