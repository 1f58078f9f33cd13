// Package packer finds adjacent accelerators for a shape among workers in
// racks. It changes nothing; callers take what it finds.
package packer

import (
	"cranberrystack.dev/cranberrystack/identifier"
)

// Adjacency says how close the parts of a shape have to be.
type Adjacency string

// The kinds of adjacency, from closest to loosest.
const (
	// AdjacentWorker puts all parts on one worker.
	AdjacentWorker Adjacency = "worker"
	// AdjacentNeighbours puts all parts on consecutive workers of one rack.
	AdjacentNeighbours Adjacency = "neighbours"
	// AdjacentRack puts all parts in one rack.
	AdjacentRack Adjacency = "rack"
	// AdjacentDataCenter puts the parts anywhere in the data centre.
	AdjacentDataCenter Adjacency = "data-center"
)

// Shape is a number of equal parts that have to be close to each other.
type Shape struct {
	Adjacent Adjacency `json:"adjacent"`
	// Parts is at least 1.
	Parts int `json:"parts"`
	// PerPart is the number of accelerators of one part, at least 1. A part
	// never spans two workers.
	PerPart int `json:"accelerators-per-part"`
}

// Total returns the number of accelerators of the whole shape.
func (s Shape) Total() int {
	return s.Parts * s.PerPart
}

// Slot is one worker as the packer sees it. A list of slots is in order of
// rack, then of position in the rack.
type Slot struct {
	Worker identifier.WorkerID
	Rack   identifier.RackID
	// Free is the number of accelerators that may be taken, 0 or more.
	Free int
	// Total is the number of accelerators that the worker has.
	Total int
	// Closed workers take nothing, whatever becomes free on them.
	Closed bool
}

// Piece is a number of parts on one worker, by its index in the list.
type Piece struct {
	Slot  int
	Parts int
}

// Find returns where a shape fits, or false. Among the places that fit it
// takes the one that leaves the least free space behind, so that large free
// places stay whole.
func Find(slots []Slot, shape Shape) ([]Piece, bool) {
	if shape.Parts < 1 || shape.PerPart < 1 {
		return nil, false
	}
	switch shape.Adjacent {
	case AdjacentWorker:
		return findWorker(slots, shape)
	case AdjacentNeighbours:
		return findNeighbours(slots, shape)
	case AdjacentRack:
		return findRack(slots, shape)
	case AdjacentDataCenter:
		return fill(slots, 0, len(slots), shape)
	}
	return nil, false
}

// findWorker takes the fullest worker that fits, and among equals the one in
// the fullest rack, so that whole racks stay free.
func findWorker(slots []Slot, shape Shape) ([]Piece, bool) {
	best, bestRack := -1, 0
	rackFree, rackStart := 0, -1
	for i := range slots {
		if rackStart < 0 || slots[i].Rack != slots[rackStart].Rack {
			rackStart = i
			_, rackFree = rackEnd(slots, i)
		}
		if slots[i].Free < shape.Total() {
			continue
		}
		fuller := best >= 0 && (slots[i].Free < slots[best].Free || slots[i].Free == slots[best].Free && rackFree < bestRack)
		if best < 0 || fuller {
			best, bestRack = i, rackFree
		}
	}
	if best < 0 {
		return nil, false
	}
	return []Piece{{Slot: best, Parts: shape.Parts}}, true
}

// findNeighbours looks at every run of consecutive workers that holds the
// shape and takes the one with the least free space left in the run.
func findNeighbours(slots []Slot, shape Shape) ([]Piece, bool) {
	bestFirst, bestLeft := -1, 0
	for first := range slots {
		left, fits := runLeft(slots, first, shape)
		if fits && (bestFirst < 0 || left < bestLeft) {
			bestFirst, bestLeft = first, left
		}
	}
	if bestFirst < 0 {
		return nil, false
	}
	return takeRun(slots, bestFirst, shape), true
}

// runLeft returns the accelerators left free in the shortest run from first.
func runLeft(slots []Slot, first int, shape Shape) (int, bool) {
	missing, free := shape.Parts, 0
	for i := first; i < len(slots) && slots[i].Rack == slots[first].Rack; i++ {
		fit := slots[i].Free / shape.PerPart
		if fit == 0 {
			return 0, false
		}
		missing -= fit
		free += slots[i].Free
		if missing <= 0 {
			return free - shape.Total(), true
		}
	}
	return 0, false
}

