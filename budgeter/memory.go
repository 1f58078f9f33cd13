package budgeter

import (
	"bytes"
	"container/list"
	"math"
	"time"
)

const (
	// bufferBytes is the size of the buffers of net/http, for reading and for writing.
	bufferBytes = 4 << 10
	// freeBytes is what the request of a connection may take without being counted:
	// the number of connections bounds the sum.
	freeBytes = 8 << 10
	// smallBytes is up to where a request is small: its memory is missing only if small
	// requests alone take smallPercent.
	smallBytes = 48 << 10
	// largePercent and smallPercent are the parts of the memory that large requests
	// may have in all, and that small ones have in any case.
	largePercent = 75
	smallPercent = 100 - largePercent
	// alonePercent is the part that a large request may have if it is the only one.
	alonePercent = 125
	// unknownBody is what a body of unknown size counts at first, in bytes.
	unknownBody = 256 << 10
	// headFactor is the memory that a byte of a head takes once it has been parsed,
	// and lineBytes what each of its lines takes besides.
	headFactor = 4
	lineBytes  = 256
	// bodyFactor is how often a body is in memory until it has been handled.
	bodyFactor = 4
	// answerFactor is how often a response is in memory until it has been sent.
	answerFactor = 2
)

// memory is what the requests and responses on the accepted connections of a process may
// take. The budgeter's mu guards it.
type memory struct {
	// limit is in bytes; 0 means no bound.
	limit int64
	// used is the sum of all charges, and large that of large requests.
	used, large int64
	// waiting holds the connections with a charge that wait for their clients, those
	// that have waited longest first.
	waiting         list.List
	refused, closed int64
}

// MemoryUsage is the use of the memory for requests.
type MemoryUsage struct {
	Limit int64 `json:"limit"`
	Used  int64 `json:"used"`
	// Refused counts the requests whose bodies were refused before they were read, and
	// Closed the connections that were closed for lack of memory.
	Refused int64 `json:"refused"`
	Closed  int64 `json:"closed"`
}

// SetMemory bounds the memory that requests and responses on accepted connections may
// take, in bytes; 0 means no bound.
func (b *Budgeter) SetMemory(limit int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.memory.limit = limit
}

// Memory returns the use of the memory for requests.
func (b *Budgeter) Memory() MemoryUsage {
	b.mu.Lock()
	defer b.mu.Unlock()
	m := &b.memory
	return MemoryUsage{Limit: m.limit, Used: m.used, Refused: m.refused, Closed: m.closed}
}

// memoryUse is what the request of a connection takes.
type memoryUse struct {
	// charge is what it takes beyond freeBytes, as counted in memory.
	charge int64
	// head is what has been read of the head. It begins with what the server may
	// have read already behind the request before.
	head chunk
	// last is what the server may hold in its buffer beyond the present request.
	last chunk
	// body is what the body takes, and rest how many of its bytes are still to come, or
	// negative if that is unknown.
	body, rest int64
}

func (u *memoryUse) need() int64 {
	return headFactor*u.head.size + lineBytes*u.head.lines + u.body
}

// chunk is what has been read at a time.
type chunk struct {
	size, lines int64
	// tail is the most that may follow a head that ends in it: the bytes behind its first
	// empty line, or all if it has none. rest is the least: as many, or 0 if another empty
	// line follows.
	tail, rest int64
}

func measure(data []byte) chunk {
	size := int64(len(data))
	if len(data) > bufferBytes {
		// The server reads so much only into the buffer of a handler.
		return chunk{size: size, tail: size}
	}
	read := chunk{size: size, lines: int64(bytes.Count(data, []byte{'\n'})), tail: size}
	if end := emptyLine(data); end > 0 {
		read.tail = size - int64(end)
		if emptyLine(data[end-1:]) == 0 {
			read.rest = read.tail
		}
	}
	return read
}

// emptyLine returns where the first empty line after another line ends, or 0.
func emptyLine(data []byte) int {
	end := 0
	for _, text := range []string{"\n\r\n", "\n\n"} {
		if at := bytes.Index(data, []byte(text)); at >= 0 && (end == 0 || at+len(text) < end) {
			end = at + len(text)
		}
	}
	return end
}

func (c *chunk) add(more chunk) {
	c.size, c.lines, c.tail = c.size+more.size, c.lines+more.lines, c.tail+more.tail
}

// isLarge reports whether a charge is that of a large request.
func isLarge(charge int64) bool { return charge > smallBytes-freeBytes }

// set changes the charge of a connection.
func (m *memory) set(c *servedConn, charge int64) {
	m.used += charge - c.charge
	if isLarge(c.charge) {
		m.large -= c.charge
	}
	if isLarge(charge) {
		m.large += charge
	}
	c.charge = charge
}

