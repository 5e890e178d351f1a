package consensus

import "hash/crc32"

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// incoming is a snapshot that is being received. Pieces of another leader or term are
// not mixed in, since two replicas may encode the same state differently.
type incoming struct {
	from   ID
	leader uint64
	index  uint64
	data   []byte
}

func (c *Core) startInstall(p *peer) {
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

// onSnapshot collects pieces in order and installs the whole.
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
	if in == nil || in.from != m.From || in.leader != m.Term || in.index != p.Index {
		in = &incoming{from: m.From, leader: m.Term, index: p.Index}
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
	c.group, c.snapshot, c.install = s.Group, s, s
	c.log.reset(s.Index, s.Term)
	c.commit, c.applied = s.Index, s.Index
	c.memberships = []membershipAt{{s.Index, s.Members}}
}

// SnapshotAt returns the snapshot for the state machine's data after everything that
// Ready has handed out was applied.
func (c *Core) SnapshotAt(data []byte) *Snapshot {
	term, _ := c.log.term(c.applied)
	return &Snapshot{
		Index: c.applied, Term: term, Group: c.group,
		Members: c.membersAt(c.applied), Founding: c.snapshot.Founding, Data: data,
	}
}

// Compact replaces the log up to a snapshot that is durable.
func (c *Core) Compact(s *Snapshot) {
	if c.snapshot != nil && s.Index <= c.snapshot.Index {
		return
	}
	c.snapshot = s
	if s.Index > c.cfg.Trailing {
		c.log.compact(s.Index - c.cfg.Trailing)
	}
	for len(c.memberships) > 1 && c.memberships[1].index <= s.Index {
		c.memberships = c.memberships[1:]
	}
}
