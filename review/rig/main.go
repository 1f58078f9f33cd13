// Program rig plays the script cases of the review: it starts the product's processes
// on loopback addresses, stands in for executors, clients and the operator, and checks
// one rule.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// rig is one play of a case.
type rig struct {
	deployment *deployment
	callers    *callers
	executors  []*executor
	manager    *manager
	adviser    *adviser
	record     *record
	// trouble says that the disruption is played.
	trouble bool
}

var errBroken = errors.New("the rule was broken")

// theCase is a case: what it plays, and on how many control nodes. A case that starts the
// nodes itself says so.
type theCase struct {
	play        func(*rig) error
	control     int
	machines    bool
	advice      bool
	startsNodes bool
}

var cases = map[string]theCase{
	"advice":         {play: playAdvice, control: 3, advice: true},
	"first-start":    {play: playFirstStart, control: 4, startsNodes: true},
	"flapping":       {play: playFlapping, control: 3},
	"foreign":        {play: playForeign, control: 3},
	"leave":          {play: playLeave, control: 4},
	"pending":        {play: playPending, control: 3},
	"poison":         {play: playPoison, control: 3},
	"reclaim":        {play: playReclaim, control: 3},
	"reclaim-gang":   {play: playReclaimGang, control: 3},
	"reclaim-others": {play: playReclaimOthers, control: 3},
	"slow-advice":    {play: playSlowAdvice, control: 3, advice: true},
	"upkeep":         {play: playUpkeep, control: 3, machines: true},
}

func main() {
	// The processes of the product end with the thread that started them.
	runtime.LockOSThread()
	if len(os.Args) != 3 || cases[os.Args[1]].play == nil {
		fmt.Fprintln(os.Stderr, "usage: review-rig CASE FOLDER, in the root of the repository")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, folder string) int {
	r, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	err = playCase(cases[name], r)
	switch {
	case err == nil:
		r.add("result: the rule held")
		fmt.Println("the rule held")
		return exitHeld
	case errors.Is(err, errBroken):
		r.add("result: %v", err)
		fmt.Println(err)
		return exitBroken
	}
	r.add("result: the case could not run: %v", err)
	fmt.Println("the case could not run:", err)
	return exitNotRun
}

// playCase plays a case on a system of some control nodes and a gateway.
func playCase(one theCase, r *record) error {
	root, err := os.Getwd()
	if err != nil {
		return err
	}
	d, err := newDeployment(root, r, one.control, 1)
	if err != nil {
		return err
	}
	defer d.stop()
	g := &rig{deployment: d, callers: newCallers(d), record: r, trouble: os.Getenv("TROUBLE") != "0"}
	defer func() {
		for _, e := range g.executors {
			e.crash()
		}
	}()
	if one.machines {
		if g.manager, err = newManager(g); err != nil {
			return err
		}
	}
	if one.advice {
		if g.adviser, err = newAdviser(g); err != nil {
			return err
		}
	}
	if !one.startsNodes {
		if err := d.start(); err != nil {
			return err
		}
	}
	return one.play(g)
}

// address returns an address of the play's loopback network.
func (g *rig) address(group, number int) string {
	var first int
	_, _ = fmt.Sscanf(g.deployment.control[0].ip, "127.%d.", &first)
	return fmt.Sprintf("127.%d.%d.%d", first, group, number)
}

// newExecutor adds an executor with the given labels, which is not up yet.
func (g *rig) newExecutor(labels ...string) *executor {
	number := len(g.executors) + 1
	e := newExecutor(g.deployment, fmt.Sprintf("i-%08d", number), g.address(3, number), labels...)
	g.executors = append(g.executors, e)
	return e
}

// addExecutor adds an executor with the given labels and starts it.
func (g *rig) addExecutor(labels ...string) (*executor, error) {
	e := g.newExecutor(labels...)
	return e, e.up()
}

// wait calls check until it returns true, and returns whether it did in time.
func wait(limit time.Duration, check func() bool) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if check() {
			return true
		}
	}
	return false
}
