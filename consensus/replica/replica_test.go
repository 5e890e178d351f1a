package replica_test

import (
	"context"
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"toucantiller.dev/consensus/replica"
	"toucantiller.dev/link"
	"toucantiller.dev/wal"
	"toucantiller.dev/wal/faultfs"
)

// withVirtualTimeGroup runs a test with virtual time and a group of three replicas on in-memory
// disks and network.
func withVirtualTimeGroup(t *testing.T, threshold uint64, test func(t *testing.T, g *group)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		g := &group{
			t: t, network: link.NewMemory(), addresses: []string{"a", "b", "c"}, threshold: threshold,
			fs: map[string]wal.FS{}, nodes: map[string]*node{}, folder: func(string) string { return "/data" },
		}
		for i, a := range g.addresses {
			g.fs[a] = faultfs.New(uint64(i))
			g.start(a)
		}
		defer g.stop()
		test(t, g)
	})
}

func timeoutContext(t *testing.T, d time.Duration) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), d)
	t.Cleanup(cancel)
	return ctx
}

// Guards against replicas that do not form a group, or that apply different commands.
func TestReplicasAgree(t *testing.T) {
	withVirtualTimeGroup(t, 0, func(t *testing.T, g *group) {
		for i := range 20 {
			g.propose("command %d", i)
		}
		want := g.leader().journal.all()
		assert.Equal(t, len(want), 20)
		for _, n := range g.nodes {
			g.waitFor("all commands on "+n.address, func() bool { return len(n.journal.all()) == 20 })
			assert.DeepEqual(t, n.journal.all(), want)
		}
	})
}

// Guards against a group that stays without a leader for 2 s after its leader died, and
// against commands lost by the change.
func TestFailover(t *testing.T) {
	withVirtualTimeGroup(t, 0, func(t *testing.T, g *group) {
		g.propose("before")
		g.kill(g.leader())
		start := time.Now()
		g.propose("after")
		assert.Assert(t, time.Since(start) < 2*time.Second, "%v", time.Since(start))
		assert.DeepEqual(t, g.leader().journal.all(), []string{"before", "after"})
	})
}

// Guards against calls to a partitioned leader that never return, or that report a command
// which may still be applied as one without effect.
func TestCallsToPartitionedLeaderFail(t *testing.T) {
	withVirtualTimeGroup(t, 0, func(t *testing.T, g *group) {
		old := g.leader()
		old.disconnect()
		_, err := old.Propose(timeoutContext(t, 5*time.Second), []byte("lost"))
		var unknown *replica.UnknownOutcomeError
		assert.Assert(t, errors.As(err, &unknown), "%v", err)
		_, err = old.Propose(timeoutContext(t, 5*time.Second), []byte("refused"))
		var notLeader *replica.NotLeaderError
		assert.Assert(t, errors.As(err, &notLeader), "%v", err)
		assert.Assert(t, errors.As(old.ReadBarrier(timeoutContext(t, time.Second)), &notLeader))
	})
}

// Guards against a shutdown that leaves the group without a leader for an election timeout.
func TestStopTransfersLeadership(t *testing.T) {
	withVirtualTimeGroup(t, 0, func(t *testing.T, g *group) {
		old := g.leader()
		start := time.Now()
		assert.NilError(t, old.Stop(timeoutContext(t, 5*time.Second)))
		delete(g.nodes, old.address)
		g.leader()
		assert.Assert(t, time.Since(start) < 400*time.Millisecond, "%v", time.Since(start))
		_, err := old.Propose(timeoutContext(t, time.Second), []byte("x"))
		assert.ErrorIs(t, err, replica.ErrStopped)
		old.disconnect()
	})
}

// Guards against a replica that lost its disk and votes under its former identity, against a
// lost replica that cannot be replaced, and against acknowledged commands that are lost when
// a second disk fails right after the repair.
func TestReplaceLostDisks(t *testing.T) {
	withVirtualTimeGroup(t, 5, func(t *testing.T, g *group) {
		var want []string
		for round := range 4 {
			for range 9 {
				want = append(want, "command "+strings.Repeat("x", len(want)))
				g.propose("%s", want[len(want)-1])
			}
			lost := g.leader()
			former := lost.Status().ID
			g.kill(lost)
			g.fs[lost.address] = faultfs.New(uint64(100 + round))
			replacement := g.start(lost.address)
			leader := g.leader()
			assert.Assert(t, !replacement.Status().Joined, "a replica with an empty disk joined by itself")
			assert.Assert(t, replacement.Status().ID != former)
			assert.NilError(t, leader.AddReplica(timeoutContext(t, 20*time.Second), replica.Member{Address: lost.address}))
			members := leader.Status().Members
			assert.Equal(t, len(members), 3)
			for _, m := range members {
				assert.Assert(t, !m.Learner && m.ID != former, "%v", members)
			}
			g.waitFor("the journal of the new replica", func() bool {
				return len(replacement.journal.all()) == len(want)
			})
		}
		for _, n := range g.nodes {
			assert.DeepEqual(t, n.journal.all(), want)
		}
	})
}

