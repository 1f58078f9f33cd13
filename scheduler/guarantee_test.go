package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"cranberrystack.dev/cranberrystack/identifier"
)

// newTwoTeamPool returns a pool of 8 workers with 64 accelerators. Team a is
// guaranteed 16 of them and team b 8.
func newTwoTeamPool(t *testing.T) *testPool {
	p := newPool(t, 8)
	document := `{"version":2,"queues":[
{"name":"urgent","host":"h","path-prefix":"/u/","worker-pool":"p","priority":0,"max-attempts":2,"stretch":1.5,"objective-ms":300,"timeout-ms":1},
{"name":"long","host":"h","path-prefix":"/l/","worker-pool":"p","priority":2,"max-attempts":2,"stretch":3,"objective-ms":1000,"timeout-ms":1}],
"pools":[{"name":"p","guards-capacity":true}],"teams":[{"name":"a","keys":["k"],"guarantee":{"accelerators":16}},{"name":"b","keys":["l"],"guarantee":{"accelerators":8}}]}`
	if result := p.apply(Command{Configure: &Configure{Document: []byte(document)}}); result[0].Outcome != OutcomeDone {
		t.Fatalf("configure: %+v", result[0])
	}
	return p
}

func (p *testPool) submitFor(team identifier.TeamID, id int, queue QueueName, steps ...Step) identifier.JobID {
	job := identifier.JobID(fmt.Sprintf("%016x", id))
	p.apply(Command{Submit: &Submit{Job: job, Queue: queue, Team: team, Request: Request{Steps: steps}}})
	return job
}

// settle plans several times and ends the stopped runs in between.
func (p *testPool) settle() {
	for range 3 {
		p.endStopped(p.plan())
	}
	p.plan()
}

func (p *testPool) heldAccelerators(job identifier.JobID) int64 {
	held := int64(0)
	for _, run := range p.state.RunsOfJob(job) {
		held += p.state.StepOf(run.ID.Task).Accelerators
	}
	return held
}

func TestGuaranteeIsReclaimedFromOtherTeam(t *testing.T) {
	p := newTwoTeamPool(t)
	borrower := p.submitFor("b", 1, "urgent", tasks(200, 1))
	p.settle()
	if held := p.heldAccelerators(borrower); held != 64 {
		t.Fatalf("team b holds %d of 64 idle accelerators", held)
	}
	gang := tasks(2, 8)
	gang.Gang = true
	reclaimed := p.submitFor("a", 2, "urgent", gang)
	p.settle()
	if held := p.heldAccelerators(reclaimed); held != 16 {
		t.Errorf("team a holds %d of its guaranteed 16", held)
	}
	beyond := p.submitFor("a", 3, "urgent", tasks(4, 1))
	p.settle()
	if held := p.heldAccelerators(beyond); held != 0 {
		t.Errorf("team a preempts %d accelerators of team b beyond its own guarantee", held)
	}
	p.checkPlacements()
}

func gangOf(width int, accelerators int64) Step {
	step := tasks(width, accelerators)
	step.Gang = true
	return step
}

// Guards against a guarantee that is not met because another team's urgent work, far over
// its own guarantee, can't be released in part, and against one that is met by stopping
// what the other team's guarantee covers.
func TestGuaranteeIsReclaimedFromIndivisibleWork(t *testing.T) {
	type job struct {
		step Step
		// stays says that no run of the job may be stopped.
		stays bool
	}
	tests := []struct {
		name    string
		others  []job
		claimed []Step
	}{
		{"gang", []job{{step: gangOf(8, 8)}}, []Step{tasks(1, 8)}},
		{"gang, two tasks claimed", []job{{step: gangOf(8, 8)}}, []Step{tasks(2, 8)}},
		{"gang, gang claimed", []job{{step: gangOf(8, 8)}}, []Step{gangOf(16, 1)}},
		{"gang beside covered tasks", []job{{step: tasks(8, 1), stays: true}, {step: gangOf(7, 8)}}, []Step{tasks(2, 8)}},
		{"covered gang beside tasks", []job{{step: gangOf(1, 8), stays: true}, {step: tasks(56, 1)}}, []Step{tasks(2, 8)}},
		{"large tasks", []job{{step: tasks(1, 5), stays: true}, {step: tasks(7, 5)}}, []Step{tasks(2, 8)}},
		{"two gangs", []job{{step: gangOf(4, 8)}, {step: gangOf(4, 8)}}, []Step{tasks(1, 8), tasks(8, 1)}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := newTwoTeamPool(t)
			staying := map[identifier.JobID]int{}
			for i, other := range test.others {
				id := p.submitFor("b", i+1, "urgent", other.step)
				p.plan()
				if other.stays {
					staying[id] = other.step.Width
				}
				p.now = p.now.Add(time.Second)
			}
			for i, step := range test.claimed {
				id := p.submitFor("a", 100+i, "urgent", step)
				p.settle()
				if held, wanted := p.heldAccelerators(id), int64(step.Width)*step.Accelerators; held != wanted {
					t.Errorf("team a holds %d of %d accelerators that its guarantee covers", held, wanted)
				}
			}
			for id, width := range staying {
				runs := p.state.RunsOfJob(id)
				for _, run := range runs {
					if run.ID.Number > 1 {
						t.Errorf("%s of team b was stopped, though the team's guarantee covers it", run.ID.Task)
					}
				}
				if len(runs) != width {
					t.Errorf("%d of %d covered tasks of team b run", len(runs), width)
				}
			}
			p.checkPlacements()
		})
	}
}

