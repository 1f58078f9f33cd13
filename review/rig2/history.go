package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// taskSpec is the spec of all jobs: how long a task runs and what it needs.
type taskSpec struct {
	MinMillis int `json:"min-ms"`
	MaxMillis int `json:"max-ms"`
	CPU       int `json:"cpu"`
	Memory    int `json:"memory"`
	GPU       int `json:"gpu"`
	// Text fills the spec up to the size of a real one.
	Text string `json:"text,omitempty"`
}

func taskOf(spec string) taskSpec {
	var task taskSpec
	_ = json.Unmarshal([]byte(spec), &task)
	return task
}

func (t taskSpec) text() string {
	data, err := json.Marshal(t)
	if err != nil {
		return ""
	}
	return string(data)
}

// step returns a step of tasks with this spec.
func (t taskSpec) step(width int) map[string]any {
	return map[string]any{
		"width": width, "cpu-milli": t.CPU, "memory-mb": t.Memory, "accelerators": t.GPU, "estimate-ms": (t.MinMillis + t.MaxMillis) / 2,
	}
}

func (t taskSpec) duration() time.Duration {
	return time.Duration(t.MinMillis+rand.IntN(max(1, t.MaxMillis-t.MinMillis))) * time.Millisecond
}

// historyEntry is a run as its executor saw it.
type historyEntry struct {
	executor string
	key      runKey
	started  time.Time
	ended    time.Time
	how      string
	// acked is when the end was taken note of; zero if it never was.
	acked time.Time
}

// history holds all runs of all executors.
type history struct {
	mu      sync.Mutex
	record  *recorder
	entries []*historyEntry
	open    map[string]*historyEntry
}

func newHistory(record *recorder) *history {
	return &history{record: record, open: map[string]*historyEntry{}}
}

func openKey(executor string, key runKey) string {
	return fmt.Sprintf("%s/%s/%d", executor, key.task, key.run)
}

func (h *history) start(executor string, key runKey) {
	h.mu.Lock()
	defer h.mu.Unlock()
	entry := &historyEntry{executor: executor, key: key, started: time.Now()}
	h.entries = append(h.entries, entry)
	h.open[openKey(executor, key)] = entry
}

func (h *history) end(executor string, key runKey, how string) *historyEntry {
	h.record.note("executor %s: %s run %d ends %s", executor, key.task, key.run, how)
	h.mu.Lock()
	defer h.mu.Unlock()
	entry := h.open[openKey(executor, key)]
	if entry == nil {
		return &historyEntry{executor: executor, key: key}
	}
	delete(h.open, openKey(executor, key))
	entry.ended, entry.how = time.Now(), how
	return entry
}

func (h *history) acknowledge(entry *historyEntry) {
	h.mu.Lock()
	defer h.mu.Unlock()
	entry.acked = time.Now()
}

// count returns how many runs are alive and how many have ended in each way.
func (h *history) count() (running int, ends map[string]int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	ends = map[string]int{}
	for _, entry := range h.entries {
		if entry.how == "" {
			running++
			continue
		}
		ends[entry.how]++
	}
	return running, ends
}

// runsOf returns the runs of each task, in the order of their starts.
func (h *history) runsOf() map[string][]historyEntry {
	h.mu.Lock()
	defer h.mu.Unlock()
	runs := map[string][]historyEntry{}
	for _, entry := range h.entries {
		runs[entry.key.task] = append(runs[entry.key.task], *entry)
	}
	return runs
}

// twice returns the breaks of the rule TWICE: two runs of a task at the same time, or a
// start after a run has ended done, if that end was taken note of at any time.
func (h *history) twice() []string {
	var breaks []string
	for task, runs := range h.runsOf() {
		for i, first := range runs {
			for _, second := range runs[i+1:] {
				switch {
				case first.how == "done" && second.started.After(first.ended) && !first.acked.IsZero():
					breaks = append(breaks, fmt.Sprintf("%s: run %d on %s ended done, which was taken note of, and run %d started on %s %.3f s after that end",
						task, first.key.run, first.executor, second.key.run, second.executor, second.started.Sub(first.ended).Seconds()))
				case first.how == "" || second.started.Before(first.ended):
					breaks = append(breaks, fmt.Sprintf("%s: run %d on %s and run %d on %s at the same time", task, first.key.run, first.executor, second.key.run, second.executor))
				}
			}
		}
	}
	return breaks
}
