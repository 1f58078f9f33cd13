package estimator

import (
	"math"
	"time"
)

// minStepTasks is the number of finished tasks after which a step's own run times
// replace the declared estimate even if the group's expectation does not.
const minStepTasks = 2

// forecast is the distribution of the logarithm of a run time at the usual pace: a
// normal distribution, and a tail of long steps.
type forecast struct {
	estimate
	tailShare, tailFactor float64
	learned               bool
	// unknown means that there is neither a declared estimate nor a sample.
	unknown bool
}

// expect returns the forecast for a task; g and st are nil if unknown.
func (e *Estimator) expect(g *group, st *step, d declaration) forecast {
	f := e.expectGroup(g, d)
	if st == nil || !f.learned && st.finished < minStepTasks {
		return f
	}
	own := st.all()
	if own.precision == 0 {
		return f
	}
	if f.unknown {
		f.variance = declaredVariance
		f.mean = float64(own.mean) * paceUnit
	}
	blended := blend(f.estimate, own)
	blended.variance += stepVariance
	return forecast{estimate: blended, learned: true}
}

func (e *Estimator) expectGroup(g *group, d declaration) forecast {
	seen := g != nil && g.weight > 0
	switch {
	case seen && (g.learned() || !d.known):
		return forecast{
			estimate:  estimate{mean: g.predict(d), variance: g.variance},
			tailShare: g.tailShare, tailFactor: g.tailFactor, learned: true,
		}
	case d.known && seen:
		return forecast{estimate: estimate{mean: d.log, variance: g.declaredSpread(bodyVariance)}}
	case d.known:
		return forecast{estimate: estimate{mean: d.log, variance: bodyVariance}}
	case e.allWeight > 0:
		return forecast{estimate: estimate{mean: e.allWork, variance: declaredVariance}, learned: true}
	}
	return forecast{unknown: true}
}

// find returns the forecast for a task of a step.
func (e *Estimator) find(g Group, step string, d declaration) (forecast, *group) {
	of := e.groups.get(g)
	if of == nil || step == "" {
		return e.expect(of, nil, d), of
	}
	return e.expect(of, e.steps.get(stepKey(g, step)), d), of
}

// Expect returns the expected run time of a task at the usual pace. A declared value of
// 0 is no estimate: then the group's mean serves, or that of all groups.
func (e *Estimator) Expect(g Group, step string, declared time.Duration) Expectation {
	f, of := e.find(g, step, newDeclaration(declared))
	var x Expectation
	if of != nil {
		x.Samples = int(math.Round(of.weight))
	}
	switch {
	case f.unknown:
	case !f.learned:
		x.Mean, x.Median = declared, declared
	default:
		x.Learned = true
		x.Median = fromLog(f.mean)
		x.Mean = fromLog(f.mean + f.variance/2 + math.Log(1+f.tailShare*(math.Exp(f.tailFactor)-1)))
	}
	return x
}

// Quantile returns the run time at the usual pace that a share p of the runs does not
// exceed. Without samples, the declared estimate is the median.
func (e *Estimator) Quantile(g Group, step string, declared time.Duration, p float64) time.Duration {
	f, _ := e.find(g, step, newDeclaration(declared))
	if f.unknown {
		return 0
	}
	return fromLog(f.quantile(p))
}

// quantile returns the logarithm of a quantile. Shares outside 0.001 to 0.999 are
// clamped, since the model tells nothing about them; NaN is taken as the median.
func (f forecast) quantile(p float64) float64 {
	if math.IsNaN(p) {
		p = 0.5
	}
	p = clamp(p, 0.001, 0.999)
	spread := math.Sqrt(f.variance)
	if body := 1 - f.tailShare; p < body {
		return f.mean + spread*normalQuantile(min(p/body, 0.999))
	}
	rank := (p - (1 - f.tailShare)) / f.tailShare
	tail := f.mean + f.tailFactor + spread*normalQuantile(clamp(rank, 0.001, 0.999))
	return max(tail, f.mean+spread*normalQuantile(0.999))
}

func normalQuantile(p float64) float64 { return math.Sqrt2 * math.Erfinv(2*p-1) }

// Pace returns a machine's speed relative to the usual one, and whether it is known.
// It is 1 if it is not.
func (e *Estimator) Pace(machine string) (pace float64, known bool) {
	m := e.machines.get(machine)
	if m == nil || !m.known() {
		return 1, false
	}
	return math.Exp(e.machines.relative(m)), true
}
