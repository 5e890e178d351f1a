package consensus

// Read is the read point of the ReadIndex call with the same token: the read is
// linearizable once all entries up to Index are applied.
type Read struct {
	Token uint64
	Index uint64
}

// pendingRead is a read that waits for a quorum to answer its heartbeat round. Its round is
// 0 until the leader has committed an entry of its term; before that, the leader may not
// know the latest commit index.
type pendingRead struct {
	token uint64
	index uint64
	round uint64
}

// ReadIndex requests a linearizable read point. The token comes back in Ready.Reads,
// unless the replica loses the leadership first. It fails with ErrNotLeader.
func (c *Core) ReadIndex(token uint64) error {
	if c.role != Leader {
		return ErrNotLeader
	}
	r := pendingRead{token: token}
	if c.committedInTerm() {
		c.assignReadPoint(&r)
	}
	c.pendingReads = append(c.pendingReads, r)
	return nil
}

// assignReadPoint ties a read to the current commit index and the next heartbeat round.
func (c *Core) assignReadPoint(r *pendingRead) {
	r.index, r.round = c.commit, c.round+1
	c.heartbeatDue = true
}

// startDeferredReads assigns a read point to the reads that waited for the first commit of
// the term.
func (c *Core) startDeferredReads() {
	for i := range c.pendingReads {
		if c.pendingReads[i].round == 0 {
			c.assignReadPoint(&c.pendingReads[i])
		}
	}
}

// confirmReads completes the reads whose heartbeat round a quorum answered. The answers
// prove that no other leader had committed anything when the round began.
func (c *Core) confirmReads() {
	waiting := c.pendingReads[:0]
	for _, r := range c.pendingReads {
		if r.round == 0 || !c.roundAnswered(r.round) {
			waiting = append(waiting, r)
			continue
		}
		c.confirmedReads = append(c.confirmedReads, Read{Token: r.token, Index: r.index})
	}
	c.pendingReads = waiting
}

func (c *Core) roundAnswered(round uint64) bool {
	answered := 0
	for _, m := range c.members() {
		switch {
		case m.Learner:
		case m.ID == c.id && c.round >= round:
			answered++
		case m.ID != c.id && c.peers[m.ID].ackedRound >= round:
			answered++
		}
	}
	return answered >= c.members().Quorum()
}

// Ready is a batch of work for the caller, to be done in this order: send Early; persist
// State, Snapshot and Entries with one sync; send Messages; restore Snapshot and apply
// Committed; serve Reads; call Advance.
type Ready struct {
	// State is nil if unchanged.
	State *State
	// Snapshot replaces the whole log and the state machine.
	Snapshot *Snapshot
	// Entries replace those in the log from the first one's index on.
	Entries []Entry
	// Early may be sent before anything is persisted.
	Early []Message
	// Messages must be sent only after State, Snapshot and Entries are persisted, since
	// they acknowledge them.
	Messages []Message
	// Committed are the entries to apply, after State, Snapshot and Entries are persisted.
	Committed []Entry
	Reads     []Read
}

func (r *Ready) empty() bool {
	return r.State == nil && r.Snapshot == nil && len(r.Entries) == 0 && len(r.Early) == 0 &&
		len(r.Messages) == 0 && len(r.Committed) == 0 && len(r.Reads) == 0
}

// Ready returns the next batch, or false if there is nothing to do. After a batch, no other
// method may be called before Advance.
func (c *Core) Ready() (Ready, bool) {
	c.queuePeerMessages()
	var r Ready
	if c.state != c.savedState {
		s := c.state
		r.State = &s
	}
	r.Snapshot = c.pendingInstall
	r.Entries = c.log.entriesBetween(c.log.stable, c.log.last())
	r.Committed = c.log.entriesBetween(c.applied, c.commit)
	r.Reads = c.confirmedReads
	c.splitMessages(&r)
	return r, !r.empty()
}

// splitMessages puts a leader's appends and heartbeats in Early, to be sent before its own
// disk holds the entries. All messages wait if State changed: a leader that sent messages
// and crashed before its term was on disk could lead the same term twice.
func (c *Core) splitMessages(r *Ready) {
	for _, m := range c.messages {
		if r.State == nil && (m.Type == MsgAppend || m.Type == MsgHeartbeat) {
			r.Early = append(r.Early, m)
		} else {
			r.Messages = append(r.Messages, m)
		}
	}
}

// Advance tells the core that the batch was carried out.
func (c *Core) Advance(r Ready) {
	if r.State != nil {
		c.savedState = *r.State
	}
	if n := len(r.Committed); n > 0 {
		c.applied = r.Committed[n-1].Index
	}
	if n := len(r.Entries); n > 0 {
		c.log.stable = r.Entries[n-1].Index
	}
	c.pendingInstall, c.messages, c.confirmedReads = nil, nil, nil
	c.advanceCommit()
}

// Status is a snapshot of a core's state. Commit, Applied, Last and Snapshot are log
// indexes; Leader is 0 while unknown. LogBytes is the size of the entries in memory, and
// AppliedBytes that of the entries that were applied since the snapshot.
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

	LogBytes     uint64
	AppliedBytes uint64
	// Transferee is the target of a leadership transfer in progress, or 0.
	Transferee ID
}

// Status returns the current status.
func (c *Core) Status() Status {
	s := Status{
		ID: c.id, Group: c.group, Role: c.role, Term: c.state.Term, Leader: c.leader,
		Commit: c.commit, Applied: c.applied, Last: c.log.last(), Transferee: c.transfer.to,
		LogBytes: c.log.bytesBetween(c.log.base, c.log.last()),
	}
	if c.snapshot != nil {
		s.Snapshot = c.snapshot.Index
		s.AppliedBytes = c.log.bytesBetween(s.Snapshot, s.Applied)
	}
	return s
}

// TermAt returns the term of an entry, or false if the log does not hold it.
func (c *Core) TermAt(index uint64) (uint64, bool) { return c.log.term(index) }
