package consensus

import (
	"errors"
	"fmt"
	"math/rand/v2"
)

// Defaults of Config.
const (
	DefaultElectionTicks  = 10
	DefaultHeartbeatTicks = 2
	DefaultAppendBytes    = 1 << 20
	DefaultWindow         = 4096
	DefaultPieceBytes     = 256 << 10
	DefaultTrailing       = 4096
	DefaultCatchUpLag     = 256
)

// Errors of proposals.
var (
	ErrNotLeader     = errors.New("not the leader")
	ErrTransferring  = errors.New("leadership is being transferred")
	ErrChangePending = errors.New("another membership change is in progress")
	ErrNotCaughtUp   = errors.New("the learner has not caught up")
	ErrUnknownMember = errors.New("no such member")
	ErrRemoveLeader  = errors.New("the leader cannot remove itself; transfer leadership first")
	ErrLastVoter     = errors.New("the last voter cannot be removed")
)

// Config configures a core. Zero fields take the defaults.
type Config struct {
	ID ID
	// ElectionTicks is the silence after which a follower may start an election, which
	// it does at a random time between once and twice that. It is also the time within
	// which a leader must hear from a quorum.
	ElectionTicks  int
	HeartbeatTicks int
	// AppendBytes bounds the data in one append.
	AppendBytes int
	// Window bounds the entries sent to a follower and not yet acknowledged.
	Window uint64
	// PieceBytes bounds one piece of a snapshot.
	PieceBytes int
	// Trailing is the number of entries kept in memory before a snapshot, so that a
	// follower that lags a little needs no snapshot.
	Trailing uint64
	// CatchUpLag is the number of entries a learner may lack when it is promoted.
	CatchUpLag uint64
	// Seed seeds the random election timeouts.
	Seed uint64
}

func (c Config) withDefaults() Config {
	set := func(v *int, d int) {
		if *v <= 0 {
			*v = d
		}
	}
	set(&c.ElectionTicks, DefaultElectionTicks)
	set(&c.HeartbeatTicks, DefaultHeartbeatTicks)
	set(&c.AppendBytes, DefaultAppendBytes)
	set(&c.PieceBytes, DefaultPieceBytes)
	if c.Window == 0 {
		c.Window = DefaultWindow
	}
	if c.Trailing == 0 {
		c.Trailing = DefaultTrailing
	}
	if c.CatchUpLag == 0 {
		c.CatchUpLag = DefaultCatchUpLag
	}
	return c
}

// Recovered is what a replica's disk holds when it starts.
type Recovered struct {
	State    State
	Snapshot *Snapshot
	Entries  []Entry
}

// Core is one replica of a group. Its methods are called from one goroutine.
type Core struct {
	cfg   Config
	rand  *rand.Rand
	id    ID
	group GroupID

	state    State
	saved    State
	log      entryLog
	commit   uint64
	applied  uint64
	snapshot *Snapshot
	install  *Snapshot
	incoming *incoming
	// memberships holds the membership at the snapshot and every later one in the log.
	memberships []membershipAt

	role     Role
	leader   ID
	elapsed  int
	timeout  int
	votes    map[ID]bool
	peers    map[ID]*peer
	beat     int
	transfer transfer

	round     uint64
	needRound bool
	reads     []pendingRead
	readsDone []Read

	messages []Message
}

// New returns a core that continues from what the disk holds. Without a snapshot the
// replica belongs to no group and waits until a leader sends it one.
func New(cfg Config, r Recovered) (*Core, error) {
	if cfg.ID == 0 {
		return nil, errors.New("replica identity is 0")
	}
	cfg = cfg.withDefaults()
	c := &Core{
		cfg:   cfg,
		rand:  rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.ID))),
		id:    cfg.ID,
		state: r.State,
		saved: r.State,
	}
	if s := r.Snapshot; s != nil {
		c.group, c.snapshot = s.Group, s
		c.log.reset(s.Index, s.Term)
		c.commit, c.applied = s.Index, s.Index
		c.memberships = []membershipAt{{s.Index, s.Members}}
	} else {
		c.memberships = []membershipAt{{0, nil}}
	}
	for _, e := range r.Entries {
		if e.Index != c.log.last()+1 {
			return nil, fmt.Errorf("entry %d follows entry %d", e.Index, c.log.last())
		}
		if err := c.appendEntries(e); err != nil {
			return nil, err
		}
	}
	c.log.stable = c.log.last()
	c.becomeFollower(c.state.Term, 0)
	return c, nil
}

