package replica_test

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"toucantiller.dev/consensus/replica"
	"toucantiller.dev/wal"
)

// Guards against a replica that is told of its removal by a follower, a leader without a quorum
// or a foreign group, and against one that is never told.
func TestRemovalIsConfirmedByAQuorum(t *testing.T) {
	withVirtualTimeGroup(t, 0, func(t *testing.T, g *group) {
		g.propose("before")
		leader := g.leader()
		ctx := timeoutContext(t, 5*time.Second)
		group := leader.Status().Group
		var removed *node
		for _, n := range g.nodes {
			member, err := leader.IsMember(ctx, group, n.Status().ID)
			assert.NilError(t, err)
			assert.Assert(t, member)
			if n != leader {
				removed = n
			}
		}
		id := removed.Status().ID
		var foreign *replica.ForeignGroupError
		_, err := leader.IsMember(ctx, group+1, id)
		assert.Assert(t, errors.As(err, &foreign), "%v", err)
		assert.NilError(t, leader.RemoveReplica(ctx, replica.Member{ID: id}))
		member, err := leader.IsMember(ctx, group, id)
		assert.NilError(t, err)
		assert.Assert(t, !member)

		var notLeader *replica.NotLeaderError
		_, err = removed.IsMember(ctx, group, id)
		assert.Assert(t, errors.As(err, &notLeader), "%v", err)
		leader.disconnect()
		_, err = leader.IsMember(timeoutContext(t, 5*time.Second), group, 1)
		assert.Assert(t, errors.As(err, &notLeader), "%v", err)
	})
}

// Guards against founders that discarded their logs, all at the same time, and found a second
// group after a restart.
func TestDiscardedFoundersFormNoGroup(t *testing.T) {
	withVirtualTimeGroup(t, 0, func(t *testing.T, g *group) {
		g.propose("before")
		for _, address := range g.addresses {
			g.kill(g.nodes[address])
			assert.NilError(t, wal.Discard("/data", g.fs[address]))
		}
		for _, address := range g.addresses {
			g.start(address)
		}
		time.Sleep(20 * time.Second)
		for _, n := range g.nodes {
			assert.Assert(t, n.Status().Discarded && !n.Status().Joined, "%+v", n.Status())
		}
	})
}
