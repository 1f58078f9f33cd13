package coordinator

import (
	"context"
	"net/http"
	"time"

	"github.com/gin-gonic/gin"

	"cranberrystack.dev/cranberrystack/forwarder"
	"cranberrystack.dev/cranberrystack/messenger"
	"cranberrystack.dev/cranberrystack/replicator"
	"cranberrystack.dev/cranberrystack/responder"
)

const (
	messagesPath      = "/log/messages"
	formationPath     = "/log/formation"
	announcementsPath = "/log/announcements"
	contactsPath      = "/contacts"
	handleTimeout     = 5 * time.Second
)

// Routes registers the handlers for requests of other instances.
func (c *Coordinator) Routes(routes gin.IRoutes) {
	routes.POST(messagesPath, c.handleMessage)
	routes.GET(formationPath, func(g *gin.Context) { g.JSON(http.StatusOK, c.node.Formation()) })
	routes.POST(announcementsPath, func(g *gin.Context) {
		var peer replicator.Peer
		if responder.Decode(g, messenger.MaxMessageBytes, &peer) {
			g.JSON(http.StatusOK, c.HandleAnnouncement(peer))
		}
	})
	routes.POST(contactsPath, func(g *gin.Context) {
		var body contactsBody
		if responder.Decode(g, messenger.MaxMessageBytes, &body) {
			g.JSON(http.StatusOK, contactsAnswer{Accepted: c.HandleContacts(body.Contacts)})
		}
	})
	routes.GET(forwarder.StatusPath, func(g *gin.Context) { g.JSON(http.StatusOK, c.Status()) })
	routes.POST(forwarder.Path, func(g *gin.Context) {
		var call forwarder.Call
		if !responder.Decode(g, messenger.MaxMessageBytes, &call) {
			return
		}
		ctx, cancel := context.WithTimeout(g.Request.Context(), handleTimeout)
		defer cancel()
		_ = c.Handle(ctx, call).Respond(g.Writer)
	})
}

func (c *Coordinator) handleMessage(g *gin.Context) {
	var message replicator.Message
	if !responder.Decode(g, messenger.MaxMessageBytes, &message) {
		return
	}
	ctx, cancel := context.WithTimeout(g.Request.Context(), handleTimeout)
	defer cancel()
	answers, err := c.node.Handle(ctx, message)
	if err != nil {
		responder.Fail(g, responder.Problem{Status: http.StatusServiceUnavailable, Code: responder.CodeUnavailable, Reason: err.Error()})
		return
	}
	g.JSON(http.StatusOK, answers)
}

// Transport returns a transport of the replicated log over a messenger.
func Transport(m *messenger.Messenger) replicator.Transport {
	return replicator.Transport{
		Send: func(ctx context.Context, peer replicator.Peer, message replicator.Message) ([]replicator.Message, error) {
			var answers []replicator.Message
			err := m.Post(ctx, peer.Address, messagesPath, message, &answers)
			return answers, err
		},
		Formation: func(ctx context.Context, peer replicator.Peer) (replicator.Formation, error) {
			var formation replicator.Formation
			err := m.Get(ctx, peer.Address, formationPath, &formation)
			return formation, err
		},
	}
}

// AnnounceOver returns a function that announces an instance over a messenger.
func AnnounceOver(m *messenger.Messenger) Announce {
	return func(ctx context.Context, address string, peer replicator.Peer) (forwarder.Status, error) {
		var status forwarder.Status
		err := m.Post(ctx, address, announcementsPath, peer, &status)
		return status, err
	}
}
