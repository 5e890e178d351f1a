package consensus

import "hash/crc32"

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// incomingSnapshot is a partly received snapshot. It takes pieces of one leader in one term
// only, since two replicas may encode the same state differently.
type incomingSnapshot struct {
	from       ID
	leaderTerm uint64
	index      uint64
	data       []byte
}

func (c *Core) startSnapshotTransfer(p *peer) {
	p.state, p.snapshot, p.offset, p.resent = installing, c.snapshot, 0, false
	p.checksum = crc32.Checksum(c.snapshot.Data, castagnoli)
	c.sendPiece(p)
}

func (c *Core) sendPiece(p *peer) {
	s := p.snapshot
	end := min(p.offset+uint64(c.cfg.PieceBytes), uint64(len(s.Data)))
	c.send(Message{Type: MsgSnapshot, To: p.id, Index: s.Index, Piece: &Piece{
		Index: s.Index, Term: s.Term, Members: s.Members, Founding: s.Founding,
		Offset: p.offset, Total: uint64(len(s.Data)),
		Checksum: p.checksum, Data: s.Data[p.offset:end],
	}})
}

func (c *Core) onSnapshotReply(p *peer, m *Message) {
	if p.state != installing || m.Index != p.snapshot.Index || m.Hint > uint64(len(p.snapshot.Data)) {
		return
	}
	if m.Hint <= p.offset && !p.resent {
		return
	}
	p.offset, p.resent = m.Hint, false
	c.sendPiece(p)
}

// onSnapshot collects the pieces of a snapshot in order and installs the snapshot once it
// is complete and its checksum matches.
func (c *Core) onSnapshot(m *Message) {
	p := m.Piece
	if p == nil || p.Offset+uint64(len(p.Data)) > p.Total {
		return
	}
	if p.Index <= c.commit && c.group != 0 {
		c.send(Message{Type: MsgAppendReply, To: m.From, Index: c.commit})
		return
	}
	in := c.incoming
	if in == nil || in.from != m.From || in.leaderTerm != m.Term || in.index != p.Index {
		in = &incomingSnapshot{from: m.From, leaderTerm: m.Term, index: p.Index}
		c.incoming = in
	}
	if p.Offset == uint64(len(in.data)) {
		in.data = append(in.data, p.Data...)
	}
	if have := uint64(len(in.data)); have < p.Total {
		c.send(Message{Type: MsgSnapshotReply, To: m.From, Index: p.Index, Hint: have})
		return
	}
	c.incoming = nil
	if crc32.Checksum(in.data, castagnoli) != p.Checksum {
		c.send(Message{Type: MsgSnapshotReply, To: m.From, Index: p.Index})
		return
	}
	c.installSnapshot(&Snapshot{
		Index: p.Index, Term: p.Term, Group: m.Group, Members: p.Members, Founding: p.Founding, Data: in.data,
	})
	c.send(Message{Type: MsgAppendReply, To: m.From, Index: c.commit})
}

func (c *Core) installSnapshot(s *Snapshot) {
	if c.group != 0 && c.log.matches(s.Index, s.Term) {
		c.commitTo(s.Index)
		return
	}
	c.group, c.snapshot, c.pendingInstall = s.Group, s, s
	c.log.reset(s.Index, s.Term)
	c.commit, c.applied = s.Index, s.Index
	c.memberships = []membershipAt{{s.Index, s.Members}}
}

// SnapshotSize returns the size of the state in the last snapshot in bytes, 0 without one.
func (c *Core) SnapshotSize() int {
	if c.snapshot == nil {
		return 0
	}
	return len(c.snapshot.Data)
}

// SnapshotAt returns the snapshot at the last applied entry. data is the state machine's
// snapshot after all entries from Ready.Committed were applied.
func (c *Core) SnapshotAt(data []byte) *Snapshot {
	term, _ := c.log.term(c.applied)
	return &Snapshot{
		Index: c.applied, Term: term, Group: c.group,
		Members: c.membersAt(c.applied), Founding: c.snapshot.Founding, Data: data,
	}
}

// Compact drops the part of the log that a durable snapshot replaces, except for the last
// entries within Config.Trailing and Config.TrailingBytes. A snapshot older than the current
// one is ignored.
func (c *Core) Compact(s *Snapshot) {
	if c.snapshot != nil && s.Index <= c.snapshot.Index {
		return
	}
	c.snapshot = s
	c.log.compactBefore(s.Index, c.cfg.Trailing, uint64(c.cfg.TrailingBytes))
	for len(c.memberships) > 1 && c.memberships[1].index <= s.Index {
		c.memberships = c.memberships[1:]
	}
}
