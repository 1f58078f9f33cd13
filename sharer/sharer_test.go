package sharer

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

const start = 1_700_000_000_000

var (
	testNames    = []string{"cores", "memory", "accelerators"}
	testCapacity = Amounts{1000, 1000, 100}
)

func account(team string) Account { return Account{Team: team, Pool: "p"} }

func (s *Sharer) shareOf(team string, weight float64, now int64) float64 {
	standing := s.Standing(account(team), testCapacity, weight, now)
	return standing.Share()
}

// change is a change of what team a holds, after a step of the time of day that may
// be negative.
type change struct {
	after int64
	by    Amounts
}

func TestShareFollowsWhatIsHeld(t *testing.T) {
	const halfLife = int64(DefaultHalfLife / time.Millisecond)
	tests := []struct {
		name    string // the failure that is guarded against
		changes []change
		after   int64
		weight  float64
		want    float64
	}{
		{"a share without any use", nil, 0, 1, 0},
		{"what was just taken counts in full or not at all", []change{{0, Amounts{500}}}, 0, 1, 0.25},
		{"what is held for long counts less", []change{{0, Amounts{500}}}, 40 * halfLife, 1, 0.5},
		{"a resource other than the dominant one decides", []change{{0, Amounts{100, 200, 60}}}, 40 * halfLife, 1, 0.6},
		{"recent use is forgotten at once", []change{{0, Amounts{800}}, {40 * halfLife, Amounts{-800}}}, halfLife, 1, 0.2},
		{"recent use is never forgotten", []change{{0, Amounts{800}}, {40 * halfLife, Amounts{-800}}}, 40 * halfLife, 1, 0},
		{"the weight is ignored", []change{{0, Amounts{500}}}, 40 * halfLife, 4, 0.125},
		{"an invalid weight makes the share infinite", []change{{0, Amounts{500}}}, 40 * halfLife, 0, 0.5},
		{"weight NaN", []change{{0, Amounts{500}}}, 40 * halfLife, math.NaN(), 0.5},
		{"more releases than takes make the share negative", []change{{0, Amounts{500}}, {1, Amounts{-900}}, {40 * halfLife, Amounts{500}}}, 40 * halfLife, 1, 0.5},
		{"the decay stops for an hour when the time jumps back an hour", []change{{0, Amounts{800}}, {40 * halfLife, Amounts{-800}}, {-3_600_000, Amounts{0}}}, halfLife, 1, 0.2},
		{"a time far ahead overflows", []change{{0, Amounts{800}}, {math.MaxInt64 - start - 10, Amounts{-800}}, {-start, Amounts{1}}}, halfLife, 1, 0.0005 + 0.1995},
		{"absurd amounts overflow", []change{{0, Amounts{math.MaxInt64}}, {0, Amounts{math.MaxInt64}}, {0, Amounts{math.MinInt64}}}, 40 * halfLife, 1, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s, now := New(testNames), int64(start)
			for _, change := range test.changes {
				now += change.after
				s.Change(account("a"), change.by, now)
			}
			if got := s.shareOf("a", test.weight, now+test.after); math.Abs(got-test.want) > 1e-3 {
				t.Errorf("share %v, want %v", got, test.want)
			}
		})
	}
}

// Guards against a decay that depends on how often it is computed, so that instances
// or listings that read more often would disagree.
func TestDecayIsIndependentOfSteps(t *testing.T) {
	rare, often := New(testNames), New(testNames)
	for _, s := range []*Sharer{rare, often} {
		s.Change(account("a"), Amounts{700}, start)
	}
	for now := int64(start); now < start+5000; now += 10 {
		often.Change(account("a"), Amounts{}, now)
		rare.List(now)
	}
	if a, b := rare.shareOf("a", 1, start+5000), often.shareOf("a", 1, start+5000); math.Abs(a-b) > 1e-9 {
		t.Errorf("share %v after one step, %v after 500", a, b)
	}
}

// Guards against an order in which the remains of long past use decide, or in which
// what is given during a pass does not count.
func TestCompare(t *testing.T) {
	s := New(testNames)
	s.Change(account("old"), Amounts{900}, start-600_000)
	s.Change(account("old"), Amounts{-900}, start-600_000)
	s.Change(account("a"), Amounts{10}, start)
	tests := []struct {
		name, a, b string
		given      int // to a
		want       int
	}{
		{"nothing held", "x", "y", 0, 0}, {"remains of long past use", "x", "old", 0, 0}, {"larger last", "a", "x", 0, 1},
		{"given in the pass", "x", "a", 15, 1}, {"taken back in the pass", "a", "x", -10, 0},
	}
	for _, test := range tests {
		a, b := s.Standing(account(test.a), testCapacity, 1, start), s.Standing(account(test.b), testCapacity, 1, start)
		a.Add(Amounts{1}, test.given)
		if got, back := a.Compare(&b), b.Compare(&a); got != test.want || back != -test.want {
			t.Errorf("%s: compare %d and %d, want %d and %d", test.name, got, back, test.want, -test.want)
		}
	}
}

