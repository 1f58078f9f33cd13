package scheduler

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cranberrystack.dev/cranberrystack/identifier"
)

// contestPool is a pool of 8 workers with 64 accelerators in virtual time, in which
// teams compete. Each run ends as done after a time between 0.5 and 1.5 s.
type contestPool struct {
	*testPool
	nextID int
	// pool is that of the queue; there are workers only in pool p.
	pool PoolName
	// offset is added to the time of day, but not to the monotonic time.
	offset UnixMilli
	// ends holds when each live run ends.
	ends   map[RunID]time.Time
	random *rand.Rand
	// submitted holds when each job was submitted, and waits the waits of the tasks of
	// each team until they started.
	submitted map[identifier.JobID]time.Time
	waits     map[identifier.TeamID][]time.Duration
	// twin is given the same batches but forgets the shares before each. It may be nil.
	twin *State
}

// newContestPool returns a pool whose queue asks for sharing if fair is set. teams
// holds the teams' entries in the catalog, after their names.
func newContestPool(t *testing.T, fair bool, teams ...string) *contestPool {
	p := &contestPool{
		testPool: newPool(t, 8), pool: "p", ends: map[RunID]time.Time{}, submitted: map[identifier.JobID]time.Time{},
		waits: map[identifier.TeamID][]time.Duration{}, random: rand.New(rand.NewPCG(7, 1)),
	}
	p.configure(2, fair, teams...)
	return p
}

func (p *contestPool) configure(version int, fair bool, teams ...string) {
	entries := make([]string, len(teams))
	for i, team := range teams {
		name, rest, _ := strings.Cut(team, " ")
		entries[i] = fmt.Sprintf(`{"name":%q,"keys":[%q]%s}`, name, name, rest)
	}
	p.submitBatch(Command{Configure: &Configure{Document: fmt.Appendf(nil, `{"version":%d,"queues":[
{"name":"long","host":"h","path-prefix":"/l/","worker-pool":%q,"priority":2,"max-attempts":2,"stretch":3,"objective-ms":1000,"timeout-ms":1,"fair-share":%t}],
"pools":[{"name":"p","guards-capacity":true},{"name":"q"}],"teams":[%s]}`, version, p.pool, fair, strings.Join(entries, ","))}})
}

func (p *contestPool) submitBatch(command Command) {
	p.t.Helper()
	batch := Batch{Now: p.wall() + p.offset, FencingToken: 1, Commands: []Command{command}}
	result := p.state.ApplyBatch(batch)[0]
	if result.Outcome != OutcomeDone {
		p.t.Fatalf("%+v: %+v", command, result)
	}
	if p.twin != nil {
		p.twin.shares = newSharer()
		if diff := cmp.Diff(result, p.twin.ApplyBatch(batch)[0], cmp.AllowUnexported(Job{})); diff != "" {
			p.t.Fatalf("the result of %+v depends on the shares:\n%s", command, diff)
		}
	}
}

func (p *contestPool) request(team identifier.TeamID, steps ...Step) identifier.JobID {
	p.nextID++
	job := identifier.JobID(fmt.Sprintf("%016x", p.nextID))
	p.submitted[job] = p.now
	p.submitBatch(Command{Submit: &Submit{Job: job, Queue: "long", Team: team, Request: Request{Steps: steps}}})
	return job
}

// step ends the runs that are over, makes a plan, applies it and advances the time.
func (p *contestPool) step() Plan {
	p.t.Helper()
	var over []RunID
	for id, end := range p.ends {
		if !p.now.Before(end) {
			over = append(over, id)
			delete(p.ends, id)
		}
	}
	SortRuns(over)
	for _, id := range over {
		run := p.state.Run(id)
		number := p.state.Worker(run.Worker).Acked + 1
		p.submitBatch(Command{RecordEnds: &RecordEnds{
			Worker: run.Worker, Incarnation: run.Incarnation, Number: number, Ends: []End{{Number: number, Run: id, Kind: EndDone}},
		}})
	}
	p.contactAll()
	plan := p.planner.Plan(p.state, p.observer, p.now, p.wall()+p.offset)
	for i := range plan.Assign {
		p.submitBatch(Command{Assign: &plan.Assign[i]})
		for _, run := range plan.Assign[i].Runs {
			job := run.ID.Task.Job
			p.ends[run.ID] = p.now.Add(time.Duration(500+p.random.IntN(1000)) * time.Millisecond)
			p.waits[p.state.Job(job).Team] = append(p.waits[p.state.Job(job).Team], p.now.Sub(p.submitted[job]))
		}
	}
	p.now = p.now.Add(100 * time.Millisecond)
	return plan
}

