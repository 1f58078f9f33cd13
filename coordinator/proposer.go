package coordinator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"cranberrystack.dev/cranberrystack/recorder"
	"cranberrystack.dev/cranberrystack/replicator"
	"cranberrystack.dev/cranberrystack/scheduler"
)

// errNotCommitted reports commands that are not committed and never will be.
var errNotCommitted = eris.New("commands not committed: not the leader")

// proposal is a group of commands that are committed together.
type proposal struct {
	commands []scheduler.Command
	// fencingToken is that of the leadership that decided the commands; 0 allows
	// any.
	fencingToken scheduler.FencingToken
	// documentBytes is the size of the callers' documents in the commands.
	documentBytes int
	result        chan proposalResult
}

// proposalResult holds the results of a proposal's commands, in the order of the
// commands, or an error as commit returns it.
type proposalResult struct {
	results []scheduler.Result
	err     error
}

// enqueue queues commands for the proposer. The caller holds mu.
func (c *Coordinator) enqueue(token scheduler.FencingToken, commands ...scheduler.Command) *proposal {
	p := &proposal{commands: commands, fencingToken: token, documentBytes: documentBytes(commands), result: make(chan proposalResult, 1)}
	c.queue = append(c.queue, p)
	select {
	case c.proposalsReady <- struct{}{}:
	default:
	}
	return p
}

// commit commits commands and returns their results. The error is errNotCommitted
// if they are not committed and never will be, and replicator.ErrOutcomeUnknown
// if that is unknown. Any other error reports commands that could not be encoded or
// that the log can't hold.
func (c *Coordinator) commit(ctx context.Context, token scheduler.FencingToken, commands ...scheduler.Command) ([]scheduler.Result, error) {
	c.mu.Lock()
	p := c.enqueue(token, commands...)
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

// documentBytes returns a bound of the size of the callers' documents in commands.
func documentBytes(commands []scheduler.Command) int {
	size := 0
	for i := range commands {
		switch command := &commands[i]; {
		case command.Configure != nil:
			size += len(command.Configure.Document)
		case command.Submit != nil:
			size += int(command.Submit.Request.DocumentBytes())
		}
	}
	return size
}

// runProposer commits the queued proposals, one log entry at a time. An entry
// takes whole proposals until it holds at least maxBatchCommands commands or
// maxBatchBytes of documents.
func (c *Coordinator) runProposer(ctx context.Context) {
	defer c.done.Done()
	for {
		select {
		case <-c.proposalsReady:
			c.proposeQueued(ctx)
		case <-c.node.Done():
			c.failQueued(errNotCommitted)
			return
		case <-ctx.Done():
			c.failQueued(errNotCommitted)
			return
		}
	}
}

// takeQueued takes the proposals of the next log entry from the queue. Proposals
// of another leadership fail with errNotCommitted.
func (c *Coordinator) takeQueued() ([]*proposal, scheduler.Batch) {
	c.mu.Lock()
	defer c.mu.Unlock()
	batch := scheduler.Batch{Now: wallTime(), LeaseMillis: c.options.lease.Milliseconds()}
	var group []*proposal
	size := 0
	for len(c.queue) > 0 && len(batch.Commands) < maxBatchCommands && size < maxBatchBytes {
		p := c.queue[0]
		c.queue = c.queue[1:]
		if c.lead == nil || p.fencingToken != 0 && p.fencingToken != c.lead.fencingToken {
			p.result <- proposalResult{err: errNotCommitted}
			continue
		}
		size += p.documentBytes
		batch.FencingToken = c.lead.fencingToken
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
				p.result <- proposalResult{err: err}
				continue
			}
			p.result <- proposalResult{results: results[:len(p.commands)]}
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
	switch {
	case eris.Is(err, replicator.ErrNotLeader):
		return nil, errNotCommitted
	case errors.Is(err, replicator.ErrEntryTooLarge):
		c.event("commit-refused", "commands", len(batch.Commands), "error", err)
		return nil, err
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
		p.result <- proposalResult{err: err}
	}
	c.queue = nil
}
