package jobmeter

import "testing"

// BenchmarkDecisions measures decisions with 700 workers, the size that the
// engine is designed for. It is meant for profiling.
func BenchmarkDecisions(b *testing.B) {
	for b.Loop() {
		m := measureSize(1, 700)
		b.ReportMetric(float64(m.decisionQuantile(0.99).Microseconds()), "p99-us")
		b.ReportMetric(float64(m.decisionQuantile(0.5).Microseconds()), "p50-us")
	}
}
