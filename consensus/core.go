package consensus

import (
	"errors"
	"fmt"
	"math/rand/v2"
)

// Defaults of Config.
const (
	DefaultElectionTicks    = 10
	DefaultHeartbeatTicks   = 2
	DefaultAppendBytes      = 1 << 20
	DefaultResendBytes      = 16 << 10
	DefaultWindow           = 4096
	DefaultWindowBytes      = 8 << 20
	DefaultPieceBytes       = 256 << 10
	DefaultTrailing         = 4096
	DefaultTrailingBytes    = 4 << 20
	DefaultUncommittedBytes = 16 << 20
	DefaultCatchUpLag       = 256
)

// Errors of proposals.
var (
	ErrNotLeader    = errors.New("not the leader")
	ErrTransferring = errors.New("leadership is being transferred")
	// ErrBacklogFull is returned for a command while Config.UncommittedBytes wait for a quorum.
	ErrBacklogFull   = errors.New("too many bytes of commands wait for a quorum")
	ErrChangePending = errors.New("another membership change is in progress")
	ErrNotCaughtUp   = errors.New("the learner has not caught up")
	ErrUnknownMember = errors.New("no such member")
	ErrRemoveLeader  = errors.New("the leader cannot remove itself; transfer leadership first")
	ErrLastVoter     = errors.New("the last voter cannot be removed")
)

// Config configures a core. Zero fields take the defaults.
type Config struct {
	ID ID
	// ElectionTicks is the base election timeout. A follower that hears from no leader
	// starts an election after a random time between ElectionTicks and twice that, and sooner
	// in its first elections after a start. A
	// leader that hears from no quorum for ElectionTicks steps down.
	ElectionTicks  int
	HeartbeatTicks int
	// AppendBytes is the maximum size of the entry data in one append; a single larger
	// entry is sent alone.
	AppendBytes int
	// Window is the maximum number of entries sent to a follower and not yet acknowledged.
	Window uint64
	// WindowBytes is the size of the entries sent to a follower and not yet acknowledged beyond
	// which no further append is sent.
	WindowBytes int
	// ResendBytes is the size of the entries that a slow connection carries in one tick. Entries on
	// their way are not assumed lost, and sent again, before that time.
	ResendBytes int
	// PieceBytes is the maximum size of one piece of a snapshot.
	PieceBytes int
	// Trailing is the number of entries before a snapshot that stay in memory, so that a
	// follower that lags by fewer entries needs no snapshot.
	Trailing uint64
	// TrailingBytes bounds the size of these entries.
	TrailingBytes int
	// UncommittedBytes is the size of the entries that wait for a quorum beyond which further
	// commands are rejected.
	UncommittedBytes int
	// CatchUpLag is the maximum number of entries that a learner may lack to be promoted.
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
	set(&c.ResendBytes, DefaultResendBytes)
	set(&c.PieceBytes, DefaultPieceBytes)
	set(&c.WindowBytes, DefaultWindowBytes)
	set(&c.TrailingBytes, DefaultTrailingBytes)
	set(&c.UncommittedBytes, DefaultUncommittedBytes)
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

// Recovered is the persistent state that a replica reads from its disk when it starts.
type Recovered struct {
	State    State
	Snapshot *Snapshot
	Entries  []Entry
}

// Core is the Raft state of one replica of a group. It isn't safe for concurrent use: call
// its methods from one goroutine.
type Core struct {
	cfg   Config
	rand  *rand.Rand
	id    ID
	group GroupID

	state          State
	savedState     State
	log            entryLog
	commit         uint64
	applied        uint64
	snapshot       *Snapshot
	pendingInstall *Snapshot
	incoming       *incomingSnapshot
	// memberships holds the membership at the snapshot and every later one in the log.
	memberships []membershipAt

	role   Role
	leader ID
	// startupElections counts the elections that the replica started before it heard from a
	// leader for the first time since its start; it is startupSteps from then on.
	startupElections int
	electionElapsed  int
	electionTimeout  int
	votes            map[ID]bool
	peers            map[ID]*peer
	heartbeatElapsed int
	transfer         transfer

	round          uint64
	heartbeatDue   bool
	pendingReads   []pendingRead
	confirmedReads []Read

	messages []Message
}

// New returns a core that continues from the recovered state. Without a snapshot the
// replica belongs to no group and waits until a leader sends it a snapshot.
func New(cfg Config, r Recovered) (*Core, error) {
	if cfg.ID == 0 {
		return nil, errors.New("replica identity is 0")
	}
	cfg = cfg.withDefaults()
	c := &Core{
		cfg:        cfg,
		rand:       rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.ID))),
		id:         cfg.ID,
		state:      r.State,
		savedState: r.State,
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

