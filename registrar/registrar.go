// Package registrar stores the announcements of upstreams. The records are soft
// state: a record that is not renewed expires. The entry instances of a data centre
// exchange the announcements that they receive.
package registrar

import (
	"fmt"
	"sort"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"cranberrystack.dev/cranberrystack/identifier"
)

// ErrIDInUse reports an announcement of an id that belongs to another subject, or
// that a live upstream of the same or a later incarnation announces from another
// address.
var ErrIDInUse = eris.New("id is announced from another address")

// ErrStaleAnnouncement reports an announcement that is not newer than the current
// one.
var ErrStaleAnnouncement = eris.New("announcement is older than the one in force")

// State is the state that an upstream announces.
type State string

// The states. A draining upstream takes no new work.
const (
	StateReady    State = "ready"
	StateDraining State = "leaving"
)

// Upstream is the announcement of an upstream.
type Upstream struct {
	ID      identifier.UpstreamID `json:"id"`
	Address string                `json:"address"`
	// Subject is the subject of the token that made the announcement. The id
	// belongs to it.
	Subject string `json:"subject"`
	// Member is the only member that the upstream serves, or empty for all members.
	Member identifier.MemberID `json:"member,omitempty"`
	// Slots is the number of requests that the upstream runs at a time, at least 1.
	Slots int   `json:"slots"`
	State State `json:"state"`
	// Incarnation increases with every start of the upstream.
	Incarnation identifier.Incarnation `json:"incarnation"`
	// Sequence increases with every announcement of an incarnation.
	Sequence uint64 `json:"sequence"`
}

// supersedes reports whether the announcement is newer than another of the same id.
func (u *Upstream) supersedes(other *Upstream) bool {
	if u.Incarnation != other.Incarnation {
		return u.Incarnation > other.Incarnation
	}
	return u.Sequence > other.Sequence
}

// Record is an announcement with its age. Ages, unlike times, can be compared
// between instances whose clocks differ.
type Record struct {
	Upstream Upstream      `json:"upstream"`
	Age      time.Duration `json:"age-ns"`
}

type entry struct {
	upstream    Upstream
	announcedAt time.Time
	// unsent is set until TakeUpdates has returned the record.
	unsent bool
}

// Registrar holds the records of one data centre. It is safe for concurrent
// use.
type Registrar struct {
	expiry time.Duration

	mu      sync.Mutex
	entries map[identifier.UpstreamID]*entry
	// version increases with every change that affects routing.
	version uint64
}

// New returns an empty registrar whose records expire after the given time.
func New(expiry time.Duration) *Registrar {
	return &Registrar{expiry: expiry, entries: map[identifier.UpstreamID]*entry{}}
}

// Announce records an announcement that an upstream made to this instance. It
// returns true if the announcement has to be sent to the other instances at once.
// Errors: ErrIDInUse, ErrStaleAnnouncement.
func (r *Registrar) Announce(upstream Upstream, now time.Time) (bool, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	current, known := r.entries[upstream.ID]
	if !known {
		r.put(upstream, now)
		return true, nil
	}
	unexpired := now.Sub(current.announcedAt) < r.expiry
	moved := current.upstream.Address != upstream.Address
	switch {
	case current.upstream.Subject != upstream.Subject:
		return false, fmt.Errorf("%s: %w", upstream.ID, ErrIDInUse)
	case moved && unexpired && upstream.Incarnation <= current.upstream.Incarnation:
		return false, fmt.Errorf("%s: %w", upstream.ID, ErrIDInUse)
	case unexpired && !upstream.supersedes(&current.upstream):
		return false, fmt.Errorf("%s: %w", upstream.ID, ErrStaleAnnouncement)
	}
	urgent := !unexpired || changesRouting(&upstream, &current.upstream)
	r.put(upstream, now)
	return urgent, nil
}

func changesRouting(next, current *Upstream) bool {
	return next.State != current.State || next.Incarnation != current.Incarnation ||
		next.Slots != current.Slots || next.Address != current.Address
}

func (r *Registrar) put(upstream Upstream, now time.Time) {
	current, known := r.entries[upstream.ID]
	if !known || changesRouting(&upstream, &current.upstream) {
		r.version++
	}
	r.entries[upstream.ID] = &entry{upstream: upstream, announcedAt: now, unsent: true}
}

// Merge adds records of another instance. A record never replaces a newer one or one
// of another subject, and an expired record is ignored.
func (r *Registrar) Merge(records []Record, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, record := range records {
		if record.Age >= r.expiry || record.Age < 0 {
			continue
		}
		announcedAt := now.Add(-record.Age)
		current, known := r.entries[record.Upstream.ID]
		if known && !record.Upstream.supersedes(&current.upstream) {
			continue
		}
		if known && current.upstream.Subject != record.Upstream.Subject {
			continue
		}
		r.put(record.Upstream, announcedAt)
		r.entries[record.Upstream.ID].unsent = false
	}
}

// TakeUpdates returns the records announced to this instance since the last call.
func (r *Registrar) TakeUpdates(now time.Time) []Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	var records []Record
	for _, e := range r.entries {
		if !e.unsent {
			continue
		}
		e.unsent = false
		records = append(records, Record{Upstream: e.upstream, Age: max(now.Sub(e.announcedAt), 0)})
	}
	return records
}

// All returns every record that has not expired, sorted by id. An instance requests
// them from another one when it starts.
func (r *Registrar) All(now time.Time) []Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	records := make([]Record, 0, len(r.entries))
	for _, e := range r.entries {
		records = append(records, Record{Upstream: e.upstream, Age: max(now.Sub(e.announcedAt), 0)})
	}
	sort.Slice(records, func(i, j int) bool { return records[i].Upstream.ID < records[j].Upstream.ID })
	return records
}

// Ready returns the upstreams that take new work, sorted by id, and a version that
// changes whenever an upstream is added, expires or changes its state, incarnation,
// slots or address.
func (r *Registrar) Ready(now time.Time) ([]Upstream, uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	var ready []Upstream
	for _, e := range r.entries {
		if e.upstream.State == StateReady {
			ready = append(ready, e.upstream)
		}
	}
	sort.Slice(ready, func(i, j int) bool { return ready[i].ID < ready[j].ID })
	return ready, r.version
}

// Get returns an upstream, which may be draining, or may have expired since the last
// call of Ready or All.
func (r *Registrar) Get(id identifier.UpstreamID) (Upstream, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, known := r.entries[id]
	if !known {
		return Upstream{}, false
	}
	return e.upstream, true
}

func (r *Registrar) expire(now time.Time) {
	for id, e := range r.entries {
		if now.Sub(e.announcedAt) >= r.expiry {
			delete(r.entries, id)
			r.version++
		}
	}
}