// Guards against a founding member that missed the group's formation and cannot vote
// later, when its vote is needed. Found by seed 1007824 of TestSchedules.
func TestFounderThatMissedTheFormationCanVote(t *testing.T) {
	withVirtualTimeGroup(t, 5, func(t *testing.T, g *group) {
		g.waitFor("the start of the group", g.nodes["a"].joined)
		assert.Assert(t, !g.nodes["b"].joined(), "the test needs a founder that missed the start")
		g.kill(g.nodes["b"])
		for i := range 10 {
			g.propose("command %d", i)
		}
		g.kill(g.nodes["c"])
		g.start("b")
		g.propose("after")
		assert.Equal(t, len(g.leader().journal.all()), 11)
	})
}

// Guards against a group that never forms because the founder that decides on it ended before it had
// met the others, and was told after its restart to join a group.
func TestFounderThatEndedBeforeTheFormationFormsTheGroup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, link.NewMemory())
		defer g.stop()
		g.addresses = []string{"a", "b", "c"}
		g.kill(g.start("a"))
		g.start("b")
		g.start("c")
		time.Sleep(time.Second)
		g.addresses = nil
		g.start("a")
		g.waitFor("the group", func() bool { return g.nodes["a"].joined() && g.nodes["b"].joined() && g.nodes["c"].joined() })
		g.propose("command")
	})
}

func (n *node) joined() bool { return n.Status().Joined }

// Guards against a membership call that reports success before the change is committed, and
// against a removed replica that still counts towards the quorum.
func TestRemoveReplica(t *testing.T) {
	withVirtualTimeGroup(t, 0, func(t *testing.T, g *group) {
		leader := g.leader()
		var other *node
		for _, n := range g.nodes {
			if n != leader {
				other = n
			}
		}
		var notLeader *replica.NotLeaderError
		err := other.RemoveReplica(timeoutContext(t, time.Second), replica.Member{Address: leader.address})
		assert.Assert(t, errors.As(err, &notLeader) && notLeader.Leader == leader.address, "%v", err)
		assert.NilError(t, leader.RemoveReplica(timeoutContext(t, time.Second), replica.Member{Address: other.address}))
		assert.Equal(t, len(leader.Status().Members), 2)
		err = leader.RemoveReplica(timeoutContext(t, time.Second), replica.Member{Address: leader.address})
		assert.ErrorContains(t, err, "transfer leadership first")
		time.Sleep(5 * time.Second)
		assert.Assert(t, leader.Status().IsLeader, "the removed replica deposed the leader")
		err = leader.AddReplica(timeoutContext(t, 5*time.Second), replica.Member{Address: other.address})
		assert.ErrorIs(t, err, replica.ErrBelongsToGroup)
		assert.NilError(t, leader.AddReplica(timeoutContext(t, 5*time.Second), replica.Member{
			ID: other.Status().ID, Address: other.address,
		}))
		assert.Equal(t, len(leader.Status().Members), 3)
	})
}

// Guards against a replica that continues after its disk failed, and against a group that does
// not continue without that replica.
func TestFailedSyncStopsTheReplica(t *testing.T) {
	withVirtualTimeGroup(t, 0, func(t *testing.T, g *group) {
		g.propose("before")
		old := g.leader()
		g.fs[old.address].(*faultfs.FS).FailSync(1)
		_, err := old.Propose(timeoutContext(t, 5*time.Second), []byte("unknown"))
		var unknown *replica.UnknownOutcomeError
		assert.Assert(t, errors.As(err, &unknown), "%v", err)
		<-old.Done()
		assert.ErrorContains(t, old.Err(), "write-ahead log stopped")
		g.kill(old)
		g.propose("after")
	})
}

// Guards against a slow disk that makes the leader step down or lose commands.
func TestSlowDisk(t *testing.T) {
	withVirtualTimeGroup(t, 0, func(t *testing.T, g *group) {
		leader := g.leader()
		g.fs[leader.address].(*faultfs.FS).DelaySync(150 * time.Millisecond)
		for i := range 20 {
			_, err := leader.Propose(timeoutContext(t, 5*time.Second), []byte{byte(i)})
			assert.NilError(t, err)
		}
		assert.Assert(t, leader.Status().IsLeader)
	})
}

// Guards against data that does not survive a restart of all replicas on the real file
// system. The replicas take no snapshot before the restart and one every 7 entries after it.
func TestRestartOnRealFiles(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, link.NewMemory(), "a", "b", "c")
		for i := range 30 {
			g.propose("command %d", i)
		}
		g.stop()
		g.threshold = 7
		for _, a := range g.addresses {
			g.start(a)
		}
		defer g.stop()
		g.propose("last")
		all := g.leader().journal.all()
		assert.Equal(t, len(all), 31)
		assert.Equal(t, all[30], "last")
	})
}

// Guards against commands that are too large for a frame of the write-ahead log.
func TestLargeCommands(t *testing.T) {
	withVirtualTimeGroup(t, 0, func(t *testing.T, g *group) {
		_, err := g.leader().Propose(timeoutContext(t, time.Second), make([]byte, replica.MaxCommandBytes+1))
		assert.ErrorIs(t, err, replica.ErrCommandTooLarge)
		g.propose("%s", strings.Repeat("x", replica.MaxCommandBytes))
	})
}