// Tick advances the core's time by one unit.
func (c *Core) Tick() {
	if c.role == Leader {
		c.tickLeader()
		return
	}
	c.elapsed++
	if c.elapsed >= c.timeout && c.canLead() {
		c.campaign(PreCandidate, false)
	}
}

func (c *Core) tickLeader() {
	for _, p := range c.peers {
		p.idle++
	}
	if !c.hearsQuorum() {
		c.becomeFollower(c.state.Term, 0)
		return
	}
	c.tickTransfer()
	c.beat++
	if c.beat >= c.cfg.HeartbeatTicks {
		c.needRound = true
	}
}

// hearsQuorum reports whether a quorum answered within the election timeout.
func (c *Core) hearsQuorum() bool {
	heard := 0
	for _, m := range c.members() {
		if m.Learner {
			continue
		}
		if m.ID == c.id || c.peers[m.ID].idle <= c.cfg.ElectionTicks {
			heard++
		}
	}
	return heard >= c.members().Quorum()
}

// canLead reports whether the replica is a voter of a group.
func (c *Core) canLead() bool { return c.group != 0 && c.members().IsVoter(c.id) }

// Step takes a message of another replica.
func (c *Core) Step(m Message) {
	if m.To != c.id || m.From == c.id || !c.sameGroup(&m) {
		return
	}
	switch {
	case m.Term > c.state.Term:
		if !c.higherTerm(&m) {
			return
		}
	case m.Term < c.state.Term:
		c.lowerTerm(&m)
		return
	}
	c.dispatch(&m)
}

// sameGroup drops messages of another group. A replica without a group takes messages
// of leaders only, and others take only its answers to a leader.
func (c *Core) sameGroup(m *Message) bool {
	if c.group == 0 {
		return m.Group != 0 && m.fromLeader()
	}
	return m.Group == c.group || (m.Group == 0 && m.toLeader())
}

// higherTerm adopts the term of a message and reports whether to go on with it.
func (c *Core) higherTerm(m *Message) bool {
	switch m.Type {
	case MsgPreVote:
		return true
	case MsgPreVoteReply:
		if !m.Reject {
			return true
		}
	case MsgVote:
		// A replica that hears from a leader ignores candidates, so that one that was
		// cut off or removed cannot depose a working leader.
		if !m.Transfer && c.hasLeader() {
			return false
		}
	}
	leader := ID(0)
	if m.fromLeader() {
		leader = m.From
	}
	c.becomeFollower(m.Term, leader)
	return true
}

// lowerTerm answers messages of an older term where the sender must learn of the
// newer one.
func (c *Core) lowerTerm(m *Message) {
	switch {
	case m.fromLeader():
		c.send(Message{Type: MsgAppendReply, To: m.From, Reject: true, Index: m.Index})
	case m.Type == MsgPreVote:
		c.send(Message{Type: MsgPreVoteReply, To: m.From, Reject: true})
	}
}

// hasLeader reports whether the replica is or recently heard from a leader.
func (c *Core) hasLeader() bool {
	return c.role == Leader || (c.leader != 0 && c.elapsed < c.cfg.ElectionTicks)
}

func (c *Core) dispatch(m *Message) {
	if m.fromLeader() {
		if c.role == Leader {
			// Two leaders in one term are impossible; this is a message of a faulty peer.
			return
		}
		c.followLeader(m.From)
	}
	switch m.Type {
	case MsgPreVote, MsgVote:
		c.onVote(m)
	case MsgPreVoteReply:
		c.onVoteReply(m, PreCandidate, c.state.Term+1)
	case MsgVoteReply:
		c.onVoteReply(m, Candidate, c.state.Term)
	case MsgAppend:
		c.onAppend(m)
	case MsgHeartbeat:
		c.onHeartbeat(m)
	case MsgSnapshot:
		c.onSnapshot(m)
	case MsgAppendReply, MsgHeartbeatReply, MsgSnapshotReply:
		c.onReply(m)
	case MsgTimeoutNow:
		if c.canLead() && c.role != Leader {
			c.campaign(Candidate, true)
		}
	}
}

func (c *Core) send(m Message) {
	m.From, m.Group = c.id, c.group
	if m.Term == 0 {
		m.Term = c.state.Term
	}
	c.messages = append(c.messages, m)
}
