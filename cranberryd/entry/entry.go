// Package entry is the plug-in of the entry role: it serves the HTTP interfaces
// of callers, upstreams and workers.
package entry

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"path/filepath"

	"github.com/gin-gonic/gin"
	"github.com/google/uuid"
	"go.uber.org/fx"

	"cranberrystack.dev/cranberryd/loader"
	"cranberrystack.dev/cranberryd/server"
	"cranberrystack.dev/cranberrystack/announcer"
	"cranberrystack.dev/cranberrystack/authenticator"
	"cranberrystack.dev/cranberrystack/claimer"
	"cranberrystack.dev/cranberrystack/configurer"
	"cranberrystack.dev/cranberrystack/connector"
	"cranberrystack.dev/cranberrystack/controller"
	"cranberrystack.dev/cranberrystack/dispatcher"
	"cranberrystack.dev/cranberrystack/identifier"
	"cranberrystack.dev/cranberrystack/kernel"
	"cranberrystack.dev/cranberrystack/limiter"
	"cranberrystack.dev/cranberrystack/messenger"
	"cranberrystack.dev/cranberrystack/overseer"
	"cranberrystack.dev/cranberrystack/recorder"
	"cranberrystack.dev/cranberrystack/registrar"
	"cranberrystack.dev/cranberrystack/responder"
)

// Role is the name of the role.
const Role = "entry"

// claimFolder is the folder of the claims within the data folder.
const claimFolder = "claims"

func init() {
	kernel.Register(kernel.Plugin{
		Name: Role, Summary: "serves callers, upstreams and workers",
		Option: fx.Options(
			fx.Provide(newRegistrar, newClaimer, newDispatcher, newJobClient),
			fx.Invoke(serveRequests, serveUpstreams, serveJobs, serveWorkers),
		),
	})
}

func newRegistrar(settings *loader.Settings) *registrar.Registrar {
	return registrar.New(settings.Requests.UpstreamExpiry.Std())
}

func newJobClient(settings *loader.Settings, a *announcer.Announcer, m *messenger.Messenger, replica *configurer.ViewReplica) *overseer.Client {
	return overseer.NewClient(a, m, replica, settings.DataCenter)
}

// claimPeers returns the other instances of the data centre's claim group. They
// are read from the settings alone, so that all instances agree on the group.
func claimPeers(settings *loader.Settings) []claimer.Peer {
	var peers []claimer.Peer
	for i := range settings.Peers {
		peer := &settings.Peers[i]
		if peer.DataCenter == settings.DataCenter && peer.Has(Role) && peer.Instance != settings.Instance {
			peers = append(peers, claimer.Peer{ID: peer.Instance, Address: peer.Address})
		}
	}
	return peers
}

func newClaimer(lifecycle fx.Lifecycle, settings *loader.Settings, a *announcer.Announcer, m *messenger.Messenger, replica *configurer.ViewReplica, client *controller.Client, r *recorder.Recorder) (*claimer.Claimer, error) {
	deps := claimer.Dependencies{
		Group: func() configurer.ClaimGroup {
			view := replica.View()
			return view.Group(settings.DataCenter)
		},
		Propose: func(ctx context.Context, group configurer.ClaimGroup) error {
			command := configurer.Command{Kind: configurer.CommandGroup, RequestID: uuid.NewString(), Group: &group}
			_, err := client.Propose(ctx, command)
			return err
		},
	}
	dir := ""
	if settings.DataFolder != "" {
		dir = filepath.Join(settings.DataFolder, claimFolder)
	}
	c, err := claimer.New(settings.Instance, a.Self().Incarnation, settings.DataCenter, claimPeers(settings), m, deps,
		claimer.Retention(settings.Requests.ResponseRetention.Std()),
		claimer.MaxBytes(settings.Requests.ClaimBytes), claimer.Dir(dir))
	if err != nil {
		return nil, fmt.Errorf("open the claims: %w", err)
	}
	r.Publish("claims", func() any { return c.Usage() })
	lifecycle.Append(fx.StartStopHook(c.Start, c.Stop))
	return c, nil
}

func newDispatcher(lifecycle fx.Lifecycle, settings *loader.Settings, reg *registrar.Registrar, c *claimer.Claimer, r *recorder.Recorder, dial messenger.Dial, replica *configurer.ViewReplica, a *announcer.Announcer) *dispatcher.Dispatcher {
	d := dispatcher.New(dispatcher.Dependencies{
		Self: settings.Instance, Registrar: reg, Claims: c, Recorder: r,
		Dial: connector.Dial(dial), View: replica.View,
		Entries: func() []identifier.InstanceID { return aliveEntryIDs(a, settings.DataCenter) },
	}, dispatcher.LimiterOptions(limiter.QueueLength(settings.Requests.QueueLength)),
		dispatcher.ConnectorOptions(connector.MaxResponseBytes(settings.Requests.MaxResponseBytes)))
	r.Publish("load", func() any { return d.Load() })
	lifecycle.Append(fx.StartStopHook(d.Start, func() {
		d.Drain()
		d.Stop()
	}))
	return d
}

// aliveEntries returns the other entry instances of a data centre that are alive or
// suspect.
func aliveEntries(a *announcer.Announcer, dataCenter identifier.DataCenterID) []announcer.Member {
	return a.AliveIn(Role, dataCenter)
}

func aliveEntryIDs(a *announcer.Announcer, dataCenter identifier.DataCenterID) []identifier.InstanceID {
	var ids []identifier.InstanceID
	for _, member := range aliveEntries(a, dataCenter) {
		ids = append(ids, member.ID)
	}
	return ids
}

var errClaimsNotRecovered = errors.New("claims are not recovered yet")

// serveRequests registers the routes for requests: those of callers, those for
// requests and claims between instances, and the operators' reset of the claims.
// The process is ready only after its claims are recovered.
func serveRequests(s *server.Server, settings *loader.Settings, d *dispatcher.Dispatcher, c *claimer.Claimer, a *announcer.Announcer, dial messenger.Dial) {
	h := &requestHandler{settings: settings, dispatcher: d, announcer: a, client: newForwardClient(dial)}
	callers := s.Group(authenticator.KindCaller)
	callers.POST("/v1/requests", h.submit)
	callers.POST("/v1/keys", h.issueKey)
	peers := s.Group(authenticator.KindPeer)
	peers.POST(forwardPath, h.forwarded)
	c.Routes(peers)
	s.Group(authenticator.KindOperator).POST("/v1/claims/reset", func(g *gin.Context) { resetClaims(g, c) })
	s.AddCheck(func() error {
		if !c.Ready() {
			return errClaimsNotRecovered
		}
		return nil
	})
}

func resetClaims(g *gin.Context, c *claimer.Claimer) {
	err := c.Reset()
	switch {
	case errors.Is(err, claimer.ErrHasClaims):
		responder.Fail(g, responder.Problem{Status: http.StatusConflict, Code: responder.CodeConflict, Reason: err.Error()})
	case err != nil:
		responder.Fail(g, responder.Problem{Status: http.StatusServiceUnavailable, Code: responder.CodeUnavailable, Reason: err.Error()})
	default:
		g.Status(http.StatusNoContent)
	}
}
