package coordinator

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"cranberrystack.dev/cranberrystack/identifier"
	"cranberrystack.dev/cranberrystack/scheduler"
)

const (
	// tallyWindow is how long an event of a run waits for those of other runs of its
	// step, so that one decision about a step is one line.
	tallyWindow = time.Second
	// maxTallyRuns bounds the runs that one line names.
	maxTallyRuns = 64
)

// tallyKey identifies the events of runs that are logged in one line.
type tallyKey struct {
	event  string
	step   scheduler.StepID
	detail string
}

// runTally is a line that is not logged yet: an event of several runs of a step that
// is the same for all of them.
type runTally struct {
	pairs []any
	runs  []string
	since time.Time
}

// runTallies holds the lines about runs that are not logged yet. The coordinator's mu
// guards it.
type runTallies struct {
	open map[tallyKey]*runTally
	// order holds the keys in the order in which their lines were begun.
	order []tallyKey
	// last holds the line of each step that was begun last.
	last map[scheduler.StepID]tallyKey
}

// runEvent counts an event of a run and logs it together with the same event of other
// runs of the step. A run is written as INDEX#RUN@WORKER. pairs are the same for all
// runs of a line. The events of a run are logged in their order. The caller holds mu.
func (c *Coordinator) runEvent(name string, run scheduler.RunID, worker identifier.WorkerID, suffix string, pairs ...any) {
	c.countEvent(name)
	key := tallyKey{event: name, step: run.Task.StepID(), detail: fmt.Sprint(pairs...)}
	if c.tallies.open == nil {
		c.tallies.open, c.tallies.last = map[tallyKey]*runTally{}, map[scheduler.StepID]tallyKey{}
	}
	if c.tallies.open[key] != nil && c.tallies.last[key.step] != key {
		// The run's earlier event may be in a line that was begun after this one.
		c.flushTallies(func(other tallyKey, _ *runTally) bool { return other.step == key.step })
	}
	t := c.tallies.open[key]
	if t == nil {
		t = &runTally{pairs: pairs, since: time.Now()}
		c.tallies.open[key] = t
		c.tallies.last[key.step] = key
		c.tallies.order = append(c.tallies.order, key)
	}
	t.runs = append(t.runs, fmt.Sprintf("%d#%d@%s%s", run.Task.Index, run.Number, worker, suffix))
	if len(t.runs) >= maxTallyRuns {
		c.flushTallies(func(other tallyKey, _ *runTally) bool { return other == key })
	}
}

// flushTallies logs the open lines for which due returns true, in the order in which
// they were begun. The caller holds mu.
func (c *Coordinator) flushTallies(due func(tallyKey, *runTally) bool) {
	kept := c.tallies.order[:0]
	for _, key := range c.tallies.order {
		t := c.tallies.open[key]
		if !due(key, t) {
			kept = append(kept, key)
			continue
		}
		delete(c.tallies.open, key)
		if c.tallies.last[key.step] == key {
			delete(c.tallies.last, key.step)
		}
		sort.Strings(t.runs)
		pairs := append([]any{"event", key.event, "step", key.step, "runs", strings.Join(t.runs, ","), "count", len(t.runs)}, t.pairs...)
		_ = c.config.Logger.Log(pairs...)
	}
	c.tallies.order = kept
}

// flushDueTallies logs the lines that were begun tallyWindow ago. The caller holds mu.
func (c *Coordinator) flushDueTallies(now time.Time) {
	if len(c.tallies.order) > 0 {
		c.flushTallies(func(_ tallyKey, t *runTally) bool { return now.Sub(t.since) >= tallyWindow })
	}
}

// flushJobTallies logs the lines about a job's runs, before a line about the job.
// The caller holds mu.
func (c *Coordinator) flushJobTallies(job identifier.JobID) {
	if len(c.tallies.order) > 0 {
		c.flushTallies(func(key tallyKey, _ *runTally) bool { return key.step.Job == job })
	}
}