func takeRun(slots []Slot, first int, shape Shape) []Piece {
	var pieces []Piece
	missing := shape.Parts
	for i := first; missing > 0; i++ {
		parts := min(missing, slots[i].Free/shape.PerPart)
		pieces = append(pieces, Piece{Slot: i, Parts: parts})
		missing -= parts
	}
	return pieces
}

// findRack takes the rack that fits with the least free space.
func findRack(slots []Slot, shape Shape) ([]Piece, bool) {
	var best []Piece
	bestFree := -1
	for first := 0; first < len(slots); {
		last, free := rackEnd(slots, first)
		pieces, fits := fill(slots, first, last, shape)
		if fits && (bestFree < 0 || free < bestFree) {
			best, bestFree = pieces, free
		}
		first = last
	}
	return best, bestFree >= 0
}

func rackEnd(slots []Slot, first int) (last, free int) {
	last = first
	for last < len(slots) && slots[last].Rack == slots[first].Rack {
		free += slots[last].Free
		last++
	}
	return last, free
}

// fill puts parts on the workers from first to last. Workers that the shape
// uses up come first, so that the rest keep their whole free space.
func fill(slots []Slot, first, last int, shape Shape) ([]Piece, bool) {
	missing := shape.Parts
	var pieces []Piece
	for pass := range 2 {
		for i := first; i < last && missing > 0; i++ {
			fit := slots[i].Free / shape.PerPart
			partly := slots[i].Free < slots[i].Total
			if fit == 0 || partly != (pass == 0) {
				continue
			}
			parts := min(missing, fit)
			pieces = append(pieces, Piece{Slot: i, Parts: parts})
			missing -= parts
		}
	}
	return pieces, missing == 0
}

// FindMostFree returns the place for a shape in open space of which the most
// is free already.
func FindMostFree(open, free []Slot, shape Shape) ([]Piece, bool) {
	var best []Piece
	bestMissing := -1
	consider := func(pieces []Piece, fits bool) {
		if !fits {
			return
		}
		missing := missingIn(free, pieces, shape)
		if bestMissing < 0 || missing < bestMissing {
			best, bestMissing = pieces, missing
		}
	}
	switch shape.Adjacent {
	case AdjacentNeighbours:
		for first := range open {
			if _, fits := runLeft(open, first, shape); fits {
				consider(takeRun(open, first, shape), true)
			}
		}
	case AdjacentRack:
		for first := 0; first < len(open); {
			last, _ := rackEnd(open, first)
			consider(fillFreeFirst(open, free, first, last, shape))
			first = last
		}
	case AdjacentDataCenter:
		consider(fillFreeFirst(open, free, 0, len(open), shape))
	case AdjacentWorker:
		for i := range open {
			if open[i].Free >= shape.Total() {
				consider([]Piece{{Slot: i, Parts: shape.Parts}}, true)
			}
		}
	}
	return best, bestMissing >= 0
}

// missingIn counts the accelerators of a place that are not free yet.
func missingIn(free []Slot, pieces []Piece, shape Shape) int {
	missing := 0
	for _, piece := range pieces {
		missing += max(piece.Parts*shape.PerPart-free[piece.Slot].Free, 0)
	}
	return missing
}

// fillFreeFirst puts parts where space is free already, and the rest where it
// will be.
func fillFreeFirst(open, free []Slot, first, last int, shape Shape) ([]Piece, bool) {
	missing := shape.Parts
	parts := map[int]int{}
	for _, space := range [][]Slot{free, open} {
		for i := first; i < last && missing > 0; i++ {
			fit := space[i].Free/shape.PerPart - parts[i]
			if fit > 0 {
				taken := min(missing, fit)
				parts[i] += taken
				missing -= taken
			}
		}
	}
	var pieces []Piece
	for i := first; i < last; i++ {
		if parts[i] > 0 {
			pieces = append(pieces, Piece{Slot: i, Parts: parts[i]})
		}
	}
	return pieces, missing == 0
}

// Allocate subtracts what pieces of a shape use from the free space.
func Allocate(slots []Slot, pieces []Piece, shape Shape) {
	for _, piece := range pieces {
		slots[piece.Slot].Free -= piece.Parts * shape.PerPart
	}
}

// CountPlacements returns how many shapes fit beside each other, up to a limit.
func CountPlacements(slots []Slot, shape Shape, limit int) int {
	scratch := append([]Slot(nil), slots...)
	count := 0
	for count < limit {
		pieces, fits := Find(scratch, shape)
		if !fits {
			break
		}
		Allocate(scratch, pieces, shape)
		count++
	}
	return count
}
