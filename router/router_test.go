package router

import (
	"fmt"
	"testing"

	"cranberrystack.dev/cranberrystack/identifier"
	"cranberrystack.dev/cranberrystack/registrar"
)

// TestSlotsAreDividedEvenlyWithoutOverlap guards against a slot with no or several
// owners, and against an uneven division.
func TestSlotsAreDividedEvenlyWithoutOverlap(t *testing.T) {
	for entries := 1; entries <= 7; entries++ {
		var ids []identifier.InstanceID
		for i := range entries {
			ids = append(ids, identifier.InstanceID(fmt.Sprint("i", i)))
		}
		var upstreams []registrar.Upstream
		for i := range 50 {
			upstreams = append(upstreams, registrar.Upstream{ID: identifier.UpstreamID(fmt.Sprint("u", i)), Slots: 8})
		}
		owners := map[Slot]int{}
		for _, id := range ids {
			slots := OwnedSlots(id, ids, upstreams)
			if fair := 400 / entries; len(slots) < fair*8/10 || len(slots) > fair*12/10+1 {
				t.Errorf("%d entries: %s owns %d slots of 400", entries, id, len(slots))
			}
			for _, slot := range slots {
				owners[slot]++
			}
		}
		short := 0
		for slot, count := range owners {
			if count != 1 {
				t.Fatalf("%d entries: slot %+v has %d owners", entries, slot, count)
			}
			if slot.ShortOnly {
				short++
			}
		}
		if len(owners) != 400 || short != 100 {
			t.Errorf("%d entries: %d slots owned, %d for short work only, want 400 and 100", entries, len(owners), short)
		}
	}
}
