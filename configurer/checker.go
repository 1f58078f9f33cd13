package configurer

import (
	"errors"
	"fmt"
	"sort"

	"github.com/go-playground/validator/v10"
	"github.com/rotisserie/eris"

	"cranberrystack.dev/cranberrystack/identifier"
	"cranberrystack.dev/cranberrystack/packer"
)

// ErrInvalid reports lists that are invalid regardless of the pools.
var ErrInvalid = eris.New("lists are invalid")

// ErrImpossible reports guarantees that do not fit the pools.
var ErrImpossible = eris.New("guarantees do not fit the pool")

// maxGangParts limits the parts of a guaranteed shape.
const maxGangParts = 64

// Pool holds the workers of a data centre that have one kind of accelerator.
type Pool struct {
	DataCenter  identifier.DataCenterID `json:"data-center"`
	Accelerator string                  `json:"accelerator"`
	// Slots are sorted by rack and position, with Free equal to Total.
	Slots []packer.Slot `json:"slots"`
}

var listsValidator = validator.New(validator.WithRequiredStructEnabled())

// Check validates the lists without the pools. It returns an error that wraps
// ErrInvalid and names the first rule violated.
func Check(lists Lists) error {
	if err := listsValidator.Struct(lists); err != nil {
		return fmt.Errorf("%s: %w", describeViolation(err), ErrInvalid)
	}
	planIDs := map[identifier.PlanID]bool{}
	for _, plan := range lists.Plans {
		if planIDs[plan.ID] {
			return fmt.Errorf("plan %q is listed twice: %w", plan.ID, ErrInvalid)
		}
		planIDs[plan.ID] = true
		if err := checkTeams(plan); err != nil {
			return err
		}
	}
	type allowanceKey struct {
		plan        identifier.PlanID
		accelerator string
	}
	seen := map[allowanceKey]bool{}
	totalShare := 0.0
	for _, allowance := range lists.Allowances {
		key := allowanceKey{allowance.Plan, allowance.Accelerator}
		if seen[key] {
			return fmt.Errorf("plan %q has two entries for %q: %w", allowance.Plan, allowance.Accelerator, ErrInvalid)
		}
		seen[key] = true
		if !planIDs[allowance.Plan] {
			return fmt.Errorf("plan %q of the second list is not in the first: %w", allowance.Plan, ErrInvalid)
		}
		if err := checkGuarantees(allowance); err != nil {
			return err
		}
		totalShare += allowance.RequestShare
	}
	if totalShare > 1.0001 { // 0.0001 for rounding
		return fmt.Errorf("request shares add up to %.3f, more than 1: %w", totalShare, ErrInvalid)
	}
	return nil
}

func describeViolation(err error) string {
	var violations validator.ValidationErrors
	if errors.As(err, &violations) && len(violations) > 0 {
		return fmt.Sprintf("%s breaks rule %s %s", violations[0].Namespace(), violations[0].Tag(), violations[0].Param())
	}
	return err.Error()
}

func checkTeams(plan Plan) error {
	seen := map[identifier.TeamID]bool{}
	for _, team := range plan.Teams {
		if seen[team.ID] {
			return fmt.Errorf("plan %q lists team %q twice: %w", plan.ID, team.ID, ErrInvalid)
		}
		seen[team.ID] = true
	}
	return nil
}

func checkGuarantees(allowance Allowance) error {
	total := 0
	for _, guarantee := range allowance.Guarantees {
		shape := guarantee.Shape
		if shape.Parts < 1 || shape.Parts > maxGangParts || shape.PerPart < 1 {
			return fmt.Errorf("plan %q guarantees a shape of %d parts with %d accelerators: %w", allowance.Plan, shape.Parts, shape.PerPart, ErrInvalid)
		}
		if !allowsAdjacency(allowance.Adjacent, shape.Adjacent) {
			return fmt.Errorf("plan %q guarantees adjacency %q that it may not use: %w", allowance.Plan, shape.Adjacent, ErrInvalid)
		}
		total += guarantee.Count * shape.Total()
		if sum := sumShares(guarantee.Shares); len(guarantee.Shares) > 0 && sum != guarantee.Count {
			return fmt.Errorf("plan %q: shares add up to %d, count is %d: %w", allowance.Plan, sum, guarantee.Count, ErrInvalid)
		}
	}
	if total > allowance.Limit {
		return fmt.Errorf("plan %q guarantees %d accelerators over its limit %d: %w", allowance.Plan, total, allowance.Limit, ErrInvalid)
	}
	return nil
}

func allowsAdjacency(allowed []packer.Adjacency, wanted packer.Adjacency) bool {
	for _, adjacent := range allowed {
		if adjacent == wanted {
			return true
		}
	}
	return false
}

func sumShares(shares []Share) int {
	sum := 0
	for _, share := range shares {
		sum += share.Count
	}
	return sum
}

// guaranteedUnit is one guaranteed shape to be allocated in a data centre.
type guaranteedUnit struct {
	// allowanceIndex indexes Lists.Allowances, and guaranteeIndex the Guarantees
	// of that allowance.
	allowanceIndex, guaranteeIndex int
	shape                          packer.Shape
	// dataCenter is empty if the guarantee has no shares yet.
	dataCenter identifier.DataCenterID
}

