package coordinator

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"cranberrystack.dev/cranberrystack/recorder"
	"cranberrystack.dev/cranberrystack/replicator"
	"cranberrystack.dev/cranberrystack/scheduler"
)

// errNotRun reports commands that have certainly not been committed.
var errNotRun = eris.New("not the leader")

// proposal is a group of commands that is committed together.
type proposal struct {
	commands []scheduler.Command
	// fence is that of the office in which the commands were decided; 0 is any.
	fence  scheduler.FencingToken
	result chan committed
}

// committed is what became of a proposal.
type committed struct {
	results []scheduler.Result
	err     error
}

// enqueue hands commands to the proposer. The caller holds mu.
func (c *Coordinator) enqueue(fence scheduler.FencingToken, commands ...scheduler.Command) *proposal {
	p := &proposal{commands: commands, fence: fence, result: make(chan committed, 1)}
	c.queue = append(c.queue, p)
	select {
	case c.proposing <- struct{}{}:
	default:
	}
	return p
}

// commit commits commands and returns what they came to. It returns errNotRun
// if they have not been committed and never will be, or replicator.ErrOutcomeUnknown if
// that is unknown.
func (c *Coordinator) commit(ctx context.Context, fence scheduler.FencingToken, commands ...scheduler.Command) ([]scheduler.Result, error) {
	c.mu.Lock()
	p := c.enqueue(fence, commands...)
	c.mu.Unlock()
	return p.wait(ctx)
}

func (p *proposal) wait(ctx context.Context) ([]scheduler.Result, error) {
	select {
	case outcome := <-p.result:
		return outcome.results, outcome.err
	case <-ctx.Done():
		return nil, replicator.ErrOutcomeUnknown
	}
}

// propose commits what is queued, all of it in one entry at a time.
func (c *Coordinator) propose(ctx context.Context) {
	defer c.done.Done()
	for {
		select {
		case <-c.proposing:
			c.proposeQueued(ctx)
		case <-c.node.Done():
			c.failQueued(errNotRun)
			return
		case <-ctx.Done():
			c.failQueued(errNotRun)
			return
		}
	}
}

func (c *Coordinator) takeQueued() ([]*proposal, scheduler.Batch) {
	c.mu.Lock()
	defer c.mu.Unlock()
	batch := scheduler.Batch{Now: wall()}
	var group []*proposal
	for len(c.queue) > 0 && len(batch.Commands) < maxBatch {
		p := c.queue[0]
		c.queue = c.queue[1:]
		if c.lead == nil || p.fence != 0 && p.fence != c.lead.fence {
			p.result <- committed{err: errNotRun}
			continue
		}
		batch.FencingToken = c.lead.fence
		group = append(group, p)
		batch.Commands = append(batch.Commands, p.commands...)
	}
	return group, batch
}

func (c *Coordinator) proposeQueued(ctx context.Context) {
	for {
		group, batch := c.takeQueued()
		if len(group) == 0 {
			return
		}
		results, err := c.proposeBatch(ctx, batch)
		for _, p := range group {
			if err != nil {
				p.result <- committed{err: err}
				continue
			}
			p.result <- committed{results: results[:len(p.commands)]}
			results = results[len(p.commands):]
		}
	}
}

func (c *Coordinator) proposeBatch(ctx context.Context, batch scheduler.Batch) ([]scheduler.Result, error) {
	data, err := json.Marshal(batch)
	if err != nil {
		return nil, fmt.Errorf("encode batch: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	start := time.Now()
	value, err := c.node.Propose(ctx, data)
	if eris.Is(err, replicator.ErrNotLeader) {
		return nil, errNotRun
	}
	if err != nil {
		c.event("commit-unknown", "commands", len(batch.Commands), "error", err)
		return nil, replicator.ErrOutcomeUnknown
	}
	_ = c.config.Recorder.Observe(recorder.Series{Name: "commit"}, time.Since(start))
	results, _ := value.([]scheduler.Result)
	if len(results) != len(batch.Commands) {
		return nil, replicator.ErrOutcomeUnknown
	}
	return results, nil
}

func (c *Coordinator) failQueued(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.queue {
		p.result <- committed{err: err}
	}
	c.queue = nil
}
