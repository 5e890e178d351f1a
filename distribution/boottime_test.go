package distribution

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"toucantiller.dev/contract"
	"toucantiller.dev/control/api"
)

// Guards against a process that accepts a key which was revoked while its machine was
// suspended: the monotonic clock does not advance during suspend.
func TestSuspendedTimeCounts(t *testing.T) {
	h := NewHolder(nil)
	sinceBoot := time.Hour
	h.bootTime = func() (time.Duration, bool) { return sinceBoot, true }
	config := &contract.Config{Revision: 1, ServeStale: contract.DocumentServeStale}
	_, err := h.Accept(&api.View{Config: config, Beacon: api.Beacon{Revision: 1, Term: 1, Seq: 1}}, 0)
	assert.NilError(t, err)
	assert.Assert(t, h.MayServe(time.Now()))
	sinceBoot += contract.DocumentServeStale + time.Second
	assert.Assert(t, !h.MayServe(time.Now()))
	_, err = h.Accept(&api.View{Beacon: api.Beacon{Revision: 1, Term: 1, Seq: 2}}, 0)
	assert.NilError(t, err)
	assert.Assert(t, h.MayServe(time.Now()))
}
