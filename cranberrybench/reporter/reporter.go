// Package reporter prints measurements as tables or as JSON.
package reporter

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// Row is one quantity, measured for each column of the report.
type Row struct {
	// Name says what is measured.
	Name string `json:"figure"`
	// Values has one measurement for each column of the report; missing ones
	// are printed as "-" in the table.
	Values []float64 `json:"values"`
	Unit   string    `json:"unit"`
	// Goal is the target in words, for example "<= 0.5"; empty if there is none.
	Goal string `json:"goal,omitempty"`
}

// Report holds the measurements of one run.
type Report struct {
	Title   string   `json:"title"`
	Seed    uint64   `json:"seed"`
	Columns []string `json:"columns"`
	Rows    []Row    `json:"rows"`
}

// Add appends a row.
func (r *Report) Add(name, unit, goal string, values ...float64) {
	r.Rows = append(r.Rows, Row{Name: name, Unit: unit, Goal: goal, Values: values})
}

// Print writes the report to out as a table or as JSON.
func (r *Report) Print(out io.Writer, asJSON bool) error {
	if asJSON {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		if err := encoder.Encode(r); err != nil {
			return fmt.Errorf("print report: %w", err)
		}
		return nil
	}
	fmt.Fprintf(out, "%s (seed %d)\n", r.Title, r.Seed)
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "figure\t"+strings.Join(r.Columns, "\t")+"\tunit\tgoal")
	for _, row := range r.Rows {
		cells := []string{row.Name}
		for i := range r.Columns {
			if i < len(row.Values) {
				cells = append(cells, formatNumber(row.Values[i]))
				continue
			}
			cells = append(cells, "-")
		}
		fmt.Fprintln(w, strings.Join(append(cells, row.Unit, row.Goal), "\t"))
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("print report: %w", err)
	}
	return nil
}

// formatNumber prints whole numbers and those from 1000 without decimals, those
// from 10 with one, and all others with three.
func formatNumber(value float64) string {
	switch {
	case value >= 1000 || value == float64(int64(value)):
		return fmt.Sprintf("%.0f", value)
	case value >= 10:
		return fmt.Sprintf("%.1f", value)
	}
	return fmt.Sprintf("%.3f", value)
}
