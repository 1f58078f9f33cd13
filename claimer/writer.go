package claimer

import (
	"encoding/json"
	"fmt"
	"sync"

	"cranberrystack.dev/cranberrystack/journaler"
)

// compactThresholdBytes is the journal size from which it is compacted.
const compactThresholdBytes = 16 << 20

// change is one journal record.
type change struct {
	// Complete records that the journal holds all claims from here on, because
	// the instance has recovered.
	Complete bool `json:"begun,omitempty"`
	// Set is a claim that was added or changed.
	Set *Claim `json:"put,omitempty"`
	// Removed is the id of a claim that was released.
	Removed *ID `json:"drop,omitempty"`
}

// claimWriter persists changes of the claim table in a journal, with one write
// for all changes that are pending. Without a folder it does nothing.
type claimWriter struct {
	journal *journaler.Journal
	// allClaims returns every claim, for a snapshot.
	allClaims func() []Claim
	// complete says that the journal holds all claims of the instance. Until then
	// it is not compacted, since a snapshot counts as complete. Only the goroutine
	// of run uses it.
	complete bool

	// mu guards pending and results.
	mu      sync.Mutex
	pending []change
	// results holds the channel for the result of each pending change.
	results []chan error
	wake    chan struct{}
	stop    chan struct{}
	done    sync.WaitGroup
}

// openClaimWriter opens the journal in dir. It also returns the claims on disk,
// and whether those are all that the instance ever granted.
func openClaimWriter(dir string, allClaims func() []Claim) (*claimWriter, []Claim, bool, error) {
	w := &claimWriter{allClaims: allClaims, wake: make(chan struct{}, 1), stop: make(chan struct{})}
	if dir == "" {
		return w, nil, false, nil
	}
	journal, contents, err := journaler.Open(dir)
	if err != nil {
		return nil, nil, false, fmt.Errorf("open claims: %w", err)
	}
	w.journal = journal
	claims, complete, err := replay(contents)
	if err != nil {
		return nil, nil, false, err
	}
	w.complete = complete
	w.done.Go(w.run)
	return w, claims, complete, nil
}

// replay returns the claims that a journal describes, and whether they are
// complete.
func replay(contents journaler.Contents) ([]Claim, bool, error) {
	byID := map[ID]Claim{}
	var claims []Claim
	if contents.Snapshot != nil {
		var snapshot []Claim
		if err := json.Unmarshal(contents.Snapshot, &snapshot); err != nil {
			return nil, false, fmt.Errorf("decode claims: %w", err)
		}
		for _, claim := range snapshot {
			if claim.State == StateTombstone {
				claims = append(claims, claim)
				continue
			}
			byID[claim.ID] = claim
		}
	}
	complete := contents.Snapshot != nil
	for _, record := range contents.Records {
		var c change
		if err := json.Unmarshal(record, &c); err != nil {
			return nil, false, fmt.Errorf("decode claims: %w", err)
		}
		complete = complete || c.Complete
		switch {
		case c.Set != nil && c.Set.State == StateTombstone:
			claims = append(claims, *c.Set)
		case c.Set != nil:
			byID[c.Set.ID] = *c.Set
		case c.Removed != nil:
			delete(byID, *c.Removed)
		}
	}
	for _, claim := range byID {
		claims = append(claims, claim)
	}
	return claims, complete, nil
}

// enqueue queues a change; changes are written in the order of the calls. The
// returned channel yields the result of the write.
func (w *claimWriter) enqueue(c change) <-chan error {
	result := make(chan error, 1)
	if w.journal == nil {
		result <- nil
		return result
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pending = append(w.pending, c)
	w.results = append(w.results, result)
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return result
}

func (w *claimWriter) run() {
	for {
		select {
		case <-w.stop:
			w.flush()
			return
		case <-w.wake:
			w.flush()
		}
	}
}

func (w *claimWriter) flush() {
	w.mu.Lock()
	pending, results := w.pending, w.results
	w.pending, w.results = nil, nil
	w.mu.Unlock()
	if len(pending) == 0 {
		return
	}
	err := w.write(pending)
	for _, result := range results {
		result <- err
	}
}

func (w *claimWriter) write(pending []change) error {
	var records [][]byte
	for i := range pending {
		record, err := json.Marshal(pending[i])
		if err != nil {
			return fmt.Errorf("encode claim: %w", err)
		}
		records = append(records, record)
		w.complete = w.complete || pending[i].Complete
	}
	if err := w.journal.Append(records...); err != nil {
		return fmt.Errorf("keep claims: %w", err)
	}
	if !w.complete || w.journal.Size() < compactThresholdBytes {
		return nil
	}
	return w.compact()
}

// compact replaces the journal by a snapshot of the table. The snapshot may
// already contain changes that are still queued; writing those again is
// harmless.
func (w *claimWriter) compact() error {
	snapshot, err := json.Marshal(w.allClaims())
	if err != nil {
		return fmt.Errorf("encode claims: %w", err)
	}
	if err := w.journal.Compact(snapshot); err != nil {
		return fmt.Errorf("compact claims: %w", err)
	}
	return nil
}

// close writes the pending changes and closes the journal.
func (w *claimWriter) close() {
	if w.journal == nil {
		return
	}
	close(w.stop)
	w.done.Wait()
	_ = w.journal.Close()
}
