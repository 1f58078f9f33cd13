package scheduler

import (
	"sort"

	"cranberrystack.dev/cranberrystack/identifier"
)

// teamUsage tracks, during one placement pass, what the urgent work of each
// team holds and what the team is guaranteed. A resource that a guarantee
// leaves at 0 is held as well, but not compared with the guarantee.
type teamUsage struct {
	guarantees map[identifier.TeamID]Resources
	held       map[identifier.TeamID]Resources
}

// newTeamUsage returns the current usage, without the runs that the observer
// knows to have been ordered to stop.
func newTeamUsage(s *State, o *Observer) *teamUsage {
	t := &teamUsage{guarantees: map[identifier.TeamID]Resources{}, held: map[identifier.TeamID]Resources{}}
	for i := range s.catalog.Teams {
		t.guarantees[s.catalog.Teams[i].Name] = s.catalog.Teams[i].Guarantee
	}
	s.forEachUrgentStep(func(job *Job, step *Step, state *StepState) { t.charge(job, step, state.tasksWithRuns(step)) })
	for _, observation := range o.observations {
		for id := range observation.Stopping {
			if job := s.active[id.Task.Job]; job != nil && s.runs[id] != nil && !s.hasCopy(id.Task) {
				t.charge(job, s.StepOf(id.Task), -1)
			}
		}
	}
	return t
}

// tasksWithRuns returns the number of tasks that have runs which may be alive.
func (t *StepState) tasksWithRuns(step *Step) int {
	if !step.SpeculativeCopies {
		return t.LiveRuns
	}
	count := 0
	for i := range t.Tasks {
		count += min(1, t.Tasks[i].LiveRuns)
	}
	return count
}

// hasCopy reports whether several runs of a task may be alive, of which a guarantee
// counts one.
func (s *State) hasCopy(id TaskID) bool {
	job := s.jobs[id.Job]
	if job == nil {
		return false
	}
	step, _, task := job.step(id)
	return step != nil && step.SpeculativeCopies && task.LiveRuns > 1
}

// forEachUrgentStep calls visit for each step of the active jobs of priority 0.
func (s *State) forEachUrgentStep(visit func(job *Job, step *Step, state *StepState)) {
	for _, job := range s.active {
		if job.Policy.Priority != 0 {
			continue
		}
		for k := range job.Occurrences {
			for i := range job.Occurrences[k].Steps {
				visit(job, &job.Request.Steps[i], &job.Occurrences[k].Steps[i])
			}
		}
	}
}

// covers reports whether a team's guarantee covers a total usage.
func (t *teamUsage) covers(team identifier.TeamID, total Resources) bool {
	guarantee := t.guarantees[team]
	if guarantee == (Resources{}) {
		return false
	}
	return total.Fits(guarantee.withDefaults(total))
}

// rankGuaranteed moves the tasks that their teams' guarantees cover to
// guaranteedRank and returns all units in order. A unit that is not a gang is
// split if only some of its tasks are covered.
func (t *teamUsage) rankGuaranteed(units []*unit) []*unit {
	wanted := map[identifier.TeamID]Resources{}
	ranked := make([]*unit, 0, len(units))
	for _, u := range units {
		covered := 0
		if u.job.Policy.Priority == 0 {
			covered = t.coveredTasks(u, wanted[u.job.Team])
		}
		if covered > 0 {
			part := *u
			part.guaranteed, part.rank, part.tasks = true, guaranteedRank, u.tasks[:covered]
			ranked = append(ranked, &part)
			wanted[u.job.Team] = wanted[u.job.Team].Plus(u.step.Demand().Times(covered))
		}
		if covered < len(u.tasks) {
			u.tasks = u.tasks[covered:]
			ranked = append(ranked, u)
		}
	}
	sort.SliceStable(ranked, func(i, j int) bool { return unitPrecedes(ranked[i], ranked[j]) })
	return ranked
}

// coveredTasks returns how many tasks of a unit its team's guarantee covers,
// on top of what the team holds and of what its earlier units want.
func (t *teamUsage) coveredTasks(u *unit, wanted Resources) int {
	team := u.job.Team
	used := t.held[team].Plus(wanted)
	if u.step.Gang {
		if t.covers(team, used.Plus(u.step.stopDemand())) {
			return len(u.tasks)
		}
		return 0
	}
	count := 0
	for count < len(u.tasks) && t.covers(team, used.Plus(u.step.Demand().Times(count+1))) {
		count++
	}
	return count
}

// guaranteedRank is the rank of units that a guarantee covers.
const guaranteedRank = -1

// charge adds runs of a step to its team's usage, or removes them if runs is
// negative. Only jobs of priority 0 count.
func (t *teamUsage) charge(job *Job, step *Step, runs int) {
	if job.Policy.Priority != 0 {
		return
	}
	t.held[job.Team] = t.held[job.Team].Plus(step.Demand().Times(runs))
}

// victimSet holds the runs chosen so far to free capacity for a task on one candidate.
// Its maps are nil until they are needed.
type victimSet struct {
	chosen []*victim
	// left is what is free on the candidate once these runs have ended, and cost the sum
	// of their costs.
	left Resources
	cost float64
	// released holds the keys of the urgent units that these runs belong to.
	released map[RunID]bool
	// mayReplace says that a covered unit may be among them if other work of its team
	// is covered in its place, and replaced holds the teams of which one is.
	mayReplace bool
	replaced   map[identifier.TeamID]bool
	// longRunning holds the runs of long-running tasks among them.
	longRunning map[*Run]bool
}

// preemptible reports whether a run may be stopped for a unit. Runs that are
// neither urgent nor long-running always may. A unit that a guarantee covers
// may also preempt long-running ones if their step tolerates another unavailable task or
// states no limit, and urgent ones of other teams if their team's guarantee still covers
// as much.
func (p *placementPass) preemptible(u *unit, v *victim, set *victimSet) bool {
	urgent := v.job.Policy.Priority == 0
	if !urgent && !v.step.LongRunning {
		return true
	}
	if !u.guaranteed || urgent && v.job.Team == u.job.Team {
		return false
	}
	limited := v.step.LongRunning && v.step.MaxUnavailable > 0
	if limited && !p.state.mayStop(p.observer, v.run.ID.Task, p.stopped, set.longRunning) {
		return false
	}
	return !urgent || p.preservesGuarantee(v, set)
}

// addVictim adds a run to a set.
func (p *placementPass) addVictim(set *victimSet, v *victim) {
	set.chosen = append(set.chosen, v)
	set.left = set.left.Plus(v.demand)
	set.cost += v.cost
	if v.step.LongRunning {
		if set.longRunning == nil {
			set.longRunning = map[*Run]bool{}
		}
		set.longRunning[v.run] = true
	}
	key := v.step.unitKey(v.run.ID)
	if v.job.Policy.Priority != 0 || set.released[key] {
		return
	}
	if set.released == nil {
		set.released, set.replaced = map[RunID]bool{}, map[identifier.TeamID]bool{}
	}
	set.released[key] = true
	if p.isCovered(v) {
		set.replaced[v.job.Team] = true
	}
}

// stopDemand returns the resources that are freed when a run of the step
// stops: those of its whole gang, or of the run alone.
func (s *Step) stopDemand() Resources {
	if s.Gang {
		return s.Demand().Times(s.Width)
	}
	return s.Demand()
}
