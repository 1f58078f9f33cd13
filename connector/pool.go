package connector

import (
	"sync"
	"time"
)

// pool holds idle connections, the latest used last.
type pool struct {
	mu   sync.Mutex
	idle []*conn
}

// get returns the idle connection used last, if it was used after a time. All
// idle ones used before are closed: they may be dead without saying so.
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

// closeStale closes the connections whose last answer is older than a
// time. After one connection has gone silent the others are not trusted.
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

// dropStale closes and forgets the connections used before a time; the caller
// holds mu.
func (p *pool) dropStale(usedAfter time.Time) {
	stale := 0
	for stale < len(p.idle) && p.idle[stale].lastUsed.Before(usedAfter) {
		p.idle[stale].Close()
		stale++
	}
	p.idle = p.idle[stale:]
}
