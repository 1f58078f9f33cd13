package main

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	memoryCheck  = 5 * time.Millisecond
	restartDelay = 500 * time.Millisecond
)

// resident returns the resident memory of a process in MiB, 0 if it has ended.
func (p *process) resident() int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		return 0
	}
	_, after, _ := strings.Cut(string(data), "VmRSS:")
	var kibibytes int
	if _, err := fmt.Sscan(after, &kibibytes); err != nil {
		return 0
	}
	return kibibytes >> 10
}

// memoryWatch kills the cores that use more memory than their settings say, and starts
// every core that has ended again, as the platform does.
type memoryWatch struct {
	system *system
	stop   chan struct{}
	done   chan struct{}

	// mu guards kills and peaks.
	mu    sync.Mutex
	kills map[string]int
	peaks map[string]int
}

// text returns the kills and peaks so far.
func (w *memoryWatch) text() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return fmt.Sprintf("peaks of the memory in MiB: %v, killed for it: %v", w.peaks, w.kills)
}

func (s *system) watchMemory() *memoryWatch {
	w := &memoryWatch{system: s, kills: map[string]int{}, peaks: map[string]int{}, stop: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

func (w *memoryWatch) run() {
	defer close(w.done)
	for {
		select {
		case <-w.stop:
			return
		case <-time.After(memoryCheck):
		}
		for i := range coreCount {
			w.check(i)
		}
	}
}

func (w *memoryWatch) check(i int) {
	name := coreName(i)
	p := w.system.process(name)
	select {
	case <-p.ended:
		return
	default:
	}
	used := p.resident()
	w.mu.Lock()
	w.peaks[name] = max(w.peaks[name], used)
	if used > w.system.memory {
		w.kills[name]++
	}
	w.mu.Unlock()
	if used <= w.system.memory {
		return
	}
	w.system.record.say("platform: %s uses %d MiB of %d and is killed", name, used, w.system.memory)
	_ = p.command.Process.Signal(syscall.SIGKILL)
	<-p.ended
	time.AfterFunc(restartDelay, func() {
		if err := w.system.startCore(i, false); err != nil && !errors.Is(err, errClosed) {
			w.system.record.say("%v", err)
		}
	})
}

// close ends the watch.
func (w *memoryWatch) close() {
	close(w.stop)
	<-w.done
}
