package scheduler

import (
	"sort"

	"cranberrystack.dev/cranberrystack/identifier"
)

// teamUsage is what the urgent work of each team holds in one pass, against what
// the team is guaranteed. What a guarantee does not name is not counted.
type teamUsage struct {
	guarantees map[identifier.TeamID]Resources
	held       map[identifier.TeamID]Resources
}

// newTeamUsage counts what is held, but for runs that have been ordered to stop.
func newTeamUsage(s *State, o *Observer) *teamUsage {
	l := &teamUsage{guarantees: map[identifier.TeamID]Resources{}, held: map[identifier.TeamID]Resources{}}
	for i := range s.catalog.Teams {
		l.guarantees[s.catalog.Teams[i].Name] = s.catalog.Teams[i].Guarantee
	}
	s.forEachUrgentStep(func(job *Job, step *Step, live int) { l.charge(job, step, live) })
	for _, watch := range o.observations {
		for id := range watch.Stopping {
			if job := s.active[id.Task.Job]; job != nil && s.runs[id] != nil {
				l.charge(job, s.StepOf(id.Task), -1)
			}
		}
	}
	return l
}

// forEachUrgentStep visits each step of the urgent jobs that have not ended, with the
// number of its runs that may be alive.
func (s *State) forEachUrgentStep(visit func(job *Job, step *Step, live int)) {
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

// covers reports whether a team's guarantee covers so much.
func (l *teamUsage) covers(team identifier.TeamID, total Resources) bool {
	guarantee := l.guarantees[team]
	if guarantee == (Resources{}) {
		return false
	}
	return total.Fits(guarantee.withDefaults(total))
}

// keepsGuarantee reports whether a team that gives so much away keepsGuarantee what it is
// guaranteed.
func (l *teamUsage) keepsGuarantee(team identifier.TeamID, given Resources) bool {
	left := l.held[team].Minus(given)
	return l.guarantees[team].Fits(left.elementwiseMax(Resources{}))
}

// rankGuaranteed gives the units that their teams' guarantees cover the first rank, and
// returns all in order again. Of tasks that need not run together, as many as
// are covered become a unit of their own.
func (l *teamUsage) rankGuaranteed(units []*unit) []*unit {
	wanted := map[identifier.TeamID]Resources{}
	marked := make([]*unit, 0, len(units))
	for _, u := range units {
		covered := 0
		if u.job.Policy.Priority == 0 {
			covered = l.coveredTasks(u, wanted[u.job.Team])
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
	sort.SliceStable(marked, func(i, j int) bool { return unitPrecedes(marked[i], marked[j]) })
	return marked
}

// coveredTasks returns how many tasks of a unit the guarantee of its team covers,
// beside what the team holds and wants already.
func (l *teamUsage) coveredTasks(u *unit, wanted Resources) int {
	team := u.job.Team
	used := l.held[team].Plus(wanted)
	if u.step.Gang {
		if l.covers(team, used.Plus(u.step.stopDemand())) {
			return len(u.tasks)
		}
		return 0
	}
	count := 0
	for count < len(u.tasks) && l.covers(team, used.Plus(u.step.Demand().Times(count+1))) {
		count++
	}
	return count
}

// guaranteedRank is that of work that its team's guarantee covers.
const guaranteedRank = -1

// charge notes that so many runs of a team's urgent work take room or, below 0,
// give it.
func (l *teamUsage) charge(job *Job, step *Step, runs int) {
	if job.Policy.Priority != 0 {
		return
	}
	l.held[job.Team] = l.held[job.Team].Plus(step.Demand().Times(runs))
}

// victimSet is what has been chosen so far to make room for a task.
type victimSet struct {
	released map[identifier.TeamID]Resources
	gangs    map[StepID]bool
}

func newVictimSet() *victimSet {
	return &victimSet{released: map[identifier.TeamID]Resources{}, gangs: map[StepID]bool{}}
}

// preemptible reports whether a run may be ended for a unit: what neither claims nor
// lasts, always; for work that a guarantee covers also what other teams hold
// beyond theirs.
func (b *placementPass) preemptible(u *unit, run *Run, c *victimSet) bool {
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
	if step.LongRunning && !b.state.mayStopOne(b.observer, run.ID.Task) {
		return false
	}
	return !urgent || c.gangs[run.ID.Task.StepID()] || b.usage.keepsGuarantee(job.Team, c.released[job.Team].Plus(step.stopDemand()))
}

// add notes that a run is chosen to end.
func (c *victimSet) add(job *Job, step *Step, id StepID) {
	if job.Policy.Priority != 0 || c.gangs[id] {
		return
	}
	c.released[job.Team] = c.released[job.Team].Plus(step.stopDemand())
	c.gangs[id] = step.Gang
}

// stopDemand returns what ends with a run of the step: its gang, or the run alone.
func (s *Step) stopDemand() Resources {
	if s.Gang {
		return s.Demand().Times(s.Width)
	}
	return s.Demand()
}
