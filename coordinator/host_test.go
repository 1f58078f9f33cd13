package coordinator_test

import (
	"cmp"
	"context"
	"os"
	"slices"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"cranberrystack.dev/cranberrystack/coordinator"
	"cranberrystack.dev/cranberrystack/forwarder"
	"cranberrystack.dev/cranberrystack/identifier"
	"cranberrystack.dev/cranberrystack/journaler"
	"cranberrystack.dev/cranberrystack/recorder"
	"cranberrystack.dev/cranberrystack/replicator"
)

// host is an instance of the cluster with its disk.
type host struct {
	cluster     *cluster
	name        string
	dir         string
	coordinator *coordinator.Coordinator
	forwarder   *forwarder.Forwarder
	starts      int
	// clockAhead is how far the clock of its leader lease has been put forward, in
	// nanoseconds.
	clockAhead atomic.Int64
}

func (h *host) start(bootstrap bool) {
	c := h.cluster
	c.mu.Lock()
	c.down[h.name] = false
	h.starts++
	c.mu.Unlock()
	files := journaler.DefaultFileOperations()
	files.Sync = func(*os.File) error {
		if c.load != nil {
			time.Sleep(c.load.delayOfWrite())
		}
		return nil
	}
	opened, err := coordinator.Open(coordinator.Config{
		ID: identifier.InstanceID(h.name), Dir: h.dir, Address: h.name, ReportTo: h.name,
		Seeds: c.seeds, Bootstrap: bootstrap, Voters: 3,
		Transport: replicator.Transport{Send: h.send, Formation: h.formation},
		Announce:  h.announce, PassOn: h.passOn, Orders: c.orders(h.name), Advise: c.advise, MachineManager: c.machines,
		Recorder: recorder.New(), Logger: log.With(log.NewLogfmtLogger(log.NewSyncWriter(&lockedWriter{c: c})), "at", log.Valuer(func() any { return time.Since(c.startedAt).Milliseconds() }), "host", h.name),
	}, coordinator.HeldPolls(c.heldPolls), coordinator.FairShare(c.fairShare), coordinator.LearnRunTimes(c.learnRunTimes), coordinator.JobMemory(cmp.Or(c.jobMemory, coordinator.DefaultJobMemory)), coordinator.DataCenters(c.dataCenters...), coordinator.Clock(h.clock), coordinator.LogOptions(
		replicator.HeartbeatInterval(120*time.Millisecond), replicator.ElectionTimeout(700*time.Millisecond),
		replicator.CompactEntries(60), replicator.JournalOptions(journaler.WithFileOperations(files)),
		replicator.RandomSeed(uint64(len(h.name)+h.starts)*7919+uint64(h.name[len(h.name)-1])),
	))
	if err != nil {
		c.t.Fatalf("open %s: %v", h.name, err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	h.coordinator = opened
	h.forwarder = forwarder.New(forwarder.Config{
		Address: h.name, Post: h.post, Get: h.get, NotSent: errUnreachable, Local: opened.Handle,
	}, c.seeds)
}

func (h *host) clock() time.Duration {
	return time.Since(h.cluster.startedAt) + time.Duration(h.clockAhead.Load())
}

// running returns the coordinator and forwarder of the host; the coordinator is
// nil while the host is stopped.
func (h *host) running() (*coordinator.Coordinator, *forwarder.Forwarder) {
	h.cluster.mu.Lock()
	defer h.cluster.mu.Unlock()
	return h.coordinator, h.forwarder
}

type lockedWriter struct{ c *cluster }

func (w *lockedWriter) Write(data []byte) (int, error) {
	w.c.mu.Lock()
	defer w.c.mu.Unlock()
	return w.c.logs.Write(data)
}

// crash disconnects an instance and then stops it, so that it can't hand over
// leadership. Its disk stays.
func (h *host) crash() {
	h.cluster.mu.Lock()
	h.cluster.down[h.name] = true
	h.cluster.mu.Unlock()
	h.stop()
}

func (h *host) stop() {
	running, _ := h.running()
	if running == nil {
		return
	}
	running.Stop()
	h.cluster.mu.Lock()
	h.coordinator = nil
	h.cluster.mu.Unlock()
	h.cluster.workerCluster.Disconnect(h.name)
}

// wipe deletes the disk of a stopped host.
func (h *host) wipe() {
	if err := os.RemoveAll(h.dir); err != nil {
		h.cluster.t.Fatal(err)
	}
}

// reach returns the instance at an address after linkDelay, or errUnreachable if
// the two are partitioned or the instance is down.
func (h *host) reach(ctx context.Context, address string) (*coordinator.Coordinator, error) {
	c := h.cluster
	time.Sleep(linkDelay)
	if c.load != nil {
		time.Sleep(c.load.delayOfLink())
	}
	c.mu.Lock()
	blocked := c.down[address] || c.down[h.name] || c.partitioned[[2]string{h.name, address}]
	c.mu.Unlock()
	for _, other := range c.hosts {
		if running, _ := other.running(); other.name == address && !blocked && running != nil {
			return running, nil
		}
	}
	select {
	case <-ctx.Done():
	case <-time.After(200 * time.Millisecond):
	}
	return nil, errUnreachable
}

func (h *host) send(ctx context.Context, peer replicator.Peer, message replicator.Message) ([]replicator.Message, error) {
	if h.cluster.load != nil {
		return overSlowLink(ctx, h.cluster.load, func(ctx context.Context) ([]replicator.Message, error) { return h.deliver(ctx, peer, message) })
	}
	return h.deliver(ctx, peer, message)
}

func (h *host) deliver(ctx context.Context, peer replicator.Peer, message replicator.Message) ([]replicator.Message, error) {
	target, err := h.reach(ctx, peer.Address)
	if err != nil {
		return nil, err
	}
	if h.cluster.losesEntries.Load() && len(message.Entries) > 0 {
		return nil, errUnreachable
	}
	if message.Snapshot != nil || len(message.Entries) > 0 {
		h.cluster.parts.Add(1)
		if !slices.Contains(append(target.Peers(), h.cluster.seeds...), h.name) {
			h.cluster.partsOfStrangers.Add(1)
		}
	}
	return target.Node().Handle(ctx, message)
}

func (h *host) formation(ctx context.Context, peer replicator.Peer) (replicator.Formation, error) {
	target, err := h.reach(ctx, peer.Address)
	if err != nil {
		return replicator.Formation{}, err
	}
	return target.Node().Formation(), nil
}

func (h *host) announce(ctx context.Context, address string, peer replicator.Peer) (forwarder.Status, error) {
	target, err := h.reach(ctx, address)
	if err != nil {
		return forwarder.Status{}, err
	}
	return target.HandleAnnouncement(peer), nil
}

func (h *host) passOn(ctx context.Context, address string, contacts []coordinator.Contact) (bool, error) {
	target, err := h.reach(ctx, address)
	if err != nil {
		return false, err
	}
	return target.HandleContacts(contacts), nil
}

func (h *host) post(ctx context.Context, address, _ string, in, out any) error {
	target, err := h.reach(ctx, address)
	if err != nil {
		return err
	}
	if in.(forwarder.Call).Kind == forwarder.KindReport {
		h.cluster.forwardedReports.Add(1)
	}
	*out.(*forwarder.Answer) = target.Handle(ctx, in.(forwarder.Call))
	return nil
}

func (h *host) get(ctx context.Context, address, _ string, out any) error {
	target, err := h.reach(ctx, address)
	if err != nil {
		return err
	}
	*out.(*forwarder.Status) = target.Status()
	return nil
}

// isolate partitions instances from all others, or heals the partition.
func (c *cluster) isolate(isolated bool, names ...string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, name := range names {
		for _, other := range c.hosts {
			if other.name != name {
				c.partitioned[[2]string{name, other.name}] = isolated
				c.partitioned[[2]string{other.name, name}] = isolated
			}
		}
	}
}
