// Package claimer makes a keyed request run at most once. Before such a
// request leaves for an upstream, its key is claimed on a majority of the
// claim group: the entry instances of the key's data centre. The answer is
// kept under the key and given again.
//
// Table is the deciding part of one instance; Claimer runs it with the group.
package claimer

import (
	"time"

	"github.com/rotisserie/eris"

	"cranberrystack.dev/cranberrystack/connector"
	"cranberrystack.dev/cranberrystack/identifier"
)

// ErrNoQuorum reports that too few of the group could be reached, or that
// they do not know yet what was claimed before they started.
var ErrNoQuorum = eris.New("claims can't be read or written now")

// ErrKeyReused reports a key that was used for a different request.
var ErrKeyReused = eris.New("key was used for another request")

// ErrHasClaims reports a claim group that has not lost its claims.
var ErrHasClaims = eris.New("instance has claims")

// ErrFull reports a table that holds too many claims that may not be
// forgotten yet.
var ErrFull = eris.New("claim table is full")

// State is how far a claimed request has come.
type State string

// The states. A claim only goes from claimed to one of the others.
const (
	StateClaimed  State = "claimed"
	StateAnswered State = "answered"
	// StateUnknown marks a request that may have run and whose answer is
	// lost.
	StateUnknown State = "unknown"
)

// ID names a claim: equal keys of two members are two claims.
type ID struct {
	Member identifier.MemberID   `json:"member"`
	Key    identifier.RequestKey `json:"key"`
}

// Claim is what is kept under a key.
type Claim struct {
	ID ID `json:"id"`
	// Digest tells whether a resend is the same request.
	Digest uint64 `json:"digest"`
	// Holder is the entry instance that runs the request.
	Holder identifier.InstanceID `json:"holder"`
	// Attempt is the try that the claim allows; at most one is allowed at a
	// time.
	Attempt identifier.AttemptID `json:"attempt"`
	// Target is where that try runs.
	Target connector.Target  `json:"target"`
	State  State             `json:"state"`
	Answer *connector.Answer `json:"answer,omitempty"`
}

// Grant is a table's answer to a wish to claim.
type Grant struct {
	Granted bool `json:"granted"`
	// Existing is the claim in the way, if not granted.
	Existing *Claim `json:"existing,omitempty"`
	// Full is set if the table has no room.
	Full bool `json:"full,omitempty"`
}

type entry struct {
	claim   Claim
	touched time.Time
}

// Table holds the claims of one instance. It is not safe for concurrent use.
type Table struct {
	keep     time.Duration
	maxBytes int64
	entries  map[ID]*entry
	bytes    int64
	swept    time.Time
}

const entryOverheadBytes = 512

// NewTable returns an empty table that keeps each claim for the given time
// and holds at most so many bytes.
func NewTable(keep time.Duration, maxBytes int64) *Table {
	return &Table{keep: keep, maxBytes: maxBytes, entries: map[ID]*entry{}}
}

func size(claim *Claim) int64 {
	bytes := int64(entryOverheadBytes + len(claim.ID.Key))
	if claim.Answer != nil {
		bytes += int64(len(claim.Answer.Body))
	}
	return bytes
}

// Get returns the claim of an id.
func (t *Table) Get(id ID) (Claim, bool) {
	e, known := t.entries[id]
	if !known {
		return Claim{}, false
	}
	return e.claim, true
}

// Claim grants a claim if the id is free, or if it is held by the attempt to
// be replaced and nothing is known of that attempt's outcome.
func (t *Table) Claim(wanted Claim, replaces identifier.AttemptID, now time.Time) Grant {
	e, known := t.entries[wanted.ID]
	if !known {
		return t.add(wanted, now)
	}
	if e.claim.State == StateClaimed && (e.claim.Attempt == wanted.Attempt || replaces != "" && e.claim.Attempt == replaces) {
		t.put(wanted, now)
		return Grant{Granted: true}
	}
	existing := e.claim
	return Grant{Existing: &existing}
}

func (t *Table) add(wanted Claim, now time.Time) Grant {
	t.sweep(now)
	if t.bytes+size(&wanted) > t.maxBytes {
		return Grant{Full: true}
	}
	t.put(wanted, now)
	return Grant{Granted: true}
}

func (t *Table) put(claim Claim, now time.Time) {
	if e, known := t.entries[claim.ID]; known {
		t.bytes -= size(&e.claim)
	}
	t.entries[claim.ID] = &entry{claim: claim, touched: now}
	t.bytes += size(&claim)
}

// Finish notes the outcome of a claim. An answer is never replaced.
func (t *Table) Finish(claim Claim, now time.Time) {
	e, known := t.entries[claim.ID]
	if known && e.claim.State == StateAnswered {
		return
	}
	if known && claim.State != StateAnswered && e.claim.Attempt != claim.Attempt {
		return
	}
	t.put(claim, now)
}

// Release forgets a claim whose attempt has not run and never will.
func (t *Table) Release(id ID, attempt identifier.AttemptID) {
	e, known := t.entries[id]
	if !known || e.claim.State != StateClaimed || e.claim.Attempt != attempt {
		return
	}
	t.bytes -= size(&e.claim)
	delete(t.entries, id)
}

// Load takes claims from another instance's table without replacing any that
// says more.
func (t *Table) Load(claims []Claim, now time.Time) {
	for _, claim := range claims {
		e, known := t.entries[claim.ID]
		if known && e.claim.State != StateClaimed {
			continue
		}
		t.put(claim, now)
	}
}

// All returns every claim.
func (t *Table) All() []Claim {
	claims := make([]Claim, 0, len(t.entries))
	for _, e := range t.entries {
		claims = append(claims, e.claim)
	}
	return claims
}

const sweepInterval = 10 * time.Second

// sweep forgets claims that were kept long enough. One that is still running
// stays.
func (t *Table) sweep(now time.Time) {
	if now.Sub(t.swept) < sweepInterval {
		return
	}
	t.swept = now
	for id, e := range t.entries {
		if e.claim.State != StateClaimed && now.Sub(e.touched) >= t.keep {
			t.bytes -= size(&e.claim)
			delete(t.entries, id)
		}
	}
}

// Usage describes a table's size.
type Usage struct {
	Claims int   `json:"claims"`
	Bytes  int64 `json:"bytes"`
}

// Usage returns the table's size.
func (t *Table) Usage() Usage {
	return Usage{Claims: len(t.entries), Bytes: t.bytes}
}
