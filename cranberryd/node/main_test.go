package node_test

import (
	"os"
	"runtime"
	"testing"
)

// TestMain runs the package on one processor. Go 1.26 uses a single race context
// for all timers of a synctest bubble, and two threads that run due timers at the
// same time corrupt it and crash the runtime.
func TestMain(m *testing.M) {
	runtime.GOMAXPROCS(1)
	code := m.Run()
	if programFolder != "" {
		_ = os.RemoveAll(programFolder)
	}
	os.Exit(code)
}
