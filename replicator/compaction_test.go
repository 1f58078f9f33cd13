package replicator

import (
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"cranberrystack.dev/cranberrystack/journaler"
)

// A compaction for which no file can be opened must be put off and reported; the
// node must go on, and lose nothing at the next start.
func TestCompactionIsPutOffWithoutDescriptors(t *testing.T) {
	const proposals, compactEntries = 60, 10
	dir := t.TempDir()
	files := journaler.DefaultFileOperations()
	var mu sync.Mutex
	exhausted, putOff := false, 0
	replace := files.Replace
	files.Replace = func(path string, data []byte) error {
		mu.Lock()
		defer mu.Unlock()
		if exhausted {
			return syscall.EMFILE
		}
		return replace(path, data)
	}
	open := func(applied *int) *Node {
		machine := StateMachine{
			Apply:    func(uint64, []byte) any { *applied++; return nil },
			Snapshot: func() ([]byte, error) { return fmt.Append(nil, *applied), nil },
			Restore:  func(data []byte) error { _, err := fmt.Sscan(string(data), applied); return err },
		}
		node, err := Open("i0", dir, []Peer{{ID: "i0"}}, machine, Transport{}, HeartbeatInterval(10*time.Millisecond), ElectionTimeout(50*time.Millisecond),
			CompactEntries(compactEntries), JournalOptions(journaler.WithFileOperations(files)), OnCompactionPutOff(func(error) {
				mu.Lock()
				defer mu.Unlock()
				putOff++
			}))
		if err != nil {
			t.Fatal(err)
		}
		for !node.Leadership().IsLeader {
			time.Sleep(time.Millisecond)
		}
		return node
	}
	var applied int
	node := open(&applied)
	for i := range proposals {
		mu.Lock()
		exhausted = i >= proposals/4 && i < proposals*3/4
		mu.Unlock()
		if _, err := node.Propose(t.Context(), []byte("c")); err != nil {
			t.Fatalf("proposal %d: %v", i, err)
		}
	}
	node.Stop()
	if err := node.Wait(); err != nil {
		t.Errorf("the node ended with %v", err)
	}
	if putOff == 0 || putOff > proposals/compactEntries {
		t.Errorf("%d compactions were put off, want 1 to %d", putOff, proposals/compactEntries)
	}
	var restored int
	open(&restored).Stop()
	if restored != proposals {
		t.Errorf("%d commands after the restart, want %d", restored, proposals)
	}
}

// Guards against a compaction that keeps large entries in one record, which the journal
// can't hold: it ended the node, and so every node in turn.
func TestCompactionKeepsLargeEntries(t *testing.T) {
	const count, size = 6, 12 << 20
	dir := t.TempDir()
	s, _, err := openStore(dir)
	if err != nil {
		t.Fatal(err)
	}
	state := PersistentState{HardState: HardState{Term: 1}, Snapshot: Snapshot{Index: 1, Term: 1}}
	for i := range count {
		state.Entries = append(state.Entries, Entry{Index: uint64(i + 2), Term: 1, Data: make([]byte, size)})
	}
	if err := s.compact(state); err != nil {
		t.Fatalf("compact: %v", err)
	}
	if err := s.journal.Close(); err != nil {
		t.Fatal(err)
	}
	reopened, restored, err := openStore(dir)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = reopened.journal.Close() }()
	if len(restored.Entries) != count || restored.Entries[count-1].Index != count+1 || len(restored.Entries[count-1].Data) != size {
		t.Errorf("%d entries after the restart, want %d", len(restored.Entries), count)
	}
}
