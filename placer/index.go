package placer

import (
	"cranberrystack.dev/cranberrystack/configurer"
	"cranberrystack.dev/cranberrystack/identifier"
)

// index finds plans and allowances by id.
type index struct {
	plans      map[identifier.PlanID]configurer.Plan
	byPlan     map[planUse]configurer.Allowance
	allowances []configurer.Allowance
}

func newIndex(view configurer.View) index {
	x := index{
		plans:      map[identifier.PlanID]configurer.Plan{},
		byPlan:     map[planUse]configurer.Allowance{},
		allowances: view.Lists.Allowances,
	}
	for _, plan := range view.Lists.Plans {
		x.plans[plan.ID] = plan
	}
	for _, allowance := range view.Lists.Allowances {
		x.byPlan[planUse{allowance.Plan, allowance.Accelerator}] = allowance
	}
	return x
}

func (x *index) plan(id identifier.PlanID) (configurer.Plan, bool) {
	plan, known := x.plans[id]
	return plan, known
}

func (x *index) allowance(id identifier.PlanID, accelerator string) (configurer.Allowance, bool) {
	allowance, known := x.byPlan[planUse{id, accelerator}]
	return allowance, known
}
