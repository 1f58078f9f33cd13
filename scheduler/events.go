package scheduler

import "fmt"

// maxEvents bounds the events retained per job. Beyond it, the oldest event but
// the first is dropped.
const maxEvents = 40

// JobEvent is something that happened to a job.
type JobEvent struct {
	At   UnixMilli `json:"at"`
	Text string    `json:"text"`
}

// addEvent adds an event to a job.
func (j *Job) addEvent(now UnixMilli, format string, arguments ...any) {
	if len(j.Events) >= maxEvents {
		j.Events = append(j.Events[:1], j.Events[2:]...)
	}
	j.Events = append(j.Events, JobEvent{At: now, Text: fmt.Sprintf(format, arguments...)})
}

// addAssignedEvent adds one event for all runs that an assignment started.
func (j *Job) addAssignedEvent(runs []Run, now UnixMilli) {
	first := runs[0]
	if len(runs) == 1 {
		j.addEvent(now, "%s given to %s", first.ID, first.Worker)
		return
	}
	j.addEvent(now, "%d tasks of step %s given to workers, first %s to %s", len(runs), first.ID.Task.StepID(), first.ID, first.Worker)
}
