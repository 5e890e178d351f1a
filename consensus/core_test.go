package consensus_test

import (
	"errors"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"toucantiller.dev/consensus"
)

// cluster runs cores over a simulated network that loses only the messages from and to
// partitioned replicas.
type cluster struct {
	t           *testing.T
	cores       map[consensus.ID]*consensus.Core
	partitioned map[consensus.ID]bool
	inFlight    []consensus.Message
	// lost, if set, reports whether a message is lost.
	lost func(m *consensus.Message) bool
	// sent counts the messages by type; tests may clear it.
	sent map[consensus.MessageType]int
}

const electionTicks = 5

func member(id consensus.ID) consensus.Member {
	return consensus.Member{ID: id, Address: fmt.Sprintf("address-%d", id)}
}

func newCluster(t *testing.T, recovered map[consensus.ID]consensus.Recovered) *cluster {
	c := &cluster{
		t: t, cores: map[consensus.ID]*consensus.Core{}, partitioned: map[consensus.ID]bool{},
		sent: map[consensus.MessageType]int{},
	}
	for id, r := range recovered {
		core, err := consensus.New(consensus.Config{
			ID: id, ElectionTicks: electionTicks, CatchUpLag: 2, Seed: uint64(id), Trailing: 1 << 20,
		}, r)
		assert.NilError(t, err)
		c.cores[id] = core
	}
	return c
}

// founderDisk returns the recovered state of a founding member of a group of n voters.
func founderDisk(n int, entries ...consensus.Entry) consensus.Recovered {
	var members consensus.Membership
	for i := range n {
		members = append(members, member(consensus.ID(i+1)))
	}
	term := uint64(1)
	if len(entries) > 0 {
		term = entries[len(entries)-1].Term
	}
	return consensus.Recovered{
		State:    consensus.State{Term: term},
		Snapshot: &consensus.Snapshot{Index: 1, Term: 1, Group: 9, Members: members},
		Entries:  entries,
	}
}

func newThreeVoterCluster(t *testing.T) *cluster {
	return newCluster(t, map[consensus.ID]consensus.Recovered{1: founderDisk(3), 2: founderDisk(3), 3: founderDisk(3)})
}

// deliverAll carries out batches and delivers messages until none are left.
func (c *cluster) deliverAll() {
	c.t.Helper()
	for round := 0; ; round++ {
		assert.Assert(c.t, round < 10_000, "messages never end")
		for id := consensus.ID(1); id <= 9; id++ {
			core := c.cores[id]
			if core == nil {
				continue
			}
			for r, ok := core.Ready(); ok; r, ok = core.Ready() {
				for _, m := range append(r.Early, r.Messages...) {
					c.sent[m.Type]++
					c.inFlight = append(c.inFlight, m)
				}
				core.Advance(r)
			}
		}
		if len(c.inFlight) == 0 {
			return
		}
		messages := c.inFlight
		c.inFlight = nil
		for _, m := range messages {
			if c.lost != nil && c.lost(&m) {
				continue
			}
			if core := c.cores[m.To]; core != nil && !c.partitioned[m.To] && !c.partitioned[m.From] {
				core.Step(m)
			}
		}
	}
}

// tick ticks the cores with the given IDs n times and delivers the messages in between.
func (c *cluster) tick(n int, ids ...consensus.ID) {
	for range n {
		for _, id := range ids {
			c.cores[id].Tick()
		}
		c.deliverAll()
	}
}

// elect makes id the leader.
func (c *cluster) elect(id consensus.ID) *consensus.Core {
	c.t.Helper()
	c.tick(2*electionTicks, id)
	assert.Equal(c.t, c.cores[id].Status().Role, consensus.Leader)
	return c.cores[id]
}

// Guards against replicas that split the votes when they start an election together.
func TestSimultaneousElections(t *testing.T) {
	c := newThreeVoterCluster(t)
	for _, id := range []consensus.ID{2, 3} {
		for c.cores[id].Status().Role == consensus.Follower {
			c.cores[id].Tick()
		}
	}
	c.partitioned[1] = true
	c.deliverAll()
	assert.Equal(t, c.cores[3].Status().Role, consensus.Leader)
	assert.Equal(t, c.cores[2].Status().Leader, consensus.ID(3))
}

