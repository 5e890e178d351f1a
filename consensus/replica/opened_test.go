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
