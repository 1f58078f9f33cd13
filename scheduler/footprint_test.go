package scheduler

import "testing"

// Guards against memory that ended jobs keep: jobs of many tasks that are submitted and
// cancelled one after the other must not add up, also after a restart.
func TestEndedJobsAreReleased(t *testing.T) {
	p := newPool(t, 2)
	for i := range 20 {
		job := p.submit(i+1, "long", tasks(10000, 8))
		p.plan()
		p.apply(Command{Cancel: &Cancel{Job: job}})
		for run := range p.state.runs {
			p.end(run, EndStopped)
		}
	}
	data, err := p.state.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := NewState()
	if err := restored.Restore(data); err != nil {
		t.Fatal(err)
	}
	const limit = 20 * 2 * jobBytes
	if p.state.Footprint() > limit || restored.Footprint() != p.state.Footprint() {
		t.Errorf("20 ended jobs take %d bytes and %d after a restart, want at most %d", p.state.Footprint(), restored.Footprint(), limit)
	}
}

// Guards against a job of very many steps that occupies each instance when it is
// accepted, and at each restart: its critical path must be found in one pass.
func TestCriticalPathTakesOnePass(t *testing.T) {
	request := Request{Steps: make([]Step, 5000)}
	for i := range request.Steps {
		request.Steps[i].EstimateMillis = 10
		if i > 0 {
			request.Steps[i].DependsOn = []int{i - 1}
		}
	}
	if got := request.criticalPathMillis(); got != 50000 {
		t.Errorf("critical path %d ms, want 50000", got)
	}
	if allocations := testing.AllocsPerRun(3, func() { request.criticalPathMillis() }); allocations > 1 {
		t.Errorf("%v allocations for 5000 steps, want one", allocations)
	}
}
