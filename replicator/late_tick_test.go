package replicator

import (
	"context"
	"errors"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"cranberrystack.dev/cranberrystack/journaler"
)

// Guards against a node whose time runs ahead while its event loop is held up by slow
// writes: the ticker then delivers a time that is older than that of the message before it,
// and the time between the two counted twice. Such a voter may grant a vote under the lease
// of a live leader, and elects too early.
func TestBusyNodeCountsNoTimeTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const slowWrite = 300 * time.Millisecond
		files := journaler.DefaultFileOperations()
		files.Sync = func(*os.File) error {
			time.Sleep(slowWrite)
			return nil
		}
		machine := StateMachine{
			Apply: func(uint64, []byte) any { return nil }, Snapshot: func() ([]byte, error) { return nil, nil }, Restore: func([]byte) error { return nil },
		}
		transport := Transport{
			Send:      func(context.Context, Peer, Message) ([]Message, error) { return nil, errors.New("no answer") },
			Formation: func(context.Context, Peer) (Formation, error) { return Formation{Fresh: true, Nonce: "n"}, nil },
		}
		voters := []Peer{{ID: "i0"}, {ID: "i1"}, {ID: "i2"}}
		node, err := Open("i0", t.TempDir(), voters, machine, transport, JournalOptions(journaler.WithFileOperations(files)))
		if err != nil {
			t.Fatal(err)
		}
		defer node.Stop()
		time.Sleep(time.Second)
		elapsed := func() time.Duration {
			result := make(chan time.Duration, 1)
			node.calls <- func() { result <- node.core.elapsed }
			return <-result
		}
		first, began := elapsed(), time.Now()
		for i := range uint64(queueLength) {
			entry := Entry{Index: i + 1, Term: 1, Kind: EntryNoop}
			message := Message{Kind: MessageAppend, From: "i1", To: "i0", Term: 1, LogIndex: i, Entries: []Entry{entry}}
			if i > 0 {
				message.LogTerm = 1
			}
			node.receive(message)
		}
		time.Sleep(2 * queueLength * slowWrite)
		if counted, passed := elapsed()-first, time.Since(began); counted > passed+slowWrite {
			t.Errorf("the node has counted %v in %v", counted, passed)
		}
	})
}
