package replica_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"toucantiller.dev/link"
)

// Guards against a Stop that spends its whole deadline on transferring the leadership to
// replicas that have stopped already.
func TestStopWithoutQuorumReturns(t *testing.T) {
	for delay := time.Duration(0); delay <= time.Second; delay += 100 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) { stopWithoutQuorum(t, delay) })
	}
}

// stopWithoutQuorum stops the followers, waits for the delay and stops the leader, so that it
// loses its quorum before, during or after the transfer.
func stopWithoutQuorum(t *testing.T, delay time.Duration) {
	g := newGroup(t, link.NewMemory(), "a", "b", "c")
	defer g.stop()
	leader := g.leader()
	for _, n := range g.nodes {
		if n != leader {
			_ = n.listener.Close()
			n.server.Close()
			assert.NilError(t, n.Stop(context.Background()))
		}
	}
	time.Sleep(delay)
	ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
	defer cancel()
	begin := time.Now()
	assert.NilError(t, leader.Stop(ctx))
	assert.Assert(t, time.Since(begin) < time.Minute, "took %s", time.Since(begin))
}
