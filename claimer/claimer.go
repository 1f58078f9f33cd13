// Package claimer makes a keyed request run at most once. Before such a
// request leaves for an upstream, its key is claimed on a majority of the
// claim group: the entry instances of the key's data centre. The answer is
// kept under the key and given again.
//
// Table is the deciding part of one instance; Claimer runs it with the group.
package claimer

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
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

// ErrTableFull reports a table that holds too many claims that may not be
// forgotten yet.
var ErrTableFull = eris.New("claim table is full")

// State is how far a claimed request has come.
type State string

// The states. A claim only goes from claimed to one of the others.
const (
	StateClaimed  State = "claimed"
	StateAnswered State = "answered"
	// StateUnknown marks a request that may have run and whose answer is
	// lost.
	StateUnknown State = "unknown"
	// StateTombstone marks a key whose request has run or may have, and of which
	// nothing else is kept any more.
	StateTombstone State = "spent"
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
	Target connector.Target    `json:"target"`
	State  State               `json:"state"`
	Answer *connector.Response `json:"answer,omitempty"`
	// IDHash stands for the id of a spent claim, and TombstonedAt is when it was
	// reduced, in seconds of Unix time.
	IDHash       idHash `json:"mark,omitzero"`
	TombstonedAt int64  `json:"spent-at,omitempty"`
}

// ClaimResult is a table's answer to a wish to claim.
type ClaimResult struct {
	Granted bool `json:"granted"`
	// Existing is the claim in the way, if not granted.
	Existing *Claim `json:"existing,omitempty"`
	// TableFull is set if the table has no room.
	TableFull bool `json:"full,omitempty"`
}

type entry struct {
	claim     Claim
	updatedAt time.Time
}

// Table holds the claims of one instance. When it is full, the claims that
// ended first are reduced to marks, so that their keys still never run again.
// It is not safe for concurrent use.
type Table struct {
	retention time.Duration
	maxBytes  int64
	entries   map[ID]*entry
	bytes     int64
	// ended lists the ids of ended claims, the oldest first. Some may be gone
	// or stand twice.
	ended []ID
	// tombstones holds when claims were reduced, in seconds of Unix time, by mark.
	tombstones map[idHash]int64
	lastSweep  time.Time
}

// idHash stands for an id.
type idHash [16]byte

func hashID(id ID) idHash {
	sum := sha256.Sum256([]byte(string(id.Member) + "\x00" + string(id.Key)))
	return idHash(sum[:16])
}

// MarshalText writes the mark as hexadecimal digits.
func (m idHash) MarshalText() ([]byte, error) {
	return hex.AppendEncode(nil, m[:]), nil
}

// UnmarshalText reads hexadecimal digits.
func (m *idHash) UnmarshalText(text []byte) error {
	if len(text) != 2*len(m) {
		return fmt.Errorf("mark of %d digits: %w", len(text), errInvalidIDHash)
	}
	if _, err := hex.Decode(m[:], text); err != nil {
		return fmt.Errorf("mark %q: %w", text, errInvalidIDHash)
	}
	return nil
}

var errInvalidIDHash = eris.New("not a mark")

const (
	entryOverheadBytes = 512
	tombstoneBytes     = 48
)

// NewTable returns an empty table that keeps each claim for the given time
// and holds at most so many bytes.
func NewTable(retention time.Duration, maxBytes int64) *Table {
	return &Table{retention: retention, maxBytes: maxBytes, entries: map[ID]*entry{}, tombstones: map[idHash]int64{}}
}

func claimSize(claim *Claim) int64 {
	bytes := int64(entryOverheadBytes + len(claim.ID.Key))
	if claim.Answer != nil {
		bytes += int64(len(claim.Answer.Body))
	}
	return bytes
}

// Get returns the claim of an id.
func (t *Table) Get(id ID) (Claim, bool) {
	if e, known := t.entries[id]; known {
		return e.claim, true
	}
	hash := hashID(id)
	if at, known := t.tombstones[hash]; known {
		return Claim{ID: id, State: StateTombstone, IDHash: hash, TombstonedAt: at}, true
	}
	return Claim{}, false
}

