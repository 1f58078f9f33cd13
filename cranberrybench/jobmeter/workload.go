package jobmeter

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"cranberrystack.dev/cranberrystack/configurer"
	"cranberrystack.dev/cranberrystack/identifier"
	"cranberrystack.dev/cranberrystack/packer"
	"cranberrystack.dev/cranberrystack/placer"
)

const (
	// accelerators is the number of accelerators of each worker.
	accelerators   = 8
	workersPerRack = 6
	reclaimGrace   = 30 * time.Second
	// reclaimSlack is the time that a reclaim may take beyond the grace.
	reclaimSlack = 1500 * time.Millisecond
	// largeGangAccelerators is the least number of accelerators of a large gang.
	largeGangAccelerators = 16
)

var members = []string{"isuku", "nieve", "zebra"}

// plannedJob is one job of a workload.
type plannedJob struct {
	spec placer.Spec
	// at is the time of arrival since the start of the simulation.
	at          time.Duration
	runTime     time.Duration
	isStraggler bool
	// guaranteed is true for a job within its plan's guarantee.
	guaranteed bool
}

// workload describes the jobs that arrive.
type workload struct {
	name    string
	workers int
	// duration is the time during which jobs arrive.
	duration time.Duration
	// load is the arriving work as a fraction of what the workers can do.
	load float64
	// largeFraction is the fraction of the work in large gangs.
	largeFraction float64
	// burstSize is the number of small jobs that arrive at the same time.
	burstSize int
	// estimateError is the largest factor by which declared run times are too
	// long or too short; 1 for exact ones.
	estimateError float64
	// stragglerFraction is the fraction of jobs that run 10 times as long as
	// planned.
	stragglerFraction float64
}

var workloads = []workload{
	{name: "steady mix", workers: 50, duration: 8 * time.Hour, load: 0.85, largeFraction: 0.5, burstSize: 1, estimateError: 1, stragglerFraction: 0},
	{name: "bursts of small jobs, wrong estimates", workers: 50, duration: 8 * time.Hour, load: 0.9, largeFraction: 0.4, burstSize: 60, estimateError: 5, stragglerFraction: 0},
	{name: "bursts, wrong estimates, stragglers", workers: 50, duration: 8 * time.Hour, load: 0.9, largeFraction: 0.4, burstSize: 60, estimateError: 5, stragglerFraction: 0.02},
}

var allAdjacent = []packer.Adjacency{packer.AdjacentWorker, packer.AdjacentNeighbours, packer.AdjacentRack, packer.AdjacentDataCenter}

var guaranteedShape = packer.Shape{Adjacent: packer.AdjacentNeighbours, Parts: 2, PerPart: accelerators}

// newView returns lists that guarantee four pairs of neighbouring workers each
// to isuku and nieve, and nothing to zebra.
func newView() configurer.View {
	v := configurer.View{Index: 1, Lists: configurer.Lists{Version: 1}}
	for _, member := range members {
		plan := identifier.PlanID(member + "-plan")
		v.Lists.Plans = append(v.Lists.Plans, configurer.Plan{
			ID: plan, Member: identifier.MemberID(member), Teams: []configurer.Team{{ID: "team"}},
		})
		allowance := configurer.Allowance{Plan: plan, Accelerator: "gpu", Limit: 1 << 20, Adjacent: allAdjacent}
		if member != "zebra" {
			allowance.Guarantees = []configurer.Guarantee{{
				Shape: guaranteedShape, Count: 4, Shares: []configurer.Share{{DataCenter: "dc1", Count: 4}},
			}}
		}
		v.Lists.Allowances = append(v.Lists.Allowances, allowance)
	}
	return v
}

// jobs returns the workload's jobs in order of arrival, generated from a seed.
func (w workload) jobs(seed uint64) []*plannedJob {
	random := rand.New(rand.NewPCG(seed, 5))
	var jobs []*plannedJob
	offeredWork := float64(w.workers*accelerators) * w.duration.Seconds() * w.load
	for work := 0.0; work < offeredWork*w.largeFraction; {
		job := w.newLargeJob(random)
		work += job.runTime.Seconds() * float64(job.spec.Shape.Total())
		jobs = append(jobs, job)
	}
	for work := 0.0; work < offeredWork*(1-w.largeFraction); {
		at := w.randomArrival(random)
		for range w.burstSize {
			job := w.newSmallJob(random, at)
			work += job.runTime.Seconds() * float64(job.spec.Shape.Total())
			jobs = append(jobs, job)
		}
	}
	jobs = append(jobs, w.newGuaranteedJobs(random)...)
	sort.SliceStable(jobs, func(i, j int) bool { return jobs[i].at < jobs[j].at })
	for i, job := range jobs {
		job.spec.ID = identifier.JobID(fmt.Sprintf("j%06d", i))
	}
	return jobs
}

func (w workload) randomArrival(random *rand.Rand) time.Duration {
	return time.Duration(random.Int64N(int64(w.duration))).Truncate(time.Second)
}

func (w workload) newJob(random *rand.Rand, member string, shape packer.Shape, at, runTime time.Duration) *plannedJob {
	declared := runTime
	if w.estimateError > 1 {
		factor := 1 + random.Float64()*(w.estimateError-1)
		if random.IntN(2) == 0 {
			factor = 1 / factor
		}
		declared = time.Duration(float64(runTime) * factor)
	}
	job := &plannedJob{at: at, runTime: runTime, spec: placer.Spec{
		Member: identifier.MemberID(member), Plan: identifier.PlanID(member + "-plan"), Team: "team",
		Accelerator: "gpu", Shape: shape, Checkpointable: random.IntN(4) > 0, DeclaredRunTime: declared,
		Kind: fmt.Sprint(shape.Total()),
	}}
	if random.Float64() < w.stragglerFraction {
		job.runTime *= 10
		job.isStraggler = true
	}
	return job
}

func (w workload) newLargeJob(random *rand.Rand) *plannedJob {
	shapes := []packer.Shape{
		{Adjacent: packer.AdjacentNeighbours, Parts: 3, PerPart: accelerators},
		{Adjacent: packer.AdjacentNeighbours, Parts: 5, PerPart: 4},
		{Adjacent: packer.AdjacentRack, Parts: 4, PerPart: accelerators},
		{Adjacent: packer.AdjacentRack, Parts: 32, PerPart: 1},
	}
	runTime := time.Duration(10+random.IntN(40)) * time.Minute
	return w.newJob(random, members[random.IntN(3)], shapes[random.IntN(len(shapes))], w.randomArrival(random), runTime)
}

func (w workload) newSmallJob(random *rand.Rand, at time.Duration) *plannedJob {
	shape := packer.Shape{Adjacent: packer.AdjacentWorker, Parts: 1, PerPart: 1 << random.IntN(3)}
	runTime := time.Duration(60+random.IntN(900)) * time.Second
	return w.newJob(random, members[random.IntN(3)], shape, at, runTime)
}

// newGuaranteedJobs returns jobs of the guaranteed shape. They arrive one at a
// time from each guaranteed member, so that each is within the guarantee on
// arrival.
func (w workload) newGuaranteedJobs(random *rand.Rand) []*plannedJob {
	var jobs []*plannedJob
	for _, member := range members[:2] {
		for at := 20 * time.Minute; at < w.duration; at += 40 * time.Minute {
			job := w.newJob(random, member, guaranteedShape, at, 5*time.Minute)
			job.guaranteed, job.spec.Urgent, job.spec.Kind = true, false, "claim"
			job.runTime = 5 * time.Minute
			jobs = append(jobs, job)
		}
	}
	return jobs
}
