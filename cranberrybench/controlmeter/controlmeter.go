// Package controlmeter measures the control plane: how soon a change of the
// lists is in force on every instance, how long there is no leader after the
// leader is killed, how long the restart of a voter takes, and what processor
// time, memory and traffic the instances need.
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
	voterCount = 7
	// followerCount is the number of instances without the control role.
	followerCount = 30
	changeCount   = 100
	killCount     = 3
	// idleDuration and loadedDuration are the lengths of the runs that measure
	// the cost without and with changes.
	idleDuration   = 10 * time.Second
	loadedDuration = 10 * time.Second
	// loadedRate is 100 times 880 changes a day, in changes per second.
	loadedRate = 880.0 * 100 / 86400
	// backlogChanges is the number of changes that a restarted voter has missed.
	backlogChanges = 800
	planCount      = 98
)

// Measure runs all measurements except those of cost on one cluster, then
// measures the cost on clusters of two sizes.
func Measure(seed uint64) ([]*reporter.Report, error) {
	before := heapAndStack()
	c, err := startCluster(voterCount, followerCount, seed)
	if err != nil {
		return nil, err
	}
	defer c.stop()
	perInstance := float64(heapAndStack()-before) / float64(voterCount+followerCount)
	r := &reporter.Report{
		Title: fmt.Sprintf("control: %d voters, %d followers, %d plans", voterCount, followerCount, planCount), Seed: seed,
		Columns: []string{"measured"},
	}
	if err := measureActivation(c, r); err != nil {
		return nil, err
	}
	if err := measureKills(c, r); err != nil {
		return nil, err
	}
	if err := measureRestart(c, r); err != nil {
		return nil, err
	}
	r.Add("heap an instance", "MB", "< 128", perInstance/(1<<20))
	costs, err := measureCosts(seed)
	if err != nil {
		return nil, err
	}
	return []*reporter.Report{r, costs}, nil
}

// heapAndStack returns the bytes of heap and stack in use after a garbage
// collection.
func heapAndStack() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapInuse + stats.StackInuse
}

// quantileMillis returns a quantile of durations in milliseconds.
func quantileMillis(durations []time.Duration, quantile float64) float64 {
	sort.Slice(durations, func(i, j int) bool { return durations[i] < durations[j] })
	return float64(durations[int(quantile*float64(len(durations)-1))].Microseconds()) / 1000
}

// measureActivation measures the time from sending a change until it is in
// force on every instance.
func measureActivation(c *cluster, r *reporter.Report) error {
	var durations []time.Duration
	for range changeCount {
		began := time.Now()
		version, err := c.apply()
		if err != nil {
			return err
		}
		if err := c.waitInForce(version, nil); err != nil {
			return err
		}
		durations = append(durations, time.Since(began))
	}
	r.Add("in force everywhere, p50", "ms", "", quantileMillis(durations, 0.5))
	r.Add("in force everywhere, p99", "ms", "", quantileMillis(durations, 0.99))
	r.Add("in force everywhere, worst", "ms", "<= 2000", quantileMillis(durations, 1))
	return nil
}

// measureKills kills the leader and measures the time until there is a new one,
// and until a change sent to the remaining instances is in force on all of them.
func measureKills(c *cluster, r *reporter.Report) error {
	var leaderless, activations []time.Duration
	for range killCount {
		leader, err := c.leader()
		if err != nil {
			return err
		}
		began := time.Now()
		c.kill(leader)
		if _, err := c.leader(); err != nil {
			return err
		}
		leaderless = append(leaderless, time.Since(began))
		version, err := c.apply()
		if err != nil {
			return err
		}
		if err := c.waitInForce(version, leader); err != nil {
			return err
		}
		activations = append(activations, time.Since(began))
		if err := c.startInstance(leader); err != nil {
			return err
		}
	}
	r.Add("no leader after a kill, worst", "ms", "", quantileMillis(leaderless, 1))
	r.Add("in force through the loss of the leader, worst", "ms", "<= 12000", quantileMillis(activations, 1))
	return nil
}

// measureRestart measures the time from the start of a voter that was down
// until it has caught up with the changes made meanwhile, of which there is at least
// one.
func measureRestart(c *cluster, r *reporter.Report) error {
	for _, backlog := range []int{0, backlogChanges} {
		voter := c.instances[voterCount-1]
		c.kill(voter)
		version := 0
		var err error
		for range max(backlog, 1) {
			if version, err = c.apply(); err != nil {
				return err
			}
		}
		began := time.Now()
		if err := c.startInstance(voter); err != nil {
			return err
		}
		if err := c.waitInForce(version, nil); err != nil {
			return err
		}
		r.Add(fmt.Sprintf("restart of a voter with %d changes piled up", backlog), "ms", "", float64(time.Since(began).Microseconds())/1000)
	}
	return nil
}

// cost is what the instances of a cluster have used together.
type cost struct {
	cpuTime time.Duration
	// sentBytes counts only the traffic between instances.
	sentBytes int64
	wallTime  time.Duration
}

// cpuPercent returns the processor time of one instance in percent of a core.
func (c cost) cpuPercent(instances int) float64 {
	return 100 * c.cpuTime.Seconds() / c.wallTime.Seconds() / float64(instances)
}

// sentPerSecond returns the bytes per second that one instance sends.
func (c cost) sentPerSecond(instances int) float64 {
	return float64(c.sentBytes) / c.wallTime.Seconds() / float64(instances)
}

// measureCosts compares a cluster of voters with one of voters and followers, so
// that the cost of one more follower can be computed as the difference.
func measureCosts(seed uint64) (*reporter.Report, error) {
	r := &reporter.Report{
		Title: "control: cost of an instance", Seed: seed,
		Columns: []string{"voters alone", "a follower more"},
	}
	var idle, loaded [2]cost
	for i, count := range []int{0, followerCount} {
		c, err := startCluster(voterCount, count, seed)
		if err != nil {
			return nil, err
		}
		idle[i] = c.measure(idleDuration, 0)
		loaded[i] = c.measure(loadedDuration, loadedRate)
		c.stop()
	}
	addRow := func(name, goal string, costs [2]cost) {
		added := cost{cpuTime: costs[1].cpuTime - costs[0].cpuTime, sentBytes: costs[1].sentBytes - costs[0].sentBytes, wallTime: costs[1].wallTime}
		r.Add(name+", processor", "% of a core", goal, costs[0].cpuPercent(voterCount), added.cpuPercent(followerCount))
		r.Add(name+", sent between instances", "B/s", "< 26000", costs[0].sentPerSecond(voterCount), added.sentPerSecond(followerCount))
	}
	addRow("idle (880 changes a day are one in 98 s)", "< 4.3", idle)
	addRow("at 100 times 880 changes a day", "< 4.3", loaded)
	return r, nil
}

// processCPUTime returns the processor time that the process has used; 0 if it
// can't be read.
func processCPUTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
