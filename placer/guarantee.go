package placer

import (
	"fmt"
	"sort"

	"cranberrystack.dev/cranberrystack/configurer"
	"cranberrystack.dev/cranberrystack/identifier"
	"cranberrystack.dev/cranberrystack/packer"
)

type planKey struct {
	plan        identifier.PlanID
	accelerator string
}

type teamKey struct {
	plan        identifier.PlanID
	team        identifier.TeamID
	accelerator string
}

// usage counts the accelerators in use by plan and by team, and the guarantees
// in use.
type usage struct {
	plans      map[planKey]int
	teams      map[teamKey]int
	guarantees map[GuaranteeKey]int
}

func newUsage() usage {
	return usage{plans: map[planKey]int{}, teams: map[teamKey]int{}, guarantees: map[GuaranteeKey]int{}}
}

// add counts a job with sign 1 and removes it with sign -1.
func (u usage) add(job *Job, sign int) {
	spec := &job.Spec
	total := sign * spec.Shape.Total()
	u.plans[planKey{spec.Plan, spec.Accelerator}] += total
	u.teams[teamKey{spec.Plan, spec.Team, spec.Accelerator}] += total
	if job.Guaranteed {
		u.guarantees[job.GuaranteeKey] += sign
	}
}

// validate returns an error if a job can never run.
func (e *Engine) validate(spec Spec) error {
	plan, known := e.lists.plan(spec.Plan)
	if !known || plan.Member != spec.Member {
		return fmt.Errorf("plan %q: %w", spec.Plan, ErrNoSuchPlan)
	}
	team, known := findTeam(plan, spec.Team)
	if !known {
		return fmt.Errorf("team %q of plan %q: %w", spec.Team, spec.Plan, ErrNoSuchPlan)
	}
	allowance, known := e.lists.allowance(spec.Plan, spec.Accelerator)
	if !known {
		return fmt.Errorf("plan %q may not use %q: %w", spec.Plan, spec.Accelerator, ErrImpossible)
	}
	return e.validateShape(spec, team, allowance)
}

func (e *Engine) validateShape(spec Spec, team configurer.Team, allowance configurer.Allowance) error {
	shape := spec.Shape
	total := shape.Total()
	limit := e.localLimit(allowance)
	switch {
	case shape.Parts < 1 || shape.PerPart < 1:
		return fmt.Errorf("shape of %d parts with %d accelerators: %w", shape.Parts, shape.PerPart, ErrImpossible)
	case !adjacencyAllowed(allowance, shape.Adjacent):
		return fmt.Errorf("plan %q may not ask for adjacency %q: %w", spec.Plan, shape.Adjacent, ErrImpossible)
	case total > limit:
		return fmt.Errorf("%d accelerators are over the plan's limit of %d here: %w", total, limit, ErrImpossible)
	case team.Quota > 0 && total > team.Quota:
		return fmt.Errorf("%d accelerators are over the team's quota of %d: %w", total, team.Quota, ErrImpossible)
	}
	order := e.workerOrder[spec.Accelerator]
	if len(order) == 0 {
		return nil
	}
	if _, fits := packer.Find(emptySlots(order), shape); !fits {
		return fmt.Errorf("no place of this shape exists here: %w", ErrImpossible)
	}
	return nil
}

func findTeam(plan configurer.Plan, id identifier.TeamID) (configurer.Team, bool) {
	for _, team := range plan.Teams {
		if team.ID == id {
			return team, true
		}
	}
	return configurer.Team{}, id == "" && len(plan.Teams) == 0
}

func adjacencyAllowed(allowance configurer.Allowance, wanted packer.Adjacency) bool {
	for _, adjacent := range allowance.Adjacent {
		if adjacent == wanted {
			return true
		}
	}
	return false
}

func localShare(guarantee configurer.Guarantee, dataCenter identifier.DataCenterID) int {
	for _, share := range guarantee.Shares {
		if share.DataCenter == dataCenter {
			return share.Count
		}
	}
	return 0
}

// findUnusedGuarantee returns the smallest guarantee of the job's plan that is
// unused in this data centre and covers the job's shape.
func (e *Engine) findUnusedGuarantee(spec *Spec) (GuaranteeKey, bool) {
	allowance, known := e.lists.allowance(spec.Plan, spec.Accelerator)
	if !known {
		return GuaranteeKey{}, false
	}
	var best GuaranteeKey
	found := false
	for _, guarantee := range allowance.Guarantees {
		key := GuaranteeKey{Plan: spec.Plan, Accelerator: spec.Accelerator, Shape: guarantee.Shape}
		if e.usage.guarantees[key] >= e.localCount(allowance, guarantee.Shape) || !covers(guarantee.Shape, spec.Shape) {
			continue
		}
		if !found || key.Shape.Total() < best.Shape.Total() {
			best, found = key, true
		}
	}
	return best, found
}

