// Package logger writes events as lines of key=value pairs. Its volume is
// bounded, and writing never blocks the caller: what can't be written is
// counted, and the count is written as soon as there is room.
package logger

import (
	"bytes"
	"io"
	"sync"
	"time"

	"github.com/go-kit/log"
)

// Logger is a bounded logger. It is safe for concurrent use.
type Logger struct {
	options options
	lines   chan []byte
	done    chan struct{}
	out     io.Writer

	mu sync.Mutex
	// dropped counts the lines that were not written, said those of them that were
	// told in the log.
	dropped  int64
	reported int64
	// tokens is the number of lines that may still be taken, refilled at the
	// stated rate up to one second's worth.
	tokens   float64
	refilled time.Time
	closed   bool
}

// New returns a logger that writes to out until it is closed.
func New(out io.Writer, opts ...Option) *Logger {
	o := newOptions(opts...)
	l := &Logger{
		options: o, lines: make(chan []byte, o.queue), done: make(chan struct{}), out: out,
		tokens: o.rate, refilled: time.Now(),
	}
	go l.writeLines()
	return l
}

// Log writes one event of keys and values. It never fails and never waits.
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

// takeToken books one line of the rate.
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

// SetRate changes how many lines a second are written at most.
func (l *Logger) SetRate(lines int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.options.rate = float64(lines)
}

// DroppedTotal returns the number of lines that were never written.
func (l *Logger) DroppedTotal() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.dropped
}

// UnreportedDrops returns the number of events that were not written and not yet
// reported in the log.
func (l *Logger) UnreportedDrops() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.dropped - l.reported
}

// markReported notes events that have been reported in the log.
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

// Close writes what is queued, for at most the stated time.
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
