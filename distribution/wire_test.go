package distribution_test

import (
	"bytes"
	"encoding/gob"
	"os"
	"testing"

	"gotest.tools/v3/assert"

	"toucantiller.dev/contract"
	"toucantiller.dev/control/api"
	"toucantiller.dev/distribution"
	"toucantiller.dev/failuredomain"
	"toucantiller.dev/uptime"
)

// Guards against a view of a process of an earlier build, which encoded contract.Config itself,
// that is not understood.
func TestViewOfAnEarlierBuildIsUnderstood(t *testing.T) {
	encoded, err := os.ReadFile("testdata/view.gob")
	assert.NilError(t, err)
	v := &api.View{}
	assert.NilError(t, gob.NewDecoder(bytes.NewReader(encoded)).Decode(v))
	assert.Equal(t, v.ConfigDelta.Header.Revision, uint64(2))
	assert.Equal(t, v.ConfigDelta.Header.Ingress.Version, uint64(2))
	h := distribution.NewHolder(nil)
	_, err = h.Accept(v, uptime.Now())
	assert.NilError(t, err)
	c := h.Config()
	assert.Equal(t, c.Revision, uint64(1))
	assert.Equal(t, c.Bundle.Version, uint64(1))
	assert.Equal(t, c.ServeStale, contract.DocumentServeStale)
	assert.Equal(t, c.Domains["lagos-a"].State, failuredomain.StateDrained)
	r, found := c.Ingress.Route("r0", "/long/x")
	assert.Assert(t, found && r.Name == "long")
	_, found = c.AccountByKey("r1")
	assert.Assert(t, found)
}
