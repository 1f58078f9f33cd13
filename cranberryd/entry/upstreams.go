package entry

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/gin-gonic/gin"
	"go.uber.org/fx"

	"cranberrystack.dev/cranberryd/loader"
	"cranberrystack.dev/cranberryd/server"
	"cranberrystack.dev/cranberrystack/announcer"
	"cranberrystack.dev/cranberrystack/authenticator"
	"cranberrystack.dev/cranberrystack/dispatcher"
	"cranberrystack.dev/cranberrystack/identifier"
	"cranberrystack.dev/cranberrystack/messenger"
	"cranberrystack.dev/cranberrystack/registrar"
	"cranberrystack.dev/cranberrystack/responder"
)

const (
	upstreamRecordsPath = "/peer/entry/upstreams"
	// relayInterval is how often new records are sent to the other instances.
	relayInterval = time.Second
	// relayTimeout bounds one message between instances.
	relayTimeout         = 800 * time.Millisecond
	maxAnnouncementBytes = 16 << 10
	maxRecordsBytes      = 8 << 20
	maxSlots             = 4096
)

// upstreamAnnouncement is an upstream's report about itself. The type's name must not
// change: it is part of the error text for a key of the wrong JSON type.
type upstreamAnnouncement struct {
	ID          identifier.UpstreamID  `json:"id"`
	Address     string                 `json:"address"`
	Slots       int                    `json:"slots"`
	State       registrar.State        `json:"state"`
	Incarnation identifier.Incarnation `json:"incarnation"`
	Sequence    uint64                 `json:"sequence"`
}

// upstreamHandler receives announcements and relays them to the other entry
// instances of the data centre.
type upstreamHandler struct {
	settings   *loader.Settings
	registrar  *registrar.Registrar
	dispatcher *dispatcher.Dispatcher
	announcer  *announcer.Announcer
	messenger  *messenger.Messenger
	stop       chan struct{}
	done       sync.WaitGroup
}

func serveUpstreams(lifecycle fx.Lifecycle, s *server.Server, settings *loader.Settings, reg *registrar.Registrar, d *dispatcher.Dispatcher, a *announcer.Announcer, m *messenger.Messenger) {
	h := &upstreamHandler{settings: settings, registrar: reg, dispatcher: d, announcer: a, messenger: m, stop: make(chan struct{})}
	s.Group(authenticator.KindUpstream).POST("/v1/upstreams/announce", h.announce)
	peers := s.Group(authenticator.KindPeer)
	peers.POST(upstreamRecordsPath, h.mergeRecords)
	peers.GET(upstreamRecordsPath, h.listRecords)
	s.Group(authenticator.KindOperator).GET("/v1/upstreams", h.listRecords)
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			h.done.Go(h.runRelay)
			return nil
		},
		OnStop: func(context.Context) error {
			close(h.stop)
			h.done.Wait()
			return nil
		},
	})
}

// announce records an announcement. One that changes what the dispatcher may use
// is applied and relayed at once; a stale one is accepted without effect.
func (h *upstreamHandler) announce(c *gin.Context) {
	var announcement upstreamAnnouncement
	if !responder.Decode(c, maxAnnouncementBytes, &announcement) {
		return
	}
	if reason := checkAnnouncement(&announcement); reason != "" {
		respondInvalid(c, reason)
		return
	}
	identity := server.Identity(c)
	upstream := registrar.Upstream{
		ID: announcement.ID, Address: announcement.Address, Subject: identity.Subject, Member: identity.Member,
		Slots: announcement.Slots, State: announcement.State,
		Incarnation: announcement.Incarnation, Sequence: announcement.Sequence,
	}
	now := time.Now()
	urgent, err := h.registrar.Announce(upstream, now)
	switch {
	case errors.Is(err, registrar.ErrIDInUse):
		responder.Fail(c, responder.Problem{Status: http.StatusConflict, Code: responder.CodeConflict, Reason: err.Error()})
		return
	case err != nil && !errors.Is(err, registrar.ErrStaleAnnouncement):
		responder.Fail(c, responder.Problem{Status: http.StatusInternalServerError, Code: responder.CodeUnavailable, Reason: err.Error()})
		return
	}
	if urgent {
		h.dispatcher.Refresh(now)
		h.relayUpdates(now)
	}
	c.Status(http.StatusNoContent)
}

// checkAnnouncement returns what is wrong with an announcement, or "".
func checkAnnouncement(announcement *upstreamAnnouncement) string {
	switch {
	case announcement.ID == "" || announcement.Address == "":
		return "id and address are required"
	case announcement.Slots < 1 || announcement.Slots > maxSlots:
		return "slots is a number from 1 to 4096"
	case announcement.State != registrar.StateReady && announcement.State != registrar.StateDraining:
		return "state is \"ready\" or \"leaving\""
	}
	return ""
}

// runRelay fetches the records of another instance once and then relays updates
// until the process stops.
func (h *upstreamHandler) runRelay() {
	h.fetchRecords()
	ticker := time.NewTicker(relayInterval)
	defer ticker.Stop()
	for {
		select {
		case <-h.stop:
			return
		case now := <-ticker.C:
			h.relayUpdates(now)
		}
	}
}

// relayUpdates sends the records announced here since the last call to all other
// instances in parallel. A failed send is not repeated.
func (h *upstreamHandler) relayUpdates(now time.Time) {
	records := h.registrar.TakeUpdates(now)
	if len(records) == 0 {
		return
	}
	var sends sync.WaitGroup
	for _, member := range aliveEntries(h.announcer, h.settings.DataCenter) {
		sends.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), relayTimeout)
			defer cancel()
			_ = h.messenger.Post(ctx, member.Address, upstreamRecordsPath, records, nil)
		})
	}
	sends.Wait()
}

// fetchRecords merges the records of the first instance that responds, so that an
// instance knows the upstreams right after its start.
func (h *upstreamHandler) fetchRecords() {
	for _, member := range aliveEntries(h.announcer, h.settings.DataCenter) {
		ctx, cancel := context.WithTimeout(context.Background(), relayTimeout)
		var records []registrar.Record
		err := h.messenger.Get(ctx, member.Address, upstreamRecordsPath, &records)
		cancel()
		if err == nil {
			h.registrar.Merge(records, time.Now())
			return
		}
	}
}

func (h *upstreamHandler) mergeRecords(c *gin.Context) {
	var records []registrar.Record
	if !responder.Decode(c, maxRecordsBytes, &records) {
		return
	}
	now := time.Now()
	h.registrar.Merge(records, now)
	h.dispatcher.Refresh(now)
	c.Status(http.StatusNoContent)
}

// listRecords returns all records that have not expired.
func (h *upstreamHandler) listRecords(c *gin.Context) {
	c.JSON(http.StatusOK, h.registrar.All(time.Now()))
}
