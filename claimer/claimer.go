// Package claimer ensures that a request with an idempotency key runs at most
// once. Before such a request is sent to an upstream, its key is claimed on a
// majority of the claim group, which consists of the entry instances of the
// key's data centre. The response is stored under the key and returned to later
// sends.
//
// Table is the claim table of one instance and does no I/O. Claimer persists it
// and coordinates it with the rest of the group.
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

// ErrNoQuorum reports that no majority of the claim group could be reached, that
// too many of its instances have not yet recovered the claims that were granted
// before they started, or that this instance can't persist its claims.
var ErrNoQuorum = eris.New("claims can't be read or written now")

// ErrKeyReused reports a key that was used for a different request.
var ErrKeyReused = eris.New("key was used for another request")

// ErrHasClaims reports that an instance of the claim group still has its claims,
// so that the group must not be reset.
var ErrHasClaims = eris.New("instance has claims")

// ErrTableFull reports a table without space for a new claim, in which no claim
// can be reduced to a tombstone any more.
var ErrTableFull = eris.New("claim table is full")

// State is the state of a claim.
type State string

// The states of a claim. A claim goes from StateClaimed to one of the others and
// never back.
const (
	StateClaimed  State = "claimed"
	StateAnswered State = "answered"
	// StateUnknown is the state of a request that may have run and whose
	// response is lost.
	StateUnknown State = "unknown"
	// StateTombstone is the state of a key whose request has run or may have
	// run. Only the hash of its id is retained.
	StateTombstone State = "spent"
)

// ID identifies a claim. Equal keys of two members are different claims.
type ID struct {
	Member identifier.MemberID   `json:"member"`
	Key    identifier.RequestKey `json:"key"`
}

// Claim is the record stored under a key.
type Claim struct {
	ID ID `json:"id"`
	// Digest is a hash of the request. It shows whether a later send under the
	// same key is the same request.
	Digest uint64 `json:"digest"`
	// Holder is the entry instance that runs the request.
	Holder identifier.InstanceID `json:"holder"`
	// Attempt is the only attempt that may run at present.
	Attempt identifier.AttemptID `json:"attempt"`
	// Target is the upstream process on which the attempt runs.
	Target connector.Target `json:"target"`
	State  State            `json:"state"`
	// Answer is the stored response; it is set only in StateAnswered.
	Answer *connector.Response `json:"answer,omitempty"`
	// IDHash is the hash of the id, and TombstonedAt is when the claim was
	// reduced to a tombstone, in seconds of Unix time. Both are set only in
	// StateTombstone.
	IDHash       idHash `json:"mark,omitzero"`
	TombstonedAt int64  `json:"spent-at,omitempty"`
}

// ClaimResult is the result of Table.Claim.
type ClaimResult struct {
	Granted bool `json:"granted"`
	// Existing is the conflicting claim, if there is one.
	Existing *Claim `json:"existing,omitempty"`
	// TableFull is set if the table has no space for the claim.
	TableFull bool `json:"full,omitempty"`
}

type entry struct {
	claim     Claim
	updatedAt time.Time
}

// Table holds the claims of one instance. When it is full, the claims that ended
// first are reduced to tombstones, so that their keys still can't be claimed
// again. It is not safe for concurrent use.
type Table struct {
	retention time.Duration
	maxBytes  int64
	entries   map[ID]*entry
	bytes     int64
	// ended lists the ids of ended claims, the oldest first. An id may occur
	// twice, and its claim may have been removed; compactEnded bounds how many.
	ended []ID
	// tombstones holds, by id hash, when a claim was reduced to a tombstone, in
	// seconds of Unix time.
	tombstones map[idHash]int64
	lastPrune  time.Time
}

// idHash is a truncated SHA-256 hash of a claim's id.
type idHash [16]byte

func hashID(id ID) idHash {
	sum := sha256.Sum256([]byte(string(id.Member) + "\x00" + string(id.Key)))
	return idHash(sum[:16])
}

// MarshalText encodes the hash as hexadecimal digits.
func (h idHash) MarshalText() ([]byte, error) {
	return hex.AppendEncode(nil, h[:]), nil
}

// UnmarshalText decodes hexadecimal digits.
func (h *idHash) UnmarshalText(text []byte) error {
	if len(text) != 2*len(h) {
		return fmt.Errorf("mark of %d digits: %w", len(text), errInvalidIDHash)
	}
	if _, err := hex.Decode(h[:], text); err != nil {
		return fmt.Errorf("mark %q: %w", text, errInvalidIDHash)
	}
	return nil
}

