package replicator

// entryLog is a snapshot and the log entries that follow it.
type entryLog struct {
	snapshot Snapshot
	// entries follow the snapshot without a gap.
	entries []Entry
}

func (l *entryLog) lastIndex() uint64 {
	return l.snapshot.Index + uint64(len(l.entries))
}

func (l *entryLog) lastTerm() uint64 {
	return l.term(l.lastIndex())
}

// knowsTerm reports whether index is that of the snapshot or of an entry.
func (l *entryLog) knowsTerm(index uint64) bool {
	return index >= l.snapshot.Index && index <= l.lastIndex()
}

// term returns the term at index, or 0 if it is not known.
func (l *entryLog) term(index uint64) uint64 {
	if index == l.snapshot.Index {
		return l.snapshot.Term
	}
	if !l.knowsTerm(index) {
		return 0
	}
	return l.entries[index-l.snapshot.Index-1].Term
}

// entriesFrom returns the entries from index on whose data fits into maxBytes, but
// at least one. It returns nil if the log has no entry at index.
func (l *entryLog) entriesFrom(index uint64, maxBytes int) []Entry {
	if index <= l.snapshot.Index || index > l.lastIndex() {
		return nil
	}
	rest := l.entries[index-l.snapshot.Index-1:]
	size := 0
	for i := range rest {
		size += len(rest[i].Data)
		if i > 0 && size > maxBytes {
			return rest[:i:i]
		}
	}
	return rest[:len(rest):len(rest)]
}

// entriesBetween returns the entries after low up to and including high.
func (l *entryLog) entriesBetween(low, high uint64) []Entry {
	if high <= low {
		return nil
	}
	first := low - l.snapshot.Index
	last := high - l.snapshot.Index
	return l.entries[first:last:last]
}

// replaceFrom drops all entries from the index of the first of entries on and
// appends entries. That index must be after the snapshot and at most one after the
// last entry.
func (l *entryLog) replaceFrom(entries []Entry) {
	keep := entries[0].Index - l.snapshot.Index - 1
	l.entries = append(l.entries[:keep:keep], entries...)
}

// compact replaces the entries up to the snapshot. Later entries stay only if the
// log agrees with the snapshot's last entry.
func (l *entryLog) compact(snapshot Snapshot) {
	var rest []Entry
	if snapshot.Index < l.lastIndex() && l.term(snapshot.Index) == snapshot.Term {
		rest = append(rest, l.entries[snapshot.Index-l.snapshot.Index:]...)
	}
	l.snapshot = snapshot
	l.entries = rest
}

// upToDate reports whether a log whose last entry has the given index and term is
// at least as up to date as this one.
func (l *entryLog) upToDate(index, term uint64) bool {
	if term != l.lastTerm() {
		return term > l.lastTerm()
	}
	return index >= l.lastIndex()
}
