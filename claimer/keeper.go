package claimer

import (
	"encoding/json"
	"fmt"
	"sync"

	"cranberrystack.dev/cranberrystack/journaler"
)

const compactBytes = 16 << 20

// change is one record of the claims on disk.
type change struct {
	// Begun marks a table that is complete from here on.
	Begun bool `json:"begun,omitempty"`
	// Put is a claim as it now stands.
	Put *Claim `json:"put,omitempty"`
	// Drop names a claim that was released.
	Drop *ID `json:"drop,omitempty"`
}

// keeper writes changes of the table to disk, many at a time. Without a folder
// it does nothing.
type keeper struct {
	journal *journaler.Journal
	// all returns every claim, for a snapshot.
	all func() []Claim

	mu      sync.Mutex
	pending []change
	waiting []chan error
	wake    chan struct{}
	stop    chan struct{}
	done    sync.WaitGroup
}

// openKeeper returns the claims on disk, and whether they are complete.
func openKeeper(dir string, all func() []Claim) (*keeper, []Claim, bool, error) {
	k := &keeper{all: all, wake: make(chan struct{}, 1), stop: make(chan struct{})}
	if dir == "" {
		return k, nil, false, nil
	}
	journal, contents, err := journaler.Open(dir)
	if err != nil {
		return nil, nil, false, fmt.Errorf("open claims: %w", err)
	}
	k.journal = journal
	claims, complete, err := replay(contents)
	if err != nil {
		return nil, nil, false, err
	}
	k.done.Go(k.run)
	return k, claims, complete, nil
}

func replay(contents journaler.Contents) ([]Claim, bool, error) {
	byID := map[ID]Claim{}
	var claims []Claim
	if contents.Snapshot != nil {
		var kept []Claim
		if err := json.Unmarshal(contents.Snapshot, &kept); err != nil {
			return nil, false, fmt.Errorf("decode claims: %w", err)
		}
		for _, claim := range kept {
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
		complete = complete || c.Begun
		if c.Put != nil {
			byID[c.Put.ID] = *c.Put
		}
		if c.Drop != nil {
			delete(byID, *c.Drop)
		}
	}
	for _, claim := range byID {
		claims = append(claims, claim)
	}
	return claims, complete, nil
}

// add queues a change in the order of the calls. The returned channel yields
// nil once it is on disk.
func (k *keeper) add(c change) <-chan error {
	result := make(chan error, 1)
	if k.journal == nil {
		result <- nil
		return result
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.pending = append(k.pending, c)
	k.waiting = append(k.waiting, result)
	select {
	case k.wake <- struct{}{}:
	default:
	}
	return result
}

func (k *keeper) run() {
	for {
		select {
		case <-k.stop:
			k.flush()
			return
		case <-k.wake:
			k.flush()
		}
	}
}

func (k *keeper) flush() {
	k.mu.Lock()
	pending, waiting := k.pending, k.waiting
	k.pending, k.waiting = nil, nil
	k.mu.Unlock()
	if len(pending) == 0 {
		return
	}
	err := k.write(pending)
	for _, result := range waiting {
		result <- err
	}
}

func (k *keeper) write(pending []change) error {
	var records [][]byte
	for i := range pending {
		record, err := json.Marshal(pending[i])
		if err != nil {
			return fmt.Errorf("encode claim: %w", err)
		}
		records = append(records, record)
	}
	if err := k.journal.Append(records...); err != nil {
		return fmt.Errorf("keep claims: %w", err)
	}
	if k.journal.Size() < compactBytes {
		return nil
	}
	return k.compact()
}

// compact replaces the records by the table as it is. A claim that is newer
// than a record still queued is written twice, which does no harm.
func (k *keeper) compact() error {
	snapshot, err := json.Marshal(k.all())
	if err != nil {
		return fmt.Errorf("encode claims: %w", err)
	}
	if err := k.journal.Compact(snapshot); err != nil {
		return fmt.Errorf("compact claims: %w", err)
	}
	return nil
}

func (k *keeper) close() {
	if k.journal == nil {
		return
	}
	close(k.stop)
	k.done.Wait()
	_ = k.journal.Close()
}
