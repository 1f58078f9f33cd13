package configurer

import (
	"encoding/json"

	"cranberrystack.dev/cranberrystack/identifier"
)

// Delta turns the view at index Since, or at any index between Since and Index, into
// the view at Index. Plans and Allowances hold all entries of the plans that changed;
// Owners and Groups are always complete.
type Delta struct {
	Since uint64 `json:"since"`
	Index uint64 `json:"index"`
	// Full means that the delta holds the whole view at Index and applies to a
	// view at any index.
	Full       bool                   `json:"full,omitempty"`
	Version    identifier.ListVersion `json:"version"`
	Plans      []Plan                 `json:"plans,omitempty"`
	Allowances []Allowance            `json:"allowances,omitempty"`
	Removed    []identifier.PlanID    `json:"removed,omitempty"`
	Owners     []Ownership            `json:"owners"`
	Groups     []ClaimGroup           `json:"claim-groups"`
}

// tracker records the index at which each plan last changed. A ViewReplica has
// one as well, so that it can compute deltas for other instances.
type tracker struct {
	view        *View
	changed     map[identifier.PlanID]uint64
	tombstones  *[]tombstone
	prunedIndex *uint64 // see storedState.PrunedIndex
}

func (s *State) tracker() tracker {
	return tracker{
		view: &s.stored.View, changed: s.stored.Changed,
		tombstones: &s.stored.Tombstones, prunedIndex: &s.stored.PrunedIndex,
	}
}

// Delta returns the changes after an index.
func (s *State) Delta(since uint64) Delta {
	return s.tracker().delta(since)
}

func (s *State) recordChanges(index uint64, next Lists) {
	s.tracker().recordLists(index, next)
}

// recordLists records the plans that differ between the lists in force and the
// next ones as changed at index.
func (t tracker) recordLists(index uint64, next Lists) {
	present := map[identifier.PlanID]bool{}
	for _, plan := range next.Plans {
		present[plan.ID] = true
		if !equalEntries(findEntry(t.view.Lists, plan.ID), findEntry(next, plan.ID)) {
			t.changed[plan.ID] = index
		}
	}
	for _, plan := range t.view.Lists.Plans {
		if present[plan.ID] {
			continue
		}
		delete(t.changed, plan.ID)
		*t.tombstones = append(*t.tombstones, tombstone{Plan: plan.ID, Index: index})
	}
	t.pruneTombstones()
}

// recordDelta records all plans in a delta as changed, even those that are equal
// in the views before and after it: they may have differed in between, and
// another replica may hold a view from in between.
func (t tracker) recordDelta(delta Delta) {
	for _, plan := range delta.Plans {
		t.changed[plan.ID] = delta.Index
	}
	for _, id := range delta.Removed {
		delete(t.changed, id)
		*t.tombstones = append(*t.tombstones, tombstone{Plan: id, Index: delta.Index})
	}
	if delta.Full {
		*t.prunedIndex = delta.Index
	}
	t.pruneTombstones()
}

// pruneTombstones drops the oldest tombstones beyond maxTombstones.
func (t tracker) pruneTombstones() {
	for len(*t.tombstones) > maxTombstones {
		*t.prunedIndex = (*t.tombstones)[0].Index
		*t.tombstones = (*t.tombstones)[1:]
	}
}

// delta returns the changes after since. The delta is full if since is 0, below
// prunedIndex or above the view's index.
func (t tracker) delta(since uint64) Delta {
	delta := Delta{
		Since: since, Index: t.view.Index, Version: t.view.Lists.Version,
		Owners: t.view.Owners, Groups: t.view.Groups,
	}
	if since < *t.prunedIndex || since > t.view.Index {
		since = 0
	}
	delta.Full = since == 0
	for _, plan := range t.view.Lists.Plans {
		if !delta.Full && t.changed[plan.ID] <= since {
			continue
		}
		entry := findEntry(t.view.Lists, plan.ID)
		delta.Plans = append(delta.Plans, entry.plans...)
		delta.Allowances = append(delta.Allowances, entry.allowances...)
	}
	for _, removed := range *t.tombstones {
		if _, present := t.changed[removed.Plan]; !delta.Full && removed.Index > since && !present {
			delta.Removed = append(delta.Removed, removed.Plan)
		}
	}
	return delta
}

// listEntry holds a plan, if it exists, and all its allowances.
type listEntry struct {
	plans      []Plan
	allowances []Allowance
}

func findEntry(lists Lists, id identifier.PlanID) listEntry {
	var entry listEntry
	for _, plan := range lists.Plans {
		if plan.ID == id {
			entry.plans = append(entry.plans, plan)
		}
	}
	for _, allowance := range lists.Allowances {
		if allowance.Plan == id {
			entry.allowances = append(entry.allowances, allowance)
		}
	}
	return entry
}

func equalEntries(left, right listEntry) bool {
	return encodeEntry(left) == encodeEntry(right)
}

func encodeEntry(entry listEntry) string {
	plans, _ := json.Marshal(entry.plans)
	allowances, _ := json.Marshal(entry.allowances)
	return string(plans) + string(allowances)
}
