package scheduler

import "fmt"

// maxEvents bounds the events that are kept of a job; the oldest but the first
// go.
const maxEvents = 40

// JobEvent is something that happened to a job.
type JobEvent struct {
	At   UnixMilli `json:"at"`
	Text string    `json:"text"`
}

// addEvent adds an event to a job's life.
func (j *Job) addEvent(now UnixMilli, format string, arguments ...any) {
	if len(j.Events) >= maxEvents {
		j.Events = append(j.Events[:1], j.Events[2:]...)
	}
	j.Events = append(j.Events, JobEvent{At: now, Text: fmt.Sprintf(format, arguments...)})
}

// addAssignedEvent tells what was started, in one line for all runs of a step.
func (j *Job) addAssignedEvent(runs []Run, now UnixMilli) {
	first := runs[0]
	if len(runs) == 1 {
		j.addEvent(now, "%s given to %s", first.ID, first.Worker)
		return
	}
	j.addEvent(now, "%d tasks of step %s given to workers, first %s to %s", len(runs), first.ID.Task.StepID(), first.ID, first.Worker)
}
