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
	recordsPath     = "/peer/entry/upstreams"
	relayInterval   = time.Second
	relayTimeout    = 800 * time.Millisecond
	maxAnnouncement = 16 << 10
	maxRecords      = 8 << 20
	maxSlots        = 4096
)

type upstreamAnnouncement struct {
	ID          identifier.UpstreamID  `json:"id"`
	Address     string                 `json:"address"`
	Slots       int                    `json:"slots"`
	State       registrar.State        `json:"state"`
	Incarnation identifier.Incarnation `json:"incarnation"`
	Sequence    uint64                 `json:"sequence"`
}

// upstreamHandler takes announcements and passes them on to the other entry
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
	peers.POST(recordsPath, h.merge)
	peers.GET(recordsPath, h.all)
	s.Group(authenticator.KindOperator).GET("/v1/upstreams", h.all)
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			h.done.Go(h.relayRegularly)
			return nil
		},
		OnStop: func(context.Context) error {
			close(h.stop)
			h.done.Wait()
			return nil
		},
	})
}

func (h *upstreamHandler) announce(c *gin.Context) {
	var message upstreamAnnouncement
	if !responder.Decode(c, maxAnnouncement, &message) {
		return
	}
	if reason := faultOf(&message); reason != "" {
		invalid(c, reason)
		return
	}
	identity := server.Identity(c)
	upstream := registrar.Upstream{
		ID: message.ID, Address: message.Address, Subject: identity.Subject, Member: identity.Member,
		Slots: message.Slots, State: message.State,
		Incarnation: message.Incarnation, Sequence: message.Sequence,
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
		h.relay(now)
	}
	c.Status(http.StatusNoContent)
}

func faultOf(message *upstreamAnnouncement) string {
	switch {
	case message.ID == "" || message.Address == "":
		return "id and address are required"
	case message.Slots < 1 || message.Slots > maxSlots:
		return "slots is a number from 1 to 4096"
	case message.State != registrar.StateReady && message.State != registrar.StateDraining:
		return "state is \"ready\" or \"leaving\""
	}
	return ""
}

func (h *upstreamHandler) relayRegularly() {
	h.fetchAll()
	ticker := time.NewTicker(relayInterval)
	defer ticker.Stop()
	for {
		select {
		case <-h.stop:
			return
		case now := <-ticker.C:
			h.relay(now)
		}
	}
}

// relay passes on what was heard here since the last time, to all others at
// once.
func (h *upstreamHandler) relay(now time.Time) {
	records := h.registrar.TakeUpdates(now)
	if len(records) == 0 {
		return
	}
	var sending sync.WaitGroup
	for _, member := range entries(h.announcer, h.settings.DataCenter) {
		sending.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), relayTimeout)
			defer cancel()
			_ = h.messenger.Post(ctx, member.Address, recordsPath, records, nil)
		})
	}
	sending.Wait()
}

// fetchAll lets an instance that starts know the upstreams at once.
func (h *upstreamHandler) fetchAll() {
	for _, member := range entries(h.announcer, h.settings.DataCenter) {
		ctx, cancel := context.WithTimeout(context.Background(), relayTimeout)
		var records []registrar.Record
		err := h.messenger.Get(ctx, member.Address, recordsPath, &records)
		cancel()
		if err == nil {
			h.registrar.Merge(records, time.Now())
			return
		}
	}
}

func (h *upstreamHandler) merge(c *gin.Context) {
	var records []registrar.Record
	if !responder.Decode(c, maxRecords, &records) {
		return
	}
	now := time.Now()
	h.registrar.Merge(records, now)
	h.dispatcher.Refresh(now)
	c.Status(http.StatusNoContent)
}

func (h *upstreamHandler) all(c *gin.Context) {
	c.JSON(http.StatusOK, h.registrar.All(time.Now()))
}
