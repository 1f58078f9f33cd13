package logger

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// blockedWriter blocks every write until release is closed.
type blockedWriter struct{ release chan struct{} }

func (b *blockedWriter) Write(data []byte) (int, error) {
	<-b.release
	return len(data), nil
}

func TestBlockedWriterDoesNotBlockLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &blockedWriter{release: make(chan struct{})}
		l := New(out, Queue(10), Rate(1000))
		start := time.Now()
		for range 100 {
			if err := l.Log("event", "x"); err != nil {
				t.Error(err)
			}
		}
		if took := time.Since(start); took != 0 {
			t.Errorf("Log blocked its caller for %v, want 0", took)
		}
		if total := l.DroppedTotal(); total < 85 {
			t.Errorf("DroppedTotal is %d of 100 lines, want 85 or more: 11 fit the queue and the blocked write", total)
		}
		if dropped := l.UnreportedDrops(); dropped < 85 {
			t.Errorf("UnreportedDrops is %d of 100 lines, want 85 or more: 11 fit the queue and the blocked write", dropped)
		}
		l.Close()
		close(out.release)
	})
}

func TestRateLimitHoldsAndDropsAreReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		l := New(&out, Rate(10))
		for range 20 {
			for range 10 {
				_ = l.Log("event", "burst")
			}
			time.Sleep(100 * time.Millisecond)
		}
		synctest.Wait()
		l.Close()
		written := strings.Count(out.String(), "event=burst")
		if written > 10+2*10 || written < 15 {
			t.Errorf("%d lines written in 2 s, want 15 to 30 at 10 a second with a burst of 10", written)
		}
		if !strings.Contains(out.String(), "event=lines-dropped") {
			t.Error("no lines-dropped event was logged")
		}
	})
}

func TestEventWithNewlineIsWrittenAsOneLine(t *testing.T) {
	var out bytes.Buffer
	l := New(&out)
	_ = l.Log("event", "x", "reason", "two\nlines", "error", io.EOF)
	l.Close()
	if lines := strings.Count(out.String(), "\n"); lines != 1 || !strings.Contains(out.String(), "error=EOF") {
		t.Errorf("log is %q, want one line with error=EOF", out.String())
	}
}
