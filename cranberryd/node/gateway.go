package node

import (
	"context"
	"time"

	"github.com/gin-gonic/gin"
	"go.uber.org/fx"

	"cranberrystack.dev/cranberryd/loader"
	"cranberrystack.dev/cranberrystack/forwarder"
	"cranberrystack.dev/cranberrystack/kernel"
	"cranberrystack.dev/cranberrystack/messenger"
	"cranberrystack.dev/cranberrystack/platform"
	"cranberrystack.dev/cranberrystack/responder"
)

func init() {
	kernel.Register(kernel.Plugin{
		Name: loader.RoleGateway, Summary: "forwards the calls of members to the leader",
		Option: fx.Invoke(runGateway),
	})
}

// unreadyTime is how long new connections may still arrive after the process has
// become unready. A stopping gateway accepts them until then.
const unreadyTime = 2500 * time.Millisecond

// newForwarder returns the forwarder of the process, which follows the seeds in
// the settings. local handles the calls that this instance decides; it is nil on a
// gateway.
func (p *components) newForwarder(local forwarder.Handler) *forwarder.Forwarder {
	f := forwarder.New(forwarder.Config{
		Address: p.settings.Address, Post: p.messenger.Post, Get: p.messenger.Get, NotSent: messenger.ErrNotSent, Local: local,
		Event: func(event, leader string) { _ = p.logger.Log("event", event, "leader", leader) },
	}, p.settings.SeedAddresses())
	p.forwarder = f
	p.seedSetters = append(p.seedSetters, f.SetSeeds)
	return f
}

// runGateway assembles the gateway role.
func runGateway(lifecycle fx.Lifecycle, p *components) {
	f := p.newForwarder(nil)
	p.engine.POST(forwarder.Path, func(g *gin.Context) {
		var call forwarder.Call
		if responder.Decode(g, messenger.MaxMessageBytes, &call) {
			_ = f.Do(g.Request.Context(), call).Respond(g.Writer)
		}
	})
	ctx, cancel := context.WithCancel(context.Background())
	p.drain = func(ctx context.Context) {
		timer := time.NewTimer(unreadyTime)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
		}
	}
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go f.TrackLeader(ctx)
			if err := p.serve(p.settings.Listen.Calls, purposeCalls, platform.MemberHandler(p.instrument(f.Do))); err != nil {
				return err
			}
			return p.serve(p.settings.Listen.Ready, purposeMetrics, platform.ReadyHandler(p.ready))
		},
		OnStop: func(context.Context) error {
			cancel()
			return nil
		},
	})
}

// instrument returns a gateway that measures every call of next and logs those
// that fail. A call for a job that doesn't exist is not logged.
func (p *components) instrument(next platform.Gateway) platform.Gateway {
	return func(ctx context.Context, call forwarder.Call) forwarder.Answer {
		start := time.Now()
		answer := next(ctx, call)
		took := time.Since(start)
		_ = p.recorder.Observe(callSeries(call.Kind, answer.Code), took)
		if !answer.OK() && answer.Code != forwarder.CodeNoSuchJob {
			_ = p.logger.Log("event", "call-refused", "kind", call.Kind, "path", call.Path, "worker", call.Worker,
				"code", answer.Code, "reason", answer.Reason, "took-ms", took.Milliseconds())
		}
		return answer
	}
}