// Tick advances the core's logical clock by one tick.
func (c *Core) Tick() {
	if c.role == Leader {
		c.tickLeader()
		return
	}
	c.electionElapsed++
	if c.electionElapsed >= c.electionTimeout && c.canLead() {
		c.campaign(PreCandidate, false)
	}
}

func (c *Core) tickLeader() {
	for _, p := range c.peers {
		p.silentTicks++
		p.sentTicks++
	}
	if !c.hasActiveQuorum() {
		c.becomeFollower(c.state.Term, 0)
		return
	}
	c.tickTransfer()
	c.heartbeatElapsed++
	if c.heartbeatElapsed >= c.cfg.HeartbeatTicks {
		c.heartbeatDue = true
	}
}

// hasActiveQuorum reports whether a quorum of voters, the leader included, answered within
// ElectionTicks.
func (c *Core) hasActiveQuorum() bool {
	heard := 0
	for _, m := range c.members() {
		if m.Learner {
			continue
		}
		if m.ID == c.id || c.peers[m.ID].silentTicks <= c.cfg.ElectionTicks {
			heard++
		}
	}
	return heard >= c.members().Quorum()
}

// canLead reports whether the replica is a voter of a group.
func (c *Core) canLead() bool { return c.group != 0 && c.members().IsVoter(c.id) }

// Step handles a message from another replica.
func (c *Core) Step(m Message) {
	if m.To != c.id || m.From == c.id || !c.acceptsGroup(&m) {
		return
	}
	switch {
	case m.Term > c.state.Term:
		if !c.handleHigherTerm(&m) {
			return
		}
	case m.Term < c.state.Term:
		c.handleLowerTerm(&m)
		return
	}
	c.handleMessage(&m)
}

// acceptsGroup reports whether a message belongs to the replica's group. A replica without
// a group accepts only messages of leaders. Members of a group accept from a sender without
// a group only replies to a leader.
func (c *Core) acceptsGroup(m *Message) bool {
	if c.group == 0 {
		return m.Group != 0 && m.fromLeader()
	}
	return m.Group == c.group || (m.Group == 0 && m.toLeader())
}

// handleHigherTerm adopts the higher term of a message and reports whether to process the
// message. Pre-votes that are requested or granted don't change the term.
func (c *Core) handleHigherTerm(m *Message) bool {
	switch m.Type {
	case MsgPreVote:
		return true
	case MsgPreVoteReply:
		if !m.Reject {
			return true
		}
	case MsgVote:
		// A replica that hears from a leader ignores candidates, so that a replica that
		// was partitioned or removed cannot depose a working leader.
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

// handleLowerTerm rejects leader messages and pre-votes of an older term, so that the
// sender learns of the newer term. It ignores all other messages.
func (c *Core) handleLowerTerm(m *Message) {
	switch {
	case m.fromLeader():
		c.send(Message{Type: MsgAppendReply, To: m.From, Reject: true, Index: m.Index})
	case m.Type == MsgPreVote:
		c.send(Message{Type: MsgPreVoteReply, To: m.From, Reject: true})
	}
}

// hasLeader reports whether the replica is the leader or heard from one within
// ElectionTicks.
func (c *Core) hasLeader() bool {
	return c.role == Leader || (c.leader != 0 && c.electionElapsed < c.cfg.ElectionTicks)
}

func (c *Core) handleMessage(m *Message) {
	if m.fromLeader() {
		if c.role == Leader {
			// A term has at most one leader, so the sender is faulty.
			return
		}
		c.followLeader(m.From)
	}
	switch m.Type {
	case MsgPreVote, MsgVote:
		c.onVoteRequest(m)
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
		c.onPeerReply(m)
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
