package replicator

import "cranberrystack.dev/cranberrystack/identifier"

// startPreVote requests pre-votes, which show whether this instance could win an
// election, without incrementing the term. Therefore an instance that returns from
// a partition can't depose a leader that the other voters are in contact with. They
// are repeated soon, since they cost nothing and the voters may grant them a moment
// later.
func (c *Core) startPreVote() {
	c.role = RolePreCandidate
	c.leader = ""
	c.electionDeadline = c.elapsed + c.config.ElectionTimeout/4 + c.jitter(c.config.ElectionTimeout/4)
	c.votes = map[identifier.InstanceID]bool{c.config.ID: true}
	c.requestVotes(MessagePreVote, c.hardState.Term+1, false)
	c.countPreVotes()
}

func (c *Core) startElection(forced bool) {
	c.role = RoleCandidate
	c.leader = ""
	c.setHardState(HardState{Term: c.hardState.Term + 1, Vote: c.config.ID})
	// Divided votes are settled sooner than a lost leader is noticed.
	c.electionDeadline = c.elapsed + c.config.ElectionTimeout/2 + c.jitter(c.config.ElectionTimeout/2)
	c.forcedElection = forced
	c.votes = map[identifier.InstanceID]bool{c.config.ID: true}
	c.requestVotesAgain()
	c.countVotes()
}

// requestVotesAgain sends the requests of a candidate, some of which may have been
// lost.
func (c *Core) requestVotesAgain() {
	c.nextVoteRequest = c.elapsed + c.config.ElectionTimeout/voteRequestsPerTimeout
	c.requestVotes(MessageVote, c.hardState.Term, c.forcedElection)
}

// voteRequestsPerTimeout is how often a candidate requests votes within an election
// timeout.
const voteRequestsPerTimeout = 6

// requestVotes sends a request to each other voter that has granted none yet.
func (c *Core) requestVotes(kind MessageKind, term uint64, forced bool) {
	for _, peer := range c.membership.Voters {
		if c.votes[peer.ID] {
			continue
		}
		c.send(Message{
			Kind: kind, To: peer.ID, Term: term, Forced: forced,
			LogIndex: c.log.lastIndex(), LogTerm: c.log.lastTerm(),
		})
	}
}

// hasLiveLeader reports whether this instance is the leader or had contact with
// one within the minimum election timeout.
func (c *Core) hasLiveLeader() bool {
	if c.role == RoleLeader {
		return true
	}
	return c.elapsed-c.lastLeaderContact < c.config.ElectionTimeout
}

func (c *Core) handlePreVote(message Message) {
	granted := message.Term > c.hardState.Term && !c.hasLiveLeader() &&
		c.log.upToDate(message.LogIndex, message.LogTerm)
	if !granted && c.role != RoleLeader && !c.hasLiveLeader() && !c.log.upToDate(message.LogIndex, message.LogTerm) {
		// This instance has entries that the candidate lacks, so it should lead.
		c.electionDeadline = min(c.electionDeadline, c.elapsed+c.jitter(c.config.ElectionTimeout/8))
	}
	response := Message{Kind: MessagePreVoteResponse, To: message.From, Granted: granted, Term: message.Term}
	if !granted {
		response.Term = c.hardState.Term
	}
	c.send(response)
}

func (c *Core) handlePreVoteResponse(message Message) {
	if !message.Granted {
		if message.Term > c.hardState.Term {
			c.becomeFollower(message.Term, "")
		}
		return
	}
	if c.role != RolePreCandidate || message.Term != c.hardState.Term+1 {
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
	if !message.Forced && c.hasLiveLeader() {
		return
	}
	if message.Term > c.hardState.Term {
		c.becomeFollower(message.Term, "")
	}
	canVote := c.hardState.Vote == "" || c.hardState.Vote == message.From
	granted := message.Term == c.hardState.Term && canVote && c.role == RoleFollower &&
		c.log.upToDate(message.LogIndex, message.LogTerm)
	if granted {
		c.setHardState(HardState{Term: c.hardState.Term, Vote: message.From})
		c.resetElectionDeadline()
	}
	c.send(Message{Kind: MessageVoteResponse, To: message.From, Granted: granted})
}

func (c *Core) handleVoteResponse(message Message) {
	if message.Term > c.hardState.Term {
		c.becomeFollower(message.Term, "")
		return
	}
	if c.role != RoleCandidate || message.Term != c.hardState.Term || !message.Granted {
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
	if term > c.hardState.Term {
		c.setHardState(HardState{Term: term})
	}
	if c.role == RoleLeader {
		c.failReads()
	}
	c.role = RoleFollower
	c.leader = leader
	c.transferTarget = ""
	c.progress = nil
	c.resetElectionDeadline()
}

func (c *Core) becomeLeader() {
	c.role = RoleLeader
	c.leader = c.config.ID
	c.transferTarget = ""
	c.progress = map[identifier.InstanceID]*progress{}
	c.refreshProgress()
	c.appendAsLeader(EntryNoop, nil)
}

// TransferLeadership tells the responsive voter with the highest match index to
// start an election at once, so that a planned restart of the leader does not cost
// an election timeout. Until it receives a message of a new term, this instance
// stays leader. It accepts no commands meanwhile and steps down after one election
// timeout: the order may still arrive, so that this instance can hold no leader
// lease in this term any more.
func (c *Core) TransferLeadership() Output {
	if c.role != RoleLeader {
		return c.takeOutput()
	}
	var target identifier.InstanceID
	for _, peer := range c.membership.Voters {
		p, known := c.progress[peer.ID]
		if !known || peer.ID == c.config.ID || c.elapsed-p.lastContact >= c.config.ElectionTimeout {
			continue
		}
		if target == "" || p.match > c.progress[target].match {
			target = peer.ID
		}
	}
	if target == "" {
		return c.takeOutput()
	}
	c.transferTarget = target
	c.transferDeadline = c.elapsed + c.config.ElectionTimeout
	c.send(Message{Kind: MessageTimeoutNow, To: target})
	return c.takeOutput()
}

func (c *Core) handleTimeoutNow(message Message) {
	if message.Term == c.hardState.Term && c.role == RoleFollower && c.isVoter(c.config.ID) {
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

// hasQuorum reports whether members contains a majority of the voters.
func (c *Core) hasQuorum(members map[identifier.InstanceID]bool) bool {
	count := 0
	for _, peer := range c.membership.Voters {
		if members[peer.ID] {
			count++
		}
	}
	return count > len(c.membership.Voters)/2
}
