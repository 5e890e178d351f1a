package replica_test

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"toucantiller.dev/link"
	"toucantiller.dev/wal"
	"toucantiller.dev/wal/faultfs"
)

const (
	largeCommandBytes = 256 << 10
	// smallDiskBytes holds a state of one large command and what the log needs beside it, and
	// less than a quarter of the commands that the test sends.
	smallDiskBytes = 24 << 20
	// memoryBytes bounds the log entries that a replica holds in memory.
	memoryBytes   = 16 << 20
	largeCommands = 400
)

// startSmallDisks starts a group whose state is its last command, on small disks.
func startSmallDisks(t *testing.T) (*group, map[string]*faultfs.FS) {
	g := &group{
		t: t, network: link.NewMemory(), addresses: []string{"a", "b", "c"}, keep: 1,
		fs: map[string]wal.FS{}, nodes: map[string]*node{}, folder: func(string) string { return "/data" },
	}
	disks := map[string]*faultfs.FS{}
	for i, a := range g.addresses {
		disks[a] = faultfs.New(uint64(i))
		disks[a].SetCapacity(smallDiskBytes)
		g.fs[a] = disks[a]
		g.start(a)
	}
	return g, disks
}

func largeCommand(i int) string {
	return fmt.Sprintf("%d %s", i, strings.Repeat("x", largeCommandBytes))
}

func (g *group) checkMemory() {
	g.t.Helper()
	for _, n := range g.nodes {
		assert.Assert(g.t, n.Status().LogBytes <= memoryBytes, "%s holds %d bytes of its log", n.address, n.Status().LogBytes)
	}
}

// Guards against a log that is bounded by the number of its entries only: large commands fill
// the memory and the disks of all replicas, for good.
func TestLargeCommandsStayWithinDiskAndMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, _ := startSmallDisks(t)
		defer g.stop()
		for i := range largeCommands {
			g.propose("%s", largeCommand(i))
			g.checkMemory()
		}
		for _, a := range g.addresses {
			g.kill(g.nodes[a])
			g.start(a)
			g.propose("%s", largeCommand(largeCommands))
			g.checkMemory()
		}
	})
}

// Guards against a follower that is behind and makes the leader keep all large commands for it.
func TestFollowerBehindLargeCommandsGetsASnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, _ := startSmallDisks(t)
		defer g.stop()
		g.propose("first")
		leader := g.leader()
		var behind string
		for a := range g.nodes {
			if a != leader.address {
				behind = a
			}
		}
		g.kill(g.nodes[behind])
		for i := range largeCommands / 4 {
			g.propose("%s", largeCommand(i))
			g.checkMemory()
		}
		last := g.start(behind)
		g.propose("last")
		g.waitFor("the last command", func() bool {
			all := last.journal.all()
			return len(all) == 1 && all[0] == "last"
		})
		g.checkMemory()
	})
}
