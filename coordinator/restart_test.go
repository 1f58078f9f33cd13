package coordinator_test

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"cranberrystack.dev/cranberrystack/forwarder"
	"cranberrystack.dev/cranberrystack/identifier"
	"cranberrystack.dev/cranberrystack/scheduler"
)

// After all instances have crashed and started again, a worker that had left must get
// no runs, a key that was withdrawn must not be accepted by any instance at any time,
// and an accepted job must never be unknown.
func TestRestartOfAllBringsNothingBack(t *testing.T) {
	const left = identifier.WorkerID("w-00")
	for _, seed := range []uint64{82, 83, 84} {
		inCluster(t, seed, 4, 2, func(c *cluster) {
			c.submit("long", jobID(1), scheduler.Request{Spec: "s", Steps: []scheduler.Step{step(4, 60000, 1)}})
			withdrawn := strings.Replace(fmt.Sprintf(catalogText, 2, 3, 3), otherKey, "another-key", 1)
			c.callUntilOK(forwarder.Call{Kind: forwarder.KindConfigure, Document: json.RawMessage(withdrawn)}, 5*time.Second)
			c.mu.Lock()
			c.workers[left].killed = true // it reports no more
			c.mu.Unlock()
			c.callUntilOK(forwarder.Call{Kind: forwarder.KindLeave, Worker: left}, 5*time.Second)
			for _, h := range c.hosts {
				h.crash()
			}
			for _, h := range c.hosts {
				h.start(false)
			}
			path := c.submitCall("long", jobID(1), scheduler.Request{}).Path
			for range 600 {
				for _, h := range c.hosts {
					running, _ := h.running()
					if answer := running.Handle(t.Context(), forwarder.Call{Kind: forwarder.KindState, Host: "h", Path: path, Key: otherKey}); answer.OK() || answer.Code == forwarder.CodeNoSuchJob {
						t.Fatalf("seed %d: a withdrawn key is accepted: %+v", seed, answer)
					}
					if answer := running.Handle(t.Context(), forwarder.Call{Kind: forwarder.KindState, Host: "h", Path: path, Key: teamKey}); answer.Code == forwarder.CodeNoSuchJob {
						t.Fatalf("seed %d: an accepted job is unknown to a leader", seed)
					}
				}
				time.Sleep(5 * time.Millisecond)
			}
			history := len(c.workerCluster.History())
			c.submit("long", jobID(2), scheduler.Request{Spec: "s", Steps: []scheduler.Step{step(4, 500, 1)}})
			c.waitForState("long", jobID(2), "completed", 10*time.Second)
			for _, event := range c.workerCluster.History()[history:] {
				if event.Worker == left && event.EndKind == "" {
					t.Errorf("seed %d: %s was started on a worker that had left", seed, event.Run)
				}
			}
		})
	}
}

// Guards against a system that never forms because seeds were restarted, or lost their
// disks, before it had formed.
func TestGroupFormsAfterRestartsOfSeeds(t *testing.T) {
	tests := []struct {
		name             string
		restarted, wiped []int
	}{
		{"one seed restarted", []int{0}, nil},
		{"all instances restarted", []int{0, 1, 2, 3}, nil},
		{"one seed without its disk", []int{1}, []int{1}},
		{"all restarted, one without its disk", []int{0, 1, 2, 3}, []int{2}},
	}
	for i, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			names := []string{"core-0", "core-1", "core-2", "core-3"}
			setup := func(c *cluster) { c.isolate(true, names...) }
			synctest.Test(t, func(t *testing.T) {
				seed := uint64(100 + i)
				c := newCluster(t, seed, len(names), setup)
				defer c.close()
				defer c.writeLogOnFailure(seed)
				time.Sleep(150 * time.Millisecond)
				for _, number := range test.restarted {
					c.hosts[number].crash()
					if slices.Contains(test.wiped, number) {
						c.hosts[number].wipe()
					}
				}
				time.Sleep(time.Second)
				for _, number := range test.restarted {
					c.hosts[number].start(false)
				}
				time.Sleep(time.Second)
				c.isolate(false, names...)
				c.addWorkers(2)
				c.configure(1, 3)
				c.submit("long", jobID(1), scheduler.Request{Spec: "s", Steps: []scheduler.Step{step(1, 300, 1)}})
				c.waitForState("long", jobID(1), "completed", 10*time.Second)
				time.Sleep(5 * time.Second)
				if voters := len(c.leader().coordinator.Node().Leadership().Membership.Voters); voters != 3 {
					t.Errorf("the group has %d voters, want 3", voters)
				}
				c.checkHistory()
			})
		})
	}
}
