package estimator

import "math"

// All values in this file are natural logarithms of milliseconds, and weights are in steps.
const (
	// groupForget is how much of the regression one step forgets: the half-life is 30
	// steps. Changes of level are tracked faster than that, see driftGain.
	groupForget = 0.023
	// scoreForget is the same for the errors that decide which prediction is used:
	// half-life 15 steps.
	scoreForget = 0.045
	// tailForget is the same for the tail, which is rare: half-life 140 steps.
	tailForget = 0.005
	// priorWeight is the weight, in steps, of the assumption that the declared
	// estimate is right on average.
	priorWeight = 1.0
	// slopeSpread is the expected deviation of the slope from 1.
	slopeSpread = 0.5

	// unclampedSteps is the weight from which on values are clamped. With less, an
	// absurd first value would determine how far the next ones may be from it.
	unclampedSteps = 2.0
	// initialVariance of the residuals has the weight of initialWeight steps.
	initialVariance = 0.16
	initialWeight   = 3.0
	minVariance     = 0.01
	// declaredVariance is that of the declared estimate's error before it is measured.
	declaredVariance = 0.4
	// bodyVariance is the same for quantiles. It makes the 0.9 quantile 1.5 times the
	// estimate, which is the rule for copies without an estimator.
	bodyVariance = 0.1

	// maxError bounds the error that one run adds: a factor of 20.
	maxError = 3.0
	// initialTailShare has the weight of initialTailWeight steps; initialTailFactor is
	// the logarithm of how much longer a run of the tail takes.
	initialTailShare  = 0.02
	initialTailWeight = 30.0
	initialTailFactor = 1.6

	// A group drifts if the decayed mean of its residuals, in standard deviations,
	// exceeds driftLimit, which is 3.6 standard deviations of that mean. Then each
	// step moves the level by driftGain of the residual. Otherwise a change by a
	// factor of 3 would take more than 40 steps.
	driftForget = 0.2
	driftLimit  = 1.2
	driftGain   = 0.25
	// suspectDrift is the limit above which the group is no reference for machines.
	suspectDrift = 0.6

	// minSteps is the number of finished steps before the expectation can be learned.
	minSteps = 8.0
	// learnedRatio is the largest ratio of the squared errors of the learned and the
	// declared prediction at which the learned one is used.
	learnedRatio = 0.75
)

// tailLimit is the residual beyond which a run belongs to the tail, and that to which
// residuals are clamped in the regression: a factor of 3.
var tailLimit = math.Log(3)

// group is the regression of the logarithm of the work on that of the declared
// estimate, with decayed weights.
type group struct {
	// steps is the number of finished steps, without decay and at most maxSteps.
	steps float64
	// weight and meanWork are those of all runs, the others only of runs with a
	// declared estimate. Centred sums keep their precision.
	weight, meanWork               float64
	declaredWeight, meanDeclared   float64
	sumDeclaredSq, sumDeclaredWork float64
	// variance is that of the residuals of predictions made before each run, without
	// the tail.
	variance float64
	// drift is the decayed mean of these residuals in standard deviations.
	drift                             float64
	tailWeight, tailShare, tailFactor float64
	// scoreWeight is the weight of the squared errors of predictions made before each
	// run.
	scoreWeight, declaredError, learnedError float64
}

const maxStepCount = 1e6

func newGroup() group {
	return group{variance: initialVariance, tailShare: initialTailShare, tailFactor: initialTailFactor}
}

// slope is between 0 and 1, and near 1 while little is known.
func (g *group) slope() float64 {
	prior := g.variance / (slopeSpread * slopeSpread)
	return clamp((g.sumDeclaredWork+prior)/(g.sumDeclaredSq+prior), 0, 1)
}

// distance returns how far a declared estimate is from the mean, within bounds, so
// that one absurd value does not determine the slope.
func (g *group) distance(declared float64) float64 {
	if g.declaredWeight < unclampedSteps {
		return declared - g.meanDeclared
	}
	limit := max(1.5, 3*math.Sqrt(g.sumDeclaredSq/g.declaredWeight))
	return clamp(declared-g.meanDeclared, -limit, limit)
}

// predict returns the expected logarithm of the work; the group has samples, or the
// estimate is declared.
func (g *group) predict(d declaration) float64 {
	switch {
	case !d.known:
		return g.meanWork
	case g.declaredWeight == 0:
		return (g.weight*g.meanWork + priorWeight*d.log) / (g.weight + priorWeight)
	}
	level := (g.weight*g.meanWork + priorWeight*g.meanDeclared) / (g.weight + priorWeight)
	return level + g.slope()*g.distance(d.log)
}

// learned reports whether the prediction is clearly better than the declared estimate.
func (g *group) learned() bool {
	const rounding = 0.01 // sums of shares of steps
	return g.steps >= minSteps-rounding && g.declaredError > 0 && g.learnedError <= learnedRatio*g.declaredError
}

func (g *group) drifting() bool { return math.Abs(g.drift) > driftLimit }

