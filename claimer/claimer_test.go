package claimer

import (
	"fmt"
	"testing"
	"time"

	"cranberrystack.dev/cranberrystack/connector"
	"cranberrystack.dev/cranberrystack/identifier"
)

func claimOf(key, attempt string, state State) Claim {
	return Claim{ID: ID{Member: "m", Key: identifier.RequestKey(key)}, Attempt: identifier.AttemptID(attempt), State: state}
}

// TestTableTransitions plays steps on one key and checks what is kept.
func TestTableTransitions(t *testing.T) {
	answered := claimOf("k", "one", StateAnswered)
	answered.Answer = &connector.Answer{Body: []byte("answer")}
	now := time.Unix(0, 0)
	tests := []struct {
		name        string
		steps       func(table *Table) Grant
		wantGranted bool
		wantState   State
	}{
		{"free key", func(table *Table) Grant {
			return table.Claim(claimOf("k", "one", StateClaimed), "", now)
		}, true, StateClaimed},
		{"same attempt again", func(table *Table) Grant {
			table.Claim(claimOf("k", "one", StateClaimed), "", now)
			return table.Claim(claimOf("k", "one", StateClaimed), "", now)
		}, true, StateClaimed},
		{"other attempt", func(table *Table) Grant {
			table.Claim(claimOf("k", "one", StateClaimed), "", now)
			return table.Claim(claimOf("k", "two", StateClaimed), "", now)
		}, false, StateClaimed},
		{"replaces the attempt in place", func(table *Table) Grant {
			table.Claim(claimOf("k", "one", StateClaimed), "", now)
			return table.Claim(claimOf("k", "two", StateClaimed), "one", now)
		}, true, StateClaimed},
		{"replaces another attempt", func(table *Table) Grant {
			table.Claim(claimOf("k", "one", StateClaimed), "", now)
			return table.Claim(claimOf("k", "two", StateClaimed), "three", now)
		}, false, StateClaimed},
		{"replaces an answered attempt", func(table *Table) Grant {
			table.Finish(answered, now)
			return table.Claim(claimOf("k", "two", StateClaimed), "one", now)
		}, false, StateAnswered},
		{"unknown never undoes an answer", func(table *Table) Grant {
			table.Finish(answered, now)
			table.Finish(claimOf("k", "one", StateUnknown), now)
			return Grant{}
		}, false, StateAnswered},
		{"release of another attempt", func(table *Table) Grant {
			table.Claim(claimOf("k", "one", StateClaimed), "", now)
			table.Release(answered.ID, "two")
			return Grant{}
		}, false, StateClaimed},
		{"release of an answered one", func(table *Table) Grant {
			table.Finish(answered, now)
			table.Release(answered.ID, "one")
			return Grant{}
		}, false, StateAnswered},
		{"loading a claim over an answer", func(table *Table) Grant {
			table.Finish(answered, now)
			table.Load([]Claim{claimOf("k", "two", StateClaimed)}, now)
			return Grant{}
		}, false, StateAnswered},
	}
	for _, test := range tests {
		table := NewTable(time.Hour, 1<<20)
		grant := test.steps(table)
		kept, _ := table.Get(answered.ID)
		if grant.Granted != test.wantGranted || kept.State != test.wantState {
			t.Errorf("%s: granted %v, kept as %q, want %v and %q", test.name, grant.Granted, kept.State, test.wantGranted, test.wantState)
		}
	}
}

// TestFullTableForgetsNothingThatCounts fills a table: new keys are refused,
// none that may not be forgotten yet is, and old ones make room later.
func TestFullTableForgetsNothingThatCounts(t *testing.T) {
	table := NewTable(time.Hour, 100*entryOverheadBytes)
	now := time.Unix(0, 0)
	full := 0
	for i := range 200 {
		claim := claimOf(fmt.Sprint("k", i), "one", StateClaimed)
		if table.Claim(claim, "", now).Full {
			full++
			continue
		}
		claim.State = StateAnswered
		claim.Answer = &connector.Answer{}
		table.Finish(claim, now)
	}
	kept := table.Usage().Claims
	if full == 0 || kept+full != 200 {
		t.Fatalf("%d refused, %d kept of 200", full, kept)
	}
	if !table.Claim(claimOf("late", "one", StateClaimed), "", now.Add(2*time.Hour)).Granted {
		t.Error("old answers make no room")
	}
}
