package replicator

import (
	"encoding/json"
	"fmt"

	"cranberrystack.dev/cranberrystack/journaler"
)

// storedRecord is the content of one journal record.
type storedRecord struct {
	HardState *HardState `json:"hard-state,omitempty"`
	Entries   []Entry    `json:"entries,omitempty"`
	// Nonce is the Formation.Nonce of a directory without a snapshot, and Bootstrap says
	// that the directory was created with Seeds.Bootstrap set.
	Nonce     string `json:"nonce,omitempty"`
	Bootstrap bool   `json:"bootstrap,omitempty"`
}

// storedSnapshot is the content of the journal's snapshot.
type storedSnapshot struct {
	HardState HardState `json:"hard-state"`
	Snapshot  Snapshot  `json:"snapshot"`
	Formation Formation `json:"formation"`
}

// store persists a core's state in a journal.
type store struct {
	journal *journaler.Journal
	// formation is stored with every snapshot.
	formation Formation
	// bootstrap is the Bootstrap of the record with the nonce.
	bootstrap bool
}

// openStore opens the journal in dir and returns the stored state. The store's
// formation is fresh if the journal has no snapshot yet.
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

// persistNonce stores the nonce of a directory that has none yet.
func (s *store) persistNonce(nonce string, bootstrap bool) error {
	if s.formation.Nonce != "" {
		return nil
	}
	data, err := json.Marshal(storedRecord{Nonce: nonce, Bootstrap: bootstrap})
	if err != nil {
		return fmt.Errorf("encode nonce: %w", err)
	}
	if err := s.journal.Append(data); err != nil {
		return fmt.Errorf("append nonce: %w", err)
	}
	s.formation.Nonce, s.bootstrap = nonce, bootstrap
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
	hardState := snapshot.HardState
	for _, data := range contents.Records {
		var record storedRecord
		if err := json.Unmarshal(data, &record); err != nil {
			return PersistentState{}, fmt.Errorf("decode record: %w", err)
		}
		if record.HardState != nil && supersedes(*record.HardState, hardState) {
			hardState = *record.HardState
		}
		if s.formation.Fresh && record.Nonce != "" {
			s.formation.Nonce, s.bootstrap = record.Nonce, record.Bootstrap
		}
		replayEntries(&log, record.Entries)
	}
	return PersistentState{HardState: hardState, Snapshot: log.snapshot, Entries: log.entries}, nil
}

// supersedes reports whether the hard state next is later than current. A crash
// after the snapshot was replaced and before the journal was leaves records that
// are older than the snapshot; they are read again.
func supersedes(next, current HardState) bool {
	if next.Term != current.Term {
		return next.Term > current.Term
	}
	return current.Vote == ""
}

// replayEntries applies one stored write to log. Entries that the snapshot covers
// are skipped, but they still truncate the entries after them.
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

// write persists the state of an output. No message of the output may be sent and
// no entry applied unless write returns nil.
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
		return fmt.Errorf("append record: %w", err)
	}
	return nil
}

// compact replaces the whole journal by state.
func (s *store) compact(state PersistentState) error {
	snapshot, err := json.Marshal(storedSnapshot{
		HardState: state.HardState, Snapshot: state.Snapshot, Formation: s.formation,
	})
	if err != nil {
		return fmt.Errorf("encode snapshot: %w", err)
	}
	records, err := encodeEntries(state.Entries)
	if err != nil {
		return err
	}
	if err := s.journal.Compact(snapshot, records...); err != nil {
		return fmt.Errorf("compact log: %w", err)
	}
	return nil
}

// maxRecordData bounds the data of the entries in one record, unless it holds only one.
const maxRecordData = MaxEntryBytes

// encodeEntries encodes entries in records that the journal can hold.
func encodeEntries(entries []Entry) ([][]byte, error) {
	var records [][]byte
	for len(entries) > 0 {
		size, count := len(entries[0].Data), 1
		for count < len(entries) && size+len(entries[count].Data) <= maxRecordData {
			size += len(entries[count].Data)
			count++
		}
		record, err := json.Marshal(storedRecord{Entries: entries[:count]})
		if err != nil {
			return nil, fmt.Errorf("encode record: %w", err)
		}
		records = append(records, record)
		entries = entries[count:]
	}
	return records, nil
}
