package configurer

import (
	"sync"
	"time"

	"cranberrystack.dev/cranberrystack/identifier"
)

// ViewReplica holds the view on an instance that is no voter. It never goes back
// to an older view. It is safe for concurrent use.
type ViewReplica struct {
	mu   sync.RWMutex
	view View
	// changed, tombstones and forgotten let the follower pass deltas on.
	changed    map[identifier.PlanID]uint64
	tombstones []tombstone
	forgotten  uint64
	since      time.Time
	watchers   []func(View)
}

// NewViewReplica returns a follower with an empty view.
func NewViewReplica(now time.Time) *ViewReplica {
	return &ViewReplica{changed: map[identifier.PlanID]uint64{}, since: now}
}

// View returns what is in force. The caller must not change it.
func (f *ViewReplica) View() View {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.view
}

// Index returns the index of the view in force.
func (f *ViewReplica) Index() uint64 {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.view.Index
}

// Age returns how long the view has been in force here.
func (f *ViewReplica) Age(now time.Time) time.Duration {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return now.Sub(f.since)
}

// OnChange calls a function after every change, in order. The function must not
// call back into the follower.
func (f *ViewReplica) OnChange(watcher func(View)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.watchers = append(f.watchers, watcher)
}

// Delta returns what changed after an index.
func (f *ViewReplica) Delta(since uint64) Delta {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.tracker().delta(since)
}

// Advance takes a delta and reports whether the view changed. A delta that is
// older, or that starts behind the view in force, changes nothing.
func (f *ViewReplica) Advance(delta Delta, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if delta.Index <= f.view.Index {
		return false
	}
	if !delta.Full && delta.Since > f.view.Index {
		return false
	}
	next := f.view
	next.Index = delta.Index
	next.Lists = merge(f.view.Lists, delta)
	next.Owners = delta.Owners
	next.Groups = delta.Groups
	f.tracker().noteDelta(delta)
	f.view = next
	f.since = now
	for _, watcher := range f.watchers {
		watcher(next)
	}
	return true
}

func (f *ViewReplica) tracker() tracker {
	return tracker{view: &f.view, changed: f.changed, tombstones: &f.tombstones, forgotten: &f.forgotten}
}

// merge returns the lists with the delta's entries in place of older ones, in
// the order of the older list with new plans behind.
func merge(lists Lists, delta Delta) Lists {
	merged := Lists{Version: delta.Version}
	replaced := map[identifier.PlanID]bool{}
	for _, plan := range delta.Plans {
		replaced[plan.ID] = true
	}
	removed := map[identifier.PlanID]bool{}
	for _, id := range delta.Removed {
		removed[id] = !replaced[id]
	}
	if !delta.Full {
		for _, plan := range lists.Plans {
			if removed[plan.ID] || replaced[plan.ID] {
				continue
			}
			entry := entryOf(lists, plan.ID)
			merged.Plans = append(merged.Plans, entry.plans...)
			merged.Allowances = append(merged.Allowances, entry.allowances...)
		}
	}
	merged.Plans = append(merged.Plans, delta.Plans...)
	merged.Allowances = append(merged.Allowances, delta.Allowances...)
	return merged
}
