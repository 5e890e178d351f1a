package control_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"toucantiller.dev/control"
	"toucantiller.dev/link"
)

// Guards against a process that followers redirect to a lost leader, so that it receives a
// change accepted by the new leader late; the fault delayed it by 2.2 s.
func TestChangeAfterLeaderLossIsLearnedAtOnce(t *testing.T) {
	for range 4 {
		runInSynctest(t, func(t *testing.T) {
			g := startGroup(t, nil)
			c := control.NewClient(g.network, replicas)
			defer c.Close()
			apply(t, c.ApplyBundle, signedBundle("op-1", bundleText(1, "")))
			p := startProcess(t, g.network, agentInstance(0), replicas)
			time.Sleep(15 * time.Second)
			leader := g.leader(t, c)
			lost := time.Now()
			g.network.SetFault(leader, link.FaultPartition)
			apply(t, c.SetDomain, signedDrain("op-2", "lagos-a"))
			accepted := time.Now()
			for p.holder.Config().Domains["lagos-a"].AcceptsWork() {
				time.Sleep(10 * time.Millisecond)
			}
			t.Logf("accepted %s after the loss, learned %s later", accepted.Sub(lost), time.Since(accepted))
			assert.Assert(t, time.Since(accepted) < 2*time.Second)
			g.network.SetFault(leader, link.FaultNone)
			time.Sleep(3 * time.Second)
		})
	}
}