// Guards against a guarantee that is not met because long-running tasks hold all workers:
// those of the same team, and those of a step that states no limit of unavailable tasks.
// A stated limit binds also then.
func TestGuaranteeIsReclaimedFromLongRunningTasks(t *testing.T) {
	tests := []struct {
		name           string
		team           identifier.TeamID
		maxUnavailable int
		claimed        Step
		// held is what team a holds then, and stopped how many long-running tasks do not
		// run.
		held    int64
		stopped int
	}{
		{"same team", "a", 1, tasks(1, 8), 8, 1},
		{"same team, several tasks", "a", 2, tasks(2, 8), 16, 2},
		{"same team, gang", "a", 2, gangOf(2, 8), 16, 2},
		{"same team, more tasks than may be unavailable", "a", 1, tasks(2, 8), 8, 1},
		{"same team, wider gang than may be unavailable", "a", 1, gangOf(2, 8), 0, 0},
		{"other team, several tasks", "b", 2, tasks(2, 8), 16, 2},
		{"other team, no limit stated", "b", 0, tasks(1, 8), 8, 1},
		{"other team, no limit stated, several tasks", "b", 0, tasks(2, 8), 16, 2},
		{"other team, no limit stated, gang", "b", 0, gangOf(16, 1), 16, 2},
		{"same team, no limit stated", "a", 0, tasks(1, 8), 8, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := newTwoTeamPool(t)
			step := tasks(8, 8)
			step.LongRunning, step.MaxUnavailable = true, test.maxUnavailable
			lasting := p.submitFor(test.team, 1, "long", step)
			p.plan()
			p.reportAllAvailable(step.Width)
			p.now = p.now.Add(time.Second)
			claimed := p.submitFor("a", 2, "urgent", test.claimed)
			p.settle()
			if held := p.heldAccelerators(claimed); held != test.held {
				t.Errorf("the urgent job holds %d accelerators, want %d", held, test.held)
			}
			if stopped := step.Width - len(p.state.RunsOfJob(lasting)); stopped != test.stopped {
				t.Errorf("%d of %d long-running tasks do not run, want %d", stopped, step.Width, test.stopped)
			}
		})
	}
}

func TestReclaimKeepsOtherTeamsGuarantee(t *testing.T) {
	p := newTwoTeamPool(t)
	own := p.submitFor("b", 1, "urgent", tasks(8, 1))
	p.settle()
	p.submitFor("a", 2, "urgent", tasks(200, 1))
	p.settle()
	if held := p.heldAccelerators(own); held != 8 {
		t.Errorf("team b holds %d of its guaranteed 8", held)
	}
}

func TestGuaranteedWorkIsPlacedFirst(t *testing.T) {
	p := newTwoTeamPool(t)
	borrower := p.submitFor("b", 1, "urgent", tasks(200, 1))
	p.now = p.now.Add(time.Second)
	guaranteed := p.submitFor("a", 2, "urgent", tasks(16, 1))
	p.plan()
	if held := p.heldAccelerators(guaranteed); held != 16 {
		t.Errorf("team a holds %d of 16 after one pass, team b, which submitted earlier, %d", held, p.heldAccelerators(borrower))
	}
}

