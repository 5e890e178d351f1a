package consensus

func (c *Core) becomeFollower(term uint64, leader ID) {
	if term > c.state.Term {
		c.state = State{Term: term}
	}
	c.role, c.leader = Follower, leader
	c.peers, c.votes = nil, nil
	c.pendingReads, c.heartbeatDue = nil, false
	c.transfer = transfer{}
	c.resetTimeout()
}

// startupSteps is the number of elections over which the election timeout of a replica that has
// just started grows to its full length. When all replicas start together there is no leader to
// wait for, and if there is one, the voters that hear from it refuse the pre-vote. The timeout
// grows because the first votes may take longer than the shortest one.
const startupSteps = 3

func (c *Core) resetTimeout() {
	ticks := c.cfg.ElectionTicks
	if c.startupElections < startupSteps {
		ticks = max(1, ticks*(c.startupElections+1)/startupSteps)
	}
	c.electionElapsed = 0
	c.electionTimeout = ticks + c.rand.IntN(ticks)
}

// followLeader follows the leader of the current term and restarts the election timer.
func (c *Core) followLeader(leader ID) {
	starting := c.startupElections < startupSteps
	c.startupElections = startupSteps
	if c.role != Follower || starting {
		// The timeout of a start would end the leader's term at its first slow sync.
		c.becomeFollower(c.state.Term, leader)
	}
	c.leader, c.electionElapsed = leader, 0
}

// campaign starts an election and asks the voters for their votes: as PreCandidate without
// changing the term, as Candidate in a new term. byTransfer marks the requests as part of
// a leadership transfer.
func (c *Core) campaign(role Role, byTransfer bool) {
	c.role, c.leader = role, 0
	c.startupElections = min(c.startupElections+1, startupSteps)
	c.resetTimeout()
	term, kind := c.state.Term+1, MsgPreVote
	if role == Candidate {
		c.state = State{Term: term, Vote: c.id}
		kind = MsgVote
	}
	c.votes = map[ID]bool{c.id: true}
	if c.countVotes() {
		return
	}
	for _, m := range c.members() {
		if m.ID == c.id || m.Learner {
			continue
		}
		c.send(Message{
			Type: kind, To: m.ID, Term: term, Transfer: byTransfer,
			Index: c.log.last(), LogTerm: c.log.lastTerm(),
		})
	}
}

// onVoteRequest answers MsgPreVote and MsgVote.
func (c *Core) onVoteRequest(m *Message) {
	upToDate := m.LogTerm > c.log.lastTerm() ||
		(m.LogTerm == c.log.lastTerm() && m.Index >= c.log.last())
	if m.Type == MsgPreVote {
		if m.Term > c.state.Term && upToDate && !c.hasLeader() && !c.outranks(m) {
			c.send(Message{Type: MsgPreVoteReply, To: m.From, Term: m.Term})
			return
		}
		c.send(Message{Type: MsgPreVoteReply, To: m.From, Reject: true})
		return
	}
	canVote := c.state.Vote == m.From || (c.state.Vote == 0 && c.leader == 0)
	if !canVote || !upToDate {
		c.send(Message{Type: MsgVoteReply, To: m.From, Reject: true})
		return
	}
	c.state.Vote = m.From
	c.electionElapsed = 0
	c.send(Message{Type: MsgVoteReply, To: m.From})
}

// outranks reports whether the replica has just started a pre-vote itself, with the same
// last log entry as the sender and a higher ID. Without this order, two replicas that
// start an election together split the votes and the group waits for another election
// timeout.
func (c *Core) outranks(m *Message) bool {
	const recentTicks = 2
	return c.role == PreCandidate && c.electionElapsed < recentTicks && c.id > m.From &&
		m.Index == c.log.last() && m.LogTerm == c.log.lastTerm()
}

// onVoteReply records a vote for the running election; replies to any other role or term
// are ignored.
func (c *Core) onVoteReply(m *Message, role Role, term uint64) {
	if c.role != role || (!m.Reject && m.Term != term) {
		return
	}
	c.votes[m.From] = !m.Reject
	c.countVotes()
}

// countVotes ends an election that is won or lost and reports whether it did. Only
// votes of voters count, so that a replica that lost its disk cannot vote under a new
// identity before it is a voter again.
func (c *Core) countVotes() bool {
	granted, refused := 0, 0
	for id, yes := range c.votes {
		switch {
		case !c.members().IsVoter(id):
		case yes:
			granted++
		default:
			refused++
		}
	}
	quorum := c.members().Quorum()
	switch {
	case granted >= quorum && c.role == PreCandidate:
		c.campaign(Candidate, false)
	case granted >= quorum:
		c.becomeLeader()
	case refused > c.members().Voters()-quorum:
		c.becomeFollower(c.state.Term, 0)
	default:
		return false
	}
	return true
}

func (c *Core) becomeLeader() {
	c.role, c.leader, c.votes = Leader, c.id, nil
	c.startupElections = startupSteps
	c.heartbeatElapsed, c.round, c.pendingReads = 0, 0, nil
	c.transfer = transfer{}
	c.peers = make(map[ID]*peer)
	c.updatePeers()
	// Entries of earlier terms must not be committed by counting replicas, since a later
	// leader could still replace them. Committing this entry of the current term commits
	// them too.
	c.appendProposal(Entry{Kind: EntryEmpty})
	c.heartbeatDue = true
}

// transfer is the state of a leadership transfer in progress; the zero value means none.
type transfer struct {
	to      ID
	elapsed int
	sent    bool
}

// TransferLeadership hands the leadership to a voter, or to the most advanced one if
// to is 0. Proposals are refused until the transfer succeeds or an election timeout
// passes.
func (c *Core) TransferLeadership(to ID) error {
	if c.role != Leader {
		return ErrNotLeader
	}
	if to == 0 {
		to = c.mostAdvancedVoter()
	}
	if to == c.id || !c.members().IsVoter(to) {
		return ErrUnknownMember
	}
	c.transfer = transfer{to: to}
	c.continueTransfer()
	return nil
}

func (c *Core) mostAdvancedVoter() ID {
	best := ID(0)
	for _, m := range c.members() {
		p := c.peers[m.ID]
		if p == nil || m.Learner || p.silentTicks > c.cfg.ElectionTicks {
			continue
		}
		if best == 0 || p.match > c.peers[best].match {
			best = m.ID
		}
	}
	return best
}

// continueTransfer asks the transfer target to start an election once it holds the whole
// log.
func (c *Core) continueTransfer() {
	p := c.peers[c.transfer.to]
	if p == nil || c.transfer.sent || p.match != c.log.last() {
		return
	}
	c.transfer.sent = true
	c.send(Message{Type: MsgTimeoutNow, To: c.transfer.to})
}

func (c *Core) tickTransfer() {
	if c.transfer.to == 0 {
		return
	}
	c.transfer.elapsed++
	if c.transfer.elapsed >= c.cfg.ElectionTicks {
		c.transfer = transfer{}
	}
}
