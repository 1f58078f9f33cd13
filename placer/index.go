package placer

import (
	"cranberrystack.dev/cranberrystack/configurer"
	"cranberrystack.dev/cranberrystack/identifier"
)

// listIndex finds plans by id, and allowances by plan and accelerator type.
type listIndex struct {
	plans      map[identifier.PlanID]configurer.Plan
	byPlan     map[planKey]configurer.Allowance
	allowances []configurer.Allowance
}

func newListIndex(view configurer.View) listIndex {
	x := listIndex{
		plans:      map[identifier.PlanID]configurer.Plan{},
		byPlan:     map[planKey]configurer.Allowance{},
		allowances: view.Lists.Allowances,
	}
	for _, plan := range view.Lists.Plans {
		x.plans[plan.ID] = plan
	}
	for _, allowance := range view.Lists.Allowances {
		x.byPlan[planKey{allowance.Plan, allowance.Accelerator}] = allowance
	}
	return x
}

func (x *listIndex) plan(id identifier.PlanID) (configurer.Plan, bool) {
	plan, known := x.plans[id]
	return plan, known
}

func (x *listIndex) allowance(id identifier.PlanID, accelerator string) (configurer.Allowance, bool) {
	allowance, known := x.byPlan[planKey{id, accelerator}]
	return allowance, known
}
