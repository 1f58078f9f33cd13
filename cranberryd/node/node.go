// Package node assembles a process of the system that schedules jobs with steps:
// a gateway, which forwards calls, or an instance that replicates the log and
// schedules while it is the leader.
package node

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"runtime/debug"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/go-kit/log"
	"go.uber.org/fx"

	"cranberrystack.dev/cranberryd/loader"
	"cranberrystack.dev/cranberrystack/budgeter"
	"cranberrystack.dev/cranberrystack/forwarder"
	"cranberrystack.dev/cranberrystack/kernel"
	"cranberrystack.dev/cranberrystack/messenger"
	"cranberrystack.dev/cranberrystack/recorder"
)

const (
	idleTimeout = 2 * time.Minute
	// maxHandlingTime is the longest time that a call may take from its last byte to the
	// response.
	maxHandlingTime = 30 * time.Second
	// peerDialTimeout bounds the dial to another instance.
	peerDialTimeout = 200 * time.Millisecond
	// memoryLimitPercent is the share of the memory in the settings that the Go
	// runtime gets as its soft limit.
	memoryLimitPercent = 60
)

// Listen opens a listener on an address. Tests replace the operating system's.
type Listen func(address string) (net.Listener, error)

// Clock returns the time since the machine started, including the time for which
// it was suspended.
type Clock func() time.Duration

// Dependencies are the parts of the operating system that a node uses, and its
// logger.
type Dependencies struct {
	Listen Listen
	Dial   messenger.Dial
	Clock  Clock
	Logger log.Logger
	// DroppedLines returns the number of log lines that were dropped.
	DroppedLines func() int64
	// SetLogRate sets the largest number of log lines per second.
	SetLogRate func(lines int)
}

// Node is a process with one role: gateway or coordination.
type Node struct {
	kernel     *kernel.Kernel
	settings   *loader.NodeSettings
	components *components
	logger     log.Logger
}

// components holds what both roles use.
type components struct {
	settings  *loader.NodeSettings
	deps      Dependencies
	messenger *messenger.Messenger
	budgeter  *budgeter.Budgeter
	recorder  *recorder.Recorder
	logger    log.Logger
	// engine routes the calls of other instances.
	engine   *gin.Engine
	servers  []*http.Server
	stopping atomic.Bool
	// varsMu lets one request at a time collect the metrics.
	varsMu sync.Mutex
	// peers returns the addresses of the instances that replicate the log. It is nil
	// on a gateway, which they never call.
	peers func() []string
	// forwarder is set while the role is assembled.
	forwarder *forwarder.Forwarder
	// seedSetters are called with the seeds at each reload.
	seedSetters []func([]string)
	// drain is called first when the process stops. It returns when the
	// listeners may be closed. It may be nil.
	drain  func(ctx context.Context)
	failed chan error
}

// limitMemory sets the runtime's soft memory limit. If the settings have none, it
// leaves the present one in force.
func limitMemory(settings *loader.NodeSettings) {
	if settings.MemoryMiB > 0 {
		debug.SetMemoryLimit(settings.MemoryMiB << 20 * memoryLimitPercent / 100)
	}
}

// New assembles a node, recovers its state from disk and, with the coordination role,
// starts to replicate the log. Everything else begins with Start.
func New(settings *loader.NodeSettings, deps Dependencies) (*Node, error) {
	limitMemory(settings)
	n := &Node{settings: settings, logger: deps.Logger}
	k, err := kernel.New([]string{settings.Role}, kernel.With(
		fx.Supply(settings, deps),
		fx.Provide(newComponents),
		fx.Populate(&n.components),
	))
	if err != nil {
		return nil, fmt.Errorf("assemble instance %s: %w", settings.Instance, err)
	}
	n.kernel = k
	return n, nil
}

func newComponents(lifecycle fx.Lifecycle, settings *loader.NodeSettings, deps Dependencies) *components {
	gin.SetMode(gin.ReleaseMode)
	shares := newBudgeter(settings)
	dial := messenger.Dial(shares.Dial(purposeInstances, budgeter.Dial(messenger.DialTimeout(deps.Dial, peerDialTimeout))))
	p := &components{
		settings: settings, deps: deps, logger: deps.Logger, budgeter: shares,
		messenger: messenger.NewBounded("", dial, connsPerInstance), recorder: recorder.New(), engine: gin.New(),
		failed: make(chan error, 1),
	}
	p.recorder.Publish("descriptors", p.descriptorUsage)
	p.recorder.Publish("bodies", func() any { return shares.Memory() })
	p.recorder.Publish("log.lines-dropped", func() any { return deps.DroppedLines() })
	p.engine.Use(gin.Recovery())
	p.engine.GET(varsPath, p.serveVars)
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			if err := p.serveMetrics(); err != nil {
				return err
			}
			return p.serve(settings.Address, purposeCalls, p.engine)
		},
		OnStop: p.shutdown,
	})
	return p
}

