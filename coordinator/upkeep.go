package coordinator

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"cranberrystack.dev/cranberrystack/forwarder"
	"cranberrystack.dev/cranberrystack/identifier"
	"cranberrystack.dev/cranberrystack/responder"
	"cranberrystack.dev/cranberrystack/scheduler"
)

const (
	machineListInterval = time.Second
	upkeepTimeout       = 2 * time.Second
	upkeepRetryDelay    = 500 * time.Millisecond
)

// millisSince returns the milliseconds since a time, -1 for the zero time.
func millisSince(at time.Time) int64 {
	if at.IsZero() {
		return -1
	}
	return time.Since(at).Milliseconds()
}

// waveOrder is an operator's order for a wave of upkeep. Fractions of Seconds are
// dropped.
type waveOrder struct {
	Wave     *int64                `json:"wave"`
	Machines []scheduler.MachineID `json:"machines"`
	Seconds  float64               `json:"duration-s"`
	Cap      int                   `json:"cap"`
}

type waveBody struct {
	State string `json:"state"`
}

func (c *Coordinator) startWave(ctx context.Context, call forwarder.Call) forwarder.Answer {
	var order waveOrder
	if err := json.Unmarshal(call.Document, &order); err != nil {
		return problemAnswer(responder.CodeInvalid, err.Error())
	}
	if order.Wave == nil || order.Cap <= 0 || len(order.Machines) == 0 {
		return problemAnswer(responder.CodeInvalid, "wave, machines or cap is missing")
	}
	wave := &scheduler.Wave{ID: scheduler.WaveID(*order.Wave), DurationSeconds: int64(order.Seconds), Cap: order.Cap}
	for _, machine := range order.Machines {
		wave.Machines = append(wave.Machines, scheduler.MachineUpkeep{Machine: machine, State: scheduler.UpkeepWaiting})
	}
	results, err := c.commit(ctx, 0, scheduler.Command{Wave: wave})
	if err != nil {
		return c.commitFailure(err)
	}
	c.event("wave-accepted", "wave", wave.ID, "machines", len(wave.Machines), "cap", wave.Cap, "duration-s", wave.DurationSeconds, "outcome", results[0].Outcome)
	return forwarder.Answer{Code: forwarder.CodeOK}
}

func (c *Coordinator) waveProgress(call forwarder.Call) forwarder.Answer {
	c.mu.Lock()
	defer c.mu.Unlock()
	wave := c.state.Wave(scheduler.WaveID(call.Wave))
	if wave == nil {
		return problemAnswer(responder.CodeNotFound, fmt.Sprintf("no wave %d", call.Wave))
	}
	if wave.Completed() {
		return documentAnswer(waveBody{State: "completed"})
	}
	return documentAnswer(waveBody{State: "running"})
}

// advanceWaves requests the list of machines when it is due, and takes the next
// actions of every wave. It takes none before the first list has arrived and the
// duty lease has passed. The caller holds mu.
func (c *Coordinator) advanceWaves(now time.Time) {
	lead := c.lead
	waves := c.state.Waves()
	clear(lead.observer.Cordoned)
	for _, wave := range waves {
		for _, worker := range c.state.OrderedForUpkeep(wave) {
			lead.observer.Cordoned[worker] = true
		}
	}
	if len(waves) == 0 || c.config.MachineManager.List == nil {
		return
	}
	if !lead.listing && now.Sub(lead.listedAt) >= machineListInterval {
		lead.listing = true
		go c.listMachines(lead)
	}
	if lead.machines == nil || now.Sub(lead.observer.Since) < c.options.dutyLease {
		return
	}
	inventory := scheduler.MachineInventory{Worker: map[scheduler.MachineID]identifier.WorkerID{}, Down: map[scheduler.MachineID]bool{}, Known: map[scheduler.MachineID]bool{}}
	for _, machine := range lead.machines {
		inventory.Known[machine.ID] = true
		inventory.Down[machine.ID] = machine.State == MachineInUpkeep
		if machine.State == MachineUp {
			inventory.Worker[machine.ID] = machine.Worker
		}
	}
	for _, wave := range waves {
		c.advanceWave(wave, inventory, now)
	}
}

func (c *Coordinator) advanceWave(wave *scheduler.Wave, inventory scheduler.MachineInventory, now time.Time) {
	lead := c.lead
	actions := scheduler.NextUpkeep(c.state, lead.observer, wave, inventory, c.lead.listedAt, wallTime())
	for _, worker := range actions.Cordon {
		lead.observer.Cordoned[worker] = true
	}
	for _, stop := range actions.Stop {
		c.orderStop(stop, now)
	}
	for i := range actions.Changes {
		change := actions.Changes[i]
		if lead.upkeepInFlight[change.Machine] {
			continue
		}
		lead.upkeepInFlight[change.Machine] = true
		p := c.enqueue(lead.fencingToken, scheduler.Command{Upkeep: &change})
		go c.sendUpkeepOrder(lead, change, p)
	}
}

// sendUpkeepOrder waits until a state change is committed and, if it is the change
// to UpkeepOrdered, sends the order. The change is committed first so that every
// later leader knows that the order may have been sent.
func (c *Coordinator) sendUpkeepOrder(lead *leadership, change scheduler.Upkeep, p *proposal) {
	defer func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(lead.upkeepInFlight, change.Machine)
	}()
	if _, err := p.wait(lead.ctx); err != nil {
		return
	}
	c.event("upkeep-state-changed", "wave", change.Wave, "machine", change.Machine, "state", change.State)
	if change.State != scheduler.UpkeepOrdered || !c.node.HoldsLeaderLease() {
		return
	}
	ctx, cancel := context.WithTimeout(lead.ctx, upkeepTimeout)
	defer cancel()
	answer, err := c.config.MachineManager.Upkeep(ctx, change.Machine, change.Wave, lead.fencingToken)
	c.event("upkeep-response", "wave", change.Wave, "machine", change.Machine, "response", answer, "error", err)
	next := scheduler.UpkeepState("")
	switch {
	case err != nil:
		sleepContext(lead.ctx, upkeepRetryDelay)
	case answer == UpkeepAccepted:
		next = scheduler.UpkeepBegun
	case answer == UpkeepUnknown:
		next = scheduler.UpkeepLost
	default:
		next = scheduler.UpkeepWaiting
		sleepContext(lead.ctx, upkeepRetryDelay)
	}
	if next != "" {
		_, _ = c.commit(lead.ctx, lead.fencingToken, scheduler.Command{Upkeep: &scheduler.Upkeep{Wave: change.Wave, Machine: change.Machine, State: next}})
	}
}

func (c *Coordinator) listMachines(lead *leadership) {
	ctx, cancel := context.WithTimeout(lead.ctx, upkeepTimeout)
	defer cancel()
	sent := time.Now()
	machines, err := c.config.MachineManager.List(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	lead.listing = false
	if err != nil {
		c.event("machine-list-failed", "error", err)
		return
	}
	lead.machines = machines
	lead.listedAt = sent
	c.wakeLoop()
}