// Long-running tasks of team b fill all workers when team a submits urgent work
// that its guarantee covers.
func TestPreemptionStopsNoMoreThanMaxUnavailable(t *testing.T) {
	p := newTwoTeamPool(t)
	step := tasks(64, 1)
	step.LongRunning, step.MaxUnavailable = true, 1
	p.submitFor("b", 1, "long", step)
	p.plan()
	p.reportAllAvailable(step.Width)
	p.now = p.now.Add(time.Second)
	p.submitFor("a", 2, "urgent", tasks(8, 1))
	plan := p.plan()
	if stops := len(plan.Stop); stops == 0 || stops > step.MaxUnavailable {
		t.Errorf("one plan stops %d of %d available tasks, want 1 to %d", stops, step.Width, step.MaxUnavailable)
	}
}

// Two teams submit urgent and other jobs at random. After each round, each team
// must hold what it has requested up to its guarantee: guarantees are reclaimed,
// and no team is preempted below its own.
func TestGuaranteesUnderRandomLoad(t *testing.T) {
	const seeds = 400
	guaranteed := map[identifier.TeamID]int64{"a": 16, "b": 8}
	for seed := range uint64(seeds) {
		random := rand.New(rand.NewPCG(seed, 5))
		p := newTwoTeamPool(t)
		wanted := map[identifier.TeamID]int64{}
		held := func(team identifier.TeamID) int64 {
			total := int64(0)
			for _, job := range p.state.active {
				if job.Team == team && job.Policy.Priority == 0 {
					total += p.heldAccelerators(job.ID)
				}
			}
			return total
		}
		for round := range 12 {
			team := []identifier.TeamID{"a", "b"}[random.IntN(2)]
			width := 1 + random.IntN(20)
			queue := QueueName("long")
			if random.IntN(3) > 0 {
				queue = "urgent"
				wanted[team] += int64(width)
			}
			p.submitFor(team, round+1, queue, tasks(width, 1))
			p.settle()
			for team, guarantee := range guaranteed {
				if has, wants := held(team), min(wanted[team], guarantee); has < wants {
					t.Fatalf("seed %d, round %d: team %s holds %d accelerators, want at least %d", seed, round, team, has, wants)
				}
			}
			p.checkPlacements()
			p.now = p.now.Add(200 * time.Millisecond)
		}
	}
}

// Guards against guaranteed work that waits for its rack as long as other work would, while
// what holds the rack may not be preempted.
func TestGuaranteedWorkWaitsShortlyForItsRack(t *testing.T) {
	sameRack := func(s *Step) { s.SameRack = true }
	nearData := func(s *Step) { s.DataRack = "r1-0" }
	for _, claimed := range []Step{with(tasks(2, 8), nearData), with(gangOf(2, 8), nearData), with(gangOf(2, 8), sameRack)} {
		p := newTwoTeamPool(t)
		for i := range 2 {
			p.submitFor("b", 1+i, "long", with(tasks(4, 8), func(s *Step) {
				s.LongRunning, s.MaxUnavailable, s.DataRack = true, 1, fmt.Sprintf("r1-%d", i)
			}))
		}
		p.plan()
		p.reportAllAvailable(8)
		claimed.EstimateMillis = 60_000
		id := p.submitFor("a", 3, "urgent", claimed)
		for range 15 {
			p.endStopped(p.plan())
			p.now = p.now.Add(100 * time.Millisecond)
		}
		if held := p.heldAccelerators(id); held != 16 {
			t.Errorf("the job holds %d of 16 accelerators after 1.5 s, near %q, same rack: %t", held, claimed.DataRack, claimed.SameRack)
		}
	}
}

// Guards against speculative copies that count as work of their own: the guarantee of
// their team must still cover the rest of what the team wants, and not the copies.
func TestCopiesUseNoGuarantee(t *testing.T) {
	p := newTwoTeamPool(t)
	for i := 3; i < 8; i++ {
		p.observer.Cordoned[identifier.WorkerID(fmt.Sprintf("w%02d", i))] = true
	}
	copied := p.submitFor("b", 1, "urgent", copyStep(4))
	p.plan()
	run := *p.state.RunsOfJob(copied)[0]
	run.ID.Number++
	if result := p.apply(Command{Assign: &Assign{Runs: []Run{run}}}); result[0].Outcome != OutcomeDone {
		t.Fatalf("copy: %+v", result[0])
	}
	p.now = p.now.Add(time.Second)
	gang := p.submitFor("b", 2, "urgent", gangOf(4, 1))
	p.plan()
	borrowed := p.submitFor("b", 3, "urgent", tasks(15, 1))
	p.plan()
	claimed := p.submitFor("a", 4, "urgent", tasks(16, 1))
	p.settle()
	if held := p.heldAccelerators(claimed); held != 16 {
		t.Errorf("team a holds %d of 16 accelerators", held)
	}
	if held := p.heldAccelerators(gang); held != 4 || p.state.Job(gang).Occurrences[0].Steps[0].RunNumber != 1 {
		t.Errorf("the gang that the guarantee of team b covers was stopped")
	}
	if held := p.heldAccelerators(copied) + p.heldAccelerators(borrowed); held != 4 {
		t.Errorf("the other jobs of team b hold %d accelerators, want the 4 that its guarantee covers beside the gang", held)
	}
}

