package jobmeter

import (
	"time"

	"cranberrystack.dev/cranberrystack/identifier"
	"cranberrystack.dev/cranberrystack/leaser"
	"cranberrystack.dev/cranberrystack/packer"
	"cranberrystack.dev/cranberrystack/placer"
)

// fakeWorker simulates a worker that executes commands at once.
type fakeWorker struct {
	info     placer.Worker
	table    *leaser.Table
	tasks    map[leaseID]*fakeTask
	sequence uint64
	// changed is true if a task has ended since the last report.
	changed bool
}

type fakeTask struct {
	// stopsAt is when a stop command takes effect; zero if there is none.
	startedAt, endsAt, stopsAt time.Time
	// resumeFrom is the run time up to the checkpoint that the task started
	// from.
	resumeFrom      time.Duration
	savesCheckpoint bool
}

// placerSystem runs the placer's engine with fake workers.
type placerSystem struct {
	engine        *placer.Engine
	workers       []*fakeWorker
	workersByID   map[identifier.WorkerID]*fakeWorker
	runTimes      map[identifier.JobID]time.Duration
	jobs          map[identifier.JobID]placer.Job
	waitingShapes map[identifier.JobID]packer.Shape
	started       []identifier.JobID
	ended         []identifier.JobID
	allReportedAt time.Time
	lastReporter  int
}

func newPlacerSystem(w workload) *placerSystem {
	return newPlacerSystemOn(newWorkers(w.workers, accelerators), simulationStart)
}

func newPlacerSystemOn(workers []placer.Worker, now time.Time) *placerSystem {
	p := &placerSystem{
		workersByID: map[identifier.WorkerID]*fakeWorker{}, runTimes: map[identifier.JobID]time.Duration{},
		jobs: map[identifier.JobID]placer.Job{}, waitingShapes: map[identifier.JobID]packer.Shape{},
		engine: placer.New("dc1", 1, 1, nil, now, placer.Grace(reclaimGrace), placer.ReportTimeout(time.Minute)),
	}
	p.engine.SetLists(newView())
	for _, info := range workers {
		w := &fakeWorker{info: info, table: leaser.NewTable(info.Accelerators), tasks: map[leaseID]*fakeTask{}}
		p.workers = append(p.workers, w)
		p.workersByID[info.ID] = w
		p.report(w, now)
	}
	return p
}

func (p *placerSystem) report(w *fakeWorker, now time.Time) {
	w.sequence++
	w.changed = false
	report := placer.Report{Worker: w.info, Sequence: w.sequence, Leases: w.table.All(now)}
	if current, err := p.engine.HandleReport(report, now); err == nil && current {
		w.table.Renew(now.Add(p.engine.LeaseTTL()))
	}
}

func (p *placerSystem) submit(job *plannedJob, now time.Time) {
	p.runTimes[job.spec.ID] = job.runTime
	p.waitingShapes[job.spec.ID] = job.spec.Shape
	if err := p.engine.Submit(job.spec, now); err != nil {
		panic(err)
	}
}

func (p *placerSystem) step(now time.Time) (started, ended []identifier.JobID) {
	p.started, p.ended = nil, nil
	reportAll := now.Sub(p.allReportedAt) >= reportInterval
	if reportAll {
		p.allReportedAt = now
	}
	for _, w := range p.workers {
		p.endDueTasks(w, now)
		if reportAll || w.changed {
			p.report(w, now)
		}
	}
	p.executeCommands(now)
	p.engine.Tick(now)
	p.executeCommands(now)
	return p.started, p.ended
}

// executeCommands executes the engine's commands, and reports their results,
// until it issues none.
func (p *placerSystem) executeCommands(now time.Time) {
	for {
		output := p.engine.TakeOutput()
		for _, job := range output.ChangedJobs {
			p.recordJob(job)
		}
		if len(output.Commands) == 0 {
			return
		}
		commanded := map[identifier.WorkerID]bool{}
		for _, command := range output.Commands {
			p.execute(p.workersByID[command.Worker], command, now)
			commanded[command.Worker] = true
		}
		for _, w := range p.workers {
			if commanded[w.info.ID] {
				p.report(w, now)
			}
		}
	}
}

func (p *placerSystem) recordJob(job placer.Job) {
	id := job.Spec.ID
	previous := p.jobs[id].State
	p.jobs[id] = job
	switch {
	case job.State == placer.StateRunning && previous != placer.StateRunning:
		p.started = append(p.started, id)
	case job.State.Ended() && !previous.Ended():
		p.ended = append(p.ended, id)
	}
	if job.State == placer.StateQueued {
		p.waitingShapes[id] = job.Spec.Shape
		return
	}
	delete(p.waitingShapes, id)
}

func (p *placerSystem) execute(w *fakeWorker, command placer.Command, now time.Time) {
	switch command.Kind {
	case placer.CommandLease:
		if err := w.table.Grant(command.ID, command.Accelerators, now.Add(command.TTL)); err != nil {
			w.table.Close(command.ID, leaser.StateStopped, err.Error(), now)
		}
	case placer.CommandStart:
		if first, err := w.table.Start(command.ID); err == nil && first {
			endsAt := now.Add(p.runTimes[command.ID.Job] - command.ResumeFrom)
			w.tasks[command.ID] = &fakeTask{startedAt: now, endsAt: endsAt, resumeFrom: command.ResumeFrom}
		}
	case placer.CommandStop:
		task, running := w.tasks[command.ID]
		if !running {
			w.table.Close(command.ID, leaser.StateStopped, "", now)
			return
		}
		task.stopsAt, task.savesCheckpoint = now, command.Checkpoint
		if command.Checkpoint {
			task.stopsAt = now.Add(min(checkpointTime, command.Grace))
		}
		p.endDueTasks(w, now)
	}
}

// endDueTasks stops or finishes the tasks of a worker that are due.
func (p *placerSystem) endDueTasks(w *fakeWorker, now time.Time) {
	for id, task := range w.tasks {
		switch {
		case !task.stopsAt.IsZero() && !now.Before(task.stopsAt):
			if task.savesCheckpoint {
				w.table.RecordProgress(id, task.resumeFrom+now.Sub(task.startedAt))
			}
			w.table.Close(id, leaser.StateStopped, "", now)
		case !now.Before(task.endsAt):
			w.table.Close(id, leaser.StateFinished, "", now)
		default:
			continue
		}
		delete(w.tasks, id)
		w.changed = true
	}
}

func (p *placerSystem) freeCapacity(time.Time) ([]packer.Slot, []packer.Shape) {
	var slots []packer.Slot
	for _, w := range p.workers {
		slots = append(slots, packer.Slot{Worker: w.info.ID, Rack: w.info.Rack, Free: w.table.Free(), Total: w.info.Accelerators})
	}
	var shapes []packer.Shape
	for _, shape := range p.waitingShapes {
		shapes = append(shapes, shape)
	}
	return slots, uniqueShapes(shapes)
}

func (p *placerSystem) lostWork() time.Duration {
	var lost time.Duration
	for _, job := range p.jobs {
		lost += job.LostWork
	}
	return lost
}
