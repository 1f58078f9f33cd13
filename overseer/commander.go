package overseer

import (
	"context"
	"sync"
	"time"

	"cranberrystack.dev/cranberrystack/identifier"
	"cranberrystack.dev/cranberrystack/messenger"
	"cranberrystack.dev/cranberrystack/placer"
)

const (
	commandPath    = "/commands"
	commandTimeout = 2 * time.Second
)

type commandMessage struct {
	Commands []placer.Command `json:"commands"`
}

// commander sends the engine's commands to workers. Each worker receives one
// message at a time, with its commands in the order of the decisions. A command
// whose message fails is not sent again by the commander.
type commander struct {
	messenger *messenger.Messenger
	// onReport receives the report with which a worker responds to commands.
	onReport func(identifier.WorkerID, placer.Report)
	state    *commanderState
}

type commanderState struct {
	// mu guards pending and busy.
	mu      sync.Mutex
	pending map[identifier.WorkerID][]placer.Command
	// busy holds the workers that have a goroutine in deliverPending.
	busy    map[identifier.WorkerID]bool
	sending sync.WaitGroup
}

func newCommander(m *messenger.Messenger, onReport func(identifier.WorkerID, placer.Report)) commander {
	return commander{messenger: m, onReport: onReport, state: &commanderState{
		pending: map[identifier.WorkerID][]placer.Command{}, busy: map[identifier.WorkerID]bool{},
	}}
}

// send queues commands for delivery. A command for a worker without a known
// address is dropped.
func (c commander) send(commands []placer.Command, addresses map[identifier.WorkerID]string) {
	c.state.mu.Lock()
	defer c.state.mu.Unlock()
	for _, command := range commands {
		worker := command.Worker
		if addresses[worker] == "" {
			continue
		}
		c.state.pending[worker] = append(c.state.pending[worker], command)
		if !c.state.busy[worker] {
			c.state.busy[worker] = true
			c.state.sending.Go(func() { c.deliverPending(worker, addresses[worker]) })
		}
	}
}

func (c commander) deliverPending(worker identifier.WorkerID, address string) {
	for {
		c.state.mu.Lock()
		commands := c.state.pending[worker]
		delete(c.state.pending, worker)
		if len(commands) == 0 {
			delete(c.state.busy, worker)
			c.state.mu.Unlock()
			return
		}
		c.state.mu.Unlock()
		c.deliver(worker, address, commands)
	}
}

func (c commander) deliver(worker identifier.WorkerID, address string, commands []placer.Command) {
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	var report placer.Report
	if err := c.messenger.Post(ctx, address, commandPath, commandMessage{Commands: commands}, &report); err != nil {
		return
	}
	c.onReport(worker, report)
}

// wait blocks until all queued commands have been sent or have failed.
func (c commander) wait() {
	c.state.sending.Wait()
}
