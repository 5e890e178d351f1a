package replica_test

import (
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"toucantiller.dev/link"
)

// Guards against replicas that do not form a group or apply commands differently.
func TestReplicasAgree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, link.NewMemory(), "a", "b", "c")
		defer g.stop()
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
