// Package command implements the cranberrybench commands.
package command

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"cranberrystack.dev/cranberrybench/controlmeter"
	"cranberrystack.dev/cranberrybench/jobmeter"
	"cranberrystack.dev/cranberrybench/reporter"
	"cranberrystack.dev/cranberrybench/requestmeter"
)

// Execute runs the command line and returns the exit code.
func Execute(arguments []string, out, errOut io.Writer) int {
	root := &cobra.Command{
		Use: "cranberrybench", Short: "Benchmarks of cranberrystack against simple baselines",
		SilenceUsage: true, SilenceErrors: true,
	}
	root.SetArgs(arguments)
	root.SetOut(out)
	root.SetErr(errOut)
	var output string
	var seed uint64
	root.PersistentFlags().StringVar(&output, "output", "table", "\"table\" for people or \"json\" for programs")
	root.PersistentFlags().Uint64Var(&seed, "seed", 1, "the seed of the random number generators")
	add := func(use, short string, measure func(seed uint64) ([]*reporter.Report, error)) {
		root.AddCommand(&cobra.Command{
			Use: use, Short: short, Args: cobra.NoArgs,
			RunE: func(cmd *cobra.Command, _ []string) error {
				reports, err := measure(seed)
				if err != nil {
					return err
				}
				for _, report := range reports {
					if err := report.Print(cmd.OutOrStdout(), output == "json"); err != nil {
						return err
					}
				}
				return nil
			},
		})
	}
	add("requests", "Measure requests over loopback against round-robin with queues at the upstreams", requestmeter.Measure)
	add("control", "Measure how soon a change of the lists is in force, and the cost of the control plane", controlmeter.Measure)
	add("jobs", "Measure placement decisions against first-come first-fit", jobmeter.Measure)
	if err := root.Execute(); err != nil {
		fmt.Fprintln(errOut, "cranberrybench:", err)
		return 1
	}
	return 0
}