// Guards against replicas that all start together and wait a full election timeout for a leader
// that cannot exist.
func TestFirstElectionAfterAStartIsSooner(t *testing.T) {
	c := newThreeVoterCluster(t)
	c.tick(electionTicks-1, 1, 2, 3)
	leaders := 0
	for _, core := range c.cores {
		if core.Status().Role == consensus.Leader {
			leaders++
		}
	}
	assert.Equal(t, leaders, 1)
}

// Guards against replicas whose votes take longer than the first election timeouts and that
// therefore start one election after another without end.
func TestFirstElectionsBecomeRarer(t *testing.T) {
	c := newThreeVoterCluster(t)
	c.partitioned[2], c.partitioned[3] = true, true
	const timeouts = 20
	c.tick(timeouts*electionTicks, 1)
	others := len(c.cores) - 1
	assert.Assert(t, c.sent[consensus.MsgPreVote] <= others*(timeouts+3), "%d pre-votes", c.sent[consensus.MsgPreVote])
}

// Guards against a replica that comes back from a partition and deposes a working leader.
func TestReturningReplicaDoesNotDeposeLeader(t *testing.T) {
	c := newThreeVoterCluster(t)
	leader := c.elect(1)
	term := leader.Status().Term
	c.partitioned[3] = true
	c.tick(20*electionTicks, 1, 2, 3)
	assert.Equal(t, c.cores[3].Status().Term, term, "a replica alone raised its term")
	c.partitioned[3] = false
	c.tick(4*electionTicks, 1, 2, 3)
	assert.Equal(t, leader.Status().Role, consensus.Leader)
	assert.Equal(t, leader.Status().Term, term)
}

// Guards against a follower that keeps the short election timeout of its start after it has heard
// a leader, and replaces that leader at its first slow sync.
func TestFollowerThatHeardALeaderWaitsTheFullTimeout(t *testing.T) {
	c := newThreeVoterCluster(t)
	c.elect(1)
	c.tick(1, 1)
	for range electionTicks - 1 {
		c.tick(1, 2, 3)
		for _, id := range []consensus.ID{2, 3} {
			assert.Equal(t, c.cores[id].Status().Role, consensus.Follower, "replica %d holds an election before ElectionTicks", id)
		}
	}
}

// Guards against a candidate that deposes a leader which its followers still hear. A removed
// replica with an older version of the election rules may send such a vote request.
func TestVoteIsIgnoredWhileALeaderIsHeard(t *testing.T) {
	c := newThreeVoterCluster(t)
	leader := c.elect(1)
	term := leader.Status().Term
	vote := consensus.Message{
		Type: consensus.MsgVote, From: 3, To: 2, Group: 9, Term: term + 5, Index: 100, LogTerm: term,
	}
	c.cores[2].Step(vote)
	vote.To = 1
	leader.Step(vote)
	c.deliverAll()
	assert.Equal(t, leader.Status().Term, term)
	assert.Equal(t, c.cores[2].Status().Term, term)
}

// Guards against a partitioned leader that does not step down.
func TestCutOffLeaderStepsDown(t *testing.T) {
	c := newThreeVoterCluster(t)
	leader := c.elect(1)
	c.partitioned[1] = true
	c.tick(electionTicks+1, 1)
	assert.Equal(t, leader.Status().Role, consensus.Follower)
	_, _, err := leader.Propose([]byte("x"))
	assert.ErrorIs(t, err, consensus.ErrNotLeader)
	assert.ErrorIs(t, leader.ReadIndex(1), consensus.ErrNotLeader)
}