// varsPath is the path that serves counters and histograms.
const varsPath = "/debug/vars"

func (p *components) serveVars(g *gin.Context) {
	p.varsMu.Lock()
	vars := p.recorder.Vars().String()
	p.varsMu.Unlock()
	g.Data(http.StatusOK, "application/json; charset=utf-8", []byte(vars))
}

// serveMetrics serves varsPath on the metrics address, if the settings have one.
func (p *components) serveMetrics() error {
	if p.settings.Metrics == "" {
		return nil
	}
	engine := gin.New()
	engine.GET(varsPath, p.serveVars)
	return p.serve(p.settings.Metrics, purposeMetrics, engine)
}

// serve serves HTTP on an address until the process stops, on connections of the
// purpose's share. A server that fails fails the process.
func (p *components) serve(address string, purpose budgeter.Purpose, handler http.Handler) error {
	listener, err := p.deps.Listen(address)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", address, err)
	}
	bounded := p.budgeter.Listen(purpose, listener, p.isPeer)
	requests := p.settings.Requests
	server := &http.Server{
		Handler:           budgeter.Bound(handler, requests.BodyTimeout.Std(), refuse),
		MaxHeaderBytes:    requests.MaxHeadBytes,
		ReadHeaderTimeout: requests.HeadTimeout.Std(),
		// It begins when the head has been read.
		WriteTimeout: requests.BodyTimeout.Std() + maxHandlingTime + requests.AnswerTimeout.Std(),
		IdleTimeout:  idleTimeout,
		ConnState:    bounded.ConnState,
		ConnContext:  bounded.ConnContext,
	}
	p.servers = append(p.servers, server)
	go func() {
		if err := server.Serve(bounded); !errors.Is(err, http.ErrServerClosed) {
			p.reportFailure(fmt.Errorf("serve %s: %w", address, err))
		}
	}()
	return nil
}

// reportFailure sends the first failure to the channel of Failed and drops later
// ones.
func (p *components) reportFailure(err error) {
	select {
	case p.failed <- err:
	default:
	}
}

// shutdown closes the listeners and waits for requests in progress, in reverse
// order of the start.
func (p *components) shutdown(ctx context.Context) error {
	var failure error
	for i := len(p.servers) - 1; i >= 0; i-- {
		if err := p.servers[i].Shutdown(ctx); err != nil {
			failure = fmt.Errorf("shut down an HTTP server: %w", err)
		}
	}
	return failure
}

// ready returns the reason why the process accepts no calls, or nil if it does.
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

// Start starts the role and the servers.
func (n *Node) Start(ctx context.Context) error {
	return n.kernel.Start(ctx)
}

// Stop makes the process unready, lets requests in progress finish, and stops all
// components. It ends shortly before the grace of the settings does.
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

// Reload applies the seeds, the log rate and the memory limit of new settings. The
// event `reloaded` names the settings that were applied, and those that differ and
// need a restart.
func (n *Node) Reload(settings *loader.NodeSettings) {
	applied, restart := n.settings.Changes(settings)
	for _, setSeeds := range n.components.seedSetters {
		setSeeds(settings.SeedAddresses())
	}
	n.components.deps.SetLogRate(settings.Log.LinesPerSecond)
	limitMemory(settings)
	n.components.budgeter.SetMemory(requestMemory(settings))
	n.settings.Seeds, n.settings.Log, n.settings.MemoryMiB = settings.Seeds, settings.Log, settings.MemoryMiB
	_ = n.logger.Log("event", "reloaded", "seeds", fmt.Sprint(settings.Seeds),
		"applied", strings.Join(applied, ","), "needs-restart", strings.Join(restart, ","))
}

// Failed returns a channel that receives the first error after which the process
// can't continue.
func (n *Node) Failed() <-chan error { return n.components.failed }

// Ready returns the reason why the process accepts no calls, or nil if it does.
func (n *Node) Ready() error { return n.components.ready() }
