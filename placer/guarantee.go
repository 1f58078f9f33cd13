package placer

import (
	"fmt"

	"cranberrystack.dev/cranberrystack/configurer"
	"cranberrystack.dev/cranberrystack/identifier"
	"cranberrystack.dev/cranberrystack/packer"
)

type planUse struct {
	plan        identifier.PlanID
	accelerator string
}

type teamUse struct {
	plan        identifier.PlanID
	team        identifier.TeamID
	accelerator string
}

// usage counts accelerators held by plan and team, and guarantees in use.
type usage struct {
	plans map[planUse]int
	teams map[teamUse]int
	units map[GuaranteeKey]int
}

func newUsage() usage {
	return usage{plans: map[planUse]int{}, teams: map[teamUse]int{}, units: map[GuaranteeKey]int{}}
}

// add books a job once with sign 1 and takes it off with sign -1.
func (u usage) add(job *Job, sign int) {
	spec := &job.Spec
	total := sign * spec.Shape.Total()
	u.plans[planUse{spec.Plan, spec.Accelerator}] += total
	u.teams[teamUse{spec.Plan, spec.Team, spec.Accelerator}] += total
	if job.Guaranteed {
		u.units[job.GuaranteeKey] += sign
	}
}

// check returns why a job can never run, if so.
func (e *Engine) check(spec Spec) error {
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
	return e.checkShape(spec, team, allowance)
}

func (e *Engine) checkShape(spec Spec, team configurer.Team, allowance configurer.Allowance) error {
	shape := spec.Shape
	total := shape.Total()
	limit := e.limit(allowance)
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
	order := e.order[spec.Accelerator]
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

// limit returns this data centre's part of a plan's limit: what is guaranteed
// here and an equal part of the rest, so that data centres which are cut off
// from each other never exceed the limit together.
func (e *Engine) limit(allowance configurer.Allowance) int {
	here, everywhere := 0, 0
	for _, guarantee := range allowance.Guarantees {
		total := guarantee.Shape.Total()
		everywhere += guarantee.Count * total
		here += total * shareHere(guarantee, e.dataCenter)
	}
	rest := max(allowance.Limit-everywhere, 0)
	return here + rest/e.dataCenters
}

func shareHere(guarantee configurer.Guarantee, dataCenter identifier.DataCenterID) int {
	for _, share := range guarantee.Shares {
		if share.DataCenter == dataCenter {
			return share.Count
		}
	}
	return 0
}

// withinLimits reports whether a job may start now by its plan's limit and its
// team's quota.
func (e *Engine) withinLimits(job *Job) bool {
	spec := &job.Spec
	plan, known := e.lists.plan(spec.Plan)
	if !known {
		return false
	}
	allowance, known := e.lists.allowance(spec.Plan, spec.Accelerator)
	if !known {
		return false
	}
	total := spec.Shape.Total()
	if e.usage.plans[planUse{spec.Plan, spec.Accelerator}]+total > e.limit(allowance) {
		return false
	}
	team, _ := findTeam(plan, spec.Team)
	used := e.usage.teams[teamUse{spec.Plan, spec.Team, spec.Accelerator}]
	return team.Quota == 0 || used+total <= team.Quota
}

// freeUnit returns a guarantee of the job's plan that is unused here and
// covers the job's shape.
func (e *Engine) freeUnit(spec *Spec) (GuaranteeKey, bool) {
	allowance, known := e.lists.allowance(spec.Plan, spec.Accelerator)
	if !known {
		return GuaranteeKey{}, false
	}
	var best GuaranteeKey
	found := false
	for _, guarantee := range allowance.Guarantees {
		unit := GuaranteeKey{Plan: spec.Plan, Accelerator: spec.Accelerator, Shape: guarantee.Shape}
		if e.usage.units[unit] >= e.unitShare(allowance, guarantee.Shape) || !covers(guarantee.Shape, spec.Shape) {
			continue
		}
		if !found || unit.Shape.Total() < best.Shape.Total() {
			best, found = unit, true
		}
	}
	return best, found
}

// unitShare adds up the shares of equal shapes.
func (e *Engine) unitShare(allowance configurer.Allowance, shape packer.Shape) int {
	share := 0
	for _, guarantee := range allowance.Guarantees {
		if guarantee.Shape == shape {
			share += shareHere(guarantee, e.dataCenter)
		}
	}
	return share
}

var tightness = map[packer.Adjacency]int{
	packer.AdjacentWorker: 3, packer.AdjacentNeighbours: 2,
	packer.AdjacentRack: 1, packer.AdjacentDataCenter: 0,
}

// covers reports whether a place of the guaranteed shape always holds the
// wanted one.
func covers(guaranteed, wanted packer.Shape) bool {
	if wanted.Total() > guaranteed.Total() || tightness[wanted.Adjacent] > tightness[guaranteed.Adjacent] {
		return false
	}
	if guaranteed.Adjacent == packer.AdjacentWorker {
		return true
	}
	return guaranteed.PerPart%wanted.PerPart == 0
}

// keepsGuarantees reports whether every unused guarantee still has a place of
// its own beside the places in use, were the given one taken for a unit.
func (e *Engine) keepsGuarantees(accelerator string, place []packer.Piece, unit GuaranteeKey) bool {
	slots := e.claimableSlots(accelerator)
	packer.Allocate(slots, place, unit.Shape)
	for i := range slots {
		if slots[i].Free < 0 {
			return false
		}
	}
	return e.packUnused(accelerator, slots, unit)
}

// packUnused places one shape for each unused unit, the largest first. taken
// counts as used once more.
func (e *Engine) packUnused(accelerator string, slots []packer.Slot, taken GuaranteeKey) bool {
	for _, unused := range e.unusedUnits(accelerator, taken) {
		pieces, fits := packer.Find(slots, unused.Shape)
		if !fits {
			return false
		}
		packer.Allocate(slots, pieces, unused.Shape)
	}
	return true
}

func (e *Engine) unusedUnits(accelerator string, taken GuaranteeKey) []GuaranteeKey {
	var units []GuaranteeKey
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
			unit := GuaranteeKey{Plan: allowance.Plan, Accelerator: accelerator, Shape: guarantee.Shape}
			unused := e.unitShare(allowance, guarantee.Shape) - e.usage.units[unit]
			if unit == taken {
				unused--
			}
			for range unused {
				units = append(units, unit)
			}
		}
	}
	sortUnits(units)
	return units
}

// GuaranteesSatisfiable reports whether every unused guarantee has a place of its own
// once borrowers are put out.
func (e *Engine) GuaranteesSatisfiable(accelerator string) bool {
	return e.packUnused(accelerator, e.claimableSlots(accelerator), GuaranteeKey{})
}
