package replicator

import (
	"testing"
	"time"

	"cranberrystack.dev/cranberrystack/identifier"
)

// leaderOf lets time pass until an instance that is up leads, and returns it.
func (s *schedule) leaderOf(limit time.Duration) identifier.InstanceID {
	s.t.Helper()
	for range int(limit / testStep) {
		for _, id := range s.ids {
			if h := s.hosts[id]; h.up && h.core.role == RoleLeader {
				return id
			}
		}
		s.step()
	}
	s.t.Fatalf("no leader within %s", limit)
	return ""
}

// TestClockThatJumps lets the caller's time jump back and ahead by an hour. A
// step back changes nothing and does not keep a later election waiting; a jump
// ahead counts as one election timeout at most.
func TestClockThatJumps(t *testing.T) {
	tests := []struct {
		name string
		jump time.Duration
	}{
		{"an hour back", -time.Hour},
		{"an hour ahead", time.Hour},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newSchedule(t, 1, 3)
			s.calm = true
			leader := s.leaderOf(5 * time.Second)
			term := s.hosts[leader].core.hard.Term
			s.now = s.now.Add(test.jump)
			for range 200 {
				s.step()
			}
			after := s.leaderOf(5 * time.Second)
			if got := s.hosts[after].core.hard.Term; got > term+1 {
				t.Errorf("term went from %d to %d by a jump", term, got)
			}
			s.now = s.now.Add(test.jump)
			s.hosts[after].up = false
			next := s.electWithout(after, 5*time.Second)
			if next == after {
				t.Error("the instance that is down leads")
			}
		})
	}
}

// electWithout lets time pass, with one instance kept down, until another
// leads.
func (s *schedule) electWithout(down identifier.InstanceID, limit time.Duration) identifier.InstanceID {
	s.t.Helper()
	s.ids = idsWithout(s.ids, down)
	return s.leaderOf(limit)
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
