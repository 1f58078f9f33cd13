package node_test

import (
	"os"
	"runtime"
	"testing"
)

// TestMain runs the package on one processor, since Go 1.26 keeps one race
// context for the timers of a synctest bubble.
func TestMain(m *testing.M) {
	runtime.GOMAXPROCS(1)
	os.Exit(m.Run())
}