// Guards against unbounded memory, against the eviction of an account with holdings
// while others hold nothing, and against removing holdings of a team that has left.
func TestAccountsAreBounded(t *testing.T) {
	s := New(testNames, MaxAccounts(3))
	s.Change(account("holder"), Amounts{5}, start)
	for _, team := range []string{"old", "new"} {
		s.Change(account(team), Amounts{5}, start)
		s.Change(account(team), Amounts{-5}, start)
	}
	s.Change(account("next"), Amounts{5}, start)
	s.Change(account("unknown"), Amounts{-5}, start)
	if diff := cmp.Diff([]string{"holder", "new", "next"}, s.teams()); diff != "" {
		t.Errorf("accounts after an eviction:\n%s", diff)
	}
	s.Retain(func(team string) bool { return team == "next" })
	if diff := cmp.Diff([]string{"holder", "next"}, s.teams()); diff != "" {
		t.Errorf("accounts after teams have left:\n%s", diff)
	}
	s.Change(account("first"), Amounts{5}, start)
	s.Change(account("second"), Amounts{5}, start)
	if diff := cmp.Diff([]string{"first", "next", "second"}, s.teams()); diff != "" {
		t.Errorf("accounts if all hold something:\n%s", diff)
	}
}

func (s *Sharer) teams() []string {
	var teams []string
	for _, holding := range s.List(start) {
		teams = append(teams, holding.Team)
	}
	return teams
}

// Guards against a snapshot that loses anything, that depends on the order of a map,
// or that exceeds the limit it is restored into.
func TestSnapshotRestoresAccounts(t *testing.T) {
	s, random := New(testNames), rand.New(rand.NewPCG(1, 1))
	for i := range 5000 {
		s.Change(account(fmt.Sprint("team-", random.IntN(300))), Amounts{random.Int64N(50) - 20, 0, random.Int64N(9) - 4}, start+int64(i))
	}
	data, err := json.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	restored, small := New(testNames), New(testNames, MaxAccounts(100))
	for _, into := range []*Sharer{restored, small} {
		if err := json.Unmarshal(data, into); err != nil {
			t.Fatal(err)
		}
	}
	if !restored.Equal(s) {
		t.Error("restored accounts differ")
	}
	if again, err := json.Marshal(restored); err != nil || string(again) != string(data) {
		t.Errorf("the second snapshot differs from the first, error %v", err)
	}
	if count := len(small.List(start)); count != 100 {
		t.Errorf("%d accounts restored, want the limit of 100", count)
	}
}

// Guards against a snapshot of another version or a damaged one that makes later
// calls panic or gives values that can't be encoded.
func TestUnmarshalOfDamagedSnapshot(t *testing.T) {
	tests := []struct {
		name, document string
		bad            bool
	}{
		{"empty", `{}`, false},
		{"unknown resource", `{"accounts":[{"team":"a","pool":"p","held":{"disks":5}}]}`, false},
		{"out of range", `{"elapsed-ms":9223372036854775807,"last":-9223372036854775808,"accounts":[{"team":"a","pool":"p","held":{"cores":-5},"average":{"cores":1e300},"at-ms":9223372036854775807}]}`, false},
		{"twice the same account", `{"accounts":[{"team":"a","pool":"p"},{"team":"a","pool":"p"}]}`, false},
		{"another type", `{"accounts":[{"team":1}]}`, true},
		{"truncated", `{"accounts":[`, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := New(testNames)
			s.Change(account("kept"), Amounts{1}, start)
			before, err := json.Marshal(s)
			if err != nil {
				t.Fatal(err)
			}
			if err := s.UnmarshalJSON([]byte(test.document)); (err != nil) != test.bad {
				t.Fatalf("error %v, want an error: %t", err, test.bad)
			}
			if after, _ := json.Marshal(s); test.bad && string(after) != string(before) {
				t.Error("an error has changed the accounts")
			}
			s.Change(account("a"), Amounts{1}, start)
			if _, err := json.Marshal(s); err != nil {
				t.Errorf("encode: %v", err)
			}
			if share := s.shareOf("a", 1, start); math.IsNaN(share) || share < 0 {
				t.Errorf("share %v", share)
			}
		})
	}
}

// Guards against an update that allocates: it is called for each start and end of a
// run.
func TestChangeDoesNotAllocate(t *testing.T) {
	s, now := New(testNames), int64(start)
	s.Change(account("a"), Amounts{1}, now)
	if allocations := testing.AllocsPerRun(100, func() {
		now += 7
		s.Change(account("a"), Amounts{1, 2, 3}, now)
		standing := s.Standing(account("a"), testCapacity, 2, now)
		standing.Add(Amounts{1}, 1)
	}); allocations > 0 {
		t.Errorf("%v allocations for an update", allocations)
	}
}

func BenchmarkChange(b *testing.B) {
	s, now := New(testNames), int64(start)
	for b.Loop() {
		now++
		s.Change(Account{Team: "a", Pool: "p"}, Amounts{1, 2, 3}, now)
	}
}