var errInvalidIDHash = eris.New("not a mark")

const (
	// entryOverheadBytes is the memory that is counted for a claim, beside its
	// key and the body of its response.
	entryOverheadBytes = 512
	// tombstoneBytes is the memory that is counted for a tombstone.
	tombstoneBytes = 48
)

// NewTable returns an empty table. It retains each claim for the retention time
// after its end and holds at most maxBytes bytes.
func NewTable(retention time.Duration, maxBytes int64) *Table {
	return &Table{retention: retention, maxBytes: maxBytes, entries: map[ID]*entry{}, tombstones: map[idHash]int64{}}
}

// claimSize returns the bytes that are counted for a claim.
func claimSize(claim *Claim) int64 {
	bytes := int64(entryOverheadBytes + len(claim.ID.Key))
	if claim.Answer != nil {
		bytes += int64(len(claim.Answer.Body))
	}
	return bytes
}

// Get returns the claim with an id. A tombstone counts as a claim.
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

// Claim grants a claim if the id is free. It also grants it if the id is in
// StateClaimed and held by the same attempt or by the attempt that is to be
// replaced.
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
	t.prune(now)
	if !t.freeBytes(claimSize(&wanted), now) {
		return ClaimResult{TableFull: true}
	}
	t.put(wanted, now)
	return ClaimResult{Granted: true}
}

// freeBytes reduces ended claims to tombstones until the needed number of bytes
// is free. It returns false if that is not possible.
func (t *Table) freeBytes(needed int64, now time.Time) bool {
	for t.Usage().Bytes+needed > t.maxBytes {
		if !t.tombstoneOldest(now) {
			return false
		}
	}
	return true
}

// tombstoneOldest reduces the claim that ended first to a tombstone. It returns
// false if no claim has ended.
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
		t.compactEnded()
	}
}

// minEndedCapacity is the length of the list of ended claims up to which it is not
// compacted.
const minEndedCapacity = 64

// compactEnded removes repeated ids and those of removed claims once they are half
// of the list.
func (t *Table) compactEnded() {
	if len(t.ended) <= 2*len(t.entries)+minEndedCapacity {
		return
	}
	seen := map[ID]bool{}
	kept := make([]ID, 0, len(t.entries))
	for _, id := range t.ended {
		if e, known := t.entries[id]; known && e.claim.State != StateClaimed && !seen[id] {
			seen[id] = true
			kept = append(kept, id)
		}
	}
	t.ended = kept
}

// Finish records the outcome of a claim. A recorded response is never replaced.
// An attempt that no longer holds the claim can only record a response; any other
// outcome of it is ignored.
func (t *Table) Finish(claim Claim, now time.Time) {
	e, known := t.entries[claim.ID]
	if known && e.claim.State == StateAnswered {
		return
	}
	if known && claim.State != StateAnswered && e.claim.Attempt != claim.Attempt {
		return
	}
	t.put(claim, now)
	t.freeBytes(0, now)
}

// Release removes a claim whose attempt has not run and never will. Nothing
// happens if another attempt holds the claim or the claim has ended.
func (t *Table) Release(id ID, attempt identifier.AttemptID) {
	e, known := t.entries[id]
	if !known || e.claim.State != StateClaimed || e.claim.Attempt != attempt {
		return
	}
	t.remove(id)
}

// Load adds claims that were read from another instance or from disk. A claim
// that has already ended in this table is not replaced.
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
	t.freeBytes(0, now)
}

// All returns every claim. Tombstones are returned without an id.
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

// pruneInterval is the shortest time between two calls of prune that take effect.
const pruneInterval = 10 * time.Second

// prune removes ended claims and tombstones whose retention time has passed.
// Running claims are never removed.
func (t *Table) prune(now time.Time) {
	if now.Sub(t.lastPrune) < pruneInterval {
		return
	}
	t.lastPrune = now
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

// Usage is the size of a table.
type Usage struct {
	Claims int `json:"claims"`
	// Tombstones is the number of claims that were reduced to tombstones.
	Tombstones int   `json:"spent"`
	Bytes      int64 `json:"bytes"`
}

// Usage returns the table's size.
func (t *Table) Usage() Usage {
	return Usage{Claims: len(t.entries), Tombstones: len(t.tombstones), Bytes: t.bytes + tombstoneBytes*int64(len(t.tombstones))}
}
