package coordinator

import (
	"sort"

	"cranberrystack.dev/cranberrystack/forwarder"
	"cranberrystack.dev/cranberrystack/identifier"
	"cranberrystack.dev/cranberrystack/responder"
	"cranberrystack.dev/cranberrystack/scheduler"
)

// explanation is the response to a call of KindExplain.
type explanation struct {
	Job      identifier.JobID    `json:"job"`
	State    JobState            `json:"state"`
	Queue    scheduler.QueueName `json:"queue"`
	Team     identifier.TeamID   `json:"team,omitempty"`
	Accepted scheduler.UnixMilli `json:"accepted"`
	Ended    scheduler.UnixMilli `json:"ended,omitempty"`
	Reason   string              `json:"reason,omitempty"`
	// Steps is empty once the job has ended and its steps are no longer known.
	Steps        []stepRunTime    `json:"steps,omitempty"`
	WaitingTasks int              `json:"waiting-tasks"`
	DoneTasks    int              `json:"done-tasks"`
	Runs         []*scheduler.Run `json:"runs,omitempty"`
	// Events are the job's events, with the stops ordered during the current
	// leadership.
	Events []scheduler.JobEvent `json:"events"`
}

func (c *Coordinator) explain(call forwarder.Call) forwarder.Answer {
	c.mu.Lock()
	defer c.mu.Unlock()
	job := c.state.Job(identifier.JobID(call.Path))
	if job == nil {
		return problemAnswer(responder.CodeNotFound, "no such job")
	}
	e := explanation{
		Job: job.ID, State: stateOf(job), Queue: job.Queue, Team: job.Team,
		Accepted: job.Accepted, Ended: job.Ended, Reason: job.Reason, DoneTasks: job.CountDone(),
	}
	for k := range job.Occurrences {
		for i := range job.Occurrences[k].Steps {
			for j := range job.Occurrences[k].Steps[i].Tasks {
				if task := &job.Occurrences[k].Steps[i].Tasks[j]; !task.Done && task.LiveRuns == 0 {
					e.WaitingTasks++
				}
			}
		}
	}
	e.Steps = c.stepRunTimes(job)
	e.Runs = c.state.RunsOfJob(job.ID)
	e.Events = append(e.Events, job.Events...)
	if c.lead != nil {
		e.Events = append(e.Events, c.lead.stopEvents[job.ID]...)
	}
	sort.SliceStable(e.Events, func(i, j int) bool { return e.Events[i].At < e.Events[j].At })
	return documentAnswer(e)
}

// workerView is a worker as the leader has observed it. SinceContactMillis is -1
// before the first contact.
type workerView struct {
	Worker             identifier.WorkerID   `json:"worker"`
	State              scheduler.WorkerState `json:"state"`
	Pool               scheduler.PoolName    `json:"pool"`
	Runs               int                   `json:"runs"`
	SinceContactMillis int64                 `json:"heard-ms-ago"`
	MissedPolls        int                   `json:"misses"`
	// Pace is the learned pace of the worker's machine; 0 if it is unknown.
	Pace float64 `json:"pace,omitempty"`
}

// QueueMetrics counts the jobs of a queue of which no task has started.
type QueueMetrics struct {
	Queue   scheduler.QueueName `json:"queue"`
	Pending int                 `json:"pending"`
}

// teamView compares a team's guarantee with what its jobs of priority 0 use.
type teamView struct {
	Team       identifier.TeamID `json:"team"`
	Guaranteed int64             `json:"guaranteed-accelerators"`
	Used       int64             `json:"used-accelerators"`
	// Kept says that the guarantee fits beside those of the teams before it in the
	// catalog, in the data centres that are not emptied.
	Kept bool `json:"guarantee-kept"`
}

type overviewBody struct {
	Statistics scheduler.Statistics `json:"statistics"`
	Queues     []QueueMetrics       `json:"queues"`
	Teams      []teamView           `json:"teams"`
	// TeamShares holds what the teams hold and wait for, by pool.
	TeamShares []scheduler.TeamShare `json:"team-shares"`
	Workers    []workerView          `json:"workers"`
}

func (c *Coordinator) overview() forwarder.Answer {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lead == nil {
		return c.notLeader()
	}
	body := overviewBody{Statistics: c.state.Statistics(), Queues: c.queueMetrics(), TeamShares: c.teamShares()}
	kept := c.state.GuaranteesKept()
	for i := range c.state.Catalog().Teams {
		team := &c.state.Catalog().Teams[i]
		body.Teams = append(body.Teams, teamView{
			Team: team.Name, Guaranteed: team.Guarantee.Accelerators, Used: c.state.Used(team.Name).Accelerators,
			Kept: kept[team.Name],
		})
	}
	for _, worker := range c.state.Workers() {
		view := workerView{Worker: worker.ID, State: worker.State, Pool: worker.Pool, Runs: len(c.state.RunsOn(worker.ID)), Pace: c.knownPace(worker)}
		if observation := c.lead.observer.Observation(worker.ID); observation != nil {
			view.SinceContactMillis = millisSince(observation.LastContact)
			view.MissedPolls = observation.MissedPolls
		}
		body.Workers = append(body.Workers, view)
	}
	return documentAnswer(body)
}
