// Command rig3 runs one case of the third review against processes of the system. It
// exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
// With TROUBLE=0 it leaves out the disruption.
package main

import (
	"fmt"
	"os"
)

// scenario plays a case and reports whether the rule was broken.
type scenario func(r *record, trouble bool) (bool, error)

var scenarios = map[string]scenario{
	"flap":    playFlap,
	"pending": playPending,
	"reborn":  playReborn,
	"avail":   playAvail,
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig3 CASE FOLDER")
		return 2
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	trouble := os.Getenv("TROUBLE") != "0"
	broken, err := scenarios[os.Args[1]](r, trouble)
	switch {
	case err != nil:
		r.say("the case could not run: %v", err)
		return 2
	case broken:
		r.say("the rule was broken (disruption: %t)", trouble)
		return 1
	}
	r.say("the rule held (disruption: %t)", trouble)
	return 0
}
