// Package membership provides the components that every process has: the
// authenticator, the server, the messenger, the membership of instances, and the
// view of the replicated lists.
package membership

import (
	"context"
	"errors"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"go.uber.org/fx"

	"cranberrystack.dev/cranberryd/loader"
	"cranberrystack.dev/cranberryd/server"
	"cranberrystack.dev/cranberrystack/announcer"
	"cranberrystack.dev/cranberrystack/authenticator"
	"cranberrystack.dev/cranberrystack/configurer"
	"cranberrystack.dev/cranberrystack/controller"
	"cranberrystack.dev/cranberrystack/identifier"
	"cranberrystack.dev/cranberrystack/messenger"
	"cranberrystack.dev/cranberrystack/recorder"
	"cranberrystack.dev/cranberrystack/spreader"
)

// Option provides the components and registers their routes.
var Option = fx.Options(
	fx.Provide(
		recorder.New, newAuthenticator, newMessenger, newAnnouncer, newViewReplica,
		newSpreader, controller.NewClient, server.New,
	),
	fx.Invoke(serve),
)

func newAuthenticator(settings *loader.Settings) *authenticator.Authenticator {
	credentials := []authenticator.Credential{{
		Token:    settings.PeerToken,
		Identity: authenticator.Identity{Kind: authenticator.KindPeer, Subject: "peer"},
	}}
	for _, token := range settings.Tokens {
		credentials = append(credentials, authenticator.Credential{
			Token:    token.Token,
			Identity: authenticator.Identity{Kind: token.Kind, Subject: token.Subject, Member: token.Member},
		})
	}
	return authenticator.New(credentials)
}

// newMessenger returns a messenger that is closed when the process stops.
func newMessenger(lifecycle fx.Lifecycle, settings *loader.Settings, dial messenger.Dial) *messenger.Messenger {
	m := messenger.New(settings.PeerToken, dial)
	lifecycle.Append(fx.StopHook(m.Close))
	return m
}

func newViewReplica() *configurer.ViewReplica {
	return configurer.NewViewReplica(time.Now())
}

func announcerMember(peer loader.Peer) announcer.Member {
	return announcer.Member{
		ID: peer.Instance, Address: peer.Address, DataCenter: peer.DataCenter,
		Region: peer.Region, Roles: peer.Roles,
	}
}

func newAnnouncer(settings *loader.Settings, m *messenger.Messenger) *announcer.Announcer {
	var seeds []announcer.Member
	for _, peer := range settings.Peers {
		seeds = append(seeds, announcerMember(peer))
	}
	self := announcerMember(settings.Self())
	self.Incarnation = identifier.Incarnation(time.Now().UnixNano())
	return announcer.New(self, seeds, m,
		announcer.ProbeInterval(settings.Membership.ProbeInterval.Std()),
		announcer.SuspectTimeout(settings.Membership.SuspectTimeout.Std()))
}

func newSpreader(replica *configurer.ViewReplica, a *announcer.Announcer, m *messenger.Messenger) *spreader.Spreader {
	return spreader.New(replica, a, m)
}

var errListsUnknown = errors.New("lists are not known yet")

var errOutboundIsolated = errors.New("others do not hear this instance")

// listsStatus describes the view of the lists that an instance applies, as its
// counters show it.
type listsStatus struct {
	Index   uint64                 `json:"index"`
	Version identifier.ListVersion `json:"version"`
	Age     time.Duration          `json:"age-ns"`
}

// serve registers the routes between instances and the counters. The process is
// ready only if it knows the lists and is not one that others reach while its own
// probes get no responses.
func serve(lifecycle fx.Lifecycle, s *server.Server, a *announcer.Announcer, sp *spreader.Spreader, replica *configurer.ViewReplica, m *messenger.Messenger, r *recorder.Recorder, logger log.Logger) {
	peers := s.Group(authenticator.KindPeer)
	a.Routes(peers)
	sp.Routes(peers)
	s.AddCheck(func() error {
		if !sp.Joined() {
			return errListsUnknown
		}
		if a.OutboundIsolated(time.Now()) {
			return errOutboundIsolated
		}
		return nil
	})
	replica.OnChange(func(view configurer.View) {
		_ = level.Info(logger).Log("event", "lists-in-force", "version", view.Lists.Version, "index", view.Index)
	})
	r.Publish("lists", func() any {
		view := replica.View()
		return listsStatus{Index: view.Index, Version: view.Lists.Version, Age: replica.Age(time.Now())}
	})
	r.Publish("peer-traffic", func() any {
		sent, received := m.Traffic()
		return map[string]int64{"sent-bytes": sent, "received-bytes": received}
	})
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			a.Start()
			sp.Start()
			return nil
		},
		OnStop: func(context.Context) error {
			sp.Stop()
			a.Stop()
			return nil
		},
	})
}
