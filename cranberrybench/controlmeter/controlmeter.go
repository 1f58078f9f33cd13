// Package controlmeter measures the control plane.
package controlmeter

import "cranberrystack.dev/cranberrybench/reporter"

// Measure measures.
func Measure(uint64) ([]*reporter.Report, error) { return nil, nil }