// Guards against log repair that takes one message per entry instead of one per term.
func TestLogRepairSkipsWholeTerms(t *testing.T) {
	var long, other []consensus.Entry
	for i := range uint64(1000) {
		long = append(long, consensus.Entry{Index: i + 2, Term: 2 + i/500*4})
		other = append(other, consensus.Entry{Index: i + 2, Term: 2 + (i+400)/500})
	}
	c := newCluster(t, map[consensus.ID]consensus.Recovered{
		1: founderDisk(3, long...), 2: founderDisk(3, long...), 3: founderDisk(3, other...),
	})
	c.partitioned[3] = true
	leader := c.elect(1)
	c.partitioned[3] = false
	clear(c.sent)
	c.tick(2*electionTicks, 1)
	assert.Equal(t, c.cores[3].Status().Commit, leader.Status().Commit)
	assert.Assert(t, c.sent[consensus.MsgAppend] <= 15, "%d appends", c.sent[consensus.MsgAppend])
}

// Guards against a learner that votes, or counts towards a quorum, before it holds the log.
func TestLearnerCatchesUpBeforeItVotes(t *testing.T) {
	c := newThreeVoterCluster(t)
	core, err := consensus.New(consensus.Config{ID: 4, ElectionTicks: electionTicks}, consensus.Recovered{})
	assert.NilError(t, err)
	c.cores[4] = core
	leader := c.elect(1)
	c.partitioned[4] = true
	_, _, err = leader.AddLearner(member(4))
	assert.NilError(t, err)
	c.deliverAll()
	_, _, err = leader.Promote(4)
	assert.ErrorIs(t, err, consensus.ErrNotCaughtUp)
	assert.Equal(t, leader.Members().Quorum(), 2)
	c.partitioned[4] = false
	c.tick(2*electionTicks, 1, 4)
	c.tick(4*electionTicks, 4)
	assert.Equal(t, leader.Status().Role, consensus.Leader, "a learner started an election")
	_, _, err = leader.Promote(4)
	assert.NilError(t, err)
	c.deliverAll()
	assert.Equal(t, leader.Members().Quorum(), 3)
}

// Guards against two membership changes in progress at once: their quorums need not overlap.
func TestOneMembershipChangeAtATime(t *testing.T) {
	c := newThreeVoterCluster(t)
	leader := c.elect(1)
	c.partitioned[2], c.partitioned[3] = true, true
	_, _, err := leader.Remove(2)
	assert.NilError(t, err)
	_, _, err = leader.Remove(3)
	assert.ErrorIs(t, err, consensus.ErrChangePending)
	c.partitioned[3] = false
	c.tick(3, 1)
	_, _, err = leader.Remove(3)
	assert.NilError(t, err)
	c.deliverAll()
	_, _, err = leader.Remove(1)
	assert.Assert(t, errors.Is(err, consensus.ErrLastVoter) || errors.Is(err, consensus.ErrChangePending))
}

// winElectionUnreplicated lets id win an election by forged vote replies. All its other
// messages are dropped, so that nothing of its term is replicated.
func (c *cluster) winElectionUnreplicated(id consensus.ID) *consensus.Core {
	core := c.cores[id]
	for core.Status().Role != consensus.Leader {
		core.Tick()
		r, _ := core.Ready()
		core.Advance(r)
		for _, m := range r.Messages {
			reply := consensus.Message{From: m.To, To: id, Group: 9, Term: m.Term}
			switch m.Type {
			case consensus.MsgPreVote:
				reply.Type = consensus.MsgPreVoteReply
			case consensus.MsgVote:
				reply.Type = consensus.MsgVoteReply
			default:
				continue
			}
			core.Step(reply)
		}
	}
	return core
}

// Guards against a membership change by a leader that has committed nothing in its term:
// the change could conflict with one of an earlier leader.
func TestMembershipChangeNeedsACommitInTheTerm(t *testing.T) {
	_, _, err := newThreeVoterCluster(t).winElectionUnreplicated(1).Remove(3)
	assert.ErrorIs(t, err, consensus.ErrChangePending)
}

