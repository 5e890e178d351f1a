package replica_test

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"toucantiller.dev/consensus/replica"
	"toucantiller.dev/link"
	"toucantiller.dev/wal/faultfs"
)

// Guards against a start that does not tell how much it loads: a log without a bound is not seen
// in the logs of a replica that ends again and again.
func TestStartLogsWhatWasLoaded(t *testing.T) {
	folder := t.TempDir()
	start := func() string {
		var out bytes.Buffer
		network := link.NewMemory()
		server := link.NewServer()
		transport, err := replica.NewLinkTransport(network, server)
		assert.NilError(t, err)
		defer transport.Close()
		r, err := replica.Start(replica.Config{
			DataFolder: folder, Address: "a", InitialMembers: []string{"a"}, Transport: transport, StateMachine: &journal{},
			Logger: log.NewLogfmtLogger(log.NewSyncWriter(&out)),
		})
		assert.NilError(t, err)
		for range 3 {
			err := errors.New("not proposed")
			for ; err != nil; time.Sleep(time.Millisecond) {
				_, err = r.Propose(t.Context(), make([]byte, 1000)) // fails until there is a leader
			}
		}
		assert.NilError(t, r.Stop(t.Context()))
		assert.Assert(t, r.Status().DiskBytes > 3000)
		return strings.SplitN(out.String(), "\n", 2)[0]
	}
	first := start()
	assert.Assert(t, strings.Contains(first, "event=replica.opened id="), first)
	assert.Assert(t, strings.Contains(first, " snapshot=0 snapshot_bytes=0 entries=0 entry_bytes=0 disk_bytes="), first)
	second := start()
	assert.Assert(t, strings.Contains(second, " snapshot=1 snapshot_bytes=0 entries=4 entry_bytes=3000 disk_bytes="), second)
	assert.Assert(t, strings.Contains(second, " took_ms="), second)
}

// Guards against elections for which no log has a cause: a leader that waits for its disk sends no
// heartbeats.
func TestSaveLongerThanElectionTimeoutIsLogged(t *testing.T) {
	withVirtualTimeGroup(t, 0, func(t *testing.T, g *group) {
		var out bytes.Buffer
		g.logger = log.NewLogfmtLogger(log.NewSyncWriter(&out))
		g.kill(g.nodes["a"])
		slow := g.start("a")
		g.propose("fast")
		g.fs["a"].(*faultfs.FS).DelaySync(300 * time.Millisecond)
		g.propose("bearable")
		g.waitFor("the bearable command", func() bool { return len(slow.journal.all()) == 2 })
		assert.Assert(t, !strings.Contains(out.String(), "slow_save"), out.String())
		g.fs["a"].(*faultfs.FS).DelaySync(700 * time.Millisecond)
		g.propose("slow")
		g.waitFor("the slow command", func() bool { return len(slow.journal.all()) == 3 })
		g.kill(slow)
		assert.Assert(t, strings.Contains(out.String(), "event=replica.slow_save id="), out.String())
		assert.Assert(t, strings.Contains(out.String(), " took_ms=700 entries=1 entry_bytes=4\n"), out.String())
	})
}
