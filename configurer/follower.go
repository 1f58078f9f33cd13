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
	changed     map[identifier.PlanID]uint64
	tombstones  []tombstone
	prunedIndex uint64
	updatedAt   time.Time
	callbacks   []func(View)
}

// NewViewReplica returns a follower with an empty view.
func NewViewReplica(now time.Time) *ViewReplica {
	return &ViewReplica{changed: map[identifier.PlanID]uint64{}, updatedAt: now}
}

// View returns what is in force. The caller must not change it.
func (r *ViewReplica) View() View {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.view
}

// Index returns the index of the view in force.
func (r *ViewReplica) Index() uint64 {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.view.Index
}

// Age returns how long the view has been in force here.
func (r *ViewReplica) Age(now time.Time) time.Duration {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return now.Sub(r.updatedAt)
}

// OnChange calls a function after every change, in order. The function must not
// call back into the follower.
func (r *ViewReplica) OnChange(callback func(View)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.callbacks = append(r.callbacks, callback)
}

// Delta returns what changed after an index.
func (r *ViewReplica) Delta(since uint64) Delta {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.tracker().delta(since)
}

// Advance takes a delta and reports whether the view changed. A delta that is
// older, or that starts behind the view in force, changes nothing.
func (r *ViewReplica) Advance(delta Delta, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if delta.Index <= r.view.Index {
		return false
	}
	if !delta.Full && delta.Since > r.view.Index {
		return false
	}
	next := r.view
	next.Index = delta.Index
	next.Lists = mergeDelta(r.view.Lists, delta)
	next.Owners = delta.Owners
	next.Groups = delta.Groups
	r.tracker().recordDelta(delta)
	r.view = next
	r.updatedAt = now
	for _, callback := range r.callbacks {
		callback(next)
	}
	return true
}

func (r *ViewReplica) tracker() tracker {
	return tracker{view: &r.view, changed: r.changed, tombstones: &r.tombstones, prunedIndex: &r.prunedIndex}
}

// mergeDelta returns the lists with the delta's entries in place of older ones, in
// the order of the older list with new plans behind.
func mergeDelta(lists Lists, delta Delta) Lists {
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
			entry := findEntry(lists, plan.ID)
			merged.Plans = append(merged.Plans, entry.plans...)
			merged.Allowances = append(merged.Allowances, entry.allowances...)
		}
	}
	merged.Plans = append(merged.Plans, delta.Plans...)
	merged.Allowances = append(merged.Allowances, delta.Allowances...)
	return merged
}
