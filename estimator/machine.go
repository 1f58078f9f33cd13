package estimator

import "math"

const (
	// paceUnit, varianceUnit and runUnit are the units of the integers in which the
	// state of machines and steps is held. Integers are exact in a snapshot, and the
	// sum over all machines does not drift.
	paceUnit     = 1e-4
	varianceUnit = 1e-5
	runUnit      = 1e-2

	// stepVariance is the variance of the logarithm of the work within a step (spread
	// 0.15).
	stepVariance = 0.0225
	// initialPaceVariance is that of the logarithm of the pace over machines: a quarter
	// at 0.55 and the rest at 1.2 have 0.115.
	initialPaceVariance = 0.12
	// paceNoise is added to a machine's variance with each run, so that the gain stays
	// at about a sixth.
	paceNoise = 0.002
	// changeVariance is added if two successive runs deviate in the same direction by
	// more than changeLimit standard deviations: the machine has probably changed. One
	// such run may have been delayed by something else.
	changeVariance = 0.1
	changeLimit    = 1.5
	// outlierLimit is the number of standard deviations to which a run's deviation is
	// clamped.
	outlierLimit = 2.5
	// maxPace is the largest deviation of a pace from the usual one: a factor of 8.
	maxPace = 2.08
	// maxRuns is where the number of compared runs saturates.
	maxRuns = 1e4
	// minRuns is the number of compared runs after which a pace is known.
	minRuns = 3.0
	// comparedVariance is the variance of a reference up to which a comparison counts as
	// a whole run. A group's expectation is often a weaker reference than that.
	comparedVariance = 0.1
)

// machine is a Kalman filter for the logarithm of the pace, in units of paceUnit. Paces
// of all machines share an arbitrary offset; their mean is the usual pace.
type machine struct {
	pace, variance int32
	// runs is the number of compared runs in units of runUnit.
	runs int32
	// deviation is the sign of the last run's deviation if it was large, otherwise 0.
	deviation int32
}

// estimate is a normal distribution of a logarithm.
type estimate struct{ mean, variance float64 }

// compare updates the pace after a run whose elapsed time differed by residual from
// what the reference and the machine's pace predicted. ofStep says that the reference
// includes other tasks of the step, and steady that two successive deviations mean a
// change of the machine, not of the group.
func (m *machine) compare(residual, referenceVariance float64, ofStep, steady bool) {
	variance := float64(m.variance)*varianceUnit + paceNoise
	total := variance + referenceVariance + stepVariance
	if excess := square(residual) - 4*total; excess > 0 && !ofStep {
		total += excess // the step is probably one of the long ones
	}
	var deviation int32
	if math.Abs(residual) > changeLimit*math.Sqrt(total) {
		deviation = int32(math.Copysign(1, residual))
	}
	if steady && deviation != 0 && deviation == m.deviation {
		variance += changeVariance
		total += changeVariance
	}
	limit := outlierLimit * math.Sqrt(total)
	gain := variance / total
	m.pace -= scaled(gain*clamp(residual, -limit, limit), paceUnit)
	m.variance = scaled(variance*(1-gain), varianceUnit)
	m.deviation = deviation
	compared := min(1, comparedVariance/(referenceVariance+stepVariance))
	m.runs = min(m.runs+scaled(compared, runUnit), scaled(maxRuns, runUnit))
}

func (m *machine) known() bool { return float64(m.runs)*runUnit >= minRuns }

// scaled returns a value in the given unit.
func scaled(value, unit float64) int32 { return int32(math.Round(value / unit)) }

// machines is the table of machines with the sum of their paces.
type machines struct {
	table[string, machine]
	sum int64
}

// usual returns the mean pace in units of paceUnit.
func (m *machines) usual() float64 {
	if len(m.index) == 0 {
		return 0
	}
	return float64(m.sum) / float64(len(m.index))
}

// relative returns the logarithm of the machine's pace relative to the usual one.
func (m *machines) relative(of *machine) float64 {
	return (float64(of.pace) - m.usual()) * paceUnit
}

// add inserts a machine of usual pace.
func (m *machines) add(name string) *machine {
	pace := int32(math.Round(m.usual()))
	m.sum += int64(pace)
	return m.insert(name, machine{pace: pace, variance: scaled(initialPaceVariance, varianceUnit)})
}

// compare updates the pace of a machine and the mean.
func (m *machines) compare(of *machine, residual float64, reference estimate, ofStep, steady bool) {
	before, usual := of.pace, m.usual()
	of.compare(residual, reference.variance, ofStep, steady)
	low, high := int32(usual-maxPace/paceUnit), int32(usual+maxPace/paceUnit)
	of.pace = min(max(of.pace, low), high)
	m.sum += int64(of.pace) - int64(before)
	m.centre()
}

// centre removes the common offset of all paces when it has become large, so that
// they stay within bounds. It is rare, since it takes a drift by a factor of 2.7.
func (m *machines) centre() {
	offset := int32(math.Round(m.usual()))
	if math.Abs(float64(offset))*paceUnit < 1 {
		return
	}
	m.sum = 0
	for _, of := range m.all() {
		of.pace -= offset
		m.sum += int64(of.pace)
	}
}
