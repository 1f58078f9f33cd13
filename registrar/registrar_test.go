package registrar

import (
	"errors"
	"testing"
	"time"
)

const expiry = 5 * time.Second

func TestAnnounceAcceptsOnlyNewerFromOwner(t *testing.T) {
	first := Upstream{ID: "u", Address: "a:1", Subject: "s", Slots: 8, State: StateReady, Incarnation: 5, Sequence: 10}
	change := func(edit func(*Upstream)) Upstream {
		next := first
		next.Sequence++
		edit(&next)
		return next
	}
	tests := []struct {
		name       string
		next       Upstream
		after      time.Duration
		wantUrgent bool
		wantErr    error
	}{
		{"renewed", change(func(*Upstream) {}), time.Second, false, nil},
		{"leaving", change(func(u *Upstream) { u.State = StateDraining }), time.Second, true, nil},
		{"restarted elsewhere", change(func(u *Upstream) { u.Address, u.Incarnation, u.Sequence = "b:1", 6, 1 }), time.Second, true, nil},
		{"old announcement", change(func(u *Upstream) { u.Sequence = 9 }), time.Second, false, ErrStaleAnnouncement},
		{"earlier incarnation", change(func(u *Upstream) { u.Incarnation, u.Sequence = 4, 99 }), time.Second, false, ErrStaleAnnouncement},
		{"other subject", change(func(u *Upstream) { u.Subject, u.Incarnation = "t", 99 }), time.Second, false, ErrIDInUse},
		{"other address, same incarnation", change(func(u *Upstream) { u.Address = "b:1" }), time.Second, false, ErrIDInUse},
		{"other address after expiry", change(func(u *Upstream) { u.Address = "b:1" }), 2 * expiry, true, nil},
	}
	for _, test := range tests {
		r := New(expiry)
		now := time.Unix(100, 0)
		if _, err := r.Announce(first, now); err != nil {
			t.Fatal(err)
		}
		urgent, err := r.Announce(test.next, now.Add(test.after))
		if urgent != test.wantUrgent || !errors.Is(err, test.wantErr) {
			t.Errorf("%s: got %v, %v, want %v, %v", test.name, urgent, err, test.wantUrgent, test.wantErr)
		}
	}
}

// TestMergeBetweenInstancesWithDifferentClocks guards against records whose age is
// lost between instances with different clocks, and against an older record that
// replaces a newer one.
func TestMergeBetweenInstancesWithDifferentClocks(t *testing.T) {
	local, remote := New(expiry), New(expiry)
	now, remoteNow := time.Unix(100, 0), time.Unix(90000, 0)
	ready := Upstream{ID: "u", Subject: "s", Slots: 1, State: StateReady, Incarnation: 1, Sequence: 1}
	if _, err := local.Announce(ready, now); err != nil {
		t.Fatal(err)
	}
	remote.Merge(local.TakeUpdates(now.Add(time.Second)), remoteNow)
	if got, _ := remote.Ready(remoteNow); len(got) != 1 {
		t.Fatalf("%d upstreams are ready after the merge, want 1", len(got))
	}
	draining := ready
	draining.State, draining.Sequence = StateDraining, 2
	if _, err := local.Announce(draining, now.Add(2*time.Second)); err != nil {
		t.Fatal(err)
	}
	remote.Merge(local.TakeUpdates(now.Add(2*time.Second)), remoteNow.Add(2*time.Second))
	remote.Merge([]Record{{Upstream: ready}}, remoteNow.Add(3*time.Second))
	if got, _ := remote.Ready(remoteNow.Add(3 * time.Second)); len(got) != 0 {
		t.Error("an older record made a draining upstream ready again")
	}
	if got := remote.All(remoteNow.Add(8 * time.Second)); len(got) != 0 {
		t.Error("an upstream without announcements did not expire")
	}
}
