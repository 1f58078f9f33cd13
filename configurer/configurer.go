// Package configurer maintains the two lists that operators change: the plans,
// and the allowances, which say what each plan may use. It decides which of
// several concurrent changes is accepted, divides guarantees among the data
// centres, and computes the changes since an index of the log.
//
// State is a deterministic state machine: it applies the commands of a
// replicated log and gives the same results on every instance.
package configurer

import (
	"cranberrystack.dev/cranberrystack/identifier"
	"cranberrystack.dev/cranberrystack/packer"
)

// Team is a part of a member that shares the capacity of its plan with the
// plan's other teams.
type Team struct {
	ID identifier.TeamID `json:"id" validate:"required"`
	// Quota limits the accelerators that the team uses at a time; 0 means no
	// limit.
	Quota int `json:"quota" validate:"min=0"`
}

// Plan is an entry of the first list: a plan of a member, with its teams.
type Plan struct {
	ID     identifier.PlanID   `json:"id" validate:"required"`
	Member identifier.MemberID `json:"member" validate:"required"`
	Teams  []Team              `json:"teams" validate:"dive"`
}

// Share is the part of a guarantee that one data centre provides.
type Share struct {
	DataCenter identifier.DataCenterID `json:"data-center" validate:"required"`
	// Count is the number of shapes.
	Count int `json:"count" validate:"min=0"`
}

// Guarantee is a number of shapes that a plan can always claim.
type Guarantee struct {
	Shape packer.Shape `json:"shape"`
	// Count is the number of shapes over all data centres.
	Count int `json:"count" validate:"min=1"`
	// Shares add up to Count once the lists are in force. If an operator omits
	// them, the leader of the log fills them in by DivideGuarantees.
	Shares []Share `json:"shares,omitempty" validate:"dive"`
}

// KindWeight is the value of one answered request of a kind.
type KindWeight struct {
	Kind   string  `json:"kind" validate:"required"`
	Weight float64 `json:"weight" validate:"gt=0"`
}

// Allowance is an entry of the second list: what a plan may use of one kind of
// accelerator.
type Allowance struct {
	Plan identifier.PlanID `json:"plan" validate:"required"`
	// Accelerator names the kind of accelerator, such as "gpu".
	Accelerator string `json:"accelerator" validate:"required"`
	// Limit is the maximum number of accelerators that the plan uses at a time.
	Limit int `json:"limit" validate:"min=0"`
	// Adjacent lists the adjacencies that the plan's jobs may request.
	Adjacent   []packer.Adjacency `json:"adjacent" validate:"dive,oneof=worker neighbours rack data-center"`
	Guarantees []Guarantee        `json:"guarantees,omitempty" validate:"dive"`
	// RequestShare is the fraction of the upstreams' slots that the plan's
	// requests can always claim, from 0 to 1.
	RequestShare float64      `json:"request-share" validate:"min=0,max=1"`
	Kinds        []KindWeight `json:"kinds,omitempty" validate:"dive"`
}

// Lists holds the two lists at one version.
type Lists struct {
	Version    identifier.ListVersion `json:"version"`
	Plans      []Plan                 `json:"plans" validate:"dive"`
	Allowances []Allowance            `json:"allowances" validate:"dive"`
}

// Ownership names the instance that owns the placement of a data centre.
type Ownership struct {
	DataCenter identifier.DataCenterID `json:"data-center"`
	Owner      identifier.InstanceID   `json:"owner"`
	// Epoch increases by one with every new owner.
	Epoch identifier.Epoch `json:"epoch"`
}

// ClaimGroup names the instances that started a data centre's claim table
// empty, each with its incarnation at that time.
type ClaimGroup struct {
	DataCenter identifier.DataCenterID `json:"data-center"`
	// Generation is 1 for the first table and increases by one whenever a lost
	// table is started anew.
	Generation uint64                                           `json:"generation"`
	Starters   map[identifier.InstanceID]identifier.Incarnation `json:"starters"`
}

// View is the configuration in force at one index of the log.
type View struct {
	// Index is the log index of the last change. A view with a higher index is
	// newer.
	Index  uint64       `json:"index"`
	Lists  Lists        `json:"lists"`
	Owners []Ownership  `json:"owners"`
	Groups []ClaimGroup `json:"claim-groups"`
}

// Plan returns the plan with an id.
func (v *View) Plan(id identifier.PlanID) (Plan, bool) {
	for i := range v.Lists.Plans {
		if v.Lists.Plans[i].ID == id {
			return v.Lists.Plans[i], true
		}
	}
	return Plan{}, false
}

// Allowance returns what a plan may use of a kind of accelerator.
func (v *View) Allowance(id identifier.PlanID, accelerator string) (Allowance, bool) {
	for i := range v.Lists.Allowances {
		allowance := v.Lists.Allowances[i]
		if allowance.Plan == id && allowance.Accelerator == accelerator {
			return allowance, true
		}
	}
	return Allowance{}, false
}

// Owner returns the owner of a data centre's placement; epoch 0 means that there
// is none yet.
func (v *View) Owner(dataCenter identifier.DataCenterID) Ownership {
	for _, ownership := range v.Owners {
		if ownership.DataCenter == dataCenter {
			return ownership
		}
	}
	return Ownership{DataCenter: dataCenter}
}

// Group returns the claim group of a data centre; generation 0 means that there
// is none yet.
func (v *View) Group(dataCenter identifier.DataCenterID) ClaimGroup {
	for _, group := range v.Groups {
		if group.DataCenter == dataCenter {
			return group
		}
	}
	return ClaimGroup{DataCenter: dataCenter}
}
