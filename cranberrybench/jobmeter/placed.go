package jobmeter

import (
	"time"

	"cranberrystack.dev/cranberrystack/identifier"
	"cranberrystack.dev/cranberrystack/leaser"
	"cranberrystack.dev/cranberrystack/packer"
	"cranberrystack.dev/cranberrystack/placer"
)

// standIn is a worker that obeys at once.
type standIn struct {
	info     placer.Worker
	table    *leaser.Table
	tasks    map[leaseID]*standInTask
	sequence uint64
	changed  bool
}

type standInTask struct {
	began, ends, stops time.Time
	resume             time.Duration
	checkpoint         bool
}

// placed drives the engine with stand-in workers.
type placed struct {
	engine   *placer.Engine
	workers  []*standIn
	byID     map[identifier.WorkerID]*standIn
	takes    map[identifier.JobID]time.Duration
	states   map[identifier.JobID]placer.Job
	waiting  map[identifier.JobID]packer.Shape
	started  []identifier.JobID
	ended    []identifier.JobID
	reported time.Time
	turn     int
}

func newPlaced(w workload) *placed {
	return newPlacedOn(workersOf(w.workers, accelerators), epochStart)
}

func newPlacedOn(workers []placer.Worker, now time.Time) *placed {
	p := &placed{
		byID: map[identifier.WorkerID]*standIn{}, takes: map[identifier.JobID]time.Duration{},
		states: map[identifier.JobID]placer.Job{}, waiting: map[identifier.JobID]packer.Shape{},
		engine: placer.New("dc1", 1, 1, nil, now, placer.Grace(grace), placer.ReportTimeout(time.Minute)),
	}
	p.engine.SetLists(view())
	for _, info := range workers {
		s := &standIn{info: info, table: leaser.NewTable(info.Accelerators), tasks: map[leaseID]*standInTask{}}
		p.workers = append(p.workers, s)
		p.byID[info.ID] = s
		p.report(s, now)
	}
	return p
}

func (p *placed) report(s *standIn, now time.Time) {
	s.sequence++
	s.changed = false
	report := placer.Report{Worker: s.info, Sequence: s.sequence, Leases: s.table.All(now)}
	if current, err := p.engine.HandleReport(report, now); err == nil && current {
		s.table.Renew(now.Add(p.engine.LeaseTTL()))
	}
}

func (p *placed) submit(job *plannedJob, now time.Time) {
	p.takes[job.spec.ID] = job.takes
	p.waiting[job.spec.ID] = job.spec.Shape
	if err := p.engine.Submit(job.spec, now); err != nil {
		panic(err)
	}
}

func (p *placed) step(now time.Time) (started, ended []identifier.JobID) {
	p.started, p.ended = nil, nil
	all := now.Sub(p.reported) >= reportEvery
	if all {
		p.reported = now
	}
	for _, s := range p.workers {
		p.runTasks(s, now)
		if all || s.changed {
			p.report(s, now)
		}
	}
	p.settle(now)
	p.engine.Tick(now)
	p.settle(now)
	return p.started, p.ended
}

// settle carries out commands until there are none.
func (p *placed) settle(now time.Time) {
	for {
		output := p.engine.TakeOutput()
		for _, job := range output.ChangedJobs {
			p.note(job)
		}
		if len(output.Commands) == 0 {
			return
		}
		touched := map[identifier.WorkerID]bool{}
		for _, command := range output.Commands {
			p.obey(p.byID[command.Worker], command, now)
			touched[command.Worker] = true
		}
		for _, s := range p.workers {
			if touched[s.info.ID] {
				p.report(s, now)
			}
		}
	}
}

func (p *placed) note(job placer.Job) {
	id := job.Spec.ID
	before := p.states[id].State
	p.states[id] = job
	switch {
	case job.State == placer.StateRunning && before != placer.StateRunning:
		p.started = append(p.started, id)
	case job.State.Ended() && !before.Ended():
		p.ended = append(p.ended, id)
	}
	if job.State == placer.StateQueued {
		p.waiting[id] = job.Spec.Shape
		return
	}
	delete(p.waiting, id)
}

func (p *placed) obey(s *standIn, command placer.Command, now time.Time) {
	switch command.Kind {
	case placer.CommandLease:
		if err := s.table.Grant(command.ID, command.Accelerators, now.Add(command.TTL)); err != nil {
			s.table.Close(command.ID, leaser.StateStopped, err.Error(), now)
		}
	case placer.CommandStart:
		if first, err := s.table.Start(command.ID); err == nil && first {
			ends := now.Add(p.takes[command.ID.Job] - command.ResumeFrom)
			s.tasks[command.ID] = &standInTask{began: now, ends: ends, resume: command.ResumeFrom}
		}
	case placer.CommandStop:
		task, running := s.tasks[command.ID]
		if !running {
			s.table.Close(command.ID, leaser.StateStopped, "", now)
			return
		}
		task.stops, task.checkpoint = now, command.Checkpoint
		if command.Checkpoint {
			task.stops = now.Add(min(checkpointTime, command.Grace))
		}
		p.runTasks(s, now)
	}
}

func (p *placed) runTasks(s *standIn, now time.Time) {
	for id, task := range s.tasks {
		switch {
		case !task.stops.IsZero() && !now.Before(task.stops):
			if task.checkpoint {
				s.table.RecordProgress(id, task.resume+now.Sub(task.began))
			}
			s.table.Close(id, leaser.StateStopped, "", now)
		case !now.Before(task.ends):
			s.table.Close(id, leaser.StateFinished, "", now)
		default:
			continue
		}
		delete(s.tasks, id)
		s.changed = true
	}
}

func (p *placed) free(time.Time) ([]packer.Slot, []packer.Shape) {
	var slots []packer.Slot
	for _, s := range p.workers {
		slots = append(slots, packer.Slot{Worker: s.info.ID, Rack: s.info.Rack, Free: s.table.Free(), Total: s.info.Accelerators})
	}
	var shapes []packer.Shape
	for _, shape := range p.waiting {
		shapes = append(shapes, shape)
	}
	return slots, unique(shapes)
}

func (p *placed) lostWork() time.Duration {
	var lost time.Duration
	for _, job := range p.states {
		lost += job.LostWork
	}
	return lost
}