// Guards against committing an entry of an earlier term as soon as a quorum holds it: a
// replica with a later entry of another term could still win an election and replace it.
func TestEarlierTermIsNotCommittedByItself(t *testing.T) {
	entry := consensus.Entry{Index: 2, Term: 2}
	c := newCluster(t, map[consensus.ID]consensus.Recovered{1: founderDisk(3, entry)})
	leader := c.winElectionUnreplicated(1)
	for r, ok := leader.Ready(); ok; r, ok = leader.Ready() {
		leader.Advance(r)
	}
	ack := consensus.Message{
		Type: consensus.MsgAppendReply, From: 2, To: 1, Group: 9, Term: leader.Status().Term, Index: 2,
	}
	leader.Step(ack)
	assert.Equal(t, leader.Status().Commit, uint64(1))
	ack.Index = 3
	leader.Step(ack)
	assert.Equal(t, leader.Status().Commit, uint64(3))
}

// Guards against a follower that commits stale entries after those that the append matched.
func TestAppendCommitsOnlyWhatItMatched(t *testing.T) {
	c := newCluster(t, map[consensus.ID]consensus.Recovered{1: founderDisk(3, consensus.Entry{Index: 2, Term: 2})})
	c.cores[1].Step(consensus.Message{
		Type: consensus.MsgAppend, From: 2, To: 1, Group: 9, Term: 3, Index: 1, LogTerm: 1, Commit: 2,
	})
	assert.Equal(t, c.cores[1].Status().Commit, uint64(1))
}

// Guards against a leader that sends a large entry again with each second heartbeat while the first
// copy is still on its way, until the copies fill the connection.
func TestLargeEntryOnItsWayIsSentOnce(t *testing.T) {
	c := newThreeVoterCluster(t)
	leader := c.elect(1)
	sent := 0
	c.lost = func(m *consensus.Message) bool {
		if len(m.Entries) > 0 {
			sent++
		}
		return len(m.Entries) > 0
	}
	_, _, err := leader.Propose(make([]byte, 1<<20))
	assert.NilError(t, err)
	c.deliverAll()
	c.tick(60, 1)
	assert.Equal(t, sent, 2, "one for each follower")
	c.tick(30, 1)
	assert.Equal(t, sent, 4, "a lost entry is sent again")
}

// Guards against a read served by a leader that no quorum has confirmed since the read began.
func TestReadWaitsForAQuorum(t *testing.T) {
	c := newThreeVoterCluster(t)
	leader := c.elect(1)
	assert.NilError(t, leader.ReadIndex(7))
	r, _ := leader.Ready()
	assert.Equal(t, len(r.Reads), 0)
	leader.Advance(r)
	reply := consensus.Message{Type: consensus.MsgHeartbeatReply, From: 2, To: 1, Group: 9, Term: r.Early[0].Term}
	reply.Round = r.Early[0].Round - 1
	leader.Step(reply)
	r, _ = leader.Ready()
	assert.Equal(t, len(r.Reads), 0, "an answer to an earlier round counts")
	leader.Advance(r)
	reply.Round++
	leader.Step(reply)
	r, _ = leader.Ready()
	assert.DeepEqual(t, r.Reads, []consensus.Read{{Token: 7, Index: leader.Status().Commit}})
}

// Guards against a read point that misses entries committed by an earlier leader: a new
// leader does not know the latest commit index before it has committed in its term.
func TestReadWaitsForACommitInTheTerm(t *testing.T) {
	c := newThreeVoterCluster(t)
	leader := c.winElectionUnreplicated(1)
	assert.NilError(t, leader.ReadIndex(7))
	for r, ok := leader.Ready(); ok; r, ok = leader.Ready() {
		leader.Advance(r)
	}
	for round := range uint64(9) {
		leader.Step(consensus.Message{
			Type: consensus.MsgHeartbeatReply, From: 2, To: 1, Group: 9, Term: leader.Status().Term, Round: round,
		})
	}
	r, _ := leader.Ready()
	assert.Equal(t, len(r.Reads), 0)
}

