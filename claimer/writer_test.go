package claimer

import (
	"context"
	"testing"

	"cranberrystack.dev/cranberrystack/configurer"
	"cranberrystack.dev/cranberrystack/connector"
)

// openSingleInstance returns a ready claimer of a group of one instance that
// persists its claims in dir.
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

// TestTombstoneSurvivesRestart guards against a tombstone that a late release or
// a restart removes, so that a request runs twice under its key.
func TestTombstoneSurvivesRestart(t *testing.T) {
	dir := t.TempDir()
	const maxBytes = 3 * entryOverheadBytes
	c := openSingleInstance(t, dir, maxBytes)
	for _, key := range []string{"ran", "next", "last"} {
		claim := testClaim(key, "one-"+key, StateClaimed)
		if _, acquired, err := c.Acquire(context.Background(), claim, ""); err != nil || !acquired {
			t.Fatalf("claim %s: acquired %v, error %v", key, acquired, err)
		}
		claim.State = StateAnswered
		claim.Answer = &connector.Response{Body: make([]byte, 100)}
		c.Finish(claim)
	}
	ran := testClaim("ran", "two", StateClaimed)
	if first, _ := c.Lookup(ran.ID); first.State != StateTombstone {
		t.Fatalf("state of the first key is %q, want a tombstone", first.State)
	}
	c.Release(ran.ID, "one-ran")
	c.Stop()
	restarted := openSingleInstance(t, dir, maxBytes)
	defer restarted.Stop()
	if _, acquired, err := restarted.Acquire(context.Background(), ran, ""); acquired || err != nil {
		t.Errorf("claim of a used key after a restart: acquired %v, error %v, want neither", acquired, err)
	}
}

// TestDiskFailureMakesInstanceUnready guards against an instance that grants
// claims which it can't persist. The journal is closed before the first claim.
func TestDiskFailureMakesInstanceUnready(t *testing.T) {
	c := openSingleInstance(t, t.TempDir(), 1<<20)
	if err := c.writer.journal.Close(); err != nil {
		t.Fatal(err)
	}
	claim := testClaim("k", "one", StateClaimed)
	if _, acquired, err := c.Acquire(context.Background(), claim, ""); acquired || err == nil {
		t.Errorf("claim on a failed disk: acquired %v, error %v, want an error", acquired, err)
	}
	claim.Holder = "a"
	if c.Running(context.Background(), claim) {
		t.Error("the attempt of a refused claim counts as running")
	}
	if c.Ready() {
		t.Error("the instance is ready on a failed disk")
	}
}
