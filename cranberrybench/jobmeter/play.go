package jobmeter

import (
	"fmt"
	"sort"
	"time"

	"cranberrystack.dev/cranberrystack/identifier"
	"cranberrystack.dev/cranberrystack/leaser"
	"cranberrystack.dev/cranberrystack/packer"
	"cranberrystack.dev/cranberrystack/placer"
)

const (
	tickInterval   = 500 * time.Millisecond
	sampleInterval = time.Minute
	reportInterval = 10 * time.Second
	// checkpointTime is the time that a simulated checkpoint takes.
	checkpointTime = 5 * time.Second
	// maxDrainTime is how long jobs may run after the arrivals have ended.
	maxDrainTime = 8 * time.Hour
)

// simulationStart is the virtual time at which each simulation starts.
var simulationStart = time.Unix(1_000_000, 0)

// system is a system under measurement: the placer or the baseline.
type system interface {
	submit(job *plannedJob, now time.Time)
	// step advances the virtual time to now and returns the jobs that have
	// started and ended.
	step(now time.Time) (started, ended []identifier.JobID)
	// freeCapacity returns the free capacity of each worker, and the distinct
	// shapes of the waiting jobs.
	freeCapacity(now time.Time) ([]packer.Slot, []packer.Shape)
	// lostWork returns the accelerator time of the work that was done again.
	lostWork() time.Duration
}

// jobTimes holds when a job first started and when it ended, since the start
// of the simulation; -1 if it didn't.
type jobTimes struct {
	job            *plannedJob
	started, ended time.Duration
}

// outcome is the result of one simulation.
type outcome struct {
	jobs []*jobTimes
	// unusableFractions are samples of the fraction of the free capacity that
	// no waiting or guaranteed shape can use.
	unusableFractions []float64
	lostWork          time.Duration
}

// simulate runs a workload on a system in virtual time.
func simulate(s system, jobs []*plannedJob, w workload) *outcome {
	o := &outcome{}
	byID := map[identifier.JobID]*jobTimes{}
	next, unfinished := 0, 0
	for at := time.Duration(0); at < w.duration+maxDrainTime; at += tickInterval {
		now := simulationStart.Add(at)
		for next < len(jobs) && jobs[next].at <= at {
			t := &jobTimes{job: jobs[next], started: -1, ended: -1}
			o.jobs = append(o.jobs, t)
			byID[t.job.spec.ID] = t
			s.submit(t.job, now)
			next++
			unfinished++
		}
		started, ended := s.step(now)
		for _, id := range started {
			if byID[id].started < 0 {
				byID[id].started = at
			}
		}
		for _, id := range ended {
			byID[id].ended = at
			unfinished--
		}
		if at%sampleInterval == 0 && at < w.duration {
			o.sample(s, now)
		}
		if unfinished == 0 && next == len(jobs) {
			break
		}
	}
	o.lostWork = s.lostWork()
	return o
}

// sample records the fraction of the free capacity that no waiting or
// guaranteed shape can use, unless nothing is free.
func (o *outcome) sample(s system, now time.Time) {
	slots, waiting := s.freeCapacity(now)
	total := 0
	for i := range slots {
		total += slots[i].Free
	}
	if total == 0 {
		return
	}
	usable := 0
	for _, shape := range append(waiting, guaranteedShape) {
		usable = max(usable, packer.CountPlacements(slots, shape, total)*shape.Total())
	}
	o.unusableFractions = append(o.unusableFractions, 1-float64(usable)/float64(total))
}

// fragmentation returns the mean of the samples.
func (o *outcome) fragmentation() float64 {
	sum := 0.0
	for _, fraction := range o.unusableFractions {
		sum += fraction
	}
	return sum / float64(max(len(o.unusableFractions), 1))
}

func jobsOfMember(member string) func(*plannedJob) bool {
	return func(job *plannedJob) bool { return string(job.spec.Member) == member && !job.isStraggler }
}

func nonStragglers(job *plannedJob) bool { return !job.isStraggler }

func largeGangs(job *plannedJob) bool {
	return job.spec.Shape.Total() >= largeGangAccelerators && !job.guaranteed && !job.isStraggler
}

func guaranteedJobs(job *plannedJob) bool { return job.guaranteed }

// completionQuantile returns a quantile of the time from submission to the end.
func (o *outcome) completionQuantile(quantile float64, include func(*plannedJob) bool) time.Duration {
	return o.quantile(quantile, include, func(t *jobTimes) time.Duration { return t.ended })
}

// waitQuantile returns a quantile of the time from submission to the first
// start.
func (o *outcome) waitQuantile(quantile float64, include func(*plannedJob) bool) time.Duration {
	return o.quantile(quantile, include, func(t *jobTimes) time.Duration { return t.started })
}

// runTimeQuantile returns a quantile of the jobs' own run times, which is a
// lower bound of the completion times.
func (o *outcome) runTimeQuantile(quantile float64, include func(*plannedJob) bool) time.Duration {
	return o.quantile(quantile, include, func(t *jobTimes) time.Duration { return t.job.at + t.job.runTime })
}

