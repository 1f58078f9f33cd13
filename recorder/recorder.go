// Package recorder keeps latency histograms by name, member and class, and
// counters by name. It exports both as expvar variables.
package recorder

import (
	"encoding/json"
	"expvar"
	"fmt"
	"sort"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rotisserie/eris"

	"cranberrystack.dev/cranberrystack/identifier"
)

// Histograms record microseconds between minMicros and maxMicros.
const (
	minMicros         = 1
	maxMicros         = int64(24 * time.Hour / time.Microsecond)
	significantDigits = 2
	maxSeries         = 4096
)

// ErrTooManySeries reports that maxSeries histograms exist and no other is
// created. The limit keeps callers from growing memory by inventing labels.
var ErrTooManySeries = eris.New("too many histograms")

// Series identifies one histogram.
type Series struct {
	Name   string
	Member identifier.MemberID
	Class  string
}

// Summary holds the count, mean, quantiles and maximum of a histogram.
type Summary struct {
	Count int64         `json:"count"`
	Mean  time.Duration `json:"mean-ns"`
	P50   time.Duration `json:"p50-ns"`
	P95   time.Duration `json:"p95-ns"`
	P99   time.Duration `json:"p99-ns"`
	Max   time.Duration `json:"max-ns"`
}

// Recorder holds the histograms and counters of one process. It is safe for
// concurrent use.
type Recorder struct {
	mu         sync.Mutex
	histograms map[Series]*hdrhistogram.Histogram
	vars       *expvar.Map
}

// New returns an empty recorder.
func New() *Recorder {
	r := &Recorder{
		histograms: map[Series]*hdrhistogram.Histogram{},
		vars:       new(expvar.Map).Init(),
	}
	r.vars.Set("latency", expvar.Func(r.exportLatency))
	return r
}

// Observe records one duration in a series, limited to between 1 µs and 24 h. It
// returns ErrTooManySeries if the series would be one too many.
func (r *Recorder) Observe(series Series, duration time.Duration) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	histogram, known := r.histograms[series]
	if !known {
		if len(r.histograms) >= maxSeries {
			return ErrTooManySeries
		}
		histogram = hdrhistogram.New(minMicros, maxMicros, significantDigits)
		r.histograms[series] = histogram
	}
	value := min(max(duration.Microseconds(), minMicros), maxMicros)
	if err := histogram.RecordValue(value); err != nil {
		return fmt.Errorf("record duration: %w", err)
	}
	return nil
}

// Summary returns the summary of a series. An unknown series has count 0.
func (r *Recorder) Summary(series Series) Summary {
	r.mu.Lock()
	defer r.mu.Unlock()
	return summarize(r.histograms[series])
}

// Add adds delta to the named counter.
func (r *Recorder) Add(counter string, delta int64) {
	r.vars.Add(counter, delta)
}

// Count returns the value of the named counter, 0 if it does not exist.
func (r *Recorder) Count(counter string) int64 {
	value, ok := r.vars.Get(counter).(*expvar.Int)
	if !ok {
		return 0
	}
	return value.Value()
}

// Publish exports the result of a function under a name. The function is called
// whenever the variables are read.
func (r *Recorder) Publish(name string, value func() any) {
	r.vars.Set(name, expvar.Func(value))
}

// Vars returns all variables, to be served under /debug/vars.
func (r *Recorder) Vars() *expvar.Map {
	return r.vars
}

type exportedSeries struct {
	Name   string              `json:"name"`
	Member identifier.MemberID `json:"member"`
	Class  string              `json:"class"`
	Summary
}

func (r *Recorder) exportLatency() any {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make([]exportedSeries, 0, len(r.histograms))
	for series, histogram := range r.histograms {
		all = append(all, exportedSeries{
			Name: series.Name, Member: series.Member, Class: series.Class,
			Summary: summarize(histogram),
		})
	}
	sort.Slice(all, func(i, j int) bool {
		left, _ := json.Marshal(all[i])
		right, _ := json.Marshal(all[j])
		return string(left) < string(right)
	})
	return all
}

func summarize(histogram *hdrhistogram.Histogram) Summary {
	if histogram == nil {
		return Summary{}
	}
	at := func(quantile float64) time.Duration {
		return time.Duration(histogram.ValueAtQuantile(quantile)) * time.Microsecond
	}
	return Summary{
		Count: histogram.TotalCount(),
		Mean:  time.Duration(histogram.Mean() * float64(time.Microsecond)),
		P50:   at(50),
		P95:   at(95),
		P99:   at(99),
		Max:   time.Duration(histogram.Max()) * time.Microsecond,
	}
}
