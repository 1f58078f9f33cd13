package jobmeter

import "testing"

// BenchmarkDecisions measures the decisions at the size to design for, for use
// with the profiler.
func BenchmarkDecisions(b *testing.B) {
	for b.Loop() {
		m := measureSize(1, 700)
		b.ReportMetric(float64(m.decisionQuantile(0.99).Microseconds()), "p99-us")
		b.ReportMetric(float64(m.decisionQuantile(0.5).Microseconds()), "p50-us")
	}
}
