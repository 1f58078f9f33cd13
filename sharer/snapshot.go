package sharer

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// storedSharer is the encoding of a Sharer.
type storedSharer struct {
	Elapsed  int64           `json:"elapsed-ms"`
	Last     int64           `json:"last"`
	Accounts []storedAccount `json:"accounts"`
}

// storedAccount is the encoding of an account. Amounts are by the names of the
// resources, without those that are 0.
type storedAccount struct {
	Account
	Held    map[string]int64   `json:"held,omitempty"`
	Average map[string]float64 `json:"average,omitempty"`
	At      int64              `json:"at-ms"`
	// Used orders the accounts by their last use.
	Used uint64 `json:"used"`
}

// MarshalJSON encodes the accounts, in the order of teams and pools.
func (s *Sharer) MarshalJSON() ([]byte, error) {
	stored := storedSharer{Elapsed: s.elapsed, Last: s.last, Accounts: make([]storedAccount, 0, len(s.accounts))}
	for account, u := range s.accounts {
		entry := storedAccount{Account: account, At: u.at, Used: u.used, Held: map[string]int64{}, Average: map[string]float64{}}
		for i, name := range s.resources {
			if u.held[i] != 0 {
				entry.Held[name] = u.held[i]
			}
			if u.average[i] != 0 {
				entry.Average[name] = u.average[i]
			}
		}
		stored.Accounts = append(stored.Accounts, entry)
	}
	slices.SortFunc(stored.Accounts, func(a, b storedAccount) int { return a.compare(b.Account) })
	return json.Marshal(stored)
}

// UnmarshalJSON replaces the accounts by decoded ones. Resources that the sharer does
// not know are ignored, amounts out of range are limited, and of too many accounts the
// most recently used are kept. On an error, the sharer stays as it was.
func (s *Sharer) UnmarshalJSON(data []byte) error {
	var stored storedSharer
	if err := json.Unmarshal(data, &stored); err != nil {
		return fmt.Errorf("decode shares: %w", err)
	}
	slices.SortStableFunc(stored.Accounts, func(a, b storedAccount) int { return cmp.Compare(a.Used, b.Used) })
	if excess := len(stored.Accounts) - s.maxAccounts; excess > 0 {
		stored.Accounts = stored.Accounts[excess:]
	}
	s.elapsed, s.last, s.uses = min(max(0, stored.Elapsed), maxAmount), stored.Last, 0
	s.accounts = make(map[Account]*usage, len(stored.Accounts))
	for i := range stored.Accounts {
		entry := &stored.Accounts[i]
		s.accounts[entry.Account] = s.decodeUsage(entry)
		s.uses = max(s.uses, entry.Used)
	}
	return nil
}

func (s *Sharer) decodeUsage(entry *storedAccount) *usage {
	u := &usage{at: min(max(0, entry.At), s.elapsed), used: entry.Used}
	for i, name := range s.resources {
		u.held[i] = addClamped(0, entry.Held[name])
		u.average[i] = min(max(0, entry.Average[name]), maxAmount)
	}
	return u
}

// Equal reports whether two sharers hold the same.
func (s *Sharer) Equal(o *Sharer) bool {
	if s == nil || o == nil {
		return s == o
	}
	return s.elapsed == o.elapsed && s.last == o.last && s.uses == o.uses && slices.Equal(s.resources, o.resources) &&
		maps.EqualFunc(s.accounts, o.accounts, func(a, b *usage) bool { return *a == *b })
}
