// Package logger writes events as lines of key=value pairs. Its rate is limited
// and a slow writer never blocks the caller: lines over the rate or beyond the queue
// are dropped and counted, and the count is logged before the next line.
package logger

import (
	"bytes"
	"io"
	"sync"
	"time"

	"github.com/go-kit/log"
)

// Logger is a rate-limited logger that writes in the background. It is safe for
// concurrent use.
type Logger struct {
	options options
	lines   chan []byte
	done    chan struct{}
	out     io.Writer

	mu sync.Mutex
	// dropped counts the lines that were not queued; reported counts those of them
	// that a lines-dropped event has reported.
	dropped  int64
	reported int64
	// tokens is the number of lines that the rate limit still allows. It is
	// refilled at options.rate, up to the lines of one second.
	tokens   float64
	refilled time.Time
	closed   bool
}

// New returns a logger that writes to out until Close is called.
func New(out io.Writer, opts ...Option) *Logger {
	o := newOptions(opts...)
	l := &Logger{
		options: o, lines: make(chan []byte, o.queue), done: make(chan struct{}), out: out,
		tokens: o.rate, refilled: time.Now(),
	}
	go l.writeLines()
	return l
}

// Log queues one event of alternating keys and values. It never blocks, and always
// returns nil. A line that can't be encoded, is over the rate or finds the queue full
// is counted as dropped. After Close a line is discarded without being counted, and
// errors of the writer are ignored.
func (l *Logger) Log(pairs ...any) error {
	now := time.Now()
	if !l.takeToken(now) {
		return nil
	}
	var line bytes.Buffer
	prefix := []any{"time", now.UTC().Format("2006-01-02T15:04:05.000Z")}
	if err := log.NewLogfmtLogger(&line).Log(append(prefix, pairs...)...); err != nil {
		l.countDrop()
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil
	}
	select {
	case l.lines <- line.Bytes():
	default:
		l.dropped++
	}
	return nil
}

// takeToken reports whether the rate limit allows one more line. If not, it counts
// the line as dropped.
func (l *Logger) takeToken(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	elapsed := max(0, now.Sub(l.refilled).Seconds())
	l.tokens = min(l.options.rate, l.tokens+elapsed*l.options.rate)
	l.refilled = now
	if l.tokens < 1 {
		l.dropped++
		return false
	}
	l.tokens--
	return true
}

func (l *Logger) countDrop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dropped++
}

// SetRate changes the limit of lines per second.
func (l *Logger) SetRate(lines int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.options.rate = float64(lines)
}

// DroppedTotal returns the number of dropped lines.
func (l *Logger) DroppedTotal() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.dropped
}

// UnreportedDrops returns the number of dropped lines that no lines-dropped event
// has reported yet.
func (l *Logger) UnreportedDrops() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.dropped - l.reported
}

// markReported counts dropped lines as reported.
func (l *Logger) markReported(count int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reported += count
}

func (l *Logger) writeLines() {
	defer close(l.done)
	for line := range l.lines {
		if dropped := l.UnreportedDrops(); dropped > 0 {
			_ = log.NewLogfmtLogger(l.out).Log("event", "lines-dropped", "count", dropped)
			l.markReported(dropped)
		}
		_, _ = l.out.Write(line)
	}
}

// Close stops accepting events and waits until the queued lines are written, for
// at most the close timeout.
func (l *Logger) Close() {
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return
	}
	l.closed = true
	close(l.lines)
	l.mu.Unlock()
	timer := time.NewTimer(l.options.closeTimeout)
	defer timer.Stop()
	select {
	case <-l.done:
	case <-timer.C:
	}
}
