package estimator_test

import (
	"math"
	"slices"
	"testing"

	"cranberrystack.dev/cranberrystack/estimator"
)

// TestTwoKindsOfMachines guards against slow machines that are not told from long
// tasks. After each machine had about five runs, it must be on its side of the middle
// between both kinds; the declared values mean nothing.
func TestTwoKindsOfMachines(t *testing.T) {
	middle := math.Sqrt(0.55 * 1.2)
	for _, tail := range []float64{0, 0.03} {
		wrong, known, total := 0, 0, 0
		for seed := range uint64(20) {
			w := newWorld(seed)
			w.spread, w.tail, w.width, w.paces = 0.25, tail, 8, unevenPaces()
			w.runSteps(25) // 25 x 8 runs on 40 machines
			for i, truth := range w.paces {
				total++
				pace, isKnown := w.Pace(machineName(i))
				if !isKnown {
					continue
				}
				known++
				if (pace < middle) != (truth < middle) {
					wrong++
				}
			}
		}
		if known < total*3/4 || wrong*100 > known {
			t.Errorf("tail %.2f: %d of %d paces known, %d on the wrong side", tail, known, total, wrong)
		}
	}
}

// TestPaceError guards against paces that are biased, or too noisy to tell a deviation
// of a fifth.
func TestPaceError(t *testing.T) {
	var errors []float64
	for seed := range uint64(10) {
		w := newWorld(seed)
		w.tail, w.width, w.paces = 0.03, 8, unevenPaces()
		w.runSteps(100)
		for i, truth := range w.paces {
			pace, _ := w.Pace(machineName(i))
			errors = append(errors, math.Abs(math.Log(pace/truth)))
		}
	}
	slices.Sort(errors)
	if got := errors[len(errors)*9/10]; got > 0.16 {
		t.Errorf("0.9 quantile of the errors of paces: %.2f, want at most 0.16", got)
	}
}

// TestPaceOfLoneTasks guards against machines that stay unknown because no step has a
// second task: then the group's expectation is the reference.
func TestPaceOfLoneTasks(t *testing.T) {
	w := newWorld(1)
	w.paces = []float64{0.55, 1.2, 1.2, 1.2}
	w.runSteps(100)
	for i, truth := range w.paces {
		if pace, known := w.Pace(machineName(i)); !known || math.Abs(math.Log(pace/truth)) > 0.25 {
			t.Errorf("machine %d: pace %.2f (known %v), want %.2f", i, pace, known, truth)
		}
	}
}

// TestMachineRecovers guards against machines that stay slow for the planner after
// they have recovered, or have been replaced.
func TestMachineRecovers(t *testing.T) {
	for _, change := range [][2]float64{{0.55, 1.2}, {1.2, 0.55}} {
		var after []float64
		for seed := range uint64(20) {
			w := newWorld(seed)
			w.width, w.paces = 8, slices.Repeat([]float64{1}, 20)
			w.paces[0] = change[0]
			w.runSteps(40)
			w.paces[0] = change[1]
			w.runSteps(13) // 13 x 8 runs on 20 machines: about five on each
			pace, _ := w.Pace(machineName(0))
			after = append(after, math.Abs(math.Log(pace/change[1])))
		}
		slices.Sort(after)
		if got := after[len(after)/2]; got > 0.2 {
			t.Errorf("from %.2f to %.2f: off by %.2f after about five runs", change[0], change[1], got)
		}
	}
}

// TestPaceUnknown guards against paces from less than three comparisons.
func TestPaceUnknown(t *testing.T) {
	e := estimator.New()
	for i, step := range []string{"a", "b", "c", "d"} {
		if pace, known := e.Pace("slow"); i < 3 && (known || pace != 1) {
			t.Errorf("after %d runs: pace %.2f, known %v", i, pace, known)
		}
		for _, machine := range []string{"x", "y", "z"} {
			e.Record(sample(step, machine, 1), 0)
		}
		e.Record(sample(step, "slow", 2), 0)
	}
	if pace, known := e.Pace("slow"); !known || pace > 0.8 {
		t.Errorf("after four runs at twice the time: pace %.2f, known %v", pace, known)
	}
}

// sample is a finished run of a wide step, at a multiple of the declared time.
func sample(step, machine string, factor float64) estimator.Sample {
	return estimator.Sample{
		Group: group, Step: step, Machine: machine, Declared: typical,
		Elapsed: scaleLog(typical, math.Log(factor)), Tasks: 8, Ended: true,
	}
}

// TestWholeStepsOnOneMachine guards against the comparison of a machine with itself: a
// slow machine that runs all tasks of its steps would have the usual pace.
func TestWholeStepsOnOneMachine(t *testing.T) {
	w := newWorld(4)
	w.slope, w.width, w.paces = 1, 4, slices.Repeat([]float64{1}, 8)
	w.runSteps(60)
	for range 16 {
		w.Record(sample("a", "own", 2), 0)
	}
	if pace, known := w.Pace("own"); !known || pace > 0.6 {
		t.Errorf("pace %.2f, known %v, want about 0.5", pace, known)
	}
}

// TestLongLoneTask guards against machines that count as slow since they ran one of the
// long steps.
func TestLongLoneTask(t *testing.T) {
	w := newWorld(6)
	w.slope, w.paces = 1, []float64{1, 1}
	w.runSteps(60)
	w.Record(sample("long", "new", 7), 0)
	for i, step := range []string{"a", "b", "c"} {
		w.Record(sample(step, "new", 1), int64(i))
	}
	if pace, known := w.Pace("new"); !known || pace < 0.9 {
		t.Errorf("pace %.2f, known %v, want about 1", pace, known)
	}
}

// TestGangs guards against gangs whose slow member makes all members slow, or makes
// the group's tasks long.
func TestGangs(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		w := newWorld(seed)
		w.width, w.paces = 8, unevenPaces()
		w.runSteps(30)
		before := w.Machines()
		w.gang = true
		w.runSteps(40)
		if !slices.Equal(before, w.Machines()) {
			t.Error("gangs changed paces")
		}
		if got := w.deviation(); got > 0.3 {
			t.Errorf("deviation %.2f, want at most 0.3", got)
		}
	})
	w := newWorld(2)
	w.width, w.paces, w.gang = 8, unevenPaces(), true
	w.runSteps(60)
	if got := w.deviation(); got > 1 || len(w.Machines()) != 0 {
		t.Errorf("gangs on unknown machines: deviation %.2f, want at most 1, and %d machines, want none", got, len(w.Machines()))
	}
}
