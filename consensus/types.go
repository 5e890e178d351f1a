// Package consensus implements the Raft consensus algorithm as a deterministic core: it
// replicates a log among a few replicas and keeps it identical on all of them as long as
// a quorum of disks survives. It does no I/O, reads no clock and starts no goroutine. The
// caller feeds it ticks, messages and proposals, and carries out the batches that Ready
// returns: what to persist, send, apply and answer.
package consensus

// ID identifies one replica for the lifetime of its data folder. It is random and
// never 0. A replica that lost its disk gets a new ID.
type ID uint64

// GroupID identifies a group; it is 0 for a replica that belongs to none yet.
type GroupID uint64

// Member is a replica in the membership of a group.
type Member struct {
	ID      ID     `msgpack:"id" json:"id"`
	Address string `msgpack:"address" json:"address"`
	// Learner is true for a member that receives the log and does not vote.
	Learner bool `msgpack:"learner" json:"learner"`
}

// Membership is the list of members. It is replaced as a whole and never changed
// in place.
type Membership []Member

// Find returns the member with the ID.
func (m Membership) Find(id ID) (Member, bool) {
	for _, x := range m {
		if x.ID == id {
			return x, true
		}
	}
	return Member{}, false
}

// IsVoter reports whether the member exists and votes.
func (m Membership) IsVoter(id ID) bool {
	x, ok := m.Find(id)
	return ok && !x.Learner
}

// Voters returns the number of voting members.
func (m Membership) Voters() int {
	n := 0
	for _, x := range m {
		if !x.Learner {
			n++
		}
	}
	return n
}

// Quorum returns the number of voters that form a majority.
func (m Membership) Quorum() int { return m.Voters()/2 + 1 }

// with returns a copy in which x replaces the member with its ID or is appended.
func (m Membership) with(x Member) Membership {
	out := m.without(x.ID)
	return append(out, x)
}

// without returns a copy that lacks the member.
func (m Membership) without(id ID) Membership {
	out := make(Membership, 0, len(m)+1)
	for _, x := range m {
		if x.ID != id {
			out = append(out, x)
		}
	}
	return out
}

// EntryKind is the kind of payload that a log entry carries.
type EntryKind uint8

// Kinds of entries.
const (
	// EntryCommand carries a command of the state machine.
	EntryCommand EntryKind = iota
	// EntryEmpty is appended by a new leader so that it can commit in its term.
	EntryEmpty
	// EntryMembership carries an encoded Membership.
	EntryMembership
)

// Entry is one entry of the replicated log.
type Entry struct {
	Index uint64    `msgpack:"i"`
	Term  uint64    `msgpack:"t"`
	Kind  EntryKind `msgpack:"k"`
	Data  []byte    `msgpack:"d"`
}

// State is the part of a replica's state, besides the log, that must survive a restart.
type State struct {
	Term uint64 `msgpack:"t"`
	Vote ID     `msgpack:"v"`
}

// Snapshot is the state up to and including the entry at Index, and replaces the log
// up to there.
type Snapshot struct {
	Index   uint64
	Term    uint64
	Group   GroupID
	Members Membership
	// Founding is the membership with which the group was formed. A founding member that
	// was down at that time is a voter all the same: it joins once it receives this list.
	Founding Membership
	// Data is the state machine's snapshot; empty for the first snapshot of a group.
	Data []byte
}

// Role is the Raft role of a replica in its current term.
type Role uint8

// Roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the name of the role.
func (r Role) String() string {
	switch r {
	case Follower:
		return "follower"
	case PreCandidate:
		return "pre-candidate"
	case Candidate:
		return "candidate"
	case Leader:
		return "leader"
	default:
		return "unknown"
	}
}
