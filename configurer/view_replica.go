package configurer

import (
	"sync"
	"time"

	"cranberrystack.dev/cranberrystack/identifier"
)

// ViewReplica holds the copy of the view on one instance. It never goes back to
// an older view. It is safe for concurrent use.
type ViewReplica struct {
	mu   sync.RWMutex
	view View
	// changed, tombstones and prunedIndex are the data of the tracker.
	changed     map[identifier.PlanID]uint64
	tombstones  []tombstone
	prunedIndex uint64
	updatedAt   time.Time // last change of the view here
	callbacks   []func(View)
}

// NewViewReplica returns a replica with an empty view.
func NewViewReplica(now time.Time) *ViewReplica {
	return &ViewReplica{changed: map[identifier.PlanID]uint64{}, updatedAt: now}
}

// View returns the view in force. The caller must not modify it.
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

// Age returns the time since the view last changed here.
func (r *ViewReplica) Age(now time.Time) time.Duration {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return now.Sub(r.updatedAt)
}

// OnChange registers a function that is called with the new view on every
// change, in order. It must not call methods of the replica, whose lock is held.
func (r *ViewReplica) OnChange(callback func(View)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.callbacks = append(r.callbacks, callback)
}

// Delta returns the changes after an index.
func (r *ViewReplica) Delta(since uint64) Delta {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.tracker().delta(since)
}

// Advance applies a delta and reports whether the view changed. A delta that
// leads to no newer view has no effect, nor does one that starts after the view
// in force, because the changes in between would be missing.
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

// mergeDelta returns the lists with the delta applied: the plans that it leaves
// unchanged in their order, then those of the delta.
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
