package replicator

import (
	"sort"
	"time"

	"cranberrystack.dev/cranberrystack/identifier"
)

// progress is the leader's view of one peer's log.
type progress struct {
	// next is the index of the next entry to send.
	next uint64
	// match is the last index known to be on the peer's disk; it is below next.
	match uint64
	// lastContact is the value of Core.elapsed at the peer's last response, or when
	// this progress was created.
	lastContact time.Duration
	// round is the latest round that the peer has responded to.
	round uint64
	// inFlight is set while an append with entries or a snapshot awaits its
	// response, and after the peer has lost entries until the next retry.
	inFlight bool
	// sentIndex is the last index of that append or snapshot, and sentAt the value
	// of Core.elapsed when it was sent.
	sentIndex uint64
	sentAt    time.Duration
}

// refreshProgress adds progress for new members and drops that of removed ones.
func (c *Core) refreshProgress() {
	current := map[identifier.InstanceID]*progress{}
	for _, peer := range c.peers() {
		p, known := c.progress[peer.ID]
		if !known {
			p = &progress{next: c.log.lastIndex() + 1, lastContact: c.elapsed}
		}
		current[peer.ID] = p
	}
	c.progress = current
}

// peers returns the voters and learners, including this instance.
func (c *Core) peers() []Peer {
	return c.membership.Members()
}

func (c *Core) appendAsLeader(kind EntryKind, data []byte) Entry {
	entry := Entry{Index: c.log.lastIndex() + 1, Term: c.hardState.Term, Kind: kind, Data: data}
	c.appendEntries([]Entry{entry})
	if self, known := c.progress[c.config.ID]; known {
		self.match = entry.Index
		self.next = entry.Index + 1
	}
	c.broadcastAppend(false)
	c.advanceCommit()
	return entry
}

// appendEntries replaces the log from the first of the entries, adds the entries to
// the output to be persisted, and updates the membership if they affect it.
func (c *Core) appendEntries(entries []Entry) {
	c.log.replaceFrom(entries)
	c.out.Append = append(c.out.Append, entries...)
	membershipChanged := entries[0].Index <= c.membershipIndex
	for i := range entries {
		membershipChanged = membershipChanged || entries[i].Kind == EntryMembership
	}
	if membershipChanged {
		c.updateMembership()
	}
}

func (c *Core) leaderTick() {
	if !c.inContactWithQuorum() {
		c.becomeFollower(c.hardState.Term, "")
		return
	}
	if c.transferTarget != "" && c.elapsed >= c.transferDeadline {
		c.becomeFollower(c.hardState.Term, "")
		return
	}
	if c.elapsed >= c.nextHeartbeat {
		c.broadcastAppend(true)
	}
}

// inContactWithQuorum reports whether a majority responded within the election
// timeout. A leader that is not in contact may be partitioned and steps down.
func (c *Core) inContactWithQuorum() bool {
	recent := map[identifier.InstanceID]bool{c.config.ID: true}
	for id, p := range c.progress {
		if c.elapsed-p.lastContact < c.config.ElectionTimeout {
			recent[id] = true
		}
	}
	return c.hasQuorum(recent)
}

// broadcastAppend sends entries to every peer that lacks some and has none in
// flight. With heartbeat it starts a new round and also sends an empty append to
// the other peers.
func (c *Core) broadcastAppend(heartbeat bool) {
	if heartbeat {
		c.nextHeartbeat = c.elapsed + c.config.HeartbeatInterval
		c.nextRound()
	}
	for _, peer := range c.peers() {
		if peer.ID != c.config.ID {
			c.sendAppend(peer.ID, heartbeat)
		}
	}
}

// sendAppend sends a peer the entries that it lacks, or a snapshot if the log no
// longer holds them. Entries without a response are sent again after an election
// timeout.
func (c *Core) sendAppend(id identifier.InstanceID, heartbeat bool) {
	p := c.progress[id]
	if p.inFlight && c.elapsed-p.sentAt >= c.config.ElectionTimeout {
		p.inFlight = false
		p.next = p.match + 1
	}
	if p.next <= c.log.snapshot.Index {
		c.sendSnapshot(id, p, heartbeat)
		return
	}
	message := Message{
		Kind: MessageAppend, To: id, Commit: c.commit, Round: c.round,
		LogIndex: p.next - 1, LogTerm: c.log.term(p.next - 1),
	}
	if !p.inFlight {
		message.Entries = c.log.entriesFrom(p.next, c.config.MaxBatchBytes)
	}
	if len(message.Entries) == 0 && !heartbeat {
		return
	}
	if len(message.Entries) > 0 {
		p.inFlight = true
		p.sentAt = c.elapsed
		p.sentIndex = message.Entries[len(message.Entries)-1].Index
	}
	c.send(message)
}

func (c *Core) sendSnapshot(id identifier.InstanceID, p *progress, heartbeat bool) {
	if p.inFlight {
		if heartbeat {
			c.send(Message{Kind: MessageAppend, To: id, Round: c.round})
		}
		return
	}
	p.inFlight = true
	p.sentAt = c.elapsed
	snapshot := c.log.snapshot
	p.sentIndex = snapshot.Index
	c.send(Message{Kind: MessageSnapshot, To: id, Round: c.round, Snapshot: &snapshot})
}

