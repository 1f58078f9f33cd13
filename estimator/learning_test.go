package estimator_test

import (
	"math"
	"slices"
	"testing"
	"time"

	"cranberrystack.dev/cranberrystack/estimator"
)

// TestExpectation guards against expectations that follow declared values which mean
// nothing, that ignore those which mean much, and that a few long steps spoil.
func TestExpectation(t *testing.T) {
	tests := []struct {
		name    string
		prepare func(*world)
		// maxDeviation is that of the logarithm of the median after 60 steps.
		maxDeviation float64
		learned      bool
		slope        [2]float64
	}{
		{"declared values mean nothing", func(w *world) { w.spread = 0.25 }, 0.25, true, [2]float64{0, 0.3}},
		{"declared values explain a quarter", func(w *world) { w.slope, w.spread, w.declaredSpread = 0.25, 0.38, 1 }, 0.35, true, [2]float64{0, 0.55}},
		{"declared values are right", func(w *world) { w.slope = 1 }, 0.001, false, [2]float64{0.8, 1}},
		{"constant factor of 3", func(w *world) { w.slope, w.factor = 1, 3 }, 0.15, true, [2]float64{0.8, 1}},
		{"constant factor of 0.1", func(w *world) { w.slope, w.factor = 1, 0.1 }, 0.2, true, [2]float64{0.8, 1}},
		{"3 % at seven times the work", func(w *world) { w.slope, w.factor, w.tail = 1, 3, 0.03 }, 0.25, true, [2]float64{0.6, 1}},
		{"wide steps on uneven machines", func(w *world) {
			w.spread, w.tail, w.width, w.paces = 0.25, 0.03, 8, unevenPaces()
		}, 0.3, true, [2]float64{0, 0.35}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			eachSeed(t, func(t *testing.T, seed uint64) {
				w := newWorld(seed)
				test.prepare(w)
				w.runSteps(60)
				if got := w.deviation(); got > test.maxDeviation {
					t.Errorf("deviation %.3f, want at most %.3f", got, test.maxDeviation)
				}
				view := w.Groups()[0]
				if view.Learned != test.learned || view.Slope < test.slope[0] || view.Slope > test.slope[1] {
					t.Errorf("learned %v with slope %.2f, want %v with %.2f", view.Learned, view.Slope, test.learned, test.slope)
				}
			})
		})
	}
}

// TestTail guards against quantiles and means that leave out the long steps, or count
// them as the usual case.
func TestTail(t *testing.T) {
	var shares, means []float64
	for seed := range uint64(20) {
		w := newWorld(seed)
		w.tail = 0.03
		w.runSteps(300)
		shares = append(shares, w.Groups()[0].TailShare)
		expected := w.Expect(group, "", typical)
		means = append(means, float64(expected.Mean)/float64(expected.Median))
		if q := w.Quantile(group, "", typical, 0.9); q < typical || q > 2*typical {
			t.Errorf("seed %d: 0.9 quantile %v of a usual %v", seed, q, typical)
		}
		if q := w.Quantile(group, "", typical, 0.995); q < 4*typical {
			t.Errorf("seed %d: 0.995 quantile %v does not show the tail", seed, q)
		}
		if low, high := w.Quantile(group, "", typical, 0.2), w.Quantile(group, "", typical, 0.8); low >= high {
			t.Errorf("seed %d: quantiles fall: %v, %v", seed, low, high)
		}
	}
	slices.Sort(shares)
	slices.Sort(means)
	if got := shares[len(shares)/2]; got < 0.015 || got > 0.05 {
		t.Errorf("median of the tail's share: %.3f, want about 0.03", got)
	}
	// 0.97 + 0.03 x 7 is 1.18; the spread of 0.21 adds 2 %.
	if got := means[len(means)/2]; got < 1.05 || got > 1.4 {
		t.Errorf("mean is %.2f times the median, want about 1.2", got)
	}
}

// TestChangeIsTracked guards against estimates that describe the behaviour of hours ago:
// the page requires tracking within about 20 runs.
func TestChangeIsTracked(t *testing.T) {
	for _, factor := range []float64{3, 6, 1.0 / 3, 1.0 / 6} {
		var after []float64
		for seed := range uint64(20) {
			w := newWorld(seed)
			w.tail = 0.03
			w.runSteps(60)
			w.factor = factor
			after = append(after, w.runSteps(20).deviation())
		}
		slices.Sort(after)
		if got := after[len(after)*9/10]; got > 0.35 {
			t.Errorf("factor %.2f: deviation %.2f after 20 runs, want at most 0.35", factor, got)
		}
	}
}