// localCount returns how often a shape is guaranteed in this data centre,
// summed over the guarantees with that shape.
func (e *Engine) localCount(allowance configurer.Allowance, shape packer.Shape) int {
	count := 0
	for _, guarantee := range allowance.Guarantees {
		if guarantee.Shape == shape {
			count += localShare(guarantee, e.dataCenter)
		}
	}
	return count
}

var tightness = map[packer.Adjacency]int{
	packer.AdjacentWorker: 3, packer.AdjacentNeighbours: 2,
	packer.AdjacentRack: 1, packer.AdjacentDataCenter: 0,
}

// covers reports whether every placement of the guaranteed shape can hold the
// wanted shape.
func covers(guaranteed, wanted packer.Shape) bool {
	if wanted.Total() > guaranteed.Total() || tightness[wanted.Adjacent] > tightness[guaranteed.Adjacent] {
		return false
	}
	if guaranteed.Adjacent == packer.AdjacentWorker {
		return true
	}
	return guaranteed.PerPart%wanted.PerPart == 0
}

// demoteExcess makes the guaranteed jobs that were submitted last borrowers where more of
// them use a guarantee than there are of it in this data centre.
func (e *Engine) demoteExcess() {
	active := e.active.all()
	for key, used := range e.usage.guarantees {
		allowance, _ := e.lists.allowance(key.Plan, key.Accelerator)
		excess := used - e.localCount(allowance, key.Shape)
		if excess <= 0 {
			continue
		}
		var users []*Job
		for _, job := range active {
			if job.Guaranteed && job.GuaranteeKey == key {
				users = append(users, job)
			}
		}
		sort.Slice(users, func(i, j int) bool {
			if !users[i].Submitted.Equal(users[j].Submitted) {
				return users[i].Submitted.After(users[j].Submitted)
			}
			return users[i].Spec.ID > users[j].Spec.ID
		})
		for _, job := range users[:min(excess, len(users))] {
			e.demote(job)
		}
	}
}

// demote makes a guaranteed job a borrower.
func (e *Engine) demote(job *Job) {
	e.clearGuaranteedPlacement(job)
	e.usage.guarantees[job.GuaranteeKey]--
	job.Guaranteed, job.GuaranteeKey = false, GuaranteeKey{}
	e.markDirty(job)
}

// preservesGuarantees reports whether every unused guarantee still has a
// separate placement if the given placement is allocated to key.
func (e *Engine) preservesGuarantees(accelerator string, placement []packer.Piece, key GuaranteeKey) bool {
	slots := e.unguaranteedSlots(accelerator)
	packer.Allocate(slots, placement, key.Shape)
	for i := range slots {
		if slots[i].Free < 0 {
			return false
		}
	}
	return e.placeUnusedGuarantees(accelerator, slots, key)
}

// placeUnusedGuarantees places one shape for each unused guarantee, the largest
// first. One use of taken is counted on top of those in use.
func (e *Engine) placeUnusedGuarantees(accelerator string, slots []packer.Slot, taken GuaranteeKey) bool {
	for _, unused := range e.unusedGuarantees(accelerator, taken) {
		pieces, fits := packer.Find(slots, unused.Shape)
		if !fits {
			return false
		}
		packer.Allocate(slots, pieces, unused.Shape)
	}
	return true
}

func (e *Engine) unusedGuarantees(accelerator string, taken GuaranteeKey) []GuaranteeKey {
	var keys []GuaranteeKey
	for _, allowance := range e.lists.allowances {
		if allowance.Accelerator != accelerator {
			continue
		}
		seen := map[packer.Shape]bool{}
		for _, guarantee := range allowance.Guarantees {
			if seen[guarantee.Shape] {
				continue
			}
			seen[guarantee.Shape] = true
			key := GuaranteeKey{Plan: allowance.Plan, Accelerator: accelerator, Shape: guarantee.Shape}
			unused := e.localCount(allowance, guarantee.Shape) - e.usage.guarantees[key]
			if key == taken {
				unused--
			}
			for range unused {
				keys = append(keys, key)
			}
		}
	}
	sortGuarantees(keys)
	return keys
}

// GuaranteesSatisfiable reports whether every unused guarantee has a separate
// placement once borrowers are preempted.
func (e *Engine) GuaranteesSatisfiable(accelerator string) bool {
	return e.placeUnusedGuarantees(accelerator, e.unguaranteedSlots(accelerator), GuaranteeKey{})
}
