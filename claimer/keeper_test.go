package claimer

import (
	"context"
	"testing"

	"cranberrystack.dev/cranberrystack/configurer"
	"cranberrystack.dev/cranberrystack/connector"
)

// openSingleInstance returns the claimer of a group of one, with claims in a folder.
func openSingleInstance(t *testing.T, dir string, maxBytes int64) *Claimer {
	t.Helper()
	dependencies := Dependencies{
		Group:   func() configurer.ClaimGroup { return configurer.ClaimGroup{} },
		Propose: func(context.Context, configurer.ClaimGroup) error { return nil },
	}
	c, err := New("a", 1, "dc", nil, nil, dependencies, Dir(dir), MaxBytes(maxBytes))
	if err != nil {
		t.Fatal(err)
	}
	if !c.Ready() {
		c.becomeReady(nil)
	}
	return c
}

// TestTombstoneSurvivesRestart reduces a key to its mark, lets a late release of
// it arrive, and restarts: the key must not be free.
func TestTombstoneSurvivesRestart(t *testing.T) {
	dir := t.TempDir()
	const maxBytes = 3 * entryOverheadBytes
	c := openSingleInstance(t, dir, maxBytes)
	for _, key := range []string{"ran", "next", "last"} {
		claim := claimOf(key, "one-"+key, StateClaimed)
		if _, won, err := c.Acquire(context.Background(), claim, ""); err != nil || !won {
			t.Fatalf("claim %s: %v %v", key, won, err)
		}
		claim.State = StateAnswered
		claim.Answer = &connector.Response{Body: make([]byte, 100)}
		c.Finish(claim)
	}
	ran := claimOf("ran", "two", StateClaimed)
	if kept, _ := c.Lookup(ran.ID); kept.State != StateTombstone {
		t.Fatalf("the first key is %q, want it reduced", kept.State)
	}
	c.Release(ran.ID, "one-ran")
	c.Stop()
	restarted := openSingleInstance(t, dir, maxBytes)
	defer restarted.Stop()
	if _, won, err := restarted.Acquire(context.Background(), ran, ""); won || err != nil {
		t.Errorf("after a restart the key that ran is granted: %v, %v", won, err)
	}
}

// TestDiskFailureMakesInstanceUnready fails the disk: the claim is refused, nothing
// counts as running, and the instance is no longer ready.
func TestDiskFailureMakesInstanceUnready(t *testing.T) {
	c := openSingleInstance(t, t.TempDir(), 1<<20)
	if err := c.writer.journal.Close(); err != nil {
		t.Fatal(err)
	}
	claim := claimOf("k", "one", StateClaimed)
	if _, won, err := c.Acquire(context.Background(), claim, ""); won || err == nil {
		t.Errorf("claimed on a failed disk: %v, %v", won, err)
	}
	claim.Holder = "a"
	if c.Running(context.Background(), claim) {
		t.Error("a refused claim counts as running")
	}
	if c.Ready() {
		t.Error("ready on a failed disk")
	}
}
