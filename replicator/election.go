package replicator

import "cranberrystack.dev/cranberrystack/identifier"

// startPreVote asks the voters whether an election could be won, without
// changing the term. An instance that comes back from a partition therefore
// can't disturb a leader that the others still hear.
func (c *Core) startPreVote() {
	c.role = RolePreCandidate
	c.leader = ""
	c.resetDeadline()
	c.votes = map[identifier.InstanceID]bool{c.config.ID: true}
	c.requestVotes(MessagePreVote, c.hard.Term+1, false)
	c.countPreVotes()
}

func (c *Core) startElection(forced bool) {
	c.role = RoleCandidate
	c.leader = ""
	c.setHard(HardState{Term: c.hard.Term + 1, Vote: c.config.ID})
	c.resetDeadline()
	c.votes = map[identifier.InstanceID]bool{c.config.ID: true}
	c.requestVotes(MessageVote, c.hard.Term, forced)
	c.countVotes()
}

func (c *Core) requestVotes(kind MessageKind, term uint64, forced bool) {
	for _, peer := range c.membership.Voters {
		if peer.ID == c.config.ID {
			continue
		}
		c.send(Message{
			Kind: kind, To: peer.ID, Term: term, Forced: forced,
			LogIndex: c.log.lastIndex(), LogTerm: c.log.lastTerm(),
		})
	}
}

// leaderAlive reports whether a leader was heard within the least election
// timeout, or is this instance itself.
func (c *Core) leaderAlive() bool {
	if c.role == RoleLeader {
		return true
	}
	return c.clock-c.heard < c.config.ElectionTimeout
}

func (c *Core) handlePreVote(message Message) {
	granted := message.Term > c.hard.Term && !c.leaderAlive() &&
		c.log.upToDate(message.LogIndex, message.LogTerm)
	answer := Message{Kind: MessagePreVoteResponse, To: message.From, Granted: granted, Term: message.Term}
	if !granted {
		answer.Term = c.hard.Term
	}
	c.send(answer)
}

func (c *Core) handlePreVoteAnswer(message Message) {
	if !message.Granted {
		if message.Term > c.hard.Term {
			c.becomeFollower(message.Term, "")
		}
		return
	}
	if c.role != RolePreCandidate || message.Term != c.hard.Term+1 {
		return
	}
	c.votes[message.From] = true
	c.countPreVotes()
}

func (c *Core) countPreVotes() {
	if c.role == RolePreCandidate && c.hasQuorum(c.votes) {
		c.startElection(false)
	}
}

func (c *Core) handleVote(message Message) {
	if !message.Forced && c.leaderAlive() {
		return
	}
	if message.Term > c.hard.Term {
		c.becomeFollower(message.Term, "")
	}
	free := c.hard.Vote == "" || c.hard.Vote == message.From
	granted := message.Term == c.hard.Term && free && c.role == RoleFollower &&
		c.log.upToDate(message.LogIndex, message.LogTerm)
	if granted {
		c.setHard(HardState{Term: c.hard.Term, Vote: message.From})
		c.resetDeadline()
	}
	c.send(Message{Kind: MessageVoteResponse, To: message.From, Granted: granted})
}

func (c *Core) handleVoteAnswer(message Message) {
	if message.Term > c.hard.Term {
		c.becomeFollower(message.Term, "")
		return
	}
	if c.role != RoleCandidate || message.Term != c.hard.Term || !message.Granted {
		return
	}
	c.votes[message.From] = true
	c.countVotes()
}

func (c *Core) countVotes() {
	if c.role == RoleCandidate && c.hasQuorum(c.votes) {
		c.becomeLeader()
	}
}

func (c *Core) becomeFollower(term uint64, leader identifier.InstanceID) {
	if term > c.hard.Term {
		c.setHard(HardState{Term: term})
	}
	if c.role == RoleLeader {
		c.failReads()
	}
	c.role = RoleFollower
	c.leader = leader
	c.transfers = ""
	c.progress = nil
	c.resetDeadline()
}

func (c *Core) becomeLeader() {
	c.role = RoleLeader
	c.leader = c.config.ID
	c.transfers = ""
	c.progress = map[identifier.InstanceID]*progress{}
	c.refreshProgress()
	c.appendOwn(EntryNoop, nil)
}

// TransferLeadership asks the voter with the longest log to take over, so that a
// planned restart of the leader costs no election timeout. The caller steps
// down when the new leader's first message arrives.
func (c *Core) TransferLeadership() Output {
	if c.role != RoleLeader {
		return c.take()
	}
	var best identifier.InstanceID
	for _, peer := range c.membership.Voters {
		p, known := c.progress[peer.ID]
		if !known || peer.ID == c.config.ID || c.clock-p.heard >= c.config.ElectionTimeout {
			continue
		}
		if best == "" || p.match > c.progress[best].match {
			best = peer.ID
		}
	}
	if best == "" {
		return c.take()
	}
	c.transfers = best
	c.transferEnd = c.clock + c.config.ElectionTimeout
	c.send(Message{Kind: MessageTimeoutNow, To: best})
	return c.take()
}

func (c *Core) handleElectNow(message Message) {
	if message.Term == c.hard.Term && c.role == RoleFollower && c.isVoter(c.config.ID) {
		c.startElection(true)
	}
}

func (c *Core) isVoter(id identifier.InstanceID) bool {
	for _, peer := range c.membership.Voters {
		if peer.ID == id {
			return true
		}
	}
	return false
}

// hasQuorum reports whether a majority of the voters is in the set.
func (c *Core) hasQuorum(set map[identifier.InstanceID]bool) bool {
	count := 0
	for _, peer := range c.membership.Voters {
		if set[peer.ID] {
			count++
		}
	}
	return count > len(c.membership.Voters)/2
}