// DivideGuarantees fills in the shares of guarantees that have none, so that all
// guaranteed shapes fit the pools at the same time. It returns an error that
// wraps ErrImpossible and names the first shape that does not fit. Shapes of a
// kind of accelerator without any pool are distributed evenly over dataCenters
// and not checked, because the capacity is not known yet.
func DivideGuarantees(lists Lists, pools []Pool, dataCenters []identifier.DataCenterID) (Lists, error) {
	divided := copyLists(lists)
	slotsByAccelerator := map[string]map[identifier.DataCenterID][]packer.Slot{}
	for _, pool := range pools {
		if slotsByAccelerator[pool.Accelerator] == nil {
			slotsByAccelerator[pool.Accelerator] = map[identifier.DataCenterID][]packer.Slot{}
		}
		slotsByAccelerator[pool.Accelerator][pool.DataCenter] = append([]packer.Slot(nil), pool.Slots...)
	}
	units := listUnits(divided)
	evenIndex := 0
	for _, u := range units {
		allowance := &divided.Allowances[u.allowanceIndex]
		slotsByDataCenter := slotsByAccelerator[allowance.Accelerator]
		dataCenter := u.dataCenter
		if len(slotsByDataCenter) == 0 {
			if dataCenter == "" && len(dataCenters) > 0 {
				dataCenter = dataCenters[evenIndex%len(dataCenters)]
				evenIndex++
			}
		} else {
			chosen, fits := allocateUnit(slotsByDataCenter, u)
			if !fits {
				return Lists{}, fmt.Errorf("plan %q: no %s of %d parts with %d accelerators is left beside the other guarantees: %w",
					allowance.Plan, u.shape.Adjacent, u.shape.Parts, u.shape.PerPart, ErrImpossible)
			}
			dataCenter = chosen
		}
		if u.dataCenter == "" {
			addShare(&allowance.Guarantees[u.guaranteeIndex], dataCenter)
		}
	}
	return divided, nil
}

// listUnits returns all guaranteed shapes: those with a named data centre before
// the others, and within both groups those with the most accelerators first.
func listUnits(lists Lists) []guaranteedUnit {
	var units []guaranteedUnit
	for a := range lists.Allowances {
		for g, guarantee := range lists.Allowances[a].Guarantees {
			for _, share := range guarantee.Shares {
				for range share.Count {
					units = append(units, guaranteedUnit{a, g, guarantee.Shape, share.DataCenter})
				}
			}
			if len(guarantee.Shares) > 0 {
				continue
			}
			for range guarantee.Count {
				units = append(units, guaranteedUnit{a, g, guarantee.Shape, ""})
			}
		}
	}
	sort.SliceStable(units, func(i, j int) bool {
		if (units[i].dataCenter == "") != (units[j].dataCenter == "") {
			return units[i].dataCenter != ""
		}
		return units[i].shape.Total() > units[j].shape.Total()
	})
	return units
}

// allocateUnit allocates a unit in the data centre with the most free
// accelerators among those where it fits; on a tie the lowest id wins. It
// reports false if the unit fits nowhere.
func allocateUnit(slotsByDataCenter map[identifier.DataCenterID][]packer.Slot, u guaranteedUnit) (identifier.DataCenterID, bool) {
	var best identifier.DataCenterID
	var bestPieces []packer.Piece
	bestFree := -1
	for dataCenter, slots := range slotsByDataCenter {
		if u.dataCenter != "" && u.dataCenter != dataCenter {
			continue
		}
		pieces, fits := packer.Find(slots, u.shape)
		free := countFree(slots)
		if !fits || free < bestFree || (free == bestFree && dataCenter > best) {
			continue
		}
		best, bestPieces, bestFree = dataCenter, pieces, free
	}
	if bestFree < 0 {
		return "", false
	}
	packer.Allocate(slotsByDataCenter[best], bestPieces, u.shape)
	return best, true
}

func countFree(slots []packer.Slot) int {
	free := 0
	for i := range slots {
		free += slots[i].Free
	}
	return free
}

func addShare(guarantee *Guarantee, dataCenter identifier.DataCenterID) {
	for i := range guarantee.Shares {
		if guarantee.Shares[i].DataCenter == dataCenter {
			guarantee.Shares[i].Count++
			return
		}
	}
	guarantee.Shares = append(guarantee.Shares, Share{DataCenter: dataCenter, Count: 1})
	sort.Slice(guarantee.Shares, func(i, j int) bool {
		return guarantee.Shares[i].DataCenter < guarantee.Shares[j].DataCenter
	})
}

func copyLists(lists Lists) Lists {
	copied := lists
	copied.Allowances = append([]Allowance(nil), lists.Allowances...)
	for i := range copied.Allowances {
		guarantees := append([]Guarantee(nil), copied.Allowances[i].Guarantees...)
		for g := range guarantees {
			guarantees[g].Shares = append([]Share(nil), guarantees[g].Shares...)
		}
		copied.Allowances[i].Guarantees = guarantees
	}
	return copied
}
