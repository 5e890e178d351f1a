package consensus

import "slices"

// peerState is the replication state of a peer.
type peerState uint8

const (
	// probing sends one append at a time until the logs are known to match.
	probing peerState = iota
	// replicating sends appends without waiting for answers.
	replicating
	// installing sends a snapshot, one piece at a time.
	installing
)

// peer is a leader's view of another member.
type peer struct {
	id    ID
	state peerState
	// match is the last index known to be on the peer's disk; next is the index of the
	// next entry to send.
	match uint64
	next  uint64
	// silentTicks is the number of ticks since the last message from the peer.
	silentTicks int
	// sentTicks is the number of ticks since entries were last sent to the peer, sentBytes the size
	// of those that were.
	sentTicks int
	sentBytes uint64
	// probePending is true while an append sent in the probing state is unanswered.
	probePending bool
	// ackedRound is the latest heartbeat round that the peer answered.
	ackedRound uint64
	// sentCommit is the highest commit index sent to the peer.
	sentCommit uint64
	// matchAtHeartbeat is the value of match at the last heartbeat reply. If it has not
	// changed by the next one, a message is assumed lost and sent again.
	matchAtHeartbeat uint64

	// snapshot, checksum and offset describe the snapshot transfer in the installing state.
	snapshot *Snapshot
	checksum uint32
	offset   uint64
	// resent is true after a piece was sent again. Only then may a reply move the offset
	// back, since other replies with a lower offset are late or duplicates.
	resent bool
}

// updatePeers adds and removes peers to match the latest membership.
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

