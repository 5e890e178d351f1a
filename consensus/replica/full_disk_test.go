package replica_test

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"toucantiller.dev/consensus/replica"
	"toucantiller.dev/wal/faultfs"
)

func (g *group) disk(address string) *faultfs.FS { return g.fs[address].(*faultfs.FS) }

// assertRuns fails the test if a replica has stopped.
func (n *node) assertRuns(t *testing.T) {
	t.Helper()
	select {
	case <-n.Done():
		t.Fatalf("replica %s stopped: %v", n.address, n.Err())
	default:
	}
}

// Guards against a full disk that ends the leader, which ends again at each start, and against
// a group that does not continue without it.
func TestFullDiskOfTheLeaderDoesNotEndIt(t *testing.T) {
	withVirtualTimeGroup(t, 0, func(t *testing.T, g *group) {
		g.propose("before")
		old := g.leader()
		g.disk(old.address).SetCapacity(1)
		_, err := old.Propose(timeoutContext(t, 5*time.Second), []byte("unknown"))
		var unknown *replica.UnknownOutcomeError
		assert.Assert(t, errors.As(err, &unknown), "%v", err)
		g.propose("after")
		old.assertRuns(t)
		assert.Assert(t, old.Status().DiskFull)
		_, err = old.Propose(timeoutContext(t, 5*time.Second), []byte("refused"))
		assert.ErrorIs(t, err, replica.ErrDiskFull)
		assert.Assert(t, !old.Status().IsLeader && old.Status().Leader == "", "a replica that does nothing says that it leads")
		var notLeader *replica.NotLeaderError
		assert.Assert(t, errors.As(old.ReadBarrier(timeoutContext(t, time.Second)), &notLeader))

		g.disk(old.address).SetCapacity(0)
		want := g.leader().journal.all()
		g.waitFor("the commands of the time without space", func() bool { return len(old.journal.all()) == len(want) })
		assert.DeepEqual(t, old.journal.all(), want)
		assert.Assert(t, !old.Status().DiskFull)
	})
}

// startWithReserve starts the replicas again, with a state that is the last command and a reserve
// in which a snapshot fits.
func startWithReserve(g *group) { startWithState(g, 1) }

// startWithState starts the replicas again, with a state of the last commands and a reserve of 1 MiB.
func startWithState(g *group, keep int) {
	g.reserve, g.keep = 1<<20, keep
	for _, a := range g.addresses {
		g.kill(g.nodes[a])
		g.start(a)
	}
	g.propose("before")
}

