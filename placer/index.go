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
	l := listIndex{
		plans:      map[identifier.PlanID]configurer.Plan{},
		byPlan:     map[planKey]configurer.Allowance{},
		allowances: view.Lists.Allowances,
	}
	for _, plan := range view.Lists.Plans {
		l.plans[plan.ID] = plan
	}
	for _, allowance := range view.Lists.Allowances {
		l.byPlan[planKey{allowance.Plan, allowance.Accelerator}] = allowance
	}
	return l
}

func (l *listIndex) plan(id identifier.PlanID) (configurer.Plan, bool) {
	plan, known := l.plans[id]
	return plan, known
}

func (l *listIndex) allowance(id identifier.PlanID, accelerator string) (configurer.Allowance, bool) {
	allowance, known := l.byPlan[planKey{id, accelerator}]
	return allowance, known
}