// quantile returns a quantile of the time from submission to the time that at
// returns. A job for which at is negative, because it never started or ended,
// counts as if it had at 24 hours, which is beyond the end of the simulation.
func (o *outcome) quantile(quantile float64, include func(*plannedJob) bool, at func(*jobTimes) time.Duration) time.Duration {
	var durations []time.Duration
	for _, t := range o.jobs {
		if !include(t.job) {
			continue
		}
		end := at(t)
		if end < 0 {
			end = 24 * time.Hour
		}
		durations = append(durations, end-t.job.at)
	}
	sort.Slice(durations, func(i, j int) bool { return durations[i] < durations[j] })
	if len(durations) == 0 {
		return 0
	}
	return durations[min(int(quantile*float64(len(durations))), len(durations)-1)]
}

// workDone returns the accelerator time of the jobs that ended.
func (o *outcome) workDone() time.Duration {
	var sum time.Duration
	for _, t := range o.jobs {
		if t.ended >= 0 {
			sum += t.job.runTime * time.Duration(t.job.spec.Shape.Total())
		}
	}
	return sum
}

func (o *outcome) unfinished() int {
	count := 0
	for _, t := range o.jobs {
		if t.ended < 0 {
			count++
		}
	}
	return count
}

func newWorkers(count, perWorker int) []placer.Worker {
	var workers []placer.Worker
	for i := range count {
		id := identifier.WorkerID(fmt.Sprintf("w%04d", i))
		workers = append(workers, placer.Worker{
			ID: id, Address: string(id), Rack: identifier.RackID(fmt.Sprintf("r%03d", i/workersPerRack)),
			Position: i % workersPerRack, Accelerator: "gpu", Accelerators: perWorker, Incarnation: 1,
		})
	}
	return workers
}

// firstFit is the baseline. It goes through the waiting jobs in order of arrival
// and starts each that fits in its first possible placement. It never preempts.
type firstFit struct {
	slots   []packer.Slot
	waiting []*plannedJob
	running []runningJob
}

type runningJob struct {
	job    *plannedJob
	pieces []packer.Piece
	endsAt time.Time
}

func newFirstFit(w workload) *firstFit {
	f := &firstFit{}
	for _, worker := range newWorkers(w.workers, accelerators) {
		f.slots = append(f.slots, packer.Slot{Worker: worker.ID, Rack: worker.Rack, Free: accelerators, Total: accelerators})
	}
	return f
}

func (f *firstFit) submit(job *plannedJob, _ time.Time) { f.waiting = append(f.waiting, job) }

func (f *firstFit) step(now time.Time) (started, ended []identifier.JobID) {
	var running []runningJob
	for _, r := range f.running {
		if now.Before(r.endsAt) {
			running = append(running, r)
			continue
		}
		for _, piece := range r.pieces {
			f.slots[piece.Slot].Free += piece.Parts * r.job.spec.Shape.PerPart
		}
		ended = append(ended, r.job.spec.ID)
	}
	f.running = running
	var waiting []*plannedJob
	for _, job := range f.waiting {
		pieces, fits := firstPlacement(f.slots, job.spec.Shape)
		if !fits {
			waiting = append(waiting, job)
			continue
		}
		packer.Allocate(f.slots, pieces, job.spec.Shape)
		f.running = append(f.running, runningJob{job: job, pieces: pieces, endsAt: now.Add(job.runTime)})
		started = append(started, job.spec.ID)
	}
	f.waiting = waiting
	return started, ended
}

// firstPlacement returns the first placement that fits, in the order of the
// workers.
func firstPlacement(slots []packer.Slot, shape packer.Shape) ([]packer.Piece, bool) {
	for first := range slots {
		last := len(slots)
		switch shape.Adjacent {
		case packer.AdjacentWorker:
			last = first + 1
		case packer.AdjacentNeighbours, packer.AdjacentRack:
			last = first
			for last < len(slots) && slots[last].Rack == slots[first].Rack {
				last++
			}
		}
		if pieces, fits := fitParts(slots[first:last], shape, first); fits {
			return pieces, true
		}
	}
	return nil, false
}

// fitParts places the parts of a shape on slots in order, each with as many
// parts as it has capacity for. For neighbours every slot up to the last must
// take a part. Offset is the index of the first slot among all slots.
func fitParts(slots []packer.Slot, shape packer.Shape, offset int) ([]packer.Piece, bool) {
	missing := shape.Parts
	var pieces []packer.Piece
	for i := range slots {
		parts := min(slots[i].Free/shape.PerPart, missing)
		if parts == 0 && shape.Adjacent == packer.AdjacentNeighbours {
			return nil, false
		}
		if parts > 0 {
			pieces = append(pieces, packer.Piece{Slot: offset + i, Parts: parts})
			missing -= parts
		}
		if missing == 0 {
			return pieces, true
		}
	}
	return nil, false
}

func (f *firstFit) freeCapacity(time.Time) ([]packer.Slot, []packer.Shape) {
	var shapes []packer.Shape
	for _, job := range f.waiting {
		shapes = append(shapes, job.spec.Shape)
	}
	return append([]packer.Slot(nil), f.slots...), uniqueShapes(shapes)
}

func (f *firstFit) lostWork() time.Duration { return 0 }

func uniqueShapes(shapes []packer.Shape) []packer.Shape {
	seen := map[packer.Shape]bool{}
	var distinct []packer.Shape
	for _, shape := range shapes {
		if !seen[shape] {
			seen[shape] = true
			distinct = append(distinct, shape)
		}
	}
	return distinct
}

// leaseID is the id of a lease.
type leaseID = leaser.ID
