package configurer

import (
	"fmt"

	"cranberrystack.dev/cranberrystack/packer"
)

// DescribeEffects returns one line for each thing that a change takes from a
// plan, with what happens to the work that uses it.
func DescribeEffects(before, after Lists) []string {
	var effects []string
	for _, plan := range before.Plans {
		if !hasPlan(after, plan) {
			effects = append(effects, fmt.Sprintf("plan %s is removed: nothing new starts, what runs goes on", plan.ID))
		}
	}
	for _, allowance := range before.Allowances {
		effects = append(effects, allowanceEffects(allowance, findAllowance(after, allowance))...)
	}
	return effects
}

func hasPlan(lists Lists, plan Plan) bool {
	for i := range lists.Plans {
		if lists.Plans[i].ID == plan.ID {
			return true
		}
	}
	return false
}

// findAllowance returns the entry for the same plan and accelerator, or an empty
// one if the lists have none.
func findAllowance(lists Lists, wanted Allowance) Allowance {
	for _, allowance := range lists.Allowances {
		if allowance.Plan == wanted.Plan && allowance.Accelerator == wanted.Accelerator {
			return allowance
		}
	}
	return Allowance{Plan: wanted.Plan, Accelerator: wanted.Accelerator}
}

func allowanceEffects(before, after Allowance) []string {
	var effects []string
	newCounts := countShapes(after)
	seen := map[packer.Shape]bool{}
	for _, guarantee := range before.Guarantees {
		shape := guarantee.Shape
		if seen[shape] {
			continue
		}
		seen[shape] = true
		oldCount, newCount := countShapes(before)[shape], newCounts[shape]
		if newCount < oldCount {
			effects = append(effects, fmt.Sprintf(
				"plan %s: guarantee of %s with %d parts of %d %s goes from %d to %d; work within it keeps its place until it ends",
				before.Plan, shape.Adjacent, shape.Parts, shape.PerPart, before.Accelerator, oldCount, newCount))
		}
	}
	if after.Limit < before.Limit {
		effects = append(effects, fmt.Sprintf("plan %s: limit of %s goes from %d to %d; nothing is stopped", before.Plan, before.Accelerator, before.Limit, after.Limit))
	}
	if after.RequestShare < before.RequestShare {
		effects = append(effects, fmt.Sprintf("plan %s: share of requests goes from %.2f to %.2f at once", before.Plan, before.RequestShare, after.RequestShare))
	}
	return effects
}

func countShapes(allowance Allowance) map[packer.Shape]int {
	counts := map[packer.Shape]int{}
	for _, guarantee := range allowance.Guarantees {
		counts[guarantee.Shape] += guarantee.Count
	}
	return counts
}
