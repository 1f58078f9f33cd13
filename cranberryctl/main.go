// Command cranberryctl is the command-line client for operators and callers.
package main

import (
	"os"

	"cranberrystack.dev/cranberryctl/command"
)

func main() {
	os.Exit(command.Execute(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}
