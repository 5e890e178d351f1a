package consensus

import (
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
)

// membershipAt is a membership and the index of the entry that holds it. A membership
// takes effect as soon as its entry is in the log, committed or not.
type membershipAt struct {
	index   uint64
	members Membership
}

// Members returns the latest membership, which may not be committed yet.
func (c *Core) Members() Membership { return append(Membership(nil), c.members()...) }

func (c *Core) members() Membership { return c.memberships[len(c.memberships)-1].members }

func (c *Core) membersAt(index uint64) Membership {
	for i := len(c.memberships) - 1; i >= 0; i-- {
		if c.memberships[i].index <= index {
			return c.memberships[i].members
		}
	}
	return nil
}

// appendEntries appends entries to the log. Memberships among them take effect at once.
func (c *Core) appendEntries(entries ...Entry) error {
	for _, e := range entries {
		if e.Kind == EntryMembership {
			var m Membership
			if err := msgpack.Unmarshal(e.Data, &m); err != nil {
				return fmt.Errorf("decode membership at entry %d: %w", e.Index, err)
			}
			c.memberships = append(c.memberships, membershipAt{e.Index, m})
		}
		c.log.append(e)
	}
	return nil
}

// AddLearner proposes to add a member that receives the log and does not vote. Like
// Promote and Remove, it returns the index and term of the new membership's entry.
func (c *Core) AddLearner(m Member) (index, term uint64, err error) {
	if m.ID == 0 {
		return 0, 0, ErrUnknownMember
	}
	m.Learner = true
	return c.changeMembers(func(now Membership) (Membership, error) {
		if now.IsVoter(m.ID) {
			return nil, fmt.Errorf("replica %d is a voter already", m.ID)
		}
		return now.with(m), nil
	})
}

// Promote proposes to make a learner a voter. It fails with ErrNotCaughtUp while the
// learner lags behind.
func (c *Core) Promote(id ID) (index, term uint64, err error) {
	return c.changeMembers(func(now Membership) (Membership, error) {
		m, ok := now.Find(id)
		if !ok {
			return nil, ErrUnknownMember
		}
		if !c.CaughtUp(id) {
			return nil, ErrNotCaughtUp
		}
		m.Learner = false
		return now.with(m), nil
	})
}

// Remove proposes to remove a member other than the leader and the last voter.
func (c *Core) Remove(id ID) (index, term uint64, err error) {
	return c.changeMembers(func(now Membership) (Membership, error) {
		if _, ok := now.Find(id); !ok {
			return nil, ErrUnknownMember
		}
		if now.IsVoter(id) && now.Voters() == 1 {
			return nil, ErrLastVoter
		}
		if id == c.id {
			return nil, ErrRemoveLeader
		}
		return now.without(id), nil
	})
}

// changeMembers appends a new membership that differs from the current one by one member.
// It fails with ErrChangePending until two conditions hold. The current membership is
// committed, since only then do the quorums of it and the new one overlap. The leader has
// committed an entry of its own term, since before that another leader could still restore
// an earlier membership.
func (c *Core) changeMembers(change func(Membership) (Membership, error)) (index, term uint64, err error) {
	if err := c.acceptsProposals(); err != nil {
		return 0, 0, err
	}
	if c.memberships[len(c.memberships)-1].index > c.commit || !c.committedInTerm() {
		return 0, 0, ErrChangePending
	}
	members, err := change(c.members())
	if err != nil {
		return 0, 0, err
	}
	data, err := msgpack.Marshal(members)
	if err != nil {
		return 0, 0, fmt.Errorf("encode membership: %w", err)
	}
	index = c.log.last() + 1
	c.appendProposal(Entry{Kind: EntryMembership, Data: data})
	c.updatePeers()
	return index, c.state.Term, nil
}

// committedInTerm reports whether the leader has committed an entry of the current term.
func (c *Core) committedInTerm() bool { return c.log.matches(c.commit, c.state.Term) }

// CaughtUp reports, on the leader, whether a member answers and lacks at most CatchUpLag
// entries.
func (c *Core) CaughtUp(id ID) bool {
	p := c.peers[id]
	return p != nil && p.silentTicks <= c.cfg.ElectionTicks && p.state == replicating &&
		p.match+c.cfg.CatchUpLag >= c.log.last()
}

// SilentTicks returns, on the leader, the number of ticks since it last heard from a member.
// It is 0 for the leader itself and for unknown members.
func (c *Core) SilentTicks(id ID) int {
	if p := c.peers[id]; p != nil {
		return p.silentTicks
	}
	return 0
}

// Match returns, on the leader, the last index that is known to be on a member's disk, or 0
// for unknown members.
func (c *Core) Match(id ID) uint64 {
	if id == c.id {
		return c.log.stable
	}
	if p := c.peers[id]; p != nil {
		return p.match
	}
	return 0
}

// MembersIndex returns the index of the entry that holds the latest membership.
func (c *Core) MembersIndex() uint64 { return c.memberships[len(c.memberships)-1].index }

// Founders returns the number of members with which the group was formed, or 0 without a
// group.
func (c *Core) Founders() int {
	if c.snapshot == nil {
		return 0
	}
	return len(c.snapshot.Founding)
}

// Founding returns the membership with which the group was formed, or nil without a group.
func (c *Core) Founding() Membership {
	if c.snapshot == nil {
		return nil
	}
	return append(Membership(nil), c.snapshot.Founding...)
}