// reference is what a run is compared with: the prediction that was better so far.
func (g *group) reference(d declaration) estimate {
	useful := g.scoreWeight >= initialWeight && g.learnedError < g.declaredError
	if !useful && d.known {
		return estimate{mean: d.log, variance: g.declaredSpread(declaredVariance)}
	}
	variance := g.variance * (1 + 2/(g.weight+1))
	if math.Abs(g.drift) > suspectDrift {
		variance *= 4
	}
	return estimate{mean: g.predict(d), variance: variance}
}

// declaredSpread is the mean squared error of the declared estimate, near initial
// while little is known.
func (g *group) declaredSpread(initial float64) float64 {
	return min(1, (g.scoreWeight*g.declaredError+initialWeight*initial)/(g.scoreWeight+initialWeight))
}

// learn adds the work of a run that counts as weight steps.
func (g *group) learn(d declaration, work, weight float64) {
	if g.weight > 0 || d.known {
		expected := g.predict(d)
		g.score(d, expected, work, weight)
		residual := work - expected
		g.observeTail(residual, weight)
		residual = clamp(residual, -tailLimit, tailLimit)
		if g.weight >= unclampedSteps {
			work = expected + residual
		}
		g.observeDrift(residual, weight)
	}
	g.regress(d, work, weight)
	g.steps = min(g.steps+weight, maxStepCount)
	g.round()
}

func (g *group) score(d declaration, expected, work, weight float64) {
	if !d.known {
		return
	}
	g.scoreWeight = g.scoreWeight*(1-weight*scoreForget) + weight
	share := weight / g.scoreWeight
	g.declaredError += share * (square(clamp(work-d.log, -maxError, maxError)) - g.declaredError)
	g.learnedError += share * (square(clamp(work-expected, -maxError, maxError)) - g.learnedError)
}

// observeTail updates the tail and the variance, unless the group drifts: then the
// residuals tell about the change alone. Residuals beyond a factor of 3 on either side
// are left out of the variance: a shift of the level would inflate it and thereby hide
// itself from observeDrift.
func (g *group) observeTail(residual, weight float64) {
	if g.drifting() && residual*g.drift > 0 {
		return
	}
	tail := residual > tailLimit
	if math.Abs(residual) <= tailLimit {
		g.variance += weight / (g.weight + initialWeight) * (square(residual) - g.variance)
		g.variance = max(g.variance, minVariance)
	}
	if g.steps < minSteps/2 {
		return
	}
	g.tailWeight = g.tailWeight*(1-weight*tailForget) + weight
	share := weight / (g.tailWeight + initialTailWeight)
	if !tail {
		g.tailShare -= share * g.tailShare
		return
	}
	g.tailShare += share * (1 - g.tailShare)
	g.tailFactor += 0.2 * weight * (min(residual, maxError) - g.tailFactor)
}

func (g *group) observeDrift(residual, weight float64) {
	const limit = 2.5 // standard deviations
	deviation := clamp(residual/math.Sqrt(g.variance), -limit, limit)
	g.drift += driftForget * weight * (deviation - g.drift)
	if g.drifting() && residual*g.drift > 0 {
		g.meanWork += driftGain * weight * residual
	}
}

func (g *group) regress(d declaration, work, weight float64) {
	keep := 1 - weight*groupForget
	g.weight = g.weight*keep + weight
	workDistance := work - g.meanWork
	g.meanWork += weight / g.weight * workDistance
	g.declaredWeight *= keep
	g.sumDeclaredSq *= keep
	g.sumDeclaredWork *= keep
	if !d.known {
		return
	}
	if g.declaredWeight == 0 {
		g.meanDeclared = d.log
	}
	distance := g.distance(d.log)
	g.declaredWeight += weight
	moved := weight / g.declaredWeight * distance
	g.meanDeclared += moved
	g.sumDeclaredSq += weight * distance * (distance - moved)
	g.sumDeclaredWork += weight * (distance - moved) * workDistance
}

// censor adds a run that was cut short and had more work than expected. It moves the
// level half as far as a finished run.
func (g *group) censor(d declaration, work, weight float64) {
	if g.weight == 0 {
		return
	}
	excess := clamp(work-g.predict(d), 0, tailLimit)
	g.meanWork += weight / 2 / (g.weight + priorWeight) * excess
	g.round()
}

// round keeps six decimals, so that a snapshot is short and restores the same values.
func (g *group) round() {
	for _, value := range g.values() {
		*value = math.Round(*value*1e6) / 1e6
	}
}

// values lists the fields in the order of the snapshot.
func (g *group) values() [groupValues]*float64 {
	return [groupValues]*float64{
		&g.steps, &g.weight, &g.meanWork, &g.declaredWeight, &g.meanDeclared, &g.sumDeclaredSq,
		&g.sumDeclaredWork, &g.variance, &g.drift, &g.tailWeight, &g.tailShare, &g.tailFactor,
		&g.scoreWeight, &g.declaredError, &g.learnedError,
	}
}

const groupValues = 15

func square(x float64) float64 { return x * x }

func clamp(x, low, high float64) float64 { return min(max(x, low), high) }
