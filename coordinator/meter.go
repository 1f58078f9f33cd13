package coordinator

import (
	"time"

	"cranberrystack.dev/cranberrystack/estimator"
	"cranberrystack.dev/cranberrystack/identifier"
	"cranberrystack.dev/cranberrystack/recorder"
	"cranberrystack.dev/cranberrystack/scheduler"
)

// Metrics are measurements of the system as one instance knows it.
type Metrics struct {
	// Leader is the address of the leader, and Members holds those of the members
	// of the log.
	Leader  string   `json:"leader"`
	Members []string `json:"members"`
	// UnresponsiveMembers counts the members that have not responded to the leader
	// for a second. It is 0 on any instance but the leader.
	UnresponsiveMembers int    `json:"silent-members"`
	HoldsLeaderLease    bool   `json:"rules"`
	Term                uint64 `json:"term"`
	Commit              uint64 `json:"commit"`
	// CatalogAgeMillis is how long ago this instance last applied a new catalog or
	// restored a snapshot. It is 0 until then.
	CatalogAgeMillis int64                `json:"catalog-age-ms"`
	Statistics       scheduler.Statistics `json:"statistics"`
	Queues           []QueueMetrics       `json:"queues,omitempty"`
	// Estimates summarizes what was learned from the ends of runs.
	Estimates estimator.Statistics `json:"estimates"`
	// WaitingProposals counts the proposals that are not submitted to the log yet.
	WaitingProposals int `json:"waiting-commands"`
	// UnresponsiveWorkers counts the workers that missed their last poll. It is 0
	// on any instance but the leader.
	UnresponsiveWorkers int `json:"silent-workers"`
	DrainingWorkers     int `json:"draining-workers"`
	// TeamShares holds what the teams hold and, on the leader, what they wait for.
	TeamShares []scheduler.TeamShare `json:"team-shares,omitempty"`
	// DataCenters holds all data centres that are known here.
	DataCenters []DataCenterView `json:"data-centers"`
	// UnkeptGuarantees holds the teams whose guarantee does not fit into the capacity
	// that is left.
	UnkeptGuarantees []identifier.TeamID `json:"unkept-guarantees,omitempty"`
}

// Metrics returns the current metrics.
func (c *Coordinator) Metrics() Metrics {
	view := c.node.Leadership()
	status := c.Status()
	c.mu.Lock()
	defer c.mu.Unlock()
	metrics := Metrics{
		Leader: status.Leader, Members: status.Members, HoldsLeaderLease: status.HoldsLeaderLease, Term: uint64(view.Term), Commit: view.Commit,
		Statistics: c.state.Statistics(), Queues: c.queueMetrics(), WaitingProposals: len(c.queue),
		TeamShares: c.teamShares(), Estimates: c.state.Estimates().Statistics(),
		DataCenters: c.dataCenterViews(), UnkeptGuarantees: c.unkeptGuarantees(),
	}
	if !c.catalogSince.IsZero() {
		metrics.CatalogAgeMillis = time.Since(c.catalogSince).Milliseconds()
	}
	for _, peer := range view.Peers {
		if peer.SinceContact > time.Second {
			metrics.UnresponsiveMembers++
		}
	}
	for _, worker := range c.state.Workers() {
		if worker.State == scheduler.WorkerDraining {
			metrics.DrainingWorkers++
		}
		if c.lead == nil {
			continue
		}
		if observation := c.lead.observer.Observation(worker.ID); observation != nil && observation.MissedPolls > 0 {
			metrics.UnresponsiveWorkers++
		}
	}
	return metrics
}

func (c *Coordinator) queueMetrics() []QueueMetrics {
	var views []QueueMetrics
	for i := range c.state.Catalog().Queues {
		name := c.state.Catalog().Queues[i].Name
		views = append(views, QueueMetrics{Queue: name, Pending: c.state.Pending(name)})
	}
	return views
}

// observeJobWait records how long the first run of a job's occurrence has waited
// since the occurrence was due. The caller holds mu.
func (c *Coordinator) observeJobWait(first scheduler.RunID) {
	job := c.state.Job(first.Task.Job)
	if job == nil || first.Number != 1 || first.Task.Step != 0 || first.Task.Index != 0 {
		return
	}
	due := job.Occurrences[first.Task.Occurrence].Due
	c.observeDuration("job-wait", job, string(job.Queue), wallTime()-due)
}

// observeJobEnd records how long a job took and counts it by its last phase. A job
// that completed after its objective is also counted as late.
func (c *Coordinator) observeJobEnd(job *scheduler.Job) {
	took := job.Ended - job.Accepted
	c.observeDuration("job", job, string(job.Queue)+"."+string(job.Phase), took)
	if job.Phase == scheduler.PhaseCompleted && int64(took) > job.ObjectiveMillis() {
		c.config.Recorder.Add("jobs.late", 1)
	}
	c.config.Recorder.Add("jobs."+string(job.Phase), 1)
}

// observeDuration records a duration in the histogram of a team and class. The
// recorder drops series beyond its limit.
func (c *Coordinator) observeDuration(name string, job *scheduler.Job, class string, took scheduler.UnixMilli) {
	series := recorder.Series{Name: name, Member: identifier.MemberID(job.Team), Class: class}
	_ = c.config.Recorder.Observe(series, time.Duration(max(took, 0))*time.Millisecond)
}
