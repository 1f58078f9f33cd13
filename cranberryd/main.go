// Command cranberryd is the daemon of cranberrystack.
package main

import (
	"os"

	"cranberrystack.dev/cranberryd/command"
)

func main() {
	os.Exit(command.Execute(os.Args[1:], os.Stdout, os.Stderr))
}