// holding returns what each team holds, in accelerators.
func (p *contestPool) holding() map[identifier.TeamID]int64 {
	held := map[identifier.TeamID]int64{}
	for _, share := range p.state.TeamShares(p.planner, p.now, p.wall()+p.offset) {
		held[share.Team] += share.Held.Accelerators
	}
	return held
}

// waitingInOrder returns the units of a random state, in the order of the planner.
func waitingInOrder(t *testing.T, random *rand.Rand, all bool, queues string) ([]*unit, *testPool) {
	p := newPool(t, 4)
	document := strings.ReplaceAll(testCatalog, `"version":1`, `"version":2`)
	for _, queue := range strings.Fields(queues) {
		document = strings.ReplaceAll(document, fmt.Sprintf(`"name":%q,`, queue), fmt.Sprintf(`"name":%q,"fair-share":true,`, queue))
	}
	document = strings.ReplaceAll(document, `"priority":2`, `"priority":1`)
	p.apply(Command{Configure: &Configure{Document: []byte(document)}})
	for id := range 60 {
		team := identifier.TeamID(fmt.Sprint("team-", random.IntN(5)))
		p.submitFor(team, id+1, []QueueName{"urgent", "plan", "long"}[random.IntN(3)], randomStep(random))
		p.now = p.now.Add(time.Duration(random.IntN(60)) * time.Millisecond)
	}
	p.plan()
	p.planner.FairShare = all
	return p.planner.waitingUnits(p.state, nil, p.now, p.wall()), p
}

// Guards against any change of plans where nothing asks for sharing: the order must be
// that by rank, latest start and id, each unit must be placed whole in this order, and
// what the teams have held must not matter.
func TestPlansWithoutSharingAreUnchanged(t *testing.T) {
	for seed := range uint64(20) {
		units, p := waitingInOrder(t, rand.New(rand.NewPCG(seed, 1)), false, "")
		want := slices.Clone(units)
		sort.SliceStable(want, func(i, j int) bool {
			a, b := want[i], want[j]
			if a.rank != b.rank || a.latestStart != b.latestStart {
				return a.rank < b.rank || a.rank == b.rank && a.latestStart < b.latestStart
			}
			return a.id().String() < b.id().String()
		})
		if !slices.Equal(units, want) || !slices.Equal(slices.Collect(inTurns(units)), want) {
			t.Fatalf("seed %d: the order differs from that by rank, latest start and id", seed)
		}
		before := NewPlanner().Plan(p.state, p.observer, p.now, p.wall())
		for _, job := range p.state.active {
			p.state.chargeRuns(job, &job.Request.Steps[0], int(job.ID[15]), p.wall())
		}
		if diff := cmp.Diff(before, NewPlanner().Plan(p.state, p.observer, p.now, p.wall())); diff != "" {
			t.Fatalf("seed %d: shares change the plan:\n%s", seed, diff)
		}
	}
}

// Guards against an order that is not transitive, for which a sort would depend on the
// order of a map, above all between units that take part in the sharing and others.
func TestOrderIsStrictAndTotal(t *testing.T) {
	tests := []struct {
		name   string
		all    bool
		queues string
	}{
		{"no queue", false, ""}, {"one of two queues of equal priority", false, "plan"}, {"two queues", false, "plan long"}, {"all", true, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			units, _ := waitingInOrder(t, rand.New(rand.NewPCG(3, 1)), test.all, test.queues)
			for i, a := range units {
				for j, b := range units {
					if unitPrecedes(a, b) != (i < j) {
						t.Fatalf("%s and %s: order %t, sorted at %d and %d", a.id(), b.id(), unitPrecedes(a, b), i, j)
					}
				}
			}
		})
	}
}

