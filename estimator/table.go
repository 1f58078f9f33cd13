package estimator

import (
	"iter"
	"unicode/utf8"
)

// none ends the list of a table.
const none = int32(-1)

// table maps keys to values and evicts the least recently used entry beyond its
// bounds. A pointer to a value is valid until the next insertion.
type table[K comparable, V any] struct {
	index   map[K]int32
	entries []entry[K, V]
	// oldest and newest are the ends of the list in order of use.
	oldest, newest int32
	maxEntries     int
	// nameBytes is the size of the keys in JSON and at most maxNameBytes, so that long
	// names cannot exceed the bounds on memory and snapshots.
	nameBytes, maxNameBytes int
	// size returns the size of a key in JSON.
	size func(K) int
	// free holds the positions of removed entries.
	free []int32
	// evicted is called with each value that is removed. It may be nil.
	evicted func(V)
}

// entry is in the list of used entries, or free if it is not in the index.
type entry[K comparable, V any] struct {
	key          K
	value        V
	older, newer int32
}

func newTable[K comparable, V any](maxEntries, maxNameBytes int, size func(K) int) table[K, V] {
	return table[K, V]{
		index: map[K]int32{}, oldest: none, newest: none,
		maxEntries: maxEntries, maxNameBytes: maxNameBytes, size: size,
	}
}

// get returns the value of a key, or nil. It does not count as a use.
func (t *table[K, V]) get(key K) *V {
	at, known := t.index[key]
	if !known {
		return nil
	}
	return &t.entries[at].value
}

// use returns the value of a key, or nil, and marks it as the most recently used.
func (t *table[K, V]) use(key K) *V {
	at, known := t.index[key]
	if !known {
		return nil
	}
	if at != t.newest {
		t.unlink(at)
		t.link(at)
	}
	return &t.entries[at].value
}

// insert adds a key that is not in the table, and returns its value.
func (t *table[K, V]) insert(key K, value V) *V {
	t.nameBytes += t.size(key)
	for t.oldest != none && (len(t.index) >= t.maxEntries || t.nameBytes > t.maxNameBytes) {
		t.evict()
	}
	at := int32(len(t.entries))
	if last := len(t.free) - 1; last >= 0 {
		at, t.free = t.free[last], t.free[:last]
	} else {
		t.entries = append(t.entries, entry[K, V]{})
	}
	t.entries[at].key, t.entries[at].value = key, value
	t.index[key] = at
	t.link(at)
	return &t.entries[at].value
}

// evict removes the least recently used entry.
func (t *table[K, V]) evict() {
	at := t.oldest
	t.unlink(at)
	removed := &t.entries[at]
	delete(t.index, removed.key)
	t.nameBytes -= t.size(removed.key)
	if t.evicted != nil {
		t.evicted(removed.value)
	}
	*removed = entry[K, V]{}
	t.free = append(t.free, at)
}

func (t *table[K, V]) unlink(at int32) {
	removed := t.entries[at]
	if removed.older == none {
		t.oldest = removed.newer
	} else {
		t.entries[removed.older].newer = removed.newer
	}
	if removed.newer == none {
		t.newest = removed.older
	} else {
		t.entries[removed.newer].older = removed.older
	}
}

func (t *table[K, V]) link(at int32) {
	t.entries[at].older, t.entries[at].newer = t.newest, none
	if t.newest == none {
		t.oldest = at
	} else {
		t.entries[t.newest].newer = at
	}
	t.newest = at
}

// all iterates from the least to the most recently used entry.
func (t *table[K, V]) all() iter.Seq2[K, *V] {
	return func(yield func(K, *V) bool) {
		if len(t.index) == 0 {
			return
		}
		for at := t.oldest; at != none; at = t.entries[at].newer {
			if !yield(t.entries[at].key, &t.entries[at].value) {
				return
			}
		}
	}
}

// nameSize returns the size of a name in JSON, with escapes.
func nameSize(name string) int {
	size := len(name)
	for i := range len(name) {
		switch c := name[i]; {
		case c == '"' || c == '\\':
			size++
		case c < ' ' || c == '<' || c == '>' || c == '&' || c == 0x7f:
			size += 5
		}
	}
	return size
}

// usableName reports whether a name can be learned about: it survives JSON, and is
// not so long that it would evict many others.
func usableName(name string) bool { return len(name) <= maxNameLength && utf8.ValidString(name) }
