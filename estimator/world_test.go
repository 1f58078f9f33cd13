package estimator_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"cranberrystack.dev/cranberrystack/estimator"
)

// world draws runs as demand.md describes them. The zero values of its fields mean:
// tasks are alone in their step, run times do not depend on the declared estimate, and
// all machines have the usual pace.
type world struct {
	*estimator.Estimator
	rng *rand.Rand
	// slope and factor relate the work to the declared estimate; spread is the
	// standard deviation of its logarithm from step to step.
	slope, factor, spread float64
	// declaredSpread is the standard deviation of the logarithm of what is declared.
	declaredSpread float64
	// tail is the share of steps that take seven times as long.
	tail     float64
	width    int
	paces    []float64
	gang     bool
	steps    int
	recorded int
}

const typical = 2 * time.Second

var group = estimator.Group{Queue: "route-plan", Image: "solver:3"}

func newWorld(seed uint64) *world {
	return &world{
		Estimator: estimator.New(), rng: rand.New(rand.NewPCG(seed, 1)),
		factor: 1, spread: 0.15, declaredSpread: 0.8, width: 1, paces: []float64{1},
	}
}

// unevenPaces are those of 40 machines: a quarter at 0.55, the others at 1.2.
func unevenPaces() []float64 {
	paces := make([]float64, 40)
	for i := range paces {
		paces[i] = 1.2
		if i%4 == 0 {
			paces[i] = 0.55
		}
	}
	return paces
}

func scaleLog(d time.Duration, log float64) time.Duration {
	return time.Duration(float64(d) * math.Exp(log))
}

// expected is the median work for a declared estimate.
func (w *world) expected(declared time.Duration) time.Duration {
	return scaleLog(typical, w.slope*math.Log(float64(declared)/float64(typical))+math.Log(w.factor))
}

func (w *world) declare() time.Duration {
	return scaleLog(typical, w.declaredSpread*w.rng.NormFloat64())
}

// runStep records all tasks of one step, each on a machine of its own.
func (w *world) runStep() {
	w.steps++
	declared := w.declare()
	work := scaleLog(w.expected(declared), w.spread*w.rng.NormFloat64())
	if w.rng.Float64() < w.tail {
		work *= 7
	}
	var slowest time.Duration
	samples := make([]estimator.Sample, 0, w.width)
	for _, machine := range w.rng.Perm(len(w.paces))[:w.width] {
		elapsed := scaleLog(work, 0.15*w.rng.NormFloat64()-math.Log(w.paces[machine]))
		slowest = max(slowest, elapsed)
		samples = append(samples, estimator.Sample{
			Group: group, Step: fmt.Sprintf("step-%d", w.steps), Machine: machineName(machine),
			Declared: declared, Elapsed: elapsed, Tasks: w.width, Gang: w.gang, Ended: true,
		})
	}
	for _, s := range samples {
		if w.gang {
			s.Elapsed = slowest
		}
		w.recorded++
		w.Record(s, int64(w.recorded))
	}
}

func (w *world) runSteps(n int) *world {
	for range n {
		w.runStep()
	}
	return w
}

func machineName(n int) string { return fmt.Sprintf("worker-%04d", n) }

// deviation is the root mean squared error of the logarithm of the expected median
// over what callers declare.
func (w *world) deviation() float64 {
	var sum float64
	const n = 200
	for range n {
		declared := w.declare()
		got := w.Expect(group, "", declared).Median
		difference := math.Log(float64(got) / float64(w.expected(declared)))
		sum += difference * difference
	}
	return math.Sqrt(sum / n)
}

// eachSeed runs a test with several seeds.
func eachSeed(t *testing.T, run func(t *testing.T, seed uint64)) {
	t.Helper()
	for seed := range uint64(20) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { run(t, seed) })
	}
}
