package consensus

// Read tells that a read which was asked for with Token may be served once everything
// up to Index is applied.
type Read struct {
	Token uint64
	Index uint64
}

// pendingRead waits until a quorum answers its round. Its round is 0 until the leader
// has committed an entry of its term, before which it does not know the commit index.
type pendingRead struct {
	token uint64
	index uint64
	round uint64
}

// ReadIndex asks for a linearizable read point. The token comes back in Ready.Reads,
// unless the replica loses leadership before.
func (c *Core) ReadIndex(token uint64) error {
	if c.role != Leader {
		return ErrNotLeader
	}
	r := pendingRead{token: token}
	if c.committedInTerm() {
		c.startRead(&r)
	}
	c.reads = append(c.reads, r)
	return nil
}

func (c *Core) startRead(r *pendingRead) {
	r.index, r.round = c.commit, c.round+1
	c.needRound = true
}

// startReads starts the reads that waited for the first commit of the term.
func (c *Core) startReads() {
	for i := range c.reads {
		if c.reads[i].round == 0 {
			c.startRead(&c.reads[i])
		}
	}
}

// releaseReads finishes the reads whose round a quorum answered: at that time no other
// leader can have committed anything.
func (c *Core) releaseReads() {
	waiting := c.reads[:0]
	for _, r := range c.reads {
		if r.round == 0 || !c.roundAnswered(r.round) {
			waiting = append(waiting, r)
			continue
		}
		c.readsDone = append(c.readsDone, Read{Token: r.token, Index: r.index})
	}
	c.reads = waiting
}

func (c *Core) roundAnswered(round uint64) bool {
	answered := 0
	for _, m := range c.members() {
		switch {
		case m.Learner:
		case m.ID == c.id && c.round >= round:
			answered++
		case m.ID != c.id && c.peers[m.ID].round >= round:
			answered++
		}
	}
	return answered >= c.members().Quorum()
}

// Ready is a batch of things to do, in this order: send Early; persist State, Snapshot
// and Entries with one sync; send Messages; restore Snapshot and apply Committed; serve
// Reads; call Advance.
type Ready struct {
	// State is nil if unchanged.
	State *State
	// Snapshot replaces the whole log and the state machine.
	Snapshot *Snapshot
	// Entries replace those in the log from the first one's index on.
	Entries []Entry
	// Early may be sent before anything is persisted.
	Early []Message
	// Messages are sent only after everything is persisted, since they promise it.
	Messages []Message
	// Committed may be applied after everything is persisted.
	Committed []Entry
	Reads     []Read
}

func (r *Ready) empty() bool {
	return r.State == nil && r.Snapshot == nil && len(r.Entries) == 0 && len(r.Early) == 0 &&
		len(r.Messages) == 0 && len(r.Committed) == 0 && len(r.Reads) == 0
}

// Ready returns the next batch, or false if there is nothing to do. No other method
// may be called before Advance.
func (c *Core) Ready() (Ready, bool) {
	c.flush()
	var r Ready
	if c.state != c.saved {
		s := c.state
		r.State = &s
	}
	r.Snapshot = c.install
	r.Entries = c.log.between(c.log.stable, c.log.last())
	r.Committed = c.log.between(c.applied, c.commit)
	r.Reads = c.readsDone
	c.splitMessages(&r)
	return r, !r.empty()
}

// splitMessages lets appends of a leader leave before its own disk has the entries.
// They wait if the term is new, since a leader that crashed before its term is on disk
// could lead the same term twice.
func (c *Core) splitMessages(r *Ready) {
	for _, m := range c.messages {
		if r.State == nil && (m.Type == MsgAppend || m.Type == MsgHeartbeat) {
			r.Early = append(r.Early, m)
		} else {
			r.Messages = append(r.Messages, m)
		}
	}
}

// Advance tells that a batch was carried out.
func (c *Core) Advance(r Ready) {
	if r.State != nil {
		c.saved = *r.State
	}
	if n := len(r.Committed); n > 0 {
		c.applied = r.Committed[n-1].Index
	}
	if n := len(r.Entries); n > 0 {
		c.log.stable = r.Entries[n-1].Index
	}
	c.install, c.messages, c.readsDone = nil, nil, nil
	c.advanceCommit()
}

// Status is a view of a core.
type Status struct {
	ID       ID
	Group    GroupID
	Role     Role
	Term     uint64
	Leader   ID
	Commit   uint64
	Applied  uint64
	Last     uint64
	Snapshot uint64
	// Transferee is the target of a running transfer of leadership, or 0.
	Transferee ID
}

// Status returns a view of the core.
func (c *Core) Status() Status {
	s := Status{
		ID: c.id, Group: c.group, Role: c.role, Term: c.state.Term, Leader: c.leader,
		Commit: c.commit, Applied: c.applied, Last: c.log.last(), Transferee: c.transfer.to,
	}
	if c.snapshot != nil {
		s.Snapshot = c.snapshot.Index
	}
	return s
}

// TermAt returns the term of an entry, or false if the log does not hold it.
func (c *Core) TermAt(index uint64) (uint64, bool) { return c.log.term(index) }
