package replicator

import (
	"sort"
	"time"

	"cranberrystack.dev/cranberrystack/identifier"
)

// progress is what the leader knows of one peer.
type progress struct {
	next uint64
	// match is the last entry known to be on the peer's disk; it is below next.
	match uint64
	// heard is the clock at the peer's last answer.
	heard time.Duration
	// round is the latest round that the peer answered.
	round uint64
	// waiting is set while an append with entries is unanswered.
	waiting bool
	// sentTo is the last entry of that append, and sent the clock then.
	sentTo uint64
	sent   time.Duration
}

// refreshProgress adds new peers and drops removed ones.
func (c *Core) refreshProgress() {
	current := map[identifier.InstanceID]*progress{}
	for _, peer := range c.peers() {
		p, known := c.progress[peer.ID]
		if !known {
			p = &progress{next: c.log.lastIndex() + 1, heard: c.clock}
		}
		current[peer.ID] = p
	}
	c.progress = current
}

// peers returns voters and learners.
func (c *Core) peers() []Peer {
	return c.membership.Members()
}

func (c *Core) appendOwn(kind EntryKind, data []byte) Entry {
	entry := Entry{Index: c.log.lastIndex() + 1, Term: c.hard.Term, Kind: kind, Data: data}
	c.appendEntries([]Entry{entry})
	if own, known := c.progress[c.config.ID]; known {
		own.match = entry.Index
		own.next = entry.Index + 1
	}
	c.broadcastAppend(false)
	c.advanceCommit()
	return entry
}

// appendEntries changes the log and orders the same change on disk.
func (c *Core) appendEntries(entries []Entry) {
	c.log.replace(entries)
	c.out.Append = append(c.out.Append, entries...)
	touched := entries[0].Index <= c.membershipIndex
	for i := range entries {
		touched = touched || entries[i].Kind == EntryMembership
	}
	if touched {
		c.findMembership()
	}
}

func (c *Core) leaderTick() {
	if !c.heardByQuorum() {
		c.becomeFollower(c.hard.Term, "")
		return
	}
	if c.transfers != "" && c.clock >= c.transferEnd {
		c.transfers = ""
	}
	if c.clock >= c.nextBeat {
		c.broadcastAppend(true)
	}
}

// heardByQuorum reports whether a majority answered within the election
// timeout. A leader that is cut off steps down by it.
func (c *Core) heardByQuorum() bool {
	recent := map[identifier.InstanceID]bool{c.config.ID: true}
	for id, p := range c.progress {
		if c.clock-p.heard < c.config.ElectionTimeout {
			recent[id] = true
		}
	}
	return c.hasQuorum(recent)
}

// broadcastAppend sends entries to every peer that can take some, and with
// beat also an empty append to all others.
func (c *Core) broadcastAppend(beat bool) {
	if beat {
		c.nextBeat = c.clock + c.config.HeartbeatInterval
		c.nextRound()
	}
	for _, peer := range c.peers() {
		if peer.ID != c.config.ID {
			c.sendAppend(peer.ID, beat)
		}
	}
}

func (c *Core) sendAppend(id identifier.InstanceID, beat bool) {
	p := c.progress[id]
	if p.waiting && c.clock-p.sent >= c.config.ElectionTimeout {
		p.waiting = false
		p.next = p.match + 1
	}
	if p.next <= c.log.snapshot.Index {
		c.sendSnapshot(id, p, beat)
		return
	}
	message := Message{
		Kind: MessageAppend, To: id, Commit: c.commit, Round: c.round,
		LogIndex: p.next - 1, LogTerm: c.log.term(p.next - 1),
	}
	if !p.waiting {
		message.Entries = c.log.from(p.next, c.config.MaxBatchBytes)
	}
	if len(message.Entries) == 0 && !beat {
		return
	}
	if len(message.Entries) > 0 {
		p.waiting = true
		p.sent = c.clock
		p.sentTo = message.Entries[len(message.Entries)-1].Index
	}
	c.send(message)
}

func (c *Core) sendSnapshot(id identifier.InstanceID, p *progress, beat bool) {
	if p.waiting {
		if beat {
			c.send(Message{Kind: MessageAppend, To: id, Round: c.round})
		}
		return
	}
	p.waiting = true
	p.sent = c.clock
	snapshot := c.log.snapshot
	p.sentTo = snapshot.Index
	c.send(Message{Kind: MessageSnapshot, To: id, Round: c.round, Snapshot: &snapshot})
}