// fits reports whether a charge may be added.
func (m *memory) fits(charge int64) bool {
	switch {
	case m.limit == 0 || charge == 0:
		return true
	case !isLarge(charge):
		return m.used+charge <= m.limit || m.used-m.large+charge <= m.limit*smallPercent/100
	case m.large == 0:
		return charge <= m.limit*alonePercent/100
	default:
		return m.large+charge <= m.limit*largePercent/100
	}
}

// charge makes the charge of a connection that of a need. If it does not fit, connections
// that have waited for their clients for longer than patience are closed for it. If that
// is not enough, it changes nothing and returns false. The caller holds mu.
func (b *Budgeter) charge(c *servedConn, need int64) bool {
	m := &b.memory
	before, charge := c.charge, max(0, need-freeBytes)
	if c.dropped {
		return false
	}
	if charge == before {
		return true
	}
	m.set(c, 0)
	for charge > before && !m.fits(charge) {
		victim := m.longestWaiting(c, charge, time.Since(b.start))
		if victim == nil {
			m.set(c, before)
			return false
		}
		m.closed++
		b.drop(victim)
		// It is not closed under mu, which its end needs.
		go victim.Close()
	}
	m.set(c, charge)
	if listed := charge > 0 && c.phase != phaseHandling; listed != (c.charged != nil) {
		c.charged = toBack(&m.waiting, c.charged, c, listed)
	}
	return true
}

// longestWaiting returns the connection that may be closed for a charge of another one.
func (m *memory) longestWaiting(other *servedConn, charge int64, now time.Duration) *servedConn {
	if charge > m.limit*alonePercent/100 {
		return nil
	}
	for element := m.waiting.Front(); element != nil; element = element.Next() {
		c := element.Value.(*servedConn)
		if c == other || isLarge(charge) && !isLarge(c.charge) {
			continue
		}
		if now-c.since < patience {
			return nil
		}
		return c
	}
	return nil
}

// received counts what has been read from a connection, a single byte or more. It returns
// false if the connection has to be closed.
func (b *Budgeter) received(c *servedConn, read chunk, single bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case c.phase == phaseIdle || c.phase == phaseHead:
		if c.phase == phaseIdle {
			b.advance(c, phaseHead)
		}
		c.head.add(read)
		c.keep(read, single)
		if !b.charge(c, c.need()) {
			b.memory.closed++
			return false
		}
	case single || c.phase != phaseBody:
		// The server reads ahead by one byte while a request is handled.
		c.last.add(read)
	case c.rest >= read.size:
		c.rest -= read.size
		c.last = chunk{}
	default:
		c.last = read
	}
	return true
}

// keep notes what the server's buffer may hold after it has been read from.
func (u *memoryUse) keep(read chunk, single bool) {
	if single {
		u.last.add(read)
		return
	}
	u.last = read
}

// begin notes that the head of a request has been read, whose body has a size; it is
// negative if the size is unknown. It returns whether all of the body has surely arrived,
// and false for admitted if the body has to be refused.
func (b *Budgeter) begin(c *servedConn, size int64, exempt bool) (arrived, admitted bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c.rest = -1
	if size >= 0 && c.phase != phaseIdle && c.last.tail <= size {
		arrived = c.last.rest >= size
		c.rest = size - c.last.tail
		c.last = chunk{}
	}
	if size == 0 {
		b.advance(c, phaseHandling)
		return true, true
	}
	b.advance(c, phaseBody)
	if exempt {
		return arrived, true
	}
	if size < 0 {
		size = unknownBody
	}
	c.body = bodyFactor * min(size, math.MaxInt64/bodyFactor/2)
	if b.charge(c, c.need()) {
		return arrived, true
	}
	c.body = 0
	b.memory.refused++
	return arrived, false
}

// grow counts a body of unknown size of which more has been read. It returns false if the
// connection has to be closed.
func (b *Budgeter) grow(c *servedConn, size int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if bodyFactor*size <= c.body {
		return true
	}
	before := c.body
	c.body = bodyFactor * (size + unknownBody)
	if b.charge(c, c.need()) {
		return true
	}
	c.body = before
	b.memory.closed++
	return false
}

// complete notes that a request has been read completely.
func (b *Budgeter) complete(c *servedConn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.phase == phaseBody {
		b.advance(c, phaseHandling)
	}
}

// answers counts a part of a response that is about to be written, or 0 afterwards. It
// returns false if the connection has to be closed.
func (b *Budgeter) answers(c *servedConn, size int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.charge(c, c.need()+answerFactor*int64(size)) {
		return true
	}
	b.memory.closed++
	return false
}

// sending notes that a part of a response is about to be sent.
func (b *Budgeter) sending(c *servedConn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.phase == phaseHandling {
		b.advance(c, phaseSending)
	}
}

// ended notes that a response has been sent. It returns false if the connection has to be
// closed.
func (b *Budgeter) ended(c *servedConn) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c.head, c.body, c.rest = c.last, 0, -1
	b.advance(c, phaseIdle)
	if b.charge(c, c.need()) {
		return true
	}
	b.memory.closed++
	return false
}
