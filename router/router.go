// Package router divides the slots of upstreams among the entry instances of a
// data centre. Instances that do not see each other's load would otherwise all
// choose the same idle upstream; here each works on slots of its own and needs
// no messages for it.
package router

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"cranberrystack.dev/cranberrystack/identifier"
	"cranberrystack.dev/cranberrystack/registrar"
)

// shortOnlyDivisor gives one slot in so many to short work alone.
const shortOnlyDivisor = 4

// Slot is the right to run one request at a time on an upstream.
type Slot struct {
	Upstream identifier.UpstreamID
	Number   int
	// ShortOnly slots never run long work.
	ShortOnly bool
	// Member is the only member served; empty serves all.
	Member identifier.MemberID
}

// OwnedSlots returns the slots that belong to one entry instance among all that are
// alive. Instances that agree on both lists never share a slot. While they
// disagree an upstream may be offered too much and says that it is busy.
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

// instanceIndex returns the place of an instance in the order of ids, and how many
// there are. An instance that is missing from the list counts itself in.
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
