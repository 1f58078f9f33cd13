package replicator

import (
	"encoding/json"
	"fmt"

	"cranberrystack.dev/cranberrystack/journaler"
)

// storedRecord is one journal record.
type storedRecord struct {
	HardState *HardState `json:"hard-state,omitempty"`
	Entries   []Entry    `json:"entries,omitempty"`
	// Nonce marks a folder that takes part in forming a group.
	Nonce string `json:"nonce,omitempty"`
}

// storedSnapshot is the journal's snapshot.
type storedSnapshot struct {
	HardState HardState `json:"hard-state"`
	Snapshot  Snapshot  `json:"snapshot"`
	Formation Formation `json:"formation"`
}

// store keeps a core's state in a journal.
type store struct {
	journal *journaler.Journal
	// formation is written with every snapshot.
	formation Formation
}

// openStore returns the kept state. The store's formation is fresh if there
// is none yet.
func openStore(dir string, opts ...journaler.Option) (*store, PersistentState, error) {
	journal, contents, err := journaler.Open(dir, opts...)
	if err != nil {
		return nil, PersistentState{}, fmt.Errorf("open replicated log: %w", err)
	}
	s := &store{journal: journal, formation: Formation{Fresh: contents.Snapshot == nil}}
	restored, err := s.restore(contents)
	if err != nil {
		_ = journal.Close()
		return nil, PersistentState{}, err
	}
	return s, restored, nil
}

// persistNonce gives a fresh folder the nonce by which peers count it.
func (s *store) persistNonce(nonce string) error {
	if s.formation.Nonce != "" {
		return nil
	}
	data, err := json.Marshal(storedRecord{Nonce: nonce})
	if err != nil {
		return fmt.Errorf("encode nonce: %w", err)
	}
	if err := s.journal.Append(data); err != nil {
		return fmt.Errorf("keep nonce: %w", err)
	}
	s.formation.Nonce = nonce
	return nil
}

func (s *store) restore(contents journaler.Contents) (PersistentState, error) {
	var snapshot storedSnapshot
	if contents.Snapshot != nil {
		if err := json.Unmarshal(contents.Snapshot, &snapshot); err != nil {
			return PersistentState{}, fmt.Errorf("decode snapshot: %w", err)
		}
		s.formation = snapshot.Formation
	}
	log := entryLog{snapshot: snapshot.Snapshot}
	hard := snapshot.HardState
	for _, data := range contents.Records {
		var record storedRecord
		if err := json.Unmarshal(data, &record); err != nil {
			return PersistentState{}, fmt.Errorf("decode record: %w", err)
		}
		if record.HardState != nil && supersedes(*record.HardState, hard) {
			hard = *record.HardState
		}
		if s.formation.Fresh && record.Nonce != "" {
			s.formation.Nonce = record.Nonce
		}
		replayEntries(&log, record.Entries)
	}
	return PersistentState{HardState: hard, Snapshot: log.snapshot, Entries: log.entries}, nil
}

// supersedes reports whether a hard state follows another. Records older than the
// snapshot may be read again after a crash between the two.
func supersedes(next, current HardState) bool {
	if next.Term != current.Term {
		return next.Term > current.Term
	}
	return current.Vote == ""
}

// replayEntries repeats one write. Entries that the snapshot covers are left out,
// but still cut what followed them.
func replayEntries(log *entryLog, entries []Entry) {
	if len(entries) == 0 {
		return
	}
	first := entries[0].Index
	keep := uint64(0)
	if first > log.snapshot.Index+1 {
		keep = first - log.snapshot.Index - 1
	}
	log.entries = log.entries[:min(keep, uint64(len(log.entries)))]
	for _, entry := range entries {
		if entry.Index > log.snapshot.Index {
			log.entries = append(log.entries, entry)
		}
	}
}

// write keeps what an output orders. Nothing of the output may be sent or
// applied unless it returns nil.
func (s *store) write(out Output, state func() PersistentState) error {
	if out.Snapshot != nil {
		return s.compact(state())
	}
	if out.HardState == nil && len(out.Append) == 0 {
		return nil
	}
	data, err := json.Marshal(storedRecord{HardState: out.HardState, Entries: out.Append})
	if err != nil {
		return fmt.Errorf("encode record: %w", err)
	}
	if err := s.journal.Append(data); err != nil {
		return fmt.Errorf("keep record: %w", err)
	}
	return nil
}

// compact replaces everything by the given state.
func (s *store) compact(state PersistentState) error {
	snapshot, err := json.Marshal(storedSnapshot{
		HardState: state.HardState, Snapshot: state.Snapshot, Formation: s.formation,
	})
	if err != nil {
		return fmt.Errorf("encode snapshot: %w", err)
	}
	var records [][]byte
	if len(state.Entries) > 0 {
		record, err := json.Marshal(storedRecord{Entries: state.Entries})
		if err != nil {
			return fmt.Errorf("encode record: %w", err)
		}
		records = append(records, record)
	}
	if err := s.journal.Compact(snapshot, records...); err != nil {
		return fmt.Errorf("compact log: %w", err)
	}
	return nil
}
