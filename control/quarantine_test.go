package control_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"toucantiller.dev/control"
	"toucantiller.dev/control/api"
	"toucantiller.dev/instance"
	"toucantiller.dev/link"
	"toucantiller.dev/quarantine"
)

// Guards against requests of one kind that crash one endpoint after another because no gateway
// sees enough of the crashes, and against a new leader that lets them pass again.
func TestPartThatCrashesEndpointsIsHeldBackEverywhere(t *testing.T) {
	runInSynctest(t, func(t *testing.T) {
		g := startGroup(t, nil)
		c := control.NewClient(g.network, replicas)
		defer c.Close()
		apply(t, c.ApplyBundle, signedBundle("op-1", bundleText(1, "")))
		p := startProcess(t, g.network, agentInstance(0), replicas)
		time.Sleep(3 * time.Second)
		for i := range quarantine.MinCrashes {
			loss := quarantine.Loss{Endpoint: quarantine.Endpoint{ID: instance.ID(fmt.Sprint("e", i)), Incarnation: 1}, Parts: []quarantine.Part{7, quarantine.Part(100 + i)}}
			in := &api.ReportLosses{Gateway: instance.ID(fmt.Sprint("gateway-", i)), Report: quarantine.Report{Losses: []quarantine.Loss{loss}}}
			assert.Equal(t, len(p.holder.Directory().Quarantined), 0)
			assert.NilError(t, c.ReportLosses(t.Context(), in))
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(time.Second)
		assert.DeepEqual(t, p.holder.Directory().Quarantined, []quarantine.Part{7})

		leader := g.leader(t, c)
		g.network.SetFault(leader, link.FaultPartition)
		time.Sleep(6 * time.Second)
		late := startProcess(t, g.network, agentInstance(1), replicas)
		time.Sleep(3 * time.Second)
		assert.DeepEqual(t, late.holder.Directory().Quarantined, []quarantine.Part{7})
		g.network.SetFault(leader, link.FaultNone)
		time.Sleep(3 * time.Second)

		sound := &api.ReportLosses{Gateway: "gateway-9", Report: quarantine.Report{Answered: []quarantine.Part{7}}}
		assert.NilError(t, c.ReportLosses(t.Context(), sound))
		time.Sleep(time.Second)
		assert.Equal(t, len(late.holder.Directory().Quarantined), 0, "a part that is answered is still held back")
	})
}