// One team floods the pool with three times what it can run, while another submits a
// task every 300 ms. Guards against a small team whose work becomes overdue behind the
// other's, and against sharing that leaves capacity idle.
func TestSmallTeamIsNotStarved(t *testing.T) {
	const overdue = 12 * time.Second // three times the span of the objective
	tests := []struct {
		name    string
		fair    bool
		starved bool
	}{
		{"without sharing", false, true}, {"with sharing", true, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := newContestPool(t, test.fair, "flood", "small")
			submitted, ran := 0, 0
			for i := range 600 {
				p.request("flood", contestTasks(20))
				if i%3 == 0 && i < 400 {
					p.request("small", contestTasks(1))
					submitted++
				}
				p.step()
				ran += len(p.ends)
			}
			waits := p.waits["small"]
			late := submitted - len(waits)
			for _, wait := range waits {
				if wait > overdue {
					late++
				}
			}
			sum := time.Duration(0)
			for _, wait := range waits {
				sum += wait
			}
			t.Logf("%d of %d tasks started late or not at all, mean wait %v, longest %v", late, submitted, sum/time.Duration(len(waits)), slices.Max(waits))
			if (late > 0) != test.starved {
				t.Errorf("%d of %d tasks started late or not at all, want some: %t", late, submitted, test.starved)
			}
			if used := float64(ran) / 600 / 64; used < 0.98 {
				t.Errorf("%.3f of the pool is used", used)
			}
		})
	}
}

func contestTasks(width int) Step {
	return Step{Width: width, EstimateMillis: 1000, Resources: Resources{CPU: 1000, Memory: 100, Accelerators: 1}}
}

// Two teams flood the pool alike; what is measured is the last 5 s, since all work of
// the first 12 s is served before any is overdue. Guards against sharing that ignores the weights or
// takes what was given last for what is fair over time, that gives a pass as a whole to
// the team with the smallest share, or that a jump of the time of day upsets for good.
func TestFloodsAreServedByWeight(t *testing.T) {
	tests := []struct {
		name    string
		weights [2]string
		jump    UnixMilli
		want    float64 // of the first team
	}{
		{"equal weights", [2]string{"", ""}, 0, 0.5},
		{"three times the weight", [2]string{` ,"weight":3`, ` ,"weight":1`}, 0, 0.75},
		{"the time of day jumps an hour back", [2]string{` ,"weight":3`, ""}, -3_600_000, 0.75},
		{"the time of day jumps an hour ahead", [2]string{` ,"weight":3`, ""}, 3_600_000, 0.75},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := newContestPool(t, true, "a"+test.weights[0], "b"+test.weights[1])
			first, total := int64(0), int64(0)
			for i := range 450 {
				if i == 100 {
					p.offset = test.jump
				}
				for _, team := range []identifier.TeamID{"a", "b"} {
					p.request(team, contestTasks(30))
				}
				p.step()
				if held := p.holding(); i >= 400 {
					first, total = first+held["a"], total+held["a"]+held["b"]
				}
			}
			if part := float64(first) / float64(total); part < test.want-0.05 || part > test.want+0.05 {
				t.Errorf("the first team has held %.3f of what was used, want %.2f", part, test.want)
			}
		})
	}
}

