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
	tick        = 500 * time.Millisecond
	sampleEvery = time.Minute
	reportEvery = 10 * time.Second
	// checkpointTime is how long a stand-in checkpoint takes.
	checkpointTime = 5 * time.Second
	// drainTime is how long jobs may go on after the last arrival.
	drainTime = 8 * time.Hour
)

var epochStart = time.Unix(1_000_000, 0)

// scheduler is what is measured.
type scheduler interface {
	submit(job *plannedJob, now time.Time)
	// step lets time pass and returns the jobs that have started and ended.
	step(now time.Time) (started, ended []identifier.JobID)
	// free returns the free space, and the shapes that wait.
	free(now time.Time) ([]packer.Slot, []packer.Shape)
	lostWork() time.Duration
}

type played struct {
	job            *plannedJob
	started, ended time.Duration
}

type outcome struct {
	jobs      []*played
	fragments []float64
	lost      time.Duration
}

// play drives a scheduler through a workload in virtual time.
func play(s scheduler, jobs []*plannedJob, w workload) *outcome {
	o := &outcome{}
	byID := map[identifier.JobID]*played{}
	next, open := 0, 0
	for at := time.Duration(0); at < w.length+drainTime; at += tick {
		now := epochStart.Add(at)
		for next < len(jobs) && jobs[next].at <= at {
			p := &played{job: jobs[next], started: -1, ended: -1}
			o.jobs = append(o.jobs, p)
			byID[p.job.spec.ID] = p
			s.submit(p.job, now)
			next++
			open++
		}
		started, ended := s.step(now)
		for _, id := range started {
			if byID[id].started < 0 {
				byID[id].started = at
			}
		}
		for _, id := range ended {
			byID[id].ended = at
			open--
		}
		if at%sampleEvery == 0 && at < w.length {
			o.sample(s, now)
		}
		if open == 0 && next == len(jobs) {
			break
		}
	}
	o.lost = s.lostWork()
	return o
}

// sample measures the part of the free space that no waiting or guaranteed
// shape can use.
func (o *outcome) sample(s scheduler, now time.Time) {
	slots, waiting := s.free(now)
	total := 0
	for i := range slots {
		total += slots[i].Free
	}
	if total == 0 {
		return
	}
	usable := 0
	for _, shape := range append(waiting, claimShape) {
		usable = max(usable, packer.CountPlacements(slots, shape, total)*shape.Total())
	}
	o.fragments = append(o.fragments, 1-float64(usable)/float64(total))
}

func (o *outcome) fragmentation() float64 {
	sum := 0.0
	for _, fragment := range o.fragments {
		sum += fragment
	}
	return sum / float64(max(len(o.fragments), 1))
}

func ofMember(member string) func(*plannedJob) bool {
	return func(job *plannedJob) bool { return string(job.spec.Member) == member && !job.isLate }
}

func all(job *plannedJob) bool { return !job.isLate }

func large(job *plannedJob) bool {
	return job.spec.Shape.Total() >= largeGang && !job.claim && !job.isLate
}

func claims(job *plannedJob) bool { return job.claim }

// completion returns a quantile of the time from submission to the end. A job
// that never ended counts with the whole run.
func (o *outcome) completion(quantile float64, pick func(*plannedJob) bool) time.Duration {
	return o.quantile(quantile, pick, func(p *played) time.Duration { return p.ended })
}

// wait returns a quantile of the time from submission to the first start.
func (o *outcome) wait(quantile float64, pick func(*plannedJob) bool) time.Duration {
	return o.quantile(quantile, pick, func(p *played) time.Duration { return p.started })
}

// runTime returns a quantile of the jobs' own run times, below which no
// completion can go.
func (o *outcome) runTime(quantile float64, pick func(*plannedJob) bool) time.Duration {
	return o.quantile(quantile, pick, func(p *played) time.Duration { return p.job.at + p.job.takes })
}

