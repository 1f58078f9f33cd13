package router

import (
	"fmt"
	"testing"

	"cranberrystack.dev/cranberrystack/identifier"
	"cranberrystack.dev/cranberrystack/registrar"
)

// TestSlotsAreDivided checks that each slot has exactly one owner and that no
// owner has many more than another.
func TestSlotsAreDivided(t *testing.T) {
	for entries := 1; entries <= 7; entries++ {
		var ids []identifier.InstanceID
		for i := range entries {
			ids = append(ids, identifier.InstanceID(fmt.Sprint("i", i)))
		}
		var upstreams []registrar.Upstream
		for i := range 50 {
			upstreams = append(upstreams, registrar.Upstream{ID: identifier.UpstreamID(fmt.Sprint("u", i)), Slots: 8})
		}
		owned := map[Slot]int{}
		for _, id := range ids {
			own := OwnedSlots(id, ids, upstreams)
			if fair := 400 / entries; len(own) < fair*8/10 || len(own) > fair*12/10+1 {
				t.Errorf("%d entries: %s owns %d slots of 400", entries, id, len(own))
			}
			for _, slot := range own {
				owned[slot]++
			}
		}
		short := 0
		for slot, owners := range owned {
			if owners != 1 {
				t.Fatalf("%d entries: slot %+v has %d owners", entries, slot, owners)
			}
			if slot.ShortOnly {
				short++
			}
		}
		if len(owned) != 400 || short != 100 {
			t.Errorf("%d entries: %d slots owned, %d for short work only, want 400 and 100", entries, len(owned), short)
		}
	}
}
