package replicator

import (
	"testing"
	"time"

	"cranberrystack.dev/cranberrystack/identifier"
)

// awaitLeader lets time pass until an instance that is up leads, and returns it.
func (s *simulation) awaitLeader(limit time.Duration) identifier.InstanceID {
	s.t.Helper()
	for range int(limit / testStep) {
		for _, id := range s.ids {
			if h := s.nodes[id]; h.up && h.core.role == RoleLeader {
				return id
			}
		}
		s.step()
	}
	s.t.Fatalf("no leader within %s", limit)
	return ""
}

// TestElectionsSurviveClockJumps lets the caller's time jump back and ahead by an hour. A
// step back changes nothing and does not keep a later election waiting; a jump
// ahead counts as one election timeout at most.
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
				t.Errorf("term went from %d to %d by a jump", term, got)
			}
			s.now = s.now.Add(test.jump)
			s.nodes[after].up = false
			next := s.awaitLeaderWithout(after, 5*time.Second)
			if next == after {
				t.Error("the instance that is down leads")
			}
		})
	}
}

// awaitLeaderWithout lets time pass, with one instance kept down, until another
// leads.
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
