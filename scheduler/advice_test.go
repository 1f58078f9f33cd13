package scheduler

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"cranberrystack.dev/cranberrystack/identifier"
)

// adviser answers requests for advice one after the other in the time of a test pool.
type adviser struct {
	pool    *testPool
	advice  Advice
	allowed func(worker int) bool
	// named counts the workers named by each request.
	named []int
}

// newAdvisedPool returns a pool with the given advice for all its queues.
func newAdvisedPool(t *testing.T, workers int, advice Advice, allowed func(worker int) bool) (*testPool, *adviser) {
	p := newPool(t, workers)
	times := fmt.Sprintf(`"advice":{"decide-ms":%d,"period-ms":%d,"valid-ms":%d},"timeout-ms":1`, advice.DecideMillis, advice.PeriodMillis, advice.ValidMillis)
	document := strings.ReplaceAll(strings.Replace(testCatalog, `"version":1`, `"version":2`, 1), `"timeout-ms":1`, times)
	if result := p.apply(Command{Configure: &Configure{Document: []byte(document)}}); result[0].Outcome != OutcomeDone {
		t.Fatalf("configure: %+v", result[0])
	}
	return p, &adviser{pool: p, advice: advice, allowed: allowed}
}

// answer answers the next request for one of the steps, and reports whether there was one.
func (a *adviser) answer(steps []StepID, inTurn bool) bool {
	p := a.pool
	request, more := p.state.NextAdviceRequest(p.observer, steps, inTurn, p.now, p.wall())
	if !more {
		return false
	}
	sent, tickets := p.now, map[identifier.WorkerID]string{}
	for i, worker := range p.state.Workers() {
		if slices.Contains(request.Workers, worker.ID) && a.allowed(i) {
			tickets[worker.ID] = "t"
		}
	}
	a.named = append(a.named, len(request.Workers))
	p.now = p.now.Add(time.Duration(a.advice.DecideMillis+a.advice.PeriodMillis*int64(len(request.Workers))) * time.Millisecond)
	p.contactAll()
	p.observer.RecordAdvice(request, AdviceResponse{Tickets: tickets, ValidMillis: a.advice.ValidMillis}, sent, p.now)
	return true
}

// run plans and answers requests until the job's runs are placed or the limit is reached.
func (a *adviser) run(job identifier.JobID, runs int, limit time.Duration) bool {
	p := a.pool
	for end := p.now.Add(limit); p.now.Before(end); p.now = p.now.Add(100 * time.Millisecond) {
		plan := p.plan()
		p.endStopped(plan)
		if len(p.state.RunsOfJob(job)) >= runs {
			return true
		}
		a.answer(plan.Advise, false)
	}
	return false
}

// advise grants a step tickets for some workers.
func (p *testPool) advise(step StepID, valid time.Duration, workers ...identifier.WorkerID) {
	request := AdviceRequest{Step: step, Workers: workers, Valid: valid}
	tickets := map[identifier.WorkerID]string{}
	for _, id := range workers {
		request.incarnations = append(request.incarnations, p.state.Worker(id).Incarnation)
		tickets[id] = "t"
	}
	p.observer.RecordAdvice(request, AdviceResponse{Tickets: tickets}, p.now, p.now)
}

// Guards against advice that never asks about the workers that are allowed, and against
// tickets that are always too old when they arrive.
func TestAdviceFindsAllowedWorkers(t *testing.T) {
	quick := Advice{DecideMillis: 20, PeriodMillis: 2, ValidMillis: 3000}
	only := func(wanted ...int) func(int) bool { return func(i int) bool { return slices.Contains(wanted, i) } }
	all := func(int) bool { return true }
	gang := tasks(4, 8)
	gang.Gang = true
	tests := []struct {
		name    string
		workers int
		advice  Advice
		allowed func(int) bool
		queue   QueueName
		step    Step
		full    bool
		limit   time.Duration
	}{
		{name: "last rack", workers: 36, advice: quick, allowed: func(i int) bool { return i >= 32 }, queue: "plan", step: tasks(1, 2), limit: time.Second},
		{name: "one in the middle", workers: 600, advice: quick, allowed: only(307), queue: "plan", step: tasks(1, 2), limit: 3 * time.Second},
		{name: "one in the middle of a full pool", workers: 600, advice: quick, allowed: only(307), queue: "urgent", step: tasks(1, 2), full: true, limit: 4 * time.Second},
		{name: "gang on scattered workers", workers: 300, advice: quick, allowed: only(3, 90, 180, 270), queue: "plan", step: gang, limit: 3 * time.Second},
		{name: "slow", workers: 36, advice: Advice{DecideMillis: 200, PeriodMillis: 100, ValidMillis: 3000}, allowed: all, queue: "plan", step: tasks(1, 2), limit: 3 * time.Second},
		{name: "slow, gang on scattered workers", workers: 36, advice: Advice{DecideMillis: 200, PeriodMillis: 100, ValidMillis: 3000}, allowed: only(2, 11, 23, 35), queue: "plan", step: gang, limit: 10 * time.Second},
		{name: "decision longer than the validity", workers: 36, advice: Advice{DecideMillis: 4000, PeriodMillis: 100, ValidMillis: 3000}, allowed: all, queue: "plan", step: tasks(1, 2), limit: 10 * time.Second},
		{name: "absurd times", workers: 36, advice: Advice{DecideMillis: -1 << 63, PeriodMillis: 0, ValidMillis: 1<<63 - 1}, allowed: only(35), queue: "plan", step: tasks(1, 2), limit: 10 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p, a := newAdvisedPool(t, test.workers, test.advice, test.allowed)
			a.advice.DecideMillis = max(0, a.advice.DecideMillis)
			if test.full {
				for i := range test.workers {
					id := p.submit(1000+i, "long", tasks(1, 8))
					p.state.Job(id).Policy.NeedsAdvice = false
				}
				p.plan()
			}
			job := p.submit(1, test.queue, test.step)
			if !a.run(job, test.step.Width, test.limit) {
				t.Fatalf("%d of %d runs are placed after %v and requests that named %v workers", len(p.state.RunsOfJob(job)), test.step.Width, test.limit, a.named)
			}
			p.checkPlacements()
			for _, named := range a.named {
				if named > 100 {
					t.Errorf("a request names %d workers, want at most 100", named)
				}
			}
		})
	}
}