// Guards against a pass that gives all free capacity to the team whose share was
// smaller at its start, against a wide job that does not fit and blocks the work behind
// it, against the same for other kinds of units, and against sharing that reorders
// units of different intervals.
func TestShareOfOnePass(t *testing.T) {
	gang := contestTasks(65)
	gang.Gang = true
	tests := []struct {
		name string
		held int // tasks of team a that run when the pass begins
		a, b []Step
		// later is how much later than those of team a the jobs of team b are submitted.
		later        time.Duration
		wantA, wantB int64
		// all stands for the node's setting, with a queue that does not ask for sharing.
		all bool
	}{
		{"both floods are divided", 0, []Step{contestTasks(500)}, []Step{contestTasks(500)}, 0, 32, 32, false},
		{"what is held counts", 16, []Step{contestTasks(500)}, []Step{contestTasks(500)}, 0, 32, 32, false},
		{"a small request is served whole", 0, []Step{contestTasks(500)}, []Step{contestTasks(5)}, 400 * time.Millisecond, 59, 5, false},
		{"nothing is left idle", 0, []Step{contestTasks(10)}, []Step{contestTasks(500)}, 0, 10, 54, false},
		{"a wide gang does not block", 0, []Step{contestTasks(500)}, []Step{gang}, 0, 64, 0, false},
		{"a wide gang does not block its own team", 0, []Step{contestTasks(500)}, []Step{gang, contestTasks(500)}, 0, 32, 32, false},
		{"no order between intervals", 0, []Step{contestTasks(500)}, []Step{contestTasks(500)}, 2 * sharingInterval.duration(), 64, 0, false},
		{"the setting has no effect", 0, []Step{contestTasks(500)}, []Step{contestTasks(500)}, 0, 32, 32, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := newContestPool(t, !test.all, "a", "b")
			p.planner.FairShare = test.all
			p.now = time.UnixMilli(p.now.UnixMilli() / 1000 * 1000)
			if test.held > 0 {
				p.request("a", contestTasks(test.held))
				p.step()
				p.now = p.now.Add(-100 * time.Millisecond)
			}
			for _, step := range test.a {
				p.request("a", step)
			}
			p.now = p.now.Add(test.later)
			for _, step := range test.b {
				p.request("b", step)
			}
			plan := p.step()
			if held := p.holding(); held["a"] != test.wantA || held["b"] != test.wantB {
				t.Errorf("teams hold %v, want %d and %d", held, test.wantA, test.wantB)
			}
			steps := map[StepID]bool{}
			for i := range plan.Assign {
				id := plan.Assign[i].Runs[0].ID.Task.StepID()
				if steps[id] {
					t.Errorf("step %s has two assignments", id)
				}
				steps[id] = true
			}
		})
	}
}

func (m UnixMilli) duration() time.Duration { return time.Duration(m) * time.Millisecond }

// Guards against a new leader that orders the teams otherwise than the old one would
// have, and against a state that counts otherwise what the runs hold.
func TestNewLeaderHasTheSameShares(t *testing.T) {
	tests := []struct {
		name, shares string // shares replaces the beginning of the shares in the snapshot
		same         bool   // the recent use is known as well
	}{
		{"snapshot", `"team-shares":`, true}, {"snapshot without shares", `"other":`, false},
		{"snapshot with damaged shares", `"team-shares":{"accounts":7},"other":`, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := newContestPool(t, true, "a", "b", "c")
			for i := range 30 {
				p.request([]identifier.TeamID{"a", "b", "a"}[i%3], contestTasks(10+i%7))
				p.step()
			}
			p.request("b", contestTasks(50))
			p.request("c", contestTasks(50))
			snapshot, err := p.state.Snapshot()
			if err != nil {
				t.Fatal(err)
			}
			next := NewState()
			if err := next.Restore([]byte(strings.Replace(string(snapshot), `"team-shares":`, test.shares, 1))); err != nil {
				t.Fatal(err)
			}
			shares, restored := p.state.TeamShares(nil, p.now, p.wall()), next.TeamShares(nil, p.now, p.wall())
			for i := range shares {
				if !test.same {
					shares[i].Share, restored[i].Share = 0, 0
				}
			}
			if diff := cmp.Diff(shares, restored); diff != "" {
				t.Errorf("shares differ:\n%s", diff)
			}
			p.now = p.now.Add(700 * time.Millisecond)
			p.contactAll()
			before, after := NewPlanner().Plan(p.state, p.observer, p.now, p.wall()), NewPlanner().Plan(next, p.observer, p.now, p.wall())
			if diff := cmp.Diff(before, after); test.same && diff != "" {
				t.Errorf("plans differ:\n%s", diff)
			}
		})
	}
}