// Claim grants a claim if the id is free, or if it is held by the attempt to
// be replaced and nothing is known of that attempt's outcome.
func (t *Table) Claim(wanted Claim, replaces identifier.AttemptID, now time.Time) ClaimResult {
	existing, known := t.Get(wanted.ID)
	if !known {
		return t.add(wanted, now)
	}
	if existing.State == StateClaimed && (existing.Attempt == wanted.Attempt || replaces != "" && existing.Attempt == replaces) {
		t.put(wanted, now)
		return ClaimResult{Granted: true}
	}
	return ClaimResult{Existing: &existing}
}

func (t *Table) add(wanted Claim, now time.Time) ClaimResult {
	t.sweep(now)
	if !t.makeRoom(claimSize(&wanted), now) {
		return ClaimResult{TableFull: true}
	}
	t.put(wanted, now)
	return ClaimResult{Granted: true}
}

// makeRoom reduces ended claims to marks until so many bytes are free.
func (t *Table) makeRoom(needed int64, now time.Time) bool {
	for t.Usage().Bytes+needed > t.maxBytes {
		if !t.tombstoneOldest(now) {
			return false
		}
	}
	return true
}

// tombstoneOldest reduces the claim that ended first, or reports that there is
// none.
func (t *Table) tombstoneOldest(now time.Time) bool {
	for len(t.ended) > 0 {
		id := t.ended[0]
		t.ended = t.ended[1:]
		e, known := t.entries[id]
		if !known || e.claim.State == StateClaimed {
			continue
		}
		t.remove(id)
		t.tombstones[hashID(id)] = now.Unix()
		return true
	}
	return false
}

func (t *Table) remove(id ID) {
	t.bytes -= claimSize(&t.entries[id].claim)
	delete(t.entries, id)
}

func (t *Table) put(claim Claim, now time.Time) {
	if _, known := t.entries[claim.ID]; known {
		t.remove(claim.ID)
	}
	t.entries[claim.ID] = &entry{claim: claim, updatedAt: now}
	t.bytes += claimSize(&claim)
	if claim.State != StateClaimed {
		t.ended = append(t.ended, claim.ID)
	}
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
	t.makeRoom(0, now)
}

// Release forgets a claim whose attempt has not run and never will.
func (t *Table) Release(id ID, attempt identifier.AttemptID) {
	e, known := t.entries[id]
	if !known || e.claim.State != StateClaimed || e.claim.Attempt != attempt {
		return
	}
	t.remove(id)
}

// Load takes claims from another instance's table without replacing any that
// says more.
func (t *Table) Load(claims []Claim, now time.Time) {
	for _, claim := range claims {
		if claim.State == StateTombstone {
			t.tombstones[claim.IDHash] = claim.TombstonedAt
			continue
		}
		e, known := t.entries[claim.ID]
		if known && e.claim.State != StateClaimed {
			continue
		}
		t.put(claim, now)
	}
	t.makeRoom(0, now)
}

// All returns every claim, those that were reduced without their ids.
func (t *Table) All() []Claim {
	claims := make([]Claim, 0, len(t.entries)+len(t.tombstones))
	for _, e := range t.entries {
		claims = append(claims, e.claim)
	}
	for hash, at := range t.tombstones {
		claims = append(claims, Claim{State: StateTombstone, IDHash: hash, TombstonedAt: at})
	}
	return claims
}

const sweepInterval = 10 * time.Second

// sweep forgets claims that were kept long enough. One that is still running
// stays.
func (t *Table) sweep(now time.Time) {
	if now.Sub(t.lastSweep) < sweepInterval {
		return
	}
	t.lastSweep = now
	for id, e := range t.entries {
		if e.claim.State != StateClaimed && now.Sub(e.updatedAt) >= t.retention {
			t.remove(id)
		}
	}
	for hash, at := range t.tombstones {
		if now.Sub(time.Unix(at, 0)) >= t.retention {
			delete(t.tombstones, hash)
		}
	}
}

// Usage describes a table's size.
type Usage struct {
	Claims int `json:"claims"`
	// Tombstones counts the claims that were reduced to marks.
	Tombstones int   `json:"spent"`
	Bytes      int64 `json:"bytes"`
}

// Usage returns the table's size.
func (t *Table) Usage() Usage {
	return Usage{Claims: len(t.entries), Tombstones: len(t.tombstones), Bytes: t.bytes + tombstoneBytes*int64(len(t.tombstones))}
}
