package packer

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/google/go-cmp/cmp"

	"cranberrystack.dev/cranberrystack/identifier"
)

// slotsOf builds slots of 8 accelerators: each string is a rack, each digit the
// free accelerators of a worker.
func slotsOf(racks ...string) []Slot {
	var slots []Slot
	for r, rack := range racks {
		for i, free := range rack {
			slots = append(slots, Slot{
				Worker: identifier.WorkerID(fmt.Sprint(r, "-", i)), Rack: identifier.RackID(fmt.Sprint(r)),
				Free: int(free - '0'), Total: 8,
			})
		}
	}
	return slots
}

func TestFind(t *testing.T) {
	tests := []struct {
		name  string
		slots []Slot
		shape Shape
		want  []Piece
	}{
		{"fullest worker that fits", slotsOf("8385"), Shape{AdjacentWorker, 1, 3}, []Piece{{1, 1}}},
		{"among equal workers the fullest rack", slotsOf("888", "820"), Shape{AdjacentWorker, 1, 8}, []Piece{{3, 1}}},
		{"too large for any worker", slotsOf("88"), Shape{AdjacentWorker, 2, 8}, nil},
		{"neighbours with least left over", slotsOf("8808", "0880"), Shape{AdjacentNeighbours, 2, 8}, []Piece{{0, 1}, {1, 1}}},
		{"neighbours never skip a worker", slotsOf("808", "80"), Shape{AdjacentNeighbours, 2, 8}, nil},
		{"neighbours never cross racks", slotsOf("08", "80"), Shape{AdjacentNeighbours, 2, 8}, nil},
		{"rack with least free", slotsOf("888", "440"), Shape{AdjacentRack, 2, 4}, []Piece{{3, 1}, {4, 1}}},
		{"rack takes partly used workers first", slotsOf("848"), Shape{AdjacentRack, 2, 4}, []Piece{{1, 1}, {0, 1}}},
		{"data centre crosses racks", slotsOf("80", "08"), Shape{AdjacentDataCenter, 2, 8}, []Piece{{0, 1}, {3, 1}}},
		{"parts never span workers", slotsOf("44"), Shape{AdjacentDataCenter, 1, 8}, nil},
		{"no parts", slotsOf("8"), Shape{AdjacentWorker, 0, 1}, nil},
	}
	for _, test := range tests {
		got, fits := Find(test.slots, test.shape)
		if fits != (test.want != nil) {
			t.Errorf("%s: unexpected fits %v", test.name, fits)
		}
		if diff := cmp.Diff(test.want, got); fits && diff != "" {
			t.Errorf("%s (-want +got):\n%s", test.name, diff)
		}
	}
}

// TestFindReturnsValidPlacements checks on random slots that placements satisfy
// their shape, and that Find and FindMostFree agree on whether there is one.
func TestFindReturnsValidPlacements(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	kinds := []Adjacency{AdjacentWorker, AdjacentNeighbours, AdjacentRack, AdjacentDataCenter}
	for range 20000 {
		var racks []string
		for range 1 + random.IntN(3) {
			rack := ""
			for range 1 + random.IntN(4) {
				rack += string(rune('0' + random.IntN(9)))
			}
			racks = append(racks, rack)
		}
		slots := slotsOf(racks...)
		shape := Shape{kinds[random.IntN(4)], 1 + random.IntN(6), 1 + random.IntN(8)}
		pieces, fits := Find(slots, shape)
		mostFree, mostFreeFits := FindMostFree(slots, slots, shape)
		if fits != mostFreeFits {
			t.Fatalf("%v in %v: Find fits is %v, FindMostFree fits is %v", shape, racks, fits, mostFreeFits)
		}
		if fits {
			checkPieces(t, slots, pieces, shape)
			checkPieces(t, slots, mostFree, shape)
		}
	}
}

func checkPieces(t *testing.T, slots []Slot, pieces []Piece, shape Shape) {
	t.Helper()
	parts := 0
	for i, piece := range pieces {
		parts += piece.Parts
		if piece.Parts*shape.PerPart > slots[piece.Slot].Free {
			t.Fatalf("%v: piece %v exceeds the free accelerators", shape, piece)
		}
		sameRack := slots[piece.Slot].Rack == slots[pieces[0].Slot].Rack
		if shape.Adjacent != AdjacentDataCenter && !sameRack {
			t.Fatalf("%v: pieces %v cross racks", shape, pieces)
		}
		if shape.Adjacent == AdjacentNeighbours && piece.Slot != pieces[0].Slot+i {
			t.Fatalf("%v: pieces %v are not neighbours", shape, pieces)
		}
	}
	if parts != shape.Parts || (shape.Adjacent == AdjacentWorker && len(pieces) != 1) {
		t.Fatalf("%v: wrong number of parts or pieces: %v", shape, pieces)
	}
}
