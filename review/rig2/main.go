// Program rig2 runs the scripts of the second review. It starts the programs of the
// project on loopback addresses, with stand-ins of clients, operators, executors and the
// platform, and checks one rule by what these have seen.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The exit codes of a script.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// runLimit is the longest time that a script runs.
const runLimit = 115 * time.Second

// errNotRun reports a case that could not run as meant.
var errNotRun = errors.New("the case could not run")

// script runs a case, with the disruption if trouble is set, and returns what broke the
// rule.
type script func(s *system, trouble bool) ([]string, error)

var scripts = map[string]script{
	"ends": runEnds, "writer": runWriter, "flap": runFlap, "stale": runStale, "changes": runChanges, "late": runLate,
}

func main() { os.Exit(run()) }

// run takes the name of a script and the folder of its case, and returns the exit code.
func run() int {
	if len(os.Args) != 3 || scripts[os.Args[1]] == nil {
		fmt.Println("usage: rig2 SCRIPT FOLDER")
		return exitNotRun
	}
	record, err := newRecorder(os.Args[2])
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	defer record.close()
	s, err := newSystem(record)
	if err != nil {
		record.say("not run: %v", err)
		return exitNotRun
	}
	defer s.close()
	trouble := os.Getenv("TROUBLE") != "0"
	record.say("script %s, with the disruption: %v", os.Args[1], trouble)
	result := make(chan int, 1)
	go func() { result <- judge(s, scripts[os.Args[1]], trouble) }()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	select {
	case code := <-result:
		return code
	case <-signals:
		record.say("not run: interrupted")
	case <-time.After(runLimit):
		record.say("not run: it took more than %v", runLimit)
	}
	return exitNotRun
}

func judge(s *system, run script, trouble bool) int {
	const shown = 12
	breaks, err := run(s, trouble)
	if err != nil {
		s.record.say("not run: %v", err)
		return exitNotRun
	}
	for i, text := range breaks {
		if i == shown {
			s.record.say("and %d more", len(breaks)-shown)
			break
		}
		s.record.say("BROKEN %s", text)
	}
	if len(breaks) > 0 {
		s.record.say("the rule was broken %d times", len(breaks))
		return exitBroken
	}
	s.record.say("the rule held")
	return exitHeld
}
