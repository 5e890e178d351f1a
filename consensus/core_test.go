package consensus_test

import (
	"errors"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"toucantiller.dev/consensus"
)

// cluster runs cores over a network that loses nothing unless told to.
type cluster struct {
	t        *testing.T
	cores    map[consensus.ID]*consensus.Core
	cut      map[consensus.ID]bool
	inflight []consensus.Message
	// sent counts messages by type since it was last cleared.
	sent map[consensus.MessageType]int
}

const electionTicks = 5

func member(id consensus.ID) consensus.Member {
	return consensus.Member{ID: id, Address: fmt.Sprintf("address-%d", id)}
}

func newCluster(t *testing.T, recovered map[consensus.ID]consensus.Recovered) *cluster {
	c := &cluster{
		t: t, cores: map[consensus.ID]*consensus.Core{}, cut: map[consensus.ID]bool{},
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

// founded is the disk of a founder of a group of n.
func founded(n int, entries ...consensus.Entry) consensus.Recovered {
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

func three(t *testing.T) *cluster {
	return newCluster(t, map[consensus.ID]consensus.Recovered{1: founded(3), 2: founded(3), 3: founded(3)})
}

// drain carries out all batches and delivers all messages until nothing is left.
func (c *cluster) drain() {
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
					c.inflight = append(c.inflight, m)
				}
				core.Advance(r)
			}
		}
		if len(c.inflight) == 0 {
			return
		}
		messages := c.inflight
		c.inflight = nil
		for _, m := range messages {
			if core := c.cores[m.To]; core != nil && !c.cut[m.To] && !c.cut[m.From] {
				core.Step(m)
			}
		}
	}
}