// TestFewSamples guards against expectations from too little evidence: below 8
// finished steps the declared estimate serves, however many tasks the steps have.
func TestFewSamples(t *testing.T) {
	tests := []struct {
		steps, width int
		learned      bool
	}{
		{0, 1, false}, {1, 1, false}, {7, 1, false}, {12, 1, true}, {3, 40, false}, {7, 8, false}, {12, 8, true},
	}
	for _, test := range tests {
		w := newWorld(7)
		w.slope, w.factor, w.width, w.paces = 1, 3, test.width, slices.Repeat([]float64{1}, 40)
		w.runSteps(test.steps)
		got := w.Expect(group, "another", typical)
		if got.Learned != test.learned {
			t.Errorf("%d steps of %d tasks: learned %v, want %v", test.steps, test.width, got.Learned, test.learned)
		}
		if !got.Learned && (got.Mean != typical || got.Median != typical) {
			t.Errorf("%d steps of %d tasks: %v and %v, want the declared %v", test.steps, test.width, got.Mean, got.Median, typical)
		}
		if got.Samples > test.steps {
			t.Errorf("%d steps of %d tasks count as %d", test.steps, test.width, got.Samples)
		}
	}
}

// TestSlopeOfFewSamples guards against a slope from noise: declared estimates that
// differ little cannot show that they mean nothing.
func TestSlopeOfFewSamples(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		w := newWorld(seed)
		w.slope, w.factor, w.declaredSpread, w.spread = 1, 3, 0.05, 0.4
		if got := w.runSteps(10).Groups()[0].Slope; got < 0.7 {
			t.Errorf("slope %.2f after 10 steps, want at least 0.7", got)
		}
	})
}

// TestAbsurdDeclared guards against one declared value that outweighs all others in the
// slope, whether it is the first or comes before a change.
func TestAbsurdDeclared(t *testing.T) {
	for _, before := range []int{0, 20} {
		var slopes []float64
		for seed := range uint64(20) {
			w := newWorld(seed)
			w.slope = 1
			w.runSteps(before)
			w.Record(estimator.Sample{Group: group, Declared: 24 * time.Hour, Elapsed: typical, Tasks: 1, Ended: true}, 0)
			w.slope = 0
			slopes = append(slopes, w.runSteps(40).Groups()[0].Slope)
		}
		slices.Sort(slopes)
		if got := slopes[len(slopes)*9/10]; got > 0.45 {
			t.Errorf("after %d steps: slope %.2f 40 steps later, want at most 0.45", before, got)
		}
	}
}

// TestWithoutDeclared guards against an estimate of 0 taken at its word.
func TestWithoutDeclared(t *testing.T) {
	e := estimator.New()
	other := estimator.Group{Queue: "new"}
	if got := e.Expect(group, "", 0); got != (estimator.Expectation{}) || e.Quantile(group, "", 0, 0.9) != 0 {
		t.Errorf("without samples: %+v, want nothing", got)
	}
	if got := e.Quantile(group, "", typical, 0.9); got < 1400*typical/1000 || got > 1600*typical/1000 {
		t.Errorf("0.9 quantile of a declared %v is %v, want 1.5 times that", typical, got)
	}
	for range 20 {
		e.Record(estimator.Sample{Group: group, Elapsed: typical, Tasks: 1, Ended: true}, 0)
	}
	for _, g := range []estimator.Group{group, other} {
		if got := e.Expect(g, "", 0); got.Median < typical*9/10 || got.Median > typical*11/10 || !got.Learned {
			t.Errorf("%v: %+v, want a median of %v", g, got, typical)
		}
	}
	if got := e.Expect(group, "", time.Minute); got.Learned {
		t.Errorf("a declared estimate that was never compared was replaced: %+v", got)
	}
	for range 20 {
		e.Record(estimator.Sample{Group: group, Declared: 3 * typical, Elapsed: typical, Tasks: 1, Ended: true}, 0)
	}
	if got := e.Expect(group, "", 3*typical); !got.Learned || got.Median < typical*8/10 || got.Median > typical*12/10 {
		t.Errorf("with a declared estimate after runs without: %+v, want a median of %v", got, typical)
	}
}

// TestFinishedTasksOfTheStep guards against a long step that is taken for a usual one
// although some of its tasks have ended.
func TestFinishedTasksOfTheStep(t *testing.T) {
	for _, steps := range []int{0, 60} {
		w := newWorld(3).runSteps(steps)
		for _, machine := range []string{"a", "b", "c"} {
			w.Record(estimator.Sample{
				Group: group, Step: "long", Machine: machine, Declared: typical, Elapsed: 7 * typical, Tasks: 10, Ended: true,
			}, 0)
		}
		if got := w.Expect(group, "long", typical).Median; got < 5*typical || got > 9*typical {
			t.Errorf("after %d steps: %v for a step whose tasks took %v", steps, got, 7*typical)
		}
		if got := w.Expect(group, "other", typical).Median; got > 2*typical {
			t.Errorf("after %d steps: %v for other steps because of one long step", steps, got)
		}
	}
}

