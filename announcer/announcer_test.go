package announcer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"cranberrystack.dev/cranberrystack/identifier"
)

func newTestTable(id string, seeds ...Member) *Table {
	config := Config{
		SuspectTimeout: 3 * time.Second, IsolationTimeout: 5 * time.Second, Retransmits: 8,
		Random: rand.New(rand.NewPCG(1, 1)),
	}
	return NewTable(config, Member{ID: identifier.InstanceID(id), Incarnation: 1}, seeds, time.Unix(0, 0))
}

func stateOf(t *testing.T, table *Table, id identifier.InstanceID) State {
	t.Helper()
	member, known := table.Member(id)
	if !known {
		t.Fatalf("%s is unknown", id)
	}
	return member.State
}

func TestSuspectBeforeDead(t *testing.T) {
	table := newTestTable("a", Member{ID: "b", Incarnation: 7})
	now := time.Unix(10, 0)
	table.ProbeFailed("b", now)
	if got := stateOf(t, table, "b"); got != StateSuspect {
		t.Fatalf("after a failed probe: %s, want suspect", got)
	}
	table.NextTarget(now.Add(2 * time.Second))
	if got := stateOf(t, table, "b"); got != StateSuspect {
		t.Errorf("after 2s: %s, want suspect", got)
	}
	table.NextTarget(now.Add(3 * time.Second))
	if got := stateOf(t, table, "b"); got != StateDead {
		t.Errorf("after 3s: %s, want dead", got)
	}
	table.ProbeReceived(Member{ID: "b", Incarnation: 7, State: StateAlive}, now.Add(time.Minute))
	if got := stateOf(t, table, "b"); got != StateAlive {
		t.Errorf("after a probe from it: %s, want alive", got)
	}
}

func TestMergeKeepsNewestState(t *testing.T) {
	tests := []struct {
		name    string
		updates []Member
		want    State
	}{
		{"suspicion", []Member{{Incarnation: 5, State: StateSuspect}}, StateSuspect},
		{"refuted", []Member{{Incarnation: 5, State: StateSuspect}, {Incarnation: 6, State: StateAlive}}, StateAlive},
		{"late update of an earlier incarnation", []Member{{Incarnation: 6, State: StateAlive}, {Incarnation: 5, State: StateDead}}, StateAlive},
		{"alive does not undo dead", []Member{{Incarnation: 5, State: StateDead}, {Incarnation: 5, State: StateAlive}}, StateDead},
		{"left", []Member{{Incarnation: 6, State: StateLeft}, {Incarnation: 5, State: StateAlive}}, StateLeft},
	}
	for _, test := range tests {
		table := newTestTable("a", Member{ID: "b", Incarnation: 5})
		for _, update := range test.updates {
			update.ID = "b"
			table.Merge([]Member{update}, time.Unix(1, 0))
		}
		if got := stateOf(t, table, "b"); got != test.want {
			t.Errorf("%s: %s, want %s", test.name, got, test.want)
		}
	}
}

func TestRefutesSuspicionOfItself(t *testing.T) {
	table := newTestTable("a")
	table.Merge([]Member{{ID: "a", Incarnation: 9, State: StateDead}}, time.Unix(1, 0))
	if got := table.Self(); got.Incarnation != 10 || got.State != StateAlive {
		t.Errorf("got %+v, want incarnation 10 and alive", got)
	}
}

func TestOutboundIsolated(t *testing.T) {
	table := newTestTable("a", Member{ID: "b"})
	at := func(seconds int) time.Time { return time.Unix(int64(seconds), 0) }
	table.ProbeReceived(Member{ID: "b"}, at(8))
	if !table.OutboundIsolated(at(9)) {
		t.Error("probe received at 8s, own probes never answered: not isolated at 9s")
	}
	table.ProbeAnswered(Member{ID: "b"}, at(10))
	if table.OutboundIsolated(at(11)) {
		t.Error("own probe answered at 10s: isolated at 11s")
	}
	if table.OutboundIsolated(at(60)) {
		t.Error("isolated in both directions: OutboundIsolated is true, but an isolated data centre must continue to work")
	}
}

// TestUpdatesAreBounded guards against messages that grow with the number of
// instances, and against updates that are passed on for ever.
func TestUpdatesAreBounded(t *testing.T) {
	table := newTestTable("a")
	for i := range 500 {
		table.Merge([]Member{{ID: identifier.InstanceID(fmt.Sprint("i", i)), Incarnation: 1}}, time.Unix(1, 0))
	}
	messages := 0
	for {
		updates := table.Updates(6)
		if len(updates) == 0 {
			break
		}
		if len(updates) > 6 {
			t.Fatalf("%d updates in a message", len(updates))
		}
		messages++
	}
	if want := 500 * 8 / 6; messages < want || messages > want+2 {
		t.Errorf("%d messages until no update was left, want about %d", messages, want)
	}
}
