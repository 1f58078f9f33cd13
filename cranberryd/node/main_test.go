package node_test

import (
	"os"
	"runtime"
	"testing"
)

// TestMain runs the package on one processor, because Go 1.26 uses a single race
// context for all timers of a synctest bubble.
func TestMain(m *testing.M) {
	runtime.GOMAXPROCS(1)
	os.Exit(m.Run())
}
