package estimator

import (
	"encoding/json"
	"fmt"
	"math"
	"strings"

	"github.com/rotisserie/eris"
)

// ErrSnapshot reports a snapshot that cannot be read.
var ErrSnapshot = eris.New("estimates cannot be read")

const snapshotVersion = 1

// snapshot lists entries as columns, which are shorter than objects, from the least to
// the most recently used.
type snapshot struct {
	Version  int            `json:"version"`
	Samples  uint64         `json:"samples"`
	All      [2]float64     `json:"all"`
	Groups   groupColumns   `json:"groups"`
	Machines machineColumns `json:"machines"`
	Steps    stepColumns    `json:"steps"`
}

type groupColumns struct {
	Queues []string `json:"queues"`
	Images []string `json:"images"`
	// Values has the fields of each group in the order of group.values.
	Values [][groupValues]float64 `json:"values"`
}

type machineColumns struct {
	Names      []string `json:"names"`
	Paces      []int32  `json:"paces"`
	Variances  []int32  `json:"variances"`
	Runs       []int32  `json:"runs"`
	Deviations []int32  `json:"deviations"`
}

type stepColumns struct {
	Keys []uint64 `json:"keys"`
	// Values has for each step: finished, lastMachine, last mean and precision, others
	// mean and precision, slowest.
	Values [][7]int64 `json:"values"`
}

// MarshalJSON writes what was learned, in the order of use. Equal estimators have equal
// snapshots.
func (e *Estimator) MarshalJSON() ([]byte, error) {
	s := snapshot{Version: snapshotVersion, Samples: e.samples, All: [2]float64{e.allWeight, e.allWork}}
	for key, g := range e.groups.all() {
		s.Groups.Queues = append(s.Groups.Queues, key.Queue)
		s.Groups.Images = append(s.Groups.Images, key.Image)
		var row [groupValues]float64
		for i, value := range g.values() {
			row[i] = *value
		}
		s.Groups.Values = append(s.Groups.Values, row)
	}
	for name, m := range e.machines.all() {
		s.Machines.Names = append(s.Machines.Names, name)
		s.Machines.Paces = append(s.Machines.Paces, m.pace)
		s.Machines.Variances = append(s.Machines.Variances, m.variance)
		s.Machines.Runs = append(s.Machines.Runs, m.runs)
		s.Machines.Deviations = append(s.Machines.Deviations, m.deviation)
	}
	for key, st := range e.steps.all() {
		s.Steps.Keys = append(s.Steps.Keys, key)
		s.Steps.Values = append(s.Steps.Values, [...]int64{
			int64(st.finished), int64(st.lastMachine), int64(st.last.mean), int64(st.last.precision),
			int64(st.others.mean), int64(st.others.precision), int64(st.slowest),
		})
	}
	data, err := json.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("marshal estimates: %w", err)
	}
	return data, nil
}

// UnmarshalJSON replaces what was learned; the bounds are those of e. Values out of
// range are clamped, and of too many entries the most recently used ones are kept. If
// it returns an error, which wraps ErrSnapshot, e has learned nothing and can be used.
func (e *Estimator) UnmarshalJSON(data []byte) error {
	e.reset()
	var s snapshot
	if err := json.Unmarshal(data, &s); err != nil {
		return fmt.Errorf("%w: %w", ErrSnapshot, err)
	}
	if err := s.check(); err != nil {
		return err
	}
	e.samples = s.Samples
	e.allWeight = clamp(s.All[0], 0, 1/groupForget+1)
	e.allWork = clampLog(s.All[1])
	e.restoreGroups(s.Groups)
	e.restoreMachines(s.Machines)
	e.restoreSteps(s.Steps)
	return nil
}

