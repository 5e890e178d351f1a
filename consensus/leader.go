package consensus

import "slices"

// peerState is how a leader sends to a peer.
type peerState uint8

const (
	// probing sends one append at a time until the logs are known to match.
	probing peerState = iota
	// replicating sends appends without waiting for answers.
	replicating
	// installing sends pieces of a snapshot.
	installing
)

// peer is a leader's view of another member.
type peer struct {
	id    ID
	state peerState
	// match is the last index known to be on the peer's disk; next is sent next.
	match uint64
	next  uint64
	// idle is the number of ticks since the last message.
	idle int
	// waiting is true while a probe is unanswered.
	waiting bool
	// round is the last heartbeat round the peer answered.
	round uint64
	// sentCommit is the highest commit index sent.
	sentCommit uint64
	// progress is match at the last heartbeat answer; no change means a lost message.
	progress uint64

	snapshot *Snapshot
	checksum uint32
	offset   uint64
	// resent is true after a piece was sent again; only then may the offset go back.
	resent bool
}

// updatePeers makes the peers agree with the membership.
func (c *Core) updatePeers() {
	for id := range c.peers {
		if _, ok := c.members().Find(id); !ok {
			delete(c.peers, id)
		}
	}
	for _, m := range c.members() {
		if m.ID != c.id && c.peers[m.ID] == nil {
			c.peers[m.ID] = &peer{id: m.ID, next: c.log.last() + 1}
		}
	}
}

// Propose appends commands to the log of the leader and returns the index of the first
// one and the term. They are committed once Ready returns them with that term.
func (c *Core) Propose(commands ...[]byte) (first, term uint64, err error) {
	if err := c.acceptsProposals(); err != nil {
		return 0, 0, err
	}
	first = c.log.last() + 1
	for _, command := range commands {
		c.propose(Entry{Kind: EntryCommand, Data: command})
	}
	return first, c.state.Term, nil
}

func (c *Core) acceptsProposals() error {
	if c.role != Leader {
		return ErrNotLeader
	}
	if c.transfer.to != 0 {
		return ErrTransferring
	}
	return nil
}

func (c *Core) propose(e Entry) {
	e.Index, e.Term = c.log.last()+1, c.state.Term
	// The data of a membership entry was encoded here, so this cannot fail.
	_ = c.appendEntries(e)
}

// flush queues what the peers need. It runs once per batch, so that many proposals
// share an append.
func (c *Core) flush() {
	if c.role != Leader {
		return
	}
	if c.needRound {
		c.needRound = false
		c.beat = 0
		c.round++
		c.releaseReads()
		c.eachPeer(c.sendHeartbeat)
	}
	c.eachPeer(c.sendAppends)
}

// eachPeer visits the peers in the order of the membership, so that runs are
// reproducible.
func (c *Core) eachPeer(f func(*peer)) {
	for _, m := range c.members() {
		if p := c.peers[m.ID]; p != nil {
			f(p)
		}
	}
}

func (c *Core) sendHeartbeat(p *peer) {
	c.send(Message{Type: MsgHeartbeat, To: p.id, Commit: min(p.match, c.commit), Round: c.round})
}

func (c *Core) sendAppends(p *peer) {
	for p.state == replicating && p.next <= c.log.last() && p.next-p.match <= c.cfg.Window {
		c.sendAppend(p)
	}
	if p.state == replicating && p.sentCommit < c.commit {
		c.sendAppend(p)
	}
	if p.state == probing && !p.waiting {
		c.sendAppend(p)
	}
}

func (c *Core) sendAppend(p *peer) {
	term, ok := c.log.term(p.next - 1)
	if !ok {
		c.startInstall(p)
		return
	}
	m := Message{Type: MsgAppend, To: p.id, Index: p.next - 1, LogTerm: term, Commit: c.commit}
	if p.next-p.match <= c.cfg.Window {
		m.Entries = c.log.from(p.next, c.cfg.AppendBytes)
	}
	c.send(m)
	p.sentCommit = c.commit
	if p.state == probing {
		p.waiting = true
		return
	}
	p.next += uint64(len(m.Entries))
}

// onReply takes an answer of a member.
func (c *Core) onReply(m *Message) {
	p := c.peers[m.From]
	if c.role != Leader || p == nil {
		return
	}
	p.idle = 0
	switch {
	case m.Type == MsgHeartbeatReply:
		c.onHeartbeatReply(p, m)
	case m.Type == MsgSnapshotReply:
		c.onSnapshotReply(p, m)
	case m.Reject:
		c.onReject(p, m)
	default:
		c.onAccept(p, m)
	}
}

func (c *Core) onHeartbeatReply(p *peer, m *Message) {
	p.round = max(p.round, m.Round)
	c.releaseReads()
	stalled := p.match == p.progress
	p.progress = p.match
	if !stalled {
		return
	}
	switch {
	case p.state == installing:
		p.resent = true
		c.sendPiece(p)
	case p.match < c.log.last() && p.state == replicating:
		p.next = p.match + 1
	case p.state == probing:
		p.waiting = false
	}
}

// onReject steps back to the last entry that both logs may share.
func (c *Core) onReject(p *peer, m *Message) {
	if p.state == installing || m.Index > c.log.last() {
		return
	}
	if p.state == probing && m.Index != p.next-1 {
		return
	}
	index, _ := c.log.lastNotAfter(m.Hint, m.HintTerm)
	p.next = max(1, min(index+1, m.Index))
	p.state, p.waiting = probing, false
}

func (c *Core) onAccept(p *peer, m *Message) {
	if m.Index > c.log.last() {
		return
	}
	p.match = max(p.match, m.Index)
	if p.state == installing && p.match < p.snapshot.Index {
		return
	}
	if p.state != replicating {
		p.state, p.waiting, p.snapshot = replicating, false, nil
		p.next = p.match + 1
	}
	p.next = max(p.next, p.match+1)
	c.advanceCommit()
	c.continueTransfer()
}

// advanceCommit commits what a quorum of voters holds. Only an entry of the current
// term may be counted; earlier ones are committed with it.
func (c *Core) advanceCommit() {
	if c.role != Leader {
		return
	}
	var held []uint64
	for _, m := range c.members() {
		switch {
		case m.Learner:
		case m.ID == c.id:
			held = append(held, c.log.stable)
		default:
			held = append(held, c.peers[m.ID].match)
		}
	}
	if len(held) == 0 {
		return
	}
	slices.Sort(held)
	index := held[len(held)-c.members().Quorum()]
	if index > c.commit && c.log.matches(index, c.state.Term) {
		c.commit = index
		c.startReads()
	}
}
