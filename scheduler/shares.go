package scheduler

import (
	"cmp"
	"encoding/json"
	"math"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"cranberrystack.dev/cranberrystack/identifier"
	"cranberrystack.dev/cranberrystack/sharer"
)

// The shares of teams contain floating-point numbers. Apply updates them but must
// never read them, since its results must be the same on every instance.

// newSharer returns a sharer of the resources, in the order of Resources.amounts.
func newSharer() *sharer.Sharer {
	return sharer.New([]string{"cpu-milli", "memory-mb", "accelerators"})
}

func (r Resources) amounts() sharer.Amounts { return sharer.Amounts{r.CPU, r.Memory, r.Accelerators} }

func resourcesOf(amounts sharer.Amounts) Resources {
	return Resources{CPU: amounts[0], Memory: amounts[1], Accelerators: amounts[2]}
}

// account returns the account of the job's team in the job's pool.
func (j *Job) account() sharer.Account {
	return sharer.Account{Team: string(j.Team), Pool: string(j.Policy.Pool)}
}

// chargeRuns adds runs of a step to what the job's team holds, or removes them if runs
// is negative.
func (s *State) chargeRuns(job *Job, step *Step, runs int, now UnixMilli) {
	s.shares.Change(job.account(), step.Demand().Times(runs).amounts(), int64(now))
}

// chargeLiveRuns adds or removes, by the sign, all live runs of a job.
func (s *State) chargeLiveRuns(job *Job, sign int, now UnixMilli) {
	for k := range job.Occurrences {
		for i := range job.Occurrences[k].Steps {
			if live := job.Occurrences[k].Steps[i].LiveRuns; live > 0 {
				s.chargeRuns(job, &job.Request.Steps[i], sign*live, now)
			}
		}
	}
}

// setPolicy replaces the policy of a job. What its runs hold counts in the new pool.
func (s *State) setPolicy(job *Job, policy QueuePolicy, now UnixMilli) {
	moved := policy.Pool != job.Policy.Pool && !job.hasNoRuns()
	if moved {
		s.chargeLiveRuns(job, -1, now)
	}
	job.Policy = policy
	if moved {
		s.chargeLiveRuns(job, 1, now)
	}
}

// retainShares forgets the recent use of teams that are not in the catalog and hold
// nothing. The empty name stands for the callers of open queues.
func (s *State) retainShares() {
	weights := s.catalog.weights()
	s.shares.Retain(func(team string) bool {
		_, known := weights[identifier.TeamID(team)]
		return known || team == ""
	})
}

// restoreShares restores the shares from a snapshot. Without them, or if they can't be
// decoded, the shares start from what the runs hold, as if they had held it for long.
func (s *State) restoreShares(stored json.RawMessage) {
	if len(stored) > 0 && s.shares.UnmarshalJSON(stored) == nil {
		return
	}
	for id := range s.runs {
		if job := s.jobs[id.Task.Job]; job != nil {
			if step, _, _ := job.step(id.Task); step != nil {
				s.shares.Assume(job.account(), step.Demand().amounts())
			}
		}
	}
}

// The range of the weights of teams. It is wide enough for any ratio of sizes and
// keeps weighted shares finite.
const (
	minWeight = 1e-6
	maxWeight = 1e6
)

func (t *Team) weight() float64 {
	if t.Weight == nil || !validWeight(*t.Weight) {
		return 1
	}
	return *t.Weight
}

func validWeight(weight float64) bool { return weight >= minWeight && weight <= maxWeight }

// weights returns the weights of all teams.
func (c *Catalog) weights() map[identifier.TeamID]float64 {
	weights := make(map[identifier.TeamID]float64, len(c.Teams))
	for i := range c.Teams {
		weights[c.Teams[i].Name] = c.Teams[i].weight()
	}
	return weights
}

func (c *Catalog) checkWeights() error {
	for i := range c.Teams {
		if weight := c.Teams[i].Weight; weight != nil && !validWeight(*weight) {
			return eris.Errorf("team %q has the weight %v, not between %v and %v", c.Teams[i].Name, *weight, minWeight, maxWeight)
		}
	}
	return nil
}

// poolCapacities returns the capacity of the workers of each pool that have not left.
func (s *State) poolCapacities() map[PoolName]Resources {
	capacities := map[PoolName]Resources{}
	for _, worker := range s.workers {
		if worker.State != WorkerLeft {
			capacities[worker.Pool] = capacities[worker.Pool].Plus(worker.Capacity)
		}
	}
	return capacities
}

// TeamShare is what a team holds in a pool and how it competes for more, for operators.
type TeamShare struct {
	Team identifier.TeamID `json:"team"`
	// Pool is empty for a team that holds and waits for nothing.
	Pool   PoolName  `json:"pool,omitempty"`
	Weight float64   `json:"weight"`
	Held   Resources `json:"held"`
	// Share is the weighted dominant share, rounded to four digits.
	Share        float64 `json:"share"`
	WaitingTasks int     `json:"waiting-tasks"`
	// OldestWaitMillis is how long, within the leader's term, the oldest of the
	// waiting tasks has been ready to start.
	OldestWaitMillis int64 `json:"oldest-wait-ms"`
}

// TeamShares returns the shares of all teams in the order of teams and pools. What is
// waiting is only known to the leader's planner, which is nil elsewhere.
func (s *State) TeamShares(p *Planner, now time.Time, wall UnixMilli) []TeamShare {
	rows := map[sharer.Account]*TeamShare{}
	weights, capacities := s.catalog.weights(), s.poolCapacities()
	row := func(account sharer.Account) *TeamShare {
		if rows[account] == nil {
			team, pool := identifier.TeamID(account.Team), PoolName(account.Pool)
			standing := s.shares.Standing(account, capacities[pool].amounts(), weights[team], int64(wall))
			rows[account] = &TeamShare{Team: team, Pool: pool, Weight: cmp.Or(weights[team], 1), Share: math.Round(standing.Share()*1e4) / 1e4}
		}
		return rows[account]
	}
	for _, holding := range s.shares.List(int64(wall)) {
		row(holding.Account).Held = resourcesOf(holding.Held)
	}
	if p != nil {
		p.countWaiting(s, now, row)
	}
	listed := map[identifier.TeamID]bool{}
	for _, share := range rows {
		listed[share.Team] = true
	}
	for team := range weights {
		if !listed[team] {
			row(sharer.Account{Team: string(team)})
		}
	}
	return sortedShares(rows)
}

func sortedShares(rows map[sharer.Account]*TeamShare) []TeamShare {
	shares := make([]TeamShare, 0, len(rows))
	for _, share := range rows {
		shares = append(shares, *share)
	}
	slices.SortFunc(shares, func(a, b TeamShare) int {
		return cmp.Or(cmp.Compare(a.Team, b.Team), cmp.Compare(a.Pool, b.Pool))
	})
	return shares
}

// countWaiting adds the waiting tasks, as of the last plan, to the rows of their teams.
func (p *Planner) countWaiting(s *State, now time.Time, row func(sharer.Account) *TeamShare) {
	for id, since := range p.waitingSince {
		job := s.active[id.Job]
		if job == nil {
			continue
		}
		u := waitingUnit(job, id.Occurrence, id.Step)
		if u == nil {
			continue
		}
		share := row(job.account())
		share.WaitingTasks += len(u.tasks)
		share.OldestWaitMillis = max(share.OldestWaitMillis, now.Sub(since).Milliseconds())
	}
}
