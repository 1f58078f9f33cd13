// Command cranberryd runs a process of cranberrystack, a scheduler for
// accelerator jobs and requests.
package main

import (
	"os"

	"cranberrystack.dev/cranberryd/command"
)

func main() {
	os.Exit(command.Execute(os.Args[1:], os.Stdout, os.Stderr))
}