func (o *outcome) quantile(quantile float64, pick func(*plannedJob) bool, at func(*played) time.Duration) time.Duration {
	var took []time.Duration
	for _, p := range o.jobs {
		if !pick(p.job) {
			continue
		}
		end := at(p)
		if end < 0 {
			end = 24 * time.Hour
		}
		took = append(took, end-p.job.at)
	}
	sort.Slice(took, func(i, j int) bool { return took[i] < took[j] })
	if len(took) == 0 {
		return 0
	}
	return took[min(int(quantile*float64(len(took))), len(took)-1)]
}

func (o *outcome) done() time.Duration {
	var sum time.Duration
	for _, p := range o.jobs {
		if p.ended >= 0 {
			sum += p.job.takes * time.Duration(p.job.spec.Shape.Total())
		}
	}
	return sum
}

func (o *outcome) unfinished() int {
	count := 0
	for _, p := range o.jobs {
		if p.ended < 0 {
			count++
		}
	}
	return count
}

func workersOf(count, perWorker int) []placer.Worker {
	var all []placer.Worker
	for i := range count {
		id := identifier.WorkerID(fmt.Sprintf("w%04d", i))
		all = append(all, placer.Worker{
			ID: id, Address: string(id), Rack: identifier.RackID(fmt.Sprintf("r%03d", i/perRack)),
			Position: i % perRack, Accelerator: "gpu", Accelerators: perWorker, Incarnation: 1,
		})
	}
	return all
}

// firstFit takes waiting jobs in order of arrival and puts each that fits into
// the first place that holds it. It never takes space back.
type firstFit struct {
	slots   []packer.Slot
	waiting []*plannedJob
	running []fitted
}

type fitted struct {
	job    *plannedJob
	pieces []packer.Piece
	ends   time.Time
}

func newFirstFit(w workload) *firstFit {
	f := &firstFit{}
	for _, worker := range workersOf(w.workers, accelerators) {
		f.slots = append(f.slots, packer.Slot{Worker: worker.ID, Rack: worker.Rack, Free: accelerators, Total: accelerators})
	}
	return f
}

func (f *firstFit) submit(job *plannedJob, _ time.Time) { f.waiting = append(f.waiting, job) }

func (f *firstFit) step(now time.Time) (started, ended []identifier.JobID) {
	var running []fitted
	for _, one := range f.running {
		if now.Before(one.ends) {
			running = append(running, one)
			continue
		}
		for _, piece := range one.pieces {
			f.slots[piece.Slot].Free += piece.Parts * one.job.spec.Shape.PerPart
		}
		ended = append(ended, one.job.spec.ID)
	}
	f.running = running
	var waiting []*plannedJob
	for _, job := range f.waiting {
		pieces, fits := firstPlace(f.slots, job.spec.Shape)
		if !fits {
			waiting = append(waiting, job)
			continue
		}
		packer.Allocate(f.slots, pieces, job.spec.Shape)
		f.running = append(f.running, fitted{job: job, pieces: pieces, ends: now.Add(job.takes)})
		started = append(started, job.spec.ID)
	}
	f.waiting = waiting
	return started, ended
}

// firstPlace looks at the workers in order and takes the first place that
// fits.
func firstPlace(slots []packer.Slot, shape packer.Shape) ([]packer.Piece, bool) {
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
		if pieces, fits := firstPieces(slots[first:last], shape, first); fits {
			return pieces, true
		}
	}
	return nil, false
}

func firstPieces(slots []packer.Slot, shape packer.Shape, offset int) ([]packer.Piece, bool) {
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

func (f *firstFit) free(time.Time) ([]packer.Slot, []packer.Shape) {
	var shapes []packer.Shape
	for _, job := range f.waiting {
		shapes = append(shapes, job.spec.Shape)
	}
	return append([]packer.Slot(nil), f.slots...), unique(shapes)
}

func (f *firstFit) lostWork() time.Duration { return 0 }

func unique(shapes []packer.Shape) []packer.Shape {
	seen := map[packer.Shape]bool{}
	var once []packer.Shape
	for _, shape := range shapes {
		if !seen[shape] {
			seen[shape] = true
			once = append(once, shape)
		}
	}
	return once
}

// leaseID is short for the id of a lease.
type leaseID = leaser.ID
