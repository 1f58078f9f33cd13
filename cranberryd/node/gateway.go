package node

import (
	"context"
	"net/http"
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
		Name: loader.RoleGateway, Summary: "takes the calls of members and brings them to the leader",
		Option: fx.Invoke(runGateway),
	})
}

// rotationTime is how long new connections may still come after the process
// has become unready.
const rotationTime = 2500 * time.Millisecond

func (p *parts) newForwarder(local forwarder.Handler) *forwarder.Forwarder {
	f := forwarder.New(forwarder.Config{
		Address: p.settings.Address, Post: p.messenger.Post, Get: p.messenger.Get, NotSent: messenger.ErrNotSent, Local: local,
		Event: func(event, leader string) { _ = p.logger.Log("event", event, "leader", leader) },
	}, p.settings.SeedAddresses())
	p.forwarder = f
	p.setSeeds = append(p.setSeeds, f.SetSeeds)
	return f
}

func runGateway(lifecycle fx.Lifecycle, p *parts) {
	f := p.newForwarder(nil)
	p.engine.POST(forwarder.Path, func(g *gin.Context) {
		var call forwarder.Call
		if responder.Decode(g, messenger.MaxMessageBytes, &call) {
			g.JSON(http.StatusOK, f.Do(g.Request.Context(), call))
		}
	})
	ctx, cancel := context.WithCancel(context.Background())
	p.drain = func(ctx context.Context) {
		timer := time.NewTimer(rotationTime)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
		}
	}
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go f.TrackLeader(ctx)
			if err := p.serve(p.settings.Listen.Calls, platform.MemberHandler(p.observed(f.Do))); err != nil {
				return err
			}
			return p.serve(p.settings.Listen.Ready, platform.ReadyHandler(p.ready))
		},
		OnStop: func(context.Context) error {
			cancel()
			return nil
		},
	})
}

// observed logs calls that were not answered as asked, and measures all.
func (p *parts) observed(do platform.Gateway) platform.Gateway {
	return func(ctx context.Context, call forwarder.Call) forwarder.Answer {
		start := time.Now()
		answer := do(ctx, call)
		took := time.Since(start)
		_ = p.recorder.Observe(seriesOf(call.Kind, answer.Code), took)
		if !answer.OK() && answer.Code != forwarder.CodeNoSuchJob {
			_ = p.logger.Log("event", "call-refused", "kind", call.Kind, "path", call.Path, "worker", call.Worker,
				"code", answer.Code, "reason", answer.Reason, "took-ms", took.Milliseconds())
		}
		return answer
	}
}