// wellFormed reports whether an instance can have sent a message: its entries follow
// each other, don't replace committed ones, and a peer has no more entries of this
// term than this leader.
func (c *Core) wellFormed(message *Message) bool {
	if message.From == "" || message.From == c.config.ID {
		return false
	}
	switch message.Kind {
	case MessageAppendResponse:
		return !message.Granted || message.Term != c.hardState.Term || message.Match <= c.log.lastIndex()
	case MessageSnapshot:
		return message.Snapshot == nil || message.Snapshot.Index > 0 && len(message.Snapshot.Membership.Voters) > 0
	}
	term := message.LogTerm
	for i := range message.Entries {
		entry := &message.Entries[i]
		replacesCommitted := entry.Index <= c.commit && c.log.knowsTerm(entry.Index) && c.log.term(entry.Index) != entry.Term
		if entry.Index != message.LogIndex+uint64(i)+1 || entry.Term < term || entry.Term > message.Term || replacesCommitted {
			return false
		}
		term = entry.Term
	}
	return true
}

func (c *Core) handleAppend(message Message) {
	if message.Term < c.hardState.Term {
		c.send(Message{Kind: MessageAppendResponse, To: message.From, Round: message.Round})
		return
	}
	c.followLeader(message)
	response := Message{Kind: MessageAppendResponse, To: message.From, Round: message.Round}
	if message.LogIndex < c.log.snapshot.Index {
		response.Match = c.commit
		c.send(response)
		return
	}
	if !c.log.knowsTerm(message.LogIndex) || c.log.term(message.LogIndex) != message.LogTerm {
		response.Match = min(c.commit, message.LogIndex)
		c.send(response)
		return
	}
	c.mergeEntries(message.Entries)
	response.Granted = true
	response.Match = message.LogIndex + uint64(len(message.Entries))
	c.setCommit(min(message.Commit, response.Match))
	c.send(response)
}

func (c *Core) followLeader(message Message) {
	if message.Term > c.hardState.Term || c.role != RoleFollower || c.leader != message.From {
		c.becomeFollower(message.Term, message.From)
	}
	c.lastLeaderContact = c.elapsed
	c.resetElectionDeadline()
}

// mergeEntries skips the entries that the log already contains and replaces the
// log from the first entry that differs.
func (c *Core) mergeEntries(entries []Entry) {
	for i := range entries {
		index := entries[i].Index
		if c.log.knowsTerm(index) && c.log.term(index) == entries[i].Term {
			continue
		}
		c.appendEntries(entries[i:])
		return
	}
}

func (c *Core) handleSnapshot(message Message) {
	if message.Term < c.hardState.Term || message.Snapshot == nil {
		c.send(Message{Kind: MessageAppendResponse, To: message.From, Round: message.Round})
		return
	}
	c.followLeader(message)
	snapshot := *message.Snapshot
	if snapshot.Index > c.commit {
		c.log.compact(snapshot)
		c.commit = snapshot.Index
		c.out.Snapshot = &snapshot
		c.updateMembership()
	}
	c.send(Message{
		Kind: MessageAppendResponse, To: message.From, Round: message.Round,
		Granted: true, Match: c.commit,
	})
}

func (c *Core) handleAppendResponse(message Message) {
	if message.Term > c.hardState.Term {
		c.becomeFollower(message.Term, "")
		return
	}
	p, known := c.progress[message.From]
	if c.role != RoleLeader || !known || message.Term != c.hardState.Term {
		return
	}
	p.lastContact = c.elapsed
	p.round = max(p.round, message.Round)
	if message.Granted {
		c.handleAccepted(p, message.Match)
	} else {
		c.handleRejected(p, message.Match)
	}
	if c.role != RoleLeader {
		return
	}
	c.confirmReads()
	c.sendAppend(message.From, false)
}

func (c *Core) handleAccepted(p *progress, match uint64) {
	if match > p.match {
		p.match = match
	}
	if match >= p.sentIndex {
		p.inFlight = false
	}
	p.next = max(p.next, p.match+1)
	c.advanceCommit()
}

func (c *Core) handleRejected(p *progress, match uint64) {
	snapshotInFlight := p.inFlight && p.next <= c.log.snapshot.Index
	if snapshotInFlight {
		return
	}
	if match < p.match && p.next == p.match+1 {
		// The peer has lost entries that it acknowledged. No resend can repair
		// that, so the leader retries only once per election timeout.
		p.inFlight, p.sentAt, p.sentIndex = true, c.elapsed, c.log.lastIndex()+1
		return
	}
	p.inFlight = false
	p.next = max(p.match, min(match, c.log.lastIndex())) + 1
}

// advanceCommit commits the entries that a majority has persisted, provided that
// the last of them is of the leader's own term.
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
	if index <= c.commit || c.log.term(index) != c.hardState.Term {
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
	c.out.Committed = append(c.out.Committed, c.log.entriesBetween(c.commit, index)...)
	c.commit = index
}

func (c *Core) committedInTerm() bool {
	return c.log.term(c.commit) == c.hardState.Term
}

// confirmReads completes the pending reads whose round, or a later one, a quorum
// has responded to.
func (c *Core) confirmReads() {
	var unconfirmed []pendingRead
	for _, read := range c.pendingReads {
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
		unconfirmed = append(unconfirmed, read)
	}
	c.pendingReads = unconfirmed
}

func (c *Core) failReads() {
	for _, read := range c.pendingReads {
		c.out.FailedReads = append(c.out.FailedReads, read.token)
	}
	c.pendingReads = nil
}
