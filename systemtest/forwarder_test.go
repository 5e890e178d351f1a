package systemtest

import (
	"testing"

	"gotest.tools/v3/assert"

	"toucantiller.dev/systemtest/faultproxy"
)

// forwarder carries TCP connections to a process.
type forwarder struct {
	*faultproxy.Proxy
	address string
}

func startForwarder(t testing.TB, target string) *forwarder {
	t.Helper()
	p, err := faultproxy.Start("127.0.0.1:0", target)
	assert.NilError(t, err)
	t.Cleanup(p.Close)
	return &forwarder{Proxy: p, address: p.Address()}
}

// silence ends delivery on the open connections, of which there must be one.
func (f *forwarder) silence(t testing.TB) {
	t.Helper()
	assert.Assert(t, f.Open() > 0, "no connection is open")
	f.Silence()
}
