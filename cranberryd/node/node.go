// Package node assembles a process that schedules jobs with steps: a gateway,
// which takes calls, or an instance that holds the log.
package node

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"runtime/debug"
	"strings"
	"sync/atomic"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/go-kit/log"
	"go.uber.org/fx"

	"cranberrystack.dev/cranberryd/loader"
	"cranberrystack.dev/cranberrystack/forwarder"
	"cranberrystack.dev/cranberrystack/kernel"
	"cranberrystack.dev/cranberrystack/messenger"
	"cranberrystack.dev/cranberrystack/recorder"
)

const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	// peerDialTimeout bounds the dial to another instance.
	peerDialTimeout = 200 * time.Millisecond
	// memoryLimitPercent is the part of the memory, in percent, that the runtime tries
	// to stay under.
	memoryLimitPercent = 60
)

// Listen opens a listener; it is a seam for tests.
type Listen func(address string) (net.Listener, error)

// Clock counts the time since the machine started, that in which it was
// suspended included.
type Clock func() time.Duration

// Dependencies are what a node takes from its surroundings.
type Dependencies struct {
	Listen Listen
	Dial   messenger.Dial
	Clock  Clock
	Logger log.Logger
	// DroppedLines returns the number of lines that were never written.
	DroppedLines func() int64
	// SetLogRate bounds the lines a second.
	SetLogRate func(lines int)
}

// Node is one process.
type Node struct {
	kernel     *kernel.Kernel
	settings   *loader.NodeSettings
	components *components
	logger     log.Logger
}

// components are what the roles share.
type components struct {
	settings  *loader.NodeSettings
	deps      Dependencies
	messenger *messenger.Messenger
	recorder  *recorder.Recorder
	logger    log.Logger
	// engine serves other instances.
	engine   *gin.Engine
	servers  []*http.Server
	stopping atomic.Bool
	// forwarder is set by the role.
	forwarder *forwarder.Forwarder
	// seedSetters are called when the seeds change.
	seedSetters []func([]string)
	// drain is called at the start of a stop, and returns when the process may
	// close its listeners.
	drain  func(ctx context.Context)
	failed chan error
}

func limitMemory(settings *loader.NodeSettings) {
	if settings.MemoryMiB > 0 {
		debug.SetMemoryLimit(settings.MemoryMiB << 20 * memoryLimitPercent / 100)
	}
}

// New assembles a node. Nothing is started yet but the recovery of what is on
// disk.
func New(settings *loader.NodeSettings, deps Dependencies) (*Node, error) {
	limitMemory(settings)
	n := &Node{settings: settings, logger: deps.Logger}
	k, err := kernel.New([]string{settings.Role}, kernel.With(
		fx.Supply(settings, deps),
		fx.Provide(newComponents),
		fx.Populate(&n.components),
	))
	if err != nil {
		return nil, fmt.Errorf("assemble %s: %w", settings.Instance, err)
	}
	n.kernel = k
	return n, nil
}

func newComponents(lifecycle fx.Lifecycle, settings *loader.NodeSettings, deps Dependencies) *components {
	gin.SetMode(gin.ReleaseMode)
	p := &components{
		settings: settings, deps: deps, logger: deps.Logger,
		messenger: messenger.New("", messenger.DialTimeout(deps.Dial, peerDialTimeout)), recorder: recorder.New(), engine: gin.New(),
		failed: make(chan error, 1),
	}
	p.recorder.Publish("log.lines-dropped", func() any { return deps.DroppedLines() })
	p.engine.Use(gin.Recovery())
	p.engine.GET(varsPath, p.serveVars)
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			if err := p.serveMetrics(); err != nil {
				return err
			}
			return p.serve(settings.Address, p.engine)
		},
		OnStop: p.shutdown,
	})
	return p
}

// varsPath is where counters and histograms are read.
const varsPath = "/debug/vars"

func (p *components) serveVars(g *gin.Context) {
	g.Data(http.StatusOK, "application/json; charset=utf-8", []byte(p.recorder.Vars().String()))
}

// serveMetrics shows the counters on an address of their own, if there is one.
func (p *components) serveMetrics() error {
	if p.settings.Metrics == "" {
		return nil
	}
	engine := gin.New()
	engine.GET(varsPath, p.serveVars)
	return p.serve(p.settings.Metrics, engine)
}

// serve answers on an address until the process stops.
func (p *components) serve(address string, handler http.Handler) error {
	listener, err := p.deps.Listen(address)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", address, err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
	p.servers = append(p.servers, server)
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			p.reportFailure(fmt.Errorf("serve %s: %w", address, err))
		}
	}()
	return nil
}

func (p *components) reportFailure(err error) {
	select {
	case p.failed <- err:
	default:
	}
}

// shutdown lets requests in progress finish.
func (p *components) shutdown(ctx context.Context) error {
	var failure error
	for i := len(p.servers) - 1; i >= 0; i-- {
		if err := p.servers[i].Shutdown(ctx); err != nil {
			failure = fmt.Errorf("shut a server down: %w", err)
		}
	}
	return failure
}

// ready returns why the process takes no calls, or nil.
func (p *components) ready() error {
	if p.stopping.Load() {
		return errStopping
	}
	if !p.forwarder.Ready(time.Now()) {
		return errNoLeader
	}
	return nil
}

var (
	errStopping = errors.New("shutting down")
	errNoLeader = errors.New("no leader can be reached")
)

// Start starts the process.
func (n *Node) Start(ctx context.Context) error {
	return n.kernel.Start(ctx)
}

// Stop makes the process unready, lets requests in progress finish, and ends
// all parts within the grace of the settings.
func (n *Node) Stop() error {
	const shutdownMargin = 500 * time.Millisecond
	ctx, cancel := context.WithTimeout(context.Background(), n.settings.Bounds.Grace.Std()-shutdownMargin)
	defer cancel()
	n.components.stopping.Store(true)
	for _, server := range n.components.servers {
		server.SetKeepAlivesEnabled(false)
	}
	if n.components.drain != nil {
		n.components.drain(ctx)
	}
	return n.kernel.Stop(ctx)
}

// Reload takes over new settings. What can't be changed while the process runs
// is named in the log.
func (n *Node) Reload(settings *loader.NodeSettings) {
	applied, restart := n.settings.Changes(settings)
	for _, setSeeds := range n.components.seedSetters {
		setSeeds(settings.SeedAddresses())
	}
	n.components.deps.SetLogRate(settings.Log.LinesPerSecond)
	limitMemory(settings)
	n.settings.Seeds, n.settings.Log, n.settings.MemoryMiB = settings.Seeds, settings.Log, settings.MemoryMiB
	_ = n.logger.Log("event", "reloaded", "seeds", fmt.Sprint(settings.Seeds),
		"taken", strings.Join(applied, ","), "needs-restart", strings.Join(restart, ","))
}

// Failed yields the error after which the process can't go on.
func (n *Node) Failed() <-chan error { return n.components.failed }

// Ready returns why the process takes no calls, or nil.
func (n *Node) Ready() error { return n.components.ready() }