// Two teams submit urgent gangs and tasks, often beyond their guarantees, and
// long-running tasks with and without a limit; jobs are cancelled in between. A team whose
// urgent jobs need no more than its guarantee must hold all of that, and none of its urgent
// runs may be stopped; a limit of unavailable tasks must be kept.
func TestGuaranteesUnderRandomGangsAndLongRunningTasks(t *testing.T) {
	const seeds = 300
	guaranteed := map[identifier.TeamID]int64{"a": 16, "b": 8}
	for seed := range uint64(seeds) {
		random := rand.New(rand.NewPCG(seed, 11))
		p := newTwoTeamPool(t)
		wanted := map[identifier.TeamID]int64{}
		limited := tasks(1+random.IntN(20), 1)
		limited.LongRunning, limited.MaxUnavailable = true, 1+random.IntN(3)
		p.submitFor("a", 999, "long", limited)
		var urgent []identifier.JobID
		for round := range 12 {
			team := []identifier.TeamID{"a", "b"}[random.IntN(2)]
			step := tasks(1+random.IntN(30), 1)
			step.Gang = random.IntN(2) == 0
			queue := QueueName("urgent")
			switch random.IntN(4) {
			case 0:
				queue, step.LongRunning, step.Gang = "long", true, false
			case 1:
				step.Width = 1 + random.IntN(4)
			}
			id := p.submitFor(team, round+1, queue, step)
			if queue == "urgent" {
				wanted[team] += int64(step.Width)
				urgent = append(urgent, id)
			}
			if len(urgent) > 0 && random.IntN(3) == 0 {
				i := random.IntN(len(urgent))
				job := p.state.Job(urgent[i])
				wanted[job.Team] -= int64(job.Request.Steps[0].Width)
				p.apply(Command{Cancel: &Cancel{Job: job.ID}})
				urgent = append(urgent[:i], urgent[i+1:]...)
			}
			for range 4 {
				p.checkGuaranteedStops(seed, round, limited.MaxUnavailable, wanted, guaranteed)
			}
			held := map[identifier.TeamID]int64{}
			for _, id := range urgent {
				held[p.state.Job(id).Team] += p.heldAccelerators(id)
			}
			for team, guarantee := range guaranteed {
				if wanted[team] <= guarantee && held[team] != wanted[team] {
					t.Fatalf("seed %d, round %d: team %s holds %d accelerators, want %d", seed, round, team, held[team], wanted[team])
				}
			}
			p.checkPlacements()
			// A search in vain may have been before a job was cancelled.
			p.now = p.now.Add(searchPause)
		}
	}
}

// checkGuaranteedStops plans once and ends the stopped runs.
func (p *testPool) checkGuaranteedStops(seed uint64, round, limit int, wanted, guaranteed map[identifier.TeamID]int64) {
	p.t.Helper()
	for id := range p.state.runs {
		if p.state.StepOf(id.Task).LongRunning {
			p.reportProgress(id, 100, 0)
		}
	}
	plan := p.plan()
	unavailable := 0
	for _, stop := range plan.Stop {
		job := p.state.Job(stop.Run.Task.Job)
		if job.Active() && job.Policy.Priority == 0 && wanted[job.Team] <= guaranteed[job.Team] {
			p.t.Fatalf("seed %d, round %d: %s of team %s is stopped, which its guarantee covers: %s", seed, round, stop.Run, job.Team, stop.Reason)
		}
		if job.Request.Steps[0].MaxUnavailable > 0 {
			unavailable++
		}
	}
	if unavailable > limit {
		p.t.Fatalf("seed %d, round %d: %d tasks are stopped at once, want at most %d", seed, round, unavailable, limit)
	}
	p.endStopped(plan)
}