func (c *Core) handleAppend(message Message) {
	if message.Term < c.hard.Term {
		c.send(Message{Kind: MessageAppendResponse, To: message.From, Round: message.Round})
		return
	}
	c.followLeader(message)
	answer := Message{Kind: MessageAppendResponse, To: message.From, Round: message.Round}
	if message.LogIndex < c.log.snapshot.Index {
		answer.Match = c.commit
		c.send(answer)
		return
	}
	if !c.log.has(message.LogIndex) || c.log.term(message.LogIndex) != message.LogTerm {
		answer.Match = min(c.commit, message.LogIndex)
		c.send(answer)
		return
	}
	c.takeEntries(message.Entries)
	answer.Granted = true
	answer.Match = message.LogIndex + uint64(len(message.Entries))
	c.setCommit(min(message.Commit, answer.Match))
	c.send(answer)
}

func (c *Core) followLeader(message Message) {
	if message.Term > c.hard.Term || c.role != RoleFollower || c.leader != message.From {
		c.becomeFollower(message.Term, message.From)
	}
	c.heard = c.clock
	c.resetDeadline()
}

// takeEntries skips the entries that the log already holds and replaces the
// rest from the first that differs.
func (c *Core) takeEntries(entries []Entry) {
	for i := range entries {
		index := entries[i].Index
		if c.log.has(index) && c.log.term(index) == entries[i].Term {
			continue
		}
		c.appendEntries(entries[i:])
		return
	}
}

func (c *Core) handleSnapshot(message Message) {
	if message.Term < c.hard.Term || message.Snapshot == nil {
		c.send(Message{Kind: MessageAppendResponse, To: message.From, Round: message.Round})
		return
	}
	c.followLeader(message)
	snapshot := *message.Snapshot
	if snapshot.Index > c.commit {
		c.log.compact(snapshot)
		c.commit = snapshot.Index
		c.out.Snapshot = &snapshot
		c.findMembership()
	}
	c.send(Message{
		Kind: MessageAppendResponse, To: message.From, Round: message.Round,
		Granted: true, Match: c.commit,
	})
}

func (c *Core) handleAppendAnswer(message Message) {
	if message.Term > c.hard.Term {
		c.becomeFollower(message.Term, "")
		return
	}
	p, known := c.progress[message.From]
	if c.role != RoleLeader || !known || message.Term != c.hard.Term {
		return
	}
	p.heard = c.clock
	p.round = max(p.round, message.Round)
	if message.Granted {
		c.peerAgreed(p, message.Match)
	} else {
		c.peerDisagreed(p, message.Match)
	}
	if c.role != RoleLeader {
		return
	}
	c.confirmReads()
	c.sendAppend(message.From, false)
}

func (c *Core) peerAgreed(p *progress, match uint64) {
	if match > p.match {
		p.match = match
	}
	if match >= p.sentTo {
		p.waiting = false
	}
	p.next = max(p.next, p.match+1)
	c.advanceCommit()
}

func (c *Core) peerDisagreed(p *progress, match uint64) {
	snapshotUnderWay := p.waiting && p.next <= c.log.snapshot.Index
	if snapshotUnderWay {
		return
	}
	if match < p.match && p.next == p.match+1 {
		// The peer has forgotten what it acknowledged. Nothing that is sent
		// helps, so it is tried again only now and then.
		p.waiting, p.sent, p.sentTo = true, c.clock, c.log.lastIndex()+1
		return
	}
	p.waiting = false
	p.next = max(p.match, min(match, c.log.lastIndex())) + 1
}

// advanceCommit commits what a majority holds, once an entry of the leader's
// own term is among it.
func (c *Core) advanceCommit() {
	var matches []uint64
	for _, peer := range c.membership.Voters {
		if p, known := c.progress[peer.ID]; known {
			matches = append(matches, p.match)
		}
	}
	sort.Slice(matches, func(i, j int) bool { return matches[i] > matches[j] })
	majority := len(c.membership.Voters) / 2
	if majority >= len(matches) {
		return
	}
	index := matches[majority]
	if index <= c.commit || c.log.term(index) != c.hard.Term {
		return
	}
	c.setCommit(index)
	c.broadcastAppend(true)
	c.stepDownIfRemoved()
}

func (c *Core) setCommit(index uint64) {
	if index <= c.commit {
		return
	}
	c.out.Committed = append(c.out.Committed, c.log.between(c.commit, index)...)
	c.commit = index
}

func (c *Core) committedOwnTerm() bool {
	return c.log.term(c.commit) == c.hard.Term
}

func (c *Core) confirmReads() {
	var waiting []pendingRead
	for _, read := range c.reads {
		confirmed := map[identifier.InstanceID]bool{c.config.ID: true}
		for id, p := range c.progress {
			if p.round >= read.round {
				confirmed[id] = true
			}
		}
		if c.hasQuorum(confirmed) {
			c.out.Reads = append(c.out.Reads, read.token)
			continue
		}
		waiting = append(waiting, read)
	}
	c.reads = waiting
}

func (c *Core) failReads() {
	for _, read := range c.reads {
		c.out.FailedReads = append(c.out.FailedReads, read.token)
	}
	c.reads = nil
}
