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
