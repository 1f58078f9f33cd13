package connector

import (
	"sync"
	"time"
)

// pool holds idle connections, sorted by last use, the latest last.
type pool struct {
	mu   sync.Mutex
	idle []*conn
}

// get returns the most recently used idle connection, or nil. Connections last used
// before usedAfter are closed: they may be broken without an error.
func (p *pool) get(usedAfter time.Time) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropStale(usedAfter)
	if len(p.idle) == 0 {
		return nil
	}
	last := p.idle[len(p.idle)-1]
	p.idle = p.idle[:len(p.idle)-1]
	return last
}

func (p *pool) put(c *conn, now time.Time) {
	_ = c.SetDeadline(time.Time{})
	c.lastUsed = now
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = append(p.idle, c)
}

// closeStale closes the idle connections last used before usedAfter. It is called
// after a connection failed, since the others may have failed with it.
func (p *pool) closeStale(usedAfter time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropStale(usedAfter)
}

func (p *pool) closeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle {
		c.Close()
	}
	p.idle = nil
}

// dropStale closes and removes the idle connections last used before usedAfter. The
// caller holds mu.
func (p *pool) dropStale(usedAfter time.Time) {
	stale := 0
	for stale < len(p.idle) && p.idle[stale].lastUsed.Before(usedAfter) {
		p.idle[stale].Close()
		stale++
	}
	p.idle = p.idle[stale:]
}