// Guards against an election won by votes of replicas that are not voters, such as one that
// lost its disk and answers under a new identity.
func TestOnlyVotesOfVotersCount(t *testing.T) {
	c := newCluster(t, map[consensus.ID]consensus.Recovered{1: founderDisk(3)})
	core := c.cores[1]
	for core.Status().Role == consensus.Follower {
		core.Tick()
	}
	grant := consensus.Message{
		Type: consensus.MsgPreVoteReply, From: 7, To: 1, Group: 9, Term: core.Status().Term + 1,
	}
	core.Step(grant)
	assert.Equal(t, core.Status().Role, consensus.PreCandidate)
	grant.From = 3
	core.Step(grant)
	assert.Equal(t, core.Status().Role, consensus.Candidate)
}

// Guards against a membership that stays in effect after another leader replaced its entry.
func TestReplacedMembershipIsReverted(t *testing.T) {
	c := newThreeVoterCluster(t)
	old := c.elect(1)
	c.partitioned[1] = true
	_, _, err := old.Remove(3)
	assert.NilError(t, err)
	c.tick(electionTicks+1, 1)
	assert.Equal(t, old.Members().Voters(), 2)
	c.tick(6*electionTicks, 2, 3)
	c.partitioned[1] = false
	c.tick(2*electionTicks, 2, 3)
	assert.Assert(t, c.cores[2].Status().Role == consensus.Leader || c.cores[3].Status().Role == consensus.Leader)
	assert.Equal(t, old.Members().Voters(), 3)
}

// Guards against a replica that handles messages of another group, or votes before it
// belongs to a group.
func TestMessagesOfOtherGroupsAreIgnored(t *testing.T) {
	for group, r := range map[consensus.GroupID]consensus.Recovered{8: founderDisk(3), 9: {}} {
		c := newCluster(t, map[consensus.ID]consensus.Recovered{3: r})
		c.cores[3].Step(consensus.Message{
			Type: consensus.MsgVote, From: 1, To: 3, Group: group, Term: 7, Index: 9, LogTerm: 6,
		})
		assert.Equal(t, c.cores[3].Status().Term, r.State.Term)
		_, ok := c.cores[3].Ready()
		assert.Assert(t, !ok, "group %d", group)
	}
}

// Guards against messages of a new term that are sent before the term is on disk. A single
// voter becomes leader at once; after a crash it could lead the same term a second time
// with other entries, and its learner would see both.
func TestAppendsOfANewTermWaitForTheDisk(t *testing.T) {
	r := founderDisk(1)
	r.Snapshot.Members = append(r.Snapshot.Members, consensus.Member{ID: 2, Address: "b", Learner: true})
	c := newCluster(t, map[consensus.ID]consensus.Recovered{1: r})
	core := c.cores[1]
	for core.Status().Role != consensus.Leader {
		core.Tick()
	}
	ready, ok := core.Ready()
	assert.Assert(t, ok && ready.State != nil && len(ready.Messages) > 0)
	assert.Equal(t, len(ready.Early), 0)
}

// Guards against a leadership transfer that leaves the group without a leader, or that
// accepts proposals while it is in progress.
func TestTransferLeadership(t *testing.T) {
	c := newThreeVoterCluster(t)
	leader := c.elect(1)
	c.partitioned[2] = true
	_, _, err := leader.Propose([]byte("x"))
	assert.NilError(t, err)
	c.deliverAll()
	assert.NilError(t, leader.TransferLeadership(2))
	_, _, err = leader.Propose([]byte("y"))
	assert.ErrorIs(t, err, consensus.ErrTransferring)
	c.tick(electionTicks, 1)
	_, _, err = leader.Propose([]byte("z"))
	assert.NilError(t, err, "a failed transfer was not given up")
	c.partitioned[2] = false
	c.tick(4, 1)
	assert.NilError(t, leader.TransferLeadership(0))
	c.deliverAll()
	assert.Equal(t, leader.Status().Role, consensus.Follower)
	assert.Assert(t, leader.Status().Leader != 0 && leader.Status().Leader != 1)
}
