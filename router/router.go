// Package router divides the slots of upstreams among the entry instances of a
// data centre. Instances don't see each other's load and would otherwise all choose
// the same idle upstream. Each one computes its own slots, so the division needs no
// messages.
package router

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"cranberrystack.dev/cranberrystack/identifier"
	"cranberrystack.dev/cranberrystack/registrar"
)

// shortOnlyDivisor is the divisor of an upstream's slots that gives the number
// reserved for short work, rounded up. The slot of a single-slot upstream is not
// reserved.
const shortOnlyDivisor = 4

// Slot is the right to run one request at a time on an upstream.
type Slot struct {
	Upstream identifier.UpstreamID
	// Number is the index of the slot on the upstream, from 0.
	Number int
	// ShortOnly marks a slot that never runs long work.
	ShortOnly bool
	// Member is the only member that the slot serves, or empty for all members.
	Member identifier.MemberID
}

// OwnedSlots returns the slots that belong to the entry instance self, given all
// live entry instances and all upstreams. Instances that agree on both lists never
// share a slot. While they disagree, an upstream may receive more requests than it
// has slots and refuses the excess as busy.
func OwnedSlots(self identifier.InstanceID, entries []identifier.InstanceID, upstreams []registrar.Upstream) []Slot {
	index, count := instanceIndex(self, entries)
	var owned []Slot
	for i := range upstreams {
		upstream := &upstreams[i]
		offset := int(xxhash.Sum64String(string(upstream.ID)) % uint64(count))
		shortOnly := (upstream.Slots + shortOnlyDivisor - 1) / shortOnlyDivisor
		if upstream.Slots == 1 {
			shortOnly = 0
		}
		for number := range upstream.Slots {
			if (offset+number)%count != index {
				continue
			}
			owned = append(owned, Slot{
				Upstream: upstream.ID, Number: number,
				ShortOnly: number < shortOnly, Member: upstream.Member,
			})
		}
	}
	return owned
}

// instanceIndex returns the index of self in the sorted entries and the number of
// distinct entries. self counts even if entries does not contain it.
func instanceIndex(self identifier.InstanceID, entries []identifier.InstanceID) (index, count int) {
	all := append([]identifier.InstanceID(nil), entries...)
	all = append(all, self)
	sort.Slice(all, func(i, j int) bool { return all[i] < all[j] })
	for i, id := range all {
		if i > 0 && all[i-1] == id {
			continue
		}
		if id == self {
			index = count
		}
		count++
	}
	return index, count
}
