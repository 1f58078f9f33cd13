package configurer

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cranberrystack.dev/cranberrystack/identifier"
	"cranberrystack.dev/cranberrystack/packer"
)

var wholeWorker = packer.Shape{Adjacent: packer.AdjacentWorker, Parts: 1, PerPart: 8}

func listsOf(plans ...string) Lists {
	var lists Lists
	for _, id := range plans {
		lists.Plans = append(lists.Plans, Plan{ID: identifier.PlanID(id), Member: "member"})
		lists.Allowances = append(lists.Allowances, Allowance{
			Plan: identifier.PlanID(id), Accelerator: "gpu", Limit: 64, Adjacent: []packer.Adjacency{packer.AdjacentWorker},
		})
	}
	return lists
}

func apply(t *testing.T, s *State, index uint64, id string, expected identifier.ListVersion, lists Lists) Result {
	t.Helper()
	data, err := json.Marshal(Command{Kind: CommandApply, RequestID: id, Expected: expected, Lists: &lists})
	if err != nil {
		t.Fatal(err)
	}
	return s.Apply(index, data)
}

// TestCompareAndSet guards against two changes of the same version both being
// accepted, and against a resend being executed again, also after a restore.
func TestCompareAndSet(t *testing.T) {
	s := NewState()
	tests := []struct {
		id       string
		expected identifier.ListVersion
		want     Result
	}{
		{"one", 0, Result{Accepted: true, Version: 1, Winner: "one", Index: 1}},
		{"two", 0, Result{Version: 1, Winner: "one", Index: 2, Reason: "expected version 0, in force is 1"}},
		{"one", 0, Result{Accepted: true, Version: 1, Winner: "one", Index: 1}},
		{"three", 1, Result{Accepted: true, Version: 2, Winner: "three", Index: 4}},
		{"two", 0, Result{Version: 1, Winner: "one", Index: 2, Reason: "expected version 0, in force is 1"}},
	}
	for i, test := range tests {
		got := apply(t, s, uint64(i+1), test.id, test.expected, listsOf("p"))
		if diff := cmp.Diff(test.want, got); diff != "" {
			t.Errorf("command %d (-want +got):\n%s", i, diff)
		}
	}
	data, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := NewState()
	if err := restored.Restore(data); err != nil {
		t.Fatal(err)
	}
	if got := apply(t, restored, 9, "one", 0, listsOf("p")); !cmp.Equal(got, tests[0].want) {
		t.Errorf("resend after a restart: got %+v, want the first result", got)
	}
}

// TestViewReplicasConverge guards against replicas that go back to an older view
// or end with other lists than the state, when they get deltas from the state and
// from each other in random order.
func TestViewReplicasConverge(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		s := NewState()
		replicas := []*ViewReplica{NewViewReplica(time.Time{}), NewViewReplica(time.Time{}), NewViewReplica(time.Time{})}
		for index := uint64(1); index <= 40; index++ {
			var plans []string
			for i := range 8 {
				if random.IntN(3) > 0 {
					plans = append(plans, fmt.Sprint("p", i))
				}
			}
			lists := listsOf(plans...)
			for i := range lists.Allowances {
				lists.Allowances[i].Limit = random.IntN(3)
			}
			apply(t, s, index, fmt.Sprint("r", index), identifier.ListVersion(index-1), lists)
			replica := replicas[random.IntN(3)]
			before := replica.Index()
			switch random.IntN(3) {
			case 0:
				replica.Advance(s.Delta(replica.Index()), time.Time{})
			case 1:
				replica.Advance(replicas[random.IntN(3)].Delta(replica.Index()), time.Time{})
			case 2:
				replica.Advance(replicas[random.IntN(3)].Delta(uint64(random.IntN(int(index)))), time.Time{})
			}
			if replica.Index() < before {
				t.Fatalf("seed %d: a replica went back from %d to %d", seed, before, replica.Index())
			}
		}
		want := entriesByPlan(s.View().Lists)
		for i, replica := range replicas {
			replica.Advance(s.Delta(replica.Index()), time.Time{})
			if diff := cmp.Diff(want, entriesByPlan(replica.View().Lists)); diff != "" {
				t.Fatalf("seed %d: replica %d differs (-want +got):\n%s", seed, i, diff)
			}
		}
	}
}

func entriesByPlan(lists Lists) map[identifier.PlanID]string {
	entries := map[identifier.PlanID]string{}
	for _, plan := range lists.Plans {
		entries[plan.ID] = encodeEntry(findEntry(lists, plan.ID))
	}
	return entries
}

func poolOf(dataCenter identifier.DataCenterID, workers int) Pool {
	pool := Pool{DataCenter: dataCenter, Accelerator: "gpu"}
	for i := range workers {
		pool.Slots = append(pool.Slots, packer.Slot{Worker: identifier.WorkerID(fmt.Sprint(dataCenter, i)), Rack: "r", Free: 8, Total: 8})
	}
	return pool
}

