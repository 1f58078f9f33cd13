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
	// total counts the lines that were not written, said those of them that were
	// told in the log.
	total int64
	said  int64
	// budget is the number of lines that may still be taken, refilled at the
	// stated rate up to one second's worth.
	budget   float64
	refilled time.Time
	closed   bool
}

// New returns a logger that writes to out until it is closed.
func New(out io.Writer, opts ...Option) *Logger {
	o := newOptions(opts...)
	l := &Logger{
		options: o, lines: make(chan []byte, o.queue), done: make(chan struct{}), out: out,
		budget: o.rate, refilled: time.Now(),
	}
	go l.write()
	return l
}

// Log writes one event of keys and values. It never fails and never waits.
func (l *Logger) Log(pairs ...any) error {
	now := time.Now()
	if !l.take(now) {
		return nil
	}
	var line bytes.Buffer
	prefix := []any{"time", now.UTC().Format("2006-01-02T15:04:05.000Z")}
	if err := log.NewLogfmtLogger(&line).Log(append(prefix, pairs...)...); err != nil {
		l.drop()
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
		l.total++
	}
	return nil
}

// take books one line of the rate.
func (l *Logger) take(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	passed := max(0, now.Sub(l.refilled).Seconds())
	l.budget = min(l.options.rate, l.budget+passed*l.options.rate)
	l.refilled = now
	if l.budget < 1 {
		l.total++
		return false
	}
	l.budget--
	return true
}

func (l *Logger) drop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.total++
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
	return l.total
}

// UnreportedDrops returns the number of events that were not written and not yet
// reported in the log.
func (l *Logger) UnreportedDrops() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.total - l.said
}

// told notes events that have been reported in the log.
func (l *Logger) told(dropped int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.said += dropped
}

func (l *Logger) write() {
	defer close(l.done)
	for line := range l.lines {
		if dropped := l.UnreportedDrops(); dropped > 0 {
			_ = log.NewLogfmtLogger(l.out).Log("event", "lines-dropped", "count", dropped)
			l.told(dropped)
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
