package replicator

import (
	"testing"
	"time"

	"cranberrystack.dev/cranberrystack/identifier"
)

// awaitLeader runs the simulation until an instance that is up is leader, and
// returns it.
func (s *simulation) awaitLeader(limit time.Duration) identifier.InstanceID {
	s.t.Helper()
	for range int(limit / testStep) {
		for _, id := range s.ids {
			if node := s.nodes[id]; node.up && node.core.role == RoleLeader {
				return id
			}
		}
		s.step()
	}
	s.t.Fatalf("no leader within %s", limit)
	return ""
}

// TestElectionsSurviveClockJumps guards against a jump of the caller's time by an
// hour that causes extra elections or delays a later one. A step back must count
// as zero and a jump ahead as at most one election timeout.
func TestElectionsSurviveClockJumps(t *testing.T) {
	tests := []struct {
		name string
		jump time.Duration
	}{
		{"an hour back", -time.Hour},
		{"an hour ahead", time.Hour},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newSimulation(t, 1, 3)
			s.faultFree = true
			leader := s.awaitLeader(5 * time.Second)
			term := s.nodes[leader].core.hardState.Term
			s.now = s.now.Add(test.jump)
			for range 200 {
				s.step()
			}
			after := s.awaitLeader(5 * time.Second)
			if got := s.nodes[after].core.hardState.Term; got > term+1 {
				t.Errorf("term went from %d to %d after a clock jump", term, got)
			}
			s.now = s.now.Add(test.jump)
			s.nodes[after].up = false
			next := s.awaitLeaderWithout(after, 5*time.Second)
			if next == after {
				t.Error("the instance that is down is leader")
			}
		})
	}
}

// awaitLeaderWithout runs the simulation without one instance until another is
// leader.
func (s *simulation) awaitLeaderWithout(down identifier.InstanceID, limit time.Duration) identifier.InstanceID {
	s.t.Helper()
	s.ids = idsWithout(s.ids, down)
	return s.awaitLeader(limit)
}

func idsWithout(ids []identifier.InstanceID, id identifier.InstanceID) []identifier.InstanceID {
	var rest []identifier.InstanceID
	for _, other := range ids {
		if other != id {
			rest = append(rest, other)
		}
	}
	return rest
}
