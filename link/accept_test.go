package link_test

import (
	"net"
	"sync/atomic"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"toucantiller.dev/link"
)

// exhaustedListener fails its first accept as one does in a process without free file descriptors.
type exhaustedListener struct {
	net.Listener
	failed atomic.Bool
}

func (l *exhaustedListener) Accept() (net.Conn, error) {
	if l.failed.CompareAndSwap(false, true) {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Addr: l.Addr(), Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// Guards against a server that accepts no connection any more after its process lacked file
// descriptors for a moment, while the process goes on.
func TestServerOutlivesExhaustedDescriptors(t *testing.T) {
	network := &link.TCP{}
	inner, err := network.Listen("127.0.0.1:0")
	assert.NilError(t, err)
	l := &exhaustedListener{Listener: inner}
	s := link.NewServer()
	assert.NilError(t, s.Register("Echo", echo{}))
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(l) }()
	t.Cleanup(func() {
		_ = l.Close()
		s.Close()
	})
	c := link.NewClient(network, l.Addr().String())
	defer c.Close()
	answered := make(chan error, 1)
	go func() {
		_, err := call(c, "Echo.Echo")
		answered <- err
	}()
	select {
	case err := <-ended:
		t.Fatalf("the server accepts no more connections: %v", err)
	case err := <-answered:
		assert.NilError(t, err)
	}
}