func TestDivideGuarantees(t *testing.T) {
	pair := packer.Shape{Adjacent: packer.AdjacentNeighbours, Parts: 2, PerPart: 8}
	tests := []struct {
		name   string
		shape  packer.Shape
		count  int
		shares []Share
		pools  []Pool
		want   []Share
		err    error
	}{
		{"by free capacity", wholeWorker, 3, nil, []Pool{poolOf("a", 2), poolOf("b", 1)}, []Share{{"a", 2}, {"b", 1}}, nil},
		{"as set by the operator", wholeWorker, 1, []Share{{"b", 1}}, []Pool{poolOf("a", 2), poolOf("b", 1)}, []Share{{"b", 1}}, nil},
		{"more shapes than capacity", wholeWorker, 4, nil, []Pool{poolOf("a", 2), poolOf("b", 1)}, nil, ErrImpossible},
		{"enough accelerators but not the shape", pair, 1, nil, []Pool{poolOf("a", 1), poolOf("b", 1)}, nil, ErrImpossible},
		{"no capacity in the data centre set by the operator", wholeWorker, 2, []Share{{"b", 2}}, []Pool{poolOf("a", 2), poolOf("b", 1)}, nil, ErrImpossible},
		{"evenly without any pool", wholeWorker, 3, nil, nil, []Share{{"a", 2}, {"b", 1}}, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			lists := listsOf("p")
			lists.Allowances[0].Guarantees = []Guarantee{{Shape: test.shape, Count: test.count, Shares: test.shares}}
			divided, err := DivideGuarantees(lists, test.pools, []identifier.DataCenterID{"a", "b"})
			if !errors.Is(err, test.err) {
				t.Fatalf("got %v, want %v", err, test.err)
			}
			if err != nil {
				return
			}
			if diff := cmp.Diff(test.want, divided.Allowances[0].Guarantees[0].Shares); diff != "" {
				t.Errorf("shares (-want +got):\n%s", diff)
			}
		})
	}
}

func TestCheckRejectsInvalidLists(t *testing.T) {
	tests := []struct {
		name       string
		invalidate func(*Lists)
	}{
		{"plan without member", func(l *Lists) { l.Plans[0].Member = "" }},
		{"duplicate plan", func(l *Lists) { l.Plans = append(l.Plans, l.Plans[0]) }},
		{"duplicate team", func(l *Lists) { l.Plans[0].Teams = []Team{{ID: "t"}, {ID: "t"}} }},
		{"negative quota", func(l *Lists) { l.Plans[0].Teams = []Team{{ID: "t", Quota: -1}} }},
		{"allowance of an unknown plan", func(l *Lists) { l.Allowances[0].Plan = "none" }},
		{"duplicate allowance", func(l *Lists) { l.Allowances = append(l.Allowances, l.Allowances[0]) }},
		{"unknown adjacency", func(l *Lists) { l.Allowances[0].Adjacent = []packer.Adjacency{"moon"} }},
		{"guarantee over the limit", func(l *Lists) { l.Allowances[0].Guarantees = []Guarantee{{Shape: wholeWorker, Count: 9}} }},
		{"guarantee of 0 shapes", func(l *Lists) { l.Allowances[0].Guarantees = []Guarantee{{Shape: wholeWorker, Count: 0}} }},
		{"guaranteed adjacency not allowed", func(l *Lists) {
			l.Allowances[0].Guarantees = []Guarantee{{Shape: packer.Shape{Adjacent: packer.AdjacentRack, Parts: 1, PerPart: 1}, Count: 1}}
		}},
		{"shares that do not add up", func(l *Lists) {
			l.Allowances[0].Guarantees = []Guarantee{{Shape: wholeWorker, Count: 2, Shares: []Share{{"a", 1}}}}
		}},
		{"gang of 65 parts", func(l *Lists) {
			l.Allowances[0].Limit = 100
			l.Allowances[0].Guarantees = []Guarantee{{Shape: packer.Shape{Adjacent: packer.AdjacentWorker, Parts: 65, PerPart: 1}, Count: 1}}
		}},
	}
	for _, test := range tests {
		lists := listsOf("p", "q")
		test.invalidate(&lists)
		if err := Check(lists); !errors.Is(err, ErrInvalid) {
			t.Errorf("%s: got %v, want ErrInvalid", test.name, err)
		}
	}
	if err := Check(listsOf("p", "q")); err != nil {
		t.Errorf("valid lists: %v", err)
	}
}

func TestDescribeEffects(t *testing.T) {
	before := listsOf("p", "q")
	before.Allowances[0].Guarantees = []Guarantee{{Shape: wholeWorker, Count: 3}}
	before.Allowances[0].RequestShare = 0.5
	tests := []struct {
		name   string
		change func(*Lists)
		want   int
	}{
		{"guarantee raised", func(l *Lists) { l.Allowances[0].Guarantees = []Guarantee{{Shape: wholeWorker, Count: 4}} }, 0},
		{"guarantee lowered", func(l *Lists) { l.Allowances[0].Guarantees = []Guarantee{{Shape: wholeWorker, Count: 1}} }, 1},
		{"guarantee split in two entries", func(l *Lists) {
			l.Allowances[0].Guarantees = []Guarantee{{Shape: wholeWorker, Count: 1}, {Shape: wholeWorker, Count: 2}}
		}, 0},
		{"limit and share lowered", func(l *Lists) { l.Allowances[0].Limit, l.Allowances[0].RequestShare = 32, 0.1 }, 2},
		{"plan removed", func(l *Lists) { l.Plans, l.Allowances = l.Plans[1:], l.Allowances[1:] }, 4},
	}
	for _, test := range tests {
		after := copyLists(before)
		after.Plans = append([]Plan(nil), before.Plans...)
		test.change(&after)
		if got := DescribeEffects(before, after); len(got) != test.want {
			t.Errorf("%s: %q, want %d lines", test.name, got, test.want)
		}
	}
}
