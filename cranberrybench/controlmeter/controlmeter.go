// Package controlmeter measures the control plane: how soon a change of the
// two lists is in force on every instance, how long there is no leader after a
// kill, how long a restart takes, and what all of it costs.
package controlmeter

import (
	"fmt"
	"runtime"
	"sort"
	"syscall"
	"time"

	"cranberrystack.dev/cranberrybench/reporter"
)

const (
	voters    = 7
	followers = 30
	changes   = 100
	kills     = 3
	// quiet and busy are the lengths of the runs that measure cost.
	quiet = 10 * time.Second
	busy  = 10 * time.Second
	// timesHundred is the rate in changes a second of 100 times 880 a day.
	timesHundred = 880.0 * 100 / 86400
	pileUp       = 800
	plans        = 98
)

// Measure runs all measurements on one set of instances, then the slopes.
func Measure(seed uint64) ([]*reporter.Report, error) {
	before := heap()
	s, err := start(voters, followers, seed)
	if err != nil {
		return nil, err
	}
	defer s.stop()
	perInstance := float64(heap()-before) / float64(voters+followers)
	r := &reporter.Report{
		Title: fmt.Sprintf("control: %d voters, %d followers, %d plans", voters, followers, plans), Seed: seed,
		Columns: []string{"measured"},
	}
	if err := measureForce(s, r); err != nil {
		return nil, err
	}
	if err := measureKills(s, r); err != nil {
		return nil, err
	}
	if err := measureRestart(s, r); err != nil {
		return nil, err
	}
	r.Add("heap an instance", "MB", "< 128", perInstance/(1<<20))
	costs, err := measureCosts(seed)
	if err != nil {
		return nil, err
	}
	return []*reporter.Report{r, costs}, nil
}

func heap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapInuse + stats.StackInuse
}

func quantile(took []time.Duration, quantile float64) float64 {
	sort.Slice(took, func(i, j int) bool { return took[i] < took[j] })
	return float64(took[int(quantile*float64(len(took)-1))].Microseconds()) / 1000
}

// measureForce times each change from when it is sent until every instance has
// it in force.
func measureForce(s *instances, r *reporter.Report) error {
	var took []time.Duration
	for range changes {
		began := time.Now()
		version, err := s.apply()
		if err != nil {
			return err
		}
		if err := s.waitForce(version, nil); err != nil {
			return err
		}
		took = append(took, time.Since(began))
	}
	r.Add("in force everywhere, p50", "ms", "", quantile(took, 0.5))
	r.Add("in force everywhere, p99", "ms", "", quantile(took, 0.99))
	r.Add("in force everywhere, worst", "ms", "<= 2000", quantile(took, 1))
	return nil
}

// measureKills kills the leader while a change is being sent, and times the
// change until it is in force on all that live.
func measureKills(s *instances, r *reporter.Report) error {
	var leaderless, took []time.Duration
	for range kills {
		leader, err := s.leader()
		if err != nil {
			return err
		}
		began := time.Now()
		s.kill(leader)
		if _, err := s.leader(); err != nil {
			return err
		}
		leaderless = append(leaderless, time.Since(began))
		version, err := s.apply()
		if err != nil {
			return err
		}
		if err := s.waitForce(version, leader); err != nil {
			return err
		}
		took = append(took, time.Since(began))
		if err := s.revive(leader); err != nil {
			return err
		}
	}
	r.Add("no leader after a kill, worst", "ms", "", quantile(leaderless, 1))
	r.Add("in force through the loss of the leader, worst", "ms", "<= 12000", quantile(took, 1))
	return nil
}

// measureRestart restarts a voter after changes have piled up.
func measureRestart(s *instances, r *reporter.Report) error {
	for _, pile := range []int{0, pileUp} {
		victim := s.all[voters-1]
		s.kill(victim)
		version := 0
		var err error
		for range max(pile, 1) {
			if version, err = s.apply(); err != nil {
				return err
			}
		}
		began := time.Now()
		if err := s.revive(victim); err != nil {
			return err
		}
		if err := s.waitForce(version, nil); err != nil {
			return err
		}
		r.Add(fmt.Sprintf("restart of a voter with %d changes piled up", pile), "ms", "", float64(time.Since(began).Microseconds())/1000)
	}
	return nil
}

// cost is what a set of instances used over a time.
type cost struct {
	cpu  time.Duration
	sent int64
	wall time.Duration
}

func (c cost) corePercent(instances int) float64 {
	return 100 * c.cpu.Seconds() / c.wall.Seconds() / float64(instances)
}

func (c cost) bytes(instances int) float64 {
	return float64(c.sent) / c.wall.Seconds() / float64(instances)
}

// measureCosts compares voters alone with voters and followers, so that the
// cost of one of each can be told.
func measureCosts(seed uint64) (*reporter.Report, error) {
	r := &reporter.Report{
		Title: "control: cost of an instance", Seed: seed,
		Columns: []string{"voters alone", "a follower more"},
	}
	var idle, loaded [2]cost
	for i, count := range []int{0, followers} {
		s, err := start(voters, count, seed)
		if err != nil {
			return nil, err
		}
		idle[i] = s.measure(quiet, 0)
		loaded[i] = s.measure(busy, timesHundred)
		s.stop()
	}
	row := func(name, goal string, c [2]cost) {
		more := cost{cpu: c[1].cpu - c[0].cpu, sent: c[1].sent - c[0].sent, wall: c[1].wall}
		r.Add(name+", processor", "% of a core", goal, c[0].corePercent(voters), more.corePercent(followers))
		r.Add(name+", sent between instances", "B/s", "< 26000", c[0].bytes(voters), more.bytes(followers))
	}
	row("idle (880 changes a day are one in 98 s)", "< 4.3", idle)
	row("at 100 times 880 changes a day", "< 4.3", loaded)
	return r, nil
}

func processTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
