package cluster_test

import (
	"os"
	"runtime"
	"testing"
)

// TestMain runs the package with GOMAXPROCS=1. Go 1.26 keeps one race context
// for the timers of a synctest bubble, and two threads that run due timers at
// the same time corrupt it, which crashes the runtime. The race detector works
// on the order of events and finds as many races on one processor.
func TestMain(m *testing.M) {
	runtime.GOMAXPROCS(1)
	os.Exit(m.Run())
}
