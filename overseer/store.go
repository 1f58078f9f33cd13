package overseer

import (
	"encoding/json"
	"fmt"
	"sort"
	"sync"
	"time"

	"cranberrystack.dev/cranberrystack/identifier"
	"cranberrystack.dev/cranberrystack/journaler"
	"cranberrystack.dev/cranberrystack/placer"
)

const (
	// compactThresholdBytes is the journal size from which it is compacted.
	compactThresholdBytes = 16 << 20
	// endedJobRetention is how long an ended job stays in the store.
	endedJobRetention = time.Hour
)

// position is the version of a replica of the jobs. Replicas are ordered by
// epoch and, within an epoch, by sequence.
type position struct {
	Epoch    identifier.Epoch `json:"epoch"`
	Sequence uint64           `json:"sequence"`
}

func (p position) before(other position) bool {
	if p.Epoch != other.Epoch {
		return p.Epoch < other.Epoch
	}
	return p.Sequence < other.Sequence
}

// update is a change of the jobs, as sent to standbys and written to disk. A
// full update replaces all jobs.
type update struct {
	// After is the position to which the update applies; it is not used for a
	// full update.
	After    position     `json:"after"`
	Position position     `json:"position"`
	Full     bool         `json:"full,omitempty"`
	Jobs     []placer.Job `json:"jobs"`
}

// store holds one instance's replica of the jobs. It is persisted if the store
// has a folder. It is safe for concurrent use.
type store struct {
	journal *journaler.Journal

	mu       sync.Mutex
	position position
	byID     map[identifier.JobID]placer.Job
}

// openStore returns a store with the jobs that are persisted in dir. If dir is
// empty, the store is in memory only.
func openStore(dir string) (*store, error) {
	s := &store{byID: map[identifier.JobID]placer.Job{}}
	if dir == "" {
		return s, nil
	}
	journal, contents, err := journaler.Open(dir)
	if err != nil {
		return nil, fmt.Errorf("open jobs: %w", err)
	}
	s.journal = journal
	records := contents.Records
	if contents.Snapshot != nil {
		records = append([][]byte{contents.Snapshot}, records...)
	}
	for _, record := range records {
		var u update
		if err := json.Unmarshal(record, &u); err != nil {
			return nil, fmt.Errorf("decode jobs: %w", err)
		}
		if !s.position.before(u.Position) {
			continue
		}
		s.apply(u)
	}
	return s, nil
}

// apply applies an update to the jobs in memory. The caller holds mu or is the
// only user of the store.
func (s *store) apply(u update) {
	if u.Full {
		s.byID = map[identifier.JobID]placer.Job{}
	}
	for _, job := range u.Jobs {
		s.byID[job.Spec.ID] = job
	}
	s.position = u.Position
}

// write persists an update and then applies it in memory.
func (s *store) write(u update) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.journal != nil {
		data, err := json.Marshal(u)
		if err != nil {
			return fmt.Errorf("encode jobs: %w", err)
		}
		if err := s.journal.Append(data); err != nil {
			return fmt.Errorf("keep jobs: %w", err)
		}
	}
	s.apply(u)
	return s.compact()
}

// compact replaces the journal by a snapshot if it has grown past the threshold.
// The caller holds mu.
func (s *store) compact() error {
	if s.journal == nil || s.journal.Size() < compactThresholdBytes {
		return nil
	}
	s.pruneEnded(time.Now())
	data, err := json.Marshal(s.fullUpdate())
	if err != nil {
		return fmt.Errorf("encode jobs: %w", err)
	}
	if err := s.journal.Compact(data); err != nil {
		return fmt.Errorf("compact jobs: %w", err)
	}
	return nil
}

// pruneEnded removes jobs that ended endedJobRetention ago or earlier. The
// caller holds mu.
func (s *store) pruneEnded(now time.Time) {
	for id, job := range s.byID {
		if job.State.Ended() && now.Sub(job.Ended) >= endedJobRetention {
			delete(s.byID, id)
		}
	}
}

// fullUpdate returns all jobs as one update, ordered by id. The caller holds mu.
func (s *store) fullUpdate() update {
	u := update{Position: s.position, Full: true}
	for _, job := range s.byID {
		u.Jobs = append(u.Jobs, job)
	}
	sort.Slice(u.Jobs, func(i, j int) bool { return u.Jobs[i].Spec.ID < u.Jobs[j].Spec.ID })
	return u
}

// snapshot prunes ended jobs and returns all others as one update.
func (s *store) snapshot() update {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pruneEnded(time.Now())
	return s.fullUpdate()
}

func (s *store) currentPosition() position {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.position
}

// jobState returns the stored state of a job, or an empty one for an unknown job.
func (s *store) jobState(id identifier.JobID) placer.State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byID[id].State
}

func (s *store) jobs() []placer.Job {
	return s.snapshot().Jobs
}

// accept writes an update that the owner sent. It returns false if the replica
// is not at the position to which the update applies, or if the update is from
// an owner that has been replaced. An update that the replica already has is
// accepted without a write.
func (s *store) accept(u update) (bool, error) {
	current := s.currentPosition()
	if u.Position.Epoch < current.Epoch {
		return false, nil
	}
	if !current.before(u.Position) {
		return true, nil
	}
	if !u.Full && u.After != current {
		return false, nil
	}
	if err := s.write(u); err != nil {
		return false, err
	}
	return true, nil
}

func (s *store) close() {
	if s.journal != nil {
		_ = s.journal.Close()
	}
}
