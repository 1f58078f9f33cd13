// Package configurer keeps the two lists that operators change: the plans, and
// what each plan may use. It decides which of several changes wins, divides
// guarantees among the data centres, and says what changed since a version.
//
// State is a deterministic state machine: it is fed from a replicated log and
// gives the same results on every instance.
package configurer

import (
	"cranberrystack.dev/cranberrystack/identifier"
	"cranberrystack.dev/cranberrystack/packer"
)

// Team is a part of a member that shares its plan's capacity with others.
type Team struct {
	ID identifier.TeamID `json:"id" validate:"required"`
	// Quota bounds the accelerators that the team holds at a time; 0 is no
	// bound.
	Quota int `json:"quota" validate:"min=0"`
}

// Plan is an entry of the first list.
type Plan struct {
	ID     identifier.PlanID   `json:"id" validate:"required"`
	Member identifier.MemberID `json:"member" validate:"required"`
	Teams  []Team              `json:"teams" validate:"dive"`
}

// Share is a data centre's part of a guarantee.
type Share struct {
	DataCenter identifier.DataCenterID `json:"data-center" validate:"required"`
	Count      int                     `json:"count" validate:"min=0"`
}

// Guarantee is a number of shapes that a plan can always claim.
type Guarantee struct {
	Shape packer.Shape `json:"shape"`
	// Count is the number of shapes over all data centres.
	Count int `json:"count" validate:"min=1"`
	// Shares add up to Count once the lists are in force. An operator may
	// leave them out; the leader then divides.
	Shares []Share `json:"shares,omitempty" validate:"dive"`
}

// KindWeight says how much one answered request of a kind is worth.
type KindWeight struct {
	Kind   string  `json:"kind" validate:"required"`
	Weight float64 `json:"weight" validate:"gt=0"`
}

// Allowance is an entry of the second list: what a plan may use.
type Allowance struct {
	Plan identifier.PlanID `json:"plan" validate:"required"`
	// Accelerator names the kind of accelerator, such as "gpu".
	Accelerator string `json:"accelerator" validate:"required"`
	// Limit bounds the accelerators that the plan holds at a time.
	Limit int `json:"limit" validate:"min=0"`
	// Adjacent lists the adjacencies that the plan's jobs may ask for.
	Adjacent   []packer.Adjacency `json:"adjacent" validate:"dive,oneof=worker neighbours rack data-center"`
	Guarantees []Guarantee        `json:"guarantees,omitempty" validate:"dive"`
	// RequestShare is the part of the upstreams' slots that the plan's
	// requests can always claim, from 0 to 1.
	RequestShare float64      `json:"request-share" validate:"min=0,max=1"`
	Kinds        []KindWeight `json:"kinds,omitempty" validate:"dive"`
}

// Lists are the two lists at one version.
type Lists struct {
	Version    identifier.ListVersion `json:"version"`
	Plans      []Plan                 `json:"plans" validate:"dive"`
	Allowances []Allowance            `json:"allowances" validate:"dive"`
}

// Ownership names the instance that owns a data centre's placement.
type Ownership struct {
	DataCenter identifier.DataCenterID `json:"data-center"`
	Owner      identifier.InstanceID   `json:"owner"`
	// Epoch grows with every new owner.
	Epoch identifier.Epoch `json:"epoch"`
}

// ClaimGroup names the instances that started a data centre's claim table
// with nothing in it, each by its incarnation.
type ClaimGroup struct {
	DataCenter identifier.DataCenterID `json:"data-center"`
	// Generation grows when a lost table is started anew.
	Generation uint64                                           `json:"generation"`
	Starters   map[identifier.InstanceID]identifier.Incarnation `json:"starters"`
}

// View is all that is in force at one index of the log.
type View struct {
	// Index is the log's index of the last change; it orders views.
	Index  uint64       `json:"index"`
	Lists  Lists        `json:"lists"`
	Owners []Ownership  `json:"owners"`
	Groups []ClaimGroup `json:"claim-groups"`
}

// Plan returns a plan by id.
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

// Owner returns who owns a data centre's placement; epoch 0 means nobody yet.
func (v *View) Owner(dataCenter identifier.DataCenterID) Ownership {
	for _, ownership := range v.Owners {
		if ownership.DataCenter == dataCenter {
			return ownership
		}
	}
	return Ownership{DataCenter: dataCenter}
}

// Group returns a data centre's claim group; generation 0 means none yet.
func (v *View) Group(dataCenter identifier.DataCenterID) ClaimGroup {
	for _, group := range v.Groups {
		if group.DataCenter == dataCenter {
			return group
		}
	}
	return ClaimGroup{DataCenter: dataCenter}
}
