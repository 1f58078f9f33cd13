// Package spreader distributes the view in force from the voters to every other
// instance. A change is pushed at once to a few instances, which push it on;
// each instance also fetches the changes that it lacks from any peer with a newer
// view. The view on an instance never goes back to an older one.
package spreader

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gin-gonic/gin"

	"cranberrystack.dev/cranberrystack/announcer"
	"cranberrystack.dev/cranberrystack/configurer"
	"cranberrystack.dev/cranberrystack/messenger"
	"cranberrystack.dev/cranberrystack/responder"
)

const (
	pushPath  = "/peer/spreader/push"
	fetchPath = "/peer/spreader/since"

	// fanout is the number of peers to which each instance pushes a change.
	// With 5, about one instance in 150 has to fetch the change itself.
	fanout          = 5
	sendTimeout     = 2 * time.Second        // of a push or fetch
	joinTimeout     = time.Second            // of a fetch while joining
	joinInterval    = 500 * time.Millisecond // between rounds of fetches
	maxMessageBytes = 32 << 20
)

// pushResponse holds the index of the receiver's view after a push.
type pushResponse struct {
	Index uint64 `json:"index"`
}

// Spreader keeps the view replica of one instance up to date.
type Spreader struct {
	replica   *configurer.ViewReplica
	announcer *announcer.Announcer
	messenger *messenger.Messenger

	stop chan struct{}
	wg   sync.WaitGroup
	// mu guards fetching, joined and stopped. It is never held during I/O.
	mu       sync.Mutex
	fetching bool
	joined   bool
	stopped  bool
}

// New returns a spreader for a replica. It must be called before the announcer is
// started.
func New(replica *configurer.ViewReplica, a *announcer.Announcer, m *messenger.Messenger) *Spreader {
	s := &Spreader{replica: replica, announcer: a, messenger: m, stop: make(chan struct{})}
	a.OnContact(s.fetchIfNewer)
	return s
}

// Start starts to join: all peers are queried, and queried again until the replica
// holds a view, from one of them or otherwise. The instance is not ready before
// every peer has been queried once and there is a view.
func (s *Spreader) Start() {
	s.wg.Go(s.join)
}

// Stop stops all fetches and pushes.
func (s *Spreader) Stop() {
	s.mu.Lock()
	s.stopped = true
	s.mu.Unlock()
	close(s.stop)
	s.wg.Wait()
}

// Joined reports whether the instance holds a view that is at least as new as
// that of every peer that it could reach when it started.
func (s *Spreader) Joined() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.joined
}

// join queries all peers, so that an instance without a disk does not start with
// lists that are older than those of a peer that it can reach.
func (s *Spreader) join() {
	for {
		s.fetchFromAll()
		if s.replica.Index() > 0 {
			s.mu.Lock()
			s.joined = true
			s.mu.Unlock()
			return
		}
		select {
		case <-s.stop:
			return
		case <-time.After(joinInterval):
		}
	}
}

func (s *Spreader) fetchFromAll() {
	var wg sync.WaitGroup
	for _, member := range s.announcer.Members() {
		wg.Go(func() { _ = s.fetch(member, joinTimeout) })
	}
	wg.Wait()
}

// Publish applies a delta from the local member of the log and pushes it to peers
// if it is new.
func (s *Spreader) Publish(delta configurer.Delta) {
	s.applyDelta(delta)
}

// applyDelta applies a delta and pushes it to peers if it is new here.
func (s *Spreader) applyDelta(delta configurer.Delta) {
	before := s.replica.Index()
	if !s.replica.Advance(delta, time.Now()) {
		return
	}
	s.announcer.SetIndex(delta.Index)
	s.pushToPeers(before)
}

// pushToPeers pushes the changes since an index to a few instances that are not
// known to have them. Most of those have the view at that index.
func (s *Spreader) pushToPeers(since uint64) {
	index := s.replica.Index()
	var behind []announcer.Member
	for _, member := range s.announcer.Members() {
		if member.State == announcer.StateAlive && member.Index < index {
			behind = append(behind, member)
		}
	}
	rand.Shuffle(len(behind), func(i, j int) { behind[i], behind[j] = behind[j], behind[i] })
	for _, member := range behind[:min(fanout, len(behind))] {
		s.goUnlessStopped(func() { s.push(member, since) })
	}
}

// goUnlessStopped runs work in a goroutine unless the spreader has stopped.
func (s *Spreader) goUnlessStopped(work func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.stopped {
		s.wg.Go(work)
	}
}

// push sends the changes since an index. If the response shows that the receiver
// has an older view, it sends the changes since that one as well.
func (s *Spreader) push(member announcer.Member, since uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
	defer cancel()
	var response pushResponse
	err := s.messenger.Post(ctx, member.Address, pushPath, s.replica.Delta(since), &response)
	if err != nil || response.Index >= since {
		return
	}
	_ = s.messenger.Post(ctx, member.Address, pushPath, s.replica.Delta(response.Index), &response)
}

// fetchIfNewer is called on contact with another instance. It fetches the changes
// from there if that instance has a newer view and no such fetch is running.
func (s *Spreader) fetchIfNewer(_, contacted announcer.Member) {
	if contacted.Index <= s.replica.Index() {
		return
	}
	s.mu.Lock()
	alreadyFetching := s.fetching
	s.fetching = true
	s.mu.Unlock()
	if alreadyFetching {
		return
	}
	s.goUnlessStopped(func() {
		_ = s.fetch(contacted, sendTimeout)
		s.mu.Lock()
		s.fetching = false
		s.mu.Unlock()
	})
}

func (s *Spreader) fetch(member announcer.Member, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var delta configurer.Delta
	path := fetchPath + "?index=" + strconv.FormatUint(s.replica.Index(), 10)
	if err := s.messenger.Get(ctx, member.Address, path, &delta); err != nil {
		return fmt.Errorf("fetch view from %s: %w", member.ID, err)
	}
	s.applyDelta(delta)
	return nil
}

// Routes adds the handlers that other instances call.
func (s *Spreader) Routes(router gin.IRouter) {
	router.POST(pushPath, s.handlePush)
	router.GET(fetchPath, s.handleFetch)
}

func (s *Spreader) handlePush(c *gin.Context) {
	var delta configurer.Delta
	if !responder.Decode(c, maxMessageBytes, &delta) {
		return
	}
	s.applyDelta(delta)
	c.JSON(http.StatusOK, pushResponse{Index: s.replica.Index()})
}

func (s *Spreader) handleFetch(c *gin.Context) {
	since, err := strconv.ParseUint(c.Query("index"), 10, 64)
	if err != nil {
		responder.Fail(c, responder.Problem{Status: http.StatusBadRequest, Code: responder.CodeInvalid, Reason: "index is no number"})
		return
	}
	c.JSON(http.StatusOK, s.replica.Delta(since))
}