func (s *snapshot) check() error {
	g, m, st := s.Groups, s.Machines, s.Steps
	machines := len(m.Names)
	switch {
	case s.Version != snapshotVersion:
		return fmt.Errorf("%w: version %d", ErrSnapshot, s.Version)
	case len(g.Queues) != len(g.Values) || len(g.Images) != len(g.Values):
		return fmt.Errorf("%w: columns of groups differ in length", ErrSnapshot)
	case len(m.Paces) != machines || len(m.Variances) != machines || len(m.Runs) != machines || len(m.Deviations) != machines:
		return fmt.Errorf("%w: columns of machines differ in length", ErrSnapshot)
	case len(st.Keys) != len(st.Values):
		return fmt.Errorf("%w: columns of steps differ in length", ErrSnapshot)
	}
	return nil
}

func (e *Estimator) restoreGroups(c groupColumns) {
	for i, row := range c.Values {
		key := Group{Queue: strings.Clone(c.Queues[i]), Image: strings.Clone(c.Images[i])}
		if !usableName(key.Queue) || !usableName(key.Image) || e.groups.get(key) != nil {
			continue
		}
		var g group
		for j, value := range g.values() {
			*value = row[j]
		}
		g.clamp()
		e.groups.insert(key, g)
	}
}

// clamp moves all fields into the range that learn gives them.
func (g *group) clamp() {
	const most = 1/groupForget + 1
	g.steps = clamp(g.steps, 0, maxStepCount)
	g.weight = clamp(g.weight, 0, most)
	g.meanWork = clampLog(g.meanWork)
	g.declaredWeight = clamp(g.declaredWeight, 0, g.weight)
	g.meanDeclared = clampLog(g.meanDeclared)
	g.sumDeclaredSq = clamp(g.sumDeclaredSq, 0, 1e4)
	g.sumDeclaredWork = clamp(g.sumDeclaredWork, -1e4, 1e4)
	g.variance = clamp(g.variance, minVariance, square(maxError))
	g.drift = clamp(g.drift, -outlierLimit, outlierLimit)
	g.tailWeight = clamp(g.tailWeight, 0, 1/tailForget+1)
	g.tailShare = clamp(g.tailShare, 0, 1)
	g.tailFactor = clamp(g.tailFactor, 0, maxError)
	g.scoreWeight = clamp(g.scoreWeight, 0, 1/scoreForget+1)
	g.declaredError = clamp(g.declaredError, 0, square(maxError))
	g.learnedError = clamp(g.learnedError, 0, square(maxError))
}

func (e *Estimator) restoreMachines(c machineColumns) {
	const limit = int32((maxPace + 1) / paceUnit)
	for i, name := range c.Names {
		if name == "" || !usableName(name) || e.machines.get(name) != nil {
			continue
		}
		m := machine{
			pace:      min(max(c.Paces[i], -limit), limit),
			variance:  min(max(c.Variances[i], 0), scaled(initialPaceVariance+changeVariance, varianceUnit)),
			runs:      min(max(c.Runs[i], 0), scaled(maxRuns, runUnit)),
			deviation: min(max(c.Deviations[i], -1), 1),
		}
		e.machines.sum += int64(m.pace)
		e.machines.insert(strings.Clone(name), m)
	}
}

func (e *Estimator) restoreSteps(c stepColumns) {
	limit := int64(logMillis(maxElapsed)+2*maxPace+1) * int64(1/paceUnit)
	within := func(value, low, high int64) int32 { return int32(min(max(value, low), high)) }
	for i, row := range c.Values {
		if e.steps.get(c.Keys[i]) != nil {
			continue
		}
		e.steps.insert(c.Keys[i], step{
			finished:    within(row[0], 0, maxTasks),
			lastMachine: uint32(min(max(row[1], 0), math.MaxUint32)),
			last:        evidence{mean: within(row[2], -limit, limit), precision: within(row[3], 0, maxPrecision)},
			others:      evidence{mean: within(row[4], -limit, limit), precision: within(row[5], 0, maxPrecision)},
			slowest:     within(row[6], -limit, 0),
		})
	}
}

// clampLog moves a mean of logarithms of the work into its range.
func clampLog(log float64) float64 {
	return clamp(log, -2*maxPace, logMillis(maxElapsed)+2*maxPace)
}
