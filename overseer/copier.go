package overseer

import (
	"context"
	"net/http"

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

// keep writes changed jobs to the own store and then to every live standby. A
// standby that can't be reached does not hold the work up: it is brought up to
// date when it comes back.
func (o *Overseer) keep(epoch identifier.Epoch, changed []placer.Job) error {
	after := o.store.at()
	next := position{Epoch: epoch, Sequence: after.Sequence + 1}
	u := update{After: after, Position: next, Jobs: changed}
	o.observe(changed)
	if err := o.store.write(u); err != nil {
		return err
	}
	copied := 0
	for _, standby := range o.standbys() {
		if o.copyTo(standby, u) {
			copied++
		}
	}
	if copied == 0 {
		o.parts.Recorder.Add("placement.kept-without-copy", 1)
	}
	return nil
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
	ctx, cancel := context.WithTimeout(context.Background(), copyTimeout)
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
	ctx, cancel := context.WithTimeout(context.Background(), copyTimeout)
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