// Guards against requests without end for a step that no worker may run, which also keep
// other steps from their turn.
func TestHopelessStepLeavesAdviceToOthers(t *testing.T) {
	p, a := newAdvisedPool(t, 150, Advice{DecideMillis: 100, PeriodMillis: 2, ValidMillis: 3000}, func(int) bool { return false })
	hopeless := p.submit(1, "plan", tasks(1, 2))
	if a.run(hopeless, 1, 20*time.Second) {
		t.Fatal("a task was placed without a ticket")
	}
	total := 0
	for _, named := range a.named {
		total += named
	}
	if total != 150 {
		t.Errorf("%d workers are named in 20 s, want each of the 150 once", total)
	}
	p.now = p.now.Add(denialLifetime)
	p.plan()
	p.submit(2, "plan", tasks(1, 2))
	steps := p.plan().Advise
	if len(steps) != 2 {
		t.Fatalf("advice is wanted for %v, want both steps", steps)
	}
	request, _ := p.state.NextAdviceRequest(p.observer, steps, true, p.now, p.wall())
	if request.Step.Job == hopeless {
		t.Error("the step that was asked about before precedes the other one also when it is not its turn")
	}
}

// Guards against what was learned of an earlier incarnation, which may have been of
// another kind, and against a refused ticket that is used again or hides others.
func TestAdviceOfEarlierIncarnationAndRefusedTicket(t *testing.T) {
	p, a := newAdvisedPool(t, 2, Advice{DecideMillis: 20, PeriodMillis: 2, ValidMillis: 60000}, func(i int) bool { return i == 0 })
	job := p.submit(1, "plan", tasks(1, 2))
	if !a.run(job, 1, time.Second) {
		t.Fatal("the task was not placed")
	}
	run := p.state.RunsOfJob(job)[0]
	p.observer.RecordRefusedTicket(run, p.now)
	p.apply(Command{Drop: &Drop{Runs: []RunID{run.ID}}})
	p.plan()
	if got := len(p.state.RunsOfJob(job)); got != 0 {
		t.Errorf("%d runs are placed with the refused ticket", got)
	}
	p.now = p.now.Add(ticketRetryDelay)
	for _, worker := range p.state.Workers() {
		restarted := *worker
		restarted.Incarnation++
		p.apply(Command{Register: &restarted})
	}
	a.allowed = func(i int) bool { return i == 1 }
	if !a.run(job, 1, time.Second) {
		t.Errorf("no run is placed on the workers that have started again")
	}
}

// Guards against verdicts that take more memory the more steps wait.
func TestVerdictsAreBounded(t *testing.T) {
	p, a := newAdvisedPool(t, 100, Advice{DecideMillis: 1, ValidMillis: 3000}, func(int) bool { return false })
	job := p.submit(1, "plan", tasks(1, 2))
	for range 4 {
		a.answer([]StepID{{Job: job}}, false)
	}
	for i := range 1200 {
		p.observer.advice[StepID{Job: job, Step: 1 + i}] = p.observer.advice[StepID{Job: job}]
	}
	p.advise(StepID{Job: job, Step: 2000}, time.Second, "w00")
	total := 0
	for _, advice := range p.observer.advice {
		total += len(advice.verdicts)
	}
	if total > maxVerdicts || p.observer.advice[StepID{Job: job, Step: 2000}] == nil {
		t.Errorf("%d verdicts are kept, want at most %d, with the newest", total, maxVerdicts)
	}
}