func (c *cluster) tick(n int, ids ...consensus.ID) {
	for range n {
		for _, id := range ids {
			c.cores[id].Tick()
		}
		c.drain()
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
	c := three(t)
	for _, id := range []consensus.ID{2, 3} {
		for c.cores[id].Status().Role == consensus.Follower {
			c.cores[id].Tick()
		}
	}
	c.cut[1] = true
	c.drain()
	assert.Equal(t, c.cores[3].Status().Role, consensus.Leader)
	assert.Equal(t, c.cores[2].Status().Leader, consensus.ID(3))
}

// Guards against a replica that comes back from a partition and deposes a working leader.
func TestReturningReplicaDoesNotDisturb(t *testing.T) {
	c := three(t)
	leader := c.elect(1)
	term := leader.Status().Term
	c.cut[3] = true
	c.tick(20*electionTicks, 1, 2, 3)
	assert.Equal(t, c.cores[3].Status().Term, term, "a replica alone raised its term")
	c.cut[3] = false
	c.tick(4*electionTicks, 1, 2, 3)
	assert.Equal(t, leader.Status().Role, consensus.Leader)
	assert.Equal(t, leader.Status().Term, term)
}

// Guards against a candidate that deposes a leader which others hear, as a removed replica
// with an old version of the rules may try.
func TestVoteIsIgnoredWhileALeaderIsHeard(t *testing.T) {
	c := three(t)
	leader := c.elect(1)
	term := leader.Status().Term
	vote := consensus.Message{
		Type: consensus.MsgVote, From: 3, To: 2, Group: 9, Term: term + 5, Index: 100, LogTerm: term,
	}
	c.cores[2].Step(vote)
	vote.To = 1
	leader.Step(vote)
	c.drain()
	assert.Equal(t, leader.Status().Term, term)
	assert.Equal(t, c.cores[2].Status().Term, term)
}

// Guards against a leader that is cut off and goes on as leader.
func TestCutOffLeaderStepsDown(t *testing.T) {
	c := three(t)
	leader := c.elect(1)
	c.cut[1] = true
	c.tick(electionTicks+1, 1)
	assert.Equal(t, leader.Status().Role, consensus.Follower)
	_, _, err := leader.Propose([]byte("x"))
	assert.ErrorIs(t, err, consensus.ErrNotLeader)
	assert.ErrorIs(t, leader.ReadIndex(1), consensus.ErrNotLeader)
}

// Guards against log repair that takes a message per entry.
func TestBacktrackingSkipsTerms(t *testing.T) {
	var long, other []consensus.Entry
	for i := range uint64(1000) {
		long = append(long, consensus.Entry{Index: i + 2, Term: 2 + i/500*4})
		other = append(other, consensus.Entry{Index: i + 2, Term: 2 + (i+400)/500})
	}
	c := newCluster(t, map[consensus.ID]consensus.Recovered{
		1: founded(3, long...), 2: founded(3, long...), 3: founded(3, other...),
	})
	c.cut[3] = true
	leader := c.elect(1)
	c.cut[3] = false
	clear(c.sent)
	c.tick(2*electionTicks, 1)
	assert.Equal(t, c.cores[3].Status().Commit, leader.Status().Commit)
	assert.Assert(t, c.sent[consensus.MsgAppend] <= 15, "%d appends", c.sent[consensus.MsgAppend])
}

// Guards against a learner that votes, or counts towards a quorum, before it holds the log.
func TestLearnerCatchesUpBeforeItVotes(t *testing.T) {
	c := three(t)
	core, err := consensus.New(consensus.Config{ID: 4, ElectionTicks: electionTicks}, consensus.Recovered{})
	assert.NilError(t, err)
	c.cores[4] = core
	leader := c.elect(1)
	c.cut[4] = true
	_, _, err = leader.AddLearner(member(4))
	assert.NilError(t, err)
	c.drain()
	_, _, err = leader.Promote(4)
	assert.ErrorIs(t, err, consensus.ErrNotCaughtUp)
	assert.Equal(t, leader.Members().Quorum(), 2)
	c.cut[4] = false
	c.tick(2*electionTicks, 1, 4)
	c.tick(4*electionTicks, 4)
	assert.Equal(t, leader.Status().Role, consensus.Leader, "a learner started an election")
	_, _, err = leader.Promote(4)
	assert.NilError(t, err)
	c.drain()
	assert.Equal(t, leader.Members().Quorum(), 3)
}

// Guards against two membership changes at once, whose quorums need not overlap.
func TestOneMembershipChangeAtATime(t *testing.T) {
	c := three(t)
	leader := c.elect(1)
	c.cut[2], c.cut[3] = true, true
	_, _, err := leader.Remove(2)
	assert.NilError(t, err)
	_, _, err = leader.Remove(3)
	assert.ErrorIs(t, err, consensus.ErrChangePending)
	c.cut[3] = false
	c.tick(3, 1)
	_, _, err = leader.Remove(3)
	assert.NilError(t, err)
	c.drain()
	_, _, err = leader.Remove(1)
	assert.Assert(t, errors.Is(err, consensus.ErrLastVoter) || errors.Is(err, consensus.ErrChangePending))
}

// winAlone lets id win an election by votes that the other members never cast in full, so
// that nothing of its term is replicated.
func (c *cluster) winAlone(id consensus.ID) *consensus.Core {
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

// Guards against a membership change by a leader that has not committed in its term, which
// an earlier leader's change can collide with.
func TestMembershipChangeNeedsACommitInTheTerm(t *testing.T) {
	_, _, err := three(t).winAlone(1).Remove(3)
	assert.ErrorIs(t, err, consensus.ErrChangePending)
}

// Guards against a commit of an entry of an earlier term that a quorum holds: a replica with
// a later entry of another term could still win and replace it.
func TestEarlierTermIsNotCommittedByItself(t *testing.T) {
	entry := consensus.Entry{Index: 2, Term: 2}
	c := newCluster(t, map[consensus.ID]consensus.Recovered{1: founded(3, entry)})
	leader := c.winAlone(1)
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

// Guards against a follower that commits a stale suffix which the append did not reach.
func TestAppendCommitsOnlyWhatItMatched(t *testing.T) {
	c := newCluster(t, map[consensus.ID]consensus.Recovered{1: founded(3, consensus.Entry{Index: 2, Term: 2})})
	c.cores[1].Step(consensus.Message{
		Type: consensus.MsgAppend, From: 2, To: 1, Group: 9, Term: 3, Index: 1, LogTerm: 1, Commit: 2,
	})
	assert.Equal(t, c.cores[1].Status().Commit, uint64(1))
}

// Guards against a read served by a leader that no quorum has confirmed since the read began.
func TestReadWaitsForAQuorum(t *testing.T) {
	c := three(t)
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

// Guards against a read point that misses what an earlier leader committed: a new leader
// does not know it before it has committed in its term.
func TestReadWaitsForACommitInTheTerm(t *testing.T) {
	c := three(t)
	leader := c.winAlone(1)
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
func TestOnlyVotersVote(t *testing.T) {
	c := newCluster(t, map[consensus.ID]consensus.Recovered{1: founded(3)})
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

// Guards against a membership that stays in force after another leader replaced its entry.
func TestReplacedMembershipIsTakenBack(t *testing.T) {
	c := three(t)
	old := c.elect(1)
	c.cut[1] = true
	_, _, err := old.Remove(3)
	assert.NilError(t, err)
	c.tick(electionTicks+1, 1)
	assert.Equal(t, old.Members().Voters(), 2)
	c.tick(6*electionTicks, 2, 3)
	c.cut[1] = false
	c.tick(2*electionTicks, 2, 3)
	assert.Assert(t, c.cores[2].Status().Role == consensus.Leader || c.cores[3].Status().Role == consensus.Leader)
	assert.Equal(t, old.Members().Voters(), 3)
}

// Guards against a replica that takes part in a group which is not its own, or votes before
// it belongs to any.
func TestMessagesOfOtherGroupsAreIgnored(t *testing.T) {
	for group, r := range map[consensus.GroupID]consensus.Recovered{8: founded(3), 9: {}} {
		c := newCluster(t, map[consensus.ID]consensus.Recovered{3: r})
		c.cores[3].Step(consensus.Message{
			Type: consensus.MsgVote, From: 1, To: 3, Group: group, Term: 7, Index: 9, LogTerm: 6,
		})
		assert.Equal(t, c.cores[3].Status().Term, r.State.Term)
		_, ok := c.cores[3].Ready()
		assert.Assert(t, !ok, "group %d", group)
	}
}

// Guards against messages that promise a new term before it is on disk: a single voter
// leads at once, and after a crash could lead the same term twice towards its learner.
func TestAppendsOfANewTermWaitForTheDisk(t *testing.T) {
	r := founded(1)
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

// Guards against a transfer that leaves the group without a leader, or that lets proposals
// slip in between.
func TestTransferLeadership(t *testing.T) {
	c := three(t)
	leader := c.elect(1)
	c.cut[2] = true
	_, _, err := leader.Propose([]byte("x"))
	assert.NilError(t, err)
	c.drain()
	assert.NilError(t, leader.TransferLeadership(2))
	_, _, err = leader.Propose([]byte("y"))
	assert.ErrorIs(t, err, consensus.ErrTransferring)
	c.tick(electionTicks, 1)
	_, _, err = leader.Propose([]byte("z"))
	assert.NilError(t, err, "a failed transfer was not given up")
	c.cut[2] = false
	c.tick(4, 1)
	assert.NilError(t, leader.TransferLeadership(0))
	c.drain()
	assert.Equal(t, leader.Status().Role, consensus.Follower)
	assert.Assert(t, leader.Status().Leader != 0 && leader.Status().Leader != 1)
}
