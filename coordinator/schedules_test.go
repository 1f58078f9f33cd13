package coordinator_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"cranberrystack.dev/cranberrystack/faker"
	"cranberrystack.dev/cranberrystack/forwarder"
	"cranberrystack.dev/cranberrystack/identifier"
	"cranberrystack.dev/cranberrystack/scheduler"
)

var (
	firstSeed = flag.Uint64("first-seed", 1000, "seed of the first schedule")
	seedCount = flag.Int("seeds", 40, "number of schedules to run")
)

// schedule is one seeded sequence of jobs and faults.
type schedule struct {
	c      *cluster
	random *rand.Rand
	// extraRandom decides faults that were added to the schedules later, so that
	// the sequence of a seed stays the same.
	extraRandom *rand.Rand
	workers     []identifier.WorkerID
	// accepted holds the queue of each job that was accepted and not cancelled.
	accepted map[identifier.JobID]string
	refused  map[identifier.JobID]bool
	version  int
}

// Under seeded sequences of crashes, partitions, lost disks, late and lost orders,
// restarted and stalled workers, truncated lists of ends, speculative copies, cancels
// and catalog changes, accepted jobs must complete, each task once, and refused jobs
// must never run.
func TestSchedules(t *testing.T) {
	for i := range *seedCount {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			inClusterWith(t, seed, 4, 8, func(c *cluster) { limitListedEnds(c, seed) }, func(c *cluster) {
				s := newSchedule(c, seed)
				s.run()
				s.check()
			})
		})
	}
}

// limitListedEnds makes the workers of two seeds in three list one or two ends at a time.
func limitListedEnds(c *cluster, seed uint64) { c.workerCluster.MaxListedEnds = int(seed % 3) }

func newSchedule(c *cluster, seed uint64) *schedule {
	s := &schedule{
		c: c, random: rand.New(rand.NewPCG(seed, 1)), extraRandom: rand.New(rand.NewPCG(seed, 2)), version: 1,
		accepted: map[identifier.JobID]string{}, refused: map[identifier.JobID]bool{},
	}
	for i := range 8 {
		s.workers = append(s.workers, identifier.WorkerID(fmt.Sprintf("w-%02d", i)))
	}
	return s
}

func (s *schedule) run() {
	faults := faker.TaskFaults{LateDelay: time.Duration(2+s.random.IntN(8)) * time.Second}
	if s.random.IntN(2) == 0 {
		faults.LateProbability = 0.05
	}
	if s.random.IntN(2) == 0 {
		faults.LostResponseProbability = 0.05
	}
	s.c.workerCluster.SetFaults(faults)
	for round := range 12 {
		s.submit(round)
		s.stall()
		s.injectFault()
		time.Sleep(time.Duration(s.random.IntN(1500)) * time.Millisecond)
	}
	s.c.workerCluster.SetFaults(faker.TaskFaults{})
}

func (s *schedule) submit(round int) {
	for i := range 1 + s.random.IntN(3) {
		id := jobID(100*round + i + 1)
		one := step(1+s.random.IntN(4), int64(200+s.random.IntN(4000)), int64(1+s.random.IntN(8)))
		one.Gang = s.random.IntN(3) == 0
		one.Checkpoints = s.random.IntN(2) == 0
		one.SpeculativeCopies = s.extraRandom.IntN(4) == 0 && !one.Gang
		request := scheduler.Request{Spec: "s", Steps: []scheduler.Step{one}}
		if s.random.IntN(3) == 0 {
			next := step(1+s.random.IntN(3), 500, 1)
			next.DependsOn = []int{0}
			request.Steps = append(request.Steps, next)
		}
		queue := []string{"urgent", "long"}[s.random.IntN(2)]
		call := s.c.submitCall(queue, id, request)
		h := s.c.hosts[s.random.IntN(len(s.c.hosts))]
		if h.coordinator == nil {
			continue
		}
		switch answer := s.c.call(s.c.t.Context(), call); answer.Code {
		case forwarder.CodeOK:
			s.accepted[id] = queue
		case "unavailable", "":
			s.refused[id] = true
		}
	}
}

// stall stalls the tasks of a random worker for a while, in one of four rounds.
func (s *schedule) stall() {
	if s.extraRandom.IntN(4) > 0 {
		return
	}
	c := s.c
	c.mu.Lock()
	worker := c.workers[s.workers[s.extraRandom.IntN(len(s.workers))]].worker
	c.mu.Unlock()
	span := time.Duration(500+s.extraRandom.IntN(8000)) * time.Millisecond
	c.logEvent("stall", "worker", worker.ID, "span-ms", span.Milliseconds())
	worker.SetStalled(true)
	go func() {
		time.Sleep(span)
		worker.SetStalled(false)
	}()
}

// injectFault injects one random fault and heals it, or changes the catalog or
// cancels a job. At most one disk is lost at a time.
func (s *schedule) injectFault() {
	c := s.c
	h := c.hosts[s.random.IntN(len(c.hosts))]
	if s.random.IntN(2) == 0 {
		if leader := c.leader(); leader != nil {
			h = leader
		}
	}
	span := time.Duration(200+s.random.IntN(5000)) * time.Millisecond
	kind := s.random.IntN(8)
	c.logEvent("fault", "kind", kind, "on", h.name, "span-ms", span.Milliseconds())
	switch kind {
	case 0:
		h.crash()
		time.Sleep(span)
		h.start(false)
	case 1:
		h.crash()
		h.wipe()
		time.Sleep(span)
		h.start(false)
		time.Sleep(5 * time.Second)
	case 2:
		c.isolate(true, h.name)
		time.Sleep(span)
		c.isolate(false, h.name)
	case 3:
		for _, other := range c.hosts {
			other.crash()
		}
		time.Sleep(span)
		for _, other := range c.hosts {
			other.start(false)
		}
	case 4:
		workers := s.workers[:1+s.random.IntN(3)]
		c.setPartition(true, workers...)
		time.Sleep(2 * span)
		c.setPartition(false, workers...)
	case 5:
		id := s.workers[s.random.IntN(len(s.workers))]
		c.addWorker(id, scheduler.Resources{CPU: 64000, Memory: 128000, Accelerators: 8}, "r1-0")
	case 6:
		s.version += 1 + s.random.IntN(3)
		go c.configure(s.version, 3)
	case 7:
		for id, queue := range s.accepted {
			call := forwarder.Call{Kind: forwarder.KindCancel, Host: "h", Path: "/" + queue + "/" + string(id), Key: teamKey}
			if answer := c.call(c.t.Context(), call); answer.OK() {
				delete(s.accepted, id)
			}
			break
		}
	}
}

// check waits until all accepted jobs are completed. The catalog must be readable
// then.
func (s *schedule) check() {
	c := s.c
	c.waitForLeader(10 * time.Second)
	for id, queue := range s.accepted {
		c.waitForState(queue, id, "completed", 60*time.Second)
	}
	time.Sleep(12 * time.Second)
	for _, event := range c.workerCluster.History() {
		if s.refused[event.Run.Task.Job] {
			c.t.Errorf("refused job has run %s", event.Run)
		}
	}
	c.callUntilOK(forwarder.Call{Kind: forwarder.KindReadCatalog}, 5*time.Second)
}