// Guards against amounts that stay held for ever or are released twice, whatever ends
// the runs: their end, a drop, a restart of the worker, the end of the job, a queue
// that moves to another pool, a job that is pruned before its runs, or a team that has
// left the catalog; and against results of Apply that depend on the shares.
func TestHeldFollowsTheRuns(t *testing.T) {
	for seed := range uint64(30) {
		random := rand.New(rand.NewPCG(seed, 9))
		p := newContestPool(t, true, "a", "b")
		snapshot, err := p.state.Snapshot()
		if p.twin = NewState(); err != nil || p.twin.Restore(snapshot) != nil {
			t.Fatal("the state can't be copied")
		}
		for i := range 60 {
			p.request([]identifier.TeamID{"a", "b", ""}[random.IntN(3)], randomStep(random))
			p.disturb(random, i)
			p.step()
			want := map[identifier.TeamID]int64{"a": 0, "b": 0}
			for id := range p.state.runs {
				if job := p.state.jobs[id.Task.Job]; job != nil {
					want[job.Team] += p.state.StepOf(id.Task).Accelerators
				}
			}
			held := p.holding()
			for team := range want {
				if held[team] != want[team] {
					t.Fatalf("seed %d, step %d: team %q holds %d, its runs %d", seed, i, team, held[team], want[team])
				}
			}
		}
		p.now = p.now.Add(time.Hour) // the jobs are pruned, not the teams that hold something
		p.configure(1000, true, "b")
		for id := range p.state.runs {
			p.submitBatch(Command{Drop: &Drop{Runs: []RunID{id}}})
		}
		p.configure(1001, true, "b")
		for _, share := range p.state.TeamShares(nil, p.now, p.wall()) {
			if share.Team == "a" || share.Held != (Resources{}) {
				t.Fatalf("seed %d: after all runs have ended and team a has left: %+v", seed, share)
			}
		}
	}
}

// disturb makes one of the rarer changes.
func (p *contestPool) disturb(random *rand.Rand, i int) {
	switch random.IntN(6) {
	case 0:
		for id := range p.state.runs {
			p.submitBatch(Command{Drop: &Drop{Runs: []RunID{id}}})
			delete(p.ends, id)
			return
		}
	case 1:
		worker := *p.state.Workers()[random.IntN(8)]
		for id := range p.state.placed[worker.ID] {
			delete(p.ends, id)
		}
		worker.Incarnation++
		p.submitBatch(Command{Register: &worker})
	case 2:
		for id := range p.state.active {
			p.submitBatch(Command{Cancel: &Cancel{Job: id}})
			return
		}
	case 3:
		p.pool = []PoolName{"p", "q"}[random.IntN(2)]
		p.configure(10+i, true, []string{"a", "b"}[random.IntN(2)])
	}
}

// Guards against a team with a smaller share that takes the room for which the runs of
// another were stopped in an emptied data centre.
func TestStoppedRunsKeepTheirRoomFromSmallerShares(t *testing.T) {
	p := newTwoCentrePool(t, 1, 1)
	p.planner.FairShare = true
	job := p.fill(1, "plan", "a", with(tasks(8, 1), checkpointing))
	p.order("a", true)
	plan, moved := p.planStopping()
	p.endStopped(plan)
	p.submitFor("b", 2, "plan", p.state.Job(job).Request.Steps...)
	p.state.Job("0000000000000002").Occurrences[0].Due = p.state.Job(job).Occurrences[0].Due
	p.plan()
	if here := p.runsIn(job, "b"); moved != 8 || here != 8 {
		t.Errorf("%d runs were stopped to be moved and %d placed, want 8 and 8", moved, here)
	}
}
