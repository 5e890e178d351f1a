package consensus

import "fmt"

// onAppend handles MsgAppend: it replaces conflicting entries by the leader's and advances
// the commit index.
func (c *Core) onAppend(m *Message) {
	if m.Index < c.commit {
		// Everything up to the commit index is known to match.
		c.send(Message{Type: MsgAppendReply, To: m.From, Index: c.commit})
		return
	}
	if !c.log.matches(m.Index, m.LogTerm) {
		hint, term := c.log.lastWithTermAtMost(m.Index, m.LogTerm)
		c.send(Message{
			Type: MsgAppendReply, To: m.From, Reject: true,
			Index: m.Index, Hint: hint, HintTerm: term,
		})
		return
	}
	for i, e := range m.Entries {
		if c.log.matches(e.Index, e.Term) {
			continue
		}
		if e.Index <= c.log.last() {
			c.truncateLog(e.Index)
		}
		if err := c.appendEntries(m.Entries[i:]...); err != nil {
			return
		}
		break
	}
	last := m.Index + uint64(len(m.Entries))
	c.commitTo(min(m.Commit, last))
	c.send(Message{Type: MsgAppendReply, To: m.From, Index: last})
}

func (c *Core) onHeartbeat(m *Message) {
	c.commitTo(min(m.Commit, c.log.last()))
	c.send(Message{Type: MsgHeartbeatReply, To: m.From, Round: m.Round})
}

func (c *Core) commitTo(index uint64) {
	if index > c.commit {
		c.commit = index
	}
}

// truncateLog removes the entries from index on, which conflict with the leader's log, and
// the memberships in them. Committed entries never conflict.
func (c *Core) truncateLog(index uint64) {
	if index <= c.commit {
		panic(fmt.Sprintf("consensus: replica %d: leader %d replaces committed entry %d", c.id, c.leader, index))
	}
	c.log.truncate(index)
	for n := len(c.memberships); n > 1 && c.memberships[n-1].index >= index; n-- {
		c.memberships = c.memberships[:n-1]
	}
}
