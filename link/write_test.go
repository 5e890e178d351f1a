package link_test

import (
	"context"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"toucantiller.dev/link"
)

// Guards against calls and probes that block in the write to a silent connection whose buffers
// are full: no deadline ends them, and the connection is never replaced.
func TestConnectionThatTakesNoBytesIsReplaced(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	c := link.NewClient(link.TCP{}, l.Addr().String())
	defer c.Close()
	large := make([]byte, 64<<20)
	for range 2 {
		failed := make(chan error, 1)
		go func() { failed <- c.Call(context.Background(), "Echo.Echo", &large, &large) }()
		silent, err := l.Accept()
		assert.NilError(t, err)
		defer func() { _ = silent.Close() }()
		select {
		case err := <-failed:
			assert.Assert(t, err != nil)
		case <-time.After(time.Minute):
			t.Fatalf("the call's deadline of %s did not end it", link.CallTimeout)
		}
	}
}
