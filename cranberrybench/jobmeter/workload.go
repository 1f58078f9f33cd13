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
	accelerators = 8
	perRack      = 6
	grace        = 30 * time.Second
	// reclaimSlack is what a reclaim may take beyond the grace.
	reclaimSlack = 1500 * time.Millisecond
	// largeGang is the number of accelerators from which a gang counts as
	// large.
	largeGang = 16
)

var members = []string{"isuku", "nieve", "zebra"}

// plannedJob is one job of a workload.
type plannedJob struct {
	spec   placer.Spec
	at     time.Duration
	takes  time.Duration
	isLate bool
	// claim marks a job within its plan's guarantee.
	claim bool
}

// workload says what arrives.
type workload struct {
	name    string
	workers int
	length  time.Duration
	// load is the work that arrives over what the workers can do.
	load float64
	// largeShare is the part of the work that comes in large gangs.
	largeShare float64
	// burst is the number of small jobs that arrive together.
	burst int
	// wrong is the factor by which declared run times are off, up or down.
	wrong float64
	// stragglers is the part of jobs that run 10 times as long.
	stragglers float64
}

var workloads = []workload{
	{name: "steady mix", workers: 50, length: 8 * time.Hour, load: 0.85, largeShare: 0.5, burst: 1, wrong: 1, stragglers: 0},
	{name: "bursts of small jobs, wrong estimates", workers: 50, length: 8 * time.Hour, load: 0.9, largeShare: 0.4, burst: 60, wrong: 5, stragglers: 0},
	{name: "bursts, wrong estimates, stragglers", workers: 50, length: 8 * time.Hour, load: 0.9, largeShare: 0.4, burst: 60, wrong: 5, stragglers: 0.02},
}

var allAdjacent = []packer.Adjacency{packer.AdjacentWorker, packer.AdjacentNeighbours, packer.AdjacentRack, packer.AdjacentDataCenter}

var claimShape = packer.Shape{Adjacent: packer.AdjacentNeighbours, Parts: 2, PerPart: accelerators}

// view guarantees four pairs of neighbouring workers to isuku and to nieve.
func view() configurer.View {
	v := configurer.View{Index: 1, Lists: configurer.Lists{Version: 1}}
	for _, member := range members {
		plan := identifier.PlanID(member + "-plan")
		v.Lists.Plans = append(v.Lists.Plans, configurer.Plan{
			ID: plan, Member: identifier.MemberID(member), Teams: []configurer.Team{{ID: "team"}},
		})
		allowance := configurer.Allowance{Plan: plan, Accelerator: "gpu", Limit: 1 << 20, Adjacent: allAdjacent}
		if member != "zebra" {
			allowance.Guarantees = []configurer.Guarantee{{
				Shape: claimShape, Count: 4, Shares: []configurer.Share{{DataCenter: "dc1", Count: 4}},
			}}
		}
		v.Lists.Allowances = append(v.Lists.Allowances, allowance)
	}
	return v
}

// jobs draws the workload's jobs from a seed.
func (w workload) jobs(seed uint64) []*plannedJob {
	random := rand.New(rand.NewPCG(seed, 5))
	var jobs []*plannedJob
	total := float64(w.workers*accelerators) * w.length.Seconds() * w.load
	for spent := 0.0; spent < total*w.largeShare; {
		job := w.large(random)
		spent += job.takes.Seconds() * float64(job.spec.Shape.Total())
		jobs = append(jobs, job)
	}
	for spent := 0.0; spent < total*(1-w.largeShare); {
		at := w.moment(random)
		for range w.burst {
			job := w.small(random, at)
			spent += job.takes.Seconds() * float64(job.spec.Shape.Total())
			jobs = append(jobs, job)
		}
	}
	jobs = append(jobs, w.claims(random)...)
	sort.SliceStable(jobs, func(i, j int) bool { return jobs[i].at < jobs[j].at })
	for i, job := range jobs {
		job.spec.ID = identifier.JobID(fmt.Sprintf("j%06d", i))
	}
	return jobs
}

func (w workload) moment(random *rand.Rand) time.Duration {
	return time.Duration(random.Int64N(int64(w.length))).Truncate(time.Second)
}

func (w workload) job(random *rand.Rand, member string, shape packer.Shape, at, takes time.Duration) *plannedJob {
	declared := takes
	if w.wrong > 1 {
		factor := 1 + random.Float64()*(w.wrong-1)
		if random.IntN(2) == 0 {
			factor = 1 / factor
		}
		declared = time.Duration(float64(takes) * factor)
	}
	job := &plannedJob{at: at, takes: takes, spec: placer.Spec{
		Member: identifier.MemberID(member), Plan: identifier.PlanID(member + "-plan"), Team: "team",
		Accelerator: "gpu", Shape: shape, Checkpointable: random.IntN(4) > 0, DeclaredRunTime: declared,
		Kind: fmt.Sprint(shape.Total()),
	}}
	if random.Float64() < w.stragglers {
		job.takes *= 10
		job.isLate = true
	}
	return job
}

func (w workload) large(random *rand.Rand) *plannedJob {
	shapes := []packer.Shape{
		{Adjacent: packer.AdjacentNeighbours, Parts: 3, PerPart: accelerators},
		{Adjacent: packer.AdjacentNeighbours, Parts: 5, PerPart: 4},
		{Adjacent: packer.AdjacentRack, Parts: 4, PerPart: accelerators},
		{Adjacent: packer.AdjacentRack, Parts: 32, PerPart: 1},
	}
	takes := time.Duration(10+random.IntN(40)) * time.Minute
	return w.job(random, members[random.IntN(3)], shapes[random.IntN(len(shapes))], w.moment(random), takes)
}

func (w workload) small(random *rand.Rand, at time.Duration) *plannedJob {
	shape := packer.Shape{Adjacent: packer.AdjacentWorker, Parts: 1, PerPart: 1 << random.IntN(3)}
	takes := time.Duration(60+random.IntN(900)) * time.Second
	return w.job(random, members[random.IntN(3)], shape, at, takes)
}

// claims come one at a time from each guaranteed member, so that each is
// within the guarantee when it arrives.
func (w workload) claims(random *rand.Rand) []*plannedJob {
	var jobs []*plannedJob
	for _, member := range members[:2] {
		for at := 20 * time.Minute; at < w.length; at += 40 * time.Minute {
			job := w.job(random, member, claimShape, at, 5*time.Minute)
			job.claim, job.spec.Urgent, job.spec.Kind = true, false, "claim"
			job.takes = 5 * time.Minute
			jobs = append(jobs, job)
		}
	}
	return jobs
}