// Guards against disks that fill up on all replicas and end them again and again: they must
// refuse large commands, serve small ones and reads, survive a restart on the full disk and
// continue once there is space, with everything that was acknowledged.
func TestFullDisksOfAllReplicasLoseNothing(t *testing.T) {
	withVirtualTimeGroup(t, 0, func(t *testing.T, g *group) {
		startWithReserve(g)
		for _, a := range g.addresses {
			g.disk(a).SetCapacity(g.disk(a).Used() - g.reserve/2)
		}
		last := "before"
		for i, refused := 0, 0; refused < 20; i++ {
			assert.Assert(t, i < 200, "large commands are accepted on full disks")
			command := largeCommand(i)
			_, err := g.leader().Propose(timeoutContext(t, 5*time.Second), []byte(command))
			switch {
			case err == nil:
				last = command
				refused = 0
			case errors.Is(err, replica.ErrDiskFull):
				refused++
			}
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(time.Minute)
		assert.NilError(t, g.leader().ReadBarrier(timeoutContext(t, time.Second)))
		assert.DeepEqual(t, g.leader().journal.all(), []string{last})
		for _, a := range g.addresses {
			g.nodes[a].assertRuns(t)
			g.kill(g.nodes[a])
			g.start(a)
		}
		assert.DeepEqual(t, g.leader().journal.all(), []string{last})
		g.propose("small")
		for _, a := range g.addresses {
			g.disk(a).SetCapacity(0)
		}
		time.Sleep(2 * time.Second)
		g.propose("%s", largeCommand(0))
	})
}

// Guards against a leader that refuses commands for want of space while other replicas have it.
func TestLeaderWithoutSpaceHandsOver(t *testing.T) {
	withVirtualTimeGroup(t, 0, func(t *testing.T, g *group) {
		startWithReserve(g)
		old := g.leader()
		g.disk(old.address).SetCapacity(g.disk(old.address).Used() + 10)
		g.propose("makes the leader give up its reserve")
		time.Sleep(2 * time.Second)
		assert.Assert(t, g.leader() != old)
		g.propose("%s", largeCommand(0))
		old.assertRuns(t)
	})
}

// Guards against a leader that refuses commands for as long as its disk is full, although others have
// space: its attempts at a snapshot, for which there is no space either, kept it from handing over.
func TestLeaderWithoutSpaceForASnapshotHandsOver(t *testing.T) {
	withVirtualTimeGroup(t, 0, func(t *testing.T, g *group) {
		const kept = 8
		startWithState(g, kept)
		for i := range kept {
			g.propose("%s", largeCommand(i))
		}
		old := g.leader()
		g.disk(old.address).SetCapacity(g.disk(old.address).Used())
		g.propose("%s", largeCommand(kept)) // makes the leader give up its reserve
		began := time.Now()
		for {
			_, err := g.leader().Propose(timeoutContext(t, time.Second), []byte(largeCommand(kept+1)))
			if err == nil {
				break
			}
			assert.Assert(t, time.Since(began) <= acceptedWithin, "after %s: %v", time.Since(began), err)
			time.Sleep(100 * time.Millisecond)
		}
		assert.Assert(t, g.leader() != old)
		old.assertRuns(t)
	})
}

// Guards against replicas that wait for space for good although a snapshot would free it: a
// command that fits neither on the disk nor in the reserve, behind a long log.
func TestBlockedReplicasFreeTheirLog(t *testing.T) {
	withVirtualTimeGroup(t, 0, func(t *testing.T, g *group) {
		startWithReserve(g)
		for i := range 12 { // less than a snapshot's interval
			g.propose("%s", largeCommand(i))
		}
		for _, a := range g.addresses {
			g.disk(a).SetCapacity(g.disk(a).Used() + 64<<10)
		}
		_, err := g.leader().Propose(timeoutContext(t, 5*time.Second), make([]byte, 2<<20))
		var unknown *replica.UnknownOutcomeError
		assert.Assert(t, err == nil || errors.As(err, &unknown), "%v", err)
		time.Sleep(20 * time.Second)
		g.propose("small")
		for _, n := range g.nodes {
			n.assertRuns(t)
		}
	})
}

// Guards against small commands that are refused on a full disk because a large one came beside
// them.
func TestFullDiskRefusesLargeCommandsOnly(t *testing.T) {
	withVirtualTimeGroup(t, 0, func(t *testing.T, g *group) {
		startWithReserve(g)
		for _, a := range g.addresses {
			g.disk(a).SetCapacity(g.disk(a).Used() - g.reserve/2)
		}
		g.propose("makes the replicas give up their reserves")
		time.Sleep(5 * time.Second)
		leader := g.leader()
		small, large := make(chan error, 50), make(chan error, 50)
		for range cap(small) {
			go func() {
				_, err := leader.Propose(timeoutContext(t, 5*time.Second), []byte(largeCommand(0)))
				large <- err
			}()
			go func() {
				_, err := leader.Propose(timeoutContext(t, 5*time.Second), []byte("small"))
				small <- err
			}()
		}
		for range cap(small) {
			assert.NilError(t, <-small)
			assert.ErrorIs(t, <-large, replica.ErrDiskFull)
		}
	})
}

// Guards against a group that a full disk of one founder keeps from forming, or that founder
// from joining it, since its process ends.
func TestFullDiskOfAFounderDelaysItsJoining(t *testing.T) {
	for _, full := range []string{"a", "b"} {
		synctest.Test(t, func(t *testing.T) {
			g, disks := startSmallDisks(t)
			defer g.stop()
			disks[full].SetCapacity(1)
			time.Sleep(10 * time.Second)
			g.nodes[full].assertRuns(t)
			assert.Assert(t, !g.nodes[full].Status().Joined)
			disks[full].SetCapacity(0)
			g.waitFor("the group", func() bool { return g.nodes[full].Status().Joined })
			g.propose("after")
		})
	}
}