// TestCensored guards against stopped runs that shorten an expectation, or that have
// no effect although they show that tasks take longer.
func TestCensored(t *testing.T) {
	tests := []struct {
		name    string
		elapsed time.Duration
		runs    int
		low     float64
		high    float64
	}{
		{"shorter than expected", typical / 10, 50, 1, 1},
		{"longer than expected", 3 * typical, 1, 1.001, 1.05},
		{"absurdly long", 1000 * time.Hour, 1, 1.001, 1.05},
		{"many of a partition", 3 * typical, 200, 1.5, 3.5},
	}
	for _, test := range tests {
		w := newWorld(5).runSteps(60)
		before := w.Expect(group, "", typical).Median
		for range test.runs {
			w.Record(estimator.Sample{Group: group, Machine: "a", Declared: typical, Elapsed: test.elapsed, Tasks: 1}, 0)
		}
		got := float64(w.Expect(group, "", typical).Median) / float64(before)
		if got < test.low || got > test.high {
			t.Errorf("%s: expectation changed by %.3f, want %.3f to %.3f", test.name, got, test.low, test.high)
		}
		if _, known := w.Pace("a"); known {
			t.Errorf("%s: a run that was cut short told a pace", test.name)
		}
	}
	empty := estimator.New()
	empty.Record(estimator.Sample{Group: group, Declared: typical, Elapsed: time.Hour, Tasks: 1}, 0)
	if got := empty.Expect(group, "", typical); got.Learned || got.Median != typical {
		t.Errorf("without finished runs: %+v, want the declared estimate", got)
	}
}

// TestAbsurdValues guards against single values that spoil an expectation or a pace,
// and against results that are not numbers.
func TestAbsurdValues(t *testing.T) {
	const day = 24 * time.Hour
	values := []time.Duration{math.MinInt64, -time.Second, 0, 1, day, math.MaxInt64}
	for _, declared := range values {
		for _, elapsed := range values {
			w := newWorld(11)
			w.slope, w.factor, w.width, w.paces = 1, 3, 8, slices.Repeat([]float64{1}, 16)
			w.runSteps(60)
			before, slope := w.Expect(group, "", typical).Median, w.Groups()[0].Slope
			machine := machineName(0)
			pace, _ := w.Pace(machine)
			w.Record(estimator.Sample{
				Group: group, Step: "step-60", Machine: machine, Declared: declared, Elapsed: elapsed, Tasks: -1, Ended: true,
			}, math.MinInt64)
			if got := w.Groups()[0].Slope; math.Abs(got-slope) > 0.25 {
				t.Errorf("declared %v, elapsed %v: slope changed from %.2f to %.2f", declared, elapsed, slope, got)
			}
			change := math.Abs(math.Log(float64(w.Expect(group, "", typical).Median) / float64(before)))
			if !(change < 0.1) {
				t.Errorf("declared %v, elapsed %v: expectation changed by %.3f", declared, elapsed, change)
			}
			after, known := w.Pace(machine)
			if change := math.Abs(math.Log(after / pace)); !known || !(change < 0.2) {
				t.Errorf("declared %v, elapsed %v: pace changed by %.3f", declared, elapsed, change)
			}
			for _, p := range []float64{math.NaN(), math.Inf(-1), -1, 0, 1, 2} {
				if q := w.Quantile(group, "", declared, p); q < 0 || q > 8*day {
					t.Errorf("quantile %v of %v is %v", p, declared, q)
				}
			}
		}
	}
}

// TestStatistics guards against errors that operators cannot compare with the factor
// between run times and declared estimates.
func TestStatistics(t *testing.T) {
	w := newWorld(1)
	w.slope, w.factor = 1, 3
	w.runSteps(100)
	got := w.Statistics()
	if got.Groups != 1 || got.Machines != 1 || got.Steps != 100 || got.Samples != 100 {
		t.Errorf("%+v, want 1 group, 1 machine, 100 steps and samples", got)
	}
	if math.Abs(got.DeclaredError-math.Log(3)) > 0.15 || got.LearnedError > 0.35 {
		t.Errorf("errors %.2f and %.2f, want about %.2f and 0.2", got.DeclaredError, got.LearnedError, math.Log(3))
	}
	view := w.Groups()[0]
	factor := float64(view.TypicalElapsed) / float64(view.TypicalDeclared)
	if factor < 2.5 || factor > 3.5 || math.Abs(view.Spread-0.21) > 0.08 {
		t.Errorf("factor %.2f and spread %.2f, want about 3 and 0.21", factor, view.Spread)
	}
}