// Propose appends commands to the leader's log and returns the index of the first one and
// the term. The commands are committed once Ready returns their entries with that term. It
// fails with ErrNotLeader, ErrTransferring or ErrBacklogFull.
func (c *Core) Propose(commands ...[]byte) (first, term uint64, err error) {
	if err := c.acceptsProposals(); err != nil {
		return 0, 0, err
	}
	if c.log.bytesBetween(c.commit, c.log.last()) > uint64(c.cfg.UncommittedBytes) {
		return 0, 0, ErrBacklogFull
	}
	first = c.log.last() + 1
	for _, command := range commands {
		c.appendProposal(Entry{Kind: EntryCommand, Data: command})
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

func (c *Core) appendProposal(e Entry) {
	e.Index, e.Term = c.log.last()+1, c.state.Term
	// This fails only for a membership that cannot be decoded, and this core encoded it.
	_ = c.appendEntries(e)
}

// queuePeerMessages queues the heartbeats and appends that the peers need. It runs once per
// batch, so that many proposals share an append.
func (c *Core) queuePeerMessages() {
	if c.role != Leader {
		return
	}
	if c.heartbeatDue {
		c.heartbeatDue = false
		c.heartbeatElapsed = 0
		c.round++
		c.confirmReads()
		c.forEachPeer(c.sendHeartbeat)
	}
	c.forEachPeer(c.sendAppends)
}

// forEachPeer calls f for the peers in the order of the membership, so that runs are
// reproducible.
func (c *Core) forEachPeer(f func(*peer)) {
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
	for p.state == replicating && p.next <= c.log.last() && c.windowOpen(p) {
		c.sendAppend(p)
	}
	if p.state == replicating && p.sentCommit < c.commit {
		c.sendAppend(p)
	}
	if p.state == probing && !p.probePending {
		c.sendAppend(p)
	}
}

// windowOpen reports whether further entries may be sent before the peer acknowledges earlier
// ones.
func (c *Core) windowOpen(p *peer) bool {
	return p.next-p.match <= c.cfg.Window && c.log.bytesBetween(p.match, p.next-1) <= uint64(c.cfg.WindowBytes)
}

func (c *Core) sendAppend(p *peer) {
	term, ok := c.log.term(p.next - 1)
	if !ok {
		c.startSnapshotTransfer(p)
		return
	}
	m := Message{Type: MsgAppend, To: p.id, Index: p.next - 1, LogTerm: term, Commit: c.commit}
	if c.windowOpen(p) {
		m.Entries = c.log.entriesFrom(p.next, c.cfg.AppendBytes)
	}
	c.send(m)
	p.sentCommit = c.commit
	if len(m.Entries) > 0 {
		p.sentTicks, p.sentBytes = 0, c.log.bytesBetween(m.Index, m.Index+uint64(len(m.Entries)))
	}
	if p.state == probing {
		p.probePending = true
		return
	}
	p.next += uint64(len(m.Entries))
}

// onPeerReply handles a reply of a peer to an append, a heartbeat or a snapshot piece.
func (c *Core) onPeerReply(m *Message) {
	p := c.peers[m.From]
	if c.role != Leader || p == nil {
		return
	}
	p.silentTicks = 0
	switch {
	case m.Type == MsgHeartbeatReply:
		c.onHeartbeatReply(p, m)
	case m.Type == MsgSnapshotReply:
		c.onSnapshotReply(p, m)
	case m.Reject:
		c.onAppendRejected(p, m)
	default:
		c.onAppendAccepted(p, m)
	}
}

func (c *Core) onHeartbeatReply(p *peer, m *Message) {
	p.ackedRound = max(p.ackedRound, m.Round)
	c.confirmReads()
	stalled := p.match == p.matchAtHeartbeat
	p.matchAtHeartbeat = p.match
	if !stalled {
		return
	}
	switch {
	case p.state == installing:
		p.resent = true
		c.sendPiece(p)
	case c.mayBeOnTheWay(p):
	case p.match < c.log.last() && p.state == replicating:
		p.next = p.match + 1
	case p.state == probing:
		p.probePending = false
	}
}

// mayBeOnTheWay reports whether the entries last sent to a peer may not have arrived yet because of
// their size.
func (c *Core) mayBeOnTheWay(p *peer) bool {
	size := p.sentBytes
	if p.state == replicating {
		size = max(size, c.log.bytesBetween(p.match, p.next-1))
	}
	return uint64(p.sentTicks) < size/uint64(c.cfg.ResendBytes)
}

// onAppendRejected goes back to probing, from the last entry that both logs may share.
func (c *Core) onAppendRejected(p *peer, m *Message) {
	if p.state == installing || m.Index > c.log.last() {
		return
	}
	if p.state == probing && m.Index != p.next-1 {
		return
	}
	index, _ := c.log.lastWithTermAtMost(m.Hint, m.HintTerm)
	p.next = max(1, min(index+1, m.Index))
	p.state, p.probePending = probing, false
}

func (c *Core) onAppendAccepted(p *peer, m *Message) {
	if m.Index > c.log.last() {
		return
	}
	p.match = max(p.match, m.Index)
	if p.state == installing && p.match < p.snapshot.Index {
		return
	}
	if p.state != replicating {
		p.state, p.probePending, p.snapshot = replicating, false, nil
		p.next = p.match + 1
	}
	p.next = max(p.next, p.match+1)
	c.advanceCommit()
	c.continueTransfer()
}

// advanceCommit commits the entries that a quorum of voters has persisted. Only an entry of
// the current term is committed by counting replicas; earlier ones are committed with it.
func (c *Core) advanceCommit() {
	if c.role != Leader {
		return
	}
	var persisted []uint64
	for _, m := range c.members() {
		switch {
		case m.Learner:
		case m.ID == c.id:
			persisted = append(persisted, c.log.stable)
		default:
			persisted = append(persisted, c.peers[m.ID].match)
		}
	}
	if len(persisted) == 0 {
		return
	}
	slices.Sort(persisted)
	index := persisted[len(persisted)-c.members().Quorum()]
	if index > c.commit && c.log.matches(index, c.state.Term) {
		c.commit = index
		c.startDeferredReads()
	}
}
