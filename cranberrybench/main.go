// Command cranberrybench measures cranberrystack against plain baselines.
package main

import (
	"os"

	"cranberrystack.dev/cranberrybench/command"
)

func main() {
	os.Exit(command.Execute(os.Args[1:], os.Stdout, os.Stderr))
}
