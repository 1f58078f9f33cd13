// Package packer finds placements for shapes of adjacent accelerators among
// workers in racks. The Find functions change nothing; callers allocate what
// they return.
package packer

import (
	"cranberrystack.dev/cranberrystack/identifier"
)

// Adjacency is how close to each other the parts of a shape have to be.
type Adjacency string

// The kinds of adjacency, from tightest to loosest.
const (
	// AdjacentWorker requires all parts on one worker.
	AdjacentWorker Adjacency = "worker"
	// AdjacentNeighbours requires all parts on consecutive workers of one rack.
	AdjacentNeighbours Adjacency = "neighbours"
	// AdjacentRack requires all parts in one rack.
	AdjacentRack Adjacency = "rack"
	// AdjacentDataCenter allows the parts anywhere in the data centre.
	AdjacentDataCenter Adjacency = "data-center"
)

// Shape is a number of equal parts with an adjacency.
type Shape struct {
	Adjacent Adjacency `json:"adjacent"`
	// Parts is at least 1.
	Parts int `json:"parts"`
	// PerPart is the number of accelerators of one part, at least 1. A part is
	// never split between workers.
	PerPart int `json:"accelerators-per-part"`
}

// Total returns the number of accelerators of the whole shape.
func (s Shape) Total() int {
	return s.Parts * s.PerPart
}

// Slot is one worker. Lists of slots are sorted by rack, then by position in
// the rack.
type Slot struct {
	Worker identifier.WorkerID
	Rack   identifier.RackID
	// Free is the number of accelerators that may be allocated, at least 0.
	Free int
	// Total is the number of accelerators that the worker has.
	Total int
	// Closed workers accept nothing, even when accelerators become free. This
	// package does not check it; callers leave Free of closed workers at 0.
	Closed bool
}

// Piece is a number of parts on one worker. Slot is the worker's index in the
// list of slots.
type Piece struct {
	Slot  int
	Parts int
}

// Find returns a placement for a shape, or false. It prefers the placement that
// leaves the least free capacity behind, so that large free placements stay
// whole.
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
		return fillPartlyUsedFirst(slots, 0, len(slots), shape)
	}
	return nil, false
}

// findWorker returns the worker with the least free capacity that fits, and
// among equals the one in the rack with the least, so that whole racks stay
// free.
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

// findNeighbours checks every run of consecutive workers that can hold the
// shape and returns the one with the least free capacity left over.
func findNeighbours(slots []Slot, shape Shape) ([]Piece, bool) {
	bestFirst, bestLeftover := -1, 0
	for first := range slots {
		leftover, fits := leftoverInRun(slots, first, shape)
		if fits && (bestFirst < 0 || leftover < bestLeftover) {
			bestFirst, bestLeftover = first, leftover
		}
	}
	if bestFirst < 0 {
		return nil, false
	}
	return fillRun(slots, bestFirst, shape), true
}

// leftoverInRun returns how many accelerators the shape leaves free in the
// shortest run that starts at first and holds it, or false if there is none.
func leftoverInRun(slots []Slot, first int, shape Shape) (int, bool) {
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

func fillRun(slots []Slot, first int, shape Shape) []Piece {
	var pieces []Piece
	missing := shape.Parts
	for i := first; missing > 0; i++ {
		parts := min(missing, slots[i].Free/shape.PerPart)
		pieces = append(pieces, Piece{Slot: i, Parts: parts})
		missing -= parts
	}
	return pieces
}

// findRack returns a placement in the rack with the least free capacity that
// fits.
func findRack(slots []Slot, shape Shape) ([]Piece, bool) {
	var best []Piece
	bestFree := -1
	for first := 0; first < len(slots); {
		end, free := rackEnd(slots, first)
		pieces, fits := fillPartlyUsedFirst(slots, first, end, shape)
		if fits && (bestFree < 0 || free < bestFree) {
			best, bestFree = pieces, free
		}
		first = end
	}
	return best, bestFree >= 0
}

// rackEnd returns the index after the last worker of the rack that begins at
// first, and the free accelerators of the rack.
func rackEnd(slots []Slot, first int) (end, free int) {
	end = first
	for end < len(slots) && slots[end].Rack == slots[first].Rack {
		free += slots[end].Free
		end++
	}
	return end, free
}

// fillPartlyUsedFirst places parts on the workers from first up to end,
// exclusive. Partly used workers come before idle ones, so that idle workers
// stay whole.
func fillPartlyUsedFirst(slots []Slot, first, end int, shape Shape) ([]Piece, bool) {
	missing := shape.Parts
	var pieces []Piece
	for pass := range 2 {
		for i := first; i < end && missing > 0; i++ {
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

// FindMostFree returns a placement for a shape in available, the one with the
// fewest accelerators that are not free yet. free lists the workers as they are
// now, available the same workers in the same order as they would be once jobs
// have been moved away. Unlike Find, it requires a valid shape.
func FindMostFree(available, free []Slot, shape Shape) ([]Piece, bool) {
	var best []Piece
	bestMissing := -1
	consider := func(pieces []Piece, fits bool) {
		if !fits {
			return
		}
		missing := shortfall(free, pieces, shape)
		if bestMissing < 0 || missing < bestMissing {
			best, bestMissing = pieces, missing
		}
	}
	switch shape.Adjacent {
	case AdjacentNeighbours:
		for first := range available {
			if _, fits := leftoverInRun(available, first, shape); fits {
				consider(fillRun(available, first, shape), true)
			}
		}
	case AdjacentRack:
		for first := 0; first < len(available); {
			end, _ := rackEnd(available, first)
			consider(fillFreeFirst(available, free, first, end, shape))
			first = end
		}
	case AdjacentDataCenter:
		consider(fillFreeFirst(available, free, 0, len(available), shape))
	case AdjacentWorker:
		for i := range available {
			if available[i].Free >= shape.Total() {
				consider([]Piece{{Slot: i, Parts: shape.Parts}}, true)
			}
		}
	}
	return best, bestMissing >= 0
}

// shortfall returns the number of accelerators of a placement that are not yet
// free.
func shortfall(free []Slot, pieces []Piece, shape Shape) int {
	missing := 0
	for _, piece := range pieces {
		missing += max(piece.Parts*shape.PerPart-free[piece.Slot].Free, 0)
	}
	return missing
}

// fillFreeFirst places parts on the workers from first up to end, exclusive:
// first in capacity that is free now, the rest in what will become available.
func fillFreeFirst(available, free []Slot, first, end int, shape Shape) ([]Piece, bool) {
	missing := shape.Parts
	parts := map[int]int{}
	for _, slots := range [][]Slot{free, available} {
		for i := first; i < end && missing > 0; i++ {
			fit := slots[i].Free/shape.PerPart - parts[i]
			if fit > 0 {
				added := min(missing, fit)
				parts[i] += added
				missing -= added
			}
		}
	}
	var pieces []Piece
	for i := first; i < end; i++ {
		if parts[i] > 0 {
			pieces = append(pieces, Piece{Slot: i, Parts: parts[i]})
		}
	}
	return pieces, missing == 0
}

// Allocate subtracts the accelerators of a placement from the free capacity.
func Allocate(slots []Slot, pieces []Piece, shape Shape) {
	for _, piece := range pieces {
		slots[piece.Slot].Free -= piece.Parts * shape.PerPart
	}
}

// CountPlacements returns how many times a shape fits at once, up to limit.
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
