package scheduler

import (
	"sort"

	"cranberrystack.dev/cranberrystack/identifier"
)

// ledger is what the urgent work of each team holds in one pass, against what
// the team is guaranteed. What a guarantee does not name is not counted.
type ledger struct {
	guarantees map[identifier.TeamID]Resources
	held       map[identifier.TeamID]Resources
}

// newLedger counts what is held, but for runs that have been ordered to stop.
func newLedger(s *State, o *Observer) *ledger {
	l := &ledger{guarantees: map[identifier.TeamID]Resources{}, held: map[identifier.TeamID]Resources{}}
	for i := range s.catalog.Teams {
		l.guarantees[s.catalog.Teams[i].Name] = s.catalog.Teams[i].Guarantee
	}
	s.eachUrgent(func(job *Job, step *Step, live int) { l.book(job, step, live) })
	for _, watch := range o.watches {
		for id := range watch.Stopping {
			if job := s.active[id.Task.Job]; job != nil && s.runs[id] != nil {
				l.book(job, s.StepOf(id.Task), -1)
			}
		}
	}
	return l
}

// eachUrgent visits each step of the urgent jobs that have not ended, with the
// number of its runs that may be alive.
func (s *State) eachUrgent(visit func(job *Job, step *Step, live int)) {
	for _, job := range s.active {
		if job.Policy.Priority != 0 {
			continue
		}
		for k := range job.Occurrences {
			for i := range job.Occurrences[k].Steps {
				visit(job, &job.Request.Steps[i], job.Occurrences[k].Steps[i].LiveRuns)
			}
		}
	}
}

// within reports whether a team's guarantee covers so much.
func (l *ledger) within(team identifier.TeamID, total Resources) bool {
	guarantee := l.guarantees[team]
	if guarantee == (Resources{}) {
		return false
	}
	return total.Fits(guarantee.unnamedAs(total))
}

// keeps reports whether a team that gives so much away keeps what it is
// guaranteed.
func (l *ledger) keeps(team identifier.TeamID, given Resources) bool {
	left := l.held[team].Minus(given)
	return l.guarantees[team].Fits(left.atLeast(Resources{}))
}

// mark gives the units that their teams' guarantees cover the first rank, and
// returns all in order again. Of tasks that need not run together, as many as
// are covered become a unit of their own.
func (l *ledger) mark(units []*unit) []*unit {
	wanted := map[identifier.TeamID]Resources{}
	marked := make([]*unit, 0, len(units))
	for _, u := range units {
		covered := 0
		if u.job.Policy.Priority == 0 {
			covered = l.covered(u, wanted[u.job.Team])
		}
		if covered > 0 {
			part := *u
			part.guaranteed, part.rank, part.tasks = true, guaranteedRank, u.tasks[:covered]
			marked = append(marked, &part)
			wanted[u.job.Team] = wanted[u.job.Team].Plus(u.step.Demand().Times(covered))
		}
		if covered < len(u.tasks) {
			u.tasks = u.tasks[covered:]
			marked = append(marked, u)
		}
	}
	sort.SliceStable(marked, func(i, j int) bool { return before(marked[i], marked[j]) })
	return marked
}

// covered returns how many tasks of a unit the guarantee of its team covers,
// beside what the team holds and wants already.
func (l *ledger) covered(u *unit, wanted Resources) int {
	team := u.job.Team
	used := l.held[team].Plus(wanted)
	if u.step.Gang {
		if l.within(team, used.Plus(u.step.whole())) {
			return len(u.tasks)
		}
		return 0
	}
	count := 0
	for count < len(u.tasks) && l.within(team, used.Plus(u.step.Demand().Times(count+1))) {
		count++
	}
	return count
}

// guaranteedRank is that of work that its team's guarantee covers.
const guaranteedRank = -1

// book notes that so many runs of a team's urgent work take room or, below 0,
// give it.
func (l *ledger) book(job *Job, step *Step, runs int) {
	if job.Policy.Priority != 0 {
		return
	}
	l.held[job.Team] = l.held[job.Team].Plus(step.Demand().Times(runs))
}

// claim is what has been chosen so far to make room for a task.
type claim struct {
	given map[identifier.TeamID]Resources
	gangs map[StepID]bool
}

func newClaim() *claim {
	return &claim{given: map[identifier.TeamID]Resources{}, gangs: map[StepID]bool{}}
}

// yields reports whether a run may be ended for a unit: what neither claims nor
// lasts, always; for work that a guarantee covers also what other teams hold
// beyond theirs.
func (b *board) yields(u *unit, run *Run, c *claim) bool {
	job := b.state.jobs[run.ID.Task.Job]
	if job == nil {
		return false
	}
	step, _, _ := job.step(run.ID.Task)
	urgent := job.Policy.Priority == 0
	if !urgent && !step.LongRunning {
		return true
	}
	if !u.guaranteed || job.Team == u.job.Team {
		return false
	}
	if step.LongRunning && !b.state.mayMiss(b.observer, run.ID.Task) {
		return false
	}
	return !urgent || c.gangs[run.ID.Task.StepID()] || b.ledger.keeps(job.Team, c.given[job.Team].Plus(step.whole()))
}

// give notes that a run is chosen to end.
func (c *claim) give(job *Job, step *Step, id StepID) {
	if job.Policy.Priority != 0 || c.gangs[id] {
		return
	}
	c.given[job.Team] = c.given[job.Team].Plus(step.whole())
	c.gangs[id] = step.Gang
}

// whole returns what ends with a run of the step: its gang, or the run alone.
func (s *Step) whole() Resources {
	if s.Gang {
		return s.Demand().Times(s.Width)
	}
	return s.Demand()
}
