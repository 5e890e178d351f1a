package control_test

import (
	"context"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a new replica that asks only the seeds of its start for ever, so that it never
// joins once these were replaced, and the group does not bear the next lost disk.
func TestJoiningReplicaFollowsItsSeeds(t *testing.T) {
	runInSynctest(t, func(t *testing.T) {
		g := startSelfRepairingGroup(t)
		g.applyDocument(t, 1)
		g.stop(t, "control-2")
		// control-2 is replaced by a machine whose seeds at its start are all gone when it can
		// reach others; the settings name the present replicas by then.
		g.seeds.Store(&[]string{"control-0", "control-1"})
		g.folders["control-3"] = t.TempDir()
		g.start(t, "control-3")
		ctx, cancel := context.WithCancel(t.Context())
		t.Cleanup(cancel)
		go g.servers["control-3"].Join(ctx, []string{"control-2"}, false)
		time.Sleep(time.Minute)
		voters := g.voters(t)
		assert.Assert(t, slices.Contains(voters, "control-3"), "the voters are %v after a minute", voters)
	})
}
